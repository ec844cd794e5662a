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
from lifthead.interface import Demand, Ending, EngineEntry, LoadReport

OUTCOMES = {
    "done": Ending.DONE,
    "staged": Ending.READ,
    "busy": Ending.BUSY,
    "err": Ending.ERROR,
    "etimedout": Ending.TIMED_OUT,
    "econnrefused": Ending.UNREACHABLE,
    "econnreset": Ending.BROKEN,
    "ecanceled": Ending.CANCELLED,
    "skipped": Ending.NOT_SENT,
}
READINESS = {"live": "ready", "quiescing": "draining", "dead": "gone"}
REPORT_FIELDS = {
    "rif": "held",
    "q": "queued",
    "busy": "slots_used",
    "x0": "memory_used",
    "x1": "unread_thousands",
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


def parse_request(fields: Fields) -> Demand:
    return Demand(
        id=int_field(fields, "Id"),
        group=fields.get("Cls", ""),
        tenant=optional_text(fields, "UserGroup"),
        budget=int_field(fields, "Budget"),
        prompt=int_field(fields, "NPrompt", 0),
        max_out=int_field(fields, "NMax", 0),
        session=optional_text(fields, "Talk"),
        beginning=optional_text(fields, "SystemPrompt"),
        beginning_len=int_field(fields, "PrefixLen", 0),
        expected_time=int_field(fields, "Effort", 0),
        again=bool_field(fields, "Again"),
    )
