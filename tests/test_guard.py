"""The guard of one request: what may be sent, and which invariants are counted as broken."""

import pytest

from lifthead.guard import (
    HELD_SLACK,
    Attempt,
    AttemptState,
    HeldState,
    Refusal,
    RequestGuard,
    Rule,
    Violations,
    Work,
)
from lifthead.interface import Effect

ALLOWED = 300_000  # microseconds for a held state
DUE = 5_000_000
FOREVER = 1 << 62


@pytest.fixture
def reported():
    return []


def guarded(reported, effect=Effect.REPLAYABLE):
    return RequestGuard("r", effect, DUE, ALLOWED, Violations(lambda *said: reported.append(said)))


def attempt(guard, work, number=0, engine="e", at=0):
    one = Attempt(number=number, engine=engine, work=work, send_by=FOREVER, sent_at=at)
    guard.start(one)
    return one


def prefilled(guard, at=0):
    """A state is leased from this time on."""
    one = attempt(guard, Work.PREFILL, engine="p")
    guard.writing(one, at)
    guard.leased("p", at)
    guard.ended(one, at, proven_not_run=False)


def test_an_attempt_goes_from_connecting_to_its_end_and_only_bytes_confirm_it(reported):
    guard = guarded(reported)
    one = attempt(guard, Work.WHOLE)
    states = [one.state]
    guard.writing(one, 1)
    states.append(one.state)
    guard.written(one)
    states.append(one.state)
    assert not one.confirmed
    guard.confirmed_by(one)
    states.append(one.state)
    guard.ended(one, 3, proven_not_run=False)
    assert [*states, one.state] == list(AttemptState) and reported == []


@pytest.mark.parametrize(
    ("how", "refusal"),
    [
        ({"ready": False}, Refusal.ENGINE_NOT_READY),
        ({"now": FOREVER}, Refusal.TOO_LATE),
        ({"client_gone": True}, Refusal.CLIENT_GONE),
        ({}, None),
    ],
)
def test_what_may_not_be_sent_is_refused_in_the_instant_before(how, refusal, reported):
    guard = guarded(reported)
    asked = {"now": 1, "ready": True, "client_gone": False} | how
    assert guard.refusal(attempt(guard, Work.WHOLE), **asked) is refusal


def test_nothing_is_sent_after_the_final_answer(reported):
    guard = guarded(reported)
    one = attempt(guard, Work.WHOLE)
    assert guard.answer("aborted", 1) and not guard.answer("pushed back", 2)
    assert guard.refusal(one, 3, True, False) is Refusal.ANSWERED
    guard.writing(one, 3)
    assert [said[0] for said in reported] == [Rule.FINAL_ANSWER]


def test_a_late_answer_is_counted_but_not_one_of_a_client_that_left(reported):
    assert guarded(reported).answer("left", DUE + 10_000_000) and reported == []
    guarded(reported).answer("aborted", DUE + 600_000)
    assert reported[0][0] is Rule.FINAL_ANSWER and "600 ms late" in reported[0][2]


def test_two_attempts_at_once_are_counted(reported):
    guard = guarded(reported)
    attempt(guard, Work.WHOLE, 0, "one")
    attempt(guard, Work.WHOLE, 1, "two")
    assert reported == [(Rule.SINGLE_EFFECT, "r", "two beside one")]


@pytest.mark.parametrize("proven", [True, False])
def test_a_non_idempotent_request_is_repeated_or_rejected_only_if_proven_not_run(proven, reported):
    guard = guarded(reported, Effect.NON_REPLAYABLE)
    one = attempt(guard, Work.WHOLE)
    guard.writing(one, 1)
    guard.written(one)
    guard.ended(one, 2, proven_not_run=proven)
    guard.writing(attempt(guard, Work.WHOLE, 1), 3)
    guard.answer("pushed back", 4)
    assert [said[0] for said in reported] == ([] if proven else [Rule.SINGLE_EFFECT] * 2)


def test_an_attempt_that_was_never_written_has_not_run(reported):
    guard = guarded(reported, Effect.NON_REPLAYABLE)
    guard.ended(attempt(guard, Work.WHOLE), 1, proven_not_run=False)
    assert not guard.may_have_run


def test_a_prefill_has_no_effect_and_may_leave_a_state_however_it_ends(reported):
    guard = guarded(reported, Effect.NON_REPLAYABLE)
    one = attempt(guard, Work.PREFILL, engine="p")
    guard.writing(one, 1)
    assert guard.releasable() is None  # it is in flight
    guard.ended(one, 2, proven_not_run=False)
    assert not guard.may_have_run and guard.releasable().state is HeldState.POSSIBLE


@pytest.mark.parametrize("late", [0, 1])
def test_a_written_call_that_brings_nothing_does_not_stop_the_clock(late, reported):
    guard = guarded(reported)
    prefilled(guard)
    call = attempt(guard, Work.FETCH, 1)
    guard.writing(call, 1)
    guard.written(call)
    assert guard.overdue(ALLOWED + HELD_SLACK + late) is bool(late)
    assert [said[0] for said in reported] == [Rule.HELD_STATE] * late


def test_a_call_that_is_confirmed_or_a_release_that_is_answered_stops_it(reported):
    confirmed, released = guarded(reported), guarded(reported)
    prefilled(confirmed)
    call = attempt(confirmed, Work.FETCH, 1)
    confirmed.writing(call, 100_000)
    confirmed.fetched(call)
    prefilled(released)
    held = released.releasable()
    held.state = HeldState.RELEASING
    released.released(held, ALLOWED)
    assert not confirmed.overdue(DUE) and not released.overdue(DUE) and reported == []
    assert (confirmed.held.state, released.held.state) == (HeldState.FETCHED, HeldState.RELEASED)


def test_a_release_that_is_answered_late_is_counted_once(reported):
    guard = guarded(reported)
    prefilled(guard)
    held = guard.releasable()
    held.state = HeldState.RELEASING
    guard.released(held, ALLOWED + HELD_SLACK + 1)
    guard.released(held, DUE)
    assert [said[0] for said in reported] == [Rule.HELD_STATE]


def test_no_call_is_sent_for_a_state_that_was_released(reported):
    guard = guarded(reported)
    prefilled(guard)
    call = attempt(guard, Work.FETCH, 1)
    guard.releasable().state = HeldState.RELEASING
    assert guard.refusal(call, 1, True, False) is Refusal.STATE_RELEASED


@pytest.mark.parametrize("answered", [True, False])
def test_a_call_that_kept_its_state_from_being_released_leaves_it_when_it_is_closed(answered, reported):
    guard = guarded(reported)
    prefilled(guard)
    call = attempt(guard, Work.FETCH, 1)
    guard.writing(call, 1)
    guard.written(call)
    held = guard.releasable()
    held.state = HeldState.RELEASING
    if answered:  # the release's answer came before the call was closed, or it comes after
        guard.released(held, 2)
    guard.ended(call, 1_000_000, proven_not_run=False)
    again = guard.releasable()
    assert (again.state, again.holder, again.since) == (HeldState.POSSIBLE, "p", 1_000_000)
    assert again.settles and again is not held


def test_a_state_is_not_released_before_a_call_that_was_cancelled_is_over(reported):
    guard = guarded(reported)
    prefilled(guard)
    call = attempt(guard, Work.FETCH, 1)
    guard.writing(call, 1)
    call.called_off = True
    assert guard.releasable() is None
    guard.ended(call, 2, proven_not_run=False)
    assert guard.releasable().settles


def test_an_answer_to_a_call_starts_the_clock_anew(reported):
    guard = guarded(reported)
    prefilled(guard)
    call = attempt(guard, Work.FETCH, 1)
    guard.writing(call, 200_000)
    guard.confirmed_by(call)
    guard.ended(call, 900_000, proven_not_run=True)
    assert guard.held.since == 900_000 and not guard.overdue(900_000 + ALLOWED) and reported == []


def test_violations_are_told_by_rule():
    violations = Violations(lambda *_: None)
    violations.add(Rule.DRAIN, "r", "why")
    assert str(violations) == "final_answer=0 single_effect=0 drain=1 slow_start=0 held_state=0"


def test_a_prompt_that_was_read_anew_says_nothing_of_a_state_that_is_being_released(reported):
    guard = guarded(reported)
    prefilled(guard)
    held = guard.releasable()
    held.state = HeldState.RELEASING
    whole = attempt(guard, Work.WHOLE, 1)
    guard.writing(whole, 900_000)
    guard.fetched(whole)
    assert reported == [] and held.state is HeldState.RELEASING
