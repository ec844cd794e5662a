"""Which broken streams are placed again, when, and which are ended: bounded for a req, a tenant and this
router, so that the loss of a rack does not become a storm of reads.

Rule 2 decides first. A stream that has begun may have run: a non-replayable one is never placed again; a
keyed one only where its repeat is known and while it is remembered (control.Router sees to the engines,
told what ran where).
"""

from dataclasses import dataclass
from heapq import heappop, heappush

from lifthead.interface import Idempotency, RequestClass

MOST_FOR_REQ = 3  # times that one stream is placed again
AT_ONCE = 8  # streams that are being placed at once, at least ...
AT_ONCE_PART = 0.25  # ... and as a part of the streams that still run here
TENANT_PART = 0.5  # of those places one tenant may take while others wait
WAIT_PART = 0.5  # of the group's deadline: so long a stream may wait for its place


@dataclass(frozen=True, slots=True)
class Broken:
    """A stream whose writer was lost."""

    stream: int
    tenant: str
    group: RequestClass
    written: int  # answer tokens that its client has
    to_read: int  # prompt and answer so far
    left: int  # tokens that it may still write; 0: all that it may
    times: int  # how often it was placed again before
    ran_at: int  # when the forward that ran was sent
    obstacle: str  # why its text can't be put together, "" if it can
    broken_at: int


class Rescue:
    """The streams of one router that wait for a new place or are on their way to one."""

    def __init__(self) -> None:
        self._waiting: list[tuple[tuple, int]] = []
        self._broken: dict[int, Broken] = {}
        self._placing: dict[int, str] = {}  # stream -> tenant
        self.running = 0  # streams that run, as the caller last said

    def refusal(self, broken: Broken) -> str:
        """Why this stream is not placed again; "" if it may be."""
        group = broken.group
        if group.idempotency is Idempotency.NON_IDEMPOTENT:
            return "non-replayable: it has run"
        if group.idempotency is Idempotency.WITH_KEY and broken.broken_at >= broken.ran_at + group.key_ttl:
            return "keyed: its repeat is known no more"
        if broken.obstacle:
            return broken.obstacle
        if broken.times >= MOST_FOR_REQ:
            return f"placed again {broken.times} times before"
        return ""

    def lost(self, broken: Broken) -> str:
        """Takes a broken stream in; the reason if it is not placed again."""
        why = self.refusal(broken)
        if not why:
            self._broken[broken.stream] = broken
            heappush(self._waiting, (self._order(broken), broken.stream))
        return why

    def _order(self, broken: Broken) -> tuple:
        """Who comes first: the more important; of those, what has been paid for; then the cheaper to read."""
        return (-broken.group.weight, -broken.written, broken.to_read, broken.broken_at, broken.stream)

    @property
    def places(self) -> int:
        """How many may be on their way at once."""
        return max(AT_ONCE, int(AT_ONCE_PART * self.running))

    def next(self, now: int) -> list[Broken]:
        """The streams to be placed now, in order."""
        found, passed = [], []
        while self._waiting and len(self._placing) < self.places:
            order, stream = heappop(self._waiting)
            broken = self._broken.get(stream)
            if broken is None:
                continue
            others = any(each.tenant != broken.tenant for each in self._broken.values())
            share = max(int(self.places * TENANT_PART), 1)
            if others and sum(name == broken.tenant for name in self._placing.values()) >= share:
                passed.append((order, stream))
                if len(passed) >= len(self._broken):
                    break
                continue
            del self._broken[stream]
            self._placing[stream] = broken.tenant
            found.append(broken)
        for entry in passed:
            heappush(self._waiting, entry)
        return found

    def too_late(self, now: int) -> list[Broken]:
        """Streams that have waited for a place too long: to be ended, cleanly and at once."""
        found = [each for each in self._broken.values() if now >= self.latest(each)]
        for broken in found:
            del self._broken[broken.stream]
        return found

    def latest(self, broken: Broken) -> int:
        """Until when a stream waits for its place."""
        wait = broken.broken_at + int(broken.group.deadline * WAIT_PART)
        if broken.group.idempotency is Idempotency.WITH_KEY:
            wait = min(wait, broken.ran_at + broken.group.key_ttl)
        return wait

    def budget(self, broken: Broken, now: int) -> int:
        """Time for the new first token: a client waits for it as long as it would for a first one."""
        budget = broken.broken_at + broken.group.deadline - now
        if broken.group.idempotency is Idempotency.WITH_KEY:
            budget = min(budget, broken.ran_at + broken.group.key_ttl - now)
        return max(budget, 1)

    def settled(self, stream: int) -> None:
        """It runs again, or has ended: its place is free."""
        self._placing.pop(stream, None)
        self._broken.pop(stream, None)

    @property
    def waiting(self) -> int:
        return len(self._broken)


@dataclass(frozen=True, slots=True)
class Draining:
    """A running stream at an engine that drains by a given time."""

    stream: int
    drains_by: int
    left: int  # answer tokens that it may still write
    pace: int  # microseconds a token
    written: int


def to_move(streams: list[Draining], now: int, room: int) -> list[int]:
    """Streams that would outlive their engine's drain, the ones with the most left first, `room` at most."""
    late = [each for each in streams if now + each.left * each.pace > each.drains_by]
    late.sort(key=lambda each: (each.drains_by, -each.left * each.pace, each.stream))
    return [each.stream for each in late[: max(room, 0)]]
