import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lifthead.engines import codec
from lifthead.engines.codec import NOT_RUN, OUTCOMES, EventStream, Observation, ProtocolError
from lifthead.http1 import AnswerParser, HttpError, Message, RequestParser
from lifthead.interface import AttemptOutcome

WORDS = ["fuel ", "não ", "a\n\nb", "data: x", "«ok» "]


def event(word=None, finish=None, **fields):
    delta = {} if word is None else {"content": word}
    return (
        b"data: "
        + json.dumps({"choices": [{"index": 0, "delta": delta, "finish_reason": finish}], **fields}).encode()
    )


STREAM = b"".join(
    part + b"\n\n"
    for part in [
        b": a heartbeat",
        event(""),
        *(event(word) for word in WORDS),
        event(None, "stop"),
        b'data: {"choices": [], "usage": {"prompt_tokens": 3, "completion_tokens": 5}}',
        b"data: [DONE]",
    ]
)


@given(st.lists(st.integers(0, len(STREAM)), max_size=12), st.booleans())
def test_events_are_whole_wherever_the_chunks_end(cuts, crlf):
    events, parsed = EventStream(), []
    stream = STREAM.replace(b"\n", b"\r\n") if crlf else STREAM
    borders = sorted({0, *cuts, len(stream)})
    for start, end in zip(borders, borders[1:], strict=False):
        parsed += events.feed(stream[start:end])
    texts = [json.loads(raw[5:])["choices"][0]["delta"].get("content") for raw, text, _ in parsed if text]
    assert texts == [*WORDS, None] and events.ended and events.usage.completion_tokens == 5


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_relaying_text_events_unparsed_gives_the_same_bytes(cuts):
    relaying, parsing, relayed, parsed = EventStream(), EventStream(), [], []
    borders = sorted({0, *cuts, len(STREAM)})
    for start, end in zip(borders, borders[1:], strict=False):
        data = STREAM[start:end]
        whole, rest = relaying.split_text_events(data)
        relayed += [whole, *(event for event, _, _ in relaying.feed(rest))]
        parsed += [event for event, _, _ in parsing.feed(data)]
    assert b"".join(relayed) == b"".join(parsed) and relaying.ended


@pytest.mark.parametrize(
    "data",
    [
        b"data: {\n\n",
        b"data: 5\n\n",
        b'data: {"error": {"message": "x"}}\n\n',
        b"x" * (EventStream.MAX_EVENT_BYTES + 1),
        b'data: "\xff"\n\n',
    ],
)
def test_a_malformed_stream_is_a_protocol_error(data):
    with pytest.raises(ProtocolError):
        EventStream().feed(data)


@pytest.mark.parametrize(
    ("status", "mark", "observation"),
    [
        (503, "1", Observation.TURNED_AWAY),
        (429, "1", Observation.TURNED_AWAY),
        (503, "", Observation.REFUSED_UNMARKED),
        (500, "1", Observation.REFUSED_UNMARKED),
        (409, "no-state", Observation.STATE_GONE),
        (400, "", Observation.REFUSED_UNMARKED),
    ],
)
def test_what_an_error_answer_proves(status, mark, observation):
    assert (
        codec.error_observation(Message(status=status, headers={NOT_RUN: mark} if mark else {}))
        is observation
    )


def test_an_observation_proves_not_run_only_where_that_is_certain():
    proven = {
        observation
        for observation, (outcome, _) in OUTCOMES.items()
        if outcome in (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT)
    }
    assert proven == {
        Observation.NO_CONNECTION,
        Observation.STALE,
        Observation.TURNED_AWAY,
        Observation.STATE_GONE,
    }
    assert set(OUTCOMES) == set(Observation)


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (
            'JSON {"mem_utilization": 0.5, "named_metrics": {"num_requests_waiting": 3,'
            ' "num_requests_running": 2}}',
            (5, 3, None, 0.5, None),
        ),
        (
            "TEXT application_utilization=0.25, named_metrics.prompt_tokens_waiting=1500",
            (None, None, 0.25, None, 1.5),
        ),
        ('JSON {"mem_utilization": -1, "application_utilization": 0.5}', (None, None, 0.5, None, None)),
        ("TEXT mem_utilization=nan", (None,) * 5),
    ],
)
def test_load_reports(header, expected):
    load = codec.parse_load_report({"endpoint-load-metrics": header})
    assert (
        load.in_flight,
        load.queued,
        load.slots_used,
        load.memory_used,
        load.prefill_backlog_thousands,
    ) == expected


@pytest.mark.parametrize(
    "header", ["", "JSON {", "JSON 5", "TEXT x", "TEXT mem_utilization=", "BIN xx", "JSON"]
)
def test_a_malformed_load_report_is_none(header):
    assert codec.parse_load_report({"endpoint-load-metrics": header}) is None


@given(st.binary(max_size=200))
def test_malformed_bytes_raise_nothing_but_protocol_errors(data):
    for parse in (EventStream().feed, codec.parse_prefill_answer, codec.parse_list_update):
        with contextlib.suppress(ProtocolError):
            parse(data)
    codec.parse_load_report({"endpoint-load-metrics": "JSON " + data.decode("latin-1")})
    codec.parse_load_report({"endpoint-load-metrics": "TEXT " + data.decode("latin-1")})


@given(st.binary(max_size=400))
def test_malformed_bytes_raise_nothing_but_http_errors(data):
    for parser in (RequestParser(100, 100), AnswerParser()):
        try:
            parser.feed(data)
        except HttpError as problem:
            assert 400 <= problem.status < 600


@given(st.lists(st.integers(0, 80), max_size=6))
def test_requests_are_whole_wherever_the_chunks_end(cuts):
    data = b"POST /x HTTP/1.1\r\nA: 1\r\nA: 2\r\nContent-Length: 3\r\n\r\nabcGET /y HTTP/1.1\r\n\r\n"
    parser, borders = RequestParser(1000, 1000), sorted({0, *cuts, len(data)})
    for start, end in zip(borders, borders[1:], strict=False):
        parser.feed(data[start:end])
    assert [(m.method, m.path, m.body) for m in parser.requests] == [
        ("POST", "/x", b"abc"),
        ("GET", "/y", b""),
    ]
    assert parser.requests[0].headers["a"] == "1, 2"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nA: " + b"x" * 2000, 431),
        (b"GET /" + b"x" * 2000, 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + b"x" * 2000 + b"\r\n", 413),
        (b"\x00\x01\x02", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", 400),
    ],
    ids=range(7),
)
def test_limits_on_the_size_and_form_of_a_request(data, status):
    parser = RequestParser(1000, 1000)
    with pytest.raises(HttpError) as problem:
        for at in range(0, len(data), 64):
            parser.feed(data[at : at + 64])
    assert problem.value.status == status
