"""Discovery's list and watch: JSON objects become entries of the list of engines.

The follower keeps one watch open and opens another when it falls silent or ends; it tells nothing then, for
the list in hand stays the best there is. An odd entry costs only itself, an odd object the watch it came on.
"""

import asyncio
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from lifthead import http1
from lifthead.http1 import HttpError
from lifthead.interface import EngineEntry

READ = 65_536
MOST_OBJECT = 4 << 20  # bytes
# A change counts as told 6 s after discovery had it and could be reached, whatever became of earlier
# calls. The longest way back to a list is a call made a moment before: the three below in a row, seconds.
SILENT_FOR = 2.9  # without a whole line; an empty one comes every 2 s while nothing changes
CONNECT_WITHIN = 0.5
AGAIN_WITHIN = (0.1, 0.4)  # the longest pause before the next call, after one failure and after many in a row
# Where the list is asked for, discovery serves the whole fleet, and a call that it turns away costs it too:
# all that ask again at once keep it from answering anybody. So the next call comes late, drawn by chance.
TURNED_AWAY_FOR = (3.4, 4.0)  # seconds
LATEST = 1 << 42  # milliseconds of Unix time, in the year 2109: a start told later was never meant
STATES = ("ready", "draining", "gone")

log = logging.getLogger(__name__)


class StrangeNewsError(Exception):
    """What is no news of engines."""


class TurnedAwayError(StrangeNewsError):
    """Discovery answers, but takes no more calls now."""


class _Target(msgspec.Struct):
    uid: str
    endpoint: str
    az: str
    model: str
    state: str
    pod_group: int = 0
    capacity_hint: float = 1.0
    boot_ms: float = 0


class _Object(msgspec.Struct):
    rev: int
    all: bool
    targets: list[msgspec.Raw]


@dataclass(frozen=True, slots=True)
class News:
    """The whole list of engines, or what changed; with each entry the engine's address, "" if none is told
    that can be used. Starts are as told, in microseconds of Unix time: `lifthead.starts` turns them into this
    machine's own."""

    version: int
    whole: bool
    entries: list[tuple[EngineEntry, str]]


_decode = msgspec.json.Decoder(_Object).decode
_decode_target = msgspec.json.Decoder(_Target).decode


def news_of(data: bytes) -> News:
    """One object of the watch, or the whole list; StrangeNewsError if it is neither. An entry that can't be
    read is left out, and of others as much is believed as harms nothing. Either is logged."""
    try:
        found = _decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise StrangeNewsError(str(problem)) from None
    entries, odd = [], []
    for told in found.targets:
        try:
            entries.append(_entry_of(_decode_target(told), odd))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
            odd.append(f"{bytes(told)!r:.60}: {problem}")
    if odd:
        log.warning("version %d has %d odd entries, the first: %s", found.rev, len(odd), odd[0][:200])
    return News(found.rev, found.all, entries)


def _entry_of(target: _Target, odd: list[str]) -> tuple[EngineEntry, str]:
    """An engine in a state that is not known here, or without an address, gets nothing new."""
    state, address, size = target.state, target.endpoint, target.capacity_hint
    try:
        http1.parse_address(address)
    except ValueError as problem:
        if state != "gone":
            odd.append(f"engine {target.uid!r:.40}: {problem}")
            state = "draining"
        address = ""
    if state not in STATES:
        odd.append(f"engine {target.uid!r:.40}: state {state!r:.20}")
        state = "draining"
    if not (math.isfinite(size) and size >= 0):
        odd.append(f"engine {target.uid!r:.40}: capacity_hint {size}")
        size = 0.0  # not told
    boot = target.boot_ms if 0 <= target.boot_ms <= LATEST else 0.0
    if boot != target.boot_ms:
        odd.append(f"engine {target.uid!r:.40}: boot_ms {target.boot_ms}")
    entry = EngineEntry(target.uid, target.az, target.pod_group, target.model, size, int(boot * 1000), state)
    return entry, address


class Gathering:
    """Lines of the watch to objects, which stand in one line or are indented over several."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._size = 0

    @property
    def whole(self) -> bool:
        """Whether nothing was begun that is not at its end."""
        return not self._lines

    def take(self, line: bytes) -> News | None:
        """The news that this line ends, if it ends one; StrangeNewsError if it belongs to none. An empty line
        only tells that the watch lives."""
        line = line.rstrip()
        if not line and not self._lines:
            return None
        self._lines.append(line)
        self._size += len(line)
        if line and not line.endswith(b"}") and self._size <= MOST_OBJECT:
            return None
        try:
            news = news_of(b"\n".join(self._lines))
        except StrangeNewsError as problem:
            # An inner brace may end a line; what is whole and no news, or given up, won't become any.
            if line and self._size <= MOST_OBJECT and "truncated" in str(problem):
                return None
            raise
        self._lines, self._size = [], 0
        return news


class Follower:
    """Keeps the list as discovery has it. `version` is that of the list in hand, 0 for none. The pauses
    between its calls are drawn by chance: processes that lost discovery in one instant don't ask in one for
    ever."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        on_news: Callable[[News], None],
        seed: int = 0,
        shared: bool = False,
    ) -> None:
        """`shared`: the list is asked for, of a discovery that all routers share."""
        self.address = address
        self._shared = shared
        self.version = version
        self.heard = False  # whether a whole line ever came
        self._on_news = on_news
        self._chance = random.Random(seed)
        self._failures = 0  # calls in a row that brought no whole line
        self._strange = 0  # watches in a row that ended with what is no news
        self._last_said = ""
        self._writer: asyncio.StreamWriter | None = None
        self._turned = asyncio.Event()

    def turn_to(self, address: tuple[str, int]) -> None:
        """Discovery is at another address from now on."""
        if address == self.address:
            return
        self.address = address
        self._turned.set()
        if self._writer:
            self._writer.transport.abort()

    async def follow(self) -> None:
        """Never returns."""
        while True:
            self._turned.clear()
            address = self.address
            self._failures += 1  # until a line shows otherwise
            pause = 0.0
            try:
                await self._watch(address)
            except (OSError, TimeoutError, HttpError, StrangeNewsError) as problem:
                self._strange += isinstance(problem, StrangeNewsError)
                self._say(f"the watch at {address} ended: {str(problem)[:200] or type(problem).__name__}")
                if self._shared and isinstance(problem, TurnedAwayError):
                    pause = self._chance.uniform(*TURNED_AWAY_FOR)
            longest = min(AGAIN_WITHIN[0] * max(self._failures, 1), AGAIN_WITHIN[1])
            try:
                async with asyncio.timeout(pause or longest * self._chance.uniform(0.2, 1.0)):
                    await self._turned.wait()
            except TimeoutError:
                pass

    def _say(self, what: str) -> None:
        """Once, not at each call while discovery stays as it is."""
        if what != self._last_said:
            log.info("%s", what)
        self._last_said = what

    async def _watch(self, address: tuple[str, int]) -> None:
        """One watch, to its end. TimeoutError if it falls silent."""
        async with asyncio.timeout(CONNECT_WITHIN):
            reader, writer = await asyncio.open_connection(*address, limit=READ)
        self._writer = writer
        try:
            if address != self.address:
                return
            # What changed since may be odd each time it is asked for: then the whole list is.
            path = f"/v1/endpoints?stream=1&index={self.version if self._strange < 2 else 0}"
            writer.write(http1.encode_head(f"GET {path} HTTP/1.1", {"host": address[0]}))
            lines, gathering = http1.LineParser(MOST_OBJECT), Gathering()
            # Bytes alone show no life: half a line, or an object that never ends, is as good as silence.
            async with asyncio.timeout(SILENT_FOR) as silence:
                while not lines.answer.complete:
                    data = await reader.read(READ)
                    if not data or address != self.address:  # what is still buffered may be further back
                        return
                    found, head = lines.feed(data), lines.answer.head
                    if head and head.status != 200:
                        raise TurnedAwayError(f"status {head.status}")
                    for line in found:
                        if news := gathering.take(line):
                            self.version, self._strange = news.version, 0
                            self._on_news(news)
                        if gathering.whole:
                            self.heard, self._failures, self._last_said = True, 0, ""
                            silence.reschedule(asyncio.get_running_loop().time() + SILENT_FOR)
        finally:
            self._writer = None
            writer.transport.abort()
