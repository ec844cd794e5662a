"""One guard for each request: sending, repeating, closing and starting an attempt all pass it, and so do the
final answer and the state that a prefill engine holds.

It knows in which state each attempt and each held state is, says whether an attempt may be sent, and checks
the rules as invariants while the process runs. It decides nothing else and does no I/O. What was sent has not
arrived, and what was released is not gone: lifthead/releases.py says what proves the end of a held state, and
lifthead/held_audit.py judges that by a way of its own. Times are microseconds of the monotonic clock.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from lifthead.held_audit import Entry, Fact, longest_unconfirmed_hold
from lifthead.interface import Effect
from lifthead.releases import ReleaseSchedule

HELD_STATE_SLACK = 300_000  # what the platform allows beyond the settings' time for a held state
FINAL_ANSWER_SLACK = 500_000  # an answer may be this late: it earns nothing, and is not lost
NEVER = 1 << 62


class Rule(Enum):
    """The five rules, as the violations of them are counted."""

    FINAL_ANSWER = "final_answer"
    SINGLE_EFFECT = "single_effect"
    DRAIN = "drain"
    SLOW_START = "slow_start"
    HELD_STATE = "held_state"


class AttemptState(Enum):
    """How far an attempt is known to have come."""

    CONNECTING = "connecting"
    SENDING = "writing"
    SENT = "written"  # the last byte was given to the system
    CONFIRMED = "confirmed"  # something came back
    ENDED = "ended"


class HeldStateStatus(Enum):
    """What is known of a state at a prefill engine."""

    POSSIBLE = "possible"  # an attempt that did not end well may have left one
    LEASED = "leased"
    FETCHED = "fetched"
    RELEASING = "releasing"  # a release has gone out, and it is not proven that nothing is held
    RELEASED = "released"


class Refusal(Enum):
    """Why an attempt may not be sent now."""

    ANSWERED = "the request has its final answer"
    ENGINE_NOT_READY = "the engine drains or is gone"
    PAST_DEADLINE = "its time is over"
    CLIENT_GONE = "the client has gone"
    STATE_RELEASED = "the state that it should fetch was released"


class Work(Enum):
    """What an attempt asks of its engine."""

    PREFILL = "prefill"  # has no effect, leaves a state
    FETCH = "fetch"  # decodes from a state
    PREFILL_AND_DECODE = "whole"  # reads the prompt and decodes


class Violations:
    """Counts what breaks an invariant, by rule. `report` gets the rule, the request's name and why."""

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
    """A state that an engine holds, or may hold, for a request."""

    holder: str
    status: HeldStateStatus = HeldStateStatus.LEASED
    prefill_serial: int = 0  # the prefill that left it


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt:
    """One attempt of a request at one engine."""

    number: int  # among those of one placing of the request
    engine: str
    work: Work
    send_by: int  # later than this it must not be sent
    sent_at: int
    serial: int = 0  # among all of the request, by its guard
    announced_deadline: int = 0  # how long its engine was told that it would be waited for
    state: AttemptState = AttemptState.CONNECTING
    cancelled: bool = False

    @property
    def is_prefill(self) -> bool:
        return self.work is Work.PREFILL

    @property
    def may_have_arrived(self) -> bool:
        """Whether some of it may have reached its engine."""
        return self.state not in (AttemptState.CONNECTING, AttemptState.ENDED)


@dataclass(slots=True, eq=False)
class RequestGuard:
    """`held_state_limit`: how long a state may be held while no attempt has arrived, 0 without limit."""

    request: str
    effect: Effect
    deadline: int
    held_state_limit: int
    violations: Violations
    attempt: Attempt | None = None  # in flight
    held_state: HeldState | None = None  # the latest
    final_answer: str = ""  # the final answer, in one word
    may_have_run: bool = False
    answer_started: bool = False  # the answer has reached the client in part
    releases: ReleaseSchedule = field(init=False)
    # Of prefills that may have left a state: the engine, by serial number.
    _holders: dict[int, str] = field(default_factory=dict)
    # Closed before they were answered, and their engines have not shown that they saw it; by serial number.
    _undetected_closes: dict[int, Attempt] = field(default_factory=dict)
    _attempts_started: int = 0
    _audit_entries: list[Entry] = field(default_factory=list)
    _overdue_reported: bool = field(default=False)

    def __post_init__(self) -> None:
        self.releases = ReleaseSchedule(self.held_state_limit)

    @property
    def holder(self) -> str:
        """The engine where a state is, or may be, held; "" if there is none."""
        return self.held_state.holder if self.held_state and self.releases.open else ""

    @property
    def holders(self) -> dict[int, str]:
        """The engines that may hold a state, by the serial number of the prefill that may have left it."""
        return dict(self._holders) if self.releases.open else {}

    @property
    def had_held_state(self) -> bool:
        """Whether a state was, or may have been, held for it."""
        return bool(self._audit_entries)

    @property
    def is_leased(self) -> bool:
        """Whether a state waits for a call to fetch it."""
        return self.held_state is not None and self.held_state.status is HeldStateStatus.LEASED

    # Attempts.

    def start(self, attempt: Attempt) -> None:
        if self.attempt is not None:
            why = f"{attempt.engine} beside {self.attempt.engine}"
            self.violations.add(Rule.SINGLE_EFFECT, self.request, why)
        self.attempt = attempt
        attempt.serial, self._attempts_started = self._attempts_started, self._attempts_started + 1

    def refusal(self, attempt: Attempt, now: int, ready: bool, client_gone: bool) -> Refusal | None:
        """Why this attempt may not be sent now, None if it may. To be asked in the instant before."""
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
        """Its first byte goes out, to an engine that is ready for new work or is not."""
        attempt.state, attempt.sent_at = AttemptState.SENDING, now
        if not ready:
            self.violations.add(Rule.DRAIN, self.request, f"sent to {attempt.engine}, which is not ready")
        if self.final_answer:
            self.violations.add(Rule.FINAL_ANSWER, self.request, f"sent after {self.final_answer}")
        if attempt.is_prefill:
            self.held_state = HeldState(attempt.engine, HeldStateStatus.POSSIBLE, attempt.serial)
            self._holders[attempt.serial] = attempt.engine
        elif self.may_have_run and self.effect is Effect.NON_REPLAYABLE:
            self.violations.add(Rule.SINGLE_EFFECT, self.request, f"sent again, to {attempt.engine}")
        self.releases.sending(attempt.serial, now, attempt.is_prefill)
        self._add_audit_entry(now, Fact.PREFILL_SENT if attempt.is_prefill else Fact.DECODE_SENT, attempt)

    def on_sent(self, attempt: Attempt) -> None:
        attempt.state = AttemptState.SENT

    def on_confirmed(self, attempt: Attempt) -> None:
        """The head of an answer came back: the attempt has arrived."""
        attempt.state = AttemptState.CONFIRMED

    def on_ended(self, attempt: Attempt, now: int, proven_not_run: bool, answered: bool) -> None:
        """It is over, and its connection is given back or closed. `answered`: by its engine, in whole."""
        may_have_arrived = attempt.may_have_arrived
        proven_not_run = proven_not_run or not may_have_arrived
        if not attempt.is_prefill and not proven_not_run:
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
            self.releases.closed(attempt.serial, now, attempt.announced_deadline, attempt.engine, may_run_for)
            self._undetected_closes[attempt.serial] = attempt
            self._add_audit_entry(now, Fact.CLOSED, attempt)
        elif attempt.is_prefill and proven_not_run:
            self._holders.pop(attempt.serial, None)
            self.releases.left_nothing(attempt.serial)
            self._add_audit_entry(now, Fact.NOT_RUN, attempt)
        else:
            self.releases.answered(attempt.serial, now)
            self._add_audit_entry(now, Fact.ANSWERED, attempt)
        self._update_held_state()

    def on_peer_closed(self, attempt: Attempt, now: int) -> None:
        """The engine has ended its side of an attempt's connection that was closed."""
        self.releases.end_shown(attempt.serial, now)
        if self._undetected_closes.pop(attempt.serial, None):
            self._add_audit_entry(now, Fact.PEER_CLOSED, attempt)

    def on_engine_alive(self, engine: str, asked_at: int, now: int) -> None:
        """An engine has answered what it was sent at `asked_at`, or its process has ended: past the time that
        it was told, it gives up what it did not see closed."""
        self.releases.engine_runs(engine, asked_at, now)
        for attempt in list(self._undetected_closes.values()):
            if attempt.engine == engine and asked_at >= attempt.announced_deadline:
                del self._undetected_closes[attempt.serial]
                self._add_audit_entry(now, Fact.ENGINE_ALIVE, attempt)

    def _update_held_state(self) -> None:
        """A state that a release has not ended, as far as is proven, waits for another."""
        if self.held_state and not self.releases.open:
            self.held_state.status = HeldStateStatus.RELEASED
        elif self.held_state and self.held_state.status in (
            HeldStateStatus.RELEASING,
            HeldStateStatus.RELEASED,
        ):
            self.held_state.status = HeldStateStatus.POSSIBLE

    # The held state.

    def on_leased(self, attempt: Attempt, now: int) -> None:
        """The prefill has ended well."""
        self.held_state = HeldState(attempt.engine, prefill_serial=attempt.serial)
        self._holders[attempt.serial] = attempt.engine
        self.releases.leased(attempt.serial, now)
        self._add_audit_entry(now, Fact.LEASED, attempt)

    def on_first_token(self, attempt: Attempt, now: int) -> None:
        """The first token came. A call that was to fetch the state has taken it; one that has read the prompt
        itself says nothing of what may be held."""
        self.answer_started = True
        if attempt.work is not Work.FETCH:
            self.releases.begun(attempt.serial)
            self._add_audit_entry(now, Fact.ANSWERED, attempt)
            return
        if self.held_state and self.is_leased:
            self.held_state.status = HeldStateStatus.FETCHED
        self.releases.fetched(attempt.serial, set(self._holders))
        self._add_audit_entry(now, Fact.FIRST_TOKEN, attempt)

    def on_state_gone(self) -> None:
        """The engine that was asked to fetch it says that there is none. Its holder may only be cut off or
        held up, and hold it still."""
        self.releases.gone()
        if self.held_state and self.is_leased:
            self.held_state.status = HeldStateStatus.POSSIBLE

    def request_release(self, now: int) -> None:
        """The request needs no state any more, or its state has been held for long enough."""
        self.releases.wanted(now, self.attempt is not None and self.attempt.cancelled)

    def on_release_sent(self, now: int) -> None:
        """A release goes out; it proves nothing yet."""
        self.releases.sent(now)
        if self.held_state and self.held_state.status in (HeldStateStatus.POSSIBLE, HeldStateStatus.LEASED):
            self.held_state.status = HeldStateStatus.RELEASING

    def on_release_answered(self, asked_at: int) -> bool:
        """An engine has answered the release that it was sent then. True if nothing is held from now on."""
        self._audit_entries.append(Entry(asked_at, Fact.RELEASE_ANSWERED))
        over = self.releases.release_answered(asked_at)
        if over:
            self._holders.clear()
        if over and self.held_state and self.held_state.status is not HeldStateStatus.FETCHED:
            self.held_state.status = HeldStateStatus.RELEASED
        return over

    def _add_audit_entry(self, now: int, fact: Fact, attempt: Attempt) -> None:
        if self._holders or self._audit_entries:
            self._audit_entries.append(Entry(now, fact, attempt.serial))

    def check_overdue(self, now: int) -> bool:
        """Checks, once, whether a state may have been held for too long; True if it may."""
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
        """The one place that a final answer passes. False: there was one already."""
        if self.final_answer:
            return False
        self.final_answer = answer
        if not self.answer_started and answer != "left" and now > self.deadline + FINAL_ANSWER_SLACK:
            late_ms = (now - self.deadline) // 1000
            self.violations.add(Rule.FINAL_ANSWER, self.request, f"{answer} {late_ms} ms late")
        if answer == "pushed back" and self.may_have_run and self.effect is Effect.NON_REPLAYABLE:
            self.violations.add(Rule.SINGLE_EFFECT, self.request, "rejected, though it may have run")
        return True
