"""The node's host of the decision module (control.Router): reports events to it and carries out its calls.

- The decision module's calls return at once. Their results are reported to it on a later turn of the event
  loop, in order, from that one loop.
- What all hosts have in common (one final answer, attempts in flight, timers) is in lifthead/hosting.py.
- The decision module sets the deadlines. The host itself cuts only a begun stream that falls silent, and logs
  that.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lifthead import control, hosting
from lifthead.chat.reply import Reply
from lifthead.engines.codec import Observation
from lifthead.engines.link import Connection, ConnectionPool, IdleLimit, NotSentError
from lifthead.events import Event, EventLog, Record
from lifthead.executed_ids import ExecutedIds
from lifthead.guard import AttemptState, RequestGuard, Rule, Work
from lifthead.hosting import AttemptInFlight, BaseHost, now, wall_clock_offset
from lifthead.http1 import HttpError, Message
from lifthead.interface import Idempotency
from lifthead.memory import MemoryPool
from lifthead.node import clients, engines
from lifthead.node.discovery import EngineListUpdate
from lifthead.node.start import NodeConfig
from lifthead.node.stream_relay import AttemptResult, StreamRelay

PROBE_TIMEOUT = 0.5  # seconds; a probe that times out is reported without a load report
CONNECTION_CHECK_TIMEOUT = 0.1  # seconds for a reused connection to show that it still works
RELEASE_TIMEOUT = 0.5  # seconds for an engine to answer a release
LIVENESS_TIMEOUT = 2.0  # seconds for an engine to answer anything; it may be stalled
# A release goes to the holder first. After each of these pauses without an answer, in seconds, it also goes
# to other engines.
RELEASE_PAUSES = (0.05, 0.05, 0.1, 0.3, 0.5)
RELEASE_ZONES = 4  # other engines that get a release after one pause, each in a different zone
SWEEP_INTERVAL = 0.5  # seconds
LOGGED_LOOP_DELAY = 200_000  # microseconds of delay of the event loop above which it is logged
MAX_LOGGED_PER_ENGINE = 8  # different warnings
MAX_LOGGED_REASON = 120  # characters of why an answer can't be used
FORGET_GONE_AFTER = 20_000_000  # microseconds after which a gone engine is forgotten; it may return before

log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False, kw_only=True)
class PendingRequest(hosting.PendingRequest):
    """An accepted request that has no final answer yet or still has an attempt in flight."""

    request_class: str
    message: Message
    stream: StreamRelay | None = None  # of the attempt whose answer the client gets


@dataclass(slots=True, eq=False)
class Endpoint(hosting.Endpoint):
    """What the node knows about an engine."""

    last_heard_at: int = 0
    zone: str = ""
    logged: set[str] = field(default_factory=set)  # warnings that were logged about it


class Host(BaseHost):
    """The host of the decision module in a node."""

    endpoint_type = Endpoint

    def __init__(self, config: NodeConfig, tasks: asyncio.TaskGroup) -> None:
        super().__init__(config.deployment, tasks)
        self._config = config
        self._open_request_ids: set[str] = set()
        self._executed_ids = ExecutedIds()
        self._connections_in_use = 0  # to engines
        self.max_connections = config.max_engine_connections
        self.memory = MemoryPool(config.buffer_capacity)  # for what clients and engines send
        self.close_idle_client: Callable[[], object] = bool  # closes the connection of an idle client
        self.is_ready: Callable[[], bool] = self.can_serve  # whether clients may come
        self._idle_connections: dict[
            Connection, ConnectionPool
        ] = {}  # to engines, the longest idle one first
        self.events = EventLog(log)
        self._lasting = IdleLimit(config.engine_idle_timeout / 1e6 * engines.IDLE_FRACTION)
        self.router = control.Router(self, config.deployment)

    # Input: updates of the list of engines, and requests of clients.

    def on_list_update(self, update: EngineListUpdate) -> None:
        """Applies an update of discovery. Engines that a snapshot leaves out count as gone."""
        received_at, clock_offset, entries = now(), wall_clock_offset(), []
        for entry, address in update.entries:
            endpoint = self.endpoints.get(entry.engine)
            if address or endpoint:  # a new engine without an address is of no use
                address = address or endpoint.link.address
                self._update_endpoint(
                    entry.engine, address, entry.kind, entry.readiness, received_at
                ).zone = entry.zone
                up_since = self.start_times.up_since(entry.engine, entry.up_since, received_at, clock_offset)
                entries.append(replace(entry, up_since=up_since))
        self.start_times.on_list(received_at)
        if update.is_snapshot:
            self._mark_missing_gone({entry.engine for entry in entries}, received_at)
        self._report_engine_list(entries, update.is_snapshot)

    def _link(self, address: str) -> ConnectionPool:
        limits = (engines.MAX_HEAD_BYTES, engines.MAX_CHUNK_BYTES)
        return ConnectionPool(
            address, self._config.connect_timeout / 1e6, self._lasting, limits, self._idle_connections
        )

    async def answer(self, message: Message, reply: Reply) -> None:
        """Serves a client's message until its answer is complete."""
        if message.path == clients.READY_PATH and message.method == "GET":
            return reply.send_whole(200 if self.is_ready() else 503, b"")
        try:
            spec = clients.parse_request(
                message, self._next_id, self._request_classes, self.queueing_time(message)
            )
            request_id = message.headers[clients.ID_HEADER]
            if request_id in self._open_request_ids:
                raise HttpError(409, "a req with this id is open")
            if self._executed_ids.has(request_id, now()):
                self.events.add(now(), Event.ANSWERED, request_id, detail="reason=already_executed")
                return reply.send_whole(*clients.already_executed())
        except HttpError as error:
            reply.keep_alive = False
            return reply.send_whole(error.status, clients.error_body(error.status, "bad_req", error.reason))
        self._next_id += 1
        guard = self._new_guard(request_id, spec.request_class, spec.budget)
        pending = PendingRequest(
            id=spec.id, reply=reply, guard=guard, request_class=spec.request_class, message=message
        )
        self.pending_requests[pending.id] = pending
        self._open_request_ids.add(request_id)
        self.idle.clear()
        reply.on_client_gone = lambda: self._on_client_gone(pending)
        self._note_event(
            pending, Event.ACCEPTED, detail=f"class={spec.request_class} prompt={spec.prompt_tokens}"
        )
        self._place_request(spec, pending)
        await reply.finished.wait()
        self._forget(pending)

    def has_servable(self, update: EngineListUpdate) -> bool:
        """Whether a list has any engine that is ready for requests."""
        return any(
            entry.readiness == "ready" and entry.kind in self._roles and address
            for entry, address in update.entries
        )

    def can_serve(self) -> bool:
        """Whether any engine is ready for requests."""
        return any(
            endpoint.readiness == "ready" and endpoint.kind in self._roles
            for endpoint in self.endpoints.values()
        )

    def _on_client_gone(self, pending: PendingRequest) -> None:
        """Handles the disconnect of a client: cancels its attempt in flight and releases its held state."""
        if not self._set_final_answer(pending, "left"):
            return
        self._report_client_left(pending)
        if pending.answer_started and pending.attempt:
            self.cancel_attempt(pending.id, pending.attempt.number)  # nobody receives the stream
        self._forget(pending)

    # Calls of the decision module.

    def reject(self, request_id: int, retry_after: int) -> None:
        pending = self.pending_requests[request_id]
        if self._set_final_answer(pending, "pushed back"):
            pending.reply.send_whole(*clients.rejection(retry_after))

    def fail(self, request_id: int) -> None:
        pending = self.pending_requests[request_id]
        if self._set_final_answer(pending, "aborted"):
            pending.reply.send_whole(*clients.failure())

    def probe(self, engine: str) -> None:
        self._spawn(self._probe(engine), f"probe of {engine}")

    # Running an attempt.

    async def _run_attempt(self, pending: PendingRequest, attempt: AttemptInFlight, abandon_at: int) -> None:
        """Runs an attempt until its outcome is reported. It owns the attempt's connection throughout."""
        attempt.started = True
        endpoint = self.endpoints[attempt.engine]
        connection: Connection | None = None
        result = AttemptResult(Observation.CALLED_OFF)
        self._note_event(pending, Event.CONNECTING, attempt)
        self._connections_in_use += 1
        self._enforce_connection_limit()
        try:
            async with asyncio.timeout((abandon_at - now()) / 1e6) as timeout:
                if attempt.cancelled:
                    raise asyncio.CancelledError
                needs_fresh = self._needs_fresh_connection(pending, attempt)
                for fresh in (needs_fresh, *[True] * engines.MAX_RECONNECTS):
                    connection = None
                    try:
                        connection = await self._connect(pending, attempt, endpoint, fresh)
                        result = await self._send_and_receive(
                            pending, attempt, endpoint, connection, timeout, abandon_at
                        )
                        break
                    except NotSentError:  # reset before all of it was written: the engine ran none of it
                        result = AttemptResult(Observation.NO_CONNECTION)
                        if connection:
                            connection.abort()
        except TimeoutError:
            result = AttemptResult(Observation.OUT_OF_TIME if connection else Observation.NO_CONNECTION)
            if pending.answer_started:
                result = AttemptResult(Observation.STALLED, reason="no event for too long")
                _log_once(endpoint, attempt.engine, "no event came on a stream, which was cut")
        except asyncio.CancelledError:
            if not attempt.cancelled:
                raise  # the process ends
            result = AttemptResult(Observation.CALLED_OFF)
        except OSError:
            result = AttemptResult(Observation.CUT if connection else Observation.NO_CONNECTION)
        except HttpError as error:
            reason = error.reason[:MAX_LOGGED_REASON]
            result = AttemptResult(Observation.STRANGE, reason=reason)
            _log_once(endpoint, attempt.engine, f"malformed answer: {reason}")
        except Exception:  # a bug that this request meets must not affect the others
            result = AttemptResult(Observation.CUT)
            log.exception("attempt at engine %s failed", attempt.engine)
        self._connections_in_use -= 1
        self._judge_connection(attempt, endpoint, connection, result.observation)
        if result.observation not in (Observation.READ, Observation.WRITTEN):
            reason = f"reason={result.observation.name.lower()} work={attempt.work.value}"
            self._report_event(pending, Event.CONNECTION_CLOSED, attempt, f"{reason} {connection or ''}")
        await self._return_connection(pending, attempt, endpoint, connection, result.observation)
        self._finish_attempt(pending, attempt, result)

    def _needs_fresh_connection(self, pending: PendingRequest, attempt: AttemptInFlight) -> bool:
        """Whether an attempt must not go on a reused connection. When one breaks, the engine may have dropped
        it unread or may have run the attempt, so that only an attempt that may run twice goes on one."""
        is_idempotent = self._request_classes[pending.request_class].idempotency is Idempotency.IDEMPOTENT
        is_repeated_fetch = attempt.work is Work.FETCH and attempt.number > 1
        return not (attempt.is_prefill or is_idempotent) or is_repeated_fetch

    def _judge_connection(
        self,
        attempt: AttemptInFlight,
        endpoint: Endpoint,
        connection: Connection | None,
        observation: Observation,
    ) -> None:
        """Notes what the end of an attempt shows of its connection and of the other ones to its engine."""
        if connection is None:
            return
        if attempt.state is AttemptState.SENDING and connection.has_unsent:
            connection.abort()
            attempt.is_incomplete = True
        if observation is Observation.CUT:
            endpoint.link.record_broken(connection)
        elif connection.uses and not connection.answered:
            endpoint.link.close()  # the other idle connections may be silent as well

    async def _connect(
        self, pending: PendingRequest, attempt: AttemptInFlight, endpoint: Endpoint, fresh: bool
    ) -> Connection:
        """Returns a connection for an attempt. An idle connection may have gone silent without an error, so
        it is checked with a release for this request, which holds nothing yet. Where the attempt is to fetch
        a held state the check would release it, so there is none; the lease bounds the wait instead."""
        connection = await endpoint.link.acquire(fresh)
        if not connection.uses or attempt.work is Work.FETCH:
            return connection
        release_request = engines.encode_release(pending.guard.request)
        try:
            if await connection.is_alive(release_request, CONNECTION_CHECK_TIMEOUT):
                return connection
        except asyncio.CancelledError:
            connection.abort()  # nobody else has it yet
            raise
        self._report_event(pending, Event.CONNECTION_CLOSED, attempt, f"reason=silent {connection}")
        endpoint.link.record_broken(connection)
        connection.abort()
        endpoint.link.close()  # the other idle connections may be silent as well
        return await endpoint.link.acquire(fresh=True)

    async def _send_and_receive(
        self,
        pending: PendingRequest,
        attempt: AttemptInFlight,
        endpoint: Endpoint,
        connection: Connection,
        timeout: asyncio.Timeout,
        due_at: int,
    ) -> AttemptResult:
        """Sends an attempt and reads its answer."""
        if refused := self._check_before_sending(pending, attempt, endpoint):
            return AttemptResult(refused)
        self._note_event(pending, Event.SENDING, attempt, f"uses={connection.uses}")
        head = engines.encode_attempt_head(pending.message, due_at - attempt.sent_at)
        await connection.send(head, pending.message.body)
        pending.guard.on_sent(attempt)
        self.router.on_attempt_sent(pending.id, attempt.number, connection.uses > 0)
        self._note_event(pending, Event.SENT, attempt)
        head = await connection.read_head()
        endpoint.last_heard_at, endpoint.last_answered_sent_at = (
            now(),
            max(endpoint.last_answered_sent_at, attempt.sent_at),
        )
        self._note_event(pending, Event.CONFIRMED, attempt, f"status={head.status}")
        report = engines.load_report_in(head.headers)
        observation = engines.observation_of(head)
        pending.guard.on_confirmed(attempt)
        if observation is Observation.STATE_GONE:
            pending.guard.on_state_gone()
        if observation:
            body = await connection.read_short_body(engines.MAX_ANSWER_BYTES)
            if observation is not Observation.READ:
                return AttemptResult(observation, report=report)
            pending.guard.on_leased(attempt, now())
            self._note_event(pending, Event.LEASED, attempt)
            cached_tokens = 0 if body is None else engines.cached_tokens_in(body)
            return AttemptResult(observation, cached_tokens, report)
        path_delay = endpoint.link.path_delay.current
        pending.stream = StreamRelay(pending, attempt, connection, timeout, self.memory, path_delay)
        return await pending.stream.run(self)

    def on_stream_begun(self, pending: PendingRequest, attempt: AttemptInFlight) -> None:
        """The first event of a stream has come: the request belongs to this attempt."""
        pending.answer_started = True
        pending.guard.on_first_token(attempt, now())
        self._release_tasks.update(pending.guard)
        self._note_event(pending, Event.FETCHED, attempt)
        pending.message.body = b""  # no other attempt follows, and a stream may last long
        self.router.on_first_token(pending.id, attempt.number, now() - attempt.sent_at)

    def on_stream_complete(self, pending: PendingRequest, rest: bytes) -> None:
        """All events of a stream and its last chunk have come. `rest`: what is left to be passed on."""
        if self._set_final_answer(pending, "done"):
            pending.reply.end(rest)

    def _finish_attempt(
        self, pending: PendingRequest, attempt: AttemptInFlight, result: AttemptResult
    ) -> None:
        """Reports how an attempt ended. A stream that broke off ends without its last chunk at the client."""
        observation = result.observation
        outcome, outcome_note = engines.OUTCOMES[observation]
        self._on_attempt_ended(pending, attempt, observation)
        if pending.answer_started and self._set_final_answer(pending, "broken"):
            self._end_broken_answer(pending)
            reason = result.reason or observation.value
            self._report_event(pending, Event.STREAM_BROKEN, attempt, f"{pending.stream} reason={reason!r}")
        final = pending.final_answer != ""
        took_us = now() - attempt.sent_at
        self._note_event(
            pending, Event.ENDED, attempt, f"outcome={observation.name.lower()} took_us={took_us}"
        )
        with self._timers_belong_to(pending):
            self.router.on_attempt_ended(
                pending.id,
                attempt.number,
                attempt.engine,
                outcome,
                took_us,
                result.cached_tokens or outcome_note,
                final,
                result.report,
            )
        if pending.final_answer and pending.attempt is None:
            # The decision module may have forgotten the request; its state must still be released in time.
            self.release_state(pending.id)
        self._forget(pending)

    def _end_broken_answer(self, pending: PendingRequest) -> None:
        """Ends an answer whose stream broke: without its last chunk, or by an error if nothing was sent."""
        if pending.reply.begun:
            pending.reply.truncate()
        else:
            pending.reply.send_whole(*clients.failure())

    def _enforce_connection_limit(self) -> None:
        """Keeps the connections to engines within their share of the descriptors: closes the longest idle
        ones first, then the connection of an idle client. Open requests never need more than that share,
        since there are fewer connections of clients (start.CLIENT_SHARE)."""
        while (
            self._idle_connections
            and self._connections_in_use + len(self._idle_connections) + len(self._half_closed)
            > self.max_connections
        ):
            next(iter(self._idle_connections.values())).close_oldest()
        while self._half_closed and self._connections_in_use + len(self._half_closed) > self.max_connections:
            self._drop_half_closed()
        if self._connections_in_use > self.max_connections:
            self.close_idle_client()

    async def _send_releases(self, guard: RequestGuard) -> int:
        """Sends a release to more and more engines until one has answered; any engine passes it on. All but
        the first message go on new connections: idle ones may be silent, as the connection that made the
        release necessary may have been."""
        started_at, holder = now(), guard.holder
        in_flight = guard.attempt.engine if guard.attempt else "none"
        reason = guard.final_answer or "lease"
        detail = f"reason={reason} in_flight={in_flight} holders={','.join(guard.holders.values())}"
        self.events.add_and_log(started_at, Event.RELEASING, guard.request, engine=holder, detail=detail)
        sent_at = await self._release_at_engines(holder, engines.encode_release(guard.request))
        took_us = now() - started_at
        if sent_at:
            in_flight = guard.attempt.engine if guard.attempt else "none"
            detail = f"took_us={took_us} asked_at_us={sent_at} in_flight={in_flight}"
            self.events.add_and_log(now(), Event.RELEASED, guard.request, engine=holder, detail=detail)
        else:
            self.events.add_and_log(now(), Event.RELEASE_UNANSWERED, guard.request, engine=holder)
        return sent_at

    async def _release_at_engines(self, holder: str, release_request: bytes) -> int:
        """Returns when the first answered release was sent, 0 if none was answered."""
        answered, sent_at = asyncio.Event(), 0

        async def send_release(engine: str, fresh: bool) -> None:
            nonlocal sent_at
            started_at = now()
            answer = await self._query_engine(engine, release_request, RELEASE_TIMEOUT, fresh)
            if answer and answer[0].status in engines.RELEASE_TAKEN_STATUSES:
                sent_at = sent_at or started_at
                answered.set()
            elif answer and (endpoint := self.endpoints.get(engine)):
                _log_once(endpoint, engine, f"a release was answered with {answer[0].status}")

        async with asyncio.TaskGroup() as task_group:
            tasks = []
            for round_number, pause in enumerate(RELEASE_PAUSES):
                targets = (
                    [holder, *self._recently_heard(holder, round_number - 1)] if round_number else [holder]
                )
                tasks += [
                    task_group.create_task(send_release(engine, round_number > 0)) for engine in targets
                ]
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(pause):
                        await answered.wait()
                        break
            for task in tasks:
                task.cancel()
        return sent_at

    def _recently_heard(self, holder: str, round_number: int) -> list[str]:
        """Returns the engine that was heard from last in each zone, in later rounds the one before it. It
        looks in several zones because a zone that is cut off was also heard from until a moment ago."""
        names_by_zone: dict[str, list[str]] = {self._config.deployment.zone: []}
        for name in sorted(self.endpoints, key=lambda name: -self.endpoints[name].last_heard_at):
            if name != holder and self.endpoints[name].readiness != "gone":
                names_by_zone.setdefault(self.endpoints[name].zone, []).append(name)
        zones = [names for names in names_by_zone.values() if names][:RELEASE_ZONES]
        return [names[round_number % len(names)] for names in zones]

    async def _ping(self, engine: str, guard: RequestGuard) -> bool:
        """Pings an engine with a release: it is harmless once the request is over, and any status shows that
        the engine runs."""
        answer = await self._query_engine(
            engine, engines.encode_release(guard.request), LIVENESS_TIMEOUT, fresh=True
        )
        detail = f"answered={'no' if answer is None else 'yes'}"
        self.events.add_and_log(now(), Event.ENGINE_CHECKED, guard.request, engine=engine, detail=detail)
        return answer is not None

    async def _probe(self, engine: str) -> None:
        answer = await self._query_engine(engine, engines.PROBE_REQUEST, PROBE_TIMEOUT)
        report = None
        if answer:
            head, body = answer
            report = engines.load_report_in(head.headers) or engines.parse_load_report(body.decode("latin-1"))
        self.router.on_load_report(engine, report)

    async def _query_engine(
        self, engine: str, data: bytes, timeout: float, fresh: bool = False
    ) -> tuple[Message, bytes] | None:
        """Sends a short message to an engine; returns None if it is not answered in time."""
        endpoint = self.endpoints.get(engine)
        if endpoint is None:
            return None  # it is gone and was forgotten
        self._connections_in_use += 1
        started_at = now()
        try:
            self._enforce_connection_limit()
            answer = await endpoint.link.exchange(data, timeout, fresh)
            if answer:
                endpoint.last_heard_at, endpoint.last_answered_sent_at = (
                    now(),
                    max(endpoint.last_answered_sent_at, started_at),
                )
            return answer
        finally:
            self._connections_in_use -= 1

    async def maintain_links(self) -> None:
        """Closes connections that are idle for too long, forgets gone engines, which new ones replace all the
        time, and looks for states that are held for too long."""
        while True:
            due_at = now() + int(SWEEP_INTERVAL * 1e6)
            await asyncio.sleep(SWEEP_INTERVAL)
            if (delay := now() - due_at) > LOGGED_LOOP_DELAY:
                log.warning("the event loop is %d ms late", delay // 1000)
            await self.check_held_states_on_time()
            forget_before, in_use = now() - FORGET_GONE_AFTER, self._engines_in_use()
            for name, endpoint in list(self.endpoints.items()):
                endpoint.link.close_expired()
                if (
                    endpoint.readiness == "gone"
                    and endpoint.readiness_since < forget_before
                    and name not in in_use
                ):
                    endpoint.link.close()
                    del self.endpoints[name]

    def _engines_in_use(self) -> set[str]:
        pending_requests = self.pending_requests.values()
        guards = [*(pending.guard for pending in pending_requests), *self._release_tasks.guards]
        holders = {engine for guard in guards for engine in guard.holders.values()}
        return {pending.attempt.engine for pending in pending_requests if pending.attempt} | holders

    # End of a request.

    def _set_final_answer(self, pending: PendingRequest, ended: str) -> bool:
        is_first = super()._set_final_answer(pending, ended)
        if is_first and ended == "done":
            self._note_event(pending, Event.ANSWERED, detail=f"reason={ended}")
        elif is_first:
            self._report_event(pending, Event.ANSWERED, detail=f"reason={ended} attempts={pending.attempts}")
        return is_first

    def _forget(self, pending: PendingRequest) -> bool:
        if not super()._forget(pending):
            return False
        self._note_event(pending, Event.FORGOTTEN)
        request_id = pending.message.headers[clients.ID_HEADER]
        self._open_request_ids.discard(request_id)
        if pending.guard.may_not_run_again:
            self._executed_ids.add(request_id, now())
        return True

    # Log and events.

    def _on_violation(self, rule: Rule, request: str, why: str) -> None:
        self.events.add_and_log(now(), Event.VIOLATION, request, detail=f"rule={rule.value} why={why}")
        self.events.dump(f"{rule.value} violated", request)

    def _note_event(
        self, pending: PendingRequest, event: Event, attempt: AttemptInFlight | None = None, detail: str = ""
    ) -> Record:
        number, engine = (attempt.number, attempt.engine) if attempt else (-1, "")
        return self.events.add(
            now(), event, pending.message.headers[clients.ID_HEADER], number, engine, detail
        )

    def _report_event(
        self, pending: PendingRequest, event: Event, attempt: AttemptInFlight | None = None, detail: str = ""
    ) -> None:
        self.events.log(self._note_event(pending, event, attempt, detail))


def _log_once(endpoint: Endpoint, engine: str, text: str) -> None:
    """Logs a warning about an engine, unless it was logged about this engine before."""
    if text not in endpoint.logged and len(endpoint.logged) < MAX_LOGGED_PER_ENGINE:
        endpoint.logged.add(text)
        log.warning("%s: %s", engine, text)
