"""Which HTTP parser: h11 against httptools on the same bytes. `python -m benchmarks.parsers`"""

import time

import h11

from lifthead.http1 import AnswerParser, RequestParser, encode_chunk

REQ = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nContent-Length: 900\r\n\r\n"
    + b"x" * 900
)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = encode_chunk(b"data: " + b"x" * 160 + b"\n\n")
EVENTS = 2000


def by_httptools_req():
    parser = RequestParser(16_384, 1 << 20)
    parser.feed(REQ)
    assert parser.requests


def by_h11_req():
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(REQ)
    while not isinstance(parser.next_event(), h11.EndOfMessage):
        pass


def by_httptools_events():
    parser = AnswerParser()
    parser.feed(HEAD)
    for _ in range(EVENTS):
        parser.feed(EVENT)
        parser.body()


def by_h11_events():
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(HEAD)
    parser.next_event()
    for _ in range(EVENTS):
        parser.receive_data(EVENT)
        while parser.next_event() is not h11.NEED_DATA:
            pass


def cost(act, times, each=1):
    start = time.perf_counter()
    for _ in range(times):
        act()
    return (time.perf_counter() - start) / times / each * 1e6


if __name__ == "__main__":
    print(f"req:   httptools {cost(by_httptools_req, 3000):6.1f} us, h11 {cost(by_h11_req, 3000):6.1f} us")
    print(
        f"event: httptools {cost(by_httptools_events, 5, EVENTS):6.2f} us, "
        f"h11 {cost(by_h11_events, 5, EVENTS):6.2f} us"
    )
