"""Clients in simulated time: sessions that grow, shared beginnings, tenants, retries, impatience, leaving."""

import random
from dataclasses import dataclass
from typing import Any, Protocol

from lifthead.deployment.fleet import Fleet, RequestMix
from lifthead.lab.clock import Clock
from lifthead.lab.router import HOP, Hand, Router
from lifthead.standins.load_generator import MAX_PROMPT_TOKENS

AROUND = 4  # tokens around each message
WORD = 1.75  # prompt tokens that one token of an answer becomes in the next turn (its words are long)
LEAST_LEFT = 50_000  # microseconds of its deadline under which a client tries no more


@dataclass(slots=True)
class Trend:
    """What a trouble changes in the crowd while it lasts."""

    rate: float = 1.0
    tenant: str = ""
    tenant_rate: float = 0.0
    hot: bool = False
    hot_part: float = 0.0
    long_group: str = ""
    long_part: float = 0.0
    long_times: float = 1.0
    impatient: str = ""


@dataclass(slots=True, eq=False)
class Session:
    mix: RequestMix
    tenant: str
    name: str
    router: int
    beginning: str = ""
    beginning_len: int = 0
    prompt: int = 0
    left: int = 0


@dataclass(slots=True, eq=False)
class Want:
    """What one client wants once, over all its tries."""

    name: str
    session: Session
    at: int
    target: int
    deadline: int
    prompt: int
    streamed: bool
    leaves: bool
    impatient: bool
    words: int
    tries: int = 0


class Sink(Protocol):
    """Who counts (tally.py)."""

    def put(self, ev: str, **fields: Any) -> None: ...
    def wanted(self, want: Want, importance: float) -> None: ...
    def answered(self, want: Want, how: str, first: int, asked_at: int) -> None: ...


@dataclass(slots=True, eq=False)
class Try:
    """One try of a client, as a router sees it."""

    id: str
    crowd: "Crowd"
    want: Want
    group: str
    tenant: str
    budget: int
    prompt: int
    most: int
    words: int
    session: str
    beginning: str
    beginning_len: int
    again: bool
    streamed: bool
    asked_at: int
    over: bool = False

    def answered(self, hand: Hand, how: str, hold_off: int) -> None:
        self.crowd.ended(self, hand, how, hold_off)


class Crowd:
    def __init__(self, fleet: Fleet, seed: int, clock: Clock, routers: dict[str, Router], sink: Sink) -> None:
        assert fleet.crowd
        self.fleet, self.crowd, self.clock, self.sink = fleet, fleet.crowd, clock, sink
        self.routers = list(routers.values())
        self.chance = random.Random(f"{seed}:crowd")
        self.trends: list[Trend] = []
        self.sessions: list[Session] = []
        self.asked = self._begun = 0
        self.until = clock.now + int(self.crowd.length)
        tenants = list(fleet.tenants.values())
        self._tenants = [each.name for each in tenants]
        self._parts = [self.crowd.usage.get(each.name, each.share_per_s) for each in tenants]
        self._next(clock.now)

    def _next(self, at: float) -> None:
        rate, flood = self.crowd.per_s, sum(trend.tenant_rate for trend in self.trends)
        for trend in self.trends:
            rate *= trend.rate
        at += self.chance.expovariate(rate + flood) * 1e6
        if at < self.until:
            self.clock.at(at, self._arrival, at, flood / (rate + flood))

    def _arrival(self, at: float, flood: float) -> None:
        flooding = next((trend.tenant for trend in self.trends if trend.tenant_rate), "")
        self._turn(self._session(flooding if flooding and self.chance.random() < flood else ""))
        self._next(at)

    def _session(self, tenant: str) -> Session:
        chance = self.chance
        going = self.sessions if not tenant else [s for s in self.sessions if s.tenant == tenant]
        if going and chance.random() < 0.5:
            place = chance.randrange(len(going))
            session = going[place]
            session.left -= 1
            self.sessions.pop(place) if going is self.sessions else self.sessions.remove(session)
            return session
        mix = chance.choices(self.crowd.mix, [mix.share for mix in self.crowd.mix])[0]
        self._begun += 1
        whose = tenant or chance.choices(self._tenants, self._parts)[0]
        session = Session(mix, whose, f"s{self._begun}", chance.randrange(1 << 16))
        hot = next((trend for trend in self.trends if trend.hot), None)
        if hot and chance.random() < hot.hot_part:
            session.beginning, session.beginning_len = "hot", 2500 + AROUND
        elif mix.beginning_tokens and chance.random() < mix.beginning_share:
            session.beginning = f"{mix.group}-{chance.randrange(mix.beginnings)}"
            session.beginning_len = mix.beginning_tokens + AROUND
        session.prompt = session.beginning_len
        session.left = chance.randint(0, 2 * (mix.turns - 1))
        return session

    def _turn(self, session: Session) -> None:
        mix, chance, group = session.mix, self.chance, self.fleet.groups[session.mix.group]
        tokens = max(round(chance.lognormvariate(0, 0.6) * mix.new_tokens), 8)
        long = next((t for t in self.trends if t.long_part and t.long_group in ("", mix.group)), None)
        if long and chance.random() < long.long_part:
            tokens = min(round(tokens * long.long_times), MAX_PROMPT_TOKENS)
        session.prompt += tokens + AROUND
        self.asked += 1
        target = self.routers[0].groups[mix.group].ttft_target_of(session.prompt)
        want = Want(
            f"c{self.asked}", session, self.clock.now, target, int(group.deadline), session.prompt,
            chance.random() >= self.crowd.unstreamed, chance.random() < self.crowd.leaves,
            any(trend.impatient == session.tenant for trend in self.trends),
            min(chance.randint(12, 300), mix.max_tokens),
        )  # fmt: skip
        self.sink.put("want", id=want.name, group=mix.group, tenant=session.tenant,
                      importance=group.importance, prompt=want.prompt, target=target,
                      late_share=group.late_share)  # fmt: skip
        self.sink.wanted(want, group.importance)
        self._try(want)

    def _try(self, want: Want) -> None:
        left = want.at + want.deadline - self.clock.now
        if left < LEAST_LEFT:
            return
        session, group = want.session, self.fleet.groups[want.session.mix.group]
        budget = min(round(group.target * self.chance.uniform(0.25, 0.5)), left) if want.impatient else left
        first = session.router % len(self.routers)
        turns = (self.routers[n % len(self.routers)] for n in range(first, first + len(self.routers)))
        router = next((each for each in turns if each.ready), None)
        want.tries += 1
        if router is None:
            return self._again(want, "unreachable", 300_000)
        sent = Try(
            f"{want.name}.{want.tries - 1}", self, want, group.name, session.tenant, budget, want.prompt,
            session.mix.max_tokens, want.words, session.name, session.beginning, session.beginning_len,
            want.tries > 1, want.streamed, self.clock.now,
        )  # fmt: skip
        self.sink.put("ask", id=sent.id, want=want.name, group=sent.group, router=router.name, budget=budget,
                      streamed=want.streamed)  # fmt: skip
        self.clock.after(HOP, self._arrive, sent, router)
        return None

    def _arrive(self, sent: Try, router: Router) -> None:
        if not router.ready:
            return self.ended(sent, None, "not taken", 100_000)
        hand = router.take(sent)
        if sent.want.leaves:
            self.clock.after(self.chance.uniform(0.01, 1.5) * 1e6, self._leave, sent, hand, router)
        return None

    def _leave(self, sent: Try, hand: Hand, router: Router) -> None:
        if not sent.over:
            self.ended(sent, hand, "left", 0)
            router.left(hand)

    def ended(self, sent: Try, hand: Hand | None, how: str, hold_off: int) -> None:
        """Its client has the final answer, or has gone."""
        if sent.over:
            return
        sent.over, want = True, sent.want
        first = 0
        if hand and (hand.first_at or how == "done"):
            first = (hand.first_at + HOP if hand.first_at else self.clock.now) - sent.asked_at
        self.sink.put("answer", id=sent.id, want=want.name, how=how, status=0 if how == "not taken" else 200,
                      first=first, gap=0, tokens=0, req="", router="")  # fmt: skip
        self.sink.answered(want, how, first, sent.asked_at)
        if how == "done":
            session = want.session
            session.prompt += round(want.words * WORD) + AROUND
            if session.left > 0:
                self.sessions.append(session)
        else:
            self._again(want, how, hold_off)

    def _again(self, want: Want, how: str, hold_off: int) -> None:
        replayable = self.fleet.groups[want.session.mix.group].effect == "replayable"
        if how == "left" or not (how in ("pushed back", "unreachable", "not taken") or replayable):
            return
        if want.tries <= (12 if want.impatient else self.crowd.retries):
            wait = 0 if want.impatient else max(hold_off, 20_000) * self.chance.uniform(1.0, 1.5)
            self.clock.after(wait, self._try, want)
