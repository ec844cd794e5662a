"""Operators and balancers: admin socket, agent-check, health pages, and what the command asks of routers."""
