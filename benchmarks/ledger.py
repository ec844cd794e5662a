"""What the ledger costs, and how long it takes to recover. `python -m benchmarks.ledger [--entries 1000000]`

Beside it SQLite by apsw: the same entries as blobs, WAL, `synchronous=FULL`, one transaction a group.
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

HERE = Path(".lifthead/bench")  # on the disk of the checkout: a memory file system has nothing to wait for


class Unsynced(DiskDirectory):
    """The same without waiting for the disk."""

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


def write(disk, groups, size):
    found = Journal(disk, "bench")
    made = [[entry(at * size + n) for n in range(size)] for at in range(groups)]
    start = time.perf_counter()
    for group in made:
        found.append(group)
    return (time.perf_counter() - start) / groups


def write_sqlite(path, groups, size):
    base = apsw.Connection(str(path / "sqlite"))
    for said in (
        "pragma journal_mode=wal",
        "pragma synchronous=full",
        "create table e (id text primary key, said blob)",
    ):
        list(base.execute(said))
    made = [[entry(at * size + n) for n in range(size)] for at in range(groups)]
    start = time.perf_counter()
    for group in made:
        with base:
            base.executemany("insert into e values (?, ?)", ((e.id, entries.encode((0, e))) for e in group))
    return (time.perf_counter() - start) / groups


def fill(path, many):
    found = Journal(Unsynced(path), "bench")
    for at in range(0, many, 5000):
        found.append([entry(number) for number in range(at, at + 5000)])
        found.compact()


def recover(path):
    """Time and memory of a start, in a process of its own."""
    code = (
        "import time, sys; from lifthead.ledger.journal import Journal;"
        "from lifthead.ledger.disk import DiskDirectory; start = time.perf_counter();"
        "rss = lambda: int(open('/proc/self/status').read().split('VmHWM:')[1].split()[0]); before = rss();"
        "found = Journal(DiskDirectory(sys.argv[1]), 'x');"
        "print(found.book.last, time.perf_counter() - start, rss() - before)"
    )
    said = subprocess.run(
        [sys.executable, "-c", code, str(path)], capture_output=True, text=True, check=True
    ).stdout
    last, took, grown = said.split()
    return {"entries": int(last), "seconds": round(float(took), 2), "memory_mb": round(int(grown) / 1024, 1)}


def say(**found):
    print(json.dumps(found), flush=True)


def main(words):
    HERE.mkdir(parents=True, exist_ok=True)
    many = int(words[words.index("--entries") + 1]) if "--entries" in words else 1_000_000
    say(bytes_an_entry=len(journal.encode_record(1, entry(1))))
    for size in (1, 10, 100, 1000):
        with tempfile.TemporaryDirectory(dir=HERE) as one, tempfile.TemporaryDirectory(dir=HERE) as two:
            groups = 400 if size < 1000 else 40
            ours, theirs = write(DiskDirectory(one), groups, size), write_sqlite(Path(two), groups, size)
            loose = write(Unsynced(Path(one) / "loose"), groups, size)
            files = sum(file.stat().st_size for file in Path(two).iterdir())
            say(
                group=size,
                us_a_group=round(ours * 1e6),
                sqlite_us_a_group=round(theirs * 1e6),
                entries_s=round(size / ours),
                sqlite_entries_s=round(size / theirs),
                unsynced_entries_s=round(size / loose),
                sqlite_bytes_an_entry=round(files / groups / size),
            )
    for entries_, every in ((many, 10**12), (many, 50_000), (many * 10, 50_000)):
        journal.SNAPSHOT_INTERVAL = every
        path = Path(tempfile.mkdtemp(dir=HERE))
        try:
            start = time.perf_counter()
            fill(path, entries_)
            took = time.perf_counter() - start
            size = sum(f.stat().st_size for f in path.iterdir())
            found = recover(path)
            say(snapshots=every < 10**12, written_s=round(took, 1), disk_mb=round(size / 1e6), **found)
        finally:
            shutil.rmtree(path)


if __name__ == "__main__":
    main(sys.argv[1:])
