"""A client sends many commands at once on its connection."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.deployment import (
    ANSWER_SLACK, BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Case, encode_request, main, open_connection,
    read_answer,
)  # fmt: skip

FOLDER = Path(__file__).resolve().parent
DEADLINE = 12.0  # seconds, of the class alteracao-cartao
REQUESTS, TOKENS = 30, 6000  # 24 KB each; the site's prompts of this class begin with 3,300 to 7,800 tokens


async def scenario():
    async with Case(FOLDER) as case:
        record = case.record
        record.say(f"TROUBLE={int(TROUBLE)}")
        if not await case.warm_up():
            return COULD_NOT_RUN
        requests = [
            encode_request(f"pipe{number}", TOKENS, "alteracao-cartao", DEADLINE, 400, session=f"c{number}")
            for number in range(REQUESTS)
        ]
        reader, writer = await open_connection(case.router.address)
        answers, began = [], time.monotonic()
        if TROUBLE:
            writer.write(b"".join(requests))
            await writer.drain()
            record.put("client-sent", requests=REQUESTS, bytes=sum(map(len, requests)))
        for number, request in enumerate(requests):
            if not TROUBLE:
                writer.write(request)
                await writer.drain()
                began = time.monotonic()
                record.put("client-sent", id=f"pipe{number}", bytes=len(request))
            try:
                async with asyncio.timeout(DEADLINE + 5):
                    status, ended = await read_answer(reader)
            except TimeoutError:
                status, ended = 0, "nothing"
            took = time.monotonic() - began
            record.put("client-got", id=f"pipe{number}", status=status, ended=ended, after_s=f"{took:.3f}")
            answers.append((status, ended, took))
        writer.transport.abort()
        lost = [n for n, (status, ended, took) in enumerate(answers)
                if ended != "whole" or took > DEADLINE + ANSWER_SLACK]  # fmt: skip
        served = sum(answer[:2] == (200, "whole") for answer in answers)
        refused = sum(answer[0] == 413 for answer in answers)
        record.say(f"requests: {REQUESTS} with {sum(map(len, requests))} bytes, served: {served}, answered 413: "
                   f"{refused}, no answer: {len(lost)} {sorted({answers[n][1] for n in lost})}; last event after {took:.1f} s")  # fmt: skip
        return BROKEN if lost else HELD


main(scenario)
