"""A small deployment for the review's cases: stand-in engines, discovery and clients, and the router.

The router is the project's own program, started by the `run` line of the deploy file as a separate process.
Engines, discovery and clients are stand-ins in the process of the test. They speak the protocol of the users'
pages and use the standard library alone. All addresses are loopback addresses with free ports.
"""

import asyncio
import contextlib
import json
import os
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
ANSWER_SLACK = 0.55  # seconds past a request's time: half a second, and 50 ms on sockets
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
LAST_EVENTS = (
    b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":4,'
    b'"prompt_tokens_details":{"cached_tokens":0}}}\n\n'
)
DONE = b"data: [DONE]\n\n"
REPORT = b"TEXT inflight=1, queue=0, x0=0.1, x1=0.2"


def settings(**changes):
    """The settings of the site frota-ceara for a small deployment."""
    return {
        "Dcs": ["fortaleza-aldeota", "maracanau"],
        "Family": "twostage",
        "FamilyInfo": {
            "Ahead": True, "AimUsPer1000PromptTokens": [40000.0, 40000.0], "KvTokens": [220000, 160000],
            "LetGoBy": 300000, "LocalRead": True, "MoveFee": 0.04, "Resume": False,
            "RoleByKind": ["read", "write"], "TokenAim": [60000.0, 80000.0],
        },
        "Flavors": ["prefill", "decode"],
        "Goal": {"Whole": 0.45, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.35},
        "Grades": [
            {"Name": "consulta-limite", "Effect": "safe", "Group": "all", "KeyTtl": 5000000, "Stream": True,
             "Target": 1500000, "Deadline": 7500000, "Worth": 3.0, "LateWorth": 0.3},
            {"Name": "alteracao-cartao", "Effect": "unsafe", "Group": "all", "KeyTtl": 5000000,
             "Stream": True, "Target": 2500000, "Deadline": 12000000, "Worth": 2.0, "LateWorth": 0.1},
        ],
        "LoadInfo": {"Columns": ["rif", "q", "x0", "x1"], "Via": "on_probe"},
        "MembershipMode": "pushed",
        "PolicyLimits": {
            "Cancel": True, "DialTimeout": 250000, "IdleClose": 15000000, "MaxAttempts": 4, "MaxOpen": 20000,
            "MaxRetryAfter": 2000000, "Multiplex": 1, "Peers": False, "Probes": True, "RetryAfter": True,
            "SecondCopies": False,
        },
        "ReplicasOfMe": 1,
        "Rules": {
            "ColdShare": 0.28, "GraceToAnswer": 8000, "MustAskIn": 10000000, "OverloadFor": 2000000,
            "StopSendingWithin": 1000000, "TipMultiple": 2.5, "WarmWithin": 11000000,
        },
        "SlotNo": 0, "Stages": ["assistente-limites"], "Tenants": [], "Tick": 4000, "Tier": 0,
        "ValueBy": "work", "WeightSource": "rough", "Zone": "fortaleza-aldeota",
    } | changes  # fmt: skip


RECIFE_ZONE, RECIFE_CLASS, RECIFE_DEADLINE = "boa-vista", "balcao", 5.0


def recife():
    """What the site frota-recife sets otherwise: every answer of an engine carries its load report."""
    base = settings()
    return {
        "Dcs": ["boa-vista", "imbiribeira", "jaboatao"], "Zone": RECIFE_ZONE,
        "FamilyInfo": base["FamilyInfo"] | {
            "AimUsPer1000PromptTokens": [40000.0, 120000.0], "KvTokens": [220000, 120000], "LetGoBy": 500000,
            "MoveFee": 0.06, "Resume": True,
        },
        "Grades": [
            {"Name": RECIFE_CLASS, "Effect": "safe", "Group": "all", "KeyTtl": 5000000, "Stream": True,
             "Target": 1200000, "Deadline": int(RECIFE_DEADLINE * 1e6), "Worth": 1.0, "LateWorth": 0.1},
            {"Name": "extrato", "Effect": "safe", "Group": "all", "KeyTtl": 5000000, "Stream": True,
             "Target": 2500000, "Deadline": 12000000, "Worth": 2.0, "LateWorth": 0.3},
        ],
        "LoadInfo": {"Columns": ["rif", "q", "x0", "x1"], "Via": "inline"},
        "PolicyLimits": base["PolicyLimits"] | {"MaxAttempts": 5, "MaxRetryAfter": 500000},
        "Rules": base["Rules"] | {
            "ColdShare": 0.25, "OverloadFor": 1500000, "StopSendingWithin": 250000, "WarmWithin": 14000000,
        },
        "Stages": ["assistente-nos"],
    }  # fmt: skip


class Record:
    """Writes what was sent, answered and run, one event a line, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._began = time.monotonic()

    def put(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began:8.3f} {event} {text}\n")
        self._file.flush()

    def say(self, text):
        self._file.write(f"# {text}\n")
        self._file.flush()
        print(text, flush=True)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


async def read_message(reader):
    """Returns the first line, the headers (names in lower case) and the body of one HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


class Engine:
    """A prefill or a decode engine. `states` holds the read states of the whole deployment, by request id.

    `on_request` may answer a request itself: an async function of (engine, headers, body, writer) that
    returns None if the engine is to answer as usual, else whether the connection can serve another request.
    `last_comment` returns the comment line that ends the next stream. Where it is set, a 202 carries a load
    report as well."""

    def __init__(self, name, kind, states, record, read_takes=0.02, first_token=0.02, between=0.01):
        self.name, self.kind, self.states, self.record = name, kind, states, record
        self.read_takes, self.first_token, self.between = read_takes, first_token, between
        self.on_request = self.last_comment = None
        self.state, self.address, self.arrived, self.open = "ready", "", 0, set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20, backlog=512)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while await self._answer(*await read_message(reader), writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def _answer(self, first_line, headers, body, writer):
        method, path, _ = first_line.split(" ", 2)
        if method == "DELETE":
            self.states.pop(path.rpartition("/")[2], None)
            self.record.put("engine-release", engine=self.name, id=path.rpartition("/")[2])
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        if method == "GET":
            writer.write(
                b"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: %b\r\nContent-Length: %d\r\n\r\n%b"
                % (REPORT, len(REPORT), REPORT)
            )
            return True
        request_id = headers.get("x-trace-id", "")
        if not request_id:
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        self.arrived += 1
        self.record.put("engine-got", engine=self.name, id=request_id, bytes=len(body))
        if self.on_request:
            keep = await self.on_request(self, headers, body, writer)
            if keep is not None:
                return keep
        if self.kind == "prefill":
            await asyncio.sleep(self.read_takes)
            if writer.transport.is_closing():
                return False
            self.states[request_id] = self.name
            report = b"Endpoint-Load-Metrics: %b\r\n" % REPORT if self.last_comment else b""
            writer.write(
                b'HTTP/1.1 202 Accepted\r\n%bContent-Length: 19\r\n\r\n{"cached_tokens":0}' % report
            )
            self.record.put("engine-read", engine=self.name, id=request_id)
            return True
        had_state = self.states.pop(request_id, None) is not None
        await asyncio.sleep(self.first_token + (0 if had_state else self.read_takes))
        return await self._stream(request_id, writer)

    async def _stream(self, request_id, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(3):
            writer.write(chunk(EVENT))
            await asyncio.sleep(self.between)
            if writer.transport.is_closing():
                return False
        comment = self.last_comment() if self.last_comment else b""
        writer.write(chunk(LAST_EVENTS % 9 + DONE))
        if comment:
            writer.write(chunk(comment + b"\n\n"))
        writer.write(b"0\r\n\r\n")
        self.record.put("engine-ran", engine=self.name, id=request_id, comment_bytes=len(comment))
        return True

    def stop(self):
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


class Discovery:
    """Sends the whole list to each watch, again at each change, and an empty line every 2 s."""

    def __init__(self, engines, record, zone):
        self.engines, self.record, self.zone, self.rev, self.open = engines, record, zone, 1, set()
        self.changed = asyncio.Event()
        self.send = self.send_at_once

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def list(self):
        return {"rev": self.rev, "all": True, "targets": [
            {"uid": e.name, "endpoint": e.address, "az": self.zone, "model": e.kind,
             "pod_group": 0, "state": e.state, "capacity_hint": 1.0, "boot_ms": 0}
            for e in self.engines
        ]}  # fmt: skip

    def change(self):
        self.rev += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def send_at_once(self, writer, data):
        writer.write(data)

    async def _serve(self, reader, writer):
        self.open.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            sent = 0
            while not writer.transport.is_closing():
                changed = self.changed
                line = b""
                if sent != self.rev:
                    sent, line = self.rev, json.dumps(self.list()).encode()
                await self.send(writer, chunk(line + b"\n"))
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 2.0)
        self.open.discard(writer)
        writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


def free_address():
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free.getsockname()[1]}"


class Router:
    """One router process, started by the `run` line of the deploy file."""

    def __init__(self, folder, discovery, record, sockets=1024, memory_mb=192, known=None, **changes):
        self.folder, self.record, self.address = Path(folder), record, free_address()
        self.sockets, self.memory_mb = sockets, memory_mb
        self.config = {
            "name": "n0", "listen": self.address, "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known or {"rev": 0, "all": True, "targets": []}, "settings": settings(**changes),
        }  # fmt: skip
        self.process = None

    def write_config(self):
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(self.config))
        path.with_suffix(".new").rename(path)
        return path

    async def start(self):
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {
            **os.environ, "NODE_CONFIG": str(self.write_config()), "NODE_NAME": self.config["name"],
            "NODE_LISTEN": self.address, "NODE_DISCOVERY": self.config["discovery"], "TMPDIR": str(scratch),
        }  # fmt: skip
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL, stderr=open(self.folder / "router.log", "ab"),
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets)),
        )  # fmt: skip
        self.record.put("router-started", pid=self.process.pid, listen=self.address)
        async with asyncio.timeout(30):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(f"the router ended: {self.log()[-400:]}")
                await asyncio.sleep(0.05)
        self.record.put("router-ready")

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await open_connection(self.address)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await reader.readuntil(b"\r\n")
            writer.close()
            return b" 200 " in head
        return False

    def log(self):
        return (self.folder / "router.log").read_text(errors="replace")

    def memory_kb(self, field="VmRSS"):
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        return 0

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def open_connection(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=1 << 20)


def encode_request(request_id, tokens=300, request_class="consulta-limite", deadline=7.5, max_tokens=500,
                   session="", properties=None):  # fmt: skip
    """Encodes a client's request as the protocol page shows it. One token is four characters."""
    body = b'{"model":"chat","stream":true,"max_tokens":%b,"messages":[{"role":"user","content":"%b"}]}' % (
        str(max_tokens).encode(), b"abcd" * tokens,
    )  # fmt: skip
    properties = f"prompt_len={tokens},max_out={max_tokens}" if properties is None else properties
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {request_id}\r\n"
        f"X-Qos: {request_class}\r\nX-Object: {session or request_id}\r\n"
        f"X-Expires-In-Ms: {int(deadline * 1000)}\r\nX-Props: {properties}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def read_answer(reader):
    """Returns (status, what ended it). `whole`: a complete answer. `cut`: a stream without its last chunk.
    `closed`: the connection ended before an answer."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        return 0, "reset" if isinstance(error, ConnectionResetError) else "closed"
    status, lower = int(head.split(" ")[1]), head.lower()
    try:
        if "content-length: " in lower:
            await reader.readexactly(int(lower.split("content-length: ")[1].split("\r\n")[0]))
            return status, "whole"
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return status, "cut"
    return status, "whole"


async def ask(address, request_id, record, wait=20.0, **options):
    """One usual client with a connection of its own. Returns (status, ended, seconds to the answer's end).
    `ended` is `nothing` if nothing came within `wait` seconds."""
    data = encode_request(request_id, **options)
    try:
        reader, writer = await open_connection(address)
    except OSError:
        record.put("client-refused", id=request_id)
        return 0, "refused", 0.0
    try:
        writer.write(data)
        await writer.drain()
        sent_at = time.monotonic()
        record.put("client-sent", id=request_id, bytes=len(data))
        try:
            async with asyncio.timeout(wait):
                status, ended = await read_answer(reader)
        except TimeoutError:
            status, ended = 0, "nothing"
        took = time.monotonic() - sent_at
        record.put("client-got", id=request_id, status=status, ended=ended, after_s=f"{took:.3f}")
        return status, ended, took
    except OSError:
        record.put("client-got", id=request_id, status=0, ended="reset", after_s="0")
        return 0, "reset", 0.0
    finally:
        writer.transport.abort()


class Case:
    """The deployment of one case: `async with` starts it and ends all of it."""

    def __init__(self, folder, prefill=1, decode=3, **router_options):
        self.folder, self.counts, self.options = Path(folder), (prefill, decode), router_options
        self.record = Record(self.folder / "record.txt")

    async def __aenter__(self):
        self.scratch = tempfile.mkdtemp(prefix="review-")
        self.states = {}
        prefill, decode = self.counts
        self.prefill = [Engine(f"s-p{n}", "prefill", self.states, self.record) for n in range(prefill)]
        self.decode = [Engine(f"s-d{n}", "decode", self.states, self.record) for n in range(decode)]
        self.engines = self.prefill + self.decode
        for engine in self.engines:
            await engine.start()
        zone = self.options.get("Zone") or settings()["Zone"]
        self.discovery = Discovery(self.engines, self.record, zone)
        await self.discovery.start()
        self.router = Router(self.scratch, self.discovery.address, self.record, **self.options)
        try:
            await self.router.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        await self.router.stop()
        for each in [*self.engines, self.discovery]:
            each.stop()
        tail = self.router.log().splitlines()[-40:]
        self.record.put("router-log-tail", lines=len(tail))
        for line in tail:
            self.record.put("log", text=re.sub(r'"/[^"]*/([^"/]+)"', r'"\1"', line)[:200])
        shutil.rmtree(self.scratch, ignore_errors=True)

    async def warm_up(self, count=8, **options):
        """Some usual requests one after the other. Returns whether all were served."""
        return all([
            (await ask(self.router.address, f"warm{n}", self.record, **options))[:2] == (200, "whole")
            for n in range(count)
        ])  # fmt: skip


def main(scenario):
    """Runs an async scenario, which returns BROKEN or HELD, and exits with that."""

    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.add_signal_handler(signal.SIGINT, task.cancel)
        async with asyncio.timeout(112):
            return await scenario()

    try:
        code = asyncio.run(run())
    except BaseException as error:  # noqa: BLE001
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr, flush=True)
        code = COULD_NOT_RUN
    sys.exit(code)
