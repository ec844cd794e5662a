"""The settings of an instance, as the simulator's first message and a node's configuration give them.

One reader for both: the message is pairs of path and value, and a configuration's nested JSON is laid out
as the same pairs first. Standard library alone. It translates and nothing else.
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
WITHIN = {place: place for place in ("all", "zone", "cell")}
ON_PROBE = {"inline": False, "on_probe": True, "off": False}  # how load reports come
MUST_ASK = {"pushed": False, "on_request": True}  # how the list of engines does

Fields = dict[str, str]


class MalformedError(Exception):
    """The input breaks the wire's form."""


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
    with contextlib.suppress(ValueError):
        if math.isfinite(value := default if text is None else float(text)):
            return value
    raise MalformedError(f"{key}={text[:40]} is not a number")


def flag(fields: Fields, key: str) -> bool:
    return fields.get(key, "0") in ("1", "true")


def required(fields: Fields, key: str) -> str:
    if key not in fields:
        raise MalformedError(f"{key} is missing")
    return fields[key]


def named(table: dict[str, Any], fields: Fields, key: str, default: str | None = None) -> Any:
    value = required(fields, key) if default is None else fields.get(key, default)
    if value not in table:
        raise MalformedError(f"{key}={value[:40]} is not known")
    return table[value]


def flat(nested: dict[str, Any], at: str = "") -> Fields:
    """Nested JSON as the pairs of the simulator's first message: lists of plain values joined by commas,
    lists of objects under their indexes with a count."""
    pairs: Fields = {}
    for key, value in nested.items():
        path = at + key
        if isinstance(value, dict):
            pairs.update(flat(value, path + "."))
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            pairs[path + ".count"] = str(len(value))
            for index, item in enumerate(value):
                pairs.update(flat(item, f"{path}.{index}."))
        elif isinstance(value, list):
            pairs[path] = ",".join(map(_plain, value))
        elif value is not None:
            pairs[path] = _plain(value)
    return pairs


def _plain(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def deployment_of(env: Fields) -> Deployment:
    def listed(key: str) -> list[str]:
        return [part for part in env.get(key, "").split(",") if part]

    def nth(values: list[str], index: int, key: str) -> int:
        return whole({key: values[index]}, key) if index < len(values) else 0

    per_1000, token = listed("FamilyInfo.AimUsPer1000PromptTokens"), listed("FamilyInfo.TokenAim")
    groups = {}
    for index in range(whole(env, "Grades.count")):
        at = f"Grades.{index}."
        name = required(env, at + "Name")
        groups[name] = RequestClass(
            name=name,
            idempotency=named(EFFECTS, env, at + "Effect"),
            key_scope=named(WITHIN, env, at + "Group", "all"),
            key_ttl=whole(env, at + "KeyTtl", 0),
            ttft_target=whole(env, at + "Target", 0),
            ttft_target_per_1000=nth(per_1000, index, "AimUsPer1000PromptTokens"),
            deadline=whole(env, at + "Deadline", 0),
            tpot_target=nth(token, index, "TokenAim"),
            weight=real(env, at + "Worth", 1.0),
            late_share=real(env, at + "LateWorth", 0.0),
        )
    tenants = {}
    for index in range(whole(env, "Tenants.count", 0)):
        name = required(env, f"Tenants.{index}.Name")
        tenants[name] = Tenant(name, real(env, f"Tenants.{index}.QuotaPerS", 0.0))
    at = "FamilyInfo.RoleByKind"
    kinds, roles = listed("Flavors"), listed(at)
    memory = listed("FamilyInfo.KvTokens")
    if not kinds:
        raise MalformedError("Flavors is missing")
    if len(roles) != len(kinds):
        raise MalformedError(f"{at} names {len(roles)} roles for {len(kinds)} Flavors")
    return Deployment(
        zone=env.get("Zone", ""),
        routers=max(1, whole(env, "ReplicasOfMe", 1)),
        tick=whole(env, "Tick", 0),
        seed=whole(env, "Nonce64", 0),
        request_classes=groups,
        tenants=tenants,
        role_by_kind={kind: named(ROLES, {at: role}, at) for kind, role in zip(kinds, roles, strict=True)},
        memory_by_kind={kind: nth(memory, index, "KvTokens") for index, kind in enumerate(kinds)},
        decode_engines_prefill=flag(env, "FamilyInfo.LocalRead"),
        lease_duration=whole(env, "FamilyInfo.LetGoBy", 0),
        slow_start_share=real(env, "Rules.ColdShare", 1.0),
        slow_start_duration=whole(env, "Rules.WarmWithin", 0),
        overload_multiple=real(env, "Rules.TipMultiple", 1.0),
        overload_window=whole(env, "Rules.OverloadFor", 0),
        max_attempts=whole(env, "PolicyLimits.MaxAttempts", 1),
        may_cancel=flag(env, "PolicyLimits.Cancel"),
        may_probe=flag(env, "PolicyLimits.Probes"),
        may_send_retry_after=flag(env, "PolicyLimits.RetryAfter"),
        max_retry_after=whole(env, "PolicyLimits.MaxRetryAfter", 0),
        reports_on_probe=named(ON_PROBE, env, "LoadInfo.Via", "off"),
        list_on_request=named(MUST_ASK, env, "MembershipMode", "pushed"),
        list_requested_within=whole(env, "Rules.MustAskIn", 0),
    )
