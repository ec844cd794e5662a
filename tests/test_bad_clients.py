"""The further pictures of the third staging incident: slow engines, crowds, floods on one connection, and
clients that leave with much unread. The router is a process of its own."""

import asyncio
import contextlib
import time

import pytest
from onenode import HANG, STREAM, Client, Engine, chat, run_with_node
from program import NodeProcess
from test_memory import resident_megabytes, send_again_and_again

MEMORY_MB = 192
ANSWER_SLACK_S = 0.5  # past its budget an answer is lost
LARGE_PROMPT = 60_000  # tokens: a request of 240 KB
USUAL_PAUSE_S = 0.1
UNENDED_HEAD = b"POST / HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % (number % 16) for number in range(2400))


class SlowReader(Engine):
    """Reads what comes on a connection at this many bytes a second, and never answers."""

    def __init__(self, rate):
        super().__init__([HANG])
        self._rate = rate

    async def connection(self, reader, writer):
        writer.transport.set_write_buffer_limits(0)
        with contextlib.suppress(OSError):
            while await reader.read(self._rate // 20):
                await asyncio.sleep(0.05)
        writer.close()


@pytest.mark.parametrize("request_class", ["ask", "pay"])
def test_a_final_answer_comes_in_time_while_engines_read_a_large_request_slowly(tmp_path, request_class):
    budget = 2.0

    async def run():
        engines = {"rd1": SlowReader(40_000), "wr1": SlowReader(40_000)}
        async with NodeProcess(tmp_path, **engines) as node, Client(node.listen) as client:
            await client.send(chat(LARGE_PROMPT, request_class, budget_ms=str(int(budget * 1000))))
            started_at = time.monotonic()
            status = (await client.answer(budget + 4))[0]
            return status, time.monotonic() - started_at

    status, took = asyncio.run(run())
    assert status in (503, 504) and took < budget + ANSWER_SLACK_S


async def ask_again_and_again(listen, name, seconds, outcomes):
    """A usual client: one connection, a new one where the router closed it. A request whose connection ends
    without an answer is sent once more."""
    client, number, ends_at = None, 0, time.monotonic() + seconds
    while time.monotonic() < ends_at:
        number += 1
        for attempt in (1, 2):
            asked_at = time.monotonic()
            try:
                client = client or await Client(listen).__aenter__()
                await client.send(chat(100, trace=f"{name}x{number}", budget_ms="5000"))
                outcomes.append(((await client.answer())[0], attempt, time.monotonic() - asked_at))
                break
            except (OSError, asyncio.IncompleteReadError):
                outcomes.append(("closed", attempt, time.monotonic() - asked_at))
                client.writer.close()
                client = None
        await asyncio.sleep(USUAL_PAUSE_S)
    client.writer.close()


async def usual_clients_beside(path, bad_clients, seconds=4.0):
    """Returns the outcomes of usual clients beside these bad ones, and the most memory of the router."""
    outcomes, most = [], 0.0
    async with NodeProcess(path, wr1=Engine([STREAM]), wr2=Engine([STREAM])) as node:
        bad = [asyncio.create_task(bad_client(node.listen)) for bad_client in bad_clients]
        usual = [
            asyncio.create_task(ask_again_and_again(node.listen, f"u{number}", seconds, outcomes))
            for number in range(5)
        ]
        while not all(task.done() for task in usual):
            most = max(most, resident_megabytes(node.process))
            await asyncio.sleep(0.05)
        await asyncio.gather(*usual)
        for task in bad:
            task.cancel()
        await asyncio.gather(*bad, return_exceptions=True)
    return outcomes, most


def test_usual_clients_are_served_beside_hundreds_of_heads_without_an_end(tmp_path):
    """A connection that makes room may cross a request that is not read: its client sends it once more."""
    bad_clients = [lambda listen: send_again_and_again(listen, UNENDED_HEAD)] * 300
    outcomes, most = asyncio.run(usual_clients_beside(tmp_path, bad_clients))
    assert most < MEMORY_MB and len(outcomes) > 20
    assert {status for status, attempt, _ in outcomes if attempt == 2 or status != "closed"} == {200}


async def flood(listen, data_of):
    """Sends at full speed on one connection, and on a new one where that ends."""
    number = 0
    while True:
        with contextlib.suppress(OSError):
            async with Client(listen) as client:
                reading = asyncio.create_task(client.reader.read(-1))
                while not reading.done():
                    number += 1
                    client.writer.write(data_of(number))
                    await client.writer.drain()
                    await asyncio.sleep(0)
        await asyncio.sleep(0.01)


ONE_CONNECTION_FLOODS = {
    "small requests": lambda number: b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" * 20,
    "requests of unknown classes": lambda number: chat(10, f"class{number}", trace=f"f{number}"),
    "requests under ever new names": lambda number: chat(
        10, trace=f"f{number}", X_Object=f"s{number}", X_Customer=f"t{number}"
    ),
    "noise": lambda number: b"\x00noise\r\n\r\n" * 20,
}


@pytest.mark.parametrize("kind", ONE_CONNECTION_FLOODS)
def test_other_clients_get_their_answers_in_time_beside_a_flood_on_one_connection(tmp_path, kind):
    bad_client = [lambda listen: flood(listen, ONE_CONNECTION_FLOODS[kind])]
    outcomes, most = asyncio.run(usual_clients_beside(tmp_path, bad_client, 3.0))
    assert most < MEMORY_MB / 2 and len(outcomes) > 20
    assert {status for status, _, _ in outcomes} == {200} and max(took for *_, took in outcomes) < 1.0


@pytest.mark.parametrize("by_reset", [False, True])
def test_requests_unread_behind_a_client_that_left_are_not_sent(tmp_path, by_reset):
    async def run():
        engine = Engine([1.0, STREAM])
        async with NodeProcess(tmp_path, wr1=engine) as node:
            async with Client(node.listen) as client:
                client.writer.write(b"".join(chat(6_000, "pay", trace=f"p{n}") for n in range(60)))
                await asyncio.sleep(0.4)
                sent_before = len(engine.lines("POST"))
                if by_reset:
                    client.writer.transport.abort()
            await asyncio.sleep(1.5)
            return sent_before, len(engine.lines("POST"))

    sent_before, sent = asyncio.run(run())
    assert sent_before == sent == 1


@pytest.mark.parametrize("pause", [0.04, 0.002])
def test_empty_lines_do_not_keep_an_idle_connection_open(pause):
    """Each of them started the time anew for which a connection without a request is kept, and for which it
    may not make room for others."""
    idle_s = 0.5

    async def scenario(node):
        node.client_listener.limits.idle_for = int(idle_s * 1e6)
        async with Client(node.address) as client:
            await client.send(chat(100))
            assert (await client.answer())[0] == 200
            answered_at = time.monotonic()
            evictable = []
            is_open = True
            while is_open and time.monotonic() < answered_at + 4 * idle_s:
                is_open = not (client.reader.at_eof() or client.writer.transport.is_closing())
                client.writer.write(b"\r\n")
                await asyncio.sleep(pause)
                evictable.append(
                    any(since < loop_time() - 0.1 for since, _ in node.client_listener._idle.values())
                )
            return time.monotonic() - answered_at, any(evictable)

    loop_time = time.monotonic  # what the event loop's clock shows
    took, evictable = run_with_node(scenario, wr1=Engine())
    assert idle_s - 0.1 < took < 2 * idle_s and evictable
