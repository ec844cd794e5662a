"""What a router says of itself to balancers: agent-check over TCP, and HTTP pages."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from lifthead import http1
from lifthead.http1 import HttpError


@dataclass(frozen=True, slots=True)
class RouterStatus:
    """The facts that a router's word rests on."""

    engines_listed: bool  # a list of engines has come since the start
    decode_engines: int  # ready engines that write
    stopping: bool
    drain_requested: bool  # an operator asked it to take no more
    weight: int = 100  # percent of its usual traffic that it wants (weight.py)

    @property
    def ready(self) -> bool:
        return (
            self.engines_listed and self.decode_engines > 0 and not self.stopping and not self.drain_requested
        )

    @property
    def agent_reply(self) -> str:
        """Agent-check's: `ready`, `up N%` while it wants less, `drain`, `down`."""
        if self.stopping or self.drain_requested:
            return "drain"
        if not self.engines_listed or not self.decode_engines:
            return "down"
        return "ready" if self.weight == 100 else f"up {self.weight}%"

    @property
    def reason(self) -> str:
        if self.stopping or self.drain_requested:
            return "drains: takes no more"
        if not self.engines_listed:
            return "no list of engines yet"
        return "takes reqs" if self.decode_engines else "no engine left that writes"


async def serve_agent_check(
    condition: Callable[[], RouterStatus], _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """One agent-check: a word and a line's end, then closed."""
    with contextlib.suppress(ConnectionError):
        writer.write(f"{condition().agent_reply}\n".encode())
        await writer.drain()
    writer.close()


async def serve_http(
    condition: Callable[[], RouterStatus],
    metrics: Callable[[], bytes],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """/live, /ready and /metrics, one answer a connection."""
    parser = http1.ReqParser(8192, 8192)
    with contextlib.suppress(ConnectionError, TimeoutError, HttpError):
        async with asyncio.timeout(5):
            while not parser.ready:
                data = await reader.read(8192)
                if not data:
                    break
                parser.feed(data)
            else:
                path = parser.ready[0].path.partition("?")[0]
                now = condition()
                status, body = {
                    "/live": (200, b"live\n"),
                    "/ready": (200 if now.ready else 503, f"{now.reason}\n".encode()),
                    "/metrics": (200, b"" if path != "/metrics" else metrics()),
                }.get(path, (404, b"expected /live, /ready or /metrics\n"))
                fields = {
                    "content-type": "text/plain; charset=utf-8",
                    "content-length": str(len(body)),
                    "connection": "close",
                }
                writer.write(http1.answer_head(status, fields) + body)
                await writer.drain()
    writer.close()
