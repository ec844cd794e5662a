"""Compares the exports of any routers with the engines' own counts: which requests agree, which differ, and
why.

Entries are identified by their ids, so that exports may be merged in any order and any number of times.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from lifthead.ledger.entries import Correction, Entry, Usage


class ConflictError(Exception):
    """Two different entries have the same id: one of the exports was not written by a ledger."""


@dataclass(slots=True)
class MergedEntries:
    """The entries of any number of exports, each counted once."""

    entries: dict[str, Usage | Correction] = field(default_factory=dict)

    def add(self, entries: list[Entry]) -> "MergedEntries":
        for entry in entries:
            if not isinstance(entry, (Usage, Correction)):
                continue
            known = self.entries.setdefault(entry.id, entry)
            if known != entry:
                raise ConflictError(f"{entry.id} is the id of two different entries")
        return self

    def sums(self) -> dict[tuple[str, str], tuple[int, int, int]]:
        """Requests, billed prompt tokens and billed answer tokens by period and tenant."""
        sums: dict[tuple[str, str], list[int]] = defaultdict(lambda: [0, 0, 0])
        for entry in self.entries.values():
            total = sums[entry.period, entry.tenant]
            if isinstance(entry, Usage):
                counts = (1, entry.billed_prompt, entry.billed_answer)
            else:
                counts = (entry.reqs, entry.prompt, entry.answer)
            for index, count in enumerate(counts):
                total[index] += count
        return {key: (total[0], total[1], total[2]) for key, total in sums.items()}


@dataclass(frozen=True, slots=True)
class Difference:
    """A request whose answer tokens the ledger and the engines count differently."""

    request_id: str
    tenant: str
    ours: int  # answer tokens decoded according to the ledger
    theirs: int  # answer tokens decoded according to the engines
    why: str


@dataclass(slots=True)
class Report:
    """The requests that agree, by tenant, and the differences."""

    agree: dict[str, int] = field(default_factory=dict)
    differ: list[Difference] = field(default_factory=list)


def compare(merged: MergedEntries, decoded: dict[str, int]) -> Report:
    """`decoded` holds the engines' own counts of answer tokens by attempt id (`REQUEST.ATTEMPT`)."""
    theirs: dict[str, int] = defaultdict(int)
    for attempt, tokens in decoded.items():
        theirs[attempt.rpartition(".")[0]] += tokens
    report, known_ids = Report(), set()
    for entry in sorted(merged.entries.values(), key=lambda each: each.id):
        if not isinstance(entry, Usage):
            continue
        known_ids.add(entry.id)
        count = theirs.get(entry.id, 0)
        if count == entry.made:
            report.agree[entry.tenant] = report.agree.get(entry.tenant, 0) + 1
            continue
        if count > entry.made:
            interrupted = entry.resumes or entry.ended != "done" or entry.forwards > 1
            why = (
                "decoded but not delivered: the stream broke or the client left"
                if interrupted
                else "not explained"
            )
        else:
            why = "an engine's count is missing"
        report.differ.append(Difference(entry.id, entry.tenant, entry.made, count, why))
    for request_id in sorted(set(theirs) - known_ids):
        report.differ.append(
            Difference(
                request_id,
                "",
                0,
                theirs[request_id],
                "no entry: its router was killed while the request was pending",
            )
        )
    return report
