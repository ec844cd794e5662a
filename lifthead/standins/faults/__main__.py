"""Runs one stand-in engine: `python -m lifthead.standins.faults SPEC`, with an EngineSpec as JSON."""

from lifthead.standins.faults.engine import main

main()
