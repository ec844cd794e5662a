"""The engine protocol: prefill, decode, release and probe requests, load reports, and the engine list."""
