"""One router process: hosts control.Router, owns its sockets, timers, signals, logs and metrics."""
