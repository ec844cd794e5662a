"""The slow start of an engine, and the overload that makes a cold one fail.

The stand-ins and the lab share it.
"""

from collections import deque

from lifthead.deployment.fleet import Rules


class WarmUp:
    """The warm-up of one engine process. The caller gives all times, in microseconds."""

    def __init__(self, rules: Rules, started_at: int, cold: bool) -> None:
        self._rules, self._started_at, self._cold = rules, started_at, cold
        self._arrivals: deque[tuple[int, float]] = deque()  # work that arrived while the engine was cold
        self.overloaded = False

    def capacity_fraction(self, now: int) -> float:
        """The engine's capacity, as a share of its capacity when warm."""
        age = (now - self._started_at) / max(self._rules.warm_within, 1)
        if not self._cold or age >= 1:
            return 1.0
        return self._rules.cold_share + (1 - self._rules.cold_share) * age

    def add_work(self, now: int, work: float) -> bool:
        """Counts work sent to the engine. Returns True if it now fails under overload, which is permanent."""
        capacity = self.capacity_fraction(now)
        if capacity >= 1:
            return False
        self._arrivals.append((now, work))
        while self._arrivals[0][0] < now - self._rules.overload_for:
            self._arrivals.popleft()
        bound = self._rules.tip_multiple * capacity * self._rules.overload_for
        total = sum(arrived_work for _, arrived_work in self._arrivals)
        fails = not self.overloaded and total > bound + 3 * total / len(self._arrivals)
        self.overloaded = self.overloaded or fails
        return fails
