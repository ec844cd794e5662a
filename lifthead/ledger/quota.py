"""A tenant's token budget per period, split over routers that share no state.

Each router holds an equal part. Up to the soft limit nothing happens. Above it the tenant's share of requests
at this router, in the terms of the decision module, falls linearly to `MIN_SHARE` of itself: under overload,
what the tenant sends beyond that is rejected first. At the hard limit its requests are refused before they
are taken. A request is admitted by the most that it may use, so that all routers together never exceed the
budget through use; they may exceed it through pending requests at the moment when a budget is lowered. A
tenant whose requests all come to one router gets only that router's part. That is the price of sharing no
state, and the reason to have a front layer that spreads a tenant's clients over the routers.
"""

from dataclasses import dataclass

MIN_SHARE = 0.1  # part of its share that a tenant keeps at the hard limit


@dataclass(frozen=True, slots=True)
class TokenBudget:
    """Tokens per period, for all routers together."""

    tokens: int
    soft: float  # used part of the budget above which the share falls


class Quota:
    """Enforces this router's part of each tenant's budget."""

    def __init__(self, budgets: dict[str, TokenBudget], routers: int) -> None:
        self._router_budgets = {name: budget.tokens // max(routers, 1) for name, budget in budgets.items()}
        self._soft_limits = {name: budget.soft for name, budget in budgets.items()}
        self._used: dict[str, int] = {}
        self._reserved: dict[str, int] = {}
        self._period = ""

    def start_period(self, name: str, used: dict[str, int]) -> None:
        """Begins a period, or continues one after a restart, with the tokens used of it so far."""
        self._period, self._used = name, dict(used)

    def reserve(self, tenant: str, max_tokens: int) -> bool:
        """Whether a request that may use this many tokens fits; if so, they are reserved until `settle`."""
        budget = self._router_budgets.get(tenant)
        if budget is None:
            return True
        if self._used.get(tenant, 0) + self._reserved.get(tenant, 0) + max_tokens > budget:
            return False
        self._reserved[tenant] = self._reserved.get(tenant, 0) + max_tokens
        return True

    def settle(self, tenant: str, max_tokens: int, used: int) -> None:
        """Replaces the reservation of a request that has ended by the tokens that it has used."""
        if tenant in self._router_budgets:
            self._reserved[tenant] = max(self._reserved.get(tenant, 0) - max_tokens, 0)
            self._used[tenant] = self._used.get(tenant, 0) + used

    def share(self, tenant: str) -> float:
        """The part of its share of requests that the tenant has now."""
        budget = self._router_budgets.get(tenant)
        if not budget:
            return 1.0
        used_part, soft_limit = self._used.get(tenant, 0) / budget, self._soft_limits[tenant]
        if used_part <= soft_limit:
            return 1.0
        return max(1 - (1 - MIN_SHARE) * (used_part - soft_limit) / max(1 - soft_limit, 1e-9), MIN_SHARE)

    def remaining(self, tenant: str) -> int | None:
        """Tokens that the tenant may still use at this router; None without a budget."""
        budget = self._router_budgets.get(tenant)
        return (
            None
            if budget is None
            else max(budget - self._used.get(tenant, 0) - self._reserved.get(tenant, 0), 0)
        )
