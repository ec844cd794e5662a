"""The five rules, checked from traffic records alone. Imports nothing of the router's.

Times come from many processes on one machine with one monotonic clock; each may be late in noticing what its
sockets show. `SLACK` is what such lateness may excuse, and nothing else is excused but what the records show:
a router or an engine that was killed, an engine that was silent.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lifthead.standins.record import lines

SLACK = 150_000  # microseconds that a loaded process may be late in noticing
ANSWER_GRACE = 150_000  # ... and a client in reading its answer
FINAL = ("done", "pushed back", "aborted")
PROVEN_NOT_RUN = ("refused", "no state")  # ends of a forward that told the router so
FOREVER = 1 << 62
Line = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Breach:
    rule: int
    request: str
    reason: str
    lines: list[Line]


def _router(forward_id: str) -> str:
    """The router of `NAME-LIFE-REQ.FORWARD`."""
    return forward_id.rsplit("-", 2)[0]


@dataclass(slots=True)
class Attempt:
    """One forward as its engine saw it."""

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
    """What the records of one run say, by req."""

    settings: Line = field(default_factory=dict)
    turns: dict[str, Line] = field(default_factory=dict)
    requests: dict[str, Line] = field(default_factory=dict)
    answers: dict[str, list[Line]] = field(default_factory=lambda: defaultdict(list))
    attempts: dict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    held_states: list[tuple[str, str, int, int, str]] = field(
        default_factory=list
    )  # forward, engine, from, to, why
    engines: dict[str, Line] = field(default_factory=dict)
    engine_starts: dict[str, list[Line]] = field(default_factory=lambda: defaultdict(list))
    readiness_reports: dict[tuple[str, str], list[tuple[int, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    killed_routers: dict[str, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )  # routers, by name and address
    stopped_routers: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    silences: dict[str, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))
    overloads: list[Line] = field(default_factory=list)
    end: int = 0


def read_records(directory: Path) -> Traffic:
    """Gathers the records of a run's directory."""
    traffic = Traffic()
    for line in lines(directory / "facts.jsonl"):
        traffic.settings = line
    ends: dict[str, list[int]] = defaultdict(list)
    for line in lines(directory / "stage.jsonl"):
        traffic.end = max(traffic.end, line["t"])
        if line["ev"] == "engine_end":
            ends[line["name"]].append(line["t"])
        elif line["ev"] in ("router_killed", "router_stop"):
            into = traffic.killed_routers if line["ev"] == "router_killed" else traffic.stopped_routers
            into[line["name"]].append(line["t"])
            into[line["address"]].append(line["t"])
    for line in lines(directory / "clients.jsonl"):
        into = {"want": traffic.turns, "ask": traffic.requests}.get(line["ev"])
        if into is not None:
            into[line["id"]] = line
        else:
            traffic.answers[line["id"]].append(line)
    for line in lines(directory / "list.jsonl"):
        if line["ev"] == "told":
            traffic.readiness_reports[line["router"], line["engine"]].append((line["t"], line["readiness"]))
    for path in sorted(directory.glob("engine-*.jsonl")):
        _engine(traffic, path.stem.removeprefix("engine-"), lines(path), ends)
    for found in traffic.attempts.values():
        found.sort(key=lambda forward: forward.started_at)
    return traffic


def _engine(traffic: Traffic, name: str, found: list[Line], ends: dict[str, list[int]]) -> None:
    out: dict[str, Attempt] = {}
    held: dict[str, int] = {}

    def down(at: int) -> None:
        for forward in out.values():
            forward.ended_at, forward.outcome = at, "engine ended"
        traffic.held_states.extend((each, name, since, at, "engine ended") for each, since in held.items())
        out.clear()
        held.clear()

    for line in found:
        what, at = line["ev"], line["t"]
        if what == "start":
            down(next((end for end in reversed(ends[name]) if end <= at), at))
            traffic.engines[name] = line
            traffic.engine_starts[name].append(line)
        elif what == "forward":
            forward = out[line["id"]] = Attempt(line["id"], name, line, at)
            traffic.attempts[line["client"]].append(forward)
        elif what == "ran" and line["id"] in out:
            out[line["id"]].ran_at = at
        elif what == "end" and line["id"] in out:
            forward = out.pop(line["id"])
            forward.ended_at, forward.outcome = line.get("closed") or at, line["how"]
        elif what == "held":
            held[line["id"]] = at
        elif what in ("taken", "let_go"):
            traffic.held_states.append((line["id"], name, held.pop(line["id"]), at, line["why"]))
        elif what == "fault" and line["what"] == "silent":
            traffic.silences[name].append((at, at + line["lasts"]))
        elif what == "fell":
            traffic.overloads.append(line)
    down(max([traffic.end, *(line["t"] for line in found[-1:])]))


def find_breaches(traffic: Traffic) -> list[Breach]:
    """All breaches of the five rules."""
    found: list[Breach] = []
    for check in (_answers, _effects, _drains, _cold, _pinned):
        found.extend(check(traffic))
    return found


def _between(times: list[int], start: int, end: int) -> bool:
    return any(start - SLACK <= at <= end + SLACK for at in times)


def excuse(traffic: Traffic, ask: Line, answer: Line) -> str:
    """Why a try without a final answer breaks no rule: its router was killed, or stopped before taking it."""
    if _between(traffic.killed_routers[ask["router"]], ask["t"], answer["t"]):
        return "router killed"
    untaken = answer["status"] == 0 and not traffic.attempts.get(ask["id"])
    if untaken and _between(traffic.stopped_routers[ask["router"]], ask["t"], answer["t"]):
        return "not taken"
    return ""


def _answers(traffic: Traffic) -> list[Breach]:
    """1. Each req taken gets one final answer in its budget; nothing is sent for it after."""
    found = []
    for name, ask in traffic.requests.items():
        answers = traffic.answers.get(name, [])
        if len(answers) != 1:
            found.append(Breach(1, name, f"{len(answers)} final answers", [ask, *answers]))
            continue
        answer = answers[0]
        if answer["how"] not in (*FINAL, "left", "not taken") and not excuse(traffic, ask, answer):
            found.append(Breach(1, name, f"no final answer: {answer['how']}", [ask, answer]))
        took = answer["first"] if answer["first"] and ask["streamed"] else answer["t"] - ask["t"]
        if answer["how"] in FINAL and took > ask["budget"] + ANSWER_GRACE:
            found.append(Breach(1, name, f"answered after {took} of {ask['budget']} us", [ask, answer]))
        for forward in traffic.attempts.get(name, ()):
            if forward.started_at > answer["t"] + SLACK:
                found.append(Breach(1, name, "sent for after its answer", [answer, forward.line]))
    return found


def _effects(traffic: Traffic) -> list[Breach]:
    """2. No effect twice, never two forwards out at once."""
    found = []
    ran: dict[str, list[Attempt]] = defaultdict(list)
    for name, forwards in traffic.attempts.items():
        for before, after in zip(forwards, forwards[1:], strict=False):
            if after.started_at < before.ended_at - SLACK:
                found.append(Breach(2, name, "two forwards out at once", [before.line, after.line]))
        ask = traffic.requests.get(name)
        if ask is None:
            continue
        ran[ask["want"]] += [forward for forward in forwards if forward.ran_at]
        group = traffic.settings["groups"][ask["group"]]
        if group["effect"] == "replayable":
            continue
        answer = next(iter(traffic.answers.get(name, ())), None)
        for place, forward in enumerate(forwards):
            if forward.line["reads"] or forward.outcome in PROVEN_NOT_RUN:
                continue
            later = [each for each in forwards[place + 1 :] if each.started_at > forward.started_at]
            pushed_back = answer is not None and answer["how"] == "pushed back"
            if group["effect"] == "non-replayable":
                if later:
                    found.append(
                        Breach(2, name, "sent again though it may have run", [forward.line, later[0].line])
                    )
                if pushed_back:
                    found.append(
                        Breach(2, name, "pushed back though it may have run", [forward.line, answer])
                    )
                continue
            for each in later:
                if not each.line["reads"] and not _same(traffic, group, forward, each):
                    found.append(
                        Breach(2, name, "keyed: sent outside its group or time", [forward.line, each.line])
                    )
            if pushed_back and group["keyed_within"] != "all":
                found.append(
                    Breach(2, name, "keyed: pushed back though it may have run", [forward.line, answer])
                )
    for want, runs in ran.items():
        group = (
            traffic.settings["groups"][traffic.turns[want]["group"]]
            if want in traffic.turns
            else {"effect": ""}
        )
        if group["effect"] == "non-replayable" and len(runs) > 1:
            found.append(Breach(2, want, f"ran {len(runs)} times", [forward.line for forward in runs]))
    return found


def _same(traffic: Traffic, group: Line, first: Attempt, other: Attempt) -> bool:
    one, two = traffic.engines[first.engine], traffic.engines[other.engine]
    within = group["keyed_within"]
    same = within == "all" or one["zone"] == two["zone"] and (within == "zone" or one["cell"] == two["cell"])
    return same and other.started_at <= first.started_at + group["keyed_for"] + SLACK


def _drains(traffic: Traffic) -> list[Breach]:
    """3. Nothing new to a draining or gone engine after the grace."""
    found = []
    for name, forwards in traffic.attempts.items():
        for forward in forwards:
            told = traffic.readiness_reports.get((forward.router, forward.engine), [])
            place = bisect_right(told, forward.started_at, key=lambda each: each[0])
            # Since when it has been other than ready, as this router was last told before the forward.
            since = None
            for at, readiness in told[:place]:
                since = None if readiness == "ready" else since or at
            if since is not None and forward.started_at - since > traffic.settings["drain_grace"] + SLACK:
                line = {"told": since, "router": forward.router, "engine": forward.engine}
                found.append(
                    Breach(3, name, f"sent {forward.started_at - since} us after the news", [line, forward.line])
                )
    return found


def _cold(traffic: Traffic) -> list[Breach]:
    """4. In no window does a cold engine get more than the multiple of what it can do, by all together."""
    facts, found = traffic.settings, []
    window, warm = facts["overload_for"], facts["warm_within"]
    for name, starts in traffic.engine_starts.items():
        arrived = sorted(
            (
                (forward.started_at, forward)
                for each in traffic.attempts.values()
                for forward in each
                if forward.engine == name
            ),
            key=lambda pair: (pair[0], pair[1].id),
        )
        for start in starts:
            cold = [pair for pair in arrived if start["cold"] and start["t"] <= pair[0] < start["t"] + warm]
            if not cold:
                continue
            mean = sum(forward.line["work"] for _, forward in cold) / len(cold)
            for place, (at, _) in enumerate(cold):
                inside = [forward for then, forward in cold[: place + 1] if then > at - window]
                middle = max(at - window / 2 - start["t"], 0) / warm
                bound = (
                    facts["tip_multiple"]
                    * (facts["cold_share"] + (1 - facts["cold_share"]) * middle)
                    * window
                )
                work = sum(forward.line["work"] for forward in inside)
                if work > bound + 3 * mean:
                    shown = [start, *(forward.line for forward in inside)]
                    why = f"{work} us of work in a window, {round(bound)} allowed"
                    found.append(Breach(4, name, why, shown))
                    break
    found += [Breach(4, line["name"], "a cold engine fell over", [line]) for line in traffic.overloads]
    return found


def _pinned(traffic: Traffic) -> list[Breach]:
    """5. What is held while no forward is out is taken or let go of in time."""
    by_forward = {forward.id: name for name, each in traffic.attempts.items() for forward in each}
    began = {forward.id: forward.started_at for each in traffic.attempts.values() for forward in each}
    found = []
    for forward_id, engine, since, until, why in traffic.held_states:
        name = by_forward.get(forward_id, "")
        router = _router(forward_id)
        if _between(traffic.killed_routers[router], began.get(forward_id, since), until):
            continue  # what a killed router left, also to be read, is freed by the engine itself
        busy = [
            (forward.started_at, forward.ended_at) for forward in traffic.attempts.get(name, ())
        ] + traffic.silences[engine]
        longest = _longest_gap(since, until, busy)
        if longest > traffic.settings["let_go_within"] + SLACK:
            line = {"held": since, "until": until, "why": why, "engine": engine, "id": forward_id}
            found.append(Breach(5, name, f"held for {longest} us with no forward out", [line]))
    return found


def _longest_gap(since: int, until: int, busy: list[tuple[int, int]]) -> int:
    longest, at = 0, since
    for start, end in sorted(busy):
        if start > at:
            longest = max(longest, min(start, until) - at)
        at = max(at, end)
        if at >= until:
            return longest
    return max(longest, until - at)


def weighted_goodput(traffic: Traffic) -> float:
    """Importance answered within its response target over the importance asked for, retries counted with
    their first try; a late answer earns its group's late share."""
    asked = earned = 0.0
    tries: dict[str, list[str]] = defaultdict(list)
    for name, ask in traffic.requests.items():
        tries[ask["want"]].append(name)
    for want, line in traffic.turns.items():
        asked += line["importance"]
        for name in tries[want]:
            ask, answer = traffic.requests[name], next(iter(traffic.answers.get(name, ())), None)
            if answer and answer["how"] == "done":
                late = ask["t"] + answer["first"] - line["t"] > line["target"]
                earned += line["importance"] * (line["late_share"] if late else 1.0)
                break
    return earned / asked if asked else 0.0


def summarize(directory: Path) -> dict[str, Any]:
    """A run in figures; breaches by rule."""
    traffic = read_records(directory)
    found = find_breaches(traffic)
    ends: Counter[str] = Counter()
    for name, ask in traffic.requests.items():
        answers = traffic.answers.get(name, [])
        how = answers[0]["how"] if len(answers) == 1 else "unanswered"
        if how not in (*FINAL, "left", "not taken"):
            how = excuse(traffic, ask, answers[0]) if len(answers) == 1 else how
        ends[how or "unanswered"] += 1
    firsts = sorted(
        each[0]["first"] for each in traffic.answers.values() if each[0]["first"] and each[0]["how"] == "done"
    )
    return {
        "reqs": len(traffic.requests) - ends["not taken"],
        "done": ends["done"],
        "pushed_back": ends["pushed back"],
        "aborted": ends["aborted"],
        "left": ends["left"],
        "router_killed": ends["router killed"],
        "not_taken": ends["not taken"],
        "unanswered": ends["unanswered"],
        "forwards": sum(map(len, traffic.attempts.values())),
        "first_p50_ms": firsts[len(firsts) // 2] / 1000 if firsts else None,
        "first_p99_ms": firsts[len(firsts) * 99 // 100] / 1000 if firsts else None,
        "service": round(weighted_goodput(traffic), 4),
        "breaches": dict(sorted(Counter(str(breach.rule) for breach in found).items())),
    }
