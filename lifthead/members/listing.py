"""An engine list read from a file: its content, whether it may be applied, and what it would change."""

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import msgspec

from lifthead.deployment.fleet import EngineSpec, Fleet

MAX_REMOVED_SHARE = 0.3  # share of the engines that one list may remove without confirmation


@dataclass(frozen=True, slots=True)
class Listing:
    """The engines of one file by name, and a digest of the content that ignores order and formatting."""

    engines: dict[str, EngineSpec]
    digest: str


def make_listing(engines: dict[str, EngineSpec]) -> Listing:
    """A listing of these engines with its digest."""
    plain = [msgspec.to_builtins(engines[name]) for name in sorted(engines)]
    return Listing(dict(engines), blake2b(msgspec.json.encode(plain), digest_size=8).hexdigest())


@dataclass(slots=True)
class ListingChange:
    """The effect of replacing one listing by another."""

    added: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    changed: dict[str, list[str]] = field(default_factory=dict)  # engine name -> changed fields
    refusal: str = ""  # why the listing can never be applied
    confirmation_reason: str = ""  # why an operator has to confirm it first

    def as_dict(self) -> dict[str, Any]:
        return {
            "added": self.added,
            "removed": self.removed,
            "changed": self.changed,
            "refused": self.refusal,
            "held": self.confirmation_reason,
        }


def compare_listings(current: Listing, proposed: Listing, fleet: Fleet) -> ListingChange:
    """Compares two listings and decides whether the proposed one may be applied. A listing that could serve
    no request is refused. One that removes every decode engine in use, or more than `MAX_REMOVED_SHARE` of
    all engines, waits for confirmation: it is more often a mistake than intended."""
    change = ListingChange(
        sorted(set(proposed.engines) - set(current.engines)),
        sorted(set(current.engines) - set(proposed.engines)),
    )
    for name in sorted(set(current.engines) & set(proposed.engines)):
        old_spec, new_spec = (
            msgspec.to_builtins(current.engines[name]),
            msgspec.to_builtins(proposed.engines[name]),
        )
        changed_fields = [key for key in old_spec if old_spec[key] != new_spec[key]]
        if changed_fields:
            change.changed[name] = changed_fields
    change.refusal = _refusal(proposed, fleet)
    decode_engines = {name for name, spec in current.engines.items() if _can_decode(spec, fleet)}
    if decode_engines and not decode_engines & set(proposed.engines):
        change.confirmation_reason = f"it removes all {len(decode_engines)} decode engines in use"
    elif current.engines and len(change.removed) > MAX_REMOVED_SHARE * len(current.engines):
        change.confirmation_reason = f"it removes {len(change.removed)} of {len(current.engines)} engines"
    return change


def _can_decode(spec: EngineSpec, fleet: Fleet) -> bool:
    kind = fleet.kinds.get(spec.kind)
    return kind is not None and kind.role != "read"


def _refusal(proposed: Listing, fleet: Fleet) -> str:
    """Why the listing can't be applied, "" if it can."""
    addresses: dict[str, str] = {}
    for name, spec in proposed.engines.items():
        if spec.kind not in fleet.kinds:
            return (
                f"engine {name}, field kind: {spec.kind!r} is no kind(), expected one of {list(fleet.kinds)}"
            )
        if spec.address.endswith(":0"):
            return f"engine {name}, field address: expected a port, got {spec.address}"
        other = addresses.setdefault(spec.address, name)
        if other != name:
            return f"engine {name}, field address: {spec.address} is already used by {other}"
    if not any(_can_decode(spec, fleet) for spec in proposed.engines.values()):
        return "it has no engine that can decode, expected at least one"
    return ""
