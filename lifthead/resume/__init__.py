"""Resuming streams after the loss of their decode engine: detecting a stall, queueing broken streams, and
splicing the new engine's text onto the old.

Nothing here does I/O; the caller passes the time. Which engine a stream goes to is the choice of
control.Router, which takes a resumed stream for a new request with the prompt and the answer so far.
"""
