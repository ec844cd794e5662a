"""Stand-ins that meet real router processes with faults: engines of the platform's protocol, a fault proxy
between every pair, clients, discovery, a schedule drawn from a seed, and a checker of the recorded traffic.

Nothing here imports the router.
"""
