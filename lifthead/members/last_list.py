"""The last pushed engine list, stored for restarts while the discovery service can't be reached. Does no I/O.

A router that restarts without a list could serve nobody. With its last list it serves through the engines
that are still up, and detects dead ones as it detects any engine that dies before it is unlisted."""

import msgspec

from lifthead.engines.codec import ListedEngine

PUSH_WAIT_US = 1_000_000  # how long a starting router waits for a push before it uses its last list
MAX_AGE_US = 24 * 3_600_000_000  # an older list says too little about the fleet


class LastList(msgspec.Struct):
    """A pushed list and when it arrived (wall clock, microseconds)."""

    engines: list[ListedEngine] = []
    at: int = 0


def is_usable(last: LastList | None, waited: int, listed: bool, wall: int) -> bool:
    """Whether a router that has waited this long for its first list uses its last one now. A list without any
    ready engine is of no use; one with a time in the future comes from a clock that was wrong."""
    if last is None or listed or waited < PUSH_WAIT_US:
        return False
    any_ready = any(engine.readiness == "ready" for engine in last.engines)
    return any_ready and 0 <= wall - last.at <= MAX_AGE_US
