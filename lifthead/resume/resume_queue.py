"""Which broken streams are placed again, when, and which are ended: bounded for a req, a tenant and this
router, so that the loss of a rack does not become a storm of reads.

Rule 2 decides first. A stream that has begun may have run: a non-replayable one is never placed again; a
keyed one only where its repeat is known and while it is remembered (control.Router sees to the engines,
told what ran where).
"""

from dataclasses import dataclass
from heapq import heappop, heappush

from lifthead.interface import Effect, EndpointGroup

MAX_RESUMES = 3  # times that one stream is placed again
MIN_IN_FLIGHT = 8  # streams that are being placed at once, at least ...
IN_FLIGHT_SHARE = 0.25  # ... and as a part of the streams that still run here
TENANT_SHARE = 0.5  # of those places one tenant may take while others wait
WAIT_SHARE_OF_DEADLINE = 0.5  # of the group's deadline: so long a stream may wait for its place


@dataclass(frozen=True, slots=True)
class BrokenStream:
    """A stream whose writer was lost."""

    stream: int
    tenant: str
    request_class: EndpointGroup
    sent_tokens: int  # answer tokens that its client has
    prefill_tokens: int  # prompt and answer so far
    remaining_tokens: int  # tokens that it may still write; 0: all that it may
    resumes: int  # how often it was placed again before
    attempt_sent_at: int  # when the forward that ran was sent
    obstacle: str  # why its text can't be put together, "" if it can
    broken_at: int


class ResumeQueue:
    """The streams of one router that wait for a new place or are on their way to one."""

    def __init__(self) -> None:
        self._waiting: list[tuple[tuple, int]] = []
        self._broken: dict[int, BrokenStream] = {}
        self._in_flight: dict[int, str] = {}  # stream -> tenant
        self.running_streams = 0  # streams that run, as the caller last said

    def refusal_reason(self, broken: BrokenStream) -> str:
        """Why this stream is not placed again; "" if it may be."""
        request_class = broken.request_class
        if request_class.effect is Effect.NON_REPLAYABLE:
            return "non-replayable: it has run"
        if (
            request_class.effect is Effect.KEYED
            and broken.broken_at >= broken.attempt_sent_at + request_class.keyed_for
        ):
            return "keyed: its repeat is known no more"
        if broken.obstacle:
            return broken.obstacle
        if broken.resumes >= MAX_RESUMES:
            return f"placed again {broken.resumes} times before"
        return ""

    def add(self, broken: BrokenStream) -> str:
        """Takes a broken stream in; the reason if it is not placed again."""
        why = self.refusal_reason(broken)
        if not why:
            self._broken[broken.stream] = broken
            heappush(self._waiting, (self._order(broken), broken.stream))
        return why

    def _order(self, broken: BrokenStream) -> tuple:
        """Who comes first: the more important; of those, what has been paid for; then the cheaper to read."""
        return (
            -broken.request_class.importance,
            -broken.sent_tokens,
            broken.prefill_tokens,
            broken.broken_at,
            broken.stream,
        )

    @property
    def max_in_flight(self) -> int:
        """How many may be on their way at once."""
        return max(MIN_IN_FLIGHT, int(IN_FLIGHT_SHARE * self.running_streams))

    def take_next(self, now: int) -> list[BrokenStream]:
        """The streams to be placed now, in order."""
        found, passed = [], []
        while self._waiting and len(self._in_flight) < self.max_in_flight:
            order, stream = heappop(self._waiting)
            broken = self._broken.get(stream)
            if broken is None:
                continue
            others = any(each.tenant != broken.tenant for each in self._broken.values())
            share = max(int(self.max_in_flight * TENANT_SHARE), 1)
            if others and sum(name == broken.tenant for name in self._in_flight.values()) >= share:
                passed.append((order, stream))
                if len(passed) >= len(self._broken):
                    break
                continue
            del self._broken[stream]
            self._in_flight[stream] = broken.tenant
            found.append(broken)
        for entry in passed:
            heappush(self._waiting, entry)
        return found

    def expire(self, now: int) -> list[BrokenStream]:
        """Streams that have waited for a place too long: to be ended, cleanly and at once."""
        found = [each for each in self._broken.values() if now >= self.waits_until(each)]
        for broken in found:
            del self._broken[broken.stream]
        return found

    def waits_until(self, broken: BrokenStream) -> int:
        """Until when a stream waits for its place."""
        wait = broken.broken_at + int(broken.request_class.deadline * WAIT_SHARE_OF_DEADLINE)
        if broken.request_class.effect is Effect.KEYED:
            wait = min(wait, broken.attempt_sent_at + broken.request_class.keyed_for)
        return wait

    def first_token_budget(self, broken: BrokenStream, now: int) -> int:
        """Time for the new first token: a client waits for it as long as it would for a first one."""
        budget = broken.broken_at + broken.request_class.deadline - now
        if broken.request_class.effect is Effect.KEYED:
            budget = min(budget, broken.attempt_sent_at + broken.request_class.keyed_for - now)
        return max(budget, 1)

    def remove(self, stream: int) -> None:
        """It runs again, or has ended: its place is free."""
        self._in_flight.pop(stream, None)
        self._broken.pop(stream, None)

    @property
    def waiting_count(self) -> int:
        return len(self._broken)


@dataclass(frozen=True, slots=True)
class DrainingStream:
    """A running stream at an engine that drains by a given time."""

    stream: int
    drains_by: int
    remaining_tokens: int  # answer tokens that it may still write
    us_per_token: int  # microseconds a token
    sent_tokens: int


def streams_to_move(streams: list[DrainingStream], now: int, limit: int) -> list[int]:
    """Streams that would outlive their engine's drain, at most `limit`, the ones with the most left first."""
    late = [each for each in streams if now + each.remaining_tokens * each.us_per_token > each.drains_by]
    late.sort(key=lambda each: (each.drains_by, -each.remaining_tokens * each.us_per_token, each.stream))
    return [each.stream for each in late[: max(limit, 0)]]
