"""From a fleet's description to what one router of it is started with."""

from lifthead.deployment.fleet import Fleet
from lifthead.interface import Deployment, Idempotency, RequestClass, Tenant

TICK = 10_000  # how late the loop may turn to a deadline: the grain of the daemon's clock


def deployment(fleet: Fleet, router: str, seed: int) -> Deployment:
    """Start settings of the decision module for this router of the fleet."""
    rules = fleet.rules
    return Deployment(
        zone=fleet.routers[router].zone,
        routers=len(fleet.routers),
        tick=TICK,
        seed=seed,
        request_classes={
            group.name: RequestClass(
                group.name,
                Idempotency(group.effect),
                group.keyed_within,
                group.keyed_for,
                group.target,
                group.target_per_1000,
                group.deadline,
                group.token_target,
                group.importance,
                group.late_share,
            )
            for group in fleet.groups.values()
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
