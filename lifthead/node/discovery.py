"""Discovery's list and watch: one JSON object a line becomes entries of the list of engines.

The follower keeps one watch open and opens another when it falls silent or ends; it tells nothing then, for
the list in hand stays the best there is.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from lifthead import http1
from lifthead.hosting import up_since_of, wall_ahead
from lifthead.http1 import HttpError
from lifthead.interface import EngineEntry

READ = 65_536
MOST_LINE = 4 << 20  # bytes of one object
SILENT_FOR = 2.9  # seconds; an empty line comes every 2 s while nothing changes
CONNECT_WITHIN = 0.5  # seconds
AGAIN_AFTER = 0.1  # seconds

log = logging.getLogger(__name__)


class StrangeNewsError(Exception):
    """A line that is no news of engines."""


class _Target(msgspec.Struct):
    uid: str
    endpoint: str
    az: str
    model: str
    state: str
    pod_group: int = 0
    capacity_hint: float = 1.0
    boot_ms: int = 0


class _Object(msgspec.Struct):
    rev: int
    all: bool
    targets: list[_Target]


@dataclass(frozen=True, slots=True)
class News:
    """The whole list of engines, or what changed; with each entry the engine's address."""

    version: int
    whole: bool
    entries: list[tuple[EngineEntry, str]]


_decode = msgspec.json.Decoder(_Object).decode
# Starts are told by the wall clock, which all machines share; all else runs by this machine's own.
_WALL_AHEAD = wall_ahead()


def news_of(line: bytes) -> News:
    """One object of the watch, or the whole list; StrangeNewsError if it is neither."""
    try:
        found = _decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise StrangeNewsError(str(problem)) from None
    entries = []
    for target in found.targets:
        if target.state not in ("ready", "draining", "gone"):
            raise StrangeNewsError(f"engine {target.uid!r:.40}: {target.state!r:.20}")
        try:
            http1.address_of(target.endpoint)
        except ValueError as problem:
            raise StrangeNewsError(f"engine {target.uid!r:.40}: {problem}") from None
        up_since = up_since_of(target.boot_ms * 1000, _WALL_AHEAD)
        size, state = target.capacity_hint, target.state
        entry = EngineEntry(target.uid, target.az, target.pod_group, target.model, size, up_since, state)
        entries.append((entry, target.endpoint))
    return News(found.rev, found.all, entries)


class Follower:
    """Keeps the list as discovery has it. `version` is that of the list in hand, 0 for none."""

    def __init__(self, address: tuple[str, int], version: int, on_news: Callable[[News], None]) -> None:
        self.address = address
        self.version = version
        self._on_news = on_news
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
            try:
                await self._watch(address)
            except (OSError, TimeoutError, HttpError, StrangeNewsError) as problem:
                log.info("the watch at %s ended: %s", address, str(problem)[:200] or type(problem).__name__)
            try:
                async with asyncio.timeout(AGAIN_AFTER):
                    await self._turned.wait()
            except TimeoutError:
                pass

    async def _watch(self, address: tuple[str, int]) -> None:
        """One watch, to its end. TimeoutError if it falls silent."""
        async with asyncio.timeout(CONNECT_WITHIN):
            reader, writer = await asyncio.open_connection(*address, limit=READ)
        self._writer = writer
        try:
            if address != self.address:
                return
            path = f"/v1/endpoints?stream=1&index={self.version}"
            writer.write(http1.head(f"GET {path} HTTP/1.1", {"host": address[0]}))
            lines = http1.Lines(MOST_LINE)
            while not lines.answer.complete:
                async with asyncio.timeout(SILENT_FOR):
                    data = await reader.read(READ)
                if not data:
                    return
                found, head = lines.feed(data), lines.answer.head
                if head and head.status != 200:
                    raise StrangeNewsError(f"status {head.status}")
                for line in found:
                    if line.strip():
                        self._tell(line)
        finally:
            self._writer = None
            writer.transport.abort()

    def _tell(self, line: bytes) -> None:
        news = news_of(line)
        self.version = news.version
        self._on_news(news)
