"""A bad day in short, on real processes: the rules, from the traffic seen on the sockets."""

import json
import subprocess
import sys
from pathlib import Path


def play(file, seed, out):
    day = [sys.executable, "-m", "lifthead.cli", "day", file, "--seed", str(seed), "--out", out, "--json"]
    found = subprocess.run(day, capture_output=True, text=True, timeout=120)
    return found, json.loads(found.stdout.splitlines()[-1])


def test_streams_outlive_writers_that_are_killed_silenced_and_reset(tmp_path):
    """Every answer that is done equals the unbroken one byte for byte, or its client would call it wrong."""
    file = tmp_path / "kill.star"
    text = Path("examples/kill-streams.star").read_text()
    file.write_text(text.replace('length = "25s"', 'length = "9s"').replace('lasts = "25s"', 'lasts = "9s"'))
    found, summary = play(file, 3, tmp_path)
    assert summary["breaches"] == {} and summary["unanswered"] == 0 and found.returncode == 0, found.stdout
    log = [
        json.loads(line) for path in tmp_path.glob("log-*.jsonl") for line in path.read_text().splitlines()
    ]
    resumed = {line["req"] for line in log if line["event"] == "stream resumed"}
    done = {line["req"] for line in log if line["event"] == "req" and line["ended"] == "done"}
    assert len(resumed & done) > 20 and summary["done"] > 0.9 * summary["reqs"]


def test_a_bad_minute_breaks_no_rule(tmp_path):
    found, summary = play("examples/bad-minute.star", 3, tmp_path)
    assert summary["breaches"] == {} and summary["unanswered"] == 0 and found.returncode == 0, found.stdout
    assert (
        summary["reqs"] > 800
        and summary["done"] > summary["reqs"] * 0.7
        and summary["forwards"] > summary["done"]
    )
    assert "exit_codes" not in summary
    checked = subprocess.run(
        [sys.executable, "-m", "lifthead.cli", "verify", tmp_path, "--json"], capture_output=True, text=True
    )
    assert json.loads(checked.stdout)["breaches"] == {} and checked.returncode == 0
