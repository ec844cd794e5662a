"""Checks the router's rules against the recorded traffic of clients, engines, proxies and discovery.

The rule on held state is judged by what has *arrived* at a running engine, never by what a router sent.
The slow-start rule needs the mean work of a warm engine and is checked in tests/test_cold.py instead.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from lifthead.standins.faults.settings import (
    DRAIN_GRACE,
    MILLISECOND,
    NON_IDEMPOTENT,
    RELEASE_DEADLINE,
    RELEASE_SLACK,
    WITH_IDEMPOTENCY_KEY,
)

DISCOVERY = "discovery"
RecordLine = dict[str, Any]
ConnectionKey = tuple[str, str, int]  # router, engine, number of the connection
NEVER = 1 << 62
RECORDING_DELAY = 60 * MILLISECOND  # how late a process beside dozens of others may record
DYING_TIME = 60 * MILLISECOND  # from a SIGKILL to the end of the process: its system still takes connections
FINAL_ANSWER_SLACK = 500 * MILLISECOND  # past its budget an answer is only worthless; later it is lost
SPOILT_STREAM_WAIT = 5_000 * MILLISECOND  # after a stream was spoilt, in which its client's connection ends
PATH_FAULTS = ("hold", "delay")  # during which what an engine writes arrives late
DISCONNECT_SLACK = 100 * MILLISECOND  # by which an attempt may begin after its client disconnects
ACCEPTS_AFTER_SIGTERM = 550 * MILLISECOND  # for this long a router still accepts requests
# A SIGKILL excuses an unanswered request unless it came later than this after the SIGTERM.
EXCUSED_AFTER_SIGTERM = 700 * MILLISECOND
GONE_AFTER_SIGTERM = 30_000 * MILLISECOND  # by then a router that got SIGTERM has exited
# A change in discovery counts as known after these times, with and without a fault on the way to the router.
FAULTY_DISCOVERY_DELAY = 6_000 * MILLISECOND
DISCOVERY_DELAY = 300 * MILLISECOND


def _connection_key(line: RecordLine) -> ConnectionKey:
    return line["router"], line["engine"], line["connection"]


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that the router broke for a request."""

    rule: int
    request: str
    why: str


@dataclass(slots=True)
class Traffic:
    """The records of one run, indexed for the checks."""

    requests: dict[str, RecordLine] = field(default_factory=dict)
    outcomes: dict[str, RecordLine] = field(default_factory=dict)
    lines_by_request: dict[str, list[RecordLine]] = field(default_factory=lambda: defaultdict(list))
    connection_by_port: dict[tuple[str, int], ConnectionKey] = field(default_factory=dict)  # by engine, port
    router_closed_at: dict[ConnectionKey, int] = field(default_factory=dict)
    delivered_at: dict[ConnectionKey, list[int]] = field(default_factory=lambda: defaultdict(list))
    attempt_ended_at: dict[tuple[str, int], list[int]] = field(default_factory=lambda: defaultdict(list))
    discovery_updates: list[RecordLine] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)  # by engine
    killed: list[RecordLine] = field(default_factory=list)
    last_recorded_at: int = 0
    has_discovery_faults: bool = False
    path_faults: list[RecordLine] = field(default_factory=list)  # that hold back what engines write
    # By process: the time of each SIGSTOP (True) and SIGCONT (False).
    suspensions: dict[str, list[tuple[int, bool]]] = field(default_factory=lambda: defaultdict(list))
    stopping: list[RecordLine] = field(default_factory=list)  # routers that received SIGTERM
    exited: list[RecordLine] = field(default_factory=list)

    @classmethod
    def from_lines(cls, lines: list[RecordLine]) -> "Traffic":
        traffic = cls()
        for line in sorted(lines, key=lambda line: line["t"]):
            traffic._add(line)
            traffic.last_recorded_at = line["t"]
        return traffic

    def _add(self, line: RecordLine) -> None:
        event = line["ev"]
        if event == "asked":
            self.requests[line["request"]] = line
        elif event == "client":
            self.outcomes[line["request"]] = line
        elif event == "opened":
            self.connection_by_port[line["engine"], line["port"]] = _connection_key(line)
        elif event == "router_closed":
            self.router_closed_at[_connection_key(line)] = line["t"]
        elif event == "fault":
            self.has_discovery_faults |= DISCOVERY in line["others"]
            if line["fault"] in PATH_FAULTS:
                self.path_faults.append(line)
        elif event == "delivered":
            self.delivered_at[_connection_key(line)].append(line["t"])
        elif event == "signal" and line["signal"] in ("SIGSTOP", "SIGCONT"):
            self.suspensions[line["name"]].append((line["t"], line["signal"] == "SIGSTOP"))
        elif event == "told":
            self.discovery_updates.append(line)
            self.zones |= line["zones"]
        elif event in ("killed", "stopping", "exited"):
            getattr(self, event).append(line)
        elif "request" in line:
            self.lines_by_request[line["request"]].append(line)
            if event == "over":
                self.attempt_ended_at[line["engine"], line["port"]].append(line["t"])

    def attempt_end(self, arrival: RecordLine) -> int:
        """Returns when an attempt that arrived was answered or closed by its router."""
        key = arrival["engine"], arrival["port"]
        connection = self.connection_by_port.get(key)
        end_times = [
            at
            for at in (*self.attempt_ended_at[key], *self.delivered_at.get(connection, ()))
            if at >= arrival["t"]
        ]
        return min([*end_times, self.router_closed_at.get(connection, NEVER)])

    def engine_end(self, arrival: RecordLine) -> int:
        """Returns when the engine ended an attempt; it may see late that the router has closed it."""
        end_times = [
            at for at in self.attempt_ended_at[arrival["engine"], arrival["port"]] if at >= arrival["t"]
        ]
        return min(end_times, default=self.attempt_end(arrival))

    def is_suspended(self, name: str, at: int) -> bool:
        """Whether this process was suspended by SIGSTOP at this time."""
        changes = [suspended for changed_at, suspended in self.suspensions[name] if changed_at <= at]
        return bool(changes) and changes[-1]

    def is_in_flight(self, arrival: RecordLine) -> bool:
        """Whether the router had not yet closed an attempt when it arrived.

        An engine that was suspended reads requests that were sent, and perhaps closed, long before.
        """
        return self.attempt_end(arrival) > arrival["t"]

    def prefill_end(self, held: RecordLine) -> int:
        """Returns when the router got the answer of the prefill that left this state, or closed it."""
        connection = self.connection_by_port.get((held["engine"], held["port"]))
        end_times = [at for at in self.delivered_at.get(connection, ()) if at >= held["t"]]
        return max(min([*end_times, self.router_closed_at.get(connection, NEVER)]), held["t"])

    def has_path_fault(self, outcome_line: RecordLine, spoilt: RecordLine) -> bool:
        """Whether a fault may have held back what an engine wrote before it spoilt this stream."""
        router, engine = outcome_line["router"], spoilt["engine"]
        changes = [
            line
            for line in self.path_faults
            if line["t"] <= outcome_line["t"] and router in line["routers"] and engine in line["others"]
        ]
        active = sum(1 if line["begins"] else -1 for line in changes if line["t"] <= spoilt["t"])
        return active > 0 or any(line["begins"] and line["t"] > spoilt["t"] for line in changes)

    def was_killed(self, name: str, since: int, until: int, planned: bool = True) -> bool:
        """Whether this process was killed in this interval. `planned` includes kills that end a slow stop."""
        kills = [line for line in self.killed if planned or not line.get("planned")]
        return any(line["name"] == name and since <= line["t"] <= until for line in kills)

    def arrived_after_sigterm(self, request: RecordLine, delay: int = ACCEPTS_AFTER_SIGTERM) -> bool:
        """Whether a request came later than `delay` after the SIGTERM of its router's process."""
        return any(
            line["t"] + delay < request["t"] < line["t"] + GONE_AFTER_SIGTERM
            and not self._exited_between(line["name"], line["t"], request["t"])
            for line in self.stopping
            if line["name"] == request["router"]
        )

    def _exited_between(self, name: str, since: int, until: int) -> bool:
        """Whether a process of this name exited in this interval: a later one got no SIGTERM yet."""
        return any(line["name"] == name and since <= line["t"] <= until for line in self.exited)

    def waiting_engine_was_killed(self, lines: list[RecordLine], until: int) -> bool:
        """Whether an engine that waited for the state was killed.

        The holder then keeps counting its decode call as waiting, since nobody cancels it.
        """
        waiting = [line for line in lines if line["ev"] == "waiting"]
        return any(self.was_killed(line["engine"], line["t"], until) for line in waiting)


def find_breaches(lines: list[RecordLine]) -> list[Breach]:
    """Returns all breaches of the rules in the records of one run."""
    traffic = Traffic.from_lines(lines)
    breaches = []
    for request_id in traffic.requests:
        breaches += _check_final_answer(traffic, request_id)
        breaches += _check_spoilt_streams(traffic, request_id)
        breaches += _check_effects(traffic, request_id)
        breaches += _check_held_state(traffic, request_id)
    return breaches + _check_drains(traffic)


def _check_final_answer(traffic: Traffic, request_id: str) -> list[Breach]:
    """Rule 1 (final_answer): one answer within the budget; no attempt after it or a disconnect."""
    request, outcome_line = traffic.requests[request_id], traffic.outcomes.get(request_id)
    breaches = []
    deadline = request["t"] + request["budget"]
    window = request["t"] - DYING_TIME, deadline + FINAL_ANSWER_SLACK
    excused = traffic.was_killed(request["router"], *window, planned=False)
    # A kill that ends a slow stop excuses only requests that came before it or early in the stop.
    excused = excused or (
        traffic.was_killed(request["router"], *window)
        and not traffic.arrived_after_sigterm(request, EXCUSED_AFTER_SIGTERM)
    )
    if outcome_line is None or not request["whole"]:
        return []
    outcome = outcome_line["outcome"]
    # A stopping router closes its listener, which resets connections that it has not accepted or read.
    excused = excused or (outcome == "reset" and traffic.arrived_after_sigterm(request))
    if outcome in ("closed", "lost", "reset", "nothing", "stalled") and not excused:
        breaches.append(Breach(1, request_id, f"no final answer: {outcome}"))
    elif outcome.isdigit() and outcome_line["t"] > deadline + FINAL_ANSWER_SLACK:
        breaches.append(Breach(1, request_id, f"answered {(outcome_line['t'] - deadline) // 1000} ms late"))
    gone_at = outcome_line["t"] + DISCONNECT_SLACK
    for line in traffic.lines_by_request[request_id]:
        if line["ev"] == "sent" and line["t"] > gone_at:
            late_ms = (line["t"] - outcome_line["t"]) // 1000
            breaches.append(Breach(1, request_id, f"sent to {line['engine']} {late_ms} ms after its end"))
    return breaches


def _check_spoilt_streams(traffic: Traffic, request_id: str) -> list[Breach]:
    """Rule 1 (final_answer): a stream that is spoilt after its first event ends for its client in time, and
    not as if it were whole."""
    outcome_line, lines = traffic.outcomes.get(request_id), traffic.lines_by_request[request_id]
    spoilt = [line for line in lines if line["ev"] == "spoilt" and line["events"]]
    runs = [line for line in lines if line["ev"] == "ran"]
    if outcome_line is None or not spoilt or runs[-1]["t"] > spoilt[-1]["t"]:
        return []  # or another attempt followed, so no event had been passed on
    waited, how = outcome_line["t"] - spoilt[-1]["t"], spoilt[-1]["how"]
    if outcome_line["outcome"] == "whole":
        return [Breach(1, request_id, f"a spoilt stream ({how}) ended as a whole one")]
    if waited <= SPOILT_STREAM_WAIT + RECORDING_DELAY or traffic.has_path_fault(outcome_line, spoilt[-1]):
        return []
    return [Breach(1, request_id, f"left waiting for {waited // 1000} ms behind a spoilt stream ({how})")]


def _check_effects(traffic: Traffic, request_id: str) -> list[Breach]:
    """Rule 2 (single_effect): no effect happens twice; a request never has two attempts in flight at once."""
    lines = traffic.lines_by_request[request_id]
    breaches = []
    runs = [line for line in lines if line["ev"] == "ran"]
    if len(runs) > 1 and runs[0]["qos"] == NON_IDEMPOTENT:
        breaches.append(Breach(2, request_id, f"ran {len(runs)} times"))
    zones = {traffic.zones[run["engine"]] for run in runs if run["qos"] == WITH_IDEMPOTENCY_KEY}
    if len(zones) > 1:
        breaches.append(Breach(2, request_id, "a request with an idempotency key ran in two zones"))
    arrivals = [line for line in lines if line["ev"] == "arrived" and traffic.is_in_flight(line)]
    for first, second in zip(arrivals, arrivals[1:], strict=False):
        overlap = traffic.attempt_end(first) - second["t"]
        if overlap > RECORDING_DELAY:
            breaches.append(
                Breach(2, request_id, f"in flight at {second['engine']} beside {first['engine']}")
            )
    return breaches


def _check_held_state(traffic: Traffic, request_id: str) -> list[Breach]:
    """Rule 5 (held_state): a state is taken or released in time, unless an attempt for it has arrived."""
    lines = traffic.lines_by_request[request_id]
    breaches = []
    for held in [line for line in lines if line["ev"] == "held"]:
        later_lines = [line for line in lines if line["t"] >= held["t"]]
        since, until, ended_by = _longest_unclaimed(traffic, held, later_lines, traffic.last_recorded_at)
        if until - since <= RELEASE_DEADLINE + RELEASE_SLACK + RECORDING_DELAY:
            continue
        request = traffic.requests[request_id]
        excused = traffic.was_killed(request["router"], request["t"] - DYING_TIME, until)
        excused = excused or traffic.waiting_engine_was_killed(lines, until)
        if not excused and not traffic.was_killed(held["engine"], held["t"], until):
            kept_ms = (until - since) // 1000
            breaches.append(
                Breach(5, request_id, f"held at {held['engine']} for {kept_ms} ms until {ended_by}")
            )
    return breaches


def _longest_unclaimed(
    traffic: Traffic, held: RecordLine, later_lines: list[RecordLine], record_end: int
) -> tuple[int, int, str]:
    """Returns the longest interval in which no arrived attempt claimed this state, and what ended it."""
    since, longest = traffic.prefill_end(held), (0, 0, "")
    for line in later_lines:
        now, event, at_holder = line["t"], line["ev"], line.get("engine") == held["engine"]
        held_again = event == "held" and at_holder and now > held["t"]
        # A release that arrives at an engine proves nothing, since only the holder knows what it holds; but a
        # suspended holder can record it only after it continues.
        holder_suspended = event == "release_arrived" and traffic.is_suspended(held["engine"], now)
        ends_here = held_again or holder_suspended or (event in ("taken", "released") and at_holder)
        # An engine may read a call after its router has closed it, and still wait for the state and keep it.
        claims = event == "waiting" or (event == "arrived" and traffic.is_in_flight(line))
        if ends_here or claims:
            if now - since > longest[1] - longest[0]:
                longest = since, now, f"{event} at {line['engine']}"
            if ends_here:
                return longest
            since = max(since, traffic.engine_end(line))  # an earlier call may still be waiting
    return (
        (since, record_end, "the end of the record")
        if record_end - since > longest[1] - longest[0]
        else longest
    )


def _check_drains(traffic: Traffic) -> list[Breach]:
    """Rule 3 (drain): no new attempt at a draining or gone engine after the grace period."""
    breaches = []
    unready_since: dict[tuple[str, str], int] = {}  # by router and engine: since when the router knows
    delivery_delay = FAULTY_DISCOVERY_DELAY if traffic.has_discovery_faults else DISCOVERY_DELAY
    lines = [line for lines in traffic.lines_by_request.values() for line in lines]
    sent_lines = [line for line in lines if line["ev"] == "sent"]
    for line in sorted(traffic.discovery_updates + sent_lines, key=lambda line: line["t"]):
        if line["ev"] == "told":
            for engine, state in line["states"].items():
                if state == "ready":
                    unready_since.pop((line["router"], engine), None)
                else:
                    unready_since.setdefault((line["router"], engine), line["t"])
            continue
        since = unready_since.get((line["router"], line["engine"]), line["t"])
        if line["t"] > since + DRAIN_GRACE + delivery_delay:
            late_ms = (line["t"] - since) // 1000
            breaches.append(
                Breach(3, line["request"], f"sent to {line['engine']} {late_ms} ms into its drain")
            )
    return breaches
