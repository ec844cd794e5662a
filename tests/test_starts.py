"""Starts of engines on this machine's own clock, while wall clocks are stepped and lists are reported."""

import pytest

from lifthead.starts import LIST_LAG, StartTimes

SECOND = 1_000_000
OFFSET = 1_700_000_000 * SECOND  # of the wall clock against the monotonic one
NOW = 500 * SECOND
HOUR = 3600 * SECOND


def after_first_list(**engines):
    """Start times after a first list with these starts."""
    starts = StartTimes(OFFSET)
    for engine, reported in engines.items():
        starts.up_since(engine, reported, NOW, OFFSET)
    starts.on_list(NOW)
    return starts


def test_a_first_list_is_believed_and_long_ago_stays_so():
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
def test_an_engine_that_joins_between_two_lists_started_then_whatever_its_start_says(reported):
    starts = after_first_list(old=0)
    later = NOW + 2 * SECOND
    assert starts.up_since("new", reported, later, OFFSET) == later


def test_a_start_that_can_be_true_is_believed_between_lists():
    starts = after_first_list(old=0)
    later = NOW + 2 * SECOND
    assert starts.up_since("new", OFFSET + later - SECOND, later, OFFSET) == later - SECOND
    assert starts.up_since("old", OFFSET + later - LIST_LAG // 2, later, OFFSET) == later - LIST_LAG // 2


def test_a_list_after_the_one_from_the_configuration_may_tell_of_old_engines():
    starts = after_first_list(old=0)
    starts.reset()
    assert starts.up_since("other", 0, NOW + SECOND, OFFSET) == 0
