"""Short scenarios with faults on real processes. The checker verifies the rules from the traffic records."""

import json
import subprocess
import sys
from pathlib import Path


def run_scenario(file, seed, out):
    command = [sys.executable, "-m", "lifthead.cli", "day", file, "--seed", str(seed), "--out", out, "--json"]
    process = subprocess.run(command, capture_output=True, text=True, timeout=120)
    return process, json.loads(process.stdout.splitlines()[-1])


def test_streams_outlive_decode_engines_that_are_killed_silenced_and_reset(tmp_path):
    """A client counts an answer as done only if it equals the answer of an unbroken stream byte for byte."""
    file = tmp_path / "kill.star"
    text = Path("examples/kill-streams.star").read_text()
    file.write_text(text.replace('length = "25s"', 'length = "9s"').replace('lasts = "25s"', 'lasts = "9s"'))
    process, summary = run_scenario(file, 3, tmp_path)
    assert summary["breaches"] == {} and summary["unanswered"] == 0 and process.returncode == 0, (
        process.stdout
    )
    log = [
        json.loads(line) for path in tmp_path.glob("log-*.jsonl") for line in path.read_text().splitlines()
    ]
    resumed = {line["req"] for line in log if line["event"] == "stream resumed"}
    done = {line["req"] for line in log if line["event"] == "req" and line["ended"] == "done"}
    assert len(resumed & done) > 20 and summary["done"] > 0.9 * summary["reqs"]


def test_a_minute_of_faults_breaks_no_rule(tmp_path):
    process, summary = run_scenario("examples/bad-minute.star", 3, tmp_path)
    assert summary["breaches"] == {} and summary["unanswered"] == 0 and process.returncode == 0, (
        process.stdout
    )
    assert (
        summary["reqs"] > 800
        and summary["done"] > summary["reqs"] * 0.7
        and summary["forwards"] > summary["done"]
    )
    assert "exit_codes" not in summary
    verified = subprocess.run(
        [sys.executable, "-m", "lifthead.cli", "verify", tmp_path, "--json"], capture_output=True, text=True
    )
    assert json.loads(verified.stdout)["breaches"] == {} and verified.returncode == 0
