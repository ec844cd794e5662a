"""A stand-in of discovery: the whole list, and watches that tell each change."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field

from lifthead.standins.record import Record

KEEP_ALIVE = 1.0  # seconds between empty lines while nothing changes


@dataclass(slots=True)
class Listed:
    """One engine of the list, as every router sees it; addresses are each router's own."""

    name: str
    kind: str
    zone: str
    state: str = "ready"
    boot_ms: int = 0


@dataclass(eq=False)
class Discovery:
    """Serves one router's view: `ports` tells through which port it reaches each engine."""

    router: str
    engines: dict[str, Listed]
    ports: dict[str, int]
    record: Record
    version: int = 1
    port: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def changed(self) -> None:
        """The shared list has changed: every open watch is told."""
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self) -> None:
        self._server.close()

    def whole_list(self) -> bytes:
        targets = [
            {
                "uid": each.name, "endpoint": f"127.0.0.1:{self.ports[each.name]}", "az": each.zone,
                "model": each.kind, "pod_group": 0, "state": each.state, "capacity_hint": 1.0,
                "boot_ms": each.boot_ms,
            }
            for each in self.engines.values()
        ]  # fmt: skip
        return json.dumps({"rev": self.version, "all": True, "targets": targets}).encode()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            told = 0
            while not writer.transport.is_closing():
                line = b""
                if told != self.version:
                    told, line = self.version, self.whole_list()
                    states = {each.name: each.state for each in self.engines.values()}
                    self.record.put("told", router=self.router, version=told, states=states)
                writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), KEEP_ALIVE)
        writer.close()


def unix_ms() -> int:
    """Now, as `boot_ms` tells it."""
    return time.time_ns() // 1_000_000
