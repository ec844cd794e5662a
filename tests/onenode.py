"""A node in the event loop of a test, with scripted engines that use the platform's protocol."""

import asyncio
import json
from dataclasses import replace

from loopback import LocalServers

from lifthead.chat.server import ClientConnections
from lifthead.http1 import encode_chunk
from lifthead.node import clients
from lifthead.node.discovery import parse_update
from lifthead.node.host import Host
from lifthead.node.serve import ClientLimits
from lifthead.node.start import parse_config

SETTINGS = {
    "Dcs": ["a", "b"],
    "Family": "twostage",
    "FamilyInfo": {
        "AimUsPer1000PromptTokens": [40000.0, 40000.0],
        "KvTokens": [200000, 100000],
        "LetGoBy": 300000,
        "LocalRead": True,
        "RoleByKind": ["read", "write"],
        "TokenAim": [60000.0, 80000.0],
    },
    "Flavors": ["P", "D"],
    "Grades": [
        {"Name": "ask", "Effect": "safe", "Target": 1500000, "Deadline": 7500000, "Worth": 3.0},
        {"Name": "pay", "Effect": "unsafe", "Target": 2500000, "Deadline": 12000000, "Worth": 2.0},
    ],
    "LoadInfo": {"Via": "on_probe", "Columns": ["rif", "q", "x0", "x1"]},
    "MembershipMode": "pushed",
    "PolicyLimits": {
        "Cancel": True, "DialTimeout": 250000, "IdleClose": 15000000, "MaxAttempts": 4,
        "MaxRetryAfter": 2000000, "Probes": False, "RetryAfter": True,
    },
    "ReplicasOfMe": 1,
    "Rules": {
        "ColdShare": 0.3, "WarmWithin": 10000000, "TipMultiple": 2.5, "OverloadFor": 2000000,
        "StopSendingWithin": 1000000,
    },
    "Tick": 4000,
    "Zone": "a",
}  # fmt: skip
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
END = (
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":7}}}\n\ndata: [DONE]\n\n'
)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
REFUSED_NOT_RUN = b"HTTP/1.1 503 no\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n"
PREFILLED = b'HTTP/1.1 202 ok\r\ncontent-length: 20\r\n\r\n{"cached_tokens": 5}'


STREAM = HEAD + encode_chunk(EVENT) + encode_chunk(EVENT + END) + b"0\r\n\r\n"
CLOSE, HANG = "close", "hang"  # script steps: close the connection, or stop answering


def config(**changes):
    return {
        "name": "n",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "0b",
        "settings": SETTINGS,
    } | changes


def target(uid, endpoint, state="ready", **more):
    kind = "P" if uid.startswith("rd") else "D"
    return {"uid": uid, "endpoint": endpoint, "az": "a", "model": kind, "state": state} | more


def list_update(*targets, rev=1, is_snapshot=True):
    return json.dumps({"rev": rev, "all": is_snapshot, "targets": list(targets)}).encode()


class Engine:
    """A scripted engine. Answers each request with its next script, and repeats the last one. The steps of a
    script are bytes to send, CLOSE, HANG, seconds or an event to wait for, or a function that is called with
    the connection's writer. Records the requests that arrive."""

    def __init__(self, *scripts):
        self.scripts, self.requests, self.connections, self.disconnects = (
            list(scripts) or [[STREAM]],
            [],
            0,
            0,
        )

    def lines(self, method):
        return [line for line, _ in self.requests if line.startswith(method)]

    async def connection(self, reader, writer):
        self.connections += 1
        try:
            while await self._answer_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            self.disconnects += 1
        finally:
            writer.close()

    async def _answer_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        self.requests.append((head.split("\r\n")[0], fields | {"body": body}))
        if head.startswith("DELETE"):
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        for step in script:
            if step == CLOSE:
                return False
            if step == HANG:
                self.disconnects += await reader.read(1) == b""
                return False
            if isinstance(step, float):
                await asyncio.sleep(step)
            elif isinstance(step, asyncio.Event):
                await step.wait()
            elif callable(step):
                step(writer)
            else:
                writer.write(step)
                await writer.drain()
        return True


class Node(LocalServers):
    """`engines`: by uid; those whose uid starts with rd are prefill engines, the others decode engines."""

    def __init__(
        self, first_request_timeout=0.5, max_client_connections=50, sockets=1024, settings=SETTINGS, **engines
    ):
        self.engines, self.servers, self.background_tasks = engines, [], []
        self.first_request_timeout, self.max_client_connections = (
            first_request_timeout,
            max_client_connections,
        )
        self.sockets, self.settings = sockets, settings

    async def __aenter__(self):
        self._tasks = await asyncio.TaskGroup().__aenter__()
        self.addresses = {uid: await self._listen(engine.connection) for uid, engine in self.engines.items()}
        config_document = config(limits={"sockets": self.sockets}, settings=self.settings)
        node_config = parse_config(json.dumps(config_document).encode())
        self.host = Host(
            replace(node_config, max_client_connections=self.max_client_connections), self._tasks
        )
        self.update_engines(*(target(uid, at) for uid, at in self.addresses.items()))
        limits = ClientLimits(self.max_client_connections, header_within=300_000, body_within=300_000)
        self.client_listener = ClientConnections(
            limits, self.host.answer, clients.error_body, self.first_request_timeout, self.host.memory
        )
        self.address = await self._listen(self.client_listener.handle_connection)
        return self

    def update_engines(self, *targets, is_snapshot=True):
        self.host.on_list_update(parse_update(list_update(*targets, is_snapshot=is_snapshot)))

    async def __aexit__(self, *_):
        for server in self.servers:
            server.close()
        self.host.close()
        await self._tasks.__aexit__(None, None, None)


def run_with_node(scenario, **options):
    """Runs `scenario` with a new node that has these engines and limits, and returns its result."""

    async def run():
        async with Node(**options) as node:
            return await asyncio.wait_for(scenario(node), 10)

    return asyncio.run(run())


def chat(
    prompt=100,
    request_class="ask",
    trace="a1",
    budget_ms="2000",
    body=None,
    path=clients.CHAT_PATH,
    **headers,
):
    """Encodes a chat request of a client. A header given as None is left out."""
    if body is None:
        content = "x" * (4 * prompt)
        body = json.dumps(
            {
                "model": "m",
                "stream": True,
                "max_tokens": 9,
                "messages": [{"role": "user", "content": content}],
            }
        )
        body = body.encode()
    fields = {
        "Host": "backend.local", "X-Trace-Id": trace, "X-Qos": request_class, "X-Object": "s1",
        "X-Expires-In-Ms": budget_ms, "X-Props": f"prompt_len={prompt},max_out=9",
        "Content-Length": str(len(body)),
    }  # fmt: skip
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value is not None)
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body


class Client:
    def __init__(self, address):
        self._address = address.rpartition(":")

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(self._address[0], int(self._address[2]))
        return self

    async def __aexit__(self, *_):
        self.writer.close()

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, within=6.0):
        """Returns the status, the headers, the body and whether the answer is complete."""
        async with asyncio.timeout(within):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
            status, body = int(head.split(" ")[1]), b""
            if "content-length" in fields:
                return status, fields, await self.reader.readexactly(int(fields["content-length"])), True
            try:
                while size := int(await self.reader.readline(), 16):
                    body += (await self.reader.readexactly(size + 2))[:-2]
                await self.reader.readline()
            except (ValueError, OSError, asyncio.IncompleteReadError):
                return status, fields, body, False
            return status, fields, body, True

    async def closed(self, within=3.0):
        """Returns whether the node closes the connection, whatever it sends before."""
        try:
            async with asyncio.timeout(within):
                await self.reader.read(-1)
        except TimeoutError:
            return False
        except OSError:
            pass
        return True


async def exchange(address, data):
    async with Client(address) as client:
        await client.send(data)
        return await client.answer()
