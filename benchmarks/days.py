"""Service in a scenario with lifthead, round robin and random choice, on the same stand-ins and seed.

`python -m benchmarks.days [SCRIPT ...] [--seed N]`
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from lifthead.deployment import script
from lifthead.standins import day

SERVE_COMMANDS = {
    "lifthead": (),
    "round robin": (sys.executable, "-m", "benchmarks.baselines", "round-robin"),
    "random": (sys.executable, "-m", "benchmarks.baselines", "random"),
}


def main(arguments):
    seed = int(arguments[arguments.index("--seed") + 1]) if "--seed" in arguments else 1
    files = [Path(argument) for argument in arguments if argument.endswith(".star")] or [
        Path("examples/quiet.star")
    ]
    for file in files:
        for name, serve_command in SERVE_COMMANDS.items():
            with tempfile.TemporaryDirectory() as output:
                summary = asyncio.run(
                    day.run_scenario(script.read(file), file, Path(output), seed, serve_command)
                )
            print(json.dumps({"scenario": file.stem, "seed": seed, "balancer": name, **summary}), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
