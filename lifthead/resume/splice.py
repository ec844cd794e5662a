"""One stream out of two: what the client has is the truth, and the new writer goes on from its last
character.

What is promised. Nothing that the client has seen is repeated or skipped. Where the engines write the same
text for the same prompt (greedy decoding, one model), the whole equals the stream that was not broken.
Sampled answers go on as the new writer draws, with or without a seed: a valid answer, not the one that was
lost. What can't be put together so is aborted cleanly: several choices, tool calls that have begun, a bound
grammar (`response_format`).
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec

_decode = msgspec.json.Decoder(dict[str, Any]).decode
_encode = msgspec.json.Encoder().encode
COMPACT_AT = 65_536  # raw bytes kept of a stream before only their text is


class SpliceError(Exception):
    """The new writer's text does not go on from what the client has."""


def obstacle(body: dict[str, Any]) -> str:
    """Why answers to this req can't be put together from two streams; "" if they can."""
    if (body.get("n") or 1) != 1:
        return "several choices"
    form = body.get("response_format") or {}
    if isinstance(form, dict) and form.get("type", "text") != "text":
        return "a bound grammar"
    if body.get("continue_final_message"):
        return "the client's own continuation"
    return ""


@dataclass(slots=True)
class SentAnswer:
    """What a client has been sent of one stream. Blocks are kept as they came and read only when needed."""

    text: str = ""
    tokens: int = 0
    head: dict[str, Any] = field(default_factory=dict)  # id, created and model of the first event
    has_tool_call: bool = False  # a tool call has begun
    finished: bool = False
    _blocks: list[bytes] = field(default_factory=list)
    _size: int = 0

    def add(self, block: bytes) -> None:
        """Whole events as they were sent."""
        self._blocks.append(block)
        self._size += len(block)
        if self._size > COMPACT_AT:
            self.parse()

    def parse(self) -> "SentAnswer":
        """Reads the blocks that came since the last call."""
        blocks, self._blocks, self._size = b"".join(self._blocks), [], 0
        for event in blocks.split(b"\n\n"):
            if not event.startswith(b"data: {"):
                continue
            part = _decode(event[6:])
            if not self.head:
                self.head = {
                    key: part[key] for key in ("id", "created", "model", "system_fingerprint") if key in part
                }
            for choice in part.get("choices") or ():
                delta = choice.get("delta") or {}
                if delta.get("content"):
                    self.text += delta["content"]
                    self.tokens += 1
                self.has_tool_call = self.has_tool_call or bool(delta.get("tool_calls"))
                self.finished = self.finished or choice.get("finish_reason") is not None
        return self


def continuation(body: dict[str, Any], written: SentAnswer) -> dict[str, Any]:
    """The req that asks another writer to go on: the answer so far as a last message that is to be continued.
    A bound on the answer's length is lowered by what was sent."""
    asked = dict(body)
    if written.text:
        asked["messages"] = [*body["messages"], {"role": "assistant", "content": written.text}]
        asked |= {"continue_final_message": True, "add_generation_prompt": False}
    for key in ("max_tokens", "max_completion_tokens"):
        if asked.get(key):
            asked[key] = max(asked[key] - written.tokens, 1)
    return asked


class Splice:
    """The new writer's events as the old stream's. `starts_at`: characters of the answer so far after which
    the new text begins, where the engine says so; else it begins where the answer so far ends."""

    def __init__(self, written: SentAnswer, stop: list[str], starts_at: int | None) -> None:
        if starts_at is not None and not 0 <= starts_at <= len(written.text):
            raise SpliceError(f"it goes on from character {starts_at} of {len(written.text)}")
        self._head, self._before = written.head, written.tokens
        self._again = written.text[starts_at:] if starts_at is not None else ""  # what it will say once more
        self._stop = stop
        longest = max(map(len, stop), default=1) - 1
        self._tail = written.text[-longest:] if longest else ""
        self._edge = len(self._tail)
        self._watched = longest  # characters after the seam in which a stop that began before it may end
        self.stopped = False

    def event(self, data: bytes) -> bytes | None:
        """One event's JSON as the client is to get it; None if nothing of it is new."""
        part = _decode(data)
        part |= self._head
        choices = part.get("choices") or []
        new = not choices
        for choice in choices:
            delta = choice.get("delta") or {}
            content = delta.get("content")
            if content:
                delta["content"] = self._cut(content, choice)
                new = new or bool(delta["content"]) or choice.get("finish_reason") is not None
            else:
                delta.pop("role", None)
                new = new or choice.get("finish_reason") is not None or bool(delta.get("tool_calls"))
            if choice.get("finish_reason") and self._again:
                raise SpliceError("it ends before the answer so far does")
        usage = part.get("usage")
        if usage:
            part["usage"] = self._whole(usage)
        return _encode(part) if new else None

    def _cut(self, content: str, choice: dict[str, Any]) -> str:
        """What of this text the client does not have yet."""
        if self._again:
            same = min(len(content), len(self._again))
            if content[:same] != self._again[:same]:
                raise SpliceError("it says something else than the answer so far")
            self._again = self._again[same:]
            content = content[same:]
            if choice.get("logprobs") is not None:
                choice["logprobs"] = None  # they belong to tokens that were sent before
        return self._until_stop(content, choice)

    def _until_stop(self, content: str, choice: dict[str, Any]) -> str:
        """A stop sequence that begins before the seam and ends after it: the new writer can't see it.
        What was sent of it stays sent; nothing after it is."""
        if self._watched <= 0 or not content:
            return content
        self._tail += content
        self._watched -= len(content)
        if any(0 <= self._tail.find(stop) < self._edge for stop in self._stop):
            self.stopped = True
            choice["finish_reason"] = "stop"
            return ""
        return content

    def _whole(self, usage: dict[str, Any]) -> dict[str, Any]:
        """The usage as of one stream: what was written before counts as answer, not as prompt."""
        prompt = max(usage.get("prompt_tokens", 0) - self._before, 0)
        answer = usage.get("completion_tokens", 0) + self._before
        return usage | {"prompt_tokens": prompt, "completion_tokens": answer, "total_tokens": prompt + answer}
