"""HTTP for stand-ins, on h11: not the router's own codec, so that each checks the other."""

import asyncio
from dataclasses import dataclass, field

import h11

from lifthead.standins.record import now


@dataclass(slots=True)
class ReceivedRequest:
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    closed: asyncio.Event = field(default_factory=asyncio.Event)  # the peer went away ...
    closed_at: int = 0  # ... at this time


class ServerConnection:
    """One connection's server side: reqs one after the other, with news of a peer that leaves."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.http = h11.Connection(h11.SERVER)
        self.peer_closed = False

    async def read_request(self) -> ReceivedRequest | None:
        asked, body = None, []
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = await self.reader.read(65_536)
                if not data and asked is None:
                    return None
                self.http.receive_data(data)
            elif isinstance(event, h11.Request):
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
                asked = ReceivedRequest(event.method.decode(), event.target.decode("latin-1"), headers)
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and asked:
                asked.body = b"".join(body)
                return asked
            else:
                return None

    async def wait_for_close(self, asked: ReceivedRequest, late: float = 0.0) -> None:
        """Ends when the peer closes, or so many seconds later: this end is late to see it."""
        while True:
            try:
                data = await self.reader.read(65_536)
            except ConnectionError:
                data = b""
            if not data:
                await asyncio.sleep(late)
                self.peer_closed, asked.closed_at = True, now()
                asked.closed.set()
                return

    @property
    def has_answered(self) -> bool:
        """Whether the answer to the request in hand has begun."""
        return self.http.our_state is not h11.SEND_RESPONSE

    def start_response(self, status: int, headers: dict[str, str]) -> None:
        self._put(h11.Response(status_code=status, headers=list(headers.items())))

    def send_data(self, data: bytes) -> None:
        self._put(h11.Data(data=data))

    def end_response(self) -> None:
        self._put(h11.EndOfMessage())

    def send_response(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        fields = {"content-type": "application/json", "content-length": str(len(body)), **(headers or {})}
        self.start_response(status, fields)
        self.send_data(body)
        self.end_response()

    def send_raw(self, data: bytes) -> None:
        self.writer.write(data)

    def _put(self, event: h11.Event) -> None:
        if not self.peer_closed and not self.writer.transport.is_closing():
            self.writer.write(self.http.send(event) or b"")

    def reset(self) -> None:
        """Breaks the connection the hard way."""
        import socket
        import struct

        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class ClientConnection:
    """One connection's client side."""

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
        sent = self.http.send(h11.Request(method=method, target=path, headers=list(fields.items()))) or b""
        sent += (self.http.send(h11.Data(data=body)) or b"") if body else b""
        self.writer.write(sent + (self.http.send(h11.EndOfMessage()) or b""))

    async def read_status(self) -> int:
        while not self.status:
            event = await self._event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        return self.status

    async def read_data(self) -> bytes:
        """The next bytes of the body, b"" at its end."""
        while True:
            event = await self._event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return b""

    async def read_body(self) -> bytes:
        parts = []
        while part := await self.read_data():
            parts.append(part)
        return b"".join(parts)

    async def _event(self) -> h11.Event:
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
    """One question on a connection of its own."""
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
    """Waits until one of them is set."""
    async with asyncio.TaskGroup() as tasks:
        waits = [tasks.create_task(event.wait()) for event in events]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
