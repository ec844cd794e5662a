"""No attempt starts more than 0.1 s, which includes delays of the event loop, after its client closed or shut
down its connection. An attempt in flight is cancelled and held state is released."""

import asyncio
import gc
import socket
import time

import pytest
from onenode import HANG, PREFILLED, REFUSED_NOT_RUN, STREAM, Client, Engine, chat, exchange, run_with_node

from lifthead.engines.link import ConnectionPool


def close(client):
    client.writer.close()


def end_sending(client):
    client.writer.write_eof()


def reset(client):
    client.writer.transport.abort()


LEAVES = pytest.mark.parametrize("leave", [close, end_sending, reset])
DELAY = 0.25  # seconds that a step takes while the client disconnects


@LEAVES
def test_a_first_attempt_that_waits_for_its_connection_is_not_started(leave, monkeypatch):
    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(100))
            await asyncio.sleep(0.05)
            leave(client)
            await node.until(lambda: not node.host.pending_requests)
            await asyncio.sleep(2 * DELAY)

    take = ConnectionPool.acquire

    async def slow(self, fresh):
        await asyncio.sleep(DELAY)
        return await take(self, fresh)

    monkeypatch.setattr(ConnectionPool, "acquire", slow)
    wr = Engine()
    run_with_node(scenario, wr=wr)
    assert not wr.requests


@LEAVES
def test_a_decode_after_a_prefill_is_not_started(leave):
    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: rd.lines("POST"))
            leave(client)
            await node.until(lambda: rd.lines("DELETE") and not node.host.pending_requests)
            await asyncio.sleep(2 * DELAY)

    rd, wr = Engine([DELAY, PREFILLED]), Engine()
    run_with_node(scenario, rd=rd, wr=wr)
    assert not wr.lines("POST")


@LEAVES
def test_a_further_attempt_is_not_started(leave):
    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(100))
            await node.until(lambda: one.requests or two.requests)
            leave(client)
            await node.until(lambda: not node.host.pending_requests)
            await asyncio.sleep(2 * DELAY)

    one, two = Engine([DELAY, REFUSED_NOT_RUN]), Engine([DELAY, REFUSED_NOT_RUN])
    run_with_node(scenario, wr1=one, wr2=two)
    assert len(one.requests + two.requests) == 1


@LEAVES
@pytest.mark.parametrize("behind", [1, 3])
def test_buffered_requests_are_not_started(leave, behind):
    """Guards against reading that stops at the first buffered request and misses the disconnect behind it."""

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(b"".join(chat(100, trace=f"t{n}") for n in range(1 + behind)))
            await node.until(lambda: wr.requests)
            await asyncio.sleep(0.05)
            leave(client)
            left = time.monotonic()
            await node.until(lambda: wr.disconnects and not node.host.pending_requests)
            took = time.monotonic() - left
            await asyncio.sleep(DELAY)
            return took

    wr = Engine([HANG])
    took = run_with_node(scenario, wr=wr)
    assert [fields["x-trace-id"] for _, fields in wr.requests] == ["t0"] and took < 1.0


@LEAVES
def test_a_request_that_arrives_with_the_disconnect_is_not_started(leave):
    async def scenario(node):
        async with Client(node.address) as client:
            client.writer.write(chat(100))
            leave(client)
            await asyncio.sleep(DELAY)
            return len(node.host.pending_requests)

    wr = Engine([HANG])
    assert run_with_node(scenario, wr=wr) == 0
    assert not wr.requests


@pytest.mark.parametrize("prompt", [100, 5000])
def test_no_attempt_starts_for_a_client_that_left_while_the_event_loop_was_busy(prompt, monkeypatch):
    """The event loop has not polled the socket yet, so the sender must check for the disconnect itself."""

    async def scenario(node):
        host, _, port = node.address.rpartition(":")
        client = socket.create_connection((host, int(port)))
        client.sendall(chat(prompt))
        leaving.append(client)
        await node.until(lambda: not leaving and not node.host.pending_requests)
        await asyncio.sleep(DELAY)

    take, leaving = ConnectionPool.acquire, []

    async def leaves(self, fresh):
        connection = await take(self, fresh)
        while leaving:
            leaving.pop().close()
        time.sleep(0.15)  # the event loop is busy
        return connection

    monkeypatch.setattr(ConnectionPool, "acquire", leaves)
    rd, wr = Engine([PREFILLED]), Engine()
    run_with_node(scenario, rd=rd, wr=wr)
    assert not rd.lines("POST") and not wr.lines("POST")


@LEAVES
def test_the_disconnect_of_a_client_is_noticed_behind_much_other_data(leave):
    async def scenario(node):
        async with Client(node.address) as client:
            client.writer.write(chat(100) + b"x" * 3_000_000)
            await node.until(lambda: wr.requests)
            await asyncio.sleep(0.05)
            leave(client)
            await node.until(lambda: wr.disconnects and not node.host.pending_requests)

    wr = Engine([HANG])
    run_with_node(scenario, wr=wr)
    assert len(wr.requests) == 1


def test_pipelined_requests_are_answered_in_order():
    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(100, trace="t0") + chat(100, trace="t1") + b"no request\r\n\r\n")
            statuses = [(await client.answer())[0] for _ in range(3)]
            return statuses, await client.closed()

    assert run_with_node(scenario, wr=Engine([0.05, STREAM])) == ([200, 200, 400], True)


class SilentReleases(Engine):
    """Answers requests, but never a release, which the router also asks with whether a connection works."""

    async def _answer_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"DELETE"):
            writer.write(STREAM)
            await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
            return True
        self.requests.append(("DELETE", {}))
        self.disconnects += await reader.read(1) == b""
        return False


def test_a_connection_is_closed_when_its_client_leaves_while_the_router_checks_it():
    """It was dropped without a close: it stayed open until the garbage collector or the exit came upon it."""

    async def scenario(node):
        engine = node.engines["w1"]
        await exchange(node.address, chat(100, trace="a"))
        await asyncio.sleep(0.1)  # until the connection may be used again
        gc.disable()  # which would close it some time
        try:
            async with Client(node.address) as client:
                await client.send(chat(100, trace="b"))
                await node.until(lambda: engine.lines("DELETE"))
            await node.until(lambda: engine.disconnects, within=1.0)
        finally:
            gc.enable()

    run_with_node(scenario, w1=SilentReleases())
