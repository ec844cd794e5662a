"""Engines that an operator drains: which, until when, and whether that leaves enough. Does no I/O."""

from dataclasses import dataclass, field

import msgspec
import parsy

from lifthead.engines.codec import ListedEngine
from lifthead.members.view import FleetView

SOURCE = "operator"
LEAST_WRITERS = 1  # ready writers that must be left, unless the operator insists

_word = parsy.regex(r"[A-Za-z0-9][A-Za-z0-9._-]*").desc("a name")
_place = parsy.seq(
    parsy.string_from("zone", "cell", "kind").desc("zone, cell or kind") << parsy.string(":"), _word
)
_one = _place.map(tuple) | _word.map(lambda name: ("name", name))
_selector = _one.sep_by(parsy.string(",") << parsy.whitespace.optional(), min=1)


class SelectorError(Exception):
    """A selector that can't be read, or that chooses no engine."""


def select_engines(selector: str, engines: list[ListedEngine]) -> list[str]:
    """Names of the engines that `zone:a`, `cell:3`, `kind:writer` or names, with commas between, choose."""
    marks = {e.name: {("zone", e.zone), ("cell", str(e.cell)), ("kind", e.kind)} for e in engines}
    return select_by_labels(selector, marks)


def select_by_labels(selector: str, marks: dict[str, set[tuple[str, str]]]) -> list[str]:
    """The same, of engines whose zone, cell and kind are told by name."""
    try:
        wanted = _selector.parse(selector.strip())
    except parsy.ParseError as problem:
        said = f"{selector!r}: expected names, zone:NAME, cell:N or kind:NAME with commas between"
        raise SelectorError(f"{said}, at character {problem.index}") from None
    found = [name for name, own in marks.items() if (own | {("name", name)}) & set(wanted)]
    if not found:
        raise SelectorError(f"{selector!r} chooses no engine of {len(marks)}")
    return sorted(found)


class OperatorState(msgspec.Struct):
    """What an operator has said, by engine; kept over a restart."""

    asked: dict[str, int] = {}  # drained: until when its streams may run (wall clock, 0: to their end)
    started: dict[str, int] = {}  # brought back by a roll: since when (wall clock), for it is cold


@dataclass(slots=True)
class Drains:
    """The operator's state as a source of the view."""

    roles: dict[str, str]  # engine kind -> role
    state: OperatorState = field(default_factory=OperatorState)

    @property
    def deadlines(self) -> dict[str, int]:
        return self.state.asked

    def refusal(self, names: list[str], view: FleetView) -> str:
        """Why these may not be drained without insisting; "" if they may."""
        ready = [each.reported for each in view.members.values() if each.reported.readiness == "ready"]
        writers = {engine.name for engine in ready if self.roles.get(engine.kind, "both") != "read"}
        left = writers - set(names)
        if writers and len(left) < LEAST_WRITERS:
            return f"it would leave {len(left)} of {len(writers)} ready writers"
        return ""

    def drain(self, names: list[str], by: int, view: FleetView, now: int) -> None:
        """These drain from here on, whatever the other sources say."""
        for name in names:
            self.deadlines[name] = by
            self.state.started.pop(name, None)
        self.publish(view, now)

    def undo(self, names: list[str], view: FleetView, now: int, started_at: int = 0) -> list[str]:
        """What the other sources say of these holds again, but that they were started then, if that is told;
        the ones that were being drained."""
        held = [name for name in names if name in self.deadlines]
        for name in held:
            del self.deadlines[name]
            if started_at:
                self.state.started[name] = started_at
        view.withdraw(SOURCE, held)
        self.publish(view, now)
        return held

    def restore(self, state: OperatorState, view: FleetView, now: int) -> None:
        """What the operator said last could not be kept: what was said before holds again."""
        view.withdraw(SOURCE, sorted({*self.deadlines, *self.state.started}))
        self.state = state
        self.publish(view, now)

    def publish(self, view: FleetView, now: int) -> None:
        """Has the view know all that is asked: after a drain, and after a restart."""
        engines = []
        for name in sorted({*self.deadlines, *self.state.started}):
            member, by = view.members.get(name), self.deadlines.get(name)
            if member and by is not None:
                engines.append(msgspec.structs.replace(member.reported, readiness="draining", drains_by=by))
            elif member and member.reported.readiness != "gone":
                at = max(self.state.started[name], member.reported.started_at)
                engines.append(
                    msgspec.structs.replace(member.reported, readiness="ready", drains_by=0, started_at=at)
                )
        if engines:
            view.update(SOURCE, engines, False, now)

    def progress(self, out: dict[str, int], now: int) -> list[dict]:
        """Each drained engine, the forwards that are still out there, and the time that is left."""
        return [
            {
                "engine": name,
                "out": out.get(name, 0),
                "done": not out.get(name, 0),
                "left_s": max((by - now) / 1e6, 0.0) if by else None,
            }
            for name, by in sorted(self.deadlines.items())
        ]
