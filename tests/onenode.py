"""A node's parts in one loop, with engines that speak the users' platform's protocol as a test tells them."""

import asyncio
import json
from dataclasses import replace

from loopback import LocalServers

from lifthead.chat.server import ClientConnections
from lifthead.http1 import chunk
from lifthead.node import clients
from lifthead.node.discovery import news_of
from lifthead.node.host import Host
from lifthead.node.serve import Bounds
from lifthead.node.start import start_of

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
TURNED_AWAY = b"HTTP/1.1 503 no\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n"
HAS_READ = b'HTTP/1.1 202 ok\r\ncontent-length: 20\r\n\r\n{"cached_tokens": 5}'


STREAM = HEAD + chunk(EVENT) + chunk(EVENT + END) + b"0\r\n\r\n"
CLOSE, HANG = "close", "hang"  # what an engine may do in place of its next bytes


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


def news(*targets, rev=1, whole=True):
    return json.dumps({"rev": rev, "all": whole, "targets": list(targets)}).encode()


class Engine:
    """Answers each req with the next of its scripts, the last one over and over: bytes, CLOSE, HANG, a number
    of seconds or an event to wait for, or what is called with the connection. Writes down what came."""

    def __init__(self, *scripts):
        self.scripts, self.came, self.connections, self.left = list(scripts) or [[STREAM]], [], 0, 0

    def of(self, method):
        return [line for line, _ in self.came if line.startswith(method)]

    async def connection(self, reader, writer):
        self.connections += 1
        try:
            while await self._one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            self.left += 1
        finally:
            writer.close()

    async def _one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        self.came.append((head.split("\r\n")[0], fields | {"body": body}))
        if head.startswith("DELETE"):
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        for step in script:
            if step == CLOSE:
                return False
            if step == HANG:
                self.left += await reader.read(1) == b""
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
    """`engines`: an Engine by uid; those whose uid begins with rd read, the others write."""

    def __init__(self, first_within=0.5, connections=50, sockets=1024, settings=SETTINGS, **engines):
        self.engines, self.servers, self.lasting = engines, [], []
        self.first_within, self.connections = first_within, connections
        self.sockets, self.settings = sockets, settings

    async def __aenter__(self):
        self._group = await asyncio.TaskGroup().__aenter__()
        self.listed = {uid: await self._listen(engine.connection) for uid, engine in self.engines.items()}
        told = config(limits={"sockets": self.sockets}, settings=self.settings)
        start = start_of(json.dumps(told).encode())
        self.host = Host(replace(start, clients=self.connections), self._group)
        self.tell(*(target(uid, at) for uid, at in self.listed.items()))
        bounds = Bounds(self.connections, header_within=300_000, body_within=300_000)
        self.door = ClientConnections(bounds, self.host.answer, clients.error, self.first_within)
        self.address = await self._listen(self.door.handle_connection)
        return self

    def tell(self, *targets, whole=True):
        self.host.on_news(news_of(news(*targets, whole=whole)))

    async def __aexit__(self, *_):
        for server in self.servers:
            server.close()
        self.host.close()
        await self._group.__aexit__(None, None, None)


def played(play, **how):
    """What `play` gives back, of a node of its own with these engines and bounds."""

    async def run():
        async with Node(**how) as node:
            return await asyncio.wait_for(play(node), 10)

    return asyncio.run(run())


def chat(prompt=100, group="ask", trace="a1", waits="2000", body=None, path=clients.PATH, **headers):
    """A client's message. A header given as None is left out."""
    if body is None:
        said = "x" * (4 * prompt)
        body = json.dumps(
            {"model": "m", "stream": True, "max_tokens": 9, "messages": [{"role": "user", "content": said}]}
        )
        body = body.encode()
    fields = {
        "Host": "backend.local", "X-Trace-Id": trace, "X-Qos": group, "X-Object": "s1",
        "X-Expires-In-Ms": waits, "X-Props": f"prompt_len={prompt},max_out=9",
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
        """Status, headers, body and whether it came to its end."""
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
        """Whether the node closes the connection, whatever it sends before."""
        try:
            async with asyncio.timeout(within):
                await self.reader.read(-1)
        except TimeoutError:
            return False
        except OSError:
            pass
        return True


async def ask(address, data):
    async with Client(address) as client:
        await client.send(data)
        return await client.answer()
