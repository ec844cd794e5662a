"""Ends a begun stream that brings no event for too long.

An event only notes its time; the timer looks at that time when it fires and is set again if the limit is not
reached. So the limit is exact, and an event costs no timer.
"""

import asyncio

from lifthead.hosting import LOOP_TURNS_TO_READ

# Seconds without an event. A client must not be left waiting for 5 s after the last event of a running
# engine, and its stream must not be cut before; a router may be held up for 0.15 s.
STREAM_SILENCE_TIMEOUT = 4.85


class StreamSilence:
    """Lets a timeout expire once no event has come for STREAM_SILENCE_TIMEOUT seconds."""

    def __init__(self, timeout: asyncio.Timeout) -> None:
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._last_event_at = 0.0
        self._timer: asyncio.Handle | None = None
        self.late_by = 0.0  # seconds by which the timer fired late, once the timeout has expired

    @property
    def silent_for(self) -> float:
        """Seconds since the last event."""
        return self._loop.time() - self._last_event_at

    def on_event(self) -> None:
        """Notes that an event was passed on. The first one replaces what the timeout was set to."""
        self._last_event_at = self._loop.time()
        if self._timer is None:
            self._timeout.reschedule(None)
            self._timer = self._loop.call_at(self._last_event_at + STREAM_SILENCE_TIMEOUT, self._check)

    def suspend(self) -> None:
        """Stops the clock until the next event is noted."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _check(self, turns_left: int = LOOP_TURNS_TO_READ) -> None:
        """Expires the timeout if the limit is reached, but first lets the event loop read what has arrived
        while this process was held up."""
        due_at = self._last_event_at + STREAM_SILENCE_TIMEOUT
        if self._loop.time() < due_at:
            self._timer = self._loop.call_at(due_at, self._check)
        elif turns_left:
            self._timer = self._loop.call_soon(self._check, turns_left - 1)
        else:
            self._timer = None
            self.late_by = self._loop.time() - due_at
            self._timeout.reschedule(self._loop.time())
