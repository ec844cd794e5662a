"""Experiments: one scenario with several seeds, on several processes, saved so that it can be reproduced.

A variant is a settings script, optionally with another source file of the decision module (`--control FILE`:
an earlier revision of control.py or a modified copy). Seeds are paired: both variants get the same clients,
faults and engines. Results do not depend on the number of processes."""

import hashlib
import importlib.util
import math
import platform
import statistics
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import islice
from pathlib import Path
from typing import Any

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

from lifthead import control
from lifthead.deployment import script

MIN_PAIRS = 5  # before a comparison may stop early
T_975 = [
    0.0,
    12.71,
    4.30,
    3.18,
    2.78,
    2.57,
    2.45,
    2.36,
    2.31,
    2.26,
    2.23,
    2.20,
    2.18,
    2.16,
    2.14,
    2.13,
]


@dataclass(frozen=True)
class Variant:
    """A settings script, and a source file of the decision module ("" for the installed one)."""

    file: str
    control_file: str = ""

    def router_class(self) -> type[control.Router]:
        """The Router class of the variant, loaded as a separate module: the installed one stays unchanged."""
        if not self.control_file:
            return control.Router
        spec = importlib.util.spec_from_file_location("lifthead_control_variant", self.control_file)
        if spec is None or spec.loader is None:
            raise ValueError(f"{self.control_file}: expected a Python file with a Router")
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        return module.Router


def simulate(variant: Variant, seed: int, records: str = "") -> dict[str, Any]:
    """Simulates one scenario; raises ValueError or ScriptError if its script can't be simulated."""
    from lifthead.lab.world import World

    fleet = script.read(Path(variant.file))
    return World(fleet, seed, Path(records) if records else None, variant.router_class()).run()


def simulate_seeds(variants: list[Variant], seeds: range, workers: int) -> Iterator[list[dict[str, Any]]]:
    """For each seed in order, a summary for each variant; each process simulates one scenario at a time."""
    with ProcessPoolExecutor(workers) as pool:
        jobs = (pool.submit(simulate, variant, seed) for seed in seeds for variant in variants)
        ahead = list(islice(jobs, workers + len(variants)))
        for _ in seeds:
            row = []
            for _ in variants:
                row.append(ahead.pop(0).result())
                ahead.extend(islice(jobs, 1))
            yield row
        for job in ahead:
            job.cancel()


@dataclass(frozen=True)
class Interval:
    """The mean of paired differences and the half-width of its 95% confidence interval."""

    mean: float
    half_width: float
    pairs: int

    @property
    def differs(self) -> bool:
        return abs(self.mean) > self.half_width


def confidence_interval(differences: list[float]) -> Interval:
    """Confidence interval by Student's t-distribution; infinite for fewer than two pairs."""
    count = len(differences)
    if count < 2:
        return Interval(differences[0] if differences else 0.0, math.inf, count)
    t = T_975[count - 1] if count <= len(T_975) else 1.96 + 2.5 / count
    return Interval(statistics.fmean(differences), t * statistics.stdev(differences) / count**0.5, count)


def compare(
    baseline: Variant,
    candidate: Variant,
    max_pairs: int,
    within: float,
    workers: int,
    seed: int = 1,
    key: str = "service",
) -> tuple[Interval, list[dict[str, Any]]]:
    """Simulates pairs until the half-width of the interval is under `within`, or the mean is over twice the
    half-width from 0, or `max_pairs` pairs are done. The difference is candidate minus baseline."""
    rows, differences = [], []
    for number, pair in enumerate(
        simulate_seeds([baseline, candidate], range(seed, seed + max_pairs), workers)
    ):
        for name, summary in zip("AB", pair, strict=True):
            rows.append({"variant": name, "seed": seed + number, **_flatten(summary)})
        differences.append(pair[1][key] - pair[0][key])
        result = confidence_interval(differences)
        significant = abs(result.mean) > 2 * result.half_width
        if result.pairs >= MIN_PAIRS and (result.half_width < within or significant):
            break
    return confidence_interval(differences), rows


def _flatten(summary: dict[str, Any]) -> dict[str, Any]:
    lost = {f"lost_{reason.replace(' ', '_')}": weight for reason, weight in summary["lost"].items()}
    return {key: value for key, value in summary.items() if not isinstance(value, dict)} | lost


def revision() -> str:
    """The commit of this source tree, with + if files differ from it; "" outside a checkout."""
    directory = Path(__file__).parent
    try:
        command = ["git", "describe", "--always", "--dirty=+"]
        completed = subprocess.run(command, cwd=directory, capture_output=True, text=True)
    except OSError:
        return ""
    return completed.stdout.strip()


def save_results(
    rows: list[dict[str, Any]], directory: Path, command: list[str], variants: list[Variant]
) -> None:
    """Writes the results as Parquet, and a manifest with what is needed to reproduce them."""
    directory.mkdir(parents=True, exist_ok=True)
    columns = {key: [row.get(key) for row in rows] for row in rows for key in row}
    pq.write_table(pa.table(columns), directory / "days.parquet")
    digests = {
        path: hashlib.blake2b(Path(path).read_bytes(), digest_size=8).hexdigest()
        for each in variants
        for path in (each.file, each.control_file)
        if path
    }
    manifest = {
        "command": command,
        "revision": revision(),
        "files": digests,
        "python": sys.version.split()[0],
        "machine": platform.machine(),
        "simulated": True,
    }
    (directory / "manifest.json").write_bytes(msgspec.json.format(msgspec.json.encode(manifest)))
