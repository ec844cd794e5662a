"""The client of the discovery service: decodes its updates and watches it for new ones.

A `Watch` keeps one streaming call open and starts another when the call ends or falls silent. A lost call
changes nothing for the host: the last list remains the best one known. A malformed entry is dropped alone, a
malformed update ends the call that it came on.
"""

import asyncio
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from lifthead import http1
from lifthead.bounds import MAX_INT64
from lifthead.http1 import HttpError
from lifthead.interface import EngineEntry

READ_BYTES = 65_536  # in one read of a connection
MAX_UPDATE_BYTES = 4 << 20
# The platform requires that a change is applied within 6 s of discovery having it and being reachable,
# whatever happened to earlier calls. The slowest recovery is from a call that has just been made and hangs:
# the silence timeout, the longest retry pause and the connect timeout one after the other. All are seconds.
SILENCE_TIMEOUT = 2.9  # without a complete line; discovery sends an empty one every 2 s while nothing changes
# The same for the first line of every second call in a row that brings none: discovery may be slow and not
# silent. With a pause and the connect timeout this stays within the 6 s as well.
SLOW_ANSWER_TIMEOUT = 4.5
CONNECT_TIMEOUT = 0.5
MAX_RETRY_PAUSES = (0.1, 0.4)  # before the next call, after one failure and after many in a row
# A shared discovery service serves the whole fleet, and refusing a call costs it as much as answering one.
# Routers that all retry at once keep it from answering any of them, so the pause after a refusal is long and
# random: the shortest and the longest, in seconds.
REFUSED_PAUSE = (3.4, 4.0)
MAX_BOOT_MS = 1 << 42  # milliseconds of Unix time, in the year 2109; a later start time is an error
STATES = ("ready", "draining", "gone")

log = logging.getLogger(__name__)


class MalformedUpdateError(Exception):
    """Received data is not an update of the list of engines."""


class WatchRefusedError(MalformedUpdateError):
    """Discovery answered a call with an error status, as it does when it is overloaded."""


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
    rev: Annotated[int, Meta(ge=-MAX_INT64, le=MAX_INT64)]
    all: bool
    targets: list[msgspec.Raw]


@dataclass(frozen=True, slots=True)
class EngineListUpdate:
    """The complete list of engines (a snapshot), or the entries that changed. Each entry comes with the
    engine's address, which is empty if no valid one was given. Start times are wall clock times in
    microseconds of Unix time; `lifthead.starts` converts them to this machine's monotonic clock."""

    version: int
    is_snapshot: bool
    entries: list[tuple[EngineEntry, str]]


_decode_update = msgspec.json.Decoder(_UpdateMessage).decode
_decode_target = msgspec.json.Decoder(_Target).decode


def parse_update(data: bytes) -> EngineListUpdate:
    """Decodes one update of a watch or the list in the configuration; raises MalformedUpdateError if it is
    neither. An entry that can't be decoded is left out, and implausible fields of other entries are replaced
    by harmless values. Both are logged."""
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
            "version %d has %d odd entries, the first: %s",
            message.rev,
            len(problems),
            problems[0][:200],
        )
    return EngineListUpdate(message.rev, message.all, entries)


def _engine_entry(target: _Target, problems: list[str]) -> tuple[EngineEntry, str]:
    """Converts an entry. An engine with an unknown state or without a valid address counts as draining, so
    that it gets no new requests."""
    state, address, capacity = target.state, target.endpoint, target.capacity_hint
    try:
        http1.parse_address(address)
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
        capacity = 0.0  # unknown
    boot_ms = target.boot_ms if 0 <= target.boot_ms <= MAX_BOOT_MS else 0.0
    if boot_ms != target.boot_ms:
        problems.append(f"engine {target.uid!r:.40}: boot_ms {target.boot_ms}")
    entry = EngineEntry(
        target.uid, target.az, target.pod_group, target.model, capacity, int(boot_ms * 1000), state
    )
    return entry, address


class UpdateAssembler:
    """Assembles the lines of a watch into updates, each of which is one JSON object on one or more lines."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._buffered_bytes = 0
        self._open_brackets = 0

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete update is buffered."""
        return not self._lines

    def feed(self, line: bytes) -> EngineListUpdate | None:
        """Returns the update that this line completes, if any; raises MalformedUpdateError if the lines so
        far can't become one. An empty line between updates only shows that the connection is alive."""
        line = line.rstrip()
        if not line and not self._lines:
            return None
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._open_brackets += _count_open_brackets(line)
        if line and self._open_brackets > 0 and self._buffered_bytes <= MAX_UPDATE_BYTES:
            return None
        update = parse_update(b"\n".join(self._lines))
        self._lines, self._buffered_bytes, self._open_brackets = [], 0, 0
        return update


def _count_open_brackets(line: bytes) -> int:
    """Returns how many more brackets a line of JSON opens than it closes, those in strings aside. A string
    holds no line break."""
    without_escapes = line.replace(rb"\\", b"").replace(rb"\"", b"")
    outside_strings = b"".join(without_escapes.split(b'"')[::2])
    opened = outside_strings.count(b"{") + outside_strings.count(b"[")
    return opened - outside_strings.count(b"}") - outside_strings.count(b"]")


class Watch:
    """Follows the list of the discovery service. `version` is that of the current list, 0 if there is none.
    The pauses between calls are random: otherwise all processes that lost discovery at the same moment would
    retry at the same moments from then on."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        on_update: Callable[[EngineListUpdate], None],
        seed: int = 0,
        shared: bool = False,
        on_line: Callable[[], None] = lambda: None,
    ) -> None:
        """`shared`: all routers of the fleet use one discovery service. `on_line` is called at each complete
        line before its update is applied; an empty one shows that the current version is the newest."""
        self.address = address
        self._shared = shared
        self.version = version
        self._on_update = on_update
        self._on_line = on_line
        self._was_reached = False
        self.is_absent = False  # whether nothing has ever listened at its address: each call was refused
        self._random = random.Random(seed)
        self._consecutive_failures = 0  # calls in a row that brought no complete line
        self._consecutive_silent = 0  # calls in a row that brought no complete line in time
        self._consecutive_malformed = 0  # calls in a row that a malformed update or a refusal ended
        self._last_logged = ""
        self._writer: asyncio.StreamWriter | None = None
        self._address_changed = asyncio.Event()

    def set_address(self, address: tuple[str, int]) -> None:
        """Moves the watch to another address of the discovery service."""
        if address == self.address:
            return
        self.address = address
        self._address_changed.set()
        if self._writer:
            self._writer.transport.abort()

    async def run(self) -> None:
        """Watches discovery, one call after another. Never returns."""
        while True:
            self._address_changed.clear()
            address = self.address
            self._consecutive_failures += 1  # a complete line resets it
            refused_pause = 0.0
            try:
                await self._watch_once(address)
            except (OSError, TimeoutError, HttpError, MalformedUpdateError) as error:
                self._was_reached = self._was_reached or not isinstance(error, ConnectionRefusedError)
                self.is_absent = not self._was_reached
                self._consecutive_silent += isinstance(error, TimeoutError)
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
        """Logs a message unless it is the same as the last one."""
        if text != self._last_logged:
            log.info("%s", text)
        self._last_logged = text

    async def _watch_once(self, address: tuple[str, int]) -> None:
        """Makes one call and applies its updates until it ends. Raises TimeoutError if it falls silent."""
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address, limit=READ_BYTES)
        self._writer = writer
        self._was_reached, self.is_absent = True, False
        try:
            if address != self.address:
                return
            # After two malformed updates in a row the complete list is requested: the changes since the
            # current version may be malformed each time.
            path = f"/v1/endpoints?stream=1&index={self.version if self._consecutive_malformed < 2 else 0}"
            writer.write(http1.encode_head(f"GET {path} HTTP/1.1", {"host": address[0]}))
            line_decoder, assembler = http1.LineParser(MAX_UPDATE_BYTES), UpdateAssembler()
            # Only a complete line or update resets the timeout: half a line, or an object that never ends, is
            # no better than silence.
            is_patient = self._consecutive_silent % 2 == 1
            first_timeout = SLOW_ANSWER_TIMEOUT if is_patient else SILENCE_TIMEOUT
            async with asyncio.timeout(first_timeout) as silence_timeout:
                while not line_decoder.answer.complete:
                    data = await reader.read(READ_BYTES)
                    # Data still buffered from an old address may be older than the new address's list.
                    if not data or address != self.address:
                        return
                    received_lines, head = line_decoder.feed(data), line_decoder.answer.head
                    if head and head.status != 200:
                        raise WatchRefusedError(f"status {head.status}")
                    for line in received_lines:
                        update = assembler.feed(line)
                        if assembler.is_empty:
                            self._on_line()
                        if update:
                            self.version, self._consecutive_malformed = update.version, 0
                            self._on_update(update)
                        if assembler.is_empty:
                            self._consecutive_failures, self._last_logged = 0, ""
                            self._consecutive_silent = 0
                            silence_timeout.reschedule(asyncio.get_running_loop().time() + SILENCE_TIMEOUT)
        finally:
            self._writer = None
            writer.transport.abort()
