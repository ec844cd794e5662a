"""The settings of an instance, as the simulator's first message and a node's configuration give them.

One reader for both: the message is pairs of path and value, and a configuration's nested JSON is laid out
as the same pairs first. Standard library alone. It translates and nothing else.
"""

import contextlib
import math
from typing import Any

from lifthead.interface import Deployment, Effect, EndpointGroup, Tenant

EFFECTS = {"safe": Effect.REPLAYABLE, "keyed": Effect.KEYED, "unsafe": Effect.NON_REPLAYABLE}
ROLES = {role: role for role in ("read", "write", "both")}
IDEMPOTENCY_SCOPES = {place: place for place in ("all", "zone", "cell")}
REPORTS_ON_PROBE = {"inline": False, "on_probe": True, "off": False}  # how load reports come
LIST_ON_REQUEST = {"pushed": False, "on_request": True}  # how the list of engines does

Fields = dict[str, str]


class MalformedError(Exception):
    """The input breaks the wire's form."""


def int_field(fields: Fields, key: str, default: int | None = None) -> int:
    text = fields.get(key)
    if text is None:
        if default is None:
            raise MalformedError(f"{key} is missing")
        return default
    try:
        return int(text) if text.lstrip("-").isdigit() else int(float(text))
    except (ValueError, OverflowError):
        raise MalformedError(f"{key}={text[:40]} is not a number") from None


def float_field(fields: Fields, key: str, default: float) -> float:
    text = fields.get(key)
    with contextlib.suppress(ValueError):
        if math.isfinite(value := default if text is None else float(text)):
            return value
    raise MalformedError(f"{key}={text[:40]} is not a number")


def bool_field(fields: Fields, key: str) -> bool:
    return fields.get(key, "0") in ("1", "true")


def required_field(fields: Fields, key: str) -> str:
    if key not in fields:
        raise MalformedError(f"{key} is missing")
    return fields[key]


def lookup_field(table: dict[str, Any], fields: Fields, key: str, default: str | None = None) -> Any:
    value = required_field(fields, key) if default is None else fields.get(key, default)
    if value not in table:
        raise MalformedError(f"{key}={value[:40]} is not known")
    return table[value]


def flatten(nested: dict[str, Any], at: str = "") -> Fields:
    """Nested JSON as the pairs of the simulator's first message: lists of plain values joined by commas,
    lists of objects under their indexes with a count."""
    pairs: Fields = {}
    for key, value in nested.items():
        path = at + key
        if isinstance(value, dict):
            pairs.update(flatten(value, path + "."))
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            pairs[path + ".count"] = str(len(value))
            for index, item in enumerate(value):
                pairs.update(flatten(item, f"{path}.{index}."))
        elif isinstance(value, list):
            pairs[path] = ",".join(map(_format_value, value))
        elif value is not None:
            pairs[path] = _format_value(value)
    return pairs


def _format_value(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def parse_deployment(env: Fields) -> Deployment:
    def list_field(key: str) -> list[str]:
        return [part for part in env.get(key, "").split(",") if part]

    def int_item(values: list[str], index: int, key: str) -> int:
        return int_field({key: values[index]}, key) if index < len(values) else 0

    ttft_per_1000, tpot_targets = (
        list_field("FamilyInfo.AimUsPer1000PromptTokens"),
        list_field("FamilyInfo.TokenAim"),
    )
    groups = {}
    for index in range(int_field(env, "Grades.count")):
        at = f"Grades.{index}."
        name = required_field(env, at + "Name")
        groups[name] = EndpointGroup(
            name=name,
            effect=lookup_field(EFFECTS, env, at + "Effect"),
            keyed_within=lookup_field(IDEMPOTENCY_SCOPES, env, at + "Group", "all"),
            keyed_for=int_field(env, at + "KeyTtl", 0),
            target=int_field(env, at + "Target", 0),
            target_per_1000=int_item(ttft_per_1000, index, "AimUsPer1000PromptTokens"),
            deadline=int_field(env, at + "Deadline", 0),
            token_target=int_item(tpot_targets, index, "TokenAim"),
            importance=float_field(env, at + "Worth", 1.0),
            late_share=float_field(env, at + "LateWorth", 0.0),
        )
    tenants = {}
    for index in range(int_field(env, "Tenants.count", 0)):
        name = required_field(env, f"Tenants.{index}.Name")
        tenants[name] = Tenant(name, float_field(env, f"Tenants.{index}.QuotaPerS", 0.0))
    at = "FamilyInfo.RoleByKind"
    kinds, roles = list_field("Flavors"), list_field(at)
    memory = list_field("FamilyInfo.KvTokens")
    if not kinds:
        raise MalformedError("Flavors is missing")
    if len(roles) != len(kinds):
        raise MalformedError(f"{at} names {len(roles)} roles for {len(kinds)} Flavors")
    return Deployment(
        zone=env.get("Zone", ""),
        routers=max(1, int_field(env, "ReplicasOfMe", 1)),
        tick=int_field(env, "Tick", 0),
        seed=int_field(env, "Nonce64", 0),
        groups=groups,
        tenants=tenants,
        roles={kind: lookup_field(ROLES, {at: role}, at) for kind, role in zip(kinds, roles, strict=True)},
        memory={kind: int_item(memory, index, "KvTokens") for index, kind in enumerate(kinds)},
        writers_read=bool_field(env, "FamilyInfo.LocalRead"),
        let_go_by=int_field(env, "FamilyInfo.LetGoBy", 0),
        cold_share=float_field(env, "Rules.ColdShare", 1.0),
        warm_within=int_field(env, "Rules.WarmWithin", 0),
        tip_multiple=float_field(env, "Rules.TipMultiple", 1.0),
        overload_for=int_field(env, "Rules.OverloadFor", 0),
        max_forwards=int_field(env, "PolicyLimits.MaxAttempts", 1),
        may_cancel=bool_field(env, "PolicyLimits.Cancel"),
        may_probe=bool_field(env, "PolicyLimits.Probes"),
        may_hold_off=bool_field(env, "PolicyLimits.RetryAfter"),
        max_hold_off=int_field(env, "PolicyLimits.MaxRetryAfter", 0),
        reports_on_probe=lookup_field(REPORTS_ON_PROBE, env, "LoadInfo.Via", "off"),
        must_ask=lookup_field(LIST_ON_REQUEST, env, "MembershipMode", "pushed"),
        ask_within=int_field(env, "Rules.MustAskIn", 0),
    )
