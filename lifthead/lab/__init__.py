"""The laboratory: the very decisions of a router, played against a model of engines in simulated time.

clock, engine, router, crowd and world are the emulator; tally counts; run, search and fit ask questions of
it. It shares decisions with the daemon and nothing of its sockets."""
