"""A stand-in for the service that pushes the list of engines to routers.

It can be made late, and it records what it tells each router.
"""

import asyncio
import json
from dataclasses import dataclass, field

from lifthead.standins.record import Record
from lifthead.standins.wire import ServerConnection


@dataclass(slots=True, eq=False)
class Subscription:
    """A router that watches the list."""

    router: str
    connection: ServerConnection
    queue: asyncio.Queue = field(default_factory=asyncio.Queue)


class ListService:
    """Pushes the whole list to a router that connects, and then each change."""

    def __init__(self, record: Record) -> None:
        self.entries: dict[str, dict] = {}
        self.delay = 0.0  # seconds by which changes are delayed
        self._record = record
        self._subscriptions: set[Subscription] = set()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(reader, writer)
        request = await connection.read_request()
        if request is None or request.path != "/v1/engines":
            writer.close()
            return
        subscription = Subscription(request.headers.get("x-router", ""), connection)
        connection.start_response(
            200, {"content-type": "application/x-ndjson", "transfer-encoding": "chunked"}
        )
        subscription.queue.put_nowait((True, [dict(entry) for entry in self.entries.values()]))
        self._subscriptions.add(subscription)
        try:
            async with asyncio.TaskGroup() as tasks:
                push = tasks.create_task(self._push(subscription))
                await connection.wait_for_close(request)
                push.cancel()
        finally:
            self._subscriptions.discard(subscription)
            writer.close()

    async def _push(self, subscription: Subscription) -> None:
        while True:
            whole, entries = await subscription.queue.get()
            subscription.connection.send_data(
                json.dumps({"whole": whole, "engines": entries}).encode() + b"\n"
            )
            for entry in entries:
                self._record.put(
                    "told",
                    router=subscription.router,
                    engine=entry["name"],
                    readiness=entry["readiness"],
                    started_at=entry["started_at"],
                )
            if whole:
                self._record.put(
                    "told_whole", router=subscription.router, engines=[entry["name"] for entry in entries]
                )

    async def change(self, *entries: dict) -> None:
        """Changes entries and pushes them to all routers, after `delay`."""
        await asyncio.sleep(self.delay)
        for entry in entries:
            self.entries[entry["name"]] = entry
        for subscription in self._subscriptions:
            subscription.queue.put_nowait((False, [dict(entry) for entry in entries]))
