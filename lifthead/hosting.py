"""The base class of the programs that host the decision module: the daemon's host and the node's.

- Every final answer passes through `_set_final_answer`, which makes a second one impossible.
- An attempt in flight has one task, which the decision module cancels by the attempt's number.
- Timers that the decision module sets while it handles a request are cancelled with the request.
- Every attempt, final answer and held state is reported to the guard of its request (lifthead/guard.py).
- The connection of an attempt is returned or closed before its outcome is reported.
"""

import asyncio
import contextlib
import logging
import time
from collections import deque
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any

from lifthead import control
from lifthead.chat.reply import Reply
from lifthead.engines.codec import PROVEN_NOT_RUN, Observation
from lifthead.engines.link import Connection, ConnectionPool
from lifthead.guard import HELD_STATE_SLACK, Attempt, Refusal, RequestGuard, Rule, Violations, Work
from lifthead.http1 import Message
from lifthead.interface import Deployment, EngineEntry, RequestSpec
from lifthead.release_tasks import ReleaseTasks
from lifthead.starts import StartTimes

log = logging.getLogger(__name__)

# Observations of a complete answer, after which the connection can be reused.
REUSABLE = (Observation.READ, Observation.WRITTEN, Observation.TURNED_AWAY, Observation.STATE_GONE)
# Observations after which the engine has finished the attempt.
ANSWERED = (*REUSABLE, Observation.REFUSED_UNMARKED)

PEER_CLOSE_TIMEOUT = 1.0  # seconds for an engine to close its side of a connection that this end closed
PEER_CLOSE_MAX_BYTES = 65_536  # that may still arrive on it
READ_LAG = 20_000  # microseconds in which a process that is not stalled reads what has arrived
AUDIT_DELAY = 500_000  # microseconds by which the check of held states lags behind

# Turns of the event loop to poll its sockets, read them, and run the tasks that wait for the data.
LOOP_TURNS_TO_READ = 3


def now() -> int:
    """Returns the monotonic clock of this machine in whole microseconds."""
    return time.monotonic_ns() // 1000


def wall_clock_offset() -> int:
    """Returns by how much the wall clock, which machines share, is ahead of the monotonic one."""
    return time.time_ns() // 1000 - now()


@dataclass(slots=True, eq=False, kw_only=True)
class AttemptInFlight(Attempt):
    """An attempt in flight and the task that runs it."""

    task: asyncio.Task | None = None
    started: bool = False
    peer_closed: bool = False  # the engine closed its side of the connection first


@dataclass(slots=True, eq=False, kw_only=True)
class PendingRequest:
    """An accepted request that has no final answer yet or still has an attempt in flight."""

    id: int
    reply: Reply
    guard: RequestGuard
    attempt: Any = None  # the AttemptInFlight, if there is one
    attempts: int = 0
    answer_started: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)

    @property
    def final_answer(self) -> str:
        """The final answer in one word; empty if there is none yet."""
        return self.guard.final_answer


@dataclass(slots=True, eq=False)
class Endpoint:
    """An engine as the host knows it: its connections, and whether it accepts new work."""

    link: ConnectionPool
    kind: str
    readiness: str
    readiness_since: int
    # When the latest message that the engine has answered was sent.
    last_answered_sent_at: int = field(default=0, kw_only=True)


class BaseHost:
    """The part of a host that implements the calls of the decision module.

    Subclasses add how an attempt is run, how a final answer is worded, and what is logged."""

    attempt_type = AttemptInFlight
    endpoint_type = Endpoint

    def __init__(self, deployment: Deployment, tasks: asyncio.TaskGroup) -> None:
        self.pending_requests: dict[int, Any] = {}
        self.endpoints: dict[str, Any] = {}
        self.idle = asyncio.Event()
        self.idle.set()
        self.router: control.Router
        self.violations = Violations(self._on_violation)
        self._held_state_limit = deployment.lease_duration
        self._tasks = tasks
        self._request_classes = deployment.request_classes
        self._roles = deployment.role_by_kind
        self._loop = asyncio.get_running_loop()
        self._next_id = 1
        self._timer_owner: PendingRequest | None = None  # the request that the module is handling
        self._stopped = False
        self._release_tasks = ReleaseTasks(now, self._spawn, self._send_releases, self._confirm_alive)
        # Connections that this end has closed and the engine has not yet; oldest first.
        self._half_closed: dict[Connection, None] = {}
        # Guards of forgotten requests whose held states are still checked, with the time of the last check.
        self._finished_guards: deque[tuple[int, RequestGuard]] = deque()
        self.start_times = StartTimes(wall_clock_offset())

    def _link(self, address: str) -> ConnectionPool:
        raise NotImplementedError

    def _run_attempt(self, pending: Any, attempt: Any, abandon_at: int) -> Coroutine[Any, Any, None]:
        raise NotImplementedError

    def queueing_time(self, message: Message) -> int:
        """Returns the microseconds since a message arrived, which it spent behind others on its connection.
        They count against the client's budget."""
        return int((self._loop.time() - message.received_at) * 1e6)

    @contextlib.contextmanager
    def _timers_belong_to(self, pending: PendingRequest | None) -> Iterator[None]:
        """Attaches the timers that the decision module sets in this context to the request, if any."""
        self._timer_owner = pending
        try:
            yield
        finally:
            self._timer_owner = None

    def _place_request(self, spec: RequestSpec, pending: PendingRequest) -> None:
        """Passes a request to the decision module to place. A bug that one request meets must not leave it
        unanswered."""
        try:
            with self._timers_belong_to(pending):
                self.router.on_request(spec)
        except Exception:
            log.exception("request %s could not be placed", pending.guard.request)
            self._fail_request(pending)

    # The list of engines.

    def _update_endpoint(self, name: str, address: str, kind: str, readiness: str, at: int) -> Any:
        """Applies an entry of the list. A changed address gets a new link."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.link.address != address:
            if endpoint:
                endpoint.link.close()
            endpoint = self.endpoints[name] = self.endpoint_type(self._link(address), kind, readiness, at)
        elif endpoint.readiness != readiness:
            endpoint.readiness, endpoint.readiness_since = readiness, at
        endpoint.kind = kind  # an engine may return as another kind
        return endpoint

    def _mark_missing_gone(self, listed: set[str], at: int) -> None:
        """Marks the engines that a complete list leaves out as gone."""
        for name, endpoint in self.endpoints.items():
            if name not in listed and endpoint.readiness != "gone":
                endpoint.readiness, endpoint.readiness_since = "gone", at

    def _check_before_sending(
        self, pending: Any, attempt: AttemptInFlight, endpoint: Endpoint
    ) -> Observation | None:
        """Returns why an attempt must not be sent although its connection is up, or None if it is sent now.

        The event loop may not have noticed yet that the client disconnected, so the operating system is
        asked."""
        refusal = pending.guard.refusal(
            attempt, now(), endpoint.readiness == "ready", pending.reply.client_gone
        )
        if refusal is None:
            pending.guard.on_sending(attempt, now(), endpoint.readiness == "ready")
            return None
        if refusal is Refusal.CLIENT_GONE:
            self._on_client_gone(pending)
        return (
            Observation.CALLED_OFF
            if refusal in (Refusal.CLIENT_GONE, Refusal.ANSWERED)
            else Observation.STALE
        )

    def _new_guard(self, request: str, request_class: str, budget: int) -> RequestGuard:
        effect = self._request_classes[request_class].idempotency
        return RequestGuard(request, effect, now() + budget, self._held_state_limit, self.violations)

    def _on_violation(self, rule: Rule, request: str, why: str) -> None:
        """Reports a violated invariant with all that is known about the request."""
        raise NotImplementedError

    def _on_attempt_ended(self, pending: Any, attempt: AttemptInFlight, observation: Observation) -> None:
        """Reports the end of an attempt to the guard, and releases a state that it may have left or
        retained."""
        pending.guard.on_ended(attempt, now(), observation in PROVEN_NOT_RUN, observation in ANSWERED)
        pending.attempt = None
        if attempt.peer_closed:
            pending.guard.on_peer_closed(attempt, now())
        self._release_tasks.update(pending.guard)

    def _on_client_gone(self, pending: Any) -> None:
        raise NotImplementedError

    # Calls of the decision module.

    def now(self) -> int:
        return now()

    def set_timer(self, after: int, key: int) -> None:
        owner = self._timer_owner
        timer = self._loop.call_later(max(after, 0) / 1e6, self._fire, key, owner)
        if owner:  # a request's timers are cancelled when it is over
            owner.timers.append(timer)

    def _fire(
        self, key: int, owner: PendingRequest | None = None, turns_left: int = LOOP_TURNS_TO_READ
    ) -> None:
        """Fires a timer, but first lets the event loop read what has arrived while this process was stalled:
        an attempt that looks unanswered may have its answer there."""
        if turns_left:
            self._loop.call_soon(self._fire, key, owner, turns_left - 1)
        elif not self._stopped:
            try:
                with self._timers_belong_to(owner):
                    self.router.on_timer(key)
            except Exception:
                log.exception("timer %d failed", key)
                if owner and owner.id in self.pending_requests:
                    self._fail_request(owner)

    def start_attempt(self, request_id: int, engine: str, abandon_at: int, send_by: int) -> None:
        pending, at = self.pending_requests[request_id], now()
        send_by = min(send_by, abandon_at)
        work = self._work_for(pending, engine)
        pending.attempt = self.attempt_type(
            number=pending.attempts,
            engine=engine,
            work=work,
            sent_at=at,
            send_by=send_by,
            announced_deadline=abandon_at,
        )
        pending.guard.start(pending.attempt)
        self._check_slow_start(pending, engine, at)
        pending.attempts += 1
        pending.attempt.task = self._tasks.create_task(
            self._run_attempt_safely(pending, pending.attempt, abandon_at)
        )

    async def _run_attempt_safely(self, pending: Any, attempt: AttemptInFlight, abandon_at: int) -> None:
        """Runs an attempt. A bug that one request meets must neither end the process nor leave it
        unanswered."""
        try:
            await self._run_attempt(pending, attempt, abandon_at)
        except Exception:
            log.exception("attempt of request %s at engine %s failed", pending.guard.request, attempt.engine)
            if pending.attempt is attempt:
                self._on_attempt_ended(pending, attempt, Observation.CUT)
            self._fail_request(pending)

    def _fail_request(self, pending: Any) -> None:
        """Fails a request after an internal error, without asking the decision module."""
        self.fail(pending.id)
        if pending.attempt:
            self.cancel_attempt(pending.id, pending.attempt.number)
        self.release_state(pending.id)
        self.router.forget(pending.id)
        self._forget(pending)

    def _report_client_left(self, pending: Any) -> None:
        """Reports to the decision module that a client is gone. Its request ends even if that fails."""
        try:
            self.router.on_client_left(pending.id)
        except Exception:
            log.exception("the end of request %s failed", pending.guard.request)
            self._fail_request(pending)

    def _report_engine_list(self, entries: list[EngineEntry], is_whole: bool) -> None:
        """Reports an update of the list of engines. A bug in its handling must not end the process."""
        try:
            self.router.on_engine_list(entries, is_whole)
        except Exception:
            log.exception("an update of the list of engines failed")

    def _spawn(self, coroutine: Coroutine[Any, Any, None], description: str) -> asyncio.Task[None]:
        """Starts a background task that may fail without ending the process."""

        async def safely() -> None:
            try:
                await coroutine
            except Exception:
                log.exception("%s failed", description)

        return self._tasks.create_task(safely())

    def _work_for(self, pending: Any, engine: str) -> Work:
        if self._roles.get(self.endpoints[engine].kind, "both") == "read":
            return Work.PREFILL
        return Work.FETCH if pending.guard.is_leased else Work.PREFILL_AND_DECODE

    def _check_slow_start(self, pending: Any, name: str, at: int) -> None:
        """Checks that a cold engine gets no more than this router's slow-start budget, counted at placing."""
        engine = self.router.engines.get(name)
        if engine and at < engine.slow_start_until and engine.slow_start_credit < 0:
            self.violations.add(
                Rule.SLOW_START, pending.guard.request, f"{name}: {engine.slow_start_credit:.2f}"
            )

    def cancel_attempt(self, request_id: int, number: int) -> None:
        pending = self.pending_requests.get(request_id)
        attempt = pending.attempt if pending else None
        if attempt is None or attempt.number != number or attempt.cancelled:
            return
        attempt.cancelled = True
        if attempt.started and attempt.task:
            attempt.task.cancel()

    def fail(self, request_id: int) -> None:
        raise NotImplementedError

    def release_state(self, request_id: int) -> None:
        if pending := self.pending_requests.get(request_id):
            pending.guard.request_release(now())
            self._release_tasks.update(pending.guard)

    async def _send_releases(self, guard: RequestGuard) -> int:
        """Asks engines to release what is held for a request. Returns when the answered message was sent, 0
        if none was answered."""
        raise NotImplementedError

    async def _confirm_alive(self, engine: str, guard: RequestGuard, since: int) -> int:
        """Returns when a message that an engine has answered was sent, at `since` or later. Pings the engine
        if there was none; 0 if it does not answer."""
        endpoint = self.endpoints.get(engine)
        if endpoint is None or endpoint.readiness == "gone":
            return now()  # its process has ended, and its work with it
        if endpoint.last_answered_sent_at >= since:
            return endpoint.last_answered_sent_at
        sent_at = now()
        return sent_at if await self._ping(engine, guard) else 0

    async def _ping(self, engine: str, guard: RequestGuard) -> bool:
        """Returns whether an engine answers a harmless message on a new connection."""
        raise NotImplementedError

    def watch_engines(self) -> None:
        """Does nothing: the list is pushed, and its watch reconnects by itself."""

    # The end of an attempt and of a request.

    async def _return_connection(
        self,
        pending: Any,
        attempt: AttemptInFlight,
        endpoint: Endpoint,
        connection: Connection | None,
        observation: Observation,
    ) -> None:
        """Returns the connection of an attempt for reuse after a complete answer, and closes it otherwise.

        If the engine may still come to hold a state, the connection is only half-closed at first, so that the
        engine's own close can be seen."""
        if connection is None:
            return
        if observation in REUSABLE:
            endpoint.link.put_back(connection)
            return
        may_hold_state = (
            attempt.may_have_arrived and pending.guard.releases.open and not pending.answer_started
        )
        if may_hold_state and observation not in ANSWERED:
            attempt.peer_closed = connection.peer_closed
            if not attempt.peer_closed and connection.half_close():
                self._half_closed[connection] = None
                peer_close = self._await_peer_close(pending.guard, attempt, connection)
                self._spawn(
                    peer_close, f"the wait for the peer to close a connection of {pending.guard.request}"
                )
                return
        connection.abort()
        with contextlib.suppress(Exception, asyncio.CancelledError):
            await connection.writer.wait_closed()

    async def _await_peer_close(
        self, guard: RequestGuard, attempt: AttemptInFlight, connection: Connection
    ) -> None:
        """Waits for the engine to close its side of a half-closed connection."""
        if (
            await connection.peer_closes(PEER_CLOSE_TIMEOUT, PEER_CLOSE_MAX_BYTES)
            and connection in self._half_closed
        ):
            guard.on_peer_closed(attempt, now())
            self._release_tasks.update(guard)
        self._half_closed.pop(connection, None)
        connection.abort()

    def _drop_half_closed(self) -> None:
        """Closes the oldest half-closed connection, to free a file descriptor."""
        connection = next(iter(self._half_closed))
        del self._half_closed[connection]
        connection.abort()

    def _set_final_answer(self, pending: PendingRequest, answer: str) -> bool:
        """Records the final answer. Every final answer passes here. Returns False if there was one
        already."""
        return pending.guard.set_final_answer(answer, now())

    async def check_held_states_on_time(self) -> None:
        """Checks for states that are held for too long, once this process runs on time: after a stall, what
        has arrived meanwhile is read first, because it may include the answer to a release."""
        while True:
            due_at = now() + READ_LAG
            await asyncio.sleep(READ_LAG / 1e6)
            if now() < due_at + READ_LAG:
                return self.check_held_states()

    def check_held_states(self, at_exit: bool = False) -> None:
        """Checks for states that are held for too long. To be called periodically and at exit.

        Except at exit the check lags by AUDIT_DELAY: a recent release may still be answered, and then counts
        from when it was sent."""
        at = now() if at_exit else now() - AUDIT_DELAY
        for pending in self.pending_requests.values():
            pending.guard.check_overdue(at)
        for guard in self._release_tasks.guards:
            guard.check_overdue(at)
        while self._finished_guards and (at_exit or self._finished_guards[0][0] <= at):
            self._finished_guards.popleft()[1].check_overdue(at)

    def _forget(self, pending: PendingRequest) -> bool:
        """Forgets a request that has its final answer and no attempt in flight. Returns whether it did so
        now."""
        if not pending.final_answer or pending.attempt or self.pending_requests.pop(pending.id, None) is None:
            return False
        if not self.pending_requests:
            self.idle.set()
        for timer in pending.timers:
            timer.cancel()
        if pending.guard.had_held_state:
            self._finished_guards.append(
                (now() + self._held_state_limit + HELD_STATE_SLACK + AUDIT_DELAY, pending.guard)
            )
        return True

    def close(self) -> None:
        self._stopped = True
        self._release_tasks.stop()
        for endpoint in self.endpoints.values():
            endpoint.link.close()
