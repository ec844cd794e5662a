"""Turns the wire's text into the module's plain types. It translates and nothing else."""

from lifthead.interface import AttemptOutcome, EngineEntry, LoadReport, RequestSpec
from lifthead.terms import Fields, MalformedError, flag, named, real, required, whole

ENDINGS = {
    "done": AttemptOutcome.COMPLETED,
    "staged": AttemptOutcome.PREFILLED,
    "busy": AttemptOutcome.REJECTED,
    "err": AttemptOutcome.ERROR,
    "etimedout": AttemptOutcome.TIMED_OUT,
    "econnrefused": AttemptOutcome.UNREACHABLE,
    "econnreset": AttemptOutcome.CONNECTION_LOST,
    "ecanceled": AttemptOutcome.CANCELLED,
    "skipped": AttemptOutcome.NOT_SENT,
}
READINESS = {"live": "ready", "quiescing": "draining", "dead": "gone"}
REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "slots_used",
    "x0": "memory_used",
    "x1": "prefill_backlog_thousands",
}


def fields_of(line: str) -> tuple[str, Fields]:
    name, *parts = line.split(" ")
    fields: Fields = {}
    for part in parts:
        if not part:
            continue
        key, equals, value = part.partition("=")
        if not equals:
            raise MalformedError(f"part '{part[:40]}' of line '{line[:120]}' is not of the form name=value")
        fields[key] = value
    return name, fields


def text_of(fields: Fields, key: str) -> str:
    value = fields.get(key, "")
    return "" if value in ("-", "0") else value


def report_of(fields: Fields) -> LoadReport | None:
    stats = fields.get("ServerStats", "")
    if stats in ("", "-"):
        return None
    values = dict(pair.partition(":")[::2] for pair in stats.split(","))
    known = {ours: real(values, theirs, 0.0) for theirs, ours in REPORT_FIELDS.items() if theirs in values}
    return LoadReport(**known)


def entry_of(line: str) -> EngineEntry:
    name, fields = fields_of(line)
    if name != "M":
        raise MalformedError(f"line '{line[:120]}' stands where an M line belongs")
    return EngineEntry(
        engine=required(fields, "Engine"),
        zone=fields.get("Campus", ""),
        cell=whole(fields, "Pack", 0),
        kind=fields.get("Sku", ""),
        weight=real(fields, "PowerHint", 1.0),
        up_since=whole(fields, "UpSince", 0),
        readiness=named(READINESS, fields, "Readiness"),
    )


def demand_of(fields: Fields) -> RequestSpec:
    return RequestSpec(
        id=whole(fields, "Id"),
        request_class=fields.get("Cls", ""),
        tenant=text_of(fields, "UserGroup"),
        budget=whole(fields, "Budget"),
        prompt_tokens=whole(fields, "NPrompt", 0),
        max_output_tokens=whole(fields, "NMax", 0),
        session=text_of(fields, "Talk"),
        prefix_id=text_of(fields, "SystemPrompt"),
        prefix_tokens=whole(fields, "PrefixLen", 0),
        expected_time=whole(fields, "Effort", 0),
        is_retry=flag(fields, "Again"),
    )
