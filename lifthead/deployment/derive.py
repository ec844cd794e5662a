"""Derives the start settings of one router from the description of its fleet."""

from typing import Any

import msgspec

from lifthead.deployment.fleet import Fleet
from lifthead.interface import Deployment, Idempotency, RequestClass, Tenant

TICK = 10_000  # microseconds by which the event loop may be late for a timer

# Keys under which `lifthead check --json` prints the fields of a RequestClass and of a Deployment. Scripts
# read them, so they stay when a field is renamed. A field that is not listed is printed under its own name.
PRINTED_REQUEST_CLASS_KEYS = {
    "idempotency": "effect",
    "key_scope": "keyed_within",
    "key_ttl": "keyed_for",
    "ttft_target": "target",
    "ttft_target_per_1000": "target_per_1000",
    "tpot_target": "token_target",
    "weight": "importance",
}
PRINTED_DEPLOYMENT_KEYS = {
    "request_classes": "groups",
    "role_by_kind": "roles",
    "memory_by_kind": "memory",
    "decode_engines_prefill": "writers_read",
    "lease_duration": "let_go_by",
    "slow_start_share": "cold_share",
    "slow_start_duration": "warm_within",
    "overload_multiple": "tip_multiple",
    "overload_window": "overload_for",
    "max_attempts": "max_forwards",
    "may_send_retry_after": "may_hold_off",
    "max_retry_after": "max_hold_off",
    "list_on_request": "must_ask",
    "list_requested_within": "ask_within",
}


def deployment(fleet: Fleet, router: str, seed: int) -> Deployment:
    """The start settings of the decision module of this router."""
    rules = fleet.rules
    return Deployment(
        zone=fleet.routers[router].zone,
        routers=len(fleet.routers),
        tick=TICK,
        seed=seed,
        request_classes={
            request_class.name: RequestClass(
                request_class.name,
                Idempotency(request_class.effect),
                request_class.keyed_within,
                request_class.keyed_for,
                request_class.target,
                request_class.target_per_1000,
                request_class.deadline,
                request_class.token_target,
                request_class.importance,
                request_class.late_share,
            )
            for request_class in fleet.groups.values()
        },
        tenants={tenant.name: Tenant(tenant.name, tenant.share_per_s) for tenant in fleet.tenants.values()},
        role_by_kind={kind.name: kind.role for kind in fleet.kinds.values()},
        memory_by_kind={kind.name: kind.memory for kind in fleet.kinds.values()},
        decode_engines_prefill=rules.writers_read,
        lease_duration=rules.let_go_within,
        slow_start_share=rules.cold_share,
        slow_start_duration=rules.warm_within,
        overload_multiple=rules.tip_multiple,
        overload_window=rules.overload_for,
        max_attempts=rules.max_forwards,
        may_cancel=True,
        may_probe=rules.probes,
        may_send_retry_after=rules.max_hold_off > 0,
        max_retry_after=rules.max_hold_off,
        reports_on_probe=rules.probes,
        list_on_request=False,
        list_requested_within=0,
    )


def printable(settings: Deployment) -> dict[str, Any]:
    """The start settings as builtin types, in the order of the fields, under the keys that scripts read."""
    fields = msgspec.to_builtins(settings, enc_hook=int)
    fields["request_classes"] = {
        name: _with_printed_keys(request_class, PRINTED_REQUEST_CLASS_KEYS)
        for name, request_class in fields["request_classes"].items()
    }
    return _with_printed_keys(fields, PRINTED_DEPLOYMENT_KEYS)


def _with_printed_keys(fields: dict[str, Any], printed_keys: dict[str, str]) -> dict[str, Any]:
    return {printed_keys.get(name, name): value for name, value in fields.items()}
