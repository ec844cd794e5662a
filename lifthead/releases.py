"""When to release the states that a request may have left at prefill engines, and what proves their end.

An engine answers a release in the same way whether it freed the state or a call that waits for the state kept
it. The answer is a proof only if the release was sent when no attempt of the request could still wait for a
state or leave another one: every attempt had ended, and its engine could know. An engine sees the end of a
connection that this side closed only later; until then the call may still wait, and the prefill may still
succeed. An engine that never sees it gives up by itself after a time, but only while its process runs: a
stalled one does so when it resumes, and only its answers prove that it runs. Pure logic without I/O; times
are microseconds of one monotonic clock.
"""

from dataclasses import dataclass

from lifthead.leases import RELEASE_PART

NEVER = 1 << 62

# Parts of the lease duration.
FIRST_RELEASE_PART = 0.25  # a release is sent even if the engine's end of the connection was not seen
TOO_EARLY_PART = 0.5  # until then a release may be too early for an engine that sees a close late
# Time to the next release while the engine's end of a connection was not seen, and to later ones. A seen end
# counts after the latter, as a proxy on the way may have made it.
UNCONFIRMED_SPACING_PART = 0.9
CONFIRMED_SPACING_PART = 1.35
UNSEEN_CLOSE_TIMEOUT = 2_000_000  # a running engine gives up by itself this long after the announced deadline
STALLED_RELEASE_TIME = 5_000_000  # past that deadline a silent engine is sent releases for this long ...
STALLED_QUERY_TIME = 60_000_000  # ... and is asked for this long whether it runs
DEFAULT_LEASE_DURATION = 500_000  # for the spacing of releases if leases have no limit
MAX_UNANSWERED_RELEASES = 16  # in a row


@dataclass(slots=True, eq=False)
class ClosedAttempt:
    """An attempt whose connection ended before its answer was complete."""

    number: int
    closed_at: int
    announced_deadline: int  # until when its engine was told that the router waits
    engine: str = ""
    busy_for: int = 0  # how long a stalled engine may work on it after it resumes
    end_seen_at: int = NEVER  # when the engine ended its side of the connection
    proven_running_at: int = NEVER  # when the engine answered something sent after the deadline

    @property
    def is_silent(self) -> bool:
        """Whether its engine may be stalled and still have the attempt before it."""
        return self.end_seen_at == NEVER and self.proven_running_at == NEVER


class ReleaseSchedule:
    """The releases of one request. `lease_duration`: how long a state may be held while no attempt has
    arrived; 0: without limit."""

    def __init__(self, lease_duration: int) -> None:
        self._lease_duration = lease_duration or DEFAULT_LEASE_DURATION
        self._due: list[int] = []
        self._closed: list[ClosedAttempt] = []
        self._in_flight: int | None = None  # the attempt that may wait for a state or leave one
        self._last_sent_at = 0  # of attempts
        self._released_at = 0  # when the last release was sent
        self._leased_at = 0
        self._unanswered = 0
        self._opened_by: int | None = None  # the first prefill that may have left a state
        self.open = False  # a state may be held
        self.in_use = False  # a call is still to fetch the state: no release has been sent since its lease

    # Attempts.

    def sending(self, number: int, at: int, is_prefill: bool) -> None:
        """An attempt is about to be sent."""
        self._in_flight, self._last_sent_at = number, at
        if is_prefill and not self.open:
            self.open, self._opened_by = True, number

    def leased(self, number: int, at: int) -> None:
        """A prefill has succeeded; its state waits to be fetched."""
        self._attempt_ended(number)
        self.open = self.in_use = True
        self._leased_at = at

    def answered(self, number: int, at: int) -> None:
        """An engine has answered an attempt completely, without a state or a stream: it has ended there."""
        self._attempt_ended(number)
        if self.open and not self.in_use:
            self._add_release(at)

    def never_sent(self, at: int) -> None:
        """An attempt ended before any of it was sent."""
        if self.open and not self.in_use and self._in_flight is None and not self._awaits_end():
            self._add_release(at)

    def state_gone(self) -> None:
        """An engine reports that there is no state to fetch."""
        self.in_use = False

    def did_not_run(self, number: int) -> None:
        """A prefill is proven not to have run. States of earlier prefills may still be held."""
        self._attempt_ended(number)
        self.open = self._opened_by != number

    def connection_closed(
        self, number: int, at: int, announced_deadline: int, engine: str = "", busy_for: int = 0
    ) -> None:
        """An attempt's connection was closed by this side, or broke."""
        self._attempt_ended(number)
        if self.open:
            self._closed.append(ClosedAttempt(number, at, announced_deadline, engine, busy_for))

    def end_seen(self, number: int, at: int) -> None:
        """The engine has ended its side of a closed connection."""
        for attempt in self._closed:
            if attempt.number == number and attempt.end_seen_at == NEVER:
                attempt.end_seen_at = at
                if not self.in_use and self._in_flight is None:
                    self._add_release(at)

    def engine_runs(self, engine: str, asked_at: int, at: int) -> None:
        """By `at` an engine has answered what was sent at `asked_at`, or its process has ended. Until then it
        may have been stalled."""
        for attempt in self._closed:
            if attempt.engine == engine and attempt.is_silent and asked_at >= attempt.announced_deadline:
                attempt.proven_running_at = at

    def silent_engines(self, at: int) -> dict[str, int]:
        """Engines that may be stalled with a closed attempt whose deadline is over, each with the time after
        which an answer of it proves that it runs."""
        deadlines: dict[str, int] = {}
        for attempt in self._closed if self.open else ():
            if (
                attempt.is_silent
                and attempt.announced_deadline <= at < attempt.announced_deadline + STALLED_QUERY_TIME
            ):
                deadlines[attempt.engine] = max(deadlines.get(attempt.engine, 0), attempt.announced_deadline)
        return deadlines

    def fetched(self, number: int, prefills: set[int]) -> None:
        """The first token of a call that fetched the state. A closed prefill may still leave another
        state."""
        self._attempt_ended(number)
        self.in_use = False
        self._closed = [attempt for attempt in self._closed if attempt.number in prefills]
        self.open = bool(self._closed)
        if not self.open:
            self._due.clear()

    def first_token(self, number: int) -> None:
        """The first token of a call that has prefilled the prompt itself and waits for no state."""
        self._attempt_ended(number)

    def _attempt_ended(self, number: int) -> None:
        if self._in_flight == number:
            self._in_flight = None

    # Releases.

    def release_wanted(self, at: int, attempt_ends: bool = False) -> None:
        """The request needs no state any more, or its lease ends. `attempt_ends`: the attempt in flight is
        cancelled, and its end will schedule the release."""
        lease_ends, self.in_use = self.in_use, False
        if not self.open:
            return
        # The call in flight may never have arrived, so the end of a lease does not wait for earlier calls.
        due_now = lease_ends if self._in_flight is not None else not self._awaits_end()
        if due_now and not attempt_ends:
            self._add_release(at)
        elif lease_ends:  # an attempt that begins afterwards does not delay this release
            self._add_release(max(at, self._leased_at + self._part_of_lease(RELEASE_PART)))

    def _awaits_end(self) -> bool:
        """Whether the engine's end of a closed connection has not been seen; that schedules a release by
        itself."""
        return any(attempt.end_seen_at == NEVER for attempt in self._closed)

    def next_release_at(self) -> int | None:
        """When the next release is due; None if none is."""
        if not self.open:
            return None
        if self._due or self._closed:
            due = min([*self._due, *map(self._release_due_for, self._closed)])
            return due if due < NEVER and self._unanswered < MAX_UNANSWERED_RELEASES else None
        may_wait = self._in_flight is not None or self.in_use or self._unanswered >= MAX_UNANSWERED_RELEASES
        return (
            self._released_at + self._part_of_lease(UNCONFIRMED_SPACING_PART)
            if self._released_at and not may_wait
            else None
        )

    def _release_due_for(self, attempt: ClosedAttempt) -> int:
        """When a release is due for a state that this attempt may have left or kept from being released."""
        if attempt.end_seen_at < NEVER:
            confirmed_at = self._over_by(attempt)
            return confirmed_at if self._released_at < confirmed_at else self._next_spaced_release(attempt)
        first_at = attempt.closed_at + self._part_of_lease(FIRST_RELEASE_PART)
        # While another attempt is in flight a release may free the state that it leaves or fetches, so none
        # is sent early.
        if not self.in_use and self._in_flight is None and self._released_at < first_at:
            return first_at
        due = self._next_spaced_release(attempt)
        # An engine that is stalled for longer is asked whether it runs; its answer schedules more releases.
        stalled = attempt.is_silent and due > attempt.announced_deadline + STALLED_RELEASE_TIME
        return NEVER if stalled else due

    def _next_spaced_release(self, attempt: ClosedAttempt) -> int:
        if self._released_at < attempt.closed_at + self._part_of_lease(TOO_EARLY_PART):
            return attempt.closed_at + self._part_of_lease(UNCONFIRMED_SPACING_PART)
        return self._released_at + self._part_of_lease(CONFIRMED_SPACING_PART)

    def release_sent(self, at: int) -> None:
        """A release is sent."""
        self._due.clear()
        self._released_at, self.in_use = at, False
        self._unanswered += 1

    def release_answered(self, sent_at: int) -> bool:
        """An engine has answered the release that was sent at `sent_at`. True if this proves that no state is
        held."""
        self._unanswered = 0
        # Attempts that ended long enough before keep no state. A call in flight may; its end schedules more
        # releases.
        self._closed = [attempt for attempt in self._closed if sent_at < self._over_by(attempt)]
        if self.open and not self._proves(sent_at):
            return False
        self.open = False
        self._due.clear()
        return True

    def _proves(self, sent_at: int) -> bool:
        may_wait = self._in_flight is not None or self.in_use or bool(self._closed)
        return not may_wait and self._last_sent_at < sent_at

    def _over_by(self, attempt: ClosedAttempt) -> int:
        if attempt.end_seen_at < NEVER:
            return max(attempt.end_seen_at, attempt.closed_at + self._part_of_lease(CONFIRMED_SPACING_PART))
        if attempt.is_silent:
            return NEVER
        over_at = attempt.proven_running_at + max(
            self._part_of_lease(CONFIRMED_SPACING_PART), attempt.busy_for
        )
        return max(
            attempt.announced_deadline + UNSEEN_CLOSE_TIMEOUT,
            attempt.closed_at + UNSEEN_CLOSE_TIMEOUT,
            over_at,
        )

    def _part_of_lease(self, part: float) -> int:
        return int(part * self._lease_duration)

    def _add_release(self, at: int) -> None:
        if at not in self._due:
            self._due.append(at)
