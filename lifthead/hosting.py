"""What every program that hosts the decision module does alike: the daemon's host and the node's.

- `_answered` is the one place that a final answer passes, which makes a second one impossible;
- an attempt that is in flight has one task, which the module cancels by the attempt's number;
- wake-ups that the module asks for while it is told of a request go with the request;
- every attempt, final answer and held state of a request passes its guard (lifthead/guard.py);
- an attempt's connection is given back or closed before its ending is told.
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
from lifthead.chat.server import Reply
from lifthead.engines.codec import PROVEN_NOT_RUN, Observation
from lifthead.engines.link import Connection, Link
from lifthead.guard import HELD_SLACK, Attempt, Refusal, RequestGuard, Rule, Violations, Work
from lifthead.http1 import Message
from lifthead.interface import Demand, Deployment
from lifthead.release_tasks import ReleaseTasks
from lifthead.starts import StartTimes

log = logging.getLogger(__name__)

# Observations of a whole answer, after which its connection may be used again.
WHOLE = (Observation.READ, Observation.WRITTEN, Observation.TURNED_AWAY, Observation.STATE_GONE)
# ... after which its engine is done with the attempt.
ANSWERED = (*WHOLE, Observation.REFUSED_UNMARKED)

END_WITHIN = 1.0  # seconds for an engine to end its side of a connection that was closed here
END_BYTES = 65_536  # that may still come on it
READ_WITHIN = 20_000  # microseconds in which a process that is not held up reads what has come
JUDGED_LATE = 500_000  # microseconds past the time allowed in which the last of a held state is judged

# Turns of the event loop in which it looks at its sockets, reads them, and runs the tasks that wait for that.
TURNS_TO_READ = 3


def now() -> int:
    """This machine's own clock, whole microseconds."""
    return time.monotonic_ns() // 1000


def wall_ahead() -> int:
    """What the wall clock, which machines share, is ahead of this machine's own."""
    return time.time_ns() // 1000 - now()


@dataclass(slots=True, eq=False, kw_only=True)
class AttemptInFlight(Attempt):
    """An attempt in flight, with the task that carries it."""

    task: asyncio.Task | None = None
    started: bool = False
    end_shown: bool = False  # the engine ended its side of the connection first


@dataclass(slots=True, eq=False, kw_only=True)
class PendingRequest:
    """A request that was taken and whose attempts are not all over."""

    id: int
    reply: Reply
    guard: RequestGuard
    attempt: Any = None  # its AttemptInFlight, while one is
    attempts: int = 0
    begun: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)

    @property
    def ended(self) -> str:
        """The final answer in one word, "" if there is none yet."""
        return self.guard.final


@dataclass(slots=True, eq=False)
class Endpoint:
    """An engine as the host knows it: how to get there, and whether it may get anything new."""

    link: Link
    kind: str
    readiness: str
    told_at: int
    answered_for: int = field(default=0, kw_only=True)  # when the latest was sent that it has answered


class Hosting:
    """The part of a host that the module's calls meet first. A program's own host adds how an attempt is
    carried, how a final answer is worded, and what it writes down."""

    attempt_type = AttemptInFlight
    endpoint_type = Endpoint

    def __init__(self, deployment: Deployment, tasks: asyncio.TaskGroup) -> None:
        self.pending_requests: dict[int, Any] = {}
        self.endpoints: dict[str, Any] = {}
        self.empty = asyncio.Event()
        self.empty.set()
        self.router: control.Router
        self.violations = Violations(self._violated)
        self._allowed = deployment.let_go_by
        self._tasks = tasks
        self._groups = deployment.groups
        self._roles = deployment.roles
        self._loop = asyncio.get_running_loop()
        self._next = 1
        self._told_of: PendingRequest | None = None  # the request that the module is being told of
        self._stopped = False
        self._releases = ReleaseTasks(now, self._spawn, self._ask_to_release, self._ask_whether_runs)
        self._ending: dict[Connection, None] = {}  # closed here, and not yet known to be there; oldest first
        self._forgotten: deque[tuple[int, RequestGuard]] = deque()  # ... whose held states are still judged
        self.starts = StartTimes(wall_ahead())

    def _link(self, address: str) -> Link:
        raise NotImplementedError

    def _carry(self, pending: Any, attempt: Any, abandon_at: int) -> Coroutine[Any, Any, None]:
        raise NotImplementedError

    def waited(self, message: Message) -> int:
        """Microseconds since a message's last byte came, behind others of its connection: its client counts
        them."""
        return int((self._loop.time() - message.came_at) * 1e6)

    @contextlib.contextmanager
    def _telling(self, pending: PendingRequest) -> Iterator[None]:
        """The module is told of this request: timers that it asks for meanwhile go with the request."""
        self._told_of = pending
        try:
            yield
        finally:
            self._told_of = None

    def _tell_module(self, demand: Demand, pending: PendingRequest) -> None:
        """Has the module place a request."""
        with self._telling(pending):
            self.router.on_req(demand)

    # The list of engines.

    def _note(self, name: str, address: str, kind: str, readiness: str, at: int) -> Any:
        """An entry of the list: the way there, anew where the address changed, and since when it drains."""
        known = self.endpoints.get(name)
        if known is None or known.link.address != address:
            if known:
                known.link.close()
            known = self.endpoints[name] = self.endpoint_type(self._link(address), kind, readiness, at)
        elif known.readiness != readiness:
            known.readiness, known.told_at = readiness, at
        known.kind = kind  # an engine may be back as another
        return known

    def _only(self, named: set[str], at: int) -> None:
        """The whole list has come: what it leaves out counts as gone."""
        for name, endpoint in self.endpoints.items():
            if name not in named and endpoint.readiness != "gone":
                endpoint.readiness, endpoint.told_at = "gone", at

    def _refused(self, pending: Any, attempt: AttemptInFlight, endpoint: Endpoint) -> Observation | None:
        """What has come between an attempt and its sending while its connection came up: None if nothing has.
        What tells the loop that a client left may wait behind other work, so the system is asked."""
        refusal = pending.guard.refusal(
            attempt, now(), endpoint.readiness == "ready", pending.reply.client_gone
        )
        if refusal is None:
            pending.guard.writing(attempt, now(), endpoint.readiness == "ready")
            return None
        if refusal is Refusal.CLIENT_GONE:
            self._left(pending)
        return (
            Observation.CALLED_OFF
            if refusal in (Refusal.CLIENT_GONE, Refusal.ANSWERED)
            else Observation.STALE
        )

    def _guard(self, request: str, group: str, budget: int) -> RequestGuard:
        effect = self._groups[group].effect
        return RequestGuard(request, effect, now() + budget, self._allowed, self.violations)

    def _violated(self, rule: Rule, request: str, why: str) -> None:
        """An invariant is broken: to be logged with all that is known of the request."""
        raise NotImplementedError

    def _ended(self, pending: Any, attempt: AttemptInFlight, observation: Observation) -> None:
        """An attempt is over. A state that it may have left, or kept from being released, is released."""
        pending.guard.ended(attempt, now(), observation in PROVEN_NOT_RUN, observation in ANSWERED)
        pending.attempt = None
        if attempt.end_shown:
            pending.guard.end_shown(attempt, now())
        self._releases.look_at(pending.guard)

    def _left(self, pending: Any) -> None:
        raise NotImplementedError

    # What the module does.

    def now(self) -> int:
        return now()

    def wake(self, after: int, label: int) -> None:
        timer = self._loop.call_later(max(after, 0) / 1e6, self._ring, label)
        if self._told_of:  # a timer for a request is of no use once the request is over
            self._told_of.timers.append(timer)

    def _ring(self, label: int, turns: int = TURNS_TO_READ) -> None:
        """What the system held while this process had no turn is read first: a call that looks unanswered
        may have its answer there."""
        if turns:
            self._loop.call_soon(self._ring, label, turns - 1)
        elif not self._stopped:
            try:
                self.router.on_wake(label)
            except Exception:
                log.exception("wake-up %d", label)

    def forward(self, req: int, engine: str, abandon_at: int, send_by: int) -> None:
        pending, at = self.pending_requests[req], now()
        send_by = min(send_by, abandon_at)
        work = self._work(pending, engine)
        pending.attempt = self.attempt_type(
            number=pending.attempts,
            engine=engine,
            work=work,
            sent_at=at,
            send_by=send_by,
            told_until=abandon_at,
        )
        pending.guard.start(pending.attempt)
        self._check_slow_start(pending, engine, at)
        pending.attempts += 1
        pending.attempt.task = self._tasks.create_task(
            self._carry_safely(pending, pending.attempt, abandon_at)
        )

    async def _carry_safely(self, pending: Any, attempt: AttemptInFlight, abandon_at: int) -> None:
        """A fault of ours in one request ends neither the process nor the request without an answer."""
        try:
            await self._carry(pending, attempt, abandon_at)
        except Exception:
            log.exception("an attempt of %s at %s", pending.guard.request, attempt.engine)
            if pending.attempt is attempt:
                self._ended(pending, attempt, Observation.CUT)
            self._give_up(pending)

    def _give_up(self, pending: Any) -> None:
        """The final answer where the module can't be asked any more."""
        self.abort(pending.id)
        self.free_state(pending.id)
        self.router.forget(pending.id)
        self._forget(pending)

    def _spawn(self, work: Coroutine[Any, Any, None], what: str) -> asyncio.Task[None]:
        """A task of the process that may fail without ending it."""

        async def safely() -> None:
            try:
                await work
            except Exception:
                log.exception("%s", what)

        return self._tasks.create_task(safely())

    def _work(self, pending: Any, engine: str) -> Work:
        if self._roles.get(self.endpoints[engine].kind, "both") == "read":
            return Work.PREFILL
        return Work.FETCH if pending.guard.is_leased else Work.WHOLE

    def _check_slow_start(self, pending: Any, name: str, at: int) -> None:
        """A cold engine gets no more than this router's part, which is counted when the attempt is placed."""
        engine = self.router.engines.get(name)
        if engine and at < engine.cold_until and engine.cold_credit < 0:
            self.violations.add(Rule.SLOW_START, pending.guard.request, f"{name}: {engine.cold_credit:.2f}")

    def cancel(self, req: int, forward: int) -> None:
        pending = self.pending_requests.get(req)
        attempt = pending.attempt if pending else None
        if attempt is None or attempt.number != forward or attempt.called_off:
            return
        attempt.called_off = True
        if attempt.started and attempt.task:
            attempt.task.cancel()

    def abort(self, req: int) -> None:
        raise NotImplementedError

    def free_state(self, req: int) -> None:
        if pending := self.pending_requests.get(req):
            pending.guard.release_wanted(now())
            self._releases.look_at(pending.guard)

    async def _ask_to_release(self, guard: RequestGuard) -> int:
        """Asks engines to release what is held for a request. When the question that was answered was sent; 0
        if none was."""
        raise NotImplementedError

    async def _ask_whether_runs(self, engine: str, guard: RequestGuard, since: int) -> int:
        """When something was sent to an engine, at `since` or later, that it has answered; asks it where
        nothing was. 0 if it does not answer."""
        endpoint = self.endpoints.get(engine)
        if endpoint is None or endpoint.readiness == "gone":
            return now()  # its process has ended, and what it did with it
        if endpoint.answered_for >= since:
            return endpoint.answered_for
        began = now()
        return began if await self._is_answered(engine, guard) else 0

    async def _is_answered(self, engine: str, guard: RequestGuard) -> bool:
        """Asks an engine something harmless, on a connection of its own."""
        raise NotImplementedError

    def watch_engines(self) -> None:
        """The list is pushed: its follower asks again by itself."""

    # The end of an attempt and of a request.

    async def _part(
        self,
        pending: Any,
        attempt: AttemptInFlight,
        endpoint: Endpoint,
        connection: Connection | None,
        observation: Observation,
    ) -> None:
        """An attempt's connection is given back after a whole answer, else closed. Where its engine may go on
        to hold a state for it, only the sending ends at first, so that the engine's own end can be seen."""
        if connection is None:
            return
        if observation in WHOLE:
            endpoint.link.give(connection)
            return
        may_hold = attempt.is_written and pending.guard.releases.open and not pending.begun
        if may_hold and observation not in ANSWERED:
            attempt.end_shown = connection.ended
            if not attempt.end_shown and connection.end_sending():
                self._ending[connection] = None
                end = self._see_end(pending.guard, attempt, connection)
                self._spawn(end, f"the end of a connection of {pending.guard.request}")
                return
        connection.abort()
        with contextlib.suppress(Exception, asyncio.CancelledError):
            await connection.writer.wait_closed()

    async def _see_end(self, guard: RequestGuard, attempt: AttemptInFlight, connection: Connection) -> None:
        """Waits for the engine to end its side of a connection on which the sending has ended."""
        if await connection.ends(END_WITHIN, END_BYTES) and connection in self._ending:
            guard.end_shown(attempt, now())
            self._releases.look_at(guard)
        self._ending.pop(connection, None)
        connection.abort()

    def _drop_ending(self) -> None:
        """Closes the oldest connection whose end at its engine is waited for: descriptors are short."""
        connection = next(iter(self._ending))
        del self._ending[connection]
        connection.abort()

    def _answered(self, pending: PendingRequest, ended: str) -> bool:
        """The one place that a final answer passes. False: there was one already."""
        return pending.guard.answer(ended, now())

    async def judge_held_states(self) -> None:
        """Looks for states that are held for too long, once this process has had its turns in time: after a
        stall, what came meanwhile is read first, the answer to a release among it."""
        while True:
            due_at = now() + READ_WITHIN
            await asyncio.sleep(READ_WITHIN / 1e6)
            if now() < due_at + READ_WITHIN:
                return self.check_held_states()

    def check_held_states(self, at_exit: bool = False) -> None:
        """Looks for states that are held for too long; to be called now and then, and at the exit. Until then
        what was asked lately may still be answered, and counts from when it was asked."""
        at = now() if at_exit else now() - JUDGED_LATE
        for pending in self.pending_requests.values():
            pending.guard.overdue(at)
        for guard in self._releases.guards:
            guard.overdue(at)
        while self._forgotten and (at_exit or self._forgotten[0][0] <= at):
            self._forgotten.popleft()[1].overdue(at)

    def _forget(self, pending: PendingRequest) -> bool:
        """Lets go of a request that has its answer and no attempt out; True if it did so now."""
        if not pending.ended or pending.attempt or self.pending_requests.pop(pending.id, None) is None:
            return False
        if not self.pending_requests:
            self.empty.set()
        for timer in pending.timers:
            timer.cancel()
        if pending.guard.has_held:
            self._forgotten.append((now() + self._allowed + HELD_SLACK + JUDGED_LATE, pending.guard))
        return True

    def close(self) -> None:
        self._stopped = True
        self._releases.stop()
        for endpoint in self.endpoints.values():
            endpoint.link.close()
