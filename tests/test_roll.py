"""Rolls: the floor, pauses, failures, a tool that is killed anywhere; then the command on real processes."""

import asyncio
import copy
import json
import random
import signal
import sys

import pytest
from loopback import SCRIPT, body, http, send_raw
from test_fleet import Processes, lifthead

from lifthead.members.roll import EngineSeen, Facts, Plan, Roll, RouterSeen, refusal

SECOND = 1_000_000


class World:
    """A simulated fleet that a roll acts on; the tool may be killed between any two acts."""

    def __init__(self, plan, engines, routers, chance, kills=0.0):
        self.chance, self.kills, self.plan = chance, kills, plan
        self.seen = {name: EngineSeen(*each) for name, each in engines.items()}
        self.routers = {name: RouterSeen(life=1) for name in routers}
        self.cold, self.starts, self.now, self.kept, self.said = {}, {}, 0, None, []
        self.commands, self.missed, self.least = [], 0, 1.0
        self.silent = set()  # routers that run and do not answer
        self.roll = Roll(self, plan)

    class KilledError(Exception):
        pass

    def _may_die(self):
        if self.chance.random() < self.kills:
            raise self.KilledError

    def keep(self, steps):
        self.kept = copy.deepcopy(steps)
        self._may_die()

    def say(self, text):
        self.said.append(text)

    def drain(self, step):
        self._may_die()
        if step.router:
            self.routers[step.name].ready = False
        else:
            seen = self.seen[step.name]
            seen.ready, seen.open, seen.drained = False, False, True

    def restart(self, step):
        self._may_die()
        if not step.router:
            assert self.seen[step.name].drained and (not self.seen[step.name].out or self.plan.limit)
        self.starts[step.name] = self.starts.get(step.name, 0) + 1
        self.commands.append((self.now + self.chance.randint(1, 3) * SECOND, step))

    def release(self, step):
        self._may_die()
        seen = self.seen[step.name]
        assert seen.up
        seen.drained, seen.open, seen.ready = False, True, False
        self.cold[step.name] = self.now + 4 * SECOND

    def serving(self, role):
        group = [seen for seen in self.seen.values() if (seen.role == "read") == (role == "read")]
        return sum(seen.weight for seen in group if seen.ready) / sum(seen.weight for seen in group)

    def pass_time(self):
        self.now += SECOND // 4
        for name, until in list(self.cold.items()):
            if self.now >= until:
                del self.cold[name]
                self.seen[name].ready = True
        for seen in self.seen.values():
            seen.out = self.chance.randint(0, 3) if seen.open else max(seen.out - 1, 0)
        for at, step in list(self.commands):
            if at <= self.now:
                self.commands.remove((at, step))
                if step.router:
                    self.routers[step.name] = RouterSeen(life=self.routers[step.name].life + 1)
                else:
                    self.seen[step.name].up = True
                self.roll.on_restarted(step.name, "", self.now)
        self.least = min(self.least, self.serving("read"), self.serving("write"))

    def play(self, turns):
        for _ in range(turns):
            try:
                self.pass_time()
                facts = Facts(self.seen, self.routers, 100, self.missed, self.silent)
                self.roll.look(facts, self.now)
            except self.KilledError:
                self.commands.clear()  # its commands die with it
                self.roll = Roll(self, self.plan, copy.deepcopy(self.kept))
            if self.roll.over or self.roll.failed:
                return


ZONES = {
    f"{kind}{zone}{n}": (role, zone, weight)
    for zone in "abc"
    for kind, role, count, weight in (("r", "read", 1, 1.0), ("w", "write", 3, 2.0))
    for n in range(count)
}


@pytest.mark.parametrize("seed", range(40))
def test_a_tool_killed_anywhere_goes_on_and_the_floor_is_kept(seed):
    chance = random.Random(seed)
    at_once = chance.choice([1, 2, 4])
    plan = Plan(list(ZONES), ["p", "q"], floor=0.6, at_once=at_once, limit=chance.choice([0, 5 * SECOND]))
    world = World(plan, ZONES, ["p", "q", "s"], chance, kills=chance.choice([0.0, 0.05, 0.2]))
    world.play(4000)
    assert world.roll.over and set(world.starts) == {*ZONES, "p", "q"}
    assert world.least >= 0.6
    assert all(seen.ready and not seen.drained for seen in world.seen.values())
    if not world.kills:
        assert set(world.starts.values()) == {1}


def test_missed_targets_pause_it_until_they_are_well_below():
    world = World(Plan(list(ZONES)[:2], floor=0.5), ZONES, ["p"], random.Random(1))
    world.missed = 30
    world.play(20)
    assert not world.starts and world.roll.paused == "targets are missed"
    world.missed = 8  # under the share that pauses it, over half of that
    world.play(20)
    assert not world.starts
    world.missed = 2
    world.play(400)
    assert world.roll.over


@pytest.mark.parametrize(
    ("happens", "why"),
    [
        (lambda world, step: world.roll.on_restarted(step.name, "exit 3", world.now), "exit 3"),
        (lambda world, step: world.roll.on_restarted(step.name, "", world.now), "not back after 60 s"),
    ],
)
def test_an_engine_that_does_not_come_back_ends_the_roll_and_stays_drained(happens, why):
    world = World(Plan(["wa0", "wb0"], floor=0.5), ZONES, ["p"], random.Random(1))
    world.restart = lambda step: happens(world, step)
    world.play(600)
    assert why in world.roll.failed and world.seen["wa0"].drained and world.seen["wb0"].open


@pytest.mark.parametrize("stage", ["draining", "warming"])
def test_a_router_that_runs_and_does_not_answer_holds_the_roll(stage):
    """It may still send to the engine, or hold it drained, whatever the others say."""
    world = World(Plan(["wa0"], floor=0.5), ZONES, ["p", "q"], random.Random(1))
    while world.kept is None or world.kept[0].stage != stage:
        world.play(1)
    del world.routers["q"]
    world.silent = {"q"}
    world.play(200)
    assert world.kept[0].stage == stage and "router q does not answer" in world.roll.paused
    world.routers["q"], world.silent = RouterSeen(life=1), set()
    world.play(200)
    assert world.roll.over


def test_an_overdue_engine_is_restarted_though_a_router_does_not_answer():
    world = World(Plan(["wa0"], floor=0.5, limit=5 * SECOND), ZONES, ["p", "q"], random.Random(1))
    world.play(1)
    world.silent = {"q"}
    world.play(200)
    assert world.starts == {"wa0": 1}


def test_engines_that_are_ill_count_against_the_floor():
    world = World(Plan(["wa0"], floor=0.7), ZONES, ["p"], random.Random(1))
    for name in ("wb0", "wb1"):
        world.seen[name].ready = False
    world.play(50)
    assert not world.starts and "floor is 0.7" in world.roll.paused
    world.seen["wb0"].ready = world.seen["wb1"].ready = True
    world.play(200)
    assert world.roll.over


@pytest.mark.parametrize(
    ("plan", "word"),
    [
        (Plan(["ra0"], floor=0.7), "0.7"),
        (Plan(["nobody"]), "nobody"),
        (Plan([], ["p"]), "only router"),
        (Plan([], ["x"]), "'x'"),
        (Plan(["ra0"], floor=0.6), ""),
    ],
)
def test_what_can_not_be_done_is_said_before_it_begins(plan, word):
    facts = Facts({name: EngineSeen(*each) for name, each in ZONES.items()}, {"p": RouterSeen()})
    assert word in refusal(plan, facts) and bool(word) == bool(refusal(plan, facts))


def test_the_command_survives_its_own_kill_on_real_processes(tmp_path):
    async def play():
        async with Processes(tmp_path, SCRIPT) as stage:
            desk = tmp_path / "restarts"
            command = f"echo {{name}} >> {desk}; kill -TERM $(cat {tmp_path}/{{name}}.pid); sleep 0.4"

            async def keep_up():  # stands for the process manager: brings back what has ended
                while True:
                    for name, process in list(stage._processes.items()):
                        (tmp_path / f"{name}.pid").write_text(str(process.pid))
                        if process.returncode is not None and name in stage.engines:
                            del stage._processes[name]
                            await stage.start_engine(name, cold=True)
                    await asyncio.sleep(0.05)

            words = ["-m", "lifthead.cli", "roll", "kind:writer", "--restart", command, "--floor", "0.4"]
            at, answers = stage.router_address("r"), []

            async def load():
                for number in range(400):
                    sent = http(body(f"{number}", stream=True, max_tokens=8))
                    answers.append(await send_raw(at, sent, within=8))
                    await asyncio.sleep(0.01)

            async with asyncio.TaskGroup() as tasks:
                keeper, loader = tasks.create_task(keep_up()), tasks.create_task(load())
                await asyncio.sleep(0.3)
                tool = await asyncio.create_subprocess_exec(sys.executable, *words, "--run", str(tmp_path))
                async with asyncio.timeout(20):
                    while not desk.exists():
                        await asyncio.sleep(0.02)
                tool.send_signal(signal.SIGKILL)
                await tool.wait()
                again = await asyncio.to_thread(lifthead, *words[2:], "--run", tmp_path)
                assert again.returncode == 2 and "--resume" in again.stderr
                done = await asyncio.to_thread(lifthead, "roll", "--resume", "--run", tmp_path)
                assert done.returncode == 0, done.stderr
                loader.cancel()
                keeper.cancel()
            assert set(desk.read_text().split()) == {"wr", "wr2"}
            assert answers and all(b"[DONE]" in answer for answer in answers)
            said = await asyncio.to_thread(lifthead, "engines", "--run", tmp_path, "--json")
            assert {row["readiness"] for row in json.loads(said.stdout)["r"]} == {"ready"}
            assert not (tmp_path / "roll.json").exists()

    asyncio.run(asyncio.wait_for(play(), 90))
