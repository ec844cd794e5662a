"""`python -m lifthead.standins.faults NAME ...`: one stand-in engine as a process."""

from lifthead.standins.faults.engine import main

main()
