"""What a router says of itself to balancers: agent-check over TCP, and HTTP pages."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from lifthead import http1
from lifthead.http1 import HttpError


@dataclass(frozen=True, slots=True)
class Condition:
    """The facts that a router's word rests on."""

    listed: bool  # a list of engines has come since the start
    writers: int  # ready engines that write
    stopping: bool
    drained: bool  # an operator asked it to take no more
    weight: int = 100  # percent of its usual traffic that it wants (weight.py)

    @property
    def ready(self) -> bool:
        return self.listed and self.writers > 0 and not self.stopping and not self.drained

    @property
    def word(self) -> str:
        """Agent-check's: `ready`, `up N%` while it wants less, `drain`, `down`."""
        if self.stopping or self.drained:
            return "drain"
        if not self.listed or not self.writers:
            return "down"
        return "ready" if self.weight == 100 else f"up {self.weight}%"

    @property
    def why(self) -> str:
        if self.stopping or self.drained:
            return "drains: takes no more"
        if not self.listed:
            return "no list of engines yet"
        return "takes reqs" if self.writers else "no engine left that writes"


async def agent(
    condition: Callable[[], Condition], _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """One agent-check: a word and a line's end, then closed."""
    with contextlib.suppress(ConnectionError):
        writer.write(f"{condition().word}\n".encode())
        await writer.drain()
    writer.close()


async def pages(
    condition: Callable[[], Condition],
    metrics: Callable[[], bytes],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """/live, /ready and /metrics, one answer a connection."""
    parser = http1.RequestParser(8192, 8192)
    with contextlib.suppress(ConnectionError, TimeoutError, HttpError):
        async with asyncio.timeout(5):
            while not parser.requests:
                data = await reader.read(8192)
                if not data:
                    break
                parser.feed(data)
            else:
                path = parser.requests[0].path.partition("?")[0]
                now = condition()
                status, body = {
                    "/live": (200, b"live\n"),
                    "/ready": (200 if now.ready else 503, f"{now.why}\n".encode()),
                    "/metrics": (200, b"" if path != "/metrics" else metrics()),
                }.get(path, (404, b"expected /live, /ready or /metrics\n"))
                fields = {
                    "content-type": "text/plain; charset=utf-8",
                    "content-length": str(len(body)),
                    "connection": "close",
                }
                writer.write(http1.encode_answer_head(status, fields) + body)
                await writer.drain()
    writer.close()
