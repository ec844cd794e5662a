"""Speed of the HTTP parsers h11 and httptools on the same bytes. `python -m benchmarks.parsers`"""

import time

import h11

from lifthead.http1 import AnswerParser, RequestParser, encode_chunk

REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nContent-Length: 900\r\n\r\n"
    + b"x" * 900
)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = encode_chunk(b"data: " + b"x" * 160 + b"\n\n")
EVENTS = 2000


def parse_request_with_httptools():
    parser = RequestParser(16_384, 1 << 20)
    parser.feed(REQUEST)
    assert parser.requests


def parse_request_with_h11():
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(REQUEST)
    while not isinstance(parser.next_event(), h11.EndOfMessage):
        pass


def parse_events_with_httptools():
    parser = AnswerParser()
    parser.feed(HEAD)
    for _ in range(EVENTS):
        parser.feed(EVENT)
        parser.body()


def parse_events_with_h11():
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(HEAD)
    parser.next_event()
    for _ in range(EVENTS):
        parser.receive_data(EVENT)
        while parser.next_event() is not h11.NEED_DATA:
            pass


def microseconds_per_item(parse, repetitions, items=1):
    start = time.perf_counter()
    for _ in range(repetitions):
        parse()
    return (time.perf_counter() - start) / repetitions / items * 1e6


if __name__ == "__main__":
    print(
        f"request: httptools {microseconds_per_item(parse_request_with_httptools, 3000):6.1f} us, "
        f"h11 {microseconds_per_item(parse_request_with_h11, 3000):6.1f} us"
    )
    print(
        f"event:   httptools {microseconds_per_item(parse_events_with_httptools, 5, EVENTS):6.2f} us, "
        f"h11 {microseconds_per_item(parse_events_with_h11, 5, EVENTS):6.2f} us"
    )
