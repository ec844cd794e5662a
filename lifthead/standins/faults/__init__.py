"""Fault injection against real router processes.

It consists of stand-in engines that speak the platform's protocol, a fault proxy on each connection path,
simulated clients, a discovery service, schedules drawn from a seed, and a checker of the recorded traffic.
Nothing here imports the router.
"""
