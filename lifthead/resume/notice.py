"""When a stream's silence is the loss of its writer.

An engine that says nothing on any of its streams is told from one that rests a single stream (a writer
short of memory puts its newest answer back). Either is measured against the pace that the engine itself has
shown. While most engines are silent the fault is more likely this router's, or a slow fleet's: then nothing
is judged but by the last bound. Only text counts: heartbeats of the protocol come from a process that may
have stopped writing.
"""

from dataclasses import dataclass, field

from lifthead.state import Histogram

PATIENCE = 8.0  # an engine is silent for so many times what 98 in 100 of its gaps take ...
FLOOR = 400_000  # ... and for so long at least
ONE_OF_MANY = 4.0  # a single stream of an engine that writes others waits so many times longer
ENOUGH = 20  # gaps before an engine's pace is believed
UNKNOWN = 4.0  # until then, so many times the floor
ALL_SILENT = 4.0  # while most engines are silent, so many times longer


@dataclass(slots=True)
class Heard:
    """One running stream."""

    engine: str
    last: int  # when text last came
    resting: bool = False  # its client is slow: nothing is read from its writer


@dataclass(slots=True)
class Writer:
    """An engine's streams here, and its pace."""

    streams: set[int] = field(default_factory=set)
    gaps: Histogram = field(default_factory=lambda: Histogram(1_000, 16, 400))
    last: int = 0


@dataclass(frozen=True, slots=True)
class Loss:
    """A stream that is taken for lost, why, and how long nothing came."""

    stream: int
    engine: str
    cause: str
    silent_for: int


class Notice:
    """All running streams of one router. Streams are told apart by whole numbers that the caller gives."""

    def __init__(self, longest: int) -> None:
        self._longest = longest  # a silence that is loss whatever the pace
        self._streams: dict[int, Heard] = {}
        self._writers: dict[str, Writer] = {}

    def begun(self, stream: int, engine: str, now: int) -> None:
        """Its first text came."""
        self._streams[stream] = Heard(engine, now)
        writer = self._writers.setdefault(engine, Writer())
        writer.streams.add(stream)
        writer.last = now

    def text(self, stream: int, now: int) -> None:
        """More text came."""
        heard = self._streams.get(stream)
        if heard is None:
            return
        writer = self._writers[heard.engine]
        if not heard.resting:
            writer.gaps.add(now - heard.last)
        heard.last, heard.resting, writer.last = now, False, now

    def rests(self, stream: int) -> None:
        """Its client takes nothing: what does not come now is not the writer's fault."""
        if stream in self._streams:
            self._streams[stream].resting = True

    def goes_on(self, stream: int, now: int) -> None:
        """Its client takes again."""
        heard = self._streams.get(stream)
        if heard and heard.resting:
            heard.resting, heard.last = False, now

    def ended(self, stream: int) -> None:
        heard = self._streams.pop(stream, None)
        if heard:
            self._writers[heard.engine].streams.discard(stream)

    def stalled(self, took: int) -> None:
        """This router itself stood still for so long: nobody else's silence."""
        for heard in self._streams.values():
            heard.last += took
        for writer in self._writers.values():
            writer.last += took

    def patience(self, engine: str) -> int:
        """How long this engine may be silent on all its streams."""
        gaps = self._writers[engine].gaps
        if gaps.total < ENOUGH:
            return min(int(FLOOR * UNKNOWN), self._longest)
        return min(max(int(PATIENCE * gaps.quantile(0.98)), FLOOR), self._longest)

    def lost(self, now: int) -> list[Loss]:
        """The streams to be given up now. Each is named once: its caller ends it."""
        talked = [name for name, writer in self._writers.items() if self._waits(writer)]
        silent = {name for name in talked if now - self._writers[name].last > self.patience(name)}
        # Guards against moving a whole fleet: when most are silent at once, it says nothing of single
        # engines.
        doubt = len(talked) > 1 and len(silent) * 2 > len(talked)
        found = []
        for name in talked:
            allowed = self.patience(name) * (ALL_SILENT if doubt else 1.0)
            cause = "engine silent"
            if name not in silent:
                allowed, cause = allowed * ONE_OF_MANY, "stream silent"
            for stream in sorted(self._writers[name].streams):
                heard = self._streams[stream]
                silent_for = now - heard.last
                if not heard.resting and silent_for > min(allowed, self._longest):
                    found.append(Loss(stream, name, cause, silent_for))
        return found

    def _waits(self, writer: Writer) -> bool:
        return any(not self._streams[stream].resting for stream in writer.streams)
