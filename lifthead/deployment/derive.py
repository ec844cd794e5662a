"""Derives the start settings of one router from the description of its fleet."""

from lifthead.deployment.fleet import Fleet
from lifthead.interface import Deployment, Idempotency, RequestClass, Tenant

TICK = 10_000  # microseconds by which the event loop may be late for a timer


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
