"""Bad clients as a process of their own, so that they do not hold up the usual ones.

    python crowd.py pipelined HOST:PORT CLIENTS SECONDS REQUESTS PROMPT
    python crowd.py silent HOST:PORT CLIENTS SECONDS

`pipelined`: each connects, sends hundreds of requests at once and reads what comes back.
`silent`: each connects, says nothing, reads what comes back, and connects again when it is shut.
"""

import asyncio
import contextlib
import resource
import sys

from fleet import SAFE, request_bytes


async def pipelined(address, number, requests, prompt):
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*address.split(":"))

        async def read():
            with contextlib.suppress(OSError):
                while await reader.read(65536):
                    pass

        reading = asyncio.create_task(read())
        with contextlib.suppress(OSError):
            for each in range(requests):  # at full speed: as fast as the router's machine takes it
                writer.write(request_bytes(f"b{number:04d}x{each:04d}", SAFE, prompt, 7500))
                await writer.drain()
        await reading
        writer.close()


async def silent(address):
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address.split(":"))
            with contextlib.suppress(OSError):
                while await reader.read(65536):
                    pass
            writer.close()
        except OSError:
            await asyncio.sleep(0.05)


async def main():
    kind, address, clients, seconds = sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    more = [int(each) for each in sys.argv[5:]]
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(
                *(pipelined(address, each, *more) if kind == "pipelined" else silent(address) for each in range(clients))
            )


if __name__ == "__main__":
    asyncio.run(main())
