"""Simulated clients: growing sessions, shared prefixes, tenants, retries, impatience, disconnects."""

import random
from dataclasses import dataclass
from typing import Any, Protocol

from lifthead.deployment.fleet import Fleet, RequestMix
from lifthead.lab.clock import Clock
from lifthead.lab.router import HOP_DELAY, PendingRequest, Router
from lifthead.standins.load_generator import MAX_PROMPT_TOKENS

MESSAGE_OVERHEAD_TOKENS = 4  # of the chat template, for each message
PROMPT_TOKENS_PER_ANSWER_TOKEN = 1.75  # in the prompt of the next turn; the stand-ins' words are long
MIN_TIME_LEFT = 50_000  # microseconds before its deadline; a client starts no attempt later than that


@dataclass(slots=True)
class TrafficChange:
    """What a fault changes in the traffic while it lasts."""

    rate_factor: float = 1.0
    tenant: str = ""
    tenant_rate: float = 0.0
    hot_prefix: bool = False
    hot_prefix_share: float = 0.0
    long_prompt_class: str = ""
    long_prompt_share: float = 0.0
    long_prompt_factor: float = 1.0
    impatient_tenant: str = ""


@dataclass(slots=True, eq=False)
class Session:
    mix: RequestMix
    tenant: str
    name: str
    router_index: int
    shared_prefix: str = ""
    shared_prefix_tokens: int = 0
    prompt_tokens: int = 0
    turns_left: int = 0


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a client, over all its attempts."""

    name: str
    session: Session
    asked_at: int
    ttft_target: int
    deadline: int
    prompt_tokens: int
    streamed: bool
    leaves: bool
    impatient: bool
    answer_tokens: int
    attempts: int = 0


class ResultSink(Protocol):
    """Counts requests and outcomes (results.py)."""

    def record(self, ev: str, **fields: Any) -> None: ...
    def on_request(self, request: ClientRequest, weight: float) -> None: ...
    def on_attempt_ended(self, request: ClientRequest, outcome: str, ttft: int, asked_at: int) -> None: ...


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One attempt of a client, as a router sees it."""

    id: str
    clients: "Clients"
    request: ClientRequest
    request_class: str
    tenant: str
    budget: int
    prompt_tokens: int
    max_answer_tokens: int
    answer_tokens: int
    session: str
    shared_prefix: str
    shared_prefix_tokens: int
    is_retry: bool
    streamed: bool
    asked_at: int
    ended: bool = False

    def on_answer(self, pending: PendingRequest, outcome: str, retry_after: int) -> None:
        self.clients.on_attempt_ended(self, pending, outcome, retry_after)


class Clients:
    def __init__(
        self, fleet: Fleet, seed: int, clock: Clock, routers: dict[str, Router], sink: ResultSink
    ) -> None:
        assert fleet.crowd
        self.fleet, self.traffic, self.clock, self.sink = fleet, fleet.crowd, clock, sink
        self.routers = list(routers.values())
        self.rng = random.Random(f"{seed}:crowd")
        self.traffic_changes: list[TrafficChange] = []
        self.idle_sessions: list[Session] = []
        self.request_count = self._session_count = 0
        self.until = clock.now + int(self.traffic.length)
        tenants = list(fleet.tenants.values())
        self._tenants = [each.name for each in tenants]
        self._tenant_weights = [self.traffic.usage.get(each.name, each.share_per_s) for each in tenants]
        self._schedule_arrival(clock.now)

    def _schedule_arrival(self, at: float) -> None:
        rate, flood_rate = self.traffic.per_s, sum(change.tenant_rate for change in self.traffic_changes)
        for change in self.traffic_changes:
            rate *= change.rate_factor
        at += self.rng.expovariate(rate + flood_rate) * 1e6
        if at < self.until:
            self.clock.call_at(at, self._arrival, at, flood_rate / (rate + flood_rate))

    def _arrival(self, at: float, flood_share: float) -> None:
        flooding_tenant = next((change.tenant for change in self.traffic_changes if change.tenant_rate), "")
        self._start_turn(
            self._pick_session(flooding_tenant if flooding_tenant and self.rng.random() < flood_share else "")
        )
        self._schedule_arrival(at)

    def _pick_session(self, tenant: str) -> Session:
        rng = self.rng
        idle = self.idle_sessions if not tenant else [s for s in self.idle_sessions if s.tenant == tenant]
        if idle and rng.random() < 0.5:
            index = rng.randrange(len(idle))
            session = idle[index]
            session.turns_left -= 1
            self.idle_sessions.pop(index) if idle is self.idle_sessions else self.idle_sessions.remove(
                session
            )
            return session
        mix = rng.choices(self.traffic.mix, [mix.share for mix in self.traffic.mix])[0]
        self._session_count += 1
        session_tenant = tenant or rng.choices(self._tenants, self._tenant_weights)[0]
        session = Session(mix, session_tenant, f"s{self._session_count}", rng.randrange(1 << 16))
        hot_prefix = next((change for change in self.traffic_changes if change.hot_prefix), None)
        if hot_prefix and rng.random() < hot_prefix.hot_prefix_share:
            session.shared_prefix, session.shared_prefix_tokens = "hot", 2500 + MESSAGE_OVERHEAD_TOKENS
        elif mix.beginning_tokens and rng.random() < mix.beginning_share:
            session.shared_prefix = f"{mix.group}-{rng.randrange(mix.beginnings)}"
            session.shared_prefix_tokens = mix.beginning_tokens + MESSAGE_OVERHEAD_TOKENS
        session.prompt_tokens = session.shared_prefix_tokens
        session.turns_left = rng.randint(0, 2 * (mix.turns - 1))
        return session

    def _start_turn(self, session: Session) -> None:
        mix, rng, request_class = session.mix, self.rng, self.fleet.groups[session.mix.group]
        new_tokens = max(round(rng.lognormvariate(0, 0.6) * mix.new_tokens), 8)
        long_prompts = next(
            (
                change
                for change in self.traffic_changes
                if change.long_prompt_share and change.long_prompt_class in ("", mix.group)
            ),
            None,
        )
        if long_prompts and rng.random() < long_prompts.long_prompt_share:
            new_tokens = min(round(new_tokens * long_prompts.long_prompt_factor), MAX_PROMPT_TOKENS)
        session.prompt_tokens += new_tokens + MESSAGE_OVERHEAD_TOKENS
        self.request_count += 1
        ttft_target = self.routers[0].request_classes[mix.group].ttft_target_of(session.prompt_tokens)
        request = ClientRequest(
            f"c{self.request_count}",
            session,
            self.clock.now,
            ttft_target,
            int(request_class.deadline),
            session.prompt_tokens,
            rng.random() >= self.traffic.unstreamed,
            rng.random() < self.traffic.leaves,
            any(change.impatient_tenant == session.tenant for change in self.traffic_changes),
            min(rng.randint(12, 300), mix.max_tokens),
        )
        self.sink.record(
            "want",
            id=request.name,
            group=mix.group,
            tenant=session.tenant,
            importance=request_class.importance,
            prompt=request.prompt_tokens,
            target=ttft_target,
            late_share=request_class.late_share,
        )
        self.sink.on_request(request, request_class.importance)
        self._send_attempt(request)

    def _send_attempt(self, request: ClientRequest) -> None:
        time_left = request.asked_at + request.deadline - self.clock.now
        if time_left < MIN_TIME_LEFT:
            return
        session, request_class = request.session, self.fleet.groups[request.session.mix.group]
        budget = (
            min(round(request_class.target * self.rng.uniform(0.25, 0.5)), time_left)
            if request.impatient
            else time_left
        )
        first_index = session.router_index % len(self.routers)
        in_turn = (
            self.routers[n % len(self.routers)] for n in range(first_index, first_index + len(self.routers))
        )
        router = next((each for each in in_turn if each.ready), None)
        request.attempts += 1
        if router is None:
            return self._retry(request, "unreachable", 300_000)
        attempt = ClientAttempt(
            f"{request.name}.{request.attempts - 1}",
            self,
            request,
            request_class.name,
            session.tenant,
            budget,
            request.prompt_tokens,
            session.mix.max_tokens,
            request.answer_tokens,
            session.name,
            session.shared_prefix,
            session.shared_prefix_tokens,
            request.attempts > 1,
            request.streamed,
            self.clock.now,
        )
        self.sink.record(
            "ask",
            id=attempt.id,
            want=request.name,
            group=attempt.request_class,
            router=router.name,
            budget=budget,
            streamed=request.streamed,
        )
        self.clock.call_later(HOP_DELAY, self._deliver, attempt, router)
        return None

    def _deliver(self, attempt: ClientAttempt, router: Router) -> None:
        if not router.ready:
            return self.on_attempt_ended(attempt, None, "not taken", 100_000)
        pending = router.accept(attempt)
        if attempt.request.leaves:
            self.clock.call_later(self.rng.uniform(0.01, 1.5) * 1e6, self._leave, attempt, pending, router)
        return None

    def _leave(self, attempt: ClientAttempt, pending: PendingRequest, router: Router) -> None:
        if not attempt.ended:
            self.on_attempt_ended(attempt, pending, "left", 0)
            router.client_left(pending)

    def on_attempt_ended(
        self, attempt: ClientAttempt, pending: PendingRequest | None, outcome: str, retry_after: int
    ) -> None:
        """The client has received a final answer or has left."""
        if attempt.ended:
            return
        attempt.ended, request = True, attempt.request
        ttft = 0
        if pending and (pending.first_token_at or outcome == "done"):
            ttft = (
                pending.first_token_at + HOP_DELAY if pending.first_token_at else self.clock.now
            ) - attempt.asked_at
        self.sink.record(
            "answer",
            id=attempt.id,
            want=request.name,
            how=outcome,
            status=0 if outcome == "not taken" else 200,
            first=ttft,
            gap=0,
            tokens=0,
            req="",
            router="",
        )
        self.sink.on_attempt_ended(request, outcome, ttft, attempt.asked_at)
        if outcome == "done":
            session = request.session
            session.prompt_tokens += (
                round(request.answer_tokens * PROMPT_TOKENS_PER_ANSWER_TOKEN) + MESSAGE_OVERHEAD_TOKENS
            )
            if session.turns_left > 0:
                self.idle_sessions.append(session)
        else:
            self._retry(request, outcome, retry_after)

    def _retry(self, request: ClientRequest, outcome: str, retry_after: int) -> None:
        idempotent = self.fleet.groups[request.session.mix.group].effect == "replayable"
        if outcome == "left" or not (outcome in ("pushed back", "unreachable", "not taken") or idempotent):
            return
        if request.attempts <= (12 if request.impatient else self.traffic.retries):
            delay = 0 if request.impatient else max(retry_after, 20_000) * self.rng.uniform(1.0, 1.5)
            self.clock.call_later(delay, self._send_attempt, request)
