"""A simulator: runs the router's decision module against a model of the engines in simulated time.

clock, engine, router, clients and world make up the simulator and results sums up a run. run compares
variants, search looks for bad scenarios and fit calibrates the model. The simulator shares the decision
module with the daemon, but none of its socket code."""
