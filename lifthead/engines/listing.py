"""Follows the service that pushes the list of engines: one JSON document a line, whole or changes."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from lifthead import http1
from lifthead.engines.codec import ListNews, StrangeError, list_news
from lifthead.engines.link import READ
from lifthead.http1 import HttpError

AGAIN_AFTER = 0.25  # seconds, doubled up to AGAIN_LIMIT while it can't be reached
AGAIN_LIMIT = 4.0
MOST_LINE = 8 << 20


async def follow(
    url: str, router: str, on_news: Callable[[ListNews], None], on_lost: Callable[[], None], log: Any
) -> None:
    """Never returns. A line that is no list is logged and leaves the view as it was."""
    address, _, path = url.removeprefix("http://").partition("/")
    host, _, port = address.rpartition(":")
    wait = AGAIN_AFTER
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(http1.encode_head(f"GET /{path} HTTP/1.1", {"host": address, "x-router": router}))
            lines = http1.LineParser(MOST_LINE)
            while not lines.answer.complete:
                data = await reader.read(READ)
                if not data:
                    break
                for line in filter(None, lines.feed(data)):
                    try:
                        news = list_news(line)
                    except StrangeError as problem:
                        log.warning(
                            "the list of engines is malformed: the last one stays", said=str(problem)[:200]
                        )
                        continue
                    on_news(news)
                    wait = AGAIN_AFTER
        except (OSError, HttpError) as problem:
            log.warning("the list of engines can't be followed: the last one stays", said=str(problem)[:200])
        finally:
            if writer:
                with contextlib.suppress(OSError):
                    writer.close()
        on_lost()
        await asyncio.sleep(wait)
        wait = min(wait * 2, AGAIN_LIMIT)
