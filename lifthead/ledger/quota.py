"""A tenant's budget of tokens a period, split over routers that share nothing.

Each router holds an even part. Up to the soft end nothing happens. From there on the tenant's share at this
router, in the module's own terms, falls in a straight line to `MIN_SHARE` of itself: what it sends beyond is
pushed back first when there is too much. At the hard end its reqs are refused before they are taken. A req
is let in by what it may use at most, so all routers together never go over the budget by use; by what is in
hand when a budget is lowered they may. A tenant whose reqs all come to one router gets that router's part
alone: the price of sharing nothing, and the reason for a front layer that spreads a tenant's clients.
"""

from dataclasses import dataclass

MIN_SHARE = 0.1  # of its share that a tenant keeps at the hard end


@dataclass(frozen=True, slots=True)
class TokenBudget:
    """Tokens a period, for all routers together."""

    tokens: int
    soft: float  # part from which the share falls


class Quota:
    """What one router lets each tenant use of its budget."""

    def __init__(self, budgets: dict[str, TokenBudget], routers: int) -> None:
        self._parts = {name: budget.tokens // max(routers, 1) for name, budget in budgets.items()}
        self._soft = {name: budget.soft for name, budget in budgets.items()}
        self._used: dict[str, int] = {}
        self._in_hand: dict[str, int] = {}
        self._period = ""

    def start_period(self, name: str, used: dict[str, int]) -> None:
        """A period begins, or is taken up again after a start: what is used of it by now."""
        self._period, self._used = name, dict(used)

    def reserve(self, tenant: str, most: int) -> bool:
        """Whether a req that may use so many tokens fits; if so, they are held until `settle`."""
        part = self._parts.get(tenant)
        if part is None:
            return True
        if self._used.get(tenant, 0) + self._in_hand.get(tenant, 0) + most > part:
            return False
        self._in_hand[tenant] = self._in_hand.get(tenant, 0) + most
        return True

    def settle(self, tenant: str, most: int, used: int) -> None:
        """The req is over and has used so many of what was held for it."""
        if tenant in self._parts:
            self._in_hand[tenant] = max(self._in_hand.get(tenant, 0) - most, 0)
            self._used[tenant] = self._used.get(tenant, 0) + used

    def share(self, tenant: str) -> float:
        """The part of the tenant's share of reqs that it has now."""
        part = self._parts.get(tenant)
        if not part:
            return 1.0
        gone, soft = self._used.get(tenant, 0) / part, self._soft[tenant]
        if gone <= soft:
            return 1.0
        return max(1 - (1 - MIN_SHARE) * (gone - soft) / max(1 - soft, 1e-9), MIN_SHARE)

    def remaining(self, tenant: str) -> int | None:
        """Tokens that it may still use here; None without a budget."""
        part = self._parts.get(tenant)
        return (
            None if part is None else max(part - self._used.get(tenant, 0) - self._in_hand.get(tenant, 0), 0)
        )
