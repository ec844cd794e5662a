"""How long a begun stream may bring no event (review/7): as long as a client may be left waiting for one."""

import asyncio
import contextlib
import socket
import time

import pytest
from onenode import END, EVENT, HANG, HEAD, Client, Engine, chat, encode_chunk, run_with_node

from lifthead.engines.path_delay import PathDelay
from lifthead.node import stream_silence
from lifthead.node.stream_silence import STREAM_SILENCE_TIMEOUT, StreamSilence, silence_timeout

MAX_WAIT_S = 5.0  # in which a client is owed the next event or the end of its connection
HELD_UP_S = 0.15  # for which a router may be held up
LONG_PAUSE_S = 4.7
SHORT_TIMEOUT_S = 0.3


async def last_event_and_end(client):
    """Reads a stream to the end of its connection. Returns when its last event came and when it ended."""
    last_at = time.monotonic()
    with contextlib.suppress(OSError):
        while data := await client.reader.read(65_536):
            if b"data: " in data:
                last_at = time.monotonic()
    return last_at, time.monotonic()


@pytest.mark.parametrize("request_class", ["ask", "pay"])
def test_a_stream_whose_engine_pauses_for_less_than_a_client_may_wait_is_not_cut(request_class):
    """Guards against streams that were cut 3.8 to 4.3 s after an event although their engines went on."""
    event = encode_chunk(EVENT)
    script = [HEAD + event, 0.3, event, LONG_PAUSE_S, event + encode_chunk(END) + b"0\r\n\r\n"]

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(100, request_class))
            return await client.answer(9.0)

    status, _, body, whole = run_with_node(scenario, w1=Engine(script))
    assert (status, body.count(EVENT), whole) == (200, 3, True)


@pytest.mark.parametrize(
    "last",
    [
        [HANG],
        [encode_chunk(EVENT[:20]), HANG],
        [encode_chunk(END), HANG],
        [encode_chunk(b": x\n\n"), 0.5] * 20,
    ],
    ids=["silence", "half an event", "no last chunk", "comments"],
)
def test_a_client_of_a_stream_that_stays_silent_is_not_left_waiting(last):
    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(100))
            last_at, ended_at = await last_event_and_end(client)
            return ended_at - last_at

    waited = run_with_node(scenario, w1=Engine([HEAD + encode_chunk(EVENT), 0.4, encode_chunk(EVENT), *last]))
    assert LONG_PAUSE_S < waited < MAX_WAIT_S


def test_a_router_that_is_held_up_cuts_in_time():
    assert LONG_PAUSE_S < stream_silence.STREAM_SILENCE_TIMEOUT <= MAX_WAIT_S - HELD_UP_S


@pytest.mark.parametrize("events", [1, 2, 9])
def test_the_timeout_counts_from_the_last_event(events, monkeypatch):
    monkeypatch.setattr(stream_silence, "STREAM_SILENCE_TIMEOUT", SHORT_TIMEOUT_S)

    async def scenario():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.01) as timeout:
                silence = StreamSilence(timeout)
                for _ in range(events):
                    silence.on_event()
                    last_at = time.monotonic()
                    await asyncio.sleep(0.1)
                await asyncio.sleep(10)
        return time.monotonic() - last_at

    assert SHORT_TIMEOUT_S <= asyncio.run(scenario()) < SHORT_TIMEOUT_S + 0.1


def test_a_suspended_clock_starts_again_with_the_next_event(monkeypatch):
    monkeypatch.setattr(stream_silence, "STREAM_SILENCE_TIMEOUT", 0.1)

    async def scenario():
        async with asyncio.timeout(10) as timeout:
            silence = StreamSilence(timeout)
            silence.on_event()
            silence.suspend()
            await asyncio.sleep(0.3)
            silence.on_event()
            await asyncio.sleep(10)

    with pytest.raises(TimeoutError):
        asyncio.run(scenario())


def test_an_event_that_came_while_the_process_was_held_up_counts(monkeypatch):
    monkeypatch.setattr(stream_silence, "STREAM_SILENCE_TIMEOUT", SHORT_TIMEOUT_S)

    async def scenario():
        loop, (ours, theirs) = asyncio.get_running_loop(), socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=ours)

        def held_up():
            theirs.send(b"x")
            time.sleep(HELD_UP_S)

        async with asyncio.timeout(10) as timeout:
            silence = StreamSilence(timeout)
            silence.on_event()
            loop.call_later(SHORT_TIMEOUT_S - HELD_UP_S / 2, held_up)
            data = await reader.read(1)
            silence.on_event()
            await asyncio.sleep(SHORT_TIMEOUT_S / 2)
            silence.suspend()
        writer.close()
        theirs.close()
        return data

    assert asyncio.run(scenario()) == b"x"


@pytest.mark.parametrize(
    "last, expected",
    [
        ([HANG], ["events=2 ", "end_mark=no", "reason='no event for too long'"]),
        ([encode_chunk(END), HANG], ["events=4 ", "end_mark=yes", "timer_late_ms="]),
        ([b"zz\r\n"], ["events=2 ", "last_event_ms=", "not HTTP: a chunk's size is b'zz"]),
    ],
    ids=["silence", "no last chunk", "noise"],
)
def test_each_broken_stream_is_logged_with_what_it_brought(last, expected, monkeypatch):
    """The records of an incident could not answer when a lost stream had its last event, or why it ended."""
    monkeypatch.setattr(stream_silence, "STREAM_SILENCE_TIMEOUT", SHORT_TIMEOUT_S)

    async def scenario(node):
        for trace in ("a1", "a2"):
            async with Client(node.address) as client:
                await client.send(chat(100, trace=trace))
                await last_event_and_end(client)
        return [str(each) for trace in ("a1", "a2") for each in node.host.events.for_request(trace)]

    script = [HEAD + encode_chunk(EVENT), 0.1, encode_chunk(EVENT), 0.05, *last]
    lines = run_with_node(scenario, w1=Engine(script, script))
    broken = [line for line in lines if line.startswith("stream_broken")]
    assert len(broken) == 2
    assert all(word in line for word in expected for line in broken)


@pytest.mark.parametrize(
    ("connects", "answers", "expected"),
    [([], [], 0.0), ([0.001], [0.05, 0.3], 0.05), ([0.04, 1.0], [], 0.04), ([0.01] * 20, [0.002], 0.01)],
)
def test_the_shortest_round_trip_of_each_kind_bounds_the_path(connects, answers, expected):
    path_delay = PathDelay()
    for took in connects:
        path_delay.add_connect(took)
    for took in answers:
        path_delay.add_answer(took)
    assert path_delay.current == expected


def test_the_timeout_leaves_room_for_the_path_and_for_a_pause_of_a_running_engine():
    assert silence_timeout(0.0) == STREAM_SILENCE_TIMEOUT == MAX_WAIT_S - HELD_UP_S
    assert silence_timeout(0.1) + 0.1 == pytest.approx(MAX_WAIT_S - HELD_UP_S)
    assert silence_timeout(1.0) == pytest.approx(LONG_PAUSE_S)
