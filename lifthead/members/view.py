"""Merges the engine lists of several sources that may contradict each other into one view of the fleet.

The engine file decides which engines may be used; the pushed list decides which of them are alive. Where
sources disagree about one engine, the most cautious readiness holds: gone, then draining, then ready. A
change that takes an engine out of service is reported at once (the drain rule); a change that brings it back
is delayed while the engine flaps. The last list of a source that is lost stays in force.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from lifthead.engines.codec import ListedEngine

CAUTION_RANK = {"ready": 0, "draining": 1, "gone": 2}
FLAP_LIMIT = 3  # departures within FLAP_WINDOW_US from which on an engine counts as flapping
FLAP_WINDOW_US = 60_000_000
FLAP_QUIET_US = 10_000_000  # a flapping engine comes back once every source has called it ready for so long


@dataclass(slots=True)
class Source:
    """The last list of one source."""

    engines: dict[str, ListedEngine] = field(default_factory=dict)
    updated_at: int = 0
    complete: bool = False  # a full list has arrived: an engine that it does not name is gone
    rejection: str = ""  # why its latest list was rejected


@dataclass(slots=True)
class Member:
    """One engine as it was last reported to the decision module, and its recent behaviour."""

    reported: ListedEngine
    source: str  # the source that decided its readiness
    since: int
    departures: deque[int] = field(default_factory=deque)  # when it stopped being ready
    ready_since: int = 0  # ready in all sources since then; 0: not ready


class FleetView:
    """The `primary` source names the engines; the others only change their readiness. Until the primary
    source has sent a full list, any source may name engines."""

    def __init__(self, primary: str = "file") -> None:
        self._primary = primary
        self._sources: dict[str, Source] = {}
        self.members: dict[str, Member] = {}

    def update(self, source: str, engines: list[ListedEngine], full: bool, now: int) -> str:
        """Takes a list from a source; `full` lists replace the one before. Returns why the list was rejected,
        "" if it was accepted. An empty full list from a source that had engines is rejected, and so is a
        first full list whose engines are all gone: the source itself has failed."""
        state = self._sources.setdefault(source, Source())
        any_alive = any(engine.readiness != "gone" for engine in engines)
        if full and not engines and any(each.readiness != "gone" for each in state.engines.values()):
            state.rejection = "the list is empty: the last one stays in force"
            return state.rejection
        if full and not any_alive and not state.complete:
            state.rejection = "the first list has only engines that are gone"
            return state.rejection
        if full:
            state.engines, state.complete = {}, True
        state.engines.update({engine.name: engine for engine in engines})
        state.updated_at, state.rejection = now, ""
        return ""

    def withdraw(self, source: str, names: list[str]) -> None:
        """Removes what a source has reported of these engines."""
        state = self._sources.get(source)
        for name in names if state else ():
            state.engines.pop(name, None)

    def engines_of(self, source: str) -> list[ListedEngine]:
        """The last list of one source."""
        state = self._sources.get(source)
        return list(state.engines.values()) if state else []

    def take_changes(self, now: int) -> list[ListedEngine]:
        """The changes to report to the decision module now, at most one for each engine. They count as
        reported from here on."""
        changes = []
        for name in sorted(self._listed_names() | set(self.members)):
            merged, source = self._merge(name)
            member = self.members.get(name)
            if merged is None:
                if member and member.reported.readiness != "gone":
                    changes.append(
                        self._record(
                            member, _with_readiness(member.reported, "gone"), "no source names it", now
                        )
                    )
                continue
            if member is None:
                if merged.readiness == "gone":
                    continue
                self.members[name] = member = Member(merged, source, now)
                member.ready_since = now if merged.readiness == "ready" else 0
                changes.append(merged)
                continue
            member.ready_since = (member.ready_since or now) if merged.readiness == "ready" else 0
            if (
                merged.readiness == "ready"
                and member.reported.readiness != "ready"
                and self._is_flapping(member, now)
            ):
                merged = _with_readiness(merged, member.reported.readiness)
            if merged != member.reported:
                changes.append(self._record(member, merged, source, now))
        return changes

    def _record(self, member: Member, engine: ListedEngine, source: str, now: int) -> ListedEngine:
        if member.reported.readiness == "ready" and engine.readiness != "ready":
            member.departures.append(now)
        if member.reported.readiness != engine.readiness:
            member.source, member.since = source, now
        member.reported = engine
        return engine

    def _is_flapping(self, member: Member, now: int) -> bool:
        while member.departures and member.departures[0] < now - FLAP_WINDOW_US:
            member.departures.popleft()
        return len(member.departures) >= FLAP_LIMIT and now - member.ready_since < FLAP_QUIET_US

    def _listed_names(self) -> set[str]:
        primary = self._sources.get(self._primary)
        if primary and primary.complete:
            return set(primary.engines)
        return {name for source in self._sources.values() for name in source.engines}

    def _merge(self, name: str) -> tuple[ListedEngine | None, str]:
        """The most cautious report on an engine, and its source; the other fields come from the primary
        source if it names the engine."""
        if name not in self._listed_names():
            return None, ""
        reports = []
        for source, state in self._sources.items():
            if name in state.engines:
                reports.append(
                    (CAUTION_RANK[state.engines[name].readiness], source, state.engines[name].readiness)
                )
            elif state.complete:
                reports.append((CAUTION_RANK["gone"], source, "gone"))
        _, decisive_source, readiness = max(reports)
        listed = [state.engines[name] for state in self._sources.values() if name in state.engines]
        primary = self._sources.get(self._primary)
        fields = primary.engines[name] if primary and name in primary.engines else listed[0]
        started = max(each.started_at for each in listed)
        drains = max(each.drains_by for each in listed)
        merged = msgspec.structs.replace(fields, started_at=started, readiness=readiness, drains_by=drains)
        return merged, decisive_source

    def engine_rows(self, now: int) -> list[dict]:
        """For operators: each engine, the source that decided its readiness, and since when."""
        return [
            {
                "engine": name,
                "readiness": member.reported.readiness,
                "by": member.source,
                "for_s": (now - member.since) / 1e6,
                "flaps": len(member.departures),
            }
            for name, member in sorted(self.members.items())
        ]

    def source_rows(self, now: int) -> list[dict]:
        """For operators: each source, the age of its last list, and why its latest one was rejected."""
        return [
            {
                "source": name,
                "engines": len(state.engines),
                "age_s": (now - state.updated_at) / 1e6,
                "kept_out": state.rejection,
            }
            for name, state in sorted(self._sources.items())
        ]


def _with_readiness(engine: ListedEngine, readiness: str) -> ListedEngine:
    return msgspec.structs.replace(engine, readiness=readiness)
