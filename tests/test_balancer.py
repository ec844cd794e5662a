"""A stand-in balancer before real routers: it stops within 250 ms of a drain, and sends to none not ready."""

import asyncio
import json
import signal
import time

from loopback import SCRIPT, body, http, send_raw
from test_fleet import Processes, lifthead

from lifthead.standins.balancer import Balancer
from lifthead.standins.record import Record, lines

TWO = SCRIPT.replace('router("r", zone = "a")', 'router("r0", zone = "a")\nrouter("r1", zone = "a")')


async def until(true, within=8.0):
    async with asyncio.timeout(within):
        while not true():
            await asyncio.sleep(0.01)


def test_drains_stops_kills_and_empty_lists_are_heeded(tmp_path):
    async def play():
        async with Processes(tmp_path, TWO.replace("limits(", 'limits(stop_notice = "400ms", ')) as stage:
            balancer, over, answers = Balancer(Record(tmp_path / "balancer.jsonl"), 1), asyncio.Event(), []
            for name, said in stage.routers.items():
                balancer.add(name, stage.router_address(name), said["agent"], said["health"])

            async def client(number):
                at = balancer.choose()
                if at is not None:
                    answers.append(
                        await send_raw(at, http(body(f"{number}", stream=True, max_tokens=10)), within=8)
                    )

            async def load(tasks):
                number = 0
                while not over.is_set():
                    number += 1
                    tasks.create_task(client(number))
                    await asyncio.sleep(0.01)

            async with asyncio.TaskGroup() as tasks:
                check = tasks.create_task(balancer.check())
                await until(lambda: all(each.up for each in balancer.behind.values()))
                tasks.create_task(load(tasks))
                await asyncio.sleep(0.3)

                drained = time.monotonic_ns() // 1000
                await asyncio.to_thread(lifthead, "drain", "r0", "--run", tmp_path)
                told = time.monotonic_ns() // 1000
                await asyncio.sleep(0.6)
                await asyncio.to_thread(lifthead, "drain", "r0", "--undo", "--run", tmp_path)
                await until(lambda: balancer.behind["r0"].up)
                await asyncio.sleep(0.3)

                stopped = time.monotonic_ns() // 1000
                assert (
                    await stage.stop_process("r1", signal.SIGTERM) == 0
                )  # says drain first, so that nothing is lost
                await asyncio.sleep(0.3)
                over.set()
                await asyncio.sleep(0.3)
                check.cancel()
            record = lines(tmp_path / "balancer.jsonl")
            sent = [(line["t"], line["router"]) for line in record if line["ev"] == "sent"]
            assert drained < told
            assert not [at for at, name in sent if name == "r0" and told + 250_000 < at < told + 550_000]
            assert [at for at, name in sent if name == "r0" and at > stopped]
            assert not [at for at, name in sent if name == "r1" and at > stopped + 250_000]
            assert answers and all(b"[DONE]" in answer or b"not_ready" in answer for answer in answers)
            refused = sum(b"not_ready" in answer for answer in answers)
            assert refused < 0.05 * len(answers)

    asyncio.run(asyncio.wait_for(play(), 60))


def test_a_router_without_a_list_or_without_writers_gets_nothing(tmp_path):
    async def play():
        async with Processes(tmp_path, TWO) as stage:
            balancer = Balancer(Record(tmp_path / "balancer.jsonl"), 1)
            for name, said in stage.routers.items():
                balancer.add(name, stage.router_address(name), said["agent"], said["health"])
            async with asyncio.TaskGroup() as tasks:
                check = tasks.create_task(balancer.check())
                await until(lambda: all(each.up for each in balancer.behind.values()))
                await stage.publish_readiness("gone", "wr", "wr2")
                await until(lambda: not any(each.up for each in balancer.behind.values()))
                assert balancer.choose() is None
                await stage.publish_readiness("ready", "wr")
                await until(lambda: all(each.up for each in balancer.behind.values()))
                check.cancel()
            words = [
                (line["router"], line["word"])
                for line in lines(tmp_path / "balancer.jsonl")
                if line["ev"] == "word"
            ]
            for name in ("r0", "r1"):
                assert [word for router, word in words if router == name] == ["ready", "down", "ready"]
            states = json.loads(
                (await asyncio.to_thread(lifthead, "routers", "--run", tmp_path, "--json")).stdout
            )
            assert {state["state"] for state in states} == {"ready"}

    asyncio.run(asyncio.wait_for(play(), 60))
