"""Converts between OpenAI's chat protocol and the router's own types. No routing decision is made here."""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from lifthead.bounds import MAX_TOKENS
from lifthead.chat.length import estimate_tokens
from lifthead.deployment.fleet import Fleet
from lifthead.http1 import Headers, HttpError, Message

DEFAULT_MAX_ANSWER_TOKENS = 1024  # assumed for load estimates if the client sets no limit
MAX_TOOL_CALLS = 1024  # in one answer


class BadRequestError(Exception):
    """A client's request that can't be accepted; it is answered by an error in OpenAI's format."""

    def __init__(self, status: int, code: str, message: str, param: str | None = None) -> None:
        super().__init__(message)
        self.status, self.code, self.message, self.param = status, code, message, param


class _ChatMessage(msgspec.Struct):
    role: str
    content: str | list[dict] | None = None


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _ChatBody(msgspec.Struct):
    model: str
    messages: Annotated[list[_ChatMessage], Meta(min_length=1)]
    stream: bool | None = None
    stream_options: _StreamOptions | None = None
    max_tokens: Annotated[int, Meta(ge=1, le=MAX_TOKENS)] | None = None
    max_completion_tokens: Annotated[int, Meta(ge=1, le=MAX_TOKENS)] | None = None
    prompt_cache_key: str | None = None
    user: str | None = None
    stop: str | list[str] | None = None


_decode = msgspec.json.Decoder(_ChatBody).decode
_decode_raw = msgspec.json.Decoder(dict[str, Any]).decode
_encode = msgspec.json.Encoder().encode


@dataclass(slots=True)
class ClientRequest:
    """A client's request, parsed."""

    request_class: str
    tenant: str
    model: str
    budget: int  # microseconds
    prompt_tokens: int
    max_answer_tokens: int
    session: str
    shared_prefix: str  # id of the prompt's beginning that other requests may share, "" if none
    shared_prefix_tokens: int
    is_retry: bool
    streamed: bool
    wants_usage: bool
    client_id: str  # the client's own id of the request, "" if none
    idempotency_key: str
    stop_sequences: list[str]
    body: dict[str, Any]  # as received, for the engines


def _text(message: _ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return "".join(str(part.get("text", "")) for part in message.content or ())


def _digest(texts: list[str]) -> str:
    return blake2b("\0".join(texts).encode("utf-8", "replace"), digest_size=8).hexdigest()


class ChatApi:
    """Authenticates and parses requests by the tenants, models and header names of the settings."""

    def __init__(self, fleet: Fleet) -> None:
        self._tenants_by_key = {key: tenant.name for tenant in fleet.tenants.values() for key in tenant.keys}
        self._classes_by_model = {
            model: group.name for group in fleet.groups.values() for model in group.models
        }
        self._deadlines = {group.name: int(group.deadline) for group in fleet.groups.values()}
        self._headers = fleet.headers
        self.models = list(self._classes_by_model)

    def authenticate(self, headers: Headers) -> str:
        """Returns the tenant that the API key belongs to; BadRequestError if there is none."""
        scheme, _, key = headers.get("authorization", "").partition(" ")
        name = self._tenants_by_key.get(key.strip()) if scheme.lower() == "bearer" else None
        if name is None:
            raise BadRequestError(
                401, "invalid_api_key", "expected 'Authorization: Bearer' with a known API key"
            )
        return name

    def parse(self, message: Message) -> ClientRequest:
        """Parses the chat request in an HTTP request; BadRequestError says where and what was expected."""
        headers = message.headers
        tenant = self.authenticate(headers)
        try:
            body = _decode(message.body)
            raw = _decode_raw(message.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
            reason, _, path = str(problem).partition(" - at `$")
            raise BadRequestError(400, "invalid_body", reason, path.rstrip("`").lstrip(".") or None) from None
        for index, each in enumerate(body.messages):
            # An assistant message may consist of tool calls alone.
            if each.content is None and each.role != "assistant":
                raise BadRequestError(400, "invalid_body", "expected a content", f"messages[{index}].content")
        request_class = headers.get(self._headers.group) or self._classes_by_model.get(body.model, "")
        if request_class not in self._deadlines:
            raise BadRequestError(
                404, "model_not_found", f"no model {body.model!r:.80}, expected one of {self.models}", "model"
            )
        texts = [_text(each) for each in body.messages]
        roles = [each.role for each in body.messages]
        system_count = next(
            (index for index, role in enumerate(roles) if role not in ("system", "developer")), len(roles)
        )
        through_first_user = next((index for index, role in enumerate(roles) if role == "user"), 0) + 1
        try:
            prompt_tokens = estimate_tokens(texts)
        except UnicodeEncodeError:
            raise BadRequestError(400, "invalid_body", "a message is not Unicode text", "messages") from None
        session = headers.get(self._headers.session) or body.user or _digest(texts[:through_first_user])
        shared_prefix = body.prompt_cache_key or (_digest(texts[:system_count]) if system_count else "")
        return ClientRequest(
            request_class=request_class,
            tenant=tenant,
            model=body.model,
            budget=self._budget(headers, self._deadlines[request_class]),
            prompt_tokens=prompt_tokens,
            max_answer_tokens=body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_ANSWER_TOKENS,
            session=session,
            shared_prefix=shared_prefix,
            shared_prefix_tokens=estimate_tokens(texts[:system_count]) if system_count else 0,
            is_retry=headers.get("x-stainless-retry-count", "0") not in ("", "0"),
            streamed=bool(body.stream),
            wants_usage=bool(body.stream_options and body.stream_options.include_usage),
            client_id=headers.get("x-client-request-id", "")[:128],
            idempotency_key=headers.get("idempotency-key", "")[:255],
            stop_sequences=[body.stop] if isinstance(body.stop, str) else body.stop or [],
            body=raw,
        )

    def _budget(self, headers: Headers, deadline: int) -> int:
        value = headers.get(self._headers.budget_ms)
        if value is None:
            return deadline
        try:
            budget = int(float(value) * 1000)
        except (ValueError, OverflowError):
            budget = 0
        if budget <= 0:
            raise BadRequestError(
                400, "invalid_budget", f"header {self._headers.budget_ms}: expected milliseconds above 0"
            )
        return min(budget, deadline)

    def model_list(self) -> bytes:
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "lifthead"} for name in self.models
        ]
        return _encode({"object": "list", "data": models})

    def model(self, name: str) -> bytes:
        if name not in self._classes_by_model:
            raise BadRequestError(
                404, "model_not_found", f"no model {name!r:.80}, expected one of {self.models}", "model"
            )
        return _encode({"id": name, "object": "model", "created": 0, "owned_by": "lifthead"})


ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "invalid_request_error",
    429: "rate_limit_error",
}


def error(status: int, code: str, message: str, param: str | None = None) -> bytes:
    """Builds an error body in OpenAI's format."""
    error_type = ERROR_TYPES.get(status, "invalid_request_error" if status < 500 else "server_error")
    return _encode({"error": {"message": message, "type": error_type, "param": param, "code": code}})


def with_event_id(block: bytes, event_id: str) -> bytes:
    """Adds an event id to the last event of a block of whole events.

    The id tells a client that reconnects, and an operator, how far the stream had come.
    """
    last = block.rfind(b"\n\n", 0, len(block) - 2)
    at = last + 2 if last >= 0 else 0
    return block[:at] + f"id: {event_id}\n".encode() + block[at:]


def error_event(code: str, message: str) -> bytes:
    """Builds the event that ends a stream which can't be continued, so that its client notices."""
    return b"data: " + error(502, code, message) + b"\n\n"


class AnswerAssembler:
    """Assembles the events of a stream into one answer, for a client that did not ask for a stream."""

    def __init__(self) -> None:
        self._head: dict[str, Any] = {}
        self._choices: dict[int, dict[str, Any]] = {}
        self._usage: Any = None

    def add(self, data: bytes) -> None:
        """Adds the JSON of one event, as the engine sent it."""
        event = _decode_raw(data)
        for key in ("id", "created", "model", "system_fingerprint"):
            if key in event:
                self._head.setdefault(key, event[key])
        self._usage = event.get("usage") or self._usage
        for choice in event.get("choices") or ():
            choice_so_far = self._choices.setdefault(
                choice.get("index", 0),
                {
                    "index": choice.get("index", 0),
                    "message": {"role": "assistant", "content": None},
                    "finish_reason": None,
                    "logprobs": None,
                },
            )
            choice_so_far["finish_reason"] = choice.get("finish_reason") or choice_so_far["finish_reason"]
            self._merge(choice_so_far["message"], choice.get("delta") or {})
            for key, values in (choice.get("logprobs") or {}).items():
                choice_so_far["logprobs"] = choice_so_far["logprobs"] or {}
                choice_so_far["logprobs"][key] = (choice_so_far["logprobs"].get(key) or []) + (values or [])

    def _merge(self, message: dict, delta: dict) -> None:
        for key, value in delta.items():
            if key == "tool_calls":
                calls = message.setdefault("tool_calls", [])
                for call in value or ():
                    index = call.get("index", 0)
                    if not 0 <= index < MAX_TOOL_CALLS:
                        raise HttpError(502, f"a tool call has the index {index!r:.20}")
                    while len(calls) <= index:
                        calls.append(
                            {"id": None, "type": "function", "function": {"name": "", "arguments": ""}}
                        )
                    calls[index]["id"] = call.get("id") or calls[index]["id"]
                    for field, text in (call.get("function") or {}).items():
                        calls[index]["function"][field] = calls[index]["function"].get(field, "") + (
                            text or ""
                        )
            elif key == "role" or value is None:
                continue
            else:
                message[key] = (message.get(key) or "") + value if isinstance(value, str) else value

    def completion(self) -> bytes:
        return _encode(
            {
                **self._head,
                "object": "chat.completion",
                "choices": [self._choices[index] for index in sorted(self._choices)],
                "usage": self._usage,
            }
        )
