"""The part of the daemon's host that keeps streams alive when an engine breaks off, falls silent or drains.

What is placed again, when and how often is decided in lifthead/resume/; here a broken stream becomes a
request of the decision module once more, with the answer so far as its prompt, or ends with an error event.
"""

import asyncio
from typing import Any

from lifthead.chat import codec as chat
from lifthead.daemon.metrics import Metrics
from lifthead.daemon.requests import ChatAttempt, ChatRequest
from lifthead.engines.codec import Observation
from lifthead.hosting import Hosting, now
from lifthead.resume.notice import Notice
from lifthead.resume.rescue import Broken, Draining, Rescue, to_move
from lifthead.resume.splice import continuation
from lifthead.resume.splice import obstacle as splice_obstacle

LOOK_EVERY = 0.05  # seconds between looks at running streams


class ResumingHost(Hosting):
    """Added to by lifthead/daemon/host.py, which sets what is declared here."""

    metrics: Metrics
    stall_detector: Notice
    resumptions: Rescue
    _log: Any
    _resumes: bool
    _running_streams: dict[int, ChatRequest]  # whose stream has begun and may break, by serial number

    def _tell(self, pending: ChatRequest, budget: int, prompt: int, max_out: int) -> None:
        """Has the decision module place what is left of a request."""
        raise NotImplementedError

    def _broken(self, pending: ChatRequest, attempt: ChatAttempt, observation: Observation) -> bool:
        """A stream broke. True if it waits for another place; else its client has had an end."""
        written = pending.written.settle()
        pending.made += written.tokens - pending.before
        pending.sent_tokens, pending.before = written.tokens, written.tokens
        pending.broken_at, pending.cause = now(), attempt.lost or observation.name.lower()
        if written.finished:  # only the last events are missing: the answer is whole
            if self._answered(pending, "done"):
                pending.reply.end(b"data: [DONE]\n\n")
            self.metrics.broken(pending.cause, "whole already")
            return False
        broken = self._as_broken(pending, attempt)
        why = self.resumptions.lost(broken) if self._resumes else "resume is off"
        self._log.warning(
            "stream broken",
            req=pending.name,
            engine=attempt.engine,
            cause=pending.cause,
            written=written.tokens,
            placed_again=not why,
            why=why,
        )
        if why:
            self._break_off(pending, why)
            return False
        pending.begun, pending.ran = False, (attempt.engine, attempt.sent_at)
        self._running_streams[pending.serial] = pending
        return True

    def _break_off(self, pending: ChatRequest, why: str) -> None:
        """The end of a begun stream that can't go on: an error event, never a silent end."""
        self.resumptions.settled(pending.serial)
        self._running_streams.pop(pending.serial, None)
        if self._answered(pending, "aborted"):
            self.metrics.broken(pending.cause or "stopped", "aborted")
            pending.reply.end(chat.error_event("stream_broken", f"the stream can't go on: {why}"))

    def _place(self) -> None:
        """Streams whose turn it is become requests of the module again, with the answer so far as prompt."""
        self.resumptions.running = len(self._running_streams) - self.resumptions.waiting
        for broken in self.resumptions.next(now()):
            pending = self._running_streams[broken.stream]
            asked, at = pending.asked, now()
            del self.pending_requests[pending.id]
            pending.id, self._next = self._next, self._next + 1
            self.pending_requests[pending.id] = pending
            pending.legs, pending.attempts = pending.legs + 1, 0
            pending.body = continuation(asked.body, pending.written)
            self.metrics.read_anew.inc(broken.to_read)
            pending.read_anew += broken.to_read
            self._tell(pending, self.resumptions.budget(broken, at), broken.to_read, broken.left)

    def _as_broken(self, pending: ChatRequest, attempt: ChatAttempt) -> Broken:
        asked, written = pending.asked, pending.written.settle()
        return Broken(
            stream=pending.serial,
            tenant=asked.tenant,
            group=self._groups[asked.group],
            written=written.tokens,
            to_read=asked.prompt + written.tokens,
            left=max(asked.max_out - written.tokens, 1),
            times=pending.legs,
            ran_at=attempt.sent_at,
            obstacle=splice_obstacle(asked.body) or ("a tool call" if written.tools else ""),
            broken_at=now(),
        )

    def _movable(self, pending: ChatRequest | None) -> bool:
        """Whether a running stream could go on elsewhere. One that could not is left to its writer, which may
        wake, and to the last guard: to cut it would only break it."""
        attempt = pending.attempt if pending else None
        if not self._resumes or pending is None or attempt is None or not pending.begun or attempt.called_off:
            return False
        return not self.resumptions.refusal(self._as_broken(pending, attempt))

    def _lose(self, serial: int, cause: str) -> None:
        """Gives up a running stream's attempt: its connection is cut, and late bytes of it reach nobody."""
        pending = self._running_streams.get(serial)
        if pending and pending.attempt and self._movable(pending):
            pending.attempt.lost = cause
            self.cancel(pending.id, pending.attempt.number)

    async def supervise_streams(self) -> None:
        """Looks for silent writers, for streams that would outlive a drain, and for those that waited too
        long."""
        then = self._loop.time()
        while True:
            await asyncio.sleep(LOOK_EVERY)
            late = self._loop.time() - then - LOOK_EVERY
            then = self._loop.time()
            if late > LOOK_EVERY:
                self.stall_detector.stalled(round(late * 1e6))
                continue  # what came meanwhile is read first
            self.check_held_states()
            at = now()
            for loss in self.stall_detector.lost(at):
                self._lose(loss.stream, loss.cause)
            for serial in to_move(self._outliving(), at, self.resumptions.places - self.resumptions.waiting):
                self._lose(serial, "drain")
            for broken in self.resumptions.too_late(at):
                self._break_off(self._running_streams[broken.stream], "no place was free in time")
            self._place()
            self.metrics.waiting.set(self.resumptions.waiting)

    def _outliving(self) -> list[Draining]:
        """Running streams at engines whose drain has a time limit, those that can be moved."""
        due = {
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.drain_deadline and endpoint.readiness == "draining"
        }
        found = []
        for serial, pending in self._running_streams.items() if due else ():
            attempt = pending.attempt
            if not (attempt and attempt.engine in due and attempt.tokens and self._movable(pending)):
                continue
            pace = (now() - attempt.sent_at) // attempt.tokens
            left = max(pending.asked.max_out - pending.written.tokens - attempt.tokens, 1)
            found.append(
                Draining(serial, self.endpoints[attempt.engine].drain_deadline, left, pace, attempt.tokens)
            )
        return found
