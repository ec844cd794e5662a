"""What a decision costs as the fleet grows: microseconds of the module a req, and of an idle look round.

`python -m benchmarks.decisions`: one router, three zones, cells of six engines (a third readers); long and
short reqs with sessions and shared beginnings, some in hand at any time, engines with fresh load reports.
"""

import random
import sys
import time

from lifthead.control import HEALTH_TIMER, Router
from lifthead.interface import (
    AttemptOutcome,
    Deployment,
    EngineEntry,
    Idempotency,
    LoadReport,
    RequestClass,
    RequestSpec,
    Tenant,
)


class Bench:
    """A host that keeps a clock and what is out."""

    def __init__(self, engines, seed=1):
        self.clock, self.out, self.chance = 100_000_000, [], random.Random(seed)
        group = RequestClass(
            "g", Idempotency.IDEMPOTENT, "all", 5_000_000, 2_000_000, 0, 8_000_000, 50_000, 1.0, 0.1
        )
        tenants = {"t": Tenant("t", 1e9)}
        self.router = Router(self, Deployment(
            zone="z0", routers=4, tick=1000, seed=seed, request_classes={"g": group}, tenants=tenants,
            role_by_kind={"R": "read", "W": "write"}, memory_by_kind={"R": 200_000, "W": 100_000},
            decode_engines_prefill=True, lease_duration=300_000, slow_start_share=0.25,
            slow_start_duration=10_000_000, overload_multiple=2.5, overload_window=2_000_000,
            max_attempts=5, may_cancel=True, may_probe=False, may_send_retry_after=True,
            max_retry_after=500_000,
            reports_on_probe=False, list_on_request=False, list_requested_within=10_000_000,
        ))  # fmt: skip
        self.router.on_engine_list([
            EngineEntry(f"e{n:05}", f"z{n // 6 % 3}", n // 6, "R" if n % 3 == 0 else "W", 1.0, 0, "ready")
            for n in range(engines)
        ], True)  # fmt: skip

    def now(self):
        return self.clock

    def start_attempt(self, request_id, engine, abandon_at, send_by):
        self.out.append((request_id, engine))

    def __getattr__(self, name):
        if name not in (
            "cancel_attempt",
            "release_state",
            "reject",
            "fail",
            "set_timer",
            "probe",
            "watch_engines",
        ):
            raise AttributeError(name)
        return lambda *args: None

    def req(self, number, prompt):
        """One req from its demand to its end; how long the module took."""
        chance = self.chance
        session, beginning = f"s{chance.randrange(500)}", f"b{chance.randrange(40)}"
        demand = RequestSpec(number, "g", "t", 8_000_000, prompt, 100, session, beginning, 1500, 0, False)
        self.clock += 5000
        start = time.perf_counter()
        self.router.on_request(demand)
        took = time.perf_counter() - start
        while len(self.out) > 24:
            req, engine = self.out.pop(chance.randrange(len(self.out)))
            known = self.router.requests.get(req)
            if known is None or known.in_flight is None:
                continue
            out, report = known.in_flight.number, LoadReport(2.0, 0.0, 0.1, 0.1, 0.5)
            start = time.perf_counter()
            if known.in_flight.is_prefill:
                self.router.on_attempt_ended(
                    req, out, engine, AttemptOutcome.PREFILLED, 50_000, 0, False, report
                )
            else:
                self.router.on_first_token(req, out, 50_000)
                self.router.on_attempt_ended(
                    req, out, engine, AttemptOutcome.COMPLETED, 900_000, 0, True, report
                )
            took += time.perf_counter() - start
        return took


def main(sizes):
    print(f"{'engines':>8}{'short us':>12}{'long us':>12}{'look us':>12}")
    for engines in sizes:
        found = []
        for prompt in (800, 8000):
            bench, many = Bench(engines), max(60, min(600, 200_000 // engines))
            for number in range(60):
                bench.req(number, prompt)
            found.append(sum(bench.req(number, prompt) for number in range(60, 60 + many)) / many * 1e6)
        start = time.perf_counter()
        for _ in range(10):
            bench.router.on_timer(HEALTH_TIMER)
        found.append((time.perf_counter() - start) / 10 * 1e6)
        print(f"{engines:>8}" + "".join(f"{each:>12.0f}" for each in found), flush=True)


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]] or [12, 60, 600, 2000, 10000])
