"""The listing in use, what is offered in its place, and the way back. Takes a file whole or not at all."""

from dataclasses import dataclass
from typing import Any

from lifthead.deployment import script
from lifthead.deployment.fleet import Fleet
from lifthead.members.listing import Listing, change, listing
from lifthead.members.store import Store


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of an offered file."""

    taken: bool
    why: str  # "" if it was taken
    digest: str
    generation: int
    change: dict[str, Any]


class Roster:
    """Starts from the last good generation, so that a restart does not begin with nothing."""

    def __init__(self, fleet: Fleet, store: Store) -> None:
        self._fleet, self._store = fleet, store
        self.generation, found = store.latest()
        self.now = found or listing({})
        self.held: Listing | None = None
        self.held_why = ""
        self.rejected = ""  # why the latest file was not taken, "" if it was

    def offer(self, text: str, name: str, confirmed: str = "") -> Outcome:
        """A file's text. A faulty one leaves all as it was; one that takes too much away waits until it is
        offered with its digest as `confirmed`, or `confirm` is called."""
        try:
            then = listing(script.read_engines(text, name))
        except script.ScriptError as problem:
            self.rejected = str(problem)
            return Outcome(False, self.rejected, "", self.generation, {})
        if then.digest == self.now.digest:
            self.held, self.held_why, self.rejected = None, "", ""
            return Outcome(True, "", then.digest, self.generation, {})
        found = change(self.now, then, self._fleet)
        if found.refused:
            self.rejected = f"{name}: {found.refused}"
            return Outcome(False, self.rejected, then.digest, self.generation, found.plain())
        if found.held and confirmed != then.digest:
            self.held, self.held_why = then, found.held
            self.rejected = f"{name}: {found.held}: confirm digest {then.digest}"
            return Outcome(False, self.rejected, then.digest, self.generation, found.plain())
        return self._take(then, found.plain())

    def confirm(self, digest: str) -> Outcome:
        """Takes what is held back, if it is the one that was meant."""
        if self.held is None or self.held.digest != digest:
            held = self.held.digest if self.held else "none"
            return Outcome(
                False, f"digest {digest!r} is not held back, expected {held}", digest, self.generation, {}
            )
        return self._take(self.held, change(self.now, self.held, self._fleet).plain())

    def rollback(self, to: int = 0) -> Outcome:
        """Back to a generation, else to the one before this; it becomes the newest one."""
        number = to or max((each for each in self._store.numbers() if each < self.generation), default=0)
        then = self._store.read(number) if number else None
        if then is None:
            known = self._store.numbers()
            return Outcome(False, f"no generation {number}, expected one of {known}", "", self.generation, {})
        return self._take(then, change(self.now, then, self._fleet).plain())

    def _take(self, then: Listing, plain: dict[str, Any]) -> Outcome:
        self.generation = self._store.put(then)  # on the disk first: what is told survives a restart
        self.now, self.held, self.held_why, self.rejected = then, None, "", ""
        return Outcome(True, "", then.digest, self.generation, plain)

    def state(self) -> dict[str, Any]:
        return {
            "generation": self.generation,
            "digest": self.now.digest,
            "engines": len(self.now.engines),
            "held": self.held.digest if self.held else "",
            "held_why": self.held_why,
            "rejected": self.rejected,
        }
