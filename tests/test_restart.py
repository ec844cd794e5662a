"""Nine in ten restarted processes are ready within 10 s; ready means that a request would be served."""

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
READY_WITHIN_S = 10.0


def test_many_routers_started_at_once_on_two_cores_are_ready_in_time(tmp_path):
    async def scenario():
        wr, discovery = Engine(), DiscoveryServer()
        server = await asyncio.start_server(wr.connection, "127.0.0.1", 0)
        await discovery.up(target("wr", "{}:{}".format(*server.sockets[0].getsockname())))
        addresses = [free_address() for _ in range(AT_ONCE)]
        processes = [
            start_process(tmp_path / f"{n}.json", listen, discovery.address, cores=(0, 1))
            for n, listen in enumerate(addresses)
        ]
        with killed_at_end(*processes):
            took = sorted(await asyncio.gather(*(wait_until_ready(listen, 30.0) for listen in addresses)))
            async with Client(addresses[0]) as client:
                await client.send(chat(100))
                status = (await client.answer())[0]
        server.close()
        return took, status

    took, status = asyncio.run(scenario())
    assert took[AT_ONCE * 9 // 10 - 1] < READY_WITHIN_S and status == 200


@pytest.mark.parametrize(
    ("targets", "status"),
    [
        ([], 503),
        ([target("wr", "a:1", "draining")], 503),
        ([target("wr", "a:1", "gone")], 503),
        ([target("wr", "a:1", model="unheard of")], 503),
        ([target("wr", "a:1"), target("wr2", "a:2", "gone")], 200),
    ],
)
def test_ready_means_that_a_request_would_be_served(targets, status):
    async def scenario():
        async with Node() as node:
            node.update_engines(*targets)
            async with Client(node.address) as client:
                await client.send(READY_REQUEST)
                return (await client.answer())[0]

    assert asyncio.run(scenario()) == status


def test_a_start_imports_no_more_than_it_needs():
    """Each imported module makes every start slower; docs/performance.md lists the ones that remain."""
    script = "import sys, lifthead.node.__main__; print(' '.join(sorted(name for name in sys.modules)))"
    process = subprocess.run([sys.executable, "-B", "-c", script], capture_output=True, text=True, check=True)
    unwanted = {
        "_ssl", "multiprocessing", "email", "http.client", "urllib.request", "unittest", "structlog", "typer",
        "concurrent.futures.process", "rich", "prometheus_client", "lifthead.cli", "lifthead.daemon",
        "lifthead.ledger", "lifthead.members", "lifthead.resume", "lifthead.standins",
    }  # fmt: skip
    assert not unwanted & set(process.stdout.split())
