"""Watches a file that may be overwritten, replaced by a rename, or be a symlink that is swapped. It reports
the content and does not interpret it."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from watchfiles import awatch

MAX_FILE_BYTES = 8 << 20
SETTLE_S = 0.03  # between two reads that must find the same content
POLL_INTERVAL_MS = 500  # for file systems that send no change events


def read_file(path: Path) -> bytes | None:
    """The file's bytes; None if it can't be read or is too large."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            return None
        return path.read_bytes()
    except OSError:
        return None


async def watch_file(path: Path, on_text: Callable[[str], None], log: Any) -> None:
    """Passes the file's text to `on_text` at the start and after each change, once two reads agree. Never
    returns."""
    last: bytes | None = None
    logged_missing = False
    changes = awatch(
        path.parent,
        debounce=50,
        step=10,
        rust_timeout=POLL_INTERVAL_MS,
        yield_on_timeout=True,
        recursive=False,
    )
    while True:
        data = await asyncio.to_thread(read_file, path)
        await asyncio.sleep(SETTLE_S)
        if data is None:
            if not logged_missing:
                log.warning("the file of engines can't be read: the last view stays", path=str(path))
            logged_missing = True
        elif data != last and data == await asyncio.to_thread(read_file, path):
            last, logged_missing = data, False
            try:
                on_text(data.decode())
            except UnicodeDecodeError:
                log.warning("the file of engines is not UTF-8: the last view stays", path=str(path))
        if data is None or data == last:
            await anext(changes)
