"""One stream ends with a load report that can't be read; the requests of other clients wait meanwhile."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.deployment import (
    ANSWER_SLACK, BROKEN, COULD_NOT_RUN, HELD, RECIFE_CLASS, RECIFE_DEADLINE, REPORT, TROUBLE, Case, ask, main,
    recife,
)  # fmt: skip

FOLDER = Path(__file__).resolve().parent
DEADLINE = RECIFE_DEADLINE
REQUEST = {"request_class": RECIFE_CLASS, "deadline": DEADLINE}
REPORT_BYTES = 48 * 1024  # under a fifth of the 256 KiB that a body may hold
READABLE = b": Endpoint-Load-Metrics: " + REPORT
# The same report again and again, with the signs lost that part names and values.
UNREADABLE = b": Endpoint-Load-Metrics: TEXT " + (b"inflight7queue2x061x112" * 4096)[:REPORT_BYTES]
CLIENTS, PAUSE = 20, 0.15


async def scenario():
    async with Case(FOLDER, **recife()) as case:
        record, address = case.record, case.router.address
        record.say(f"TROUBLE={int(TROUBLE)}")
        comments = [READABLE]
        for engine in case.engines:
            engine.last_comment = lambda: comments[-1] if len(comments) == 1 else comments.pop()
        if not await case.warm_up(**REQUEST):
            return COULD_NOT_RUN
        comments.append(UNREADABLE if TROUBLE else READABLE)  # the next stream alone ends with it
        first = asyncio.create_task(ask(address, "spoilt0", record, wait=80, **REQUEST))
        clients = []
        for number in range(CLIENTS):
            clients.append(asyncio.create_task(ask(address, f"usual{number}", record, wait=80, **REQUEST)))
            await asyncio.sleep(PAUSE)
        answers = await asyncio.gather(*clients)
        status, ended, took = await first
        record.say(f"the stream with the report: status {status}, {ended}, end after {took:.1f} s")
        late = [each for each in answers if each[1] in ("closed", "reset", "refused", "nothing") or
                each[2] > DEADLINE + ANSWER_SLACK]  # fmt: skip
        slowest = max(each[2] for each in answers)
        record.say(f"usual requests: {len(answers)}, without a final answer in time: {len(late)}, "
                   f"slowest answer after {slowest:.1f} s, due within {DEADLINE + ANSWER_SLACK:.2f} s")  # fmt: skip
        return BROKEN if late else HELD


main(scenario)
