"""Entries on a disk: an append-only log in segments, snapshots of the book, and recovery, which is how it
starts.

A record is a length, a CRC-32C and a payload of entry number and entry. Numbers go up by one over all
segments. What each kind of damage comes to:

- a torn tail (a kill, a full disk in mid-write): what was not whole was never acknowledged; the next
entries go to a new segment, and their numbers tell that nothing is missing;
- a flipped bit, a missing segment: reading goes on at the next whole record; the numbers that are missing
stand in `missing`, `lifthead ledger verify` names them, and nothing is put in their place;
- a snapshot that can't be read: the one before it, else the segments from the start.
"""

import struct
from collections.abc import Iterator

import msgspec
from crc32c import crc32c

from lifthead.ledger.book import Book, decode_book, encode_book
from lifthead.ledger.disk import Disk
from lifthead.ledger.entries import Entry, Planned, decode, encode

RECORD_HEADER = struct.Struct("<II")
MAX_PAYLOAD_BYTES = 1 << 20  # bytes of one payload
SEGMENT_BYTES = 8 << 20  # bytes after which a new segment is begun
SNAPSHOT_INTERVAL = 50_000  # entries
KEPT_SNAPSHOTS = 2  # kept


def encode_record(number: int, entry: Entry) -> bytes:
    payload = encode((number, entry))
    return RECORD_HEADER.pack(len(payload), crc32c(payload)) + payload


def read_records(data: bytes) -> Iterator[tuple[int, Entry]]:
    """Whole records of a segment, in order; bytes that are none are passed over."""
    at, end = 0, len(data)
    while at + RECORD_HEADER.size <= end:
        size, sum_ = RECORD_HEADER.unpack_from(data, at)
        payload = (
            data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + size]
            if size <= MAX_PAYLOAD_BYTES
            else b""
        )
        if size and len(payload) == size and crc32c(payload) == sum_:
            try:
                found = decode(payload)
            except msgspec.DecodeError:
                at += 1
                continue
            yield found
            at += RECORD_HEADER.size + size
        else:
            at += 1  # looks for the next whole record


class Journal:
    """One router's ledger. Its methods block: the daemon calls them from a thread."""

    def __init__(self, disk: Disk, ledger: str) -> None:
        """Recovers what is there. `ledger` names a new one; an old one keeps its name."""
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
                disk.remove(name)  # a snapshot that was not finished
        self._recover([name for name in names if not name.endswith(".part")])
        self._snapshot_at = self.book.last
        self._segment = ""  # a new one is begun with the first entry: an old tail may be torn

    def _recover(self, names: list[str]) -> None:
        for name in sorted((name for name in names if name.startswith("snap-")), reverse=True):
            try:
                data = self._disk.read(name)
                size, sum_ = RECORD_HEADER.unpack_from(data)
                if size == len(data) - RECORD_HEADER.size and crc32c(data[RECORD_HEADER.size :]) == sum_:
                    self.book = decode_book(data[RECORD_HEADER.size :])
                    break
            except (OSError, struct.error, msgspec.DecodeError):
                continue
        for number, entry in self.entries(self.book.last + 1):
            if number > self.book.last + 1:
                self.missing.append((self.book.last + 1, number - 1))
            self.book.apply(number, entry)

    def entries(self, first: int, last: int | None = None) -> Iterator[tuple[int, Entry]]:
        """Entries by number, from the segments that may hold them."""
        segments = sorted(name for name in self._disk.names() if name.startswith("seg-"))
        seen = first - 1
        for at, name in enumerate(segments):
            # What a later segment holds anew was never acknowledged in this one: a write that failed half
            # way.
            bound = self._first(segments[at + 1]) - 1 if at + 1 < len(segments) else None
            if bound is not None and bound < first:
                continue
            for number, entry in read_records(self._disk.read(name)):
                if number > seen and (last is None or number <= last) and (bound is None or number <= bound):
                    seen = number
                    yield number, entry

    @staticmethod
    def _first(segment: str) -> int:
        return int(segment[4:-4].split("-")[0])

    def append(self, entries: list[Entry]) -> None:
        """Writes entries and waits for the disk; they count from then on. OSError: none of them counts, and
        what was written of them is passed over by the entries that come next."""
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
        for at, entry in enumerate(entries, self.book.last + 1):
            self.book.apply(at, entry)

    def _begin_segment(self) -> None:
        """Named by its first number and a count: a segment whose entries did not count may have had the
        same."""
        first = self.book.last + 1
        tries = sum(name.startswith(f"seg-{first:012}-") for name in self._disk.names())
        name = f"seg-{first:012}-{tries:04}.log"
        self._disk.append(name, b"")
        self._disk.sync(name)
        self._disk.sync_names()
        self._segment, self._size = name, 0

    def compact(self, force: bool = False) -> None:
        """A snapshot now and then; segments go once all in them has been exported and is in a snapshot."""
        if not force and self.book.last - self._snapshot_at < SNAPSHOT_INTERVAL:
            return
        data, name = encode_book(self.book), f"snap-{self.book.last:012}"
        if name + ".part" in self._disk.names():
            self._disk.remove(name + ".part")  # of a try that failed
        self._disk.append(name + ".part", RECORD_HEADER.pack(len(data), crc32c(data)) + data)
        self._disk.sync(name + ".part")
        self._disk.rename(name + ".part", name)
        self._disk.sync_names()
        self._snapshot_at = self.book.last
        names = self._disk.names()
        snapshots = sorted(each for each in names if each.startswith("snap-") and not each.endswith(".part"))
        segments = sorted(each for each in names if each.startswith("seg-"))
        oldest = int(snapshots[-KEPT_SNAPSHOTS:][0][5:])
        for segment, following in zip(segments, segments[1:], strict=False):
            if self._first(following) - 1 <= min(self.book.exported, oldest) and segment != self._segment:
                self._disk.remove(segment)
        for old in snapshots[:-KEPT_SNAPSHOTS]:
            self._disk.remove(old)
        self._disk.sync_names()

    def read_batch(self, planned: Planned) -> list[tuple[int, Entry]]:
        """The entries of a batch."""
        return list(self.entries(planned.first, planned.last))
