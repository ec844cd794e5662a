"""A randomized fault soak: real routers and stand-in engines as processes, and faults drawn from a seed.

Two oracles judge it: the routers' own invariants, as they log them, and the checker of the recorded traffic.
`python -m lifthead.standins.faults.soak --seeds 50` plays seeds 1 to 50; each can be played again by itself.
"""

import argparse
import asyncio
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from lifthead.standins.faults.checker import Breach, breaches
from lifthead.standins.faults.clients import ask
from lifthead.standins.faults.fleet import Fleet
from lifthead.standins.faults.schedule import SETTLES, Action, Schedule, Timed, Trouble, draw

STOP_WITHIN = 6.0  # seconds: the longest budget and 0.7 s more
DRAINS_FOR = 1.5  # seconds before a draining engine is gone
VIOLATION = "invariant_violated"


@dataclass(slots=True)
class Result:
    """What one seed showed."""

    seed: int
    processes: int
    troubles: Counter[str]
    outcomes: Counter[str]
    breaches: list[Breach] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        return not (self.breaches or self.violations or self.crashes)

    def __str__(self) -> str:
        faults = " ".join(f"{kind}={count}" for kind, count in sorted(self.troubles.items()))
        outcomes = " ".join(f"{kind}={count}" for kind, count in sorted(self.outcomes.items()))
        verdict = "passed" if self.passed else "FAILED"
        lines = [f"seed {self.seed} {verdict}: {self.processes} processes; {faults}; {outcomes}"]
        lines += [f"  rule {each.rule} {each.request}: {each.why}" for each in self.breaches]
        return "\n".join([*lines, *(f"  {line}" for line in self.violations + self.crashes)])


async def play(schedule: Schedule, path: Path, source: Path) -> Result:
    """One run of this schedule; records and logs go to `path`."""
    fleet = Fleet(path, schedule.size, schedule.seed, source)
    async with fleet:
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.TaskGroup() as tasks:
            asked = [tasks.create_task(_ask(fleet, timed, began)) for timed in schedule.requests]
            for trouble in schedule.troubles:
                tasks.create_task(_meet(fleet, trouble, began))
        await asyncio.sleep(SETTLES)
    result = Result(
        seed=schedule.seed,
        processes=schedule.size.processes,
        troubles=Counter(trouble.kind for trouble in schedule.troubles),
        outcomes=Counter(task.result() for task in asked),
    )
    _judge(fleet, result)
    return result


def _judge(fleet: Fleet, result: Result) -> None:
    lines = fleet.records()
    result.breaches = breaches(lines)
    exits = [line for line in lines if line["ev"] == "exited" and line["code"]]
    result.crashes = [f"{line['name']} exited with {line['code']}" for line in exits]
    for router in fleet.routers:
        log = (fleet.path / f"{router}.log").read_text(errors="replace").splitlines()
        broken = [line for line in log if VIOLATION in line and " ring " not in line]
        result.violations += [f"{router}: {line}" for line in broken]
        result.crashes += [f"{router}: {line}" for line in log if "Traceback" in line]


async def _until(at: float, began: float) -> None:
    await asyncio.sleep(began + at - asyncio.get_running_loop().time())


async def _ask(fleet: Fleet, timed: Timed, began: float) -> str:
    await _until(timed.at, began)
    return await ask(timed.router, fleet.routers[timed.router], timed.request, fleet.record)


async def _meet(fleet: Fleet, trouble: Trouble, began: float) -> None:
    await _until(trouble.at, began)
    if trouble.action in (Action.NETWORK, Action.DISCOVERY):
        assert trouble.fault
        await fleet.fault(trouble.fault, list(trouble.engines), True, list(trouble.routers))
        await asyncio.sleep(trouble.lasts)
        await fleet.fault(trouble.fault, list(trouble.engines), False, list(trouble.routers))
    elif trouble.action is Action.STOP_ENGINE:
        await _pause(fleet, trouble.engines[0], trouble.lasts)
    elif trouble.action is Action.STALL_ROUTER:
        await _pause(fleet, trouble.routers[0], trouble.lasts)
    elif trouble.action is Action.RELOAD_ROUTER:
        fleet.send_signal(trouble.routers[0], signal.SIGHUP)
    elif trouble.action in (Action.RESTART_ROUTER, Action.KILL_ROUTER):
        await _restart(fleet, trouble)
    else:
        await _replace(fleet, trouble)


async def _pause(fleet: Fleet, name: str, lasts: float) -> None:
    fleet.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(lasts)
    fleet.send_signal(name, signal.SIGCONT)


async def _restart(fleet: Fleet, trouble: Trouble) -> None:
    name = trouble.routers[0]
    async with fleet.changing(name):
        if trouble.action is Action.KILL_ROUTER:
            await fleet.kill(name)
        else:
            await fleet.stop_router(name, STOP_WITHIN)
        await fleet.start_router(name)


async def _replace(fleet: Fleet, trouble: Trouble) -> None:
    """An engine drains or is killed, is gone for a while, and comes back cold."""
    name = trouble.engines[0]
    async with fleet.changing(name):
        if trouble.action is Action.DRAIN_ENGINE:
            fleet.relist(name, "draining")
            await asyncio.sleep(DRAINS_FOR)
        await fleet.kill(name)
        fleet.relist(name, "gone")
        await asyncio.sleep(trouble.lasts)
        await fleet.start_engine(name)
        fleet.relist(name, "ready", started=True)


async def soak(seeds: list[int], path: Path, source: Path, at_once: int, lasts: float) -> list[Result]:
    """Plays these seeds and prints what each showed."""
    free = asyncio.Semaphore(at_once)

    async def one(seed: int) -> Result:
        async with free:
            place = path / f"seed-{seed}"
            place.mkdir(parents=True)
            result = await play(draw(seed, lasts), place, source)
            print(result, flush=True)
            return result

    return await asyncio.gather(*map(one, seeds))


def summary(results: list[Result]) -> str:
    """Counts over all seeds, in one block."""
    troubles: Counter[str] = sum((result.troubles for result in results), Counter())
    outcomes: Counter[str] = sum((result.outcomes for result in results), Counter())
    failed = [result.seed for result in results if not result.passed]
    return (
        f"{len(results)} seeds, {sum(result.processes for result in results)} processes, "
        f"{sum(troubles.values())} faults, {sum(outcomes.values())} requests\n"
        f"faults: {dict(sorted(troubles.items()))}\nrequests: {dict(sorted(outcomes.items()))}\n"
        f"breaches {sum(len(result.breaches) for result in results)}, "
        f"violations {sum(len(result.violations) for result in results)}, "
        f"crashes {sum(len(result.crashes) for result in results)}; failed seeds: {failed}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description="Randomized fault soak of real router processes.")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--at-once", type=int, default=2, help="runs side by side")
    parser.add_argument("--seconds", type=float, default=8.0, help="length of a run")
    parser.add_argument("--out", type=Path, help="where records and logs are kept")
    parser.add_argument("--source", type=Path, default=Path.cwd(), help="checkout whose router is run")
    told = parser.parse_args()
    out = told.out or Path(tempfile.mkdtemp(prefix="fault-soak-"))
    seeds = list(range(told.first, told.first + told.seeds))
    results = asyncio.run(soak(seeds, out, told.source.resolve(), told.at_once, told.seconds))
    print(summary(results), f"records: {out}", sep="\n")
    sys.exit(not all(result.passed for result in results))


if __name__ == "__main__":
    main()
