"""The engines' side of the platform's protocol: forwards, releases, probes, load reports and streams.

What was seen of a forward on its socket becomes an `Ending` in one place, `ENDINGS`, which differs in one
line from that of engines/codec.py. Nothing is decided here.
"""

import math
import re

import msgspec

from lifthead import http1
from lifthead.engines import codec
from lifthead.engines.codec import Observation
from lifthead.http1 import Headers, HttpError, Message
from lifthead.interface import Ending, LoadReport
from lifthead.node.clients import ID

HEAD_BYTES = 16_384  # of an answer; more is no head
PIECE_BYTES = 262_144  # of a chunk or an event; more is none
ANSWER_BYTES = 262_144  # of an answer that is not a stream
SILENT_FOR = 3.8  # seconds that a begun stream may bring nothing; its client may be left waiting for 5
CONNECT_AGAIN = 2  # more connections for a forward, after one that was reset before all of it was written
IDLE_PART = 0.6  # of the time after which the other end closes an idle connection
NEVER_RAN = "x-never-ran"
EXPIRES = "x-expires-in-ms"
# What concerns one connection alone, or is worded anew. All else of a client's head goes on as it came, known
# here or not: an idempotency key, say, whatever its name.
OF_ONE_HOP = frozenset(
    ("connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
     "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "host", EXPIRES)
)  # fmt: skip
REPORTED = {  # both ways to name a figure of a report
    "inflight": "held",
    "rif": "held",
    "queue": "queued",
    "q": "queued",
    "util": "slots_used",
    "x0": "memory_used",
    "x1": "unread_thousands",
}

# What came spoilt says nothing of the engine's machine, so it counts as an error of its program.
ENDINGS = {**codec.OUTCOMES, Observation.STRANGE: (Ending.ERROR, 0)}


class _Read(msgspec.Struct):
    cached_tokens: int = 0


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _Details | None = None


class _Event(msgspec.Struct):
    choices: list[msgspec.Raw]
    usage: _Usage | None = None


_decode_read = msgspec.json.Decoder(_Read).decode
_decode_event = msgspec.json.Decoder(_Event).decode
_PAIR = re.compile(r"([a-z0-9_]+)[=:]([^,\s]+)").findall


def forward(message: Message, waits: int) -> bytes:
    """A client's message as it goes to an engine: passed through, with how long this router will wait
    (microseconds)."""
    ends_here = {name.strip().lower() for name in message.headers.get("connection", "").split(",")}
    headers = {"host": message.headers.get("host", "backend.local")}
    for name, value in message.headers.items():
        if name == ID or not (name in OF_ONE_HOP or name in ends_here):
            headers[name] = value
    headers |= {EXPIRES: str(max(waits // 1000, 1)), "content-length": str(len(message.body))}
    return http1.head(f"{message.method} {message.path} HTTP/1.1", headers) + message.body


def release(client_id: str) -> bytes:
    return b"DELETE /bootstrap/rooms/%b HTTP/1.1\r\nhost: backend.local\r\n\r\n" % client_id.encode()


RELEASED = range(200, 300)  # statuses that say that a release was taken

PROBE = b"GET /status/load HTTP/1.1\r\nhost: backend.local\r\n\r\n"


def observation_of(head: Message) -> Observation | None:
    """What the head of an answer says of the forward; None for a stream that is still to come."""
    if head.status == 200:
        return None
    if head.status == 202:
        return Observation.READ
    if head.headers.get(NEVER_RAN) == "1":
        return Observation.STATE_GONE if head.status == 410 else Observation.TURNED_AWAY
    return Observation.REFUSED_UNMARKED


def tokens_kept(body: bytes) -> int:
    """How much of the prompt a reader found kept; HttpError if its answer can't be read."""
    try:
        return _decode_read(body).cached_tokens
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise HttpError(502, f"a read's answer: {str(problem)[:100]}") from None


def report_of(text: str) -> LoadReport | None:
    """A load report in its text form; None if there is none that can be read. A figure that is no load is
    left out, the others stay."""
    found: dict[str, float] = {}
    for name, value in _PAIR(text):
        try:
            figure = float(value)
        except ValueError:
            continue
        if name in REPORTED and math.isfinite(figure) and figure >= 0:
            found[REPORTED[name]] = figure
    return LoadReport(**found) if found else None


def report_with(headers: Headers) -> LoadReport | None:
    return report_of(headers.get("endpoint-load-metrics", ""))


class Events:
    """Reads a stream: only whole events pass, and only such as an engine makes. Comments pass along."""

    def __init__(self) -> None:
        self._left = b""
        self.begun = self.ended = False
        self.kept = 0  # prompt tokens found kept, as its end tells
        self.report: LoadReport | None = None

    @property
    def whole(self) -> bool:
        """Whether the stream came to its own end, with nothing half behind it."""
        return self.ended and not self._left.strip()

    def feed(self, data: bytes) -> bytes:
        """What may be passed on now; HttpError if what came is no event."""
        data = self._left + data
        cut = data.rfind(b"\n\n") + 2
        if cut < 2:
            cut = 0
        self._left, passes = data[cut:], data[:cut]
        if len(self._left) > PIECE_BYTES:
            raise HttpError(502, f"an event is over {PIECE_BYTES} bytes")
        for line in passes.split(b"\n"):
            if line:
                self._look_at(line)
        return passes

    def _look_at(self, line: bytes) -> None:
        if line.startswith(b":"):
            said = line[1:].decode("latin-1").strip()
            if said.lower().startswith("endpoint-load-metrics:"):
                self.report = report_of(said)
            return
        if line == b"data: [DONE]":
            self.ended = True
            return
        try:
            if not line.startswith(b"data: "):
                raise HttpError(502, f"no event: {line[:40]!r}")
            event = _decode_event(line[6:])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
            raise HttpError(502, f"an event: {str(problem)[:100]}") from None
        self.begun = True
        if event.usage and event.usage.prompt_tokens_details:
            self.kept = event.usage.prompt_tokens_details.cached_tokens
