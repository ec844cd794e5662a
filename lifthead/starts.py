"""When engines started, on this machine's own clock, from starts that are told in wall time.

A machine's wall clock may be stepped by seconds or by an hour while its monotonic clock runs on. So a start
is turned into monotonic time once, when it is first told, and a start that can't be true is not believed: an
engine that joins between two lists started about then, whatever the wall clocks say. Times are microseconds.
"""

from dataclasses import dataclass, field

LIST_LAG = 10_000_000  # how long before its listing an engine may have started
STEP = 500_000  # a change of the wall clock against the monotonic one that no drift explains
MOST = 16_384  # starts that are remembered; the oldest go first


@dataclass(frozen=True, slots=True)
class Start:
    """A start as it was told (wall time) and as it is believed (monotonic); 0: long ago."""

    told: int
    up_since: int


@dataclass(slots=True)
class StartTimes:
    """`wall_ahead`: by how much the wall clock was ahead of the monotonic one when the process began."""

    wall_ahead: int
    stepped: bool = False  # the wall clock was stepped since
    _listed_at: int = 0  # when the last list came, 0 for none
    _starts: dict[str, Start] = field(default_factory=dict)

    def listed(self, at: int) -> None:
        """A list has come, and all of its starts were asked for."""
        self._listed_at = at

    def begin_anew(self) -> None:
        """The lists so far may be old: an engine that is missing in them may have started long ago."""
        self._listed_at = 0

    def up_since(self, engine: str, told: int, at: int, wall_ahead: int) -> int:
        """When this engine started. `at`: now; `wall_ahead`: of the wall clock now."""
        known = self._starts.get(engine)
        if known and known.told == told:
            return known.up_since
        if abs(wall_ahead - self.wall_ahead) > STEP:
            self.stepped = True
        believed = self._believed(told, at)
        self._starts.pop(engine, None)
        self._starts[engine] = Start(told, believed)
        if len(self._starts) > MOST:
            del self._starts[next(iter(self._starts))]
        return believed

    def _believed(self, told: int, at: int) -> int:
        converted = max(told - self.wall_ahead, 1) if told else 0
        if not self._listed_at:
            return min(converted, at)
        plausible = self._listed_at - LIST_LAG <= converted <= at
        return converted if plausible and not self.stepped else at
