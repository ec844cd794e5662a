"""Nine in ten restarted processes are ready within 10 s: ready means that a request would be served."""

import asyncio
import subprocess
import sys

import pytest
from onenode import Client, Engine, Node, chat, target
from program import (
    READY_REQUEST,
    DiscoveryServer,
    free_address,
    killed_at_end,
    start_process,
    wait_until_ready,
)

AT_ONCE = 30
READY_BY = 10.0


def test_many_that_start_at_once_on_few_cores_are_ready_in_time(tmp_path):
    async def play():
        wr, discovery = Engine(), DiscoveryServer()
        server = await asyncio.start_server(wr.connection, "127.0.0.1", 0)
        await discovery.up(target("wr", "{}:{}".format(*server.sockets[0].getsockname())))
        listens = [free_address() for _ in range(AT_ONCE)]
        processes = [
            start_process(tmp_path / f"{n}.json", listen, discovery.address, cores=(0, 1))
            for n, listen in enumerate(listens)
        ]
        with killed_at_end(*processes):
            took = sorted(await asyncio.gather(*(wait_until_ready(listen, 30.0) for listen in listens)))
            async with Client(listens[0]) as client:
                await client.send(chat(100))
                status = (await client.answer())[0]
        server.close()
        return took, status

    took, status = asyncio.run(play())
    assert took[AT_ONCE * 9 // 10 - 1] < READY_BY and status == 200


@pytest.mark.parametrize(
    ("told", "status"),
    [
        ([], 503),
        ([target("wr", "a:1", "draining")], 503),
        ([target("wr", "a:1", "gone")], 503),
        ([target("wr", "a:1", model="unheard of")], 503),
        ([target("wr", "a:1"), target("wr2", "a:2", "gone")], 200),
    ],
)
def test_ready_means_that_a_request_would_be_served(told, status):
    async def play():
        async with Node() as node:
            node.update_engines(*told)
            async with Client(node.address) as client:
                await client.send(READY_REQUEST)
                return (await client.answer())[0]

    assert asyncio.run(play()) == status


def test_a_start_loads_what_it_needs_and_no_more():
    """Each module that is loaded costs every start its time; docs/performance.md names what is left."""
    loaded = "import sys, lifthead.node.__main__; print(' '.join(sorted(name for name in sys.modules)))"
    said = subprocess.run([sys.executable, "-B", "-c", loaded], capture_output=True, text=True, check=True)
    heavy = {
        "_ssl", "multiprocessing", "email", "http.client", "urllib.request", "unittest", "structlog", "typer",
        "concurrent.futures.process", "rich", "prometheus_client", "lifthead.cli", "lifthead.daemon",
        "lifthead.ledger", "lifthead.members", "lifthead.resume", "lifthead.standins",
    }  # fmt: skip
    assert not heavy & set(said.stdout.split())
