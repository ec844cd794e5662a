"""Starts one router process, and stops it without losing a request that it has accepted."""

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
from lifthead.chat.codec import BadRequestError, ChatApi
from lifthead.chat.reply import Reply
from lifthead.chat.server import ClientConnections
from lifthead.control import Router
from lifthead.daemon.billing import Billing
from lifthead.daemon.host import Host, now
from lifthead.daemon.metrics import Metrics
from lifthead.daemon.views import engine_views, work_by_engine
from lifthead.deployment.derive import deployment
from lifthead.deployment.fleet import EngineSpec, Fleet
from lifthead.engines.codec import ListedEngine, ListUpdate
from lifthead.engines.listing import watch_engine_list
from lifthead.fleet import admin, health
from lifthead.http1 import Message
from lifthead.ledger.disk import DiskDirectory
from lifthead.ledger.quota import Quota, TokenBudget
from lifthead.ledger.writer import LedgerWriter, open_journal
from lifthead.members import last_list, watch
from lifthead.members.drains import Drains, OperatorState, SelectorError, select_engines
from lifthead.members.handover import Predecessor, offer_sockets
from lifthead.members.registry import EngineRegistry, Outcome
from lifthead.members.store import GenerationStore, replace_file
from lifthead.members.view import FleetView
from lifthead.members.weight import AdvertisedWeight, target_weight

BACKLOG = 4096  # of the listening_sockets sockets
LAG_INTERVAL = 0.05  # seconds between samples of the event loop's delay
NO_ENGINE_FILE = {"error": "this router watches no file of engines: start it with --engines FILE"}
READY_TIMEOUT = 20.0  # seconds for a new process to get ready before it takes over sockets


class Daemon:
    def __init__(
        self,
        fleet: Fleet,
        name: str,
        seed: int,
        log: Any,
        tasks: asyncio.TaskGroup,
        run_dir: Path,
        make_router: Callable[..., Router] = Router,
    ) -> None:
        self.fleet, self.spec, self.log = fleet, fleet.routers[name], log
        self.metrics = Metrics()
        self.api = ChatApi(fleet)
        start = deployment(fleet, name, seed)
        resume_enabled = fleet.rules.resume
        self.ledger, self.quota, billing = None, None, None
        if fleet.ledger:
            directory = Path(fleet.ledger.directory or run_dir / f"ledger-{name}")
            lost = self.metrics.lost_entries.inc
            self.ledger = LedgerWriter(open_journal(directory), fleet.ledger, log, lost)
            budgets = {each.tenant: TokenBudget(each.tokens, each.soft) for each in fleet.budgets.values()}
            self.quota = Quota(budgets, len(fleet.routers))
            billing = Billing(self.ledger, self.quota)
            billing.set_tenants(list(budgets))
        self.billing = billing
        self.view = FleetView()
        self.weight = AdvertisedWeight(random.Random(seed))
        self.registry: EngineRegistry | None = None
        self.file_watch: asyncio.Task | None = None
        self.drains = Drains(start.role_by_kind)
        self._drains_file = run_dir / f"operator-{name}.json"
        if self._drains_file.exists():  # an operator's drains outlast a restart
            self.drains.state = msgspec.json.decode(self._drains_file.read_bytes(), type=OperatorState)
        self.host = Host(
            name, start, fleet.limits, tasks, self.metrics, log, resume_enabled, billing, make_router
        )
        self.clients = ClientConnections(fleet.limits, self.handle, codec.error)
        self.stopping = asyncio.Event()
        self.refusing_requests = self.operator_drain = self.handed_over = False
        self._list_file, self._list_changed = run_dir / f"list-{name}.json", False
        self.started_at = now()
        self.addresses: dict[str, str] = {}

    # The sources of the list of engines.

    def on_file_change(self, text: str) -> None:
        """Handles a change of the watched file of engines."""
        assert self.registry
        outcome = self.registry.offer(text, "engines")
        log = self.log.info if outcome.taken else self.log.error
        log(
            "file of engines",
            taken=outcome.taken,
            why=outcome.why,
            digest=outcome.digest,
            generation=outcome.generation,
            **outcome.change,
        )
        if outcome.taken:
            self.publish_file()

    def publish_file(self) -> None:
        assert self.registry
        self.on_source_update("file", listed_engines(self.registry.current.engines), True)

    def on_push(self, update: ListUpdate) -> None:
        self.on_source_update("push", update.engines, update.whole)
        self._list_changed = True

    async def persist_list(self) -> None:
        """Stores the last pushed list on disk; starts from the stored one if no list is pushed in time."""
        stored, started = None, now()
        with contextlib.suppress(OSError, msgspec.DecodeError):
            stored = msgspec.json.decode(self._list_file.read_bytes(), type=last_list.LastList)
        while True:
            await asyncio.sleep(0.25)
            wall = time.time_ns() // 1000
            if stored and last_list.is_usable(stored, now() - started, self.host.list_received_at > 0, wall):
                self.log.warning(
                    "no list of engines is pushed: by the last one", age_s=(wall - stored.at) / 1e6
                )
                self.view.update("push", stored.engines, True, now() - (wall - stored.at))
                self.publish_changes()
            if self._list_changed:
                engines = self.view.engines_of("push")
                # A utilization disk must not stop a running router; the list is stored once there is space.
                with contextlib.suppress(OSError):
                    replace_file(self._list_file, msgspec.json.encode(last_list.LastList(engines, wall)))
                    self._list_changed = False

    def on_source_update(self, source: str, engines: list[ListedEngine], whole: bool) -> None:
        """Merges the list of one source into the view and passes the changes to the module."""
        rejection = self.view.update(source, engines, whole, now())
        if rejection:
            self.log.error("a list of engines is kept out", source=source, why=rejection)
        self.publish_changes()

    def publish_changes(self) -> None:
        changes = self.view.take_changes(now())
        operator_drains = self.drains.state
        if any(
            (engine.name in operator_drains.asked and engine.readiness == "ready")
            or engine.started_at < operator_drains.started.get(engine.name, 0)
            for engine in changes
        ):
            # An engine listed after its drain was requested drains before the module sees it.
            self.drains.publish(self.view, now())
            drained = {engine.name: engine for engine in self.view.take_changes(now())}
            changes = [drained.pop(engine.name, engine) for engine in changes] + list(drained.values())
        if changes or self.view.members:
            self.host.on_engine_list(ListUpdate(False, changes))

    def condition(self) -> health.RouterStatus:
        return health.RouterStatus(
            engines_listed=self.host.list_received_at > 0,
            decode_engines=self.host.ready_decode_engines,
            stopping=self.stopping.is_set(),
            drain_requested=self.operator_drain,
            weight=self.weight.percent,
        )

    async def handle(self, message: Message, reply: Reply) -> None:
        """Serves one HTTP request of a client."""
        path = message.path.partition("?")[0]
        try:
            if path == "/v1/chat/completions":
                if message.method != "POST":
                    raise BadRequestError(405, "method_not_allowed", "expected POST")
                request = self.api.parse(message)
                reserved_tokens = request.prompt_tokens + request.max_answer_tokens
                if (
                    (why := self._refusal()) is None
                    and self.quota
                    and not self.quota.reserve(request.tenant, reserved_tokens)
                ):
                    raise BadRequestError(
                        429, "insufficient_quota", f"tenant {request.tenant} has used its budget"
                    )
                if why is None:
                    await self.host.accept(request, reply, self.host.queueing_time(message))
                else:  # not accepted: nothing was sent to an engine
                    fields = {"content-type": "application/json", "retry-after": "1", "retry-after-ms": "250"}
                    reply.send_whole(503, codec.error(503, "not_ready", why), fields)
            elif path == "/v1/models" and message.method == "GET":
                self.api.authenticate(message.headers)
                reply.send_whole(200, self.api.model_list())
            elif path.startswith("/v1/models/") and message.method == "GET":
                self.api.authenticate(message.headers)
                reply.send_whole(200, self.api.model(path.removeprefix("/v1/models/")))
            else:
                raise BadRequestError(404, "not_found", "expected /v1/chat/completions or /v1/models")
        except BadRequestError as problem:
            reply.send_whole(
                problem.status, codec.error(problem.status, problem.code, problem.message, problem.param)
            )

    def _refusal(self) -> str | None:
        """Returns why no request can be accepted now; None if one can."""
        if self.refusing_requests or self.operator_drain:
            return "this router drains"
        if not self.host.list_received_at:
            return "this router has no list of engines yet"
        if self.ledger and self.ledger.refuses_requests:
            return "this router can't write its ledger"
        if len(self.host.pending_requests) >= self.fleet.limits.in_hand:
            return "this router holds all that it may"
        return None

    # Questions of operators on the admin socket.

    def admin_handlers(self) -> dict[str, admin.Handler]:
        return {
            "state": lambda _: self.state(),
            "engines": lambda _: engine_views(self.host),
            "reqs": lambda _: [
                {
                    "req": pending.name,
                    "group": pending.request.request_class,
                    "age_ms": (now() - pending.accepted_at) // 1000,
                    "begun": pending.answer_started,
                    "at": pending.attempt.engine if pending.attempt else pending.guard.holder,
                    "forwards": pending.attempt_history,
                }
                for pending in self.host.pending_requests.values()
            ],
            "members": lambda _: {
                "file": self.registry.state() if self.registry else None,
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
        age = (now() - self.host.list_received_at) / 1e6 if self.host.list_received_at else None
        ended, pushed_back, missed = self.host.recent_answers.counts(now())
        return {
            "name": self.spec.name,
            "zone": self.spec.zone,
            "pid": os.getpid(),
            "state": condition.agent_reply,
            "ready": condition.ready,
            "why": condition.reason,
            "reqs": len(self.host.pending_requests),
            "lately": {"ended": ended, "pushed_back": pushed_back, "missed": missed},
            "connections": self.clients.connections,
            "engines": sum(endpoint.readiness == "ready" for endpoint in self.host.endpoints.values()),
            "list_age_s": age,
            "up_s": (now() - self.started_at) / 1e6,
            **self.addresses,
        }

    def _drain(self, question: dict[str, Any]) -> dict[str, Any]:
        self.operator_drain = not question.get("undo", False)
        self.log.info("drain", on=self.operator_drain, reqs=len(self.host.pending_requests))
        return self.state()

    def _apply(self, question: dict[str, Any]) -> dict[str, Any]:
        if self.registry is None:
            return NO_ENGINE_FILE
        if "text" in question:
            outcome = self.registry.offer(str(question["text"]), "engines", str(question.get("confirm", "")))
        else:
            outcome = self.registry.confirm(str(question.get("confirm", "")))
        return self._outcome(outcome)

    def _rollback(self, question: dict[str, Any]) -> dict[str, Any]:
        if self.registry is None:
            return NO_ENGINE_FILE
        return self._outcome(self.registry.rollback(int(question.get("to", 0))))

    def _drain_engines(self, question: dict[str, Any]) -> dict[str, Any]:
        """Drains engines or undoes that; without a selector only reports the progress."""
        # Wall-clock time by the offset from the start of this process, as the host uses to convert it back.
        wall = now() + self.host.start_times.wall_offset
        previous = copy.deepcopy(self.drains.state)
        try:
            if "selector" in question:
                listed = [member.reported for member in self.view.members.values()]
                names = select_engines(str(question["selector"]), listed)
                if question.get("undo"):
                    self.drains.undo(names, self.view, now(), int(question.get("started_at", 0)))
                elif (why := self.drains.refusal(names, self.view)) and not question.get("force"):
                    return {"taken": False, "why": why, "engines": []}
                else:
                    limit = int(question.get("limit", 0))
                    self.drains.drain(names, wall + limit if limit else 0, self.view, now())
                replace_file(self._drains_file, msgspec.json.encode(self.drains.state))
                self.log.info("drain engines", engines=names, undo=bool(question.get("undo")))
                self.publish_changes()
        except SelectorError as problem:
            return {"taken": False, "why": str(problem), "engines": []}
        except OSError as problem:
            self.drains.restore(previous, self.view, now())
            return {"taken": False, "why": str(problem), "engines": []}
        return {"taken": True, "why": "", "engines": self.drains.progress(work_by_engine(self.host), wall)}

    def _outcome(self, outcome: Outcome) -> dict[str, Any]:
        if outcome.taken:
            self.publish_file()
        self.log.info("listing", taken=outcome.taken, why=outcome.why, generation=outcome.generation)
        return msgspec.to_builtins(outcome)

    def _stop(self) -> dict[str, Any]:
        self.stopping.set()
        return self.state()

    async def readmit_flapped_engines(self) -> None:
        """Readmits engines that flapped once they have been stable for long enough."""
        while True:
            await asyncio.sleep(0.5)
            if any(
                member.departures and member.reported.readiness != "ready"
                for member in self.view.members.values()
            ):
                self.publish_changes()

    async def sample_metrics(self) -> None:
        """Samples the delay of the event loop and updates the metrics that depend on the daemon's state."""
        loop = asyncio.get_running_loop()
        longest_lag, smoothed_lag, sample = 0.0, 0.0, 0
        while True:
            slept_at = loop.time()
            await asyncio.sleep(LAG_INTERVAL)
            lag = loop.time() - slept_at - LAG_INTERVAL
            longest_lag, smoothed_lag, sample = (
                max(longest_lag, lag),
                max(lag, smoothed_lag * 0.9),
                sample + 1,
            )
            self.metrics.pending_requests.set(len(self.host.pending_requests))
            if sample % 5 == 0:
                utilization = len(self.host.pending_requests) / self.fleet.limits.in_hand
                ended, pushed_back, _ = self.host.recent_answers.counts(now())
                self.metrics.weight.set(
                    self.weight.update(
                        now(), target_weight(utilization, int(smoothed_lag * 1e6), ended, pushed_back)
                    )
                )
            if sample % 20 == 0:
                self.metrics.loop_lag.set(longest_lag)
                self.metrics.list_age.set(
                    (now() - self.host.list_received_at) / 1e6 if self.host.list_received_at else -1
                )
                longest_lag = 0.0
                if self.billing:
                    for tenant, share in self.billing.shares().items():
                        self.host.router.on_tenant_share(tenant, share)


def listed_engines(specs: dict[str, EngineSpec]) -> list[ListedEngine]:
    """Converts engines of the settings or of a file into list entries."""
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
    make_router: Callable[..., Router] = Router,
    engine_file: Path | None = None,
    take_over: bool = False,
) -> None:
    """Runs the router until it is stopped; returns once all accepted requests are answered.

    `make_router` replaces the decision module where a benchmark compares it with a baseline.
    """
    loop = asyncio.get_running_loop()
    gc.freeze()  # start-up objects live on; collecting them would only delay streams
    gc.set_threshold(5_000, 20, 100)
    spec, limits = fleet.routers[name], fleet.limits
    socket = Path(spec.admin) if spec.admin else run_dir / f"{name}.sock"
    socket.parent.mkdir(parents=True, exist_ok=True)
    handover_path = socket.with_suffix(".hand")
    predecessor = await asyncio.to_thread(Predecessor, handover_path, 3) if take_over else None
    async with asyncio.TaskGroup() as tasks:
        daemon = Daemon(fleet, name, seed, log, tasks, run_dir, make_router)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, daemon.stopping.set)
        background_tasks = [
            tasks.create_task(daemon.sample_metrics()),
            tasks.create_task(daemon.host.supervise_streams()),
        ]
        if daemon.ledger:
            background_tasks += [
                tasks.create_task(daemon.ledger.run_writer()),
                tasks.create_task(daemon.ledger.run_exports()),
            ]
        if list_url:
            background_tasks.append(
                tasks.create_task(
                    watch_engine_list(list_url, name, daemon.on_push, daemon.host.on_list_unavailable, log)
                )
            )
            background_tasks.append(tasks.create_task(daemon.persist_list()))
        if engine_file:
            store = GenerationStore(DiskDirectory(run_dir / f"engines-{name}"))
            daemon.registry = EngineRegistry(fleet, store)
            if daemon.registry.generation:
                daemon.publish_file()  # the last valid file, so that a restart has engines at once
            daemon.file_watch = tasks.create_task(watch.watch_file(engine_file, daemon.on_file_change, log))
            background_tasks.append(daemon.file_watch)
        elif not list_url:
            daemon.on_source_update("settings", listed_engines(fleet.engines), True)
        background_tasks.append(tasks.create_task(daemon.readmit_flapped_engines()))
        if predecessor:
            await _wait_ready(daemon)
            await asyncio.to_thread(predecessor.take_over)
        # The health ports open first: a balancer that reaches the client port can already see the health.
        listeners = zip(
            (
                functools.partial(health.serve_agent_check, daemon.condition),
                functools.partial(health.serve_http, daemon.condition, daemon.metrics.render),
                daemon.clients.handle_connection,
            ),
            (spec.agent, spec.health, spec.listen),
            predecessor.sockets if predecessor else (None, None, None),
            strict=True,
        )
        servers = [await _start_server(*listener) for listener in listeners]
        daemon.addresses = {
            "agent": _address_of(servers[0]),
            "health": _address_of(servers[1]),
            "base_url": f"http://{_address_of(servers[2])}/v1",
        }
        admin_server = await _start_admin_server(daemon, socket)

        def hand_over() -> None:
            """Stops listening, since another process serves from now on; this one finishes its requests."""
            for server in (*servers, admin_server):
                server.close()
            socket.unlink(missing_ok=True)
            if daemon.file_watch:  # only one process may write the generations of the file
                daemon.file_watch.cancel()
            daemon.handed_over = True
            daemon.stopping.set()

        if not daemon.ledger:  # a ledger has a single writer, so its router is restarted instead
            listening_sockets = [server.sockets[0] for server in servers]
            background_tasks.append(
                tasks.create_task(offer_sockets(handover_path, listening_sockets, hand_over))
            )
        log.info("serving", router=name, pid=os.getpid(), admin=str(socket), **daemon.addresses)
        print(
            msgspec.json.encode(
                {"name": name, "admin": str(socket), "pid": os.getpid(), **daemon.addresses}
            ).decode(),
            flush=True,
        )

        await daemon.stopping.wait()
        log.info("stopping", reqs=len(daemon.host.pending_requests), handed=daemon.handed_over)
        if daemon.handed_over:
            socket = socket.with_stem(f"{socket.stem}-{os.getpid()}")
            admin_server = await _start_admin_server(daemon, socket)
        else:
            handover_path.unlink(missing_ok=True)
            if limits.stop_notice:  # time for balancers to see `drain`; requests are still accepted
                await asyncio.sleep(limits.stop_notice / 1e6)
            daemon.refusing_requests = True
            servers[2].close()
        daemon.clients.stop()
        try:
            async with asyncio.timeout(limits.stop_within / 1e6):
                await daemon.host.idle.wait()
        except TimeoutError:
            daemon.host.abort_all()
        await _wait_quiet(daemon)
        if daemon.ledger:
            await daemon.ledger.close()
        for task in background_tasks:
            task.cancel()
        daemon.host.close()
        for server in (*servers, admin_server):
            server.close()
        socket.unlink(missing_ok=True)
        log.info("stopped", reqs=len(daemon.host.pending_requests))


async def _wait_ready(daemon: Daemon) -> None:
    """Waits until this process is ready to serve. OSError if it is not in time: the old process continues."""
    try:
        async with asyncio.timeout(READY_TIMEOUT):
            while not daemon.condition().ready:
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise OSError(f"not ready after {READY_TIMEOUT:.0f} s: {daemon.condition().reason}") from None


async def _start_admin_server(daemon: Daemon, path: Path) -> asyncio.Server:
    """Opens the admin socket, which only this user can access."""
    path.unlink(missing_ok=True)
    previous = os.umask(0o077)
    admin_server = await asyncio.start_unix_server(
        functools.partial(admin.serve, daemon.admin_handlers()), str(path)
    )
    os.umask(previous)
    return admin_server


async def _wait_quiet(daemon: Daemon) -> None:
    """Waits briefly for the last bytes of connections and for the release of held states."""
    for _ in range(40):
        if not daemon.clients.connections and not daemon.host.pending_requests:
            return
        await asyncio.sleep(0.05)


async def _start_server(handler: Any, address: str, taken_over: Any = None) -> asyncio.Server:
    if taken_over:
        return await asyncio.start_server(handler, sock=taken_over, backlog=BACKLOG)
    host, _, port = address.rpartition(":")
    return await asyncio.start_server(handler, host, int(port), backlog=BACKLOG)


def _address_of(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def configure_logging(path: str | None) -> Any:
    """Logs JSON lines to the file, or to standard error."""
    log_file = open(path, "a", buffering=1) if path else None  # noqa: SIM115 - open until the exit
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(
                lambda line, **_: msgspec.json.encode(line, enc_hook=str).decode()
            ),
        ],
        logger_factory=structlog.PrintLoggerFactory(log_file or sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()
