"""Turns the wire's text into the module's plain types. It translates and nothing else."""

from lifthead.interface import (
    Demand,
    Deployment,
    Effect,
    Ending,
    EndpointGroup,
    EngineEntry,
    LoadReport,
    Tenant,
)

ENDINGS = {
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
EFFECTS = {"safe": Effect.REPLAYABLE, "keyed": Effect.KEYED, "unsafe": Effect.NON_REPLAYABLE}
REPORT_FIELDS = {
    "rif": "held",
    "q": "queued",
    "busy": "slots_used",
    "x0": "memory_used",
    "x1": "unread_thousands",
}

Fields = dict[str, str]


class MalformedError(Exception):
    """The input breaks the wire's form."""


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


def whole(fields: Fields, key: str, default: int | None = None) -> int:
    text = fields.get(key)
    if text is None:
        if default is None:
            raise MalformedError(f"{key} is missing")
        return default
    try:
        return int(text) if text.lstrip("-").isdigit() else int(float(text))
    except (ValueError, OverflowError):
        raise MalformedError(f"{key}={text[:40]} is not a number") from None


def real(fields: Fields, key: str, default: float) -> float:
    text = fields.get(key)
    try:
        return default if text is None else float(text)
    except ValueError:
        raise MalformedError(f"{key}={text[:40]} is not a number") from None


def flag(fields: Fields, key: str) -> bool:
    return fields.get(key, "0") in ("1", "true")


def text_of(fields: Fields, key: str) -> str:
    value = fields.get(key, "")
    return "" if value in ("-", "0") else value


def required(fields: Fields, key: str) -> str:
    if key not in fields:
        raise MalformedError(f"{key} is missing")
    return fields[key]


def named(table: dict[str, object], fields: Fields, key: str) -> object:
    value = required(fields, key)
    if value not in table:
        raise MalformedError(f"{key}={value[:40]} is not known")
    return table[value]


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


def demand_of(fields: Fields) -> Demand:
    return Demand(
        id=whole(fields, "Id"),
        group=fields.get("Cls", ""),
        tenant=text_of(fields, "UserGroup"),
        budget=whole(fields, "Budget"),
        prompt=whole(fields, "NPrompt", 0),
        max_out=whole(fields, "NMax", 0),
        session=text_of(fields, "Talk"),
        beginning=text_of(fields, "SystemPrompt"),
        beginning_len=whole(fields, "PrefixLen", 0),
        expected_time=whole(fields, "Effort", 0),
        again=flag(fields, "Again"),
    )


def deployment_of(env: Fields) -> Deployment:
    def listed(key: str) -> list[str]:
        return [part for part in env.get(key, "").split(",") if part]

    def nth(values: list[str], index: int, key: str) -> int:
        return whole({key: values[index]}, key) if index < len(values) else 0

    per_1000, token = listed("FamilyInfo.AimUsPer1000PromptTokens"), listed("FamilyInfo.TokenAim")
    groups = {}
    for index in range(whole(env, "Grades.count", 0)):
        at = f"Grades.{index}."
        name = required(env, at + "Name")
        groups[name] = EndpointGroup(
            name=name,
            effect=named(EFFECTS, env, at + "Effect"),
            keyed_within=env.get(at + "Group", "all"),
            keyed_for=whole(env, at + "KeyTtl", 0),
            target=whole(env, at + "Target", 0),
            target_per_1000=nth(per_1000, index, "AimUsPer1000PromptTokens"),
            deadline=whole(env, at + "Deadline", 0),
            token_target=nth(token, index, "TokenAim"),
            importance=real(env, at + "Worth", 1.0),
            late_share=real(env, at + "LateWorth", 0.0),
        )
    tenants = {}
    for index in range(whole(env, "Tenants.count", 0)):
        name = required(env, f"Tenants.{index}.Name")
        tenants[name] = Tenant(name, real(env, f"Tenants.{index}.QuotaPerS", 0.0))
    kinds, roles = listed("Flavors"), listed("FamilyInfo.RoleByKind")
    memory = listed("FamilyInfo.KvTokens")
    return Deployment(
        zone=env.get("Zone", ""),
        routers=max(1, whole(env, "ReplicasOfMe", 1)),
        tick=whole(env, "Tick", 0),
        seed=whole(env, "Nonce64", 0),
        groups=groups,
        tenants=tenants,
        roles=dict(zip(kinds, roles, strict=False)),
        memory={kind: nth(memory, index, "KvTokens") for index, kind in enumerate(kinds)},
        writers_read=flag(env, "FamilyInfo.LocalRead"),
        let_go_by=whole(env, "FamilyInfo.LetGoBy", 0),
        cold_share=real(env, "Rules.ColdShare", 1.0),
        warm_within=whole(env, "Rules.WarmWithin", 0),
        tip_multiple=real(env, "Rules.TipMultiple", 1.0),
        overload_for=whole(env, "Rules.OverloadFor", 0),
        max_forwards=whole(env, "PolicyLimits.MaxAttempts", 1),
        may_cancel=flag(env, "PolicyLimits.Cancel"),
        may_probe=flag(env, "PolicyLimits.Probes"),
        may_hold_off=flag(env, "PolicyLimits.RetryAfter"),
        max_hold_off=whole(env, "PolicyLimits.MaxRetryAfter", 0),
        reports_on_probe=env.get("LoadInfo.Via") == "on_probe",
        must_ask=env.get("MembershipMode") == "on_request",
        ask_within=whole(env, "Rules.MustAskIn", 0),
    )
