"""Choices at size: the module's short ways against the plain forms that they stand for, on random fleets."""

import copy
import random
from dataclasses import replace
from heapq import heappush

import pytest
from helpers import Bench, entry, report

from lifthead.control import ANEW, FEW, HEAVIER, HEAVIER_BY, HOT_SLACK, HOT_TIMES, rank
from lifthead.interface import AttemptOutcome, Idempotency
from lifthead.state import Attempt


def usable(router, engines, req):
    """Every engine is asked everything."""
    now = router.host.now()
    up = [engine for engine in engines if engine.consecutive_failures <= 1]
    well = {engine.name for engine in up if not engine.ejections and not router._silent(engine, now)}
    trust_all = len(well) * 2 < len(up)
    allowed = [
        engine
        for engine in engines
        if engine.name not in req.tried_engines
        and (not engine.memory or req.prompt_tokens <= engine.memory)
        and router._in_group(engine, req, now)
        and router._cold_room(engine, now)
        and (engine.name in well or router._trial(engine, req, now) or trust_all and engine in up)
    ]
    return [e for e in allowed if now >= e.backoff_until.get(req.spec.request_class, 0)] or allowed


def reader(router, req, home):
    """All readers are ranked, and the first that does not cost too much is taken."""
    found = usable(router, router.readers, req)
    if not found:
        return None
    order = sorted(found, key=lambda engine: (engine.zone != home, rank(req.affinity_key, engine.name)))
    costs = {e.name: router._backlog(e) + ANEW * router._unread(e, req) for e in found}
    bound = HOT_TIMES * min(costs.values()) + HOT_SLACK
    return next(engine for engine in order if costs[engine.name] <= bound)


def draw(router, req, zone, cell):
    """All writers are asked for room."""
    found = usable(router, router.writers, req)
    room = [engine for engine in found if router._pressure(engine) < 1]
    in_zone = [e for e in room if e.zone == zone] or room
    in_zone = in_zone or [e for e in found if e.zone == zone] or found
    if not in_zone:
        return None

    def drawn(engines):
        return router.chance.choices(engines, [engine.weight for engine in engines])[0]

    other = drawn(in_zone)
    if zone in router.between_cells:
        cell = router.between_cells[zone].place(cell, router.chance.random())
    in_cell = [engine for engine in in_zone if engine.cell == cell]
    kept = drawn(in_cell) if in_cell else drawn(in_zone)
    return other if router._load(kept) > HEAVIER * router._load(other) + HEAVIER_BY else kept


def fleet(chance, sizes=(1, 3, 8, 40)):
    """A router that knows a fleet in some random state, and a req."""
    size = chance.choice(sizes)
    started = [0, 0, 99_000_000]
    entries = [
        entry(f"{chance.choice('RWWB')}{n}", chance.choice("abc"), n // 4, up_since=chance.choice(started))
        for n in range(size)
    ]
    entries = [replace(each, weight=chance.choice([1.0, 0.5, 2.0])) for each in entries]
    bench = Bench(*entries)
    router, now = bench.router, bench.clock
    for _ in range(40):
        router.pace["read"].add(chance.randint(1000, 90_000))
        router.pace["fetch"].add(chance.randint(1000, 90_000))
    for engine in router.engines.values():
        engine.ejections = chance.choice([0, 0, 0, 1, 2])
        engine.consecutive_failures = chance.choice([0, 0, 0, 1, 2])
        engine.next_trial_at = now + chance.choice([-1, 1])
        engine.reserved_tokens, engine.pending_prefill_tokens = (
            chance.randint(0, 120_000),
            chance.choice([0, 0, 9000, 60_000]),
        )
        engine.heard_at = now - chance.choice([0, 60_000_000])
        if chance.random() < 0.2:
            engine.backoff_until["chat"] = now + chance.choice([-1, 1])
        if chance.random() < 0.5:
            said = report(memory_used=chance.random() * 1.3, queued=chance.choice([0.0, 2.0]))
            engine.report, engine.report_at = said, now
        for number in range(chance.choice([0, 0, 1, 3])):
            sent_at = now - chance.choice([1000, 50_000_000])
            engine.unanswered[number, 0] = Attempt(
                number, 0, engine, sent_at, 5, 5, 5000, engine.role == "read", True, 2_000_000
            )
            heappush(router.late, (sent_at + 2_000_000, number, len(router.late), engine))
        for key in ("p", "s", "q"):
            if chance.random() < 0.2:
                router.prefix_holders.add(engine, key, 4000)
        router.watched[engine] = None  # asked over, whatever is against it
    req_id = bench.req(
        prompt=chance.choice([900, 5000, 20_000]), group=chance.choice(["chat", "pay", "mark"])
    )
    req = router.requests.get(req_id)
    if req is None:
        return None
    req.tried_engines = set(chance.sample(sorted(router.engines), chance.randint(0, min(2, size))))
    if req.idempotency is Idempotency.WITH_KEY and chance.random() < 0.5:
        req.may_have_run_on, req.repeat_until = (
            chance.choice(list(router.engines.values())),
            now + chance.choice([-1, 1]),
        )
    return router, req


def left(router, req, reading):
    """Names of the engines of a role that the module's short way leaves."""
    unfit = router._unfit(req, reading)
    return [e.name for e in (router.readers if reading else router.writers) if e not in unfit]


@pytest.mark.parametrize("seed", range(300))
def test_the_short_ways_choose_what_the_plain_forms_choose(seed):
    chance = random.Random(seed)
    made = fleet(chance)
    if made is None:
        return
    home, cell = chance.choice("abc"), chance.randint(0, 9)
    for short, plain in (
        (lambda r, q: left(r, q, True), lambda r, q: [e.name for e in usable(r, r.readers, q)]),
        (lambda r, q: left(r, q, False), lambda r, q: [e.name for e in usable(r, r.writers, q)]),
        (lambda r, q: r._reader(q, home), lambda r, q: reader(r, q, home)),
        (lambda r, q: r._draw(q, home, cell, reads=False), lambda r, q: draw(r, q, home, cell)),
    ):
        one, two = copy.deepcopy(made), copy.deepcopy(made)
        chosen, expected = short(*one), plain(*two)
        assert getattr(chosen, "name", chosen) == getattr(expected, "name", expected)
        if max((len(pool.engines) for pool in made[0].writers_in.values()), default=0) <= FEW:
            assert one[0].chance.getstate() == two[0].chance.getstate()
        for name in one[0].engines:
            assert one[0].engines[name].slow_start_credit == two[0].engines[name].slow_start_credit


@pytest.mark.parametrize("seed", range(40))
def test_a_draw_that_samples_falls_as_the_plain_one_does(seed):
    chance = random.Random(seed)
    made = fleet(chance, sizes=(100, 160))  # zones of more than FEW writers
    if made is None:
        return
    zone, cell, times = chance.choice("abc"), chance.randint(0, 9), 400
    router, req = made
    counts = {}
    for number, draws in enumerate((lambda: router._draw(req, zone, cell, reads=False),
                                    lambda: draw(router, req, zone, cell))):  # fmt: skip
        for _ in range(times):
            chosen = draws()
            counts.setdefault(chosen and chosen.name, [0, 0])[number] += 1
    for name, (short, plain) in counts.items():
        spread = (max(plain, short, 4) * (1 - plain / times) + 1) ** 0.5
        assert abs(short - plain) < 5 * 2**0.5 * spread, name


def watched_after(events, seed):
    """A bench driven through random events; the engines that the plain look over all would doubt."""
    chance = random.Random(seed)
    bench = Bench(*(
        entry(f"{kind}{n}", "ab"[n % 2], n // 4, up_since=chance.choice([0, 0, 95_000_000]))
        for n, kind in enumerate("RWWB" * 4)
    ))  # fmt: skip
    for _ in range(events):
        bench.clock += chance.choice([1000, 100_000, 3_000_000])
        what, out = chance.random(), [req for req in bench.router.requests.values() if req.in_flight]
        if what < 0.4 or not out:
            bench.req(chance.choice([900, 6000]), session=str(chance.randrange(9)), beginning="")
        else:
            req = chance.choice(out)
            forward = req.in_flight
            if what < 0.55:
                bench.router.on_first_token(req.spec.id, forward.number, 50_000)
            else:
                ending = chance.choice([
                    AttemptOutcome.PREFILLED if forward.is_prefill else AttemptOutcome.COMPLETED,
                    AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST,
                    AttemptOutcome.NOT_SENT,
                ])  # fmt: skip
                bench.router.on_attempt_ended(
                    req.spec.id, forward.number, forward.engine.name, ending, 50_000, 0, False, None
                )
    return bench.router, bench.clock


@pytest.mark.parametrize("seed", range(60))
def test_no_engine_with_something_against_it_goes_unwatched(seed):
    router, now = watched_after(80, seed)
    watched = router._watch(now)
    for engine in router.engines.values():
        barred = any(now < until for until in engine.backoff_until.values())
        doubtful = (
            engine.ejections or engine.consecutive_failures > 1 or now < engine.slow_start_until or barred
        )
        if doubtful or router._silent(engine, now):
            assert engine in watched
    for engine in router.engines.values():
        for key in engine.cached_prefixes:
            assert engine in router.prefix_holders.holders_of(key)
        assert all(
            key in e.cached_prefixes
            for key in engine.cached_prefixes
            for e in router.prefix_holders.holders_of(key)
        )


def test_the_fleets_differ_enough_for_the_comparison_to_mean_something():
    """Of the drawn fleets many have doubtful, cold, barred and full engines."""
    seen = {"ill": 0, "cold": 0, "barred": 0, "full": 0, "none": 0}
    for seed in range(60):
        made = fleet(random.Random(seed))
        if made is None:
            continue
        router, req = made
        now = router.host.now()
        engines = list(router.engines.values())
        seen["ill"] += any(engine.ejections or router._silent(engine, now) for engine in engines)
        seen["cold"] += any(now < engine.slow_start_until for engine in engines)
        seen["barred"] += any(engine.backoff_until for engine in engines)
        seen["full"] += any(router._pressure(engine) >= 1 for engine in router.writers)
        seen["none"] += not usable(router, router.writers, req)
    assert min(seen.values()) > 2
