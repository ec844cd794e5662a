"""The lease on a KV state that a prefill engine holds for a decode engine.

The lease starts when the prefill has ended. A decode call that was sent proves nothing: only a response on
its connection shows that it has arrived, and until then the lease runs on. A release does not take the state
from a call that waits for it at its engine. Pure functions of time in microseconds, without I/O.
"""

from dataclasses import dataclass

from lifthead.state import Engine

# Parts of the lease duration.
RETRY_PART = 0.5  # a call without a response may be abandoned; 95 to 98 of 100 first tokens take less
LAST_CALL_PART = 0.88  # the last time at which an overdue call is abandoned for another engine
TOO_LATE_PART = 0.93  # no further call to fetch the state is sent
RELEASE_PART = 0.95  # the release is sent, early enough for a router that noticed the end of the prefill late


def overdue_after(duration: int) -> int:
    """Shortest time after which a decode call may count as overdue."""
    return int(RETRY_PART * duration)


@dataclass(slots=True, eq=False)
class Lease:
    """A state that `holder` holds. An engine's response to a decode call renews the lease."""

    holder: Engine
    since: int
    duration: int  # 0: without limit

    @property
    def last_call_at(self) -> int:
        return self.since + int(LAST_CALL_PART * self.duration)

    @property
    def too_late_at(self) -> int:
        return self.since + int(TOO_LATE_PART * self.duration)

    @property
    def release_at(self) -> int:
        return self.since + int(RELEASE_PART * self.duration)

    def outlives(self, now: int, attempt_takes: int) -> bool:
        """Whether another attempt that takes as long to connect would end within the lease."""
        return not self.duration or now + attempt_takes <= self.since + self.duration
