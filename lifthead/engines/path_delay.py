"""How long what an engine writes may be on its way, as measured on the connections to it. No I/O."""

from collections import deque

SAMPLES = 8  # of each kind, the latest ones: the shortest of them is the path's, the rest may be an engine's


class PathDelay:
    """An upper bound of the delay from one engine, from round trips: the time for a connection to come up,
    and for an engine to answer what it answers without work. All times are in seconds."""

    def __init__(self) -> None:
        self._connects: deque[float] = deque(maxlen=SAMPLES)
        self._answers: deque[float] = deque(maxlen=SAMPLES)

    def add_connect(self, took: float) -> None:
        """A connection came up after this time."""
        self._connects.append(took)

    def add_answer(self, took: float) -> None:
        """A message that needs no work was answered after this time."""
        self._answers.append(took)

    @property
    def current(self) -> float:
        """The longer of the shortest round trips of both kinds; 0 if nothing was measured."""
        return max(min(self._connects, default=0.0), min(self._answers, default=0.0))
