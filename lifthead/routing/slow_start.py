"""Slow start: limits what a cold engine is sent while it warms up (the slow_start invariant).

Routers don't exchange state, so each sends a cold engine at most a fixed share of what a warm one finishes
for it. Together they then send at most that share of a warm engine's capacity. With many routers this is less
than one attempt a window each, so it accumulates as credit, from a random start. Credit expires after a
window, so that routers don't all spend saved credit at once.
"""

from collections.abc import Iterable
from math import ceil
from random import Random

from lifthead.interface import Deployment
from lifthead.state import Engine

SAFETY_FACTOR = 0.8  # of what the invariant lets all routers together send to one engine
MIN_ATTEMPTS = 2  # a window that all routers together may send to one engine before anything is measured
HALVE_AT = 64  # engines times windows after which older measurements count half
ROLES = ("read", "write", "both", "")


class SlowStart:
    """The credit of cold engines, and the throughput of warm ones that it derives from."""

    def __init__(self, deployment: Deployment, window: int, random: Random) -> None:
        """`window`: microseconds over which the invariant counts."""
        self.duration = deployment.slow_start_duration
        self._window, self._random = window, random
        self._min_attempts = min(MIN_ATTEMPTS / deployment.routers, 1.0)
        self._share = deployment.slow_start_share * deployment.overload_multiple * SAFETY_FACTOR
        self._finished = dict.fromkeys(ROLES, 0.0)  # prefills and answers of warm engines, by role
        self._warm_windows = dict.fromkeys(ROLES, 0.0)  # engines times windows in which they were finished

    def begin(self, engine: Engine, started_at: int, now: int) -> bool:
        """Starts the slow start of an engine that came up at `started_at`. False if that is known already."""
        until = started_at + self.duration
        if until <= engine.slow_start_until:
            return False
        engine.slow_start_until, engine.slow_start_credit_at = until, now
        engine.slow_start_credit = self._random.random()
        return True

    def has_budget(self, engine: Engine, now: int, ready_of_role: int) -> bool:
        """Whether the engine may be sent an attempt. `ready_of_role`: number of ready engines of its role."""
        if now >= engine.slow_start_until:
            return True
        # In a router's first window no warm engine is counted yet; all ready ones have finished the work.
        warm_windows = self._warm_windows[engine.role] or ready_of_role
        attempts = max(self._finished[engine.role] / (warm_windows or 1) * self._share, self._min_attempts)
        credit = engine.slow_start_credit + (now - engine.slow_start_credit_at) / self._window * attempts
        engine.slow_start_credit = credit - max(ceil(credit - 1 - attempts), 0)
        engine.slow_start_credit_at = now
        return engine.slow_start_credit >= 1

    def attempt_sent(self, engine: Engine, now: int) -> None:
        """Takes the attempt from the credit of a cold engine."""
        if now < engine.slow_start_until:
            engine.slow_start_credit -= 1

    def attempt_finished(self, engine: Engine, now: int) -> None:
        """Counts a prefill or an answer that a warm engine has finished."""
        if now >= engine.slow_start_until:
            self._finished[engine.role] += 1

    def window_ended(self, ready: Iterable[Engine], now: int) -> None:
        """Counts the warm ones of the ready engines, and halves the counts of old windows."""
        for engine in ready:
            if now >= engine.slow_start_until:
                self._warm_windows[engine.role] += 1
        for role in ROLES:
            if self._warm_windows[role] > HALVE_AT:
                self._warm_windows[role] /= 2
                self._finished[role] /= 2
