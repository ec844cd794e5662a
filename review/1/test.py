"""One bad client sends a huge length; the requests of usual clients meanwhile."""

import asyncio
import collections
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.deployment import (
    ANSWER_SLACK, BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Case, ask, encode_request, main, open_connection,
    read_answer,
)  # fmt: skip

FOLDER = Path(__file__).resolve().parent
DEADLINE = 7.5  # seconds, of the class consulta-limite
HUGE = "1" + "0" * 400  # the length of an answer, in tokens, that the bad client sends
USUAL, EACH, PAUSE = 10, 6, 1.0  # usual clients, requests of each, seconds between them
TURNED_AWAY = b"HTTP/1.1 503 no\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
NO_ANSWER = ("closed", "reset", "refused", "nothing")


async def turn_away(engine, headers, body, writer):
    """An engine turns away what it can't use."""
    if HUGE.encode() not in body:
        return None
    await asyncio.sleep(0.02)
    writer.write(TURNED_AWAY)
    engine.record.put("engine-turned-away", engine=engine.name, id=headers["x-trace-id"])
    return True


async def bad_client(case, until, outcomes):
    """Sends its request, reads what comes back, and sends the same again as soon as it is turned away."""
    sent = 0
    while time.monotonic() < until:
        sent += 1
        reader, writer = await open_connection(case.router.address)
        try:
            tokens = HUGE if TROUBLE else 500
            writer.write(encode_request(f"bad{sent}", max_tokens=tokens, properties="prompt_len=300"))
            case.record.put("bad-client-sent", id=f"bad{sent}", digits_of_max_tokens=len(str(tokens)))
            async with asyncio.timeout(10):
                answer = await read_answer(reader)
            outcomes[answer] += 1
            case.record.put("bad-client-got", id=f"bad{sent}", status=answer[0], ended=answer[1])
        except OSError:
            outcomes[0, "reset"] += 1
        finally:
            writer.transport.abort()
        await asyncio.sleep(0.1)


async def usual_client(case, number):
    """Keeps its connection. If that ends without an answer, the client sends the request once more, on a new
    connection and under a fresh id. Returns, for each request, all that came back."""
    answers, reader, writer = [], None, None
    for turn in range(EACH + 1):  # the first one is sent before the trouble begins
        request_id, attempts = f"usual{number}x{turn}", []
        if writer is None or writer.transport.is_closing() or reader.at_eof():
            reader, writer = await open_connection(case.router.address)
        sent_at = time.monotonic()
        try:
            writer.write(encode_request(request_id))
            case.record.put("client-sent", id=request_id)
            async with asyncio.timeout(20):
                status, ended = await read_answer(reader)
        except (OSError, TimeoutError) as error:
            status, ended = 0, "nothing" if isinstance(error, TimeoutError) else "reset"
        took = time.monotonic() - sent_at
        case.record.put("client-got", id=request_id, status=status, ended=ended, after_s=f"{took:.3f}")
        attempts.append((status, ended, took))
        if ended in ("closed", "reset"):
            writer.transport.abort()
            writer = None
            attempts.append(await ask(case.router.address, request_id + "again", case.record))
        answers.append(attempts)
        if turn == 0:
            await case.begin.wait()
            await asyncio.sleep(0.1 * number)
        else:
            await asyncio.sleep(PAUSE)
    if writer:
        writer.transport.abort()
    return answers


async def scenario():
    async with Case(FOLDER) as case:
        record, case.begin = case.record, asyncio.Event()
        record.say(f"TROUBLE={int(TROUBLE)}")
        if not await case.warm_up():
            return COULD_NOT_RUN
        for engine in case.engines:
            engine.on_request = turn_away
        clients = [asyncio.create_task(usual_client(case, number)) for number in range(USUAL)]
        await asyncio.sleep(1.0)
        outcomes, until = collections.Counter(), time.monotonic() + EACH * PAUSE
        case.begin.set()
        await bad_client(case, until, outcomes)
        requests = [attempts for answers in await asyncio.gather(*clients) for attempts in answers[1:]]
        record.say(f"answers to the bad client: {dict(outcomes)}")
        counted = collections.Counter(attempts[0][:2] for attempts in requests)
        record.say(f"answers to the usual clients, first sending: {dict(counted)}")
        lost = [each for each in requests if all(
            ended in NO_ANSWER or took > DEADLINE + ANSWER_SLACK for _, ended, took in each
        )]  # fmt: skip
        record.say(f"usual requests: {len(requests)}, without a final answer, also when sent once more: "
                   f"{len(lost)}")  # fmt: skip
        return BROKEN if lost else HELD


main(scenario)
