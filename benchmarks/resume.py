"""Streams that outlive a writer, beside the same days with `rules(resume = False)`. `python -m
benchmarks.resume`

One JSON line a day: what broke and what became of it; the longest gap that the clients of resumed streams
saw, and the best possible: the time to notice, the read of prompt and answer so far at an idle engine, one
step of the writer.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from lifthead.deployment import script
from lifthead.resume.stall_detector import MIN_SILENCE
from lifthead.standins import day, verify

DAYS = {
    "a writer silent": 'trouble("silent", at = "6s", lasts = "8s", engines = ["write-0-0"])',
    "a writer killed": 'trouble("crash", at = "6s", lasts = "8s", engines = ["write-0-0"])',
    "a rack silent": 'trouble("silent", at = "6s", lasts = "8s", engines = ["cell:0"])',
    "a rack killed": 'trouble("crash", at = "6s", lasts = "8s", engines = ["cell:0"])',
    "a drain of 1 s": 'trouble("drain", at = "6s", lasts = "8s", limit = "1s", engines = ["write-0-0"])',
}
READ_PER_S, STEP = 40_000, 20_000  # of the script's writers


def text_of(trouble, resume):
    lines = Path("examples/kill-streams.star").read_text().replace("rules(", f"rules(resume = {resume}, ", 1)
    lines = lines.replace('length = "25s"', 'length = "14s"').replace("per_s = 42", "per_s = 30")
    return "\n".join([line for line in lines.splitlines() if not line.startswith("trouble(")] + [trouble, ""])


def logs(out, event):
    lines = [line for path in Path(out).glob("log-*.jsonl") for line in path.read_text().splitlines()]
    return [each for each in map(json.loads, lines) if each["event"] == event]


def at(values, part):
    values = sorted(values)
    return round(values[min(int(len(values) * part), len(values) - 1)] / 1000, 1) if values else None


def main(seed):
    for name, trouble in DAYS.items():
        for resume in (True, False):
            with tempfile.TemporaryDirectory() as out:
                file = Path(out) / "day.star"
                file.write_text(text_of(trouble, resume))
                summary = asyncio.run(day.run_scenario(script.read(file), file, Path(out), seed))
                traffic = verify.read_records(Path(out))
                broken, resumed = logs(out, "stream broken"), logs(out, "stream resumed")
                clients = {line["req"]: line["client_id"] for line in logs(out, "req")}
                saved = {each["req"] for each in resumed}
                gaps = [
                    traffic.answers[clients[req]][0]["gap"]
                    for req in saved
                    if clients.get(req) in traffic.answers
                ]
                silent = {each["req"] for each in resumed if "silent" in each["cause"]}
                best = [
                    (MIN_SILENCE if each["req"] in silent else 0)
                    + each["read_anew"] / READ_PER_S * 1e6
                    + STEP
                    for each in resumed
                ]
                streams = {each["req"] for each in broken}
                print(json.dumps({
                    "day": name, "resume": resume, "reqs": summary["reqs"], "done": summary["done"],
                    "aborted": summary["aborted"], "broken": len(streams),
                    "saved": round(len(saved) / len(streams), 3) if streams else None,
                    "gap_p50_ms": at(gaps, 0.5), "gap_p99_ms": at(gaps, 0.99),
                    "best_p50_ms": at(best, 0.5), "best_p99_ms": at(best, 0.99),
                    "read_anew": sum(each["read_anew"] for each in resumed), "breaches": summary["breaches"],
                }), flush=True)  # fmt: skip


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
