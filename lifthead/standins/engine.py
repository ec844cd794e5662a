"""A stand-in engine that speaks the protocol of docs/engine-protocol.md, with faults on demand.

It prefills prompts, holds KV states, fetches them and decodes. It writes each attempt, held state and answer
to its traffic record.
"""

import asyncio
import contextlib
import json
import random
import signal
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import h11

from lifthead.deployment.fleet import EngineSpec, Fleet, StandIn
from lifthead.standins.cold import WarmUp
from lifthead.standins.record import Record, now
from lifthead.standins.text import answer
from lifthead.standins.wire import ClientConnection, ReceivedRequest, ServerConnection, wait_for_any

PREFIX_CACHE_ENTRIES = 512  # prefixes in an engine's prefix cache
MAX_UNSENT_BYTES = 262_144  # a stream pauses while more bytes wait to be sent


def count_tokens(message: dict) -> int:
    return -(-len(str(message.get("content")).encode("utf-8", "replace")) // 4) + 4


@dataclass(slots=True)
class HeldState:
    """The KV state of a prefilled prompt, held for a decode engine."""

    tokens: int
    expiry: asyncio.TimerHandle | None = None
    claims: int = 0  # decode calls that wait for it


@dataclass(slots=True, eq=False)
class Stream:
    """An answer that is being streamed."""

    attempt_id: str
    connection: ServerConnection
    pending_tokens: deque[str]
    sent_tokens: int
    kv_tokens: int  # KV memory that it takes
    cached_tokens: int
    prompt_tokens: int
    model: str
    continuation_headers: dict[str, str]  # tells at which character a resumed answer goes on
    lost_after: int = -1  # from this token on nothing is sent, though decoding goes on
    reset_after: int = -1
    finished: asyncio.Event = field(default_factory=asyncio.Event)
    lost: bool = False


@dataclass(slots=True)
class Fault:
    """A fault that the engine has until a point in time."""

    ends_at: int
    probability: float  # that it affects an attempt
    factor: float  # how many times slower
    request_class: str


class Engine:
    """One stand-in engine, from its start to its exit."""

    def __init__(self, fleet: Fleet, spec: EngineSpec, seed: int, record: Record, cold: bool) -> None:
        self.spec, self.record = spec, record
        self.role, self.memory_tokens = fleet.kinds[spec.kind].role, fleet.kinds[spec.kind].memory
        self.profile = fleet.stand_ins.get(spec.kind) or StandIn(kind=spec.kind)
        self.class_of_model = {
            model: request_class.name
            for request_class in fleet.groups.values()
            for model in request_class.models
        }
        self.rng = random.Random(seed)
        self.warm_up = WarmUp(fleet.rules, now(), cold)
        self.prefix_cache: OrderedDict[str, int] = OrderedDict()
        self.held_states: dict[str, HeldState] = {}
        self.released_early: set[str] = set()  # released before their prefill had ended
        self.prefill_free_at = self.link_free_at = 0
        self.prefill_count = self.queued_prompt_tokens = 0
        self.running_streams: set[Stream] = set()
        self.slot_waiters: deque[asyncio.Event] = deque()
        self.used_tokens = 0  # of KV memory
        self.used_slots = 0
        self.faults: dict[str, Fault] = {}
        record.put(
            "start",
            name=spec.name,
            role=self.role,
            zone=spec.zone,
            cell=spec.cell,
            kind=spec.kind,
            cold=cold,
            slots=self.profile.slots,
            memory=self.memory_tokens,
        )

    # Faults.

    def active_fault(self, kind: str) -> Fault | None:
        """The fault of this kind that the engine has now, if any."""
        fault = self.faults.get(kind)
        if fault and now() < fault.ends_at:
            return fault
        self.faults.pop(kind, None)
        return None

    def should_inject(self, kind: str) -> bool:
        """Draws whether a fault of this kind affects the current attempt."""
        fault = self.active_fault(kind)
        return fault is not None and self.rng.random() < fault.probability

    async def _wait_out_silence(self, request: ReceivedRequest) -> bool:
        """Waits while the engine is silent. Returns False if the peer closed meanwhile."""
        while not request.closed.is_set() and (fault := self.active_fault("silent")):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max((fault.ends_at - now()) / 1e6, 0.001)):
                    await request.closed.wait()
        return not request.closed.is_set()

    def slowdown(self) -> float:
        """How many times slower the engine is than when it is warm and has no fault."""
        slow = self.active_fault("slow")
        return (slow.factor if slow else 1.0) / self.warm_up.capacity_fraction(now())

    # Requests.

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(reader, writer)
        with contextlib.suppress(ConnectionError, h11.ProtocolError):
            while request := await connection.read_request():
                async with asyncio.TaskGroup() as tasks:
                    watch = tasks.create_task(connection.wait_for_close(request))
                    await self._handle_request(connection, request)
                    watch.cancel()
                if connection.peer_closed or writer.transport.is_closing():
                    break
                with contextlib.suppress(ConnectionError):
                    await writer.drain()
                if connection.http.our_state is not h11.DONE or connection.http.their_state is not h11.DONE:
                    break
                connection.http.start_next_cycle()
        writer.close()

    async def _handle_request(self, connection: ServerConnection, request: ReceivedRequest) -> None:
        if request.path == "/standin/fault":
            fault = json.loads(request.body)
            if fault["what"] == "flush":
                self.prefix_cache.clear()
            else:
                self.faults[fault["what"]] = Fault(
                    now() + fault["lasts"], fault["part"], fault["times"], fault["group"]
                )
            self.record.put("fault", **fault)
            return connection.send_response(200, b"{}")
        if request.path == "/v1/chat/completions" and request.method == "POST":
            return await self._handle_chat(connection, request)
        await self._wait_out_silence(request)
        if request.path == "/health":
            return connection.send_response(
                503 if self.warm_up.overloaded else 200, b"{}", self._load_headers()
            )
        if request.path == "/v1/kv/release":
            return self._release(connection, str(json.loads(request.body).get("request_id")))
        if request.path == "/standin/claim":
            return self._count_claim(connection, json.loads(request.body))
        if request.path == "/standin/fetch":
            return await self._send_state(connection, request, json.loads(request.body))
        return connection.send_response(404, b"{}")

    async def _handle_chat(self, connection: ServerConnection, request: ReceivedRequest) -> None:
        body = json.loads(request.body)
        attempt_id = request.headers.get("x-request-id", "")
        request_class = self.class_of_model.get(body.get("model"), "")
        transfer = body.get("kv_transfer_params") or {}
        prompt_tokens = sum(map(count_tokens, body["messages"]))
        max_tokens = body.get("max_tokens") or body.get("max_completion_tokens") or 64
        cached_tokens = self._cached_prefix_tokens(body["messages"])
        fetches_state = bool(transfer.get("do_remote_prefill"))
        prefill_only = bool(transfer.get("do_remote_decode"))
        work = 0 if fetches_state else (prompt_tokens - cached_tokens) / self.profile.read_per_s * 1e6
        work += 0 if prefill_only else max_tokens * self.profile.step / self.profile.slots
        self.record.put(
            "forward",
            id=attempt_id,
            client=request.headers.get("x-client-request-id", ""),
            group=request_class,
            prompt=prompt_tokens,
            reads=prefill_only,
            work=round(work),
            key=request.headers.get("idempotency-key", ""),
        )
        outcome = "closed"
        try:
            # An attempt whose router leaves now is on record all the same: for the router it was in flight.
            if not await self._wait_out_silence(request):
                return None
            if self.warm_up.add_work(now(), work):
                self.record.put("fell", name=self.spec.name)
            if self.should_inject("garbage"):
                connection.send_raw(b"\x00\x01 this is not the protocol\r\n\r\n" + b"\xff" * 64)
                await connection.writer.drain()
                connection.writer.close()
                outcome = "garbage"
                return
            full = self.active_fault("full")
            if (
                self.warm_up.overloaded
                or (full and full.request_class in ("", request_class))
                or (prefill_only and self.role == "write")
            ):
                outcome = "refused"
                return connection.send_response(
                    503, b'{"error":{"message":"full"}}', self._load_headers({"x-lifthead-not-run": "1"})
                )
            if prefill_only:
                outcome = await self._prefill(
                    connection, request, body, attempt_id, prompt_tokens, cached_tokens
                )
            else:
                outcome = await self._decode(
                    connection,
                    request,
                    body,
                    attempt_id,
                    transfer if fetches_state else None,
                    prompt_tokens,
                    cached_tokens,
                    max_tokens,
                )
        finally:
            # Work may go on after the peer has closed, but for its router the attempt ends with the close.
            self.record.put("end", id=attempt_id, how=outcome, closed=request.closed_at)

    # Prefill.

    def _prefix_hashes(self, messages: list[dict]) -> list[tuple[str, int]]:
        hasher, tokens, prefixes = blake2b(digest_size=8), 0, []
        for message in messages:
            hasher.update(str(message.get("content")).encode("utf-8", "replace") + b"\0")
            tokens += count_tokens(message)
            prefixes.append((hasher.hexdigest(), tokens))
        return prefixes

    def _cached_prefix_tokens(self, messages: list[dict]) -> int:
        """Tokens of the longest prefix of these messages in the prefix cache."""
        return max(
            (self.prefix_cache.get(prefix_hash, 0) for prefix_hash, _ in self._prefix_hashes(messages)),
            default=0,
        )

    def _cache_prompt(self, messages: list[dict]) -> None:
        for prefix_hash, tokens in self._prefix_hashes(messages):
            self.prefix_cache[prefix_hash] = tokens
            self.prefix_cache.move_to_end(prefix_hash)
        while len(self.prefix_cache) > PREFIX_CACHE_ENTRIES:
            self.prefix_cache.popitem(last=False)

    async def _wait_for_prefill(self, messages: list[dict], tokens: int) -> None:
        """Waits until the prompt is prefilled: in order of arrival, at the engine's speed."""
        arrived_at = now()
        duration = tokens / self.profile.read_per_s * 1e6 * self.slowdown()
        self.prefill_free_at = max(self.prefill_free_at, arrived_at) + round(duration)
        self.prefill_count, self.queued_prompt_tokens = (
            self.prefill_count + 1,
            self.queued_prompt_tokens + tokens,
        )
        try:
            await asyncio.sleep((self.prefill_free_at - arrived_at) / 1e6)
        finally:
            self.prefill_count, self.queued_prompt_tokens = (
                self.prefill_count - 1,
                self.queued_prompt_tokens - tokens,
            )
        self._cache_prompt(messages)

    async def _prefill(
        self,
        connection: ServerConnection,
        request: ReceivedRequest,
        body: dict,
        attempt_id: str,
        prompt_tokens: int,
        cached_tokens: int,
    ) -> str:
        if (
            self.prefill_count >= self.profile.slots + self.profile.queue
            or self.used_tokens + prompt_tokens > self.memory_tokens
        ):
            connection.send_response(
                503, b'{"error":{"message":"full"}}', self._load_headers({"x-lifthead-not-run": "1"})
            )
            return "refused"
        # Goes on even if the peer has closed.
        await self._wait_for_prefill(body["messages"], max(prompt_tokens - cached_tokens, 1))
        await self._wait_out_silence(request)
        if attempt_id in self.released_early:
            self.released_early.discard(attempt_id)
            return "dropped"
        expiry = asyncio.get_running_loop().call_later(
            self.profile.held_for / 1e6, self._free_state, attempt_id, "forgotten"
        )
        self.held_states[attempt_id] = HeldState(prompt_tokens, expiry)
        self.used_tokens += prompt_tokens
        self.record.put("held", id=attempt_id, tokens=prompt_tokens)
        if self.should_inject("lost"):
            await request.closed.wait()
            return "lost"
        handle = {
            "do_remote_prefill": True,
            "do_remote_decode": False,
            "remote_engine_id": self.spec.name,
            "remote_block_ids": [attempt_id],
            "remote_host": self.address.rpartition(":")[0],
            "remote_port": int(self.address.rpartition(":")[2]),
            "remote_zone": self.spec.zone,
            "remote_cell": self.spec.cell,
        }
        response = {
            "object": "chat.completion",
            "choices": [],
            "kv_transfer_params": handle,
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": 0,
                "total_tokens": prompt_tokens,
                "prompt_tokens_details": {"cached_tokens": cached_tokens},
            },
        }
        connection.send_response(200, json.dumps(response).encode(), self._load_headers())
        return "closed" if request.closed.is_set() else "read"

    def _free_state(self, attempt_id: str, reason: str) -> bool:
        """Frees a held state and its memory. Returns False if none is held."""
        held = self.held_states.pop(attempt_id, None)
        if held is None:
            return False
        if held.expiry:
            held.expiry.cancel()
        self.used_tokens -= held.tokens
        self.record.put("taken" if reason == "taken" else "let_go", id=attempt_id, why=reason)
        self._grant_slots()
        return True

    def _count_claim(self, connection: ServerConnection, message: dict) -> None:
        """Counts the decode calls that wait for a held state at their engine."""
        if held := self.held_states.get(message["id"]):
            held.claims += message["claims"]
        connection.send_response(200, b"{}")

    def _release(self, connection: ServerConnection, attempt_id: str) -> None:
        held = self.held_states.get(attempt_id)
        if held and held.claims > 0:  # a waiting decode call still needs it
            return connection.send_response(200, b"{}")
        if not self._free_state(attempt_id, "asked"):
            if len(self.released_early) > 4096:
                self.released_early.clear()
            self.released_early.add(attempt_id)
        connection.send_response(200, b"{}")

    async def _send_state(
        self, connection: ServerConnection, request: ReceivedRequest, message: dict
    ) -> None:
        """Sends a held state to a decode engine within the cell, over the cell's link, or to another zone."""
        attempt_id = message["id"]
        held = self.held_states.get(attempt_id)
        if held is None:
            return connection.send_response(404, b"{}")
        slow = self.active_fault("link_slow")
        if message["zone"] == self.spec.zone and message["cell"] == self.spec.cell:
            done_at = now() + held.tokens / self.profile.near_per_s * 1e6
        else:
            factor = (slow.factor if slow else 1.0) * (
                1 if message["zone"] == self.spec.zone else self.profile.zone_slower
            )
            self.link_free_at = max(self.link_free_at, now()) + round(
                held.tokens / self.profile.link_per_s * 1e6 * factor
            )
            done_at = self.link_free_at
        await asyncio.sleep(max(done_at - now(), 0) / 1e6)
        if not await self._wait_out_silence(request):
            return connection.send_response(404, b"{}")
        if not self._free_state(attempt_id, "taken"):
            return connection.send_response(404, b"{}")
        return connection.send_response(200, b"{}")

    # Decode.

    def _grant_slots(self) -> None:
        """Gives free slots to waiting decode calls while memory is left."""
        while (
            self.slot_waiters
            and self.used_slots < self.profile.slots
            and self.used_tokens < self.memory_tokens
        ):
            self.slot_waiters.popleft().set()
            self.used_slots += 1

    async def _wait_for_slot(self, request: ReceivedRequest) -> bool:
        """Waits for a slot. Returns False if the peer closed first."""
        granted = asyncio.Event()
        self.slot_waiters.append(granted)
        self._grant_slots()
        if not granted.is_set():
            await wait_for_any(granted, request.closed)
        if granted.is_set():
            return True
        self.slot_waiters.remove(granted)
        return False

    async def _decode(
        self,
        connection: ServerConnection,
        request: ReceivedRequest,
        body: dict,
        attempt_id: str,
        transfer: dict | None,
        prompt_tokens: int,
        cached_tokens: int,
        max_tokens: int,
    ) -> str:
        if self.role == "read" or len(self.slot_waiters) >= self.profile.queue:
            connection.send_response(
                503, b'{"error":{"message":"full"}}', self._load_headers({"x-lifthead-not-run": "1"})
            )
            return "refused"
        if transfer is not None:
            await self._ask_holder(transfer, "/standin/claim", {"claims": 1})
        if not await self._wait_for_slot(request):
            if transfer is not None:
                await self._ask_holder(transfer, "/standin/claim", {"claims": -1})
            return "closed"
        kv_tokens = prompt_tokens + max_tokens
        self.used_tokens += kv_tokens
        stream = None
        try:
            if transfer is not None:
                if not await self._fetch_state(attempt_id, transfer, request):
                    connection.send_response(
                        409,
                        b'{"error":{"message":"no state"}}',
                        self._load_headers({"x-lifthead-not-run": "no-state"}),
                    )
                    return "no state"
            else:
                await self._wait_for_prefill(body["messages"], max(prompt_tokens - cached_tokens, 1))
            if request.closed.is_set():
                return "closed"
            self.record.put("ran", id=attempt_id)
            tokens, continuation_headers = self._answer_tokens(body, max_tokens)
            stream = Stream(
                attempt_id,
                connection,
                tokens,
                0,
                kv_tokens,
                cached_tokens,
                prompt_tokens,
                body.get("model", ""),
                continuation_headers,
            )
            stream.lost_after = self.rng.randint(0, len(tokens)) if self.should_inject("lost") else -1
            stream.reset_after = self.rng.randint(0, len(tokens)) if self.should_inject("reset") else -1
            self.running_streams.add(stream)
            await wait_for_any(stream.finished, request.closed)
            if stream.lost:
                await request.closed.wait()
                return "lost"
            return "done" if stream.finished.is_set() else "closed"
        finally:
            if stream:
                self.running_streams.discard(stream)
                self.record.put("wrote", id=attempt_id, tokens=stream.sent_tokens)
            self.used_tokens -= kv_tokens
            self.used_slots -= 1
            self._grant_slots()

    async def _fetch_state(self, attempt_id: str, transfer: dict, request: ReceivedRequest) -> bool:
        message = {"zone": self.spec.zone, "cell": self.spec.cell, "by": attempt_id}
        return await self._ask_holder(transfer, "/standin/fetch", message)

    async def _ask_holder(self, transfer: dict, path: str, message: dict) -> bool:
        """Sends a message to the engine that holds a state. Returns whether it answered 200."""
        message = {"id": transfer["remote_block_ids"][0], **message}
        client = None
        try:
            client = await ClientConnection.connect(f"{transfer['remote_host']}:{transfer['remote_port']}")
            client.send_request("POST", path, json.dumps(message).encode())
            return await client.read_status() == 200
        except (OSError, h11.ProtocolError):
            return False
        finally:
            if client:
                client.close()

    async def run_decode_steps(self) -> None:
        """Decodes: each step yields one token for each running answer."""
        while True:
            step_us = self.profile.step + self.profile.step_per_stream * len(self.running_streams)
            if self.prefill_free_at > now() and self.role != "read":
                step_us *= 1.5  # a prefill slows down the running answers
            await asyncio.sleep(step_us * self.slowdown() / 1e6)
            if self.active_fault("silent"):
                continue
            for stream in list(self.running_streams):
                self._emit_token(stream)

    def _emit_token(self, stream: Stream) -> None:
        if (
            stream.connection.peer_closed
            or stream.connection.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES
        ):
            return
        if stream.reset_after == stream.sent_tokens:
            self._break_stream(stream)
            self.running_streams.discard(stream)
            return
        if stream.lost_after >= 0 and stream.sent_tokens >= stream.lost_after:
            stream.lost = True
        if not stream.sent_tokens and not stream.lost:
            stream.connection.start_response(
                200,
                {
                    "content-type": "text/event-stream",
                    "transfer-encoding": "chunked",
                    **self._load_headers(stream.continuation_headers),
                },
            )
            self._send_event(stream, {"choices": [self._choice({"role": "assistant", "content": ""})]})
        token = stream.pending_tokens.popleft()
        stream.sent_tokens += 1
        if not stream.lost:
            self._send_event(stream, {"choices": [self._choice({"content": token})]})
        if stream.pending_tokens:
            return
        self.running_streams.discard(stream)
        if not stream.lost:
            self._send_event(stream, {"choices": [self._choice({}, "stop")]})
            usage = {
                "prompt_tokens": stream.prompt_tokens,
                "completion_tokens": stream.sent_tokens,
                "total_tokens": stream.prompt_tokens + stream.sent_tokens,
                "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
            }
            self._send_event(stream, {"choices": [], "usage": usage})
            stream.connection.send_data(b"data: [DONE]\n\n")
            stream.connection.end_response()
        stream.finished.set()

    def _answer_tokens(self, body: dict, max_tokens: int) -> tuple[deque[str], dict[str, str]]:
        """The tokens to stream, and the headers that say where they go on.

        Of an answer that another engine began, these are the tokens that are left. With the fault `overlap`,
        they start some characters earlier, the header says so, and the token boundaries differ.
        """
        messages = body["messages"]
        if not body.get("continue_final_message"):
            return deque(answer(messages, max_tokens)), {}
        begun = str(messages[-1]["content"])
        tokens = answer(messages[:-1], max_tokens, begun) or [""]
        if not self.should_inject("overlap"):
            return deque(tokens), {}
        start = max(len(begun) - self.rng.randint(0, 40), 0)
        text, pieces = begun[start:] + "".join(tokens), deque()
        while text:
            size = self.rng.randint(1, 9)
            pieces.append(text[:size])
            text = text[size:]
        return pieces or deque([""]), {"x-lifthead-continues-at": str(start)}

    def _break_stream(self, stream: Stream) -> None:
        """Breaks a stream by a reset or by a close within an event."""
        if stream.sent_tokens and self.rng.random() < 0.5:
            event = b'data: {"choices":[{"index":0,"delta":{"content":"torn'
            stream.connection.send_raw(
                b"%x\r\n" % (len(event) + 20) + event[: self.rng.randint(0, len(event))]
            )
            stream.connection.writer.close()
        else:
            stream.connection.reset()

    def _choice(self, delta: dict, finish: str | None = None) -> dict:
        return {"index": 0, "delta": delta, "finish_reason": finish}

    def _send_event(self, stream: Stream, part: dict) -> None:
        envelope = {
            "id": f"chatcmpl-{stream.attempt_id}",
            "object": "chat.completion.chunk",
            "created": 1,
            "model": stream.model,
        }
        stream.connection.send_data(b"data: " + json.dumps(envelope | part).encode() + b"\n\n")

    def _load_headers(self, extra: dict[str, str] | None = None) -> dict[str, str]:
        """The ORCA load report, in its JSON form, and extra headers."""
        load = {
            "cpu_utilization": min(self.used_slots / self.profile.slots, 1.0),
            "mem_utilization": min(self.used_tokens / self.memory_tokens, 1.0),
            "application_utilization": min(self.used_slots / self.profile.slots, 1.0),
            "named_metrics": {
                "num_requests_waiting": float(
                    len(self.slot_waiters) + max(self.prefill_count - self.profile.slots, 0)
                ),
                "num_requests_running": float(self.used_slots + min(self.prefill_count, self.profile.slots)),
                "kv_cache_usage_perc": min(self.used_tokens / self.memory_tokens, 1.0),
                "prompt_tokens_waiting": float(self.queued_prompt_tokens),
            },
        }
        return {"endpoint-load-metrics": "JSON " + json.dumps(load), **(extra or {})}

    address = ""


async def run(
    fleet: Fleet, name: str, address: str, cold: bool, record: str | None, seed: int, announce: Any
) -> None:
    """Serves until SIGTERM. `announce` is called with the address once the engine listens."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    engine = Engine(fleet, fleet.engines[name], seed, Record(record), cold)
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(engine.handle_connection, host, int(port), backlog=4096)
    engine.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    announce(engine.address)
    async with asyncio.TaskGroup() as tasks:
        decode_steps = tasks.create_task(engine.run_decode_steps())
        await stop.wait()
        decode_steps.cancel()
    server.close()
    engine.record.put("stop", name=name)
