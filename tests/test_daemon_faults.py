"""The daemon's processes with faults on the way to their engines: held states and final answers."""

import asyncio
import time
from contextlib import AsyncExitStack

from loopback import body, http, send_raw
from test_fleet import Processes, address, run

from lifthead.standins.faults.proxy import Fault, FaultProxy
from lifthead.standins.record import Record, lines

PROMPT = "fuel card " * 2500  # over the threshold: read by the prefill engine
REQUESTS = 12
EVERY = 0.05  # seconds
BUDGET = 2.0  # seconds, the deadline of the group
LATE = 0.5  # seconds for a final answer to be read on a busy machine
SETTLES = 1.0  # seconds after the last answer
RELEASED_WITHIN = 1_500_000  # microseconds from the last answer: the time allowed, closes that are seen late

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


async def play(tmp_path, faults):
    """Plays the faults one after the other on one fleet; the statuses and times of each one's requests."""
    answers = {}

    async def ask(at, text):
        began = time.monotonic()
        answer = await send_raw(at, http(body(text, stream=True, max_tokens=8)), within=BUDGET + 5)
        return int(answer.split()[1]) if answer else 0, time.monotonic() - began

    async with Processes(tmp_path) as stage, AsyncExitStack() as stack:
        record, proxies, listed = Record(tmp_path / "proxies.jsonl"), {}, []
        for name, said in stage.engines.items():
            port = int(said["address"].rpartition(":")[2])
            proxy = proxies[name] = FaultProxy("r", name, port, record)
            await proxy.start()
            stack.push_async_callback(proxy.close)
            kind = "reader" if name == "rd" else "writer"
            listed.append(
                f'engine("{name}", zone = "a", kind = "{kind}", address = "127.0.0.1:{proxy.port}")\n'
            )
        (tmp_path / "engines.star").write_text("".join(listed))
        stage.engine_file = tmp_path / "engines.star"
        await stage.restart({"name": "r"})
        at = address(stage)
        for fault, names in faults:
            await asyncio.gather(*(ask(at, f"{fault} warm {number}") for number in range(8)))
            await asyncio.gather(*(proxies[name].begin(fault) for name in names))
            asked = []
            for number in range(REQUESTS):
                asked.append(asyncio.create_task(ask(at, f"{fault} {number} {PROMPT}")))
                await asyncio.sleep(EVERY)
            answers[fault] = await asyncio.gather(*asked)
            await asyncio.sleep(SETTLES)
            await asyncio.gather(*(proxies[name].end(fault) for name in names))
    return answers


def kept_too_long(path):
    """States that neither a decode call took nor a release freed; the engine's own limit ended them."""
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
    answers = run(play(tmp_path, BROKEN_CALLS))
    assert not kept_too_long(tmp_path)
    for fault, found in answers.items():
        assert all(status in (200, 502, 503, 504) for status, _ in found), (fault, found)
        assert all(took < BUDGET + LATE for _, took in found), (fault, found)
        assert sum(status == 200 for status, _ in found) >= REQUESTS // 2, (fault, found)
    text = (tmp_path / "log-r.jsonl").read_text()
    assert "invariant violated" not in text and "Traceback" not in text
