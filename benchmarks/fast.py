"""Processes of benchmarks/router.py: a minimal engine, a minimal byte relay, a load generator.

The engine answers any POST with `events` events, `gap` seconds apart, and does no other work, so that the
measurement shows the cost of the router. `python -m benchmarks.fast engine|relay|load JSON`
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


async def read_request(reader):
    """Reads one HTTP request with a content-length; False at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return False
    size = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
    await reader.readexactly(int(size or 0))
    return True


async def engine(options):
    events, gap = options["events"], options["gap"]

    async def serve(reader, writer):
        writer.transport.set_write_buffer_limits(high=262_144)
        try:
            while await read_request(reader):
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


async def relay(options):
    """Copies bytes both ways, engines in turn: the least that a router of this kind can cost."""
    engines, next_index = options["engines"], [0]

    async def pump(reader, writer):
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def serve(reader, writer):
        next_index[0] += 1
        host, _, port = engines[next_index[0] % len(engines)].rpartition(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(pump(reader, upstream_writer), pump(upstream_reader, writer))

    await listen(serve)


async def listen(serve):
    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=16_384)
    print("{}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await server.serve_forever()


async def load(options):
    """Sends requests on persistent connections: `rate` a second in all, or without pause if it is 0."""
    host, _, port = options["address"].rpartition(":")
    body = json.dumps(
        {
            "model": "m",
            "stream": True,
            "max_tokens": options["tokens"],
            "messages": [{"role": "user", "content": "why was the card declined at the pump? " * 4}],
        }
    ).encode()
    request = (
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-loopback\r\n"
        b"content-type: application/json\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
    )
    first_token_times, ended_at, failed, tokens, open_now, most_open = [], [], [0], [0], [0], [0]
    start = time.perf_counter() + 0.5 + options.get("delay", 0)
    until = start + options["seconds"]

    async def run_connection(number):
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        interval = options["connections"] / options["rate"] if options["rate"] else 0
        send_at = start + (number * interval / options["connections"] if interval else 0)
        while time.perf_counter() < until:
            if interval:
                await asyncio.sleep(max(send_at - time.perf_counter(), 0))
                send_at += interval
            sent_at = time.perf_counter()
            open_now[0] += 1
            most_open[0] = max(most_open[0], open_now[0])
            writer.write(request)
            received_tokens, first, tail = 0, 0.0, b""
            while True:
                data = await reader.read(65_536)
                if not data:
                    failed[0] += 1
                    return
                received_tokens += data.count(b'"word "')
                if not first and received_tokens:
                    first = time.perf_counter() - sent_at
                tail = (tail + data)[-64:]
                if tail.endswith(b"0\r\n\r\n") or (not received_tokens and b"HTTP/1.1 5" in data):
                    break
            open_now[0] -= 1
            tokens[0] += received_tokens
            if received_tokens:
                first_token_times.append(first)
                ended_at.append(time.perf_counter())
            else:
                failed[0] += 1
        writer.close()

    connections = [run_connection(number) for number in range(options["connections"])]
    results = await asyncio.gather(*connections, return_exceptions=True)
    first_token_times.sort()
    duration = (max(ended_at) - start) if ended_at else 1
    print(
        json.dumps(
            {
                "reqs": len(first_token_times),
                "bad": failed[0],
                "reqs_s": len(first_token_times) / duration,
                "tokens_s": tokens[0] / duration,
                "most_at_once": most_open[0],
                "errors": sum(isinstance(each, Exception) for each in results),
                "firsts": [
                    round(first * 1e6)
                    for first in first_token_times[:: max(len(first_token_times) // 5000, 1)]
                ],
            }
        ),
        flush=True,
    )


if __name__ == "__main__":
    asyncio.run({"engine": engine, "relay": relay, "load": load}[sys.argv[1]](json.loads(sys.argv[2])))
