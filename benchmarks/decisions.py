"""Cost of decisions by fleet size: microseconds of the decision module per request and per health timer.

`python -m benchmarks.decisions`: one router, three zones, cells of six engines (a third are prefill engines);
long and short prompts with sessions and shared prefixes, up to 24 pending requests, fresh load reports.
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


class DecisionBenchmark:
    """A host with a clock and the attempts in flight."""

    def __init__(self, engines, seed=1):
        self.clock, self.in_flight, self.rng = 100_000_000, [], random.Random(seed)
        request_class = RequestClass(
            "g", Idempotency.IDEMPOTENT, "all", 5_000_000, 2_000_000, 0, 8_000_000, 50_000, 1.0, 0.1
        )
        tenants = {"t": Tenant("t", 1e9)}
        self.router = Router(self, Deployment(
            zone="z0", routers=4, tick=1000, seed=seed, request_classes={"g": request_class}, tenants=tenants,
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
        self.in_flight.append((request_id, engine))

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

    def send_request(self, number, prompt_tokens):
        """Sends one request and ends older ones; returns the seconds spent in the decision module."""
        rng = self.rng
        session, shared_prefix = f"s{rng.randrange(500)}", f"b{rng.randrange(40)}"
        spec = RequestSpec(
            number, "g", "t", 8_000_000, prompt_tokens, 100, session, shared_prefix, 1500, 0, False
        )
        self.clock += 5000
        start = time.perf_counter()
        self.router.on_request(spec)
        duration = time.perf_counter() - start
        while len(self.in_flight) > 24:
            request_id, engine = self.in_flight.pop(rng.randrange(len(self.in_flight)))
            request = self.router.requests.get(request_id)
            if request is None or request.in_flight is None:
                continue
            attempt_number, report = request.in_flight.number, LoadReport(2.0, 0.0, 0.1, 0.1, 0.5)
            start = time.perf_counter()
            if request.in_flight.is_prefill:
                self.router.on_attempt_ended(
                    request_id, attempt_number, engine, AttemptOutcome.PREFILLED, 50_000, 0, False, report
                )
            else:
                self.router.on_first_token(request_id, attempt_number, 50_000)
                self.router.on_attempt_ended(
                    request_id, attempt_number, engine, AttemptOutcome.COMPLETED, 900_000, 0, True, report
                )
            duration += time.perf_counter() - start
        return duration


def main(sizes):
    print(f"{'engines':>8}{'short us':>12}{'long us':>12}{'timer us':>12}")
    for engines in sizes:
        row = []
        for prompt_tokens in (800, 8000):
            benchmark, count = DecisionBenchmark(engines), max(60, min(600, 200_000 // engines))
            for number in range(60):
                benchmark.send_request(number, prompt_tokens)
            row.append(
                sum(benchmark.send_request(number, prompt_tokens) for number in range(60, 60 + count))
                / count
                * 1e6
            )
        start = time.perf_counter()
        for _ in range(10):
            benchmark.router.on_timer(HEALTH_TIMER)
        row.append((time.perf_counter() - start) / 10 * 1e6)
        print(f"{engines:>8}" + "".join(f"{each:>12.0f}" for each in row), flush=True)


if __name__ == "__main__":
    main([int(argument) for argument in sys.argv[1:]] or [12, 60, 600, 2000, 10000])
