"""An invariant of the process: how long a state may have been held for a request with nothing arrived.

It is computed from what went out and what came back alone, and shares no belief with the code that decides
when releases are sent (lifthead/releases.py): whatever that code takes for the end of a state, a release that
was sent beside an attempt in flight, or right after one was closed, ends nothing here. Pure; times are
microseconds of one monotonic clock.
"""

from enum import Enum
from typing import NamedTuple


class Fact(Enum):
    """What went out for a request, and what came back."""

    PREFILL_SENT = "prefill_sent"
    DECODE_SENT = "call_sent"
    LEASED = "read"  # a 202 came back: a state is held
    ANSWERED = "answered"  # any other whole answer came back
    NOT_RUN = "not_run"  # an answer, or a connection that failed, that proves that the attempt has not run
    CLOSED = "closed"  # the connection ended before an answer was whole
    PEER_CLOSED = "end_shown"  # the engine ended its side of a connection that was closed
    ENGINE_ALIVE = "engine_runs"  # ... or has answered something else, past the time that it was told
    FIRST_TOKEN = "first_token"
    RELEASE_ANSWERED = "release_taken"  # an engine answered 2xx; `at` is when it was asked


class Entry(NamedTuple):
    """One fact; `attempt` numbers attempts, -1 for a release."""

    at: int
    fact: Fact
    attempt: int = -1


class _Audit:
    def __init__(self, time_limit: int) -> None:
        self.close_detection_time = time_limit // 2  # an engine may see so late that a connection was closed
        self.held_since: int | None = None
        self.longest_hold = 0
        self.in_flight: dict[int, Entry] = {}
        self.prefill_attempts: set[int] = set()
        self.closed_at: dict[int, int] = {}
        self.undetected_closes: set[int] = set()  # closed attempts that an engine may have before it for long
        self.kept_by_decode = False  # a release went out beside a call that may have kept the state

    def end_hold(self, at: int) -> None:
        if self.held_since is not None:
            self.longest_hold = max(self.longest_hold, at - self.held_since)

    def on_leased(self, entry: Entry) -> None:
        self.in_flight.pop(entry.attempt, None)
        self.held_since = entry.at if self.held_since is None else self.held_since

    def on_ended(self, entry: Entry) -> None:
        sent = self.in_flight.pop(entry.attempt, None)
        is_prefill = entry.attempt in self.prefill_attempts
        if sent is None or (is_prefill and entry.fact is Fact.NOT_RUN):
            return
        if entry.fact is Fact.CLOSED:
            self.closed_at[entry.attempt] = entry.at
            self.undetected_closes.add(entry.attempt)
        elif self.held_since is not None and not is_prefill:
            self.held_since = entry.at  # the call had arrived: the time begins anew
        if self.held_since is None and (is_prefill or self.kept_by_decode):
            self.held_since, self.kept_by_decode = entry.at, False

    def on_engine_gave_up(self, entry: Entry) -> None:
        """An engine that stood still goes on: what it had before it ends now, and leaves a state again."""
        if (
            entry.attempt in self.undetected_closes
            and entry.fact is Fact.ENGINE_ALIVE
            and self.held_since is None
        ):
            self.held_since = entry.at
        self.undetected_closes.discard(entry.attempt)

    def on_first_token(self, entry: Entry) -> None:
        sent = self.in_flight.pop(entry.attempt, None)
        if sent is not None:
            self.end_hold(sent.at)
        prefill_closes = [at for number, at in self.closed_at.items() if number in self.prefill_attempts]
        self.closed_at = {
            number: at for number, at in self.closed_at.items() if number in self.prefill_attempts
        }
        self.undetected_closes &= self.prefill_attempts
        self.held_since, self.kept_by_decode = max(prefill_closes, default=None), False

    def on_release_answered(self, entry: Entry) -> None:
        undetected = [at for at in self.closed_at.values() if entry.at < at + self.close_detection_time]
        decodes_beside = [sent for sent in self.in_flight.values() if sent.at <= entry.at]
        self.end_hold(entry.at)
        if self.held_since is not None:
            self.held_since = max(undetected, default=None)
            self.kept_by_decode = bool(decodes_beside) and self.held_since is None
        self.closed_at = {number: at for number, at in self.closed_at.items() if at in undetected}


def longest_unconfirmed_hold(entries: list[Entry], now: int, time_limit: int) -> int:
    """The longest time, up to now, for which a state may have been held while nothing had arrived."""
    audit = _Audit(time_limit)
    for entry in sorted(entries, key=lambda entry: entry.at):
        if entry.fact in (Fact.PREFILL_SENT, Fact.DECODE_SENT):
            audit.in_flight[entry.attempt] = entry
            if entry.fact is Fact.PREFILL_SENT:
                audit.prefill_attempts.add(entry.attempt)
        elif entry.fact is Fact.LEASED:
            audit.on_leased(entry)
        elif entry.fact in (Fact.PEER_CLOSED, Fact.ENGINE_ALIVE):
            audit.on_engine_gave_up(entry)
        elif entry.fact is Fact.FIRST_TOKEN:
            audit.on_first_token(entry)
        elif entry.fact is Fact.RELEASE_ANSWERED:
            audit.on_release_answered(entry)
        else:
            audit.on_ended(entry)
    audit.end_hold(now)
    return audit.longest_hold
