"""A new process takes a running router's listening sockets, so that no connection is refused meanwhile.

Over a Unix socket NAME.hand: the old one sends its sockets, the new one gets ready and says `go`, the old one
stops accepting and says `done`; connections that come in between wait in the sockets' queues. A new one that
dies before `go` changes nothing; an old one that dies after it neither."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

GO, DONE, HELLO = b"go\n", b"done", b"sockets\n"
WITHIN = 30.0  # seconds from the sockets to `go`


class Predecessor:
    """The router whose sockets were taken. Blocking: before anything is served."""

    def __init__(self, path: Path, count: int) -> None:
        """OSError if no router is there, or it hands nothing over."""
        self._line = socket.socket(socket.AF_UNIX)
        self._line.settimeout(WITHIN)
        try:
            self._line.connect(str(path))
        except OSError as problem:
            raise OSError(f"{path}: no router hands its sockets over there: {problem}") from None
        hello, numbers, _, _ = socket.recv_fds(self._line, len(HELLO), count)
        self.sockets = [socket.socket(fileno=number) for number in numbers]
        if hello != HELLO or len(numbers) != count:
            raise OSError(f"{path}: expected {count} sockets, got {len(numbers)}")

    def take_over(self) -> None:
        """Has it stop accepting; returns once it has, or is dead."""
        with contextlib.suppress(OSError):
            self._line.sendall(GO)
            self._line.recv(len(DONE))
        self._line.close()


async def offer_sockets(path: Path, sockets: Sequence[Any], go: Callable[[], None]) -> None:
    """Hands the sockets to whoever asks, one at a time; calls `go` and returns once one is ready to serve."""
    loop = asyncio.get_running_loop()
    path.unlink(missing_ok=True)
    with socket.socket(socket.AF_UNIX) as desk:
        before = os.umask(0o077)
        desk.bind(str(path))
        os.umask(before)
        desk.listen(4)
        desk.setblocking(False)
        while True:
            line, _ = await loop.sock_accept(desk)
            with line, contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(WITHIN):
                    socket.send_fds(line, [HELLO], [each.fileno() for each in sockets])
                    said = await loop.sock_recv(line, len(GO))
                if said == GO:
                    path.unlink(missing_ok=True)
                    go()
                    await loop.sock_sendall(line, DONE)
                    return
