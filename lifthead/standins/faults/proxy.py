"""A TCP proxy between one router and one other process, with faults that can be switched on and off.

It records when the router sends a request, when an answer that is not a stream reaches the router, and when
the router closes the connection. It does so even while it forwards nothing, since an unreachable engine sees
none of these.
"""

import asyncio
import contextlib
import re
import socket
import struct
from dataclasses import dataclass, field
from enum import Enum

from lifthead.standins.record import Record

READ_SIZE = 65_536
_find_trace_id = re.compile(rb"(?i)\r\nx-trace-id: *([0-9A-Za-z_-]+)").search
REQUEST_METHODS = (b"POST ",)
# The beginnings of all answers that end an attempt, except streams.
NON_STREAM_STATUSES = (b"HTTP/1.1 202", b"HTTP/1.1 4", b"HTTP/1.1 5")
POLL_INTERVAL = 0.01  # seconds between checks whether a fault that delays bytes is over
SILENT_LINGER = 12.0  # seconds for which the engine keeps a silent connection that the router has closed
BACKLOG_CONNECTIONS = 4  # connections that fill a listen queue of length 0


class Fault(Enum):
    """A network fault between the router and the other process."""

    SILENT = "silent"  # open connections drop all bytes in both directions, for good
    HANG = "hang"  # connections are accepted but never read
    NEVER_UP = "never_up"  # new connections are not established
    RESET = "reset"  # open connections are reset, once
    CUT_UP = "cut_up"  # bytes to the engine are dropped
    CUT_DOWN = "cut_down"  # bytes to the router are dropped
    HOLD = "hold"  # bytes are held back until the fault is over
    DELAY = "delay"  # every chunk is delayed
    HALF = "half"  # half of the next request is forwarded, then the connection is silent
    HALF_ANSWER = (
        "half_answer"  # the first bytes of the next answer are forwarded, then the connection is silent
    )


class RouterReader(asyncio.StreamReader):
    """Records what a router sends on one connection as it arrives, whether or not it is forwarded."""

    def __init__(self, proxy: "FaultProxy", number: int) -> None:
        super().__init__(limit=READ_SIZE, loop=asyncio.get_running_loop())
        self.proxy, self.number = proxy, number
        self._closed = False

    def feed_data(self, data: bytes) -> None:
        if data.startswith(REQUEST_METHODS) and (trace_id := _find_trace_id(data)):
            self.proxy.record_event("sent", connection=self.number, request=trace_id[1].decode())
        super().feed_data(data)

    def feed_eof(self) -> None:
        self._record_close()
        super().feed_eof()

    def set_exception(self, exc: Exception) -> None:
        self._record_close()
        super().set_exception(exc)

    def _record_close(self) -> None:
        if not self._closed:
            self._closed = True
            self.proxy.record_event("router_closed", connection=self.number)


@dataclass(eq=False, slots=True)
class ProxiedConnection:
    """A connection from the router and the one to the engine that it is forwarded to."""

    number: int
    router: asyncio.StreamWriter
    engine: asyncio.StreamWriter
    silent: bool = False


@dataclass(eq=False)
class FaultProxy:
    """Listens on a port of its own for one router and forwards each connection to `target_port`."""

    router: str
    engine: str
    target_port: int  # on loopback
    record: Record
    delay: float = 0.2  # seconds, for DELAY
    faults: set[Fault] = field(default_factory=set)
    open_connections: set[ProxiedConnection] = field(default_factory=set)
    port: int = 0

    def __post_init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._connection_count = 0
        self._tasks: set[asyncio.Task] = set()
        self._backlog_sockets: list[socket.socket] = []
        self._full_listener: socket.socket | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._new_protocol, "127.0.0.1", self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def record_event(self, event: str, **fields: object) -> None:
        self.record.put(event, router=self.router, engine=self.engine, **fields)

    def _new_protocol(self) -> asyncio.StreamReaderProtocol:
        self._connection_count += 1
        reader = RouterReader(self, self._connection_count)
        return asyncio.StreamReaderProtocol(reader, self._serve_connection, loop=asyncio.get_running_loop())

    async def begin(self, fault: Fault) -> None:
        """Switches a fault on; SILENT and RESET act on the connections that are open now."""
        if fault is Fault.SILENT:
            for proxied in self.open_connections:
                proxied.silent = True
        elif fault is Fault.RESET:
            for proxied in list(self.open_connections):
                reset_connection(proxied.router)
                reset_connection(proxied.engine)
        elif fault is Fault.NEVER_UP:
            await self._fill_listen_queue()
        else:
            self.faults.add(fault)

    async def end(self, fault: Fault) -> None:
        self.faults.discard(fault)
        if fault is Fault.NEVER_UP and self._full_listener:
            for each in (*self._backlog_sockets, self._full_listener):
                each.close()
            self._backlog_sockets, self._full_listener = [], None
            await self.start()

    async def close(self) -> None:
        await self.end(Fault.NEVER_UP)
        if self._server:
            self._server.close()
        for proxied in list(self.open_connections):
            proxied.router.transport.abort()
            proxied.engine.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _fill_listen_queue(self) -> None:
        """Listens with the shortest backlog and fills it, so that the kernel drops further connects."""
        if self._server is None or self._full_listener:
            return
        self._server.close()
        listener = self._full_listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        for _ in range(BACKLOG_CONNECTIONS):
            backlog_socket = socket.socket()
            backlog_socket.setblocking(False)
            backlog_socket.connect_ex(("127.0.0.1", self.port))
            self._backlog_sockets.append(backlog_socket)

    async def _serve_connection(self, reader: RouterReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _relay(self, reader: RouterReader, writer: asyncio.StreamWriter) -> None:
        while Fault.HANG in self.faults:
            await asyncio.sleep(POLL_INTERVAL)
        from_engine, to_engine = await asyncio.open_connection("127.0.0.1", self.target_port)
        proxied = ProxiedConnection(reader.number, writer, to_engine)
        port = to_engine.get_extra_info("sockname")[1]  # the engine records the same port
        self.record_event("opened", connection=reader.number, port=port)
        self.open_connections.add(proxied)
        try:
            async with asyncio.TaskGroup() as tasks:
                downstream = tasks.create_task(self._relay_downstream(proxied, from_engine))
                await self._relay_upstream(proxied, reader)
                await self._forward_eof(proxied, downstream)
                downstream.cancel()
        except* OSError:
            pass
        finally:
            self.open_connections.discard(proxied)
            with contextlib.suppress(asyncio.CancelledError):
                if proxied.silent:  # the engine does not see that a silent connection was closed
                    await asyncio.sleep(SILENT_LINGER)
            to_engine.transport.abort()

    async def _forward_eof(self, proxied: ProxiedConnection, downstream: asyncio.Task) -> None:
        """Forwards the router's end of stream to the engine, with the same delays as data.

        The router's side stays open until the engine itself ends the connection.
        """
        await self._apply_delays()
        while Fault.CUT_UP in self.faults:
            await asyncio.sleep(POLL_INTERVAL)
        if not proxied.silent and proxied.engine.can_write_eof():
            proxied.engine.write_eof()
            await asyncio.wait([downstream], timeout=SILENT_LINGER)

    async def _relay_upstream(self, proxied: ProxiedConnection, reader: RouterReader) -> None:
        """Forwards bytes from the router to the engine."""
        while data := await self._read_from_router(reader):
            if Fault.HALF in self.faults and data.startswith(REQUEST_METHODS):
                self.faults.discard(Fault.HALF)
                proxied.engine.write(data[: len(data) // 2])
                proxied.silent = True
            await self._apply_delays()
            if not proxied.silent and Fault.CUT_UP not in self.faults:
                proxied.engine.write(data)

    async def _relay_downstream(self, proxied: ProxiedConnection, reader: asyncio.StreamReader) -> None:
        """Forwards bytes from the engine to the router."""
        while data := await reader.read(READ_SIZE):
            await self._apply_delays()
            if Fault.HALF_ANSWER in self.faults and data.startswith(b"HTTP/"):
                self.faults.discard(Fault.HALF_ANSWER)
                proxied.router.write(data[:20])
                proxied.silent = True
            if not proxied.silent and Fault.CUT_DOWN not in self.faults:
                proxied.router.write(data)
                if data.startswith(NON_STREAM_STATUSES):
                    self.record_event("delivered", connection=proxied.number)
        if not proxied.silent:
            proxied.router.transport.abort()

    async def _read_from_router(self, reader: RouterReader) -> bytes:
        while Fault.HANG in self.faults:
            await asyncio.sleep(POLL_INTERVAL)
        try:
            return await reader.read(READ_SIZE)
        except ConnectionError:
            return b""

    async def _apply_delays(self) -> None:
        while Fault.HOLD in self.faults or Fault.HANG in self.faults:
            await asyncio.sleep(POLL_INTERVAL)
        if Fault.DELAY in self.faults:
            await asyncio.sleep(self.delay)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a TCP reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
