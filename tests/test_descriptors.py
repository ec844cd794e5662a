"""Idle clients may use up all descriptors that they can get while discovery is down."""

import asyncio
import contextlib
import json
import os
from pathlib import Path

import pytest
from onenode import END, EVENT, HEAD, STREAM, Client, Engine, chat, chunk, config, played, target
from program import READY, Discovery, ending, free_address, ready, started

from lifthead.node import start

MOST = 100
CLIENTS = 160
TOLD_BY = 6.0


def processor_seconds(process):
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def rests(listen):
    """Connects, asks once, and keeps the connection until the other end closes it; then again."""
    while True:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, IndexError):
            async with Client(listen) as client:
                await client.send(READY)
                await client.answer(60.0)
                await client.reader.read()
        await asyncio.sleep(0.01)


def test_idle_clients_use_up_what_they_can_while_discovery_is_down(tmp_path):
    async def play():
        long = [HEAD + chunk(EVENT), *[0.25, chunk(EVENT)] * 24, chunk(END) + b"0\r\n\r\n"]
        old, new, discovery, listen = Engine(long), Engine([STREAM]), Discovery(), free_address()
        servers = [await asyncio.start_server(engine.connection, "127.0.0.1", 0) for engine in (old, new)]
        at = ["{}:{}".format(*server.sockets[0].getsockname()) for server in servers]
        await discovery.up(target("wr", at[0]))
        process = started(tmp_path / "config.json", listen, discovery.address, MOST)
        with ending(process):
            await ready(listen, 10.0)
            async with asyncio.TaskGroup() as tasks:
                in_flight = []
                for n in range(5):
                    client = await Client(listen).__aenter__()
                    await client.send(chat(100, trace=f"t{n}", waits="9000"))
                    in_flight.append(tasks.create_task(client.answer(20.0)))
                await asyncio.sleep(0.3)
                discovery.down()
                idle = [tasks.create_task(rests(listen)) for _ in range(CLIENTS)]
                await asyncio.sleep(2.0)
                before = processor_seconds(process)
                await asyncio.sleep(2.0)
                used = (processor_seconds(process) - before) / 2.0
                held = len(os.listdir(f"/proc/{process.pid}/fd"))
                await discovery.up(target("wr", at[0], "draining"), target("wr2", at[1]))
                began, tries = asyncio.get_running_loop().time(), 0
                while not new.came:
                    with contextlib.suppress(OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                        async with Client(listen) as client:
                            tries += 1
                            await client.send(chat(100, trace=f"n{tries}"))
                            await client.answer(1.5)
                    await asyncio.sleep(0.02)
                    assert asyncio.get_running_loop().time() - began < TOLD_BY
                answers = await asyncio.gather(*in_flight)
                for task in idle:
                    task.cancel()
            alive = process.poll() is None
        for server in servers:
            server.close()
        return [(status, whole) for status, _, _, whole in answers], used, held, alive

    answers, used, held, alive = asyncio.run(play())
    assert answers == [(200, True)] * 5  # none of them was shed
    assert alive and used < 0.5 and held <= MOST


@pytest.mark.parametrize("sockets", [64, 256, 1024])
def test_an_open_request_always_finds_a_descriptor_for_its_engine(sockets):
    """Idle clients and open requests together can't take what the attempts of all of them may need."""
    told = start.start_of(json.dumps(config(limits={"sockets": sockets})).encode())
    assert 2 * told.clients + start.OWN < sockets and told.engines > told.clients


def test_what_gives_way_has_no_unread_bytes_and_no_answer_on_its_way():
    """A connection that only seems idle: its bytes wait in the system, where the loop has not looked yet."""

    async def play(node):
        async with Client(node.address) as busy, Client(node.address) as idle:
            for client in (busy, idle):
                await client.send(READY)
                await client.answer()
            await asyncio.sleep(0.15)
            os.write(busy.writer.get_extra_info("socket").fileno(), chat(100))
            first, second = node.door.evict_idle(), node.door.evict_idle()
            return first, second, await idle.closed(0.5), (await busy.answer())[0]

    assert played(play, wr=Engine()) == (True, False, True, 200)


def test_what_had_come_on_a_resting_connection_by_the_stop_is_answered_and_nothing_is_read_later():
    """The reading of a resting connection ended with its bytes in hand, and they were never answered."""

    async def play(node):
        async with Client(node.address) as early, Client(node.address) as late:
            for client in (early, late):
                await client.send(READY)
                await client.answer()
            await asyncio.sleep(0.05)
            os.write(early.writer.get_extra_info("socket").fileno(), chat(100))
            node.door.stop()
            await asyncio.sleep(0.2)
            closed = await late.closed(0.5)
            return (await early.answer())[:1], closed, len(wr.came)

    wr = Engine()
    assert played(play, wr=wr) == ((200,), True, 1)
