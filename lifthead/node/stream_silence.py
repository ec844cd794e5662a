"""Ends a begun stream that brings no event for too long.

An event only notes its time; the timer looks at that time when it fires and is set again if the limit is not
reached. So the limit is exact, and an event costs no timer.
"""

import asyncio

from lifthead.hosting import LOOP_TURNS_TO_READ

MAX_CLIENT_WAIT = 5.0  # seconds after the last event that its engine wrote, in which a client's stream ends
MAX_HOLD_UP = 0.15  # seconds for which this process may be held up
LONGEST_PAUSE = 4.7  # seconds between two events of a running engine, whose stream must not be cut
STREAM_SILENCE_TIMEOUT = (
    MAX_CLIENT_WAIT - MAX_HOLD_UP
)  # seconds without an event, where the path takes no time
MAX_PATH_DELAY = STREAM_SILENCE_TIMEOUT - LONGEST_PAUSE  # seconds by which the path may shorten that


def silence_timeout(path_delay: float) -> float:
    """Returns for how many seconds a begun stream may bring no event. `path_delay`: seconds that what its
    engine writes may take to arrive."""
    return STREAM_SILENCE_TIMEOUT - min(path_delay, MAX_PATH_DELAY)


class StreamSilence:
    """Lets a timeout expire once no event has come for as long as `silence_timeout` allows."""

    def __init__(self, timeout: asyncio.Timeout, path_delay: float = 0.0) -> None:
        self._timeout = timeout
        self._path_delay = path_delay  # seconds
        self._loop = asyncio.get_running_loop()
        self._last_event_at = 0.0
        self._timer: asyncio.Handle | None = None
        self.late_by = 0.0  # seconds by which the timer fired late, once the timeout has expired

    @property
    def silent_for(self) -> float:
        """Seconds since the last event."""
        return self._loop.time() - self._last_event_at

    def on_event(self) -> None:
        """Notes that an event has come. The first one replaces what the timeout was set to."""
        self._last_event_at = self._loop.time()
        if self._timer is None:
            self._timeout.reschedule(None)
            self.resume()

    def suspend(self) -> None:
        """Stops the timer: nothing is read, so an event may have come."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def resume(self) -> None:
        """Starts the timer again. The time since the last event counts, but what has come meanwhile is read
        first."""
        if self._timer is None:
            self._timer = self._loop.call_at(self._due_at, self._check)

    @property
    def _due_at(self) -> float:
        return self._last_event_at + silence_timeout(self._path_delay)

    def _check(self, turns_left: int = LOOP_TURNS_TO_READ) -> None:
        """Expires the timeout if the limit is reached, but first lets the event loop read what has arrived
        while this process was held up."""
        due_at = self._due_at
        if self._loop.time() < due_at:
            self._timer = self._loop.call_at(due_at, self._check)
        elif turns_left:
            self._timer = self._loop.call_soon(self._check, turns_left - 1)
        else:
            self._timer = None
            self.late_by = self._loop.time() - due_at
            self._timeout.reschedule(self._loop.time())
