"""Joins two streams into one. What the client has been sent is fixed; the new engine's text goes on from its
last character.

What is guaranteed: no text that the client has seen is repeated or skipped. Where engines give the same text
for the same prompt (greedy decoding, one model), the spliced answer equals the unbroken one. A sampled answer
goes on as the new engine samples, with or without a seed: that is a valid answer, but not the one that was
lost. Answers that can't be spliced like this are ended with an error: several choices, tool calls that have
begun, output constrained by a grammar (`response_format`).
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec

_decode = msgspec.json.Decoder(dict[str, Any]).decode
_encode = msgspec.json.Encoder().encode
COMPACT_AT = 65_536  # unparsed bytes that are kept of a stream before they are reduced to their text


class SpliceError(Exception):
    """The new engine's text does not go on from what the client has."""


def obstacle(body: dict[str, Any]) -> str:
    """Why answers to this request can't be spliced, as the client is told; "" if they can."""
    if (body.get("n") or 1) != 1:
        return "several choices"
    response_format = body.get("response_format") or {}
    if isinstance(response_format, dict) and response_format.get("type", "text") != "text":
        return "a bound grammar"
    if body.get("continue_final_message"):
        return "the client's own continuation"
    return ""


@dataclass(slots=True)
class SentAnswer:
    """What a client has been sent of one stream. Blocks of events are kept unparsed until they are needed."""

    text: str = ""
    tokens: int = 0
    identity: dict[str, Any] = field(default_factory=dict)  # id, created and model of the first event
    has_tool_call: bool = False  # a tool call has begun
    finished: bool = False
    _blocks: list[bytes] = field(default_factory=list)
    _size: int = 0

    def add(self, block: bytes) -> None:
        """Adds whole events as they were sent."""
        self._blocks.append(block)
        self._size += len(block)
        if self._size > COMPACT_AT:
            self.parse()

    def parse(self) -> "SentAnswer":
        """Parses the blocks that were added since the last call."""
        blocks, self._blocks, self._size = b"".join(self._blocks), [], 0
        for event in blocks.split(b"\n\n"):
            if not event.startswith(b"data: {"):
                continue
            content = _decode(event[6:])
            if not self.identity:
                self.identity = {
                    key: content[key]
                    for key in ("id", "created", "model", "system_fingerprint")
                    if key in content
                }
            for choice in content.get("choices") or ():
                delta = choice.get("delta") or {}
                if delta.get("content"):
                    self.text += delta["content"]
                    self.tokens += 1
                self.has_tool_call = self.has_tool_call or bool(delta.get("tool_calls"))
                self.finished = self.finished or choice.get("finish_reason") is not None
        return self


def continuation(body: dict[str, Any], sent: SentAnswer) -> dict[str, Any]:
    """The request that asks another engine to go on: the answer so far is a last message to be continued. A
    limit on the answer's length is lowered by what was sent."""
    continued = dict(body)
    if sent.text:
        continued["messages"] = [*body["messages"], {"role": "assistant", "content": sent.text}]
        continued |= {"continue_final_message": True, "add_generation_prompt": False}
    for key in ("max_tokens", "max_completion_tokens"):
        if continued.get(key):
            continued[key] = max(continued[key] - sent.tokens, 1)
    return continued


class Splice:
    """Rewrites the new engine's events as events of the old stream. `starts_at`: the character of the answer
    so far at which the new text begins, where the engine says so; else it begins where that answer ends."""

    def __init__(self, sent: SentAnswer, stop: list[str], starts_at: int | None) -> None:
        if starts_at is not None and not 0 <= starts_at <= len(sent.text):
            raise SpliceError(f"the new text begins at character {starts_at} of {len(sent.text)}")
        self._identity, self._sent_tokens = sent.identity, sent.tokens
        self._repeated = sent.text[starts_at:] if starts_at is not None else ""  # text that comes once more
        self._stop = stop
        longest = max(map(len, stop), default=1) - 1
        self._tail = sent.text[-longest:] if longest else ""
        self._seam = len(self._tail)
        self._watched = longest  # characters after the seam in which a stop sequence from before it may end
        self.stopped = False

    def event(self, data: bytes) -> bytes | None:
        """The JSON of one event as the client is to get it; None if the client has all of it."""
        content = _decode(data)
        content |= self._identity
        choices = content.get("choices") or []
        is_new = not choices
        for choice in choices:
            delta = choice.get("delta") or {}
            text = delta.get("content")
            if text:
                delta["content"] = self._cut_repeated(text, choice)
                is_new = is_new or bool(delta["content"]) or choice.get("finish_reason") is not None
            else:
                delta.pop("role", None)
                is_new = is_new or choice.get("finish_reason") is not None or bool(delta.get("tool_calls"))
            if choice.get("finish_reason") and self._repeated:
                raise SpliceError("the new text ends before the answer so far does")
        usage = content.get("usage")
        if usage:
            content["usage"] = self._whole_usage(usage)
        return _encode(content) if is_new else None

    def _cut_repeated(self, text: str, choice: dict[str, Any]) -> str:
        """The part of this text that the client does not have yet."""
        if self._repeated:
            length = min(len(text), len(self._repeated))
            if text[:length] != self._repeated[:length]:
                raise SpliceError("the new text differs from the answer so far")
            self._repeated = self._repeated[length:]
            text = text[length:]
            if choice.get("logprobs") is not None:
                choice["logprobs"] = None  # they belong to tokens that were sent before
        return self._until_stop(text, choice)

    def _until_stop(self, text: str, choice: dict[str, Any]) -> str:
        """Ends the answer at a stop sequence that begins before the seam and ends after it, as the new engine
        can't see that one. What was sent of it stays sent; nothing after it is sent."""
        if self._watched <= 0 or not text:
            return text
        self._tail += text
        self._watched -= len(text)
        if any(0 <= self._tail.find(stop) < self._seam for stop in self._stop):
            self.stopped = True
            choice["finish_reason"] = "stop"
            return ""
        return text

    def _whole_usage(self, usage: dict[str, Any]) -> dict[str, Any]:
        """The usage as of one stream: tokens sent before the break count as answer, not as prompt."""
        prompt = max(usage.get("prompt_tokens", 0) - self._sent_tokens, 0)
        answer = usage.get("completion_tokens", 0) + self._sent_tokens
        return usage | {"prompt_tokens": prompt, "completion_tokens": answer, "total_tokens": prompt + answer}
