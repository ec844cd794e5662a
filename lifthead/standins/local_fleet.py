"""Runs the processes of a test fleet on loopback: the list service, stand-in engines and routers.

The system chooses the ports. Processes are signalled by their own process IDs only.
"""

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

START_TIMEOUT_S = 60.0


class LocalFleet:
    """One fleet's processes, from `start` to `stop`.

    `serve` is the command of a router, to which its options are added. A benchmark may give another command
    to measure another program in the same fleet.
    """

    def __init__(self, fleet: Fleet, script: Path, out: Path, seed: int, serve: Sequence[str] = ()) -> None:
        self.fleet, self.script, self.out, self.seed = fleet, script, out, seed
        self.record = Record(out / "stage.jsonl")
        self.list_service = ListService(Record(out / "list.jsonl"))
        # By name, the line that the process printed at its start. A router that is down is absent.
        self.routers: dict[str, dict[str, Any]] = {}
        self.engines: dict[str, dict[str, Any]] = {}
        self._router_command = list(serve) or [sys.executable, "-m", "lifthead.cli", "serve"]
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._list_server: asyncio.Server | None = None
        self.list_url = ""
        self.engine_file: Path | None = None  # routers that start read this file instead of the pushed list
        self._start_count = 0

    async def start(self) -> None:
        self._list_server = await asyncio.start_server(self.list_service.handle_connection, "127.0.0.1", 0)
        self.list_url = "http://{}:{}/v1/engines".format(*self._list_server.sockets[0].getsockname()[:2])
        await asyncio.gather(*(self.start_engine(name, cold=False) for name in self.fleet.engines))
        await asyncio.gather(*(self.start_router(name) for name in self.fleet.routers))

    async def _start_process(self, name: str, command: Sequence[str]) -> dict[str, Any]:
        """Starts a process and returns the line that it prints when it is ready."""
        errors = open(self.out / f"{name}.err", "ab")  # noqa: SIM115 - closed below, the child has its own copy
        process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, stderr=errors, stdin=asyncio.subprocess.DEVNULL
        )
        errors.close()
        self._processes[name] = process
        assert process.stdout
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await process.stdout.readline()
        if not line:
            raise RuntimeError(f"{name} did not start: see {self.out / name}.err")
        return msgspec.json.decode(line)

    async def start_engine(self, name: str, cold: bool) -> None:
        """Starts an engine, at its old address if it had one, and lists it as ready."""
        spec = self.fleet.engines[name]
        address = self.engines[name]["address"] if name in self.engines else spec.address
        self._start_count += 1
        ready_line = await self._start_process(
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
                str(self.seed * 1000 + self._start_count),
                *(["--cold"] if cold else []),
            ],
        )
        self.engines[name] = ready_line
        await self.list_service.change(self._list_entry(name, "ready", time.time_ns() // 1000 if cold else 0))

    def _list_entry(self, name: str, readiness: str, started_at: int | None = None) -> dict[str, Any]:
        spec = self.fleet.engines[name]
        listed = self.list_service.entries.get(name, {})
        return {
            "name": name,
            "address": self.engines[name]["address"],
            "zone": spec.zone,
            "cell": spec.cell,
            "kind": spec.kind,
            "weight": spec.weight,
            "readiness": readiness,
            "started_at": listed.get("started_at", 0) if started_at is None else started_at,
        }

    async def publish_readiness(self, readiness: str, *names: str, limit: int = 0) -> None:
        """Lists engines as `ready`, `draining` or `gone`.

        `limit` is the time in microseconds until a drain's deadline, 0 for none.
        """
        drains_by = time.time_ns() // 1000 + limit if limit else 0
        await self.list_service.change(
            *(self._list_entry(name, readiness) | {"drains_by": drains_by} for name in names)
        )

    def router_address(self, router: str) -> str:
        """The address at which a running router listens for clients."""
        return self.routers[router]["base_url"].split("/")[2]

    async def inject_fault(
        self, name: str, kind: str, duration: int, probability: float, factor: float, request_class: str
    ) -> None:
        body = msgspec.json.encode(
            {
                "what": kind,
                "lasts": int(duration),
                "part": probability,
                "times": factor,
                "group": request_class,
            }
        )
        with contextlib.suppress(OSError, TimeoutError):
            await wire.call(self.engines[name]["address"], "POST", "/standin/fault", body)

    async def start_router(self, name: str) -> None:
        source = ["--engines", str(self.engine_file)] if self.engine_file else ["--list", self.list_url]
        ready_line = await self._start_process(
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
                str(self.seed * 1000 + self._start_count + 1),
            ],
        )
        self._start_count += 1
        self.record.put("router_up", name=name, address=ready_line["base_url"].split("/")[2])
        await self._wait_until_ready(ready_line["health"])
        self.routers[name] = ready_line

    async def _wait_until_ready(self, address: str) -> None:
        for _ in range(600):
            with contextlib.suppress(OSError, TimeoutError):
                if (await wire.call(address, "GET", "/ready"))[0] == 200:
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"the router at {address} did not become ready")

    async def stop_process(self, name: str, signal_number: signal.Signals) -> int:
        """Signals a process, waits for its exit and returns its exit code."""
        process = self._processes.pop(name)
        if name in self.routers:
            address = self.router_address(name)
            del self.routers[name]
            self.record.put(
                "router_killed" if signal_number is signal.SIGKILL else "router_stop",
                name=name,
                address=address,
            )
        else:
            self.record.put("engine_end", name=name, how=signal_number.name)
        if process.returncode is None:
            process.send_signal(signal_number)
        exit_code = await process.wait()
        self.record.put("exited", name=name, code=exit_code)
        return exit_code

    async def restart(self, command: dict[str, Any]) -> dict[str, Any]:
        """Restarts an engine, cold, or a router. Its state is lost."""
        name = str(command.get("name"))
        if name not in self._processes:
            return {"error": f"expected one of {sorted(self._processes)}, got {name!r}"}
        await self.stop_process(name, signal.SIGTERM)
        await (self.start_engine(name, cold=True) if name in self.fleet.engines else self.start_router(name))
        return {}

    async def stop(self) -> dict[str, int]:
        """Stops the routers, then the engines. Returns exit codes by name."""
        exit_codes = {}
        for names in (list(self.routers), [name for name in self._processes if name not in self.routers]):
            for name, exit_code in zip(
                names,
                await asyncio.gather(*(self.stop_process(name, signal.SIGTERM) for name in names)),
                strict=True,
            ):
                exit_codes[name] = exit_code
        if self._list_server:
            self._list_server.close()
        return exit_codes

    async def kill_all(self) -> None:
        """Kills all processes that still run."""
        for name in list(self._processes):
            await self.stop_process(name, signal.SIGKILL)

    def describe(self) -> dict[str, Any]:
        """The line that `lifthead up --json` prints."""
        return {
            "routers": [
                {
                    "name": name,
                    "base_url": ready_line["base_url"],
                    "admin": ready_line["admin"],
                    "pid": ready_line["pid"],
                }
                for name, ready_line in self.routers.items()
            ],
            "models": [model for group in self.fleet.groups.values() for model in group.models],
            "api_keys": {tenant.name: tenant.keys[0] for tenant in self.fleet.tenants.values()},
            "engines": [dict(ready_line) for ready_line in self.engines.values()],
        }
