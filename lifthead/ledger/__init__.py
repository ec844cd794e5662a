"""Who used what: entries of tokens and reqs, cut into periods, exported once, reconciled without shared
state.

`entries`, `book`, `quota` and `reconcile` decide and do no I/O; `journal` decides what is on the disk
through the small port in `disk`; `export` and `keeper` are the sockets, files and tasks around them.
"""
