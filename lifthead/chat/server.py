"""HTTP/1.1 connections of clients, on asyncio streams, with limits that guard against misbehaving peers."""

import asyncio
import contextlib
import itertools
import logging
import math
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from lifthead import http1, socket_state
from lifthead.chat.reply import WRITE_BUFFER_BYTES, Reply, wait_drained
from lifthead.http1 import HttpError, Message
from lifthead.memory import READ_AHEAD_SHARE, MemoryAccount, MemoryPool
from lifthead.streams import BUFFER_LIMIT, BoundedStreamProtocol

READ_BYTES = 65_536  # read at once
LINGER_FOR = 1.0  # seconds
LINGER_BYTES = 1 << 20  # read and discarded at most while a connection lingers
PIPELINED_BYTES = 1 << 19  # read at most of what a client sends behind a request that is not answered yet
DISCARD_PAUSE = 0.005  # seconds between reads of what a client sends behind a malformed request
CLOSE_CHECK_INTERVAL = 0.02  # seconds between looks for a disconnect while the client's bytes stay unread
ACCEPT_RETRY = 0.02  # seconds between attempts to accept while no descriptor is free
EVICTION_CANDIDATES = 16  # idle connections that are examined when one is to be evicted
EVICTABLE_AFTER = 0.1  # seconds after which a connection without an open request may be evicted
UNSENT_BYTES = 16_384  # that the kernel buffers unsent per client: progress inside its buffer is not visible
NO_MEMORY = "no memory is left for it: trying again does no harm"
STOP_GRACE = 1.0  # seconds after a stop in which requests on open connections are still served

log = logging.getLogger(__name__)


class ClientLimits(Protocol):
    """What clients may send and hold: bytes, microseconds, and a count of connections."""

    header_bytes: int
    body_bytes: int
    header_within: int
    body_within: int
    idle_for: int
    connections: int


@dataclass(slots=True, eq=False)
class ClientConnection:
    """A client's connection, what was received on it, and the request that is being served."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    parser: http1.RequestParser
    memory: MemoryAccount
    in_hand: Message | None = None

    def update_memory(self) -> None:
        """Reports what is held of the client's bytes."""
        in_hand = self.in_hand.held_bytes if self.in_hand else 0
        self.memory.hold(self.parser.buffered_bytes + in_hand)

    @property
    def may_read_ahead(self) -> bool:
        """Whether more of what follows an unanswered request may be read. What follows a malformed one is
        discarded and may be read always."""
        if self.parser.error:
            return True
        return self.parser.buffered_bytes <= PIPELINED_BYTES and self.memory.may_grow(READ_AHEAD_SHARE)


# By connection: since when it waits for a request, and the timeout of its pending read.
WaitingConnections = dict[asyncio.StreamWriter, tuple[float, asyncio.Timeout]]


class ClientConnections:
    """Accepts connections and passes each complete request to `serve`, one at a time per connection.

    `error` builds the body of an answer to a malformed request. `first_request_within` is the time in seconds
    from accepting a connection to its first complete request, for services that must close silent ones.
    `memory`: the pool for what clients send; a request that finds no room in it is rejected.
    """

    def __init__(
        self,
        limits: ClientLimits,
        serve: Callable[[Message, Reply], Awaitable[None]],
        error: Callable[[int, str, str], bytes],
        first_request_within: float | None = None,
        memory: MemoryPool | None = None,
    ) -> None:
        self.limits = limits
        self._memory = memory or MemoryPool()
        self._serve = serve
        self._error = error
        self._first_request_within = first_request_within
        self._open: set[asyncio.StreamWriter] = set()
        # Connections without an open request, the one that waits longest first.
        self._idle: WaitingConnections = {}
        self._new: WaitingConnections = {}  # no request has come on them yet
        # Connections with an incomplete request, the one that was begun first in front.
        self._incomplete: dict[ClientConnection, asyncio.Timeout] = {}
        self._evicted: set[ClientConnection] = set()  # of those, the ones that make room for others
        self._accepting = 0
        self._accept_event: asyncio.Future[None] | None = None  # set by a new connection or by the stop
        self.stopping = self._refusing = False

    @property
    def connections(self) -> int:
        return len(self._open) + self._accepting

    async def accept(self, listener: socket.socket, tasks: asyncio.TaskGroup) -> None:
        """Accepts connections one by one, for services with few descriptors, and never more than may be open.

        When all are in use, an idle one is evicted; if none is idle, new ones wait in the listen queue. After
        a stop, it returns once the listen queue is empty: closing the listener would reset connections whose
        requests this machine has already received.
        """
        while not self._refusing:
            if self.connections >= self.limits.connections and not self.evict_idle():
                await asyncio.sleep(ACCEPT_RETRY)
                continue
            try:
                connected, _ = listener.accept()
            except BlockingIOError:
                if self.stopping:
                    return
                await self._wait_for_connection(listener)
                continue
            except OSError:  # no descriptor is free, or the peer has disconnected again
                await asyncio.sleep(ACCEPT_RETRY)
                continue
            connected.setblocking(False)
            self._accepting += 1
            tasks.create_task(self._start_connection(connected))

    async def _wait_for_connection(self, listener: socket.socket) -> None:
        """Waits for a connection in the listen queue, or for the stop."""
        loop = asyncio.get_running_loop()
        self._accept_event = loop.create_future()
        loop.add_reader(listener, self._resume_accept)
        try:
            await self._accept_event
        finally:
            loop.remove_reader(listener)

    def _resume_accept(self) -> None:
        if self._accept_event and not self._accept_event.done():
            self._accept_event.set_result(None)

    async def _start_connection(self, connected: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=BUFFER_LIMIT, loop=loop)
        protocol = BoundedStreamProtocol(reader, loop=loop)
        try:
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, connected)
        except OSError:
            connected.close()
            return
        finally:
            self._accepting -= 1
        try:
            await self.handle_connection(reader, asyncio.StreamWriter(transport, protocol, reader, loop))
        except Exception:  # a fault in the handling of one client must not end the others
            log.exception("unexpected error on a client connection")

    def evict_idle(self) -> bool:
        """Closes the connection that has waited longest without an open request; False if there is none.

        Connections that have not sent anything yet go first. Not evicted are those that were accepted just
        now, whose bytes may be on their way, those with bytes that are not read yet, and those whose answer
        is not fully sent.
        """
        now = asyncio.get_running_loop().time()
        for waiting in (self._new, self._idle):
            for writer, (since, reading) in itertools.islice(waiting.items(), EVICTION_CANDIDATES):
                unsent = writer.transport.get_write_buffer_size()
                in_use = now - since <= EVICTABLE_AFTER or unsent or reading.expired()
                if not in_use and not socket_state.has_event(writer, socket_state.READABLE):
                    del waiting[writer]
                    self._open.discard(writer)
                    reading.reschedule(now)
                    return True
        return False

    def _evict_incomplete(self, newcomer: ClientConnection) -> bool:
        """Ends the incomplete request that was begun first, so that its memory is free for another one; False
        if there is none. Usual clients send a request at once, so the oldest incomplete one is likely to stay
        incomplete."""
        for connection, reading in self._incomplete.items():
            if connection is newcomer:
                return False  # the others were begun later
            if connection.memory.is_pooled and not reading.expired():
                del self._incomplete[connection]
                self._evicted.add(connection)
                connection.memory.close()  # its task frees it within two turns of the event loop
                reading.reschedule(asyncio.get_running_loop().time())
                return True
        return False

    def stop(self, grace: float = STOP_GRACE) -> None:
        """Closes idle connections now and the others after their current answer.

        A new connection has the grace period for its first request: it was accepted, and the client's bytes
        may be on their way. A request that is complete only after the grace period is refused, since this
        process may be killed before it could be served.
        """
        self.stopping = True
        self._resume_accept()
        self._end_reading(self._idle)
        asyncio.get_running_loop().call_later(grace, self._refuse_requests)

    def _refuse_requests(self) -> None:
        self._refusing = True
        self._end_reading(self._new)

    def _end_reading(self, waiting: WaitingConnections) -> None:
        """Ends only the reading: what has arrived by now is answered, what arrives later is not read."""
        for _, reading in waiting.values():
            if not reading.expired():
                reading.reschedule(asyncio.get_running_loop().time())

    async def wait_closed(self) -> None:
        """Returns once no connection is open."""
        while self.connections:
            await asyncio.sleep(ACCEPT_RETRY)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._open) >= self.limits.connections:
            writer.close()  # a flood of new connections does not disturb the open ones
            return
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        with contextlib.suppress(OSError):
            writer.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES
            )
        self._open.add(writer)
        parser = http1.RequestParser(self.limits.header_bytes, self.limits.body_bytes)
        connection = ClientConnection(reader, writer, parser, self._memory.open_account())
        try:
            await self._serve_requests(connection)
        except OSError:  # the connection is gone, whichever error the system reports for it
            pass
        finally:
            parser.close()
            connection.memory.close()
            try:
                writer.transport.set_write_buffer_limits(high=0)
                await wait_drained(writer, self.limits.body_within / 1e6)
                async with asyncio.timeout(LINGER_FOR):
                    writer.close()
                    await writer.wait_closed()
            except (TimeoutError, OSError):  # free the descriptor at once
                writer.transport.abort()
            finally:
                self._open.discard(writer)

    async def _serve_requests(self, connection: ClientConnection) -> None:
        reader, writer, parser = connection.reader, connection.writer, connection.parser
        waiting = self._new
        while True:
            try:
                message = await self._next_request(connection, waiting)
                waiting = self._idle
            except HttpError as problem:
                body = self._error(problem.status, "bad_http", problem.reason)
                Reply(writer, False).send_whole(problem.status, body)
                parser.close()
                connection.update_memory()
                return await self._linger(reader, writer)
            if message is None:
                return
            # The connection stays open, even after a stop, while parsed requests wait for their answers.
            reply = Reply(
                writer,
                message.keep_alive,
                self.limits.body_within / 1e6,
                lambda: self.stopping and not parser.requests and parser.unread_since is None,
            )
            reply.on_begun = connection.update_memory  # the service may have dropped the request's body
            if self._refusing:
                reply.send_whole(
                    503, self._error(503, "stopping", "it came too late: trying again does no harm")
                )
            else:
                connection.in_hand = message
                async with asyncio.TaskGroup() as tasks:
                    watch = tasks.create_task(self._watch_for_close(connection, reply))
                    await self._serve(message, reply)
                    watch.cancel()
            # An idle connection keeps nothing of a request, nor what the service's callback refers to.
            message, connection.in_hand, reply.on_client_gone = None, None, None
            connection.update_memory()
            if not reply.keep_alive:
                if (
                    parser.requests
                    or parser.partial
                    or parser.error
                    or socket_state.has_event(writer, socket_state.READABLE)
                ):
                    await self._linger(reader, writer)
                return
            await reply.wait_writable()

    async def _next_request(
        self, connection: ClientConnection, waiting: WaitingConnections
    ) -> Message | None:
        """Returns the next complete request; None if the client is done.

        Slow senders are cut off: a head and a body each have a time limit. A request for which no memory is
        left is rejected before the rest of it is read.
        """
        limits, since, in_head = self.limits, None, True
        parser = connection.parser
        loop = asyncio.get_running_loop()
        waiting_since = loop.time()  # bytes that begin no request, such as empty lines, leave it as it is
        first = waiting is self._new and self._first_request_within
        latest = waiting_since + first if first else math.inf
        try:
            while not parser.requests:
                if parser.error:
                    raise parser.error from None
                if parser.partial:
                    if since is None or in_head != parser.in_head:
                        since, in_head = loop.time(), parser.in_head
                    until = since + (limits.header_within if in_head else limits.body_within) / 1e6
                else:
                    idle_timeout = 0 if self.stopping and waiting is self._idle else limits.idle_for / 1e6
                    until = waiting_since + idle_timeout
                reading = self._read_until(connection, min(until, latest), waiting, waiting_since)
                if not (data := await reading):
                    return None
                self._parse(connection, data)
                has_begun = parser.partial or parser.requests or parser.error
                if not has_begun and loop.time() >= min(until, latest):
                    return None
                self._make_room(connection)
            return parser.next_request()
        finally:
            waiting.pop(connection.writer, None)
            self._incomplete.pop(connection, None)
            self._evicted.discard(connection)

    async def _read_until(
        self,
        connection: ClientConnection,
        latest: float,
        waiting: WaitingConnections,
        waiting_since: float,
    ) -> bytes:
        """Reads bytes of the next request; b"" if the client is done."""
        reader, writer, parser = connection.reader, connection.writer, connection.parser
        try:
            async with asyncio.timeout_at(latest) as reading:
                if parser.partial:
                    waiting.pop(writer, None)
                    self._incomplete[connection] = reading
                else:
                    waiting[writer] = (waiting_since, reading)
                data = await reader.read(READ_BYTES)
            if connection in self._evicted:  # its bytes came just before the timeout
                raise HttpError(503, NO_MEMORY)
            return data
        except TimeoutError:
            if connection in self._evicted:
                raise HttpError(503, NO_MEMORY) from None
            if parser.partial:
                raise HttpError(408, "the req did not come in time") from None
            data = await _take_buffered(reader, writer)  # already read from the socket: must be answered
            if data:
                self._open.add(writer)  # an eviction may have removed it
            return data

    def _make_room(self, connection: ClientConnection) -> None:
        """Frees memory for the rest of a request; raises HttpError if there is none."""
        parser = connection.parser
        if parser.requests or parser.error or connection.memory.may_grow():
            return
        if not self._evict_incomplete(connection):
            raise HttpError(503, NO_MEMORY)

    def _parse(self, connection: ClientConnection, data: bytes) -> None:
        connection.parser.feed_pipelined(data, asyncio.get_running_loop().time())
        connection.update_memory()
        self._note_all_read(connection.parser, data, connection.writer)

    async def _linger(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Lets the peer read the answer before the connection closes.

        A close with unread bytes of the peer would send a reset, which can destroy the answer on its way.
        """
        left = LINGER_BYTES
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(LINGER_FOR):
                await writer.drain()
                writer.write_eof()
                while left > 0 and (data := await reader.read(READ_BYTES)):
                    left -= len(data)

    async def _watch_for_close(self, connection: ClientConnection, reply: Reply) -> None:
        """Reads on while a request is served, so that a disconnect is noticed at once.

        What follows the request waits for its turn, up to a limit for the connection and one for all; what
        exceeds it stays unread until some requests are answered. What follows a malformed one is discarded. A
        client that closes its sending side counts as gone.
        """
        reader, writer, parser = connection.reader, connection.writer, connection.parser
        with contextlib.suppress(OSError):
            while True:
                if not connection.may_read_ahead:
                    parser.unread_since = parser.unread_since or asyncio.get_running_loop().time()
                    await _wait_for_disconnect(writer)
                    break
                if not (data := await reader.read(READ_BYTES)):
                    break
                self._parse(connection, data)
                if parser.error:  # a flood behind it must not fill the memory or occupy the loop
                    await asyncio.sleep(DISCARD_PAUSE)
        reply.keep_alive = False
        if not reply.over:
            reply.drop()
            if reply.on_client_gone:
                reply.on_client_gone()

    def _note_all_read(self, parser: http1.RequestParser, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Notes after a read whether nothing is left of what was held back unread."""
        if parser.unread_since is None or len(data) == READ_BYTES:
            return
        if not socket_state.has_event(writer, socket_state.READABLE):
            parser.unread_since = None


async def _wait_for_disconnect(writer: asyncio.StreamWriter) -> None:
    """Waits until the client has closed its side, without reading what it sent before."""
    transport = writer.transport
    was_reading = transport.is_reading()  # the stream may have paused it, and will resume it itself
    if was_reading:
        transport.pause_reading()
    try:
        while not socket_state.has_event(writer, socket_state.PEER_CLOSED):
            await asyncio.sleep(CLOSE_CHECK_INTERVAL)
    finally:
        if was_reading:
            transport.resume_reading()


async def _take_buffered(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
    """Returns what the event loop has read and nobody has consumed yet; b"" if there is nothing.

    If there is nothing, reading stays paused: bytes that arrive while the connection closes remain in the
    kernel, which then resets the connection, so the client knows that they were not processed.
    """
    writer.transport.pause_reading()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0):
            if data := await reader.read(READ_BYTES):
                writer.transport.resume_reading()
            return data
    return b""
