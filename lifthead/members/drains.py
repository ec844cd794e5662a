"""Engines that an operator drains: which, until when, and whether that leaves enough. Does no I/O."""

from dataclasses import dataclass, field

import msgspec
import parsy

from lifthead.engines.codec import ListedEngine
from lifthead.members.view import View

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


def chosen(selector: str, engines: list[ListedEngine]) -> list[str]:
    """Names of the engines that `zone:a`, `cell:3`, `kind:writer` or names, with commas between, choose."""
    try:
        wanted = _selector.parse(selector.strip())
    except parsy.ParseError as problem:
        said = f"{selector!r}: expected names, zone:NAME, cell:N or kind:NAME with commas between"
        raise SelectorError(f"{said}, at character {problem.index}") from None
    found = []
    for engine in engines:
        marks = {
            ("name", engine.name),
            ("zone", engine.zone),
            ("cell", str(engine.cell)),
            ("kind", engine.kind),
        }
        if marks & set(wanted):
            found.append(engine.name)
    if not found:
        raise SelectorError(f"{selector!r} chooses no engine of {len(engines)}")
    return sorted(found)


@dataclass(slots=True)
class Drains:
    """What an operator has asked to drain, by engine: until when its streams may run (wall clock, 0: to
    their end)."""

    roles: dict[str, str]  # engine kind -> role
    asked: dict[str, int] = field(default_factory=dict)

    def refusal(self, names: list[str], view: View) -> str:
        """Why these may not be drained without insisting; "" if they may."""
        ready = [each.told for each in view.members.values() if each.told.readiness == "ready"]
        writers = {engine.name for engine in ready if self.roles.get(engine.kind, "both") != "read"}
        left = writers - set(names)
        if writers and len(left) < LEAST_WRITERS:
            return f"it would leave {len(left)} of {len(writers)} ready writers"
        return ""

    def drain(self, names: list[str], by: int, view: View, now: int) -> None:
        """These drain from here on, whatever the other sources say."""
        self.asked |= dict.fromkeys(names, by)
        self.tell(view, now)

    def undo(self, names: list[str], view: View) -> list[str]:
        """What the other sources say of these holds again; the ones that were being drained."""
        held = [name for name in names if name in self.asked]
        for name in held:
            del self.asked[name]
        view.withdraw(SOURCE, held)
        return held

    def tell(self, view: View, now: int) -> None:
        """Has the view know all that is asked: after a drain, and after a restart."""
        engines = []
        for name, by in sorted(self.asked.items()):
            member = view.members.get(name)
            if member:
                engines.append(msgspec.structs.replace(member.told, readiness="draining", drains_by=by))
        if engines:
            view.tell(SOURCE, engines, False, now)

    def progress(self, out: dict[str, int], now: int) -> list[dict]:
        """Each drained engine, the forwards that are still out there, and the time that is left."""
        return [
            {
                "engine": name,
                "out": out.get(name, 0),
                "done": not out.get(name, 0),
                "left_s": max((by - now) / 1e6, 0.0) if by else None,
            }
            for name, by in sorted(self.asked.items())
        ]
