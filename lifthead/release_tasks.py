"""Carries out what lifthead/releases.py schedules: one task for each request that may have left a state.

It outlives the request, and a process that ends waits for it. How an engine is asked is the host's own.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from lifthead.guard import RequestGuard

LIVENESS_INTERVAL = (
    1_000_000  # microseconds between questions to an engine that does not answer, at the least
)

# Asks engines to release what is held for a request: when what was answered was sent, 0 if nothing was.
SendReleases = Callable[[RequestGuard], Awaitable[int]]
# Whether an engine runs, for this request: when something was sent to it, after this time, that it has
# answered; 0 if nothing was.
CheckAlive = Callable[[str, RequestGuard, int], Awaitable[int]]
Spawn = Callable[[Coroutine[Any, Any, None], str], asyncio.Task[None]]


class ReleaseTasks:
    """`now`: the clock of the schedules, microseconds; `spawn`: starts a task of the process."""

    def __init__(
        self, now: Callable[[], int], spawn: Spawn, send_releases: SendReleases, check_alive: CheckAlive
    ) -> None:
        self._now, self._spawn, self._send_releases, self._check_alive = (
            now,
            spawn,
            send_releases,
            check_alive,
        )
        self._schedule_changed: dict[RequestGuard, asyncio.Event] = {}
        self._waiting_for_engine: dict[
            str, set[RequestGuard]
        ] = {}  # by engine that has not shown the end of an attempt
        self._liveness_tasks: dict[str, asyncio.Task[None]] = {}
        self._stopping = False

    @property
    def guards(self) -> list[RequestGuard]:
        """The guards of requests whose releases are under way."""
        return list(self._schedule_changed)

    def update(self, guard: RequestGuard) -> None:
        """The schedule of this request may have changed, or a release has ended."""
        for engine in () if self._stopping else guard.releases.silent_engines(self._now()):
            self._waiting_for_engine.setdefault(engine, set()).add(guard)
            if engine not in self._liveness_tasks:
                self._liveness_tasks[engine] = self._spawn(
                    self._check_until_alive(engine), f"whether {engine} runs"
                )
        if changed := self._schedule_changed.get(guard):
            changed.set()
        elif guard.releases.next_at() is not None:
            self._schedule_changed[guard] = asyncio.Event()
            self._spawn(self._run_schedule(guard), f"the releases of {guard.request}")

    def stop(self) -> None:
        """The process ends: once the releases that are due are out, no engine is asked any more."""
        self._stopping = True
        if not self._schedule_changed:
            for task in self._liveness_tasks.values():
                task.cancel()

    async def _check_until_alive(self, engine: str) -> None:
        """Asks an engine whether it runs, one question at a time for all requests that wait for that."""
        try:
            while (since := self._check_from(engine)) is not None:
                again_at = self._now() + LIVENESS_INTERVAL
                asked_at = await self._check_alive(
                    engine, next(iter(self._waiting_for_engine[engine])), since
                )
                if not asked_at:
                    await asyncio.sleep(max(again_at - self._now(), 0) / 1e6)
                for guard in list(self._waiting_for_engine[engine]) if asked_at else ():
                    guard.on_engine_alive(engine, asked_at, self._now())
                    self.update(guard)
        finally:
            del self._waiting_for_engine[engine], self._liveness_tasks[engine]

    def _check_from(self, engine: str) -> int | None:
        """When the first of the requests that wait for this engine may learn whether it runs; None while none
        waits."""
        waiting = {
            guard: guard.releases.silent_engines(self._now()) for guard in self._waiting_for_engine[engine]
        }
        self._waiting_for_engine[engine] = {guard for guard, engines in waiting.items() if engine in engines}
        return min((waiting[guard][engine] for guard in self._waiting_for_engine[engine]), default=None)

    async def _run_schedule(self, guard: RequestGuard) -> None:
        changed = self._schedule_changed[guard]
        try:
            while (due_at := guard.releases.next_at()) is not None:
                changed.clear()
                if (waits := due_at - self._now()) > 0:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(waits / 1e6):
                            await changed.wait()
                    continue
                guard.on_release_sent(self._now())
                self._spawn(self._release_once(guard), f"a release of {guard.request}")
        finally:
            del self._schedule_changed[guard]
            if self._stopping:
                self.stop()

    async def _release_once(self, guard: RequestGuard) -> None:
        if asked_at := await self._send_releases(guard):
            guard.on_release_answered(asked_at)
        self.update(guard)
