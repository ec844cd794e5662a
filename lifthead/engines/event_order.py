"""The order of what an engine's event stream may hold: a table of what may follow what. No I/O."""

from enum import Enum


class StreamPart(Enum):
    """One part of a stream."""

    COMMENT = "a comment"
    EVENT = "an event"
    END_MARK = "the end mark"
    LAST_CHUNK = "the last chunk"


_EVENT = StreamPart.EVENT

# A comment may stand between any two others, and changes nothing. None: at the beginning of the stream.
MAY_FOLLOW: dict[StreamPart | None, tuple[StreamPart, ...]] = {
    None: (StreamPart.COMMENT, StreamPart.EVENT),
    StreamPart.EVENT: (StreamPart.EVENT, StreamPart.COMMENT, StreamPart.END_MARK),
    StreamPart.END_MARK: (StreamPart.COMMENT, StreamPart.LAST_CHUNK),
    StreamPart.LAST_CHUNK: (),
}


class OrderError(ValueError):
    """A part came where it can't belong."""


class EventOrder:
    """What one stream has brought so far, and what may come next."""

    def __init__(self) -> None:
        self.last: StreamPart | None = None  # that was no comment
        self._may_follow = MAY_FOLLOW[None]

    def allows(self, part: StreamPart) -> bool:
        """Whether this part may come next."""
        return part in self._may_follow

    def add(self, part: StreamPart) -> None:
        """Notes the next part; raises OrderError if it can't belong there."""
        if part is self.last and part is _EVENT:
            return  # what nearly all of a stream consists of
        if part not in self._may_follow:
            place = f"behind {self.last.value}" if self.last else "at the beginning"
            raise OrderError(f"{part.value} {place}")
        if part is not StreamPart.COMMENT:
            self.last = part
            self._may_follow = MAY_FOLLOW[part]
