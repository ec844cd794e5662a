"""Pools of HTTP connections to engines: idle ones are reused where a reuse can do no harm."""

import asyncio
from collections import deque

from lifthead import http1, socket_state
from lifthead.engines.path_delay import PathDelay
from lifthead.http1 import HttpError, Message
from lifthead.streams import BUFFER_LIMIT, BoundedStreamProtocol

READ_SIZE = 65_536
WRITE_SIZE = 32_768  # bytes of a request that wait at most in the transport while the engine does not read
MAX_SHORT_ANSWER_BYTES = 262_144  # of the answer to a probe or a release
SHORT_BODY_TIMEOUT = 0.1  # seconds from the head of an answer that is no stream to its end
MAX_IDLE = 10.0  # seconds; engines commonly close idle connections later than that
MIN_IDLE = 0.05  # seconds: a late second answer must not be taken for the answer to the next request
DOUBLING_TIME = 10.0  # seconds in which a shortened idle limit doubles again


class IdleLimit:
    """How long a connection may stay idle and still be reused. The other end's own limit is known, but
    middleboxes may drop an idle connection without a notice: the next request on it is then reset, and may
    have run. One such reset sets the limit to half of that idle time; it grows back as time passes. Times
    are in seconds."""

    def __init__(self, longest: float = MAX_IDLE) -> None:
        self._longest = self._shortened = longest
        self._shortened_at = 0.0

    def current(self, now: float) -> float:
        return min(self._shortened * 2 ** min((now - self._shortened_at) / DOUBLING_TIME, 64), self._longest)

    def shorten(self, idle_time: float, now: float) -> None:
        """Records that a connection which had been idle for so long was gone when it was used."""
        self._shortened, self._shortened_at = min(idle_time / 2, self.current(now)), now


class NotSentError(ConnectionError):
    """The connection broke before the last byte of the request was written."""


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts the bytes received, so that unsolicited bytes can be detected."""

    received = 0

    def feed_data(self, data: bytes) -> None:
        self.received += len(data)
        super().feed_data(data)


class Connection:
    """One connection and the answer that is read from it."""

    def __init__(
        self,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        parser_limits: tuple[int, ...] = (),
        path_delay: PathDelay | None = None,
    ) -> None:
        self.reader, self.writer = reader, writer
        self._path_delay = path_delay or PathDelay()
        self._parser_limits = parser_limits  # of a head and of a chunk, bytes
        self._consumed = 0  # bytes read from the reader
        self.parser = http1.AnswerParser(*parser_limits)
        self.opened_at = asyncio.get_running_loop().time()
        self.idle_since = 0.0
        self.uses = 0  # whole answers that came on it
        self.idle_time = 0.0  # seconds that it was idle before its current use
        self._received_before = 0  # bytes received before the current request was sent
        self.error: HttpError | None = None  # that a byte of the answer's body caused
        self._unwritten = 0  # bytes of the current request that the transport has not got yet

    async def send(self, head: bytes, body: bytes = b"") -> None:
        """Sends a request; NotSentError if the connection broke before the last byte was written. Where that
        can't be known, the request counts as written."""
        if not self._is_open:
            raise NotSentError("closed before it was written to")
        self.parser.close()
        self.parser = http1.AnswerParser(*self._parser_limits)
        self._received_before, self.error = self.reader.received, None
        written = max(WRITE_SIZE - len(head), 0)  # of the body
        self._unwritten = max(len(body) - written, 0)
        await self._write(head + body[:written])
        rest = memoryview(body)
        while written < len(body):
            if not self._is_open:
                raise NotSentError("broke before its last byte was written")
            part = rest[written : written + WRITE_SIZE]
            self._unwritten -= len(part)
            await self._write(part)
            written += WRITE_SIZE

    @property
    def has_unsent(self) -> bool:
        """Whether bytes of the current request have not left this process. `abort` discards them."""
        return self._unwritten > 0 or self.writer.transport.get_write_buffer_size() > 0

    @property
    def _is_open(self) -> bool:
        return not (self.writer.transport.is_closing() or self.reader.at_eof())

    async def _write(self, data: bytes | memoryview) -> None:
        transport = self.writer.transport
        self.writer.write(data)
        if transport.is_closing():  # asyncio's own event loop writes at once: this write is what failed
            raise NotSentError("broke while it was written to")
        while transport.get_write_buffer_size():  # the rest waits until the other end has read more
            await self.writer.drain()
            await asyncio.sleep(0.001)

    @property
    def peer_closed(self) -> bool:
        """Whether the other end has closed its side, or the connection is broken."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def half_close(self) -> bool:
        """Closes the sending side alone. False where that is impossible: the connection is closed, or some
        bytes are not sent yet."""
        transport = self.writer.transport
        if transport.is_closing() or transport.get_write_buffer_size():
            return False
        try:
            self.writer.write_eof()
        except (OSError, RuntimeError):
            return False
        return True

    async def peer_closes(self, within: float, max_bytes: int) -> bool:
        """Whether the other end closes its side within so many seconds, after at most so many bytes."""
        remaining = max_bytes
        try:
            async with asyncio.timeout(within):
                while remaining > 0 and (data := await self.reader.read(READ_SIZE)):
                    remaining -= len(data)
        except TimeoutError:
            return False
        except OSError:
            return True
        return remaining > 0

    async def _read(self) -> bytes:
        data = await self.reader.read(READ_SIZE)
        self._consumed += len(data)
        return data

    async def read_body(self) -> bytes:
        """The next bytes of the body, b"" at the end of the answer; ConnectionError if the connection ends
        before that. HttpError if the next byte breaks the protocol: what came before it is returned first,
        and `error` is set by then."""
        while True:
            body = self.parser.body()
            if body or self.parser.complete:
                return body
            if self.error:
                raise self.error from None
            data = await self._read()
            if not data:
                raise ConnectionResetError("ended too early")
            try:
                self.parser.feed(data)
            except HttpError as error:
                self.error = error

    async def read_head(self) -> Message:
        while self.parser.head is None:
            data = await self._read()
            if not data:
                raise ConnectionResetError("ended before an answer")
            self.parser.feed(data)
        return self.parser.head

    async def read_whole_body(self, max_bytes: int = 1 << 22) -> bytes:
        """The rest of the body; HttpError if that is more than `max_bytes`."""
        parts, size = [], 0
        while part := await self.read_body():
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                raise HttpError(502, "an engine's answer is too large")
        return b"".join(parts)

    async def read_short_body(self, max_bytes: int = 1 << 22) -> bytes | None:
        """The rest of the body of an answer that is no stream; None if it does not come soon. The head says
        what the attempt has come to, and a state may be held from then on."""
        try:
            async with asyncio.timeout(SHORT_BODY_TIMEOUT):
                return await self.read_whole_body(max_bytes)
        except TimeoutError:
            return None

    async def exchange(self, data: bytes) -> tuple[Message, bytes]:
        """Sends a short request and returns its whole answer."""
        await self.send(data)
        sent_at = asyncio.get_running_loop().time()
        head = await self.read_head()
        self._path_delay.add_answer(asyncio.get_running_loop().time() - sent_at)
        return head, await self.read_whole_body(MAX_SHORT_ANSWER_BYTES)

    async def is_alive(self, probe: bytes, within: float) -> bool:
        """Whether a probe without effects is answered on this connection within so many seconds. An idle
        connection may have been dropped without an error, and then what is sent on it never arrives."""
        try:
            async with asyncio.timeout(within):
                await self.exchange(probe)
        except (OSError, TimeoutError, HttpError):
            return False
        return self.reusable

    @property
    def reusable(self) -> bool:
        """Whether the next request may go on it: the answer is whole, and nothing else has come."""
        parser, head = self.parser, self.parser.head
        whole = parser.complete and not parser.has_surplus and head is not None and head.keep_alive
        return whole and self.is_clean

    @property
    def answered(self) -> bool:
        """Whether any byte came back for the request that was sent last."""
        return self.reader.received > self._received_before

    @property
    def is_clean(self) -> bool:
        """Whether it is open at both ends, with no unsolicited bytes."""
        return self._is_open and self.reader.received == self._consumed

    def __str__(self) -> str:
        """For the log: its age, its uses, how long it was idle before the current one, and whether any byte
        came back."""
        age_ms = (asyncio.get_running_loop().time() - self.opened_at) * 1e3
        answered = "yes" if self.answered else "no"
        return (
            f"age_ms={age_ms:.0f} uses={self.uses} rested_ms={self.idle_time * 1e3:.0f} answered={answered}"
        )

    def abort(self) -> None:
        self.parser.close()
        self.writer.transport.abort()


class ConnectionPool:
    """The connections to one engine."""

    def __init__(
        self,
        address: str,
        connect_within: float,
        idle_limit: IdleLimit | None = None,
        parser_limits: tuple[int, ...] = (),
        all_idle: dict[Connection, "ConnectionPool"] | None = None,
    ) -> None:
        """`all_idle`: the idle connections of all pools together, the one that is idle longest first."""
        self.address = address
        self._idle_limit = idle_limit or IdleLimit()
        self._parser_limits = parser_limits
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._connect_within = connect_within
        self._idle: deque[Connection] = deque()
        self._all_idle = {} if all_idle is None else all_idle
        self.path_delay = PathDelay()

    async def acquire(self, fresh: bool) -> Connection:
        """A connection; OSError or TimeoutError if none can be made. `fresh`: a new one. If a reused one
        breaks, the engine may have closed it while it was idle or may have run the request, and which of the
        two can't be known."""
        now = asyncio.get_running_loop().time()
        candidates = [] if fresh else [each for each in self._idle if now - each.idle_since >= MIN_IDLE]
        while candidates:
            connection = candidates.pop()
            self._idle.remove(connection)
            del self._all_idle[connection]
            connection.idle_time = now - connection.idle_since
            usable = connection.is_clean and connection.idle_time < self._idle_limit.current(now)
            # The event loop may not have read yet that the other end has closed, so the system is asked.
            if usable and not socket_state.has_event(connection.writer, socket_state.READABLE):
                return connection
            connection.abort()
        loop = asyncio.get_running_loop()
        reader = CountingReader(limit=BUFFER_LIMIT, loop=loop)
        try:
            async with asyncio.timeout(self._connect_within):
                transport, protocol = await loop.create_connection(
                    lambda: BoundedStreamProtocol(reader, loop=loop), self._host, self._port
                )
        except ConnectionResetError:  # unlike a refusal, a reset doesn't show that no engine is there
            raise NotSentError("reset as it opened") from None
        self.path_delay.add_connect(loop.time() - now)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return Connection(reader, writer, self._parser_limits, self.path_delay)

    def close_expired(self) -> None:
        """Closes the idle connections that can't be reused any more, as each holds a file descriptor."""
        now = asyncio.get_running_loop().time()
        for connection in list(self._idle):
            if not connection.is_clean or now - connection.idle_since >= self._idle_limit.current(now):
                self._idle.remove(connection)
                del self._all_idle[connection]
                connection.abort()

    @property
    def idle_count(self) -> int:
        return len(self._idle)

    def close_oldest(self) -> None:
        if self._idle:
            connection = self._idle.popleft()
            del self._all_idle[connection]
            connection.abort()

    def put_back(self, connection: Connection) -> None:
        """Keeps a connection for reuse after a whole answer; closes any other."""
        if connection.reusable:
            connection.idle_since = asyncio.get_running_loop().time()
            connection.uses += 1
            self._idle.append(connection)
            self._all_idle[connection] = self
        else:
            connection.abort()

    def record_broken(self, connection: Connection) -> None:
        """Shortens the idle limit if this connection was reused and broke before any byte of an answer."""
        if connection.uses and not connection.answered:
            self._idle_limit.shorten(connection.idle_time, asyncio.get_running_loop().time())

    def close(self) -> None:
        while self._idle:
            self.close_oldest()

    async def exchange(self, data: bytes, within: float, fresh: bool = False) -> tuple[Message, bytes] | None:
        """Sends one short request (a probe or a release) and returns its answer; None if none came within so
        many seconds. `fresh`: on a new connection, as idle ones may have been dropped without an error."""
        connection = None
        try:
            async with asyncio.timeout(within):
                connection = await self.acquire(fresh)
                answer = await connection.exchange(data)
                self.put_back(connection)
                connection = None
                return answer
        except (OSError, TimeoutError, HttpError):
            return None
        finally:  # the caller may be cancelled, too
            if connection:
                connection.abort()
