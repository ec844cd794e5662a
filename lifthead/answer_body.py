"""Decodes the body of an HTTP/1.1 answer as its bytes come: in chunks, of a stated length, or up to the end
of the connection (RFC 9112, sections 6 and 7).

What a peer claims is checked when the claim comes: a chunk or a body that is to be larger than allowed is an
error at its size, and a byte that can't belong is an error at that byte. Standard library only.
"""

import re
from enum import Enum

MAX_SIZE_LINE_BYTES = 4_096  # of a chunk's size and its extensions
MAX_TRAILER_BYTES = 16_384
MAX_SIZE_DIGITS = 15  # significant hexadecimal digits, so that a size is a small integer

HEX_DIGITS = b"0123456789abcdefABCDEF"
MAX_PLAIN_SIZE = 10  # bytes of a line that holds a size alone
# Sizes may have leading zeros, white space behind them and extensions.
_match_size_line = re.compile(
    rb"0*([0-9a-fA-F]{0,%d})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?" % MAX_SIZE_DIGITS
).fullmatch
_match_trailer = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*").fullmatch
_match_trailer_beginning = re.compile(
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+(?::[\t\x20-\x7e\x80-\xff]*)?)?\r?"
).fullmatch
CRLF = b"\r\n"


class BodyError(ValueError):
    """The bytes break the protocol, or claim more than is allowed."""


class Part(Enum):
    """What the next byte of a body belongs to."""

    SIZE_LINE = "the size of a chunk"
    CHUNK = "a chunk"
    CHUNK_END = "the end of a chunk"
    TRAILERS = "the trailers"
    CONTENT = "a body of known length"
    REST = "a body that ends with the connection"
    NOTHING = "nothing: the body is complete"


_SIZE_LINE, _NOTHING = Part.SIZE_LINE, Part.NOTHING  # looked up once: they are asked for with each chunk

# What may follow what. A chunk of size 0 is the last one and has no data.
FOLLOWED_BY = {
    Part.SIZE_LINE: (Part.CHUNK, Part.TRAILERS),
    Part.CHUNK: (Part.CHUNK_END,),
    Part.CHUNK_END: (Part.SIZE_LINE,),
    Part.TRAILERS: (Part.NOTHING,),
    Part.CONTENT: (Part.NOTHING,),
    Part.REST: (),
    Part.NOTHING: (),
}


class AnswerBody:
    """The body of one answer. `max_chunk_bytes`: that a chunk, or a body of stated length, may hold.

    `received`: the decoded bytes that the caller has not taken yet."""

    def __init__(self, part: Part, length: int = 0, max_chunk_bytes: int = 1 << 30) -> None:
        """`part`: what comes first: SIZE_LINE, CONTENT (of `length` bytes), REST or NOTHING. Raises BodyError
        if the length is over the limit."""
        self.received: list[bytes] = []
        self._max_chunk_bytes = max_chunk_bytes
        self._part = part
        self._claimed = self._left = 0  # bytes of the open chunk or the body, and how many are still to come
        self._line = b""  # the beginning of an incomplete line
        self._trailer_bytes = 0
        self.complete = part is Part.NOTHING
        if part is Part.CONTENT:
            self._claim(length)
            if not length:
                self._go_on_with(Part.NOTHING)

    @property
    def claimed_bytes(self) -> int:
        """The size of the chunk or body that is open; 0 if none is."""
        return self._claimed if self._part in (Part.CHUNK, Part.CONTENT) else 0

    @property
    def open_bytes(self) -> int:
        """The bytes that have come of the chunk or body that is open."""
        return self.claimed_bytes and self._claimed - self._left

    def feed(self, data: bytes, at: int = 0) -> int:
        """Decodes the bytes from data[at:] on. Returns the index behind the last one that belongs to the
        body. Raises BodyError at one that can't belong to it; what came before is in `received`."""
        end = len(data)
        while at < end:
            if self._part is _SIZE_LINE and not self._line:
                at = self._decode_whole_chunks(data, at)
                if at == end:
                    break
            if self._part is _NOTHING:
                break
            at = _DECODERS[self._part](self, data, at)
        return at

    def _decode_whole_chunks(self, data: bytes, at: int) -> int:
        """Decodes chunks that have come as a whole, which most of a stream's chunks do."""
        while True:
            line_end = data.find(CRLF, at, at + MAX_PLAIN_SIZE)
            digits = data[at:line_end]
            if line_end <= at or digits.translate(None, HEX_DIGITS):
                break
            size = int(digits, 16)
            begin = line_end + 2
            end = begin + size
            if data[end : end + 2] != CRLF or not 0 < size <= self._max_chunk_bytes:
                break
            self.received.append(data[begin:end])
            at = end + 2
        return at

    def _decode_size_line(self, data: bytes, at: int) -> int:
        line, at = self._take_line(data, at)
        is_complete = not self._line
        found = _match_size_line(line if is_complete else line.removesuffix(b"\r"))
        if not found or not line[:1].isalnum() or len(line) > MAX_SIZE_LINE_BYTES:
            raise BodyError(f"a chunk's size is {line[:40]!r}")
        self._claim(int(found[1] or b"0", 16))
        if is_complete:
            self._go_on_with(Part.CHUNK if self._claimed else Part.TRAILERS)
        return at

    def _decode_content(self, data: bytes, at: int) -> int:
        content = data[at : at + self._left]
        self.received.append(content)
        self._left -= len(content)
        if not self._left:
            self._go_on_with(FOLLOWED_BY[self._part][0])
        return at + len(content)

    def _decode_chunk_end(self, data: bytes, at: int) -> int:
        expected = CRLF[len(self._line) :]
        found = data[at : at + len(expected)]
        if not expected.startswith(found):
            raise BodyError(f"a chunk of {self._claimed} bytes is followed by {found!r}")
        self._line += found
        if self._line == CRLF:
            self._line = b""
            self._go_on_with(Part.SIZE_LINE)
        return at + len(found)

    def _decode_trailer(self, data: bytes, at: int) -> int:
        begin = at
        line, at = self._take_line(data, at)
        self._trailer_bytes += at - begin
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise BodyError(f"trailers are over {MAX_TRAILER_BYTES} bytes")
        if self._line:
            if not _match_trailer_beginning(line):
                raise BodyError(f"a trailer begins with {line[:40]!r}")
        elif not line:
            self._go_on_with(Part.NOTHING)
        elif not _match_trailer(line):
            raise BodyError(f"a trailer is {line[:40]!r}")
        return at

    def _decode_rest(self, data: bytes, at: int) -> int:
        self.received.append(data[at:])
        return len(data)

    def _take_line(self, data: bytes, at: int) -> tuple[bytes, int]:
        """Returns the line so far, without its end, and the index behind what was taken. `_line` is empty
        afterwards if the line is complete."""
        begin = self._line
        end = data.find(b"\n", at) + 1
        line = begin + data[at : end or len(data)]
        if end and line.endswith(CRLF):
            self._line = b""
            return line[:-2], end
        if end:
            raise BodyError("a line ends with a line feed alone")
        self._line = line
        return line, len(data)

    def _claim(self, size: int) -> None:
        if size > self._max_chunk_bytes:
            raise BodyError(f"{size} bytes are claimed where {self._max_chunk_bytes} are allowed")
        self._claimed = self._left = size

    def _go_on_with(self, part: Part) -> None:
        assert part in FOLLOWED_BY[self._part], f"{part} behind {self._part}"
        self._part = part
        self.complete = part is Part.NOTHING


_DECODERS = {
    Part.SIZE_LINE: AnswerBody._decode_size_line,
    Part.CHUNK: AnswerBody._decode_content,
    Part.CHUNK_END: AnswerBody._decode_chunk_end,
    Part.TRAILERS: AnswerBody._decode_trailer,
    Part.CONTENT: AnswerBody._decode_content,
    Part.REST: AnswerBody._decode_rest,
}
