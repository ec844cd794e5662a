"""A rolling restart of twelve engines and three routers under load, beside a naive one and none at all.

`python -m benchmarks.rolls [SEED ...]`: examples/roll.star on real processes, some 100 s each. Naive: the
same engines and routers are stopped and started one after the other, undrained, as fast as they come back.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from lifthead.deployment import script
from lifthead.standins import day

FILE = Path(__file__).parents[1] / "examples" / "roll.star"
WAYS = {"none": "", "naive": 'trouble("naive_roll"', "lifthead roll": 'trouble("roll"'}
SHOWN = (
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
    text = FILE.read_text()
    for seed in seeds:
        for way, trouble in WAYS.items():
            head, _, tail = text.partition('trouble("roll"')
            with tempfile.TemporaryDirectory() as directory:
                file = Path(directory) / "roll.star"
                file.write_text(head + (trouble + tail if trouble else ""))
                summary = asyncio.run(
                    day.run_scenario(script.read(file), file, Path(directory) / "out", seed)
                )
            print(f"seed {seed}, {way}: " + ", ".join(f"{key} {summary[key]}" for key in SHOWN), flush=True)


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]] or [1])
