"""The totals of a ledger's entries. A closed period never changes; totals are only ever computed from
entries."""

from dataclasses import dataclass, field

import msgspec

from lifthead.ledger.entries import Closed, Correction, Delivered, Entry, Planned, Usage

MAX_BATCH_ENTRIES = 5_000  # in one export


class RefusedError(Exception):
    """An entry that does not fit the ledger; the message is one line that says why."""


class UsageTotal(msgspec.Struct):
    """The usage of one tenant in one request class in one period."""

    reqs: int = 0
    prompt: int = 0
    answer: int = 0
    read_anew: int = 0


Key = tuple[str, str, str]  # period, tenant, request class


@dataclass(slots=True)
class Book:
    """The state after entries 1 to `last`."""

    last: int = 0
    latest_time: int = 0  # of any entry: it does not follow a clock that steps back
    sums: dict[Key, UsageTotal] = field(default_factory=dict)
    closed: set[str] = field(default_factory=set)
    corrections: dict[str, Correction] = field(default_factory=dict)
    reversed: set[str] = field(default_factory=set)
    exported: int = 0  # the billing system has accepted all entries up to this one
    planned: Planned | None = None

    def check(self, entry: Entry) -> None:
        """Raises RefusedError if the entry does not fit the present state."""
        if isinstance(entry, (Usage, Correction)) and entry.period in self.closed:
            raise RefusedError(f"period {entry.period} is closed, expected an open period")
        if isinstance(entry, Closed) and entry.period in self.closed:
            raise RefusedError(f"period {entry.period} is already closed")
        if isinstance(entry, Correction):
            if entry.id in self.corrections:
                raise RefusedError(f"correction {entry.id} already exists")
            if entry.reverses:
                original = self.corrections.get(entry.reverses)
                if original is None:
                    raise RefusedError(f"no correction {entry.reverses!r}")
                if entry.reverses in self.reversed:
                    raise RefusedError(f"correction {entry.reverses} is already reversed")
                if (entry.reqs, entry.prompt, entry.answer) != (
                    -original.reqs,
                    -original.prompt,
                    -original.answer,
                ):
                    raise RefusedError(f"expected the amounts of {entry.reverses} with the opposite sign")
        if isinstance(entry, Delivered) and entry.first != self.exported + 1:
            raise RefusedError(f"batch {entry.id} begins at {entry.first}, expected {self.exported + 1}")
        if isinstance(entry, Planned) and (entry.first != self.exported + 1 or entry.last > self.last):
            raise RefusedError(
                f"batch {entry.id} is {entry.first} to {entry.last}, expected {self.exported + 1} on"
            )

    def apply(self, number: int, entry: Entry) -> None:
        """Adds the next entry, which has passed `check`."""
        self.last, self.latest_time = number, max(self.latest_time, entry.at)
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

    def _add(
        self, entry: Usage | Correction, requests: int, prompt: int, answer: int, prefilled_again: int
    ) -> None:
        total = self.sums.setdefault((entry.period, entry.tenant, entry.group), UsageTotal())
        total.reqs += requests
        total.prompt += prompt
        total.answer += answer
        total.read_anew += prefilled_again

    def open_period(self, wanted: str) -> str:
        """The period in which an entry of the wanted period counts: the wanted one, or the first open one
        after it."""
        while wanted in self.closed:
            wanted = next_period(wanted)
        return wanted

    def reversal(self, correction_id: str, new_id: str, at: int, period: str, why: str) -> Correction:
        """The entry that reverses a correction; raises RefusedError if there is no such correction."""
        original = self.corrections.get(correction_id)
        if original is None:
            raise RefusedError(f"no correction {correction_id!r}")
        return Correction(
            id=new_id,
            at=at,
            period=self.open_period(period),
            of_period=original.of_period,
            tenant=original.tenant,
            group=original.group,
            reqs=-original.reqs,
            prompt=-original.prompt,
            answer=-original.answer,
            why=why,
            reverses=correction_id,
        )

    def next_batch(self, ledger: str, at: int) -> Planned | None:
        """The batch to export now: the planned one if there is one, else the next entries; None if there are
        none."""
        if self.planned:
            return self.planned
        first, last = self.exported + 1, min(self.last, self.exported + MAX_BATCH_ENTRIES)
        return (
            Planned(id=f"{ledger}-{first}-{last}", at=at, first=first, last=last) if last >= first else None
        )

    def tokens_used(self, period: str, tenant: str) -> int:
        """Billed tokens of a tenant in a period."""
        return sum(
            total.prompt + total.answer
            for (entry_period, entry_tenant, _), total in self.sums.items()
            if (entry_period, entry_tenant) == (period, tenant)
        )


def next_period(period: str) -> str:
    """The next period in the same format."""
    from datetime import date, timedelta

    if len(period) == 7:
        year, month = map(int, period.split("-"))
        return f"{year + month // 12:04}-{month % 12 + 1:02}"
    return (date.fromisoformat(period) + timedelta(days=1)).isoformat()


class BookSnapshot(msgspec.Struct):
    """A book as it is stored in a snapshot."""

    last: int
    at: int
    sums: list[tuple[str, str, str, int, int, int, int]]
    closed: list[str]
    corrections: list[Correction]
    reversed: list[str]
    exported: int
    planned: Planned | None


def encode_book(book: Book) -> bytes:
    """A book as the data of a snapshot."""
    return msgspec.msgpack.encode(
        BookSnapshot(
            book.last,
            book.latest_time,
            [
                (*key, total.reqs, total.prompt, total.answer, total.read_anew)
                for key, total in sorted(book.sums.items())
            ],
            sorted(book.closed),
            [book.corrections[id_] for id_ in sorted(book.corrections)],
            sorted(book.reversed),
            book.exported,
            book.planned,
        )
    )


def decode_book(data: bytes) -> Book:
    """The book of a snapshot; raises msgspec.DecodeError if the data is invalid."""
    snapshot = msgspec.msgpack.decode(data, type=BookSnapshot)
    return Book(
        snapshot.last,
        snapshot.at,
        {(period, tenant, group): UsageTotal(*rest) for period, tenant, group, *rest in snapshot.sums},
        set(snapshot.closed),
        {each.id: each for each in snapshot.corrections},
        set(snapshot.reversed),
        snapshot.exported,
        snapshot.planned,
    )
