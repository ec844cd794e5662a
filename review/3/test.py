"""A chunk in the middle of some streams claims 3 GB and keeps coming."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins.deployment import (
    BROKEN, COULD_NOT_RUN, EVENT, HELD, TROUBLE, Case, ask, chunk, encode_request, main, open_connection,
)  # fmt: skip

FOLDER = Path(__file__).resolve().parent
STREAMS = 4
ENDS_WITHIN = 5.05  # seconds after the spoilt chunk began; 50 ms longer on sockets
WATCHED = 30.0  # seconds
NOISE, PAUSE = 1000, 0.2  # bytes, and seconds between them


async def spoil(engine, headers, body, writer):
    """Three good events, then the head of a chunk of 3 GB, and noise for as long as the connection is open."""
    request_id = headers["x-trace-id"]
    if engine.kind != "decode" or not request_id.startswith("stream") or not TROUBLE:
        return None
    await asyncio.sleep(engine.first_token)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(3):
        writer.write(chunk(EVENT))
        await asyncio.sleep(engine.between)
    writer.write(b"%X\r\n" % (3 << 30))
    engine.spoilt_at[request_id] = time.monotonic()
    engine.record.put("engine-began-3-GB-chunk", engine=engine.name, id=request_id)
    sent = 0
    while not writer.transport.is_closing():
        writer.write(b"#" * NOISE)
        sent += NOISE
        await asyncio.sleep(PAUSE)
    engine.record.put("engine-saw-close", engine=engine.name, id=request_id, noise_bytes=sent)
    return False


async def client(case, request_id):
    """Returns when the connection ended (None: it is still open after WATCHED seconds), and whether the last
    chunk came."""
    reader, writer = await open_connection(case.router.address)
    writer.write(encode_request(request_id))
    case.record.put("client-sent", id=request_id)
    received, ended_at = b"", None
    try:
        async with asyncio.timeout(WATCHED):
            while not received.endswith(b"\r\n0\r\n\r\n"):
                data = await reader.read(65536)
                if not data:
                    break
                received += data
            ended_at = time.monotonic()
    except TimeoutError:
        pass
    except OSError:
        ended_at = time.monotonic()
    writer.transport.abort()
    whole = received.endswith(b"\r\n0\r\n\r\n")
    case.record.put("client-got", id=request_id, bytes=len(received), ended=ended_at is not None, whole=whole)
    return ended_at, whole


async def scenario():
    async with Case(FOLDER) as case:
        record, spoilt_at = case.record, {}
        record.say(f"TROUBLE={int(TROUBLE)}")
        if not await case.warm_up():
            return COULD_NOT_RUN
        for engine in case.engines:
            engine.on_request, engine.spoilt_at = spoil, spoilt_at
        names = [f"stream{number}" for number in range(STREAMS)]
        ends = await asyncio.gather(*(client(case, name) for name in names))
        if TROUBLE and len(spoilt_at) != STREAMS:
            return COULD_NOT_RUN
        broken = 0
        for name, (ended_at, whole) in zip(names, ends, strict=True):
            if name not in spoilt_at:
                took, fine = "", whole
            else:
                took = "still open" if ended_at is None else f"{ended_at - spoilt_at[name]:.2f} s"
                fine = ended_at is not None and ended_at - spoilt_at[name] <= ENDS_WITHIN and not whole
            record.say(f"{name}: last chunk {whole}, from the spoilt chunk to the end of the client's "
                       f"connection: {took or 'not spoilt'}")  # fmt: skip
            broken += not fine
        after = await ask(case.router.address, "after", record)
        await asyncio.sleep(3 * PAUSE)  # the engines see the closes that the clients' own ends bring
        record.say(f"streams: {STREAMS}, rule broken: {broken}; a request afterwards: {after[:2]}")
        return BROKEN if broken else HELD


main(scenario)
