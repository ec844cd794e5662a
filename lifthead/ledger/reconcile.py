"""Exports of any routers beside the engines' own counts: what agrees, what differs, and which reqs explain
it.

Entries are known by their ids, so that exports may be put together in any order and any number of times.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from lifthead.ledger.entries import Correction, Entry, Usage


class ConflictError(Exception):
    """The same id stands for two different entries: one of the exports is not what a ledger wrote."""


@dataclass(slots=True)
class MergedEntries:
    """Entries of any exports, each once."""

    entries: dict[str, Usage | Correction] = field(default_factory=dict)

    def add(self, entries: list[Entry]) -> "MergedEntries":
        for entry in entries:
            if not isinstance(entry, (Usage, Correction)):
                continue
            known = self.entries.setdefault(entry.id, entry)
            if known != entry:
                raise ConflictError(f"{entry.id} stands for two different entries")
        return self

    def sums(self) -> dict[tuple[str, str], tuple[int, int, int]]:
        """Reqs, prompt and answer tokens billed, by period and tenant."""
        found: dict[tuple[str, str], list[int]] = defaultdict(lambda: [0, 0, 0])
        for entry in self.entries.values():
            total = found[entry.period, entry.tenant]
            if isinstance(entry, Usage):
                counts = (1, entry.billed_prompt, entry.billed_answer)
            else:
                counts = (entry.reqs, entry.prompt, entry.answer)
            for at, count in enumerate(counts):
                total[at] += count
        return {key: (each[0], each[1], each[2]) for key, each in found.items()}


@dataclass(frozen=True, slots=True)
class Difference:
    request_id: str
    tenant: str
    ours: int  # answer tokens that the ledger says engines made
    theirs: int  # ... and that engines say they wrote
    why: str


@dataclass(slots=True)
class Report:
    agree: dict[str, int] = field(default_factory=dict)  # reqs by tenant
    differ: list[Difference] = field(default_factory=list)


def compare(merged: MergedEntries, wrote: dict[str, int]) -> Report:
    """`wrote`: answer tokens by forward id (`REQ.FORWARD`), as engines count them."""
    theirs: dict[str, int] = defaultdict(int)
    for forward, tokens in wrote.items():
        theirs[forward.rpartition(".")[0]] += tokens
    report, known = Report(), set()
    for entry in sorted(merged.entries.values(), key=lambda each: each.id):
        if not isinstance(entry, Usage):
            continue
        known.add(entry.id)
        count = theirs.get(entry.id, 0)
        if count == entry.made:
            report.agree[entry.tenant] = report.agree.get(entry.tenant, 0) + 1
            continue
        if count > entry.made:
            broke = entry.resumes or entry.ended != "done" or entry.forwards > 1
            why = "written and lost on the way: a break, or a client that left" if broke else "not explained"
        else:
            why = "an engine's count is missing"
        report.differ.append(Difference(entry.id, entry.tenant, entry.made, count, why))
    for req in sorted(set(theirs) - known):
        report.differ.append(
            Difference(req, "", 0, theirs[req], "no entry: its router was killed with the req in hand")
        )
    return report
