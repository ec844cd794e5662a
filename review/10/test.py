"""Case 10: a router that restarts while discovery is silent sends new work to an engine that drains."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from fleet import SAFE, UNSAFE, Fleet, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_FOR = 8.0
GRACE, SLACK = 1.0, 0.05
CLIENTS_COME_AFTER = 1.5  # the front notices and admits a router only after some time
LASTS = 12.0


async def usual_client(fleet, ends, until):
    while fleet.record.now() < until:
        ends.append(await fleet.ask(request_class=SAFE if len(ends) % 2 else UNSAFE, prompt=300))
        await asyncio.sleep(0.1)


async def main():
    async with Fleet(HERE) as fleet:
        for number in range(3):
            fleet.add(f"rd{number}", "prefill")
        writers = [fleet.add(f"wr{number}", "decode") for number in range(2)]
        await fleet.start()
        fleet.start_router(fleet.discovery.whole())
        await fleet.ready()
        await asyncio.sleep(2.0)
        known = fleet.discovery.whole()  # the list as this router last had it
        fleet.signal(signal.SIGKILL)
        fleet.process.wait()
        drained = writers[0]
        drained.state = "draining"
        fleet.discovery.change()  # the agent on the router's machine has it from now on
        fleet.record.put("drains", engine=drained.uid)
        await asyncio.sleep(0.5)
        fleet.discovery.silent = TROUBLE
        fleet.record.put("discovery_down", down=TROUBLE)
        began = fleet.start_router(known)
        ends = []
        await fleet.ready(30.0)
        await asyncio.sleep(max(CLIENTS_COME_AFTER - (fleet.record.now() - began), 0))
        usual = [asyncio.create_task(usual_client(fleet, ends, began + LASTS)) for _ in range(10)]
        await asyncio.sleep(max(DOWN_FOR - (fleet.record.now() - began), 0))
        fleet.discovery.silent = False
        fleet.record.put("discovery_up")
        await asyncio.wait(usual, timeout=LASTS + 15)
        latest = began + GRACE + SLACK
        late = [at for at, _ in fleet.record.all("arrived", engine=drained.uid) if at > latest]
        served = sum(how == "answered" and status == 200 for how, status, _ in ends)
        verdict = (
            f"the new process began at {began:.2f} s, nothing new may reach {drained.uid} after {latest:.2f} s: "
            f"{len(late)} attempts did, the last at {max(late, default=0):.2f} s; usual requests {len(ends)}, served {served}"
        )
        fleet.record.write(verdict)
        print(verdict)
        return 1 if late else 0 if served else 2


if __name__ == "__main__":
    run_case(main)
