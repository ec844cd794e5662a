"""How soon engines removed from the watched engines file get no more attempts.

`python -m benchmarks.removal`: 3 routers and 24 engines as real processes under 150 requests a second. Six
times the watched file loses 4 engines and gets them back. Prints how long after each removal the last attempt
reached one of them.
"""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

from lifthead.deployment import script
from lifthead.standins.load_generator import LoadGenerator
from lifthead.standins.local_fleet import LocalFleet
from lifthead.standins.record import Record, lines

FLEET = Path(__file__).parents[1] / "examples" / "roll.star"
ROUNDS, HOLD = 6, 1.5  # HOLD in seconds


def fleet_text() -> str:
    head, _, _ = FLEET.read_text().partition('trouble("roll"')
    return (
        head.replace("range(3)", "range(7)").replace("per_s = 40", "per_s = 150").replace('"100s"', '"24s"')
    )


async def measure(directory: Path) -> list[float]:
    file, watched_file = directory / "fleet.star", directory / "engines.star"
    file.write_text(fleet_text())
    fleet = script.read(file)
    serve = [sys.executable, "-m", "lifthead.cli", "serve", "--engines", str(watched_file)]
    local_fleet, removals = LocalFleet(fleet, file, directory, 1, serve), []

    def write_engines_file(names: list[str]) -> None:
        rows = [
            f'engine("{name}", zone = "{spec.zone}", cell = {spec.cell}, kind = "{spec.kind}", '
            f'address = "{local_fleet.engines[name]["address"]}")'
            for name, spec in fleet.engines.items()
            if name in names
        ]
        temporary = directory / "part"
        temporary.write_text("\n".join([*rows, f"total({len(rows)})", ""]))
        os.replace(temporary, watched_file)

    start_router = local_fleet.start_router

    async def start_router_with_file(name: str) -> None:
        write_engines_file(list(fleet.engines))
        await start_router(name)

    local_fleet.start_router = start_router_with_file
    try:
        await local_fleet.start()
        addresses = [local_fleet.router_address(name) for name in local_fleet.routers]
        clients = LoadGenerator(fleet, fleet.crowd, 1, Record(directory / "clients.jsonl"), lambda: addresses)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(clients.run())
            await asyncio.sleep(3)
            for number in range(ROUNDS):
                removed = [f"write-{cell}-{number}" for cell in range(3)] + [f"write-0-{(number + 1) % 7}"]
                removals.append((time.monotonic_ns() // 1000, removed))
                write_engines_file([name for name in fleet.engines if name not in removed])
                await asyncio.sleep(HOLD)
                write_engines_file(list(fleet.engines))
                await asyncio.sleep(HOLD)
    finally:
        await local_fleet.kill_all()
    delays_ms = []
    for removed_at, removed in removals:
        attempt_delays = [
            line["t"] - removed_at
            for name in removed
            for line in lines(directory / f"engine-{name}.jsonl")
            if line["ev"] == "forward" and removed_at < line["t"] < removed_at + HOLD * 1e6
        ]
        delays_ms.append(max(attempt_delays, default=0) / 1000)
    return delays_ms


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as directory:
        delays_ms = asyncio.run(measure(Path(directory)))
    print(
        "last attempt at a removed engine, ms after each removal:", ", ".join(f"{ms:.0f}" for ms in delays_ms)
    )
