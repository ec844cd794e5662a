"""Durations as operators write them: `250ms`, `1.5s`, `2m30s`."""

import parsy

UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}

_number = parsy.regex(r"\d+(\.\d+)?").map(float).desc("a number")
_unit = parsy.string_from(*UNITS).desc("one of us, ms, s, m, h")
_duration = (
    parsy.seq(_number, _unit.map(UNITS.get)).combine(lambda count, unit: count * unit).at_least(1).map(sum)
)


class Microseconds(int):
    """A duration in whole microseconds."""


def parse_duration(text: str) -> Microseconds:
    """The duration of a text such as `1m30s`; ValueError says what was expected."""
    try:
        return Microseconds(round(_duration.parse(text.strip())))
    except parsy.ParseError:
        raise ValueError(f"expected a time such as 250ms, 1.5s or 2m30s, got {text!r}") from None
