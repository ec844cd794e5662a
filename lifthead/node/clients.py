"""The clients' side of the platform's protocol: a message becomes a demand, or an error of 4xx.

Its names stop here. Nothing is decided here but what can't be read.
"""

import re

import msgspec

from lifthead.http1 import Headers, HttpError, Message
from lifthead.interface import RequestClass, RequestSpec

PATH = "/v1/chat/completions"
READY = "/ready"
ID = "x-trace-id"
HEAD_BYTES = 16_384
BODY_BYTES = 262_144  # a body holds so much at most
FIRST_WITHIN = 2.2  # seconds from a connection's accepting to its first req: an error or a close is owed in 3
REST_WITHIN = 2_000_000  # microseconds from a head's or a body's first byte to its last
IDLE_FOR = 6_000_000  # microseconds that a connection without an open req is kept for its client
LONGEST = 3_600_000  # milliseconds that a client can say it waits
CHARS = 4  # a token is so many characters

_ID = re.compile(r"[0-9A-Za-z_-]{1,64}").fullmatch
_WHOLE = re.compile(r"[0-9]{1,9}").fullmatch
JSON = {"content-type": "application/json"}


class _Said(msgspec.Struct):
    role: str
    content: str


class _Body(msgspec.Struct):
    model: str
    messages: list[_Said]
    stream: bool = True
    max_tokens: int = 0


_decode = msgspec.json.Decoder(_Body).decode


def demand_of(message: Message, req: int, groups: dict[str, RequestClass], waited: int = 0) -> RequestSpec:
    """A client's message as a demand under this number; HttpError with a 4xx if it is none. `waited`:
    microseconds since its last byte came."""
    if message.path.partition("?")[0] != PATH:
        raise HttpError(404, f"there is no {message.path[:60]}")
    if message.method != "POST":
        raise HttpError(405, "expected POST")
    headers = message.headers
    if not _ID(headers.get(ID, "")):
        raise HttpError(400, f"{ID} is missing or no id")
    group = headers.get("x-qos", "")
    if group not in groups:
        raise HttpError(400, f"x-qos is {group!r:.40}, which is not served here")
    waits = _number(headers, "x-expires-in-ms", "x-expires-in-ms")
    if not 0 < waits <= LONGEST:
        raise HttpError(400, f"x-expires-in-ms is {waits}, expected 1 to {LONGEST}")
    try:
        body = _decode(message.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise HttpError(400, f"the body is no chat: {str(problem)[:120]}") from None
    props = dict(pair.strip().partition("=")[::2] for pair in headers.get("x-props", "").split(",") if pair)
    prompt = _number(props, "prompt_len", "x-props' prompt_len", len(message.body) // CHARS)
    if prompt > len(message.body):
        raise HttpError(400, f"x-props' prompt_len is {prompt}, more than the body holds")
    beginning = props.get("prefix", "")
    return RequestSpec(
        id=req,
        request_class=group,
        tenant=headers.get("x-customer", ""),
        budget=max(waits * 1000 - waited, 0),
        prompt_tokens=prompt,
        max_output_tokens=_number(props, "max_out", "x-props' max_out", max(body.max_tokens, 0)),
        session=headers.get("x-object", ""),
        prefix_id=beginning,
        prefix_tokens=_number(props, "prefix_len", "x-props' prefix_len", 0) if beginning else 0,
        expected_time=0,
        is_retry=headers.get("x-second-try", "") == "again",
    )


def _number(fields: Headers, key: str, named: str, usual: int | None = None) -> int:
    text = fields.get(key)
    if text is None and usual is not None:
        return usual
    if text is None or not _WHOLE(text):
        raise HttpError(400, f"{named} is {text!r:.40}, expected a whole number")
    return int(text)


def error(status: int, code: str, said: str) -> bytes:
    return msgspec.json.encode({"error": {"code": code, "message": said, "status": status}})


def push_back(hold_off: int) -> tuple[int, bytes, Headers]:
    """Status, body and headers that say: a repeat does no harm. `hold_off`: microseconds, 0: none."""
    headers = {**JSON, "retry-after": f"{hold_off / 1e6:.3f}"} if hold_off else JSON
    return 503, error(503, "pushed_back", "trying again does no harm"), headers


def abort() -> tuple[int, bytes, Headers]:
    return 504, error(504, "aborted", "whether it had an effect is not known"), JSON
