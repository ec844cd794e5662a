"""Engines that an operator drains: which ones, until when, and whether enough engines stay. Does no I/O."""

from dataclasses import dataclass, field

import msgspec
import parsy

from lifthead.engines.codec import ListedEngine
from lifthead.members.view import FleetView

SOURCE = "operator"
MIN_READY_DECODE_ENGINES = 1  # ready engines that can decode and must stay, unless the operator forces it

_name = parsy.regex(r"[A-Za-z0-9][A-Za-z0-9._-]*").desc("a name")
_label = parsy.seq(
    parsy.string_from("zone", "cell", "kind").desc("zone, cell or kind") << parsy.string(":"), _name
)
_term = _label.map(tuple) | _name.map(lambda name: ("name", name))
_selector = _term.sep_by(parsy.string(",") << parsy.whitespace.optional(), min=1)


class SelectorError(Exception):
    """A selector that can't be parsed, or that selects no engine."""


def select_engines(selector: str, engines: list[ListedEngine]) -> list[str]:
    """Names of the engines that a selector matches: a comma-separated list of `zone:a`, `cell:3`,
    `kind:writer` or engine names."""
    labels = {e.name: {("zone", e.zone), ("cell", str(e.cell)), ("kind", e.kind)} for e in engines}
    return select_by_labels(selector, labels)


def select_by_labels(selector: str, labels: dict[str, set[tuple[str, str]]]) -> list[str]:
    """The same for engines whose zone, cell and kind are given as labels by name."""
    try:
        terms = _selector.parse(selector.strip())
    except parsy.ParseError as problem:
        message = f"{selector!r}: expected names, zone:NAME, cell:N or kind:NAME with commas between"
        raise SelectorError(f"{message}, at character {problem.index}") from None
    selected = [name for name, own in labels.items() if (own | {("name", name)}) & set(terms)]
    if not selected:
        raise SelectorError(f"{selector!r} chooses no engine of {len(labels)}")
    return sorted(selected)


class OperatorState(msgspec.Struct):
    """An operator's drains and the engines that a roll has restarted; stored so that it survives a
    restart."""

    asked: dict[str, int] = {}  # drained engine -> when its streams end (wall clock, 0: no time limit)
    started: dict[str, int] = {}  # engine brought back by a roll -> when it started (wall clock): it is cold


@dataclass(slots=True)
class Drains:
    """The operator's drains as one source of the fleet view."""

    roles: dict[str, str]  # engine kind -> role
    state: OperatorState = field(default_factory=OperatorState)

    @property
    def deadlines(self) -> dict[str, int]:
        return self.state.asked

    def refusal(self, names: list[str], view: FleetView) -> str:
        """Why these engines may not be drained without force; "" if they may."""
        ready = [each.reported for each in view.members.values() if each.reported.readiness == "ready"]
        can_decode = {engine.name for engine in ready if self.roles.get(engine.kind, "both") != "read"}
        left = can_decode - set(names)
        if can_decode and len(left) < MIN_READY_DECODE_ENGINES:
            return f"it would leave {len(left)} of {len(can_decode)} ready decode engines"
        return ""

    def drain(self, names: list[str], deadline: int, view: FleetView, now: int) -> None:
        """Drains these engines, whatever the other sources report."""
        for name in names:
            self.deadlines[name] = deadline
            self.state.started.pop(name, None)
        self.publish(view, now)

    def undo(self, names: list[str], view: FleetView, now: int, started_at: int = 0) -> list[str]:
        """Ends the drain of these engines: the reports of the other sources hold again, with `started_at` as
        their start time if it is given. Returns the engines that were drained."""
        drained = [name for name in names if name in self.deadlines]
        for name in drained:
            del self.deadlines[name]
            if started_at:
                self.state.started[name] = started_at
        view.withdraw(SOURCE, drained)
        self.publish(view, now)
        return drained

    def restore(self, state: OperatorState, view: FleetView, now: int) -> None:
        """Returns to an earlier state, because the latest one could not be stored."""
        view.withdraw(SOURCE, sorted({*self.deadlines, *self.state.started}))
        self.state = state
        self.publish(view, now)

    def publish(self, view: FleetView, now: int) -> None:
        """Reports the whole state to the view: after a change, and after a restart."""
        engines = []
        for name in sorted({*self.deadlines, *self.state.started}):
            member, deadline = view.members.get(name), self.deadlines.get(name)
            if member and deadline is not None:
                engines.append(
                    msgspec.structs.replace(member.reported, readiness="draining", drains_by=deadline)
                )
            elif member and member.reported.readiness != "gone":
                started_at = max(self.state.started[name], member.reported.started_at)
                engines.append(
                    msgspec.structs.replace(
                        member.reported, readiness="ready", drains_by=0, started_at=started_at
                    )
                )
        if engines:
            view.update(SOURCE, engines, False, now)

    def progress(self, in_flight: dict[str, int], now: int) -> list[dict]:
        """Each drained engine, its attempts in flight, and the time that its streams have left."""
        return [
            {
                "engine": name,
                "out": in_flight.get(name, 0),
                "done": not in_flight.get(name, 0),
                "left_s": max((deadline - now) / 1e6, 0.0) if deadline else None,
            }
            for name, deadline in sorted(self.deadlines.items())
        ]
