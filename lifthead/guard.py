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

from lifthead.held_audit import Entry, Fact, longest_unclaimed
from lifthead.interface import Idempotency
from lifthead.releases import ReleaseSchedule

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
    RELEASING = "releasing"  # a release has gone out, and it is not proven that nothing is held
    RELEASED = "released"


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
    state: HeldState = HeldState.LEASED
    attempt: int = 0  # the prefill that left it


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt:
    """One attempt of a request at one engine."""

    number: int  # among those of one placing of the request
    engine: str
    work: Work
    send_by: int  # later than this it must not be sent
    sent_at: int
    serial: int = 0  # among all of the request, by its guard
    told_until: int = 0  # how long its engine was told that it would be waited for
    state: AttemptState = AttemptState.CONNECTING
    called_off: bool = False

    @property
    def reading(self) -> bool:
        return self.work is Work.PREFILL

    @property
    def is_written(self) -> bool:
        """Whether some of it may have reached its engine."""
        return self.state not in (AttemptState.CONNECTING, AttemptState.ENDED)


@dataclass(slots=True, eq=False)
class RequestGuard:
    """`allowed`: how long a state may be held while no attempt has arrived, 0 without limit."""

    request: str
    effect: Idempotency
    due_at: int
    allowed: int
    violations: Violations
    attempt: Attempt | None = None  # in flight
    held: Held | None = None  # the latest
    final: str = ""  # the final answer, in one word
    may_have_run: bool = False
    begun: bool = False  # the answer has reached the client in part
    releases: ReleaseSchedule = field(init=False)
    # Of prefills that may have left a state: the engine, by serial number.
    _prefills: dict[int, str] = field(default_factory=dict)
    # Closed before they were answered, and their engines have not shown that they saw it; by serial number.
    _unshown: dict[int, Attempt] = field(default_factory=dict)
    _started: int = 0
    _facts: list[Entry] = field(default_factory=list)
    _reported: bool = field(default=False)

    def __post_init__(self) -> None:
        self.releases = ReleaseSchedule(self.allowed)

    @property
    def held_at(self) -> str:
        """The engine where a state is, or may be, held; "" if there is none."""
        return self.held.holder if self.held and self.releases.open else ""

    @property
    def holders(self) -> dict[int, str]:
        """The engines that may hold a state, by the serial number of the prefill that may have left it."""
        return dict(self._prefills) if self.releases.open else {}

    @property
    def has_held(self) -> bool:
        """Whether a state was, or may have been, held for it."""
        return bool(self._facts)

    @property
    def is_leased(self) -> bool:
        """Whether a state waits for a call to fetch it."""
        return self.held is not None and self.held.state is HeldState.LEASED

    # Attempts.

    def start(self, attempt: Attempt) -> None:
        if self.attempt is not None:
            why = f"{attempt.engine} beside {self.attempt.engine}"
            self.violations.add(Rule.SINGLE_EFFECT, self.request, why)
        self.attempt = attempt
        attempt.serial, self._started = self._started, self._started + 1

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
        if attempt.work is Work.FETCH and not self.is_leased:
            return Refusal.STATE_RELEASED
        return None

    def writing(self, attempt: Attempt, now: int, ready: bool = True) -> None:
        """Its first byte goes out, to an engine that is ready for new work or is not."""
        attempt.state, attempt.sent_at = AttemptState.WRITING, now
        if not ready:
            self.violations.add(Rule.DRAIN, self.request, f"sent to {attempt.engine}, which is not ready")
        if self.final:
            self.violations.add(Rule.FINAL_ANSWER, self.request, f"sent after {self.final}")
        if attempt.reading:
            self.held = Held(attempt.engine, HeldState.POSSIBLE, attempt.serial)
            self._prefills[attempt.serial] = attempt.engine
        elif self.may_have_run and self.effect is Idempotency.NON_IDEMPOTENT:
            self.violations.add(Rule.SINGLE_EFFECT, self.request, f"sent again, to {attempt.engine}")
        self.releases.sending(attempt.serial, now, attempt.reading)
        self._note(now, Fact.PREFILL_SENT if attempt.reading else Fact.CALL_SENT, attempt)

    def written(self, attempt: Attempt) -> None:
        attempt.state = AttemptState.WRITTEN

    def confirmed_by(self, attempt: Attempt) -> None:
        """The head of an answer came back: the attempt has arrived."""
        attempt.state = AttemptState.CONFIRMED

    def ended(self, attempt: Attempt, now: int, proven_not_run: bool, answered: bool) -> None:
        """It is over, and its connection is given back or closed. `answered`: by its engine, in whole."""
        is_written = attempt.is_written
        proven_not_run = proven_not_run or not is_written
        if not attempt.reading and not proven_not_run:
            self.may_have_run = True
        attempt.state, self.attempt = AttemptState.ENDED, None
        if not is_written:
            self.releases.never_sent(now)
            return
        if attempt.reading and self.held and self.is_leased and self.held.attempt == attempt.serial:
            return
        if not answered:
            goes_on_for = max(attempt.told_until - attempt.sent_at, 0) if attempt.reading else 0
            self.releases.connection_closed(
                attempt.serial, now, attempt.told_until, attempt.engine, goes_on_for
            )
            self._unshown[attempt.serial] = attempt
            self._note(now, Fact.CLOSED, attempt)
        elif attempt.reading and proven_not_run:
            self._prefills.pop(attempt.serial, None)
            self.releases.did_not_run(attempt.serial)
            self._note(now, Fact.NOT_RUN, attempt)
        else:
            self.releases.answered(attempt.serial, now)
            self._note(now, Fact.ANSWERED, attempt)
        self._still_possible()

    def end_shown(self, attempt: Attempt, now: int) -> None:
        """The engine has ended its side of an attempt's connection that was closed."""
        self.releases.end_seen(attempt.serial, now)
        if self._unshown.pop(attempt.serial, None):
            self._note(now, Fact.END_SHOWN, attempt)

    def engine_runs(self, engine: str, asked_at: int, now: int) -> None:
        """An engine has answered what it was sent at `asked_at`, or its process has ended: past the time that
        it was told, it gives up what it did not see closed."""
        self.releases.engine_runs(engine, asked_at, now)
        for attempt in list(self._unshown.values()):
            if attempt.engine == engine and asked_at >= attempt.told_until:
                del self._unshown[attempt.serial]
                self._note(now, Fact.ENGINE_RUNS, attempt)

    def _still_possible(self) -> None:
        """A state that a release has not ended, as far as is proven, waits for another."""
        if self.held and not self.releases.open:
            self.held.state = HeldState.RELEASED
        elif self.held and self.held.state in (HeldState.RELEASING, HeldState.RELEASED):
            self.held.state = HeldState.POSSIBLE

    # The held state.

    def leased(self, attempt: Attempt, now: int) -> None:
        """The prefill has ended well."""
        self.held = Held(attempt.engine, attempt=attempt.serial)
        self._prefills[attempt.serial] = attempt.engine
        self.releases.leased(attempt.serial, now)
        self._note(now, Fact.READ, attempt)

    def fetched(self, attempt: Attempt, now: int) -> None:
        """The first token came. A call that was to fetch the state has taken it; one that has read the prompt
        itself says nothing of what may be held."""
        self.begun = True
        if attempt.work is not Work.FETCH:
            self.releases.first_token(attempt.serial)
            self._note(now, Fact.ANSWERED, attempt)
            return
        if self.held and self.is_leased:
            self.held.state = HeldState.FETCHED
        self.releases.fetched(attempt.serial, set(self._prefills))
        self._note(now, Fact.FIRST_TOKEN, attempt)

    def state_gone(self) -> None:
        """The engine that was asked to fetch it says that there is none. Its holder may only be cut off or
        held up, and hold it still."""
        self.releases.state_gone()
        if self.held and self.is_leased:
            self.held.state = HeldState.POSSIBLE

    def release_wanted(self, now: int) -> None:
        """The request needs no state any more, or its state has been held for long enough."""
        self.releases.release_wanted(now, self.attempt is not None and self.attempt.called_off)

    def release_sent(self, now: int) -> None:
        """A release goes out; it proves nothing yet."""
        self.releases.release_sent(now)
        if self.held and self.held.state in (HeldState.POSSIBLE, HeldState.LEASED):
            self.held.state = HeldState.RELEASING

    def release_taken(self, asked_at: int) -> bool:
        """An engine has answered the release that it was sent then. True if nothing is held from now on."""
        self._facts.append(Entry(asked_at, Fact.RELEASE_TAKEN))
        over = self.releases.release_answered(asked_at)
        if over:
            self._prefills.clear()
        if over and self.held and self.held.state is not HeldState.FETCHED:
            self.held.state = HeldState.RELEASED
        return over

    def _note(self, now: int, fact: Fact, attempt: Attempt) -> None:
        if self._prefills or self._facts:
            self._facts.append(Entry(now, fact, attempt.serial))

    def overdue(self, now: int) -> bool:
        """Checks, once, whether a state may have been held for too long; True if it may."""
        if self._reported or not self.allowed or not self._facts:
            return False
        kept = longest_unclaimed(self._facts, now, self.allowed)
        if kept <= self.allowed + HELD_SLACK:
            return False
        self._reported = True
        holder = self.held.holder if self.held else ""
        self.violations.add(Rule.HELD_STATE, self.request, f"may be held at {holder} for {kept // 1000} ms")
        return True

    # The final answer.

    def answer(self, final: str, now: int) -> bool:
        """The one place that a final answer passes. False: there was one already."""
        if self.final:
            return False
        self.final = final
        if not self.begun and final != "left" and now > self.due_at + ANSWER_SLACK:
            late_ms = (now - self.due_at) // 1000
            self.violations.add(Rule.FINAL_ANSWER, self.request, f"{final} {late_ms} ms late")
        if final == "pushed back" and self.may_have_run and self.effect is Idempotency.NON_IDEMPOTENT:
            self.violations.add(Rule.SINGLE_EFFECT, self.request, "rejected, though it may have run")
        return True
