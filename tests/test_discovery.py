"""A change of the list counts as told 6 s after discovery had it and could be reached, whatever became of
earlier calls. So from any state that a call may be left in, the way back to a current list is shorter."""

import asyncio
import contextlib
import json
import socket
import struct
from collections import Counter

import pytest
from onenode import encode_chunk, news, target

from lifthead.node import discovery
from lifthead.node.discovery import Follower

TOLD_BY = 6.0  # seconds, as the platform's operators say
BOUND = 4.2  # ... and what is asserted: a margin of nearly a third
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
OLD, NEW = (news(target("rd", "127.0.0.1:1"), rev=rev) + b"\n" for rev in (43, 44))


async def silent(writer):
    await asyncio.sleep(60)


async def head_without_body(writer):
    writer.write(HEAD)
    await asyncio.sleep(60)


async def half_a_head(writer):
    writer.write(HEAD[:20])
    await asyncio.sleep(60)


async def half_a_line(writer):
    writer.write(HEAD + encode_chunk(NEW[:30]))
    await asyncio.sleep(60)


async def a_line_without_end(writer):
    writer.write(HEAD)
    for byte in NEW * 100:
        writer.write(encode_chunk(bytes([byte]) if byte != 10 else b" "))
        await asyncio.sleep(0.05)


async def an_object_without_end(writer):
    writer.write(HEAD + encode_chunk(b'{"rev": 44, "all": true, "targets": [\n'))
    while True:
        writer.write(encode_chunk(b"  {\n"))
        await asyncio.sleep(0.05)


async def a_head_without_end(writer):
    writer.write(HEAD[:-2])
    while True:
        writer.write(b"x: y\r\n")
        await asyncio.sleep(0.1)


async def a_watch_that_falls_silent(writer):
    writer.write(HEAD + encode_chunk(OLD) + encode_chunk(b"\n"))
    await asyncio.sleep(60)


async def reset(writer):
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def a_watch_that_is_reset(writer):
    writer.write(HEAD + encode_chunk(OLD))
    await asyncio.sleep(0.1)
    await reset(writer)


async def closed(writer):
    writer.write(HEAD + encode_chunk(b"\n") + b"0\r\n\r\n")


async def another_status(writer):
    writer.write(b"HTTP/1.1 503 no\r\ncontent-length: 0\r\n\r\n")


async def a_status_and_silence(writer):
    writer.write(b"HTTP/1.1 500 Oh\r\ncontent-length: 9\r\n\r\n")
    await asyncio.sleep(60)


async def no_http(writer):
    writer.write(b"\x00\x17noise\r\n\r\n" * 9)


async def a_list_that_cannot_be_read(writer):
    writer.write(HEAD + encode_chunk(b'{"rev": "x", "all": true, "targets": []}\n'))
    await asyncio.sleep(60)


async def a_list_without_targets(writer):
    writer.write(HEAD + encode_chunk(b"\n") + encode_chunk(b'{"rev": 44}\n'))
    await asyncio.sleep(60)


REFUSED = "refused"
STATES = {
    REFUSED: REFUSED,
    **{
        state.__name__: state
        for state in (
            silent, head_without_body, half_a_head, half_a_line, a_line_without_end,
            an_object_without_end, a_head_without_end, a_watch_that_falls_silent, reset,
            a_watch_that_is_reset, closed, another_status, a_status_and_silence, no_http,
            a_list_that_cannot_be_read, a_list_without_targets,
        )
    },
}  # fmt: skip
SHORT = {"refused", "reset", "closed", "another_status", "no_http", "a_list_that_cannot_be_read",
         "a_list_without_targets", "a_watch_that_is_reset"}  # fmt: skip


async def way_back(state):
    """Seconds from discovery's return, a moment after a last bad call has begun, to its list in hand."""
    loop, bad, calls, heard = asyncio.get_running_loop(), True, 0, asyncio.Event()
    well_at = 0.0

    async def serve(reader, writer):
        nonlocal bad, calls, well_at
        was_bad, calls = bad, calls + 1
        if was_bad and calls >= most:
            bad, well_at = False, loop.time() + 0.02
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            if was_bad:
                await STATES[state](writer)
            else:
                await asyncio.sleep(max(well_at - loop.time(), 0))
                writer.write(HEAD + encode_chunk(NEW))
                await reader.read()
        writer.close()

    most = 8 if state in SHORT else 1  # so that pauses have grown as long as they get
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    follower = Follower(
        listening.getsockname(), 41, lambda told: told.version == 44 and heard.set(), seed=len(state)
    )
    async with asyncio.timeout(30):
        task = asyncio.create_task(follower.follow())
        if state == REFUSED:
            await asyncio.sleep(2.5)
            bad, well_at = False, loop.time()
        server = await asyncio.start_server(serve, sock=listening)
        await heard.wait()
    took = loop.time() - well_at
    task.cancel()
    server.close()
    return took


@pytest.fixture(scope="module")
def ways_back():
    async def play():
        return dict(zip(STATES, await asyncio.gather(*map(way_back, STATES)), strict=True))

    return asyncio.run(play())


@pytest.mark.parametrize("state", STATES)
def test_the_way_back_to_a_current_list_is_bounded_from_any_state(ways_back, state):
    assert 0 <= ways_back[state] < BOUND < TOLD_BY


def test_the_longest_way_back_follows_from_the_figures():
    """What a stuck call may take, then the longest pause, then a connection: whatever is changed in them."""
    assert discovery.SILENT_FOR + max(discovery.AGAIN_WITHIN) + discovery.CONNECT_WITHIN < BOUND


class Jumping(asyncio.SelectorEventLoop):
    """A loop on a clock of its own, which jumps to the next timer where nothing else is to be done."""

    def __init__(self):
        super().__init__()
        self.at, select = 0.0, self._selector.select

        def jump(timeout):
            self.at += max(timeout or 0.0, 0.0)
            return select(0)

        self._selector.select = jump

    def time(self):
        return self.at


def follow_all(monkeypatch, watch, most, seconds, shared=False):
    """So many followers on one jumping clock for so long, `watch` standing in for their calls."""

    async def play():
        followers = [Follower(("127.0.0.1", 1), 0, lambda told: None, seed, shared) for seed in range(most)]
        tasks = [asyncio.create_task(follower.follow()) for follower in followers]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    monkeypatch.setattr(Follower, "_watch", watch)
    with asyncio.Runner(loop_factory=Jumping) as runner:
        runner.run(play())


def test_processes_that_lost_discovery_in_one_instant_do_not_ask_in_one_for_ever(monkeypatch):
    """Without chance in the pauses, all of a fleet's calls fall into the same instants from then on."""
    calls, most = [], 200

    async def refused(self, address):
        calls.append(asyncio.get_running_loop().time())
        raise ConnectionRefusedError

    follow_all(monkeypatch, refused, most, 5.0)
    late = Counter(int(at * 50) for at in calls if at >= 2.0)
    assert max(late.values()) < most / 5 and len(late) == 150  # of 20 ms each: none is empty, none is full
    assert len([at for at in calls if at >= 4.0]) < most * 10  # and it is no flood


@pytest.mark.parametrize("most", [24, 200])
def test_a_shared_discovery_that_turns_calls_away_is_left_to_answer(most, monkeypatch):
    """A call that is turned away costs it as much as another. It takes one from each process in 4.5 s, and
    while it is behind by 2 s it turns away: calls that come again at once kept most out for a whole day."""
    answered, behind, takes = {}, [0.0, 0.0], 4.5 / most

    async def watched(self, address):
        at = asyncio.get_running_loop().time()
        behind[:] = [max(behind[0] - (at - behind[1]), 0.0) + takes, at]
        if behind[0] > 2.0:
            raise discovery.TurnedAwayError("status 503")
        answered[self] = at
        await asyncio.sleep(1000)

    follow_all(monkeypatch, watched, most, 40.0, shared=True)
    assert len(answered) == most and discovery.TURNED_AWAY_FOR[1] < TOLD_BY - discovery.CONNECT_WITHIN


def test_an_odd_entry_costs_only_itself_whatever_its_address():
    """A port past the last one broke off the task that connects, and with it the process."""
    odd = ["1.2.3.4:70000", "x" * 70 + ":1", "a b:1", "[::1]:5", ":4"]
    targets = [target(f"e{n}", at) for n, at in enumerate(odd)] + [target("wr", "a:1")]
    told = discovery.news_of(json.dumps({"rev": 1, "all": True, "targets": targets}).encode())
    found = [(entry.readiness, address) for entry, address in told.entries]
    assert found == [("draining", "")] * len(odd) + [("ready", "a:1")]
