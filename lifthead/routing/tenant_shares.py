"""Tracks how much of its share each tenant uses at this router.

A share is a rate of requests for all routers together, so each router grants an even part of it, with a
token bucket for each tenant. A request over its tenant's share is not rejected for that alone, but admission
control is stricter with it.
"""

from collections.abc import Mapping

from lifthead.interface import Tenant

SHARE_SLACK = 1.5  # a tenant may send this router this many times the even part of its share ...
BURST_REQUESTS = 4  # ... and some requests besides, as with many routers that part is under one a window
MICROS_PER_S = 1_000_000


class TenantShares:
    """Token buckets of all tenants that have a share; a tenant without one is never over it."""

    def __init__(self, tenants: Mapping[str, Tenant], routers: int, window: int) -> None:
        """`window`: microseconds; a bucket holds the tokens of two windows. `routers` share a quota
        evenly."""
        scale = SHARE_SLACK / MICROS_PER_S / routers
        self._full_rate = {name: tenant.quota_per_s * scale for name, tenant in tenants.items()}
        self._rate = dict(self._full_rate)  # requests per microsecond
        self._tokens = dict.fromkeys(self._full_rate, float(BURST_REQUESTS))  # requests
        self._counted_at = dict.fromkeys(self._full_rate, 0)
        self._window = window

    def set_fraction(self, tenant: str, fraction: float) -> None:
        """Grants the tenant this fraction of its share from now on; an unknown tenant is ignored."""
        if tenant in self._full_rate:
            self._rate[tenant] = self._full_rate[tenant] * fraction

    def count_request(self, tenant: str, now: int) -> bool:
        """Counts one request. True if it is over the tenant's share."""
        if tenant not in self._rate:
            return False
        rate = self._rate[tenant]
        refilled = self._tokens[tenant] + (now - self._counted_at[tenant]) * rate
        tokens = min(refilled, 2 * self._window * rate + BURST_REQUESTS)
        self._tokens[tenant] = max(tokens - 1, 0.0)
        self._counted_at[tenant] = now
        return tokens < 1
