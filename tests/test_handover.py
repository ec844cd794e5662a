"""A router is replaced under load by one that takes over its sockets; restarted routers use their last
list."""

import asyncio
import json
import os
import signal
import socket
import sys

import pytest
from loopback import SCRIPT, body, http, send_raw
from test_fleet import Processes, lifthead

from lifthead.engines.codec import ListedEngine
from lifthead.members.last_list import MAX_AGE_US, PUSH_WAIT_US, LastList, is_usable

DAY = 86_400_000_000
READY = [ListedEngine("w", "127.0.0.1:9", "a", 0, "writer")]
GONE = [ListedEngine("w", "127.0.0.1:9", "a", 0, "writer", readiness="gone")]


@pytest.mark.parametrize(
    ("last", "waited", "listed", "expected"),
    [
        (LastList(READY, DAY), PUSH_WAIT_US, False, True),
        (LastList(READY, DAY), PUSH_WAIT_US - 1, False, False),
        (LastList(READY, DAY), PUSH_WAIT_US, True, False),
        (None, PUSH_WAIT_US, False, False),
        (LastList(GONE, DAY), PUSH_WAIT_US, False, False),
        (LastList(READY, 2 * DAY - MAX_AGE_US - 1), PUSH_WAIT_US, False, False),
        (LastList(READY, 2 * DAY + 1), PUSH_WAIT_US, False, False),
    ],
)
def test_when_a_router_uses_its_last_list(last, waited, listed, expected):
    assert is_usable(last, waited, listed, 2 * DAY) is expected


async def start_successor(local_fleet, path):
    return await local_fleet._start_process("next", [
        sys.executable, "-m", "lifthead.cli", "serve", str(path / "fleet.star"), "--router", "r", "--list",
        local_fleet.list_url, "--run", str(path), "--log", str(path / "log-next.jsonl"), "--take-over",
    ])  # fmt: skip


def test_no_connection_is_refused_and_no_stream_lost_while_a_router_is_replaced(tmp_path):
    async def scenario():
        long_timeouts = SCRIPT.replace('"2s")\ngroup', '"9s")\ngroup').replace('"300ms", body', '"3s", body')
        async with Processes(tmp_path, long_timeouts) as local_fleet:
            at, old = local_fleet.router_address("r"), local_fleet._processes["r"]
            answers, load_ended = [], asyncio.Event()

            async def client(number, tokens):
                answers.append(
                    await send_raw(at, http(body(f"{number}", stream=True, max_tokens=tokens)), within=20)
                )

            async with asyncio.TaskGroup() as tasks:

                async def load():
                    number = 0
                    while not load_ended.is_set():
                        number += 1
                        tasks.create_task(client(number, 300 if number % 10 == 0 else 8))
                        await asyncio.sleep(0.02)

                tasks.create_task(load())
                await asyncio.sleep(0.4)
                # A process that takes the sockets and exits before it is ready changes nothing.
                connection = socket.socket(socket.AF_UNIX)
                connection.connect(str(tmp_path / "r.hand"))
                connection.settimeout(2)
                _, descriptors, _, _ = socket.recv_fds(connection, 8, 3)
                for descriptor in descriptors:
                    os.close(descriptor)
                connection.close()
                await asyncio.sleep(0.2)
                new = await start_successor(local_fleet, tmp_path)
                assert new["base_url"] == local_fleet.routers["r"]["base_url"]
                states = json.loads((await asyncio.to_thread(
                    lifthead, "routers", "--run", tmp_path, "--json")).stdout)  # fmt: skip
                assert {state["pid"]: state["state"] for state in states} == {
                    old.pid: "drain",
                    new["pid"]: "ready",
                }
                await asyncio.sleep(0.4)
                load_ended.set()
            assert await old.wait() == 0
            assert len(answers) > 40
            assert not [answer[:400] for answer in answers if b"[DONE]" not in answer]
            served = (tmp_path / "log-next.jsonl").read_text().count('"event":"req"')
            assert 10 < served < len(answers)

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_router_with_a_ledger_does_not_hand_its_sockets_over(tmp_path):
    async def scenario():
        async with Processes(tmp_path, SCRIPT + "ledger()\n") as local_fleet:
            with pytest.raises(RuntimeError):
                await start_successor(local_fleet, tmp_path)
            assert "no router hands its sockets over" in (tmp_path / "next.err").read_text()
            at = local_fleet.router_address("r")
            assert b"[DONE]" in await send_raw(at, http(body("still", stream=True, max_tokens=4)))

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_routers_restarted_without_a_pushed_list_serve_with_their_last_one(tmp_path):
    three_routers = SCRIPT.replace(
        'router("r", zone = "a")', "\n".join(f'router("r{n}", zone = "a")' for n in range(3))
    )

    async def scenario():
        async with Processes(tmp_path, three_routers) as local_fleet:
            answers, load_ended = {}, asyncio.Event()

            async def load():
                number = 0
                while not load_ended.is_set():
                    number += 1
                    up = sorted(local_fleet.routers)
                    at = local_fleet.router_address(up[number % len(up)])
                    sent = http(body(f"{number}", stream=True, max_tokens=4))
                    answers[number] = up[number % len(up)], await send_raw(at, sent, within=8)
                    await asyncio.sleep(0.01)

            async with asyncio.TaskGroup() as tasks:
                await asyncio.sleep(1.2)  # until the lists are stored
                local_fleet._list_server.close()  # restarted routers can't reach the discovery service
                loader = tasks.create_task(load())
                await local_fleet.stop_process("wr2", signal.SIGKILL)  # and the last list names a dead engine
                for name in ("r0", "r1"):
                    await local_fleet.stop_process(name, signal.SIGTERM)
                    await local_fleet.start_router(name)
                    await asyncio.sleep(0.5)
                load_ended.set()
                await loader
            last_answers = [answer for name, answer in list(answers.values())[-12:]]
            assert all(b"[DONE]" in answer for answer in last_answers)
            assert {name for name, _ in list(answers.values())[-12:]} == {"r0", "r1", "r2"}
            shown = await asyncio.to_thread(lifthead, "members", "--run", tmp_path, "--json")
            for name, found in json.loads(shown.stdout).items():
                assert found["sources"][0]["age_s"] > 1.5, name  # each router reports the age of its list

    asyncio.run(asyncio.wait_for(scenario(), 60))
