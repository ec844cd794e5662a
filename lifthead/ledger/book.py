"""The sums of a ledger's entries. A closed period never changes; sums are always of entries."""

from dataclasses import dataclass, field

import msgspec

from lifthead.ledger.entries import Closed, Correction, Delivered, Entry, Planned, Usage

MAX_BATCH_ENTRIES = 5_000  # entries of one export at most


class RefusedError(Exception):
    """An entry that can't be taken: one line that says why."""


class UsageTotal(msgspec.Struct):
    """What one tenant used of one endpoint group in one period."""

    reqs: int = 0
    prompt: int = 0
    answer: int = 0
    read_anew: int = 0


Key = tuple[str, str, str]  # period, tenant, group


@dataclass(slots=True)
class Book:
    """All that is known from entries 1 to `last`."""

    last: int = 0
    at: int = 0  # the latest time of an entry: a clock that steps back does not take it along
    sums: dict[Key, UsageTotal] = field(default_factory=dict)
    closed: set[str] = field(default_factory=set)
    corrections: dict[str, Correction] = field(default_factory=dict)
    reversed: set[str] = field(default_factory=set)
    exported: int = 0  # entries up to here have landed
    planned: Planned | None = None

    def check(self, entry: Entry) -> None:
        """RefusedError if the entry does not fit what is here."""
        if isinstance(entry, (Usage, Correction)) and entry.period in self.closed:
            raise RefusedError(f"period {entry.period} is closed, expected an entry of an open one")
        if isinstance(entry, Closed) and entry.period in self.closed:
            raise RefusedError(f"period {entry.period} is closed already")
        if isinstance(entry, Correction):
            if entry.id in self.corrections:
                raise RefusedError(f"correction {entry.id} stands already")
            if entry.reverses:
                other = self.corrections.get(entry.reverses)
                if other is None:
                    raise RefusedError(f"no correction {entry.reverses!r}")
                if entry.reverses in self.reversed:
                    raise RefusedError(f"correction {entry.reverses} is reversed already")
                if (entry.reqs, entry.prompt, entry.answer) != (-other.reqs, -other.prompt, -other.answer):
                    raise RefusedError(f"a reversal of {entry.reverses} has its amounts with the other sign")
        if isinstance(entry, Delivered) and entry.first != self.exported + 1:
            raise RefusedError(f"batch {entry.id} begins at {entry.first}, expected {self.exported + 1}")
        if isinstance(entry, Planned) and (entry.first != self.exported + 1 or entry.last > self.last):
            raise RefusedError(
                f"batch {entry.id} is {entry.first} to {entry.last}, expected {self.exported + 1} on"
            )

    def apply(self, number: int, entry: Entry) -> None:
        """Takes the next entry, which `check` has passed."""
        self.last, self.at = number, max(self.at, entry.at)
        if isinstance(entry, Usage):
            self._add(entry, 1, entry.billed_prompt, entry.billed_answer, entry.read_anew)
        elif isinstance(entry, Correction):
            self._add(entry, entry.reqs, entry.prompt, entry.answer, 0)
            self.corrections[entry.id] = entry
            if entry.reverses:
                self.reversed.add(entry.reverses)
        elif isinstance(entry, Closed):
            self.closed.add(entry.period)
        elif isinstance(entry, Planned):
            self.planned = entry
        else:
            self.exported, self.planned = entry.last, None

    def _add(self, entry: Usage | Correction, reqs: int, prompt: int, answer: int, read_anew: int) -> None:
        total = self.sums.setdefault((entry.period, entry.tenant, entry.group), UsageTotal())
        total.reqs += reqs
        total.prompt += prompt
        total.answer += answer
        total.read_anew += read_anew

    def open_period(self, wanted: str) -> str:
        """The period for an entry of this one: a late entry counts in the first one after it that is open."""
        while wanted in self.closed:
            wanted = next_period(wanted)
        return wanted

    def reversal(self, of: str, new_id: str, at: int, period: str, why: str) -> Correction:
        """The entry that takes a correction back; RefusedError if there is none."""
        other = self.corrections.get(of)
        if other is None:
            raise RefusedError(f"no correction {of!r}")
        return Correction(
            id=new_id,
            at=at,
            period=self.open_period(period),
            of_period=other.of_period,
            tenant=other.tenant,
            group=other.group,
            reqs=-other.reqs,
            prompt=-other.prompt,
            answer=-other.answer,
            why=why,
            reverses=of,
        )

    def next_batch(self, ledger: str, at: int) -> Planned | None:
        """The batch to export now: the planned one again, else the next entries; None if there are none."""
        if self.planned:
            return self.planned
        first, last = self.exported + 1, min(self.last, self.exported + MAX_BATCH_ENTRIES)
        return (
            Planned(id=f"{ledger}-{first}-{last}", at=at, first=first, last=last) if last >= first else None
        )

    def tokens_used(self, period: str, tenant: str) -> int:
        """Billed tokens of a tenant in a period."""
        return sum(
            each.prompt + each.answer
            for (when, who, _), each in self.sums.items()
            if (when, who) == (period, tenant)
        )


def next_period(period: str) -> str:
    """The period after this one, of the same form."""
    from datetime import date, timedelta

    if len(period) == 7:
        year, month = map(int, period.split("-"))
        return f"{year + month // 12:04}-{month % 12 + 1:02}"
    return (date.fromisoformat(period) + timedelta(days=1)).isoformat()


class BookSnapshot(msgspec.Struct):
    """A book as a snapshot holds it."""

    last: int
    at: int
    sums: list[tuple[str, str, str, int, int, int, int]]
    closed: list[str]
    corrections: list[Correction]
    reversed: list[str]
    exported: int
    planned: Planned | None


def encode_book(book: Book) -> bytes:
    return msgspec.msgpack.encode(
        BookSnapshot(
            book.last,
            book.at,
            [
                (*key, each.reqs, each.prompt, each.answer, each.read_anew)
                for key, each in sorted(book.sums.items())
            ],
            sorted(book.closed),
            [book.corrections[name] for name in sorted(book.corrections)],
            sorted(book.reversed),
            book.exported,
            book.planned,
        )
    )


def decode_book(data: bytes) -> Book:
    """The book of a snapshot; msgspec.DecodeError if it is none."""
    found = msgspec.msgpack.decode(data, type=BookSnapshot)
    return Book(
        found.last,
        found.at,
        {(p, t, g): UsageTotal(*rest) for p, t, g, *rest in found.sums},
        set(found.closed),
        {each.id: each for each in found.corrections},
        set(found.reversed),
        found.exported,
        found.planned,
    )
