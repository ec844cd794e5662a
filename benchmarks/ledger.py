"""Write cost and recovery time of the ledger. `python -m benchmarks.ledger [--entries 1000000]`

For comparison SQLite through apsw: the same entries as blobs, WAL, `synchronous=FULL`, one transaction a
batch.
"""

import json
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import apsw

from lifthead.ledger import entries, journal
from lifthead.ledger.disk import DiskDirectory
from lifthead.ledger.journal import Journal

BENCH_DIR = Path(".lifthead/bench")  # on the checkout's disk: fsync costs nothing in a memory file system


class Unsynced(DiskDirectory):
    """The same without fsync."""

    def sync(self, name):
        pass


def entry(number):
    return entries.usage_entry(
        request_id=f"router-0-19ae2c3d4f5-{number}",
        at=1_796_000_000_000_000 + number,
        period="2026-12",
        tenant=f"tenant-{number % 50}",
        group="chat",
        ended="done",
        first_token_sent=True,
        prompt=1800,
        kept=1200,
        sent=180,
        made=180,
        forwards=1,
        resumes=0,
        read_anew=0,
    )


def write(disk, batches, size):
    ledger = Journal(disk, "bench")
    entry_batches = [[entry(at * size + n) for n in range(size)] for at in range(batches)]
    start = time.perf_counter()
    for batch in entry_batches:
        ledger.append(batch)
    return (time.perf_counter() - start) / batches


def write_sqlite(path, batches, size):
    database = apsw.Connection(str(path / "sqlite"))
    for statement in (
        "pragma journal_mode=wal",
        "pragma synchronous=full",
        "create table e (id text primary key, entry blob)",
    ):
        list(database.execute(statement))
    entry_batches = [[entry(at * size + n) for n in range(size)] for at in range(batches)]
    start = time.perf_counter()
    for batch in entry_batches:
        with database:
            database.executemany(
                "insert into e values (?, ?)", ((e.id, entries.encode((0, e))) for e in batch)
            )
    return (time.perf_counter() - start) / batches


def fill(path, count):
    ledger = Journal(Unsynced(path), "bench")
    for at in range(0, count, 5000):
        ledger.append([entry(number) for number in range(at, at + 5000)])
        ledger.compact()


def recover(path):
    """Time and memory of a start, in a separate process."""
    code = (
        "import time, sys; from lifthead.ledger.journal import Journal;"
        "from lifthead.ledger.disk import DiskDirectory; start = time.perf_counter();"
        "rss = lambda: int(open('/proc/self/status').read().split('VmHWM:')[1].split()[0]); before = rss();"
        "ledger = Journal(DiskDirectory(sys.argv[1]), 'x');"
        "print(ledger.book.last, time.perf_counter() - start, rss() - before)"
    )
    output = subprocess.run(
        [sys.executable, "-c", code, str(path)], capture_output=True, text=True, check=True
    ).stdout
    last, duration, memory_growth = output.split()
    return {
        "entries": int(last),
        "seconds": round(float(duration), 2),
        "memory_mb": round(int(memory_growth) / 1024, 1),
    }


def report(**values):
    print(json.dumps(values), flush=True)


def main(arguments):
    BENCH_DIR.mkdir(parents=True, exist_ok=True)
    count = int(arguments[arguments.index("--entries") + 1]) if "--entries" in arguments else 1_000_000
    report(bytes_an_entry=len(journal.encode_record(1, entry(1))))
    for size in (1, 10, 100, 1000):
        with (
            tempfile.TemporaryDirectory(dir=BENCH_DIR) as ledger_dir,
            tempfile.TemporaryDirectory(dir=BENCH_DIR) as sqlite_dir,
        ):
            batches = 400 if size < 1000 else 40
            ledger_s, sqlite_s = (
                write(DiskDirectory(ledger_dir), batches, size),
                write_sqlite(Path(sqlite_dir), batches, size),
            )
            unsynced_s = write(Unsynced(Path(ledger_dir) / "unsynced"), batches, size)
            sqlite_bytes = sum(file.stat().st_size for file in Path(sqlite_dir).iterdir())
            report(
                batch=size,
                us_a_batch=round(ledger_s * 1e6),
                sqlite_us_a_batch=round(sqlite_s * 1e6),
                entries_s=round(size / ledger_s),
                sqlite_entries_s=round(size / sqlite_s),
                unsynced_entries_s=round(size / unsynced_s),
                sqlite_bytes_an_entry=round(sqlite_bytes / batches / size),
            )
    for entry_count, snapshot_interval in ((count, 10**12), (count, 50_000), (count * 10, 50_000)):
        journal.SNAPSHOT_INTERVAL = snapshot_interval
        path = Path(tempfile.mkdtemp(dir=BENCH_DIR))
        try:
            start = time.perf_counter()
            fill(path, entry_count)
            duration = time.perf_counter() - start
            size = sum(file.stat().st_size for file in path.iterdir())
            values = recover(path)
            report(
                snapshots=snapshot_interval < 10**12,
                written_s=round(duration, 1),
                disk_mb=round(size / 1e6),
                **values,
            )
        finally:
            shutil.rmtree(path)


if __name__ == "__main__":
    main(sys.argv[1:])
