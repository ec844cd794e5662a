"""Carries out what lifthead/releases.py schedules: one task for each request that may have left a state.

It outlives the request, and a process that ends waits for it. How an engine is asked is the host's own.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from lifthead.guard import RequestGuard

ASK_EVERY = 1_000_000  # microseconds between questions to an engine that does not answer, at the least

# Asks engines to release what is held for a request: when what was answered was sent, 0 if nothing was.
Ask = Callable[[RequestGuard], Awaitable[int]]
# Whether an engine runs, for this request: when something was sent to it, after this time, that it has
# answered; 0 if nothing was.
AskEngine = Callable[[str, RequestGuard, int], Awaitable[int]]
Spawn = Callable[[Coroutine[Any, Any, None], str], asyncio.Task[None]]


class ReleaseTasks:
    """`now`: the clock of the schedules, microseconds; `spawn`: starts a task of the process."""

    def __init__(self, now: Callable[[], int], spawn: Spawn, ask: Ask, ask_engine: AskEngine) -> None:
        self._now, self._spawn, self._ask, self._ask_engine = now, spawn, ask, ask_engine
        self._changed: dict[RequestGuard, asyncio.Event] = {}
        self._silent: dict[str, set[RequestGuard]] = {}  # by engine that has not shown the end of an attempt
        self._watches: dict[str, asyncio.Task[None]] = {}
        self._stopping = False

    @property
    def guards(self) -> list[RequestGuard]:
        """The guards of requests whose releases are under way."""
        return list(self._changed)

    def look_at(self, guard: RequestGuard) -> None:
        """The schedule of this request may have changed, or a release has ended."""
        for engine in () if self._stopping else guard.releases.silent_engines(self._now()):
            self._silent.setdefault(engine, set()).add(guard)
            if engine not in self._watches:
                self._watches[engine] = self._spawn(self._watch(engine), f"whether {engine} runs")
        if changed := self._changed.get(guard):
            changed.set()
        elif guard.releases.next_release_at() is not None:
            self._changed[guard] = asyncio.Event()
            self._spawn(self._follow(guard), f"the releases of {guard.request}")

    def stop(self) -> None:
        """The process ends: once the releases that are due are out, no engine is asked any more."""
        self._stopping = True
        if not self._changed:
            for watch in self._watches.values():
                watch.cancel()

    async def _watch(self, engine: str) -> None:
        """Asks an engine whether it runs, one question at a time for all requests that wait for that."""
        try:
            while (since := self._silent_since(engine)) is not None:
                again_at = self._now() + ASK_EVERY
                asked_at = await self._ask_engine(engine, next(iter(self._silent[engine])), since)
                if not asked_at:
                    await asyncio.sleep(max(again_at - self._now(), 0) / 1e6)
                for guard in list(self._silent[engine]) if asked_at else ():
                    guard.engine_runs(engine, asked_at, self._now())
                    self.look_at(guard)
        finally:
            del self._silent[engine], self._watches[engine]

    def _silent_since(self, engine: str) -> int | None:
        """When the first of the requests that wait for this engine may learn whether it runs; None while none
        waits."""
        waiting = {guard: guard.releases.silent_engines(self._now()) for guard in self._silent[engine]}
        self._silent[engine] = {guard for guard, engines in waiting.items() if engine in engines}
        return min((waiting[guard][engine] for guard in self._silent[engine]), default=None)

    async def _follow(self, guard: RequestGuard) -> None:
        changed = self._changed[guard]
        try:
            while (due := guard.releases.next_release_at()) is not None:
                changed.clear()
                if (waits := due - self._now()) > 0:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(waits / 1e6):
                            await changed.wait()
                    continue
                guard.release_sent(self._now())
                self._spawn(self._release(guard), f"a release of {guard.request}")
        finally:
            del self._changed[guard]
            if self._stopping:
                self.stop()

    async def _release(self, guard: RequestGuard) -> None:
        if asked_at := await self._ask(guard):
            guard.release_taken(asked_at)
        self.look_at(guard)
