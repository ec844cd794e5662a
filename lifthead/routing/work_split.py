"""Divides work among zones, or among the cells of a zone, whose engines have unequal capacity.

With many routers that each send little, a router's own reserved tokens don't show that a fleet is uneven, so
the split follows the weights in the list of engines: each location keeps what its engines can take, and the
rest goes to locations with spare capacity.
"""

from collections.abc import Hashable, Iterable, Mapping
from typing import Literal, TypeAlias

from lifthead.state import Engine

Location: TypeAlias = Hashable  # the name of a zone, or the number of a cell


class WorkSplit:
    """How the work that arises at each location is divided among the locations with capacity."""

    def __init__(
        self, demand: Mapping[Location, float], capacity: Mapping[Location, float], slack: float
    ) -> None:
        """`demand` and `capacity` are shares of all work and of all capacity by location. A location may be
        sent `slack` times its share of the capacity."""
        self._kept_share = {
            location: min(1.0, slack * capacity.get(location, 0.0) / (demanded or 1))
            for location, demanded in demand.items()
        }
        self._spare_share = {
            location: max(slack * share - demand.get(location, 0.0), 0.0)
            for location, share in capacity.items()
        }
        self._spare_total = sum(self._spare_share.values())
        self.assigned = {
            location: demanded * self._kept_share[location] for location, demanded in demand.items()
        }
        rest = sum(demand.values()) - sum(self.assigned.values())
        for location, share in self._spare_share.items():
            self.assigned[location] = self.assigned.get(location, 0.0) + rest * share / (
                self._spare_total or 1
            )

    def choose(self, origin: Location, fraction: float) -> Location:
        """The location for a piece of work from `origin`; `fraction` is drawn between 0 and 1."""
        kept_share = self._kept_share.get(origin, 1.0)
        if fraction < kept_share:
            return origin
        remaining = (fraction - kept_share) / max(1 - kept_share, 1e-9) * self._spare_total
        for other, share in self._spare_share.items():
            remaining -= share
            if remaining < 0:
                return other
        return origin


def capacity_shares(engines: Iterable[Engine], by: Literal["zone", "cell"]) -> dict[Location, float]:
    """Each zone's or cell's share of the total weight of these engines."""
    weights: dict[Location, float] = {}
    engines = list(engines)
    total = sum(engine.weight for engine in engines)
    for engine in engines:
        location = getattr(engine, by)
        weights[location] = weights.get(location, 0.0) + engine.weight / total
    return weights
