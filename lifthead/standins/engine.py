"""A stand-in engine: reads prompts, holds states, fetches and writes, as docs/engine-protocol.md says; with
faults on demand. Every forward, state and answer goes to its traffic record."""

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

PREFIX_CACHE_ENTRIES = 512  # prefixes that an engine keeps
ROOM_FOR_SLOW = 262_144  # bytes that wait for a client before its stream rests


def tokens_of(message: dict) -> int:
    return -(-len(str(message.get("content")).encode("utf-8", "replace")) // 4) + 4


@dataclass(slots=True)
class Held:
    tokens: int
    due: asyncio.TimerHandle | None = None
    claims: int = 0  # decode calls that have arrived for it


@dataclass(slots=True, eq=False)
class Stream:
    """An answer that is being written."""

    forward: str
    server: ServerConnection
    words: deque[str]
    sent: int
    tokens: int  # of memory
    kept: int
    prompt: int
    model: str
    continues: dict[str, str]  # header that tells where a continued answer goes on
    lose_after: int = -1  # from this token on nothing is sent, though the work goes on
    reset_after: int = -1
    over: asyncio.Event = field(default_factory=asyncio.Event)
    lost: bool = False


@dataclass(slots=True)
class Fault:
    ends_at: int
    probability: float
    factor: float
    request_class: str


class Engine:
    def __init__(self, fleet: Fleet, spec: EngineSpec, seed: int, record: Record, cold: bool) -> None:
        self.spec, self.record = spec, record
        self.role, self.memory = fleet.kinds[spec.kind].role, fleet.kinds[spec.kind].memory
        self.profile = fleet.stand_ins.get(spec.kind) or StandIn(kind=spec.kind)
        self.groups = {model: group.name for group in fleet.groups.values() for model in group.models}
        self.chance = random.Random(seed)
        self.warm_up = WarmUp(fleet.rules, now(), cold)
        self.kept: OrderedDict[str, int] = OrderedDict()
        self.held_states: dict[str, Held] = {}
        self.dropped: set[str] = set()  # let go of before the read had ended
        self.read_free_at = self.link_free_at = 0
        self.prefill_count = self.unread = 0
        self.running_streams: set[Stream] = set()
        self.waiting: deque[asyncio.Event] = deque()
        self.used = 0  # tokens of memory
        self.slots = 0
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
            memory=self.memory,
        )

    # What goes wrong.

    def fault(self, what: str) -> Fault | None:
        found = self.faults.get(what)
        if found and now() < found.ends_at:
            return found
        self.faults.pop(what, None)
        return None

    def meets(self, what: str) -> bool:
        found = self.fault(what)
        return found is not None and self.chance.random() < found.probability

    async def _not_silent(self, asked: ReceivedRequest) -> bool:
        """Waits while the engine is silent; False if the peer left meanwhile."""
        while not asked.closed.is_set() and (found := self.fault("silent")):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max((found.ends_at - now()) / 1e6, 0.001)):
                    await asked.closed.wait()
        return not asked.closed.is_set()

    def pace(self) -> float:
        """How many times slower than when warm and well."""
        slow = self.fault("slow")
        return (slow.factor if slow else 1.0) / self.warm_up.capacity_fraction(now())

    # What is asked.

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server = ServerConnection(reader, writer)
        with contextlib.suppress(ConnectionError, h11.ProtocolError):
            while asked := await server.read_request():
                async with asyncio.TaskGroup() as tasks:
                    watch = tasks.create_task(server.wait_for_close(asked))
                    await self._serve(server, asked)
                    watch.cancel()
                if server.peer_closed or writer.transport.is_closing():
                    break
                with contextlib.suppress(ConnectionError):
                    await writer.drain()
                if server.http.our_state is not h11.DONE or server.http.their_state is not h11.DONE:
                    break
                server.http.start_next_cycle()
        writer.close()

    async def _serve(self, server: ServerConnection, asked: ReceivedRequest) -> None:
        if asked.path == "/standin/fault":
            what = json.loads(asked.body)
            if what["what"] == "flush":
                self.kept.clear()
            else:
                self.faults[what["what"]] = Fault(
                    now() + what["lasts"], what["part"], what["times"], what["group"]
                )
            self.record.put("fault", **what)
            return server.send_response(200, b"{}")
        if asked.path == "/v1/chat/completions" and asked.method == "POST":
            return await self._chat(server, asked)
        await self._not_silent(asked)
        if asked.path == "/health":
            return server.send_response(503 if self.warm_up.overloaded else 200, b"{}", self._load())
        if asked.path == "/v1/kv/release":
            return self._release(server, str(json.loads(asked.body).get("request_id")))
        if asked.path == "/standin/claim":
            return self._claimed(server, json.loads(asked.body))
        if asked.path == "/standin/fetch":
            return await self._hand_over(server, asked, json.loads(asked.body))
        return server.send_response(404, b"{}")

    async def _chat(self, server: ServerConnection, asked: ReceivedRequest) -> None:
        body = json.loads(asked.body)
        forward = asked.headers.get("x-request-id", "")
        group = self.groups.get(body.get("model"), "")
        transfer = body.get("kv_transfer_params") or {}
        prompt = sum(map(tokens_of, body["messages"]))
        most = body.get("max_tokens") or body.get("max_completion_tokens") or 64
        kept = self._found(body["messages"])
        fetches = bool(transfer.get("do_remote_prefill"))
        reads = bool(transfer.get("do_remote_decode"))
        work = 0 if fetches else (prompt - kept) / self.profile.read_per_s * 1e6
        work += 0 if reads else most * self.profile.step / self.profile.slots
        self.record.put(
            "forward",
            id=forward,
            client=asked.headers.get("x-client-request-id", ""),
            group=group,
            prompt=prompt,
            reads=reads,
            work=round(work),
            key=asked.headers.get("idempotency-key", ""),
        )
        how = "closed"
        try:
            if not await self._not_silent(asked):  # recorded all the same: to its router it was out
                return None
            if self.warm_up.add_work(now(), work):
                self.record.put("fell", name=self.spec.name)
            if self.meets("garbage"):
                server.send_raw(b"\x00\x01 this is not the protocol\r\n\r\n" + b"\xff" * 64)
                await server.writer.drain()
                server.writer.close()
                how = "garbage"
                return
            full = self.fault("full")
            if (
                self.warm_up.overloaded
                or (full and full.request_class in ("", group))
                or (reads and self.role == "write")
            ):
                how = "refused"
                return server.send_response(
                    503, b'{"error":{"message":"full"}}', self._load({"x-lifthead-not-run": "1"})
                )
            if reads:
                how = await self._read(server, asked, body, forward, prompt, kept)
            else:
                how = await self._write(
                    server, asked, body, forward, transfer if fetches else None, prompt, kept, most
                )
        finally:
            # Work may go on after its peer has closed; to its router the forward is out no more from then on.
            self.record.put("end", id=forward, how=how, closed=asked.closed_at)

    # Reading.

    def _prefixes(self, messages: list[dict]) -> list[tuple[str, int]]:
        so_far, total, found = blake2b(digest_size=8), 0, []
        for message in messages:
            so_far.update(str(message.get("content")).encode("utf-8", "replace") + b"\0")
            total += tokens_of(message)
            found.append((so_far.hexdigest(), total))
        return found

    def _found(self, messages: list[dict]) -> int:
        return max((self.kept.get(mark, 0) for mark, _ in self._prefixes(messages)), default=0)

    def _keep(self, messages: list[dict]) -> None:
        for mark, total in self._prefixes(messages):
            self.kept[mark] = total
            self.kept.move_to_end(mark)
        while len(self.kept) > PREFIX_CACHE_ENTRIES:
            self.kept.popitem(last=False)

    async def _through_reading(self, messages: list[dict], unread: int) -> None:
        """Waits until the prompt is read: first come, first read, at the engine's pace."""
        at = now()
        took = unread / self.profile.read_per_s * 1e6 * self.pace()
        self.read_free_at = max(self.read_free_at, at) + round(took)
        self.prefill_count, self.unread = self.prefill_count + 1, self.unread + unread
        try:
            await asyncio.sleep((self.read_free_at - at) / 1e6)
        finally:
            self.prefill_count, self.unread = self.prefill_count - 1, self.unread - unread
        self._keep(messages)

    async def _read(
        self,
        server: ServerConnection,
        asked: ReceivedRequest,
        body: dict,
        forward: str,
        prompt: int,
        kept: int,
    ) -> str:
        if self.prefill_count >= self.profile.slots + self.profile.queue or self.used + prompt > self.memory:
            server.send_response(
                503, b'{"error":{"message":"full"}}', self._load({"x-lifthead-not-run": "1"})
            )
            return "refused"
        await self._through_reading(
            body["messages"], max(prompt - kept, 1)
        )  # goes on though the peer may have left
        await self._not_silent(asked)
        if forward in self.dropped:
            self.dropped.discard(forward)
            return "dropped"
        due = asyncio.get_running_loop().call_later(
            self.profile.held_for / 1e6, self._let_go, forward, "forgotten"
        )
        self.held_states[forward] = Held(prompt, due)
        self.used += prompt
        self.record.put("held", id=forward, tokens=prompt)
        if self.meets("lost"):
            await asked.closed.wait()
            return "lost"
        handle = {
            "do_remote_prefill": True,
            "do_remote_decode": False,
            "remote_engine_id": self.spec.name,
            "remote_block_ids": [forward],
            "remote_host": self.address.rpartition(":")[0],
            "remote_port": int(self.address.rpartition(":")[2]),
            "remote_zone": self.spec.zone,
            "remote_cell": self.spec.cell,
        }
        made = {
            "object": "chat.completion",
            "choices": [],
            "kv_transfer_params": handle,
            "usage": {
                "prompt_tokens": prompt,
                "completion_tokens": 0,
                "total_tokens": prompt,
                "prompt_tokens_details": {"cached_tokens": kept},
            },
        }
        server.send_response(200, json.dumps(made).encode(), self._load())
        return "closed" if asked.closed.is_set() else "read"

    def _let_go(self, forward: str, why: str) -> bool:
        held = self.held_states.pop(forward, None)
        if held is None:
            return False
        if held.due:
            held.due.cancel()
        self.used -= held.tokens
        self.record.put("taken" if why == "taken" else "let_go", id=forward, why=why)
        self._admit()
        return True

    def _claimed(self, server: ServerConnection, question: dict) -> None:
        """A decode call for this state has arrived at its engine, or left it."""
        if held := self.held_states.get(question["id"]):
            held.claims += question["claims"]
        server.send_response(200, b"{}")

    def _release(self, server: ServerConnection, forward: str) -> None:
        held = self.held_states.get(forward)
        if held and held.claims > 0:  # a decode call waits for it
            return server.send_response(200, b"{}")
        if not self._let_go(forward, "asked"):
            if len(self.dropped) > 4096:
                self.dropped.clear()
            self.dropped.add(forward)
        server.send_response(200, b"{}")

    async def _hand_over(self, server: ServerConnection, asked: ReceivedRequest, question: dict) -> None:
        """A writer fetches a state: near, over the cell's link, or to another zone."""
        forward = question["id"]
        held = self.held_states.get(forward)
        if held is None:
            return server.send_response(404, b"{}")
        slow = self.fault("link_slow")
        if question["zone"] == self.spec.zone and question["cell"] == self.spec.cell:
            until = now() + held.tokens / self.profile.near_per_s * 1e6
        else:
            times = (slow.factor if slow else 1.0) * (
                1 if question["zone"] == self.spec.zone else self.profile.zone_slower
            )
            self.link_free_at = max(self.link_free_at, now()) + round(
                held.tokens / self.profile.link_per_s * 1e6 * times
            )
            until = self.link_free_at
        await asyncio.sleep(max(until - now(), 0) / 1e6)
        if not await self._not_silent(asked):
            return server.send_response(404, b"{}")
        if not self._let_go(forward, "taken"):
            return server.send_response(404, b"{}")
        return server.send_response(200, b"{}")

    # Writing.

    def _admit(self) -> None:
        while self.waiting and self.slots < self.profile.slots and self.used < self.memory:
            self.waiting.popleft().set()
            self.slots += 1

    async def _place(self, asked: ReceivedRequest) -> bool:
        """Waits for a slot; False if the peer left first."""
        free = asyncio.Event()
        self.waiting.append(free)
        self._admit()
        if not free.is_set():
            await wait_for_any(free, asked.closed)
        if free.is_set():
            return True
        self.waiting.remove(free)
        return False

    async def _write(
        self,
        server: ServerConnection,
        asked: ReceivedRequest,
        body: dict,
        forward: str,
        transfer: dict | None,
        prompt: int,
        kept: int,
        most: int,
    ) -> str:
        if self.role == "read" or len(self.waiting) >= self.profile.queue:
            server.send_response(
                503, b'{"error":{"message":"full"}}', self._load({"x-lifthead-not-run": "1"})
            )
            return "refused"
        if transfer is not None:
            await self._ask_holder(transfer, "/standin/claim", {"claims": 1})
        if not await self._place(asked):
            if transfer is not None:
                await self._ask_holder(transfer, "/standin/claim", {"claims": -1})
            return "closed"
        size = prompt + most
        self.used += size
        stream = None
        try:
            if transfer is not None:
                if not await self._fetch(forward, transfer, asked):
                    server.send_response(
                        409,
                        b'{"error":{"message":"no state"}}',
                        self._load({"x-lifthead-not-run": "no-state"}),
                    )
                    return "no state"
            else:
                await self._through_reading(body["messages"], max(prompt - kept, 1))
            if asked.closed.is_set():
                return "closed"
            self.record.put("ran", id=forward)
            words, continues = self._words(body, most)
            stream = Stream(forward, server, words, 0, size, kept, prompt, body.get("model", ""), continues)
            stream.lose_after = self.chance.randint(0, len(words)) if self.meets("lost") else -1
            stream.reset_after = self.chance.randint(0, len(words)) if self.meets("reset") else -1
            self.running_streams.add(stream)
            await wait_for_any(stream.over, asked.closed)
            if stream.lost:
                await asked.closed.wait()
                return "lost"
            return "done" if stream.over.is_set() else "closed"
        finally:
            if stream:
                self.running_streams.discard(stream)
                self.record.put("wrote", id=forward, tokens=stream.sent)
            self.used -= size
            self.slots -= 1
            self._admit()

    async def _fetch(self, forward: str, transfer: dict, asked: ReceivedRequest) -> bool:
        question = {"zone": self.spec.zone, "cell": self.spec.cell, "by": forward}
        return await self._ask_holder(transfer, "/standin/fetch", question)

    async def _ask_holder(self, transfer: dict, path: str, question: dict) -> bool:
        """Asks the engine that holds a state; whether it agrees."""
        question = {"id": transfer["remote_block_ids"][0], **question}
        client = None
        try:
            client = await ClientConnection.connect(f"{transfer['remote_host']}:{transfer['remote_port']}")
            client.send_request("POST", path, json.dumps(question).encode())
            return await client.read_status() == 200
        except (OSError, h11.ProtocolError):
            return False
        finally:
            if client:
                client.close()

    async def run_decode_steps(self) -> None:
        """The writer's beat: one token for each running answer a step."""
        while True:
            busy = self.profile.step + self.profile.step_per_stream * len(self.running_streams)
            if self.read_free_at > now() and self.role != "read":
                busy *= 1.5  # reads slow the answers that run
            await asyncio.sleep(busy * self.pace() / 1e6)
            if self.fault("silent"):
                continue
            for stream in list(self.running_streams):
                self._token(stream)

    def _token(self, stream: Stream) -> None:
        if (
            stream.server.peer_closed
            or stream.server.writer.transport.get_write_buffer_size() > ROOM_FOR_SLOW
        ):
            return
        if stream.reset_after == stream.sent:
            self._tear(stream)
            self.running_streams.discard(stream)
            return
        if stream.lose_after >= 0 and stream.sent >= stream.lose_after:
            stream.lost = True
        if not stream.sent and not stream.lost:
            stream.server.start_response(
                200,
                {
                    "content-type": "text/event-stream",
                    "transfer-encoding": "chunked",
                    **self._load(stream.continues),
                },
            )
            self._event(stream, {"choices": [self._delta({"role": "assistant", "content": ""})]})
        word = stream.words.popleft()
        stream.sent += 1
        if not stream.lost:
            self._event(stream, {"choices": [self._delta({"content": word})]})
        if stream.words:
            return
        self.running_streams.discard(stream)
        if not stream.lost:
            self._event(stream, {"choices": [self._delta({}, "stop")]})
            used = {
                "prompt_tokens": stream.prompt,
                "completion_tokens": stream.sent,
                "total_tokens": stream.prompt + stream.sent,
                "prompt_tokens_details": {"cached_tokens": stream.kept},
            }
            self._event(stream, {"choices": [], "usage": used})
            stream.server.send_data(b"data: [DONE]\n\n")
            stream.server.end_response()
        stream.over.set()

    def _words(self, body: dict, most: int) -> tuple[deque[str], dict[str, str]]:
        """What is to be written; of an answer that another engine began, what is left. With the fault
        `overlap`, it starts some characters earlier, says so, and cuts its tokens elsewhere."""
        messages = body["messages"]
        if not body.get("continue_final_message"):
            return deque(answer(messages, most)), {}
        so_far = str(messages[-1]["content"])
        words = answer(messages[:-1], most, so_far) or [""]
        if not self.meets("overlap"):
            return deque(words), {}
        at = max(len(so_far) - self.chance.randint(0, 40), 0)
        text, pieces = so_far[at:] + "".join(words), deque()
        while text:
            size = self.chance.randint(1, 9)
            pieces.append(text[:size])
            text = text[size:]
        return pieces or deque([""]), {"x-lifthead-continues-at": str(at)}

    def _tear(self, stream: Stream) -> None:
        """Breaks a stream: by a reset, or in the middle of an event's bytes."""
        if stream.sent and self.chance.random() < 0.5:
            event = b'data: {"choices":[{"index":0,"delta":{"content":"torn'
            stream.server.send_raw(
                b"%x\r\n" % (len(event) + 20) + event[: self.chance.randint(0, len(event))]
            )
            stream.server.writer.close()
        else:
            stream.server.reset()

    def _delta(self, delta: dict, finish: str | None = None) -> dict:
        return {"index": 0, "delta": delta, "finish_reason": finish}

    def _event(self, stream: Stream, part: dict) -> None:
        made = {
            "id": f"chatcmpl-{stream.forward}",
            "object": "chat.completion.chunk",
            "created": 1,
            "model": stream.model,
        }
        stream.server.send_data(b"data: " + json.dumps(made | part).encode() + b"\n\n")

    def _load(self, more: dict[str, str] | None = None) -> dict[str, str]:
        """The ORCA load report, in its JSON form."""
        load = {
            "cpu_utilization": min(self.slots / self.profile.slots, 1.0),
            "mem_utilization": min(self.used / self.memory, 1.0),
            "application_utilization": min(self.slots / self.profile.slots, 1.0),
            "named_metrics": {
                "num_requests_waiting": float(
                    len(self.waiting) + max(self.prefill_count - self.profile.slots, 0)
                ),
                "num_requests_running": float(self.slots + min(self.prefill_count, self.profile.slots)),
                "kv_cache_usage_perc": min(self.used / self.memory, 1.0),
                "prompt_tokens_waiting": float(self.unread),
            },
        }
        return {"endpoint-load-metrics": "JSON " + json.dumps(load), **(more or {})}

    address = ""


async def run(
    fleet: Fleet, name: str, address: str, cold: bool, record: str | None, seed: int, say: Any
) -> None:
    """Serves until SIGTERM; `say` gets the address once it listens."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    engine = Engine(fleet, fleet.engines[name], seed, Record(record), cold)
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(engine.handle_connection, host, int(port), backlog=4096)
    engine.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    say(engine.address)
    async with asyncio.TaskGroup() as tasks:
        beat = tasks.create_task(engine.run_decode_steps())
        await stop.wait()
        beat.cancel()
    server.close()
    engine.record.put("stop", name=name)
