"""HTTP/1.1 for the stand-ins.

It builds on h11 and not on the router's own codec, so that each checks the other.
"""

import asyncio
from dataclasses import dataclass, field

import h11

from lifthead.standins.record import now


@dataclass(slots=True)
class ReceivedRequest:
    """A request as a server received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    closed: asyncio.Event = field(default_factory=asyncio.Event)  # set when the peer has closed ...
    closed_at: int = 0  # ... at this time


class ServerConnection:
    """The server side of a connection: one request after the other. It notices when the peer closes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.http = h11.Connection(h11.SERVER)
        self.peer_closed = False

    async def read_request(self) -> ReceivedRequest | None:
        request, body = None, []
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = await self.reader.read(65_536)
                if not data and request is None:
                    return None
                self.http.receive_data(data)
            elif isinstance(event, h11.Request):
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
                request = ReceivedRequest(event.method.decode(), event.target.decode("latin-1"), headers)
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and request:
                request.body = b"".join(body)
                return request
            else:
                return None

    async def wait_for_close(self, request: ReceivedRequest, delay: float = 0.0) -> None:
        """Returns when the peer has closed. `delay`: seconds by which this side notices the close late."""
        while True:
            try:
                data = await self.reader.read(65_536)
            except ConnectionError:
                data = b""
            if not data:
                await asyncio.sleep(delay)
                self.peer_closed, request.closed_at = True, now()
                request.closed.set()
                return

    @property
    def has_answered(self) -> bool:
        """Whether the answer to the current request has begun."""
        return self.http.our_state is not h11.SEND_RESPONSE

    def start_response(self, status: int, headers: dict[str, str]) -> None:
        self._send(h11.Response(status_code=status, headers=list(headers.items())))

    def send_data(self, data: bytes) -> None:
        self._send(h11.Data(data=data))

    def end_response(self) -> None:
        self._send(h11.EndOfMessage())

    def send_response(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        fields = {"content-type": "application/json", "content-length": str(len(body)), **(headers or {})}
        self.start_response(status, fields)
        self.send_data(body)
        self.end_response()

    def send_raw(self, data: bytes) -> None:
        self.writer.write(data)

    def _send(self, event: h11.Event) -> None:
        if not self.peer_closed and not self.writer.transport.is_closing():
            self.writer.write(self.http.send(event) or b"")

    def reset(self) -> None:
        """Resets the connection: a linger time of 0 makes the close send an RST."""
        import socket
        import struct

        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class ClientConnection:
    """The client side of a connection, for one request."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.http = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: dict[str, str] = {}

    @classmethod
    async def connect(cls, address: str) -> "ClientConnection":
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=65_536))

    def send_request(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        fields = {"host": "stand-in", "content-length": str(len(body)), **(headers or {})}
        data = self.http.send(h11.Request(method=method, target=path, headers=list(fields.items()))) or b""
        data += (self.http.send(h11.Data(data=body)) or b"") if body else b""
        self.writer.write(data + (self.http.send(h11.EndOfMessage()) or b""))

    async def read_status(self) -> int:
        while not self.status:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        return self.status

    async def read_data(self) -> bytes:
        """The next bytes of the body, or b"" at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return b""

    async def read_body(self) -> bytes:
        parts = []
        while part := await self.read_data():
            parts.append(part)
        return b"".join(parts)

    async def _next_event(self) -> h11.Event:
        while (event := self.http.next_event()) is h11.NEED_DATA:
            data = await self.reader.read(65_536)
            if not data:
                raise ConnectionResetError("closed before the end")
            self.http.receive_data(data)
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("closed before the end")
        return event

    def close(self) -> None:
        self.writer.transport.abort()


async def call(
    address: str, method: str, path: str, body: bytes = b"", timeout: float = 5.0
) -> tuple[int, bytes]:
    """Sends one request on its own connection. Returns the status and the body of the answer."""
    client = None
    try:
        async with asyncio.timeout(timeout):
            client = await ClientConnection.connect(address)
            client.send_request(method, path, body, {"connection": "close"})
            return await client.read_status(), await client.read_body()
    finally:
        if client:
            client.close()


async def wait_for_any(*events: asyncio.Event) -> None:
    """Waits until one of the events is set."""
    async with asyncio.TaskGroup() as tasks:
        waiters = [tasks.create_task(event.wait()) for event in events]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()
