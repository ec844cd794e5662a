"""Accounting of tokens and requests per tenant: entries in periods, exported exactly once, and reconciled
without state shared between routers.

`entries`, `book`, `quota` and `reconcile` decide and do no I/O. `journal` decides what is written to the
disk, through the small interface in `disk`. `export` and `writer` hold the sockets, files and tasks.
"""
