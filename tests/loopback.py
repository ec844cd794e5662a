"""A router and stand-in engines in one event loop on free local ports, and clients that talk to them."""

import asyncio
import contextlib
import json
from pathlib import Path

import structlog

from lifthead.daemon.serve import Daemon
from lifthead.deployment import script
from lifthead.engines.codec import ListedEngine, ListUpdate
from lifthead.standins.engine import Engine, Fault
from lifthead.standins.record import Record, lines, now

KEY = "key-loopback"
SCRIPT = """
rules(let_go_within = "300ms", warm_within = "2s", max_hold_off = "500ms")
limits(header_bytes = 8192, body_bytes = 200000,
       header_within = "300ms", body_within = "300ms", stalled_for = "600ms")
kind("reader", role = "read", memory = 200000)
kind("writer", role = "write", memory = 100000)
stand_in("reader", read_per_s = 100000)
stand_in("writer", read_per_s = 50000, step = "5ms")
engine("rd", zone = "a", kind = "reader")
engine("wr", zone = "a", kind = "writer")
engine("wr2", zone = "a", kind = "writer")
router("r", zone = "a")
group("chat", models = ["m"], target = "1s", deadline = "2s")
group("pay", models = ["once"], effect = "non-replayable", target = "1s", deadline = "2s")
tenant("t", keys = ["key-loopback"], share_per_s = 10000.0)
"""


class LocalServers:
    """Base class of fixtures that listen on free ports."""

    servers: list[asyncio.Server]

    async def _listen(self, handler):
        self.servers.append(await asyncio.start_server(handler, "127.0.0.1", 0, backlog=2048))
        return "{}:{}".format(*self.servers[-1].sockets[0].getsockname()[:2])

    async def until(self, condition, within=3.0):
        async with asyncio.timeout(within):
            while not condition():
                await asyncio.sleep(0.01)


class Loopback(LocalServers):
    """A router and its engines.

    `engines` names the stand-in engines to run; `handlers` maps names to handlers that replace an engine.
    """

    def __init__(self, path: Path, engines=("rd", "wr"), handlers=None, text=SCRIPT):
        self.path, self.names, self.handlers, self.fleet = (
            path,
            engines,
            handlers or {},
            script.run(text, "loopback"),
        )
        self.engines: dict[str, Engine] = {}
        self.servers, self.engine_addresses = [], {}

    async def __aenter__(self):
        self._group = await asyncio.TaskGroup().__aenter__()
        for name in self.names:
            record = Record(self.path / f"engine-{name}.jsonl")
            engine = self.engines[name] = Engine(self.fleet, self.fleet.engines[name], 1, record, False)
            engine.address = self.engine_addresses[name] = await self._listen(engine.handle_connection)
            self.background_tasks = [
                *getattr(self, "background_tasks", []),
                self._group.create_task(engine.run_decode_steps()),
            ]
        for name, handler in self.handlers.items():
            self.engine_addresses[name] = await self._listen(handler)
        log = structlog.wrap_logger(structlog.PrintLogger(open(self.path / "log", "w")))  # noqa: SIM115
        self.daemon = Daemon(self.fleet, "r", 1, log, self._group, self.path)
        self.background_tasks = [
            *getattr(self, "background_tasks", []),
            self._group.create_task(self.daemon.host.supervise_streams()),
        ]
        self.address = await self._listen(self.daemon.clients.handle_connection)
        self.push_list()
        return self

    def push_list(self, **readiness):
        specs = self.fleet.engines
        self.daemon.host.on_engine_list(
            ListUpdate(
                True,
                [
                    ListedEngine(
                        name,
                        address,
                        specs[name].zone,
                        specs[name].cell,
                        specs[name].kind,
                        readiness=readiness.get(name, "ready"),
                    )
                    for name, address in self.engine_addresses.items()
                ],
            )
        )

    def fault(self, name, kind, lasts=5.0, part=1.0, times=1.0, group=""):
        self.engines[name].faults[kind] = Fault(now() + int(lasts * 1e6), part, times, group)

    async def __aexit__(self, *_):
        for task in getattr(self, "background_tasks", []):
            task.cancel()
        self.daemon.host.abort_all()
        self.daemon.host.close()
        for server in self.servers:
            server.close()
        await self._group.__aexit__(None, None, None)

    def record(self, name):
        return lines(self.path / f"engine-{name}.jsonl")


def body(text="hi", model="m", **fields):
    return {"model": model, "messages": [{"role": "user", "content": text}], **fields}


def http(content, path="/v1/chat/completions", method="POST", **headers):
    data = content if isinstance(content, bytes) else json.dumps(content).encode()
    fields = {
        "host": "x",
        "authorization": f"Bearer {KEY}",
        "content-length": str(len(data)),
        "connection": "close",
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data


async def send_raw(address, *parts, until_closed=True, within=5.0):
    """Sends bytes and returns everything that comes back."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(within):
            for part in parts:
                writer.write(part)
                with contextlib.suppress(ConnectionError):
                    await writer.drain()
                await asyncio.sleep(0)
            return await reader.read(-1)
    finally:
        writer.close()


async def post_chat(address, content, **headers):
    """Sends a chat request on a new connection; returns the status, the body and the head of the answer."""
    answer = await send_raw(address, http(content, **headers))
    head, _, answer_body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), answer_body, head.decode("latin-1").lower()
