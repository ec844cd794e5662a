"""Bad clients as a process of their own: each connects, sends hundreds of requests at once and reads what comes back.

    python crowd.py HOST:PORT CLIENTS REQUESTS PROMPT SECONDS
"""

import asyncio
import contextlib
import sys

from fleet import SAFE, request_bytes


async def client(address, number, requests, prompt):
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


async def main():
    address, clients, requests, prompt, seconds = sys.argv[1], *map(int, sys.argv[2:6])
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*(client(address, each, requests, prompt) for each in range(clients)))


if __name__ == "__main__":
    asyncio.run(main())
