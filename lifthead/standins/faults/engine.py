"""A stand-in engine that speaks the platform's protocol and runs as a process of its own.

Prefill engines hold the KV state of a prompt until a decode engine fetches it or a release arrives at any
engine. Engines call each other directly, without a fault proxy. Each event is recorded when this process acts
on it, so a suspended process records nothing.
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
from lifthead.standins.faults.misbehaviour import ERROR_RESPONSES, Misbehaviour, draw_misbehaviour
from lifthead.standins.faults.spoilt_streams import INTERVAL, SPOILS, Spoil, draw_spoil
from lifthead.standins.record import Record
from lifthead.standins.wire import ReceivedRequest, ServerConnection

TRACE_HEADER = "x-trace-id"
EXPIRES_HEADER = "x-expires-in-ms"  # how long the router waits for the first token
DEFAULT_EXPIRES_MS = 60_000  # if the header is missing
EXPIRES_SLACK = 1.0  # seconds beyond that time, after which the engine gives up by itself
RELEASE_PATH = "/bootstrap/rooms/"
INTERNAL_PATH = "/internal/"
PEER_TIMEOUT = 0.3  # seconds for another engine's answer
LEAVE_TIMEOUT = 10.0  # seconds; long, since a call that is counted as waiting must be uncounted
RELEASE_FORWARD_TIMEOUT = 0.05  # seconds for the prefill engines, before a release is answered anyway
SLOW_FIRST_TOKEN = 5.0  # seconds
CACHED_PREFILL_SHARE = 0.1  # of the prefill time, for a prompt that is in the prefix cache
CACHED_TOKENS = settings.LONG_PROMPT - 50  # tokens of a cached prompt that the cache provides
TOKEN_EVENTS = 4  # events in an answer
TOKEN_INTERVAL = 0.02  # seconds
TOKEN_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
USAGE_EVENTS = (
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4,'
    b'"prompt_tokens_details":{"cached_tokens":7}}}\n\ndata: [DONE]\n\n'
)


@dataclass(slots=True)
class EngineSpec:
    """The configuration of one engine process. Times are in seconds."""

    name: str
    kind: str
    port: int
    peers: dict[str, int]  # direct ports of the prefill engines
    record: str
    read_takes: float = 0.08
    first_token_takes: float = 0.05
    takes_up_after: float = 0.0  # delay before it begins with a request that has arrived
    slow_share: float = 0.0  # share of the requests that take SLOW_FIRST_TOKEN at any engine
    sees_close_after: float = 0.0  # delay before it sees that a router has closed a connection
    misbehaves: float = 0.0  # share of the requests that it answers wrongly
    spoils: float = 0.0  # share of the streams that it spoils after some events
    seed: int = 0


@dataclass(eq=False)
class Engine:
    """The state and the request handlers of one engine process."""

    spec: EngineSpec
    record: Record
    tasks: asyncio.TaskGroup
    held_states: dict[str, int] = field(default_factory=dict)  # by request: the decode calls that wait for it
    prefilled: set[str] = field(default_factory=set)  # requests whose state was held here
    prefix_cache: set[str] = field(default_factory=set)  # requests whose prompt is cached

    def __post_init__(self) -> None:
        self.rng = random.Random(self.spec.seed)
        self.spoil_rng = random.Random(f"spoils {self.spec.seed}")  # leaves the draws of `rng` as they are

    def _record_event(self, event: str, request_id: str, **fields: object) -> None:
        self.record.put(event, request=request_id, engine=self.spec.name, **fields)

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server = ServerConnection(reader, writer)
        port = writer.get_extra_info("peername")[1]
        with contextlib.suppress(OSError):
            while http_request := await server.read_request():
                if not await self._handle(server, http_request, port):
                    break
                server.http.start_next_cycle()
        writer.close()

    async def _handle(self, server: ServerConnection, http_request: ReceivedRequest, port: int) -> bool:
        """Answers one request and returns whether the connection can serve another."""
        if http_request.path.startswith(INTERNAL_PATH):
            return await self._handle_peer_call(server, http_request)
        if http_request.method == "DELETE" and http_request.path.startswith(RELEASE_PATH):
            await self._release(http_request.path.removeprefix(RELEASE_PATH))
            server.start_response(204, {})
            server.end_response()
            return True
        request_id = http_request.headers.get(TRACE_HEADER, "")
        if not request_id:
            server.send_response(404, b"")
            return True
        http_request.headers.setdefault(EXPIRES_HEADER, str(DEFAULT_EXPIRES_MS))
        await asyncio.sleep(self.spec.takes_up_after)
        self._record_event(
            "arrived", request_id, kind=self.spec.kind, port=port, qos=http_request.headers.get("x-qos", "")
        )
        is_prefill = self.spec.kind == settings.PREFILL
        misbehaviour = draw_misbehaviour(self.rng, self.spec.misbehaves, is_prefill)
        serve = self._prefill if is_prefill else self._decode
        async with asyncio.TaskGroup() as tasks:
            watching = tasks.create_task(server.wait_for_close(http_request, self.spec.sees_close_after))
            keep_alive = not misbehaviour.does_work or await serve(
                server, http_request, request_id, port, misbehaviour
            )
            if keep_alive and not misbehaviour.answers_normally and not server.has_answered:
                keep_alive = self._misbehave(server, misbehaviour)
            watching.cancel()
        self._record_event("over", request_id, port=port)
        return keep_alive and misbehaviour is not Misbehaviour.CLOSES

    def _misbehave(self, server: ServerConnection, misbehaviour: Misbehaviour) -> bool:
        """Sends the faulty answer, if any, and returns whether the connection can serve another request."""
        if answer := ERROR_RESPONSES.get(misbehaviour):
            server.send_response(answer.status, b"", answer.headers)
        return answer is not None

    async def _wait_unless_closed(self, http_request: ReceivedRequest, seconds: float) -> bool:
        """Waits and returns whether the router is still connected and its time limit has not passed."""
        router_waits = int(http_request.headers[EXPIRES_HEADER]) / 1000 + EXPIRES_SLACK
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(seconds, router_waits)):
                await http_request.closed.wait()
        return not http_request.closed.is_set() and seconds <= router_waits

    async def _prefill(
        self,
        server: ServerConnection,
        http_request: ReceivedRequest,
        request_id: str,
        port: int,
        misbehaviour: Misbehaviour,
    ) -> bool:
        duration = self.spec.read_takes * self.rng.uniform(0.5, 1.5)
        cached_tokens = CACHED_TOKENS if request_id in self.prefix_cache else 0
        if not await self._wait_unless_closed(
            http_request, duration * CACHED_PREFILL_SHARE if cached_tokens else duration
        ):
            return False
        self.prefilled.add(request_id)
        self.prefix_cache.add(request_id)
        self.held_states[request_id] = 0
        self._record_event("held", request_id, port=port)
        if misbehaviour.answers_normally:
            server.send_response(202, b'{"cached_tokens":%d}' % cached_tokens)
        return not http_request.closed.is_set() and not server.peer_closed

    async def _decode(
        self,
        server: ServerConnection,
        http_request: ReceivedRequest,
        request_id: str,
        port: int,
        misbehaviour: Misbehaviour,
    ) -> bool:
        state = await self._call_prefill_engines("wait", request_id)
        if state == "held":
            self._record_event("waiting", request_id, port=port)
        if state == "gone":
            server.send_response(410, b"", {"x-never-ran": "1"})
            return True
        if not await self._wait_unless_closed(http_request, self._time_to_first_token(request_id)):
            if state:
                await self._call_prefill_engines("leave", request_id)
            return False
        if state and await self._call_prefill_engines("take", request_id) != "taken":
            server.send_response(410, b"", {"x-never-ran": "1"})
            return True
        self._record_event("ran", request_id, qos=http_request.headers.get("x-qos", ""))
        if not misbehaviour.answers_normally:
            return True
        spoil = draw_spoil(self.spoil_rng, self.spec.spoils)
        sound_events = self.spoil_rng.randint(0, TOKEN_EVENTS) if spoil else TOKEN_EVENTS
        server.start_response(200, {"content-type": "text/event-stream", "transfer-encoding": "chunked"})
        for _ in range(sound_events):
            server.send_data(TOKEN_EVENT)
            if not await self._wait_unless_closed(http_request, TOKEN_INTERVAL):
                return False
        if spoil:
            self._record_event("spoilt", request_id, how=spoil, events=sound_events)
            await self._spoil(server, http_request, SPOILS[spoil])
            return False
        server.send_data(USAGE_EVENTS)
        server.end_response()
        return True

    async def _spoil(self, server: ServerConnection, http_request: ReceivedRequest, spoil: Spoil) -> None:
        """Spoils a stream, and leaves its connection open until the router closes it."""
        server.send_raw(spoil.first)
        for _ in range(spoil.times):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(INTERVAL):
                    await http_request.closed.wait()
            if http_request.closed.is_set():
                return
            server.send_raw(spoil.again)
        await http_request.closed.wait()

    def _time_to_first_token(self, request_id: str) -> float:
        if zlib.crc32(request_id.encode()) % 100 < 100 * self.spec.slow_share:
            return SLOW_FIRST_TOKEN
        return self.spec.first_token_takes * self.rng.uniform(0.5, 1.5)

    async def _release(self, request_id: str) -> None:
        """Forwards a release to all prefill engines.

        A suspended engine handles it after it continues; the answer to the router does not wait for that.
        """
        self._record_event("release_arrived", request_id)
        calls = [
            self.tasks.create_task(self._call_peer(port, "release", request_id))
            for port in self.spec.peers.values()
        ]
        await asyncio.wait(calls, timeout=RELEASE_FORWARD_TIMEOUT)

    async def _call_prefill_engines(self, operation: str, request_id: str) -> str:
        """Returns the answer of the engine that holds the state, else "gone" if one has held it, else ""."""
        fallback = ""
        calls = [
            self.tasks.create_task(self._call_peer(port, operation, request_id))
            for port in self.spec.peers.values()
        ]
        for reply in asyncio.as_completed(calls):
            answer = await reply
            if answer not in ("", "gone"):
                return answer
            fallback = fallback or answer
        return fallback

    async def _call_peer(self, port: int, operation: str, request_id: str) -> str:
        path, timeout = (
            f"{INTERNAL_PATH}{operation}/{request_id}",
            LEAVE_TIMEOUT if operation == "leave" else PEER_TIMEOUT,
        )
        try:
            _, body = await wire.call(f"127.0.0.1:{port}", "POST", path, timeout=timeout)
            return body.decode()
        except TimeoutError:  # a suspended engine may still count this call as waiting later
            if operation == "wait":
                self.tasks.create_task(self._call_peer(port, "leave", request_id))
        except OSError:
            pass
        return ""

    async def _handle_peer_call(self, server: ServerConnection, http_request: ReceivedRequest) -> bool:
        """Answers another engine's call about a state that is, or was, held here."""
        operation, _, request_id = http_request.path.removeprefix(INTERNAL_PATH).partition("/")
        answer = "gone" if request_id in self.prefilled else ""
        if operation == "wait" and request_id not in self.held_states:
            # "gone" is answered once; a later decode call needs no state and prefills the prompt itself.
            self.prefilled.discard(request_id)
        if request_id in self.held_states:
            answer = "held"
            if operation in ("wait", "leave"):
                self.held_states[request_id] = max(
                    self.held_states[request_id] + (1 if operation == "wait" else -1), 0
                )
            elif operation == "take" or not self.held_states[request_id]:
                del self.held_states[request_id]
                answer = "taken" if operation == "take" else "released"
                self._record_event(answer, request_id)
        server.send_response(200, answer.encode(), {"connection": "close"})
        return False


async def serve(spec: EngineSpec) -> None:
    """Serves until the process is killed."""
    async with asyncio.TaskGroup() as tasks:
        engine = Engine(spec, Record(spec.record), tasks)
        server = await asyncio.start_server(engine.serve_connection, "127.0.0.1", spec.port, backlog=512)
        print("ready", flush=True)
        await server.serve_forever()


def main() -> None:
    parser = argparse.ArgumentParser(description="A stand-in engine of the platform's protocol.")
    parser.add_argument("spec", help="EngineSpec as JSON")
    asyncio.run(serve(EngineSpec(**json.loads(parser.parse_args().spec))))
