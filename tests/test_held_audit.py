"""The audit of held states, on facts made by hand. It also detects faults planted in the release schedule,
which once left states held for too long. Times in facts are milliseconds."""

import pytest

from lifthead import releases
from lifthead.guard import Attempt, RequestGuard, Rule, Violations, Work
from lifthead.held_audit import Entry, Fact, longest_unconfirmed_hold
from lifthead.interface import Idempotency

TIME_LIMIT = 300


def longest_hold(*facts, now=2000):
    entries = [Entry(at, fact, attempt) for at, fact, attempt in facts]
    return longest_unconfirmed_hold(entries, now, TIME_LIMIT)


LEASED = [(0, Fact.PREFILL_SENT, 0), (50, Fact.LEASED, 0)]
DECODE_SENT = [*LEASED, (51, Fact.DECODE_SENT, 1)]
RELEASE = -1


@pytest.mark.parametrize(
    ("facts", "expected"),
    [
        (LEASED, 1950),
        ([*LEASED, (300, Fact.RELEASE_ANSWERED, RELEASE)], 250),
        ([*DECODE_SENT, (900, Fact.FIRST_TOKEN, 1)], 1),
        (DECODE_SENT, 1949 + 1),  # a decode attempt that was sent has not arrived yet
        # The attempt has arrived, or its state is gone.
        ([*DECODE_SENT, (335, Fact.RELEASE_ANSWERED, RELEASE)], 285),
        # A release beside the attempt may have freed nothing: the end of the attempt reopens the hold.
        ([*DECODE_SENT, (335, Fact.RELEASE_ANSWERED, RELEASE), (690, Fact.CLOSED, 1)], 1310),
        # A release right after the close may come before the engine noticed it; a later one does not.
        ([*DECODE_SENT, (60, Fact.CLOSED, 1), (80, Fact.RELEASE_ANSWERED, RELEASE)], 1940),
        ([*DECODE_SENT, (60, Fact.CLOSED, 1), (330, Fact.RELEASE_ANSWERED, RELEASE)], 280),
        # A paused engine abandons the attempt when it resumes, unless it closed its side before.
        (
            [
                *DECODE_SENT,
                (60, Fact.CLOSED, 1),
                (330, Fact.RELEASE_ANSWERED, RELEASE),
                (900, Fact.ENGINE_ALIVE, 1),
            ],
            1100,
        ),
        (
            [
                *DECODE_SENT,
                (60, Fact.CLOSED, 1),
                (61, Fact.PEER_CLOSED, 1),
                (330, Fact.RELEASE_ANSWERED, RELEASE),
                (900, Fact.ENGINE_ALIVE, 1),
            ],
            280,
        ),
        # The attempt had arrived.
        ([*DECODE_SENT, (400, Fact.ANSWERED, 1), (410, Fact.RELEASE_ANSWERED, RELEASE)], 10),
        ([(0, Fact.PREFILL_SENT, 0), (40, Fact.NOT_RUN, 0)], 0),
        ([(0, Fact.PREFILL_SENT, 0), (40, Fact.CLOSED, 0)], 1960),
        ([(0, Fact.PREFILL_SENT, 0), (40, Fact.CLOSED, 0), (445, Fact.RELEASE_ANSWERED, RELEASE)], 405),
    ],
)
def test_how_long_a_state_may_have_been_held(facts, expected):
    assert longest_hold(*facts) == expected


def violations_of(work=Work.FETCH, resumes_at=0):
    """Runs a request with a release beside its decode attempt, which is closed at its deadline. The engine
    notices the close at once, or is paused until `resumes_at`. Returns the violated rules."""
    reported = []
    violations = Violations(lambda *report: reported.append(report[0]))
    guard = RequestGuard("r", Idempotency.IDEMPOTENT, 1_000_000, 300_000, violations)
    prefill = Attempt(number=0, engine="p", work=Work.PREFILL, send_by=1 << 62, sent_at=0)
    decode = Attempt(number=1, engine="d", work=work, send_by=1 << 62, sent_at=0)
    guard.start(prefill)
    guard.on_sending(prefill, 0)
    guard.on_leased(prefill, 50_000)
    guard.on_ended(prefill, 50_000, proven_not_run=False, answered=True)
    guard.start(decode)
    guard.on_sending(decode, 51_000)
    guard.request_release(335_000)
    at, until = 335_000, max(3_000_000, resumes_at + 1_000_000)
    while at is not None and at < until:
        if guard.attempt and at >= 640_000:
            guard.on_ended(decode, 640_000, proven_not_run=False, answered=False)
            if not resumes_at:
                guard.on_peer_closed(decode, 650_000)
        guard.on_release_sent(at)
        guard.on_release_answered(at)
        at = guard.releases.next_release_at() or (640_000 if guard.attempt else None)
        if at is None and resumes_at:
            guard.on_engine_alive("d", resumes_at - 1_500_000, resumes_at)
            at, resumes_at = guard.releases.next_release_at() and resumes_at, 0
    guard.check_overdue(until)
    return reported


@pytest.mark.parametrize("work", [Work.FETCH, Work.PREFILL_AND_DECODE])
def test_the_release_schedule_satisfies_the_audit(work):
    assert violations_of(work) == []


def test_the_release_schedule_for_a_paused_engine_satisfies_the_audit():
    assert violations_of(resumes_at=9_000_000) == []


def test_a_missing_release_after_an_engine_resumed_is_detected(monkeypatch):
    monkeypatch.setattr(releases.ReleaseSchedule, "engine_runs", lambda *_: None)
    assert violations_of(resumes_at=9_000_000) == [Rule.HELD_STATE]


def test_an_answer_beside_an_attempt_taken_as_proof_is_detected(monkeypatch):
    monkeypatch.setattr(releases.ReleaseSchedule, "_proves", lambda *_: True)
    monkeypatch.setattr(releases.ReleaseSchedule, "connection_closed", lambda *_: None)
    assert violations_of() == [Rule.HELD_STATE]


def test_a_single_release_right_after_a_close_is_detected(monkeypatch):
    monkeypatch.setattr(releases, "CONFIRMED_SPACING_PART", 0.0)
    monkeypatch.setattr(releases, "FIRST_RELEASE_PART", 0.0)
    assert violations_of() == [Rule.HELD_STATE]
