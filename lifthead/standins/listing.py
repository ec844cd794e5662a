"""A stand-in for the service that pushes the list of engines: late on demand; it records what it told."""

import asyncio
import json
from dataclasses import dataclass, field

from lifthead.standins.record import Record
from lifthead.standins.wire import ServerConnection


@dataclass(slots=True, eq=False)
class Follower:
    router: str
    server: ServerConnection
    queue: asyncio.Queue = field(default_factory=asyncio.Queue)


class ListService:
    def __init__(self, record: Record) -> None:
        self.entries: dict[str, dict] = {}
        self.late = 0.0  # seconds by which changes come late
        self._record = record
        self._followers: set[Follower] = set()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server = ServerConnection(reader, writer)
        asked = await server.read_request()
        if asked is None or asked.path != "/v1/engines":
            writer.close()
            return
        follower = Follower(asked.headers.get("x-router", ""), server)
        server.start_response(200, {"content-type": "application/x-ndjson", "transfer-encoding": "chunked"})
        follower.queue.put_nowait((True, [dict(entry) for entry in self.entries.values()]))
        self._followers.add(follower)
        try:
            async with asyncio.TaskGroup() as tasks:
                push = tasks.create_task(self._push(follower))
                await server.wait_for_close(asked)
                push.cancel()
        finally:
            self._followers.discard(follower)
            writer.close()

    async def _push(self, follower: Follower) -> None:
        while True:
            whole, entries = await follower.queue.get()
            follower.server.send_data(json.dumps({"whole": whole, "engines": entries}).encode() + b"\n")
            for entry in entries:
                self._record.put(
                    "told",
                    router=follower.router,
                    engine=entry["name"],
                    readiness=entry["readiness"],
                    started_at=entry["started_at"],
                )
            if whole:
                self._record.put(
                    "told_whole", router=follower.router, engines=[entry["name"] for entry in entries]
                )

    async def change(self, *entries: dict) -> None:
        """Changes reach the routers after what the list is late by."""
        await asyncio.sleep(self.late)
        for entry in entries:
            self.entries[entry["name"]] = entry
        for follower in self._followers:
            follower.queue.put_nowait((False, [dict(entry) for entry in entries]))
