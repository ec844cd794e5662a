"""The processes of one run: real routers and stand-in engines, with a fault proxy between each pair."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

from lifthead.standins.faults import settings
from lifthead.standins.faults.checker import DISCOVERY
from lifthead.standins.faults.discovery import Discovery, ListedEngine, unix_ms
from lifthead.standins.faults.engine import EngineSpec
from lifthead.standins.faults.proxy import Fault, FaultProxy
from lifthead.standins.record import Record, lines

START_TIMEOUT = 30.0  # seconds for a process to start
LINGER_TIME = 0.8  # seconds for which engines outlive the routers; longer than a state may be held
FIRST_PORT, PORT_COUNT = 12_000, 20_000
_port_numbers = itertools.count(os.getpid() * 211)
READY_REQUEST = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The number of processes of each kind."""

    routers: int = 1
    prefill: int = 1
    decode: int = 3

    @property
    def processes(self) -> int:
        return self.routers + self.prefill + self.decode


@dataclass(eq=False)
class Fleet:
    """The processes of a test fleet, started by `async with`. `source` is the checkout of the router."""

    path: Path
    size: FleetSize
    seed: int = 1
    source: Path = Path.cwd()
    first_token_takes: float = 0.05  # seconds, at decode engines
    environment: dict[str, str] = field(default_factory=dict)
    slow_share: float = 0.0  # share of the requests that are slow at any decode engine
    sees_close_after: float = 0.0  # seconds, at every engine
    takes_up_after: float = 0.0  # seconds, at every engine
    misbehaves: float = 0.0  # share of the requests that engines answer wrongly
    spoils: float = 0.0  # share of the streams that engines spoil
    sockets: int = 512  # the router's limit of sockets
    deadline: float = 0.0  # seconds, for all request classes; 0 keeps each class's default
    engines: dict[str, ListedEngine] = field(default_factory=dict)
    routers: dict[str, int] = field(default_factory=dict)  # ports
    proxies: dict[tuple[str, str], FaultProxy] = field(default_factory=dict)  # by router and engine

    async def __aenter__(self) -> "Fleet":
        self.record = Record(self.path / "harness.jsonl")
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._discoveries: dict[str, Discovery] = {}
        self._specs: dict[str, EngineSpec] = {}
        self._restart_locks: dict[str, asyncio.Lock] = {}
        self._starting: set[str] = set()
        self._add_engines()
        await asyncio.gather(*map(self.start_engine, self.engines))
        for number in range(self.size.routers):
            await self._add_router(f"n{number}", settings.ZONES[number % len(settings.ZONES)])
        await asyncio.gather(*map(self.start_router, self.routers))
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
        for name in self.routers:
            await self.stop_router(name, timeout=15.0)
        await asyncio.sleep(LINGER_TIME)  # the records show which held states the routers leave behind
        self.record.put("end")
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for discovery in self._discoveries.values():
            discovery.close()
        await asyncio.gather(*(proxy.close() for proxy in self.proxies.values()))

    def _add_engines(self) -> None:
        ports = {f"p{number}": free_port() for number in range(self.size.prefill)}
        names = [*ports, *(f"d{number}" for number in range(self.size.decode))]
        for number, name in enumerate(names):
            is_prefill = name in ports
            kind = settings.PREFILL if is_prefill else settings.DECODE
            zone = settings.ZONES[int(name[1:]) % len(settings.ZONES)] if self.size.routers > 1 else "a"
            self.engines[name] = ListedEngine(name, kind, zone)
            port = ports[name] if is_prefill else free_port()
            record = str(self.path / f"engine-{name}.jsonl")
            self._specs[name] = EngineSpec(
                name, kind, port, ports, record,
                first_token_takes=self.first_token_takes, slow_share=self.slow_share,
                sees_close_after=self.sees_close_after, takes_up_after=self.takes_up_after,
                misbehaves=self.misbehaves, spoils=self.spoils, seed=self.seed * 100 + number,
            )  # fmt: skip

    async def _add_router(self, router: str, zone: str) -> None:
        self.routers[router] = free_port()
        for engine, spec in self._specs.items():
            await self._add_proxy(router, engine, spec.port)
        ports = {engine: self.proxies[router, engine].port for engine in self.engines}
        discovery = self._discoveries[router] = Discovery(router, self.engines, ports, self.record)
        await discovery.start()
        await self._add_proxy(router, DISCOVERY, discovery.port)
        config = {
            "name": router,
            "listen": f"127.0.0.1:{self.routers[router]}",
            "discovery": f"127.0.0.1:{self.proxies[router, DISCOVERY].port}",
            "seed": f"{self.seed * 1000 + int(router[1:]):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": json.loads(discovery.full_list()),
            "settings": settings.router_settings(zone, self.size.routers, self.deadline),
        }
        (self.path / f"{router}.json").write_text(json.dumps(config))

    async def _add_proxy(self, router: str, endpoint: str, target_port: int) -> None:
        proxy = self.proxies[router, endpoint] = FaultProxy(router, endpoint, target_port, self.record)
        await proxy.start()

    async def start_engine(self, name: str) -> None:
        spec = self._specs[name]
        command = [sys.executable, "-B", "-m", "lifthead.standins.faults", json.dumps(asdict(spec))]
        with open(self.path / f"{name}.err", "ab") as errors:
            process = self._processes[name] = await asyncio.create_subprocess_exec(
                *command, stdout=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL, stderr=errors
            )
        assert process.stdout
        async with asyncio.timeout(START_TIMEOUT):
            await process.stdout.readline()

    async def start_router(self, name: str) -> None:
        self._starting.add(name)
        with open(self.path / f"{name}.log", "ab") as log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "lifthead.node", cwd=self.source, stderr=log,
                env={**os.environ, **self.environment, "NODE_CONFIG": str(self.path / f"{name}.json")},
            )  # fmt: skip
        async with asyncio.timeout(START_TIMEOUT):
            while not await self._is_ready(name):
                await asyncio.sleep(0.05)
        self._starting.discard(name)
        self.record.put("router_ready", name=name)

    async def _is_ready(self, name: str) -> bool:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.routers[name])
            writer.write(READY_REQUEST)
            head = await reader.read(64)
            writer.close()
            return b" 200 " in head
        return False

    @contextlib.asynccontextmanager
    async def restarting(self, name: str) -> AsyncIterator[None]:
        """Locks a process, so that only one task at a time ends and restarts it."""
        async with self._restart_locks.setdefault(name, asyncio.Lock()):
            yield

    def is_running(self, name: str) -> bool:
        return self._processes[name].returncode is None

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal, but not to a router that is starting: without a handler, SIGHUP would end it."""
        if self.is_running(name) and name not in self._starting:
            self.record.put("signal", name=name, signal=number.name)
            self._processes[name].send_signal(number)

    async def kill(self, name: str, planned: bool = False) -> None:
        """Kills a process. `planned` marks a kill that ends a slow stop; the checker does not excuse it."""
        if self.is_running(name):
            self.record.put("killed", name=name, planned=planned)
            self._processes[name].kill()
            await self._processes[name].wait()

    async def stop_router(self, name: str, timeout: float) -> int | None:
        """Stops a router by SIGTERM, kills it after `timeout` seconds and returns its exit code."""
        process = self._processes[name]
        if process.returncode is None:
            self.record.put("stopping", name=name)
            process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(timeout):
                    await process.wait()
            except TimeoutError:
                await self.kill(name, planned=True)
        self.record.put("exited", name=name, code=process.returncode)
        return process.returncode

    async def set_fault(self, fault: Fault, endpoints: list[str], active: bool, routers: list[str]) -> None:
        """Switches a fault on or off between these routers and these engines (or DISCOVERY)."""
        for router in routers:
            for endpoint in endpoints:
                proxy = self.proxies[router, endpoint]
                await (proxy.begin(fault) if active else proxy.end(fault))
        self.record.put("fault", fault=fault.value, others=endpoints, begins=active, routers=routers)

    def update_state(self, name: str, state: str, restarted: bool = False) -> None:
        """Sends an engine's new state, and its start time if it has restarted, to all routers."""
        self.engines[name].state = state
        if restarted:
            self.engines[name].boot_ms = unix_ms()
        for discovery in self._discoveries.values():
            discovery.notify_watches()

    def records(self) -> list[dict]:
        """Returns all lines that were recorded so far."""
        return [line for path in sorted(self.path.glob("*.jsonl")) for line in lines(path)]


def free_port() -> int:
    """Returns a port that is unused and given to no other run of this process.

    It lies below the range from which the system takes ports for outgoing connections.
    """
    while True:
        port = FIRST_PORT + next(_port_numbers) % PORT_COUNT
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
