"""The listing in use, what is offered in its place, and the way back. Takes a file whole or not at all."""

from dataclasses import dataclass
from typing import Any

from lifthead.deployment import script
from lifthead.deployment.fleet import Fleet
from lifthead.members.listing import Listing, compare_listings, make_listing
from lifthead.members.store import GenerationStore


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of an offered file."""

    taken: bool
    why: str  # "" if it was taken
    digest: str
    generation: int
    change: dict[str, Any]


class EngineRegistry:
    """Starts from the last good generation, so that a restart does not begin with nothing."""

    def __init__(self, fleet: Fleet, store: GenerationStore) -> None:
        self._fleet, self._store = fleet, store
        self.generation, found = store.latest()
        self.current = found or make_listing({})
        self.pending: Listing | None = None
        self.pending_reason = ""
        self.rejection = ""  # why the latest file was not taken, "" if it was

    def offer(self, text: str, name: str, confirmed: str = "") -> Outcome:
        """A file's text. A faulty one leaves all as it was; one that takes too much away waits until it is
        offered with its digest as `confirmed`, or `confirm` is called."""
        try:
            then = make_listing(script.engines(text, name))
        except script.ScriptError as problem:
            self.rejection = str(problem)
            return Outcome(False, self.rejection, "", self.generation, {})
        if then.digest == self.current.digest:
            self.pending, self.pending_reason, self.rejection = None, "", ""
            return Outcome(True, "", then.digest, self.generation, {})
        found = compare_listings(self.current, then, self._fleet)
        if found.refusal:
            self.rejection = f"{name}: {found.refusal}"
            return Outcome(False, self.rejection, then.digest, self.generation, found.as_dict())
        if found.confirmation_reason and confirmed != then.digest:
            self.pending, self.pending_reason = then, found.confirmation_reason
            self.rejection = f"{name}: {found.confirmation_reason}: confirm digest {then.digest}"
            return Outcome(False, self.rejection, then.digest, self.generation, found.as_dict())
        return self._accept(then, found.as_dict())

    def confirm(self, digest: str) -> Outcome:
        """Takes what is held back, if it is the one that was meant."""
        if self.pending is None or self.pending.digest != digest:
            held = self.pending.digest if self.pending else "none"
            return Outcome(
                False, f"digest {digest!r} is not held back, expected {held}", digest, self.generation, {}
            )
        return self._accept(self.pending, compare_listings(self.current, self.pending, self._fleet).as_dict())

    def rollback(self, to: int = 0) -> Outcome:
        """Back to a generation, else to the one before this; it becomes the newest one."""
        number = to or max((each for each in self._store.numbers() if each < self.generation), default=0)
        then = self._store.read(number) if number else None
        if then is None:
            known = self._store.numbers()
            return Outcome(False, f"no generation {number}, expected one of {known}", "", self.generation, {})
        return self._accept(then, compare_listings(self.current, then, self._fleet).as_dict())

    def _accept(self, then: Listing, plain: dict[str, Any]) -> Outcome:
        self.generation = self._store.save(then)  # on the disk first: what is told survives a restart
        self.current, self.pending, self.pending_reason, self.rejection = then, None, "", ""
        return Outcome(True, "", then.digest, self.generation, plain)

    def state(self) -> dict[str, Any]:
        return {
            "generation": self.generation,
            "digest": self.current.digest,
            "engines": len(self.current.engines),
            "held": self.pending.digest if self.pending else "",
            "held_why": self.pending_reason,
            "rejected": self.rejection,
        }
