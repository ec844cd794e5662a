"""How soon engines that a file no longer names get nothing new, on the sockets.

`python -m benchmarks.removal`: 3 routers and 24 engines on real processes under 150 reqs a second; the
watched file loses 4 engines, six times over, and gets them back. Prints how long after each change the last
forward reached one of them.
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
ROUNDS, HOLD = 6, 1.5


def fleet_text() -> str:
    head, _, _ = FLEET.read_text().partition('trouble("roll"')
    return (
        head.replace("range(3)", "range(7)").replace("per_s = 40", "per_s = 150").replace('"100s"', '"24s"')
    )


async def play(directory: Path) -> list[float]:
    file, watched = directory / "fleet.star", directory / "engines.star"
    file.write_text(fleet_text())
    fleet = script.read(file)
    serve = [sys.executable, "-m", "lifthead.cli", "serve", "--engines", str(watched)]
    stage, changes = LocalFleet(fleet, file, directory, 1, serve), []

    def put(names: list[str]) -> None:
        rows = [
            f'engine("{name}", zone = "{spec.zone}", cell = {spec.cell}, kind = "{spec.kind}", '
            f'address = "{stage.engines[name]["address"]}")'
            for name, spec in fleet.engines.items()
            if name in names
        ]
        part = directory / "part"
        part.write_text("\n".join([*rows, f"total({len(rows)})", ""]))
        os.replace(part, watched)

    start_router = stage.start_router

    async def with_file(name: str) -> None:
        put(list(fleet.engines))
        await start_router(name)

    stage.start_router = with_file
    try:
        await stage.start()
        addresses = [stage.router_address(name) for name in stage.routers]
        clients = LoadGenerator(fleet, fleet.crowd, 1, Record(directory / "clients.jsonl"), lambda: addresses)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(clients.run())
            await asyncio.sleep(3)
            for turn in range(ROUNDS):
                gone = [f"write-{cell}-{turn}" for cell in range(3)] + [f"write-0-{(turn + 1) % 7}"]
                changes.append((time.monotonic_ns() // 1000, gone))
                put([name for name in fleet.engines if name not in gone])
                await asyncio.sleep(HOLD)
                put(list(fleet.engines))
                await asyncio.sleep(HOLD)
    finally:
        await stage.kill_all()
    last = []
    for at, gone in changes:
        sent = [
            line["t"] - at
            for name in gone
            for line in lines(directory / f"engine-{name}.jsonl")
            if line["ev"] == "forward" and at < line["t"] < at + HOLD * 1e6
        ]
        last.append(max(sent, default=0) / 1000)
    return last


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as where:
        found = asyncio.run(play(Path(where)))
    print("last forward to a removed engine, ms after each change:", ", ".join(f"{ms:.0f}" for ms in found))
