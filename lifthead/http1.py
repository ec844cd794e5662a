"""Parses and encodes HTTP/1.1 messages. Callers own the sockets and the timeouts.

httptools does the parsing (docs/performance.md compares it with h11); this module bounds the sizes.
"""

import re
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from lifthead.answer_body import AnswerBody, BodyError, Part

Headers = dict[str, str]  # names in lower case; the values of a repeated name are joined by commas


_HOST = re.compile(r"[0-9A-Za-z._-]{1,253}").fullmatch
_PORT = re.compile(r"[0-9]{1,5}").fullmatch
MAX_INFORMATIONAL = 8  # informational answers (1xx) accepted before the final one
MAX_HEADERS = 128  # of one message: each takes memory beyond its bytes
MAX_CHUNK_BYTES = 4_194_304  # of a chunk of an answer, or of its body, where the caller sets no other limit
LINES_PER_CHUNK = 2  # of the greatest length
BODILESS_STATUSES = (204, 304)
HEAD_END = b"\r\n\r\n"
PARSED_AT_ONCE = 512  # bytes, where the end of a request is not known: they hold few whole requests


class HttpError(Exception):
    """The peer sent bytes that can't be used. `status` is the one to answer with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True)
class Message:
    """A complete HTTP request, or the head of an answer."""

    method: str = ""
    path: str = ""
    status: int = 0
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    received_at: float = 0.0  # when its last byte came, on the clock of the parser's caller
    head_bytes: int = 0  # of a complete request

    @property
    def held_bytes(self) -> int:
        """The bytes of a complete request that are still held; its receiver may drop the body."""
        return self.head_bytes + len(self.body)


class _Parser:
    """The part that both directions share: headers and the bound on their size."""

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        self._max_header_bytes, self._max_body_bytes = header_bytes, body_bytes
        self._reset()

    def _reset(self) -> None:
        self._in_head, self._head_bytes, self._body_bytes, self._head_bytes_fed = True, 0, 0, 0
        self._header_count = 0
        self._message = Message()

    def close(self) -> None:
        """Drops what was received. The parser and its callbacks refer to each other, so that a parser that is
        not closed would keep its bytes until the next run of the garbage collector."""
        self._llhttp = None
        self._reset()

    @property
    def partial(self) -> bool:
        """Whether part of an incomplete message has come."""
        return self._head_bytes > 0

    @property
    def in_head(self) -> bool:
        return self._in_head

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes += len(name) + len(value) + 4
        if self._head_bytes > self._max_header_bytes:
            raise HttpError(431, f"headers are over {self._max_header_bytes} bytes")
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            raise HttpError(431, f"over {MAX_HEADERS} headers")
        name_text, value_text = name.decode("latin-1").lower(), value.decode("latin-1")
        previous = self._message.headers.get(name_text)
        self._message.headers[name_text] = value_text if previous is None else f"{previous}, {value_text}"

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._message.keep_alive = self._llhttp.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Parses the peer's next bytes. Raises HttpError if they break the protocol or exceed a bound."""
        head = self._message if self._in_head else None
        try:
            self._llhttp.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise HttpError(400, "a change of protocol is not offered") from None
        except httptools.HttpParserError as error:
            raise _http_error(error) from None
        if self._in_head and self._message is head:
            # Bounds a single endless header: httptools calls back only once a header is complete.
            self._head_bytes_fed += len(data)
            if self._head_bytes_fed > self._max_header_bytes:
                raise HttpError(431, f"headers are over {self._max_header_bytes} bytes")


def _http_error(error: httptools.HttpParserError) -> HttpError:
    """Returns the error that a callback raised, or one for bytes that break the protocol. A frame that keeps
    an error which it raises would keep what it parses until the garbage collector runs."""
    cause = error.__context__
    return cause if isinstance(cause, HttpError) else HttpError(400, f"not HTTP: {str(error)[:120]}")


class RequestParser(_Parser):
    """Parses requests on a server's connection. Complete requests wait in `requests`, in order.

    `feed_pipelined` parses on only while none is complete: what follows waits as bytes, since a short request
    takes many times its bytes once it is parsed."""

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        self._llhttp = httptools.HttpRequestParser(self)
        self.requests: deque[Message] = deque()
        self.error: HttpError | None = None  # why what follows those in `requests` can't be parsed
        # Since when the caller leaves bytes unread: those that are read next may have come at any time since.
        self.unread_since: float | None = None
        self._unparsed: deque[tuple[bytes, float]] = deque()  # received bytes, and when they came
        self._unparsed_bytes = 0
        self._parsed_of_first = 0  # bytes of the first of `_unparsed`
        self._queued_bytes = 0  # of the complete requests
        self._body = bytearray()  # of the incomplete request; its chunks may be tiny
        self._received_at = 0.0
        super().__init__(header_bytes, body_bytes)

    def close(self) -> None:
        super().close()
        self.requests.clear()
        self._unparsed.clear()
        self._queued_bytes = self._unparsed_bytes = self._parsed_of_first = 0
        self._body = bytearray()
        self.error = None

    @property
    def buffered_bytes(self) -> int:
        """The bytes of complete requests that wait, of the incomplete one, and of what is not parsed yet."""
        return self._queued_bytes + self._head_bytes + self._body_bytes + self._unparsed_bytes

    def next_request(self) -> Message:
        """Returns the complete request that waits longest; IndexError if there is none."""
        message = self.requests.popleft()
        self._queued_bytes -= message.held_bytes
        self._parse_next()
        return message

    def feed_pipelined(self, data: bytes, at: float = 0.0) -> None:
        """As `feed`, but an error is stored in `error` and reported after the complete requests before it.
        `at`: when the bytes came."""
        if self.error or not data:
            return
        self._unparsed.append((data, at if self.unread_since is None else self.unread_since))
        self._unparsed_bytes += len(data)
        self._parse_next()

    def _parse_next(self) -> None:
        """Parses until a request is complete, the bytes break the protocol, or none are left."""
        while self._unparsed and not self.requests and not self.error:
            data, self._received_at = self._unparsed[0]
            begin = self._parsed_of_first
            end = min(begin + self._parsable_bytes(), len(data))
            self._parsed_of_first, self._unparsed_bytes = end, self._unparsed_bytes - (end - begin)
            if end == len(data):
                self._unparsed.popleft()
                self._parsed_of_first = 0
            try:
                self.feed(data[begin:end] if begin or end < len(data) else data)
            except HttpError as error:
                self.error = error
        if self.error:
            self._unparsed.clear()
            self._unparsed_bytes = self._parsed_of_first = 0

    def _parsable_bytes(self) -> int:
        """Returns how many bytes may be parsed at once: the rest of a body of known length, else a few."""
        announced = self._message.headers.get("content-length", "")
        if self._in_head or not announced.isdigit():
            return PARSED_AT_ONCE
        return max(int(announced) - self._body_bytes, PARSED_AT_ONCE)

    def on_message_begin(self) -> None:
        self._reset()
        self._body = bytearray()
        self._head_bytes = 1

    def on_url(self, url: bytes) -> None:
        self._head_bytes += len(url)
        if self._head_bytes > self._max_header_bytes:
            raise HttpError(431, f"headers are over {self._max_header_bytes} bytes")
        self._message.path += url.decode("latin-1")

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        announced = self._message.headers.get("content-length", "0")
        if announced.isdigit() and int(announced) > self._max_body_bytes:
            raise HttpError(413, f"the body is over {self._max_body_bytes} bytes")

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise HttpError(413, f"the body is over {self._max_body_bytes} bytes")
        self._body += data

    def on_message_complete(self) -> None:
        self._message.method = self._llhttp.get_method().decode("latin-1")
        self._message.body = bytes(self._body)
        self._message.received_at = self._received_at
        self._message.head_bytes = self._head_bytes
        self._queued_bytes += self._message.held_bytes
        self._body = bytearray()  # an idle keep-alive connection keeps no body in memory
        self.requests.append(self._message)
        self._reset()


class AnswerParser(_Parser):
    """Parses one answer on a client's connection.

    `head` is set once the head is complete, `complete` at the end of the body. Informational answers (1xx)
    are skipped. `has_surplus` is set when bytes follow the end of the answer, which belong to no request.
    `chunk_bytes`: that a chunk, or a body of stated length, may hold."""

    def __init__(self, header_bytes: int = 65_536, chunk_bytes: int = MAX_CHUNK_BYTES) -> None:
        self._llhttp = httptools.HttpResponseParser(self)
        self.head: Message | None = None
        self.complete = self.has_surplus = False
        self._max_chunk_bytes = chunk_bytes
        self._body: AnswerBody | None = None
        self._informational = 0
        self._last_bytes = b""  # of the incomplete head
        super().__init__(header_bytes, 0)

    def on_message_begin(self) -> None:
        self._reset()

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        self._message.status = self._llhttp.get_status_code()
        if self._message.status >= 200:
            self._body = self._begin_body(self._message)
            self.head = self._message
            return
        self._informational += 1
        if self._message.status == 101 or self._informational > MAX_INFORMATIONAL:
            raise HttpError(502, "too many informational answers")

    def _begin_body(self, head: Message) -> AnswerBody:
        """Returns the decoder of a body as its head announces it, which httptools has checked."""
        codings = head.headers.get("transfer-encoding", "").lower()
        length = head.headers.get("content-length", "").strip()
        try:
            if head.status in BODILESS_STATUSES:
                return AnswerBody(Part.NOTHING)
            if codings.rpartition(",")[2].strip() == "chunked":
                return AnswerBody(Part.SIZE_LINE, max_chunk_bytes=self._max_chunk_bytes)
            if length and not codings:
                return AnswerBody(Part.CONTENT, int(length), self._max_chunk_bytes)
            return AnswerBody(Part.REST)
        except BodyError as error:
            raise HttpError(502, str(error)) from None

    @property
    def claimed_bytes(self) -> int:
        """The size of the chunk or body that is open, as the peer claims it; 0 if none is."""
        return self._body.claimed_bytes if self._body else 0

    @property
    def open_bytes(self) -> int:
        """The bytes that have come of the chunk or body that is open."""
        return self._body.open_bytes if self._body else 0

    def feed(self, data: bytes) -> None:
        """Parses the next bytes. Bytes after a complete answer set `has_surplus` and are never an error."""
        at = 0
        if self._body is None:
            at = self._feed_head(data)
            if self._body is None:
                return
        try:
            at = self._body.feed(data, at)
        except BodyError as error:
            raise HttpError(502, f"not HTTP: {error}") from None
        if self._body.complete:
            self.complete = True
            self.has_surplus = self.has_surplus or at < len(data)

    def _feed_head(self, data: bytes) -> int:
        """Parses heads up to the end of the final one. Returns the index of the first byte of its body.
        httptools is not shown what follows: it would believe the sizes of chunks."""
        at = 0
        while self._body is None and at < len(data):
            before = len(self._last_bytes)
            found = (self._last_bytes + data[at:]).find(HEAD_END)
            end = len(data) if found < 0 else at + found + len(HEAD_END) - before
            self._last_bytes = b"" if found >= 0 else (self._last_bytes + data[at:])[1 - len(HEAD_END) :]
            super().feed(data[at:end])
            at = end
        return at

    def body(self) -> bytes:
        """Returns the part of the body that has come since the last call."""
        body = self._body
        if body is None or not body.received:
            return b""
        parts, body.received = body.received, []
        return parts[0] if len(parts) == 1 else b"".join(parts)


class LineParser:
    """Splits the body of one answer into lines as its bytes come."""

    def __init__(self, max_line_bytes: int) -> None:
        self.answer = AnswerParser(chunk_bytes=LINES_PER_CHUNK * max_line_bytes)
        self._max_line_bytes = max_line_bytes
        self._partial_line: list[bytes] = []  # joined once its end has come
        self._partial_line_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that are complete now. Raises HttpError if the bytes break the protocol or a line
        exceeds `max_line_bytes`."""
        self.answer.feed(data)
        *lines, rest = self.answer.body().split(b"\n")
        if lines:
            lines[0] = b"".join([*self._partial_line, lines[0]])
            self._partial_line, self._partial_line_bytes = [], 0
        self._partial_line.append(rest)
        self._partial_line_bytes += len(rest)
        if self._partial_line_bytes > self._max_line_bytes:
            raise HttpError(502, f"a line exceeds {self._max_line_bytes} bytes")
        return lines


def parse_address(text: str) -> tuple[str, int]:
    """Parses HOST:PORT. Raises ValueError if it is malformed or can't be connected to."""
    host, _, port = text.rpartition(":")
    # Connecting to any other host name fails with an exception other than OSError.
    usable = _HOST(host) and max(map(len, host.split("."))) < 64
    if not usable or not _PORT(port) or not 0 <= int(port) < 65_536:
        raise ValueError(f"{text!r:.60} is not an address, expected HOST:PORT")
    return host, int(port)


def encode_head(start_line: str, headers: Headers) -> bytes:
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


def encode_answer_head(status: int, headers: Headers) -> bytes:
    try:
        reason_phrase = HTTPStatus(status).phrase
    except ValueError:
        reason_phrase = "-"
    return encode_head(f"HTTP/1.1 {status} {reason_phrase}", headers)


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
