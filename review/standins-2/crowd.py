"""Bad clients as a process of their own, so that they do not hold up the usual ones.

    python crowd.py pipelined HOST:PORT CLIENTS SECONDS REQUESTS PROMPT
    python crowd.py silent HOST:PORT CLIENTS SECONDS

`pipelined`: each connects, sends hundreds of requests at once and reads what comes back.
`silent`: each connects, says nothing, reads what comes back, and connects again when it is shut.
Every 0.25 s it prints the time (of the monotonic clock) and what was sent and answered by then.
"""

import asyncio
import contextlib
import resource
import sys
import time
from collections import Counter

from fleet import SAFE, request_bytes


seen = Counter()


def read_answers(data):
    """Counts the heads of answers. One that is cut in two by the reads is not seen."""
    for part in data.split(b"HTTP/1.1 ")[1:]:
        seen["answered_" + part[:3].decode("latin-1")] += 1


async def report():
    while True:
        counts = " ".join(f"{name}={count}" for name, count in sorted(seen.items()))
        print(f"{time.monotonic():.3f} {counts}", flush=True)
        await asyncio.sleep(0.25)


async def pipelined(address, number, requests, prompt):
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*address.split(":"))
        seen["connected"] += 1

        async def read():
            with contextlib.suppress(OSError):
                while data := await reader.read(65536):
                    read_answers(data)
            seen["ended"] += 1

        reading = asyncio.create_task(read())
        with contextlib.suppress(OSError):
            for each in range(requests):  # at full speed: as fast as the router's machine takes it
                writer.write(request_bytes(f"b{number:04d}x{each:04d}", SAFE, prompt, 7500))
                await writer.drain()
                seen["requests_sent"] += 1
        await reading
        writer.close()


async def silent(address):
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address.split(":"))
            seen["connected"] += 1
            with contextlib.suppress(OSError):
                while data := await reader.read(65536):
                    read_answers(data)
            seen["ended"] += 1
            writer.close()
        except OSError:
            await asyncio.sleep(0.05)


async def main():
    kind, address, clients, seconds = sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    more = [int(each) for each in sys.argv[5:]]
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    with contextlib.suppress(TimeoutError):
        reporting = asyncio.create_task(report())
        async with asyncio.timeout(seconds):
            await asyncio.gather(
                *(pipelined(address, each, *more) if kind == "pipelined" else silent(address) for each in range(clients))
            )
    reporting.cancel()


def record_crowd(crowd, record):
    """Ends a crowd's process and puts what it printed into the record, at the times when it did."""
    crowd.kill()
    for line in crowd.communicate()[0].decode().splitlines():
        at, _, counts = line.partition(" ")
        if counts:
            record.lines.append((float(at) - record.start, "crowd", dict(each.split("=") for each in counts.split())))
    record.lines.sort(key=lambda line: line[0])


if __name__ == "__main__":
    asyncio.run(main())
