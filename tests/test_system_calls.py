"""A real router process whose n-th system call fails, in the ways that Linux documents, and one whose wall
clock is stepped: no crash, no broken rule, and only the one request lost that the call belonged to."""

import asyncio
from pathlib import Path

import pytest
from runs import run_until_judged

from lifthead.standins.faults import shim
from lifthead.standins.faults.reproductions import REPRODUCTIONS, REQUESTS, play

SHIM = str(Path(shim.__path__[0]))
ERRORS = {  # by system call: how it may fail, and at which calls
    "accept": (("ECONNABORTED", "ENFILE", "ENOBUFS"), (3, 14)),
    "connect": (("EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ENOBUFS"), (2, 6)),
    "send": (("ENOBUFS", "EPIPE", "ECONNRESET", "EHOSTUNREACH"), (9, 40)),
    "recv": (("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"), (9, 40, 90)),
}
FAILS = [
    f"{site}:{error}:{call}" for site, (errors, calls) in ERRORS.items() for error in errors for call in calls
]
AT_ONCE = 4
WITHIN = 60.0  # seconds for one environment


def played(tmp_path_factory, environments):
    """An outcome for each of these environments."""

    async def run():
        free = asyncio.Semaphore(AT_ONCE)

        async def one(number, environment):
            path, source = tmp_path_factory.mktemp(f"run{number}"), Path(__file__).parent.parent
            told = {"PYTHONPATH": SHIM, **environment}
            healthy = REPRODUCTIONS["healthy"]
            async with free, asyncio.timeout(WITHIN):
                return await run_until_judged(
                    lambda run: play(healthy, path / str(run), source, environment=told)
                )

        return await asyncio.gather(*(one(*each) for each in enumerate(environments)))

    return asyncio.run(run())


@pytest.fixture(scope="module")
def failing(tmp_path_factory):
    environments = [{"LIFTHEAD_SHIM_FAILS": fails} for fails in FAILS]
    return dict(zip(FAILS, played(tmp_path_factory, environments), strict=True))


@pytest.mark.parametrize("fails", FAILS)
def test_one_failing_call_costs_no_more_than_one_request(failing, fails):
    outcome = failing[fails]
    assert not outcome.refused, str(outcome)
    assert outcome.exit_codes == [0] and "Traceback" not in outcome.log, outcome.log
    assert outcome.served >= REQUESTS - 1 and outcome.violations == 0
    # A client whose own connection fails can't be answered; its request may count as lost to it.
    assert [breach for breach in outcome.breaches if breach.rule != 1] == []
    assert len({breach.request for breach in outcome.breaches}) <= 1


@pytest.mark.parametrize("step", [3600, -3600, 5, -5])
def test_a_stepped_wall_clock_changes_nothing(step, tmp_path_factory):
    [outcome] = played(tmp_path_factory, [{"LIFTHEAD_SHIM_STEP": f"1.0:{step}"}])
    assert not outcome.refused, str(outcome)
    assert outcome.served == REQUESTS and outcome.breaches == [] and outcome.violations == 0
    assert outcome.exit_codes == [0]
