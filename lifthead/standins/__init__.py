"""Engines, clients, a list service and scenarios to test the router with, and the checker of the rules.

Nothing here imports the router. It shares only the types of the settings and the protocols with it.
"""
