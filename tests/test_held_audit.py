"""The audit of held states, on facts made by hand; and each fault of the second incident, put back into the
schedule of releases, is seen by it. Times are milliseconds here."""

import pytest

from lifthead import releases
from lifthead.guard import Attempt, RequestGuard, Rule, Violations, Work
from lifthead.held_audit import Entry, Fact, longest_unclaimed
from lifthead.interface import Idempotency

ALLOWED = 300


def audited(*facts, now=2000):
    entries = [Entry(at, fact, attempt) for at, fact, attempt in facts]
    return longest_unclaimed(entries, now, ALLOWED)


READ = [(0, Fact.PREFILL_SENT, 0), (50, Fact.READ, 0)]
CALLED = [*READ, (51, Fact.CALL_SENT, 1)]
RELEASE = -1


@pytest.mark.parametrize(
    ("facts", "kept"),
    [
        (READ, 1950),
        ([*READ, (300, Fact.RELEASE_TAKEN, RELEASE)], 250),
        ([*CALLED, (900, Fact.FIRST_TOKEN, 1)], 1),
        (CALLED, 1949 + 1),  # a call that was sent has not arrived
        ([*CALLED, (335, Fact.RELEASE_TAKEN, RELEASE)], 285),  # it has arrived, or its state is gone
        # The release beside the call may have freed nothing: the call's end opens the state again.
        ([*CALLED, (335, Fact.RELEASE_TAKEN, RELEASE), (690, Fact.CLOSED, 1)], 1310),
        # A release right after the close may be too early for the engine; one later is not.
        ([*CALLED, (60, Fact.CLOSED, 1), (80, Fact.RELEASE_TAKEN, RELEASE)], 1940),
        ([*CALLED, (60, Fact.CLOSED, 1), (330, Fact.RELEASE_TAKEN, RELEASE)], 280),
        # An engine that stood still gives up the call when it goes on, if it has not shown its end before.
        (
            [*CALLED, (60, Fact.CLOSED, 1), (330, Fact.RELEASE_TAKEN, RELEASE), (900, Fact.ENGINE_RUNS, 1)],
            1100,
        ),
        (
            [
                *CALLED,
                (60, Fact.CLOSED, 1),
                (61, Fact.END_SHOWN, 1),
                (330, Fact.RELEASE_TAKEN, RELEASE),
                (900, Fact.ENGINE_RUNS, 1),
            ],
            280,
        ),
        ([*CALLED, (400, Fact.ANSWERED, 1), (410, Fact.RELEASE_TAKEN, RELEASE)], 10),  # it had arrived
        ([(0, Fact.PREFILL_SENT, 0), (40, Fact.NOT_RUN, 0)], 0),
        ([(0, Fact.PREFILL_SENT, 0), (40, Fact.CLOSED, 0)], 1960),
        ([(0, Fact.PREFILL_SENT, 0), (40, Fact.CLOSED, 0), (445, Fact.RELEASE_TAKEN, RELEASE)], 405),
    ],
)
def test_how_long_a_state_may_have_been_held(facts, kept):
    assert audited(*facts) == kept


def played(work=Work.FETCH, runs_at=0):
    """One request of the second incident: a release beside its call, and the call closed at its deadline. Its
    engine sees that at once, or stands still until `runs_at`."""
    reported = []
    violations = Violations(lambda *said: reported.append(said[0]))
    guard = RequestGuard("r", Idempotency.IDEMPOTENT, 1_000_000, 300_000, violations)
    prefill = Attempt(number=0, engine="p", work=Work.PREFILL, send_by=1 << 62, sent_at=0)
    call = Attempt(number=1, engine="d", work=work, send_by=1 << 62, sent_at=0)
    guard.start(prefill)
    guard.writing(prefill, 0)
    guard.leased(prefill, 50_000)
    guard.ended(prefill, 50_000, proven_not_run=False, answered=True)
    guard.start(call)
    guard.writing(call, 51_000)
    guard.release_wanted(335_000)
    at, until = 335_000, max(3_000_000, runs_at + 1_000_000)
    while at is not None and at < until:
        if guard.attempt and at >= 640_000:
            guard.ended(call, 640_000, proven_not_run=False, answered=False)
            if not runs_at:
                guard.end_shown(call, 650_000)
        guard.release_sent(at)
        guard.release_taken(at)
        at = guard.releases.next_release_at() or (640_000 if guard.attempt else None)
        if at is None and runs_at:
            guard.engine_runs("d", runs_at - 1_500_000, runs_at)
            at, runs_at = guard.releases.next_release_at() and runs_at, 0
    guard.overdue(until)
    return reported


@pytest.mark.parametrize("work", [Work.FETCH, Work.WHOLE])
def test_releases_as_they_are_scheduled_satisfy_the_audit(work):
    assert played(work) == []


def test_releases_for_an_engine_that_stood_still_satisfy_the_audit():
    assert played(runs_at=9_000_000) == []


def test_an_engine_that_goes_on_with_no_release_after_it_is_seen(monkeypatch):
    monkeypatch.setattr(releases.ReleaseSchedule, "engine_runs", lambda *_: None)
    assert played(runs_at=9_000_000) == [Rule.HELD_STATE]


def test_an_answer_that_is_believed_beside_a_call_is_seen(monkeypatch):
    monkeypatch.setattr(releases.ReleaseSchedule, "_proves", lambda *_: True)
    monkeypatch.setattr(releases.ReleaseSchedule, "connection_closed", lambda *_: None)
    assert played() == [Rule.HELD_STATE]


def test_one_release_right_after_a_close_is_seen(monkeypatch):
    monkeypatch.setattr(releases, "CONFIRMED_SPACING_PART", 0.0)
    monkeypatch.setattr(releases, "FIRST_RELEASE_PART", 0.0)
    assert played() == [Rule.HELD_STATE]
