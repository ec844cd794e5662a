"""Start times of engines on the monotonic clock, while wall clocks are stepped and lists arrive."""

import pytest

from lifthead.starts import LIST_LAG, StartTimes

SECOND = 1_000_000
OFFSET = 1_700_000_000 * SECOND  # by how much the wall clock is ahead of the monotonic one
NOW = 500 * SECOND
HOUR = 3600 * SECOND


def after_first_list(**engines):
    """Start times after a first list that reports these starts."""
    starts = StartTimes(OFFSET)
    for engine, reported in engines.items():
        starts.up_since(engine, reported, NOW, OFFSET)
    starts.on_list(NOW)
    return starts


def test_start_times_of_a_first_list_are_used_and_0_stays_long_ago():
    starts = StartTimes(OFFSET)
    assert starts.up_since("e", OFFSET + NOW - 3 * SECOND, NOW, OFFSET) == NOW - 3 * SECOND
    assert starts.up_since("f", 0, NOW, OFFSET) == 0
    assert starts.up_since("g", OFFSET + NOW + HOUR, NOW, OFFSET) == NOW  # in the future


@pytest.mark.parametrize("step", [HOUR, -HOUR, 3 * SECOND, -3 * SECOND])
def test_a_stepped_wall_clock_makes_no_new_engine_look_warm_and_no_old_one_cold(step):
    starts = after_first_list(old=OFFSET + NOW - 100 * SECOND)
    later = NOW + 20 * SECOND
    assert starts.up_since("old", OFFSET + NOW - 100 * SECOND, later, OFFSET + step) == NOW - 100 * SECOND
    assert starts.up_since("new", OFFSET + later - SECOND, later, OFFSET + step) == later


@pytest.mark.parametrize("reported", [0, 1, OFFSET + NOW - HOUR, OFFSET + NOW + HOUR])
def test_an_engine_that_joins_between_two_lists_with_an_implausible_start_started_then(reported):
    starts = after_first_list(old=0)
    later = NOW + 2 * SECOND
    assert starts.up_since("new", reported, later, OFFSET) == later


def test_a_plausible_start_is_used_between_lists():
    starts = after_first_list(old=0)
    later = NOW + 2 * SECOND
    assert starts.up_since("new", OFFSET + later - SECOND, later, OFFSET) == later - SECOND
    assert starts.up_since("old", OFFSET + later - LIST_LAG // 2, later, OFFSET) == later - LIST_LAG // 2


def test_after_a_reset_a_list_may_name_engines_that_started_long_ago():
    starts = after_first_list(old=0)
    starts.reset()
    assert starts.up_since("other", 0, NOW + SECOND, OFFSET) == 0
