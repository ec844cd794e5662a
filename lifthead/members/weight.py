"""What part of its usual traffic a router wants from its balancer. Does no I/O; time and chance come in.

Only what is this router's own lowers the word: a loop that lags, hands that are full, reqs that it pushed
back. All routers before one fleet push back at the same time, and if all asked for less nothing would be
gained: so that part lowers it by half at most. A hundred routers that rise together would fall together, so
each rises in small steps, at times of its own."""

import random
from collections import deque

WINDOW_US = 5_000_000  # microseconds over which answers are counted
MIN_ANSWERS = 20  # answers in a span before their shares say anything
ROOM = 0.5  # share of its hands that may be full before it wants less
LAG_FINE, LAG_BAD = 20_000, 250_000  # microseconds that its loop may lag; from here on it wants least
PUSHED_FINE, PUSHED_BAD = 0.1, 0.6  # share of answers that are pushed back
MIN_PERCENT = 10  # percent; 0 would be a drain
MIN_PERCENT_FOR_REJECTIONS = 50  # percent, for reqs pushed back alone
DEAD_BAND = 15  # percent that the wish must differ before the word follows
RISE_STEP = 10  # percent that it rises at a time ...
RISE_INTERVAL_US = (1_000_000, 3_000_000)  # ... after a time drawn between these


class RecentAnswers:
    """Answers of the last few seconds: how many, pushed back, and missed (late, pushed back or aborted)."""

    def __init__(self) -> None:
        self._ended: deque[tuple[int, bool, bool]] = deque()

    def add(self, now: int, pushed_back: bool, missed: bool) -> None:
        self._ended.append((now, pushed_back, missed))
        self._age(now)

    def _age(self, now: int) -> None:
        while self._ended and self._ended[0][0] < now - WINDOW_US:
            self._ended.popleft()

    def counts(self, now: int) -> tuple[int, int, int]:
        """Answers, pushed back ones, missed ones."""
        self._age(now)
        return (
            len(self._ended),
            sum(pushed for _, pushed, _ in self._ended),
            sum(missed for _, _, missed in self._ended),
        )


def _part(value: float, fine: float, bad: float) -> float:
    """1 up to `fine`, 0 from `bad` on."""
    return min(max((bad - value) / (bad - fine), 0.0), 1.0)


def target_weight(full: float, lag: int, ended: int, pushed_back: int) -> int:
    """Percent that the facts of the moment speak for."""
    own = min(_part(full, ROOM, 1.0), _part(lag, LAG_FINE, LAG_BAD))
    pushed = _part(pushed_back / ended, PUSHED_FINE, PUSHED_BAD) if ended >= MIN_ANSWERS else 1.0
    return round(
        min(
            MIN_PERCENT + (100 - MIN_PERCENT) * own,
            MIN_PERCENT_FOR_REJECTIONS + (100 - MIN_PERCENT_FOR_REJECTIONS) * pushed,
        )
    )


class AdvertisedWeight:
    """The word, with hysteresis: it falls at once where the wish is clearly lower, and rises step by step."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._rises_at = 0
        self.percent = 100

    def update(self, now: int, wished: int) -> int:
        """The percent to tell from here on; called a few times a second."""
        if wished <= self.percent - DEAD_BAND:
            self.percent = wished
            self._rises_at = now + self._chance.randint(*RISE_INTERVAL_US)
        elif now >= self._rises_at and (wished >= self.percent + DEAD_BAND or wished == 100 > self.percent):
            self.percent = min(self.percent + RISE_STEP, wished)
            self._rises_at = now + self._chance.randint(*RISE_INTERVAL_US)
        return self.percent
