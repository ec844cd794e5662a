"""Runs the release schedules of lifthead/releases.py, one task for each request that may have left a state.

A task outlives its request, and a process that stops waits for its tasks. The host provides the functions
that talk to engines.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from lifthead.guard import RequestGuard

LIVENESS_INTERVAL = 1_000_000  # minimum microseconds between checks of an engine that does not answer

# Asks engines to release what is held for a request. Returns when the answered message was sent, 0 if none
# was answered.
SendReleases = Callable[[RequestGuard], Awaitable[int]]
# Checks for a request whether an engine runs. Returns when a message that it answered was sent, which is at
# the given time or later; 0 if none was answered.
CheckAlive = Callable[[str, RequestGuard, int], Awaitable[int]]
Spawn = Callable[[Coroutine[Any, Any, None], str], asyncio.Task[None]]


class ReleaseTasks:
    """The running release schedules of a process.

    `now`: the clock of the schedules, microseconds; `spawn`: starts a background task."""

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
        # By engine: guards with a closed attempt that the engine may still have to process.
        self._waiting_for_engine: dict[str, set[RequestGuard]] = {}
        self._liveness_tasks: dict[str, asyncio.Task[None]] = {}
        self._stopping = False

    @property
    def guards(self) -> list[RequestGuard]:
        """The guards whose release schedules are running."""
        return list(self._schedule_changed)

    def update(self, guard: RequestGuard) -> None:
        """Starts or wakes the tasks of a request whose schedule may have changed."""
        for engine in () if self._stopping else guard.releases.silent_engines(self._now()):
            self._waiting_for_engine.setdefault(engine, set()).add(guard)
            if engine not in self._liveness_tasks:
                self._liveness_tasks[engine] = self._spawn(
                    self._check_until_alive(engine), f"the liveness check of {engine}"
                )
        if changed := self._schedule_changed.get(guard):
            changed.set()
        elif guard.releases.next_release_at() is not None:
            self._schedule_changed[guard] = asyncio.Event()
            self._spawn(self._run_schedule(guard), f"the releases of {guard.request}")

    def stop(self) -> None:
        """Stops the checks of engines once the release schedules that are running have ended."""
        self._stopping = True
        if not self._schedule_changed:
            for task in self._liveness_tasks.values():
                task.cancel()

    async def _check_until_alive(self, engine: str) -> None:
        """Checks whether an engine runs, one check at a time for all requests that wait for it."""
        try:
            while (since := self._check_from(engine)) is not None:
                next_check_at = self._now() + LIVENESS_INTERVAL
                sent_at = await self._check_alive(engine, next(iter(self._waiting_for_engine[engine])), since)
                if not sent_at:
                    await asyncio.sleep(max(next_check_at - self._now(), 0) / 1e6)
                for guard in list(self._waiting_for_engine[engine]) if sent_at else ():
                    guard.on_engine_alive(engine, sent_at, self._now())
                    self.update(guard)
        finally:
            del self._waiting_for_engine[engine], self._liveness_tasks[engine]

    def _check_from(self, engine: str) -> int | None:
        """Returns the time from which an answer of this engine helps a waiting request; None if none
        waits."""
        waiting = {
            guard: guard.releases.silent_engines(self._now()) for guard in self._waiting_for_engine[engine]
        }
        self._waiting_for_engine[engine] = {guard for guard, engines in waiting.items() if engine in engines}
        return min((waiting[guard][engine] for guard in self._waiting_for_engine[engine]), default=None)

    async def _run_schedule(self, guard: RequestGuard) -> None:
        changed = self._schedule_changed[guard]
        try:
            while (due_at := guard.releases.next_release_at()) is not None:
                changed.clear()
                if (wait_us := due_at - self._now()) > 0:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(wait_us / 1e6):
                            await changed.wait()
                    continue
                guard.on_release_sent(self._now())
                self._spawn(self._release_once(guard), f"a release of {guard.request}")
        finally:
            del self._schedule_changed[guard]
            if self._stopping:
                self.stop()

    async def _release_once(self, guard: RequestGuard) -> None:
        if sent_at := await self._send_releases(guard):
            guard.on_release_answered(sent_at)
        self.update(guard)
