"""Searches for a bad scenario within given bounds and shrinks it to the smallest one that is still bad.

hypothesis generates and shrinks the scenarios. A scenario is bad if it violates a rule, by the same checker
as for real processes, or if its service is under the bound."""

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
from lifthead.lab.world import run_and_record
from lifthead.standins import verify

ENGINE_FAULTS = ["crash", "vanish", "silent", "slow", "reset", "lost", "full", "flush", "garbage", "drain"]
OTHER_FAULTS = ["router_kill", "late_list", "burst", "hot_beginning", "long_prompts"]
TIME_STEP = 250_000  # microseconds; times are drawn in these steps so that scenarios are easy to read


@dataclass(frozen=True)
class Bounds:
    """Limits of a scenario, and what counts as bad."""

    max_faults: int = 4
    arrival_duration: int = 12_000_000  # microseconds
    max_fault_duration: int = 5_000_000  # microseconds
    min_service: float = 0.0  # a scenario under this is bad even if it violates no rule


@dataclass(frozen=True)
class BadScenario:
    faults: list[FaultSpec]
    service: float
    violations: list[str]
    scenarios_tried: int

    def script(self) -> str:
        """The faults as lines of a settings script."""
        return "\n".join(map(_script_line, self.faults))


def _script_line(fault: FaultSpec) -> str:
    values, defaults = (
        msgspec.to_builtins(fault, enc_hook=int),
        msgspec.to_builtins(FaultSpec(what=fault.what, at=fault.at), enc_hook=int),
    )
    arguments = [f'"{fault.what}"', f'at = "{int(fault.at) // 1000}ms"']
    for key, value in values.items():
        if key in ("what", "at") or value == defaults[key]:
            continue
        arguments.append(
            f'{key} = "{value // 1000}ms"' if key in ("lasts", "limit") else f"{key} = {value!r}"
        )
    return f"trouble({', '.join(arguments)})".replace("'", '"')


def scenarios(fleet: Fleet, bounds: Bounds) -> st.SearchStrategy[list[FaultSpec]]:
    """Scenarios of a fleet within the bounds; hypothesis shrinks them to few, early and short faults of
    single engines."""
    cells = sorted({(spec.zone, spec.cell) for spec in fleet.engines.values()})
    selectors = [
        *fleet.engines,
        *(f"cell:{cell}" for _, cell in cells),
        *(f"zone:{zone}" for zone, _ in cells),
    ]
    starts = st.integers(0, (bounds.arrival_duration - 2_000_000) // TIME_STEP).map(
        lambda n: Microseconds(n * TIME_STEP)
    )
    durations = st.integers(1, max(bounds.max_fault_duration // TIME_STEP, 1)).map(
        lambda n: Microseconds(n * TIME_STEP)
    )
    shares, factors = st.sampled_from([1.0, 0.5, 0.2]), st.sampled_from([2.0, 4.0, 8.0])
    engines = st.lists(st.sampled_from(list(dict.fromkeys(selectors))), min_size=1, max_size=2, unique=True)
    engine_fault = st.builds(
        FaultSpec,
        what=st.sampled_from(ENGINE_FAULTS),
        at=starts,
        lasts=durations,
        engines=engines,
        part=shares,
        times=factors,
    )
    other_fault = st.builds(
        FaultSpec,
        what=st.sampled_from(OTHER_FAULTS),
        at=starts,
        lasts=durations,
        part=shares,
        times=factors,
        routers=st.sampled_from([[name] for name in fleet.routers]),
    )
    return st.lists(st.one_of(engine_fault, other_fault), min_size=1, max_size=bounds.max_faults)


def simulate(
    fleet: Fleet, variant: Variant, faults: list[FaultSpec], arrival_duration: int, seed: int
) -> tuple[float, list[str]]:
    """The service of a scenario and its violations of rules."""
    assert fleet.crowd
    traffic = msgspec.structs.replace(fleet.crowd, length=Microseconds(arrival_duration))
    scenario = msgspec.structs.replace(fleet, crowd=traffic, troubles=faults)
    summary, records = run_and_record(scenario, seed, variant.router_class())
    return summary["service"], [
        f"rule {breach.rule}: {breach.reason}" for breach in verify.find_breaches(records)
    ]


def search(variant: Variant, bounds: Bounds, max_scenarios: int, seed: int) -> BadScenario | int:
    """The smallest bad scenario found, or the number of scenarios tried if none was bad."""
    fleet = script.read(Path(variant.file))
    results: dict[bytes, tuple[float, list[str]]] = {}

    def is_bad(faults: list[FaultSpec]) -> bool:
        key = msgspec.json.encode(faults, enc_hook=int)
        if key not in results:
            results[key] = simulate(fleet, variant, faults, bounds.arrival_duration, seed)
        service, violations = results[key]
        return bool(violations) or service < bounds.min_service

    try:
        faults = hypothesis.find(
            scenarios(fleet, bounds),
            is_bad,
            settings=hypothesis.settings(
                max_examples=max_scenarios,
                database=None,
                deadline=None,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
            random=random.Random(seed),
        )
    except NoSuchExample:
        return len(results)
    service, violations = results[msgspec.json.encode(faults, enc_hook=int)]
    return BadScenario(faults, service, violations, len(results))
