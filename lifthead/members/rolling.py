"""The I/O of a rolling restart: queries routers, runs restart commands, stores the progress. Decides
nothing."""

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

POLL_INTERVAL_S = 0.25
ADMIN_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5

Restart = Callable[[Step], Awaitable[str]]


def wall_clock() -> int:
    return time.time_ns() // 1000


class SavedRoll(msgspec.Struct):
    """A roll as it is stored in roll.json."""

    plan: Plan
    command: str
    router_command: str
    steps: list[Step] = []


class RollBusyError(Exception):
    """Another tool is rolling this fleet, or an earlier roll is not finished."""


class RollFile:
    """The stored roll, locked by one tool at a time."""

    def __init__(self, run: Path) -> None:
        self.path = run / "roll.json"
        self._lock = os.open(run / "roll.lock", os.O_CREAT | os.O_RDWR, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise RollBusyError("another `lifthead roll` is running here") from None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        os.close(self._lock)

    def read(self) -> SavedRoll | None:
        try:
            return msgspec.json.decode(self.path.read_bytes(), type=SavedRoll)
        except FileNotFoundError:
            return None

    def write(self, saved: SavedRoll) -> None:
        replace_file(self.path, msgspec.json.encode(saved), sync=True)

    def forget(self) -> None:
        self.path.unlink(missing_ok=True)


async def run_command(command: str, step: Step, timeout_s: float) -> str:
    """Runs an operator's command for one engine or router; returns why it failed, "" if it succeeded."""
    process = await asyncio.create_subprocess_shell(
        command.format(name=shlex.quote(step.name)),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(timeout_s):
            _, stderr = await process.communicate()
    except TimeoutError:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        return f"the restart command took over {timeout_s:.0f} s"
    if process.returncode == 0:
        return ""
    last_line = stderr.decode(errors="replace").strip().splitlines()[-1:] or ["no output"]
    return f"the restart command exited with {process.returncode}: {last_line[0]}"


class FleetObserver:
    """Combines what the routers of a run directory report of the fleet."""

    def __init__(self, run: Path) -> None:
        self._run = run
        self.labels: dict[str, set[tuple[str, str]]] = {}  # an engine's zone, cell and kind
        self._addresses: dict[str, str] = {}

    async def observe(self, returning: Collection[str] = ()) -> FleetStatus:
        """The combined views of all routers: an engine is ready if all of them say so, and its attempts in
        flight are added up. Engines that return are probed for whether they accept connections."""
        paths = admin.socket_paths(self._run)
        states, views = await asyncio.gather(
            admin.ask_all(paths, {"ask": "state"}, ADMIN_TIMEOUT_S),
            admin.ask_all(paths, {"ask": "engines"}, ADMIN_TIMEOUT_S),
        )
        fleet = FleetStatus({}, {})
        unanswered = {name for name in paths if states[name] is None or views[name] is None}
        fleet.unresponsive = {name for name in unanswered if admin.is_listening(paths[name])}
        for name, state in states.items():
            if state:
                fleet.routers[name] = RouterStatus(state["ready"], state["reqs"], state["pid"])
                fleet.answers += state["lately"]["ended"]
                fleet.missed += state["lately"]["missed"]
        for rows in views.values():
            for row in rows or ():
                engine = fleet.engines.setdefault(
                    row["name"],
                    EngineStatus(row["role"], row["zone"], row["weight"], ready=True, accepts_requests=False),
                )
                is_ready = row["readiness"] == "ready"
                engine.ready = engine.ready and is_ready and not row["cold"] and not row["suspect"]
                engine.accepts_requests, engine.in_flight = (
                    engine.accepts_requests or is_ready,
                    engine.in_flight + row["out"],
                )
                engine.draining = engine.draining or row["readiness"] == "draining"
                self._addresses[row["name"]] = row["address"]
                self.labels[row["name"]] = {(key, str(row[key])) for key in ("zone", "cell", "kind")}
        for name in returning:
            if name in fleet.engines:
                fleet.engines[name].reachable = await self._accepts_connections(name)
        return fleet

    async def _accepts_connections(self, name: str) -> bool:
        host, _, port = self._addresses[name].rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return True
        return False


class RollRunner:
    """Carries a roll out until it is finished or has failed."""

    def __init__(self, run: Path, file: RollFile, saved: SavedRoll, report: Callable[[str], None],
                 restart: Restart | None = None) -> None:  # fmt: skip
        self._run, self._file, self._saved = run, file, saved
        self.report = report
        self._restart_command = restart or self._run_restart_command
        self._observer = FleetObserver(run)
        self._commands: list[tuple[str, dict[str, Any]]] = []  # a router, "" for all, and the admin command
        self._tasks: set[asyncio.Task] = set()
        self.roll = Roll(self, saved.plan, saved.steps)

    async def _run_restart_command(self, step: Step) -> str:
        command = self._saved.router_command if step.router else self._saved.command
        return await run_command(command, step, self._saved.plan.back_within / 1e6)

    # The host's side of the roll.

    def save(self, steps: list[Step]) -> None:
        self._saved.steps = steps
        self._file.write(self._saved)

    def drain(self, step: Step) -> None:
        if step.router:
            self._commands.append((step.name, {"ask": "drain"}))
        else:
            limit = self._saved.plan.limit
            command = {"ask": "drain engines", "selector": step.name, "limit": limit, "force": True}
            self._commands.append(("", command))

    def undrain(self, step: Step) -> None:
        command = {"ask": "drain engines", "selector": step.name, "undo": True, "started_at": step.since}
        self._commands.append(("", command))

    def restart(self, step: Step) -> None:
        task = asyncio.get_running_loop().create_task(self._restart(step))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, step: Step) -> None:
        self.roll.on_restarted(step.name, await self._restart_command(step), wall_clock())

    async def run(self) -> str:
        """Runs until every step is done, then returns "", or until the roll can't go on, then returns why.
        Waits for restart commands that are still running."""
        while not self.roll.finished and not self.roll.failed:
            returning = [step.name for step in self.roll.steps if step.stage == "returning"]
            self.roll.advance(await self._observer.observe(returning), wall_clock())
            commands, self._commands = self._commands, []
            for router, command in commands:
                paths = admin.socket_paths(self._run)
                targets = {name: path for name, path in paths.items() if router in ("", name)}
                await admin.ask_all(targets, command, ADMIN_TIMEOUT_S)
            await asyncio.sleep(POLL_INTERVAL_S)
        if self._tasks:
            await asyncio.wait(self._tasks)
        if self.roll.finished:
            self._file.forget()
        return self.roll.failed
