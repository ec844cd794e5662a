"""What becomes of an emulated day's reqs: counts, times, where importance was lost."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from lifthead.deployment.fleet import Fleet
from lifthead.lab.crowd import Want

LONGEST = 3_600_000_000  # microseconds


class Tally:
    def __init__(self, fleet: Fleet, put: Callable[..., None]) -> None:
        self.fleet, self.put = fleet, put
        self.ends: Counter[str] = Counter()
        self.first = HdrHistogram(1, LONGEST, 3)
        self.asked = self.earned = 0.0
        self.lost: Counter[str] = Counter()  # importance by what it was lost to
        self._open: dict[str, str] = {}  # a want's last answer

    def wanted(self, want: Want, importance: float) -> None:
        self.asked += importance
        self._open[want.name] = "not taken"
        self.lost["not taken"] += importance

    def answered(self, want: Want, how: str, first: int, asked_at: int) -> None:
        group = self.fleet.groups[want.session.mix.group]
        self.ends[how] += 1
        if want.name not in self._open:
            return
        self.lost[self._open[want.name]] -= group.importance
        if how != "done":
            self._open[want.name] = how
            self.lost[how] += group.importance
            return
        del self._open[want.name]
        self.first.record_value(max(first, 1))
        late = asked_at + first - want.at > want.target
        earned = group.importance * (group.late_share if late else 1.0)
        if late:
            self.lost["late"] += group.importance - earned
        self.earned += earned

    def summary(self) -> dict[str, Any]:
        ends = self.ends
        return {
            "reqs": sum(ends.values()) - ends["not taken"],
            "done": ends["done"],
            "pushed_back": ends["pushed back"],
            "aborted": ends["aborted"],
            "left": ends["left"],
            "router_killed": ends["router killed"],
            "first_p50_ms": self.first.get_value_at_percentile(50) / 1000,
            "first_p99_ms": self.first.get_value_at_percentile(99) / 1000,
            "service": round(self.earned / self.asked, 4) if self.asked else 0.0,
            "lost": {
                why: round(part / self.asked, 4) for why, part in sorted(self.lost.items()) if part > 1e-9
            },
        }
