"""Results of a simulated scenario: counts of outcomes, times to first token, and where weight was lost."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from lifthead.deployment.fleet import Fleet
from lifthead.lab.clients import ClientRequest

MAX_TTFT = 3_600_000_000  # microseconds


class Results:
    def __init__(self, fleet: Fleet, record: Callable[..., None]) -> None:
        self.fleet, self.record = fleet, record
        self.outcomes: Counter[str] = Counter()
        self.ttft = HdrHistogram(1, MAX_TTFT, 3)
        self.weight_asked = self.weight_earned = 0.0
        self.weight_lost: Counter[str] = Counter()  # weight of requests not served, or served late, by reason
        self._unserved: dict[str, str] = {}  # outcome of the last attempt of each request not served so far

    def on_request(self, request: ClientRequest, weight: float) -> None:
        self.weight_asked += weight
        self._unserved[request.name] = "not taken"
        self.weight_lost["not taken"] += weight

    def on_attempt_ended(self, request: ClientRequest, outcome: str, ttft: int, asked_at: int) -> None:
        request_class = self.fleet.groups[request.session.mix.group]
        self.outcomes[outcome] += 1
        if request.name not in self._unserved:
            return
        self.weight_lost[self._unserved[request.name]] -= request_class.importance
        if outcome != "done":
            self._unserved[request.name] = outcome
            self.weight_lost[outcome] += request_class.importance
            return
        del self._unserved[request.name]
        self.ttft.record_value(max(ttft, 1))
        late = asked_at + ttft - request.asked_at > request.ttft_target
        earned = request_class.importance * (request_class.late_share if late else 1.0)
        if late:
            self.weight_lost["late"] += request_class.importance - earned
        self.weight_earned += earned

    def summary(self) -> dict[str, Any]:
        outcomes = self.outcomes
        return {
            "reqs": sum(outcomes.values()) - outcomes["not taken"],
            "done": outcomes["done"],
            "pushed_back": outcomes["pushed back"],
            "aborted": outcomes["aborted"],
            "left": outcomes["left"],
            "router_killed": outcomes["router killed"],
            "first_p50_ms": self.ttft.get_value_at_percentile(50) / 1000,
            "first_p99_ms": self.ttft.get_value_at_percentile(99) / 1000,
            "service": round(self.weight_earned / self.weight_asked, 4) if self.weight_asked else 0.0,
            "lost": {
                reason: round(weight / self.weight_asked, 4)
                for reason, weight in sorted(self.weight_lost.items())
                if weight > 1e-9
            },
        }
