"""One router process under load, beside a bare byte relay and beside random choice on the same stack.

`python -m benchmarks.router [--many 10000] [--ledger] [--out FILE]`: prints one JSON line a measurement.
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


class Bench:
    """Processes of one measurement; all ended by their own handles."""

    def __init__(self, stack, events, gap):
        self.stack = stack
        self.dir = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.engines = [self.part("engine", {"events": events, "gap": gap}) for _ in range(ENGINES)]

    def start(self, *command):
        process = subprocess.Popen([sys.executable, "-m", *command], stdout=subprocess.PIPE, text=True)
        self.stack.callback(self.end, process)
        return process

    @staticmethod
    def end(process):
        process.terminate()
        process.wait()
        process.stdout.close()

    def part(self, what, given):
        return self.start("benchmarks.fast", what, json.dumps(given)).stdout.readline().strip()

    def target(self, kind):
        """Address to ask, process id and health page of what is measured."""
        if kind == "direct":
            return self.engines[0], None, None
        if kind == "relay":
            process = self.start("benchmarks.fast", "relay", json.dumps({"engines": self.engines}))
            return process.stdout.readline().strip(), process.pid, None
        lines = [
            f'engine("w{n}", zone = "a", kind = "writer", address = "{at}")'
            for n, at in enumerate(self.engines)
        ]
        file = self.dir / "bench.star"
        ledger = {"with a ledger": "ledger()\n", "ledger, not waiting": "ledger(wait = False)\n"}.get(
            kind, ""
        )
        file.write_text(SCRIPT.format(engines="\n".join(lines)) + ledger)
        how = ("benchmarks.baselines", "random") if kind == "random" else ("lifthead.cli", "serve")
        process = self.start(
            *how, str(file), "--router", "r", "--run", str(self.dir), "--log", str(self.dir / "log")
        )
        said = json.loads(process.stdout.readline())
        return said["base_url"].split("/")[2], process.pid, said["health"]

    def load(self, address, processes, **given):
        """Several load processes at once; their results put together."""
        given = {"address": address, "tokens": 8, "rate": 0, **given}
        share = {**given, "rate": given["rate"] / processes, "connections": given["connections"] // processes}
        parts = [self.start("benchmarks.fast", "load", json.dumps(share)) for _ in range(processes)]
        found = [json.loads(part.stdout.readline()) for part in parts]
        firsts = sorted(first for each in found for first in each.pop("firsts"))
        total = {key: sum(each[key] for each in found) for key in found[0]}
        total["first_p50_ms"] = firsts[len(firsts) // 2] / 1000
        total["first_p99_ms"] = firsts[len(firsts) * 99 // 100] / 1000
        return {key: round(value, 2) for key, value in total.items()}


def memory(pid):
    """Resident bytes of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


def lag(health):
    """Longest stall of the loop in the last second, in milliseconds."""
    page = urllib.request.urlopen(f"http://{health}/metrics").read().decode().splitlines()
    return 1000 * next(float(line.split()[1]) for line in page if line.startswith("lifthead_loop_lag"))


def measure(kind, events, gap, processes, **given):
    with contextlib.ExitStack() as stack:
        bench = Bench(stack, events, gap)
        address, pid, health = bench.target(kind)
        bench.load(address, 1, connections=8, seconds=0.5, rate=50)  # connections and caches are warm then
        found = bench.load(address, processes, **given)
        if health:
            found["lag_ms"] = round(lag(health), 1)
        return found


def many(kind, streams):
    """Memory and stalls with so many streams at once."""
    with contextlib.ExitStack() as stack:
        bench = Bench(stack, 12, 1.5)
        address, pid, health = bench.target(kind)
        bench.load(address, 1, connections=8, seconds=0.5, rate=50)
        before, worst, stall = memory(pid), 0, 0.0
        rate = streams / 6
        parts = [
            bench.start("benchmarks.fast", "load", json.dumps({
                "address": address, "tokens": 16, "rate": rate / 4, "connections": streams // 4, "seconds": 7,
            }))
            for _ in range(4)
        ]  # fmt: skip
        until = time.monotonic() + 16
        while time.monotonic() < until:
            time.sleep(0.5)
            worst = max(worst, memory(pid))
            if health:
                stall = max(stall, lag(health))
        found = [json.loads(part.stdout.readline()) for part in parts]
        at_once = sum(each["most_at_once"] for each in found)
        return {
            "streams": at_once, "bad": sum(each["bad"] + each["errors"] for each in found),
            "kb_a_stream": round((worst - before) / at_once / 1024, 1), "stall_ms": round(stall, 1),
        }  # fmt: skip


def main(words):
    out = open(words[words.index("--out") + 1], "w") if "--out" in words else None  # noqa: SIM115
    most = int(words[words.index("--many") + 1]) if "--many" in words else 2000

    def say(**found):
        line = json.dumps(found)
        print(line, flush=True)
        if out:
            out.write(line + "\n")

    if "--ledger" in words:
        for kind in ("lifthead", "with a ledger", "ledger, not waiting"):
            found = measure(kind, 8, 0, 2, connections=64, seconds=8)
            say(what="saturation, 8 tokens a req", through=kind, **found)
        return
    full = {}
    for kind in ("relay", "random", "lifthead"):
        full[kind] = measure(kind, 8, 0, 2, connections=64, seconds=8)
        say(what="saturation, 8 tokens a req", through=kind, **full[kind])
    half = full["lifthead"]["reqs_s"] / 2
    for kind in ("direct", "relay", "random", "lifthead"):
        found = measure(kind, 8, 0, 2, connections=64, seconds=8, rate=half)
        say(what=f"half load, {half:.0f} reqs a second", through=kind, **found)
    for kind in ("relay", "random", "lifthead"):
        say(what="tokens, 400 a req", through=kind, **measure(kind, 400, 0, 2, connections=16, seconds=8))
    for streams in (2000, most) if most > 2000 else (2000,):
        say(what="many streams", through="lifthead", **many("lifthead", streams))


if __name__ == "__main__":
    main(sys.argv[1:])
