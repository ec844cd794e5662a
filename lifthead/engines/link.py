"""Connections to engines, kept for the next forward where that is harmless. Decides nothing."""

import asyncio
from collections import deque

from lifthead import http1, socket_state
from lifthead.http1 import HttpError, Message

READ = 65_536
IDLE_FOR = 10.0  # seconds; engines commonly close later
RESTS_FOR = 0.05  # seconds: a second answer that comes late must not be taken for that to the next request
DOUBLES_IN = 10.0  # seconds in which the trust in kept connections doubles again


class Lasting:
    """How long connections may wait unused. The other end's limit is told, but machines on the way may drop
    them without a word: the next thing sent is reset then, and may have run. One reset that way halves the
    span that is trusted; it grows back with time. Times are seconds."""

    def __init__(self, most: float = IDLE_FOR) -> None:
        self._most = self._trusted = most
        self._since = 0.0

    def span(self, now: float) -> float:
        return min(self._trusted * 2 ** min((now - self._since) / DOUBLES_IN, 64), self._most)

    def broke(self, waited: float, now: float) -> None:
        """A connection that had waited so long was gone when it was used."""
        self._trusted, self._since = min(waited / 2, self.span(now)), now


class UnwrittenError(ConnectionError):
    """The connection broke before the last byte of what was to be sent was written."""


class Inflow(asyncio.StreamReader):
    """A stream that counts what came, so that bytes which nobody asked for can be told."""

    came = 0

    def feed_data(self, data: bytes) -> None:
        self.came += len(data)
        super().feed_data(data)


class Connection:
    """One connection and the answer that is read from it."""

    def __init__(self, reader: Inflow, writer: asyncio.StreamWriter, bounds: tuple[int, ...] = ()) -> None:
        self.reader, self.writer = reader, writer
        self._bounds = bounds  # of a head and of a chunk, bytes
        self._taken = 0
        self.parser = http1.AnswerParser(*bounds)
        self.opened_at = asyncio.get_running_loop().time()
        self.idle_since = 0.0
        self.uses = 0  # whole answers that came on it
        self.waited = 0.0  # seconds unused before it was taken
        self._came = 0  # bytes before the last sending

    async def send(self, data: bytes) -> None:
        """Writes it; UnwrittenError if the connection broke before the last byte was written, as far as that
        can be known: when in doubt it was."""
        transport = self.writer.transport
        if transport.is_closing() or self.reader.at_eof():
            raise UnwrittenError("closed before it was written to")
        self.parser = http1.AnswerParser(*self._bounds)
        self._came = self.reader.came
        self.writer.write(data)
        if transport.is_closing():  # asyncio's own loop writes at once: it was this that failed
            raise UnwrittenError("broke while it was written to")
        while transport.get_write_buffer_size():  # the rest waits for the peer to take what is before it
            await self.writer.drain()
            await asyncio.sleep(0.001)

    @property
    def ended(self) -> bool:
        """Whether the other end has ended its side, or the connection is broken."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def end_sending(self) -> bool:
        """Ends this side alone. False where that can't be: it is closed, or some bytes were not sent yet."""
        transport = self.writer.transport
        if transport.is_closing() or transport.get_write_buffer_size():
            return False
        try:
            self.writer.write_eof()
        except (OSError, RuntimeError):
            return False
        return True

    async def ends(self, within: float, most: int) -> bool:
        """Whether the other end ends its side in so many seconds, after at most so many bytes."""
        left = most
        try:
            async with asyncio.timeout(within):
                while left > 0 and (data := await self.reader.read(READ)):
                    left -= len(data)
        except TimeoutError:
            return False
        except OSError:
            return True
        return left > 0

    async def _read(self) -> bytes:
        data = await self.reader.read(READ)
        self._taken += len(data)
        return data

    async def more(self) -> bytes:
        """Body bytes as they come, b"" at the end of the answer. ConnectionError if it ends before that."""
        while True:
            body = self.parser.body()
            if body or self.parser.complete:
                return body
            data = await self._read()
            if not data:
                raise ConnectionResetError("ended too early")
            self.parser.feed(data)

    async def head(self) -> Message:
        while self.parser.head is None:
            data = await self._read()
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

    async def ask(self, data: bytes) -> tuple[Message, bytes]:
        """Sends a short question and returns its whole answer."""
        await self.send(data)
        head = await self.head()
        return head, await self.rest()

    async def answers(self, question: bytes, within: float) -> bool:
        """Whether a harmless question is answered on this connection in so many seconds. A connection that
        rested may have fallen silent with no error: what is sent on it then never arrives."""
        try:
            async with asyncio.timeout(within):
                await self.ask(question)
        except (OSError, TimeoutError, HttpError):
            return False
        return self.reusable

    @property
    def reusable(self) -> bool:
        """Whether the next forward may go on it: the answer is whole, and nothing but it has come."""
        parser, head = self.parser, self.parser.head
        whole = parser.complete and not parser.has_surplus and head is not None and head.keep_alive
        return whole and self.quiet

    @property
    def answered(self) -> bool:
        """Whether anything came back for what was sent last."""
        return self.reader.came > self._came

    @property
    def quiet(self) -> bool:
        """Open at both ends, and without bytes that nobody asked for."""
        open_ = not (self.writer.transport.is_closing() or self.reader.at_eof())
        return open_ and self.reader.came == self._taken

    def __str__(self) -> str:
        """For the log: age, uses, how long it rested before this use, and whether anything came back."""
        age_ms = (asyncio.get_running_loop().time() - self.opened_at) * 1e3
        answered = "yes" if self.answered else "no"
        return f"age_ms={age_ms:.0f} uses={self.uses} rested_ms={self.waited * 1e3:.0f} answered={answered}"

    def abort(self) -> None:
        self.writer.transport.abort()


class Link:
    """The way to one engine."""

    def __init__(
        self,
        address: str,
        connect_within: float,
        lasting: Lasting | None = None,
        bounds: tuple[int, ...] = (),
        unused: dict[Connection, "Link"] | None = None,
    ) -> None:
        """`unused`: connections that wait at all links together, the one that waits longest first."""
        self.address = address
        self._lasting = lasting or Lasting()
        self._bounds = bounds
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._connect_within = connect_within
        self._idle: deque[Connection] = deque()
        self._unused = {} if unused is None else unused

    async def take(self, fresh: bool) -> Connection:
        """A connection; OSError or TimeoutError if none can be made. `fresh`: not one that was used before,
        whose closing by the engine could not be told from a forward that ran."""
        now = asyncio.get_running_loop().time()
        rested = [] if fresh else [each for each in self._idle if now - each.idle_since >= RESTS_FOR]
        while rested:
            connection = rested.pop()
            self._idle.remove(connection)
            del self._unused[connection]
            connection.waited = now - connection.idle_since
            lasts = connection.quiet and connection.waited < self._lasting.span(now)
            if lasts and not socket_state.has_event(
                connection.writer, socket_state.READABLE
            ):  # the loop may not have read its end
                return connection
            connection.abort()
        loop = asyncio.get_running_loop()
        reader = Inflow(limit=READ, loop=loop)
        try:
            async with asyncio.timeout(self._connect_within):
                transport, protocol = await loop.create_connection(
                    lambda: asyncio.StreamReaderProtocol(reader, loop=loop), self._host, self._port
                )
        except ConnectionResetError:  # which says less than one that is refused
            raise UnwrittenError("reset as it opened") from None
        return Connection(reader, asyncio.StreamWriter(transport, protocol, reader, loop), self._bounds)

    def sweep(self) -> None:
        """Closes what waits unused and could not be used any more: each holds a descriptor."""
        now = asyncio.get_running_loop().time()
        for connection in list(self._idle):
            if not connection.quiet or now - connection.idle_since >= self._lasting.span(now):
                self._idle.remove(connection)
                del self._unused[connection]
                connection.abort()

    @property
    def idle(self) -> int:
        return len(self._idle)

    def drop_oldest(self) -> None:
        if self._idle:
            connection = self._idle.popleft()
            del self._unused[connection]
            connection.abort()

    def give(self, connection: Connection) -> None:
        """Back after a whole answer; anything else is closed."""
        if connection.reusable:
            connection.idle_since = asyncio.get_running_loop().time()
            connection.uses += 1
            self._idle.append(connection)
            self._unused[connection] = self
        else:
            connection.abort()

    def broke(self, connection: Connection) -> None:
        """A connection of this link broke under what was sent on it."""
        if connection.uses and not connection.answered:
            self._lasting.broke(connection.waited, asyncio.get_running_loop().time())

    def close(self) -> None:
        while self._idle:
            self.drop_oldest()

    async def ask(self, data: bytes, within: float, fresh: bool = False) -> tuple[Message, bytes] | None:
        """One short question (a probe, a release); None if it was not answered in `within` seconds. `fresh`:
        on a connection of its own, as kept ones may have fallen silent."""
        connection = None
        try:
            async with asyncio.timeout(within):
                connection = await self.take(fresh)
                answer = await connection.ask(data)
                self.give(connection)
                connection = None
                return answer
        except (OSError, TimeoutError, HttpError):
            return None
        finally:  # the caller may be cancelled, too
            if connection:
                connection.abort()
