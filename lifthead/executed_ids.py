"""Remembers the ids of requests that may have run and must not run again, for some time and in bounded
memory. No I/O.

Another process does not know of them: an id that comes to another router, or after a restart, is not
recognized (docs/node.md).
"""

KEPT_FOR = 300_000_000  # microseconds after the end of the request
MAX_IDS = 16_384


class ExecutedIds:
    """Ids by the time at which their requests ended, the oldest first."""

    def __init__(self) -> None:
        self._ended_at: dict[str, int] = {}

    def add(self, request_id: str, now: int) -> None:
        """A request that may have run has ended. Beyond MAX_IDS the oldest one is forgotten."""
        self._ended_at.pop(request_id, None)
        self._ended_at[request_id] = now
        while len(self._ended_at) > MAX_IDS or now - self._oldest_end >= KEPT_FOR:
            del self._ended_at[next(iter(self._ended_at))]

    def has(self, request_id: str, now: int) -> bool:
        """Whether a request with this id may have run."""
        ended_at = self._ended_at.get(request_id)
        return ended_at is not None and now - ended_at < KEPT_FOR

    @property
    def _oldest_end(self) -> int:
        return next(iter(self._ended_at.values()))

    def __len__(self) -> int:
        return len(self._ended_at)
