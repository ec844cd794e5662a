"""Relays the event stream of a decode engine to its client, event by event as they arrive.

The host keeps the decisions: it is told when the stream has begun and when it is complete.
"""

import asyncio
from dataclasses import dataclass
from typing import Any, Protocol

from lifthead.engines.codec import Observation
from lifthead.engines.link import Connection
from lifthead.hosting import AttemptInFlight
from lifthead.http1 import HttpError
from lifthead.interface import LoadReport
from lifthead.memory import UNPOOLED_BYTES, MemoryPool
from lifthead.node import engines
from lifthead.node.stream_silence import StreamSilence


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What was observed of an attempt, the prompt tokens that were found in the prefix cache, the load report
    that came with the answer, and why the answer can't be used, for the log."""

    observation: Observation
    cached_tokens: int = 0
    report: LoadReport | None = None
    reason: str = ""


class StreamListener(Protocol):
    """What the host does when a stream begins and when it is complete."""

    def on_stream_begun(self, pending: Any, attempt: AttemptInFlight) -> None:
        """The first event has come. No other attempt follows."""

    def on_stream_complete(self, pending: Any, rest: bytes) -> None:
        """All events and the last chunk have come. `rest`: what is left to be passed on."""


class StreamRelay:
    """One stream: from its first event on, another attempt is impossible, and only another event restarts the
    clock of `silence`. Other bytes, such as comments or half an event, leave the client waiting."""

    def __init__(
        self,
        pending: Any,
        attempt: AttemptInFlight,
        connection: Connection,
        timeout: asyncio.Timeout,
        memory: MemoryPool,
        path_delay: float = 0.0,
    ) -> None:
        """`path_delay`: seconds that what the engine writes may take to arrive."""
        self._pending, self._attempt, self._connection = pending, attempt, connection
        self._events = engines.EventStream()
        self._silence = StreamSilence(timeout, path_delay)
        self._memory = memory.open_account()  # for what waits here

    def __str__(self) -> str:
        """For the log: how far the stream had come, and how late the timer was that ended it."""
        end_mark, parser = "yes" if self._events.ended else "no", self._connection.parser
        return (
            f"events={self._events.event_count} last_event_ms={self._silence.silent_for * 1e3:.0f} "
            f"end_mark={end_mark} partial_bytes={self._events.buffered_bytes} "
            f"chunk_claimed={parser.claimed_bytes} chunk_came={parser.open_bytes} "
            f"timer_late_ms={self._silence.late_by * 1e3:.0f}"
        )

    async def run(self, listener: StreamListener) -> AttemptResult:
        """Relays to the end of the stream. Raises HttpError if it violates the protocol, OSError if the
        connection breaks; the timeout expires if no event comes for too long."""
        try:
            return await self._relay(listener)
        finally:
            self._silence.suspend()
            self._memory.close()

    async def _relay(self, listener: StreamListener) -> AttemptResult:
        pending, events = self._pending, self._events
        while data := await self._connection.read_body():
            previous_event_count = events.event_count
            try:
                complete_events = events.feed(data)
            except HttpError:
                self._send_sound_events()
                raise
            self._check_memory()
            if not events.begun:
                continue
            if pending.final_answer:
                return AttemptResult(Observation.CALLED_OFF)
            if self._connection.error and not pending.answer_started:
                raise self._connection.error  # another attempt is still possible
            has_room = self._pass_on(complete_events, listener)
            has_progressed = events.event_count > previous_event_count
            if has_progressed:
                self._silence.on_event()
            if not has_room:
                if has_progressed:
                    self._silence.suspend()  # a slow client is not a silent engine
                await pending.reply.wait_writable()
                self._silence.resume()
        listener.on_stream_complete(pending, events.finish())
        return AttemptResult(Observation.WRITTEN, events.cached_tokens, events.report)

    def _send_sound_events(self) -> None:
        """Sends the client of a begun stream the events that came before an error."""
        if self._pending.answer_started and self._events.sound_before_error:
            self._pending.reply.send(self._events.sound_before_error)

    def _check_memory(self) -> None:
        """Raises HttpError if what waits for the rest of its event finds no memory."""
        buffered = self._events.buffered_bytes
        self._memory.hold(buffered + self._pending.reply.unsent_bytes)
        if buffered > UNPOOLED_BYTES and not self._memory.may_grow():
            raise HttpError(502, "no memory is left for the rest of an event or for more comments")

    def _pass_on(self, complete_events: bytes, listener: StreamListener) -> bool:
        """Sends events to the client. Returns whether it has room for more."""
        pending = self._pending
        if not pending.answer_started:
            listener.on_stream_begun(pending, self._attempt)
            pending.reply.begin({}, complete_events)
            return True
        return pending.reply.send(complete_events) if complete_events else True
