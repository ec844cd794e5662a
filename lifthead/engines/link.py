"""Connections to engines, kept for the next forward where that is harmless. Decides nothing."""

import asyncio
import contextlib
from collections import deque

from lifthead import http1
from lifthead.http1 import HttpError, Message

READ = 65_536
IDLE_FOR = 10.0  # seconds; engines commonly close later


class Connection:
    """One connection and the answer that is read from it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.parser = http1.AnswerParser()
        self.idle_since = 0.0

    async def send(self, data: bytes) -> None:
        self.parser = http1.AnswerParser()
        self.writer.write(data)
        await self.writer.drain()

    async def more(self) -> bytes:
        """Body bytes as they come, b"" at the end of the answer. ConnectionError if it ends before that."""
        while True:
            body = self.parser.body()
            if body or self.parser.complete:
                return body
            data = await self.reader.read(READ)
            if not data:
                raise ConnectionResetError("ended too early")
            self.parser.feed(data)

    async def head(self) -> Message:
        while self.parser.head is None:
            data = await self.reader.read(READ)
            if not data:
                raise ConnectionResetError("ended before an answer")
            self.parser.feed(data)
        return self.parser.head

    async def rest(self, most: int = 1 << 22) -> bytes:
        """The whole body; HttpError past `most` bytes."""
        parts, size = [], 0
        while part := await self.more():
            parts.append(part)
            size += len(part)
            if size > most:
                raise HttpError(502, "an engine's answer is too large")
        return b"".join(parts)

    @property
    def reusable(self) -> bool:
        head = self.parser.head
        return self.parser.complete and head is not None and head.keep_alive and not self.reader.at_eof()

    def abort(self) -> None:
        self.writer.transport.abort()


class Link:
    """The way to one engine."""

    def __init__(self, address: str, connect_within: float) -> None:
        self.address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._connect_within = connect_within
        self._idle: deque[Connection] = deque()

    async def take(self, fresh: bool) -> Connection:
        """A connection; OSError or TimeoutError if none can be made. `fresh`: not one that was used before,
        whose closing by the engine could not be told from a forward that ran."""
        now = asyncio.get_running_loop().time()
        while self._idle and not fresh:
            connection = self._idle.pop()
            closing = connection.writer.transport.is_closing() or connection.reader.at_eof()
            if not closing and now - connection.idle_since < IDLE_FOR:
                return connection
            connection.abort()
        async with asyncio.timeout(self._connect_within):
            return Connection(*await asyncio.open_connection(self._host, self._port, limit=READ))

    def give(self, connection: Connection) -> None:
        """Back after a whole answer; anything else is closed."""
        if connection.reusable:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.abort()

    def close(self) -> None:
        while self._idle:
            self._idle.pop().abort()

    async def ask(self, data: bytes, within: float) -> tuple[Message, bytes] | None:
        """One short question (a probe, letting go); None if it was not answered in time."""
        connection = None
        with contextlib.suppress(OSError, TimeoutError, HttpError):
            async with asyncio.timeout(within):
                connection = await self.take(fresh=False)
                await connection.send(data)
                head = await connection.head()
                body = await connection.rest()
                self.give(connection)
                connection = None
                return head, body
        if connection:
            connection.abort()
        return None
