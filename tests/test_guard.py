"""The guard of one request: what may be sent, and which violations of invariants are counted."""

import pytest

from lifthead.guard import (
    HELD_STATE_SLACK,
    Attempt,
    AttemptState,
    HeldStateStatus,
    Refusal,
    RequestGuard,
    Rule,
    Violations,
    Work,
)
from lifthead.interface import Idempotency

HELD_STATE_LIMIT = 300_000  # microseconds
DEADLINE = 5_000_000
STALL = 150_000  # microseconds for which a router may stall
FOREVER = 1 << 62


@pytest.fixture
def reported():
    return []


def new_guard(reported, effect=Idempotency.IDEMPOTENT):
    return RequestGuard(
        "r", effect, DEADLINE, HELD_STATE_LIMIT, Violations(lambda *report: reported.append(report))
    )


def start_attempt(guard, work, number=0, engine="e", at=0):
    attempt = Attempt(number=number, engine=engine, work=work, send_by=FOREVER, sent_at=at)
    guard.start(attempt)
    return attempt


def lease_state(guard, at=0):
    """Runs a prefill attempt that leaves a leased state at this time."""
    attempt = start_attempt(guard, Work.PREFILL, engine="p")
    guard.on_sending(attempt, at)
    guard.on_leased(attempt, at)
    guard.on_ended(attempt, at, proven_not_run=False, answered=True)
    return attempt


def send_decode(guard, at, work=Work.FETCH, engine="e"):
    """Sends a decode attempt at this time and returns it."""
    decode = start_attempt(guard, work, 1, engine)
    guard.on_sending(decode, at)
    guard.on_sent(decode)
    return decode


def send_due_releases(guard, until=FOREVER):
    """Sends and answers each release when it is due. Returns when each was sent and whether it proved the
    end."""
    sent = []
    while (at := guard.releases.next_release_at()) is not None and at < until:
        guard.on_release_sent(at)
        sent.append((at, guard.on_release_answered(at)))
    return sent


def broken_rules(reported):
    return [report[0] for report in reported]


def test_an_attempt_goes_through_its_states_and_only_an_answer_confirms_it(reported):
    guard = new_guard(reported)
    attempt = start_attempt(guard, Work.PREFILL_AND_DECODE)
    states = [attempt.state]
    guard.on_sending(attempt, 1)
    states.append(attempt.state)
    guard.on_sent(attempt)
    states.append(attempt.state)
    guard.on_confirmed(attempt)
    states.append(attempt.state)
    guard.on_ended(attempt, 3, proven_not_run=False, answered=True)
    assert [*states, attempt.state] == list(AttemptState) and reported == []


@pytest.mark.parametrize(
    ("conditions", "refusal"),
    [
        ({"ready": False}, Refusal.ENGINE_NOT_READY),
        ({"now": FOREVER}, Refusal.PAST_DEADLINE),
        ({"client_gone": True}, Refusal.CLIENT_GONE),
        ({}, None),
    ],
)
def test_an_attempt_that_may_not_be_sent_is_refused_just_before_sending(conditions, refusal, reported):
    guard = new_guard(reported)
    arguments = {"now": 1, "ready": True, "client_gone": False} | conditions
    assert guard.refusal(start_attempt(guard, Work.PREFILL_AND_DECODE), **arguments) is refusal


def test_nothing_is_sent_after_the_final_answer(reported):
    guard = new_guard(reported)
    attempt = start_attempt(guard, Work.PREFILL_AND_DECODE)
    assert guard.set_final_answer("aborted", 1) and not guard.set_final_answer("pushed back", 2)
    assert guard.refusal(attempt, 3, True, False) is Refusal.ANSWERED
    guard.on_sending(attempt, 3)
    assert [report[0] for report in reported] == [Rule.FINAL_ANSWER]


def test_a_late_answer_is_counted_but_not_one_of_a_client_that_left(reported):
    assert new_guard(reported).set_final_answer("left", DEADLINE + 10_000_000) and reported == []
    new_guard(reported).set_final_answer("aborted", DEADLINE + 600_000)
    assert reported[0][0] is Rule.FINAL_ANSWER and "600 ms late" in reported[0][2]


def test_an_attempt_sent_to_an_engine_that_is_not_ready_is_counted(reported):
    guard = new_guard(reported)
    guard.on_sending(start_attempt(guard, Work.PREFILL_AND_DECODE), 1, ready=False)
    assert broken_rules(reported) == [Rule.DRAIN]


def test_two_attempts_at_once_are_counted(reported):
    guard = new_guard(reported)
    start_attempt(guard, Work.PREFILL_AND_DECODE, 0, "one")
    start_attempt(guard, Work.PREFILL_AND_DECODE, 1, "two")
    assert reported == [(Rule.SINGLE_EFFECT, "r", "two beside one")]


@pytest.mark.parametrize("proven", [True, False])
def test_a_non_idempotent_request_is_repeated_or_rejected_only_if_proven_not_run(proven, reported):
    guard = new_guard(reported, Idempotency.NON_IDEMPOTENT)
    attempt = start_attempt(guard, Work.PREFILL_AND_DECODE)
    guard.on_sending(attempt, 1)
    guard.on_sent(attempt)
    guard.on_ended(attempt, 2, proven_not_run=proven, answered=proven)
    guard.on_sending(start_attempt(guard, Work.PREFILL_AND_DECODE, 1), 3)
    guard.set_final_answer("pushed back", 4)
    assert [report[0] for report in reported] == ([] if proven else [Rule.SINGLE_EFFECT] * 2)


def test_an_attempt_that_was_never_sent_has_not_run(reported):
    guard = new_guard(reported, Idempotency.NON_IDEMPOTENT)
    guard.on_ended(start_attempt(guard, Work.PREFILL_AND_DECODE), 1, proven_not_run=False, answered=False)
    assert not guard.may_have_run


def test_a_prefill_has_no_effect_and_may_leave_a_state_however_it_ends(reported):
    guard = new_guard(reported, Idempotency.NON_IDEMPOTENT)
    attempt = start_attempt(guard, Work.PREFILL, engine="p")
    guard.on_sending(attempt, 1)
    guard.request_release(1)
    assert guard.releases.next_release_at() is None  # the attempt is in flight
    guard.on_ended(attempt, 2, proven_not_run=False, answered=False)
    assert not guard.may_have_run and guard.held_state.status is HeldStateStatus.POSSIBLE
    assert guard.holders == {0: "p"} and guard.releases.next_release_at() < HELD_STATE_LIMIT


def test_a_prefill_that_is_proven_not_run_leaves_nothing(reported):
    guard = new_guard(reported)
    attempt = start_attempt(guard, Work.PREFILL, engine="p")
    guard.on_sending(attempt, 1)
    guard.on_ended(attempt, 2, proven_not_run=True, answered=True)
    assert (
        guard.holders == {} and guard.releases.next_release_at() is None and not guard.check_overdue(DEADLINE)
    )


@pytest.mark.parametrize("late", [0, 1])
def test_a_decode_attempt_without_an_answer_does_not_end_the_lease(late, reported):
    guard = new_guard(reported)
    lease_state(guard)
    send_decode(guard, 1)
    assert guard.check_overdue(HELD_STATE_LIMIT + HELD_STATE_SLACK + late) is bool(late)
    assert broken_rules(reported) == [Rule.HELD_STATE] * late


def test_a_fetch_or_a_release_with_nothing_in_flight_ends_a_held_state(reported):
    fetched, released = new_guard(reported), new_guard(reported)
    lease_state(fetched)
    fetched.on_first_token(send_decode(fetched, 100_000), 900_000)
    lease_state(released)
    released.request_release(1)
    released.on_release_sent(1)
    assert released.on_release_answered(HELD_STATE_LIMIT)
    assert not fetched.check_overdue(DEADLINE) and not released.check_overdue(DEADLINE) and reported == []
    assert (fetched.held_state.status, released.held_state.status) == (
        HeldStateStatus.FETCHED,
        HeldStateStatus.RELEASED,
    )
    assert fetched.releases.next_release_at() is None and released.releases.next_release_at() is None


def test_a_release_that_is_answered_late_is_counted_once(reported):
    guard = new_guard(reported)
    lease_state(guard)
    guard.on_release_sent(1)
    guard.on_release_answered(HELD_STATE_LIMIT + HELD_STATE_SLACK + 1)
    assert guard.check_overdue(DEADLINE) and not guard.check_overdue(2 * DEADLINE)
    assert broken_rules(reported) == [Rule.HELD_STATE]


def test_no_fetch_is_sent_for_a_state_after_its_release_was_sent(reported):
    guard = new_guard(reported)
    lease_state(guard)
    decode = start_attempt(guard, Work.FETCH, 1)
    guard.on_release_sent(1)
    assert guard.refusal(decode, 1, True, False) is Refusal.STATE_RELEASED


@pytest.mark.parametrize("work", [Work.FETCH, Work.PREFILL_AND_DECODE])
def test_a_release_beside_an_attempt_proves_nothing_and_another_follows_the_attempt(work, reported):
    """The engine of an attempt may find the held state and wait for it, whatever kind the attempt has."""
    guard = new_guard(reported)
    lease_state(guard)
    if work is Work.PREFILL_AND_DECODE:
        guard.on_release_sent(1)
    decode = send_decode(guard, 2, work)
    guard.on_release_sent(200_000)
    assert not guard.on_release_answered(200_000)
    guard.on_ended(decode, 640_000, proven_not_run=False, answered=False)
    second = guard.releases.next_release_at()
    assert 640_000 < second < 640_000 + HELD_STATE_LIMIT and guard.holder == "p"
    assert guard.check_overdue(640_000 + HELD_STATE_LIMIT + HELD_STATE_SLACK + 1)


@pytest.mark.parametrize(("after", "proves"), [(20_000, False), (200_000, False), (410_000, True)])
def test_a_release_right_after_a_close_proves_nothing(after, proves, reported):
    guard = new_guard(reported)
    lease_state(guard)
    decode = send_decode(guard, 1)
    decode.cancelled = True
    guard.request_release(2)
    assert guard.releases.next_release_at() == 285_000  # the end of the attempt schedules an earlier one
    guard.on_ended(decode, 3, proven_not_run=False, answered=False)
    guard.on_peer_closed(decode, 5_000)
    assert guard.releases.next_release_at() == 5_000
    guard.on_release_sent(after)
    assert guard.on_release_answered(after) is proves
    assert (guard.releases.next_release_at() is None) is proves


def test_no_release_is_due_beside_an_attempt_once_closed_attempts_are_over(reported):
    guard = new_guard(reported)
    lease_state(guard)
    first = send_decode(guard, 1)
    guard.on_ended(first, 150_000, proven_not_run=False, answered=False)
    guard.on_peer_closed(first, 151_000)
    second = send_decode(guard, 152_000)
    sent = send_due_releases(guard, until=4_000_000)
    assert [proved for _, proved in sent] == [False]
    guard.on_ended(second, 900_000, proven_not_run=False, answered=True)
    assert guard.releases.next_release_at() == 900_000


@pytest.mark.parametrize("close_seen", [False, True])
def test_an_expired_lease_is_released_though_an_earlier_attempt_was_just_closed(close_seen, reported):
    """The attempt in flight may never have arrived, and nothing else may wait for the state."""
    guard = new_guard(reported)
    lease_state(guard)
    first = send_decode(guard, 1)
    guard.on_ended(first, 250_000, proven_not_run=False, answered=False)
    send_decode(guard, 252_000)
    guard.request_release(285_000)
    if close_seen:
        guard.on_peer_closed(first, 285_001)
    assert guard.releases.next_release_at() == 285_000


def test_a_further_attempt_does_not_delay_the_release_of_an_expired_lease(reported):
    """With slow engines and a stalled router, the decode attempt may never have arrived, and a prefill
    follows."""
    guard = new_guard(reported)
    lease_state(guard)
    decode = send_decode(guard, 1)
    guard.on_ended(decode, 279_000, proven_not_run=False, answered=False)
    guard.request_release(280_000)
    second = start_attempt(guard, Work.PREFILL, 2, "p")
    guard.on_sending(second, 284_000)
    guard.on_peer_closed(decode, 286_000)
    assert guard.releases.next_release_at() == 285_000
    guard.on_release_sent(285_000)
    guard.on_release_answered(285_000)
    guard.on_leased(second, 512_000)
    guard.on_ended(second, 512_000, proven_not_run=False, answered=True)
    send_decode(guard, 513_000)
    # The first release may have been too early.
    assert guard.releases.next_release_at() == 279_000 + int(1.35 * HELD_STATE_LIMIT)
    assert not guard.check_overdue(813_000)


def guard_with_unnoticed_close(reported, work=Work.FETCH):
    """The guard of a request whose closed attempt the engine may not have noticed. The announced deadline is
    1 s."""
    guard = new_guard(reported)
    if work is not Work.PREFILL:
        lease_state(guard)
    attempt = start_attempt(guard, work, 1, "paused")
    guard.on_sending(attempt, 1)
    attempt.announced_deadline = 1_000_000
    guard.on_ended(attempt, 100_000, proven_not_run=False, answered=False)
    return guard


def test_releases_continue_while_the_engine_has_not_shown_that_it_noticed_a_close(reported):
    guard = guard_with_unnoticed_close(reported)
    sent = [at for at, _ in send_due_releases(guard)]
    assert sent[-1] >= 3_000_000  # by then the engine has abandoned the attempt by itself
    gaps = [after - before for before, after in zip(sent, sent[1:], strict=False)]
    assert max(gaps) < HELD_STATE_LIMIT + HELD_STATE_SLACK - STALL


def test_releases_continue_past_the_deadline_of_a_paused_engine(reported):
    """Seen in soak seed 116: an attempt on a silent connection, at an engine paused past the deadline."""
    guard = guard_with_unnoticed_close(reported)
    sent = [at for at, _ in send_due_releases(guard, until=8_000_000)]
    assert sent[-1] > 4_500_000  # the engine resumes 3.5 s late


def guard_of_paused_engine(reported, work):
    """The same guard, after the last scheduled release."""
    guard = guard_with_unnoticed_close(reported, work)
    send_due_releases(guard)
    return guard


@pytest.mark.parametrize("work", Work)
def test_releases_stop_while_an_engine_is_paused_and_resume_with_its_answer(work, reported):
    guard = guard_of_paused_engine(reported, work)
    assert guard.releases.next_release_at() is None and guard.holder
    assert guard.releases.silent_engines(9_000_000) == {"paused": 1_000_000}
    guard.on_engine_alive("other", 9_000_000, 9_000_000)
    guard.on_engine_alive("paused", 999_999, 9_000_000)  # it may have been paused since
    assert guard.releases.next_release_at() is None
    guard.on_engine_alive("paused", 7_500_000, 9_000_000)  # it may have resumed only now
    assert guard.releases.silent_engines(9_000_000) == {} and guard.releases.next_release_at() < 9_000_000
    guard.on_release_sent(9_000_001)
    # The engine may be about to abandon the attempt, or to complete the prefill.
    assert not guard.on_release_answered(9_000_001)
    sent = [at for at, _ in send_due_releases(guard)]
    prefill_time = 1_000_000 - 1 if work is Work.PREFILL else 0
    assert sent[-1] >= 9_000_000 + max(prefill_time, HELD_STATE_LIMIT) and not guard.holder


def test_liveness_checks_of_an_engine_begin_at_the_deadline_and_end_a_minute_later(reported):
    guard = guard_of_paused_engine(reported, Work.FETCH)
    assert guard.releases.silent_engines(999_999) == {}
    assert guard.releases.silent_engines(60_999_999) and not guard.releases.silent_engines(61_000_000)


def test_a_prefill_that_never_ran_does_not_end_an_earlier_held_state(reported):
    guard = new_guard(reported)
    lease_state(guard)
    guard.request_release(1)
    guard.on_release_sent(1)  # not answered yet
    second = start_attempt(guard, Work.PREFILL, 1, "p1")
    guard.on_sending(second, 2)
    guard.on_ended(second, 3, proven_not_run=True, answered=True)
    assert guard.holder and guard.releases.next_release_at() is not None


def test_a_state_is_released_after_a_fetch_that_was_never_sent(reported):
    guard = new_guard(reported)
    lease_state(guard)
    decode = start_attempt(guard, Work.FETCH, 1)
    decode.cancelled = True
    guard.request_release(2)
    guard.on_ended(decode, 3, proven_not_run=False, answered=False)
    assert guard.releases.next_release_at() == 3


def test_a_possible_state_is_not_forgotten_after_a_prefill_at_another_engine(reported):
    guard = new_guard(reported)
    first = start_attempt(guard, Work.PREFILL, 0, "p0")
    guard.on_sending(first, 1)
    guard.on_ended(first, 2, proven_not_run=False, answered=False)
    second = start_attempt(guard, Work.PREFILL, 1, "p1")
    guard.on_sending(second, 3)
    guard.on_leased(second, 4)
    guard.on_ended(second, 4, proven_not_run=False, answered=True)
    assert guard.holders == {0: "p0", 1: "p1"}
    guard.on_first_token(send_decode(guard, 5), 6)
    # A state that the first attempt leaves late is still released.
    assert guard.releases.next_release_at() < HELD_STATE_LIMIT


@pytest.mark.parametrize("outcome", [(True, True), (True, False)])
def test_an_answer_to_a_decode_attempt_renews_the_lease(outcome, reported):
    guard = new_guard(reported)
    lease_state(guard)
    decode = send_decode(guard, 200_000)
    guard.on_confirmed(decode)
    proven, answered = outcome
    guard.on_ended(decode, 900_000, proven_not_run=proven, answered=answered)
    assert guard.check_overdue(900_000 + HELD_STATE_LIMIT) is not answered


def test_a_decode_engine_that_reports_no_state_does_not_prove_the_end_of_it(reported):
    guard = new_guard(reported)
    lease_state(guard)
    decode = send_decode(guard, 1)
    guard.on_state_gone()
    guard.on_ended(decode, 2, proven_not_run=True, answered=True)
    assert guard.releases.next_release_at() == 2


def test_violations_are_printed_by_rule():
    violations = Violations(lambda *_: None)
    violations.add(Rule.DRAIN, "r", "why")
    assert str(violations) == "final_answer=0 single_effect=0 drain=1 slow_start=0 held_state=0"


def test_a_second_prefill_proves_nothing_about_a_state_being_released(reported):
    guard = new_guard(reported)
    lease_state(guard)
    guard.on_release_sent(1)
    decode = send_decode(guard, 900_000, Work.PREFILL_AND_DECODE)
    guard.on_first_token(decode, 950_000)
    assert reported == [] and guard.held_state.status is HeldStateStatus.RELEASING
    assert guard.releases.next_release_at() is not None
