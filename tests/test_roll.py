"""Rolling restarts: the floor, pauses, failures, a tool killed at any point; then the command on real
processes."""

import asyncio
import copy
import json
import random
import signal
import sys

import pytest
from loopback import SCRIPT, body, http, send_raw
from test_fleet import Processes, lifthead

from lifthead.members.roll import EngineStatus, FleetStatus, Plan, Roll, RouterStatus, refusal

SECOND = 1_000_000


class SimulatedFleet:
    """A simulated fleet as the host of a roll; the tool may be killed between any two actions."""

    def __init__(self, plan, engines, routers, rng, kill_probability=0.0):
        self.rng, self.kill_probability, self.plan = rng, kill_probability, plan
        self.engines = {name: EngineStatus(*each) for name, each in engines.items()}
        self.routers = {name: RouterStatus(process_id=1) for name in routers}
        self.cold, self.starts, self.now, self.saved_steps, self.reports = {}, {}, 0, None, []
        self.commands, self.missed, self.lowest_share = [], 0, 1.0
        self.unresponsive = set()  # routers that run and do not answer
        self.roll = Roll(self, plan)

    class KilledError(Exception):
        pass

    def _maybe_kill(self):
        if self.rng.random() < self.kill_probability:
            raise self.KilledError

    def save(self, steps):
        self.saved_steps = copy.deepcopy(steps)
        self._maybe_kill()

    def report(self, text):
        self.reports.append(text)

    def drain(self, step):
        self._maybe_kill()
        if step.router:
            self.routers[step.name].ready = False
        else:
            engine = self.engines[step.name]
            engine.ready, engine.accepts_requests, engine.draining = False, False, True

    def restart(self, step):
        self._maybe_kill()
        if not step.router:
            assert self.engines[step.name].draining and (
                not self.engines[step.name].in_flight or self.plan.limit
            )
        self.starts[step.name] = self.starts.get(step.name, 0) + 1
        self.commands.append((self.now + self.rng.randint(1, 3) * SECOND, step))

    def undrain(self, step):
        self._maybe_kill()
        engine = self.engines[step.name]
        assert engine.reachable
        engine.draining, engine.accepts_requests, engine.ready = False, True, False
        self.cold[step.name] = self.now + 4 * SECOND

    def serving_share(self, role):
        group = [engine for engine in self.engines.values() if (engine.role == "read") == (role == "read")]
        return sum(engine.weight for engine in group if engine.ready) / sum(engine.weight for engine in group)

    def elapse(self):
        self.now += SECOND // 4
        for name, until in list(self.cold.items()):
            if self.now >= until:
                del self.cold[name]
                self.engines[name].ready = True
        for engine in self.engines.values():
            engine.in_flight = (
                self.rng.randint(0, 3) if engine.accepts_requests else max(engine.in_flight - 1, 0)
            )
        for at, step in list(self.commands):
            if at <= self.now:
                self.commands.remove((at, step))
                if step.router:
                    self.routers[step.name] = RouterStatus(process_id=self.routers[step.name].process_id + 1)
                else:
                    self.engines[step.name].reachable = True
                self.roll.on_restarted(step.name, "", self.now)
        self.lowest_share = min(self.lowest_share, self.serving_share("read"), self.serving_share("write"))

    def run(self, turns):
        for _ in range(turns):
            try:
                self.elapse()
                fleet = FleetStatus(self.engines, self.routers, 100, self.missed, self.unresponsive)
                self.roll.advance(fleet, self.now)
            except self.KilledError:
                self.commands.clear()  # the restart commands die with the tool
                self.roll = Roll(self, self.plan, copy.deepcopy(self.saved_steps))
            if self.roll.finished or self.roll.failed:
                return


ENGINES = {
    f"{kind}{zone}{n}": (role, zone, weight)
    for zone in "abc"
    for kind, role, count, weight in (("r", "read", 1, 1.0), ("w", "write", 3, 2.0))
    for n in range(count)
}


@pytest.mark.parametrize("seed", range(40))
def test_a_tool_killed_anywhere_resumes_and_keeps_the_floor(seed):
    rng = random.Random(seed)
    at_once = rng.choice([1, 2, 4])
    plan = Plan(list(ENGINES), ["p", "q"], floor=0.6, at_once=at_once, limit=rng.choice([0, 5 * SECOND]))
    sim = SimulatedFleet(plan, ENGINES, ["p", "q", "s"], rng, kill_probability=rng.choice([0.0, 0.05, 0.2]))
    sim.run(4000)
    assert sim.roll.finished and set(sim.starts) == {*ENGINES, "p", "q"}
    assert sim.lowest_share >= 0.6
    assert all(engine.ready and not engine.draining for engine in sim.engines.values())
    if not sim.kill_probability:
        assert set(sim.starts.values()) == {1}


def test_missed_targets_pause_the_roll_until_few_are_missed():
    sim = SimulatedFleet(Plan(list(ENGINES)[:2], floor=0.5), ENGINES, ["p"], random.Random(1))
    sim.missed = 30
    sim.run(20)
    assert not sim.starts and sim.roll.paused == "targets are missed"
    sim.missed = 8  # below the share that pauses the roll, above half of it
    sim.run(20)
    assert not sim.starts
    sim.missed = 2
    sim.run(400)
    assert sim.roll.finished


@pytest.mark.parametrize(
    ("happens", "why"),
    [
        (lambda sim, step: sim.roll.on_restarted(step.name, "exit 3", sim.now), "exit 3"),
        (lambda sim, step: sim.roll.on_restarted(step.name, "", sim.now), "not back after 60 s"),
    ],
)
def test_an_engine_that_does_not_come_back_fails_the_roll_and_stays_drained(happens, why):
    sim = SimulatedFleet(Plan(["wa0", "wb0"], floor=0.5), ENGINES, ["p"], random.Random(1))
    sim.restart = lambda step: happens(sim, step)
    sim.run(600)
    assert why in sim.roll.failed and sim.engines["wa0"].draining and sim.engines["wb0"].accepts_requests


@pytest.mark.parametrize("stage", ["draining", "warming"])
def test_a_running_router_that_does_not_answer_pauses_the_roll(stage):
    """It may still send requests to the engine, or have it draining, whatever the others report."""
    sim = SimulatedFleet(Plan(["wa0"], floor=0.5), ENGINES, ["p", "q"], random.Random(1))
    while sim.saved_steps is None or sim.saved_steps[0].stage != stage:
        sim.run(1)
    del sim.routers["q"]
    sim.unresponsive = {"q"}
    sim.run(200)
    assert sim.saved_steps[0].stage == stage and "router q does not answer" in sim.roll.paused
    sim.routers["q"], sim.unresponsive = RouterStatus(process_id=1), set()
    sim.run(200)
    assert sim.roll.finished


def test_an_overdue_engine_is_restarted_even_if_a_router_does_not_answer():
    sim = SimulatedFleet(Plan(["wa0"], floor=0.5, limit=5 * SECOND), ENGINES, ["p", "q"], random.Random(1))
    sim.run(1)
    sim.unresponsive = {"q"}
    sim.run(200)
    assert sim.starts == {"wa0": 1}


def test_engines_that_are_not_ready_count_against_the_floor():
    sim = SimulatedFleet(Plan(["wa0"], floor=0.7), ENGINES, ["p"], random.Random(1))
    for name in ("wb0", "wb1"):
        sim.engines[name].ready = False
    sim.run(50)
    assert not sim.starts and "floor is 0.7" in sim.roll.paused
    sim.engines["wb0"].ready = sim.engines["wb1"].ready = True
    sim.run(200)
    assert sim.roll.finished


@pytest.mark.parametrize(
    ("plan", "expected"),
    [
        (Plan(["ra0"], floor=0.7), "0.7"),
        (Plan(["nobody"]), "nobody"),
        (Plan([], ["p"]), "only router"),
        (Plan([], ["x"]), "'x'"),
        (Plan(["ra0"], floor=0.6), ""),
    ],
)
def test_a_plan_that_can_not_be_carried_out_is_refused_at_the_start(plan, expected):
    fleet = FleetStatus({name: EngineStatus(*each) for name, each in ENGINES.items()}, {"p": RouterStatus()})
    assert expected in refusal(plan, fleet) and bool(expected) == bool(refusal(plan, fleet))


def test_a_killed_roll_command_resumes_on_real_processes(tmp_path):
    async def scenario():
        async with Processes(tmp_path, SCRIPT) as local_fleet:
            restart_log = tmp_path / "restarts"
            command = f"echo {{name}} >> {restart_log}; kill -TERM $(cat {tmp_path}/{{name}}.pid); sleep 0.4"

            async def restart_exited():  # the process manager: restarts engines that have exited
                while True:
                    for name, process in list(local_fleet._processes.items()):
                        (tmp_path / f"{name}.pid").write_text(str(process.pid))
                        if process.returncode is not None and name in local_fleet.engines:
                            del local_fleet._processes[name]
                            await local_fleet.start_engine(name, cold=True)
                    await asyncio.sleep(0.05)

            arguments = ["-m", "lifthead.cli", "roll", "kind:writer", "--restart", command, "--floor", "0.4"]
            at, answers = local_fleet.router_address("r"), []

            async def load():
                for number in range(400):
                    sent = http(body(f"{number}", stream=True, max_tokens=8))
                    answers.append(await send_raw(at, sent, within=8))
                    await asyncio.sleep(0.01)

            async with asyncio.TaskGroup() as tasks:
                manager, loader = tasks.create_task(restart_exited()), tasks.create_task(load())
                await asyncio.sleep(0.3)
                tool = await asyncio.create_subprocess_exec(
                    sys.executable, *arguments, "--run", str(tmp_path)
                )
                async with asyncio.timeout(20):
                    while not restart_log.exists():
                        await asyncio.sleep(0.02)
                tool.send_signal(signal.SIGKILL)
                await tool.wait()
                again = await asyncio.to_thread(lifthead, *arguments[2:], "--run", tmp_path)
                assert again.returncode == 2 and "--resume" in again.stderr
                done = await asyncio.to_thread(lifthead, "roll", "--resume", "--run", tmp_path)
                assert done.returncode == 0, done.stderr
                loader.cancel()
                manager.cancel()
            assert set(restart_log.read_text().split()) == {"wr", "wr2"}
            assert answers and all(b"[DONE]" in answer for answer in answers)
            shown = await asyncio.to_thread(lifthead, "engines", "--run", tmp_path, "--json")
            assert {row["readiness"] for row in json.loads(shown.stdout)["r"]} == {"ready"}
            assert not (tmp_path / "roll.json").exists()

    asyncio.run(asyncio.wait_for(scenario(), 90))
