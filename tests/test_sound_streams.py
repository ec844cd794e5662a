"""Sound but unusual streams are served whole, unchanged and as they come: the opposite of spoilt ones.

The router is a process of its own; each stream has a router and an engine to itself.
"""

import asyncio
import time

import pytest
from onenode import END, EVENT, HEAD, Client, Engine, chat, encode_chunk
from program import NodeProcess

MAX_LAG_S = 0.3  # by which an event may reach its client after its engine wrote it
LONG_PAUSE_S = 4.6  # of a running engine (review/7)
LAST_CHUNK = b"0\r\n\r\n"
COMMENT = b": a comment\n\n\n\n"
REPORT = b": Endpoint-Load-Metrics: TEXT inflight=7, queue=2\n\n"
KIB_EVENT = EVENT.replace(b"oqvh", b"x" * 950)
MANY, MAX_CHUNK = KIB_EVENT * 400, 256 * 1024
EVENT_END = b"\n\n"


def split(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


def one_chunk(pieces, pause):
    """The steps of a chunk that is written in these pieces."""
    steps = [b"%x\r\n" % sum(map(len, pieces))]
    for piece in pieces:
        steps += [piece, pause]
    return [*steps, b"\r\n"]


def bytewise(data):
    return [bytes([byte]) for byte in data]


FRAMED = encode_chunk(EVENT) + encode_chunk(END) + LAST_CHUNK
SOUND = {  # the steps of the engine behind the head, and the body that they make
    "a chunk of 100 KB that takes 6 s": (
        [*one_chunk([KIB_EVENT] * 100, 0.06), encode_chunk(END) + LAST_CHUNK],
        KIB_EVENT * 100 + END,
    ),
    "an event of 100 KB that takes 3 s": (
        [
            encode_chunk(EVENT),
            *one_chunk(split(EVENT.replace(b"oqvh", b"x" * 100_000), 5_000), 0.15),
            encode_chunk(END) + LAST_CHUNK,
        ],
        EVENT + EVENT.replace(b"oqvh", b"x" * 100_000) + END,
    ),
    "a pause as long as an engine may make": (
        [*[encode_chunk(EVENT), LONG_PAUSE_S] * 2, encode_chunk(END) + LAST_CHUNK],
        EVENT * 2 + END,
    ),
    "an event over two chunks, seconds apart": (
        [
            encode_chunk(EVENT),
            *(encode_chunk(EVENT[:30]), 3.0, encode_chunk(EVENT[30:])),
            encode_chunk(END) + LAST_CHUNK,
        ],
        EVENT * 2 + END,
    ),
    "the end mark seconds before the last chunk": (
        [encode_chunk(EVENT), encode_chunk(END), 3.0, LAST_CHUNK],
        EVENT + END,
    ),
    "every byte alone": (bytewise(FRAMED), EVENT + END),
    "every byte in a chunk": ([*map(encode_chunk, bytewise(EVENT + END)), LAST_CHUNK], EVENT + END),
    "extensions": (
        [
            b'%x;a=b;c="d e"\r\n%b\r\n' % (len(EVENT), EVENT),
            b"%x;z\r\n%b\r\n" % (len(END), END),
            b"0;last\r\n\r\n",
        ],
        EVENT + END,
    ),
    "capital and padded sizes": (
        [
            b"%08X\r\n%b\r\n" % (len(EVENT), EVENT),
            b"%x  \r\n%b\r\n" % (len(EVENT), EVENT),
            b"%020x\r\n%b\r\n" % (len(END), END),
            b"0000\r\n\r\n",
        ],
        EVENT * 2 + END,
    ),
    "trailers": ([encode_chunk(EVENT + END), b"0\r\nx-took: 3\r\nX-Other: a b\r\n\r\n"], EVENT + END),
    "a chunk as large as allowed": (
        [encode_chunk(MANY[:MAX_CHUNK]), encode_chunk(MANY[MAX_CHUNK:] + END), LAST_CHUNK],
        MANY + END,
    ),
    "comments and empty lines between events": (
        [encode_chunk(EVENT + COMMENT + EVENT), encode_chunk(b"\n" + END + REPORT), LAST_CHUNK],
        EVENT + COMMENT + EVENT + b"\n" + END + REPORT,
    ),
    "a report that can't be read, without an empty line": (
        [encode_chunk(EVENT + END + b": Endpoint-Load-Metrics: TEXT q=\xff\xfe,,=\n"), LAST_CHUNK],
        EVENT + END + b": Endpoint-Load-Metrics: TEXT q=\xff\xfe,,=\n",
    ),
    "a second answer right behind": (
        [encode_chunk(EVENT + END) + LAST_CHUNK + HEAD + FRAMED],
        EVENT + END,
    ),
}  # fmt: skip


class TimedEngine(Engine):
    """Notes when it has written the end of each event."""

    def __init__(self, steps):
        self.written_at, self._last_byte = [], b""
        noted = [HEAD]
        for step in steps:
            noted.append(step)
            if isinstance(step, bytes):
                noted.append(lambda _writer, step=step: self._note_events(step))
        super().__init__(noted)

    def _note_events(self, step):
        self.written_at += [time.monotonic()] * (self._last_byte + step).count(EVENT_END)
        self._last_byte = step[-1:]


async def read_timed(client):
    """Returns the raw answer and when the end of each event came."""
    raw, came_at = b"", []
    while not raw.endswith(b"\r\n" + LAST_CHUNK):
        data = await client.reader.read(65_536)
        if not data:
            break
        seam = raw[-1:] + data
        came_at += [time.monotonic()] * seam.count(EVENT_END)
        raw += data
    return raw, came_at


def decode(raw):
    """Returns the status and the body of an answer in chunks, and whether it is whole."""
    head, _, rest = raw.partition(b"\r\n\r\n")
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if size == b"0":
            return int(head.split(b" ")[1]), body, rest == b"\r\n"
        body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
    return int(head.split(b" ")[1]), body, False


async def relay(path, steps):
    engine = TimedEngine(steps)
    async with NodeProcess(path, w1=engine) as node, Client(node.listen) as client:
        await client.send(chat(100, "pay", budget_ms="5000"))
        async with asyncio.timeout(20):
            raw, came_at = await read_timed(client)
    return decode(raw), engine.written_at, came_at


@pytest.fixture(scope="module")
def relayed(tmp_path_factory):
    async def run():
        paths = [tmp_path_factory.mktemp("sound") for _ in SOUND]
        return await asyncio.gather(*map(relay, paths, (steps for steps, _ in SOUND.values())))

    return dict(zip(SOUND, asyncio.run(run()), strict=True))


@pytest.mark.parametrize("name", SOUND)
def test_a_sound_stream_is_served_whole_and_unchanged(name, relayed):
    assert relayed[name][0] == (200, SOUND[name][1], True)


def test_events_of_sound_streams_are_passed_on_as_they_come(relayed):
    late = {}
    for name, (_, written_at, came_at) in relayed.items():
        lags = [came - written for written, came in zip(written_at, came_at, strict=False)]
        if max(lags, default=0.0) > MAX_LAG_S:  # some streams show no event as a whole
            late[name] = max(lags)
    assert late == {}
