"""Sets up a fleet's processes on loopback: the pushed list, stand-in engines, routers. Ports come from the
system; processes are ended by their own ids only."""

import asyncio
import contextlib
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from lifthead.deployment.fleet import Fleet
from lifthead.standins import wire
from lifthead.standins.listing import ListService
from lifthead.standins.record import Record

START_WITHIN = 60.0


class LocalFleet:
    """One fleet's processes, from `start` to `close`. `serve` is a router's command, to which its options are
    added; another one can be given to measure something else on the same stage."""

    def __init__(self, fleet: Fleet, script: Path, out: Path, seed: int, serve: Sequence[str] = ()) -> None:
        self.fleet, self.script, self.out, self.seed = fleet, script, out, seed
        self.record = Record(out / "stage.jsonl")
        self.list_service = ListService(Record(out / "list.jsonl"))
        self.routers: dict[str, dict[str, Any]] = {}  # what each said of itself; left out while it is down
        self.engines: dict[str, dict[str, Any]] = {}
        self._router_command = list(serve) or [sys.executable, "-m", "lifthead.cli", "serve"]
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._list_server: asyncio.Server | None = None
        self.list_url = ""
        self.engine_file: Path | None = None  # routers that start go by this file, not by the pushed list
        self._starts = 0

    async def start(self) -> None:
        self._list_server = await asyncio.start_server(self.list_service.handle_connection, "127.0.0.1", 0)
        self.list_url = "http://{}:{}/v1/engines".format(*self._list_server.sockets[0].getsockname()[:2])
        await asyncio.gather(*(self.start_engine(name, cold=False) for name in self.fleet.engines))
        await asyncio.gather(*(self.start_router(name) for name in self.fleet.routers))

    async def _start_process(self, name: str, command: Sequence[str]) -> dict[str, Any]:
        """Starts a process and returns the line in which it says that it is ready."""
        errors = open(self.out / f"{name}.err", "ab")  # noqa: SIM115 - closed below, the child keeps its own
        process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, stderr=errors, stdin=asyncio.subprocess.DEVNULL
        )
        errors.close()
        self._processes[name] = process
        assert process.stdout
        async with asyncio.timeout(START_WITHIN):
            line = await process.stdout.readline()
        if not line:
            raise RuntimeError(f"{name} did not start: see {self.out / name}.err")
        return msgspec.json.decode(line)

    async def start_engine(self, name: str, cold: bool) -> None:
        """Starts an engine, at its old address if it had one, and has the list say so."""
        spec = self.fleet.engines[name]
        address = self.engines[name]["address"] if name in self.engines else spec.address
        self._starts += 1
        said = await self._start_process(
            name,
            [
                sys.executable,
                "-m",
                "lifthead.cli",
                "engine",
                str(self.script),
                name,
                "--address",
                address,
                "--record",
                str(self.out / f"engine-{name}.jsonl"),
                "--seed",
                str(self.seed * 1000 + self._starts),
                *(["--cold"] if cold else []),
            ],
        )
        self.engines[name] = said
        await self.list_service.change(self._entry(name, "ready", time.time_ns() // 1000 if cold else 0))

    def _entry(self, name: str, readiness: str, started_at: int | None = None) -> dict[str, Any]:
        spec = self.fleet.engines[name]
        known = self.list_service.entries.get(name, {})
        return {
            "name": name,
            "address": self.engines[name]["address"],
            "zone": spec.zone,
            "cell": spec.cell,
            "kind": spec.kind,
            "weight": spec.weight,
            "readiness": readiness,
            "started_at": known.get("started_at", 0) if started_at is None else started_at,
        }

    async def publish_readiness(self, readiness: str, *names: str, limit: int = 0) -> None:
        """The list's news of engines: `ready`, `draining` (within `limit` microseconds, if any) or `gone`."""
        by = time.time_ns() // 1000 + limit if limit else 0
        await self.list_service.change(*(self._entry(name, readiness) | {"drains_by": by} for name in names))

    def router_address(self, router: str) -> str:
        """Where a running router listens."""
        return self.routers[router]["base_url"].split("/")[2]

    async def inject_fault(
        self, name: str, what: str, lasts: int, part: float, times: float, group: str
    ) -> None:
        said = msgspec.json.encode(
            {"what": what, "lasts": int(lasts), "part": part, "times": times, "group": group}
        )
        with contextlib.suppress(OSError, TimeoutError):
            await wire.call(self.engines[name]["address"], "POST", "/standin/fault", said)

    async def start_router(self, name: str) -> None:
        source = ["--engines", str(self.engine_file)] if self.engine_file else ["--list", self.list_url]
        said = await self._start_process(
            name,
            [
                *self._router_command,
                str(self.script),
                "--router",
                name,
                *source,
                "--run",
                str(self.out),
                "--log",
                str(self.out / f"log-{name}.jsonl"),
                "--seed",
                str(self.seed * 1000 + self._starts + 1),
            ],
        )
        self._starts += 1
        self.record.put("router_up", name=name, address=said["base_url"].split("/")[2])
        await self._ready(said["health"])
        self.routers[name] = said

    async def _ready(self, address: str) -> None:
        for _ in range(600):
            with contextlib.suppress(OSError, TimeoutError):
                if (await wire.call(address, "GET", "/ready"))[0] == 200:
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"the router at {address} did not get ready")

    async def stop_process(self, name: str, how: signal.Signals) -> int:
        """Signals a process and waits for its exit; returns its exit code."""
        process = self._processes.pop(name)
        if name in self.routers:
            address = self.router_address(name)
            del self.routers[name]
            self.record.put(
                "router_killed" if how is signal.SIGKILL else "router_stop", name=name, address=address
            )
        else:
            self.record.put("engine_end", name=name, how=how.name)
        if process.returncode is None:
            process.send_signal(how)
        code = await process.wait()
        self.record.put("exited", name=name, code=code)
        return code

    async def restart(self, question: dict[str, Any]) -> dict[str, Any]:
        """Stops an engine or a router and starts it again, an engine cold; what it had is lost."""
        name = str(question.get("name"))
        if name not in self._processes:
            return {"error": f"expected one of {sorted(self._processes)}, got {name!r}"}
        await self.stop_process(name, signal.SIGTERM)
        await (self.start_engine(name, cold=True) if name in self.fleet.engines else self.start_router(name))
        return {}

    async def stop(self) -> dict[str, int]:
        """Stops the routers, then the engines; exit codes by name."""
        codes = {}
        for names in (list(self.routers), [name for name in self._processes if name not in self.routers]):
            for name, code in zip(
                names,
                await asyncio.gather(*(self.stop_process(name, signal.SIGTERM) for name in names)),
                strict=True,
            ):
                codes[name] = code
        if self._list_server:
            self._list_server.close()
        return codes

    async def kill_all(self) -> None:
        """Ends whatever still runs."""
        for name in list(self._processes):
            await self.stop_process(name, signal.SIGKILL)

    def describe(self) -> dict[str, Any]:
        """What `lifthead up --json` prints."""
        return {
            "routers": [
                {"name": name, "base_url": said["base_url"], "admin": said["admin"], "pid": said["pid"]}
                for name, said in self.routers.items()
            ],
            "models": [model for group in self.fleet.groups.values() for model in group.models],
            "api_keys": {tenant.name: tenant.keys[0] for tenant in self.fleet.tenants.values()},
            "engines": [dict(said) for said in self.engines.values()],
        }
