"""Daemon processes with network faults between them and their engines: held states and final answers."""

import asyncio
import time
from contextlib import AsyncExitStack

from loopback import body, http, send_raw
from test_fleet import Processes, address, run

from lifthead.standins.faults.proxy import Fault, FaultProxy
from lifthead.standins.record import Record, lines

PROMPT = "fuel card " * 2500  # over the disaggregation threshold, so a prefill engine takes it
REQUESTS = 12
REQUEST_INTERVAL = 0.05  # seconds
BUDGET = 2.0  # seconds, the deadline of the request class
ANSWER_SLACK = 0.5  # seconds by which a busy machine may read a final answer late
SETTLE_TIME = 1.0  # seconds after the last answer
RELEASED_WITHIN = 1_500_000  # microseconds after the last answer, including closes that are seen late

BROKEN_CALLS = [
    (Fault.HANG, ["wr"]),
    (Fault.CUT_UP, ["wr"]),
    (Fault.CUT_DOWN, ["wr"]),
    (Fault.NEVER_UP, ["wr"]),
    (Fault.SILENT, ["wr", "wr2"]),
    (Fault.RESET, ["rd", "wr", "wr2"]),
    (Fault.HALF, ["wr", "wr2"]),
    (Fault.HALF_ANSWER, ["wr", "wr2"]),
]


async def run_faults(tmp_path, faults):
    """Runs the faults one after the other on one fleet; returns each one's request statuses and durations."""
    answers = {}

    async def ask(at, text):
        began = time.monotonic()
        answer = await send_raw(at, http(body(text, stream=True, max_tokens=8)), within=BUDGET + 5)
        return int(answer.split()[1]) if answer else 0, time.monotonic() - began

    async with Processes(tmp_path) as fleet, AsyncExitStack() as stack:
        record, proxies, engine_lines = Record(tmp_path / "proxies.jsonl"), {}, []
        for name, engine in fleet.engines.items():
            port = int(engine["address"].rpartition(":")[2])
            proxy = proxies[name] = FaultProxy("r", name, port, record)
            await proxy.start()
            stack.push_async_callback(proxy.close)
            kind = "reader" if name == "rd" else "writer"
            engine_lines.append(
                f'engine("{name}", zone = "a", kind = "{kind}", address = "127.0.0.1:{proxy.port}")\n'
            )
        (tmp_path / "engines.star").write_text("".join(engine_lines))
        fleet.engine_file = tmp_path / "engines.star"
        await fleet.restart({"name": "r"})
        at = address(fleet)
        for fault, names in faults:
            await asyncio.gather(*(ask(at, f"{fault} warm {number}") for number in range(8)))
            await asyncio.gather(*(proxies[name].begin(fault) for name in names))
            tasks = []
            for number in range(REQUESTS):
                tasks.append(asyncio.create_task(ask(at, f"{fault} {number} {PROMPT}")))
                await asyncio.sleep(REQUEST_INTERVAL)
            answers[fault] = await asyncio.gather(*tasks)
            await asyncio.sleep(SETTLE_TIME)
            await asyncio.gather(*(proxies[name].end(fault) for name in names))
    return answers


def unreleased_states(path):
    """Returns the states that no decode call took and no release freed in time."""
    states = {}
    for line in lines(path / "engine-rd.jsonl"):
        if line["ev"] == "held":
            states[line["id"]] = line["t"]
        elif line["ev"] == "taken" or (line["ev"] == "let_go" and line["why"] == "asked"):
            held_for = line["t"] - states.pop(line["id"])
            if held_for > BUDGET * 1_000_000 + RELEASED_WITHIN:
                states[line["id"]] = line["t"]
    return states


def test_states_are_released_and_requests_answered_whatever_happens_to_decode_calls(tmp_path):
    answers = run(run_faults(tmp_path, BROKEN_CALLS))
    assert not unreleased_states(tmp_path)
    for fault, results in answers.items():
        assert all(status in (200, 502, 503, 504) for status, _ in results), (fault, results)
        assert all(duration < BUDGET + ANSWER_SLACK for _, duration in results), (fault, results)
        assert sum(status == 200 for status, _ in results) >= REQUESTS // 2, (fault, results)
    text = (tmp_path / "log-r.jsonl").read_text()
    assert "invariant violated" not in text and "Traceback" not in text
