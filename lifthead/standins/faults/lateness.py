"""Measures how long the harness itself is held up, so that a run on an overloaded machine gives no verdict.

The checker's rules have limits of a few hundred milliseconds. A harness that is held up for as long as that
neither forwards nor records bytes in time, and the processes beside it are held up in the same way.
"""

import asyncio
import time
from types import TracebackType

MAX_LATENESS_MS = 200  # a run in which the harness is held up for longer is inconclusive
SAMPLE_INTERVAL = 0.02  # seconds


class RunResult:
    """The result of a run. `late_ms` is the longest time for which the harness itself was held up."""

    late_ms: int

    @property
    def inconclusive(self) -> bool:
        """Whether the harness was held up for too long to judge the run."""
        return self.late_ms > MAX_LATENESS_MS


class LatenessMonitor:
    """Measures the longest delay of the event loop while its `async with` block runs."""

    def __init__(self) -> None:
        self.longest_ms = 0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "LatenessMonitor":
        # `__aexit__` cancels and awaits it; a TaskGroup would wrap the exceptions of the block itself.
        self._task = asyncio.create_task(self._sample())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._task
        self._task.cancel()
        await asyncio.wait([self._task])

    async def _sample(self) -> None:
        while True:
            due_at = time.monotonic() + SAMPLE_INTERVAL
            await asyncio.sleep(SAMPLE_INTERVAL)
            self.longest_ms = max(self.longest_ms, int((time.monotonic() - due_at) * 1000))
