"""The weight that a router wants from balancers: facts in, a word out, and a hundred that must not swing."""

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
    ("full", "lag", "ended", "pushed_back", "percent"),
    [
        (0.0, 0, 0, 0, 100),
        (0.5, 20_000, 100, 10, 100),
        (0.75, 0, 100, 0, 55),
        (1.0, 0, 100, 0, MIN_PERCENT),
        (0.0, 400_000, 100, 0, MIN_PERCENT),
        # All routers reject at the same time: the cause isn't this router alone.
        (0.0, 0, 100, 100, MIN_PERCENT_FOR_REJECTIONS),
        (0.0, 0, 19, 19, 100),  # too few to say anything
    ],
)
def test_the_wish_follows_what_is_the_routers_own(full, lag, ended, pushed_back, percent):
    assert target_weight(full, lag, ended, pushed_back) == percent


def test_the_word_falls_at_once_rises_in_steps_and_ignores_small_changes():
    weight, now = AdvertisedWeight(random.Random(1)), 0
    assert weight.update(now, 90) == 100
    assert weight.update(now, 40) == 40
    assert weight.update(now, 100) == 40
    said = []
    while weight.percent < 100:
        now += 250_000
        said.append(weight.update(now, 100))
    assert sorted(set(said)) == [40, 50, 60, 70, 80, 90, 100]
    steps = (100 - 40) // RISE_STEP
    assert steps * RISE_INTERVAL_US[0] <= now <= steps * (RISE_INTERVAL_US[1] + 250_000)


def test_answers_are_counted_while_they_are_recent():
    lately = RecentAnswers()
    for second in range(8):
        lately.add(second * 1_000_000, rejected=second == 7, missed=second % 2 == 1)
    assert lately.counts(7_000_000) == (6, 1, 3)
    assert lately.counts(7_000_000 + WINDOW_US + 1) == (0, 0, 0)


def swings(turn, routers, seconds):
    """Standard deviation of the share that goes to the slow half, in the last two thirds of a simulated run:
    reqs are divided by weight, a router's hands fill with its share, its word follows."""
    weights, shares = [100.0] * routers, []
    for at in range(seconds * 4):
        total = sum(weights)
        fulls = [
            1.5 * routers * weight / total * (0.75 if n % 2 else 0.4) for n, weight in enumerate(weights)
        ]
        weights = [turn(n, at * 250_000, min(full, 1.0)) for n, full in enumerate(fulls)]
        shares.append(sum(weights[1::2]) / sum(weights))
    kept = shares[len(shares) // 3 :]
    mean = sum(kept) / len(kept)
    return (sum((share - mean) ** 2 for share in kept) / len(kept)) ** 0.5, mean


def test_a_hundred_routers_do_not_swing_together():
    words = [AdvertisedWeight(random.Random(n)) for n in range(100)]
    steady, share = swings(lambda n, at, full: words[n].update(at, target_weight(full, 0, 0, 0)), 100, 120)
    bare, _ = swings(lambda n, at, full: target_weight(full, 0, 0, 0), 100, 120)
    assert steady < bare / 8 and steady < 0.05
    assert share < 0.48  # the slow half does get less, though all are in trouble
