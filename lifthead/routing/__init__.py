"""Parts of the routing decisions that stand alone: pure, no I/O, times in microseconds."""
