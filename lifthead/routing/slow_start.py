"""Slow start: how much a cold engine is sent while it warms up (rule 4).

Routers tell each other nothing, so each sends a cold engine at most a fixed part of what a warm one finishes
for it: all together then send at most that part of what a warm one can do. With many routers that is less
than one attempt a window each. It is saved up as credit, from a start drawn by chance, and lapses a window
later, as all may want to send at once.
"""

from collections.abc import Iterable
from math import ceil
from random import Random

from lifthead.interface import Deployment
from lifthead.state import Engine

SAFE_PART = 0.8  # of what rule 4 would let all routers together send one
LEAST_ATTEMPTS = 2  # a window that all together may send one, however little is known yet
REMEMBERED = 64  # engines times windows after which older ones count half
ROLES = ("read", "write", "both", "")


class SlowStart:
    """Credits of cold engines, and what warm ones finish, which the credits are measured by."""

    def __init__(self, deployment: Deployment, window: int, chance: Random) -> None:
        """`window`: microseconds in which rule 4 counts."""
        self.warm_within = deployment.slow_start_duration
        self._window, self._chance = window, chance
        self._least = min(LEAST_ATTEMPTS / deployment.routers, 1.0)
        self._part = deployment.slow_start_share * deployment.overload_multiple * SAFE_PART
        self._finished = dict.fromkeys(ROLES, 0.0)  # prefills and answers, by warm engines
        self._warm_windows = dict.fromkeys(ROLES, 0.0)  # in so many windows of one warm engine

    def begin(self, engine: Engine, started_at: int, now: int) -> bool:
        """The engine is cold for a while from `started_at` on. False: that is known already."""
        until = started_at + self.warm_within
        if until <= engine.slow_start_until:
            return False
        engine.slow_start_until, engine.slow_start_credit_at = until, now
        engine.slow_start_credit = self._chance.random()
        return True

    def has_room(self, engine: Engine, now: int, ready_of_role: int) -> bool:
        """Whether the engine may be sent an attempt. `ready_of_role`: how many share its work."""
        if now >= engine.slow_start_until:
            return True
        # In a router's first window what it finished is that of all engines, however many there are.
        warm = self._warm_windows[engine.role] or ready_of_role
        part = max(self._finished[engine.role] / (warm or 1) * self._part, self._least)
        credit = engine.slow_start_credit + (now - engine.slow_start_credit_at) / self._window * part
        engine.slow_start_credit = credit - max(ceil(credit - 1 - part), 0)
        engine.slow_start_credit_at = now
        return engine.slow_start_credit >= 1

    def sent(self, engine: Engine, now: int) -> None:
        """An attempt goes to the engine; a cold one's credit pays for it."""
        if now < engine.slow_start_until:
            engine.slow_start_credit -= 1

    def finished(self, engine: Engine, now: int) -> None:
        """The engine has ended a prefill or an answer well."""
        if now >= engine.slow_start_until:
            self._finished[engine.role] += 1

    def window_over(self, ready: Iterable[Engine], now: int) -> None:
        """Counts the ready engines that are warm; old windows fade."""
        for engine in ready:
            if now >= engine.slow_start_until:
                self._warm_windows[engine.role] += 1
        for role in ROLES:
            if self._warm_windows[role] > REMEMBERED:
                self._warm_windows[role] /= 2
                self._finished[role] /= 2
