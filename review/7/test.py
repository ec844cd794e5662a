"""Case 7: a stream whose engine pauses for under 5 s and goes on is cut by the router."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from fleet import EVENT, SAFE, UNSAFE, Fleet, chunk, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PAUSE = 4.6 if TROUBLE else 0.05  # seconds between two events of a stream; 5 s is the pages' limit
STREAMS = 12


async def preempted(engine, request, reader, writer):
    """Answers as usual, but half way the answer goes back into the queue and is read anew."""
    number = request["headers"]["x-trace-id"]
    await engine.pause(reader, 0.05)
    engine.run(number)
    engine.head(writer)
    for each in range(6):
        if each == 3:
            engine.fleet.record.put("memory_ran_out", engine=engine.uid, id=number)
            await engine.pause(reader, PAUSE)
            engine.fleet.record.put("goes_on", engine=engine.uid, id=number)
        writer.write(chunk(EVENT))
        await engine.pause(reader, 0.05)
    engine.finish(number, writer)


async def main():
    async with Fleet(HERE) as fleet:
        for number in range(2):
            fleet.add(f"rd{number}", "prefill")
            fleet.add(f"wr{number}", "decode").script = preempted
        await fleet.start()
        fleet.start_router(fleet.discovery.whole())
        await fleet.ready()
        asked = []
        for number in range(STREAMS):
            asked.append(asyncio.create_task(fleet.ask(request_class=(SAFE, UNSAFE)[number % 2], prompt=200)))
            await asyncio.sleep(0.3)
        ends = await asyncio.gather(*asked)
        cut = sum(how == "cut" and status == 200 for how, status, _ in ends)
        served = sum(how == "answered" and status == 200 for how, status, _ in ends)
        verdict = f"{len(ends)} streams, {served} served to their last chunk, {cut} cut by the router"
        fleet.record.write(verdict)
        print(verdict)
        return 1 if cut else 0 if served else 2


if __name__ == "__main__":
    run_case(main)
