"""Fixed runs that each reproduce one fault against a real router: the staging incidents and similar cases."""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from lifthead.standins.faults import settings
from lifthead.standins.faults.checker import Breach, find_breaches
from lifthead.standins.faults.clients import Request, send_request
from lifthead.standins.faults.fleet import Fleet, FleetSize
from lifthead.standins.faults.lateness import LatenessMonitor, RunResult
from lifthead.standins.faults.proxy import Fault

REQUESTS = 12
BUDGET = 5.0  # seconds
WARMUP_REQUESTS = 8  # requests sent at once before the fault, so that the router has open connections
REST_TIME = 0.3  # seconds between the warmup and the fault
REQUEST_INTERVAL = 0.05  # seconds between requests
SETTLE_TIME = 1.0  # seconds after the last answer
STALL_TIME = 0.15  # seconds for which a router is suspended each time
SERVED = "whole"


@dataclass(slots=True)
class Outcome(RunResult):
    """The result of one run."""

    name: str
    served: int
    outcomes: list[str]
    breaches: list[Breach]
    violations: int  # invariant violations that the routers logged
    exit_codes: list[int | None]
    log: str
    late_ms: int = 0  # the longest time for which the harness itself was held up
    exhausted: int = 0  # unserved requests that used all the attempts the platform allows

    def __str__(self) -> str:
        why = "; ".join(f"rule {each.rule} {each.request}: {each.why}" for each in self.breaches[:3])
        served = f"{self.name}: served {self.served} of {len(self.outcomes)}"
        verdict = f"inconclusive (the harness was {self.late_ms} ms late), " if self.inconclusive else ""
        return f"{verdict}{served}, breaches {len(self.breaches)} {why}"


FaultAction = Callable[[Fleet], Awaitable[None]]
ROUTER = "n0"
DECODE = ["d0", "d1", "d2"]
PREFILL = ["p0"]


@dataclass(frozen=True, slots=True)
class Reproduction:
    """One fault and the requests that are sent under it.

    `before` runs before the requests and `during` runs beside them.
    """

    name: str
    before: FaultAction | None = None
    during: FaultAction | None = None
    request: Request = field(default_factory=lambda: Request("", settings.LONG_PROMPT, BUDGET))
    first_token_takes: float = 0.05
    served: int = REQUESTS  # the least number of served requests, where some engine can serve them
    count: int = REQUESTS  # number of requests
    decode: int = len(DECODE)  # number of decode engines
    slow_share: float = 0.0  # share of the requests that are slow at any decode engine
    sees_close_after: float = 0.0  # seconds until an engine sees that a connection was closed


def begin_fault(fault: Fault, endpoints: list[str]) -> FaultAction:
    """Returns an action that begins a fault between the router and these engines."""

    async def action(fleet: Fleet) -> None:
        await fleet.set_fault(fault, endpoints, True, [ROUTER])

    return action


async def _stall_router(fleet: Fleet) -> None:
    for _ in range(12):
        fleet.send_signal(ROUTER, signal.SIGSTOP)
        await asyncio.sleep(STALL_TIME)
        fleet.send_signal(ROUTER, signal.SIGCONT)
        await asyncio.sleep(STALL_TIME)


def stop_router_after(seconds: float) -> FaultAction:
    """Returns an action that stops the router by SIGTERM after this time."""

    async def action(fleet: Fleet) -> None:
        await asyncio.sleep(seconds)
        await fleet.stop_router(ROUTER, timeout=15.0)

    return action


_stop_while_requests_arrive = stop_router_after(REQUESTS * REQUEST_INTERVAL / 2)
_stop_after_requests = stop_router_after(REQUESTS * REQUEST_INTERVAL + 0.1)


async def _hang_holder_too(fleet: Fleet) -> None:
    """Makes all engines but one decode engine hang after the first prefills, for a limited time."""
    await asyncio.sleep(0.2)
    await fleet.set_fault(Fault.HANG, [*PREFILL, "d1"], True, [ROUTER])
    await asyncio.sleep(2.0)
    await fleet.set_fault(Fault.HANG, [*PREFILL, "d1"], False, [ROUTER])


def suspend_engine(engine: str, seconds: float) -> FaultAction:
    """Returns an action that suspends an engine for this time and silences the connections it has by then."""

    async def action(fleet: Fleet) -> None:
        await asyncio.sleep(REQUESTS * REQUEST_INTERVAL / 2)
        await fleet.set_fault(Fault.SILENT, [engine], True, [ROUTER])
        fleet.send_signal(engine, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        fleet.send_signal(engine, signal.SIGCONT)
        await asyncio.sleep(SETTLE_TIME)

    return action


async def _suspend_decode_engines(fleet: Fleet) -> None:
    for name in DECODE[:2]:
        fleet.send_signal(name, signal.SIGSTOP)


def _request_with(**changes: object) -> Request:
    return replace(Request("", settings.LONG_PROMPT, BUDGET), **changes)


SOME_SLOW: dict[str, Any] = {
    "request": _request_with(budget=0.95), "count": 36, "decode": 4, "slow_share": 0.34, "served": 20,
}  # fmt: skip
ONE_SLOW_ENGINE: dict[str, Any] = {
    "request": _request_with(budget=0.9),
    "decode": 1,
    "slow_share": 1.0,
    "served": 0,
}
SUSPENDED: dict[str, Any] = {"request": _request_with(budget=0.9), "served": 0}
DISCONNECTS_EARLY: dict[str, Any] = {"request": _request_with(disconnects_after=0.03), "served": 0}

REPRODUCTIONS = {
    each.name: each
    for each in (
        Reproduction("healthy"),
        Reproduction("slow_first_token", first_token_takes=1.2),
        Reproduction("clients_leave", request=_request_with(disconnects_after=0.15), served=0),
        Reproduction("one_decode_engine_hangs", begin_fault(Fault.HANG, DECODE[:1])),
        Reproduction("all_decode_engines_hang", begin_fault(Fault.HANG, DECODE), served=0),
        Reproduction("decode_processes_stopped", _suspend_decode_engines),
        Reproduction("kept_connections_to_decode_silent", begin_fault(Fault.SILENT, DECODE)),
        Reproduction("kept_connections_all_silent", begin_fault(Fault.SILENT, DECODE + PREFILL)),
        Reproduction(
            "router_stalls_beside_hanging_engines", begin_fault(Fault.HANG, DECODE[:2]), _stall_router
        ),
        Reproduction(
            "sigterm_while_calls_hang", begin_fault(Fault.HANG, DECODE), _stop_after_requests, served=0
        ),
        Reproduction(
            "sigterm_beside_one_hanging_engine", begin_fault(Fault.HANG, DECODE[:1]), _stop_after_requests
        ),
        # One request may try both engines, each with a prefill of its own, and so use up its four attempts.
        Reproduction(
            "decode_connections_never_up", begin_fault(Fault.NEVER_UP, DECODE[:2]), served=REQUESTS - 1
        ),
        Reproduction("all_decode_connections_reset", begin_fault(Fault.RESET, DECODE)),
        Reproduction("calls_cut_up", begin_fault(Fault.CUT_UP, DECODE[:2])),
        Reproduction("answers_cut_down", begin_fault(Fault.CUT_DOWN, DECODE[:2])),
        # One request may meet all three broken calls and so use up its four attempts.
        Reproduction("half_of_a_call_arrives", begin_fault(Fault.HALF, DECODE), served=REQUESTS - 1),
        Reproduction("half_of_a_head_arrives", begin_fault(Fault.HALF_ANSWER, DECODE)),
        Reproduction("holder_hangs_as_well", begin_fault(Fault.HANG, DECODE[:1]), _hang_holder_too, served=0),
        Reproduction(
            "unsafe_calls_hang",
            begin_fault(Fault.HANG, DECODE),
            request=_request_with(request_class=settings.NON_IDEMPOTENT),
            served=0,
        ),
        Reproduction(
            "keyed_calls_beside_one_hanging_engine",
            begin_fault(Fault.HANG, DECODE[:1]),
            request=_request_with(request_class=settings.WITH_IDEMPOTENCY_KEY),
        ),
        Reproduction(
            "short_prompts_on_silent_connections",
            begin_fault(Fault.SILENT, DECODE),
            request=_request_with(prompt=settings.SHORT_PROMPT),
        ),
    )
}

# The second staging incident: slow engines, short budgets, and engines that see a closed connection late.
SLOW_ENGINES: dict[str, tuple[Reproduction, ...]] = {
    "slow_engines": (
        Reproduction("slow_engines_short_budgets", **SOME_SLOW),
        Reproduction(
            "slow_engines_short_budgets_sigterm",
            during=_stop_while_requests_arrive,
            **SOME_SLOW | {"served": 6},
        ),
        Reproduction("router_stalls_beside_slow_engines", during=_stall_router, **SOME_SLOW | {"served": 15}),
    ),
    "close_of_a_call_is_seen_late": tuple(
        Reproduction(
            f"close_of_a_call_seen_{late:.0f}_ms_late", sees_close_after=late / 1000, **ONE_SLOW_ENGINE
        )
        for late in (30.0, 100.0, 300.0)
    ),
    "close_of_a_prefill_is_seen_late": (
        Reproduction("close_of_a_prefill_seen_30_ms_late", sees_close_after=0.03, **DISCONNECTS_EARLY),
        Reproduction("close_of_a_prefill_seen_150_ms_late", sees_close_after=0.15, **DISCONNECTS_EARLY),
        Reproduction(
            "close_of_a_prefill_seen_late_sigterm",
            sees_close_after=0.15,
            during=_stop_while_requests_arrive,
            **DISCONNECTS_EARLY,
        ),
    ),
    "engine_stands_still_past_its_time": (
        Reproduction("decode_engine_stands_still_4_s", during=suspend_engine("d0", 4.4), **ONE_SLOW_ENGINE),
        Reproduction("decode_engine_stands_still_8_s", during=suspend_engine("d0", 8.4), **ONE_SLOW_ENGINE),
        Reproduction("prefill_engine_stands_still_4_s", during=suspend_engine("p0", 4.4), **SUSPENDED),
        Reproduction("prefill_engine_stands_still_8_s", during=suspend_engine("p0", 8.4), **SUSPENDED),
    ),
}


async def run_reproduction(
    reproduction: Reproduction,
    path: Path,
    source: Path,
    seed: int = 1,
    environment: dict[str, str] | None = None,
) -> Outcome:
    """Runs one reproduction against the router in `source`; `environment` extends its environment."""
    path.mkdir(parents=True, exist_ok=True)
    first_token_takes = reproduction.first_token_takes
    fleet = Fleet(
        path, FleetSize(decode=reproduction.decode), seed, source, first_token_takes=first_token_takes,
        environment=environment or {}, slow_share=reproduction.slow_share,
        sees_close_after=reproduction.sees_close_after,
    )  # fmt: skip
    async with fleet, LatenessMonitor() as lateness, asyncio.TaskGroup() as tasks:
        warmup = [_request_with(name=f"warm{n}", prompt=prompt) for n, prompt in enumerate(_warmup_prompts())]
        await _send_all(fleet, warmup, 0.0)
        await asyncio.sleep(REST_TIME)
        if reproduction.before:
            await reproduction.before(fleet)
        if reproduction.during:
            tasks.create_task(reproduction.during(fleet))
        requests = [
            replace(reproduction.request, name=f"r{n}", session=f"s{n}") for n in range(reproduction.count)
        ]
        outcomes = await _send_all(fleet, requests, REQUEST_INTERVAL)
        await asyncio.sleep(SETTLE_TIME)
    outcome = summarize_run(reproduction.name, fleet, outcomes)
    outcome.late_ms = lateness.longest_ms
    return outcome


def _warmup_prompts() -> list[int]:
    return [settings.LONG_PROMPT if n % 2 else settings.SHORT_PROMPT for n in range(WARMUP_REQUESTS)]


async def _send_all(fleet: Fleet, requests: list[Request], interval: float) -> list[str]:
    async def send_at(number: int, request: Request) -> str:
        await asyncio.sleep(number * interval)
        return await send_request(ROUTER, fleet.routers[ROUTER], request, fleet.record)

    return await asyncio.gather(*(send_at(number, request) for number, request in enumerate(requests)))


def summarize_run(name: str, fleet: Fleet, outcomes: list[str]) -> Outcome:
    """Builds the outcome of a run from its records and the routers' logs."""
    lines = fleet.records()
    attempts = Counter(line["request"] for line in lines if line["ev"] == "sent")
    exhausted = [
        number
        for number, outcome in enumerate(outcomes)
        if outcome != SERVED and attempts[f"r{number}"] >= settings.MAX_ATTEMPTS
    ]
    logs = "".join((fleet.path / f"{router}.log").read_text() for router in fleet.routers)
    return Outcome(
        name=name,
        served=outcomes.count(SERVED),
        outcomes=outcomes,
        breaches=find_breaches(lines),
        violations=logs.count("invariant_violated"),
        exit_codes=[line["code"] for line in lines if line["ev"] == "exited"],
        log=logs,
        exhausted=len(exhausted),
    )
