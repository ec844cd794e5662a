"""Looks for the worst day within stated bounds, and makes it as small as it can be and still be as bad.

The drawing and the shrinking are hypothesis's. A day is bad if it breaks a rule, by the same checker as on
sockets, or if its service is under the bound."""

import random
from dataclasses import dataclass
from pathlib import Path

import hypothesis
import msgspec
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample

from lifthead.deployment import script
from lifthead.deployment.durations import Microseconds
from lifthead.deployment.fleet import FaultSpec, Fleet
from lifthead.lab.run import Variant
from lifthead.lab.world import watched
from lifthead.standins import verify

AT_ENGINES = ["crash", "vanish", "silent", "slow", "reset", "lost", "full", "flush", "garbage", "drain"]
OTHERS = ["router_kill", "late_list", "burst", "hot_beginning", "long_prompts"]
STEP = 250_000  # microseconds; times are drawn in such steps, so that days read well


@dataclass(frozen=True)
class Bounds:
    """What a day may hold."""

    most: int = 4  # troubles
    length: int = 12_000_000  # microseconds of arrivals
    longest: int = 5_000_000  # a trouble lasts
    service: float = 0.0  # a day under this is bad, though it breaks no rule


@dataclass(frozen=True)
class Found:
    troubles: list[FaultSpec]
    service: float
    breaches: list[str]
    tried: int

    def script(self) -> str:
        """The day as lines of a settings script."""
        return "\n".join(map(_line, self.troubles))


def _line(trouble: FaultSpec) -> str:
    plain, usual = msgspec.to_builtins(trouble, enc_hook=int), msgspec.to_builtins(
        FaultSpec(what=trouble.what, at=trouble.at), enc_hook=int
    )  # fmt: skip
    said = [f'"{trouble.what}"', f'at = "{int(trouble.at) // 1000}ms"']
    for key, value in plain.items():
        if key in ("what", "at") or value == usual[key]:
            continue
        said.append(f'{key} = "{value // 1000}ms"' if key in ("lasts", "limit") else f"{key} = {value!r}")
    return f"trouble({', '.join(said)})".replace("'", '"')


def days(fleet: Fleet, bounds: Bounds) -> st.SearchStrategy[list[FaultSpec]]:
    """Days of a fleet within the bounds; hypothesis makes them smaller towards few, early, short troubles
    of single engines."""
    cells = sorted({(spec.zone, spec.cell) for spec in fleet.engines.values()})
    places = [*fleet.engines, *(f"cell:{cell}" for _, cell in cells), *(f"zone:{zone}" for zone, _ in cells)]
    times = st.integers(0, (bounds.length - 2_000_000) // STEP).map(lambda n: Microseconds(n * STEP))
    lasting = st.integers(1, max(bounds.longest // STEP, 1)).map(lambda n: Microseconds(n * STEP))
    part, more = st.sampled_from([1.0, 0.5, 0.2]), st.sampled_from([2.0, 4.0, 8.0])
    engines = st.lists(st.sampled_from(list(dict.fromkeys(places))), min_size=1, max_size=2, unique=True)
    one = st.builds(FaultSpec, what=st.sampled_from(AT_ENGINES), at=times, lasts=lasting, engines=engines,
                    part=part, times=more)  # fmt: skip
    other = st.builds(FaultSpec, what=st.sampled_from(OTHERS), at=times, lasts=lasting, part=part, times=more,
                      routers=st.sampled_from([[name] for name in fleet.routers]))  # fmt: skip
    return st.lists(st.one_of(one, other), min_size=1, max_size=bounds.most)


def play(
    fleet: Fleet, variant: Variant, troubles: list[FaultSpec], length: int, seed: int
) -> tuple[float, list[str]]:
    """A day's service, and its breaches of rules."""
    assert fleet.crowd
    crowd = msgspec.structs.replace(fleet.crowd, length=Microseconds(length))
    day = msgspec.structs.replace(fleet, crowd=crowd, troubles=troubles)
    summary, traffic = watched(day, seed, variant.decide())
    return summary["service"], [
        f"rule {breach.rule}: {breach.reason}" for breach in verify.find_breaches(traffic)
    ]


def search(variant: Variant, bounds: Bounds, tries: int, seed: int) -> Found | int:
    """The smallest bad day that was found, or how many were tried without one."""
    fleet = script.read(Path(variant.file))
    known: dict[bytes, tuple[float, list[str]]] = {}

    def bad(troubles: list[FaultSpec]) -> bool:
        key = msgspec.json.encode(troubles, enc_hook=int)
        if key not in known:
            known[key] = play(fleet, variant, troubles, bounds.length, seed)
        service, breaches = known[key]
        return bool(breaches) or service < bounds.service

    try:
        troubles = hypothesis.find(
            days(fleet, bounds),
            bad,
            settings=hypothesis.settings(
                max_examples=tries,
                database=None,
                deadline=None,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
            random=random.Random(seed),
        )
    except NoSuchExample:
        return len(known)
    service, breaches = known[msgspec.json.encode(troubles, enc_hook=int)]
    return Found(troubles, service, breaches, len(known))
