"""When a state that a prefill engine holds is fetched by another call, and when it is released.

A state is leased from the moment its prefill has ended. Sending a decode call proves nothing: only what comes
back on its connection shows that it has arrived, and while nothing has come the lease runs on. A release
takes nothing from a call that waits for the state at its engine. Pure: no I/O, times are microseconds.
"""

from dataclasses import dataclass

from lifthead.state import Engine

# Parts of the time that the settings allow a state to be held while no call has arrived. A first token takes
# less than half of it in 95 to 98 of 100 calls (frota-ceara, quick fleet days, simulated).
RETRY_PART = 0.5  # a call that has brought nothing by then may be given up, where it may be repeated
LAST_CALL_PART = 0.88  # by then another engine is asked to fetch the state, if one is to be
TOO_LATE_PART = 0.93  # no call to fetch it is begun after that
RELEASE_PART = 0.95  # the release goes out: a router may have been held up before it noticed the 202


def retry_after(allowed: int) -> int:
    """How long a decode call is waited for at least, where a state may be held for `allowed`."""
    return int(RETRY_PART * allowed)


@dataclass(slots=True, eq=False)
class Lease:
    """A state that waits at `holder`; `since` starts anew with each answer of an engine to a decode call."""

    holder: Engine
    since: int
    allowed: int  # how long it may be held; 0: without limit

    @property
    def last_call_at(self) -> int:
        return self.since + int(LAST_CALL_PART * self.allowed)

    @property
    def too_late_at(self) -> int:
        return self.since + int(TOO_LATE_PART * self.allowed)

    @property
    def release_at(self) -> int:
        return self.since + int(RELEASE_PART * self.allowed)

    def outlives(self, now: int, attempt_takes: int) -> bool:
        """Whether a further attempt that takes as long to connect would end in the time allowed."""
        return not self.allowed or now + attempt_takes <= self.since + self.allowed
