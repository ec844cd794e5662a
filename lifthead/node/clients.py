"""The clients' side of the platform's protocol: parses and validates requests, and words the answers.

Names of the protocol are used in this module only. It rejects malformed requests and makes no other decision.
"""

import hashlib
import re
from typing import Annotated

import msgspec
from msgspec import Meta

from lifthead.bounds import MAX_TOKENS
from lifthead.http1 import Headers, HttpError, Message
from lifthead.interface import RequestClass, RequestSpec

CHAT_PATH = "/v1/chat/completions"
READY_PATH = "/ready"
ID_HEADER = "x-trace-id"
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 262_144
# Seconds from accepting a connection to its first complete request. The platform requires an error answer or
# a close within 3 s.
FIRST_REQUEST_TIMEOUT = 2.2
RECEIVE_TIMEOUT = 2_000_000  # microseconds from the first to the last byte of a head or a body
IDLE_TIMEOUT = 6_000_000  # microseconds after which a connection without an open request is closed
MAX_BUDGET_MS = 3_600_000
MAX_KEY_CHARS = 64  # of a name that clients choose and that is kept beyond the request
CHARS_PER_TOKEN = 4  # to estimate the length of a prompt whose client doesn't say it

_match_id = re.compile(r"[0-9A-Za-z_-]{1,64}").fullmatch
_match_number = re.compile(r"[0-9]{1,9}").fullmatch  # up to MAX_TOKENS
JSON_HEADERS = {"content-type": "application/json"}


class _ChatMessage(msgspec.Struct):
    role: str
    content: str


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[_ChatMessage]
    stream: bool = True
    max_tokens: Annotated[int, Meta(le=MAX_TOKENS)] = 0  # a negative one counts as not given


_decode_body = msgspec.json.Decoder(_ChatBody).decode


def parse_request(
    message: Message, number: int, request_classes: dict[str, RequestClass], waited: int = 0
) -> RequestSpec:
    """Parses a client's message into a request with this number; raises HttpError with a 4xx status if it is
    malformed. `waited`: microseconds since its last byte arrived, which count against its budget."""
    if message.path.partition("?")[0] != CHAT_PATH:
        raise HttpError(404, f"there is no {message.path[:60]}")
    if message.method != "POST":
        raise HttpError(405, "expected POST")
    headers = message.headers
    if not _match_id(headers.get(ID_HEADER, "")):
        raise HttpError(400, f"{ID_HEADER} is missing or no id")
    request_class = headers.get("x-qos", "")
    if request_class not in request_classes:
        raise HttpError(400, f"x-qos is {request_class!r:.40}, which is not served here")
    budget_ms = _parse_number(headers, "x-expires-in-ms", "x-expires-in-ms")
    if not 0 < budget_ms <= MAX_BUDGET_MS:
        raise HttpError(400, f"x-expires-in-ms is {budget_ms}, expected 1 to {MAX_BUDGET_MS}")
    try:
        body = _decode_body(message.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise HttpError(400, f"the body is no chat: {str(error)[:120]}") from None
    properties = dict(
        pair.strip().partition("=")[::2] for pair in headers.get("x-props", "").split(",") if pair
    )
    prompt = _parse_number(
        properties, "prompt_len", "x-props' prompt_len", len(message.body) // CHARS_PER_TOKEN
    )
    if prompt > len(message.body):
        raise HttpError(400, f"x-props' prompt_len is {prompt}, more than the body holds")
    prefix = _bounded_key(properties.get("prefix", ""))
    # An engine that is taken to cache more than was sent would attract all requests of the prefix.
    prefix_tokens = min(_parse_number(properties, "prefix_len", "x-props' prefix_len", 0), prompt)
    return RequestSpec(
        id=number,
        request_class=request_class,
        tenant=headers.get("x-customer", ""),
        budget=max(budget_ms * 1000 - waited, 0),
        prompt_tokens=prompt,
        max_output_tokens=_parse_number(properties, "max_out", "x-props' max_out", max(body.max_tokens, 0)),
        session=_bounded_key(headers.get("x-object", "")),
        prefix_id=prefix,
        prefix_tokens=prefix_tokens if prefix else 0,
        expected_time=0,
        is_retry=headers.get("x-second-try", "") == "again",
    )


def _bounded_key(name: str) -> str:
    """Returns a long name's digest in its place: names of sessions and prefixes are kept by the thousand."""
    if len(name) <= MAX_KEY_CHARS:
        return name
    return hashlib.blake2b(name.encode(), digest_size=16).hexdigest()


def _parse_number(fields: Headers, key: str, label: str, default: int | None = None) -> int:
    text = fields.get(key)
    if text is None and default is not None:
        return default
    if text is None or not _match_number(text):
        raise HttpError(400, f"{label} is {text!r:.40}, expected a whole number")
    return int(text)


def error_body(status: int, code: str, text: str) -> bytes:
    return msgspec.json.encode({"error": {"code": code, "message": text, "status": status}})


def rejection(retry_after: int) -> tuple[int, bytes, Headers]:
    """Returns status, body and headers of a rejection, which a client may safely retry. `retry_after`:
    microseconds; 0 for no Retry-After header."""
    headers = {**JSON_HEADERS, "retry-after": f"{retry_after / 1e6:.3f}"} if retry_after else JSON_HEADERS
    return 503, error_body(503, "pushed_back", "trying again does no harm"), headers


def failure() -> tuple[int, bytes, Headers]:
    """Returns status, body and headers for a request that may have run and brought no answer."""
    return 504, error_body(504, "aborted", "whether it had an effect is not known"), JSON_HEADERS


def already_executed() -> tuple[int, bytes, Headers]:
    """Returns status, body and headers for an id whose earlier request may have run: it is not run again."""
    return 409, error_body(409, "already_executed", "a request with this id may have run"), JSON_HEADERS
