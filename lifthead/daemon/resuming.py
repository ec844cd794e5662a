"""The part of the daemon's host that resumes streams whose engine fails, falls silent or drains.

lifthead/resume/ decides which streams are resumed, when and how often. Here a broken stream becomes a new
request to the decision module, with the answer so far as part of its prompt, or ends with an error event.
"""

import asyncio
from typing import Any

from lifthead.chat import codec as chat
from lifthead.daemon.metrics import Metrics
from lifthead.daemon.requests import ChatAttempt, PendingChatRequest
from lifthead.engines.codec import Observation
from lifthead.hosting import BaseHost, now
from lifthead.resume.resume_queue import BrokenStream, DrainingStream, ResumeQueue, streams_to_move
from lifthead.resume.splice import continuation
from lifthead.resume.splice import obstacle as splice_obstacle
from lifthead.resume.stall_detector import StallDetector

SUPERVISE_EVERY = 0.05  # seconds between checks of the running streams


class ResumingHost(BaseHost):
    """Base class of lifthead/daemon/host.py, which sets the attributes that are declared here."""

    metrics: Metrics
    stall_detector: StallDetector
    resumptions: ResumeQueue
    _log: Any
    _resume_enabled: bool
    _running_streams: dict[int, PendingChatRequest]  # by serial number

    def _place_chat_request(
        self, pending: PendingChatRequest, budget: int, prompt: int, max_out: int
    ) -> None:
        """Has the decision module place the rest of a request."""
        raise NotImplementedError

    def _on_stream_broken(
        self, pending: PendingChatRequest, attempt: ChatAttempt, observation: Observation
    ) -> bool:
        """Handles a broken stream. True if it waits to be resumed; otherwise its client got an end."""
        written = pending.answer_so_far.parse()
        pending.generated_tokens += written.tokens - pending.tokens_before_resume
        pending.delivered_tokens, pending.tokens_before_resume = written.tokens, written.tokens
        pending.broken_at, pending.break_cause = now(), attempt.abandon_cause or observation.name.lower()
        if written.finished:  # the answer is complete, only its last events are missing
            if self._set_final_answer(pending, "done"):
                pending.reply.end(b"data: [DONE]\n\n")
            self.metrics.count_broken(pending.break_cause, "whole already")
            return False
        broken = self._describe_broken(pending, attempt)
        why = self.resumptions.add(broken) if self._resume_enabled else "resume is off"
        self._log.warning(
            "stream broken",
            req=pending.name,
            engine=attempt.engine,
            cause=pending.break_cause,
            written=written.tokens,
            placed_again=not why,
            why=why,
        )
        if why:
            self._end_broken_stream(pending, why)
            return False
        pending.answer_started, pending.broken_attempt = False, (attempt.engine, attempt.sent_at)
        self._running_streams[pending.serial] = pending
        return True

    def _end_broken_stream(self, pending: PendingChatRequest, why: str) -> None:
        """Ends a stream that can't be resumed with an error event, so that the client notices."""
        self.resumptions.remove(pending.serial)
        self._running_streams.pop(pending.serial, None)
        if self._set_final_answer(pending, "aborted"):
            self.metrics.count_broken(pending.break_cause or "stopped", "aborted")
            pending.reply.end(chat.error_event("stream_broken", f"the stream can't go on: {why}"))

    def _place_broken_streams(self) -> None:
        """Places the broken streams that may be resumed now, with the answer so far as part of the prompt."""
        self.resumptions.running_streams = len(self._running_streams) - self.resumptions.waiting_count
        for broken in self.resumptions.take_next(now()):
            pending = self._running_streams[broken.stream]
            request, at = pending.request, now()
            del self.pending_requests[pending.id]
            pending.id, self._next_id = self._next_id, self._next_id + 1
            self.pending_requests[pending.id] = pending
            pending.resumes, pending.attempts = pending.resumes + 1, 0
            pending.engine_body = continuation(request.body, pending.answer_so_far)
            self.metrics.recomputed_tokens.inc(broken.prefill_tokens)
            pending.recomputed_tokens += broken.prefill_tokens
            self._place_chat_request(
                pending,
                self.resumptions.first_token_budget(broken, at),
                broken.prefill_tokens,
                broken.remaining_tokens,
            )

    def _describe_broken(self, pending: PendingChatRequest, attempt: ChatAttempt) -> BrokenStream:
        request, written = pending.request, pending.answer_so_far.parse()
        return BrokenStream(
            stream=pending.serial,
            tenant=request.tenant,
            request_class=self._request_classes[request.request_class],
            sent_tokens=written.tokens,
            prefill_tokens=request.prompt_tokens + written.tokens,
            remaining_tokens=max(request.max_answer_tokens - written.tokens, 1),
            resumes=pending.resumes,
            attempt_sent_at=attempt.sent_at,
            obstacle=splice_obstacle(request.body) or ("a tool call" if written.has_tool_call else ""),
            broken_at=now(),
        )

    def _can_move(self, pending: PendingChatRequest | None) -> bool:
        """Whether a running stream could be resumed at another engine.

        One that could not stays with its engine, which may recover, until the stalled_for limit: abandoning
        it earlier would only break it.
        """
        attempt = pending.attempt if pending else None
        if (
            not self._resume_enabled
            or pending is None
            or attempt is None
            or not pending.answer_started
            or attempt.cancelled
        ):
            return False
        return not self.resumptions.refusal_reason(self._describe_broken(pending, attempt))

    def _abandon_attempt(self, serial: int, cause: str) -> None:
        """Abandons the attempt of a running stream: its connection closes, late bytes are discarded."""
        pending = self._running_streams.get(serial)
        if pending and pending.attempt and self._can_move(pending):
            pending.attempt.abandon_cause = cause
            self.cancel_attempt(pending.id, pending.attempt.number)

    async def supervise_streams(self) -> None:
        """Periodically abandons stalled streams and those that would outlive a drain, ends streams that have
        waited too long to be resumed, and places those that may be."""
        checked_at = self._loop.time()
        while True:
            await asyncio.sleep(SUPERVISE_EVERY)
            delay = self._loop.time() - checked_at - SUPERVISE_EVERY
            checked_at = self._loop.time()
            if delay > SUPERVISE_EVERY:
                self.stall_detector.router_stalled(round(delay * 1e6))
                continue  # read first what has arrived during the delay
            self.check_held_states()
            at = now()
            for lost in self.stall_detector.lost_streams(at):
                self._abandon_attempt(lost.stream, lost.cause)
            for serial in streams_to_move(
                self._streams_outliving_drain(),
                at,
                self.resumptions.max_in_flight - self.resumptions.waiting_count,
            ):
                self._abandon_attempt(serial, "drain")
            for broken in self.resumptions.expire(at):
                self._end_broken_stream(self._running_streams[broken.stream], "no place was free in time")
            self._place_broken_streams()
            self.metrics.streams_waiting.set(self.resumptions.waiting_count)

    def _streams_outliving_drain(self) -> list[DrainingStream]:
        """Returns the movable streams at engines whose drain has a time limit."""
        limited = {
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.drain_deadline and endpoint.readiness == "draining"
        }
        movable = []
        for serial, pending in self._running_streams.items() if limited else ():
            attempt = pending.attempt
            if not (
                attempt and attempt.engine in limited and attempt.answer_tokens and self._can_move(pending)
            ):
                continue
            time_per_token = (now() - attempt.sent_at) // attempt.answer_tokens
            left = max(
                pending.request.max_answer_tokens - pending.answer_so_far.tokens - attempt.answer_tokens, 1
            )
            movable.append(
                DrainingStream(
                    serial,
                    self.endpoints[attempt.engine].drain_deadline,
                    left,
                    time_per_token,
                    attempt.answer_tokens,
                )
            )
        return movable
