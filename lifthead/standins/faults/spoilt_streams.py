"""Streams that a stand-in engine spoils after some sound events, as the platform says that engines may.

The connection stays open behind the spoil, so it is the router that has to end the client's stream.
"""

import random
from dataclasses import dataclass

HUGE_SIZE = b"b2d05e00\r\n"  # of a chunk: 3 GB
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"more"},"finish_reason":null}]}\n\n'
END_MARK = b"data: [DONE]\n\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass(frozen=True, slots=True)
class Spoil:
    """What an engine sends in place of the rest of a stream: `first`, then `again` at intervals, for a number
    of times."""

    first: bytes
    again: bytes = b""
    times: int = 0


FOR_EVER = 400  # times; longer than any client waits
INTERVAL = 0.1  # seconds between two times

SPOILS = {
    "noise": Spoil(b"\x00\xff noise \r\n" * 20),
    "size_unreadable": Spoil(b"zz\r\n" + EVENT),
    "size_too_small": Spoil(b"%x\r\n%b\r\n" % (len(EVENT) - 9, EVENT)),
    "size_too_large": Spoil(b"%x\r\n%b\r\n" % (len(EVENT) + 9, EVENT), chunk(EVENT), FOR_EVER),
    "size_without_end": Spoil(b"1", b"0", FOR_EVER),
    "extension_without_end": Spoil(b"5;", b"a=b;", FOR_EVER),
    "huge_chunk_of_noise": Spoil(HUGE_SIZE, b"#" * 500, FOR_EVER),
    "huge_chunk_of_events": Spoil(HUGE_SIZE, EVENT, FOR_EVER),
    "huge_chunk_of_few_events": Spoil(HUGE_SIZE, EVENT, 18),
    "huge_chunk_to_the_end_mark": Spoil(HUGE_SIZE + EVENT + END_MARK),
    "end_marks": Spoil(chunk(END_MARK), chunk(END_MARK), FOR_EVER),
    "events_behind_the_end_mark": Spoil(chunk(END_MARK), chunk(EVENT), FOR_EVER),
    "comments": Spoil(chunk(b": still here\n\n"), chunk(b": still here\n\n"), FOR_EVER),
    "half_an_event": Spoil(chunk(EVENT[:40])),
    "half_an_event_goes_on": Spoil(chunk(EVENT[:50]), chunk(b"y"), FOR_EVER),
    "no_event": Spoil(chunk(b"noise in a sound chunk\n\n")),
    "no_json": Spoil(chunk(b"data: {noise}\n\n")),
    "no_last_chunk": Spoil(chunk(END_MARK)),
    "silence": Spoil(b""),
}


def draw_spoil(rng: random.Random, share: float) -> str:
    """Draws how a stream is spoilt; `share` of them are. Empty if it is sound."""
    return rng.choice(list(SPOILS)) if rng.random() < share else ""
