"""Converts the start times of engines, which are reported in wall time, to this machine's monotonic clock.

A wall clock may be stepped by seconds or by an hour while the monotonic clock runs on. So a start time is
converted once, when it is first reported, and an implausible one is ignored: an engine that joins between two
lists started about then, whatever the wall clocks say. Times are microseconds.
"""

from dataclasses import dataclass, field

LIST_LAG = 10_000_000  # how long before the list names it an engine may have started
MIN_CLOCK_STEP = 500_000  # of the wall clock against the monotonic one: more than clock drift explains
MAX_STARTS = 16_384  # remembered start times; the oldest are dropped first


@dataclass(frozen=True, slots=True)
class Start:
    """A start time as reported (wall time) and as used (monotonic); 0: long ago."""

    reported: int
    up_since: int


@dataclass(slots=True)
class StartTimes:
    """Remembers one start time per engine.

    `wall_offset`: by how much the wall clock was ahead of the monotonic one when the process began."""

    wall_offset: int
    clock_stepped: bool = False  # the wall clock has been stepped since the process began
    _listed_at: int = 0  # when the last list came; 0: none yet
    _starts: dict[str, Start] = field(default_factory=dict)

    def on_list(self, at: int) -> None:
        """Notes that a list has come and `up_since` was called for all of its engines."""
        self._listed_at = at

    def reset(self) -> None:
        """Forgets the last list: it may be old, and an engine missing from it may have started long ago."""
        self._listed_at = 0

    def up_since(self, engine: str, reported: int, at: int, wall_offset: int) -> int:
        """Returns when an engine started. `at` is now; `wall_offset` is the wall clock's offset now."""
        known = self._starts.get(engine)
        if known and known.reported == reported:
            return known.up_since
        if abs(wall_offset - self.wall_offset) > MIN_CLOCK_STEP:
            self.clock_stepped = True
        start = self._plausible_start(reported, at)
        self._starts.pop(engine, None)
        self._starts[engine] = Start(reported, start)
        if len(self._starts) > MAX_STARTS:
            del self._starts[next(iter(self._starts))]
        return start

    def _plausible_start(self, reported: int, at: int) -> int:
        monotonic = max(reported - self.wall_offset, 1) if reported else 0
        if not self._listed_at:
            return min(monotonic, at)
        plausible = self._listed_at - LIST_LAG <= monotonic <= at
        return monotonic if plausible and not self.clock_stepped else at
