"""Service of a day with lifthead, round robin and random choice, on the same stand-ins and seed.

`python -m benchmarks.days [SCRIPT ...] [--seed N]`
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from lifthead.deployment import script
from lifthead.standins import day

SERVES = {
    "lifthead": (),
    "round robin": (sys.executable, "-m", "benchmarks.baselines", "round-robin"),
    "random": (sys.executable, "-m", "benchmarks.baselines", "random"),
}


def main(words):
    seed = int(words[words.index("--seed") + 1]) if "--seed" in words else 1
    files = [Path(word) for word in words if word.endswith(".star")] or [Path("examples/quiet.star")]
    for file in files:
        for name, serve in SERVES.items():
            with tempfile.TemporaryDirectory() as out:
                summary = asyncio.run(day.run_scenario(script.read(file), file, Path(out), seed, serve))
            print(json.dumps({"day": file.stem, "seed": seed, "decides": name, **summary}), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
