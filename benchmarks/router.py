"""One router process under load, compared with a minimal byte relay and with random choice on the same stack.

`python -m benchmarks.router [--many 10000] [--ledger] [--out FILE]`: prints one JSON line per measurement.
"""

import contextlib
import json
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

SCRIPT = """
kind("writer", role = "write", memory = 100000000)
{engines}
router("r", zone = "a")
limits(connections = 40000, in_hand = 30000, stalled_for = "60s")
group("chat", models = ["m"], target = "10s", deadline = "60s")
tenant("t", keys = ["key-loopback"], share_per_s = 1000000.0)
"""
ENGINES = 4


class RouterBenchmark:
    """The processes of one measurement, which end with it."""

    def __init__(self, stack, events, gap):
        self.stack = stack
        self.directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.engines = [self.start_part("engine", {"events": events, "gap": gap}) for _ in range(ENGINES)]

    def start(self, *command):
        process = subprocess.Popen([sys.executable, "-m", *command], stdout=subprocess.PIPE, text=True)
        self.stack.callback(self.end, process)
        return process

    @staticmethod
    def end(process):
        process.terminate()
        process.wait()
        process.stdout.close()

    def start_part(self, part, options):
        return self.start("benchmarks.fast", part, json.dumps(options)).stdout.readline().strip()

    def target(self, kind):
        """Starts what is measured; returns its address, process id and health address."""
        if kind == "direct":
            return self.engines[0], None, None
        if kind == "relay":
            process = self.start("benchmarks.fast", "relay", json.dumps({"engines": self.engines}))
            return process.stdout.readline().strip(), process.pid, None
        lines = [
            f'engine("w{n}", zone = "a", kind = "writer", address = "{at}")'
            for n, at in enumerate(self.engines)
        ]
        file = self.directory / "bench.star"
        ledger = {"with a ledger": "ledger()\n", "ledger without waiting": "ledger(wait = False)\n"}.get(
            kind, ""
        )
        file.write_text(SCRIPT.format(engines="\n".join(lines)) + ledger)
        module = ("benchmarks.baselines", "random") if kind == "random" else ("lifthead.cli", "serve")
        process = self.start(
            *module,
            str(file),
            "--router",
            "r",
            "--run",
            str(self.directory),
            "--log",
            str(self.directory / "log"),
        )
        output = json.loads(process.stdout.readline())
        return output["base_url"].split("/")[2], process.pid, output["health"]

    def load(self, address, processes, **options):
        """Runs several load processes at once and merges their results."""
        options = {"address": address, "tokens": 8, "rate": 0, **options}
        share = {
            **options,
            "rate": options["rate"] / processes,
            "connections": options["connections"] // processes,
        }
        parts = [self.start("benchmarks.fast", "load", json.dumps(share)) for _ in range(processes)]
        result = [json.loads(part.stdout.readline()) for part in parts]
        first_token_times = sorted(first for each in result for first in each.pop("firsts"))
        total = {key: sum(each[key] for each in result) for key in result[0]}
        total["first_p50_ms"] = first_token_times[len(first_token_times) // 2] / 1000
        total["first_p99_ms"] = first_token_times[len(first_token_times) * 99 // 100] / 1000
        return {key: round(value, 2) for key, value in total.items()}


def memory(pid):
    """Resident memory of a process in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


def lag(health):
    """Longest stall of the event loop in the last second, in milliseconds."""
    page = urllib.request.urlopen(f"http://{health}/metrics").read().decode().splitlines()
    return 1000 * next(float(line.split()[1]) for line in page if line.startswith("lifthead_loop_lag"))


def measure(kind, events, gap, processes, **options):
    with contextlib.ExitStack() as stack:
        benchmark = RouterBenchmark(stack, events, gap)
        address, pid, health = benchmark.target(kind)
        benchmark.load(address, 1, connections=8, seconds=0.5, rate=50)  # warm up connections and caches
        result = benchmark.load(address, processes, **options)
        if health:
            result["lag_ms"] = round(lag(health), 1)
        return result


def measure_many_streams(kind, streams):
    """Memory and event loop stalls with many concurrent streams."""
    with contextlib.ExitStack() as stack:
        benchmark = RouterBenchmark(stack, 12, 1.5)
        address, pid, health = benchmark.target(kind)
        benchmark.load(address, 1, connections=8, seconds=0.5, rate=50)
        before, peak_memory, stall = memory(pid), 0, 0.0
        rate = streams / 6
        parts = [
            benchmark.start("benchmarks.fast", "load", json.dumps({
                "address": address, "tokens": 16, "rate": rate / 4, "connections": streams // 4, "seconds": 7,
            }))
            for _ in range(4)
        ]  # fmt: skip
        until = time.monotonic() + 16
        while time.monotonic() < until:
            time.sleep(0.5)
            peak_memory = max(peak_memory, memory(pid))
            if health:
                stall = max(stall, lag(health))
        result = [json.loads(part.stdout.readline()) for part in parts]
        at_once = sum(each["most_at_once"] for each in result)
        return {
            "streams": at_once, "bad": sum(each["bad"] + each["errors"] for each in result),
            "kb_a_stream": round((peak_memory - before) / at_once / 1024, 1), "stall_ms": round(stall, 1),
        }  # fmt: skip


def main(arguments):
    out = open(arguments[arguments.index("--out") + 1], "w") if "--out" in arguments else None  # noqa: SIM115
    max_streams = int(arguments[arguments.index("--many") + 1]) if "--many" in arguments else 2000

    def report(**result):
        line = json.dumps(result)
        print(line, flush=True)
        if out:
            out.write(line + "\n")

    if "--ledger" in arguments:
        for kind in ("lifthead", "with a ledger", "ledger without waiting"):
            result = measure(kind, 8, 0, 2, connections=64, seconds=8)
            report(what="saturation, 8 tokens a request", through=kind, **result)
        return
    saturation = {}
    for kind in ("relay", "random", "lifthead"):
        saturation[kind] = measure(kind, 8, 0, 2, connections=64, seconds=8)
        report(what="saturation, 8 tokens a request", through=kind, **saturation[kind])
    half = saturation["lifthead"]["reqs_s"] / 2
    for kind in ("direct", "relay", "random", "lifthead"):
        result = measure(kind, 8, 0, 2, connections=64, seconds=8, rate=half)
        report(what=f"half load, {half:.0f} requests a second", through=kind, **result)
    for kind in ("relay", "random", "lifthead"):
        report(
            what="tokens, 400 a request", through=kind, **measure(kind, 400, 0, 2, connections=16, seconds=8)
        )
    for streams in (2000, max_streams) if max_streams > 2000 else (2000,):
        report(what="many streams", through="lifthead", **measure_many_streams("lifthead", streams))


if __name__ == "__main__":
    main(sys.argv[1:])
