"""What operators and load balancers talk to: the admin socket, the agent-check and the health pages."""
