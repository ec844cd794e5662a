"""The weight that a router asks load balancers for: its inputs, its hysteresis, and a hundred routers that
must not oscillate."""

import random

import pytest

from lifthead.members.weight import (
    MIN_PERCENT,
    MIN_PERCENT_FOR_REJECTIONS,
    RISE_INTERVAL_US,
    RISE_STEP,
    WINDOW_US,
    AdvertisedWeight,
    RecentAnswers,
    target_weight,
)


@pytest.mark.parametrize(
    ("occupancy", "lag", "answers", "rejected", "percent"),
    [
        (0.0, 0, 0, 0, 100),
        (0.5, 20_000, 100, 10, 100),
        (0.75, 0, 100, 0, 55),
        (1.0, 0, 100, 0, MIN_PERCENT),
        (0.0, 400_000, 100, 0, MIN_PERCENT),
        # All routers reject at the same time: the cause isn't this router alone.
        (0.0, 0, 100, 100, MIN_PERCENT_FOR_REJECTIONS),
        (0.0, 0, 19, 19, 100),  # too few answers to count
    ],
)
def test_the_target_follows_causes_within_the_router(occupancy, lag, answers, rejected, percent):
    assert target_weight(occupancy, lag, answers, rejected) == percent


def test_the_weight_falls_at_once_rises_in_steps_and_ignores_small_changes():
    weight, now = AdvertisedWeight(random.Random(1)), 0
    assert weight.update(now, 90) == 100
    assert weight.update(now, 40) == 40
    assert weight.update(now, 100) == 40
    advertised = []
    while weight.percent < 100:
        now += 250_000
        advertised.append(weight.update(now, 100))
    assert sorted(set(advertised)) == [40, 50, 60, 70, 80, 90, 100]
    steps = (100 - 40) // RISE_STEP
    assert steps * RISE_INTERVAL_US[0] <= now <= steps * (RISE_INTERVAL_US[1] + 250_000)


def test_only_recent_answers_are_counted():
    recent = RecentAnswers()
    for second in range(8):
        recent.add(second * 1_000_000, rejected=second == 7, missed=second % 2 == 1)
    assert recent.counts(7_000_000) == (6, 1, 3)
    assert recent.counts(7_000_000 + WINDOW_US + 1) == (0, 0, 0)


def oscillation(update, routers, seconds):
    """Standard deviation and mean of the share of requests that the slow half gets, in the last two thirds of
    a simulated run: requests are divided by weight, a router's occupancy grows with its share, its weight
    follows."""
    weights, shares = [100.0] * routers, []
    for at in range(seconds * 4):
        total = sum(weights)
        occupancies = [
            1.5 * routers * weight / total * (0.75 if n % 2 else 0.4) for n, weight in enumerate(weights)
        ]
        weights = [update(n, at * 250_000, min(occupancy, 1.0)) for n, occupancy in enumerate(occupancies)]
        shares.append(sum(weights[1::2]) / sum(weights))
    counted = shares[len(shares) // 3 :]
    mean = sum(counted) / len(counted)
    return (sum((share - mean) ** 2 for share in counted) / len(counted)) ** 0.5, mean


def test_a_hundred_routers_do_not_oscillate_together():
    weights = [AdvertisedWeight(random.Random(n)) for n in range(100)]
    smoothed, share = oscillation(
        lambda n, at, occupancy: weights[n].update(at, target_weight(occupancy, 0, 0, 0)), 100, 120
    )
    unsmoothed, _ = oscillation(lambda n, at, occupancy: target_weight(occupancy, 0, 0, 0), 100, 120)
    assert smoothed < unsmoothed / 8 and smoothed < 0.05
    assert share < 0.48  # the slow half gets less, although all routers are overloaded
