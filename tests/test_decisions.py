"""The module's optimised choices against reference reference implementations, on random fleets of all
sizes."""

import copy
import random
from dataclasses import replace
from heapq import heappush

import pytest
from helpers import RecordingHost, entry, report

from lifthead.control import (
    HOTSPOT_FACTOR,
    HOTSPOT_SLACK,
    IMBALANCE_FACTOR,
    IMBALANCE_SLACK,
    SAMPLE_SIZE,
    UNCACHED_COST,
    rendezvous_hash,
)
from lifthead.interface import AttemptOutcome, Idempotency
from lifthead.state import Attempt


def usable(router, engines, request):
    """Examines every engine."""
    now = router.host.now()
    up = [engine for engine in engines if engine.consecutive_failures <= 1]
    healthy = {engine.name for engine in up if not engine.ejections and not router._is_silent(engine, now)}
    trust_all = len(healthy) * 2 < len(up)
    allowed = [
        engine
        for engine in engines
        if engine.name not in request.tried_engines
        and (not engine.memory or request.prompt_tokens <= engine.memory)
        and router._may_repeat_on(engine, request, now)
        and router._has_slow_start_budget(engine, now)
        and (engine.name in healthy or router._may_trial(engine, request, now) or trust_all and engine in up)
    ]
    return [e for e in allowed if now >= e.backoff_until.get(request.spec.request_class, 0)] or allowed


def prefill_engine(router, request, home):
    """Ranks all prefill engines and takes the first that does not cost too much."""
    found = usable(router, router.prefill_engines, request)
    if not found:
        return None
    order = sorted(
        found, key=lambda engine: (engine.zone != home, rendezvous_hash(request.affinity_key, engine.name))
    )
    costs = {
        e.name: router._prefill_backlog(e) + UNCACHED_COST * router._uncached_tokens(e, request)
        for e in found
    }
    bound = HOTSPOT_FACTOR * min(costs.values()) + HOTSPOT_SLACK
    return next(engine for engine in order if costs[engine.name] <= bound)


def decode_engine(router, request, zone, cell):
    """Examines all decode engines for room."""
    found = usable(router, router.decode_engines, request)
    with_room = [engine for engine in found if router._utilization(engine) < 1]
    in_zone = [e for e in with_room if e.zone == zone] or with_room
    in_zone = in_zone or [e for e in found if e.zone == zone] or found
    if not in_zone:
        return None

    def draw_by_weight(engines):
        return router.random.choices(engines, [engine.weight for engine in engines])[0]

    candidate = draw_by_weight(in_zone)
    if zone in router.cell_splits:
        cell = router.cell_splits[zone].choose(cell, router.random.random())
    in_cell = [engine for engine in in_zone if engine.cell == cell]
    preferred = draw_by_weight(in_cell) if in_cell else draw_by_weight(in_zone)
    return (
        candidate
        if router._reserved_share(preferred)
        > IMBALANCE_FACTOR * router._reserved_share(candidate) + IMBALANCE_SLACK
        else preferred
    )


def fleet(rng, sizes=(1, 3, 8, 40)):
    """A router that knows a fleet in some random state, and a request."""
    size = rng.choice(sizes)
    started = [0, 0, 99_000_000]
    entries = [
        entry(f"{rng.choice('RWWB')}{n}", rng.choice("abc"), n // 4, up_since=rng.choice(started))
        for n in range(size)
    ]
    entries = [replace(each, weight=rng.choice([1.0, 0.5, 2.0])) for each in entries]
    host = RecordingHost(*entries)
    router, now = host.router, host.clock
    for _ in range(40):
        router.pace["prefill"].add(rng.randint(1000, 90_000))
        router.pace["decode"].add(rng.randint(1000, 90_000))
    for engine in router.engines.values():
        engine.ejections = rng.choice([0, 0, 0, 1, 2])
        engine.consecutive_failures = rng.choice([0, 0, 0, 1, 2])
        engine.next_trial_at = now + rng.choice([-1, 1])
        engine.reserved_tokens, engine.pending_prefill_tokens = (
            rng.randint(0, 120_000),
            rng.choice([0, 0, 9000, 60_000]),
        )
        engine.heard_at = now - rng.choice([0, 60_000_000])
        if rng.random() < 0.2:
            engine.backoff_until["chat"] = now + rng.choice([-1, 1])
        if rng.random() < 0.5:
            load = report(memory_used=rng.random() * 1.3, queued=rng.choice([0.0, 2.0]))
            engine.report, engine.report_at = load, now
        for number in range(rng.choice([0, 0, 1, 3])):
            sent_at = now - rng.choice([1000, 50_000_000])
            engine.unanswered[number, 0] = Attempt(
                number, 0, engine, sent_at, 5, 5, 5000, engine.role == "read", True, 2_000_000
            )
            heappush(router.ttft_deadlines, (sent_at + 2_000_000, number, len(router.ttft_deadlines), engine))
        for key in ("p", "s", "q"):
            if rng.random() < 0.2:
                router.prefix_holders.add(engine, key, 4000)
        router.suspects[engine] = None  # examined, whatever its state
    request_id = host.request(
        prompt=rng.choice([900, 5000, 20_000]), request_class=rng.choice(["chat", "pay", "mark"])
    )
    request = router.requests.get(request_id)
    if request is None:
        return None
    request.tried_engines = set(rng.sample(sorted(router.engines), rng.randint(0, min(2, size))))
    if request.idempotency is Idempotency.WITH_KEY and rng.random() < 0.5:
        request.may_have_run_on, request.repeat_until = (
            rng.choice(list(router.engines.values())),
            now + rng.choice([-1, 1]),
        )
    return router, request


def eligible(router, request, for_prefill):
    """Names of the engines of a role that the module's optimised check leaves."""
    ineligible = router._ineligible(request, for_prefill)
    return [
        e.name
        for e in (router.prefill_engines if for_prefill else router.decode_engines)
        if e not in ineligible
    ]


@pytest.mark.parametrize("seed", range(300))
def test_optimised_choices_equal_the_reference(seed):
    rng = random.Random(seed)
    made = fleet(rng)
    if made is None:
        return
    home, cell = rng.choice("abc"), rng.randint(0, 9)
    for optimised, reference in (
        (lambda r, q: eligible(r, q, True), lambda r, q: [e.name for e in usable(r, r.prefill_engines, q)]),
        (lambda r, q: eligible(r, q, False), lambda r, q: [e.name for e in usable(r, r.decode_engines, q)]),
        (lambda r, q: r._choose_prefill_engine(q, home), lambda r, q: prefill_engine(r, q, home)),
        (
            lambda r, q: r._choose_decode_engine(q, home, cell, prefills=False),
            lambda r, q: decode_engine(r, q, home, cell),
        ),
    ):
        first, second = copy.deepcopy(made), copy.deepcopy(made)
        chosen, expected = optimised(*first), reference(*second)
        assert getattr(chosen, "name", chosen) == getattr(expected, "name", expected)
        if max((len(pool.engines) for pool in made[0].decode_engines_in.values()), default=0) <= SAMPLE_SIZE:
            assert first[0].random.getstate() == second[0].random.getstate()
        for name in first[0].engines:
            assert first[0].engines[name].slow_start_credit == second[0].engines[name].slow_start_credit


@pytest.mark.parametrize("seed", range(40))
def test_sampled_draws_are_distributed_like_the_reference(seed):
    rng = random.Random(seed)
    made = fleet(rng, sizes=(100, 160))  # zones of more than SAMPLE_SIZE decode engines
    if made is None:
        return
    zone, cell, times = rng.choice("abc"), rng.randint(0, 9), 400
    router, request = made
    counts = {}
    for number, draws in enumerate((lambda: router._choose_decode_engine(request, zone, cell, prefills=False),
                                    lambda: decode_engine(router, request, zone, cell))):  # fmt: skip
        for _ in range(times):
            chosen = draws()
            counts.setdefault(chosen and chosen.name, [0, 0])[number] += 1
    for name, (optimised, reference) in counts.items():
        spread = (max(reference, optimised, 4) * (1 - reference / times) + 1) ** 0.5
        assert abs(optimised - reference) < 5 * 2**0.5 * spread, name


def after_random_events(events, seed):
    """The router of a host after random events, and the time."""
    rng = random.Random(seed)
    host = RecordingHost(*(
        entry(f"{kind}{n}", "ab"[n % 2], n // 4, up_since=rng.choice([0, 0, 95_000_000]))
        for n, kind in enumerate("RWWB" * 4)
    ))  # fmt: skip
    for _ in range(events):
        host.clock += rng.choice([1000, 100_000, 3_000_000])
        draw, in_flight = (
            rng.random(),
            [request for request in host.router.requests.values() if request.in_flight],
        )
        if draw < 0.4 or not in_flight:
            host.request(rng.choice([900, 6000]), session=str(rng.randrange(9)), prefix="")
        else:
            request = rng.choice(in_flight)
            attempt = request.in_flight
            if draw < 0.55:
                host.router.on_first_token(request.spec.id, attempt.number, 50_000)
            else:
                outcome = rng.choice([
                    AttemptOutcome.PREFILLED if attempt.is_prefill else AttemptOutcome.COMPLETED,
                    AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST,
                    AttemptOutcome.NOT_SENT,
                ])  # fmt: skip
                host.router.on_attempt_ended(
                    request.spec.id, attempt.number, attempt.engine.name, outcome, 50_000, 0, False, None
                )
    return host.router, host.clock


@pytest.mark.parametrize("seed", range(60))
def test_every_unhealthy_engine_is_a_suspect(seed):
    router, now = after_random_events(80, seed)
    suspects = router._current_suspects(now)
    for engine in router.engines.values():
        backing_off = any(now < until for until in engine.backoff_until.values())
        suspect = (
            engine.ejections
            or engine.consecutive_failures > 1
            or now < engine.slow_start_until
            or backing_off
        )
        if suspect or router._is_silent(engine, now):
            assert engine in suspects
    for engine in router.engines.values():
        for key in engine.cached_prefixes:
            assert engine in router.prefix_holders.holders_of(key)
        assert all(
            key in e.cached_prefixes
            for key in engine.cached_prefixes
            for e in router.prefix_holders.holders_of(key)
        )


def test_the_random_fleets_cover_all_engine_states():
    """Many of the drawn fleets have unhealthy, cold, backed-off and full engines."""
    seen = {"unhealthy": 0, "cold": 0, "backing_off": 0, "full": 0, "none": 0}
    for seed in range(60):
        made = fleet(random.Random(seed))
        if made is None:
            continue
        router, request = made
        now = router.host.now()
        engines = list(router.engines.values())
        seen["unhealthy"] += any(engine.ejections or router._is_silent(engine, now) for engine in engines)
        seen["cold"] += any(now < engine.slow_start_until for engine in engines)
        seen["backing_off"] += any(engine.backoff_until for engine in engines)
        seen["full"] += any(router._utilization(engine) >= 1 for engine in router.decode_engines)
        seen["none"] += not usable(router, router.decode_engines, request)
    assert min(seen.values()) > 2
