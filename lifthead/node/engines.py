"""The engines' side of the platform's protocol: attempts, releases, probes, load reports and streams.

The table `OUTCOMES` alone maps what was observed of an attempt on its socket to the attempt's outcome; it
differs from the table of engines/codec.py in one entry. This module makes no routing decisions.
"""

import re

import msgspec

from lifthead import http1
from lifthead.bounds import is_valid_load_figure, valid_token_count
from lifthead.engines import codec
from lifthead.engines.codec import Observation
from lifthead.engines.event_order import EventOrder, OrderError, StreamPart
from lifthead.http1 import Headers, HttpError, Message
from lifthead.interface import AttemptOutcome, LoadReport
from lifthead.node.clients import ID_HEADER

MAX_HEAD_BYTES = 16_384  # of an answer's head
MAX_CHUNK_BYTES = 262_144  # of a chunk, of an event, or of the comments before the first event
MAX_REPORT_BYTES = 16_384  # of a load report, wherever it comes: what the head of an answer may hold
MAX_ANSWER_BYTES = 262_144  # of an answer that is not a stream
MAX_RECONNECTS = 2  # for an attempt whose connections are reset before all of it is written
IDLE_FRACTION = 0.6  # of the engine's idle timeout, for which an unused connection counts as usable
NEVER_RAN_HEADER = "x-never-ran"
EXPIRES_HEADER = "x-expires-in-ms"
# Headers that concern one connection only, or that this router sets itself. All other headers of a client are
# passed on unchanged, known here or not: one of them may be an idempotency key, whatever its name.
HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
     "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "host", EXPIRES_HEADER)
)  # fmt: skip
LOAD_REPORT_FIELDS = {  # wire names, some of which are synonyms, to fields of LoadReport
    "inflight": "in_flight",
    "rif": "in_flight",
    "queue": "queued",
    "q": "queued",
    "util": "slots_used",
    "x0": "memory_used",
    "x1": "prefill_backlog_thousands",
}

EVENT_END = b"\n\n"
_EVENT = StreamPart.EVENT  # looked up once: it is noted with each event
EVENT_BEGINNINGS = (b"data: {", b"data: [", b"data:  ", b"data: \t")  # of a line; JSON may follow white space
LONGEST_BEGINNING = max(map(len, EVENT_BEGINNINGS))

# Bytes that are not the protocol say nothing about the engine's machine, so they count as an error of its
# program.
OUTCOMES = {**codec.OUTCOMES, Observation.STRANGE: (AttemptOutcome.ERROR, 0)}


class _PrefillAnswer(msgspec.Struct):
    cached_tokens: int = 0


class _PromptTokensDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _PromptTokensDetails | None = None


class _Event(msgspec.Struct):
    choices: list[msgspec.Raw]
    usage: _Usage | None = None


_decode_prefill_answer = msgspec.json.Decoder(_PrefillAnswer).decode
_decode_event = msgspec.json.Decoder(_Event).decode
# A name is matched whole or not at all, so that the work is linear in the length of the text.
_find_pairs = re.compile(r"(?<![a-z0-9_])([a-z0-9_]++)[=:]([^,\s]+)").findall


def encode_attempt_head(message: Message, time_left: int) -> bytes:
    """Encodes the head of a client's request for an engine: as it came, but for the headers of its connection
    and the time in microseconds that this router will wait for the answer. Its body follows unchanged."""
    connection_options = {name.strip().lower() for name in message.headers.get("connection", "").split(",")}
    headers = {"host": message.headers.get("host", "backend.local")}
    for name, value in message.headers.items():
        if name == ID_HEADER or not (name in HOP_BY_HOP_HEADERS or name in connection_options):
            headers[name] = value
    headers |= {EXPIRES_HEADER: str(max(time_left // 1000, 1)), "content-length": str(len(message.body))}
    return http1.encode_head(f"{message.method} {message.path} HTTP/1.1", headers)


def encode_release(request_id: str) -> bytes:
    return b"DELETE /bootstrap/rooms/%b HTTP/1.1\r\nhost: backend.local\r\n\r\n" % request_id.encode()


RELEASE_TAKEN_STATUSES = range(200, 300)  # with which an engine acknowledges a release

PROBE_REQUEST = b"GET /status/load HTTP/1.1\r\nhost: backend.local\r\n\r\n"


def observation_of(head: Message) -> Observation | None:
    """Returns what the head of an answer shows about the attempt; None if a stream follows."""
    if head.status == 200:
        return None
    if head.status == 202:
        return Observation.READ
    if head.headers.get(NEVER_RAN_HEADER) == "1":
        return Observation.STATE_GONE if head.status == 410 else Observation.TURNED_AWAY
    return Observation.REFUSED_UNMARKED


def cached_tokens_in(body: bytes) -> int:
    """Returns how many prompt tokens a prefill engine found in its prefix cache; raises HttpError if its
    answer can't be decoded."""
    try:
        return valid_token_count(_decode_prefill_answer(body).cached_tokens)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise HttpError(502, f"malformed prefill answer: {str(error)[:100]}") from None


def parse_load_report(text: str) -> LoadReport | None:
    """Parses a load report in its text form; returns None if it is too long or has no valid value. Unknown
    and invalid values are left out."""
    if len(text) > MAX_REPORT_BYTES:
        return None
    fields: dict[str, float] = {}
    for name, value in _find_pairs(text):
        try:
            number = float(value)
        except ValueError:
            continue
        if name in LOAD_REPORT_FIELDS and is_valid_load_figure(number):
            fields[LOAD_REPORT_FIELDS[name]] = number
    return LoadReport(**fields) if fields else None


def load_report_in(headers: Headers) -> LoadReport | None:
    return parse_load_report(headers.get("endpoint-load-metrics", ""))


class EventStream:
    """Splits and checks the event stream of an engine: only complete and well-formed events and comments are
    passed on, and the first byte that can't belong to the stream is an error."""

    def __init__(self) -> None:
        self._incomplete = bytearray()
        self._line_start = 0  # of the last line of `_incomplete`
        self._opening_comments = bytearray()  # before the first event
        self._order = EventOrder()
        self.event_count = 0
        self.sound_before_error = b""  # events that were complete before the byte that caused an error
        self.cached_tokens = 0  # prompt tokens found in the prefix cache, as the last event says
        self.report: LoadReport | None = None

    @property
    def begun(self) -> bool:
        """Whether the first event has come."""
        return self._order.last is not None

    @property
    def ended(self) -> bool:
        """Whether the end mark has come."""
        return self._order.last is StreamPart.END_MARK

    @property
    def buffered_bytes(self) -> int:
        """The bytes that wait for the end of their event, or for the first event."""
        return len(self._incomplete) + len(self._opening_comments)

    @property
    def is_complete(self) -> bool:
        """Whether the last chunk may come: the end mark has, and at most a comment is left."""
        lines = self._incomplete.split(b"\n")
        return self._order.allows(StreamPart.LAST_CHUNK) and not any(
            line and not line.startswith(b":") for line in lines
        )

    def feed(self, data: bytes) -> bytes:
        """Returns the complete events that may be passed on; raises HttpError if something can't belong to
        the stream. Comments before the first event are passed on with it."""
        complete = self._take_complete(data)
        parsed_bytes = 0
        try:
            if complete.find(b"\n") == len(complete) - len(EVENT_END) > 0:
                self._parse_line(complete[: -len(EVENT_END)])  # one event of one line, as most are
                parsed_bytes = len(complete)
            else:
                for event in complete.split(EVENT_END)[:-1]:
                    for line in filter(None, event.split(b"\n")):
                        self._parse_line(line)
                    parsed_bytes += len(event) + len(EVENT_END)
            if self._incomplete:
                self._check_incomplete()
        except HttpError:
            self.sound_before_error = self._passable(complete[:parsed_bytes])
            raise
        if self._opening_comments or self._order.last is None:
            return self._passable(complete)
        return complete

    def finish(self) -> bytes:
        """Returns what is left to be passed on as the last chunk comes; raises HttpError if the stream is not
        complete by then."""
        if not self.is_complete:
            raise HttpError(502, "incomplete stream")
        rest = bytes(self._incomplete)
        for line in filter(None, rest.split(b"\n")):
            self._parse_line(line)
        self._order.add(StreamPart.LAST_CHUNK)
        self._incomplete.clear()
        return rest

    def _take_complete(self, data: bytes) -> bytes:
        """Returns the bytes of all events that are complete now."""
        if not self._incomplete and data.endswith(EVENT_END):
            return data
        searched = max(len(self._incomplete) - 1, 0)  # no event ends in these bytes
        self._incomplete += data
        end = self._incomplete.rfind(EVENT_END, searched) + len(EVENT_END)
        if end < len(EVENT_END):
            return b""
        complete = bytes(self._incomplete[:end])
        del self._incomplete[:end]
        self._line_start = 0
        return complete

    def _passable(self, complete: bytes) -> bytes:
        """Returns what may be passed on now: nothing before the first event."""
        if not self.begun:
            self._opening_comments += complete
            if len(self._opening_comments) > MAX_CHUNK_BYTES:
                raise HttpError(502, f"comments of more than {MAX_CHUNK_BYTES} bytes before the first event")
            return b""
        if not self._opening_comments:
            return complete
        comments = bytes(self._opening_comments)
        self._opening_comments.clear()
        return comments + complete

    def _check_incomplete(self) -> None:
        """Raises HttpError if what has come of the next event can't become one."""
        incomplete = self._incomplete
        if len(incomplete) > MAX_CHUNK_BYTES:
            raise HttpError(502, f"event of more than {MAX_CHUNK_BYTES} bytes")
        while True:
            self._check_beginning(bytes(incomplete[self._line_start : self._line_start + LONGEST_BEGINNING]))
            end = incomplete.find(b"\n", self._line_start)
            if end < 0:
                return
            self._line_start = end + 1

    def _check_beginning(self, line: bytes) -> None:
        """Raises HttpError if no line of an event may begin with these bytes."""
        if not line or line.startswith(b":"):
            return
        if not (self._order.allows(StreamPart.EVENT) or self._order.allows(StreamPart.END_MARK)):
            raise HttpError(502, "an event behind the end mark")
        if not (line.startswith(EVENT_BEGINNINGS) or any(each.startswith(line) for each in EVENT_BEGINNINGS)):
            raise HttpError(502, f"not an event: {line!r}")

    def _parse_line(self, line: bytes) -> None:
        if line.startswith(b":"):
            return self._parse_comment(line)
        try:
            if line == b"data: [DONE]":
                self._order.add(StreamPart.END_MARK)
                self.event_count += 1
                return
            if not line.startswith(b"data: "):
                raise HttpError(502, f"not an event: {line[:40]!r}")
            event = _decode_event(line[6:])
            self._order.add(_EVENT)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise HttpError(502, f"malformed event: {str(error)[:100]}") from None
        except OrderError as error:
            raise HttpError(502, str(error)) from None
        self.event_count += 1
        if event.usage and event.usage.prompt_tokens_details:
            self.cached_tokens = valid_token_count(event.usage.prompt_tokens_details.cached_tokens)

    def _parse_comment(self, line: bytes) -> None:
        comment = line[1:].decode("latin-1").strip()
        if comment.lower().startswith("endpoint-load-metrics:"):
            self.report = parse_load_report(comment)
