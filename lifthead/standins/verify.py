"""Checks the five rules from the traffic records of a run. It imports nothing of the router's.

Times come from many processes on one machine that share a monotonic clock. A process may be late in noticing
what happens on its sockets: `SLACK` allows for that. Beyond it, only what the records show excuses a router:
that it, or an engine, was killed, or that an engine was silent.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lifthead.standins.record import lines

SLACK = 150_000  # microseconds by which a loaded process may notice an event late
ANSWER_GRACE = 150_000  # microseconds by which a client may read its answer late
FINAL = ("done", "pushed back", "aborted")
PROVEN_NOT_RUN = ("refused", "no state")  # outcomes in which the engine told the router that nothing ran
FOREVER = 1 << 62
Line = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Breach:
    """A breach of one of the five rules, with the records that show it."""

    rule: int
    request: str
    reason: str
    lines: list[Line]


def _router(attempt_id: str) -> str:
    """The router's name in an attempt ID, `NAME-LIFE-REQUEST.ATTEMPT`."""
    return attempt_id.rsplit("-", 2)[0]


@dataclass(slots=True)
class Attempt:
    """One attempt as its engine recorded it."""

    id: str
    engine: str
    line: Line
    started_at: int
    ended_at: int = FOREVER
    outcome: str = "never"
    ran_at: int = 0

    @property
    def router(self) -> str:
        return _router(self.id)


@dataclass(slots=True)
class Traffic:
    """The records of one run, by request.

    A turn is one prompt of a client's session. The client sends it as a request, and as another one for each
    retry. For each request, the router makes attempts at engines.
    """

    settings: Line = field(default_factory=dict)
    turns: dict[str, Line] = field(default_factory=dict)
    requests: dict[str, Line] = field(default_factory=dict)
    answers: dict[str, list[Line]] = field(default_factory=lambda: defaultdict(list))
    attempts: dict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    # Attempt, engine, from, to, and the reason why it is no longer held.
    held_states: list[tuple[str, str, int, int, str]] = field(default_factory=list)
    engines: dict[str, Line] = field(default_factory=dict)
    engine_starts: dict[str, list[Line]] = field(default_factory=lambda: defaultdict(list))
    # By router and engine: when the router was told of which readiness.
    readiness_reports: dict[tuple[str, str], list[tuple[int, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Times by a router's name and by its address.
    killed_routers: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    stopped_routers: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    silences: dict[str, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))
    overloads: list[Line] = field(default_factory=list)
    end: int = 0


def read_records(directory: Path) -> Traffic:
    """Reads the records in a run's directory."""
    traffic = Traffic()
    for line in lines(directory / "facts.jsonl"):
        traffic.settings = line
    engine_ends: dict[str, list[int]] = defaultdict(list)
    for line in lines(directory / "stage.jsonl"):
        traffic.end = max(traffic.end, line["t"])
        if line["ev"] == "engine_end":
            engine_ends[line["name"]].append(line["t"])
        elif line["ev"] in ("router_killed", "router_stop"):
            target = traffic.killed_routers if line["ev"] == "router_killed" else traffic.stopped_routers
            target[line["name"]].append(line["t"])
            target[line["address"]].append(line["t"])
    for line in lines(directory / "clients.jsonl"):
        target = {"want": traffic.turns, "ask": traffic.requests}.get(line["ev"])
        if target is not None:
            target[line["id"]] = line
        else:
            traffic.answers[line["id"]].append(line)
    for line in lines(directory / "list.jsonl"):
        if line["ev"] == "told":
            traffic.readiness_reports[line["router"], line["engine"]].append((line["t"], line["readiness"]))
    for path in sorted(directory.glob("engine-*.jsonl")):
        _read_engine(traffic, path.stem.removeprefix("engine-"), lines(path), engine_ends)
    for attempts in traffic.attempts.values():
        attempts.sort(key=lambda attempt: attempt.started_at)
    return traffic


def _read_engine(traffic: Traffic, name: str, records: list[Line], engine_ends: dict[str, list[int]]) -> None:
    """Adds the records of one engine. What a process has in flight, and what it holds, ends with it."""
    in_flight: dict[str, Attempt] = {}
    held: dict[str, int] = {}

    def end_all(at: int) -> None:
        for attempt in in_flight.values():
            attempt.ended_at, attempt.outcome = at, "engine ended"
        traffic.held_states.extend((id_, name, since, at, "engine ended") for id_, since in held.items())
        in_flight.clear()
        held.clear()

    for line in records:
        event, at = line["ev"], line["t"]
        if event == "start":
            end_all(next((end for end in reversed(engine_ends[name]) if end <= at), at))
            traffic.engines[name] = line
            traffic.engine_starts[name].append(line)
        elif event == "forward":
            attempt = in_flight[line["id"]] = Attempt(line["id"], name, line, at)
            traffic.attempts[line["client"]].append(attempt)
        elif event == "ran" and line["id"] in in_flight:
            in_flight[line["id"]].ran_at = at
        elif event == "end" and line["id"] in in_flight:
            attempt = in_flight.pop(line["id"])
            attempt.ended_at, attempt.outcome = line.get("closed") or at, line["how"]
        elif event == "held":
            held[line["id"]] = at
        elif event in ("taken", "let_go"):
            traffic.held_states.append((line["id"], name, held.pop(line["id"]), at, line["why"]))
        elif event == "fault" and line["what"] == "silent":
            traffic.silences[name].append((at, at + line["lasts"]))
        elif event == "fell":
            traffic.overloads.append(line)
    end_all(max([traffic.end, *(line["t"] for line in records[-1:])]))


def find_breaches(traffic: Traffic) -> list[Breach]:
    """All breaches of the five rules."""
    breaches: list[Breach] = []
    for check in (_check_answers, _check_effects, _check_drains, _check_slow_start, _check_held_states):
        breaches.extend(check(traffic))
    return breaches


def _any_between(times: list[int], start: int, end: int) -> bool:
    """Whether any of the times lies between start and end, give or take the slack."""
    return any(start - SLACK <= at <= end + SLACK for at in times)


def excuse(traffic: Traffic, request: Line, answer: Line) -> str:
    """Why a request without a final answer breaks no rule: its router was killed, or stopped before accepting
    the request. Empty if there is no such reason."""
    if _any_between(traffic.killed_routers[request["router"]], request["t"], answer["t"]):
        return "router killed"
    not_accepted = answer["status"] == 0 and not traffic.attempts.get(request["id"])
    if not_accepted and _any_between(traffic.stopped_routers[request["router"]], request["t"], answer["t"]):
        return "not taken"
    return ""


def _check_answers(traffic: Traffic) -> list[Breach]:
    """1. Each accepted request gets one final answer within its budget, and no attempt starts after it."""
    breaches = []
    for name, request in traffic.requests.items():
        answers = traffic.answers.get(name, [])
        if len(answers) != 1:
            breaches.append(Breach(1, name, f"{len(answers)} final answers", [request, *answers]))
            continue
        answer = answers[0]
        if answer["how"] not in (*FINAL, "left", "not taken") and not excuse(traffic, request, answer):
            breaches.append(Breach(1, name, f"no final answer: {answer['how']}", [request, answer]))
        took = answer["first"] if answer["first"] and request["streamed"] else answer["t"] - request["t"]
        if answer["how"] in FINAL and took > request["budget"] + ANSWER_GRACE:
            breaches.append(
                Breach(
                    1, name, f"answered after {took} us, its budget is {request['budget']}", [request, answer]
                )
            )
        for attempt in traffic.attempts.get(name, ()):
            if attempt.started_at > answer["t"] + SLACK:
                breaches.append(
                    Breach(1, name, "an attempt started after the final answer", [answer, attempt.line])
                )
    return breaches


def _check_effects(traffic: Traffic) -> list[Breach]:
    """2. No request takes effect twice, and it never has two attempts in flight at once."""
    breaches = []
    runs_by_turn: dict[str, list[Attempt]] = defaultdict(list)
    for name, attempts in traffic.attempts.items():
        for before, after in zip(attempts, attempts[1:], strict=False):
            if after.started_at < before.ended_at - SLACK:
                breaches.append(Breach(2, name, "two attempts in flight at once", [before.line, after.line]))
        request = traffic.requests.get(name)
        if request is None:
            continue
        runs_by_turn[request["want"]] += [attempt for attempt in attempts if attempt.ran_at]
        request_class = traffic.settings["groups"][request["group"]]
        if request_class["effect"] == "replayable":
            continue
        answer = next(iter(traffic.answers.get(name, ())), None)
        for index, attempt in enumerate(attempts):
            if attempt.line["reads"] or attempt.outcome in PROVEN_NOT_RUN:
                continue
            later = [other for other in attempts[index + 1 :] if other.started_at > attempt.started_at]
            rejected = answer is not None and answer["how"] == "pushed back"
            if request_class["effect"] == "non-replayable":
                if later:
                    breaches.append(
                        Breach(
                            2,
                            name,
                            "non-idempotent: sent again though it may have run",
                            [attempt.line, later[0].line],
                        )
                    )
                if rejected:
                    breaches.append(
                        Breach(
                            2,
                            name,
                            "non-idempotent: rejected though it may have run",
                            [attempt.line, answer],
                        )
                    )
                continue
            for other in later:
                if not other.line["reads"] and not _key_is_known(traffic, request_class, attempt, other):
                    breaches.append(
                        Breach(
                            2,
                            name,
                            "with idempotency key: sent where, or when, the key is unknown",
                            [attempt.line, other.line],
                        )
                    )
            if rejected and request_class["keyed_within"] != "all":
                breaches.append(
                    Breach(
                        2,
                        name,
                        "with idempotency key: rejected though it may have run",
                        [attempt.line, answer],
                    )
                )
    for turn, runs in runs_by_turn.items():
        request_class = (
            traffic.settings["groups"][traffic.turns[turn]["group"]]
            if turn in traffic.turns
            else {"effect": ""}
        )
        if request_class["effect"] == "non-replayable" and len(runs) > 1:
            breaches.append(Breach(2, turn, f"ran {len(runs)} times", [attempt.line for attempt in runs]))
    return breaches


def _key_is_known(traffic: Traffic, request_class: Line, first: Attempt, other: Attempt) -> bool:
    """Whether the second attempt's engine knows the first one's idempotency key."""
    one, two = traffic.engines[first.engine], traffic.engines[other.engine]
    within = request_class["keyed_within"]
    same = within == "all" or one["zone"] == two["zone"] and (within == "zone" or one["cell"] == two["cell"])
    return same and other.started_at <= first.started_at + request_class["keyed_for"] + SLACK


def _check_drains(traffic: Traffic) -> list[Breach]:
    """3. A draining or removed engine gets no new attempts after the grace period."""
    breaches = []
    for name, attempts in traffic.attempts.items():
        for attempt in attempts:
            reports = traffic.readiness_reports.get((attempt.router, attempt.engine), [])
            known = bisect_right(reports, attempt.started_at, key=lambda report: report[0])
            # Since when the engine has not been ready, as far as this router knew when the attempt started.
            since = None
            for at, readiness in reports[:known]:
                since = None if readiness == "ready" else since or at
            if since is not None and attempt.started_at - since > traffic.settings["drain_grace"] + SLACK:
                line = {"told": since, "router": attempt.router, "engine": attempt.engine}
                breaches.append(
                    Breach(
                        3,
                        name,
                        f"sent {attempt.started_at - since} us after the router was told",
                        [line, attempt.line],
                    )
                )
    return breaches


def _check_slow_start(traffic: Traffic) -> list[Breach]:
    """4. In no time window do all routers together send a cold engine more than the allowed multiple of what
    it can do."""
    settings, breaches = traffic.settings, []
    window, warm_after = settings["overload_for"], settings["warm_within"]
    for name, starts in traffic.engine_starts.items():
        arrivals = sorted(
            (
                (attempt.started_at, attempt)
                for attempts in traffic.attempts.values()
                for attempt in attempts
                if attempt.engine == name
            ),
            key=lambda pair: (pair[0], pair[1].id),
        )
        for start in starts:
            cold = [
                pair for pair in arrivals if start["cold"] and start["t"] <= pair[0] < start["t"] + warm_after
            ]
            if not cold:
                continue
            mean_work = sum(attempt.line["work"] for _, attempt in cold) / len(cold)
            for index, (at, _) in enumerate(cold):
                inside = [attempt for arrived_at, attempt in cold[: index + 1] if arrived_at > at - window]
                middle = max(at - window / 2 - start["t"], 0) / warm_after
                bound = (
                    settings["tip_multiple"]
                    * (settings["cold_share"] + (1 - settings["cold_share"]) * middle)
                    * window
                )
                work = sum(attempt.line["work"] for attempt in inside)
                if work > bound + 3 * mean_work:
                    shown = [start, *(attempt.line for attempt in inside)]
                    reason = f"{work} us of work in a window, {round(bound)} allowed"
                    breaches.append(Breach(4, name, reason, shown))
                    break
    breaches += [
        Breach(4, line["name"], "a cold engine failed under overload", [line]) for line in traffic.overloads
    ]
    return breaches


def _check_held_states(traffic: Traffic) -> list[Breach]:
    """5. A held state is fetched or released in time while its request has no attempt in flight."""
    request_of = {attempt.id: name for name, attempts in traffic.attempts.items() for attempt in attempts}
    started_at = {
        attempt.id: attempt.started_at for attempts in traffic.attempts.values() for attempt in attempts
    }
    breaches = []
    for attempt_id, engine, since, until, reason in traffic.held_states:
        name = request_of.get(attempt_id, "")
        router = _router(attempt_id)
        if _any_between(traffic.killed_routers[router], started_at.get(attempt_id, since), until):
            # What a killed router leaves, prefills still in the queue included, the engine frees itself.
            continue
        busy = [
            (attempt.started_at, attempt.ended_at) for attempt in traffic.attempts.get(name, ())
        ] + traffic.silences[engine]
        longest = _longest_gap(since, until, busy)
        if longest > traffic.settings["let_go_within"] + SLACK:
            line = {"held": since, "until": until, "why": reason, "engine": engine, "id": attempt_id}
            breaches.append(Breach(5, name, f"held for {longest} us with no attempt in flight", [line]))
    return breaches


def _longest_gap(since: int, until: int, busy: list[tuple[int, int]]) -> int:
    """The longest time between `since` and `until` that no interval of `busy` covers."""
    longest, at = 0, since
    for start, end in sorted(busy):
        if start > at:
            longest = max(longest, min(start, until) - at)
        at = max(at, end)
        if at >= until:
            return longest
    return max(longest, until - at)


def weighted_goodput(traffic: Traffic) -> float:
    """The weight of the turns answered within their TTFT target, as a share of the weight of all turns.

    A retry counts as part of its turn. A late answer earns the late share of its request class.
    """
    total = earned = 0.0
    requests_by_turn: dict[str, list[str]] = defaultdict(list)
    for name, request in traffic.requests.items():
        requests_by_turn[request["want"]].append(name)
    for turn, line in traffic.turns.items():
        total += line["importance"]
        for name in requests_by_turn[turn]:
            request, answer = traffic.requests[name], next(iter(traffic.answers.get(name, ())), None)
            if answer and answer["how"] == "done":
                late = request["t"] + answer["first"] - line["t"] > line["target"]
                earned += line["importance"] * (line["late_share"] if late else 1.0)
                break
    return earned / total if total else 0.0


def summarize(directory: Path) -> dict[str, Any]:
    """The figures of a run, with its breaches counted by rule."""
    traffic = read_records(directory)
    breaches = find_breaches(traffic)
    outcomes: Counter[str] = Counter()
    for name, request in traffic.requests.items():
        answers = traffic.answers.get(name, [])
        outcome = answers[0]["how"] if len(answers) == 1 else "unanswered"
        if outcome not in (*FINAL, "left", "not taken"):
            outcome = excuse(traffic, request, answers[0]) if len(answers) == 1 else outcome
        outcomes[outcome or "unanswered"] += 1
    times_to_first_token = sorted(
        answers[0]["first"]
        for answers in traffic.answers.values()
        if answers[0]["first"] and answers[0]["how"] == "done"
    )
    return {
        "reqs": len(traffic.requests) - outcomes["not taken"],
        "done": outcomes["done"],
        "pushed_back": outcomes["pushed back"],
        "aborted": outcomes["aborted"],
        "left": outcomes["left"],
        "router_killed": outcomes["router killed"],
        "not_taken": outcomes["not taken"],
        "unanswered": outcomes["unanswered"],
        "forwards": sum(map(len, traffic.attempts.values())),
        "first_p50_ms": times_to_first_token[len(times_to_first_token) // 2] / 1000
        if times_to_first_token
        else None,
        "first_p99_ms": times_to_first_token[len(times_to_first_token) * 99 // 100] / 1000
        if times_to_first_token
        else None,
        "service": round(weighted_goodput(traffic), 4),
        "breaches": dict(sorted(Counter(str(breach.rule) for breach in breaches).items())),
    }
