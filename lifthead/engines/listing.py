"""Watches the list service, which pushes the engine list, whole or as changes: one JSON document a line."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from lifthead import http1
from lifthead.engines.codec import ListUpdate, ProtocolError, parse_list_update
from lifthead.engines.link import READ_SIZE
from lifthead.http1 import HttpError

RETRY_DELAY = 0.25  # seconds, doubled up to MAX_RETRY_DELAY while the service is unavailable
MAX_RETRY_DELAY = 4.0
MAX_LINE_BYTES = 8 << 20


async def watch_engine_list(
    url: str, router: str, on_update: Callable[[ListUpdate], None], on_lost: Callable[[], None], log: Any
) -> None:
    """Never returns. A malformed line is logged and leaves the engine list as it was."""
    address, _, path = url.removeprefix("http://").partition("/")
    host, _, port = address.rpartition(":")
    delay = RETRY_DELAY
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(http1.encode_head(f"GET /{path} HTTP/1.1", {"host": address, "x-router": router}))
            lines = http1.LineParser(MAX_LINE_BYTES)
            while not lines.answer.complete:
                data = await reader.read(READ_SIZE)
                if not data:
                    break
                for line in filter(None, lines.feed(data)):
                    try:
                        update = parse_list_update(line)
                    except ProtocolError as problem:
                        log.warning(
                            "the list of engines is malformed: the last one stays", said=str(problem)[:200]
                        )
                        continue
                    on_update(update)
                    delay = RETRY_DELAY
        except (OSError, HttpError) as problem:
            log.warning("the list of engines can't be followed: the last one stays", said=str(problem)[:200])
        finally:
            if writer:
                with contextlib.suppress(OSError):
                    writer.close()
        on_lost()
        await asyncio.sleep(delay)
        delay = min(delay * 2, MAX_RETRY_DELAY)
