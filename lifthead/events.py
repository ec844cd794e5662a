"""Keeps a bounded ring buffer of recent request events, and logs the unusual ones.

The whole ring is logged on SIGUSR1, and the events of one request when it breaks an invariant. The standard
logger is used because structlog adds 0.13 s of processor time and 5 MB to the start of a node, which a fleet
pays at each restart.
"""

import logging
from collections import deque
from enum import Enum
from typing import NamedTuple

RING_SIZE = 2048  # events; enough for the latest few hundred requests


class Event(Enum):
    """What can happen to a request, to one of its attempts and to the state held for it."""

    ACCEPTED = "request_taken"
    CONNECTING = "attempt_connecting"
    SENDING = "attempt_writing"
    SENT = "attempt_written"
    CONFIRMED = "attempt_confirmed"
    ENDED = "attempt_ended"
    STREAM_BROKEN = "stream_broken"
    CANCELLED = "attempt_cancelled"
    CONNECTION_CLOSED = "connection_closed"
    LEASED = "state_leased"
    FETCHED = "state_fetched"
    RELEASING = "state_releasing"
    RELEASED = "state_released"
    RELEASE_UNANSWERED = "release_unanswered"
    ENGINE_CHECKED = "engine_checked"
    ANSWERED = "request_answered"
    FORGOTTEN = "request_forgotten"
    VIOLATION = "invariant_violated"


class Record(NamedTuple):
    """One event. `at` is in microseconds of the monotonic clock; `detail` holds name=value pairs."""

    at: int
    event: Event
    request: str
    attempt: int
    engine: str
    detail: str

    def __str__(self) -> str:
        parts = [self.event.value, f"at_us={self.at}", f"request={self.request}"]
        if self.attempt >= 0:
            parts.append(f"attempt={self.attempt}")
        if self.engine:
            parts.append(f"engine={self.engine}")
        if self.detail:
            parts.append(self.detail)
        return " ".join(parts)


class EventLog:
    """The ring buffer of events of one router process."""

    def __init__(self, log: logging.Logger, size: int = RING_SIZE) -> None:
        self._log = log
        self._ring: deque[Record] = deque(maxlen=size)

    def add(
        self, at: int, event: Event, request: str, attempt: int = -1, engine: str = "", detail: str = ""
    ) -> Record:
        """Adds an ordinary event to the ring without logging it."""
        record = Record(at, event, request, attempt, engine, detail)
        self._ring.append(record)
        return record

    def add_and_log(
        self, at: int, event: Event, request: str, attempt: int = -1, engine: str = "", detail: str = ""
    ) -> None:
        """Adds an unusual event and logs it: a close, a retry, a rejection, a release or a failure."""
        self.log(self.add(at, event, request, attempt, engine, detail))

    def log(self, record: Record) -> None:
        """Logs an event that is in the ring already."""
        self._log.info("%s", record)

    def for_request(self, request: str) -> list[Record]:
        """Returns the events of one request that are still in the ring, oldest first."""
        return [record for record in self._ring if record.request == request]

    def dump(self, reason: str, request: str | None = None) -> None:
        """Logs the whole ring, or only the events of one request."""
        records = list(self._ring) if request is None else self.for_request(request)
        self._log.warning("event ring: %s, %d events", reason, len(records))
        for record in records:
            self._log.warning("ring %s", record)
