"""The share of its usual traffic, in percent, that a router asks its load balancer for. Does no I/O; time and
random numbers are passed in.

Only causes within this router lower its weight: event-loop lag, too many pending requests, rejected requests.
All routers of an overloaded fleet reject at the same time, and nothing would be gained if all of them asked
for less traffic: rejections alone lower the weight to half at most. Routers that raised their weights in step
would also drop together, so each one rises in small steps at random times."""

import random
from collections import deque

WINDOW_US = 5_000_000  # over which answers are counted
MIN_ANSWERS = 20  # within the window, before their shares count
OCCUPANCY_FINE = 0.5  # share of the pending-request limit in use, above which the weight falls
# The weight falls from FINE on and is lowest from BAD on.
LAG_FINE, LAG_BAD = 20_000, 250_000  # microseconds of event-loop lag
REJECTED_FINE, REJECTED_BAD = 0.1, 0.6  # share of rejected answers
MIN_PERCENT = 10  # 0 would be a drain
MIN_PERCENT_FOR_REJECTIONS = 50  # lowest weight that rejections alone lead to
DEAD_BAND = 15  # percent by which the target must differ before the weight follows
RISE_STEP = 10  # percent by which the weight rises at a time
RISE_INTERVAL_US = (1_000_000, 3_000_000)  # the time between two rises is drawn from this range


class RecentAnswers:
    """Counts the answers of the last few seconds: all, rejected, and missed (late, rejected or failed)."""

    def __init__(self) -> None:
        self._answers: deque[tuple[int, bool, bool]] = deque()

    def add(self, now: int, rejected: bool, missed: bool) -> None:
        self._answers.append((now, rejected, missed))
        self._expire(now)

    def _expire(self, now: int) -> None:
        while self._answers and self._answers[0][0] < now - WINDOW_US:
            self._answers.popleft()

    def counts(self, now: int) -> tuple[int, int, int]:
        """All answers, rejected ones, missed ones."""
        self._expire(now)
        return (
            len(self._answers),
            sum(rejected for _, rejected, _ in self._answers),
            sum(missed for _, _, missed in self._answers),
        )


def _headroom(value: float, fine: float, bad: float) -> float:
    """1 up to `fine`, 0 from `bad` on, linear in between."""
    return min(max((bad - value) / (bad - fine), 0.0), 1.0)


def target_weight(occupancy: float, lag: int, answers: int, rejected: int) -> int:
    """The percentage that the present load calls for."""
    own = min(_headroom(occupancy, OCCUPANCY_FINE, 1.0), _headroom(lag, LAG_FINE, LAG_BAD))
    by_rejections = (
        _headroom(rejected / answers, REJECTED_FINE, REJECTED_BAD) if answers >= MIN_ANSWERS else 1.0
    )
    return round(
        min(
            MIN_PERCENT + (100 - MIN_PERCENT) * own,
            MIN_PERCENT_FOR_REJECTIONS + (100 - MIN_PERCENT_FOR_REJECTIONS) * by_rejections,
        )
    )


class AdvertisedWeight:
    """The advertised weight, with hysteresis: it falls at once where the target is clearly lower, and rises
    in steps."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_rise_at = 0
        self.percent = 100

    def update(self, now: int, target: int) -> int:
        """The percentage to advertise from now on; called a few times a second."""
        if target <= self.percent - DEAD_BAND:
            self.percent = target
            self._next_rise_at = now + self._rng.randint(*RISE_INTERVAL_US)
        elif now >= self._next_rise_at and (
            target >= self.percent + DEAD_BAND or target == 100 > self.percent
        ):
            self.percent = min(self.percent + RISE_STEP, target)
            self._next_rise_at = now + self._rng.randint(*RISE_INTERVAL_US)
        return self.percent
