"""A load generator: it simulates clients of several tenants that hold sessions with a router.

Each turn of a session sends the whole conversation so far, and many sessions begin with a shared prefix. Some
clients retry, are impatient, read slowly or leave. The load is open-loop: arrivals do not wait for answers.
Each request and what came back go to the traffic record.
"""

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from lifthead.deployment.fleet import ClientLoad, Fleet, RequestMix
from lifthead.standins.record import Record, now
from lifthead.standins.text import answer, filler
from lifthead.standins.wire import ClientConnection

MAX_PROMPT_TOKENS = 24_000  # limit on the prompts that the fault `long_prompts` makes longer


@dataclass(slots=True)
class LoadChange:
    """What a fault changes in the load while it lasts."""

    rate_factor: float = 1.0
    flooding_tenant: str = ""
    flood_rate: float = 0.0  # turns a second, on top of the load
    hot_prefix: str = ""  # a prefix that many new sessions share
    hot_prefix_share: float = 0.0
    long_class: str = ""
    long_share: float = 0.0
    long_factor: float = 1.0
    impatient_tenant: str = ""  # its clients give up early and retry at once


@dataclass(slots=True)
class Session:
    """A conversation of one client: its messages so far and the turns to come."""

    mix: RequestMix
    tenant: str
    name: str
    first_router: int
    messages: list[dict] = field(default_factory=list)
    turns_left: int = 0


class LoadGenerator:
    """Generates a load for the routers that `addresses` returns.

    A client that cannot connect to its router tries the next one.
    """

    def __init__(
        self, fleet: Fleet, load: ClientLoad, seed: int, record: Record, addresses: Callable[[], list[str]]
    ) -> None:
        self.fleet, self.load, self.record, self.addresses = fleet, load, record, addresses
        self.rng = random.Random(seed)
        self.changes: list[LoadChange] = []
        self.sessions: list[Session] = []
        self.turn_count = self._session_count = 0
        self._shared_prefixes = {
            mix.group: [filler(self.rng, mix.beginning_tokens) for _ in range(mix.beginnings)]
            for mix in load.mix
        }
        self._models = {group.name: group.models[0] for group in fleet.groups.values()}

    async def run(self) -> None:
        """Starts turns until the load's length is over and waits until all have ended."""
        ends_at = now() + self.load.length
        async with asyncio.TaskGroup() as tasks:
            due = now()
            while due < ends_at:
                rate, flood = self.load.per_s, 0.0
                for change in self.changes:
                    rate, flood = rate * change.rate_factor, flood + change.flood_rate
                due += round(self.rng.expovariate(rate + flood) * 1e6)
                await asyncio.sleep(max(due - now(), 0) / 1e6)
                flooding_tenant = next(
                    (change.flooding_tenant for change in self.changes if change.flood_rate), ""
                )
                tenant = (
                    flooding_tenant if flooding_tenant and self.rng.random() < flood / (rate + flood) else ""
                )
                tasks.create_task(self._play_turn(self._next_session(tenant)))

    def _next_session(self, tenant: str) -> Session:
        """An ongoing session, or a new one. A tenant restricts the choice to its own."""
        ongoing = [
            session
            for session in self.sessions
            if session.turns_left > 0 and (not tenant or session.tenant == tenant)
        ]
        if ongoing and self.rng.random() < 0.5:
            session = self.rng.choice(ongoing)
            session.turns_left -= 1
            self.sessions.remove(session)
            return session
        mix = self.rng.choices(self.load.mix, [mix.share for mix in self.load.mix])[0]
        tenants = list(self.fleet.tenants)
        weights = [self.load.usage.get(name, self.fleet.tenants[name].share_per_s) for name in tenants]
        self._session_count += 1
        chosen = tenant or self.rng.choices(tenants, weights)[0]
        session = Session(mix, chosen, f"s{self._session_count}", self.rng.randrange(1 << 16))
        hot = next((change for change in self.changes if change.hot_prefix), None)
        if hot and self.rng.random() < hot.hot_prefix_share:
            session.messages.append({"role": "system", "content": hot.hot_prefix})
        elif mix.beginning_tokens and self.rng.random() < mix.beginning_share:
            session.messages.append(
                {"role": "system", "content": self.rng.choice(self._shared_prefixes[mix.group])}
            )
        session.turns_left = self.rng.randint(0, 2 * (mix.turns - 1))
        return session

    async def _play_turn(self, session: Session) -> None:
        """One turn of a session, with its retries."""
        mix, rng = session.mix, self.rng
        tokens = max(round(rng.lognormvariate(0, 0.6) * mix.new_tokens), 8)
        long = next(
            (change for change in self.changes if change.long_share and change.long_class in ("", mix.group)),
            None,
        )
        if long and rng.random() < long.long_share:
            tokens = min(round(tokens * long.long_factor), MAX_PROMPT_TOKENS)
        session.messages.append({"role": "user", "content": filler(rng, tokens)})
        request_class, self.turn_count = self.fleet.groups[mix.group], self.turn_count + 1
        turn_id, began_at = f"c{self.turn_count}", now()
        impatient = any(change.impatient_tenant == session.tenant for change in self.changes)
        leaves = rng.random() < self.load.leaves
        streamed, slow = rng.random() >= self.load.unstreamed, rng.random() < self.load.slow
        body = {
            "model": self._models[mix.group],
            "messages": session.messages,
            "stream": streamed,
            "max_tokens": mix.max_tokens,
        }
        prompt_tokens = sum(len(message["content"]) // 4 + 4 for message in session.messages)
        self.record.put(
            "want",
            id=turn_id,
            group=mix.group,
            tenant=session.tenant,
            importance=request_class.importance,
            prompt=prompt_tokens,
            target=request_class.target + request_class.target_per_1000 * prompt_tokens // 1000,
            late_share=request_class.late_share,
        )
        expected = "".join(answer(session.messages, mix.max_tokens))
        for retry in range(1 + (12 if impatient else self.load.retries)):
            left_us = began_at + request_class.deadline - now()
            if left_us < 50_000:
                return
            budget = (
                min(round(request_class.target * rng.uniform(0.25, 0.5)), left_us) if impatient else left_us
            )
            leaves_after = rng.uniform(0.01, 1.5) if leaves else 0.0
            outcome, retry_after = await self._send_request(
                f"{turn_id}.{retry}",
                turn_id,
                session,
                json.dumps(body).encode(),
                budget,
                streamed,
                expected,
                slow,
                leaves_after,
            )
            if outcome == "done":
                session.messages.append({"role": "assistant", "content": expected})
                self.sessions.append(session)
                return
            may_retry = (
                outcome in ("pushed back", "unreachable", "not taken") or request_class.effect == "replayable"
            )
            if outcome == "left" or not may_retry:
                return
            await asyncio.sleep(0 if impatient else retry_after * rng.uniform(1.0, 1.5))

    async def _send_request(
        self,
        request_id: str,
        turn_id: str,
        session: Session,
        body: bytes,
        budget: int,
        streamed: bool,
        expected: str,
        slow: bool,
        leaves_after: float,
    ) -> tuple[str, float]:
        """Sends one request. Returns its outcome and the seconds to wait before a retry."""
        client, sent_at = None, now()
        addresses = self.addresses()
        for offset in range(len(addresses)):
            address = addresses[(session.first_router + offset) % len(addresses)]
            try:
                client = await ClientConnection.connect(address)
                break
            except OSError:
                continue
        if client is None:
            return "unreachable", 0.3
        key = self.fleet.tenants[session.tenant].keys[0]
        headers = {
            "authorization": f"Bearer {key}",
            "content-type": "application/json",
            "x-client-request-id": request_id,
            "x-session-id": session.name,
            "x-req-budget-ms": str(budget / 1000),
            "idempotency-key": turn_id,
            "connection": "close",
        }
        self.record.put(
            "ask",
            at=sent_at,
            id=request_id,
            want=turn_id,
            group=session.mix.group,
            router=address,
            budget=budget,
            streamed=streamed,
        )
        observed = {"first": 0, "status": 0, "retry_ms": 0, "gap": 0, "last": 0, "tokens": 0}
        outcome = "broken"
        try:
            async with asyncio.timeout(leaves_after or None):
                client.send_request("POST", "/v1/chat/completions", body, headers)
                outcome = await (self._read_stream if streamed else self._read_answer)(
                    client, observed, expected, slow
                )
        except TimeoutError:
            outcome = "left"
        except (OSError, h11.ProtocolError, json.JSONDecodeError):
            outcome = "broken"
        finally:
            client.close()
        time_to_first_token = observed["first"] - sent_at if observed["first"] else 0
        self.record.put(
            "answer",
            id=request_id,
            want=turn_id,
            how=outcome,
            status=observed["status"],
            first=time_to_first_token,
            gap=observed["gap"],
            tokens=observed["tokens"],
            req=client.headers.get("x-request-id", ""),
            router=address,
        )
        return outcome, max(observed["retry_ms"] / 1000, 0.02)

    async def _read_error(self, client: ClientConnection, observed: dict) -> str:
        observed["retry_ms"] = int(client.headers.get("retry-after-ms", "100"))
        body = json.loads(await client.read_body())
        if body["error"]["code"] == "not_ready":
            return "not taken"
        return "pushed back" if client.status in (429, 503) else "aborted"

    async def _read_answer(self, client: ClientConnection, observed: dict, expected: str, slow: bool) -> str:
        observed["status"] = await client.read_status()
        if client.status != 200:
            return await self._read_error(client, observed)
        body = json.loads(await client.read_body())
        observed["first"], observed["tokens"] = now(), body["usage"]["completion_tokens"]
        return "done" if body["choices"][0]["message"]["content"] == expected else "wrong"

    async def _read_stream(self, client: ClientConnection, observed: dict, expected: str, slow: bool) -> str:
        observed["status"] = await client.read_status()
        if client.status != 200:
            return await self._read_error(client, observed)
        rest, pieces, outcome = b"", [], ""
        while data := await client.read_data():
            *events, rest = (rest + data).split(b"\n\n")
            for raw_event in events:
                data_line = raw_event.partition(b"data: ")[2]
                if outcome:
                    return "extra"  # an event after the final answer
                if data_line == b"[DONE]":
                    outcome = "done"
                    continue
                event = json.loads(data_line)
                if "error" in event:
                    outcome = "aborted"
                    continue
                for choice in event["choices"]:
                    if choice["delta"].get("content"):
                        at = now()
                        observed["gap"] = max(observed["gap"], at - (observed["last"] or at))
                        observed["first"], observed["last"] = observed["first"] or at, at
                        pieces.append(choice["delta"]["content"])
                        observed["tokens"] += 1
            if slow:
                await asyncio.sleep(0.05)
        if not outcome:
            return "cut"  # the stream ended without a final answer
        return "wrong" if outcome == "done" and "".join(pieces) != expected else outcome
