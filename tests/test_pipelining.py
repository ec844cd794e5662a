"""Requests that a client sends at once, without waiting for answers."""

import asyncio

import pytest
from onenode import HANG, STREAM, Client, Engine, chat, run_with_node

from lifthead.chat import server
from lifthead.http1 import RequestParser
from lifthead.node import clients

REQUESTS = 30
PROMPT = 6000  # tokens, which makes requests of 24 KB


def pipelined(number=REQUESTS, **options):
    return [chat(PROMPT, trace=f"p{n}", **options) for n in range(number)]


@pytest.mark.parametrize("engine_takes", [0.0, 0.02])
def test_every_one_of_many_requests_sent_at_once_is_answered(engine_takes):
    """Guards against requests that were read and never answered: of 30 requests of 24 KB, what came after
    512 KiB was read and thrown away, 5 to 7 of them."""

    async def scenario(node):
        async with Client(node.address) as client:
            client.writer.write(b"".join(pipelined(budget_ms="8000")))
            return [(await client.answer())[0] for _ in range(REQUESTS)]

    engine = Engine([engine_takes, STREAM])
    assert run_with_node(scenario, w1=engine) == [200] * REQUESTS
    assert len(engine.lines("POST")) == REQUESTS


def test_a_client_that_leaves_while_its_requests_stay_unread_is_noticed():
    async def scenario(node):
        async with Client(node.address) as client:
            client.writer.write(b"".join(pipelined(60)))
            await asyncio.sleep(0.3)
            client.writer.transport.abort()
            async with asyncio.timeout(1):
                await node.host.idle.wait()
        return len(node.engines["w1"].requests)

    assert run_with_node(scenario, w1=Engine([HANG])) == 1


def test_the_time_for_which_a_request_stays_unread_counts_against_its_budget():
    """The first of them takes a second, and no other one may wait for longer than its own budget."""

    async def scenario(node):
        started_at = asyncio.get_running_loop().time()
        async with Client(node.address) as client:
            client.writer.write(b"".join(pipelined(budget_ms="800")))
            statuses = [(await client.answer())[0] for _ in range(REQUESTS)]
        return statuses, asyncio.get_running_loop().time() - started_at

    statuses, took = run_with_node(scenario, w1=Engine([HANG]))
    assert statuses[0] == 504 and set(statuses) <= {503, 504} and took < 0.8 + 0.5


def test_requests_that_stay_unread_are_bounded(monkeypatch):
    parsers = []

    class NotedParser(RequestParser):
        def __init__(self, *limits):
            parsers.append(self)
            super().__init__(*limits)

    monkeypatch.setattr(server.http1, "RequestParser", NotedParser)

    async def scenario(node):
        async with Client(node.address) as client:
            client.writer.write(b"".join(pipelined(300)))
            most = 0
            for _ in range(50):
                await asyncio.sleep(0.01)
                most = max(most, *(parser.buffered_bytes for parser in parsers))
            client.writer.transport.abort()
        return most

    most = run_with_node(scenario, w1=Engine([0.03, STREAM]))
    assert server.PIPELINED_BYTES < most <= server.PIPELINED_BYTES + server.READ_BYTES


def test_a_stop_answers_what_stays_unread():
    async def scenario(node):
        async with Client(node.address) as client:
            client.writer.write(b"".join(pipelined(budget_ms="8000")))
            await asyncio.sleep(0.1)
            node.client_listener.stop(grace=5.0)
            statuses = [(await client.answer())[0] for _ in range(REQUESTS)]
            return statuses, await client.closed()

    assert run_with_node(scenario, w1=Engine([0.02, STREAM])) == ([200] * REQUESTS, True)


def test_buffered_bytes_are_those_of_all_requests_that_wait():
    parser = RequestParser(clients.MAX_HEAD_BYTES, clients.MAX_BODY_BYTES)
    request = chat(100)
    parser.feed_pipelined(request * 3 + request[:-10])
    assert parser.buffered_bytes > 4 * 400
    for _ in range(3):
        parser.next_request()
    parser.feed_pipelined(request[-10:])
    parser.next_request()
    assert parser.buffered_bytes == 0
