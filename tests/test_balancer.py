"""A stand-in load balancer before real routers.

It sends nothing to a router that is not ready, and nothing later than 250 ms after a drain.
"""

import asyncio
import json
import signal
import time

from loopback import SCRIPT, body, http, send_raw
from test_fleet import Processes, lifthead

from lifthead.standins.balancer import Balancer
from lifthead.standins.record import Record, lines

TWO_ROUTERS = SCRIPT.replace('router("r", zone = "a")', 'router("r0", zone = "a")\nrouter("r1", zone = "a")')


async def until(condition, timeout=8.0):
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_drained_or_stopped_router_gets_no_connections_soon_after(tmp_path):
    async def scenario():
        async with Processes(
            tmp_path, TWO_ROUTERS.replace("limits(", 'limits(stop_notice = "400ms", ')
        ) as test_fleet:
            balancer, load_ends, answers = (
                Balancer(Record(tmp_path / "balancer.jsonl"), 1),
                asyncio.Event(),
                [],
            )
            for name, ready_line in test_fleet.routers.items():
                balancer.add(name, test_fleet.router_address(name), ready_line["agent"], ready_line["health"])

            async def client(number):
                at = balancer.choose()
                if at is not None:
                    answers.append(
                        await send_raw(at, http(body(f"{number}", stream=True, max_tokens=10)), within=8)
                    )

            async def load(tasks):
                number = 0
                while not load_ends.is_set():
                    number += 1
                    tasks.create_task(client(number))
                    await asyncio.sleep(0.01)

            async with asyncio.TaskGroup() as tasks:
                checks = tasks.create_task(balancer.run_checks())
                await until(lambda: all(backend.up for backend in balancer.backends.values()))
                tasks.create_task(load(tasks))
                await asyncio.sleep(0.3)

                drain_asked_at = time.monotonic_ns() // 1000
                await asyncio.to_thread(lifthead, "drain", "r0", "--run", tmp_path)
                drain_answered_at = time.monotonic_ns() // 1000
                await asyncio.sleep(0.6)
                await asyncio.to_thread(lifthead, "drain", "r0", "--undo", "--run", tmp_path)
                await until(lambda: balancer.backends["r0"].up)
                await asyncio.sleep(0.3)

                stop_sent_at = time.monotonic_ns() // 1000
                # The router replies `drain` before it stops, so that no connection is lost.
                assert await test_fleet.stop_process("r1", signal.SIGTERM) == 0
                await asyncio.sleep(0.3)
                load_ends.set()
                await asyncio.sleep(0.3)
                checks.cancel()
            record = lines(tmp_path / "balancer.jsonl")
            sent = [(line["t"], line["router"]) for line in record if line["ev"] == "sent"]
            assert drain_asked_at < drain_answered_at
            assert not [
                at
                for at, name in sent
                if name == "r0" and drain_answered_at + 250_000 < at < drain_answered_at + 550_000
            ]
            assert [at for at, name in sent if name == "r0" and at > stop_sent_at]
            assert not [at for at, name in sent if name == "r1" and at > stop_sent_at + 250_000]
            assert answers and all(b"[DONE]" in answer or b"not_ready" in answer for answer in answers)
            refused = sum(b"not_ready" in answer for answer in answers)
            assert refused < 0.05 * len(answers)

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_a_router_without_decode_engines_gets_no_connections(tmp_path):
    async def scenario():
        async with Processes(tmp_path, TWO_ROUTERS) as test_fleet:
            balancer = Balancer(Record(tmp_path / "balancer.jsonl"), 1)
            for name, ready_line in test_fleet.routers.items():
                balancer.add(name, test_fleet.router_address(name), ready_line["agent"], ready_line["health"])
            async with asyncio.TaskGroup() as tasks:
                checks = tasks.create_task(balancer.run_checks())
                await until(lambda: all(backend.up for backend in balancer.backends.values()))
                await test_fleet.publish_readiness("gone", "wr", "wr2")
                await until(lambda: not any(backend.up for backend in balancer.backends.values()))
                assert balancer.choose() is None
                await test_fleet.publish_readiness("ready", "wr")
                await until(lambda: all(backend.up for backend in balancer.backends.values()))
                checks.cancel()
            replies = [
                (line["router"], line["word"])
                for line in lines(tmp_path / "balancer.jsonl")
                if line["ev"] == "word"
            ]
            for name in ("r0", "r1"):
                assert [reply for router, reply in replies if router == name] == ["ready", "down", "ready"]
            states = json.loads(
                (await asyncio.to_thread(lifthead, "routers", "--run", tmp_path, "--json")).stdout
            )
            assert {state["state"] for state in states} == {"ready"}

    asyncio.run(asyncio.wait_for(scenario(), 60))
