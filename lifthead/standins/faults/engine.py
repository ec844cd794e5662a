"""A stand-in engine of the platform's protocol, one process each.

Prefill engines hold the state of what they have read until a decode engine fetches it or a release arrives
at any engine. Engines talk to each other directly, past the fault proxies. Each fact is recorded when this
process acts on it: a process that is stopped records nothing, as nothing has reached it.
"""

import argparse
import asyncio
import contextlib
import json
import random
import zlib
from dataclasses import dataclass, field

from lifthead.standins import wire
from lifthead.standins.faults import settings
from lifthead.standins.faults.misbehaviour import ANSWERS, Misbehaviour, draw
from lifthead.standins.record import Record
from lifthead.standins.wire import ReceivedRequest, ServerConnection

TRACE = "x-trace-id"
EXPIRES = "x-expires-in-ms"  # how long the router will wait for the first token
EXPIRES_MS = 60_000  # where it does not tell
EXPIRES_SLACK = 1.0  # seconds beyond it, after which an engine whose router is silent gives up by itself
RELEASE_PATH = "/bootstrap/rooms/"
INTERNAL = "/internal/"
PEER_WITHIN = 0.3  # seconds for another engine's answer
LEAVE_WITHIN = 10.0  # seconds: what was counted there has to be taken back
PASSED_ON_WITHIN = 0.05  # seconds that the answer to a release waits for the engines that it is passed on to
SLOW_TAKES = 5.0  # seconds
KEPT_PART = 0.1  # of the time that a prompt takes, for one that is in the prefix cache
PROMPT_KEPT = settings.LONG_PROMPT - 50  # tokens of such a prompt that are found there
EVENTS = 4  # of an answer
EVENT_EVERY = 0.02  # seconds
TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4,'
    b'"prompt_tokens_details":{"cached_tokens":7}}}\n\ndata: [DONE]\n\n'
)


@dataclass(slots=True)
class EngineSpec:
    """How one engine is started. Times are seconds."""

    name: str
    kind: str
    port: int
    peers: dict[str, int]  # direct ports of the prefill engines
    record: str
    read_takes: float = 0.08
    first_token_takes: float = 0.05
    takes_up_after: float = 0.0  # how late it begins with what has arrived
    slow_share: float = 0.0  # part of the requests that take SLOW_TAKES to the first token, at any engine
    sees_close_after: float = 0.0  # how late it sees that a router has closed its connection
    misbehaves: float = 0.0  # part of the requests that it does not answer as an engine that is well
    seed: int = 0


@dataclass(eq=False)
class Engine:
    spec: EngineSpec
    record: Record
    tasks: asyncio.TaskGroup
    held: dict[str, int] = field(default_factory=dict)  # request -> decode calls that wait for its state
    read: set[str] = field(default_factory=set)  # requests whose prompt was ever read here
    kept: set[str] = field(default_factory=set)  # ... and is in the prefix cache

    def __post_init__(self) -> None:
        self.chance = random.Random(self.spec.seed)

    def put(self, event: str, request: str, **more: object) -> None:
        self.record.put(event, request=request, engine=self.spec.name, **more)

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server = ServerConnection(reader, writer)
        port = writer.get_extra_info("peername")[1]
        with contextlib.suppress(OSError):
            while asked := await server.read_request():
                if not await self._answer(server, asked, port):
                    break
                server.http.start_next_cycle()
        writer.close()

    async def _answer(self, server: ServerConnection, asked: ReceivedRequest, port: int) -> bool:
        """Answers one request; whether the connection serves another."""
        if asked.path.startswith(INTERNAL):
            return await self._peer(server, asked)
        if asked.method == "DELETE" and asked.path.startswith(RELEASE_PATH):
            await self._release(asked.path.removeprefix(RELEASE_PATH))
            server.start_response(204, {})
            server.end_response()
            return True
        request = asked.headers.get(TRACE, "")
        if not request:
            server.send_response(404, b"")
            return True
        asked.headers.setdefault(EXPIRES, str(EXPIRES_MS))
        await asyncio.sleep(self.spec.takes_up_after)
        self.put("arrived", request, kind=self.spec.kind, port=port, qos=asked.headers.get("x-qos", ""))
        is_prefill = self.spec.kind == settings.PREFILL
        kind = draw(self.chance, self.spec.misbehaves, is_prefill)
        serve = self._prefill if is_prefill else self._decode
        async with asyncio.TaskGroup() as tasks:
            watching = tasks.create_task(server.wait_for_close(asked, self.spec.sees_close_after))
            goes_on = not kind.works or await serve(server, asked, request, port, kind)
            if goes_on and not kind.answers and not server.has_answered:
                goes_on = self._answer_otherwise(server, kind)
            watching.cancel()
        self.put("over", request, port=port)
        return goes_on and kind is not Misbehaviour.CLOSES

    def _answer_otherwise(self, server: ServerConnection, kind: Misbehaviour) -> bool:
        """Whether the connection serves another request."""
        if answer := ANSWERS.get(kind):
            server.send_response(answer.status, b"", answer.headers)
        return answer is not None

    async def _pause(self, asked: ReceivedRequest, seconds: float) -> bool:
        """Whether the router is still there after this time, and waits as long as it has told."""
        waits = int(asked.headers[EXPIRES]) / 1000 + EXPIRES_SLACK
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(seconds, waits)):
                await asked.closed.wait()
        return not asked.closed.is_set() and seconds <= waits

    async def _prefill(
        self, server: ServerConnection, asked: ReceivedRequest, request: str, port: int, kind: Misbehaviour
    ) -> bool:
        takes = self.spec.read_takes * self.chance.uniform(0.5, 1.5)
        kept = PROMPT_KEPT if request in self.kept else 0
        if not await self._pause(asked, takes * KEPT_PART if kept else takes):
            return False
        self.read.add(request)
        self.kept.add(request)
        self.held[request] = 0
        self.put("held", request, port=port)
        if kind.answers:
            server.send_response(202, b'{"cached_tokens":%d}' % kept)
        return not asked.closed.is_set() and not server.peer_closed

    async def _decode(
        self, server: ServerConnection, asked: ReceivedRequest, request: str, port: int, kind: Misbehaviour
    ) -> bool:
        known = await self._ask_peers("wait", request)
        if known == "held":
            self.put("waiting", request, port=port)
        if known == "gone":
            server.send_response(410, b"", {"x-never-ran": "1"})
            return True
        if not await self._pause(asked, self._first_token_takes(request)):
            if known:
                await self._ask_peers("leave", request)
            return False
        if known and await self._ask_peers("take", request) != "taken":
            server.send_response(410, b"", {"x-never-ran": "1"})
            return True
        self.put("ran", request, qos=asked.headers.get("x-qos", ""))
        if not kind.answers:
            return True
        server.start_response(200, {"content-type": "text/event-stream", "transfer-encoding": "chunked"})
        for _ in range(EVENTS):
            server.send_data(TOKEN)
            if not await self._pause(asked, EVENT_EVERY):
                return False
        server.send_data(USAGE)
        server.end_response()
        return True

    def _first_token_takes(self, request: str) -> float:
        if zlib.crc32(request.encode()) % 100 < 100 * self.spec.slow_share:
            return SLOW_TAKES
        return self.spec.first_token_takes * self.chance.uniform(0.5, 1.5)

    async def _release(self, request: str) -> None:
        """A prefill engine that is stopped takes it later; the answer does not wait for that."""
        self.put("release_arrived", request)
        asked = [
            self.tasks.create_task(self._ask_peer(port, "release", request))
            for port in self.spec.peers.values()
        ]
        await asyncio.wait(asked, timeout=PASSED_ON_WITHIN)

    async def _ask_peers(self, what: str, request: str) -> str:
        """What the prefill engine says that holds the state; else "gone" if one has held it, or ""."""
        found = ""
        asked = [
            self.tasks.create_task(self._ask_peer(port, what, request)) for port in self.spec.peers.values()
        ]
        for answered in asyncio.as_completed(asked):
            answer = await answered
            if answer not in ("", "gone"):
                return answer
            found = found or answer
        return found

    async def _ask_peer(self, port: int, what: str, request: str) -> str:
        path, within = f"{INTERNAL}{what}/{request}", LEAVE_WITHIN if what == "leave" else PEER_WITHIN
        try:
            _, body = await wire.call(f"127.0.0.1:{port}", "POST", path, timeout=within)
            return body.decode()
        except TimeoutError:  # it may count this call as one that waits when it comes to it
            if what == "wait":
                self.tasks.create_task(self._ask_peer(port, "leave", request))
        except OSError:
            pass
        return ""

    async def _peer(self, server: ServerConnection, asked: ReceivedRequest) -> bool:
        """A question of another engine about a state that is, or was, held here."""
        what, _, request = asked.path.removeprefix(INTERNAL).partition("/")
        answer = "gone" if request in self.read else ""
        if what == "wait" and request not in self.held:
            self.read.discard(request)  # told once; a later call has no state and reads the prompt itself
        if request in self.held:
            answer = "held"
            if what in ("wait", "leave"):
                self.held[request] = max(self.held[request] + (1 if what == "wait" else -1), 0)
            elif what == "take" or not self.held[request]:
                del self.held[request]
                answer = "taken" if what == "take" else "released"
                self.put(answer, request)
        server.send_response(200, answer.encode(), {"connection": "close"})
        return False


async def serve(spec: EngineSpec) -> None:
    """Serves until the process is ended."""
    async with asyncio.TaskGroup() as tasks:
        engine = Engine(spec, Record(spec.record), tasks)
        server = await asyncio.start_server(engine.connection, "127.0.0.1", spec.port, backlog=512)
        print("ready", flush=True)
        await server.serve_forever()


def main() -> None:
    parser = argparse.ArgumentParser(description="A stand-in engine of the platform's protocol.")
    parser.add_argument("spec", help="EngineSpec as JSON")
    asyncio.run(serve(EngineSpec(**json.loads(parser.parse_args().spec))))
