"""When a stream's silence is the loss of its progress.

An engine that says nothing on any of its streams is told from one that rests a single stream (a progress
short of memory puts its newest answer back). Either is measured against the pace that the engine itself has
shown. While most engines are silent the fault is more likely this router's, or a slow fleet's: then nothing
is judged but by the last bound. Only text counts: heartbeats of the protocol come from a process that may
have stopped writing.
"""

from dataclasses import dataclass, field

from lifthead.state import Histogram

GAP_FACTOR = 8.0  # an engine is silent for so many times what 98 in 100 of its gaps take ...
MIN_SILENCE = 400_000  # ... and for so long at least
SINGLE_STREAM_FACTOR = 4.0  # a single stream of an engine that writes others waits so many times longer
MIN_GAPS = 20  # gaps before an engine's pace is believed
UNKNOWN_PACE_FACTOR = 4.0  # until then, so many times the floor
MOST_SILENT_FACTOR = 4.0  # while most engines are silent, so many times longer


@dataclass(slots=True)
class StreamProgress:
    """One running stream."""

    engine: str
    last_text_at: int  # when text last came
    client_blocked: bool = False  # its client is slow: nothing is read from its progress


@dataclass(slots=True)
class EngineProgress:
    """An engine's streams here, and its pace."""

    streams: set[int] = field(default_factory=set)
    gaps: Histogram = field(default_factory=lambda: Histogram(1_000, 16, 400))
    last_text_at: int = 0


@dataclass(frozen=True, slots=True)
class LostStream:
    """A stream that is taken for lost, why, and how long nothing came."""

    stream: int
    engine: str
    cause: str
    silent_for: int


class StallDetector:
    """All running streams of one router. Streams are told apart by whole numbers that the caller gives."""

    def __init__(self, max_silence: int) -> None:
        self._max_silence = max_silence  # a silence that is loss whatever the pace
        self._streams: dict[int, StreamProgress] = {}
        self._engines: dict[str, EngineProgress] = {}

    def started(self, stream: int, engine: str, now: int) -> None:
        """Its first text came."""
        self._streams[stream] = StreamProgress(engine, now)
        progress = self._engines.setdefault(engine, EngineProgress())
        progress.streams.add(stream)
        progress.last_text_at = now

    def progressed(self, stream: int, now: int) -> None:
        """More text came."""
        stream_progress = self._streams.get(stream)
        if stream_progress is None:
            return
        progress = self._engines[stream_progress.engine]
        if not stream_progress.client_blocked:
            progress.gaps.add(now - stream_progress.last_text_at)
        stream_progress.last_text_at, stream_progress.client_blocked, progress.last_text_at = now, False, now

    def client_blocked(self, stream: int) -> None:
        """Its client takes nothing: what does not come now is not the progress's fault."""
        if stream in self._streams:
            self._streams[stream].client_blocked = True

    def client_unblocked(self, stream: int, now: int) -> None:
        """Its client takes again."""
        stream_progress = self._streams.get(stream)
        if stream_progress and stream_progress.client_blocked:
            stream_progress.client_blocked, stream_progress.last_text_at = False, now

    def ended(self, stream: int) -> None:
        stream_progress = self._streams.pop(stream, None)
        if stream_progress:
            self._engines[stream_progress.engine].streams.discard(stream)

    def router_stalled(self, stall: int) -> None:
        """This router itself stood still for so long: nobody else's silence."""
        for stream_progress in self._streams.values():
            stream_progress.last_text_at += stall
        for progress in self._engines.values():
            progress.last_text_at += stall

    def silence_limit(self, engine: str) -> int:
        """How long this engine may be silent on all its streams."""
        gaps = self._engines[engine].gaps
        if gaps.total < MIN_GAPS:
            return min(int(MIN_SILENCE * UNKNOWN_PACE_FACTOR), self._max_silence)
        return min(max(int(GAP_FACTOR * gaps.quantile(0.98)), MIN_SILENCE), self._max_silence)

    def lost_streams(self, now: int) -> list[LostStream]:
        """The streams to be given up now. Each is named once: its caller ends it."""
        expecting = [name for name, progress in self._engines.items() if self._expects_text(progress)]
        silent = {
            name for name in expecting if now - self._engines[name].last_text_at > self.silence_limit(name)
        }
        # Guards against moving a whole fleet: when most are silent at once, it says nothing of single
        # engines.
        most_silent = len(expecting) > 1 and len(silent) * 2 > len(expecting)
        found = []
        for name in expecting:
            limit = self.silence_limit(name) * (MOST_SILENT_FACTOR if most_silent else 1.0)
            cause = "engine silent"
            if name not in silent:
                limit, cause = limit * SINGLE_STREAM_FACTOR, "stream silent"
            for stream in sorted(self._engines[name].streams):
                stream_progress = self._streams[stream]
                silent_for = now - stream_progress.last_text_at
                if not stream_progress.client_blocked and silent_for > min(limit, self._max_silence):
                    found.append(LostStream(stream, name, cause, silent_for))
        return found

    def _expects_text(self, progress: EngineProgress) -> bool:
        return any(not self._streams[stream].client_blocked for stream in progress.streams)
