"""The part of the daemon's host that keeps streams alive when an engine breaks off, falls silent or drains.

What is placed again, when and how often is decided in lifthead/resume/; here a broken stream becomes a
request of the decision module once more, with the answer so far as its prompt, or ends with an error event.
"""

import asyncio
from typing import Any

from lifthead.resume.resume_queue import BrokenStream, DrainingStream, ResumeQueue, streams_to_move
from lifthead.resume.stall_detector import StallDetector

from lifthead.chat import codec as chat
from lifthead.daemon.gauges import Gauges
from lifthead.daemon.requests import ChatAttempt, ChatRequest
from lifthead.engines.codec import Observation
from lifthead.hosting import BaseHost, now
from lifthead.resume.splice import continuation
from lifthead.resume.splice import obstacle as splice_obstacle

LOOK_EVERY = 0.05  # seconds between looks at running streams


class ResumingHost(BaseHost):
    """Added to by lifthead/daemon/host.py, which sets what is declared here."""

    gauges: Gauges
    notice: StallDetector
    rescue: ResumeQueue
    _log: Any
    _resumes: bool
    _streams: dict[int, ChatRequest]  # whose stream has begun and may break, by serial number

    def _tell(self, pending: ChatRequest, budget: int, prompt: int, max_out: int) -> None:
        """Has the decision module place what is left of a request."""
        raise NotImplementedError

    def _broken(self, pending: ChatRequest, attempt: ChatAttempt, observation: Observation) -> bool:
        """A stream broke. True if it waits for another place; else its client has had an end."""
        written = pending.written.parse()
        pending.made += written.tokens - pending.before
        pending.sent_tokens, pending.before = written.tokens, written.tokens
        pending.broken_at, pending.cause = now(), attempt.lost or observation.name.lower()
        if written.finished:  # only the last events are missing: the answer is whole
            if self._set_final_answer(pending, "done"):
                pending.reply.end(b"data: [DONE]\n\n")
            self.gauges.broken(pending.cause, "whole already")
            return False
        broken = self._as_broken(pending, attempt)
        why = self.rescue.add(broken) if self._resumes else "resume is off"
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
        pending.answer_started, pending.ran = False, (attempt.engine, attempt.sent_at)
        self._streams[pending.serial] = pending
        return True

    def _break_off(self, pending: ChatRequest, why: str) -> None:
        """The end of a begun stream that can't go on: an error event, never a silent end."""
        self.rescue.remove(pending.serial)
        self._streams.pop(pending.serial, None)
        if self._set_final_answer(pending, "aborted"):
            self.gauges.broken(pending.cause or "stopped", "aborted")
            pending.reply.end(chat.error_event("stream_broken", f"the stream can't go on: {why}"))

    def _place(self) -> None:
        """Streams whose turn it is become requests of the module again, with the answer so far as prompt."""
        self.rescue.running_streams = len(self._streams) - self.rescue.waiting_count
        for broken in self.rescue.take_next(now()):
            pending = self._streams[broken.stream]
            asked, at = pending.asked, now()
            del self.pending_requests[pending.id]
            pending.id, self._next_id = self._next_id, self._next_id + 1
            self.pending_requests[pending.id] = pending
            pending.legs, pending.attempts = pending.legs + 1, 0
            pending.body = continuation(asked.body, pending.written)
            self.gauges.read_anew.inc(broken.prefill_tokens)
            pending.read_anew += broken.prefill_tokens
            self._tell(
                pending,
                self.rescue.first_token_budget(broken, at),
                broken.prefill_tokens,
                broken.remaining_tokens,
            )

    def _as_broken(self, pending: ChatRequest, attempt: ChatAttempt) -> BrokenStream:
        asked, written = pending.asked, pending.written.parse()
        return BrokenStream(
            stream=pending.serial,
            tenant=asked.tenant,
            request_class=self._request_classes[asked.group],
            sent_tokens=written.tokens,
            prefill_tokens=asked.prompt + written.tokens,
            remaining_tokens=max(asked.max_out - written.tokens, 1),
            resumes=pending.legs,
            attempt_sent_at=attempt.sent_at,
            obstacle=splice_obstacle(asked.body) or ("a tool call" if written.has_tool_call else ""),
            broken_at=now(),
        )

    def _movable(self, pending: ChatRequest | None) -> bool:
        """Whether a running stream could go on elsewhere. One that could not is left to its writer, which may
        wake, and to the last guard: to cut it would only break it."""
        attempt = pending.attempt if pending else None
        if (
            not self._resumes
            or pending is None
            or attempt is None
            or not pending.answer_started
            or attempt.cancelled
        ):
            return False
        return not self.rescue.refusal_reason(self._as_broken(pending, attempt))

    def _lose(self, serial: int, cause: str) -> None:
        """Gives up a running stream's attempt: its connection is cut, and late bytes of it reach nobody."""
        pending = self._streams.get(serial)
        if pending and pending.attempt and self._movable(pending):
            pending.attempt.lost = cause
            self.cancel_attempt(pending.id, pending.attempt.number)

    async def look_after_streams(self) -> None:
        """Looks for silent writers, for streams that would outlive a drain, and for those that waited too
        long."""
        then = self._loop.time()
        while True:
            await asyncio.sleep(LOOK_EVERY)
            late = self._loop.time() - then - LOOK_EVERY
            then = self._loop.time()
            if late > LOOK_EVERY:
                self.notice.router_stalled(round(late * 1e6))
                continue  # what came meanwhile is read first
            self.check_held_states()
            at = now()
            for loss in self.notice.lost_streams(at):
                self._lose(loss.stream, loss.cause)
            for serial in streams_to_move(
                self._outliving(), at, self.rescue.max_in_flight - self.rescue.waiting_count
            ):
                self._lose(serial, "drain")
            for broken in self.rescue.expire(at):
                self._break_off(self._streams[broken.stream], "no place was free in time")
            self._place()
            self.gauges.waiting.set(self.rescue.waiting_count)

    def _outliving(self) -> list[DrainingStream]:
        """Running streams at engines whose drain has a time limit, those that can be moved."""
        due = {
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.drains_by and endpoint.readiness == "draining"
        }
        found = []
        for serial, pending in self._streams.items() if due else ():
            attempt = pending.attempt
            if not (attempt and attempt.engine in due and attempt.tokens and self._movable(pending)):
                continue
            pace = (now() - attempt.sent_at) // attempt.tokens
            left = max(pending.asked.max_out - pending.written.tokens - attempt.tokens, 1)
            found.append(
                DrainingStream(serial, self.endpoints[attempt.engine].drains_by, left, pace, attempt.tokens)
            )
        return found
