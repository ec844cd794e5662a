"""How warm an engine is, and when too much work has it fall over; for stand-ins and the laboratory alike."""

from collections import deque

from lifthead.deployment.fleet import Rules


class WarmUp:
    """One life of an engine. Times are the caller's, in microseconds."""

    def __init__(self, rules: Rules, started_at: int, cold: bool) -> None:
        self._rules, self._started_at, self._cold = rules, started_at, cold
        self._arrived: deque[tuple[int, float]] = deque()  # work that came while cold
        self.overloaded = False

    def capacity_fraction(self, now: int) -> float:
        """What it can do, as a part of what it can do when warm."""
        age = (now - self._started_at) / max(self._rules.warm_within, 1)
        if not self._cold or age >= 1:
            return 1.0
        return self._rules.cold_share + (1 - self._rules.cold_share) * age

    def add_work(self, now: int, work: float) -> bool:
        """Counts what is sent to it; True if that has it fall over, for good, just now."""
        warmth = self.capacity_fraction(now)
        if warmth >= 1:
            return False
        self._arrived.append((now, work))
        while self._arrived[0][0] < now - self._rules.overload_for:
            self._arrived.popleft()
        bound = self._rules.tip_multiple * warmth * self._rules.overload_for
        total = sum(each for _, each in self._arrived)
        fell = not self.overloaded and total > bound + 3 * total / len(self._arrived)
        self.overloaded = self.overloaded or fell
        return fell
