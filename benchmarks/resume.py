"""Resumed streams, compared with the same scenarios under `rules(resume = False)`. `python -m
benchmarks.resume`

Prints one JSON line per scenario: the broken streams and how many were resumed; the longest gap that clients
of resumed streams saw, and the shortest possible one: the detection time, the prefill of the prompt and the
answer so far at an idle engine, and one decode step.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from lifthead.deployment import script
from lifthead.resume.stall_detector import MIN_SILENCE
from lifthead.standins import day, verify

SCENARIOS = {
    "decode engine silent": 'trouble("silent", at = "6s", lasts = "8s", engines = ["write-0-0"])',
    "decode engine killed": 'trouble("crash", at = "6s", lasts = "8s", engines = ["write-0-0"])',
    "cell silent": 'trouble("silent", at = "6s", lasts = "8s", engines = ["cell:0"])',
    "cell killed": 'trouble("crash", at = "6s", lasts = "8s", engines = ["cell:0"])',
    "drain limit 1 s": 'trouble("drain", at = "6s", lasts = "8s", limit = "1s", engines = ["write-0-0"])',
}
READ_PER_S, STEP = 40_000, 20_000  # of the script's decode engines; STEP in microseconds


def script_text(fault, resume):
    lines = Path("examples/kill-streams.star").read_text().replace("rules(", f"rules(resume = {resume}, ", 1)
    lines = lines.replace('length = "25s"', 'length = "14s"').replace("per_s = 42", "per_s = 30")
    return "\n".join([line for line in lines.splitlines() if not line.startswith("trouble(")] + [fault, ""])


def log_lines(output, event):
    lines = [line for path in Path(output).glob("log-*.jsonl") for line in path.read_text().splitlines()]
    return [each for each in map(json.loads, lines) if each["event"] == event]


def percentile_ms(values, fraction):
    values = sorted(values)
    return round(values[min(int(len(values) * fraction), len(values) - 1)] / 1000, 1) if values else None


def main(seed):
    for name, fault in SCENARIOS.items():
        for resume in (True, False):
            with tempfile.TemporaryDirectory() as output:
                file = Path(output) / "day.star"
                file.write_text(script_text(fault, resume))
                summary = asyncio.run(day.run_scenario(script.read(file), file, Path(output), seed))
                traffic = verify.read_records(Path(output))
                broken, resumed = log_lines(output, "stream broken"), log_lines(output, "stream resumed")
                clients = {line["req"]: line["client_id"] for line in log_lines(output, "req")}
                resumed_requests = {each["req"] for each in resumed}
                gaps = [
                    traffic.answers[clients[request]][0]["gap"]
                    for request in resumed_requests
                    if clients.get(request) in traffic.answers
                ]
                silent = {each["req"] for each in resumed if "silent" in each["cause"]}
                shortest_gaps = [
                    (MIN_SILENCE if each["req"] in silent else 0)
                    + each["read_anew"] / READ_PER_S * 1e6
                    + STEP
                    for each in resumed
                ]
                broken_requests = {each["req"] for each in broken}
                print(
                    json.dumps(
                        {
                            "scenario": name,
                            "resume": resume,
                            "reqs": summary["reqs"],
                            "done": summary["done"],
                            "aborted": summary["aborted"],
                            "broken": len(broken_requests),
                            "resumed": round(len(resumed_requests) / len(broken_requests), 3)
                            if broken_requests
                            else None,
                            "gap_p50_ms": percentile_ms(gaps, 0.5),
                            "gap_p99_ms": percentile_ms(gaps, 0.99),
                            "best_p50_ms": percentile_ms(shortest_gaps, 0.5),
                            "best_p99_ms": percentile_ms(shortest_gaps, 0.99),
                            "read_anew": sum(each["read_anew"] for each in resumed),
                            "breaches": summary["breaches"],
                        }
                    ),
                    flush=True,
                )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
