"""Runs a scripted scenario on real processes: a load, and faults at their times (docs/days.md)."""

import asyncio
import random
import signal
from pathlib import Path
from typing import Any

from lifthead.deployment.fleet import FaultSpec, Fleet
from lifthead.members.roll import Plan, Step
from lifthead.members.rolling import RollFile, RollRunner, SavedRoll
from lifthead.standins import verify
from lifthead.standins.load_generator import LoadChange, LoadGenerator
from lifthead.standins.local_fleet import LocalFleet
from lifthead.standins.record import Record, checker_settings, now
from lifthead.standins.text import filler

ENGINE_FAULTS = ("silent", "slow", "reset", "lost", "full", "flush", "garbage", "link_slow", "overlap")


class Scenario:
    """One run of a scripted scenario."""

    def __init__(self, fleet: Fleet, script: Path, out: Path, seed: int, serve: tuple[str, ...] = ()) -> None:
        if fleet.crowd is None:
            raise ValueError("expected a crowd() call in the script, found none")
        out.mkdir(parents=True, exist_ok=True)
        for old in (*out.glob("*.jsonl"), *out.glob("*.err"), *out.glob("*.sock")):
            old.unlink()
        self.fleet, self.out = fleet, out
        self.test_fleet = LocalFleet(fleet, script.resolve(), out, seed, serve)
        self.rng = random.Random(seed)
        self.load_generator = LoadGenerator(
            fleet, fleet.crowd, seed, Record(out / "clients.jsonl"), self._router_addresses
        )

    def _router_addresses(self) -> list[str]:
        return [self.test_fleet.router_address(name) for name in self.test_fleet.routers]

    async def run(self) -> dict[str, Any]:
        """Runs the whole scenario and returns its summary."""
        Record(self.out / "facts.jsonl").put("facts", **checker_settings(self.fleet))
        try:
            await self.test_fleet.start()
            self.test_fleet.record.put("begin")
            async with asyncio.TaskGroup() as tasks:
                load = tasks.create_task(self.load_generator.run())
                faults = [tasks.create_task(self._inject(fault)) for fault in self.fleet.troubles]
                await load
                for fault in faults:
                    await fault
            self.test_fleet.record.put("over")
            exit_codes = await self.test_fleet.stop()
        finally:
            await self.test_fleet.kill_all()
        summary = verify.summarize(self.out)
        failed = {name: code for name, code in exit_codes.items() if code != 0}
        return summary | ({"exit_codes": failed} if failed else {})

    async def _inject(self, fault: FaultSpec) -> None:
        """Waits for the time of a fault and injects it."""
        await asyncio.sleep(fault.at / 1e6)
        self.test_fleet.record.put("trouble", what=fault.what, engines=fault.engines, routers=fault.routers)
        engines = self.fleet.select_engines(fault.engines)
        if fault.what in ENGINE_FAULTS:
            await asyncio.gather(
                *(
                    self.test_fleet.inject_fault(
                        name, fault.what, fault.lasts, fault.part, fault.times, fault.group
                    )
                    for name in engines
                )
            )
        elif fault.what == "havoc":
            await self._inject_randomly(engines, fault)
        elif fault.what in ("crash", "vanish"):
            await asyncio.gather(*(self._crash_engine(name, fault) for name in engines))
        elif fault.what == "drain":
            await self.test_fleet.publish_readiness("draining", *engines, limit=fault.limit)
            await asyncio.sleep(fault.lasts / 1e6)
            await self.test_fleet.publish_readiness("ready", *engines)
        elif fault.what == "late_list":
            self.test_fleet.list_service.delay = fault.lasts / 1e6
        elif fault.what == "roll":
            await self._roll_fleet(engines, fault)
        elif fault.what == "naive_roll":
            for name in (*engines, *fault.routers):
                await self.test_fleet.restart({"name": name})
                self.test_fleet.record.put("rolled", name=name)
        elif fault.what.startswith("router"):
            await self._restart_routers(fault)
        else:
            await self._change_load(fault)

    async def _crash_engine(self, name: str, fault: FaultSpec) -> None:
        """Kills an engine and starts it again, cold.

        With `vanish` it falls silent first, so that no reset tells its peers: its connections break only when
        it comes back.
        """
        if fault.what == "vanish":
            await self.test_fleet.inject_fault(name, "silent", fault.lasts, 1.0, 1.0, "")
            await asyncio.sleep(fault.lasts / 1e6)
        await self.test_fleet.stop_process(name, signal.SIGKILL)
        if fault.what == "crash":
            await self.test_fleet.publish_readiness("gone", name)
            await asyncio.sleep(fault.lasts / 1e6)
        await self.test_fleet.start_engine(name, cold=True)

    async def _inject_randomly(self, engines: list[str], fault: FaultSpec) -> None:
        """About `times` times a second, kills an engine, silences it for a while, or resets its streams."""
        ends_at = now() + fault.lasts
        async with asyncio.TaskGroup() as tasks:
            down: set[str] = set()
            while now() < ends_at:
                await asyncio.sleep(self.rng.expovariate(fault.times))
                name = self.rng.choice(sorted(set(engines) - down) or engines)
                kind = self.rng.choice(("kill", "silent", "reset", "reset"))
                if kind == "kill" and len(down) * 2 < len(engines) and name not in down:
                    down.add(name)
                    tasks.create_task(self._kill_and_restart_engine(name, down))
                elif kind != "kill" and name not in down:
                    lasts = round(self.rng.uniform(0.3, 2.5) * 1e6)
                    await self.test_fleet.inject_fault(name, kind, lasts, fault.part, 1.0, "")

    async def _kill_and_restart_engine(self, name: str, down: set[str]) -> None:
        await self.test_fleet.stop_process(name, signal.SIGKILL)
        await self.test_fleet.publish_readiness("gone", name)
        await self.test_fleet.start_engine(name, cold=False)
        down.discard(name)

    async def _roll_fleet(self, engines: list[str], fault: FaultSpec) -> None:
        """Does what `lifthead roll` does. `part` is the share of each role's weight that stays in service."""

        async def restart(step: Step) -> str:
            return (await self.test_fleet.restart({"name": step.name})).get("error", "")

        def record_step(text: str) -> None:
            self.test_fleet.record.put("roll", said=text)

        plan = Plan(engines, fault.routers, floor=fault.part, limit=int(fault.limit), pause_over=fault.times)
        with RollFile(self.out) as place:
            failed = await RollRunner(self.out, place, SavedRoll(plan, "", ""), record_step, restart).run()
        self.test_fleet.record.put("roll", said=failed or "over")

    async def _restart_routers(self, fault: FaultSpec) -> None:
        signal_number = signal.SIGTERM if fault.what == "router_stop" else signal.SIGKILL
        for name in fault.routers or list(self.fleet.routers):
            if name in self.test_fleet.routers:
                await self.test_fleet.stop_process(name, signal_number)
                await asyncio.sleep(fault.lasts / 1e6)
                await self.test_fleet.start_router(name)

    async def _change_load(self, fault: FaultSpec) -> None:
        """Applies a change of the load and takes it back when the fault is over."""
        change = {
            "burst": LoadChange(rate_factor=fault.times),
            "flood": LoadChange(
                flooding_tenant=fault.tenant, flood_rate=self.fleet.crowd.per_s * fault.times
            ),
            "hot_beginning": LoadChange(hot_prefix=filler(self.rng, 2500), hot_prefix_share=fault.part),
            "long_prompts": LoadChange(
                long_class=fault.group, long_share=fault.part, long_factor=fault.times
            ),
            "impatient": LoadChange(impatient_tenant=fault.tenant),
        }[fault.what]
        self.load_generator.changes.append(change)
        await asyncio.sleep(fault.lasts / 1e6)
        self.load_generator.changes.remove(change)


async def run_scenario(
    fleet: Fleet, script: Path, out: Path, seed: int, serve: tuple[str, ...] = ()
) -> dict[str, Any]:
    started_at, task = now(), asyncio.current_task()
    if task:  # a scenario that is stopped ends its processes too
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    summary = await Scenario(fleet, script, out, seed, serve).run()
    return summary | {"took_s": round((now() - started_at) / 1e6, 1)}
