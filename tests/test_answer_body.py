"""The framing of answers: what httptools used to decode, and claims that are checked when they come."""

import random

import pytest

from lifthead.answer_body import MAX_SIZE_LINE_BYTES, MAX_TRAILER_BYTES, AnswerBody, BodyError, Part
from lifthead.http1 import AnswerParser, HttpError

LIMIT = 1000  # bytes of a chunk
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
SOUND = {
    "plain": b"5\r\nhello\r\n0\r\n\r\n",
    "capital size": b"A\r\nhellohello\r\n0\r\n\r\n",
    "leading zeros": b"0000000000000000000000005\r\nhello\r\n000\r\n\r\n",
    "white space behind the size": b"5 \t\r\nhello\r\n0  \r\n\r\n",
    "extensions": b'5;a=b;c="d e"\r\nhello\r\n0;x\r\n\r\n',
    "trailers": b"5\r\nhello\r\n0\r\nx-a: b c\r\nY:\r\n\r\n",
    "two chunks": b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "as large as allowed": b"%x\r\n%b\r\n0\r\n\r\n" % (LIMIT, b"h" * LIMIT),
}
SPOILT = {  # and how many bytes show it
    "3 GB": (b"b2d05e00\r\n", 3),
    "one byte too many": (b"%x\r\n" % (LIMIT + 1), 3),
    "no size": (b"\r\n", 1),
    "no digit": (b"g\r\n", 1),
    "a sign": (b"+5\r\n", 1),
    "a prefix": (b"0x5\r\n", 2),
    "an underscore": (b"1_0\r\n", 2),
    "white space before the size": (b" 5\r\n", 1),
    "a control character in an extension": (b"5;\x01", 3),
    "a line feed alone": (b"5\n", 2),
    "a return alone": (b"5\r\r", 3),
    "a size too small": (b"3\r\nhello\r\n", 7),
    "a chunk without its end": (b"5\r\nhello0\r\n", 9),
    "a return alone behind a chunk": (b"5\r\nhello\r0", 10),
    "endless digits": (b"1" * 40, 4),
    "endless zeros": (b"0" * 2 * MAX_SIZE_LINE_BYTES, MAX_SIZE_LINE_BYTES + 1),
    "endless extensions": (b"5" + b";a=b" * MAX_SIZE_LINE_BYTES, MAX_SIZE_LINE_BYTES + 1),
    "a trailer without a name": (b"0\r\n: b\r\n\r\n", 4),
    "a trailer that is none": (b"0\r\nno trailer\r\n\r\n", 6),
    "endless trailers": (b"0\r\n" + b"a: b\r\n" * MAX_TRAILER_BYTES, MAX_TRAILER_BYTES + 4),
}


def parser():
    made = AnswerParser(16_384, LIMIT)
    made.feed(HEAD)
    return made


@pytest.mark.parametrize("size", [1, 2, 3, 7, 4000])
@pytest.mark.parametrize("name", SOUND)
def test_a_sound_body_is_decoded_however_it_is_split(name, size):
    made, data, body = parser(), SOUND[name] + b"HTTP/1.1", b""
    for at in range(0, len(data), size):
        made.feed(data[at : at + size])
        body += made.body()
    assert body.startswith(b"h") and set(body) <= set(b"hello") and made.complete and made.has_surplus
    assert (made.claimed_bytes, made.open_bytes) == (0, 0)


@pytest.mark.parametrize("name", SPOILT)
def test_the_first_byte_that_cannot_belong_is_an_error(name):
    """A claim was checked when it was used up: a client waited behind it."""
    data, shown_by = SPOILT[name]
    made = parser()
    for byte in data[: shown_by - 1]:
        made.feed(bytes([byte]))
    with pytest.raises(HttpError):
        made.feed(data[shown_by - 1 : shown_by])
    with pytest.raises(HttpError):
        parser().feed(data)


def test_what_came_before_a_bad_byte_is_kept():
    made = parser()
    with pytest.raises(HttpError):
        made.feed(b"5\r\nhello\r\nb2d05e00\r\nmore")
    assert made.body() == b"hello" and not made.complete


def test_the_open_chunk_is_known():
    made = parser()
    made.feed(b"64\r\nhello")
    assert (made.claimed_bytes, made.open_bytes) == (100, 5)


@pytest.mark.parametrize(
    ("fields", "body", "expected"),
    [
        (b"content-length: 5\r\n", b"hellox", (b"hello", True, True)),
        (b"content-length: 0\r\n", b"", (b"", True, False)),
        (b"transfer-encoding: gzip, CHUNKED\r\n", b"5\r\nhello\r\n0\r\n\r\n", (b"hello", True, False)),
        (b"transfer-encoding: identity\r\n", b"hello", (b"hello", False, False)),
        (b"", b"hello", (b"hello", False, False)),
    ],
)
def test_the_head_tells_how_a_body_ends(fields, body, expected):
    made = AnswerParser(16_384, LIMIT)
    made.feed(b"HTTP/1.1 200 OK\r\n%b\r\n%b" % (fields, body))
    assert (made.body(), made.complete, made.has_surplus) == expected


def test_a_length_over_the_limit_is_an_error_at_its_head():
    with pytest.raises(HttpError):
        AnswerParser(16_384, LIMIT).feed(b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n")


def test_random_bytes_either_decode_or_are_an_error_and_splits_do_not_matter():
    rng = random.Random(1)
    for _ in range(3000):
        data = bytes(rng.choice(b"0123aF;\r\n x:=") for _ in range(rng.randint(1, 40)))
        assert decoded(data, len(data)) == decoded(data, 1)


def decoded(data, size):
    body = AnswerBody(Part.SIZE_LINE, max_chunk_bytes=LIMIT)
    try:
        for at in range(0, len(data), size):
            body.feed(data[at : at + size])
    except BodyError:
        return "error", b"".join(body.received)
    return body.complete, b"".join(body.received)
