"""Streams that turn bad after their first event: their clients are not left waiting (third staging incident).

The router is a process of its own; engines are scripted in the event loop of the test.
"""

import asyncio
import contextlib
import socket
import time

from loopback import Loopback, body, http
from onenode import END, EVENT, HANG, HEAD, Client, Engine, chat, encode_chunk
from program import NodeProcess

MAX_WAIT_S = 5.0  # in which a client is owed the end of its connection, from the last event of its engine
HELD_UP_S = 0.15  # for which a router may be held up; a timer of its own has to leave that much
AT_ONCE_S = 0.5  # for what shows by itself that the stream is spoilt
GIVE_UP_S = 3.0  # after which the test stops waiting for what should end at once
INTERVAL_S = 0.1  # between what comes again and again
TOLERANCE_S = 0.03  # of a timer and of two processes on one machine

HUGE_CHUNK = b"b2d05e00\r\n"  # 3 GB
DONE = encode_chunk(b"data: [DONE]\n\n")


def again(data, seconds):
    return [data, INTERVAL_S] * int(seconds / INTERVAL_S)


class StreamEngine(Engine):
    """Begins a sound stream, then sends what is given, and notes when it sent its last sound event."""

    def __init__(self, *steps):
        event = encode_chunk(EVENT)
        super().__init__([HEAD + event, 0.1, event, self._note_time, 0.05, *steps])
        self.last_event_at = 0.0

    def _note_time(self, _writer):
        self.last_event_at = time.monotonic()


async def read_to_end(client, within):
    """Reads a stream to the end of the connection. Returns what came and when the end came; None if it did
    not come in time."""
    received = b""
    try:
        async with asyncio.timeout(within):
            with contextlib.suppress(OSError):
                while data := await client.reader.read(65_536):
                    received += data
    except TimeoutError:
        return received, None
    return received, time.monotonic()


async def wait_of_client(path, steps, within):
    """Returns for how long the client of this stream waited after its last sound event; None if it had to
    give up. Fails if the stream ends as if it were whole."""
    engine = StreamEngine(*steps)
    async with NodeProcess(path, w1=engine) as node, Client(node.listen) as client:
        await client.send(chat(100, budget_ms="3000"))
        received, ended_at = await read_to_end(client, within)
    assert received.count(EVENT) >= 2 and not received.endswith(b"0\r\n\r\n")
    return ended_at and ended_at - engine.last_event_at


def waits_of_clients(tmp_path, spoilt, within=GIVE_UP_S):
    """Returns the wait of a client of each spoilt stream, by name; each has a router of its own."""

    async def run():
        paths = [tmp_path / str(number) for number in range(len(spoilt))]
        for path in paths:
            path.mkdir()
        return await asyncio.gather(*map(wait_of_client, paths, spoilt.values(), [within] * len(spoilt)))

    return dict(zip(spoilt, asyncio.run(run()), strict=True))


def waited_too_long(waits, at_most=AT_ONCE_S):
    return {name: wait for name, wait in waits.items() if wait is None or wait > at_most}


def test_a_chunk_that_claims_more_than_it_may_hold_ends_its_stream_at_its_head(tmp_path):
    """A chunk of 3 GB was believed until 256 KiB of it had come: its events started the clock anew."""
    claimed = {
        "events for 0.5 s": [HUGE_CHUNK, *again(EVENT, 0.5), HANG],
        "events, then the end mark": [HUGE_CHUNK, *again(EVENT, 0.9), END, HANG],
        "events without end": [HUGE_CHUNK, *again(EVENT, 2 * GIVE_UP_S)],
        "noise": [HUGE_CHUNK, *again(b"#" * 1000, 2 * GIVE_UP_S)],
        "nothing": [HUGE_CHUNK, HANG],
        "byte by byte": [*[step for byte in HUGE_CHUNK for step in (bytes([byte]), 0.01)], HANG],
        "just over the limit": [b"%x\r\n" % (256 * 1024 + 1), EVENT, HANG],
        "more digits than any size": [b"1" * 40, HANG],
    }
    assert waited_too_long(waits_of_clients(tmp_path, claimed)) == {}


def test_anything_but_a_comment_behind_the_end_mark_ends_its_stream_at_once(tmp_path):
    """Events behind the end mark were passed on, and each of them started the clock anew."""
    behind = {
        "end marks": [encode_chunk(END), *again(DONE, 2 * GIVE_UP_S)],
        "events": [encode_chunk(END), *again(encode_chunk(EVENT), 2 * GIVE_UP_S)],
        "an event in the same chunk": [encode_chunk(END + EVENT), HANG],
        "the beginning of an event": [encode_chunk(END), encode_chunk(EVENT[:20]), HANG],
        "a comment, then an event": [encode_chunk(END + b": a report\n\n"), encode_chunk(EVENT), HANG],
    }
    assert waited_too_long(waits_of_clients(tmp_path, behind)) == {}


def test_bytes_that_can_begin_no_event_end_their_stream_at_once(tmp_path):
    """Noise in a sound chunk waited for the end of the event that it can't be."""
    noise = {
        "noise": [encode_chunk(b"#" * 50), HANG],
        "noise in a line": [encode_chunk(b"#" * 50 + b"\n"), HANG],
        "noise behind half an event": [encode_chunk(EVENT[:-1]), encode_chunk(b"#"), HANG],
        "no JSON": [encode_chunk(b"data: #"), HANG],
        "a chunk that claims a little too much": [b"%x\r\n%b\r\n" % (len(EVENT) + 9, EVENT), HANG],
    }
    assert waited_too_long(waits_of_clients(tmp_path, noise)) == {}


class LatePath:
    """A connection on which everything takes a while, both ways."""

    def __init__(self, engine, delay):
        self._engine, self._delay = engine, delay

    async def connection(self, reader, writer):
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(self._engine.connection, "127.0.0.1", 0)
        far_reader, far_writer = await asyncio.open_connection(*server.sockets[0].getsockname())

        async def carry(source, target):
            with contextlib.suppress(OSError):
                while data := await source.read(65_536):
                    loop.call_later(self._delay, target.write, data)
            loop.call_later(self._delay, target.close)

        await asyncio.gather(carry(reader, far_writer), carry(far_reader, writer))
        server.close()


def test_a_path_that_holds_events_back_does_not_leave_a_client_waiting(tmp_path):
    """The clock of a silent stream began when its last event arrived, and not when its engine wrote it."""
    delay = 0.04
    engine = StreamEngine(HANG)
    stream = [HEAD + encode_chunk(EVENT + END) + b"0\r\n\r\n"]
    engine.scripts = [stream, stream, *engine.scripts]

    async def run():
        async with NodeProcess(tmp_path, w1=LatePath(engine, delay)) as node:
            for number in range(2):  # the router can measure the path
                async with Client(node.listen) as client:
                    await client.send(chat(100, trace=f"warm{number}"))
                    assert (await client.answer())[0] == 200
                await asyncio.sleep(0.1)
            async with Client(node.listen) as client:
                await client.send(chat(100))
                _, ended_at = await read_to_end(client, MAX_WAIT_S + 2)
        return ended_at - engine.last_event_at

    assert asyncio.run(run()) < MAX_WAIT_S - HELD_UP_S + TOLERANCE_S


async def connect_with_small_buffer(address):
    """Returns a client whose system takes few bytes that it does not read."""
    host, _, port = address.rpartition(":")
    connected = socket.socket()
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connected.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connected, (host, int(port)))
    client = Client(address)
    client.reader, client.writer = await asyncio.open_connection(sock=connected)
    return client


def test_a_client_that_reads_slowly_does_not_keep_a_silent_stream_open(tmp_path):
    """The clock of a silent stream began anew when a slow client had room again."""
    large_event, not_reading = EVENT.replace(b"oqvh", b"x" * 12_000), 1.5
    engine = StreamEngine(encode_chunk(large_event) * 5)  # more than the router holds for a client
    engine.scripts[0] += [engine._note_time, HANG]

    async def run():
        async with NodeProcess(tmp_path, w1=engine) as node:
            client = await connect_with_small_buffer(node.listen)
            client.writer.transport.pause_reading()
            await client.send(chat(100))
            await asyncio.sleep(not_reading)
            client.writer.transport.resume_reading()
            received, ended_at = await read_to_end(client, MAX_WAIT_S + 2)
            client.writer.close()
        return received, ended_at - engine.last_event_at

    received, wait = asyncio.run(run())
    assert received.count(b"data: ") == 7 and received.rstrip().endswith(large_event.rstrip())
    assert MAX_WAIT_S - 2 * HELD_UP_S < wait < MAX_WAIT_S - HELD_UP_S + 0.1


def test_a_chunk_that_claims_more_than_it_may_hold_ends_its_stream_at_the_daemon(tmp_path):
    """The daemon believed a chunk of up to 1 GiB, and each event in it started the clock anew."""
    event = b'data: {"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}\n\n'

    async def engine(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + encode_chunk(event) + HUGE_CHUNK)
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(event)
                await writer.drain()
                await asyncio.sleep(INTERVAL_S)

    async def run():
        loopback = Loopback(tmp_path, engines=(), handlers={"wr": engine})
        async with loopback, Client(loopback.address) as client:
            await client.send(http(body(stream=True)))
            started_at = time.monotonic()
            _, ended_at = await read_to_end(client, GIVE_UP_S)
        return ended_at and ended_at - started_at

    wait = asyncio.run(run())
    assert wait is not None and wait < AT_ONCE_S * 4  # the daemon first looks for another engine
