"""Traffic records: JSON lines with monotonic microseconds, unbuffered, so that a kill loses none."""

import time
from pathlib import Path
from typing import Any

import msgspec

from lifthead.deployment.fleet import Fleet

_encode = msgspec.json.Encoder(enc_hook=int).encode  # writes `Microseconds` as plain integers


def now() -> int:
    """Monotonic time in microseconds."""
    return time.monotonic_ns() // 1000


def checker_settings(fleet: Fleet) -> dict[str, Any]:
    """The settings that the checker of the rules needs."""
    rule_keys = ("drain_grace", "let_go_within", "cold_share", "warm_within", "tip_multiple", "overload_for")
    class_keys = ("effect", "keyed_within", "keyed_for")
    return {key: getattr(fleet.rules, key) for key in rule_keys} | {
        "groups": {
            request_class.name: {key: getattr(request_class, key) for key in class_keys}
            for request_class in fleet.groups.values()
        }
    }


class Record:
    """One stand-in's traffic record. Without a path it writes nothing."""

    def __init__(self, path: str | Path | None) -> None:
        self._file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115 - open as long as this object

    def put(self, ev: str, at: int | None = None, **fields: Any) -> None:
        if self._file:
            self._file.write(_encode({"t": now() if at is None else at, "ev": ev, **fields}) + b"\n")

    def close(self) -> None:
        if self._file:
            self._file.close()


def lines(path: Path) -> list[dict[str, Any]]:
    """All whole lines of a record. A last line that a kill cut short is left out."""
    records = []
    for line in path.read_bytes().split(b"\n"):
        try:
            records.append(msgspec.json.decode(line))
        except msgspec.DecodeError:
            continue
    return records
