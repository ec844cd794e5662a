"""Engines, clients, a pushed list and days, written here to meet the router; and the checker of the rules.

Nothing here imports the router: what they share with it is the settings' types and the protocols on the wire.
"""
