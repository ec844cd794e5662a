"""The one caller of control.Router in the daemon: news from sockets becomes calls, its calls become tasks.

Boundaries kept here:
- the module's calls return at once and its news comes on a later turn of the loop, in order, from one loop;
- what any host does alike (one final answer, attempts out, wake-ups) is in lifthead/hosting.py;
- deadlines are the module's; `stalled_for` is only a last guard on a begun stream, and it logs.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any

from lifthead import control
from lifthead.chat import codec as chat
from lifthead.chat.codec import Asked, Gathered
from lifthead.chat.server import JSON, Reply
from lifthead.daemon.gauges import Gauges
from lifthead.daemon.requests import ChatAttempt, ChatEndpoint, ChatRequest, UsageRecorder
from lifthead.daemon.resuming import ResumingHost
from lifthead.deployment.fleet import Limits
from lifthead.engines import codec
from lifthead.engines.codec import ENDINGS, ListNews, Observation, StrangeError
from lifthead.engines.link import Connection, Link
from lifthead.guard import RequestGuard, Rule
from lifthead.hosting import now, wall_ahead
from lifthead.http1 import HttpError
from lifthead.interface import Demand, Deployment, Effect, Ending, EngineEntry, LoadReport
from lifthead.members.weight import RecentAnswers
from lifthead.resume.notice import Notice
from lifthead.resume.rescue import Rescue
from lifthead.resume.splice import SeamError, Splice

REST_WITHIN = 0.02  # seconds for the last bytes after a stream's end
ASK_WITHIN = 1.0  # seconds that a probe may take; the module is told nothing of a lost one
RUNS_WITHIN = 2.0  # seconds for an engine that may stand still to answer anything
RELEASE_WITHIN = 0.1  # seconds for the answer to a release on a kept connection, and once more on a new one


class Host(ResumingHost):
    attempt_type = ChatAttempt
    endpoint_type = ChatEndpoint

    def __init__(
        self,
        name: str,
        deployment: Deployment,
        limits: Limits,
        tasks: asyncio.TaskGroup,
        gauges: Gauges,
        log: Any,
        resumes: bool,
        bill: UsageRecorder | None = None,
        decide: Callable[[Any, Deployment], control.Router] = control.Router,
    ) -> None:
        super().__init__(deployment, tasks)
        self.name = name
        self.limits = limits
        self.gauges = gauges
        self.listed_at = 0  # when a list of engines last came; 0: never
        self._log = log
        self._resumes = resumes
        self._bill = bill
        self._effects = {group.name: group.effect for group in deployment.groups.values()}
        # Engines must not take the requests of this start for those of the one before.
        self._life = f"{time.time_ns() // 1_000_000:x}"
        self._streams: dict[int, ChatRequest] = {}  # whose stream has begun and may break, by serial
        self.notice = Notice(int(limits.stalled_for))
        self.rescue = Rescue()
        self.lately = RecentAnswers()
        self.router = decide(self, deployment)

    # What comes in.

    def on_list(self, news: ListNews) -> None:
        """A push of the list of engines. What is left out of a whole list counts as gone."""
        at, ahead = now(), wall_ahead()
        self.listed_at = at
        entries = []
        for listed in news.engines:
            endpoint = self._note(listed.name, listed.address, listed.kind, listed.readiness, at)
            endpoint.drains_by = listed.drains_by - self.starts.wall_ahead if listed.drains_by else 0
            up_since = self.starts.up_since(listed.name, listed.started_at, at, ahead)
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
        self.starts.listed(at)
        if news.whole:
            self._only({listed.name for listed in news.engines}, at)
        self.router.on_engines(entries, news.whole)

    def _link(self, address: str) -> Link:
        return Link(address, self.limits.connect_within / 1e6)

    def on_list_lost(self) -> None:
        self.router.on_engines_unavailable()

    @property
    def ready_writers(self) -> int:
        return sum(
            endpoint.readiness == "ready" and self._roles.get(endpoint.kind, "both") != "read"
            for endpoint in self.endpoints.values()
        )

    async def take(self, asked: Asked, reply: Reply, waited: int = 0) -> None:
        """A client's request, from its demand to the end of its answer. `waited`: microseconds of its budget
        that are gone."""
        req_id, self._next = self._next, self._next + 1
        name = f"{self.name}-{self._life}-{req_id}"
        guard = self._guard(name, asked.group, max(asked.budget - waited, 0))
        pending = ChatRequest(
            id=req_id, serial=req_id, name=name, asked=asked, reply=reply, guard=guard, taken_at=now()
        )
        pending.body = asked.body
        self.pending_requests[req_id] = pending
        self.empty.clear()
        self.gauges.taken(asked.group)
        reply.left = lambda: self._left(pending)
        self._tell(pending, max(asked.budget - waited, 0), asked.prompt, asked.max_out)
        await reply.finished.wait()
        self._forget(pending)

    def _tell(self, pending: ChatRequest, budget: int, prompt: int, max_out: int) -> None:
        """Has the module place a leg of the request."""
        asked = pending.asked
        self._tell_module(
            Demand(
                pending.id,
                asked.group,
                asked.tenant,
                budget,
                prompt,
                max_out,
                asked.session,
                asked.beginning,
                asked.beginning_len,
                0,
                asked.again or pending.legs > 0,
                *pending.ran,
            ),
            pending,
        )

    def _left(self, pending: ChatRequest) -> None:
        """The client went away: what is out for it is called off, what is held is let go of."""
        if not self._answered(pending, "left"):
            return
        self.router.on_expired(pending.id)
        self.rescue.settled(pending.serial)
        self._streams.pop(pending.serial, None)
        if pending.begun and pending.attempt:
            self.cancel(pending.id, pending.attempt.number)  # a stream that nobody reads

    # What the module does.

    def forward(self, req: int, engine: str, abandon_at: int, send_by: int) -> None:
        self.pending_requests[req].sent += 1
        super().forward(req, engine, abandon_at, send_by)

    def free_state(self, req: int) -> None:
        super().free_state(req)
        if pending := self.pending_requests.get(req):
            pending.handle = None

    def push_back(self, req: int, hold_off: int) -> None:
        pending = self.pending_requests[req]
        if pending.reply.begun:
            return self._break_off(pending, "no place was found for the rest of it")
        if self._answered(pending, "pushed back"):
            headers = {
                **self._headers(pending),
                "retry-after": str(-(-hold_off // 1_000_000) or 1),
                "retry-after-ms": str(hold_off // 1000),
            }
            pending.reply.whole(
                503, chat.error(503, "overloaded", "pushed back: trying again does no harm"), headers
            )

    def abort(self, req: int) -> None:
        pending = self.pending_requests[req]
        if pending.reply.begun:
            return self._break_off(pending, "the rest of it could not be had in time")
        if self._answered(pending, "aborted"):
            late = now() - pending.taken_at >= pending.asked.budget * 9 // 10
            status, code = (504, "deadline") if late else (502, "aborted")
            said = "aborted: whether it had an effect is not known"
            headers = {**self._headers(pending), "x-should-retry": "false"}
            pending.reply.whole(status, chat.error(status, code, said), headers)

    def probe(self, engine: str) -> None:
        self._spawn(self._probe(engine), f"a probe of {engine}")

    # Carrying an attempt.

    async def _carry(self, pending: ChatRequest, attempt: ChatAttempt, abandon_at: int) -> None:
        """From the sending of an attempt to the telling of its ending; owns its connection throughout."""
        attempt.started = True
        endpoint, name = self.endpoints[attempt.engine], f"{pending.name}.{pending.sent - 1}"
        connection: Connection | None = None
        observation, note, report = Observation.CALLED_OFF, 0, None
        try:
            async with asyncio.timeout_at(abandon_at / 1e6) as limit:
                if attempt.called_off:
                    raise asyncio.CancelledError
                try:
                    # A kept connection that its engine closes can't be told from an attempt that ran.
                    may_repeat = attempt.reading or self._effects[pending.asked.group] is Effect.REPLAYABLE
                    connection = await endpoint.link.take(fresh=not may_repeat or attempt.number > 0)
                except (OSError, TimeoutError):
                    observation = Observation.NO_CONNECTION
                else:
                    observation = self._refused(pending, attempt, endpoint)
                    if observation is None:
                        observation, note, report = await self._exchange(
                            pending, attempt, endpoint, connection, name, limit
                        )
        except TimeoutError:
            observation = Observation.OUT_OF_TIME
        except asyncio.CancelledError:
            if not attempt.called_off:
                raise  # the process ends
            observation = Observation.STALLED if attempt.lost else Observation.CALLED_OFF
        except (OSError, EOFError):
            observation = Observation.CUT
        except (HttpError, StrangeError, SeamError) as problem:
            observation = Observation.STRANGE
            self._log.warning(
                "strange answer", req=pending.name, engine=attempt.engine, said=str(problem)[:200]
            )
        await self._part(pending, attempt, endpoint, connection, observation)
        self._over(pending, attempt, observation, note, report)

    async def _exchange(
        self,
        pending: ChatRequest,
        attempt: ChatAttempt,
        endpoint: ChatEndpoint,
        connection: Connection,
        name: str,
        limit: asyncio.Timeout,
    ) -> tuple[Observation, int, LoadReport | None]:
        """Sends an attempt and reads its answer: what was seen, tokens found kept, the load told with it."""
        asked, address = pending.asked, endpoint.link.address
        if attempt.reading:
            sent = codec.read_req(address, name, asked.client_id, pending.body)
        else:
            sent = codec.write_req(address, name, asked.client_id, asked.key, pending.body, pending.handle)
        await connection.send(sent)
        pending.guard.written(attempt)
        self.router.on_written(pending.id, attempt.number, connection.uses > 0)
        head = await connection.head()
        endpoint.answered_for = max(endpoint.answered_for, attempt.sent_at)
        pending.guard.confirmed_by(attempt)
        report = codec.load_report(head.headers)
        if head.status != 200:
            await connection.rest()
            seen = codec.refusal(head)
            if seen is Observation.STATE_GONE:
                pending.handle = None
                pending.guard.state_gone()
            return seen, 0, report
        if attempt.reading:
            pending.handle, kept = codec.read_answer(await connection.rest())
            pending.kept = kept
            pending.guard.leased(attempt, now())
            return Observation.READ, kept, report
        if report:
            self.router.on_probed(attempt.engine, report)  # now, not when the stream ends
        splice = None
        if pending.legs:
            splice = Splice(pending.written, asked.stop, codec.continues_at(head.headers))
        return *await self._stream(pending, attempt, connection, limit, splice), None

    async def _stream(
        self,
        pending: ChatRequest,
        attempt: ChatAttempt,
        connection: Connection,
        limit: asyncio.Timeout,
        splice: Splice | None,
    ) -> tuple[Observation, int]:
        """Relays a writer's events; holds back what comes before the first text, so that until then another
        attempt is possible. With a splice, they go on from where the client's stream broke."""
        events, gathered = codec.Events(), None if pending.asked.streamed else Gathered()
        held_back: list[bytes] = []
        stalled = self.limits.stalled_for / 1e6
        guarded_at = 0.0
        while data := await connection.more():
            tokens = events.tokens
            while data:
                if pending.begun and not gathered and not splice:
                    passes, looked_at = events.plain(data)
                    held_back.append(passes)
                    data = b""
                else:  # one event at a time until the stream has begun
                    cut = data.find(b"\n\n") + 2
                    looked_at, data = (data[:cut], data[cut:]) if cut > 1 and not gathered else (data, b"")
                for event, text, only_usage in events.feed(looked_at) if looked_at else ():
                    if gathered:
                        gathered.add(event[5:])
                    elif not only_usage or pending.asked.wants_usage:
                        if splice:
                            new = splice.event(event[5:])
                            if new is None:
                                continue  # the client has it
                            event = b"data: " + new + b"\n\n"
                        held_back.append(event)
                    if text and not pending.begun:
                        self._begin(pending, attempt, limit)
            attempt.tokens = events.tokens
            if splice and splice.stopped:
                events.ended = True
            if events.ended:
                break
            if pending.begun and not gathered:
                if pending.ended:
                    return Observation.CALLED_OFF, 0
                ready = b"".join(held_back)
                held_back.clear()
                pending.written.add(ready)
                if events.tokens > tokens:
                    self.notice.text(pending.serial, now())
                if ready and not pending.reply.send(
                    chat.with_id(ready, f"{pending.name}:{pending.legs}:{events.tokens}")
                ):
                    limit.reschedule(None)  # a slow client is not a stalled engine
                    self.notice.rests(pending.serial)
                    await pending.reply.room()
                    self.notice.goes_on(pending.serial, now())
                    guarded_at = 0.0
                if self._loop.time() > guarded_at + stalled / 8:
                    guarded_at = self._loop.time()
                    limit.reschedule(guarded_at + stalled * 9 / 8)
        if not events.ended:
            return Observation.CUT, 0
        self.notice.ended(pending.serial)
        limit.reschedule(None)  # the answer is whole
        if not gathered and not pending.ended:
            if not pending.reply.begun:
                pending.reply.begin(self._headers(pending))
            pending.written.add(ready := b"".join(held_back))
            if ready:
                pending.reply.send(ready)
        self._count(pending, events, gathered is not None)
        if self._bill and not pending.ended:
            await self._bill.done(pending)
        if self._answered(pending, "done"):
            if gathered:
                pending.reply.whole(200, gathered.whole(), {**self._headers(pending), **JSON})
            else:
                pending.reply.end(b"data: [DONE]\n\n")
        with contextlib.suppress(TimeoutError, OSError, HttpError):
            async with asyncio.timeout(REST_WITHIN):
                await connection.rest()  # a whole answer's connection can be used again
        return Observation.WRITTEN, codec.kept(events.usage)

    def _count(self, pending: ChatRequest, events: codec.Events, gathered: bool) -> None:
        """Answer tokens of a leg that came to its end: by the engine's own word, else by its events."""
        told = events.usage.completion_tokens if events.usage else 0
        written = events.tokens if gathered else pending.written.settle().tokens - pending.before
        pending.made += told or written
        pending.sent_tokens = told or written if gathered or not pending.legs else pending.written.tokens
        pending.kept = codec.kept(events.usage) or pending.kept

    def _begin(self, pending: ChatRequest, attempt: ChatAttempt, limit: asyncio.Timeout) -> None:
        at = now()
        pending.begun, pending.handle = True, None
        pending.guard.fetched(attempt, at)
        self._releases.look_at(pending.guard)
        self.router.on_begun(pending.id, attempt.number, at - attempt.sent_at, pending.asked.streamed)
        if pending.legs:
            self.rescue.settled(pending.serial)
            self.gauges.gap(at - pending.broken_at)
            self.gauges.broken(pending.cause, "resumed")
            self._log.info(
                "stream resumed",
                req=pending.name,
                cause=pending.cause,
                engine=attempt.engine,
                gap_us=at - pending.broken_at,
                written=pending.written.tokens,
                times=pending.legs,
                read_anew=pending.asked.prompt + pending.written.tokens,
            )
        else:
            pending.first_at = at
            self.gauges.first(pending.asked.group, at - pending.taken_at)
        if pending.asked.streamed and not pending.ended:
            limit.reschedule(None)
            self._streams[pending.serial] = pending
            self.notice.begun(pending.serial, attempt.engine, at)
            if not pending.reply.begun:
                pending.reply.begin(self._headers(pending))

    def _over(
        self,
        pending: ChatRequest,
        attempt: ChatAttempt,
        observation: Observation,
        note: int,
        report: LoadReport | None,
    ) -> None:
        """Tells how an attempt ended. A stream that broke in front of its client goes to the rescue, or ends
        with an error event."""
        ending, mark = ENDINGS[observation]
        if observation is Observation.OUT_OF_TIME and pending.begun and pending.asked.streamed:
            observation, (ending, mark) = Observation.STALLED, ENDINGS[Observation.STALLED]
            self._log.error(
                "stream stalled: ended by the last guard", req=pending.name, engine=attempt.engine
            )
        self._ended(pending, attempt, observation)
        pending.trail.append(f"{attempt.engine}:{observation.name.lower()}")
        self.gauges.forwarded(ending)
        self._streams.pop(pending.serial, None)
        self.notice.ended(pending.serial)
        waits = False
        if pending.begun and ending is not Ending.DONE:
            if not pending.asked.streamed:
                pending.begun = False  # nothing of it has reached the client
                pending.made += attempt.tokens
            elif not pending.ended:
                waits = self._broken(pending, attempt, observation)
            else:  # its client left
                pending.made += pending.written.settle().tokens - pending.before
                pending.sent_tokens = pending.written.tokens
        final = ending is Ending.DONE or pending.ended != "" or waits
        with self._telling(pending):
            self.router.on_ended(
                pending.id,
                attempt.number,
                attempt.engine,
                ending,
                now() - attempt.sent_at,
                note or mark,
                final,
                report,
            )
        if pending.ended and pending.attempt is None:
            self.free_state(pending.id)  # guards rule 5 where the module has forgotten the request
        self._forget(pending)
        if waits:
            self._place()

    # Releases and probes.

    async def _ask_to_release(self, guard: RequestGuard) -> int:
        """Asks every engine that may hold a state; what was asked first tells what the answers prove."""
        asked = [self._ask_holder(engine, f"{guard.request}.{n}") for n, engine in guard.holders.items()]
        return min(await asyncio.gather(*asked), default=0)

    async def _ask_holder(self, engine: str, attempt: str) -> int:
        """When a release that was answered was sent, 0 if none was. The second one goes on a connection of
        its own: a kept one may be silent."""
        link = self.endpoints[engine].link
        for fresh in (False, True):
            asked_at = now()
            if await link.ask(codec.release_req(link.address, attempt), RELEASE_WITHIN, fresh):
                return asked_at
        self.gauges.releases_lost.inc()
        return 0

    async def _is_answered(self, engine: str, guard: RequestGuard) -> bool:
        link = self.endpoints[engine].link
        return await link.ask(codec.probe_req(link.address), RUNS_WITHIN, fresh=True) is not None

    async def _probe(self, engine: str) -> None:
        link = self.endpoints[engine].link
        answer = await link.ask(codec.probe_req(link.address), ASK_WITHIN)
        self.router.on_probed(engine, codec.load_report(answer[0].headers) if answer else None)

    # The end of a request.

    def _headers(self, pending: ChatRequest) -> dict[str, str]:
        return {"x-request-id": pending.name}

    def _answered(self, pending: ChatRequest, ended: str) -> bool:
        if not super()._answered(pending, ended):
            return False
        pending.ended_at = now()
        self.gauges.ended(pending.asked.group, ended)
        target = self._groups[pending.asked.group].target_of(pending.asked.prompt)
        late = pending.asked.streamed and pending.first_at - pending.taken_at > target
        if ended != "left":
            self.lately.add(now(), ended == "pushed back", ended != "done" or late)
        return True

    def _forget(self, pending: ChatRequest) -> bool:
        if not super()._forget(pending):
            return False
        if self._bill:
            self._bill.over(pending)
        asked = pending.asked
        self._log.info(
            "req",
            req=pending.name,
            client_id=asked.client_id,
            group=asked.group,
            tenant=asked.tenant,
            ended=pending.ended,
            took_us=pending.ended_at - pending.taken_at,
            first_us=pending.first_at - pending.taken_at if pending.first_at else None,
            prompt=asked.prompt,
            forwards=pending.trail,
        )
        return True

    def give_up_all(self) -> None:
        """The stop's own time is over: what is left is aborted, as loudly as can be."""
        for pending in list(self.pending_requests.values()):
            self._log.error("aborted by the stop", req=pending.name)
            if self._answered(pending, "aborted"):
                if pending.reply.begun:
                    pending.reply.end(chat.error_event("stopping", "this router stops"))
                else:
                    pending.reply.whole(502, chat.error(502, "stopping", "aborted: this router stops"))
                self.router.on_expired(pending.id)
            if pending.attempt:
                self.cancel(pending.id, pending.attempt.number)

    def _violated(self, rule: Rule, request: str, why: str) -> None:
        self.gauges.violations.labels(rule.value).inc()
        self._log.error("invariant violated", rule=rule.value, req=request, why=why)
