"""Case 6: bad clients that send hundreds of requests at once drive a router over its limit of memory."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from crowd import record_crowd  # noqa: E402
from fleet import SAFE, UNSAFE, Fleet, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB, SOCKETS = 192, 1024  # the most that the pages give a router on scored days
BAD_CLIENTS = int(os.environ.get("BAD_CLIENTS", "300"))  # under a third of the descriptors, which is 341
REQUESTS_EACH = 300  # "hundreds of requests at once"
PROMPT = 300  # tokens: a body of 1.3 KB
LASTS = 40.0


def memory_kb(pid):
    """Memory of the process that is its own, in KB: shared pages of files are left out."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1])
    return 0


async def platform(fleet, seen):
    """Kills the router once it holds more memory than its configuration says, as the platform does."""
    while fleet.process.poll() is None:
        try:
            held = memory_kb(fleet.process.pid) / 1024
        except OSError:
            return
        if held > seen["most"] + 5:
            seen["most"] = held
            fleet.record.put("memory", mb=round(held, 1), limit=MEMORY_MB)
        if held > MEMORY_MB:
            fleet.record.put("killed_for_memory", mb=round(held, 1), limit=MEMORY_MB)
            seen["killed"], seen["most"] = True, held
            fleet.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.02)


async def usual_client(fleet, ends, until):
    while fleet.record.now() < until and fleet.process.poll() is None:
        ends.append(await fleet.ask(request_class=SAFE if len(ends) % 2 else UNSAFE, prompt=300))
        await asyncio.sleep(0.3)


async def main():
    async with Fleet(HERE, limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS}) as fleet:
        for number in range(4):
            fleet.add(f"rd{number}", "prefill")
            fleet.add(f"wr{number}", "decode").tokens = 60
        await fleet.start()
        fleet.start_router(fleet.discovery.whole())
        await fleet.ready()
        seen, ends, began = {"most": 0.0, "killed": False}, [], fleet.record.now()
        watch = asyncio.create_task(platform(fleet, seen))
        usual = [asyncio.create_task(usual_client(fleet, ends, began + LASTS)) for _ in range(8)]
        await asyncio.sleep(3.0)
        crowd = None
        if TROUBLE:
            fleet.record.put("bad_clients", clients=BAD_CLIENTS, requests_each=REQUESTS_EACH, prompt=PROMPT)
            crowd = subprocess.Popen(
                [sys.executable, HERE.parent / "standins-2" / "crowd.py", "pipelined", fleet.listen, str(BAD_CLIENTS),
                 str(int(LASTS - 5)), str(REQUESTS_EACH), str(PROMPT)],
                stdout=subprocess.PIPE,
            )  # fmt: skip
        try:
            while fleet.record.now() < began + LASTS and not seen["killed"]:
                await asyncio.sleep(0.1)
            await asyncio.wait(usual, timeout=15)
        finally:
            if crowd:
                record_crowd(crowd, fleet.record)
        for task in [watch, *usual]:
            task.cancel()
        crashed = fleet.process.poll() is not None
        cut = sum(how in ("cut", "unanswered", "hangs", "shut") for how, _, _ in ends)
        served = sum(how == "answered" and status == 200 for how, status, _ in ends)
        verdict = (
            f"router ended: {crashed}; most memory {seen['most']:.0f} MB of {MEMORY_MB}; "
            f"usual requests: {len(ends)}, served {served}, cut off or never answered {cut}"
        )
        fleet.record.write(verdict)
        print(verdict)
        if not served:
            return 2
        return 1 if seen["killed"] or crashed else 0


if __name__ == "__main__":
    run_case(main)
