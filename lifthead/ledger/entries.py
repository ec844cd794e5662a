"""The entries of a ledger, which are never changed. docs/ledger.md has the table of what is billed when."""

from datetime import UTC, datetime
from zoneinfo import ZoneInfo

import msgspec


class Usage(msgspec.Struct, frozen=True, kw_only=True, tag="usage"):
    """One request that has ended. Its id is the router's id of the request, which contains the router's name
    and start."""

    id: str
    at: int  # wall clock, microseconds
    period: str
    tenant: str
    group: str
    ended: str  # done (served), pushed back (rejected), aborted (failed) or left (the client closed)
    prompt: int  # tokens, estimated by the router
    kept: int  # of them, found in the prefix cache of the last engine that prefilled the prompt
    sent: int  # answer tokens sent to the client
    made: int  # answer tokens decoded by engines, as seen in their streams
    forwards: int  # attempts
    resumes: int
    read_anew: int  # tokens prefilled again for resumes, which the operator pays for
    billed_prompt: int
    billed_answer: int


class Correction(msgspec.Struct, frozen=True, kw_only=True, tag="correction"):
    """An operator's entry: amounts to add, or the reversal of another correction."""

    id: str
    at: int
    period: str  # the open period in which it counts
    of_period: str  # the period that it corrects, which may be closed
    tenant: str
    group: str
    reqs: int
    prompt: int
    answer: int
    why: str
    reverses: str = ""  # id of the correction that this one reverses


class Closed(msgspec.Struct, frozen=True, kw_only=True, tag="closed"):
    """The end of a period: it gets no more entries."""

    id: str
    at: int
    period: str


class Planned(msgspec.Struct, frozen=True, kw_only=True, tag="planned"):
    """A batch that is about to be exported. After a restart it is sent again with the same bounds."""

    id: str  # batch id
    at: int
    first: int
    last: int


class Delivered(msgspec.Struct, frozen=True, kw_only=True, tag="delivered"):
    """A batch that the billing system has accepted."""

    id: str
    at: int
    first: int
    last: int


Entry = Usage | Correction | Closed | Planned | Delivered
encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(tuple[int, Entry]).decode


def decode(data: bytes) -> tuple[int, Entry]:
    """Number and entry of a record's payload; raises msgspec.DecodeError if it is invalid."""
    return _decode(data)


def period_of(at: int, zone: str, by: str) -> str:
    """The period of a wall-clock time in a time zone: `2026-12` by month, `2026-12-01` by day."""
    local = datetime.fromtimestamp(at / 1e6, UTC).astimezone(ZoneInfo(zone))
    return local.strftime("%Y-%m" if by == "month" else "%Y-%m-%d")


def billed_tokens(ended: str, first_token_sent: bool, prompt: int, sent: int) -> tuple[int, int]:
    """Prompt and answer tokens to bill: the answer tokens that the client was sent, and the prompt if it was
    sent any. A rejected request is free, and so is one that failed before its first token: the client got
    nothing."""
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
    """The entry of a request that has ended."""
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
