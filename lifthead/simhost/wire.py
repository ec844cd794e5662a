"""Translates lines of the simulator's protocol into the plain types of the decision module."""

from lifthead.instance_settings import (
    Fields,
    MalformedError,
    bool_field,
    float_field,
    int_field,
    lookup_field,
    required_field,
)
from lifthead.interface import AttemptOutcome, EngineEntry, LoadReport, RequestSpec

OUTCOMES = {
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


def parse_line(line: str) -> tuple[str, Fields]:
    name, *parts = line.split(" ")
    fields: Fields = {}
    for part in parts:
        if not part:
            continue
        key, separator, value = part.partition("=")
        if not separator:
            raise MalformedError(f"'{part[:40]}' in line '{line[:120]}' is not of the form name=value")
        fields[key] = value
    return name, fields


def optional_text(fields: Fields, key: str) -> str:
    value = fields.get(key, "")
    return "" if value in ("-", "0") else value


def parse_load_report(fields: Fields) -> LoadReport | None:
    load_text = fields.get("ServerStats", "")
    if load_text in ("", "-"):
        return None
    values = dict(pair.partition(":")[::2] for pair in load_text.split(","))
    load = {
        attribute: float_field(values, wire_name, 0.0)
        for wire_name, attribute in REPORT_FIELDS.items()
        if wire_name in values
    }
    return LoadReport(**load)


def parse_engine_entry(line: str) -> EngineEntry:
    name, fields = parse_line(line)
    if name != "M":
        raise MalformedError(f"expected an M line, got '{line[:120]}'")
    return EngineEntry(
        engine=required_field(fields, "Engine"),
        zone=fields.get("Campus", ""),
        cell=int_field(fields, "Pack", 0),
        kind=fields.get("Sku", ""),
        weight=float_field(fields, "PowerHint", 1.0),
        up_since=int_field(fields, "UpSince", 0),
        readiness=lookup_field(READINESS, fields, "Readiness"),
    )


def parse_request(fields: Fields) -> RequestSpec:
    return RequestSpec(
        id=int_field(fields, "Id"),
        request_class=fields.get("Cls", ""),
        tenant=optional_text(fields, "UserGroup"),
        budget=int_field(fields, "Budget"),
        prompt_tokens=int_field(fields, "NPrompt", 0),
        max_output_tokens=int_field(fields, "NMax", 0),
        session=optional_text(fields, "Talk"),
        prefix_id=optional_text(fields, "SystemPrompt"),
        prefix_tokens=int_field(fields, "PrefixLen", 0),
        expected_time=int_field(fields, "Effort", 0),
        is_retry=bool_field(fields, "Again"),
    )
