"""Faulty answers that the platform allows a running engine to give, drawn at random for each request.

The checker's rules still apply: the engine records whether an attempt has run and whether it left a held
state, whatever it answers to the router.
"""

import random
from dataclasses import dataclass
from enum import Enum


class Misbehaviour(Enum):
    """How one engine answers one request."""

    NONE = "none"
    TURNED_AWAY = "turned_away"  # 503 with the header that says it has not run
    BUSY_UNMARKED = "busy_unmarked"  # 503 without that header, after the work is done
    ERROR = "error"  # 500, before the work is done
    LATE_ERROR = "late_error"  # 500, after the work is done
    DROPPED = "dropped"  # the connection closes without an answer, before the work is done
    LATE_DROPPED = "late_dropped"  # the connection closes without an answer, after the work is done
    GONE = "gone"  # 410 at a decode engine that cannot reach the holder of the state
    CLOSES = "closes"  # the whole answer, then the connection closes without notice

    @property
    def does_work(self) -> bool:
        """Whether the engine does the work before it answers."""
        return self in (self.NONE, self.BUSY_UNMARKED, self.LATE_ERROR, self.LATE_DROPPED, self.CLOSES)

    @property
    def answers_normally(self) -> bool:
        """Whether the engine answers as a healthy engine does."""
        return self in (self.NONE, self.CLOSES)


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """A short answer in place of the regular one."""

    status: int
    headers: dict[str, str]


NEVER_RAN_HEADERS = {"x-never-ran": "1"}
ERROR_RESPONSES = {
    Misbehaviour.TURNED_AWAY: ErrorResponse(503, NEVER_RAN_HEADERS),
    Misbehaviour.BUSY_UNMARKED: ErrorResponse(503, {}),
    Misbehaviour.ERROR: ErrorResponse(500, {}),
    Misbehaviour.LATE_ERROR: ErrorResponse(500, {}),
    Misbehaviour.GONE: ErrorResponse(410, NEVER_RAN_HEADERS),
}  # the others send no answer
_MISBEHAVIOURS = [misbehaviour for misbehaviour in Misbehaviour if misbehaviour is not Misbehaviour.NONE]


def draw_misbehaviour(rng: random.Random, share: float, is_prefill: bool) -> Misbehaviour:
    """Draws how one engine answers one request; `share` of the requests are answered wrongly."""
    if rng.random() >= share:
        return Misbehaviour.NONE
    misbehaviour = rng.choice(_MISBEHAVIOURS)
    return Misbehaviour.ERROR if is_prefill and misbehaviour is Misbehaviour.GONE else misbehaviour
