"""A stand-in for the discovery service: it streams the full list of engines at each change."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field

from lifthead.standins.record import Record

KEEP_ALIVE_INTERVAL = 1.0  # seconds between empty lines while the list does not change


@dataclass(slots=True)
class ListedEngine:
    """One engine in the list. All routers share it; only the address differs between them."""

    name: str
    kind: str
    zone: str
    state: str = "ready"
    boot_ms: int = 0


@dataclass(eq=False)
class Discovery:
    """Serves the list to one router. `ports` maps each engine to the port of its proxy."""

    router: str
    engines: dict[str, ListedEngine]
    ports: dict[str, int]
    record: Record
    version: int = 1
    port: int = 0
    _change_event: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve_watch, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def notify_watches(self) -> None:
        """Sends the changed list to every open watch."""
        self.version += 1
        self._change_event.set()
        self._change_event = asyncio.Event()

    def close(self) -> None:
        self._server.close()

    def full_list(self) -> bytes:
        targets = [
            {
                "uid": each.name, "endpoint": f"127.0.0.1:{self.ports[each.name]}", "az": each.zone,
                "model": each.kind, "pod_group": 0, "state": each.state, "capacity_hint": 1.0,
                "boot_ms": each.boot_ms,
            }
            for each in self.engines.values()
        ]  # fmt: skip
        return json.dumps({"rev": self.version, "all": True, "targets": targets}).encode()

    async def _serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            sent_version = 0
            while not writer.transport.is_closing():
                line = b""
                if sent_version != self.version:
                    sent_version, line = self.version, self.full_list()
                    states = {each.name: each.state for each in self.engines.values()}
                    zones = {each.name: each.zone for each in self.engines.values()}
                    self.record.put(
                        "told", router=self.router, version=sent_version, states=states, zones=zones
                    )
                writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._change_event.wait(), KEEP_ALIVE_INTERVAL)
        writer.close()


def unix_ms() -> int:
    """Returns the wall-clock time in the unit of `boot_ms`."""
    return time.time_ns() // 1_000_000
