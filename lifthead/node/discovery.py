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

READ_BYTES = 65_536
MAX_UPDATE_BYTES = 4 << 20  # bytes
# A change counts as told 6 s after discovery had it and could be reached, whatever became of earlier
# calls. The longest way back to a list is a call made a moment before: the three below in a row, seconds.
SILENCE_TIMEOUT = 2.9  # without a whole line; an empty one comes every 2 s while nothing changes
CONNECT_TIMEOUT = 0.5
MAX_RETRY_PAUSES = (
    0.1,
    0.4,
)  # the longest pause before the next call, after one failure and after many in a row
# Where the list is asked for, discovery serves the whole fleet, and a call that it turns away costs it too:
# all that ask again at once keep it from answering anybody. So the next call comes late, drawn by chance.
REFUSED_PAUSE = (3.4, 4.0)  # seconds
MAX_BOOT_MS = 1 << 42  # milliseconds of Unix time, in the year 2109: a start told later was never meant
STATES = ("ready", "draining", "gone")

log = logging.getLogger(__name__)


class MalformedUpdateError(Exception):
    """What is no news of engines."""


class WatchRefusedError(MalformedUpdateError):
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


class _UpdateMessage(msgspec.Struct):
    rev: int
    all: bool
    targets: list[msgspec.Raw]


@dataclass(frozen=True, slots=True)
class EngineListUpdate:
    """The whole list of engines, or what changed; with each entry the engine's address, "" if none is told
    that can be used. Starts are as told, in microseconds of Unix time: `lifthead.starts` turns them into this
    machine's own."""

    version: int
    is_snapshot: bool
    entries: list[tuple[EngineEntry, str]]


_decode_update = msgspec.json.Decoder(_UpdateMessage).decode
_decode_target = msgspec.json.Decoder(_Target).decode


def parse_update(data: bytes) -> EngineListUpdate:
    """One object of the watch, or the whole list; StrangeNewsError if it is neither. An entry that can't be
    read is left out, and of others as much is believed as harms nothing. Either is logged."""
    try:
        message = _decode_update(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedUpdateError(str(error)) from None
    entries, problems = [], []
    for raw_target in message.targets:
        try:
            entries.append(_engine_entry(_decode_target(raw_target), problems))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            problems.append(f"{bytes(raw_target)!r:.60}: {error}")
    if problems:
        log.warning(
            "version %d has %d odd entries, the first: %s", message.rev, len(problems), problems[0][:200]
        )
    return EngineListUpdate(message.rev, message.all, entries)


def _engine_entry(target: _Target, problems: list[str]) -> tuple[EngineEntry, str]:
    """An engine in a state that is not known here, or without an address, gets nothing new."""
    state, address, capacity = target.state, target.endpoint, target.capacity_hint
    try:
        http1.address_of(address)
    except ValueError as error:
        if state != "gone":
            problems.append(f"engine {target.uid!r:.40}: {error}")
            state = "draining"
        address = ""
    if state not in STATES:
        problems.append(f"engine {target.uid!r:.40}: state {state!r:.20}")
        state = "draining"
    if not (math.isfinite(capacity) and capacity >= 0):
        problems.append(f"engine {target.uid!r:.40}: capacity_hint {capacity}")
        capacity = 0.0  # not told
    boot_ms = target.boot_ms if 0 <= target.boot_ms <= MAX_BOOT_MS else 0.0
    if boot_ms != target.boot_ms:
        problems.append(f"engine {target.uid!r:.40}: boot_ms {target.boot_ms}")
    entry = EngineEntry(
        target.uid, target.az, target.pod_group, target.model, capacity, int(boot_ms * 1000), state
    )
    return entry, address


class UpdateAssembler:
    """Lines of the watch to objects, which stand in one line or are indented over several."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._buffered_bytes = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing was begun that is not at its end."""
        return not self._lines

    def feed(self, line: bytes) -> EngineListUpdate | None:
        """The news that this line ends, if it ends one; StrangeNewsError if it belongs to none. An empty line
        only tells that the watch lives."""
        line = line.rstrip()
        if not line and not self._lines:
            return None
        self._lines.append(line)
        self._buffered_bytes += len(line)
        if line and not line.endswith(b"}") and self._buffered_bytes <= MAX_UPDATE_BYTES:
            return None
        try:
            update = parse_update(b"\n".join(self._lines))
        except MalformedUpdateError as error:
            # An inner brace may end a line; what is whole and no news, or given up, won't become any.
            if line and self._buffered_bytes <= MAX_UPDATE_BYTES and "truncated" in str(error):
                return None
            raise
        self._lines, self._buffered_bytes = [], 0
        return update


class Watch:
    """Keeps the list as discovery has it. `version` is that of the list in hand, 0 for none. The pauses
    between its calls are drawn by chance: processes that lost discovery in one instant don't ask in one for
    ever."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        on_update: Callable[[EngineListUpdate], None],
        seed: int = 0,
        shared: bool = False,
    ) -> None:
        """`shared`: the list is asked for, of a discovery that all routers share."""
        self.address = address
        self._shared = shared
        self.version = version
        self.has_update = False  # whether a whole line ever came
        self._on_update = on_update
        self._random = random.Random(seed)
        self._consecutive_failures = 0  # calls in a row that brought no whole line
        self._consecutive_malformed = 0  # watches in a row that ended with what is no news
        self._last_logged = ""
        self._writer: asyncio.StreamWriter | None = None
        self._address_changed = asyncio.Event()

    def set_address(self, address: tuple[str, int]) -> None:
        """Discovery is at another address from now on."""
        if address == self.address:
            return
        self.address = address
        self._address_changed.set()
        if self._writer:
            self._writer.transport.abort()

    async def run(self) -> None:
        """Never returns."""
        while True:
            self._address_changed.clear()
            address = self.address
            self._consecutive_failures += 1  # until a line shows otherwise
            refused_pause = 0.0
            try:
                await self._watch_once(address)
            except (OSError, TimeoutError, HttpError, MalformedUpdateError) as error:
                self._consecutive_malformed += isinstance(error, MalformedUpdateError)
                self._log_once(f"the watch at {address} ended: {str(error)[:200] or type(error).__name__}")
                if self._shared and isinstance(error, WatchRefusedError):
                    refused_pause = self._random.uniform(*REFUSED_PAUSE)
            max_pause = min(MAX_RETRY_PAUSES[0] * max(self._consecutive_failures, 1), MAX_RETRY_PAUSES[1])
            try:
                async with asyncio.timeout(refused_pause or max_pause * self._random.uniform(0.2, 1.0)):
                    await self._address_changed.wait()
            except TimeoutError:
                pass

    def _log_once(self, text: str) -> None:
        """Once, not at each call while discovery stays as it is."""
        if text != self._last_logged:
            log.info("%s", text)
        self._last_logged = text

    async def _watch_once(self, address: tuple[str, int]) -> None:
        """One watch, to its end. TimeoutError if it falls silent."""
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address, limit=READ_BYTES)
        self._writer = writer
        try:
            if address != self.address:
                return
            # What changed since may be odd each time it is asked for: then the whole list is.
            path = f"/v1/endpoints?stream=1&index={self.version if self._consecutive_malformed < 2 else 0}"
            writer.write(http1.head(f"GET {path} HTTP/1.1", {"host": address[0]}))
            line_decoder, assembler = http1.Lines(MAX_UPDATE_BYTES), UpdateAssembler()
            # Bytes alone show no life: half a line, or an object that never ends, is as good as silence.
            async with asyncio.timeout(SILENCE_TIMEOUT) as silence_timeout:
                while not line_decoder.answer.complete:
                    data = await reader.read(READ_BYTES)
                    if not data or address != self.address:  # what is still buffered may be further back
                        return
                    received_lines, head = line_decoder.feed(data), line_decoder.answer.head
                    if head and head.status != 200:
                        raise WatchRefusedError(f"status {head.status}")
                    for line in received_lines:
                        if update := assembler.feed(line):
                            self.version, self._consecutive_malformed = update.version, 0
                            self._on_update(update)
                        if assembler.is_empty:
                            self.has_update, self._consecutive_failures, self._last_logged = True, 0, ""
                            silence_timeout.reschedule(asyncio.get_running_loop().time() + SILENCE_TIMEOUT)
        finally:
            self._writer = None
            writer.transport.abort()
