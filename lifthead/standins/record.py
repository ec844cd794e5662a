"""Traffic records: JSON lines with monotonic microseconds, written at once so that a kill loses none."""

import time
from pathlib import Path
from typing import Any

import msgspec

from lifthead.deployment.fleet import Fleet

_encode = msgspec.json.Encoder(enc_hook=int).encode  # lengths of time are whole numbers


def now() -> int:
    return time.monotonic_ns() // 1000


def checker_settings(fleet: Fleet) -> dict[str, Any]:
    """What a day's records say of its rules, for the checker."""
    rules = ("drain_grace", "let_go_within", "cold_share", "warm_within", "tip_multiple", "overload_for")
    group = ("effect", "keyed_within", "keyed_for")
    return {key: getattr(fleet.rules, key) for key in rules} | {
        "groups": {each.name: {key: getattr(each, key) for key in group} for each in fleet.groups.values()}
    }


class Record:
    """One stand-in's record. Without a path it keeps nothing."""

    def __init__(self, path: str | Path | None) -> None:
        self._file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115 - open as long as its owner

    def put(self, ev: str, at: int | None = None, **fields: Any) -> None:
        if self._file:
            self._file.write(_encode({"t": now() if at is None else at, "ev": ev, **fields}) + b"\n")

    def close(self) -> None:
        if self._file:
            self._file.close()


def lines(path: Path) -> list[dict[str, Any]]:
    """All whole lines of a record; a torn last one (a kill in mid-write) is left out."""
    found = []
    for line in path.read_bytes().split(b"\n"):
        try:
            found.append(msgspec.json.decode(line))
        except msgspec.DecodeError:
            continue
    return found
