"""Plays a scripted day on real processes: the crowd, and troubles at their times (docs/days.md)."""

import asyncio
import random
import signal
from pathlib import Path
from typing import Any

from lifthead.deployment.fleet import FaultSpec, Fleet
from lifthead.members.roll import Plan, Step
from lifthead.members.rolling import Kept, Place, Rolling
from lifthead.standins import verify
from lifthead.standins.load_generator import LoadChange, LoadGenerator
from lifthead.standins.local_fleet import LocalFleet
from lifthead.standins.record import Record, checker_settings, now
from lifthead.standins.text import filler

AT_ENGINES = ("silent", "slow", "reset", "lost", "full", "flush", "garbage", "link_slow", "overlap")


class Day:
    def __init__(self, fleet: Fleet, script: Path, out: Path, seed: int, serve: tuple[str, ...] = ()) -> None:
        if fleet.crowd is None:
            raise ValueError("no crowd() stands in the script, expected one")
        out.mkdir(parents=True, exist_ok=True)
        for old in (*out.glob("*.jsonl"), *out.glob("*.err"), *out.glob("*.sock")):
            old.unlink()
        self.fleet, self.out = fleet, out
        self.stage = LocalFleet(fleet, script.resolve(), out, seed, serve)
        self.chance = random.Random(seed)
        self.clients = LoadGenerator(fleet, fleet.crowd, seed, Record(out / "clients.jsonl"), self._addresses)

    def _addresses(self) -> list[str]:
        return [self.stage.router_address(name) for name in self.stage.routers]

    async def play(self) -> dict[str, Any]:
        """The whole day; its summary."""
        Record(self.out / "facts.jsonl").put("facts", **checker_settings(self.fleet))
        try:
            await self.stage.start()
            self.stage.record.put("begin")
            async with asyncio.TaskGroup() as tasks:
                crowd = tasks.create_task(self.clients.run())
                troubles = [tasks.create_task(self._trouble(trouble)) for trouble in self.fleet.troubles]
                await crowd
                for trouble in troubles:
                    await trouble
            self.stage.record.put("over")
            codes = await self.stage.stop()
        finally:
            await self.stage.kill_all()
        summary = verify.summarize(self.out)
        unclean = {name: code for name, code in codes.items() if code != 0}
        return summary | ({"exit_codes": unclean} if unclean else {})

    async def _trouble(self, trouble: FaultSpec) -> None:
        await asyncio.sleep(trouble.at / 1e6)
        self.stage.record.put("trouble", what=trouble.what, engines=trouble.engines, routers=trouble.routers)
        engines = self.fleet.select_engines(trouble.engines)
        if trouble.what in AT_ENGINES:
            await asyncio.gather(
                *(
                    self.stage.inject_fault(
                        name, trouble.what, trouble.lasts, trouble.part, trouble.times, trouble.group
                    )
                    for name in engines
                )
            )
        elif trouble.what == "havoc":
            await self._havoc(engines, trouble)
        elif trouble.what in ("crash", "vanish"):
            await asyncio.gather(*(self._down(name, trouble) for name in engines))
        elif trouble.what == "drain":
            await self.stage.publish_readiness("draining", *engines, limit=trouble.limit)
            await asyncio.sleep(trouble.lasts / 1e6)
            await self.stage.publish_readiness("ready", *engines)
        elif trouble.what == "late_list":
            self.stage.list_service.late = trouble.lasts / 1e6
        elif trouble.what == "roll":
            await self._roll(engines, trouble)
        elif trouble.what == "naive_roll":
            for name in (*engines, *trouble.routers):
                await self.stage.restart({"name": name})
                self.stage.record.put("rolled", name=name)
        elif trouble.what.startswith("router"):
            await self._routers(trouble)
        else:
            await self._crowd(trouble)

    async def _down(self, name: str, trouble: FaultSpec) -> None:
        """An engine is killed and comes back cold. `vanish`: it falls silent first, so that nobody is told by
        a reset; what it holds breaks only when it comes back."""
        if trouble.what == "vanish":
            await self.stage.inject_fault(name, "silent", trouble.lasts, 1.0, 1.0, "")
            await asyncio.sleep(trouble.lasts / 1e6)
        await self.stage.stop_process(name, signal.SIGKILL)
        if trouble.what == "crash":
            await self.stage.publish_readiness("gone", name)
            await asyncio.sleep(trouble.lasts / 1e6)
        await self.stage.start_engine(name, cold=True)

    async def _havoc(self, engines: list[str], trouble: FaultSpec) -> None:
        """Some `times` a second, one engine is killed, silenced for a while, or breaks streams."""
        until = now() + trouble.lasts
        async with asyncio.TaskGroup() as tasks:
            down: set[str] = set()
            while now() < until:
                await asyncio.sleep(self.chance.expovariate(trouble.times))
                name = self.chance.choice(sorted(set(engines) - down) or engines)
                what = self.chance.choice(("kill", "silent", "reset", "reset"))
                if what == "kill" and len(down) * 2 < len(engines) and name not in down:
                    down.add(name)
                    tasks.create_task(self._kill(name, down))
                elif what != "kill" and name not in down:
                    lasts = round(self.chance.uniform(0.3, 2.5) * 1e6)
                    await self.stage.inject_fault(name, what, lasts, trouble.part, 1.0, "")

    async def _kill(self, name: str, down: set[str]) -> None:
        await self.stage.stop_process(name, signal.SIGKILL)
        await self.stage.publish_readiness("gone", name)
        await self.stage.start_engine(name, cold=False)
        down.discard(name)

    async def _roll(self, engines: list[str], trouble: FaultSpec) -> None:
        """What `lifthead roll` does; `part` is the floor."""

        async def restart(step: Step) -> str:
            return (await self.stage.restart({"name": step.name})).get("error", "")

        def say(text: str) -> None:
            self.stage.record.put("roll", said=text)

        plan = Plan(
            engines, trouble.routers, floor=trouble.part, limit=int(trouble.limit), pause_over=trouble.times
        )
        with Place(self.out) as place:
            failed = await Rolling(self.out, place, Kept(plan, "", ""), say, restart).run()
        self.stage.record.put("roll", said=failed or "over")

    async def _routers(self, trouble: FaultSpec) -> None:
        how = signal.SIGTERM if trouble.what == "router_stop" else signal.SIGKILL
        for name in trouble.routers or list(self.fleet.routers):
            if name in self.stage.routers:
                await self.stage.stop_process(name, how)
                await asyncio.sleep(trouble.lasts / 1e6)
                await self.stage.start_router(name)

    async def _crowd(self, trouble: FaultSpec) -> None:
        trend = {
            "burst": LoadChange(rate=trouble.times),
            "flood": LoadChange(tenant=trouble.tenant, tenant_rate=self.fleet.crowd.per_s * trouble.times),
            "hot_beginning": LoadChange(beginning=filler(self.chance, 2500), beginning_part=trouble.part),
            "long_prompts": LoadChange(
                long_group=trouble.group, long_part=trouble.part, long_times=trouble.times
            ),
            "impatient": LoadChange(impatient=trouble.tenant),
        }[trouble.what]
        self.clients.trends.append(trend)
        await asyncio.sleep(trouble.lasts / 1e6)
        self.clients.trends.remove(trend)


async def run_scenario(
    fleet: Fleet, script: Path, out: Path, seed: int, serve: tuple[str, ...] = ()
) -> dict[str, Any]:
    started, task = now(), asyncio.current_task()
    if task:  # a day that is stopped takes its processes along
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    summary = await Day(fleet, script, out, seed, serve).play()
    return summary | {"took_s": round((now() - started) / 1e6, 1)}
