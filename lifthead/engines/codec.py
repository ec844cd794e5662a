"""The engines' protocol to our words and back (docs/engine-protocol.md). Its names stop here.

What an observation on the socket means is in one place, `OUTCOMES`: which ending it is, and so whether it
proves that the attempt has not run. When in doubt, it may have run.
"""

import math
from enum import Enum
from typing import Any

import msgspec

from lifthead import http1
from lifthead.http1 import Headers, Message
from lifthead.interface import Ending, LoadReport

NOT_RUN = "x-lifthead-not-run"  # extension: "1" on an answer to work that was turned away before it was begun
CONTINUES_AT = "x-lifthead-continues-at"  # extension: characters of the answer so far that it takes as given
NO_STATE = "no-state"  # ... or this, when there was no read state to fetch


class Observation(Enum):
    """What can be seen of a forward on its socket."""

    NO_CONNECTION = "no connection was made in time"
    STALE = "drained before the req was sent"
    CALLED_OFF = "called off before or after it was sent"
    OUT_OF_TIME = "out of time"
    READ = "200 to a read, with a handle"
    WRITTEN = "200 and the stream's end"
    TURNED_AWAY = "429 or 503 with the mark that it was not run"
    STATE_GONE = "409 with the mark that there was no state"
    REFUSED_UNMARKED = "any other status"
    CUT = "the connection broke, or ended too early"
    STRANGE = "bytes that are not the protocol"
    STALLED = "a begun stream without a byte for the last guard's time"


# Proven not run: UNREACHABLE, NOT_SENT, BUSY. All others may have run.
OUTCOMES: dict[Observation, tuple[Ending, int]] = {
    Observation.NO_CONNECTION: (Ending.UNREACHABLE, 0),
    Observation.STALE: (Ending.NOT_SENT, 0),
    Observation.CALLED_OFF: (Ending.CANCELLED, 0),
    Observation.OUT_OF_TIME: (Ending.TIMED_OUT, 0),
    Observation.READ: (Ending.READ, 0),
    Observation.WRITTEN: (Ending.DONE, 0),
    Observation.TURNED_AWAY: (Ending.BUSY, 0),
    Observation.STATE_GONE: (Ending.BUSY, 1),
    Observation.REFUSED_UNMARKED: (Ending.ERROR, 0),
    Observation.CUT: (Ending.BROKEN, 0),
    Observation.STRANGE: (Ending.BROKEN, 0),
    Observation.STALLED: (Ending.BROKEN, 0),
}

PROVEN_NOT_RUN = frozenset(
    (Observation.NO_CONNECTION, Observation.STALE, Observation.TURNED_AWAY, Observation.STATE_GONE)
)

_encode = msgspec.json.Encoder().encode
_READ_ELSEWHERE = {
    "do_remote_decode": True,
    "do_remote_prefill": False,
    "remote_engine_id": None,
    "remote_block_ids": None,
    "remote_host": None,
    "remote_port": None,
}


def _post(path: str, host: str, forward: str, client_id: str, body: dict[str, Any], extra: Headers) -> bytes:
    data = _encode(body)
    fields = {
        "host": host,
        "content-type": "application/json",
        "content-length": str(len(data)),
        "x-request-id": forward,
        "endpoint-load-metrics-format": "JSON",
        **extra,
    }
    if client_id:
        fields["x-client-request-id"] = client_id
    return http1.head(f"POST {path} HTTP/1.1", fields) + data


def prefill_request(host: str, forward: str, client_id: str, body: dict[str, Any]) -> bytes:
    """To a reader: read the prompt, keep the state, answer with its handle."""
    asked = {
        key: value for key, value in body.items() if key not in ("stream_options", "max_completion_tokens")
    }
    asked |= {"stream": False, "max_tokens": 1, "kv_transfer_params": _READ_ELSEWHERE}
    return _post("/v1/chat/completions", host, forward, client_id, asked, {})


def decode_request(
    host: str, forward: str, client_id: str, key: str, body: dict[str, Any], handle: Any
) -> bytes:
    """To a writer: fetch the state of this handle (None: read the prompt there) and stream the answer."""
    asked = body | {"stream": True, "stream_options": {"include_usage": True}}
    if handle is not None:
        asked["kv_transfer_params"] = handle
    else:
        asked.pop("kv_transfer_params", None)
    return _post(
        "/v1/chat/completions", host, forward, client_id, asked, {"idempotency-key": key} if key else {}
    )


def release_request(host: str, forward: str) -> bytes:
    """Extension: let go of what is or will be held for this forward."""
    return _post("/v1/kv/release", host, forward, "", {"request_id": forward}, {})


def probe_request(host: str) -> bytes:
    return http1.head("GET /health HTTP/1.1", {"host": host, "endpoint-load-metrics-format": "JSON"})


class _Details(msgspec.Struct):
    cached_tokens: int | None = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details | None = None


class _ReadAnswer(msgspec.Struct):
    kv_transfer_params: dict[str, Any]
    usage: _Usage | None = None


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: list[Any] | None = None
    refusal: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None
    error: Any = None


_decode_read = msgspec.json.Decoder(_ReadAnswer).decode
_decode_event = msgspec.json.Decoder(_Event).decode


class ProtocolError(Exception):
    """An engine's bytes are not the protocol."""


def parse_prefill_answer(body: bytes) -> tuple[dict[str, Any], int]:
    """A reader's handle and the prompt tokens that it found kept."""
    try:
        answer = _decode_read(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise ProtocolError(str(problem)) from None
    return answer.kv_transfer_params, cached_tokens(answer.usage)


def cached_tokens(usage: _Usage | None) -> int:
    details = usage.prompt_tokens_details if usage else None
    return max(details.cached_tokens or 0, 0) if details else 0


def error_observation(message: Message) -> Observation:
    """What an answer other than 200 shows."""
    mark = message.headers.get(NOT_RUN, "")
    if mark == NO_STATE:
        return Observation.STATE_GONE
    if mark == "1" and message.status in (429, 503):
        return Observation.TURNED_AWAY
    return Observation.REFUSED_UNMARKED


# What an event of text can't hold: in text, quotes are escaped.
_MARKS = (b"[DONE]", b'"usage":{', b'"usage": {', b'"error"', b"\r")


class EventStream:
    """Cuts a streamed body into whole events, whatever the bytes' borders, and reads what they say."""

    MAX_EVENT_BYTES = 1 << 20  # bytes of one event

    def __init__(self) -> None:
        self._left = b""
        self.ended = False  # the protocol's own end was seen
        self.tokens = 0  # events with text
        self.usage: _Usage | None = None

    def split_text_events(self, data: bytes) -> tuple[bytes, bytes]:
        """Whole events that may pass as they are, and what is left to `feed`: bytes that hold nothing but
        events of text are looked at as a whole and not one by one (docs/performance.md)."""
        if self._left:
            data, self._left = self._left + data, b""
        marked = min((at for mark in _MARKS if (at := data.find(mark)) >= 0), default=len(data))
        end = data.rfind(b"\n\n", 0, marked) + 2
        whole = data[:end]
        count = whole.count(b"\n\n")
        if end < 2 or not whole.startswith(b"data: {") or whole.count(b"\n\ndata: {") != count - 1:
            return b"", data
        self.tokens += count
        if marked == len(data):
            self._left = data[end:]
            return whole, b""
        return whole, data[end:]

    def feed(self, data: bytes) -> list[tuple[bytes, bool, bool]]:
        """Whole events as (bytes, whether text begins or goes on with it, whether it is only the usage)."""
        data = (self._left + data).replace(b"\r\n", b"\n") if self._left or b"\r" in data else data
        *whole, self._left = data.split(b"\n\n")
        if len(self._left) > self.MAX_EVENT_BYTES:
            raise ProtocolError(f"an event is over {self.MAX_EVENT_BYTES} bytes")
        return [seen for event in whole if (seen := self._look(event)) is not None]

    def _look(self, event: bytes) -> tuple[bytes, bool, bool] | None:
        event = event.lstrip(b"\n")
        if not event.startswith(b"data:"):
            lines = [line for line in event.split(b"\n") if line.startswith(b"data:")]
            if not lines:
                return None  # a comment, a heartbeat: no token
            event = b"\n".join(lines)
        if self.ended:
            return None
        said = event[5:].strip()
        if said == b"[DONE]":
            self.ended = True
            return None
        try:
            part = _decode_event(said)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
            raise ProtocolError(str(problem)) from None
        if part.error is not None:
            raise ProtocolError("the engine sent an error event")
        if part.usage is not None:
            self.usage = part.usage
        text = any(
            choice.finish_reason or (d := choice.delta) and (d.content or d.tool_calls or d.refusal)
            for choice in part.choices
        )
        self.tokens += bool(text)
        return event + b"\n\n", bool(text), not part.choices and part.usage is not None


def continues_at(headers: Headers) -> int | None:
    """Where the new text begins, if the engine says so; ProtocolError if it says no number."""
    said = headers.get(CONTINUES_AT)
    if said is None:
        return None
    if not said.isdecimal():
        raise ProtocolError(f"{CONTINUES_AT}: {said!r:.40}")
    return int(said)


class _Load(msgspec.Struct):
    cpu_utilization: float | None = None
    mem_utilization: float | None = None
    application_utilization: float | None = None
    named_metrics: dict[str, float] = {}


_decode_load = msgspec.json.Decoder(_Load).decode


def parse_load_report(headers: Headers) -> LoadReport | None:
    """The ORCA load report of these headers, in its JSON or its text form; None if there is none that can be
    read. A figure that is no load (negative, not a number) is left out, the others stay."""
    form, _, said = headers.get("endpoint-load-metrics", "").strip().partition(" ")
    try:
        if form.upper() == "JSON":
            load = _decode_load(said)
        elif form.upper() == "TEXT":
            load = _of_text(said)
        else:
            return None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError, RecursionError):
        return None
    named = load.named_metrics
    waiting = _sane(named.get("num_requests_waiting"))
    running = _sane(named.get("num_requests_running"))
    unread = _sane(named.get("prompt_tokens_waiting"))
    return LoadReport(
        held=None if running is None else running + (waiting or 0),
        queued=waiting,
        slots_used=_sane(load.application_utilization),
        memory_used=_sane(named.get("kv_cache_usage_perc", load.mem_utilization)),
        unread_thousands=None if unread is None else unread / 1000,
    )


def _sane(value: float | None) -> float | None:
    return value if value is not None and math.isfinite(value) and value >= 0 else None


def _of_text(said: str) -> _Load:
    load = _Load(named_metrics={})
    for pair in said.split(","):
        name, equals, value = pair.strip().partition("=")
        if not equals:
            raise ValueError(f"{pair!r} is not name=value")
        if name.startswith("named_metrics."):
            load.named_metrics[name.removeprefix("named_metrics.")] = float(value)
        elif name in ("cpu_utilization", "mem_utilization", "application_utilization"):
            setattr(load, name, float(value))
    return load


class ListedEngine(msgspec.Struct, frozen=True):
    """One line of the list of engines, as its service pushes it."""

    name: str
    address: str
    zone: str
    cell: int
    kind: str
    weight: float = 1.0
    started_at: int = 0  # wall clock, microseconds; 0: long ago
    readiness: str = "ready"
    drains_by: int = 0  # wall clock, microseconds: a drain's time limit, 0 if it has none


class ListUpdate(msgspec.Struct, frozen=True):
    """One push: the whole list, or what changed."""

    whole: bool
    engines: list[ListedEngine]


_decode_list_update = msgspec.json.Decoder(ListUpdate).decode


def parse_list_update(line: bytes) -> ListUpdate:
    """A pushed line of the list; ProtocolError if it is not one (the list in hand is kept then)."""
    try:
        news = _decode_list_update(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise ProtocolError(str(problem)) from None
    for engine in news.engines:
        if engine.readiness not in ("ready", "draining", "gone"):
            raise ProtocolError(f"engine {engine.name}: readiness {engine.readiness!r:.40}")
        try:
            http1.address_of(engine.address)
        except ValueError as problem:
            raise ProtocolError(f"engine {engine.name}: {problem}") from None
        if not (math.isfinite(engine.weight) and engine.weight > 0):
            raise ProtocolError(f"engine {engine.name}: weight {engine.weight}")
    return news
