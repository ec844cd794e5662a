"""The answer to one request on a client's connection: whole, or a stream of events."""

import asyncio
from collections.abc import Callable

from lifthead import http1, socket_state
from lifthead.http1 import Headers

WRITE_BUFFER_BYTES = 32_768  # high-water mark of what is written and not sent yet
JSON = {"content-type": "application/json"}


async def wait_drained(writer: asyncio.StreamWriter, stall_timeout: float) -> None:
    """Waits until the client has received most of what was written.

    A client that receives nothing for `stall_timeout` seconds is disconnected: its answer would hold memory
    here and a slot at an engine.
    """
    transport = writer.transport
    while True:
        left = transport.get_write_buffer_size()
        try:
            async with asyncio.timeout(stall_timeout):
                return await writer.drain()
        except TimeoutError:
            if transport.get_write_buffer_size() >= left:
                return transport.abort()
        except OSError:
            return  # the task that watches the connection sees the error


class Reply:
    """One answer on a connection.

    `on_client_gone` is called if the client disconnects before the answer is over, `on_begun` when an event
    stream has begun. `is_last` is called when
    the head of the answer is built; true means that the connection closes after this answer.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        keep_alive: bool,
        stall_timeout: float = 20.0,
        is_last: Callable[[], bool] = bool,
    ) -> None:
        self._writer = writer
        self._stall_timeout = stall_timeout  # seconds for which a client may receive nothing of a stream
        self._is_last = is_last
        self.keep_alive = keep_alive
        self.begun = self.over = False
        self.on_client_gone: Callable[[], None] | None = None
        self.on_begun: Callable[[], None] | None = None
        self.finished = asyncio.Event()

    @property
    def client_gone(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not yet processed that.

        A client that ends only its sending side counts as gone too: it can't be told from a close.
        """
        return (
            self.over
            or self._writer.transport.is_closing()
            or socket_state.has_event(self._writer, socket_state.PEER_CLOSED)
        )

    def send_whole(self, status: int, body: bytes, headers: Headers = JSON) -> None:
        """Sends a complete answer at once."""
        if self.begun:
            return
        self.begun = self.over = True
        fields = {**headers, "content-length": str(len(body)), "connection": self._connection_field()}
        self._write(http1.encode_answer_head(status, fields) + body)
        self.finished.set()

    def begin(self, headers: Headers, data: bytes = b"") -> None:
        """Sends the head of an event stream, and its first events if there are any."""
        self.begun = True
        self._write(
            http1.encode_answer_head(
                200,
                {
                    **headers,
                    "content-type": "text/event-stream; charset=utf-8",
                    "cache-control": "no-cache",
                    "transfer-encoding": "chunked",
                    "connection": self._connection_field(),
                },
            )
            + (http1.encode_chunk(data) if data else b"")
        )
        if self.on_begun:
            self.on_begun()

    def truncate(self) -> None:
        """Ends an incomplete stream: the connection closes without a last chunk, so the client notices."""
        self.drop()
        self._writer.close()

    def send(self, data: bytes) -> bool:
        """Sends events of a stream. False if the write buffer is full: the caller awaits `wait_writable`."""
        if not self.over:
            self._write(http1.encode_chunk(data))
        return self.unsent_bytes <= WRITE_BUFFER_BYTES

    @property
    def unsent_bytes(self) -> int:
        """The bytes of the answer that the system has not taken yet."""
        return self._writer.transport.get_write_buffer_size()

    async def wait_writable(self) -> None:
        """Waits until the client has received most of what was sent."""
        await wait_drained(self._writer, self._stall_timeout)

    def end(self, data: bytes = b"") -> None:
        """Sends the last events of a stream and its last chunk."""
        if not self.over:
            self.over = True
            self._write((http1.encode_chunk(data) if data else b"") + http1.LAST_CHUNK)
            self.finished.set()

    def drop(self) -> None:
        """Sends nothing more: the client has disconnected."""
        self.over = True
        self.keep_alive = False
        self.finished.set()

    def _connection_field(self) -> str:
        self.keep_alive = self.keep_alive and not self._is_last()
        return "keep-alive" if self.keep_alive else "close"

    def _write(self, data: bytes) -> None:
        if not self._writer.transport.is_closing():
            self._writer.write(data)
