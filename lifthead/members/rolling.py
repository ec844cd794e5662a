"""The tool side of a roll: asks routers, runs restart commands, keeps how far it is. Decides nothing."""

import asyncio
import contextlib
import fcntl
import os
import shlex
import time
from collections.abc import Awaitable, Callable, Collection
from pathlib import Path
from typing import Any, Self

import msgspec

from lifthead.fleet import admin
from lifthead.members.roll import EngineStatus, FleetStatus, Plan, Roll, RouterStatus, Step
from lifthead.members.store import replace_file

LOOK_EVERY = 0.25  # seconds
ANSWER_WITHIN = 2.0
UP_WITHIN = 0.5

Restart = Callable[[Step], Awaitable[str]]


def wall() -> int:
    return time.time_ns() // 1000


class SavedRoll(msgspec.Struct):
    """A roll on the disk."""

    plan: Plan
    command: str
    router_command: str
    steps: list[Step] = []


class RollBusyError(Exception):
    """Another tool is rolling this fleet, or a roll was begun and is not over."""


class RollFile:
    """The roll's file, held by one tool at a time."""

    def __init__(self, run: Path) -> None:
        self.path = run / "roll.json"
        self._lock = os.open(run / "roll.lock", os.O_CREAT | os.O_RDWR, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise RollBusyError("another `lifthead roll` is at work here") from None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        os.close(self._lock)

    def read(self) -> SavedRoll | None:
        try:
            return msgspec.json.decode(self.path.read_bytes(), type=SavedRoll)
        except FileNotFoundError:
            return None

    def write(self, kept: SavedRoll) -> None:
        replace_file(self.path, msgspec.json.encode(kept), sync=True)

    def forget(self) -> None:
        self.path.unlink(missing_ok=True)


async def shell(command: str, step: Step, within: float) -> str:
    """Runs an operator's command for one engine or router; why it failed, "" if it did not."""
    process = await asyncio.create_subprocess_shell(
        command.format(name=shlex.quote(step.name)),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(within):
            _, said = await process.communicate()
    except TimeoutError:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        return f"the restart's command took over {within:.0f} s"
    if process.returncode == 0:
        return ""
    told = said.decode(errors="replace").strip().splitlines()[-1:] or ["no word"]
    return f"the restart's command ended with {process.returncode}: {told[0]}"


class FleetObserver:
    """What the routers of a run directory tell of the fleet."""

    def __init__(self, run: Path) -> None:
        self._run = run
        self.labels: dict[str, set[tuple[str, str]]] = {}  # an engine's zone, cell and kind
        self._addresses: dict[str, str] = {}

    async def observe(self, returning: Collection[str] = ()) -> FleetStatus:
        """All routers' views together: ready where all say so, what is out at any of them. Whether engines
        take connections is looked at for those that return."""
        paths = admin.sockets(self._run)
        states, views = await asyncio.gather(
            admin.ask_all(paths, {"ask": "state"}, ANSWER_WITHIN),
            admin.ask_all(paths, {"ask": "engines"}, ANSWER_WITHIN),
        )
        found = FleetStatus({}, {})
        unanswered = {name for name in paths if states[name] is None or views[name] is None}
        found.silent = {name for name in unanswered if admin.listens(paths[name])}
        for name, state in states.items():
            if state:
                found.routers[name] = RouterStatus(state["ready"], state["reqs"], state["pid"])
                found.ended += state["lately"]["ended"]
                found.missed += state["lately"]["missed"]
        for rows in views.values():
            for row in rows or ():
                seen = found.engines.setdefault(
                    row["name"], EngineStatus(row["role"], row["zone"], row["weight"], ready=True, open=False)
                )
                well = row["readiness"] == "ready"
                seen.ready = seen.ready and well and not row["cold"] and not row["suspect"]
                seen.open, seen.out = seen.open or well, seen.out + row["out"]
                seen.drained = seen.drained or row["readiness"] == "draining"
                self._addresses[row["name"]] = row["address"]
                self.labels[row["name"]] = {(key, str(row[key])) for key in ("zone", "cell", "kind")}
        for name in returning:
            if name in found.engines:
                found.engines[name].up = await self._up(name)
        return found

    async def _up(self, name: str) -> bool:
        host, _, port = self._addresses[name].rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(UP_WITHIN):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return True
        return False


class RollRunner:
    """Carries a roll out until it is over or has failed."""

    def __init__(self, run: Path, place: RollFile, kept: SavedRoll, report: Callable[[str], None],
                 restart: Restart | None = None) -> None:  # fmt: skip
        self._run, self._place, self._kept = run, place, kept
        self.report = report
        self._command = restart or self._shell
        self._observer = FleetObserver(run)
        self._asks: list[tuple[str, dict[str, Any]]] = []  # a router, "" for all, and what it is asked
        self._tasks: set[asyncio.Task] = set()
        self.roll = Roll(self, kept.plan, kept.steps)

    async def _shell(self, step: Step) -> str:
        command = self._kept.router_command if step.router else self._kept.command
        return await shell(command, step, self._kept.plan.back_within / 1e6)

    # What the roll does.

    def save(self, steps: list[Step]) -> None:
        self._kept.steps = steps
        self._place.write(self._kept)

    def drain(self, step: Step) -> None:
        if step.router:
            self._asks.append((step.name, {"ask": "drain"}))
        else:
            limit = self._kept.plan.limit
            question = {"ask": "drain engines", "selector": step.name, "limit": limit, "force": True}
            self._asks.append(("", question))

    def undrain(self, step: Step) -> None:
        question = {"ask": "drain engines", "selector": step.name, "undo": True, "started_at": step.since}
        self._asks.append(("", question))

    def restart(self, step: Step) -> None:
        task = asyncio.get_running_loop().create_task(self._restart(step))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, step: Step) -> None:
        self.roll.on_restarted(step.name, await self._command(step), wall())

    async def run(self) -> str:
        """Until all is done, "", or it can't go on: why. Commands under way are waited for."""
        while not self.roll.finished and not self.roll.failed:
            returning = [step.name for step in self.roll.steps if step.stage == "returning"]
            self.roll.advance(await self._observer.observe(returning), wall())
            asks, self._asks = self._asks, []
            for to, question in asks:
                paths = admin.sockets(self._run)
                asked = {name: path for name, path in paths.items() if to in ("", name)}
                await admin.ask_all(asked, question, ANSWER_WITHIN)
            await asyncio.sleep(LOOK_EVERY)
        if self._tasks:
            await asyncio.wait(self._tasks)
        if self.roll.finished:
            self._place.forget()
        return self.roll.failed
