"""Ids that come again after their client has left: what may have run is not sent again."""

import asyncio
import copy

from onenode import (
    END,
    EVENT,
    HEAD,
    SETTINGS,
    Client,
    Engine,
    chat,
    encode_chunk,
)
from program import NodeProcess

KEYED_CLASS = {
    "Name": "key", "Effect": "keyed", "Group": "zone", "KeyTtl": 2000000,
    "Target": 1500000, "Deadline": 7500000, "Worth": 2.0,
}  # fmt: skip
LONG_STREAM = [HEAD, *[encode_chunk(EVENT), 0.05] * 60, encode_chunk(END) + b"0\r\n\r\n"]


def settings():
    changed = copy.deepcopy(SETTINGS)
    changed["Grades"].append(KEYED_CLASS)
    return changed


async def leave(address, data, by_reset):
    """Sends a request and closes or resets its connection while the answer comes."""
    client = Client(address)
    async with client:
        await client.send(data)
        await client.reader.readuntil(EVENT)
        if by_reset:
            client.writer.transport.abort()
    await asyncio.sleep(0.3)


async def status_of(address, data):
    async with Client(address) as client, asyncio.timeout(1.0):
        await client.send(data)
        return int((await client.reader.readuntil(b"\r\n")).split(b" ")[1])


def test_an_id_that_may_have_run_is_not_sent_again_after_its_client_left(tmp_path):
    """Its id was forgotten with the request, and the same id on a new connection ran a second time."""

    async def run():
        engine = Engine(LONG_STREAM)
        async with NodeProcess(tmp_path, {"settings": settings()}, w1=engine) as node:
            statuses = []
            for number, request_class in enumerate(("pay", "pay", "key")):
                request = chat(100, request_class, trace=f"id{number}")
                await leave(node.listen, request, by_reset=number == 1)
                statuses.append(await status_of(node.listen, request))
        sent = [fields["x-trace-id"] for _, fields in engine.requests if "x-trace-id" in fields]
        return statuses, sent

    statuses, sent = asyncio.run(run())
    assert sorted(sent) == ["id0", "id1", "id2"]
    assert all(status not in (200, 429, 503) for status in statuses)
