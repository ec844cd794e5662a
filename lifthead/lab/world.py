"""A whole fleet in simulated time: engines, routers, the engine list, clients and faults."""

import random
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from lifthead import control
from lifthead.deployment.fleet import FaultSpec, Fleet
from lifthead.lab.clients import Clients, TrafficChange
from lifthead.lab.clock import Clock
from lifthead.lab.engine import Engine, Overheads
from lifthead.lab.results import Results
from lifthead.lab.router import HOP_DELAY, SILENCE_DETECTION_DELAY, Router
from lifthead.standins import verify
from lifthead.standins.engine import Fault
from lifthead.standins.record import checker_settings

ENGINE_FAULTS = ("silent", "slow", "reset", "lost", "full", "flush", "garbage", "link_slow")
RESTART_TIME = 700_000  # microseconds that a process takes to start
NOT_SIMULATED = ("overlap", "roll", "naive_roll")  # act on bytes of streams or need an operator's tool
DEFAULT_OVERHEADS = Overheads()


class TrafficRecords:
    """Writes traffic records like those of `lifthead day`, for the same checker and the same summary."""

    def __init__(self, directory: Path, clock: Clock) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        for old in directory.glob("*.jsonl"):
            old.unlink()
        self._directory, self._clock = directory, clock
        self._lines: dict[str, list[bytes]] = {}

    def record(self, file: str, ev: str, **fields: Any) -> None:
        line = msgspec.json.encode({"t": self._clock.now, "ev": ev, **fields}, enc_hook=int)
        self._lines.setdefault(file, []).append(line)

    def close(self) -> None:
        for file in {"facts", "stage", "clients", "list", *self._lines}:
            data = b"".join(line + b"\n" for line in self._lines.get(file, ()))
            (self._directory / f"{file}.jsonl").write_bytes(data)


class World:
    """Simulates a script's scenario once. The same script and seed give the same run, event for event."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        records: Path | None = None,
        router_factory: Callable[..., control.Router] = control.Router,
        overheads: Overheads = DEFAULT_OVERHEADS,
    ) -> None:
        if fleet.crowd is None:
            raise ValueError("expected a crowd() call in the script, found none")
        if unsupported := [each.what for each in fleet.troubles if each.what in NOT_SIMULATED]:
            raise ValueError(
                f"trouble({unsupported[0]!r}) can't be emulated: it acts on bytes or an operator's tool"
            )
        self.fleet, self.clock = fleet, Clock()
        self.records = TrafficRecords(records, self.clock) if records else None
        self.rng = random.Random(f"{seed}:world")
        self.list_delay = 0
        self.engines = {
            name: Engine(fleet, spec, seed, self.clock, self._recorder(f"engine-{name}"), overheads)
            for name, spec in fleet.engines.items()
        }
        self.engine_list = {name: (spec, "ready", 0) for name, spec in fleet.engines.items()}
        self.results = Results(fleet, self._recorder("clients"))
        self.routers = {
            name: Router(fleet, name, seed, self.clock, self.engines, router_factory)
            for name in fleet.routers
        }
        for router in self.routers.values():
            self._deliver_list(router, list(self.engine_list.values()), True)
        self.clients = Clients(fleet, seed, self.clock, self.routers, self.results)
        for fault in fleet.troubles:
            self.clock.call_later(fault.at, self._start_fault, fault)

    def _recorder(self, name: str) -> Callable[..., None]:
        if self.records is None:
            return lambda ev, **fields: None
        return lambda ev, **fields: self.records.record(name, ev, **fields)

    def run(self) -> dict[str, Any]:
        """Runs the scenario until all its attempts have ended and returns its summary."""
        started = time.perf_counter()
        longest_deadline = max(
            (request_class.deadline for request_class in self.fleet.groups.values()), default=0
        )
        self.clock.run_until(self.clients.until + int(longest_deadline) * 2 + 2_000_000)
        if self.records:
            self._recorder("facts")("facts", **checker_settings(self.fleet))
            self._recorder("stage")("over")
            self.records.close()
        duration_s = time.perf_counter() - started
        return self.results.summary() | {"events": self.clock.events, "took_s": round(duration_s, 2)}

    # The engine list.

    def _change_readiness(self, readiness: str, *names: str, started: bool = False) -> None:
        for name in names:
            spec, _, up_since = self.engine_list[name]
            self.engine_list[name] = spec, readiness, self.clock.now if started else up_since
        updates = [self.engine_list[name] for name in names]
        for router in self.routers.values():
            self.clock.call_later(self.list_delay + HOP_DELAY, self._deliver_list, router, updates, False)

    def _deliver_list(self, router: Router, updates: list, whole: bool) -> None:
        if not router.up:
            return
        router.on_engine_list(updates, whole)
        for spec, readiness, up_since in updates if self.records else ():
            self._recorder("list")(
                "told", router=router.name, engine=spec.name, readiness=readiness, started_at=up_since
            )

    # Faults.

    def _start_fault(self, fault: FaultSpec) -> None:
        self._recorder("stage")("trouble", what=fault.what, engines=fault.engines, routers=fault.routers)
        names, duration = self.fleet.select_engines(fault.engines), int(fault.lasts)
        if fault.what in ENGINE_FAULTS:
            for name in names:
                self._inject_fault(name, fault.what, duration, fault.part, fault.times, fault.group)
        elif fault.what == "crash":
            for name in names:
                self._kill_engine(name, duration, cold=True)
        elif fault.what == "vanish":
            for name in names:
                self._inject_fault(name, "silent", duration, 1.0, 1.0, "")
                self.clock.call_later(duration, self._kill_engine, name, 0, True, False)
        elif fault.what == "havoc":
            self._inject_random_faults(names, fault, self.clock.now + duration)
        elif fault.what == "drain":
            self._change_readiness("draining", *names)
            if fault.limit:
                for router in self.routers.values():
                    for name in names:
                        self.clock.call_later(
                            fault.limit, router.give_up_streams, self.engines[name], "drain"
                        )
            self.clock.call_later(duration, self._change_readiness, "ready", *names)
        elif fault.what == "late_list":
            self.list_delay = duration
        elif fault.what.startswith("router"):
            self._kill_next_router(list(fault.routers or self.fleet.routers), duration)
        else:
            self._change_traffic(fault)

    def _inject_fault(
        self, name: str, kind: str, duration: int, probability: float, factor: float, request_class: str
    ) -> None:
        engine = self.engines[name]
        if engine.down:
            return
        engine.inject_fault(kind, Fault(self.clock.now + duration, probability, factor, request_class))
        engine.record("fault", what=kind, lasts=duration, part=probability, times=factor, group=request_class)
        if kind == "silent" and duration > SILENCE_DETECTION_DELAY:
            for router in self.routers.values():
                self.clock.call_later(SILENCE_DETECTION_DELAY, router.give_up_streams, engine, "silent")

    def _kill_engine(self, name: str, duration: int, cold: bool, listed: bool = True) -> None:
        engine = self.engines[name]
        if engine.down:
            return
        self._recorder("stage")("engine_end", name=name, how="SIGKILL")
        engine.kill()
        if listed:
            self._change_readiness("gone", name)
        self.clock.call_later(duration + RESTART_TIME, self._restart_engine, name, cold)

    def _restart_engine(self, name: str, cold: bool) -> None:
        self.engines[name].start(cold)
        self._change_readiness("ready", name, started=cold)

    def _inject_random_faults(self, names: list[str], fault: FaultSpec, until: int) -> None:
        if self.clock.now >= until:
            return
        name, kind = self.rng.choice(names), self.rng.choice(("kill", "silent", "reset", "reset"))
        down = sum(self.engines[each].down for each in names)
        if kind == "kill" and down * 2 < len(names):
            self._kill_engine(name, 0, cold=False)
        elif kind != "kill":
            self._inject_fault(name, kind, round(self.rng.uniform(0.3, 2.5) * 1e6), fault.part, 1.0, "")
        self.clock.call_later(
            self.rng.expovariate(fault.times) * 1e6, self._inject_random_faults, names, fault, until
        )

    def _kill_next_router(self, names: list[str], duration: int) -> None:
        """Kills the routers one after the other, each when the one before it is back."""
        if not names:
            return
        router = self.routers[names[0]]
        if not router.up:  # another fault has already stopped it
            return self._kill_next_router(names[1:], duration)
        self._recorder("stage")("router_killed", name=router.name, address=router.name)
        for pending in router.kill():
            self.clock.call_later(
                HOP_DELAY, pending.client_attempt.on_answer, pending, "router killed", 100_000
            )
        self.clock.call_later(duration + RESTART_TIME, self._restart_router, router, names[1:], duration)
        return None

    def _restart_router(self, router: Router, rest: list[str], duration: int) -> None:
        router.start()
        self._deliver_list(router, list(self.engine_list.values()), True)
        self._kill_next_router(rest, duration)

    def _change_traffic(self, fault: FaultSpec) -> None:
        assert self.fleet.crowd
        change = {
            "burst": TrafficChange(rate_factor=fault.times),
            "flood": TrafficChange(tenant=fault.tenant, tenant_rate=self.fleet.crowd.per_s * fault.times),
            "hot_beginning": TrafficChange(hot_prefix=True, hot_prefix_share=fault.part),
            "long_prompts": TrafficChange(
                long_prompt_class=fault.group, long_prompt_share=fault.part, long_prompt_factor=fault.times
            ),
            "impatient": TrafficChange(impatient_tenant=fault.tenant),
        }[fault.what]
        self.clients.traffic_changes.append(change)
        self.clock.call_later(fault.lasts, self.clients.traffic_changes.remove, change)


def run_and_record(
    fleet: Fleet,
    seed: int,
    router_factory: Callable[..., control.Router] = control.Router,
    overheads: Overheads = DEFAULT_OVERHEADS,
) -> tuple[dict[str, Any], verify.Traffic]:
    """Simulates a scenario; returns its summary and its traffic as the checker of real scenarios reads it."""
    with tempfile.TemporaryDirectory() as directory:
        summary = World(fleet, seed, Path(directory), router_factory, overheads).run()
        return summary, verify.read_records(Path(directory))
