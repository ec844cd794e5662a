"""Follows a file that may be written over, renamed over, or be a link that is swapped. Decides nothing."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from watchfiles import awatch

MOST = 8 << 20  # bytes
SETTLED = 0.03  # seconds between two reads that must find the same
LOOK_EVERY = 500  # milliseconds, for file systems that tell nothing


def content(path: Path) -> bytes | None:
    """The file's bytes; None if it can't be read or is too large."""
    try:
        if path.stat().st_size > MOST:
            return None
        return path.read_bytes()
    except OSError:
        return None


async def watch_file(path: Path, on_text: Callable[[str], None], log: Any) -> None:
    """Hands over the file's text at the start and after each change, once it holds still. Never returns."""
    last: bytes | None = None
    told_missing = False
    changes = awatch(
        path.parent, debounce=50, step=10, rust_timeout=LOOK_EVERY, yield_on_timeout=True, recursive=False
    )
    while True:
        data = await asyncio.to_thread(content, path)
        await asyncio.sleep(SETTLED)
        if data is None:
            if not told_missing:
                log.warning("the file of engines can't be read: the last view stays", path=str(path))
            told_missing = True
        elif data != last and data == await asyncio.to_thread(content, path):
            last, told_missing = data, False
            try:
                on_text(data.decode())
            except UnicodeDecodeError:
                log.warning("the file of engines is not UTF-8: the last view stays", path=str(path))
        if data is None or data == last:
            await anext(changes)
