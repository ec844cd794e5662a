"""The last pushed list, kept for a restart while the list's service can't be reached. Does no I/O.

A router that comes back and finds no list would serve nobody; one with its last list serves all who are
still there, and finds the others out as it finds out any that die unlisted."""

import msgspec

from lifthead.engines.codec import ListedEngine

PUSH_WAIT_US = (
    1_000_000  # microseconds that a starting router waits for a push before it goes by its last list
)
MAX_AGE_US = 24 * 3_600_000_000  # a list older than this says too little of a fleet


class LastList(msgspec.Struct):
    """A pushed list as it was last told, and when (wall clock, microseconds)."""

    engines: list[ListedEngine] = []
    at: int = 0


def is_usable(last: LastList | None, waited: int, listed: bool, wall: int) -> bool:
    """Whether a router that has waited so long for its first list goes by its last one now. One that may
    hold nothing that is ready is no help, and one from the future is from a clock that was wrong."""
    if last is None or listed or waited < PUSH_WAIT_US:
        return False
    alive = any(engine.readiness == "ready" for engine in last.engines)
    return alive and 0 <= wall - last.at <= MAX_AGE_US
