"""A whole fleet in simulated time: engines, routers, the list, clients and the day's troubles."""

import random
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from lifthead import control
from lifthead.deployment.fleet import FaultSpec, Fleet
from lifthead.lab.clock import Clock
from lifthead.lab.crowd import Crowd, Trend
from lifthead.lab.engine import Engine, Overheads
from lifthead.lab.router import HOP, NOTICED, Router
from lifthead.lab.tally import Tally
from lifthead.standins import verify
from lifthead.standins.engine import Fault
from lifthead.standins.record import checker_settings

AT_ENGINES = ("silent", "slow", "reset", "lost", "full", "flush", "garbage", "link_slow")
RESTART = 700_000  # microseconds that a process takes to start
NOT_PLAYED = ("overlap", "roll", "naive_roll")  # what lies in bytes, or is an operator's tool
USUAL = Overheads()


class Tapes:
    """Traffic records as `lifthead day` writes them, for the same checker and the same summary."""

    def __init__(self, directory: Path, clock: Clock) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        for old in directory.glob("*.jsonl"):
            old.unlink()
        self._directory, self._clock = directory, clock
        self._lines: dict[str, list[bytes]] = {}

    def put(self, tape: str, ev: str, **fields: Any) -> None:
        line = msgspec.json.encode({"t": self._clock.now, "ev": ev, **fields}, enc_hook=int)
        self._lines.setdefault(tape, []).append(line)

    def close(self) -> None:
        for tape in {"facts", "stage", "clients", "list", *self._lines}:
            data = b"".join(line + b"\n" for line in self._lines.get(tape, ()))
            (self._directory / f"{tape}.jsonl").write_bytes(data)


class World:
    """`run` plays the script's day once. The same script and seed give the same day, event for event."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        records: Path | None = None,
        decide: Callable[..., control.Router] = control.Router,
        overheads: Overheads = USUAL,
    ) -> None:
        if fleet.crowd is None:
            raise ValueError("no crowd() stands in the script, expected one")
        if odd := [each.what for each in fleet.troubles if each.what in NOT_PLAYED]:
            raise ValueError(
                f"trouble({odd[0]!r}) can't be emulated: it lies in bytes or in an operator's tool"
            )
        self.fleet, self.clock = fleet, Clock()
        self.tapes = Tapes(records, self.clock) if records else None
        self.chance = random.Random(f"{seed}:world")
        self.late = 0
        self.engines = {
            name: Engine(fleet, spec, seed, self.clock, self._tape(f"engine-{name}"), overheads)
            for name, spec in fleet.engines.items()
        }
        self.listed = {name: (spec, "ready", 0) for name, spec in fleet.engines.items()}
        self.tally = Tally(fleet, self._tape("clients"))
        self.routers = {
            name: Router(fleet, name, seed, self.clock, self.engines, decide) for name in fleet.routers
        }
        for router in self.routers.values():
            self._tell(router, list(self.listed.values()), True)
        self.crowd = Crowd(fleet, seed, self.clock, self.routers, self.tally)
        for trouble in fleet.troubles:
            self.clock.after(trouble.at, self._trouble, trouble)

    def _tape(self, name: str) -> Callable[..., None]:
        if self.tapes is None:
            return lambda ev, **fields: None
        return lambda ev, **fields: self.tapes.put(name, ev, **fields)

    def run(self) -> dict[str, Any]:
        """The day and the ends of all its tries; its summary."""
        began = time.perf_counter()
        longest = max((group.deadline for group in self.fleet.groups.values()), default=0)
        self.clock.run(self.crowd.until + int(longest) * 2 + 2_000_000)
        if self.tapes:
            self._tape("facts")("facts", **checker_settings(self.fleet))
            self._tape("stage")("over")
            self.tapes.close()
        took = time.perf_counter() - began
        return self.tally.summary() | {"events": self.clock.events, "took_s": round(took, 2)}

    # The list.

    def _say(self, readiness: str, *names: str, started: bool = False) -> None:
        for name in names:
            spec, _, up_since = self.listed[name]
            self.listed[name] = spec, readiness, self.clock.now if started else up_since
        news = [self.listed[name] for name in names]
        for router in self.routers.values():
            self.clock.after(self.late + HOP, self._tell, router, news, False)

    def _tell(self, router: Router, news: list, whole: bool) -> None:
        if not router.up:
            return
        router.on_list(news, whole)
        for spec, readiness, up_since in news if self.tapes else ():
            self._tape("list")("told", router=router.name, engine=spec.name, readiness=readiness,
                               started_at=up_since)  # fmt: skip

    # Troubles.

    def _trouble(self, trouble: FaultSpec) -> None:
        self._tape("stage")("trouble", what=trouble.what, engines=trouble.engines, routers=trouble.routers)
        names, lasts = self.fleet.select_engines(trouble.engines), int(trouble.lasts)
        if trouble.what in AT_ENGINES:
            for name in names:
                self._fault(name, trouble.what, lasts, trouble.part, trouble.times, trouble.group)
        elif trouble.what == "crash":
            for name in names:
                self._kill(name, lasts, cold=True)
        elif trouble.what == "vanish":
            for name in names:
                self._fault(name, "silent", lasts, 1.0, 1.0, "")
                self.clock.after(lasts, self._kill, name, 0, True, False)
        elif trouble.what == "havoc":
            self._havoc(names, trouble, self.clock.now + lasts)
        elif trouble.what == "drain":
            self._say("draining", *names)
            if trouble.limit:
                for router in self.routers.values():
                    for name in names:
                        self.clock.after(trouble.limit, router.lose, self.engines[name], "drain")
            self.clock.after(lasts, self._say, "ready", *names)
        elif trouble.what == "late_list":
            self.late = lasts
        elif trouble.what.startswith("router"):
            self._next_router(list(trouble.routers or self.fleet.routers), lasts)
        else:
            self._trend(trouble)

    def _fault(self, name: str, what: str, lasts: int, part: float, times: float, group: str) -> None:
        engine = self.engines[name]
        if engine.down:
            return
        engine.fault(what, Fault(self.clock.now + lasts, part, times, group))
        engine.put("fault", what=what, lasts=lasts, part=part, times=times, group=group)
        if what == "silent" and lasts > NOTICED:
            for router in self.routers.values():
                self.clock.after(NOTICED, router.lose, engine, "silent")

    def _kill(self, name: str, lasts: int, cold: bool, listed: bool = True) -> None:
        engine = self.engines[name]
        if engine.down:
            return
        self._tape("stage")("engine_end", name=name, how="SIGKILL")
        engine.kill()
        if listed:
            self._say("gone", name)
        self.clock.after(lasts + RESTART, self._back, name, cold)

    def _back(self, name: str, cold: bool) -> None:
        self.engines[name].start(cold)
        self._say("ready", name, started=cold)

    def _havoc(self, names: list[str], trouble: FaultSpec, until: int) -> None:
        if self.clock.now >= until:
            return
        name, what = self.chance.choice(names), self.chance.choice(("kill", "silent", "reset", "reset"))
        down = sum(self.engines[each].down for each in names)
        if what == "kill" and down * 2 < len(names):
            self._kill(name, 0, cold=False)
        elif what != "kill":
            self._fault(name, what, round(self.chance.uniform(0.3, 2.5) * 1e6), trouble.part, 1.0, "")
        self.clock.after(self.chance.expovariate(trouble.times) * 1e6, self._havoc, names, trouble, until)

    def _next_router(self, names: list[str], lasts: int) -> None:
        """Routers that stop or die and come back, one after the other."""
        if not names:
            return
        router = self.routers[names[0]]
        if not router.up:  # another trouble has it
            return self._next_router(names[1:], lasts)
        self._tape("stage")("router_killed", name=router.name, address=router.name)
        for hand in router.kill():
            self.clock.after(HOP, hand.ask.answered, hand, "router killed", 100_000)
        self.clock.after(lasts + RESTART, self._router_back, router, names[1:], lasts)
        return None

    def _router_back(self, router: Router, rest: list[str], lasts: int) -> None:
        router.start()
        self._tell(router, list(self.listed.values()), True)
        self._next_router(rest, lasts)

    def _trend(self, trouble: FaultSpec) -> None:
        assert self.fleet.crowd
        trend = {
            "burst": Trend(rate=trouble.times),
            "flood": Trend(tenant=trouble.tenant, tenant_rate=self.fleet.crowd.per_s * trouble.times),
            "hot_beginning": Trend(hot=True, hot_part=trouble.part),
            "long_prompts": Trend(long_group=trouble.group, long_part=trouble.part, long_times=trouble.times),
            "impatient": Trend(impatient=trouble.tenant),
        }[trouble.what]
        self.crowd.trends.append(trend)
        self.clock.after(trouble.lasts, self.crowd.trends.remove, trend)


def watched(
    fleet: Fleet,
    seed: int,
    decide: Callable[..., control.Router] = control.Router,
    overheads: Overheads = USUAL,
) -> tuple[dict[str, Any], verify.Traffic]:
    """A day's summary, and its traffic as the checker of real days reads it."""
    with tempfile.TemporaryDirectory() as directory:
        summary = World(fleet, seed, Path(directory), decide, overheads).run()
        return summary, verify.read_records(Path(directory))
