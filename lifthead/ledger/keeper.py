"""The ledger in a running router: entries wait in a queue, a thread writes them in groups, exports go out
one by one."""

import asyncio
import fcntl
import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from lifthead.deployment.fleet import LedgerTerms
from lifthead.ledger import export
from lifthead.ledger.book import RefusedError
from lifthead.ledger.disk import Disk, DiskDirectory
from lifthead.ledger.entries import Delivered, Entry, Usage, period_of
from lifthead.ledger.journal import Journal

MOST_WAITING = (
    50_000  # entries that wait for a disk that can't be written; what comes then is lost, and counted
)
GROUP = 5_000  # entries that are written at once, at most
AGAIN_AFTER = 0.5  # seconds after a failed write
LEAVE_AFTER = 5.0  # seconds that a last event waits for the disk


class LockedError(Exception):
    """Another process has this ledger open."""


def open_journal(path: Path, disk: Callable[[Path], Disk] = DiskDirectory) -> Journal:
    """The ledger in this directory, made if there is none; LockedError if another process has it."""
    path.mkdir(parents=True, exist_ok=True)
    lock = open(path / "lock", "a")  # noqa: SIM115 - held as long as the process, or until the journal goes
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        raise LockedError(f"{path}: another process has this ledger") from None
    journal = Journal(disk(path), uuid.uuid4().hex[:12])
    journal.lock = lock  # type: ignore[attr-defined]
    return journal


class LedgerWriter:
    def __init__(self, journal: Journal, terms: LedgerTerms, log: Any, lost: Callable[[int], None]) -> None:
        self.journal, self.terms = journal, terms
        self.unwritable = False
        self.unbilled = 0
        self._log, self._lost = log, lost
        self._queue: list[tuple[Entry, asyncio.Event]] = []
        self._wanted = asyncio.Event()
        self._disk = asyncio.Lock()
        self._at = journal.book.at
        if journal.missing:
            log.error("the ledger has lost entries", missing=journal.missing)

    def now(self) -> int:
        """Wall clock, microseconds; it never goes back in a ledger."""
        self._at = max(self._at, time.time_ns() // 1000)
        return self._at

    def period(self) -> str:
        wanted = period_of(self.now(), self.terms.zone, self.terms.period)
        return self.journal.book.open_period(wanted)

    @property
    def refuses_requests(self) -> bool:
        """Whether no req is to be taken, since what it uses could not be written down."""
        return self.unwritable and self.terms.when_unwritable == "refuse"

    def append(self, entry: Usage) -> asyncio.Event:
        """Takes an entry; the event is set once it is on the disk."""
        sure = asyncio.Event()
        if len(self._queue) >= MOST_WAITING:
            self.unbilled += 1
            self._lost(1)
            self._log.error(
                "an entry is lost: the disk can't be written", entry=entry.id, unbilled=self.unbilled
            )
            return sure
        self._queue.append((entry, sure))
        self._wanted.set()
        return sure

    async def append_and_wait(self, entry: Usage) -> None:
        """Takes an entry and waits for the disk, where the settings say so."""
        event = self.append(entry)
        if self.terms.wait and not self.unwritable:
            try:
                async with asyncio.timeout(LEAVE_AFTER):
                    await event.wait()
            except TimeoutError:
                self._log.error(
                    "the disk is too slow: an answer ends before its entry is sure", entry=entry.id
                )

    async def run_writer(self) -> None:
        """Group commit: all that waits is written at once, with one wait for the disk."""
        while True:
            await self._wanted.wait()
            if not self.terms.wait:
                await asyncio.sleep(self.terms.commit_every / 1e6)
            await self.flush()
            if self.unwritable:
                await asyncio.sleep(AGAIN_AFTER)

    async def close(self) -> None:
        """Writes what waits, once more if need be: the process ends."""
        for _ in range(3):
            if self._queue:
                await self.flush()
        if self._queue:
            self.unbilled += len(self._queue)
            self._log.error("entries are lost with the end of the process", unbilled=self.unbilled)

    async def flush(self) -> None:
        """Writes what waits. It is taken once the disk is free: another write may end with it meanwhile."""
        self._wanted.clear()
        async with self._disk:
            group = self._queue[:GROUP]
            if not group:
                return
            entries = [self._now_open(entry) for entry, _ in group]
            try:
                await asyncio.to_thread(self.journal.append, entries)
            except OSError as problem:
                self._wanted.set()
                return self._unwritable(problem)
            del self._queue[: len(group)]
            try:
                await asyncio.to_thread(self.journal.compact)
            except OSError as problem:  # the entries are sure; the snapshot is made another time
                self._log.error("no snapshot of the ledger can be written", said=str(problem))
        if self.unwritable:
            self.unwritable = False
            self._log.warning("the ledger can be written again", waiting=len(self._queue))
        for _, sure in group:
            sure.set()
        if self._queue:
            self._wanted.set()

    def _unwritable(self, problem: OSError) -> None:
        if not self.unwritable:
            self._log.error(
                "the ledger can't be written", said=str(problem), when_unwritable=self.terms.when_unwritable
            )
        self.unwritable = True

    def _now_open(self, entry: Entry) -> Entry:
        """A late entry, whose period was closed while it waited, counts in the next open one."""
        if isinstance(entry, Usage) and entry.period in self.journal.book.closed:
            return msgspec.structs.replace(entry, period=self.journal.book.open_period(entry.period))
        return entry

    async def run_exports(self) -> None:
        """Sends batch after batch to the billing system, and tries again for ever."""
        wait = self.terms.export_every / 1e6
        while self.terms.export_to:
            await asyncio.sleep(wait)
            try:
                while await self.export_batch():
                    pass
            except OSError as problem:  # whether entries can be written is told by writing entries
                self._log.error("an export can't be noted in the ledger", said=str(problem))
            except RefusedError as problem:
                self._log.error("an export does not fit the ledger", said=str(problem))

    async def export_batch(self) -> bool:
        """One batch; False if there is none, or if it did not land this time."""
        async with self._disk:
            planned, data, manifest = await asyncio.to_thread(plan_batch, self.journal, self.now())
        if planned is None:
            return False
        if manifest["rows"] and not await export.deliver(self.terms.export_to, data, manifest):
            self._log.warning("a batch did not land: it is sent again", batch=planned.id)
            return False
        async with self._disk:
            await asyncio.to_thread(record_delivery, self.journal, planned, self.now())
        self._log.info("a batch has landed", batch=planned.id, rows=manifest["rows"])
        return True


def plan_batch(journal: Journal, at: int) -> tuple[Any, bytes, dict]:
    """Plans the next batch in the ledger, unless one is planned, and makes its file. Nothing is planned for
    the ledger's own notes alone."""
    book = journal.book
    planned = book.next_batch(journal.name, at)
    if planned is None:
        return None, b"", {}
    entries = journal.read_batch(planned)
    data, manifest = export.batch_file(planned.id, journal.name, entries)
    if not book.planned:
        if not manifest["rows"]:
            return None, b"", {}
        book.check(planned)
        journal.append([planned])
    return planned, data, manifest


def record_delivery(journal: Journal, planned: Any, at: int) -> None:
    entry = Delivered(id=planned.id, at=at, first=planned.first, last=planned.last)
    journal.book.check(entry)
    journal.append([entry])
