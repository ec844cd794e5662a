"""The daemon's host of the decision module: socket events become calls of control.Router, its calls tasks.

Nothing else in the daemon calls control.Router. The rules of this file:
- calls by the module return at once; their results reach it on a later turn of the event loop, in order;
- what all hosts share (one final answer, attempts in flight, timers) is in lifthead/hosting.py;
- the module owns all deadlines; `stalled_for` is only a last guard on a running stream, and it logs.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any

from lifthead import control
from lifthead.chat import codec as chat
from lifthead.chat.codec import AnswerAssembler, ClientRequest
from lifthead.chat.reply import JSON, Reply
from lifthead.daemon.metrics import Metrics
from lifthead.daemon.requests import ChatAttempt, ChatEndpoint, PendingChatRequest, UsageRecorder
from lifthead.daemon.resuming import ResumingHost
from lifthead.deployment.fleet import Limits
from lifthead.engines import codec
from lifthead.engines.codec import OUTCOMES, ListUpdate, Observation, ProtocolError
from lifthead.engines.link import Connection, ConnectionPool
from lifthead.guard import RequestGuard, Rule
from lifthead.hosting import now, wall_clock_offset
from lifthead.http1 import HttpError
from lifthead.interface import AttemptOutcome, Deployment, EngineEntry, Idempotency, LoadReport, RequestSpec
from lifthead.members.weight import RecentAnswers
from lifthead.resume.resume_queue import ResumeQueue
from lifthead.resume.splice import Splice, SpliceError
from lifthead.resume.stall_detector import StallDetector

LAST_BYTES_TIMEOUT = 0.02  # seconds for the bytes that follow the end of a stream
PROBE_TIMEOUT = 1.0  # seconds that a probe may take; a lost probe is not reported to the module
LIVENESS_TIMEOUT = 2.0  # seconds for an engine that may be stalled to answer any request
RELEASE_TIMEOUT = 0.1  # seconds for the answer to a release, on a pooled connection and again on a new one


class Host(ResumingHost):
    attempt_type = ChatAttempt
    endpoint_type = ChatEndpoint

    def __init__(
        self,
        name: str,
        deployment: Deployment,
        limits: Limits,
        tasks: asyncio.TaskGroup,
        metrics: Metrics,
        log: Any,
        resume_enabled: bool,
        usage_recorder: UsageRecorder | None = None,
        make_router: Callable[[Any, Deployment], control.Router] = control.Router,
    ) -> None:
        super().__init__(deployment, tasks)
        self.name = name
        self.limits = limits
        self.metrics = metrics
        self.list_received_at = 0  # 0: no list of engines was received yet
        self._log = log
        self._resume_enabled = resume_enabled
        self._usage_recorder = usage_recorder
        self._effects = {group.name: group.idempotency for group in deployment.request_classes.values()}
        # Part of each request id, so that engines can't confuse requests of this process with earlier ones.
        self._start_id = f"{time.time_ns() // 1_000_000:x}"
        self._running_streams: dict[int, PendingChatRequest] = {}  # by serial number
        self.stall_detector = StallDetector(int(limits.stalled_for))
        self.resumptions = ResumeQueue()
        self.recent_answers = RecentAnswers()
        self.router = make_router(self, deployment)

    # Events from outside.

    def on_engine_list(self, update: ListUpdate) -> None:
        """Takes an update of the list of engines. An engine that a whole list omits counts as gone."""
        at, wall_offset = now(), wall_clock_offset()
        self.list_received_at = at
        entries = []
        for listed in update.engines:
            endpoint = self._update_endpoint(listed.name, listed.address, listed.kind, listed.readiness, at)
            endpoint.drain_deadline = (
                listed.drains_by - self.start_times.wall_offset if listed.drains_by else 0
            )
            up_since = self.start_times.up_since(listed.name, listed.started_at, at, wall_offset)
            entries.append(
                EngineEntry(
                    listed.name,
                    listed.zone,
                    listed.cell,
                    listed.kind,
                    listed.weight,
                    up_since,
                    listed.readiness,
                )
            )
        self.start_times.on_list(at)
        if update.whole:
            self._mark_missing_gone({listed.name for listed in update.engines}, at)
        self._report_engine_list(entries, update.whole)

    def _link(self, address: str) -> ConnectionPool:
        return ConnectionPool(address, self.limits.connect_within / 1e6)

    def on_list_unavailable(self) -> None:
        self.router.on_engine_list_unavailable()

    @property
    def ready_decode_engines(self) -> int:
        return sum(
            endpoint.readiness == "ready" and self._roles.get(endpoint.kind, "both") != "read"
            for endpoint in self.endpoints.values()
        )

    async def accept(self, request: ClientRequest, reply: Reply, waited: int = 0) -> None:
        """Serves a client's request to the end of its answer.

        `waited` is the part of its budget, in microseconds, that has passed already.
        """
        request_id, self._next_id = self._next_id, self._next_id + 1
        name = f"{self.name}-{self._start_id}-{request_id}"
        guard = self._new_guard(name, request.request_class, max(request.budget - waited, 0))
        pending = PendingChatRequest(
            id=request_id,
            serial=request_id,
            name=name,
            request=request,
            reply=reply,
            guard=guard,
            accepted_at=now(),
        )
        pending.engine_body = request.body
        self.pending_requests[request_id] = pending
        self.idle.clear()
        self.metrics.count_accepted(request.request_class)
        reply.on_client_gone = lambda: self._on_client_gone(pending)
        self._place_chat_request(
            pending, max(request.budget - waited, 0), request.prompt_tokens, request.max_answer_tokens
        )
        await reply.finished.wait()
        self._forget(pending)

    def _place_chat_request(
        self, pending: PendingChatRequest, budget: int, prompt: int, max_out: int
    ) -> None:
        """Has the module place the request, or the rest of its stream after a break."""
        request = pending.request
        self._place_request(
            RequestSpec(
                pending.id,
                request.request_class,
                request.tenant,
                budget,
                prompt,
                max_out,
                request.session,
                request.shared_prefix,
                request.shared_prefix_tokens,
                0,
                request.is_retry or pending.resumes > 0,
                *pending.broken_attempt,
            ),
            pending,
        )

    def _on_client_gone(self, pending: PendingChatRequest) -> None:
        """The client has disconnected: its attempt is cancelled and its held state is released."""
        if not self._set_final_answer(pending, "left"):
            return
        self._report_client_left(pending)
        self.resumptions.remove(pending.serial)
        self._running_streams.pop(pending.serial, None)
        if pending.answer_started and pending.attempt:
            self.cancel_attempt(pending.id, pending.attempt.number)  # nobody reads this stream

    # Calls by the module.

    def start_attempt(self, request_id: int, engine: str, abandon_at: int, send_by: int) -> None:
        self.pending_requests[request_id].attempts_sent += 1
        super().start_attempt(request_id, engine, abandon_at, send_by)

    def release_state(self, request_id: int) -> None:
        super().release_state(request_id)
        if pending := self.pending_requests.get(request_id):
            pending.state_handle = None

    def reject(self, request_id: int, retry_after: int) -> None:
        pending = self.pending_requests[request_id]
        if pending.reply.begun:
            return self._end_broken_stream(pending, "no place was found for the rest of it")
        if self._set_final_answer(pending, "pushed back"):
            headers = {
                **self._reply_headers(pending),
                "retry-after": str(-(-retry_after // 1_000_000) or 1),
                "retry-after-ms": str(retry_after // 1000),
            }
            pending.reply.send_whole(
                503, chat.error(503, "overloaded", "pushed back: trying again does no harm"), headers
            )

    def fail(self, request_id: int) -> None:
        pending = self.pending_requests[request_id]
        if pending.reply.begun:
            return self._end_broken_stream(pending, "the rest of it could not be had in time")
        if self._set_final_answer(pending, "aborted"):
            late = now() - pending.accepted_at >= pending.request.budget * 9 // 10
            status, code = (504, "deadline") if late else (502, "aborted")
            message = "aborted: whether it had an effect is not known"
            headers = {**self._reply_headers(pending), "x-should-retry": "false"}
            pending.reply.send_whole(status, chat.error(status, code, message), headers)

    def probe(self, engine: str) -> None:
        self._spawn(self._probe(engine), f"probe of {engine}")

    # Carrying out an attempt.

    async def _run_attempt(self, pending: PendingChatRequest, attempt: ChatAttempt, abandon_at: int) -> None:
        """Sends an attempt, follows it to its end and reports that; owns its connection all the while."""
        attempt.started = True
        endpoint, attempt_id = self.endpoints[attempt.engine], f"{pending.name}.{pending.attempts_sent - 1}"
        connection: Connection | None = None
        observation, cached_tokens, report = Observation.CALLED_OFF, 0, None
        try:
            async with asyncio.timeout_at(abandon_at / 1e6) as timeout:
                if attempt.cancelled:
                    raise asyncio.CancelledError
                try:
                    # If a pooled connection closes, it is unknown whether the attempt ran, so work that must
                    # not run twice gets a new connection.
                    may_run_twice = (
                        attempt.is_prefill
                        or self._effects[pending.request.request_class] is Idempotency.IDEMPOTENT
                    )
                    connection = await endpoint.link.acquire(fresh=not may_run_twice or attempt.number > 0)
                except (OSError, TimeoutError):
                    observation = Observation.NO_CONNECTION
                else:
                    observation = self._check_before_sending(pending, attempt, endpoint)
                    if observation is None:
                        observation, cached_tokens, report = await self._exchange(
                            pending, attempt, endpoint, connection, attempt_id, timeout
                        )
        except TimeoutError:
            observation = Observation.OUT_OF_TIME
        except asyncio.CancelledError:
            if not attempt.cancelled:
                raise  # the process is stopping
            observation = Observation.STALLED if attempt.abandon_cause else Observation.CALLED_OFF
        except (OSError, EOFError):
            observation = Observation.CUT
        except (HttpError, ProtocolError, SpliceError) as problem:
            observation = Observation.STRANGE
            self._log.warning(
                "strange answer",
                req=pending.name,
                engine=attempt.engine,
                said=str(problem)[:200],
            )
        await self._return_connection(pending, attempt, endpoint, connection, observation)
        self._finish_attempt(pending, attempt, observation, cached_tokens, report)

    async def _exchange(
        self,
        pending: PendingChatRequest,
        attempt: ChatAttempt,
        endpoint: ChatEndpoint,
        connection: Connection,
        attempt_id: str,
        timeout: asyncio.Timeout,
    ) -> tuple[Observation, int, LoadReport | None]:
        """Sends an attempt and reads its answer.

        Returns the observation, the prompt tokens found in the engine's prefix cache, and its load report.
        """
        request, address = pending.request, endpoint.link.address
        if attempt.is_prefill:
            sent = codec.prefill_request(address, attempt_id, request.client_id, pending.engine_body)
        else:
            sent = codec.decode_request(
                address,
                attempt_id,
                request.client_id,
                request.idempotency_key,
                pending.engine_body,
                pending.state_handle,
            )
        await connection.send(sent)
        pending.guard.on_sent(attempt)
        self.router.on_attempt_sent(pending.id, attempt.number, connection.uses > 0)
        head = await connection.read_head()
        endpoint.last_answered_sent_at = max(endpoint.last_answered_sent_at, attempt.sent_at)
        pending.guard.on_confirmed(attempt)
        report = codec.parse_load_report(head.headers)
        if head.status != 200:
            await connection.read_short_body()
            refusal = codec.error_observation(head)
            if refusal is Observation.STATE_GONE:
                pending.state_handle = None
                pending.guard.on_state_gone()
            return refusal, 0, report
        if attempt.is_prefill:
            pending.state_handle, cached = codec.parse_prefill_answer(await connection.read_whole_body())
            pending.cached_prompt_tokens = cached
            pending.guard.on_leased(attempt, now())
            return Observation.READ, cached, report
        if report:
            self.router.on_load_report(attempt.engine, report)  # now: the end of the stream may be far away
        splice = None
        if pending.resumes:
            splice = Splice(pending.answer_so_far, request.stop_sequences, codec.continues_at(head.headers))
        return *await self._relay_stream(pending, attempt, connection, timeout, splice), None

    async def _relay_stream(
        self,
        pending: PendingChatRequest,
        attempt: ChatAttempt,
        connection: Connection,
        timeout: asyncio.Timeout,
        splice: Splice | None,
    ) -> tuple[Observation, int]:
        """Relays the events of a decode engine to the client.

        Events before the first text are held back, so that another attempt is possible until then. With a
        splice, they continue the client's stream from where it broke. From the first text on only another
        event restarts the stall timeout: other bytes, such as comments, leave the client waiting.
        """
        events, assembler = codec.EventStream(), None if pending.request.streamed else AnswerAssembler()
        buffered: list[bytes] = []
        stall_timeout = self.limits.stalled_for / 1e6
        timeout_set_at = 0.0
        while data := await connection.read_body():
            tokens, previous_event_count, start = events.tokens, events.event_count, 0
            while start < len(data):
                if pending.answer_started and not assembler and not splice:
                    plain, to_parse = events.split_text_events(data[start:])
                    buffered.append(plain)
                    start = len(data)
                else:  # event by event until the stream has begun
                    event_end = 0 if assembler else data.find(b"\n\n", start) + 2
                    end = event_end if event_end > 1 else len(data)
                    to_parse, start = data[start:end], end
                for event, text, only_usage in events.feed(to_parse) if to_parse else ():
                    if assembler:
                        assembler.add(event[5:])
                    elif not only_usage or pending.request.wants_usage:
                        if splice:
                            new = splice.event(event[5:])
                            if new is None:
                                continue  # the client already has this text
                            event = b"data: " + new + b"\n\n"
                        buffered.append(event)
                    if text and not pending.answer_started:
                        self._begin_stream(pending, attempt, timeout)
            attempt.answer_tokens = events.tokens
            if splice and splice.stopped:
                events.ended = True
            if events.ended:
                break
            if pending.answer_started and not assembler:
                if pending.final_answer:
                    return Observation.CALLED_OFF, 0
                block = b"".join(buffered)
                buffered.clear()
                pending.answer_so_far.add(block)
                if events.tokens > tokens:
                    self.stall_detector.progressed(pending.serial, now())
                if block and not pending.reply.send(
                    chat.with_event_id(block, f"{pending.name}:{pending.resumes}:{events.tokens}")
                ):
                    # A block holds events, so it is progress: a slow client is not a stalled engine.
                    timeout.reschedule(None)
                    self.stall_detector.client_blocked(pending.serial)
                    await pending.reply.wait_writable()
                    self.stall_detector.client_unblocked(pending.serial, now())
                    timeout_set_at = 0.0
                has_progressed = events.event_count > previous_event_count
                if has_progressed and self._loop.time() > timeout_set_at + stall_timeout / 8:
                    timeout_set_at = self._loop.time()
                    timeout.reschedule(timeout_set_at + stall_timeout * 9 / 8)
        if not events.ended:
            return Observation.CUT, 0
        self.stall_detector.ended(pending.serial)
        timeout.reschedule(None)  # the answer is complete
        if not assembler and not pending.final_answer:
            if not pending.reply.begun:
                pending.reply.begin(self._reply_headers(pending))
            pending.answer_so_far.add(block := b"".join(buffered))
            if block:
                pending.reply.send(block)
        self._count_tokens(pending, events, assembler is not None)
        if self._usage_recorder and not pending.final_answer:
            await self._usage_recorder.record_complete(pending)
        if self._set_final_answer(pending, "done"):
            if assembler:
                pending.reply.send_whole(
                    200, assembler.completion(), {**self._reply_headers(pending), **JSON}
                )
            else:
                pending.reply.end(b"data: [DONE]\n\n")
        with contextlib.suppress(TimeoutError, OSError, HttpError):
            async with asyncio.timeout(LAST_BYTES_TIMEOUT):
                await connection.read_whole_body()  # the connection can be reused after a complete answer
        return Observation.WRITTEN, codec.cached_tokens(events.usage)

    def _count_tokens(self, pending: PendingChatRequest, events: codec.EventStream, whole: bool) -> None:
        """Counts the answer tokens of a completed stream: as its engine reports, else by its events."""
        reported = codec.completion_tokens(events.usage)
        streamed = (
            events.tokens if whole else pending.answer_so_far.parse().tokens - pending.tokens_before_resume
        )
        pending.generated_tokens += reported or streamed
        pending.delivered_tokens = (
            reported or streamed if whole or not pending.resumes else pending.answer_so_far.tokens
        )
        pending.cached_prompt_tokens = codec.cached_tokens(events.usage) or pending.cached_prompt_tokens

    def _begin_stream(
        self, pending: PendingChatRequest, attempt: ChatAttempt, timeout: asyncio.Timeout
    ) -> None:
        at = now()
        pending.answer_started, pending.state_handle = True, None
        pending.guard.on_first_token(attempt, at)
        self._release_tasks.update(pending.guard)
        self.router.on_first_token(pending.id, attempt.number, at - attempt.sent_at, pending.request.streamed)
        if pending.resumes:
            self.resumptions.remove(pending.serial)
            self.metrics.observe_resume_gap(at - pending.broken_at)
            self.metrics.count_broken(pending.break_cause, "resumed")
            self._log.info(
                "stream resumed",
                req=pending.name,
                cause=pending.break_cause,
                engine=attempt.engine,
                gap_us=at - pending.broken_at,
                written=pending.answer_so_far.tokens,
                times=pending.resumes,
                read_anew=pending.request.prompt_tokens + pending.answer_so_far.tokens,
            )
        else:
            pending.first_text_at = at
            self.metrics.observe_first_token(pending.request.request_class, at - pending.accepted_at)
        if pending.request.streamed and not pending.final_answer:
            timeout.reschedule(None)
            self._running_streams[pending.serial] = pending
            self.stall_detector.started(pending.serial, attempt.engine, at)
            if not pending.reply.begun:
                pending.reply.begin(self._reply_headers(pending))

    def _finish_attempt(
        self,
        pending: PendingChatRequest,
        attempt: ChatAttempt,
        observation: Observation,
        cached_tokens: int,
        report: LoadReport | None,
    ) -> None:
        """Reports the outcome of an attempt. A stream that broke in front of its client is resumed elsewhere,
        or ends with an error event."""
        outcome, default_note = OUTCOMES[observation]
        if observation is Observation.OUT_OF_TIME and pending.answer_started and pending.request.streamed:
            observation, (outcome, default_note) = Observation.STALLED, OUTCOMES[Observation.STALLED]
            self._log.error(
                "stream stalled: ended by the last guard", req=pending.name, engine=attempt.engine
            )
        self._on_attempt_ended(pending, attempt, observation)
        pending.attempt_history.append(f"{attempt.engine}:{observation.name.lower()}")
        self.metrics.count_attempt(outcome)
        self._running_streams.pop(pending.serial, None)
        self.stall_detector.ended(pending.serial)
        awaits_resume = False
        if pending.answer_started and outcome is not AttemptOutcome.COMPLETED:
            if not pending.request.streamed:
                pending.answer_started = False  # the client has received nothing of it
                pending.generated_tokens += attempt.answer_tokens
            elif not pending.final_answer:
                awaits_resume = self._on_stream_broken(pending, attempt, observation)
            else:  # the client has disconnected
                pending.generated_tokens += (
                    pending.answer_so_far.parse().tokens - pending.tokens_before_resume
                )
                pending.delivered_tokens = pending.answer_so_far.tokens
        final = outcome is AttemptOutcome.COMPLETED or pending.final_answer != "" or awaits_resume
        with self._timers_belong_to(pending):
            self.router.on_attempt_ended(
                pending.id,
                attempt.number,
                attempt.engine,
                outcome,
                now() - attempt.sent_at,
                cached_tokens or default_note,
                final,
                report,
            )
        if pending.final_answer and pending.attempt is None:
            self.release_state(
                pending.id
            )  # the module may have forgotten the request: its state must not leak
        self._forget(pending)
        if awaits_resume:
            self._place_broken_streams()

    # Releases and probes.

    async def _send_releases(self, guard: RequestGuard) -> int:
        """Asks every engine that may hold a state to release it.

        Returns the earliest sending time, since the answers prove a release only as of then; 0 if an engine
        did not answer.
        """
        releases = [
            self._release_state(engine, f"{guard.request}.{n}") for n, engine in guard.holders.items()
        ]
        return min(await asyncio.gather(*releases), default=0)

    async def _release_state(self, engine: str, attempt_id: str) -> int:
        """Returns when the release that was answered was sent; 0 if none was. The second one is sent on a new
        connection, since a pooled one may be dead."""
        link = self.endpoints[engine].link
        for fresh in (False, True):
            sent_at = now()
            if await link.exchange(codec.release_request(link.address, attempt_id), RELEASE_TIMEOUT, fresh):
                return sent_at
        self.metrics.releases_lost.inc()
        return 0

    async def _ping(self, engine: str, guard: RequestGuard) -> bool:
        link = self.endpoints[engine].link
        return (
            await link.exchange(codec.probe_request(link.address), LIVENESS_TIMEOUT, fresh=True) is not None
        )

    async def _probe(self, engine: str) -> None:
        link = self.endpoints[engine].link
        answer = await link.exchange(codec.probe_request(link.address), PROBE_TIMEOUT)
        self.router.on_load_report(engine, codec.parse_load_report(answer[0].headers) if answer else None)

    # The end of a request.

    def _reply_headers(self, pending: PendingChatRequest) -> dict[str, str]:
        return {"x-request-id": pending.name}

    def _set_final_answer(self, pending: PendingChatRequest, ended: str) -> bool:
        if not super()._set_final_answer(pending, ended):
            return False
        pending.ended_at = now()
        self.metrics.count_answer(pending.request.request_class, ended)
        target = self._request_classes[pending.request.request_class].ttft_target_of(
            pending.request.prompt_tokens
        )
        late = pending.request.streamed and pending.first_text_at - pending.accepted_at > target
        if ended != "left":
            self.recent_answers.add(now(), ended == "pushed back", ended != "done" or late)
        return True

    def _forget(self, pending: PendingChatRequest) -> bool:
        if not super()._forget(pending):
            return False
        if self._usage_recorder:
            self._usage_recorder.record_ended(pending)
        request = pending.request
        self._log.info(
            "req",
            req=pending.name,
            client_id=request.client_id,
            group=request.request_class,
            tenant=request.tenant,
            ended=pending.final_answer,
            took_us=pending.ended_at - pending.accepted_at,
            first_us=pending.first_text_at - pending.accepted_at if pending.first_text_at else None,
            prompt=request.prompt_tokens,
            forwards=pending.attempt_history,
        )
        return True

    def abort_all(self) -> None:
        """Fails all pending requests once the time limit of the stop is over, and logs each as an error."""
        for pending in list(self.pending_requests.values()):
            self._log.error("aborted by the stop", req=pending.name)
            if self._set_final_answer(pending, "aborted"):
                if pending.reply.begun:
                    pending.reply.end(chat.error_event("stopping", "this router stops"))
                else:
                    pending.reply.send_whole(502, chat.error(502, "stopping", "aborted: this router stops"))
                self._report_client_left(pending)
            if pending.attempt:
                self.cancel_attempt(pending.id, pending.attempt.number)

    def _on_violation(self, rule: Rule, request: str, why: str) -> None:
        self.metrics.violations.labels(rule.value).inc()
        self._log.error("invariant violated", rule=rule.value, req=request, why=why)
