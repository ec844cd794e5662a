"""The one caller of control.Router in the node: news from sockets becomes calls, its calls become tasks.

Boundaries kept here:
- the module's calls return at once and its news comes on a later turn of the loop, in order, from one loop;
- what any host does alike (one final answer, attempts out, wake-ups) is in lifthead/hosting.py;
- deadlines are the module's; a begun stream without a byte for long is cut, and that is logged.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lifthead import control, hosting
from lifthead.chat.server import Reply
from lifthead.engines.codec import Observation
from lifthead.engines.link import Connection, Lasting, Link, UnwrittenError
from lifthead.events import Event, EventLog, Record
from lifthead.guard import RequestGuard, Rule, Work
from lifthead.hosting import AttemptInFlight, Hosting, now, wall_ahead
from lifthead.http1 import HttpError, Message
from lifthead.interface import Effect, LoadReport
from lifthead.node import clients, engines
from lifthead.node.discovery import News
from lifthead.node.start import Start

ASK_WITHIN = 0.5  # seconds for a probe; the module is told nothing of a lost one
CHECK_WITHIN = 0.1  # seconds for a kept connection to show that it is not silent
RELEASE_WITHIN = 0.5  # seconds for an engine to answer a release
RUNS_WITHIN = 2.0  # ... and for one that may stand still to answer anything
# A release goes to the holder, then after so many seconds each without an answer also to others.
RELEASE_PAUSES = (0.05, 0.05, 0.1, 0.3, 0.5)
RELEASE_ZONES = 4  # engines that are asked at once, each of another zone
SWEEP_EVERY = 0.5  # seconds
LATE = 200_000  # microseconds of delay of ours that are worth a line in the log
SAID_MOST = 8  # different things that are logged of one engine
GONE_FOR = 20_000_000  # microseconds for which an engine that is gone is remembered: it may be back

log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False, kw_only=True)
class PendingRequest(hosting.PendingRequest):
    """A request that was taken and whose attempts are not all over."""

    group: str
    message: Message


@dataclass(slots=True, eq=False)
class Endpoint(hosting.Endpoint):
    """An engine as the node knows it."""

    heard_at: int = 0
    zone: str = ""
    said: set[str] = field(default_factory=set)  # what was logged of it


class Host(Hosting):
    endpoint_type = Endpoint

    def __init__(self, start: Start, tasks: asyncio.TaskGroup) -> None:
        super().__init__(start.deployment, tasks)
        self._start = start
        self._open_ids: set[str] = set()
        self._connections = 0  # to engines, in use
        self.most_connections = start.engines
        self.shed: Callable[[], object] = bool  # has an idle client's connection closed
        self.current: Callable[[], bool] = lambda: True  # whether the list is what discovery has now
        self._unused: dict[Connection, Link] = {}  # to engines, the one that waits longest first
        self.events = EventLog(log)
        self._lasting = Lasting(start.idle_close / 1e6 * engines.IDLE_PART)
        self.router = control.Router(self, start.deployment)

    # What comes in.

    def on_news(self, news: News) -> None:
        """Discovery's word. What is left out of a whole list counts as gone."""
        at, ahead, entries = now(), wall_ahead(), []
        for entry, address in news.entries:
            known = self.endpoints.get(entry.engine)
            if address or known:  # without an address, only what is known already can be told of
                address = address or known.link.address
                self._note(entry.engine, address, entry.kind, entry.readiness, at).zone = entry.zone
                up_since = self.starts.up_since(entry.engine, entry.up_since, at, ahead)
                entries.append(replace(entry, up_since=up_since))
        self.starts.listed(at)
        if news.whole:
            self._only({entry.engine for entry in entries}, at)
        self.router.on_engines(entries, news.whole)

    def _link(self, address: str) -> Link:
        bounds = (engines.HEAD_BYTES, engines.PIECE_BYTES)
        return Link(address, self._start.connect_within / 1e6, self._lasting, bounds, self._unused)

    async def answer(self, message: Message, reply: Reply) -> None:
        """A client's message, from its last byte to the end of its answer."""
        if message.path == clients.READY and message.method == "GET":
            return reply.send_whole(200 if self._served and self.current() else 503, b"")
        try:
            demand = clients.demand_of(message, self._next, self._groups, self.waited(message))
            client_id = message.headers[clients.ID]
            if client_id in self._open_ids:
                raise HttpError(409, "a req with this id is open")
        except HttpError as problem:
            reply.keep_alive = False
            return reply.send_whole(problem.status, clients.error(problem.status, "bad_req", problem.said))
        self._next += 1
        guard = self._guard(client_id, demand.group, demand.budget)
        pending = PendingRequest(id=demand.id, reply=reply, guard=guard, group=demand.group, message=message)
        self.pending_requests[pending.id] = pending
        self._open_ids.add(client_id)
        self.empty.clear()
        reply.on_client_gone = lambda: self._left(pending)
        self._note_event(pending, Event.TAKEN, detail=f"class={demand.group} prompt={demand.prompt}")
        self._tell_module(demand, pending)
        await reply.finished.wait()
        self._forget(pending)

    @property
    def _served(self) -> bool:
        """Whether a request would be: some engine is there for it."""
        return any(
            endpoint.readiness == "ready" and endpoint.kind in self._roles
            for endpoint in self.endpoints.values()
        )

    def _left(self, pending: PendingRequest) -> None:
        """The client went away: what is out for it is called off, what is held is let go of."""
        if not self._answered(pending, "left"):
            return
        self.router.on_expired(pending.id)
        if pending.begun and pending.attempt:
            self.cancel(pending.id, pending.attempt.number)  # a stream that nobody reads
        self._forget(pending)

    # What the module does.

    def push_back(self, req: int, hold_off: int) -> None:
        pending = self.pending_requests[req]
        if self._answered(pending, "pushed back"):
            pending.reply.send_whole(*clients.push_back(hold_off))

    def abort(self, req: int) -> None:
        pending = self.pending_requests[req]
        if self._answered(pending, "aborted"):
            pending.reply.send_whole(*clients.abort())

    def probe(self, engine: str) -> None:
        self._spawn(self._probe(engine), f"a probe of {engine}")

    # Carrying an attempt.

    async def _carry(self, pending: PendingRequest, attempt: AttemptInFlight, abandon_at: int) -> None:
        """From the sending of an attempt to the telling of its ending; owns its connection throughout."""
        attempt.started = True
        endpoint = self.endpoints[attempt.engine]
        connection: Connection | None = None
        observation, note, report = Observation.CALLED_OFF, 0, None
        self._note_event(pending, Event.CONNECTING, attempt)
        self._connections += 1
        self._make_room()
        try:
            async with asyncio.timeout((abandon_at - now()) / 1e6) as limit:
                if attempt.called_off:
                    raise asyncio.CancelledError
                # A kept connection that was dropped at the other end can't be told from an attempt that ran.
                may_repeat = attempt.reading or self._groups[pending.group].effect is Effect.REPLAYABLE
                fetches_again = attempt.work is Work.FETCH and attempt.number > 1
                for fresh in (not may_repeat or fetches_again, *[True] * engines.CONNECT_AGAIN):
                    connection = None
                    try:
                        connection = await self._connection(pending, attempt, endpoint, fresh)
                        observation, note, report = await self._exchange(
                            pending, attempt, endpoint, connection, limit, abandon_at
                        )
                        break
                    except UnwrittenError:  # reset before all of it was written: none of it was taken
                        observation = Observation.NO_CONNECTION
                        if connection:
                            connection.abort()
        except TimeoutError:
            observation = Observation.OUT_OF_TIME if connection else Observation.NO_CONNECTION
            if pending.begun:
                observation = Observation.STALLED
                _say_once(endpoint, attempt.engine, "a stream fell silent and was cut")
        except asyncio.CancelledError:
            if not attempt.called_off:
                raise  # the process ends
            observation = Observation.CALLED_OFF
        except OSError:
            observation = Observation.CUT if connection else Observation.NO_CONNECTION
        except HttpError as problem:
            observation = Observation.STRANGE
            _say_once(endpoint, attempt.engine, f"strange answer: {problem.said[:120]}")
        except Exception:  # guards all other requests against a fault of ours in this one
            observation = Observation.CUT
            log.exception("a forward to %s", attempt.engine)
        self._connections -= 1
        if connection and observation is Observation.CUT:
            endpoint.link.broke(connection)
        elif connection and connection.uses and not connection.answered:
            endpoint.link.close()  # others that rest may be silent as well
        if observation not in (Observation.READ, Observation.WRITTEN):
            reason = f"reason={observation.name.lower()} work={attempt.work.value}"
            self._report_event(pending, Event.CLOSED, attempt, f"{reason} {connection or ''}")
        await self._part(pending, attempt, endpoint, connection, observation)
        self._over(pending, attempt, observation, note, report)

    async def _connection(
        self, pending: PendingRequest, attempt: AttemptInFlight, endpoint: Endpoint, fresh: bool
    ) -> Connection:
        """A connection for an attempt. A kept one may have fallen silent with no error, so it is asked first:
        a release of what this request holds, which is nothing yet. A call that is to fetch a state can't ask
        that; its lease bounds the wait."""
        connection = await endpoint.link.take(fresh)
        if not connection.uses or attempt.work is Work.FETCH:
            return connection
        question = engines.release(pending.guard.request)
        if await connection.answers(question, CHECK_WITHIN):
            return connection
        self._report_event(pending, Event.CLOSED, attempt, f"reason=silent {connection}")
        endpoint.link.broke(connection)
        connection.abort()
        endpoint.link.close()  # others that rest may be silent as well
        return await endpoint.link.take(fresh=True)

    async def _exchange(
        self,
        pending: PendingRequest,
        attempt: AttemptInFlight,
        endpoint: Endpoint,
        connection: Connection,
        limit: asyncio.Timeout,
        due_at: int,
    ) -> tuple[Observation, int, LoadReport | None]:
        """Sends an attempt and reads its answer: what was seen, tokens found kept, the load told with it."""
        if refused := self._refused(pending, attempt, endpoint):
            return refused, 0, None
        self._note_event(pending, Event.WRITING, attempt, f"uses={connection.uses}")
        await connection.send(engines.forward(pending.message, due_at - attempt.sent_at))
        pending.guard.written(attempt)
        self.router.on_written(pending.id, attempt.number, connection.uses > 0)
        self._note_event(pending, Event.WRITTEN, attempt)
        head = await connection.head()
        endpoint.heard_at, endpoint.answered_for = now(), max(endpoint.answered_for, attempt.sent_at)
        self._note_event(pending, Event.CONFIRMED, attempt, f"status={head.status}")
        report = engines.report_with(head.headers)
        observation = engines.observation_of(head)
        pending.guard.confirmed_by(attempt)
        if observation is Observation.STATE_GONE:
            pending.guard.state_gone()
        if observation:
            body = await connection.rest(engines.ANSWER_BYTES)
            if observation is not Observation.READ:
                return observation, 0, report
            pending.guard.leased(attempt, now())
            self._note_event(pending, Event.LEASED, attempt)
            return observation, engines.tokens_kept(body), report
        return await self._stream(pending, attempt, connection, limit)

    async def _stream(
        self,
        pending: PendingRequest,
        attempt: AttemptInFlight,
        connection: Connection,
        limit: asyncio.Timeout,
    ) -> tuple[Observation, int, LoadReport | None]:
        """Relays a writer's events as they come. Until the first has, another attempt is possible."""
        events, guarded_at = engines.Events(), 0.0
        held_back = b""
        while data := await connection.more():
            passes = held_back + events.feed(data)
            if not events.begun:
                held_back = passes
                continue
            held_back = b""
            if pending.ended:
                return Observation.CALLED_OFF, 0, None
            if not pending.begun:
                pending.begun = True
                pending.guard.fetched(attempt, now())
                self._releases.look_at(pending.guard)
                self._note_event(pending, Event.FETCHED, attempt)
                pending.message.body = b""  # there is no further attempt, and streams are long
                self.router.on_begun(pending.id, attempt.number, now() - attempt.sent_at)
                pending.reply.begin({}, passes)
                room = True
            else:
                room = pending.reply.send(passes) if passes else True
            if not room:
                limit.reschedule(None)  # a slow client is not a silent engine
                await pending.reply.wait_writable()
                guarded_at = 0.0
            if self._loop.time() > guarded_at + engines.SILENT_FOR / 8:
                guarded_at = self._loop.time()
                limit.reschedule(guarded_at + engines.SILENT_FOR * 9 / 8)
        if not pending.begun or not events.whole:
            raise HttpError(502, "a stream that is not whole")
        if self._answered(pending, "done"):
            pending.reply.end()
        return Observation.WRITTEN, events.kept, events.report

    def _over(
        self,
        pending: PendingRequest,
        attempt: AttemptInFlight,
        observation: Observation,
        note: int,
        report: LoadReport | None,
    ) -> None:
        """Tells how an attempt ended. A stream that broke at its client ends with no last chunk."""
        ending, mark = engines.ENDINGS[observation]
        self._ended(pending, attempt, observation)
        if pending.begun and self._answered(pending, "broken"):
            pending.reply.truncate()
        final = pending.ended != ""
        took = now() - attempt.sent_at
        self._note_event(pending, Event.ENDED, attempt, f"outcome={observation.name.lower()} took_us={took}")
        with self._telling(pending):
            self.router.on_ended(
                pending.id, attempt.number, attempt.engine, ending, took, note or mark, final, report
            )
        if pending.ended and pending.attempt is None:
            self.free_state(pending.id)  # guards rule 5 where the module has forgotten the request
        self._forget(pending)

    def _make_room(self) -> None:
        """Engines' connections stay within their part of the descriptors: the longest unused one goes, then
        an idle client. What is out for clients stays within: there are fewer of those (start.CLIENTS)."""
        while (
            self._unused and self._connections + len(self._unused) + len(self._ending) > self.most_connections
        ):
            next(iter(self._unused.values())).drop_oldest()
        while self._ending and self._connections + len(self._ending) > self.most_connections:
            self._drop_ending()
        if self._connections > self.most_connections:
            self.shed()

    async def _ask_to_release(self, guard: RequestGuard) -> int:
        """Asks more and more engines until one has answered, as any of them passes a release on. All but the
        first question go on connections of their own: what is kept may be silent, as whatever led to the
        release may have been."""
        began, holder = now(), guard.held_at
        beside = guard.attempt.engine if guard.attempt else "none"
        reason = guard.final or "lease"
        detail = f"reason={reason} in_flight={beside} holders={','.join(guard.holders.values())}"
        self.events.report(began, Event.RELEASING, guard.request, engine=holder, detail=detail)
        asked_at = await self._ask_each(holder, engines.release(guard.request))
        took = now() - began
        if asked_at:
            beside = guard.attempt.engine if guard.attempt else "none"
            detail = f"took_us={took} asked_at_us={asked_at} in_flight={beside}"
            self.events.report(now(), Event.RELEASED, guard.request, engine=holder, detail=detail)
        else:
            self.events.report(now(), Event.RELEASE_UNANSWERED, guard.request, engine=holder)
        return asked_at

    async def _ask_each(self, holder: str, question: bytes) -> int:
        """When the first question that was answered was sent, 0 if none was."""
        answered, asked_at = asyncio.Event(), 0

        async def ask(engine: str, fresh: bool) -> None:
            nonlocal asked_at
            began = now()
            answer = await self._ask(engine, question, RELEASE_WITHIN, fresh)
            if answer and answer[0].status in engines.RELEASED:
                asked_at = asked_at or began
                answered.set()
            elif answer and (endpoint := self.endpoints.get(engine)):
                _say_once(endpoint, engine, f"a release was answered with {answer[0].status}")

        async with asyncio.TaskGroup() as asking:
            tasks = []
            for turn, pause in enumerate(RELEASE_PAUSES):
                asked = [holder, *self._last_heard(holder, turn - 1)] if turn else [holder]
                tasks += [asking.create_task(ask(engine, turn > 0)) for engine in asked]
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(pause):
                        await answered.wait()
                        break
            for task in tasks:
                task.cancel()
        return asked_at

    def _last_heard(self, holder: str, turn: int) -> list[str]:
        """The engine last heard of in each zone, or the one before it at a later turn: a zone that is cut off
        was heard of until a moment ago."""
        there: dict[str, list[str]] = {self._start.deployment.zone: []}
        for name in sorted(self.endpoints, key=lambda name: -self.endpoints[name].heard_at):
            if name != holder and self.endpoints[name].readiness != "gone":
                there.setdefault(self.endpoints[name].zone, []).append(name)
        zones = [names for names in there.values() if names][:RELEASE_ZONES]
        return [names[turn % len(names)] for names in zones]

    async def _is_answered(self, engine: str, guard: RequestGuard) -> bool:
        """Any engine takes a release of a request that is over, and any status shows that it runs."""
        answer = await self._ask(engine, engines.release(guard.request), RUNS_WITHIN, fresh=True)
        detail = f"answered={'no' if answer is None else 'yes'}"
        self.events.report(now(), Event.CHECKED, guard.request, engine=engine, detail=detail)
        return answer is not None

    async def _probe(self, engine: str) -> None:
        answer = await self._ask(engine, engines.PROBE, ASK_WITHIN)
        report = None
        if answer:
            head, body = answer
            report = engines.report_with(head.headers) or engines.report_of(body.decode("latin-1"))
        self.router.on_probed(engine, report)

    async def _ask(
        self, engine: str, data: bytes, within: float, fresh: bool = False
    ) -> tuple[Message, bytes] | None:
        """One short question; None if it was not answered in time."""
        endpoint = self.endpoints.get(engine)
        if endpoint is None:
            return None  # gone, and forgotten since
        self._connections += 1
        began = now()
        try:
            self._make_room()
            answer = await endpoint.link.ask(data, within, fresh)
            if answer:
                endpoint.heard_at, endpoint.answered_for = now(), max(endpoint.answered_for, began)
            return answer
        finally:
            self._connections -= 1

    async def look_after_links(self) -> None:
        """Closes what waits unused for too long, forgets engines that are gone, as new ones come all day, and
        looks for states that are held for too long."""
        while True:
            due_at = now() + int(SWEEP_EVERY * 1e6)
            await asyncio.sleep(SWEEP_EVERY)
            if (late := now() - due_at) > LATE:
                log.warning("the event loop is %d ms late", late // 1000)
            await self.judge_held_states()
            past, in_use = now() - GONE_FOR, self._in_use()
            for name, endpoint in list(self.endpoints.items()):
                endpoint.link.sweep()
                if endpoint.readiness == "gone" and endpoint.told_at < past and name not in in_use:
                    endpoint.link.close()
                    del self.endpoints[name]

    def _in_use(self) -> set[str]:
        hands = self.pending_requests.values()
        guards = [*(pending.guard for pending in hands), *self._releases.guards]
        holders = {engine for guard in guards for engine in guard.holders.values()}
        return {pending.attempt.engine for pending in hands if pending.attempt} | holders

    # The end of a request.

    def _answered(self, pending: PendingRequest, ended: str) -> bool:
        first = super()._answered(pending, ended)
        if first and ended == "done":
            self._note_event(pending, Event.ANSWERED, detail=f"reason={ended}")
        elif first:
            self._report_event(pending, Event.ANSWERED, detail=f"reason={ended} attempts={pending.attempts}")
        return first

    def _forget(self, pending: PendingRequest) -> bool:
        if not super()._forget(pending):
            return False
        self._note_event(pending, Event.FORGOTTEN)
        self._open_ids.discard(pending.message.headers[clients.ID])
        return True

    # Evidence.

    def _violated(self, rule: Rule, request: str, why: str) -> None:
        self.events.report(now(), Event.VIOLATION, request, detail=f"rule={rule.value} why={why}")
        self.events.dump(f"{rule.value} violated", request)

    def _note_event(
        self, pending: PendingRequest, event: Event, attempt: AttemptInFlight | None = None, detail: str = ""
    ) -> Record:
        number, engine = (attempt.number, attempt.engine) if attempt else (-1, "")
        return self.events.note(now(), event, pending.message.headers[clients.ID], number, engine, detail)

    def _report_event(
        self, pending: PendingRequest, event: Event, attempt: AttemptInFlight | None = None, detail: str = ""
    ) -> None:
        self.events.log(self._note_event(pending, event, attempt, detail))


def _say_once(endpoint: Endpoint, engine: str, what: str) -> None:
    """Once for an engine, not once for a request."""
    if what not in endpoint.said and len(endpoint.said) < SAID_MOST:
        endpoint.said.add(what)
        log.warning("%s: %s", engine, what)
