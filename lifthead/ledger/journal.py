"""Entries on a disk: an append-only log in segments, snapshots of the book, and recovery at the start.

A record is a length, a CRC-32C and a payload of entry number and entry. Numbers increase by one across all
segments. Each kind of damage has its own consequence:

- A torn tail (after a kill, or a disk that was full in the middle of a write): incomplete records were never
  acknowledged. The next entries go to a new segment, and their numbers show that nothing is missing.
- A flipped bit or a missing segment: reading goes on at the next intact record. The numbers that are missing
  are listed in `missing`, `lifthead ledger verify` prints them, and nothing is put in their place.
- A snapshot that can't be read: recovery uses the one before it, else the segments from the start.
"""

import struct
from collections.abc import Iterator

import msgspec
from crc32c import crc32c

from lifthead.ledger.book import Book, decode_book, encode_book
from lifthead.ledger.disk import Disk
from lifthead.ledger.entries import Entry, Planned, decode, encode

RECORD_HEADER = struct.Struct("<II")
MAX_PAYLOAD_BYTES = 1 << 20
SEGMENT_BYTES = 8 << 20  # above this size, the next write begins a new segment
SNAPSHOT_INTERVAL = 50_000  # entries between snapshots
KEPT_SNAPSHOTS = 2


def encode_record(number: int, entry: Entry) -> bytes:
    """One record as it is written to a segment."""
    payload = encode((number, entry))
    return RECORD_HEADER.pack(len(payload), crc32c(payload)) + payload


def read_records(data: bytes) -> Iterator[tuple[int, Entry]]:
    """The intact records of a segment, in order; other bytes are skipped."""
    offset, end = 0, len(data)
    while offset + RECORD_HEADER.size <= end:
        size, checksum = RECORD_HEADER.unpack_from(data, offset)
        payload = (
            data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + size]
            if size <= MAX_PAYLOAD_BYTES
            else b""
        )
        if size and len(payload) == size and crc32c(payload) == checksum:
            try:
                record = decode(payload)
            except msgspec.DecodeError:
                offset += 1
                continue
            yield record
            offset += RECORD_HEADER.size + size
        else:
            offset += 1  # search for the next intact record


class Journal:
    """One router's ledger. Its methods block: the daemon calls them in a thread."""

    def __init__(self, disk: Disk, ledger: str) -> None:
        """Recovers the ledger on the disk. `ledger` is the name of a new one; an existing one keeps its
        name."""
        self._disk = disk
        self.book = Book()
        self.missing: list[tuple[int, int]] = []
        self._size = 0
        names = disk.names()
        self.name = next((name[3:] for name in names if name.startswith("id-")), "")
        if not self.name:
            self.name = ledger
            disk.append(f"id-{ledger}", b"\n")
            disk.sync(f"id-{ledger}")
            disk.sync_names()
        for name in names:
            if name.endswith(".part"):
                disk.remove(name)  # an unfinished snapshot
        self._recover([name for name in names if not name.endswith(".part")])
        self._snapshot_at = self.book.last
        self._segment = ""  # the first entry begins a new segment: the tail of the last one may be torn

    def _recover(self, names: list[str]) -> None:
        for name in sorted((name for name in names if name.startswith("snap-")), reverse=True):
            try:
                data = self._disk.read(name)
                size, checksum = RECORD_HEADER.unpack_from(data)
                if size == len(data) - RECORD_HEADER.size and crc32c(data[RECORD_HEADER.size :]) == checksum:
                    self.book = decode_book(data[RECORD_HEADER.size :])
                    break
            except (OSError, struct.error, msgspec.DecodeError):
                continue
        for number, entry in self.entries(self.book.last + 1):
            if number > self.book.last + 1:
                self.missing.append((self.book.last + 1, number - 1))
            self.book.apply(number, entry)

    def entries(self, first: int, last: int | None = None) -> Iterator[tuple[int, Entry]]:
        """The entries in this range of numbers, read from the segments that may contain them."""
        segments = sorted(name for name in self._disk.names() if name.startswith("seg-"))
        last_read = first - 1
        for index, name in enumerate(segments):
            # Numbers that a later segment repeats were never acknowledged here: the write failed part way.
            segment_last = self._first_number(segments[index + 1]) - 1 if index + 1 < len(segments) else None
            if segment_last is not None and segment_last < first:
                continue
            for number, entry in read_records(self._disk.read(name)):
                if (
                    number > last_read
                    and (last is None or number <= last)
                    and (segment_last is None or number <= segment_last)
                ):
                    last_read = number
                    yield number, entry

    @staticmethod
    def _first_number(segment: str) -> int:
        return int(segment[4:-4].split("-")[0])

    def append(self, entries: list[Entry]) -> None:
        """Writes entries and waits for the disk; from then on they count. After an OSError none of them
        counts, and what was written of them is superseded by the next entries."""
        if not entries:
            return
        number = self.book.last
        data = bytearray()
        for entry in entries:
            number += 1
            data += encode_record(number, entry)
        try:
            if not self._segment or self._size > SEGMENT_BYTES:
                self._begin_segment()
            self._disk.append(self._segment, bytes(data))
            self._disk.sync(self._segment)
        except OSError:
            self._segment = ""  # its tail may be torn
            raise
        self._size += len(data)
        for entry_number, entry in enumerate(entries, self.book.last + 1):
            self.book.apply(entry_number, entry)

    def _begin_segment(self) -> None:
        """The name holds the first entry number and a count, since an earlier segment whose entries did not
        count may begin with the same number."""
        first = self.book.last + 1
        earlier = sum(name.startswith(f"seg-{first:012}-") for name in self._disk.names())
        name = f"seg-{first:012}-{earlier:04}.log"
        self._disk.append(name, b"")
        self._disk.sync(name)
        self._disk.sync_names()
        self._segment, self._size = name, 0

    def compact(self, force: bool = False) -> None:
        """Writes a snapshot every SNAPSHOT_INTERVAL entries, and removes segments whose entries have all been
        exported and are covered by every kept snapshot."""
        if not force and self.book.last - self._snapshot_at < SNAPSHOT_INTERVAL:
            return
        data, name = encode_book(self.book), f"snap-{self.book.last:012}"
        if name + ".part" in self._disk.names():
            self._disk.remove(name + ".part")  # left by a failed attempt
        self._disk.append(name + ".part", RECORD_HEADER.pack(len(data), crc32c(data)) + data)
        self._disk.sync(name + ".part")
        self._disk.rename(name + ".part", name)
        self._disk.sync_names()
        self._snapshot_at = self.book.last
        names = self._disk.names()
        snapshots = sorted(each for each in names if each.startswith("snap-") and not each.endswith(".part"))
        segments = sorted(each for each in names if each.startswith("seg-"))
        oldest = int(snapshots[-KEPT_SNAPSHOTS:][0][5:])
        for segment, next_segment in zip(segments, segments[1:], strict=False):
            if (
                self._first_number(next_segment) - 1 <= min(self.book.exported, oldest)
                and segment != self._segment
            ):
                self._disk.remove(segment)
        for old in snapshots[:-KEPT_SNAPSHOTS]:
            self._disk.remove(old)
        self._disk.sync_names()

    def read_batch(self, planned: Planned) -> list[tuple[int, Entry]]:
        """The entries of a planned batch."""
        return list(self.entries(planned.first, planned.last))
