"""Real router processes against stand-in engines, with one fault each on the way between them: the staging
incident of docs/incidents/staging-held-state-1.md and its relatives. The oracle reads recorded traffic."""

import asyncio
from pathlib import Path

import pytest

from lifthead.standins.faults.reproductions import REPRODUCTIONS, play

AT_ONCE = 4
WITHIN = 90.0  # seconds for one run


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory):
    """Every reproduction's outcome, by its name."""

    async def run():
        free = asyncio.Semaphore(AT_ONCE)

        async def one(reproduction):
            async with free, asyncio.timeout(WITHIN):
                path = tmp_path_factory.mktemp(reproduction.name)
                return await play(reproduction, path, Path(__file__).parent.parent)

        return await asyncio.gather(*map(one, REPRODUCTIONS.values()))

    return {outcome.name: outcome for outcome in asyncio.run(run())}


def broken(outcomes, rules):
    return {
        name: found[0]
        for name, outcome in outcomes.items()
        if (found := [breach for breach in outcome.breaches if breach.rule in rules])
    }


def test_a_held_state_is_taken_or_released_in_time(outcomes):
    assert broken(outcomes, {5}) == {}


def test_requests_are_served_where_some_engine_would_serve_them(outcomes):
    short = {name: outcome.served for name, outcome in outcomes.items()}
    assert {name: served for name, served in short.items() if served < REPRODUCTIONS[name].served} == {}


def test_the_other_rules_hold_and_every_router_ends_well(outcomes):
    assert broken(outcomes, {1, 2, 3}) == {}
    assert all(code == 0 for outcome in outcomes.values() for code in outcome.exit_codes)
    assert all("Traceback" not in outcome.log for outcome in outcomes.values())
