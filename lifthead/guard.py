"""Guards each request: the host reports every attempt, the held state and the final answer to it.

The guard tracks the state of each attempt and of the held state, says whether an attempt may be sent, and
checks the invariants while the process runs. It makes no other decision and does no I/O. That bytes were sent
doesn't prove that they arrived, and a release that was sent doesn't prove that nothing is held:
lifthead/releases.py defines what proves the end of a held state, and lifthead/held_audit.py checks that
independently. Times are microseconds of the monotonic clock.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from lifthead.held_audit import Entry, Fact, longest_unconfirmed_hold
from lifthead.interface import Idempotency
from lifthead.releases import ReleaseSchedule

HELD_STATE_SLACK = 300_000  # that the platform allows beyond the limit in the settings
FINAL_ANSWER_SLACK = 500_000  # an answer this late has no value but is not a violation
NEVER = 1 << 62


class Rule(Enum):
    """The five rules whose violations are counted."""

    FINAL_ANSWER = "final_answer"
    SINGLE_EFFECT = "single_effect"
    DRAIN = "drain"
    SLOW_START = "slow_start"
    HELD_STATE = "held_state"


class AttemptState(Enum):
    """The state of an attempt, as far as the router knows."""

    CONNECTING = "connecting"
    SENDING = "writing"
    SENT = "written"  # the last byte was passed to the operating system
    CONFIRMED = "confirmed"  # the head of an answer came back
    ENDED = "ended"


class HeldStateStatus(Enum):
    """What is known about a state held by a prefill engine."""

    POSSIBLE = "possible"  # a failed attempt may have left one
    LEASED = "leased"
    FETCHED = "fetched"
    RELEASING = "releasing"  # a release was sent, but a state may still be held
    RELEASED = "released"


class Refusal(Enum):
    """Why an attempt may not be sent now."""

    ANSWERED = "the request has its final answer"
    ENGINE_NOT_READY = "the engine is draining or gone"
    PAST_DEADLINE = "the time to send it is over"
    CLIENT_GONE = "the client has disconnected"
    STATE_RELEASED = "the state to fetch was released"


class Work(Enum):
    """What an attempt asks its engine to do."""

    PREFILL = "prefill"  # leaves a held state and has no other effect
    FETCH = "fetch"  # fetches a held state and decodes
    PREFILL_AND_DECODE = "whole"  # prefills the prompt and decodes


class Violations:
    """Counts violations of the invariants by rule. `report` gets the rule, the request and the reason."""

    def __init__(self, report: Callable[[Rule, str, str], None]) -> None:
        self.counts: Counter[Rule] = Counter()
        self._report = report

    def add(self, rule: Rule, request: str, why: str) -> None:
        self.counts[rule] += 1
        self._report(rule, request, why)

    def __str__(self) -> str:
        return " ".join(f"{rule.value}={self.counts[rule]}" for rule in Rule)


@dataclass(slots=True, eq=False)
class HeldState:
    """A state that a prefill engine holds, or may hold, for a request."""

    holder: str
    status: HeldStateStatus = HeldStateStatus.LEASED
    prefill_serial: int = 0  # of the prefill attempt that left it


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt:
    """One attempt of a request at one engine."""

    number: int  # counts from 0 each time the request is placed
    engine: str
    work: Work
    send_by: int  # it must not be sent after this
    sent_at: int
    serial: int = 0  # unique within the request, set by its guard
    announced_deadline: int = 0  # until when its engine was told that the router waits
    state: AttemptState = AttemptState.CONNECTING
    cancelled: bool = False
    is_incomplete: bool = False  # its last bytes were never written, so its engine can't have begun

    @property
    def is_prefill(self) -> bool:
        return self.work is Work.PREFILL

    @property
    def may_have_arrived(self) -> bool:
        """Whether part of it may have reached its engine."""
        return self.state not in (AttemptState.CONNECTING, AttemptState.ENDED)


@dataclass(slots=True, eq=False)
class RequestGuard:
    """Tracks one request and checks its invariants.

    `held_state_limit`: how long a state may be held while no attempt has arrived; 0: without limit."""

    request: str
    effect: Idempotency
    deadline: int
    held_state_limit: int
    violations: Violations
    attempt: Attempt | None = None  # in flight
    held_state: HeldState | None = None  # the latest one
    final_answer: str = ""  # its kind in one word; empty until there is one
    may_have_run: bool = False
    answer_started: bool = False  # the first token has come
    releases: ReleaseSchedule = field(init=False)
    # The engines of prefill attempts that may have left a state, by serial number.
    _holders: dict[int, str] = field(default_factory=dict)
    # Attempts closed before they were answered whose engines may not have noticed, by serial number.
    _undetected_closes: dict[int, Attempt] = field(default_factory=dict)
    _attempts_started: int = 0
    _audit_entries: list[Entry] = field(default_factory=list)
    _overdue_reported: bool = field(default=False)

    def __post_init__(self) -> None:
        self.releases = ReleaseSchedule(self.held_state_limit)

    @property
    def holder(self) -> str:
        """The engine that holds, or may hold, the latest state; empty if nothing is held."""
        return self.held_state.holder if self.held_state and self.releases.open else ""

    @property
    def holders(self) -> dict[int, str]:
        """The engines that may hold a state, by the serial number of the prefill attempt."""
        return dict(self._holders) if self.releases.open else {}

    @property
    def had_held_state(self) -> bool:
        """Whether a state was, or may have been, held for the request."""
        return bool(self._audit_entries)

    @property
    def is_leased(self) -> bool:
        """Whether a held state waits to be fetched."""
        return self.held_state is not None and self.held_state.status is HeldStateStatus.LEASED

    @property
    def may_not_run_again(self) -> bool:
        """Whether running the request once more, for whoever sends it again, could have its effect twice."""
        return self.may_have_run and self.effect is not Idempotency.IDEMPOTENT

    # Attempts.

    def start(self, attempt: Attempt) -> None:
        """Registers an attempt. Only one may be in flight at a time."""
        if self.attempt is not None:
            why = f"{attempt.engine} beside {self.attempt.engine}"
            self.violations.add(Rule.SINGLE_EFFECT, self.request, why)
        self.attempt = attempt
        attempt.serial, self._attempts_started = self._attempts_started, self._attempts_started + 1

    def refusal(self, attempt: Attempt, now: int, ready: bool, client_gone: bool) -> Refusal | None:
        """Returns why this attempt may not be sent now, or None if it may. To be asked just before
        sending."""
        if not ready:
            return Refusal.ENGINE_NOT_READY
        if now >= attempt.send_by:
            return Refusal.PAST_DEADLINE
        if client_gone:
            return Refusal.CLIENT_GONE
        if self.final_answer:
            return Refusal.ANSWERED
        if attempt.work is Work.FETCH and not self.is_leased:
            return Refusal.STATE_RELEASED
        return None

    def on_sending(self, attempt: Attempt, now: int, ready: bool = True) -> None:
        """The first byte of an attempt is about to be sent. `ready`: whether its engine accepts new work."""
        attempt.state, attempt.sent_at = AttemptState.SENDING, now
        if not ready:
            self.violations.add(Rule.DRAIN, self.request, f"sent to {attempt.engine}, which is not ready")
        if self.final_answer:
            self.violations.add(Rule.FINAL_ANSWER, self.request, f"sent after {self.final_answer}")
        if attempt.is_prefill:
            self.held_state = HeldState(attempt.engine, HeldStateStatus.POSSIBLE, attempt.serial)
            self._holders[attempt.serial] = attempt.engine
        elif self.may_have_run and self.effect is Idempotency.NON_IDEMPOTENT:
            self.violations.add(Rule.SINGLE_EFFECT, self.request, f"sent again, to {attempt.engine}")
        self.releases.sending(attempt.serial, now, attempt.is_prefill)
        self._add_audit_entry(now, Fact.PREFILL_SENT if attempt.is_prefill else Fact.DECODE_SENT, attempt)

    def on_sent(self, attempt: Attempt) -> None:
        attempt.state = AttemptState.SENT

    def on_confirmed(self, attempt: Attempt) -> None:
        """The head of an answer came back, which proves that the attempt arrived."""
        attempt.state = AttemptState.CONFIRMED

    def on_ended(self, attempt: Attempt, now: int, proven_not_run: bool, answered: bool) -> None:
        """An attempt is over. `answered`: its engine sent a complete answer."""
        may_have_arrived = attempt.may_have_arrived
        proven_not_run = proven_not_run or not may_have_arrived
        if not (attempt.is_prefill or proven_not_run or attempt.is_incomplete):
            self.may_have_run = True
        attempt.state, self.attempt = AttemptState.ENDED, None
        if not may_have_arrived:
            self.releases.never_sent(now)
            return
        if (
            attempt.is_prefill
            and self.held_state
            and self.is_leased
            and self.held_state.prefill_serial == attempt.serial
        ):
            return
        if not answered:
            may_run_for = max(attempt.announced_deadline - attempt.sent_at, 0) if attempt.is_prefill else 0
            self.releases.connection_closed(
                attempt.serial, now, attempt.announced_deadline, attempt.engine, may_run_for
            )
            self._undetected_closes[attempt.serial] = attempt
            self._add_audit_entry(now, Fact.CLOSED, attempt)
        elif attempt.is_prefill and proven_not_run:
            self._holders.pop(attempt.serial, None)
            self.releases.did_not_run(attempt.serial)
            self._add_audit_entry(now, Fact.NOT_RUN, attempt)
        else:
            self.releases.answered(attempt.serial, now)
            self._add_audit_entry(now, Fact.ANSWERED, attempt)
        self._update_held_state()

    def on_peer_closed(self, attempt: Attempt, now: int) -> None:
        """The engine has closed its side of the connection of an attempt that this end closed."""
        self.releases.end_seen(attempt.serial, now)
        if self._undetected_closes.pop(attempt.serial, None):
            self._add_audit_entry(now, Fact.PEER_CLOSED, attempt)

    def on_engine_alive(self, engine: str, sent_at: int, now: int) -> None:
        """An engine has answered a message sent at `sent_at`, or its process has ended.

        After the announced deadline a running engine abandons attempts even if it missed their close."""
        self.releases.engine_runs(engine, sent_at, now)
        for attempt in list(self._undetected_closes.values()):
            if attempt.engine == engine and sent_at >= attempt.announced_deadline:
                del self._undetected_closes[attempt.serial]
                self._add_audit_entry(now, Fact.ENGINE_ALIVE, attempt)

    def _update_held_state(self) -> None:
        """Updates the status after an attempt: a state not proven to be gone needs another release."""
        if self.held_state and not self.releases.open:
            self.held_state.status = HeldStateStatus.RELEASED
        elif self.held_state and self.held_state.status in (
            HeldStateStatus.RELEASING,
            HeldStateStatus.RELEASED,
        ):
            self.held_state.status = HeldStateStatus.POSSIBLE

    # The held state.

    def on_leased(self, attempt: Attempt, now: int) -> None:
        """A prefill attempt has succeeded: its engine holds the state."""
        self.held_state = HeldState(attempt.engine, prefill_serial=attempt.serial)
        self._holders[attempt.serial] = attempt.engine
        self.releases.leased(attempt.serial, now)
        self._add_audit_entry(now, Fact.LEASED, attempt)

    def on_first_token(self, attempt: Attempt, now: int) -> None:
        """The first token has come. It proves that a FETCH attempt took the held state. An attempt that
        prefilled the prompt itself proves nothing about a held state."""
        self.answer_started = self.may_have_run = True
        if attempt.work is not Work.FETCH:
            self.releases.first_token(attempt.serial)
            self._add_audit_entry(now, Fact.ANSWERED, attempt)
            return
        if self.held_state and self.is_leased:
            self.held_state.status = HeldStateStatus.FETCHED
        self.releases.fetched(attempt.serial, set(self._holders))
        self._add_audit_entry(now, Fact.FIRST_TOKEN, attempt)

    def on_state_gone(self) -> None:
        """The decode engine reports that there is no state to fetch. The holder may only be cut off or
        stalled and still hold it."""
        self.releases.state_gone()
        if self.held_state and self.is_leased:
            self.held_state.status = HeldStateStatus.POSSIBLE

    def request_release(self, now: int) -> None:
        """The request no longer needs a held state, or the lease of its state has expired."""
        self.releases.release_wanted(now, self.attempt is not None and self.attempt.cancelled)

    def on_release_sent(self, now: int) -> None:
        """A release is about to be sent. It proves nothing until it is answered."""
        self.releases.release_sent(now)
        if self.held_state and self.held_state.status in (HeldStateStatus.POSSIBLE, HeldStateStatus.LEASED):
            self.held_state.status = HeldStateStatus.RELEASING

    def on_release_answered(self, sent_at: int) -> bool:
        """An engine has answered a release sent at `sent_at`. Returns True if nothing is held any more."""
        self._audit_entries.append(Entry(sent_at, Fact.RELEASE_ANSWERED))
        proven_gone = self.releases.release_answered(sent_at)
        if proven_gone:
            self._holders.clear()
        if proven_gone and self.held_state and self.held_state.status is not HeldStateStatus.FETCHED:
            self.held_state.status = HeldStateStatus.RELEASED
        return proven_gone

    def _add_audit_entry(self, now: int, fact: Fact, attempt: Attempt) -> None:
        if self._holders or self._audit_entries:
            self._audit_entries.append(Entry(now, fact, attempt.serial))

    def check_overdue(self, now: int) -> bool:
        """Reports, at most once, that a state may have been held for too long. Returns True if it did."""
        if self._overdue_reported or not self.held_state_limit or not self._audit_entries:
            return False
        held_for = longest_unconfirmed_hold(self._audit_entries, now, self.held_state_limit)
        if held_for <= self.held_state_limit + HELD_STATE_SLACK:
            return False
        self._overdue_reported = True
        holder = self.held_state.holder if self.held_state else ""
        self.violations.add(
            Rule.HELD_STATE, self.request, f"may be held at {holder} for {held_for // 1000} ms"
        )
        return True

    # The final answer.

    def set_final_answer(self, answer: str, now: int) -> bool:
        """Records the final answer. Returns False if there was one already."""
        if self.final_answer:
            return False
        self.final_answer = answer
        if not self.answer_started and answer != "left" and now > self.deadline + FINAL_ANSWER_SLACK:
            late_ms = (now - self.deadline) // 1000
            self.violations.add(Rule.FINAL_ANSWER, self.request, f"{answer} {late_ms} ms late")
        if answer == "pushed back" and self.may_have_run and self.effect is Idempotency.NON_IDEMPOTENT:
            self.violations.add(Rule.SINGLE_EFFECT, self.request, "rejected, though it may have run")
        return True
