"""Decides which broken streams are resumed, in which order and when, and which are ended. Limits for each
request, each tenant and the whole router keep the loss of a rack from becoming a storm of prefills.

The single_effect rule comes first. A stream that has begun may have run: a non-idempotent request is never
resumed, and one with idempotency key only while an engine that knows the key remembers it (control.Router
chooses among those engines, as it is told which engine ran the request and when).
"""

from dataclasses import dataclass
from heapq import heappop, heappush

from lifthead.interface import Idempotency, RequestClass

MAX_RESUMES = 3  # times that one stream is resumed
MIN_IN_FLIGHT = 8  # streams that may be on their way to an engine at once, at least ...
IN_FLIGHT_SHARE = 0.25  # ... and as a share of the streams that still run at this router
TENANT_SHARE = 0.5  # of those, what one tenant may use while others wait
WAIT_SHARE_OF_DEADLINE = 0.5  # of the request class's deadline, how much a stream may wait in the queue


@dataclass(frozen=True, slots=True)
class BrokenStream:
    """A stream whose decode engine was lost."""

    stream: int
    tenant: str
    request_class: RequestClass
    sent_tokens: int  # answer tokens that its client has
    prefill_tokens: int  # prompt and answer so far
    remaining_tokens: int  # answer tokens that may still come; 0: no limit below the model's own
    resumes: int  # times that it was resumed before
    attempt_sent_at: int  # when the attempt that ran was sent
    obstacle: str  # why its text can't be spliced, "" if it can
    broken_at: int


class ResumeQueue:
    """The streams of one router that wait to be resumed, and those that are on their way to an engine."""

    def __init__(self) -> None:
        self._heap: list[tuple[tuple, int]] = []
        self._waiting: dict[int, BrokenStream] = {}
        self._in_flight: dict[int, str] = {}  # stream -> tenant
        self.running_streams = 0  # as the caller last set it

    def refusal_reason(self, broken: BrokenStream) -> str:
        """Why this stream may not be resumed, as its client is told; "" if it may."""
        request_class = broken.request_class
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return "non-replayable: it has run"
        if (
            request_class.idempotency is Idempotency.WITH_KEY
            and broken.broken_at >= broken.attempt_sent_at + request_class.key_ttl
        ):
            return "keyed: its repeat is known no more"
        if broken.obstacle:
            return broken.obstacle
        if broken.resumes >= MAX_RESUMES:
            return f"placed again {broken.resumes} times before"
        return ""

    def add(self, broken: BrokenStream) -> str:
        """Queues a broken stream, or returns the reason why it may not be resumed."""
        reason = self.refusal_reason(broken)
        if not reason:
            self._waiting[broken.stream] = broken
            heappush(self._heap, (self._priority(broken), broken.stream))
        return reason

    def _priority(self, broken: BrokenStream) -> tuple:
        """Heavier request classes come first; within one, streams with more tokens decoded already, then
        those that cost less to prefill."""
        return (
            -broken.request_class.weight,
            -broken.sent_tokens,
            broken.prefill_tokens,
            broken.broken_at,
            broken.stream,
        )

    @property
    def max_in_flight(self) -> int:
        """How many streams may be on their way to an engine at once."""
        return max(MIN_IN_FLIGHT, int(IN_FLIGHT_SHARE * self.running_streams))

    def take_next(self, now: int) -> list[BrokenStream]:
        """Takes the streams that are to be resumed now from the queue, in order."""
        taken, passed_over = [], []
        while self._heap and len(self._in_flight) < self.max_in_flight:
            priority, stream = heappop(self._heap)
            broken = self._waiting.get(stream)
            if broken is None:
                continue
            others = any(each.tenant != broken.tenant for each in self._waiting.values())
            share = max(int(self.max_in_flight * TENANT_SHARE), 1)
            if others and sum(name == broken.tenant for name in self._in_flight.values()) >= share:
                passed_over.append((priority, stream))
                if len(passed_over) >= len(self._waiting):
                    break
                continue
            del self._waiting[stream]
            self._in_flight[stream] = broken.tenant
            taken.append(broken)
        for entry in passed_over:
            heappush(self._heap, entry)
        return taken

    def expire(self, now: int) -> list[BrokenStream]:
        """Takes the streams that have waited too long from the queue. The caller ends them at once."""
        expired = [each for each in self._waiting.values() if now >= self.waits_until(each)]
        for broken in expired:
            del self._waiting[broken.stream]
        return expired

    def waits_until(self, broken: BrokenStream) -> int:
        """The time until which a stream may wait in the queue."""
        until = broken.broken_at + int(broken.request_class.deadline * WAIT_SHARE_OF_DEADLINE)
        if broken.request_class.idempotency is Idempotency.WITH_KEY:
            until = min(until, broken.attempt_sent_at + broken.request_class.key_ttl)
        return until

    def first_token_budget(self, broken: BrokenStream, now: int) -> int:
        """Time left for the first token after the break. The client waits for it as long as it would for the
        first token of a new request."""
        budget = broken.broken_at + broken.request_class.deadline - now
        if broken.request_class.idempotency is Idempotency.WITH_KEY:
            budget = min(budget, broken.attempt_sent_at + broken.request_class.key_ttl - now)
        return max(budget, 1)

    def remove(self, stream: int) -> None:
        """Forgets a stream that runs again or has ended."""
        self._in_flight.pop(stream, None)
        self._waiting.pop(stream, None)

    @property
    def waiting_count(self) -> int:
        return len(self._waiting)


@dataclass(frozen=True, slots=True)
class DrainingStream:
    """A running stream at an engine whose drain has a deadline."""

    stream: int
    drains_by: int
    remaining_tokens: int  # answer tokens that may still come
    us_per_token: int
    sent_tokens: int


def streams_to_move(streams: list[DrainingStream], now: int, limit: int) -> list[int]:
    """At most `limit` of the streams that would outlive their engine's drain: earliest deadline first, then
    the most time still needed."""
    late = [each for each in streams if now + each.remaining_tokens * each.us_per_token > each.drains_by]
    late.sort(key=lambda each: (each.drains_by, -each.remaining_tokens * each.us_per_token, each.stream))
    return [each.stream for each in late[: max(limit, 0)]]
