"""Translates between the engines' HTTP protocol (docs/engine-protocol.md) and the router's own types. The
protocol's names don't appear in any other module.

What an observation on the socket means is defined in one place, `OUTCOMES`: the outcome of the attempt, and
so whether it is proven that the attempt has not run. When in doubt, it may have run.
"""

import math
from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from lifthead import http1
from lifthead.bounds import MAX_INT64, is_valid_load_figure, valid_token_count
from lifthead.http1 import Headers, Message
from lifthead.interface import AttemptOutcome, LoadReport

NOT_RUN = "x-lifthead-not-run"  # protocol extension: "1" on the rejection of work that was not started
CONTINUES_AT = "x-lifthead-continues-at"  # extension: characters of the answer so far that it takes as given
MAX_DIGITS = 9  # of a number in a header
NO_STATE = "no-state"  # the other value of NOT_RUN: there was no held state to fetch


class Observation(Enum):
    """What can be seen of an attempt on its socket. The members' names go to logs, events and a metric."""

    NO_CONNECTION = "no connection was made in time"
    STALE = (
        "not sent: its engine drains or is gone, its time is over, or the state that it needs was released"
    )
    CALLED_OFF = "cancelled before or after it was sent"
    OUT_OF_TIME = "timed out"
    READ = "200 to a prefill, with the handle of the held state"
    WRITTEN = "200 and the end of the stream"
    TURNED_AWAY = "429 or 503, marked as not run"
    STATE_GONE = "409, marked as having no held state"
    REFUSED_UNMARKED = "any other status"
    CUT = "the connection broke, or ended too early"
    STRANGE = "bytes that violate the protocol"
    STALLED = "no event of a started stream for the longest time allowed"


# UNREACHABLE, NOT_SENT and BUSY prove that the attempt has not run. After any other it may have run.
OUTCOMES: dict[Observation, tuple[AttemptOutcome, int]] = {
    Observation.NO_CONNECTION: (AttemptOutcome.UNREACHABLE, 0),
    Observation.STALE: (AttemptOutcome.NOT_SENT, 0),
    Observation.CALLED_OFF: (AttemptOutcome.CANCELLED, 0),
    Observation.OUT_OF_TIME: (AttemptOutcome.TIMED_OUT, 0),
    Observation.READ: (AttemptOutcome.PREFILLED, 0),
    Observation.WRITTEN: (AttemptOutcome.COMPLETED, 0),
    Observation.TURNED_AWAY: (AttemptOutcome.REJECTED, 0),
    Observation.STATE_GONE: (AttemptOutcome.REJECTED, 1),
    Observation.REFUSED_UNMARKED: (AttemptOutcome.ERROR, 0),
    Observation.CUT: (AttemptOutcome.CONNECTION_LOST, 0),
    Observation.STRANGE: (AttemptOutcome.CONNECTION_LOST, 0),
    Observation.STALLED: (AttemptOutcome.CONNECTION_LOST, 0),
}

PROVEN_NOT_RUN = frozenset(
    (Observation.NO_CONNECTION, Observation.STALE, Observation.TURNED_AWAY, Observation.STATE_GONE)
)

_encode = msgspec.json.Encoder().encode
_REMOTE_DECODE = {
    "do_remote_decode": True,
    "do_remote_prefill": False,
    "remote_engine_id": None,
    "remote_block_ids": None,
    "remote_host": None,
    "remote_port": None,
}


def _post(
    path: str, host: str, attempt_id: str, client_id: str, body: dict[str, Any], extra: Headers
) -> bytes:
    data = _encode(body)
    fields = {
        "host": host,
        "content-type": "application/json",
        "content-length": str(len(data)),
        "x-request-id": attempt_id,
        "endpoint-load-metrics-format": "JSON",
        **extra,
    }
    if client_id:
        fields["x-client-request-id"] = client_id
    return http1.encode_head(f"POST {path} HTTP/1.1", fields) + data


def prefill_request(host: str, attempt_id: str, client_id: str, body: dict[str, Any]) -> bytes:
    """Asks a prefill engine to prefill the prompt, hold the KV state and answer with its handle."""
    prefill_body = {
        key: value for key, value in body.items() if key not in ("stream_options", "max_completion_tokens")
    }
    prefill_body |= {"stream": False, "max_tokens": 1, "kv_transfer_params": _REMOTE_DECODE}
    return _post("/v1/chat/completions", host, attempt_id, client_id, prefill_body, {})


def decode_request(
    host: str, attempt_id: str, client_id: str, idempotency_key: str, body: dict[str, Any], handle: Any
) -> bytes:
    """Asks a decode engine to fetch the held state of this handle (None: to prefill the prompt itself) and to
    stream the answer."""
    decode_body = body | {"stream": True, "stream_options": {"include_usage": True}}
    if handle is not None:
        decode_body["kv_transfer_params"] = handle
    else:
        decode_body.pop("kv_transfer_params", None)
    return _post(
        "/v1/chat/completions",
        host,
        attempt_id,
        client_id,
        decode_body,
        {"idempotency-key": idempotency_key} if idempotency_key else {},
    )


def release_request(host: str, attempt_id: str) -> bytes:
    """Protocol extension: asks an engine to release the state that it holds or will hold for this attempt."""
    return _post("/v1/kv/release", host, attempt_id, "", {"request_id": attempt_id}, {})


def probe_request(host: str) -> bytes:
    return http1.encode_head("GET /health HTTP/1.1", {"host": host, "endpoint-load-metrics-format": "JSON"})


class _PromptDetails(msgspec.Struct):
    cached_tokens: int | None = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


class _PrefillAnswer(msgspec.Struct):
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


_decode_prefill_answer = msgspec.json.Decoder(_PrefillAnswer).decode
_decode_event = msgspec.json.Decoder(_Event).decode


class ProtocolError(Exception):
    """The bytes from an engine, or from the list service, violate the protocol."""


def parse_prefill_answer(body: bytes) -> tuple[dict[str, Any], int]:
    """The handle of the held state, and the prompt tokens that were in the engine's prefix cache."""
    try:
        answer = _decode_prefill_answer(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise ProtocolError(str(problem)) from None
    return answer.kv_transfer_params, cached_tokens(answer.usage)


def cached_tokens(usage: _Usage | None) -> int:
    """Prompt tokens that were in the engine's prefix cache; 0 if the usage doesn't say."""
    details = usage.prompt_tokens_details if usage else None
    return valid_token_count(details.cached_tokens or 0) if details else 0


def completion_tokens(usage: _Usage | None) -> int:
    """Tokens of the answer; 0 if the usage doesn't say."""
    return valid_token_count(usage.completion_tokens) if usage else 0


def error_observation(message: Message) -> Observation:
    """What an answer with a status other than 200 shows of its attempt."""
    mark = message.headers.get(NOT_RUN, "")
    if mark == NO_STATE:
        return Observation.STATE_GONE
    if mark == "1" and message.status in (429, 503):
        return Observation.TURNED_AWAY
    return Observation.REFUSED_UNMARKED


# Bytes that an event of nothing but text can't hold: JSON escapes the quotes inside a text.
_NOT_PLAIN_TEXT = (b"[DONE]", b'"usage":{', b'"usage": {', b'"error"', b"\r")


class EventStream:
    """Splits a streamed body into whole events, wherever its chunks end, and parses them."""

    MAX_EVENT_BYTES = 1 << 20  # bytes of one event

    def __init__(self) -> None:
        self._partial = bytearray()  # the bytes after the last whole event
        self.ended = False  # the protocol's own end marker has arrived
        self.event_count = 0
        self.tokens = 0  # events with text
        self.usage: _Usage | None = None

    def _join_partial(self, data: bytes) -> bytes:
        """The bytes after the last whole event, up to the end of these. They are kept, and b"" is returned,
        while no event ends in them: joining them at each call would cost the square of an event's length."""
        seam = bytes(self._partial[-3:]) + data if self._partial else data
        if b"\n\n" in seam or b"\n\r\n" in seam:
            joined = bytes(self._partial) + data if self._partial else data
            self._partial.clear()
            return joined
        self._keep_partial(data)
        return b""

    def _keep_partial(self, data: bytes) -> None:
        self._partial += data
        if len(self._partial) > self.MAX_EVENT_BYTES:
            raise ProtocolError(f"an event is over {self.MAX_EVENT_BYTES} bytes")

    def split_text_events(self, data: bytes) -> tuple[bytes, bytes]:
        """Whole events that may be relayed as they are, and the rest, which is for `feed`. Bytes that hold
        nothing but events of text are checked as a whole, as parsing each event costs much more
        (docs/performance.md)."""
        if not (data := self._join_partial(data)):
            return b"", b""
        marked = min((at for mark in _NOT_PLAIN_TEXT if (at := data.find(mark)) >= 0), default=len(data))
        end = data.rfind(b"\n\n", 0, marked) + 2
        whole = data[:end]
        count = whole.count(b"\n\n")
        if end < 2 or not whole.startswith(b"data: {") or whole.count(b"\n\ndata: {") != count - 1:
            return b"", data
        self.tokens += count
        self.event_count += count
        if marked == len(data):
            self._keep_partial(data[end:])
            return whole, b""
        return whole, data[end:]

    def feed(self, data: bytes) -> list[tuple[bytes, bool, bool]]:
        """Whole events as (bytes, whether it carries text, a tool call or the finish, whether it carries only
        the usage)."""
        data = self._join_partial(data)
        *whole, rest = (data.replace(b"\r\n", b"\n") if b"\r" in data else data).split(b"\n\n")
        self._keep_partial(rest)
        return [parsed for event in whole if (parsed := self._parse(event)) is not None]

    def _parse(self, event: bytes) -> tuple[bytes, bool, bool] | None:
        event = event.lstrip(b"\n")
        if not event.startswith(b"data:"):
            lines = [line for line in event.split(b"\n") if line.startswith(b"data:")]
            if not lines:
                return None  # a comment or a heartbeat, which is no token
            event = b"\n".join(lines)
        if self.ended:
            return None
        self.event_count += 1
        payload = event[5:].strip()
        if payload == b"[DONE]":
            self.ended = True
            return None
        try:
            content = _decode_event(payload)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
            raise ProtocolError(str(problem)) from None
        if content.error is not None:
            raise ProtocolError("the engine sent an error event")
        if content.usage is not None:
            self.usage = content.usage
        has_text = any(
            choice.finish_reason
            or (delta := choice.delta)
            and (delta.content or delta.tool_calls or delta.refusal)
            for choice in content.choices
        )
        self.tokens += bool(has_text)
        return event + b"\n\n", bool(has_text), not content.choices and content.usage is not None


def continues_at(headers: Headers) -> int | None:
    """The character of the answer so far at which the new text begins, None if the engine doesn't say;
    ProtocolError if the header is not a number."""
    value = headers.get(CONTINUES_AT)
    if value is None:
        return None
    if not (value.isdecimal() and len(value) <= MAX_DIGITS):
        raise ProtocolError(f"{CONTINUES_AT}: {value!r:.40}")
    return int(value)


class _Load(msgspec.Struct):
    cpu_utilization: float | None = None
    mem_utilization: float | None = None
    application_utilization: float | None = None
    named_metrics: dict[str, float] = {}


_decode_load = msgspec.json.Decoder(_Load).decode


def parse_load_report(headers: Headers) -> LoadReport | None:
    """The ORCA load report in these headers, in its JSON or its text format; None if there is none or it
    can't be parsed. A figure that can't be a load (negative or not a number) is left out, the others stay."""
    load_format, _, value = headers.get("endpoint-load-metrics", "").strip().partition(" ")
    try:
        if load_format.upper() == "JSON":
            load = _decode_load(value)
        elif load_format.upper() == "TEXT":
            load = _parse_text_load(value)
        else:
            return None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError, RecursionError):
        return None
    metrics = load.named_metrics
    waiting = _valid_figure(metrics.get("num_requests_waiting"))
    running = _valid_figure(metrics.get("num_requests_running"))
    waiting_tokens = _valid_figure(metrics.get("prompt_tokens_waiting"))
    return LoadReport(
        in_flight=None if running is None else running + (waiting or 0),
        queued=waiting,
        slots_used=_valid_figure(load.application_utilization),
        memory_used=_valid_figure(metrics.get("kv_cache_usage_perc", load.mem_utilization)),
        prefill_backlog_thousands=None if waiting_tokens is None else waiting_tokens / 1000,
    )


def _valid_figure(value: float | None) -> float | None:
    return value if value is not None and is_valid_load_figure(value) else None


def _parse_text_load(text: str) -> _Load:
    load = _Load(named_metrics={})
    for pair in text.split(","):
        name, equals, value = pair.strip().partition("=")
        if not equals:
            raise ValueError(f"{pair!r} is not name=value")
        if name.startswith("named_metrics."):
            load.named_metrics[name.removeprefix("named_metrics.")] = float(value)
        elif name in ("cpu_utilization", "mem_utilization", "application_utilization"):
            setattr(load, name, float(value))
    return load


WallClock = Annotated[int, Meta(ge=-MAX_INT64, le=MAX_INT64)]  # microseconds


class ListedEngine(msgspec.Struct, frozen=True):
    """One engine of the engine list, as the list service pushes it."""

    name: str
    address: str
    zone: str
    cell: int
    kind: str
    weight: float = 1.0
    started_at: WallClock = 0  # 0: long ago
    readiness: str = "ready"
    drains_by: WallClock = 0  # deadline of a drain; 0 if it has none


class ListUpdate(msgspec.Struct, frozen=True):
    """One push of the list service: the whole engine list, or the engines that changed."""

    whole: bool
    engines: list[ListedEngine]


_decode_list_update = msgspec.json.Decoder(ListUpdate).decode


def parse_list_update(line: bytes) -> ListUpdate:
    """One pushed line; ProtocolError if it is malformed, upon which the router keeps its last engine list."""
    try:
        update = _decode_list_update(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise ProtocolError(str(problem)) from None
    for engine in update.engines:
        if engine.readiness not in ("ready", "draining", "gone"):
            raise ProtocolError(f"engine {engine.name}: readiness {engine.readiness!r:.40}")
        try:
            http1.parse_address(engine.address)
        except ValueError as problem:
            raise ProtocolError(f"engine {engine.name}: {problem}") from None
        if not (math.isfinite(engine.weight) and engine.weight > 0):
            raise ProtocolError(f"engine {engine.name}: weight {engine.weight}")
    return update
