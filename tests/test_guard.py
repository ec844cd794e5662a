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
from lifthead.interface import Idempotency

ALLOWED = 300_000  # microseconds for a held state
DUE = 5_000_000
STALL = 150_000  # a router may be held up for so long
FOREVER = 1 << 62


@pytest.fixture
def reported():
    return []


def guarded(reported, effect=Idempotency.IDEMPOTENT):
    return RequestGuard("r", effect, DUE, ALLOWED, Violations(lambda *said: reported.append(said)))


def attempt(guard, work, number=0, engine="e", at=0):
    one = Attempt(number=number, engine=engine, work=work, send_by=FOREVER, sent_at=at)
    guard.start(one)
    return one


def prefilled(guard, at=0):
    """A state is leased from this time on."""
    one = attempt(guard, Work.PREFILL, engine="p")
    guard.writing(one, at)
    guard.leased(one, at)
    guard.ended(one, at, proven_not_run=False, answered=True)
    return one


def called(guard, at, work=Work.FETCH, engine="e"):
    """A decode call that was written at this time."""
    call = attempt(guard, work, 1, engine)
    guard.writing(call, at)
    guard.written(call)
    return call


def releases_sent(guard, until=FOREVER):
    """Sends each release that is due, has it taken, and returns when each went out and what it proved."""
    found = []
    while (at := guard.releases.next_release_at()) is not None and at < until:
        guard.release_sent(at)
        found.append((at, guard.release_taken(at)))
    return found


def broken(reported):
    return [said[0] for said in reported]


def test_an_attempt_goes_from_connecting_to_its_end_and_only_bytes_confirm_it(reported):
    guard = guarded(reported)
    one = attempt(guard, Work.WHOLE)
    states = [one.state]
    guard.writing(one, 1)
    states.append(one.state)
    guard.written(one)
    states.append(one.state)
    guard.confirmed_by(one)
    states.append(one.state)
    guard.ended(one, 3, proven_not_run=False, answered=True)
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


def test_an_attempt_that_is_written_to_an_engine_that_is_not_ready_is_counted(reported):
    guard = guarded(reported)
    guard.writing(attempt(guard, Work.WHOLE), 1, ready=False)
    assert broken(reported) == [Rule.DRAIN]


def test_two_attempts_at_once_are_counted(reported):
    guard = guarded(reported)
    attempt(guard, Work.WHOLE, 0, "one")
    attempt(guard, Work.WHOLE, 1, "two")
    assert reported == [(Rule.SINGLE_EFFECT, "r", "two beside one")]


@pytest.mark.parametrize("proven", [True, False])
def test_a_non_idempotent_request_is_repeated_or_rejected_only_if_proven_not_run(proven, reported):
    guard = guarded(reported, Idempotency.NON_IDEMPOTENT)
    one = attempt(guard, Work.WHOLE)
    guard.writing(one, 1)
    guard.written(one)
    guard.ended(one, 2, proven_not_run=proven, answered=proven)
    guard.writing(attempt(guard, Work.WHOLE, 1), 3)
    guard.answer("pushed back", 4)
    assert [said[0] for said in reported] == ([] if proven else [Rule.SINGLE_EFFECT] * 2)


def test_an_attempt_that_was_never_written_has_not_run(reported):
    guard = guarded(reported, Idempotency.NON_IDEMPOTENT)
    guard.ended(attempt(guard, Work.WHOLE), 1, proven_not_run=False, answered=False)
    assert not guard.may_have_run


def test_a_prefill_has_no_effect_and_may_leave_a_state_however_it_ends(reported):
    guard = guarded(reported, Idempotency.NON_IDEMPOTENT)
    one = attempt(guard, Work.PREFILL, engine="p")
    guard.writing(one, 1)
    guard.release_wanted(1)
    assert guard.releases.next_release_at() is None  # it is in flight
    guard.ended(one, 2, proven_not_run=False, answered=False)
    assert not guard.may_have_run and guard.held.state is HeldState.POSSIBLE
    assert guard.holders == {0: "p"} and guard.releases.next_release_at() < ALLOWED


def test_a_prefill_that_is_proven_not_run_leaves_nothing(reported):
    guard = guarded(reported)
    one = attempt(guard, Work.PREFILL, engine="p")
    guard.writing(one, 1)
    guard.ended(one, 2, proven_not_run=True, answered=True)
    assert guard.holders == {} and guard.releases.next_release_at() is None and not guard.overdue(DUE)


@pytest.mark.parametrize("late", [0, 1])
def test_a_written_call_that_brings_nothing_does_not_stop_the_clock(late, reported):
    guard = guarded(reported)
    prefilled(guard)
    called(guard, 1)
    assert guard.overdue(ALLOWED + HELD_SLACK + late) is bool(late)
    assert broken(reported) == [Rule.HELD_STATE] * late


def test_a_call_that_fetches_the_state_or_a_release_with_nothing_in_flight_ends_it(reported):
    fetched, released = guarded(reported), guarded(reported)
    prefilled(fetched)
    fetched.fetched(called(fetched, 100_000), 900_000)
    prefilled(released)
    released.release_wanted(1)
    released.release_sent(1)
    assert released.release_taken(ALLOWED)
    assert not fetched.overdue(DUE) and not released.overdue(DUE) and reported == []
    assert (fetched.held.state, released.held.state) == (HeldState.FETCHED, HeldState.RELEASED)
    assert fetched.releases.next_release_at() is None and released.releases.next_release_at() is None


def test_a_release_that_is_answered_late_is_counted_once(reported):
    guard = guarded(reported)
    prefilled(guard)
    guard.release_sent(1)
    guard.release_taken(ALLOWED + HELD_SLACK + 1)
    assert guard.overdue(DUE) and not guard.overdue(2 * DUE)
    assert broken(reported) == [Rule.HELD_STATE]


def test_no_call_is_sent_for_a_state_for_which_a_release_has_gone_out(reported):
    guard = guarded(reported)
    prefilled(guard)
    call = attempt(guard, Work.FETCH, 1)
    guard.release_sent(1)
    assert guard.refusal(call, 1, True, False) is Refusal.STATE_RELEASED


@pytest.mark.parametrize("work", [Work.FETCH, Work.WHOLE])
def test_a_release_beside_any_call_proves_nothing_and_another_follows_its_end(work, reported):
    """The second incident: the call's engine may find the state and wait for it, whatever we named it."""
    guard = guarded(reported)
    prefilled(guard)
    if work is Work.WHOLE:
        guard.release_sent(1)
    call = called(guard, 2, work)
    guard.release_sent(200_000)
    assert not guard.release_taken(200_000)
    guard.ended(call, 640_000, proven_not_run=False, answered=False)
    again = guard.releases.next_release_at()
    assert 640_000 < again < 640_000 + ALLOWED and guard.held_at == "p"
    assert guard.overdue(640_000 + ALLOWED + HELD_SLACK + 1)


@pytest.mark.parametrize(("after", "proves"), [(20_000, False), (200_000, False), (410_000, True)])
def test_a_release_right_after_a_close_proves_nothing(after, proves, reported):
    guard = guarded(reported)
    prefilled(guard)
    call = called(guard, 1)
    call.called_off = True
    guard.release_wanted(2)
    assert guard.releases.next_release_at() == 285_000  # the end of the call asks for one sooner
    guard.ended(call, 3, proven_not_run=False, answered=False)
    guard.end_shown(call, 5_000)
    assert guard.releases.next_release_at() == 5_000
    guard.release_sent(after)
    assert guard.release_taken(after) is proves
    assert (guard.releases.next_release_at() is None) is proves


def test_a_call_in_flight_asks_for_no_releases_once_what_was_closed_before_it_is_over(reported):
    guard = guarded(reported)
    prefilled(guard)
    first = called(guard, 1)
    guard.ended(first, 150_000, proven_not_run=False, answered=False)
    guard.end_shown(first, 151_000)
    second = called(guard, 152_000)
    sent = releases_sent(guard, until=4_000_000)
    assert [proved for _, proved in sent] == [False]
    guard.ended(second, 900_000, proven_not_run=False, answered=True)
    assert guard.releases.next_release_at() == 900_000


@pytest.mark.parametrize("shown", [False, True])
def test_the_end_of_a_lease_is_followed_by_a_release_though_an_earlier_call_was_just_closed(shown, reported):
    """The call in flight may never have arrived, and nothing else may wait for the state."""
    guard = guarded(reported)
    prefilled(guard)
    first = called(guard, 1)
    guard.ended(first, 250_000, proven_not_run=False, answered=False)
    called(guard, 252_000)
    guard.release_wanted(285_000)
    if shown:
        guard.end_shown(first, 285_001)
    assert guard.releases.next_release_at() == 285_000


def test_no_further_attempt_puts_off_the_release_at_the_end_of_a_lease(reported):
    """Slow engines, a router that is held up: the call may never have arrived, and a prefill follows it."""
    guard = guarded(reported)
    prefilled(guard)
    call = called(guard, 1)
    guard.ended(call, 279_000, proven_not_run=False, answered=False)
    guard.release_wanted(280_000)
    again = attempt(guard, Work.PREFILL, 2, "p")
    guard.writing(again, 284_000)
    guard.end_shown(call, 286_000)
    assert guard.releases.next_release_at() == 285_000
    guard.release_sent(285_000)
    guard.release_taken(285_000)
    guard.leased(again, 512_000)
    guard.ended(again, 512_000, proven_not_run=False, answered=True)
    called(guard, 513_000)
    assert guard.releases.next_release_at() == 279_000 + int(
        1.35 * ALLOWED
    )  # the first one may have been too early
    assert not guard.overdue(813_000)


def closed_unshown(reported, work=Work.FETCH):
    """A request whose attempt was closed at an engine that has not shown that it saw it, and was told 1 s."""
    guard = guarded(reported)
    if work is not Work.PREFILL:
        prefilled(guard)
    one = attempt(guard, work, 1, "still")
    guard.writing(one, 1)
    one.told_until = 1_000_000
    guard.ended(one, 100_000, proven_not_run=False, answered=False)
    return guard


def test_releases_go_on_while_the_engine_does_not_show_the_end_of_a_call(reported):
    guard = closed_unshown(reported)
    sent = [at for at, _ in releases_sent(guard)]
    assert sent[-1] >= 3_000_000  # by then the engine has given it up by itself
    gaps = [after - before for before, after in zip(sent, sent[1:], strict=False)]
    assert max(gaps) < ALLOWED + HELD_SLACK - STALL


def test_releases_outlast_an_engine_that_was_held_up_past_its_time(reported):
    """Soak seed 116: a call on a silent connection, at an engine that stood still past its time."""
    guard = closed_unshown(reported)
    sent = [at for at, _ in releases_sent(guard, until=8_000_000)]
    assert sent[-1] > 4_500_000  # it goes on 3.5 s late


def stood_still(reported, work):
    """The same, once the releases have come to rest."""
    guard = closed_unshown(reported, work)
    releases_sent(guard)
    return guard


@pytest.mark.parametrize("work", Work)
def test_releases_rest_while_an_engine_stands_still_and_go_on_with_its_answer(work, reported):
    guard = stood_still(reported, work)
    assert guard.releases.next_release_at() is None and guard.held_at
    assert guard.releases.silent_engines(9_000_000) == {"still": 1_000_000}
    guard.engine_runs("other", 9_000_000, 9_000_000)
    guard.engine_runs("still", 999_999, 9_000_000)  # it may have begun to stand still since
    assert guard.releases.next_release_at() is None
    guard.engine_runs("still", 7_500_000, 9_000_000)  # it may have gone on only now
    assert guard.releases.silent_engines(9_000_000) == {} and guard.releases.next_release_at() < 9_000_000
    guard.release_sent(9_000_001)
    assert not guard.release_taken(9_000_001)  # it may be about to give the attempt up, or to end the prefill
    sent = [at for at, _ in releases_sent(guard)]
    lasts = 1_000_000 - 1 if work is Work.PREFILL else 0
    assert sent[-1] >= 9_000_000 + max(lasts, ALLOWED) and not guard.held_at


def test_an_engine_is_asked_whether_it_runs_from_the_end_of_its_time_on_and_not_for_ever(reported):
    guard = stood_still(reported, Work.FETCH)
    assert guard.releases.silent_engines(999_999) == {}
    assert guard.releases.silent_engines(60_999_999) and not guard.releases.silent_engines(61_000_000)


def test_a_prefill_that_never_ran_leaves_open_what_was_held_before_it(reported):
    guard = guarded(reported)
    prefilled(guard)
    guard.release_wanted(1)
    guard.release_sent(1)  # and nobody has answered it yet
    second = attempt(guard, Work.PREFILL, 1, "p1")
    guard.writing(second, 2)
    guard.ended(second, 3, proven_not_run=True, answered=True)
    assert guard.held_at and guard.releases.next_release_at() is not None


def test_a_call_that_ended_before_it_was_written_leaves_the_state_to_be_released(reported):
    guard = guarded(reported)
    prefilled(guard)
    call = attempt(guard, Work.FETCH, 1)
    call.called_off = True
    guard.release_wanted(2)
    guard.ended(call, 3, proven_not_run=False, answered=False)
    assert guard.releases.next_release_at() == 3


def test_a_state_left_at_one_engine_is_not_forgotten_with_a_prefill_at_another(reported):
    guard = guarded(reported)
    first = attempt(guard, Work.PREFILL, 0, "p0")
    guard.writing(first, 1)
    guard.ended(first, 2, proven_not_run=False, answered=False)
    second = attempt(guard, Work.PREFILL, 1, "p1")
    guard.writing(second, 3)
    guard.leased(second, 4)
    guard.ended(second, 4, proven_not_run=False, answered=True)
    assert guard.holders == {0: "p0", 1: "p1"}
    guard.fetched(called(guard, 5), 6)
    assert guard.releases.next_release_at() < ALLOWED  # what the first may leave late is still released


@pytest.mark.parametrize("answers", [(True, True), (True, False)])
def test_an_answer_to_a_call_starts_the_clock_anew(answers, reported):
    guard = guarded(reported)
    prefilled(guard)
    call = called(guard, 200_000)
    guard.confirmed_by(call)
    proven, answered = answers
    guard.ended(call, 900_000, proven_not_run=proven, answered=answered)
    assert guard.overdue(900_000 + ALLOWED) is not answered


def test_an_engine_that_says_that_a_state_is_gone_does_not_prove_it(reported):
    guard = guarded(reported)
    prefilled(guard)
    call = called(guard, 1)
    guard.state_gone()
    guard.ended(call, 2, proven_not_run=True, answered=True)
    assert guard.releases.next_release_at() == 2


def test_violations_are_told_by_rule():
    violations = Violations(lambda *_: None)
    violations.add(Rule.DRAIN, "r", "why")
    assert str(violations) == "final_answer=0 single_effect=0 drain=1 slow_start=0 held_state=0"


def test_a_prompt_that_was_read_anew_says_nothing_of_a_state_that_is_being_released(reported):
    guard = guarded(reported)
    prefilled(guard)
    guard.release_sent(1)
    whole = called(guard, 900_000, Work.WHOLE)
    guard.fetched(whole, 950_000)
    assert reported == [] and guard.held.state is HeldState.RELEASING
    assert guard.releases.next_release_at() is not None
