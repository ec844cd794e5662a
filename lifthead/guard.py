"""One guard for each request: sending, repeating, closing and starting an attempt all pass it, and so do the
final answer and the state that a prefill engine holds.

It knows in which state each attempt and each held state is, says whether an attempt may be sent, and checks
the five rules as invariants while the process runs. It decides nothing else and does no I/O. What was sent
has not arrived: only bytes that come back confirm an attempt, and only an answer to a release proves that it
arrived. Times are microseconds of the monotonic clock.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from lifthead.interface import Effect

HELD_SLACK = 300_000  # what the platform allows beyond the settings' time for a held state
ANSWER_SLACK = 500_000  # an answer may be this late: it earns nothing, and is not lost
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
    WRITING = "writing"
    WRITTEN = "written"  # the last byte was given to the system
    CONFIRMED = "confirmed"  # something came back
    ENDED = "ended"


class HeldState(Enum):
    """What is known of a state at a prefill engine."""

    POSSIBLE = "possible"  # an attempt that did not end well may have left one
    LEASED = "leased"
    FETCHED = "fetched"
    RELEASING = "releasing"
    RELEASED = "released"


UNCLAIMED = (HeldState.POSSIBLE, HeldState.LEASED)


class Refusal(Enum):
    """Why an attempt may not be sent now."""

    ANSWERED = "the request has its final answer"
    ENGINE_NOT_READY = "the engine drains or is gone"
    TOO_LATE = "its time is over"
    CLIENT_GONE = "the client has gone"
    STATE_RELEASED = "the state that it should fetch was released"


class Work(Enum):
    """What an attempt asks of its engine."""

    PREFILL = "prefill"  # has no effect, leaves a state
    FETCH = "fetch"  # decodes from a state
    WHOLE = "whole"  # reads the prompt and decodes


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
class Held:
    """A state that an engine holds, or may hold, for a request."""

    holder: str
    since: int
    state: HeldState = HeldState.LEASED
    settles: bool = False  # an attempt at it was just closed, which a release must not overtake

    @property
    def open(self) -> bool:
        """Whether it may still be there, and nothing is known to have claimed or released it."""
        return self.state in (HeldState.POSSIBLE, HeldState.LEASED, HeldState.RELEASING)


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt:
    """One attempt of a request at one engine."""

    number: int
    engine: str
    work: Work
    send_by: int  # later than this it must not be sent
    sent_at: int
    state: AttemptState = AttemptState.CONNECTING
    called_off: bool = False

    @property
    def reading(self) -> bool:
        return self.work is Work.PREFILL

    @property
    def confirmed(self) -> bool:
        return self.state is AttemptState.CONFIRMED


@dataclass(slots=True, eq=False)
class RequestGuard:
    """`allowed`: how long a state may be held while no attempt has arrived, 0 without limit."""

    request: str
    effect: Effect
    due_at: int
    allowed: int
    violations: Violations
    attempt: Attempt | None = None  # in flight
    held: Held | None = None
    final: str = ""  # the final answer, in one word
    may_have_run: bool = False
    begun: bool = False  # the answer has reached the client in part
    _reported: bool = field(default=False)

    @property
    def held_at(self) -> str:
        """The engine where a state is, or may be, held; "" if there is none."""
        return self.held.holder if self.held and self.held.open else ""

    # Attempts.

    def start(self, attempt: Attempt) -> None:
        if self.attempt is not None:
            why = f"{attempt.engine} beside {self.attempt.engine}"
            self.violations.add(Rule.SINGLE_EFFECT, self.request, why)
        self.attempt = attempt

    def refusal(self, attempt: Attempt, now: int, ready: bool, client_gone: bool) -> Refusal | None:
        """Why this attempt may not be sent now, None if it may. To be asked in the instant before."""
        if not ready:
            return Refusal.ENGINE_NOT_READY
        if now >= attempt.send_by:
            return Refusal.TOO_LATE
        if client_gone:
            return Refusal.CLIENT_GONE
        if self.final:
            return Refusal.ANSWERED
        if attempt.work is Work.FETCH and not (self.held and self.held.state is HeldState.LEASED):
            return Refusal.STATE_RELEASED
        return None

    def writing(self, attempt: Attempt, now: int) -> None:
        attempt.state, attempt.sent_at = AttemptState.WRITING, now
        if self.final:
            self.violations.add(Rule.FINAL_ANSWER, self.request, f"sent after {self.final}")
        if attempt.work is Work.PREFILL:
            self.held = Held(attempt.engine, now, HeldState.POSSIBLE)
        elif self.may_have_run and self.effect is Effect.NON_REPLAYABLE:
            self.violations.add(Rule.SINGLE_EFFECT, self.request, f"sent again, to {attempt.engine}")

    def written(self, attempt: Attempt) -> None:
        attempt.state = AttemptState.WRITTEN

    def confirmed_by(self, attempt: Attempt) -> None:
        """The head of an answer came back: the attempt has arrived."""
        attempt.state = AttemptState.CONFIRMED
        if attempt.work is Work.FETCH and self.held and self.held.open:
            self._check_held(self.held, attempt.sent_at)

    def ended(self, attempt: Attempt, now: int, proven_not_run: bool) -> None:
        """It is over, and its connection is given back or closed."""
        proven_not_run = proven_not_run or attempt.state is AttemptState.CONNECTING
        if attempt.work is not Work.PREFILL and not proven_not_run:
            self.may_have_run = True
        held, state = self.held, attempt.state
        attempt.state, self.attempt = AttemptState.ENDED, None
        if held is None:
            return
        if attempt.work is Work.FETCH:
            self._fetch_ended(held, state, now)
        elif held.holder == attempt.engine and held.state is HeldState.POSSIBLE:
            held.since, held.settles = now, True
            if proven_not_run:
                self.held = None

    def _fetch_ended(self, held: Held, state: AttemptState, now: int) -> None:
        """A decode call is over, and has not begun to answer."""
        if state is AttemptState.CONFIRMED and held.open:
            held.since = now  # it had arrived
        elif state in (AttemptState.WRITING, AttemptState.WRITTEN):
            held.settles = True
            if held.state in (HeldState.RELEASING, HeldState.RELEASED):
                # It may have kept the state from being released, and now waits no more.
                self.held = Held(held.holder, now, HeldState.POSSIBLE, settles=True)

    # The held state.

    def leased(self, holder: str, now: int) -> None:
        self.held = Held(holder, now)

    def fetched(self, attempt: Attempt) -> None:
        """The first token came: the state that it was to fetch is held no more. One that was to be released
        before still is."""
        self.begun = True
        if self.held and attempt.work is Work.FETCH:
            if self.held.open:
                self._check_held(self.held, attempt.sent_at)
            self.held.state = HeldState.FETCHED

    def state_gone(self) -> None:
        """The engine that was asked to fetch it says that there is none. Its holder may only be cut off or
        held up, and hold it still."""
        if self.held and self.held.open:
            self.held.state = HeldState.POSSIBLE

    def releasable(self) -> Held | None:
        """The state that can be released now: not while a prefill that may leave one is in flight, nor before
        a call that was cancelled is over."""
        if self.held is None or self.held.state not in UNCLAIMED:
            return None
        if self.attempt and (self.attempt.work is Work.PREFILL or self.attempt.called_off):
            return None
        return self.held

    def released(self, held: Held, asked_at: int) -> None:
        """An engine has answered the release that it was sent then."""
        self._check_held(held, asked_at)
        if held.state is HeldState.RELEASING:
            held.state = HeldState.RELEASED

    def overdue(self, now: int) -> bool:
        """Checks a state that is still open, once; True if it has been held for too long."""
        held = self.held
        if self._reported or held is None or held.state not in UNCLAIMED or self._in_flight():
            return False
        self._check_held(held, now)
        return self._reported

    def _in_flight(self) -> bool:
        return self.attempt is not None and self.attempt.work is not Work.FETCH

    def _check_held(self, held: Held, until: int) -> None:
        kept = until - held.since
        if self.allowed and kept > self.allowed + HELD_SLACK and not self._reported:
            self._reported = True
            why = f"{held.state.value} at {held.holder} for {kept // 1000} ms"
            self.violations.add(Rule.HELD_STATE, self.request, why)

    # The final answer.

    def answer(self, final: str, now: int) -> bool:
        """The one place that a final answer passes. False: there was one already."""
        if self.final:
            return False
        self.final = final
        if not self.begun and final != "left" and now > self.due_at + ANSWER_SLACK:
            late_ms = (now - self.due_at) // 1000
            self.violations.add(Rule.FINAL_ANSWER, self.request, f"{final} {late_ms} ms late")
        if final == "pushed back" and self.may_have_run and self.effect is Effect.NON_REPLAYABLE:
            self.violations.add(Rule.SINGLE_EFFECT, self.request, "rejected, though it may have run")
        return True
