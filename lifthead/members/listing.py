"""A file's list of engines: what it says, whether it may be taken, and what would change."""

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import msgspec

from lifthead.deployment.fleet import EngineSpec, Fleet

MOST_GONE = 0.3  # of the engines that may go at once without a word of confirmation


@dataclass(frozen=True, slots=True)
class Listing:
    """The engines of one file, by name, and a digest of what it says (not of how it is written)."""

    engines: dict[str, EngineSpec]
    digest: str


def listing(engines: dict[str, EngineSpec]) -> Listing:
    plain = [msgspec.to_builtins(engines[name]) for name in sorted(engines)]
    return Listing(dict(engines), blake2b(msgspec.json.encode(plain), digest_size=8).hexdigest())


@dataclass(slots=True)
class Change:
    """What taking a listing in place of another would do."""

    added: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    changed: dict[str, list[str]] = field(default_factory=dict)  # fields by engine
    refused: str = ""  # why it is never taken
    held: str = ""  # why it waits for confirmation

    def plain(self) -> dict[str, Any]:
        return {
            "added": self.added,
            "removed": self.removed,
            "changed": self.changed,
            "refused": self.refused,
            "held": self.held,
        }


def change(now: Listing, then: Listing, fleet: Fleet) -> Change:
    """What differs, and whether it may be taken. A listing that no req could be served by is refused; one
    that takes away every writer in use, or more than `MOST_GONE` of all, waits for confirmation: it is more
    often a mistake than a wish, and waiting does not make a mistake right."""
    found = Change(sorted(set(then.engines) - set(now.engines)), sorted(set(now.engines) - set(then.engines)))
    for name in sorted(set(now.engines) & set(then.engines)):
        one, two = msgspec.to_builtins(now.engines[name]), msgspec.to_builtins(then.engines[name])
        fields = [key for key in one if one[key] != two[key]]
        if fields:
            found.changed[name] = fields
    found.refused = _fault(then, fleet)
    writers = {name for name, spec in now.engines.items() if _writes(spec, fleet)}
    if writers and not writers & set(then.engines):
        found.held = f"it takes away all {len(writers)} writers in use"
    elif now.engines and len(found.removed) > MOST_GONE * len(now.engines):
        found.held = f"it takes away {len(found.removed)} of {len(now.engines)} engines"
    return found


def _writes(spec: EngineSpec, fleet: Fleet) -> bool:
    kind = fleet.kinds.get(spec.kind)
    return kind is not None and kind.role != "read"


def _fault(then: Listing, fleet: Fleet) -> str:
    addresses: dict[str, str] = {}
    for name, spec in then.engines.items():
        if spec.kind not in fleet.kinds:
            return (
                f"engine {name}, field kind: {spec.kind!r} is no kind(), expected one of {list(fleet.kinds)}"
            )
        if spec.address.endswith(":0"):
            return f"engine {name}, field address: expected a port, got {spec.address}"
        other = addresses.setdefault(spec.address, name)
        if other != name:
            return f"engine {name}, field address: {spec.address} is {other}'s already"
    if not any(_writes(spec, fleet) for spec in then.engines.values()):
        return "no engine in it writes, expected one at least"
    return ""
