"""One view of the engines out of several sources that may contradict each other.

The order of sources. A file says what may be used at all; the pushed list says what lives. Of two words on
one engine the more cautious holds: gone, then draining, then ready. What takes an engine away is told at
once (rule 3); what brings it back waits while the engine flaps. A source that is lost leaves its last word.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from lifthead.engines.codec import ListedEngine

CAUTION_RANK = {"ready": 0, "draining": 1, "gone": 2}
FLAP_LIMIT = 3  # times that an engine went away within ...
FLAP_WINDOW_US = 60_000_000  # ... this time, after which it comes back only when it has been ...
FLAP_QUIET_US = 10_000_000  # ... ready in every source for so long


@dataclass(slots=True)
class Source:
    """The last word of one source."""

    engines: dict[str, ListedEngine] = field(default_factory=dict)
    at: int = 0
    whole: bool = False  # a whole list has come: what it does not name is gone
    kept_out: str = ""  # why its latest list was not taken


@dataclass(slots=True)
class Member:
    """One engine as it was last told, and how it has behaved."""

    reported: ListedEngine
    by: str  # the source whose word it was
    since: int
    departures: deque[int] = field(default_factory=deque)
    ready_since: int = 0  # in all sources; 0: not ready


class FleetView:
    """`primary` sources name the engines; others only speak of them. Without a primary one that has spoken,
    any source names them."""

    def __init__(self, primary: str = "file") -> None:
        self._primary = primary
        self._sources: dict[str, Source] = {}
        self.members: dict[str, Member] = {}

    def update(self, source: str, engines: list[ListedEngine], whole: bool, now: int) -> str:
        """A source speaks. The reason if its list is kept out: a whole list without any engine that is not
        gone, while the source had some, is a source that has failed."""
        found = self._sources.setdefault(source, Source())
        alive = any(engine.readiness != "gone" for engine in engines)
        if whole and not engines and any(each.readiness != "gone" for each in found.engines.values()):
            found.kept_out = "an empty list: the last one stays"
            return found.kept_out
        if whole and not alive and not found.whole:
            found.kept_out = "a first list of engines that are all gone"
            return found.kept_out
        if whole:
            found.engines, found.whole = {}, True
        found.engines.update({engine.name: engine for engine in engines})
        found.at, found.kept_out = now, ""
        return ""

    def withdraw(self, source: str, names: list[str]) -> None:
        """A source takes back what it said of these engines."""
        found = self._sources.get(source)
        for name in names if found else ():
            found.engines.pop(name, None)

    def engines_of(self, source: str) -> list[ListedEngine]:
        """The last word of one source."""
        found = self._sources.get(source)
        return list(found.engines.values()) if found else []

    def take_changes(self, now: int) -> list[ListedEngine]:
        """What the module is to be told now; each engine once at most."""
        found = []
        for name in sorted(self._names() | set(self.members)):
            word, by = self._word(name)
            member = self.members.get(name)
            if word is None:
                if member and member.reported.readiness != "gone":
                    found.append(self._tell(member, _as(member.reported, "gone"), "no source names it", now))
                continue
            if member is None:
                if word.readiness == "gone":
                    continue
                self.members[name] = member = Member(word, by, now)
                member.ready_since = now if word.readiness == "ready" else 0
                found.append(word)
                continue
            member.ready_since = (member.ready_since or now) if word.readiness == "ready" else 0
            if (
                word.readiness == "ready"
                and member.reported.readiness != "ready"
                and self._flaps(member, now)
            ):
                word = _as(word, member.reported.readiness)
            if word != member.reported:
                found.append(self._tell(member, word, by, now))
        return found

    def _tell(self, member: Member, word: ListedEngine, by: str, now: int) -> ListedEngine:
        if member.reported.readiness == "ready" and word.readiness != "ready":
            member.departures.append(now)
        if member.reported.readiness != word.readiness:
            member.by, member.since = by, now
        member.reported = word
        return word

    def _flaps(self, member: Member, now: int) -> bool:
        while member.departures and member.departures[0] < now - FLAP_WINDOW_US:
            member.departures.popleft()
        return len(member.departures) >= FLAP_LIMIT and now - member.ready_since < FLAP_QUIET_US

    def _names(self) -> set[str]:
        primary = self._sources.get(self._primary)
        if primary and primary.whole:
            return set(primary.engines)
        return {name for source in self._sources.values() for name in source.engines}

    def _word(self, name: str) -> tuple[ListedEngine | None, str]:
        """The most cautious word on an engine, and whose it is; the fields are the primary source's."""
        if name not in self._names():
            return None, ""
        words = []
        for source, said in self._sources.items():
            if name in said.engines:
                words.append(
                    (CAUTION_RANK[said.engines[name].readiness], source, said.engines[name].readiness)
                )
            elif said.whole:
                words.append((CAUTION_RANK["gone"], source, "gone"))
        _, by, readiness = max(words)
        named = [said.engines[name] for said in self._sources.values() if name in said.engines]
        primary = self._sources.get(self._primary)
        fields = primary.engines[name] if primary and name in primary.engines else named[0]
        started = max(each.started_at for each in named)
        drains = max(each.drains_by for each in named)
        word = msgspec.structs.replace(fields, started_at=started, readiness=readiness, drains_by=drains)
        return word, by

    def engine_rows(self, now: int) -> list[dict]:
        """For operators: each engine, who said so, and since when; each source and the age of its word."""
        return [
            {
                "engine": name,
                "readiness": member.reported.readiness,
                "by": member.by,
                "for_s": (now - member.since) / 1e6,
                "flaps": len(member.departures),
            }
            for name, member in sorted(self.members.items())
        ]

    def source_rows(self, now: int) -> list[dict]:
        return [
            {
                "source": name,
                "engines": len(said.engines),
                "age_s": (now - said.at) / 1e6,
                "kept_out": said.kept_out,
            }
            for name, said in sorted(self._sources.items())
        ]


def _as(engine: ListedEngine, readiness: str) -> ListedEngine:
    return msgspec.structs.replace(engine, readiness=readiness)
