"""The work for a message is linear in its bytes, whatever they are."""

import random
import re
import time

import pytest
from onenode import (
    END,
    EVENT,
    HEAD,
    PREFILLED,
    STREAM,
    Engine,
    chat,
    encode_chunk,
    exchange,
    list_update,
    run_with_node,
    target,
)

from lifthead.engines import codec
from lifthead.http1 import LineParser
from lifthead.interface import LoadReport
from lifthead.node import discovery, engines

LOST_SIGNS = "inflight7queue2x061x112"  # a load report without the signs between names and values
UNREADABLE_REPORTS = [LOST_SIGNS, "a", "a=,", "a:a", "=", "x1=9", "9" * 50 + ","]


def seconds(action):
    started_at = time.perf_counter()
    action()
    return time.perf_counter() - started_at


@pytest.mark.parametrize("pattern", UNREADABLE_REPORTS)
def test_a_load_report_that_cannot_be_read_takes_no_time(pattern):
    """Guards against review/2: a report without `=` and `:` was matched again from each of its letters, which
    took 0.2 s for 4 KiB and half a minute for 48 KiB, while the event loop stood still."""
    text = "TEXT " + (pattern * engines.MAX_REPORT_BYTES)[: engines.MAX_REPORT_BYTES - 5]
    assert min(seconds(lambda: engines.parse_load_report(text)) for _ in range(3)) < 0.05


def test_a_report_that_cannot_be_read_delays_no_other_client():
    """The same on sockets: at the end of a stream, in the head of an answer and in the body of a probe."""

    async def scenario(node):
        report = (LOST_SIGNS * 4096)[:48_000]
        stream = HEAD + encode_chunk(EVENT + END) + encode_chunk(
            f": Endpoint-Load-Metrics: TEXT {report}\n\n".encode()
        ) + b"0\r\n\r\n"  # fmt: skip
        head_report = STREAM.replace(
            b"\r\n", b"\r\nendpoint-load-metrics: TEXT %b\r\n" % report[:15_000].encode(), 1
        )
        node.engines["w1"].scripts = [[stream], [head_report], [STREAM]]
        started_at = time.perf_counter()
        statuses = [(await exchange(node.address, chat(100, trace=f"n{n}")))[0] for n in range(4)]
        return statuses, time.perf_counter() - started_at

    statuses, took = run_with_node(scenario, rd1=Engine([PREFILLED]), w1=Engine([STREAM]))
    assert statuses == [200] * 4 and took < 1


def test_load_reports_mean_the_same_as_before():
    """The pattern that was replaced is the measure."""
    find_pairs = re.compile(r"([a-z0-9_]+)[=:]([^,\s]+)").findall
    rng = random.Random(2)
    texts = ["".join(rng.choices("x1q_=:,. A-", k=rng.randrange(1, 20))) for _ in range(20_000)]
    assert [engines._find_pairs(text) for text in texts] == [find_pairs(text) for text in texts]
    report = engines.parse_load_report(": Endpoint-Load-Metrics: TEXT inflight=7, queue:2, util=0.61")
    assert report == LoadReport(in_flight=7, queued=2, slots_used=0.61)


def test_a_report_of_the_greatest_length_is_read_and_a_longer_one_is_not():
    text = "rif=3," + "y=1," * (engines.MAX_REPORT_BYTES // 4)
    assert engines.parse_load_report(text[: engines.MAX_REPORT_BYTES]) == LoadReport(in_flight=3)
    assert engines.parse_load_report(text) is None


def feed_in_pieces(feed, length, piece=200):
    for _ in range(0, length, piece):
        feed(b"x" * piece)


def started_line_parser():
    parser = LineParser(1 << 30)
    parser.answer.feed(b"HTTP/1.1 200 OK\r\n\r\n")
    return parser


def started_event_stream():
    stream = engines.EventStream()
    stream.feed(b'data: {"x": "')
    return stream


@pytest.mark.parametrize(
    ("make", "length"),
    [(started_line_parser, 1 << 21), (started_event_stream, 200_000), (codec.EventStream, 1 << 19)],
)
def test_a_message_without_an_end_costs_as_much_by_the_byte_however_long_it_gets(make, length):
    """Each piece was joined to all that had come before it: 9.4 s for a line of 4 MiB in pieces."""

    def cost(part):
        return min(seconds(lambda: feed_in_pieces(make().feed, part)) for _ in range(3))

    assert cost(length) < 24 * cost(length // 8)


def test_an_update_on_many_lines_is_parsed_once(monkeypatch):
    """Each line that ended with a brace was taken for the end: 0.5 s for 1,600 engines, 2 s for 3,200."""
    text = list_update(*(target(f"rd{n}", 'a}"]:1') for n in range(300))).replace(b"}, {", b"}\n,{")
    calls, parse = [], discovery.parse_update
    monkeypatch.setattr(discovery, "parse_update", lambda data: calls.append(data) or parse(data))
    assembler = discovery.UpdateAssembler()
    updates = [assembler.feed(line) for line in text.split(b"\n")]
    assert len(updates[-1].entries) == 300 and calls == [text]


@pytest.mark.parametrize("value", ["{", "}", "]", '"', "\\", '\\"', '{"a": [', "\\\\"])
def test_brackets_in_strings_do_not_end_an_update(value):
    assembler = discovery.UpdateAssembler()
    text = list_update(target("rd", "1.2.3.4:5", note=value, az=value)).replace(b"[{", b"[\n{")
    *early, update = [assembler.feed(line) for line in text.split(b"\n")]
    assert early == [None] and [entry.zone for entry, _ in update.entries] == [value]


@pytest.mark.parametrize("pieces", [1, 2, 3, 5, 1000])
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_events_are_the_same_however_they_are_split(pieces, line_end):
    text = (EVENT * 3 + b": a comment\n\n" + EVENT + END).replace(b"\n", line_end)
    whole, in_pieces = codec.EventStream(), codec.EventStream()
    expected = [event for event, _, _ in whole.feed(text)]
    assert len(expected) == 5 and whole.ended
    found = []
    for start in range(0, len(text), pieces):
        plain, rest = in_pieces.split_text_events(text[start : start + pieces])
        found.append(plain + b"".join(event for event, _, _ in in_pieces.feed(rest)))
    assert b"".join(found) == b"".join(expected) and in_pieces.ended
