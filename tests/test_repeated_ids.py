"""Ids that come again after their client has left: what may have run is not sent again."""

import asyncio
import contextlib
import copy
import signal
import socket

import pytest
from onenode import (
    END,
    EVENT,
    HANG,
    HEAD,
    PREFILLED,
    REFUSED_NOT_RUN,
    SETTINGS,
    STREAM,
    Client,
    Engine,
    chat,
    encode_chunk,
    exchange,
    run_with_node,
)
from program import NodeProcess

from lifthead.engines.link import ConnectionPool
from lifthead.executed_ids import KEPT_FOR, MAX_IDS, ExecutedIds

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


def test_an_id_that_may_have_run_is_remembered_across_a_new_configuration(tmp_path):
    async def run():
        engine = Engine([STREAM])
        async with NodeProcess(tmp_path, w1=engine) as node:
            first = await status_of(node.listen, chat(100, "pay"))
            await asyncio.sleep(0.2)
            node.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            return first, await status_of(node.listen, chat(100, "pay")), len(engine.lines("POST"))

    assert asyncio.run(run()) == (200, 409, 1)


def test_an_id_that_is_proven_not_run_is_served_when_it_comes_again():
    """Turned away, idempotent, or left before a decode engine had it: none of these has had an effect."""

    async def scenario(node):
        prefill, decode = node.engines["rd1"], node.engines["wr1"]
        statuses = {}
        prefill.scripts, decode.scripts = [[REFUSED_NOT_RUN]], [[REFUSED_NOT_RUN]]
        statuses["turned away"] = [await repeat(node, chat(100, "pay", trace="a"))]
        decode.scripts = [[STREAM]]
        await asyncio.sleep(1.0)  # until the engine counts as usable again
        statuses["turned away"].append(await repeat(node, chat(100, "pay", trace="a")))
        statuses["idempotent"] = [await repeat(node, chat(100, "ask", trace="b")) for _ in range(2)]
        prefill.scripts = [[HANG], [PREFILLED]]
        long = chat(5000, "pay", trace="c")
        async with Client(node.address) as client:
            await client.send(long)
            await node.until(lambda: len(prefill.scripts) == 1)
        await node.until(lambda: not node.host.pending_requests)
        statuses["left while it was read"] = [await repeat(node, long) for _ in range(2)]
        return statuses

    statuses = run_with_node(scenario, rd1=Engine(), wr1=Engine())
    assert statuses == {
        "turned away": [503, 200],
        "idempotent": [200, 200],
        "left while it was read": [200, 409],
    }


def test_a_stream_of_a_prefill_engine_counts_as_a_run():
    async def scenario(node):
        return [await repeat(node, chat(5000, "pay")) for _ in range(2)]

    assert run_with_node(scenario, rd1=Engine(), wr1=Engine()) == [200, 409]


class SlowReader(Engine):
    """While `is_slow`, reads a request so slowly that its last bytes stay with the router."""

    is_slow = True

    async def connection(self, reader, writer):
        if not self.is_slow:
            return await super().connection(reader, writer)
        self.connections += 1
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with contextlib.suppress(OSError):
            while await reader.read(1000):
                await asyncio.sleep(0.05)
        writer.close()


@pytest.mark.parametrize("by_reset", [False, True])
def test_an_id_whose_request_never_left_this_process_whole_is_served(by_reset, monkeypatch):
    """An engine begins with a request when its last byte has come. Before that nothing has run."""
    slow, large = SlowReader(), chat(60_000, "pay", budget_ms="7000")
    acquire = ConnectionPool.acquire

    async def acquire_with_small_buffer(pool, fresh):
        connection = await acquire(pool, fresh)
        connected = connection.writer.get_extra_info("socket")
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return connection

    monkeypatch.setattr(ConnectionPool, "acquire", acquire_with_small_buffer)

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(large)
            await node.until(lambda: slow.connections)
            await asyncio.sleep(0.2)
            if by_reset:
                client.writer.transport.abort()
        await node.until(lambda: not node.host.pending_requests)
        slow.is_slow = False
        return [await repeat(node, large) for _ in range(2)]

    assert run_with_node(scenario, wr1=slow) == [200, 409]


async def repeat(node, data):
    return (await exchange(node.address, data))[0]


def test_a_connection_stays_open_behind_an_id_that_may_have_run():
    async def scenario(node):
        async with Client(node.address) as client:
            for trace in ("a", "a", "b"):
                await client.send(chat(100, "pay", trace=trace))
                statuses.append((await client.answer())[0])

    statuses = []
    run_with_node(scenario, wr1=Engine())
    assert statuses == [200, 409, 200]


def test_ids_are_remembered_for_a_time_and_in_bounded_memory():
    ids = ExecutedIds()
    ids.add("old", 0)
    assert ids.has("old", KEPT_FOR - 1) and not ids.has("old", KEPT_FOR) and not ids.has("other", 0)
    ids.add("new", KEPT_FOR)
    assert len(ids) == 1
    for number in range(MAX_IDS):
        ids.add(f"id{number}", KEPT_FOR + 1)
    assert len(ids) == MAX_IDS and not ids.has("new", KEPT_FOR + 1) and ids.has("id0", KEPT_FOR + 1)
