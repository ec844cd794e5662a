"""What a router reports to load balancers: an agent-check over TCP, and HTTP pages."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from lifthead import http1
from lifthead.http1 import HttpError


@dataclass(frozen=True, slots=True)
class RouterStatus:
    """The facts from which a router's health is derived."""

    engines_listed: bool  # an engine list has come since the start
    decode_engines: int  # ready engines that decode
    stopping: bool
    drain_requested: bool  # an operator asked the router to take no more requests
    weight: int = 100  # percent of its usual traffic that it asks for (members/weight.py)

    @property
    def ready(self) -> bool:
        return (
            self.engines_listed and self.decode_engines > 0 and not self.stopping and not self.drain_requested
        )

    @property
    def agent_reply(self) -> str:
        """The reply to an agent-check: `ready`, `up N%` while it asks for less traffic, `drain` or `down`."""
        if self.stopping or self.drain_requested:
            return "drain"
        if not self.engines_listed or not self.decode_engines:
            return "down"
        return "ready" if self.weight == 100 else f"up {self.weight}%"

    @property
    def reason(self) -> str:
        """The sentence for operators that the page /ready and the field `why` of a router's state show."""
        if self.stopping or self.drain_requested:
            return "drains: takes no more"
        if not self.engines_listed:
            return "no list of engines yet"
        return "takes reqs" if self.decode_engines else "no engine left that writes"


async def serve_agent_check(
    status: Callable[[], RouterStatus], _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers one agent-check with a line, then closes the connection."""
    with contextlib.suppress(ConnectionError):
        writer.write(f"{status().agent_reply}\n".encode())
        await writer.drain()
    writer.close()


async def serve_http(
    status: Callable[[], RouterStatus],
    metrics: Callable[[], bytes],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serves /live, /ready and /metrics, one answer a connection."""
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
                current = status()
                code, body = {
                    "/live": (200, b"live\n"),
                    "/ready": (200 if current.ready else 503, f"{current.reason}\n".encode()),
                    "/metrics": (200, b"" if path != "/metrics" else metrics()),
                }.get(path, (404, b"expected /live, /ready or /metrics\n"))
                fields = {
                    "content-type": "text/plain; charset=utf-8",
                    "content-length": str(len(body)),
                    "connection": "close",
                }
                writer.write(http1.encode_answer_head(code, fields) + body)
                await writer.drain()
    writer.close()
