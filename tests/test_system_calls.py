"""Real router processes whose n-th system call fails with a documented Linux error, or whose wall clock is
stepped. They must not crash or break a rule, and may lose only the request that the call belonged to."""

import asyncio
from pathlib import Path

import pytest
from runs import run_until_conclusive

from lifthead.standins.faults import shim
from lifthead.standins.faults.reproductions import REPRODUCTIONS, REQUESTS, run_reproduction

SHIM = str(Path(shim.__path__[0]))
ERRORS = {  # by system call: its errors and the numbers of the failing calls
    "accept": (("ECONNABORTED", "ENFILE", "ENOBUFS"), (3, 14)),
    "connect": (("EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ENOBUFS"), (2, 6)),
    "send": (("ENOBUFS", "EPIPE", "ECONNRESET", "EHOSTUNREACH"), (9, 40)),
    "recv": (("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"), (9, 40, 90)),
}
FAILS = [
    f"{site}:{error}:{call}" for site, (errors, calls) in ERRORS.items() for error in errors for call in calls
]
PARALLEL_RUNS = 4
RUN_TIMEOUT = 60.0  # seconds for one environment


def run_healthy(tmp_path_factory, environments):
    """Runs the healthy reproduction in each environment and returns the outcomes."""

    async def run():
        slots = asyncio.Semaphore(PARALLEL_RUNS)

        async def run_one(number, environment):
            path, source = tmp_path_factory.mktemp(f"run{number}"), Path(__file__).parent.parent
            variables = {"PYTHONPATH": SHIM, **environment}
            healthy = REPRODUCTIONS["healthy"]
            async with slots, asyncio.timeout(RUN_TIMEOUT):
                return await run_until_conclusive(
                    lambda run: run_reproduction(healthy, path / str(run), source, environment=variables)
                )

        return await asyncio.gather(*(run_one(*each) for each in enumerate(environments)))

    return asyncio.run(run())


@pytest.fixture(scope="module")
def failing(tmp_path_factory):
    environments = [{"LIFTHEAD_SHIM_FAILS": fails} for fails in FAILS]
    return dict(zip(FAILS, run_healthy(tmp_path_factory, environments), strict=True))


@pytest.mark.parametrize("fails", FAILS)
def test_one_failing_call_costs_no_more_than_one_request(failing, fails):
    outcome = failing[fails]
    assert not outcome.inconclusive, str(outcome)
    assert outcome.exit_codes == [0] and "Traceback" not in outcome.log, outcome.log
    assert outcome.served >= REQUESTS - 1 and outcome.violations == 0
    # A client whose own connection fails can't be answered, so the checker may count its request as lost.
    assert [breach for breach in outcome.breaches if breach.rule != 1] == []
    assert len({breach.request for breach in outcome.breaches}) <= 1


@pytest.mark.parametrize("step", [3600, -3600, 5, -5])
def test_a_stepped_wall_clock_changes_nothing(step, tmp_path_factory):
    [outcome] = run_healthy(tmp_path_factory, [{"LIFTHEAD_SHIM_STEP": f"1.0:{step}"}])
    assert not outcome.inconclusive, str(outcome)
    assert outcome.served == REQUESTS and outcome.breaches == [] and outcome.violations == 0
    assert outcome.exit_codes == [0]
