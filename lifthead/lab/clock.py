"""Simulated time: a heap of timers. The same calls always fire in the same order."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any

Timer = list  # [due time, order, callback, args]; the callback of a cancelled timer is None


class Clock:
    def __init__(self) -> None:
        self.now = 1_000_000  # microseconds; starts above 0, which means "never" in the decision module
        self.events = 0
        self._timers: list[Timer] = []
        self._next_order = count()

    def call_at(self, due_at: float, callback: Callable[..., Any], *args: Any) -> Timer:
        timer = [max(round(due_at), self.now), next(self._next_order), callback, args]
        heappush(self._timers, timer)
        return timer

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> Timer:
        return self.call_at(self.now + delay, callback, *args)

    @staticmethod
    def cancel(timer: Timer | None) -> None:
        if timer:
            timer[2] = None

    def run_until(self, until: int) -> None:
        """Fires all timers due before `until`, then sets the time to it."""
        while self._timers and self._timers[0][0] < until:
            self.now, _, callback, args = heappop(self._timers)
            if callback:
                self.events += 1
                callback(*args)
        self.now = until
