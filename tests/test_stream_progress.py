"""Only events keep a begun stream open: other bytes leave its client waiting as silence does."""

import asyncio
import time

import pytest
from onenode import END, EVENT, HEAD, STREAM, Client, Engine, chat, encode_chunk, exchange, run_with_node

from lifthead.engines import codec
from lifthead.http1 import HttpError
from lifthead.node import engines, stream_silence

SILENCE_TIMEOUT = 0.4  # seconds
ENDS_WITHIN = SILENCE_TIMEOUT + 0.5  # a chunk may be under way
PAUSE = 0.05  # seconds between two pieces of what an engine sends
HUGE_CHUNK = b"%X\r\n" % (3 << 30)
NO_PROGRESS = {  # what comes first, and what then comes again and again
    "comments without an end": (b"", encode_chunk(b": still here\n\n")),
    "empty lines": (b"", encode_chunk(b"\n\n")),
    "an event that never ends": (encode_chunk(b'data: {"choices":[], "x": "'), encode_chunk(b"y" * 100)),
    "a comment that never ends": (encode_chunk(b": "), encode_chunk(b"y" * 100)),
    "chunk sizes that never end": (b"1", b"0"),
    "extensions of a chunk size": (b"5;", b"a=b;"),
    "nothing after the last event": (encode_chunk(END), encode_chunk(b": a report\n\n")),
}
SPOILT = {  # what shows at once that it is no stream
    "a chunk of 3 GB that keeps coming": (HUGE_CHUNK, b"#" * 1000),
    "a chunk of 3 GB, byte by byte": (HUGE_CHUNK, b"#"),
}


@pytest.fixture(autouse=True)
def short_silence_timeout(monkeypatch):
    monkeypatch.setattr(stream_silence, "STREAM_SILENCE_TIMEOUT", SILENCE_TIMEOUT)


def endless(first, again):
    """A script that begins a stream, sends `first`, and then `again` for three seconds."""
    return [HEAD + encode_chunk(EVENT), PAUSE, first, *[again, PAUSE] * 60]


@pytest.mark.parametrize("name", [*NO_PROGRESS, *SPOILT])
def test_a_stream_that_keeps_coming_without_events_ends_for_its_client(name):
    """Guards against review/3: each read of any bytes moved the time limit on, so that the client of a chunk
    that claims 3 GB and keeps coming waited for a minute, and of endless comments for ever."""

    async def scenario(node):
        started_at = time.monotonic()
        status, _, body, whole = await exchange(node.address, chat(100))
        took = time.monotonic() - started_at
        after = await exchange(node.address, chat(100, trace="a2"))
        return status, body.startswith(EVENT), whole, took, after[0]

    status, begun, whole, took, after = run_with_node(
        scenario, w1=Engine(endless(*(NO_PROGRESS | SPOILT)[name]), [STREAM])
    )
    assert (status, begun, whole, after) == (200, True, False, 200)
    if name in SPOILT:
        assert took < SILENCE_TIMEOUT / 2
    else:
        assert SILENCE_TIMEOUT / 2 < took < ENDS_WITHIN


def test_a_slow_stream_of_events_is_not_cut():
    """Events that come at longer intervals than the pieces above, with comments between them."""
    event, comment = encode_chunk(EVENT), encode_chunk(b": still here\n\n")
    script = [HEAD + event, *[0.15, comment, 0.15, event] * 4, encode_chunk(END) + b"0\r\n\r\n"]
    status, _, body, whole = run_with_node(lambda node: exchange(node.address, chat(100)), w1=Engine(script))
    assert (status, body.count(EVENT), whole) == (200, 5, True)


def test_an_event_in_many_pieces_is_not_cut_while_it_comes_in_time():
    halves = [EVENT[start : start + 9] for start in range(0, len(EVENT), 9)]
    pieces = [step for half in halves for step in (encode_chunk(half), 0.02)]
    script = [HEAD + encode_chunk(EVENT), *pieces, encode_chunk(END) + b"0\r\n\r\n"]
    status, _, body, whole = run_with_node(lambda node: exchange(node.address, chat(100)), w1=Engine(script))
    assert (status, body, whole) == (200, EVENT * 2 + END, True)


def test_a_flood_of_comments_ends_while_its_client_reads_slowly():
    """The wait for a slow client suspends the time limit, and must not do so for what is no event."""
    flood = encode_chunk(b": " + b"c" * 60_000 + b"\n\n")

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(100))
            started_at = time.monotonic()
            async with asyncio.timeout(5):
                while await client.reader.read(4096):
                    await asyncio.sleep(0.001)
            return time.monotonic() - started_at

    took = run_with_node(scenario, w1=Engine([HEAD + encode_chunk(EVENT), *[flood] * 2000]))
    assert took < ENDS_WITHIN + 1.0  # and what was buffered on the way is read


def test_comments_before_the_first_event_are_bounded_and_passed_on():
    stream, comment = engines.EventStream(), b": " + b"c" * 1000 + b"\n\n"
    assert [stream.feed(comment) for _ in range(3)] == [b""] * 3
    assert stream.feed(EVENT) == comment * 3 + EVENT and stream.feed(EVENT) == EVENT
    with pytest.raises(HttpError):
        stream = engines.EventStream()
        for _ in range(engines.MAX_CHUNK_BYTES // 1000):
            stream.feed(comment)


@pytest.mark.parametrize("make", [engines.EventStream, codec.EventStream])
def test_events_count_and_comments_do_not(make):
    stream = make()
    counts = []
    for data in (EVENT, b": a comment\n\n", b"\n\n", EVENT[:20], EVENT[20:] + EVENT, b"data: [DONE]\n\n"):
        stream.feed(data)
        counts.append(stream.event_count)
    assert counts == [1, 1, 1, 1, 3, 4]
