"""A randomized soak of real router and stand-in engine processes, with faults drawn from a seed.

A run passes if the routers log no invariant violation, no process crashes and the checker finds no breach in
the recorded traffic.
`python -m lifthead.standins.faults.soak --seeds 50` runs seeds 1 to 50; each can be repeated by itself.
"""

import argparse
import asyncio
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from lifthead.standins.faults.checker import Breach, find_breaches
from lifthead.standins.faults.clients import PersistentClient, hold_idle_connections, send_request
from lifthead.standins.faults.fleet import Fleet
from lifthead.standins.faults.lateness import LatenessMonitor, RunResult
from lifthead.standins.faults.schedule import (
    IDLE_CONNECTIONS,
    SETTLE_TIME,
    Action,
    Conditions,
    Schedule,
    ScheduledFault,
    ScheduledRequest,
    draw_schedule,
)

DRAIN_TIME = 1.5  # seconds for which an engine is draining before it is gone
VIOLATION_EVENT = "invariant_violated"
RUN_TIMEOUT = 120.0  # seconds for one run
RESULT_FILE = "result.json"


@dataclass(slots=True)
class Result(RunResult):
    """The result of the run of one seed."""

    seed: int
    processes: int
    troubles: Counter[str]
    outcomes: Counter[str]
    conditions: Conditions
    late_ms: int = 0  # the longest time for which the harness itself was held up
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
        if self.inconclusive:
            verdict = f"inconclusive (the harness was {self.late_ms} ms late; {verdict})"
        lines = [f"seed {self.seed} {verdict}: {self.processes} processes; {faults}; {outcomes}"]
        lines.append(f"  {self.conditions}")
        lines += [f"  rule {each.rule} {each.request}: {each.why}" for each in self.breaches]
        return "\n".join([*lines, *(f"  {line}" for line in self.violations + self.crashes)])


async def run_schedule(schedule: Schedule, path: Path, source: Path) -> Result:
    """Runs this schedule once; records and logs go to `path`."""
    path.mkdir(parents=True, exist_ok=True)
    conditions = schedule.conditions
    fleet = Fleet(
        path, schedule.size, schedule.seed, source, slow_share=conditions.slow_share,
        deadline=conditions.deadline, sees_close_after=conditions.sees_close_after,
        takes_up_after=conditions.takes_up_after, sockets=conditions.sockets,
        misbehaves=conditions.misbehaves, spoils=conditions.spoils,
    )  # fmt: skip
    persistent_clients: dict[tuple[str, int], PersistentClient] = {}
    async with fleet, LatenessMonitor() as lateness:
        started_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as tasks:
            sent = [
                tasks.create_task(_send_scheduled(fleet, scheduled, started_at, persistent_clients))
                for scheduled in schedule.requests
            ]
            for fault in schedule.faults:
                tasks.create_task(_apply_fault(fleet, fault, started_at, conditions))
        await asyncio.sleep(SETTLE_TIME)
    result = Result(
        seed=schedule.seed,
        processes=schedule.size.processes,
        troubles=Counter(fault.kind for fault in schedule.faults),
        outcomes=Counter(task.result() for task in sent),
        conditions=conditions,
        late_ms=lateness.longest_ms,
    )
    _evaluate(fleet, result)
    return result


def _evaluate(fleet: Fleet, result: Result) -> None:
    lines = fleet.records()
    result.breaches = find_breaches(lines)
    # The platform may end a slow stop by SIGKILL; the checker judges the requests that it leaves unanswered.
    abnormal_exits = [
        line for line in lines if line["ev"] == "exited" and line["code"] not in (0, -signal.SIGKILL)
    ]
    result.crashes = [f"{line['name']} exited with {line['code']}" for line in abnormal_exits]
    for router in fleet.routers:
        log = (fleet.path / f"{router}.log").read_text(errors="replace").splitlines()
        # The log of the event ring repeats violations that are logged already.
        violations = [line for line in log if VIOLATION_EVENT in line and " ring " not in line]
        result.violations += [f"{router}: {line}" for line in violations]
        result.crashes += [f"{router}: {line}" for line in log if "Traceback" in line]


async def _sleep_until(at: float, started_at: float) -> None:
    await asyncio.sleep(started_at + at - asyncio.get_running_loop().time())


async def _send_scheduled(
    fleet: Fleet,
    scheduled: ScheduledRequest,
    started_at: float,
    persistent_clients: dict[tuple[str, int], PersistentClient],
) -> str:
    await _sleep_until(scheduled.at, started_at)
    if scheduled.persistent_client >= 0:
        key = scheduled.router, scheduled.persistent_client
        client = persistent_clients.setdefault(
            key, PersistentClient(scheduled.router, fleet.routers[scheduled.router], fleet.record)
        )
        return await client.send(scheduled.request)
    return await send_request(
        scheduled.router, fleet.routers[scheduled.router], scheduled.request, fleet.record
    )


async def _apply_fault(
    fleet: Fleet, fault: ScheduledFault, started_at: float, conditions: Conditions
) -> None:
    await _sleep_until(fault.at, started_at)
    if fault.action in (Action.NETWORK, Action.DISCOVERY):
        assert fault.fault
        await fleet.set_fault(fault.fault, list(fault.engines), True, list(fault.routers))
        await asyncio.sleep(fault.duration)
        await fleet.set_fault(fault.fault, list(fault.engines), False, list(fault.routers))
    elif fault.action is Action.STOP_ENGINE:
        await _suspend(fleet, fault.engines[0], fault.duration)
    elif fault.action is Action.STALL_ROUTER:
        await _suspend(fleet, fault.routers[0], fault.duration)
    elif fault.action is Action.RELOAD_ROUTER:
        fleet.send_signal(fault.routers[0], signal.SIGHUP)
    elif fault.action in (Action.RESTART_ROUTER, Action.KILL_ROUTER, Action.SIGNALS):
        await _restart_router(fleet, fault, conditions)
    elif fault.action is Action.IDLE_CONNECTIONS:
        await hold_idle_connections(fleet.routers[fault.routers[0]], IDLE_CONNECTIONS, fault.duration)
    else:
        await _replace_engine(fleet, fault)


async def _suspend(fleet: Fleet, name: str, duration: float) -> None:
    fleet.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(duration)
    fleet.send_signal(name, signal.SIGCONT)


async def _restart_router(fleet: Fleet, fault: ScheduledFault, conditions: Conditions) -> None:
    name = fault.routers[0]
    async with fleet.restarting(name):
        if fault.action is Action.KILL_ROUTER:
            await fleet.kill(name)
        elif fault.action is Action.SIGNALS:
            fleet.send_signal(name, signal.SIGHUP)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(fleet.stop_router(name, conditions.sigkill_after))
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                    await asyncio.sleep(fault.duration / 10)
                    fleet.send_signal(name, number)
        else:
            await fleet.stop_router(name, conditions.sigkill_after)
        await fleet.start_router(name)


async def _replace_engine(fleet: Fleet, fault: ScheduledFault) -> None:
    """Drains or kills an engine, keeps it away for a while and starts it again with an empty cache."""
    name = fault.engines[0]
    async with fleet.restarting(name):
        if fault.action is Action.DRAIN_ENGINE:
            fleet.update_state(name, "draining")
            await asyncio.sleep(DRAIN_TIME)
        await fleet.kill(name)
        fleet.update_state(name, "gone")
        await asyncio.sleep(fault.duration)
        await fleet.start_engine(name)
        fleet.update_state(name, "ready", restarted=True)


async def soak(seeds: list[int], path: Path, source: Path, at_once: int, duration: float) -> list[Result]:
    """Runs these seeds, each in a process with file descriptors of its own, and prints each result."""
    slots = asyncio.Semaphore(at_once)

    async def run_seed(seed: int) -> Result:
        async with slots:
            directory = path / f"seed-{seed}"
            command = [
                sys.executable, "-B", "-m", "lifthead.standins.faults.soak", "--one", "--first", str(seed),
                "--out", str(directory), "--source", str(source), "--seconds", str(duration),
            ]  # fmt: skip
            process = await asyncio.create_subprocess_exec(*command)
            await process.wait()
            result = (
                _read_result(directory) if process.returncode == 0 else _unfinished_result(seed, duration)
            )
            print(result, flush=True)
            return result

    return await asyncio.gather(*map(run_seed, seeds))


def _unfinished_result(seed: int, duration: float) -> Result:
    """Returns the result of a run that did not finish."""
    schedule = draw_schedule(seed, duration)
    result = Result(seed, schedule.size.processes, Counter(), Counter(), schedule.conditions)
    result.crashes.append("the run did not finish")
    return result


async def _run_one(seed: int, directory: Path, source: Path, duration: float) -> None:
    """Runs one seed and writes its result to a file."""
    async with asyncio.timeout(RUN_TIMEOUT):
        result = await run_schedule(draw_schedule(seed, duration), directory, source)
    (directory / RESULT_FILE).write_bytes(msgspec.json.encode(result))


def _read_result(directory: Path) -> Result:
    fields = msgspec.json.decode((directory / RESULT_FILE).read_bytes())
    fields["troubles"], fields["outcomes"] = Counter(fields["troubles"]), Counter(fields["outcomes"])
    fields["conditions"] = Conditions(**fields["conditions"])
    fields["breaches"] = [Breach(**each) for each in fields["breaches"]]
    return Result(**fields)


def summary(results: list[Result]) -> str:
    """Returns a text block with the totals over all seeds."""
    troubles: Counter[str] = sum((result.troubles for result in results), Counter())
    outcomes: Counter[str] = sum((result.outcomes for result in results), Counter())
    inconclusive = [result.seed for result in results if result.inconclusive]
    failed = [result.seed for result in results if not result.passed and not result.inconclusive]
    crashes = sum(len(result.crashes) for result in results)
    return (
        f"{len(results)} seeds, {sum(result.processes for result in results)} processes, "
        f"{sum(troubles.values())} faults, {sum(outcomes.values())} requests\n"
        f"faults: {dict(sorted(troubles.items()))}\nrequests: {dict(sorted(outcomes.items()))}\n"
        f"breaches {sum(len(result.breaches) for result in results)}, "
        f"violations {sum(len(result.violations) for result in results)}, "
        f"crashes {crashes}; failed seeds: {failed}, inconclusive: {inconclusive}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description="Randomized fault soak of real router processes.")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--at-once", type=int, default=2, help="runs in parallel")
    parser.add_argument("--seconds", type=float, default=8.0, help="length of a run")
    parser.add_argument("--out", type=Path, help="where records and logs are kept")
    parser.add_argument("--source", type=Path, default=Path.cwd(), help="checkout whose router is run")
    parser.add_argument(
        "--one", action="store_true", help="run the first seed in this process and write a result file"
    )
    arguments = parser.parse_args()
    out = arguments.out or Path(tempfile.mkdtemp(prefix="fault-soak-"))
    if arguments.one:
        return asyncio.run(_run_one(arguments.first, out, arguments.source.resolve(), arguments.seconds))
    seeds = list(range(arguments.first, arguments.first + arguments.seeds))
    results = asyncio.run(soak(seeds, out, arguments.source.resolve(), arguments.at_once, arguments.seconds))
    print(summary(results), f"records: {out}", sep="\n")
    sys.exit(not all(result.passed and not result.inconclusive for result in results))


if __name__ == "__main__":
    main()
