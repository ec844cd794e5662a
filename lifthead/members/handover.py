"""A new router process takes over the listening sockets of a running one, so that no connection is refused.

Over the Unix socket NAME.hand the old process sends its listening sockets. The new one gets ready and sends
`go`; the old one stops accepting and answers `done`. Connections that arrive in between wait in the sockets'
accept queues. If the new process dies before `go`, nothing changes; if the old one dies after `go`, the new
one serves."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

GO, DONE, HELLO = b"go\n", b"done", b"sockets\n"
HANDOVER_TIMEOUT_S = 30.0  # from sending the sockets to `go`


class Predecessor:
    """The running router whose sockets are taken over. Its calls block: nothing is served yet."""

    def __init__(self, path: Path, count: int) -> None:
        """Raises OSError if no router listens there, or if it hands over no sockets."""
        self._connection = socket.socket(socket.AF_UNIX)
        self._connection.settimeout(HANDOVER_TIMEOUT_S)
        try:
            self._connection.connect(str(path))
        except OSError as problem:
            raise OSError(f"{path}: no router hands its sockets over there: {problem}") from None
        hello, descriptors, _, _ = socket.recv_fds(self._connection, len(HELLO), count)
        self.sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        if hello != HELLO or len(descriptors) != count:
            raise OSError(f"{path}: expected {count} sockets, got {len(descriptors)}")

    def take_over(self) -> None:
        """Makes the predecessor stop accepting; returns once it has stopped or is dead."""
        with contextlib.suppress(OSError):
            self._connection.sendall(GO)
            self._connection.recv(len(DONE))
        self._connection.close()


async def offer_sockets(path: Path, sockets: Sequence[Any], on_taken: Callable[[], None]) -> None:
    """Sends the sockets to each process that connects, one at a time. Once one of them is ready to serve,
    calls `on_taken` and returns."""
    loop = asyncio.get_running_loop()
    path.unlink(missing_ok=True)
    with socket.socket(socket.AF_UNIX) as listener:
        old_umask = os.umask(0o077)
        listener.bind(str(path))
        os.umask(old_umask)
        listener.listen(4)
        listener.setblocking(False)
        while True:
            connection, _ = await loop.sock_accept(listener)
            with connection, contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                    socket.send_fds(connection, [HELLO], [each.fileno() for each in sockets])
                    answer = await loop.sock_recv(connection, len(GO))
                if answer == GO:
                    path.unlink(missing_ok=True)
                    on_taken()
                    await loop.sock_sendall(connection, DONE)
                    return
