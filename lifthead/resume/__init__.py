"""Streams that outlive a writer: what silence means, whose stream is placed again, and how two texts become
one.

Nothing here does I/O; times are handed in. Where a stream goes is control.Router's choice: to it, a stream
that is placed again is a new req that has come back, with the prompt and the answer so far.
"""
