"""The ledger in a running router: entries wait in a queue, a thread writes them in groups, and batches are
exported one by one."""

import asyncio
import fcntl
import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from lifthead.deployment.fleet import LedgerSettings
from lifthead.ledger import export
from lifthead.ledger.book import RefusedError
from lifthead.ledger.disk import Disk, DiskDirectory
from lifthead.ledger.entries import Delivered, Entry, Usage, period_of
from lifthead.ledger.journal import Journal

MAX_QUEUED_ENTRIES = 50_000  # while the disk can't be written; further entries are lost, and counted
MAX_GROUP_ENTRIES = 5_000  # written at once
WRITE_RETRY_S = 0.5
DURABLE_TIMEOUT_S = 5.0  # how long the end of an answer waits for the disk


class LockedError(Exception):
    """Another process has this ledger open."""


def open_journal(path: Path, disk: Callable[[Path], Disk] = DiskDirectory) -> Journal:
    """Opens the ledger in this directory, or creates one. Raises LockedError if another process has it
    open."""
    path.mkdir(parents=True, exist_ok=True)
    lock = open(path / "lock", "a")  # noqa: SIM115 - locked until the journal or the process ends
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        raise LockedError(f"{path}: another process has this ledger open") from None
    journal = Journal(disk(path), uuid.uuid4().hex[:12])
    journal.lock = lock  # type: ignore[attr-defined]
    return journal


class LedgerWriter:
    """Queues a router's entries, writes them to its journal, and exports them to the billing system."""

    def __init__(
        self, journal: Journal, settings: LedgerSettings, log: Any, on_lost: Callable[[int], None]
    ) -> None:
        self.journal, self.settings = journal, settings
        self.unwritable = False
        self.unbilled = 0
        self._log, self._on_lost = log, on_lost
        self._queue: list[tuple[Entry, asyncio.Event]] = []
        self._has_entries = asyncio.Event()
        self._disk_lock = asyncio.Lock()
        self._latest_time = journal.book.latest_time
        if journal.missing:
            log.error("the ledger has lost entries", missing=journal.missing)

    def now(self) -> int:
        """Wall clock in microseconds, which never goes back within a ledger."""
        self._latest_time = max(self._latest_time, time.time_ns() // 1000)
        return self._latest_time

    def period(self) -> str:
        wanted = period_of(self.now(), self.settings.zone, self.settings.period)
        return self.journal.book.open_period(wanted)

    @property
    def refuses_requests(self) -> bool:
        """Whether requests are refused because their usage could not be recorded."""
        return self.unwritable and self.settings.when_unwritable == "refuse"

    def append(self, entry: Usage) -> asyncio.Event:
        """Queues an entry; the event is set once the entry is on the disk."""
        durable = asyncio.Event()
        if len(self._queue) >= MAX_QUEUED_ENTRIES:
            self.unbilled += 1
            self._on_lost(1)
            self._log.error("entry lost: the disk can't be written", entry=entry.id, unbilled=self.unbilled)
            return durable
        self._queue.append((entry, durable))
        self._has_entries.set()
        return durable

    async def append_and_wait(self, entry: Usage) -> None:
        """Queues an entry and, if the settings ask for it, waits until it is on the disk."""
        durable = self.append(entry)
        if self.settings.wait and not self.unwritable:
            try:
                async with asyncio.timeout(DURABLE_TIMEOUT_S):
                    await durable.wait()
            except TimeoutError:
                self._log.error(
                    "the disk is too slow: an answer ends before its entry is on the disk", entry=entry.id
                )

    async def run_writer(self) -> None:
        """Group commit: writes all queued entries at once, with one sync of the disk."""
        while True:
            await self._has_entries.wait()
            if not self.settings.wait:
                await asyncio.sleep(self.settings.commit_every / 1e6)
            await self.flush()
            if self.unwritable:
                await asyncio.sleep(WRITE_RETRY_S)

    async def close(self) -> None:
        """Writes the queued entries before the process ends, with up to three attempts."""
        for _ in range(3):
            if self._queue:
                await self.flush()
        if self._queue:
            self.unbilled += len(self._queue)
            self._log.error("entries lost at the end of the process", unbilled=self.unbilled)

    async def flush(self) -> None:
        """Writes the queued entries. They are read from the queue only once the disk is free, since another
        write may have written some of them in the meantime."""
        self._has_entries.clear()
        async with self._disk_lock:
            group = self._queue[:MAX_GROUP_ENTRIES]
            if not group:
                return
            entries = [self._move_to_open_period(entry) for entry, _ in group]
            try:
                await asyncio.to_thread(self.journal.append, entries)
            except OSError as problem:
                self._has_entries.set()
                return self._on_write_error(problem)
            del self._queue[: len(group)]
            try:
                await asyncio.to_thread(self.journal.compact)
            except OSError as problem:  # the entries are on the disk; the snapshot is written later
                self._log.error("a snapshot of the ledger can't be written", said=str(problem))
        if self.unwritable:
            self.unwritable = False
            self._log.warning("the ledger can be written again", waiting=len(self._queue))
        for _, durable in group:
            durable.set()
        if self._queue:
            self._has_entries.set()

    def _on_write_error(self, problem: OSError) -> None:
        if not self.unwritable:
            self._log.error(
                "the ledger can't be written",
                said=str(problem),
                when_unwritable=self.settings.when_unwritable,
            )
        self.unwritable = True

    def _move_to_open_period(self, entry: Entry) -> Entry:
        """An entry whose period was closed while it was queued counts in the next open period."""
        if isinstance(entry, Usage) and entry.period in self.journal.book.closed:
            return msgspec.structs.replace(entry, period=self.journal.book.open_period(entry.period))
        return entry

    async def run_exports(self) -> None:
        """Sends batch after batch to the billing system, and retries without end."""
        interval = self.settings.export_every / 1e6
        while self.settings.export_to:
            await asyncio.sleep(interval)
            try:
                while await self.export_batch():
                    pass
            except OSError as problem:  # only writes of entries decide whether the ledger is writable
                self._log.error("an export can't be recorded in the ledger", said=str(problem))
            except RefusedError as problem:
                self._log.error("an export does not fit the ledger", said=str(problem))

    async def export_batch(self) -> bool:
        """Exports one batch; False if there is none, or if it was not accepted this time."""
        async with self._disk_lock:
            planned, data, manifest = await asyncio.to_thread(plan_batch, self.journal, self.now())
        if planned is None:
            return False
        if manifest["rows"] and not await export.deliver(self.settings.export_to, data, manifest):
            self._log.warning("a batch did not land: it is sent again", batch=planned.id)
            return False
        async with self._disk_lock:
            await asyncio.to_thread(record_delivery, self.journal, planned, self.now())
        self._log.info("batch accepted", batch=planned.id, rows=manifest["rows"])
        return True


def plan_batch(journal: Journal, at: int) -> tuple[Any, bytes, dict]:
    """Records the next batch in the ledger, unless one is planned already, and builds its file. No batch is
    planned for the ledger's own records alone."""
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
    """Records in the ledger that the billing system has accepted a batch."""
    entry = Delivered(id=planned.id, at=at, first=planned.first, last=planned.last)
    journal.book.check(entry)
    journal.append([entry])
