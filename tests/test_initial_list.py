"""A router that restarts while discovery is silent sends nothing by its old list (review/10)."""

import asyncio
import contextlib
import json

import pytest
from onenode import Client, Engine, chat, config, list_update, target
from program import (
    READY_REQUEST,
    DiscoveryServer,
    free_address,
    killed_at_end,
    start_process,
    wait_until_ready,
)

from lifthead.node import initial_list
from lifthead.node.discovery import parse_update
from lifthead.node.host import Host
from lifthead.node.initial_list import InitialList
from lifthead.node.start import parse_config

OUTAGE_S = 8.0  # the longest of the platform's days, which begins with the restart
READY_WITHIN_S = 10.0


class SilentDiscovery(DiscoveryServer):
    """Says nothing until `speaks` is set; then sends `line` to each caller."""

    def __init__(self):
        super().__init__()
        self.speaks, self.line = asyncio.Event(), b""

    async def serve(self, reader, writer):
        self.open.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await self.speaks.wait()
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n" % (len(self.line) + 1, self.line + b"\n"))
            await reader.read()
        writer.close()


class Restarted:
    """A node process that knows the engines `old` and `new` as ready from before, and its discovery."""

    def __init__(self, path):
        self.path, self.engines, self.servers = path, {"old": Engine(), "new": Engine()}, []

    async def __aenter__(self):
        self.addresses = {}
        for uid, engine in self.engines.items():
            server = await asyncio.start_server(engine.connection, "127.0.0.1", 0)
            self.servers.append(server)
            self.addresses[uid] = "{}:{}".format(*server.sockets[0].getsockname())
        self.discovery = SilentDiscovery()
        await self.discovery.up()
        known = json.loads(list_update(*(target(uid, at) for uid, at in self.addresses.items()), rev=7))
        self.listen = free_address()
        self.process = start_process(
            self.path / "config.json", self.listen, self.discovery.address, known=known
        )
        self.started_at = asyncio.get_running_loop().time()
        return self

    async def __aexit__(self, *_):
        with killed_at_end(self.process):
            for server in [*self.servers, self.discovery.server]:
                server.close()

    async def ask(self, trace):
        async with Client(self.listen) as client:
            await client.send(chat(100, trace=trace))
            status, headers, _, _ = await client.answer()
            return status, "retry-after" in headers

    async def listening(self):
        async with asyncio.timeout(5):
            while True:
                with contextlib.suppress(OSError):
                    async with Client(self.listen) as client:
                        await client.send(READY_REQUEST)
                        return (await client.answer())[0]
                await asyncio.sleep(0.02)


def lines_of(restarted):
    """What discovery says once it is back, by name. In the first three `old` drains or is gone."""
    old, new = (target(uid, at) for uid, at in restarted.addresses.items())
    return {
        "whole list": list_update(old | {"state": "draining"}, new, rev=8),
        "changes": list_update(old | {"state": "draining"}, rev=8, is_snapshot=False),
        "whole list without it": list_update(new, rev=8),
        "nothing new": b"",
    }


@pytest.mark.parametrize("says", ["whole list", "changes", "whole list without it", "nothing new"])
def test_nothing_is_sent_by_the_list_from_before_until_discovery_has_spoken(tmp_path, says):
    """Guards against new work for an engine whose drain the agent knew when the process began."""

    async def scenario():
        async with Restarted(tmp_path) as node:
            ready = await node.listening()
            await asyncio.sleep(1.0)
            early = [await node.ask(f"e{number}") for number in range(4)]
            sent_early = sum(len(engine.requests) for engine in node.engines.values())
            node.discovery.line = lines_of(node)[says]
            node.discovery.speaks.set()
            took = await wait_until_ready(node.listen, 5.0)
            late = [(await node.ask(f"l{number}"))[0] for number in range(12)]
            return ready, early, sent_early, took, late, len(node.engines["old"].lines("POST"))

    ready, early, sent_early, took, late, sent_to_old = asyncio.run(scenario())
    assert (ready, early, sent_early) == (503, [(503, True)] * 4, 0)
    assert took < 1.0 and late == [200] * 12
    assert (sent_to_old > 0) == (says == "nothing new")


def test_a_router_that_starts_with_the_longest_outage_is_ready_in_time(tmp_path):
    async def scenario():
        async with Restarted(tmp_path) as node:
            node.discovery.line = lines_of(node)["whole list"]
            asyncio.get_running_loop().call_later(OUTAGE_S, node.discovery.speaks.set)
            await wait_until_ready(node.listen, 20.0)
            took = asyncio.get_running_loop().time() - node.started_at
            return took, [(await node.ask(f"l{number}"))[0] for number in range(12)], node.engines

    took, statuses, engines = asyncio.run(scenario())
    assert OUTAGE_S <= took < READY_WITHIN_S
    assert statuses == [200] * 12 and not engines["old"].lines("POST")


def test_a_router_is_ready_in_time_however_long_discovery_is_silent(tmp_path):
    """It rejects what it gets, as any engine may drain."""

    async def scenario():
        async with Restarted(tmp_path) as node:
            await wait_until_ready(node.listen, 20.0)
            took = asyncio.get_running_loop().time() - node.started_at
            rejected = [await node.ask(f"r{number}") for number in range(4)]
            return took, rejected, sum(len(engine.requests) for engine in node.engines.values())

    took, rejected, sent = asyncio.run(scenario())
    assert took < READY_WITHIN_S and rejected == [(503, True)] * 4 and sent == 0


@pytest.mark.parametrize(
    ("targets", "ready"),
    [
        ([target("wr", "1.2.3.4:5")], True),
        ([target("wr", "1.2.3.4:5", "draining")], False),
        ([], False),
        (None, False),
    ],
)
def test_the_list_is_used_unconfirmed_before_a_start_counts_as_failed(targets, ready, monkeypatch):
    monkeypatch.setattr(initial_list, "READY_AFTER", 0.1)
    monkeypatch.setattr(initial_list, "USED_AFTER", 0.2)

    async def scenario():
        async with asyncio.TaskGroup() as tasks:
            host = Host(parse_config(json.dumps(config()).encode()), tasks)
            known = None if targets is None else parse_update(list_update(*targets))
            initial = InitialList(host, known, asyncio.get_running_loop().time())
            seen = [(initial.is_ready(host.can_serve), len(host.endpoints))]
            for _ in range(2):
                await asyncio.sleep(0.12)
                seen.append((initial.is_ready(host.can_serve), len(host.endpoints)))
            initial.close()
            return seen

    assert initial_list.READY_AFTER < initial_list.USED_AFTER
    assert asyncio.run(scenario()) == [(False, 0), (ready, 0), (ready, len(targets or []))]


def test_the_limits_of_a_start_are_those_of_the_platform():
    """Nine in ten restarts have 10 s until they are ready, each has 30 s; an outage may last 8 s."""
    assert OUTAGE_S < initial_list.READY_AFTER < READY_WITHIN_S
    assert READY_WITHIN_S < initial_list.USED_AFTER < 30
