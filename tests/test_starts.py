"""Starts of engines on this machine's own clock, while wall clocks are stepped and lists are told."""

import pytest

from lifthead.starts import LIST_LAG, StartTimes

SECOND = 1_000_000
AHEAD = 1_700_000_000 * SECOND  # of the wall clock against the monotonic one
NOW = 500 * SECOND
HOUR = 3600 * SECOND


def listed(**engines):
    """Start times after a first list with these starts."""
    starts = StartTimes(AHEAD)
    for engine, told in engines.items():
        starts.up_since(engine, told, NOW, AHEAD)
    starts.listed(NOW)
    return starts


def test_a_first_list_is_believed_and_long_ago_stays_so():
    starts = StartTimes(AHEAD)
    assert starts.up_since("e", AHEAD + NOW - 3 * SECOND, NOW, AHEAD) == NOW - 3 * SECOND
    assert starts.up_since("f", 0, NOW, AHEAD) == 0
    assert starts.up_since("g", AHEAD + NOW + HOUR, NOW, AHEAD) == NOW  # in the future


@pytest.mark.parametrize("step", [HOUR, -HOUR, 3 * SECOND, -3 * SECOND])
def test_a_stepped_wall_clock_makes_no_new_engine_look_warm_and_no_old_one_cold(step):
    starts = listed(old=AHEAD + NOW - 100 * SECOND)
    later = NOW + 20 * SECOND
    assert starts.up_since("old", AHEAD + NOW - 100 * SECOND, later, AHEAD + step) == NOW - 100 * SECOND
    assert starts.up_since("new", AHEAD + later - SECOND, later, AHEAD + step) == later


@pytest.mark.parametrize("told", [0, 1, AHEAD + NOW - HOUR, AHEAD + NOW + HOUR])
def test_an_engine_that_joins_between_two_lists_started_then_whatever_its_start_says(told):
    starts = listed(old=0)
    later = NOW + 2 * SECOND
    assert starts.up_since("new", told, later, AHEAD) == later


def test_a_start_that_can_be_true_is_believed_between_lists():
    starts = listed(old=0)
    later = NOW + 2 * SECOND
    assert starts.up_since("new", AHEAD + later - SECOND, later, AHEAD) == later - SECOND
    assert starts.up_since("old", AHEAD + later - LIST_LAG // 2, later, AHEAD) == later - LIST_LAG // 2


def test_a_list_after_the_one_from_the_configuration_may_tell_of_old_engines():
    starts = listed(old=0)
    starts.begin_anew()
    assert starts.up_since("other", 0, NOW + SECOND, AHEAD) == 0
