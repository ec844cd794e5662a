"""Derives the start settings of one router from the description of its fleet."""

from lifthead.deployment.fleet import Fleet
from lifthead.interface import Deployment, Effect, EndpointGroup, Tenant

TICK = 10_000  # microseconds by which the event loop may be late for a timer


def deployment(fleet: Fleet, router: str, seed: int) -> Deployment:
    """The start settings of the decision module of this router."""
    rules = fleet.rules
    return Deployment(
        zone=fleet.routers[router].zone,
        routers=len(fleet.routers),
        tick=TICK,
        seed=seed,
        groups={
            request_class.name: EndpointGroup(
                request_class.name,
                Effect(request_class.effect),
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
        roles={kind.name: kind.role for kind in fleet.kinds.values()},
        memory={kind.name: kind.memory for kind in fleet.kinds.values()},
        writers_read=rules.writers_read,
        let_go_by=rules.let_go_within,
        cold_share=rules.cold_share,
        warm_within=rules.warm_within,
        tip_multiple=rules.tip_multiple,
        overload_for=rules.overload_for,
        max_forwards=rules.max_forwards,
        may_cancel=True,
        may_probe=rules.probes,
        may_hold_off=rules.max_hold_off > 0,
        max_hold_off=rules.max_hold_off,
        reports_on_probe=rules.probes,
        must_ask=False,
        ask_within=0,
    )
