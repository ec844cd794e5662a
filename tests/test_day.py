"""A bad day in short, on real processes: the rules, from the traffic seen on the sockets."""

import json
import subprocess
import sys


def test_a_bad_minute_breaks_no_rule(tmp_path):
    day = [
        sys.executable,
        "-m",
        "lifthead.cli",
        "day",
        "examples/bad-minute.star",
        "--seed",
        "3",
        "--out",
        tmp_path,
        "--json",
    ]
    found = subprocess.run(day, capture_output=True, text=True, timeout=120)
    summary = json.loads(found.stdout.splitlines()[-1])
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
