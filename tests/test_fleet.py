"""Real processes: start, stop, kill and restart, dead routers, health, and the public client library."""

import asyncio
import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import openai
import pytest
from loopback import KEY, SCRIPT, body, http, send_raw

from lifthead.deployment import script
from lifthead.fleet import admin
from lifthead.fleet.health import RouterStatus
from lifthead.standins.local_fleet import LocalFleet
from lifthead.standins.wire import call


class Processes:
    """A test fleet of real processes in a directory of its own."""

    def __init__(self, path, text=SCRIPT):
        self.file = path / "fleet.star"
        self.file.write_text(text)
        self.local_fleet = LocalFleet(script.read(self.file), self.file, path, 1)

    async def __aenter__(self):
        await self.local_fleet.start()
        return self.local_fleet

    async def __aexit__(self, *_):
        await self.local_fleet.kill_all()


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 60))


def address(local_fleet):
    return local_fleet.router_address("r")


async def agent_check(local_fleet):
    host, _, port = local_fleet.routers["r"]["agent"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    reply = await reader.read(-1)
    writer.close()
    return reply


def lifthead(*arguments, **options):
    return subprocess.run(
        [sys.executable, "-m", "lifthead.cli", *map(str, arguments)],
        capture_output=True,
        text=True,
        **options,
    )


def test_the_public_client_library_is_served_unchanged(tmp_path):
    async def scenario():
        async with Processes(tmp_path) as local_fleet:
            url = local_fleet.routers["r"]["base_url"]
            client = openai.AsyncOpenAI(base_url=url, api_key=KEY, max_retries=0)
            question = {
                "model": "m",
                "messages": [{"role": "user", "content": "why was it declined?"}],
                "max_tokens": 12,
            }
            whole = await client.chat.completions.create(**question)
            parts = [part async for part in await client.chat.completions.create(**question, stream=True)]
            text = "".join(part.choices[0].delta.content or "" for part in parts if part.choices)
            assert whole.choices[0].message.content == text and whole.choices[0].finish_reason == "stop"
            usage = [
                part.usage
                async for part in await client.chat.completions.create(
                    **question, stream=True, stream_options={"include_usage": True}
                )
            ][-1]
            assert usage.completion_tokens == whole.usage.completion_tokens
            assert [model.id async for model in client.models.list()] == ["m", "once"]
            with pytest.raises(openai.NotFoundError):
                await client.chat.completions.create(**question | {"model": "none"})
            with pytest.raises(openai.BadRequestError):
                await client.chat.completions.create(**question | {"messages": []})
            with pytest.raises(openai.AuthenticationError):
                await client.with_options(api_key="nobody-knows").chat.completions.create(**question)
            for name in ("wr", "wr2"):
                await local_fleet.inject_fault(name, "full", 30_000_000, 1.0, 1.0, "chat")
            with pytest.raises(openai.InternalServerError) as problem:
                await client.chat.completions.create(**question)
            assert problem.value.status_code == 503 and "retry-after" in problem.value.response.headers
            for name in ("wr", "wr2"):
                await local_fleet.inject_fault(name, "full", 0, 1.0, 1.0, "chat")
                await local_fleet.inject_fault(name, "reset", 30_000_000, 1.0, 1.0, "")
            with pytest.raises(openai.APIError):
                for _ in range(8):  # the reset falls at random before the first token or within the stream
                    async for _ in await client.chat.completions.create(
                        **question | {"model": "once"}, stream=True
                    ):
                        pass

    run(scenario())


def test_a_stop_answers_every_request_whatever_its_progress(tmp_path):
    async def scenario():
        async with Processes(tmp_path) as local_fleet:
            await local_fleet.inject_fault("rd", "slow", 30_000_000, 1.0, 8.0, "")
            await local_fleet.inject_fault("wr", "slow", 30_000_000, 1.0, 6.0, "")
            router = address(local_fleet)
            requests = [
                asyncio.create_task(
                    send_raw(router, http(body(text, stream=stream, max_tokens=30)), within=15)
                )
                for text in ("hi", "fuel card " * 2500)
                for stream in (True, False)
                for _ in range(10)
            ]
            await asyncio.sleep(0.4)
            state = await admin.ask(local_fleet.routers["r"]["admin"], {"ask": "stop"})
            assert state["reqs"] >= 20 and state["state"] == "drain"
            assert await agent_check(local_fleet) == b"drain\n"
            with pytest.raises(OSError):
                await asyncio.sleep(0.1)
                await asyncio.open_connection(*router.split(":"))
            answers = await asyncio.gather(*requests)
            assert all(answer for answer in answers)
            statuses = [int(answer.split()[1]) for answer in answers]
            assert set(statuses) <= {200, 503, 504}
            assert all(b"[DONE]" in answer for answer in answers if b"event-stream" in answer)
            process = local_fleet._processes["r"]
            assert await process.wait() == 0
            assert not Path(local_fleet.routers["r"]["admin"]).exists()

    run(scenario())


def test_a_killed_router_is_reported_dead_and_comes_back(tmp_path):
    async def scenario():
        async with Processes(tmp_path) as local_fleet:
            requests = [
                asyncio.create_task(send_raw(address(local_fleet), http(body(stream=True, max_tokens=400))))
                for _ in range(5)
            ]
            await asyncio.sleep(0.2)
            await local_fleet.stop_process("r", signal.SIGKILL)
            for answer in await asyncio.gather(*requests, return_exceptions=True):
                assert isinstance(answer, OSError) or b"[DONE]" not in answer
            began = time.monotonic()
            command = await asyncio.to_thread(lifthead, "routers", "--run", tmp_path, "--json")
            took = time.monotonic() - began
            assert (
                command.returncode == 1
                and json.loads(command.stdout) == [{"name": "r", "state": "dead"}]
                and took < 2
            )
            await local_fleet.start_router("r")
            assert b"[DONE]" in await send_raw(address(local_fleet), http(body(stream=True)))
            command = await asyncio.to_thread(lifthead, "routers", "--run", tmp_path, "--json")
            assert command.returncode == 0 and json.loads(command.stdout)[0]["state"] == "ready"

    run(scenario())


def test_drain_undo_health_pages_and_engines(tmp_path):
    async def scenario():
        async with Processes(tmp_path) as local_fleet:
            health = local_fleet.routers["r"]["health"]
            assert (await call(health, "GET", "/ready"))[0] == 200 and await agent_check(
                local_fleet
            ) == b"ready\n"
            assert (
                await asyncio.to_thread(lifthead, "drain", "r", "--run", tmp_path, "--json")
            ).returncode == 0
            assert (await call(health, "GET", "/ready"))[0] == 503 and await agent_check(
                local_fleet
            ) == b"drain\n"
            assert (await call(health, "GET", "/live"))[0] == 200
            assert b"not_ready" in await send_raw(address(local_fleet), http(body()))
            await asyncio.to_thread(lifthead, "drain", "r", "--undo", "--run", tmp_path)
            assert (await call(health, "GET", "/ready"))[0] == 200
            assert b"[DONE]" in await send_raw(address(local_fleet), http(body(stream=True)))
            assert b"lifthead_reqs_ended_total" in (await call(health, "GET", "/metrics"))[1]
            assert (await call(health, "GET", "/none"))[0] == 404
            engines = json.loads(
                (await asyncio.to_thread(lifthead, "engines", "--run", tmp_path, "--json")).stdout
            )
            assert [row["name"] for row in engines["r"]] == ["rd", "wr", "wr2"]
            await local_fleet.publish_readiness("gone", "wr", "wr2")
            await asyncio.sleep(0.2)
            assert (
                await agent_check(local_fleet) == b"down\n"
                and (await call(health, "GET", "/ready"))[0] == 503
            )

    run(scenario())


@pytest.mark.parametrize(
    ("facts", "agent_reply", "ready"),
    [
        ((True, 3, False, False, 100), "ready", True),
        ((True, 3, False, False, 55), "up 55%", True),
        ((False, 0, False, False, 100), "down", False),
        ((True, 0, False, False, 100), "down", False),
        ((True, 3, True, False, 100), "drain", False),
        ((True, 3, False, True, 20), "drain", False),
    ],
)
def test_what_a_router_reports_to_load_balancers(facts, agent_reply, ready):
    status = RouterStatus(*facts)
    assert (status.agent_reply, status.ready) == (agent_reply, ready)


def test_a_port_or_a_ledger_that_is_in_use_gets_one_line_of_error(tmp_path):
    async def scenario():
        async with Processes(tmp_path, SCRIPT + "ledger()\n") as local_fleet:
            in_use = address(local_fleet)
            for text in (
                SCRIPT + "ledger()\n",
                SCRIPT.replace('zone = "a")\ngroup', f'zone = "a", listen = "{in_use}")\ngroup'),
            ):
                file = tmp_path / "second.star"
                file.write_text(text)
                run_directory = tmp_path if "ledger" in text else tmp_path / "other"
                command = await asyncio.to_thread(lifthead, "serve", file, "--run", run_directory)
                assert command.returncode == 2 and "Traceback" not in command.stderr, command.stderr
                assert command.stderr.splitlines()[-1].startswith("r: ")

    run(scenario())


def test_a_scenario_that_is_stopped_ends_its_processes(tmp_path):
    scenario = subprocess.Popen(
        [sys.executable, "-m", "lifthead.cli", "day", "examples/quiet.star", "--out", tmp_path],
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
    )  # fmt: skip
    until = time.monotonic() + 20
    while not list(tmp_path.glob("*.sock")) and time.monotonic() < until:
        time.sleep(0.1)
    children = Path(f"/proc/{scenario.pid}/task/{scenario.pid}/children").read_text().split()
    scenario.terminate()
    scenario.wait(20)
    assert len(children) > 5 and not [pid for pid in children if Path(f"/proc/{pid}").exists()]


def test_up_prints_one_line_and_stops_cleanly(tmp_path):
    file = tmp_path / "fleet.star"
    file.write_text(SCRIPT)
    process = subprocess.Popen(
        [sys.executable, "-m", "lifthead.cli", "up", file, "--run", tmp_path / "run", "--json"],
        stdout=subprocess.PIPE,
    )
    try:
        line = json.loads(process.stdout.readline())
        assert set(line) >= {"routers", "models", "api_keys", "engines"} and line["api_keys"] == {"t": KEY}
        assert set(line["routers"][0]) == {"name", "base_url", "admin", "pid"}
        assert set(line["engines"][0]) == {"name", "address", "pid"}
    finally:
        process.terminate()
        assert process.wait(20) == 0


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        (["check", "/no/such.star"], 2, "can't be read"),
        (["serve", "examples/quiet.star"], 2, "--router: expected one of"),
        (["routers", "--run", "/no/such"], 2, "no router there"),
        (["verify", "/no/such"], 2, "not a day's records"),
    ],
)
def test_wrong_use_gets_one_line_of_error(arguments, code, message):
    command = lifthead(*arguments)
    assert command.returncode == code and message in command.stderr and command.stderr.count("\n") == 1
