"""Starts one router process, and stops it without losing a req that it has taken."""

import asyncio
import contextlib
import copy
import functools
import gc
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import structlog

from lifthead.chat import codec
from lifthead.chat.codec import BadReqError, Door
from lifthead.chat.server import Clients, Reply
from lifthead.control import Router
from lifthead.daemon.biller import Biller
from lifthead.daemon.gauges import Gauges
from lifthead.daemon.host import Host, now
from lifthead.daemon.views import engine_views, work_at_engines
from lifthead.deployment.derive import deployment
from lifthead.deployment.fleet import EngineSpec, Fleet
from lifthead.engines.codec import ListedEngine, ListNews
from lifthead.engines.listing import follow
from lifthead.fleet import admin, health
from lifthead.http1 import Message
from lifthead.ledger.disk import DiskDirectory
from lifthead.ledger.keeper import LedgerWriter, open_journal
from lifthead.ledger.quota import Quota, TokenBudget
from lifthead.members import last_list, watch
from lifthead.members.drains import Drains, OperatorState, SelectorError, select_engines
from lifthead.members.handover import Predecessor, offer_sockets
from lifthead.members.registry import EngineRegistry, Outcome
from lifthead.members.store import GenerationStore, replace_file
from lifthead.members.view import FleetView
from lifthead.members.weight import AdvertisedWeight, target_weight

BACKLOG = 4096
LAG_EVERY = 0.05
NO_FILE = {"error": "this router follows no file of engines, expected --engines FILE at its start"}
READY_WITHIN = 20.0  # seconds for a new process that takes a running one's sockets


class Daemon:
    def __init__(
        self,
        fleet: Fleet,
        name: str,
        seed: int,
        log: Any,
        tasks: asyncio.TaskGroup,
        run_dir: Path,
        decide: Callable[..., Router] = Router,
    ) -> None:
        self.fleet, self.spec, self.log = fleet, fleet.routers[name], log
        self.gauges = Gauges()
        self.door = Door(fleet)
        start = deployment(fleet, name, seed)
        resumes = fleet.rules.resume
        self.keeper, self.quota, bill = None, None, None
        if fleet.ledger:
            directory = Path(fleet.ledger.directory or run_dir / f"ledger-{name}")
            lost = self.gauges.unbilled.inc
            self.keeper = LedgerWriter(open_journal(directory), fleet.ledger, log, lost)
            budgets = {each.tenant: TokenBudget(each.tokens, each.soft) for each in fleet.budgets.values()}
            self.quota = Quota(budgets, len(fleet.routers))
            bill = Biller(self.keeper, self.quota)
            bill.take_up(list(budgets))
        self.biller = bill
        self.view = FleetView()
        self.weight = AdvertisedWeight(random.Random(seed))
        self.roster: EngineRegistry | None = None
        self.following: asyncio.Task | None = None  # the watched file of engines
        self.drains = Drains(start.roles)
        self._drains_file = run_dir / f"operator-{name}.json"
        if self._drains_file.exists():  # what an operator drained stays so over a restart
            self.drains.state = msgspec.json.decode(self._drains_file.read_bytes(), type=OperatorState)
        self.host = Host(name, start, fleet.limits, tasks, self.gauges, log, resumes, bill, decide)
        self.clients = Clients(fleet.limits, self.answer, codec.error)
        self.stopping = asyncio.Event()
        self.refusing = self.drained = self.handed = False
        self._list_file, self._list_changed = run_dir / f"list-{name}.json", False
        self.started_at = now()
        self.addresses: dict[str, str] = {}

    # Which engines there are.

    def on_file(self, text: str) -> None:
        """The watched file of engines has changed."""
        assert self.roster
        outcome = self.roster.offer(text, "engines")
        say = self.log.info if outcome.taken else self.log.error
        say(
            "file of engines",
            taken=outcome.taken,
            why=outcome.why,
            digest=outcome.digest,
            generation=outcome.generation,
            **outcome.change,
        )
        if outcome.taken:
            self.tell_file()

    def tell_file(self) -> None:
        assert self.roster
        self.on_source("file", of_specs(self.roster.current.engines), True)

    def on_push(self, news: ListNews) -> None:
        self.on_source("push", news.engines, news.whole)
        self._list_changed = True

    async def keep_list(self) -> None:
        """Keeps the last pushed list on the disk; goes by it at the start if no push comes."""
        kept, started = None, now()
        with contextlib.suppress(OSError, msgspec.DecodeError):
            kept = msgspec.json.decode(self._list_file.read_bytes(), type=last_list.LastList)
        while True:
            await asyncio.sleep(0.25)
            wall = time.time_ns() // 1000
            if kept and last_list.is_usable(kept, now() - started, self.host.listed_at > 0, wall):
                self.log.warning(
                    "no list of engines is pushed: by the last one", age_s=(wall - kept.at) / 1e6
                )
                self.view.update("push", kept.engines, True, now() - (wall - kept.at))
                self.tell_changes()
            if self._list_changed:
                engines = self.view.engines_of("push")
                # A full disk must not end a router that serves; the list is kept once there is room.
                with contextlib.suppress(OSError):
                    replace_file(self._list_file, msgspec.json.encode(last_list.LastList(engines, wall)))
                    self._list_changed = False

    def on_source(self, source: str, engines: list[ListedEngine], whole: bool) -> None:
        """A source spoke: what of it changes the view is told to the module."""
        kept_out = self.view.update(source, engines, whole, now())
        if kept_out:
            self.log.error("a list of engines is kept out", source=source, why=kept_out)
        self.tell_changes()

    def tell_changes(self) -> None:
        changes = self.view.take_changes(now())
        said = self.drains.state
        if any(
            (engine.name in said.asked and engine.readiness == "ready")
            or engine.started_at < said.started.get(engine.name, 0)
            for engine in changes
        ):
            self.drains.publish(
                self.view, now()
            )  # named after the drain was asked: held before the module hears of it
            drained = {engine.name: engine for engine in self.view.take_changes(now())}
            changes = [drained.pop(engine.name, engine) for engine in changes] + list(drained.values())
        if changes or self.view.members:
            self.host.on_list(ListNews(False, changes))

    def condition(self) -> health.Condition:
        return health.Condition(
            listed=self.host.listed_at > 0,
            writers=self.host.ready_writers,
            stopping=self.stopping.is_set(),
            drained=self.drained,
            weight=self.weight.percent,
        )

    async def answer(self, message: Message, reply: Reply) -> None:
        """One HTTP req of a client."""
        path = message.path.partition("?")[0]
        try:
            if path == "/v1/chat/completions":
                if message.method != "POST":
                    raise BadReqError(405, "method_not_allowed", "expected POST")
                asked = self.door.asked(message)
                most = asked.prompt + asked.max_out
                if (
                    (why := self._closed()) is None
                    and self.quota
                    and not self.quota.reserve(asked.tenant, most)
                ):
                    raise BadReqError(429, "insufficient_quota", f"tenant {asked.tenant} has used its budget")
                if why is None:
                    await self.host.take(asked, reply, self.host.waited(message))
                else:  # never taken: no answer is owed later, and nothing was sent for it
                    fields = {"content-type": "application/json", "retry-after": "1", "retry-after-ms": "250"}
                    reply.whole(503, codec.error(503, "not_ready", why), fields)
            elif path == "/v1/models" and message.method == "GET":
                self.door.tenant(message.headers)
                reply.whole(200, self.door.model_list())
            elif path.startswith("/v1/models/") and message.method == "GET":
                self.door.tenant(message.headers)
                reply.whole(200, self.door.model(path.removeprefix("/v1/models/")))
            else:
                raise BadReqError(404, "not_found", "expected /v1/chat/completions or /v1/models")
        except BadReqError as problem:
            reply.whole(
                problem.status, codec.error(problem.status, problem.code, problem.said, problem.param)
            )

    def _closed(self) -> str | None:
        """Why no req can be taken now, None if one can."""
        if self.refusing or self.drained:
            return "this router drains"
        if not self.host.listed_at:
            return "this router has no list of engines yet"
        if self.keeper and self.keeper.refuses_requests:
            return "this router can't write its ledger"
        if len(self.host.pending_requests) >= self.fleet.limits.in_hand:
            return "this router holds all that it may"
        return None

    # What operators ask.

    def answers(self) -> dict[str, admin.Answer]:
        return {
            "state": lambda _: self.state(),
            "engines": lambda _: engine_views(self.host),
            "reqs": lambda _: [
                {
                    "req": pending.name,
                    "group": pending.asked.group,
                    "age_ms": (now() - pending.taken_at) // 1000,
                    "begun": pending.begun,
                    "at": pending.attempt.engine if pending.attempt else pending.guard.held_at,
                    "forwards": pending.trail,
                }
                for pending in self.host.pending_requests.values()
            ],
            "members": lambda _: {
                "file": self.roster.state() if self.roster else None,
                "sources": self.view.source_rows(now()),
                "engines": self.view.engine_rows(now()),
            },
            "apply": self._apply,
            "rollback": self._rollback,
            "drain engines": self._drain_engines,
            "drain": self._drain,
            "stop": lambda _: self._stop(),
        }

    def state(self) -> dict[str, Any]:
        condition = self.condition()
        age = (now() - self.host.listed_at) / 1e6 if self.host.listed_at else None
        ended, pushed_back, missed = self.host.lately.counts(now())
        return {
            "name": self.spec.name,
            "zone": self.spec.zone,
            "pid": os.getpid(),
            "state": condition.word,
            "ready": condition.ready,
            "why": condition.why,
            "reqs": len(self.host.pending_requests),
            "lately": {"ended": ended, "pushed_back": pushed_back, "missed": missed},
            "connections": self.clients.connections,
            "engines": sum(endpoint.readiness == "ready" for endpoint in self.host.endpoints.values()),
            "list_age_s": age,
            "up_s": (now() - self.started_at) / 1e6,
            **self.addresses,
        }

    def _drain(self, question: dict[str, Any]) -> dict[str, Any]:
        self.drained = not question.get("undo", False)
        self.log.info("drain", on=self.drained, reqs=len(self.host.pending_requests))
        return self.state()

    def _apply(self, question: dict[str, Any]) -> dict[str, Any]:
        if self.roster is None:
            return NO_FILE
        if "text" in question:
            outcome = self.roster.offer(str(question["text"]), "engines", str(question.get("confirm", "")))
        else:
            outcome = self.roster.confirm(str(question.get("confirm", "")))
        return self._outcome(outcome)

    def _rollback(self, question: dict[str, Any]) -> dict[str, Any]:
        if self.roster is None:
            return NO_FILE
        return self._outcome(self.roster.rollback(int(question.get("to", 0))))

    def _drain_engines(self, question: dict[str, Any]) -> dict[str, Any]:
        """Drains engines, takes that back, or with neither tells how far it is."""
        # Limits are turned into this machine's own time by what the wall clock was ahead at the start.
        wall = now() + self.host.starts.wall_ahead
        before = copy.deepcopy(self.drains.state)
        try:
            if "selector" in question:
                told = [member.reported for member in self.view.members.values()]
                names = select_engines(str(question["selector"]), told)
                if question.get("undo"):
                    self.drains.undo(names, self.view, now(), int(question.get("started_at", 0)))
                elif (why := self.drains.refusal(names, self.view)) and not question.get("force"):
                    return {"taken": False, "why": why, "engines": []}
                else:
                    limit = int(question.get("limit", 0))
                    self.drains.drain(names, wall + limit if limit else 0, self.view, now())
                replace_file(self._drains_file, msgspec.json.encode(self.drains.state))
                self.log.info("drain engines", engines=names, undo=bool(question.get("undo")))
                self.tell_changes()
        except SelectorError as problem:
            return {"taken": False, "why": str(problem), "engines": []}
        except OSError as problem:
            self.drains.restore(before, self.view, now())
            return {"taken": False, "why": str(problem), "engines": []}
        return {"taken": True, "why": "", "engines": self.drains.progress(work_at_engines(self.host), wall)}

    def _outcome(self, outcome: Outcome) -> dict[str, Any]:
        if outcome.taken:
            self.tell_file()
        self.log.info("listing", taken=outcome.taken, why=outcome.why, generation=outcome.generation)
        return msgspec.to_builtins(outcome)

    def _stop(self) -> dict[str, Any]:
        self.stopping.set()
        return self.state()

    async def settle(self) -> None:
        """Engines that flapped come back once they have been quiet."""
        while True:
            await asyncio.sleep(0.5)
            if any(
                member.departures and member.reported.readiness != "ready"
                for member in self.view.members.values()
            ):
                self.tell_changes()

    async def measure(self) -> None:
        """The loop's own lag, and gauges that are read from here."""
        loop = asyncio.get_running_loop()
        worst, lately, turn = 0.0, 0.0, 0
        while True:
            then = loop.time()
            await asyncio.sleep(LAG_EVERY)
            lag = loop.time() - then - LAG_EVERY
            worst, lately, turn = max(worst, lag), max(lag, lately * 0.9), turn + 1
            self.gauges.in_hand.set(len(self.host.pending_requests))
            if turn % 5 == 0:
                full = len(self.host.pending_requests) / self.fleet.limits.in_hand
                ended, pushed_back, _ = self.host.lately.counts(now())
                self.gauges.weight.set(
                    self.weight.update(now(), target_weight(full, int(lately * 1e6), ended, pushed_back))
                )
            if turn % 20 == 0:
                self.gauges.lag.set(worst)
                self.gauges.list_age.set((now() - self.host.listed_at) / 1e6 if self.host.listed_at else -1)
                worst = 0.0
                if self.biller:
                    for tenant, part in self.biller.shares().items():
                        self.host.router.on_share(tenant, part)


def of_specs(specs: dict[str, EngineSpec]) -> list[ListedEngine]:
    """The engines that settings or a file name, as the list's entries."""
    return [
        ListedEngine(spec.name, spec.address, spec.zone, spec.cell, spec.kind, spec.weight)
        for spec in specs.values()
    ]


async def serve(
    fleet: Fleet,
    name: str,
    list_url: str,
    run_dir: Path,
    seed: int,
    log: Any,
    decide: Callable[..., Router] = Router,
    engine_file: Path | None = None,
    take_over: bool = False,
) -> None:
    """Runs the router until it is told to stop; returns once all that it had taken is answered. `decide`
    takes the module's place where baselines are measured beside it."""
    loop = asyncio.get_running_loop()
    gc.freeze()  # what start-up made stays; a full collection would stall streams for nothing
    gc.set_threshold(5_000, 20, 100)
    spec, limits = fleet.routers[name], fleet.limits
    socket = Path(spec.admin) if spec.admin else run_dir / f"{name}.sock"
    socket.parent.mkdir(parents=True, exist_ok=True)
    handover_path = socket.with_suffix(".hand")
    old = await asyncio.to_thread(Predecessor, handover_path, 3) if take_over else None
    async with asyncio.TaskGroup() as tasks:
        daemon = Daemon(fleet, name, seed, log, tasks, run_dir, decide)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, daemon.stopping.set)
        service = [tasks.create_task(daemon.measure()), tasks.create_task(daemon.host.look_after_streams())]
        if daemon.keeper:
            service += [
                tasks.create_task(daemon.keeper.run_writer()),
                tasks.create_task(daemon.keeper.run_exports()),
            ]
        if list_url:
            service.append(
                tasks.create_task(follow(list_url, name, daemon.on_push, daemon.host.on_list_lost, log))
            )
            service.append(tasks.create_task(daemon.keep_list()))
        if engine_file:
            store = GenerationStore(DiskDirectory(run_dir / f"engines-{name}"))
            daemon.roster = EngineRegistry(fleet, store)
            if daemon.roster.generation:
                daemon.tell_file()  # the last good one: a restart does not begin with nothing
            daemon.following = tasks.create_task(watch.watch_file(engine_file, daemon.on_file, log))
            service.append(daemon.following)
        elif not list_url:
            daemon.on_source("settings", of_specs(fleet.engines), True)
        service.append(tasks.create_task(daemon.settle()))
        if old:
            await _ready(daemon)
            await asyncio.to_thread(old.take_over)
        # Listening to none until the health side can speak: a balancer never finds a port that lies.
        places = zip(
            (
                functools.partial(health.agent, daemon.condition),
                functools.partial(health.pages, daemon.condition, daemon.gauges.page),
                daemon.clients.connection,
            ),
            (spec.agent, spec.health, spec.listen),
            old.sockets if old else (None, None, None),
            strict=True,
        )
        servers = [await _listen(*place) for place in places]
        daemon.addresses = {
            "agent": _address(servers[0]),
            "health": _address(servers[1]),
            "base_url": f"http://{_address(servers[2])}/v1",
        }
        desk = await _desk(daemon, socket)

        def hand_over() -> None:
            """Another process serves from here on: this one ends what it has, under a name of its own."""
            for server in (*servers, desk):
                server.close()
            socket.unlink(missing_ok=True)
            if daemon.following:  # one process keeps the generations
                daemon.following.cancel()
            daemon.handed = True
            daemon.stopping.set()

        if not daemon.keeper:  # a ledger has one writer: its router is stopped and started
            listening = [server.sockets[0] for server in servers]
            service.append(tasks.create_task(offer_sockets(handover_path, listening, hand_over)))
        log.info("serving", router=name, pid=os.getpid(), admin=str(socket), **daemon.addresses)
        print(
            msgspec.json.encode(
                {"name": name, "admin": str(socket), "pid": os.getpid(), **daemon.addresses}
            ).decode(),
            flush=True,
        )

        await daemon.stopping.wait()
        log.info("stopping", reqs=len(daemon.host.pending_requests), handed=daemon.handed)
        if daemon.handed:
            socket = socket.with_stem(f"{socket.stem}-{os.getpid()}")
            desk = await _desk(daemon, socket)
        else:
            handover_path.unlink(missing_ok=True)
            if limits.stop_notice:  # time for balancers to read `drain`; reqs are still taken
                await asyncio.sleep(limits.stop_notice / 1e6)
            daemon.refusing = True
            servers[2].close()
        daemon.clients.stop()
        try:
            async with asyncio.timeout(limits.stop_within / 1e6):
                await daemon.host.empty.wait()
        except TimeoutError:
            daemon.host.give_up_all()
        await _quiet(daemon)
        if daemon.keeper:
            await daemon.keeper.close()
        for task in service:
            task.cancel()
        daemon.host.close()
        for server in (*servers, desk):
            server.close()
        socket.unlink(missing_ok=True)
        log.info("stopped", reqs=len(daemon.host.pending_requests))


async def _ready(daemon: Daemon) -> None:
    """Until the new process could serve; OSError if it can't within its time, and the old one goes on."""
    try:
        async with asyncio.timeout(READY_WITHIN):
            while not daemon.condition().ready:
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise OSError(f"not ready after {READY_WITHIN:.0f} s: {daemon.condition().why}") from None


async def _desk(daemon: Daemon, path: Path) -> asyncio.Server:
    """The admin socket, for this user alone."""
    path.unlink(missing_ok=True)
    before = os.umask(0o077)
    desk = await asyncio.start_unix_server(functools.partial(admin.serve, daemon.answers()), str(path))
    os.umask(before)
    return desk


async def _quiet(daemon: Daemon) -> None:
    """Waits briefly for connections to get their last bytes out, and for states to be let go of."""
    for _ in range(40):
        if not daemon.clients.connections and not daemon.host.pending_requests:
            return
        await asyncio.sleep(0.05)


async def _listen(handler: Any, address: str, taken: Any = None) -> asyncio.Server:
    if taken:
        return await asyncio.start_server(handler, sock=taken, backlog=BACKLOG)
    host, _, port = address.rpartition(":")
    return await asyncio.start_server(handler, host, int(port), backlog=BACKLOG)


def _address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def logger(path: str | None) -> Any:
    """JSON lines to this file, else to standard error."""
    out = open(path, "a", buffering=1) if path else None  # noqa: SIM115 - open as long as the process
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(
                lambda line, **_: msgspec.json.encode(line, enc_hook=str).decode()
            ),
        ],
        logger_factory=structlog.PrintLoggerFactory(out or sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()
