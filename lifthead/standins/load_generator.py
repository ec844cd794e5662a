"""A crowd of clients: sessions that grow, shared beginnings, tenants, retries, impatience, slow readers, and
clients that leave. Arrivals do not wait for answers. Each try and what came back go to the record."""

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

MAX_PROMPT_TOKENS = 24_000  # tokens, where a trouble makes prompts longer


@dataclass(slots=True)
class LoadChange:
    """What a trouble changes in the crowd while it lasts."""

    rate: float = 1.0
    tenant: str = ""  # floods
    tenant_rate: float = 0.0  # reqs a second besides
    beginning: str = ""  # hot
    beginning_part: float = 0.0
    long_group: str = ""
    long_part: float = 0.0
    long_times: float = 1.0
    impatient: str = ""  # a tenant whose clients give up early and come again at once


@dataclass(slots=True)
class Session:
    mix: RequestMix
    tenant: str
    name: str
    router: int
    messages: list[dict] = field(default_factory=list)
    left: int = 0


class LoadGenerator:
    """Plays one crowd against routers that `addresses` gives, in turn, passing over those that refuse."""

    def __init__(
        self, fleet: Fleet, crowd: ClientLoad, seed: int, record: Record, addresses: Callable[[], list[str]]
    ) -> None:
        self.fleet, self.crowd, self.record, self.addresses = fleet, crowd, record, addresses
        self.chance = random.Random(seed)
        self.trends: list[LoadChange] = []
        self.sessions: list[Session] = []
        self.asked = self._begun = 0
        self._beginnings = {
            mix.group: [filler(self.chance, mix.beginning_tokens) for _ in range(mix.beginnings)]
            for mix in crowd.mix
        }
        self._models = {group.name: group.models[0] for group in fleet.groups.values()}

    async def run(self) -> None:
        """All arrivals, then the ends of all tries."""
        until = now() + self.crowd.length
        async with asyncio.TaskGroup() as tasks:
            due = now()
            while due < until:
                rate, flood = self.crowd.per_s, 0.0
                for trend in self.trends:
                    rate, flood = rate * trend.rate, flood + trend.tenant_rate
                due += round(self.chance.expovariate(rate + flood) * 1e6)
                await asyncio.sleep(max(due - now(), 0) / 1e6)
                flooding = next((t.tenant for t in self.trends if t.tenant_rate), "")
                by_flood = flooding if flooding and self.chance.random() < flood / (rate + flood) else ""
                tasks.create_task(self._turn(self._session(by_flood)))

    def _session(self, tenant: str) -> Session:
        """One that goes on, or a new one."""
        going = [
            session
            for session in self.sessions
            if session.left > 0 and (not tenant or session.tenant == tenant)
        ]
        if going and self.chance.random() < 0.5:
            session = self.chance.choice(going)
            session.left -= 1
            self.sessions.remove(session)
            return session
        mix = self.chance.choices(self.crowd.mix, [mix.share for mix in self.crowd.mix])[0]
        tenants = list(self.fleet.tenants)
        parts = [self.crowd.usage.get(name, self.fleet.tenants[name].share_per_s) for name in tenants]
        self._begun += 1
        whose = tenant or self.chance.choices(tenants, parts)[0]
        session = Session(mix, whose, f"s{self._begun}", self.chance.randrange(1 << 16))
        hot = next((trend for trend in self.trends if trend.beginning), None)
        if hot and self.chance.random() < hot.beginning_part:
            session.messages.append({"role": "system", "content": hot.beginning})
        elif mix.beginning_tokens and self.chance.random() < mix.beginning_share:
            session.messages.append(
                {"role": "system", "content": self.chance.choice(self._beginnings[mix.group])}
            )
        session.left = self.chance.randint(0, 2 * (mix.turns - 1))
        return session

    async def _turn(self, session: Session) -> None:
        """One req of a session, with its retries."""
        mix, chance = session.mix, self.chance
        tokens = max(round(chance.lognormvariate(0, 0.6) * mix.new_tokens), 8)
        long = next((t for t in self.trends if t.long_part and t.long_group in ("", mix.group)), None)
        if long and chance.random() < long.long_part:
            tokens = min(round(tokens * long.long_times), MAX_PROMPT_TOKENS)
        session.messages.append({"role": "user", "content": filler(chance, tokens)})
        group, self.asked = self.fleet.groups[mix.group], self.asked + 1
        name, began = f"c{self.asked}", now()
        impatient = any(trend.impatient == session.tenant for trend in self.trends)
        leaves = chance.random() < self.crowd.leaves
        streamed, slow = chance.random() >= self.crowd.unstreamed, chance.random() < self.crowd.slow
        body = {
            "model": self._models[mix.group],
            "messages": session.messages,
            "stream": streamed,
            "max_tokens": mix.max_tokens,
        }
        prompt = sum(len(message["content"]) // 4 + 4 for message in session.messages)
        self.record.put(
            "want",
            id=name,
            group=mix.group,
            tenant=session.tenant,
            importance=group.importance,
            prompt=prompt,
            target=group.target + group.target_per_1000 * prompt // 1000,
            late_share=group.late_share,
        )
        expected = "".join(answer(session.messages, mix.max_tokens))
        for number in range(1 + (12 if impatient else self.crowd.retries)):
            left_us = began + group.deadline - now()
            if left_us < 50_000:
                return
            budget = min(round(group.target * chance.uniform(0.25, 0.5)), left_us) if impatient else left_us
            leaving = chance.uniform(0.01, 1.5) if leaves else 0.0
            how, wait = await self._try(
                f"{name}.{number}",
                name,
                session,
                json.dumps(body).encode(),
                budget,
                streamed,
                expected,
                slow,
                leaving,
            )
            if how == "done":
                session.messages.append({"role": "assistant", "content": expected})
                self.sessions.append(session)
                return
            again = how in ("pushed back", "unreachable", "not taken") or group.effect == "replayable"
            if how == "left" or not again:
                return
            await asyncio.sleep(0 if impatient else wait * chance.uniform(1.0, 1.5))

    async def _try(
        self,
        name: str,
        first: str,
        session: Session,
        body: bytes,
        budget: int,
        streamed: bool,
        expected: str,
        slow: bool,
        leaving: float,
    ) -> tuple[str, float]:
        """One try: how it ended, and seconds to wait before another."""
        client, asked_at = None, now()
        addresses = self.addresses()
        for turn in range(len(addresses)):
            address = addresses[(session.router + turn) % len(addresses)]
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
            "x-client-request-id": name,
            "x-session-id": session.name,
            "x-req-budget-ms": str(budget / 1000),
            "idempotency-key": first,
            "connection": "close",
        }
        self.record.put(
            "ask",
            at=asked_at,
            id=name,
            want=first,
            group=session.mix.group,
            router=address,
            budget=budget,
            streamed=streamed,
        )
        seen = {"first": 0, "status": 0, "retry_ms": 0, "gap": 0, "last": 0, "tokens": 0}
        how = "broken"
        try:
            async with asyncio.timeout(leaving or None):
                client.send_request("POST", "/v1/chat/completions", body, headers)
                how = await (self._streamed if streamed else self._whole)(client, seen, expected, slow)
        except TimeoutError:
            how = "left"
        except (OSError, h11.ProtocolError, json.JSONDecodeError):
            how = "broken"
        finally:
            client.close()
        first_us = seen["first"] - asked_at if seen["first"] else 0
        self.record.put(
            "answer",
            id=name,
            want=first,
            how=how,
            status=seen["status"],
            first=first_us,
            gap=seen["gap"],
            tokens=seen["tokens"],
            req=client.headers.get("x-request-id", ""),
            router=address,
        )
        return how, max(seen["retry_ms"] / 1000, 0.02)

    async def _refused(self, client: ClientConnection, seen: dict) -> str:
        seen["retry_ms"] = int(client.headers.get("retry-after-ms", "100"))
        body = json.loads(await client.read_body())
        if body["error"]["code"] == "not_ready":
            return "not taken"
        return "pushed back" if client.status in (429, 503) else "aborted"

    async def _whole(self, client: ClientConnection, seen: dict, expected: str, slow: bool) -> str:
        seen["status"] = await client.read_status()
        if client.status != 200:
            return await self._refused(client, seen)
        body = json.loads(await client.read_body())
        seen["first"], seen["tokens"] = now(), body["usage"]["completion_tokens"]
        return "done" if body["choices"][0]["message"]["content"] == expected else "wrong"

    async def _streamed(self, client: ClientConnection, seen: dict, expected: str, slow: bool) -> str:
        seen["status"] = await client.read_status()
        if client.status != 200:
            return await self._refused(client, seen)
        left, text, end = b"", [], ""
        while data := await client.read_data():
            *events, left = (left + data).split(b"\n\n")
            for event in events:
                said = event.partition(b"data: ")[2]
                if end:
                    return "extra"  # something came after the final answer
                if said == b"[DONE]":
                    end = "done"
                    continue
                part = json.loads(said)
                if "error" in part:
                    end = "aborted"
                    continue
                for choice in part["choices"]:
                    if choice["delta"].get("content"):
                        at = now()
                        seen["gap"] = max(seen["gap"], at - (seen["last"] or at))
                        seen["first"], seen["last"] = seen["first"] or at, at
                        text.append(choice["delta"]["content"])
                        seen["tokens"] += 1
            if slow:
                await asyncio.sleep(0.05)
        if not end:
            return "cut"  # a silent end
        return "wrong" if end == "done" and "".join(text) != expected else end
