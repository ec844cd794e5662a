"""Parts of benchmarks/router.py, each a process of its own: a bare engine, a bare byte relay, a load.

The engine answers any POST with `events` events, `gap` seconds apart; it does no work, so that what is
measured is what lies between it and the client. `python -m benchmarks.fast engine|relay|load JSON`
"""

import asyncio
import json
import sys
import time

EVENT = (
    b'data: {"id":"x","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":'
    b'{"content":"word "},"finish_reason":null}]}\n\n'
)
END = b"data: [DONE]\n\n"
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


async def read_req(reader):
    """One HTTP req with a content-length; False at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return False
    size = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
    await reader.readexactly(int(size or 0))
    return True


async def engine(given):
    events, gap = given["events"], given["gap"]

    async def serve(reader, writer):
        writer.transport.set_write_buffer_limits(high=262_144)
        try:
            while await read_req(reader):
                writer.write(HEAD + chunk(EVENT))
                for _ in range(events - 1):
                    if gap:
                        await asyncio.sleep(gap)
                    writer.write(chunk(EVENT))
                    await writer.drain()
                writer.write(chunk(END) + b"0\r\n\r\n")
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    await listen(serve)


async def relay(given):
    """Bytes in, bytes out, engines in turn: the least that a router of this kind can cost."""
    engines, turn = given["engines"], [0]

    async def pump(reader, writer):
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def serve(reader, writer):
        turn[0] += 1
        host, _, port = engines[turn[0] % len(engines)].rpartition(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(pump(reader, upstream_writer), pump(upstream_reader, writer))

    await listen(serve)


async def listen(serve):
    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=16_384)
    print("{}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await server.serve_forever()


async def load(given):
    """So many kept connections, which ask `rate` times a second in all, or again at once if rate is 0."""
    host, _, port = given["address"].rpartition(":")
    body = json.dumps({
        "model": "m", "stream": True, "max_tokens": given["tokens"],
        "messages": [{"role": "user", "content": "why was the card declined at the pump? " * 4}],
    }).encode()  # fmt: skip
    req = (
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-loopback\r\n"
        b"content-type: application/json\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
    )
    firsts, ends, bad, tokens, open_now, most = [], [], [0], [0], [0], [0]
    start = time.perf_counter() + 0.5 + given.get("delay", 0)
    until = start + given["seconds"]

    async def one(number):
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        every = given["connections"] / given["rate"] if given["rate"] else 0
        due = start + (number * every / given["connections"] if every else 0)
        while time.perf_counter() < until:
            if every:
                await asyncio.sleep(max(due - time.perf_counter(), 0))
                due += every
            began = time.perf_counter()
            open_now[0] += 1
            most[0] = max(most[0], open_now[0])
            writer.write(req)
            seen, first, last = 0, 0.0, b""
            while True:
                data = await reader.read(65_536)
                if not data:
                    bad[0] += 1
                    return
                seen += data.count(b'"word "')
                if not first and seen:
                    first = time.perf_counter() - began
                last = (last + data)[-64:]
                if last.endswith(b"0\r\n\r\n") or (not seen and b"HTTP/1.1 5" in data):
                    break
            open_now[0] -= 1
            tokens[0] += seen
            if seen:
                firsts.append(first)
                ends.append(time.perf_counter())
            else:
                bad[0] += 1
        writer.close()

    tries = [one(number) for number in range(given["connections"])]
    done = await asyncio.gather(*tries, return_exceptions=True)
    firsts.sort()
    took = (max(ends) - start) if ends else 1
    print(json.dumps({
        "reqs": len(firsts), "bad": bad[0], "reqs_s": len(firsts) / took, "tokens_s": tokens[0] / took,
        "most_at_once": most[0], "errors": sum(isinstance(each, Exception) for each in done),
        "firsts": [round(first * 1e6) for first in firsts[:: max(len(firsts) // 5000, 1)]],
    }), flush=True)  # fmt: skip


if __name__ == "__main__":
    asyncio.run({"engine": engine, "relay": relay, "load": load}[sys.argv[1]](json.loads(sys.argv[2])))
