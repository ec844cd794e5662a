"""Connections of clients: asyncio streams around the codecs, with the limits that guard against bad peers."""

import asyncio
import contextlib
import itertools
import logging
import math
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from lifthead import http1, peek
from lifthead.http1 import Headers, HttpError, Message

READ = 65_536
LINGER = 1.0  # seconds
LINGER_BYTES = 1 << 20  # of a peer that goes on sending what is not taken
EARLY_BYTES = 1 << 19  # that a client may send behind a request that is not answered yet
EARLY_PAUSE = 0.005  # seconds between reads of what a client sends past that
ACCEPT_AGAIN = 0.02  # seconds, while no descriptor is to be had
LOOKED_AT = 16  # idle connections that are looked at when one is to give way
SILENT_FOR = 0.1  # seconds after which a connection without an open req may give way to a new one
UNSENT = 16_384  # bytes that the system may hold for a client unsent: of more it does not tell what moves
SHUT_AFTER = 1.0  # seconds after a stop for which what comes on open connections is still served
JSON = {"content-type": "application/json"}

log = logging.getLogger(__name__)


class ClientLimits(Protocol):
    """What clients may send and hold: bytes, microseconds, and a count of connections."""

    header_bytes: int
    body_bytes: int
    header_within: int
    body_within: int
    idle_for: int
    connections: int


async def _taken(writer: asyncio.StreamWriter, patience: float) -> None:
    """Waits until the client has taken most of what was written; one that takes nothing of it for so many
    seconds is given up, which guards memory and engines."""
    transport = writer.transport
    while True:
        left = transport.get_write_buffer_size()
        try:
            async with asyncio.timeout(patience):
                return await writer.drain()
        except TimeoutError:
            if transport.get_write_buffer_size() >= left:
                return transport.abort()
        except OSError:
            return  # the watch sees it


class Reply:
    """One answer on a connection.

    `on_client_gone` is called if the client disconnects before the answer is over. `last` is asked when the
    head of the answer is built; true means that the connection closes after this answer.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        keep_alive: bool,
        patience: float = 20.0,
        last: Callable[[], bool] = bool,
    ) -> None:
        self._writer = writer
        self._patience = patience  # seconds for which a client may take nothing of a begun stream
        self._last = last
        self.keep_alive = keep_alive
        self.begun = self.over = False
        self.on_client_gone: Callable[[], None] | None = None
        self.finished = asyncio.Event()

    @property
    def client_gone(self) -> bool:
        """Whether the client has left, though its end may still wait behind the loop's other work. The end of
        its sending counts: a close can't be told from it."""
        return self.over or self._writer.transport.is_closing() or peek.seen(self._writer, peek.ENDED)

    def send_whole(self, status: int, body: bytes, headers: Headers = JSON) -> None:
        """A whole answer at once."""
        if self.begun:
            return
        self.begun = self.over = True
        fields = {**headers, "content-length": str(len(body)), "connection": self._kept()}
        self._put(http1.answer_head(status, fields) + body)
        self.finished.set()

    def begin(self, headers: Headers, data: bytes = b"") -> None:
        """The head of a stream of events, and its first."""
        self.begun = True
        self._put(
            http1.answer_head(
                200,
                {
                    **headers,
                    "content-type": "text/event-stream; charset=utf-8",
                    "cache-control": "no-cache",
                    "transfer-encoding": "chunked",
                    "connection": self._kept(),
                },
            )
            + (http1.chunk(data) if data else b"")
        )

    def truncate(self) -> None:
        """The end of a begun stream that is not whole: the connection closes without a last chunk."""
        self.drop()
        self._writer.close()

    def send(self, data: bytes) -> bool:
        """Sends events of a stream. False if the write buffer is full: the caller awaits `wait_writable`."""
        if not self.over:
            self._put(http1.chunk(data))
        return self._writer.transport.get_write_buffer_size() <= READ

    async def wait_writable(self) -> None:
        """Waits until the client has taken most of what was sent."""
        await _taken(self._writer, self._patience)

    def end(self, data: bytes = b"") -> None:
        """The last events of a begun stream."""
        if not self.over:
            self.over = True
            self._put((http1.chunk(data) if data else b"") + http1.LAST_CHUNK)
            self.finished.set()

    def drop(self) -> None:
        """Nothing more goes to this client: it left."""
        self.over = True
        self.keep_alive = False
        self.finished.set()

    def _kept(self) -> str:
        self.keep_alive = self.keep_alive and not self._last()
        return "keep-alive" if self.keep_alive else "close"

    def _put(self, data: bytes) -> None:
        if not self._writer.transport.is_closing():
            self._writer.write(data)


Waiting = dict[asyncio.StreamWriter, tuple[float, asyncio.Timeout]]


class ClientConnections:
    """Accepts connections and passes each complete request to `serve`, one at a time per connection.

    `error` builds the body of an answer to a malformed request. `first_request_within` is the time in seconds
    from accepting a connection to its first complete request, for services that must close silent connections.
    """

    def __init__(
        self,
        limits: ClientLimits,
        serve: Callable[[Message, Reply], Awaitable[None]],
        error: Callable[[int, str, str], bytes],
        first_request_within: float | None = None,
    ) -> None:
        self.limits = limits
        self._serve = serve
        self._error = error
        self._first_request_within = first_request_within
        self._open: set[asyncio.StreamWriter] = set()
        # Those without an open req, longest first: since when, and the time-out of their reading.
        self._idle: Waiting = {}
        self._fresh: Waiting = {}  # no req has come on them yet
        self._entering = 0
        self._called: asyncio.Future[None] | None = None  # `accept` waits for a connection, or for the stop
        self.stopping = self._shut = False

    @property
    def connections(self) -> int:
        return len(self._open) + self._entering

    async def accept(self, listener: socket.socket, tasks: asyncio.TaskGroup) -> None:
        """Takes connections one by one, for services with few descriptors: never more than may be open. When
        all are in use, one that is idle gives way; else new ones wait where the system keeps them. Returns
        after a stop, once none waits there: closing would reset those, whose requests this machine has."""
        while not self._shut:
            if self.connections >= self.limits.connections and not self.evict_idle():
                await asyncio.sleep(ACCEPT_AGAIN)
                continue
            try:
                connected, _ = listener.accept()
            except BlockingIOError:
                if self.stopping:
                    return
                await self._call(listener)
                continue
            except OSError:  # no descriptor is left, or the peer has gone again
                await asyncio.sleep(ACCEPT_AGAIN)
                continue
            connected.setblocking(False)
            self._entering += 1
            tasks.create_task(self._enter(connected))

    async def _call(self, listener: socket.socket) -> None:
        """Until a connection waits, or the stop."""
        loop = asyncio.get_running_loop()
        self._called = loop.create_future()
        loop.add_reader(listener, self._on_call)
        try:
            await self._called
        finally:
            loop.remove_reader(listener)

    def _on_call(self) -> None:
        if self._called and not self._called.done():
            self._called.set_result(None)

    async def _enter(self, connected: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=READ, loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        try:
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, connected)
        except OSError:
            connected.close()
            return
        finally:
            self._entering -= 1
        try:
            await self.handle_connection(reader, asyncio.StreamWriter(transport, protocol, reader, loop))
        except Exception:  # guards all other clients against a fault of ours in this one's connection
            log.exception("a client's connection")

    def evict_idle(self) -> bool:
        """Has the connection closed that has waited longest without an open req: silent ones first, which
        sent nothing yet. Those that were accepted just now are spared: their bytes are on their way. So are
        those with bytes that nobody has read yet, or with an answer that is still on its way out."""
        now = asyncio.get_running_loop().time()
        for waiting in (self._fresh, self._idle):
            for writer, (since, reading) in itertools.islice(waiting.items(), LOOKED_AT):
                unsent = writer.transport.get_write_buffer_size()
                spared = now - since <= SILENT_FOR or unsent or reading.expired()
                if not spared and not peek.seen(writer, peek.UNREAD):
                    del waiting[writer]
                    self._open.discard(writer)
                    reading.reschedule(now)
                    return True
        return False

    def stop(self, shut_after: float = SHUT_AFTER) -> None:
        """Idle connections close now, the others after the answer that they are at. A new one has a moment
        for its first req: it was accepted, and its client's bytes may be on their way. What is whole only
        when that is over is refused: this process may be ended before it could be served."""
        self.stopping = True
        self._on_call()
        self._close(self._idle)
        asyncio.get_running_loop().call_later(shut_after, self._shuts)

    def _shuts(self) -> None:
        self._shut = True
        self._close(self._fresh)

    def _close(self, waiting: Waiting) -> None:
        """Only the reading ends: what had come by then is answered, what comes later is not read."""
        for _, reading in waiting.values():
            if not reading.expired():
                reading.reschedule(asyncio.get_running_loop().time())

    async def wait_closed(self) -> None:
        """Returns once no connection is open."""
        while self.connections:
            await asyncio.sleep(ACCEPT_AGAIN)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._open) >= self.limits.connections:
            writer.close()  # guards against a flood of connections: what is open goes on
            return
        writer.transport.set_write_buffer_limits(high=READ)
        with contextlib.suppress(OSError):
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT)
        self._open.add(writer)
        try:
            await self._talk(reader, writer)
        except OSError:  # however the system words it
            pass
        finally:
            try:
                writer.transport.set_write_buffer_limits(high=0)
                await _taken(writer, self.limits.body_within / 1e6)
                async with asyncio.timeout(LINGER):
                    writer.close()
                    await writer.wait_closed()
            except (TimeoutError, OSError):  # its descriptor is wanted
                writer.transport.abort()
            finally:
                self._open.discard(writer)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = http1.ReqParser(self.limits.header_bytes, self.limits.body_bytes)
        idle = self._fresh
        while True:
            try:
                message = await self._next(reader, writer, parser, idle)
                idle = self._idle
            except HttpError as problem:
                said = self._error(problem.status, "bad_http", problem.said)
                Reply(writer, False).send_whole(problem.status, said)
                return await self._linger(reader, writer)
            if message is None:
                return
            # Behind what was read already comes no end, also after a stop: its clients are owed answers.
            reply = Reply(
                writer,
                message.keep_alive,
                self.limits.body_within / 1e6,
                lambda: self.stopping and not parser.ready,
            )
            if self._shut:
                reply.send_whole(
                    503, self._error(503, "stopping", "it came too late: trying again does no harm")
                )
            else:
                async with asyncio.TaskGroup() as tasks:
                    watch = tasks.create_task(self._watch(reader, parser, reply))
                    await self._serve(message, reply)
                    watch.cancel()
            if not reply.keep_alive:
                if parser.ready or parser.partial or parser.broken or peek.seen(writer, peek.UNREAD):
                    await self._linger(reader, writer)
                return
            await reply.wait_writable()

    async def _next(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        parser: http1.ReqParser,
        idle: Waiting,
    ) -> Message | None:
        """The next whole req; None if the client is done. Guards against slow senders: a head and a body
        each have their time."""
        limits, since, in_head = self.limits, None, True
        loop = asyncio.get_running_loop()
        first = idle is self._fresh and self._first_request_within
        latest = loop.time() + first if first else math.inf
        while not parser.ready:
            if parser.broken:
                raise parser.broken from None
            if parser.partial:
                if since is None or in_head != parser.in_head:
                    since, in_head = loop.time(), parser.in_head
                until = since + (limits.header_within if in_head else limits.body_within) / 1e6
            else:
                resting = 0 if self.stopping and idle is self._idle else limits.idle_for / 1e6
                until = loop.time() + resting
            try:
                async with asyncio.timeout_at(min(until, latest)) as reading:
                    if not parser.partial:
                        idle[writer] = (loop.time(), reading)
                    data = await reader.read(READ)
            except TimeoutError:
                if parser.partial:
                    raise HttpError(408, "the req did not come in time") from None
                data = await _come(reader, writer)  # read from the system by then, so it has to be answered
                if data:
                    self._open.add(writer)  # it may have given way, and does not now
            finally:
                idle.pop(writer, None)
            if not data:
                return None
            parser.take(data, loop.time())
        return parser.ready.popleft()

    async def _linger(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Closes only once the peer has had time to read why: with bytes of its own still unread, an answer
        would be lost to a reset."""
        left = LINGER_BYTES
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(LINGER):
                await writer.drain()
                writer.write_eof()
                while left > 0 and (data := await reader.read(READ)):
                    left -= len(data)

    async def _watch(self, reader: asyncio.StreamReader, parser: http1.ReqParser, reply: Reply) -> None:
        """Sees at once that the client left, whatever it sent before: reading goes on to the end. What comes
        early is parsed, up to a bound, and waits its turn; what comes past that, or can't be read, is thrown
        away. A client that closes its sending side counts as gone."""
        early, loop = 0, asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(READ):
                early += len(data)
                if early > EARLY_BYTES:
                    parser.broken = HttpError(413, f"over {EARLY_BYTES} bytes came before an answer")
                parser.take(data, loop.time())
                if parser.broken:  # guards memory and the loop against a flood behind a request
                    await asyncio.sleep(EARLY_PAUSE)
        reply.keep_alive = False
        if not reply.over:
            reply.drop()
            if reply.on_client_gone:
                reply.on_client_gone()


async def _come(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
    """What the loop has read and nobody has taken yet; b"" if nothing. The loop reads no more then: what
    comes while the connection closes stays with the system, whose reset tells the client so."""
    writer.transport.pause_reading()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0):
            if data := await reader.read(READ):
                writer.transport.resume_reading()
            return data
    return b""
