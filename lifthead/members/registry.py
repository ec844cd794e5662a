"""The engine list in use, the one that waits for confirmation, and the rollback to earlier ones. A file is
applied as a whole or not at all."""

from dataclasses import dataclass
from typing import Any

from lifthead.deployment import script
from lifthead.deployment.fleet import Fleet
from lifthead.members.listing import Listing, compare_listings, make_listing
from lifthead.members.store import GenerationStore


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of offering a file, confirming one, or rolling back."""

    taken: bool
    why: str  # why it was not applied, "" if it was
    digest: str
    generation: int
    change: dict[str, Any]


class EngineRegistry:
    """Starts from the last stored generation, so that a restarted router knows its engines at once."""

    def __init__(self, fleet: Fleet, store: GenerationStore) -> None:
        self._fleet, self._store = fleet, store
        self.generation, latest = store.latest()
        self.current = latest or make_listing({})
        self.pending: Listing | None = None  # waits for an operator's confirmation
        self.pending_reason = ""
        self.rejection = ""  # why the latest file was not applied, "" if it was

    def offer(self, text: str, name: str, confirmed: str = "") -> Outcome:
        """Applies a file's text. A faulty file changes nothing. One that removes too many engines waits until
        it is offered again with its digest as `confirmed`, or until `confirm` is called."""
        try:
            proposed = make_listing(script.read_engines(text, name))
        except script.ScriptError as problem:
            self.rejection = str(problem)
            return Outcome(False, self.rejection, "", self.generation, {})
        if proposed.digest == self.current.digest:
            self.pending, self.pending_reason, self.rejection = None, "", ""
            return Outcome(True, "", proposed.digest, self.generation, {})
        change = compare_listings(self.current, proposed, self._fleet)
        if change.refusal:
            self.rejection = f"{name}: {change.refusal}"
            return Outcome(False, self.rejection, proposed.digest, self.generation, change.as_dict())
        if change.confirmation_reason and confirmed != proposed.digest:
            self.pending, self.pending_reason = proposed, change.confirmation_reason
            self.rejection = f"{name}: {change.confirmation_reason}: confirm digest {proposed.digest}"
            return Outcome(False, self.rejection, proposed.digest, self.generation, change.as_dict())
        return self._accept(proposed, change.as_dict())

    def confirm(self, digest: str) -> Outcome:
        """Applies the pending listing if it has this digest."""
        if self.pending is None or self.pending.digest != digest:
            pending = self.pending.digest if self.pending else "none"
            return Outcome(
                False,
                f"digest {digest!r} does not wait for confirmation, expected {pending}",
                digest,
                self.generation,
                {},
            )
        return self._accept(self.pending, compare_listings(self.current, self.pending, self._fleet).as_dict())

    def rollback(self, to: int = 0) -> Outcome:
        """Applies an earlier generation again, by default the one before the current one. It is stored as the
        newest generation."""
        number = to or max((each for each in self._store.numbers() if each < self.generation), default=0)
        earlier = self._store.read(number) if number else None
        if earlier is None:
            known = self._store.numbers()
            return Outcome(False, f"no generation {number}, expected one of {known}", "", self.generation, {})
        return self._accept(earlier, compare_listings(self.current, earlier, self._fleet).as_dict())

    def _accept(self, accepted: Listing, change: dict[str, Any]) -> Outcome:
        self.generation = self._store.save(accepted)  # stored before it is reported, to survive a restart
        self.current, self.pending, self.pending_reason, self.rejection = accepted, None, "", ""
        return Outcome(True, "", accepted.digest, self.generation, change)

    def state(self) -> dict[str, Any]:
        return {
            "generation": self.generation,
            "digest": self.current.digest,
            "engines": len(self.current.engines),
            "held": self.pending.digest if self.pending else "",
            "held_why": self.pending_reason,
            "rejected": self.rejection,
        }
