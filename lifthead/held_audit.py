"""Computes how long a state may have been held for a request while no decode attempt had arrived.

The guard checks the result as an invariant. It is computed only from what was sent and what came back, and
shares no assumption with the code that schedules releases (lifthead/releases.py): whatever that code takes as
proof, a release that was sent while an attempt was in flight, or right after one was closed, does not end a
held state here. No I/O; times are microseconds of one monotonic clock.
"""

from enum import Enum
from typing import NamedTuple


class Fact(Enum):
    """What was sent for a request, and what came back."""

    PREFILL_SENT = "prefill_sent"
    DECODE_SENT = "call_sent"
    LEASED = "read"  # a prefill attempt got 202: its engine holds a state
    ANSWERED = "answered"  # any other complete answer came back
    NOT_RUN = "not_run"  # an answer or a failed connection proves that the attempt did not run
    CLOSED = "closed"  # the connection ended before the answer was complete
    PEER_CLOSED = "end_shown"  # the engine closed its side of a connection that this end closed
    ENGINE_ALIVE = "engine_runs"  # the engine answered a message sent after the announced deadline
    FIRST_TOKEN = "first_token"
    RELEASE_ANSWERED = "release_taken"  # an engine answered 2xx; `at` is when the release was sent


class Entry(NamedTuple):
    """One fact. `attempt` is the serial number of an attempt, -1 for a release."""

    at: int
    fact: Fact
    attempt: int = -1


class _Audit:
    def __init__(self, time_limit: int) -> None:
        self.close_detection_time = time_limit // 2  # an engine may notice a close this late
        self.held_since: int | None = None
        self.longest_hold = 0
        self.in_flight: dict[int, Entry] = {}
        self.prefill_attempts: set[int] = set()
        self.closed_at: dict[int, int] = {}
        self.undetected_closes: set[int] = set()  # closed attempts that an engine may still process
        self.kept_by_attempt = False  # a decode in flight may have kept the state from a release

    def record_hold(self, at: int) -> None:
        if self.held_since is not None:
            self.longest_hold = max(self.longest_hold, at - self.held_since)

    def on_leased(self, entry: Entry) -> None:
        self.in_flight.pop(entry.attempt, None)
        self.held_since = entry.at if self.held_since is None else self.held_since

    def on_ended(self, entry: Entry) -> None:
        sent_entry = self.in_flight.pop(entry.attempt, None)
        is_prefill = entry.attempt in self.prefill_attempts
        if sent_entry is None or (is_prefill and entry.fact is Fact.NOT_RUN):
            return
        if entry.fact is Fact.CLOSED:
            self.closed_at[entry.attempt] = entry.at
            self.undetected_closes.add(entry.attempt)
        elif self.held_since is not None and not is_prefill:
            self.held_since = entry.at  # the decode attempt had arrived: the time restarts
        if self.held_since is None and (is_prefill or self.kept_by_attempt):
            self.held_since, self.kept_by_attempt = entry.at, False

    def on_close_handled(self, entry: Entry) -> None:
        """The engine has handled a close. If it was paused until now, it may have left a state only now."""
        if (
            entry.attempt in self.undetected_closes
            and entry.fact is Fact.ENGINE_ALIVE
            and self.held_since is None
        ):
            self.held_since = entry.at
        self.undetected_closes.discard(entry.attempt)

    def on_first_token(self, entry: Entry) -> None:
        sent_entry = self.in_flight.pop(entry.attempt, None)
        if sent_entry is not None:
            self.record_hold(sent_entry.at)
        prefill_closes = [at for number, at in self.closed_at.items() if number in self.prefill_attempts]
        self.closed_at = {
            number: at for number, at in self.closed_at.items() if number in self.prefill_attempts
        }
        self.undetected_closes &= self.prefill_attempts
        self.held_since, self.kept_by_attempt = max(prefill_closes, default=None), False

    def on_release_answered(self, entry: Entry) -> None:
        undetected_at = [at for at in self.closed_at.values() if entry.at < at + self.close_detection_time]
        in_flight_then = [other for other in self.in_flight.values() if other.at <= entry.at]
        self.record_hold(entry.at)
        if self.held_since is not None:
            self.held_since = max(undetected_at, default=None)
            self.kept_by_attempt = bool(in_flight_then) and self.held_since is None
        self.closed_at = {number: at for number, at in self.closed_at.items() if at in undetected_at}


def longest_unconfirmed_hold(entries: list[Entry], now: int, time_limit: int) -> int:
    """Returns the longest time, up to now, for which a state may have been held while nothing had arrived."""
    audit = _Audit(time_limit)
    for entry in sorted(entries, key=lambda entry: entry.at):
        if entry.fact in (Fact.PREFILL_SENT, Fact.DECODE_SENT):
            audit.in_flight[entry.attempt] = entry
            if entry.fact is Fact.PREFILL_SENT:
                audit.prefill_attempts.add(entry.attempt)
        elif entry.fact is Fact.LEASED:
            audit.on_leased(entry)
        elif entry.fact in (Fact.PEER_CLOSED, Fact.ENGINE_ALIVE):
            audit.on_close_handled(entry)
        elif entry.fact is Fact.FIRST_TOKEN:
            audit.on_first_token(entry)
        elif entry.fact is Fact.RELEASE_ANSWERED:
            audit.on_release_answered(entry)
        else:
            audit.on_ended(entry)
    audit.record_hold(now)
    return audit.longest_hold
