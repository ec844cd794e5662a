"""A rolling restart of twelve engines and three routers under load, compared with a naive one and with none.

`python -m benchmarks.rolls [SEED ...]`: examples/roll.star on real processes, about 100 s each. The naive
restart stops and starts the same engines and routers one after the other, undrained, as fast as they
come back.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from lifthead.deployment import script
from lifthead.standins import day

SCRIPT = Path(__file__).parents[1] / "examples" / "roll.star"
RESTARTS = {"none": "", "naive": 'trouble("naive_roll"', "lifthead roll": 'trouble("roll"'}
PRINTED_FIELDS = (
    "reqs",
    "done",
    "pushed_back",
    "aborted",
    "router_killed",
    "unanswered",
    "first_p99_ms",
    "service",
    "breaches",
)


def main(seeds: list[int]) -> None:
    text = SCRIPT.read_text()
    for seed in seeds:
        for restart, fault in RESTARTS.items():
            head, _, tail = text.partition('trouble("roll"')
            with tempfile.TemporaryDirectory() as directory:
                file = Path(directory) / "roll.star"
                file.write_text(head + (fault + tail if fault else ""))
                summary = asyncio.run(
                    day.run_scenario(script.read(file), file, Path(directory) / "out", seed)
                )
            print(
                f"seed {seed}, {restart}: " + ", ".join(f"{key} {summary[key]}" for key in PRINTED_FIELDS),
                flush=True,
            )


if __name__ == "__main__":
    main([int(argument) for argument in sys.argv[1:]] or [1])
