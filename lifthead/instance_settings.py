"""Parses the settings of an instance of the decision module.

They come in the simulator's first message or in a node's configuration file. The message holds pairs of path
and value; the nested JSON of a configuration is flattened to the same pairs first, so that one parser serves
both. Standard library only.
"""

import contextlib
import math
from typing import Any

from lifthead.interface import Deployment, Idempotency, RequestClass, Tenant

EFFECTS = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
ROLES = {role: role for role in ("read", "write", "both")}
IDEMPOTENCY_SCOPES = {place: place for place in ("all", "zone", "cell")}
# Whether load reports come only in answers to probes.
REPORTS_ON_PROBE = {"inline": False, "on_probe": True, "off": False}
# Whether the list of engines comes only on request.
LIST_ON_REQUEST = {"pushed": False, "on_request": True}

MAX_INT = (1 << 64) - 1  # the widest field, a seed, has 64 bits

Fields = dict[str, str]


class MalformedError(Exception):
    """The input is not in the expected format."""


def int_field(fields: Fields, key: str, default: int | None = None) -> int:
    text = fields.get(key)
    if text is None:
        if default is None:
            raise MalformedError(f"{key} is missing")
        return default
    try:
        value = int(text) if text.lstrip("-").isdigit() else int(float(text))
    except (ValueError, OverflowError):
        raise MalformedError(f"{key}={text[:40]} is not a number") from None
    if not -MAX_INT <= value <= MAX_INT:
        raise MalformedError(f"{key}={text[:40]} is out of bounds")
    return value


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


def flatten(nested: dict[str, Any], prefix: str = "") -> Fields:
    """Flattens nested JSON to pairs of path and value, as in the simulator's first message.

    Items of a list of plain values are joined by commas. For a list of objects there is a count, and the path
    of each object contains its index."""
    pairs: Fields = {}
    for key, value in nested.items():
        path = prefix + key
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


def parse_deployment(settings: Fields) -> Deployment:
    def list_field(key: str) -> list[str]:
        return [part for part in settings.get(key, "").split(",") if part]

    def int_item(values: list[str], index: int, key: str) -> int:
        return int_field({key: values[index]}, key) if index < len(values) else 0

    ttft_per_1000, tpot_targets = (
        list_field("FamilyInfo.AimUsPer1000PromptTokens"),
        list_field("FamilyInfo.TokenAim"),
    )
    request_classes = {}
    for index in range(int_field(settings, "Grades.count")):
        prefix = f"Grades.{index}."
        name = required_field(settings, prefix + "Name")
        request_classes[name] = RequestClass(
            name=name,
            idempotency=lookup_field(EFFECTS, settings, prefix + "Effect"),
            key_scope=lookup_field(IDEMPOTENCY_SCOPES, settings, prefix + "Group", "all"),
            key_ttl=int_field(settings, prefix + "KeyTtl", 0),
            ttft_target=int_field(settings, prefix + "Target", 0),
            ttft_target_per_1000=int_item(ttft_per_1000, index, "AimUsPer1000PromptTokens"),
            deadline=int_field(settings, prefix + "Deadline", 0),
            tpot_target=int_item(tpot_targets, index, "TokenAim"),
            weight=float_field(settings, prefix + "Worth", 1.0),
            late_share=float_field(settings, prefix + "LateWorth", 0.0),
        )
    tenants = {}
    for index in range(int_field(settings, "Tenants.count", 0)):
        name = required_field(settings, f"Tenants.{index}.Name")
        tenants[name] = Tenant(name, float_field(settings, f"Tenants.{index}.QuotaPerS", 0.0))
    roles_key = "FamilyInfo.RoleByKind"
    kinds, roles = list_field("Flavors"), list_field(roles_key)
    kv_tokens = list_field("FamilyInfo.KvTokens")
    if not kinds:
        raise MalformedError("Flavors is missing")
    if len(roles) != len(kinds):
        raise MalformedError(f"{roles_key} names {len(roles)} roles for {len(kinds)} Flavors")
    return Deployment(
        zone=settings.get("Zone", ""),
        routers=max(1, int_field(settings, "ReplicasOfMe", 1)),
        tick=int_field(settings, "Tick", 0),
        seed=int_field(settings, "Nonce64", 0),
        request_classes=request_classes,
        tenants=tenants,
        role_by_kind={
            kind: lookup_field(ROLES, {roles_key: role}, roles_key)
            for kind, role in zip(kinds, roles, strict=True)
        },
        memory_by_kind={kind: int_item(kv_tokens, index, "KvTokens") for index, kind in enumerate(kinds)},
        decode_engines_prefill=bool_field(settings, "FamilyInfo.LocalRead"),
        lease_duration=int_field(settings, "FamilyInfo.LetGoBy", 0),
        slow_start_share=float_field(settings, "Rules.ColdShare", 1.0),
        slow_start_duration=int_field(settings, "Rules.WarmWithin", 0),
        overload_multiple=float_field(settings, "Rules.TipMultiple", 1.0),
        overload_window=int_field(settings, "Rules.OverloadFor", 0),
        max_attempts=int_field(settings, "PolicyLimits.MaxAttempts", 1),
        may_cancel=bool_field(settings, "PolicyLimits.Cancel"),
        may_probe=bool_field(settings, "PolicyLimits.Probes"),
        may_send_retry_after=bool_field(settings, "PolicyLimits.RetryAfter"),
        max_retry_after=int_field(settings, "PolicyLimits.MaxRetryAfter", 0),
        reports_on_probe=lookup_field(REPORTS_ON_PROBE, settings, "LoadInfo.Via", "off"),
        list_on_request=lookup_field(LIST_ON_REQUEST, settings, "MembershipMode", "pushed"),
        list_requested_within=int_field(settings, "Rules.MustAskIn", 0),
    )
