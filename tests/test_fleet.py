"""Processes: up, stop, kill, restart, dead routers, health, and the public client library."""

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
from lifthead.fleet.health import Condition
from lifthead.standins.stage import Stage
from lifthead.standins.wire import call


class Processes:
    """A stage of real processes in a directory of its own."""

    def __init__(self, path, text=SCRIPT):
        self.file = path / "fleet.star"
        self.file.write_text(text)
        self.stage = Stage(script.read(self.file), self.file, path, 1)

    async def __aenter__(self):
        await self.stage.start()
        return self.stage

    async def __aexit__(self, *_):
        await self.stage.abandon()


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 60))


def address(stage):
    return stage.address("r")


async def agent(stage):
    host, _, port = stage.routers["r"]["agent"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    word = await reader.read(-1)
    writer.close()
    return word


def lifthead(*words, **more):
    return subprocess.run(
        [sys.executable, "-m", "lifthead.cli", *map(str, words)], capture_output=True, text=True, **more
    )


def test_the_public_client_library_is_served_unchanged(tmp_path):
    async def play():
        async with Processes(tmp_path) as stage:
            url = stage.routers["r"]["base_url"]
            client = openai.AsyncOpenAI(base_url=url, api_key=KEY, max_retries=0)
            asked = {
                "model": "m",
                "messages": [{"role": "user", "content": "why was it declined?"}],
                "max_tokens": 12,
            }
            whole = await client.chat.completions.create(**asked)
            parts = [part async for part in await client.chat.completions.create(**asked, stream=True)]
            text = "".join(part.choices[0].delta.content or "" for part in parts if part.choices)
            assert whole.choices[0].message.content == text and whole.choices[0].finish_reason == "stop"
            used = [
                part.usage
                async for part in await client.chat.completions.create(
                    **asked, stream=True, stream_options={"include_usage": True}
                )
            ][-1]
            assert used.completion_tokens == whole.usage.completion_tokens
            assert [model.id async for model in client.models.list()] == ["m", "once"]
            with pytest.raises(openai.NotFoundError):
                await client.chat.completions.create(**asked | {"model": "none"})
            with pytest.raises(openai.BadRequestError):
                await client.chat.completions.create(**asked | {"messages": []})
            with pytest.raises(openai.AuthenticationError):
                await client.with_options(api_key="nobody-knows").chat.completions.create(**asked)
            for name in ("wr", "wr2"):
                await stage.fault(name, "full", 30_000_000, 1.0, 1.0, "chat")
            with pytest.raises(openai.InternalServerError) as problem:
                await client.chat.completions.create(**asked)
            assert problem.value.status_code == 503 and "retry-after" in problem.value.response.headers
            for name in ("wr", "wr2"):
                await stage.fault(name, "full", 0, 1.0, 1.0, "chat")
                await stage.fault(name, "reset", 30_000_000, 1.0, 1.0, "")
            with pytest.raises(openai.APIError):
                for _ in range(8):  # where the reset falls is drawn: before the first token or in the stream
                    async for _ in await client.chat.completions.create(
                        **asked | {"model": "once"}, stream=True
                    ):
                        pass

    run(play())


def test_a_stop_answers_every_req_in_every_stage(tmp_path):
    async def play():
        async with Processes(tmp_path) as stage:
            await stage.fault("rd", "slow", 30_000_000, 1.0, 8.0, "")
            await stage.fault("wr", "slow", 30_000_000, 1.0, 6.0, "")
            at = address(stage)
            tries = [
                asyncio.create_task(send_raw(at, http(body(text, stream=stream, max_tokens=30)), within=15))
                for text in ("hi", "fuel card " * 2500)
                for stream in (True, False)
                for _ in range(10)
            ]
            await asyncio.sleep(0.4)
            said = await admin.ask(stage.routers["r"]["admin"], {"ask": "stop"})
            assert said["reqs"] >= 20 and said["state"] == "drain"
            assert await agent(stage) == b"drain\n"
            with pytest.raises(OSError):
                await asyncio.sleep(0.1)
                await asyncio.open_connection(*at.split(":"))
            answers = await asyncio.gather(*tries)
            assert all(answer for answer in answers)
            ends = [int(answer.split()[1]) for answer in answers]
            assert set(ends) <= {200, 503, 504}
            assert all(b"[DONE]" in answer for answer in answers if b"event-stream" in answer)
            process = stage._processes["r"]
            assert await process.wait() == 0
            assert not Path(stage.routers["r"]["admin"]).exists()

    run(play())


def test_a_killed_router_is_reported_dead_and_comes_back(tmp_path):
    async def play():
        async with Processes(tmp_path) as stage:
            tries = [
                asyncio.create_task(send_raw(address(stage), http(body(stream=True, max_tokens=400))))
                for _ in range(5)
            ]
            await asyncio.sleep(0.2)
            await stage.end("r", signal.SIGKILL)
            for answer in await asyncio.gather(*tries, return_exceptions=True):
                assert isinstance(answer, OSError) or b"[DONE]" not in answer
            began = time.monotonic()
            said = await asyncio.to_thread(lifthead, "routers", "--run", tmp_path, "--json")
            took = time.monotonic() - began
            assert (
                said.returncode == 1
                and json.loads(said.stdout) == [{"name": "r", "state": "dead"}]
                and took < 2
            )
            await stage.start_router("r")
            assert b"[DONE]" in await send_raw(address(stage), http(body(stream=True)))
            said = await asyncio.to_thread(lifthead, "routers", "--run", tmp_path, "--json")
            assert said.returncode == 0 and json.loads(said.stdout)[0]["state"] == "ready"

    run(play())


def test_drain_undo_health_pages_and_engines(tmp_path):
    async def play():
        async with Processes(tmp_path) as stage:
            health = stage.routers["r"]["health"]
            assert (await call(health, "GET", "/ready"))[0] == 200 and await agent(stage) == b"ready\n"
            assert (
                await asyncio.to_thread(lifthead, "drain", "r", "--run", tmp_path, "--json")
            ).returncode == 0
            assert (await call(health, "GET", "/ready"))[0] == 503 and await agent(stage) == b"drain\n"
            assert (await call(health, "GET", "/live"))[0] == 200
            assert b"not_ready" in await send_raw(address(stage), http(body()))
            await asyncio.to_thread(lifthead, "drain", "r", "--undo", "--run", tmp_path)
            assert (await call(health, "GET", "/ready"))[0] == 200
            assert b"[DONE]" in await send_raw(address(stage), http(body(stream=True)))
            assert b"lifthead_reqs_ended_total" in (await call(health, "GET", "/metrics"))[1]
            assert (await call(health, "GET", "/none"))[0] == 404
            seen = json.loads(
                (await asyncio.to_thread(lifthead, "engines", "--run", tmp_path, "--json")).stdout
            )
            assert [row["name"] for row in seen["r"]] == ["rd", "wr", "wr2"]
            await stage.say("gone", "wr", "wr2")
            await asyncio.sleep(0.2)
            assert await agent(stage) == b"down\n" and (await call(health, "GET", "/ready"))[0] == 503

    run(play())


@pytest.mark.parametrize(
    ("facts", "word", "ready"),
    [
        ((True, 3, False, False, 100), "ready", True),
        ((True, 3, False, False, 55), "up 55%", True),
        ((False, 0, False, False, 100), "down", False),
        ((True, 0, False, False, 100), "down", False),
        ((True, 3, True, False, 100), "drain", False),
        ((True, 3, False, True, 20), "drain", False),
    ],
)
def test_the_word_to_balancers(facts, word, ready):
    condition = Condition(*facts)
    assert (condition.word, condition.ready) == (word, ready)


def test_a_port_or_a_ledger_that_another_has_is_one_line(tmp_path):
    async def play():
        async with Processes(tmp_path, SCRIPT + "ledger()\n") as stage:
            at = address(stage)
            for text in (
                SCRIPT + "ledger()\n",
                SCRIPT.replace('zone = "a")\ngroup', f'zone = "a", listen = "{at}")\ngroup'),
            ):
                file = tmp_path / "second.star"
                file.write_text(text)
                run_dir = tmp_path if "ledger" in text else tmp_path / "other"
                found = await asyncio.to_thread(lifthead, "serve", file, "--run", run_dir)
                assert found.returncode == 2 and "Traceback" not in found.stderr, found.stderr
                assert found.stderr.splitlines()[-1].startswith("r: ")

    run(play())


def test_a_day_that_is_stopped_takes_its_processes_along(tmp_path):
    day = subprocess.Popen(
        [sys.executable, "-m", "lifthead.cli", "day", "examples/quiet.star", "--out", tmp_path],
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
    )  # fmt: skip
    until = time.monotonic() + 20
    while not list(tmp_path.glob("*.sock")) and time.monotonic() < until:
        time.sleep(0.1)
    children = Path(f"/proc/{day.pid}/task/{day.pid}/children").read_text().split()
    day.terminate()
    day.wait(20)
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
    ("words", "code", "said"),
    [
        (["check", "/no/such.star"], 2, "can't be read"),
        (["serve", "examples/quiet.star"], 2, "--router: expected one of"),
        (["routers", "--run", "/no/such"], 2, "no router there"),
        (["verify", "/no/such"], 2, "not a day's records"),
    ],
)
def test_bad_use_gets_one_line(words, code, said):
    found = lifthead(*words)
    assert found.returncode == code and said in found.stderr and found.stderr.count("\n") == 1
