"""No attempt begins more than 0.1 s after its client closed its connection or the end of its sending: the
event loop's delay is part of that. What is out is called off, what is held is released."""

import asyncio
import socket
import time

import pytest
from onenode import HANG, HAS_READ, STREAM, TURNED_AWAY, Client, Engine, chat, played

from lifthead.engines.link import ConnectionPool


def close(client):
    client.writer.close()


def end_sending(client):
    client.writer.write_eof()


def reset(client):
    client.writer.transport.abort()


LEAVES = pytest.mark.parametrize("leave", [close, end_sending, reset])
SLOW = 0.25  # seconds that something takes while the client goes


@LEAVES
def test_a_first_attempt_that_waits_for_its_connection_is_not_begun(leave, monkeypatch):
    async def play(node):
        async with Client(node.address) as client:
            await client.send(chat(100))
            await asyncio.sleep(0.05)
            leave(client)
            await node.until(lambda: not node.host.pending_requests)
            await asyncio.sleep(2 * SLOW)

    take = ConnectionPool.acquire

    async def slow(self, fresh):
        await asyncio.sleep(SLOW)
        return await take(self, fresh)

    monkeypatch.setattr(ConnectionPool, "acquire", slow)
    wr = Engine()
    played(play, wr=wr)
    assert not wr.came


@LEAVES
def test_a_decode_after_a_prefill_is_not_begun(leave):
    async def play(node):
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: rd.of("POST"))
            leave(client)
            await node.until(lambda: rd.of("DELETE") and not node.host.pending_requests)
            await asyncio.sleep(2 * SLOW)

    rd, wr = Engine([SLOW, HAS_READ]), Engine()
    played(play, rd=rd, wr=wr)
    assert not wr.of("POST")


@LEAVES
def test_a_further_attempt_is_not_begun(leave):
    async def play(node):
        async with Client(node.address) as client:
            await client.send(chat(100))
            await node.until(lambda: one.came or two.came)
            leave(client)
            await node.until(lambda: not node.host.pending_requests)
            await asyncio.sleep(2 * SLOW)

    one, two = Engine([SLOW, TURNED_AWAY]), Engine([SLOW, TURNED_AWAY])
    played(play, wr1=one, wr2=two)
    assert len(one.came + two.came) == 1


@LEAVES
@pytest.mark.parametrize("behind", [1, 3])
def test_bytes_that_are_buffered_already_are_not_begun(leave, behind):
    """The reading stopped at the first whole request behind the one in hand: the end was not seen."""

    async def play(node):
        async with Client(node.address) as client:
            await client.send(b"".join(chat(100, trace=f"t{n}") for n in range(1 + behind)))
            await node.until(lambda: wr.came)
            await asyncio.sleep(0.05)
            leave(client)
            left = time.monotonic()
            await node.until(lambda: wr.left and not node.host.pending_requests)
            took = time.monotonic() - left
            await asyncio.sleep(SLOW)
            return took

    wr = Engine([HANG])
    took = played(play, wr=wr)
    assert [fields["x-trace-id"] for _, fields in wr.came] == ["t0"] and took < 1.0


@LEAVES
def test_what_comes_with_its_clients_end_is_not_begun(leave):
    async def play(node):
        async with Client(node.address) as client:
            client.writer.write(chat(100))
            leave(client)
            await asyncio.sleep(SLOW)
            return len(node.host.pending_requests)

    wr = Engine([HANG])
    assert played(play, wr=wr) == 0
    assert not wr.came


@pytest.mark.parametrize("prompt", [100, 5000])
def test_a_client_that_left_while_the_loop_was_busy_gets_nothing_begun(prompt, monkeypatch):
    """Its end waits in the system, where the loop has not looked yet: the sender has to look itself."""

    async def play(node):
        host, _, port = node.address.rpartition(":")
        client = socket.create_connection((host, int(port)))
        client.sendall(chat(prompt))
        gone.append(client)
        await node.until(lambda: not gone and not node.host.pending_requests)
        await asyncio.sleep(SLOW)

    take, gone = ConnectionPool.acquire, []

    async def leaves(self, fresh):
        connection = await take(self, fresh)
        while gone:
            gone.pop().close()
        time.sleep(0.15)  # the loop is at other work
        return connection

    monkeypatch.setattr(ConnectionPool, "acquire", leaves)
    rd, wr = Engine([HAS_READ]), Engine()
    played(play, rd=rd, wr=wr)
    assert not rd.of("POST") and not wr.of("POST")


@LEAVES
def test_a_client_that_sends_much_behind_its_request_and_goes_is_seen_to(leave):
    async def play(node):
        async with Client(node.address) as client:
            client.writer.write(chat(100) + b"x" * 3_000_000)
            await node.until(lambda: wr.came)
            await asyncio.sleep(0.05)
            leave(client)
            await node.until(lambda: wr.left and not node.host.pending_requests)

    wr = Engine([HANG])
    played(play, wr=wr)
    assert len(wr.came) == 1


def test_what_comes_early_is_answered_in_its_turn():
    async def play(node):
        async with Client(node.address) as client:
            await client.send(chat(100, trace="t0") + chat(100, trace="t1") + b"no request\r\n\r\n")
            statuses = [(await client.answer())[0] for _ in range(3)]
            return statuses, await client.closed()

    assert played(play, wr=Engine([0.05, STREAM])) == ([200, 200, 400], True)
