"""What a ledger holds: entries that are never changed. docs/ledger.md has the table of what is billed
when."""

from datetime import UTC, datetime
from zoneinfo import ZoneInfo

import msgspec


class Usage(msgspec.Struct, frozen=True, kw_only=True, tag="usage"):
    """One req that has ended. Its id is the router's for the req: it holds the router's name and life."""

    id: str
    at: int  # wall clock, microseconds
    period: str
    tenant: str
    group: str
    ended: str  # done, pushed back, aborted or left
    prompt: int  # tokens, by the router's estimate
    kept: int  # of them, found kept by the engine that read them last
    sent: int  # answer tokens that the client was sent
    made: int  # answer tokens that engines made, as far as their streams showed
    forwards: int
    resumes: int
    read_anew: int  # tokens read again for resumes: the operator's cost
    billed_prompt: int
    billed_answer: int


class Correction(msgspec.Struct, frozen=True, kw_only=True, tag="correction"):
    """An operator's entry: amounts to add, or another correction to take back."""

    id: str
    at: int
    period: str  # where it counts: an open one
    of_period: str  # what it corrects, may be closed
    tenant: str
    group: str
    reqs: int
    prompt: int
    answer: int
    why: str
    reverses: str = ""  # id of a correction whose amounts this one undoes


class Closed(msgspec.Struct, frozen=True, kw_only=True, tag="closed"):
    """A period that gets no more entries."""

    id: str
    at: int
    period: str


class Planned(msgspec.Struct, frozen=True, kw_only=True, tag="planned"):
    """A batch that is about to be exported: after a restart it is sent again with the same bounds."""

    id: str  # of the batch
    at: int
    first: int
    last: int


class Delivered(msgspec.Struct, frozen=True, kw_only=True, tag="delivered"):
    """A batch that has landed."""

    id: str
    at: int
    first: int
    last: int


Entry = Usage | Correction | Closed | Planned | Delivered
encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(tuple[int, Entry]).decode


def decode(data: bytes) -> tuple[int, Entry]:
    """Number and entry of a payload; msgspec.DecodeError if it is none."""
    return _decode(data)


def period_of(at: int, zone: str, by: str) -> str:
    """The period of a wall-clock time in a time zone: `2026-12` by month, `2026-12-01` by day."""
    local = datetime.fromtimestamp(at / 1e6, UTC).astimezone(ZoneInfo(zone))
    return local.strftime("%Y-%m" if by == "month" else "%Y-%m-%d")


def billed_tokens(ended: str, first_token_sent: bool, prompt: int, sent: int) -> tuple[int, int]:
    """Prompt and answer tokens that are billed: what the client has seen, and the prompt if it saw anything.
    A pushed back req is free, and so is an abort before the first token: the client has nothing of it."""
    if ended == "done" or (first_token_sent and ended in ("aborted", "left")):
        return prompt, sent
    return 0, 0


def usage_entry(
    *,
    request_id: str,
    at: int,
    period: str,
    tenant: str,
    group: str,
    ended: str,
    first_token_sent: bool,
    prompt: int,
    kept: int,
    sent: int,
    made: int,
    forwards: int,
    resumes: int,
    read_anew: int,
) -> Usage:
    """The entry of a req that has ended."""
    billed_prompt, billed_answer = billed_tokens(ended, first_token_sent, prompt, sent)
    return Usage(
        id=request_id,
        at=at,
        period=period,
        tenant=tenant,
        group=group,
        ended=ended,
        prompt=prompt,
        kept=kept,
        sent=sent,
        made=made,
        forwards=forwards,
        resumes=resumes,
        read_anew=read_anew,
        billed_prompt=billed_prompt,
        billed_answer=billed_answer,
    )
