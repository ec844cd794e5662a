"""Detects when a stream's silence means that its decode engine is lost.

An engine that is silent on all of its streams is distinguished from one that pauses a single stream (an
engine short of KV memory preempts its newest answer). Both silences are measured against the pace that the
engine has shown. While most engines are silent at once, the cause is more likely this router or a slow fleet:
then only a much longer silence ends a stream. Only text counts as progress: protocol heartbeats come from a
process that may have stopped decoding.
"""

from dataclasses import dataclass, field

from lifthead.state import Histogram

GAP_FACTOR = 8.0  # an engine is silent after this many times the 98th percentile of its gaps ...
MIN_SILENCE = 400_000  # ... but not before so many microseconds
SINGLE_STREAM_FACTOR = 4.0  # how much longer the limit is for one stream of an engine that serves others
MIN_GAPS = 20  # gaps before an engine's pace is known
UNKNOWN_PACE_FACTOR = 4.0  # until then the limit is this many times MIN_SILENCE
MOST_SILENT_FACTOR = 4.0  # how much longer the limit is while most engines are silent


@dataclass(slots=True)
class StreamProgress:
    """One running stream."""

    engine: str
    last_text_at: int
    client_blocked: bool = False  # its client reads slowly, so nothing is read from its engine


@dataclass(slots=True)
class EngineProgress:
    """An engine's streams at this router, and its pace."""

    streams: set[int] = field(default_factory=set)
    gaps: Histogram = field(default_factory=lambda: Histogram(1_000, 16, 400))
    last_text_at: int = 0


@dataclass(frozen=True, slots=True)
class LostStream:
    """A stream that counts as lost, with the reason and the length of its silence."""

    stream: int
    engine: str
    cause: str
    silent_for: int


class StallDetector:
    """Follows all running streams of one router. The caller identifies each stream by a number."""

    def __init__(self, max_silence: int) -> None:
        self._max_silence = max_silence  # a stream that is silent for longer is lost, whatever the pace
        self._streams: dict[int, StreamProgress] = {}
        self._engines: dict[str, EngineProgress] = {}

    def started(self, stream: int, engine: str, now: int) -> None:
        """The first text of a stream has arrived."""
        self._streams[stream] = StreamProgress(engine, now)
        engine_progress = self._engines.setdefault(engine, EngineProgress())
        engine_progress.streams.add(stream)
        engine_progress.last_text_at = now

    def progressed(self, stream: int, now: int) -> None:
        """More text of a stream has arrived."""
        progress = self._streams.get(stream)
        if progress is None:
            return
        engine_progress = self._engines[progress.engine]
        if not progress.client_blocked:
            engine_progress.gaps.add(now - progress.last_text_at)
        progress.last_text_at, progress.client_blocked, engine_progress.last_text_at = now, False, now

    def client_blocked(self, stream: int) -> None:
        """The stream's client reads nothing, so a silence from here on is not the engine's fault."""
        if stream in self._streams:
            self._streams[stream].client_blocked = True

    def client_unblocked(self, stream: int, now: int) -> None:
        """The stream's client reads again."""
        progress = self._streams.get(stream)
        if progress and progress.client_blocked:
            progress.client_blocked, progress.last_text_at = False, now

    def ended(self, stream: int) -> None:
        progress = self._streams.pop(stream, None)
        if progress:
            self._engines[progress.engine].streams.discard(stream)

    def router_stalled(self, stall: int) -> None:
        """This router itself stood still for so long, which is no silence of an engine."""
        for progress in self._streams.values():
            progress.last_text_at += stall
        for engine_progress in self._engines.values():
            engine_progress.last_text_at += stall

    def silence_limit(self, engine: str) -> int:
        """How long this engine may be silent on all of its streams."""
        gaps = self._engines[engine].gaps
        if gaps.total < MIN_GAPS:
            return min(int(MIN_SILENCE * UNKNOWN_PACE_FACTOR), self._max_silence)
        return min(max(int(GAP_FACTOR * gaps.quantile(0.98)), MIN_SILENCE), self._max_silence)

    def lost_streams(self, now: int) -> list[LostStream]:
        """The streams that count as lost now. Until the caller ends one, it is returned again."""
        expecting = [
            name for name, engine_progress in self._engines.items() if self._expects_text(engine_progress)
        ]
        silent = {
            name for name in expecting if now - self._engines[name].last_text_at > self.silence_limit(name)
        }
        # When most engines are silent at once, that shows nothing about a single one. Without this check,
        # the streams of a whole fleet would be resumed together.
        most_silent = len(expecting) > 1 and len(silent) * 2 > len(expecting)
        lost = []
        for name in expecting:
            limit = self.silence_limit(name) * (MOST_SILENT_FACTOR if most_silent else 1.0)
            cause = "engine silent"
            if name not in silent:
                limit, cause = limit * SINGLE_STREAM_FACTOR, "stream silent"
            for stream in sorted(self._engines[name].streams):
                progress = self._streams[stream]
                silent_for = now - progress.last_text_at
                if not progress.client_blocked and silent_for > min(limit, self._max_silence):
                    lost.append(LostStream(stream, name, cause, silent_for))
        return lost

    def _expects_text(self, engine_progress: EngineProgress) -> bool:
        return any(not self._streams[stream].client_blocked for stream in engine_progress.streams)
