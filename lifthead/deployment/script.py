"""Runs a settings script (Starlark) and gathers what it describes.

The script calls one function for each thing: kind, engine, group, tenant, router, rules, limits, headers,
stand_in, crowd, trouble. It has no files, no clock and no `load`; steps and memory are bounded.
"""

from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import msgspec
import starlark
from starlark.eval.errors import EvalError, ResourceLimitExceeded
from starlark.syntax.errors import StarlarkSyntaxException
from starlark.values import BuiltinFunction, from_value, to_value

from lifthead.deployment import fleet
from lifthead.deployment.durations import Microseconds, parse_duration

MAX_BYTES = 1 << 20
MAX_STEPS = 2_000_000
MAX_ALLOCATED = 64 << 20  # bytes over the whole run, roughly


class ScriptError(Exception):
    """A settings script that can't be used: one line with file, line, field and what was expected."""


def read(path: str | Path) -> fleet.Fleet:
    """What the script at this path describes; ScriptError if it can't be used."""
    try:
        raw = Path(path).read_bytes()
    except OSError as problem:
        raise ScriptError(f"{path}: can't be read: {problem.strerror}") from None
    if len(raw) > MAX_BYTES:
        raise ScriptError(f"{path}: {len(raw)} bytes, expected {MAX_BYTES} at most")
    try:
        return run(raw.decode(), str(path))
    except UnicodeDecodeError as problem:
        raise ScriptError(f"{path}: byte {problem.start} is not UTF-8") from None


def run(text: str, name: str) -> fleet.Fleet:
    """Runs the text of a script; `name` stands in its errors."""
    found = fleet.Fleet(
        kinds={}, engines={}, groups={}, tenants={}, routers={}, stand_ins={}, budgets={}, troubles=[]
    )
    places = {
        "kind": _keyed(fleet.Kind, found.kinds, "name"),
        "engine": _keyed(fleet.EngineSpec, found.engines, "name"),
        "group": _keyed(fleet.Group, found.groups, "name"),
        "tenant": _keyed(fleet.TenantSpec, found.tenants, "name"),
        "router": _keyed(fleet.RouterSpec, found.routers, "name"),
        "stand_in": _keyed(fleet.StandIn, found.stand_ins, "kind"),
        "rules": _single(fleet.Rules, found, "rules"),
        "limits": _single(fleet.Limits, found, "limits"),
        "headers": _single(fleet.Headers, found, "headers"),
        "ledger": _single(fleet.LedgerSettings, found, "ledger"),
        "budget": _keyed(fleet.BudgetSettings, found.budgets, "tenant"),
        "crowd": _single(fleet.ClientLoad, found, "crowd"),
        "mix": lambda **fields: to_value({key: from_value(value) for key, value in fields.items()}),
        "trouble": lambda what=None, **fields: found.troubles.append(
            _checked(fleet.FaultSpec, {"what": what, **fields}, "trouble")
        ),
    }
    _execute(text, name, places)
    problem = find_inconsistency(found)
    if problem:
        raise ScriptError(f"{name}: {problem}")
    return found


def read_engines(text: str, name: str) -> dict[str, fleet.EngineSpec]:
    """The engines of a file that holds nothing else; `total(N)` guards against one that was cut short."""
    found: dict[str, fleet.EngineSpec] = {}
    totals: list[int] = []

    def total(many: int) -> None:
        if not isinstance(many, int):
            raise EvalError(f"total: expected a whole number, got {many!r}")
        totals.append(many)

    _execute(text, name, {"engine": _keyed(fleet.EngineSpec, found, "name"), "total": total})
    if totals and totals[0] != len(found):
        raise ScriptError(f"{name}: total({totals[0]}) stands in it, but {len(found)} engines do")
    return found


def _execute(text: str, name: str, places: dict[str, Any]) -> None:
    """Runs a script with these functions and no others."""
    builtins = {word: BuiltinFunction(word, act) for word, act in places.items()}
    try:
        starlark.exec_file(
            text, name, predeclared=builtins, max_steps=MAX_STEPS, max_allocs=MAX_ALLOCATED
        )  # no loader is given: load() is refused
    except StarlarkSyntaxException as problem:
        raise ScriptError(str(problem.errors[0])) from None
    except ResourceLimitExceeded as problem:
        raise ScriptError(
            f"{_place(problem, name)}: the script takes too many steps or too much memory"
        ) from None
    except EvalError as problem:
        raise ScriptError(f"{_place(problem, name)}: {problem.message}") from None


def _place(problem: EvalError, name: str) -> str:
    known = [frame.position for frame in problem.frames if frame.position]
    return str(known[0]) if known else name


def _checked(kind: type, fields: dict[str, Any], what: str) -> Any:
    try:
        return msgspec.convert(
            {key: from_value(value) for key, value in fields.items()}, kind, dec_hook=_hook
        )
    except msgspec.ValidationError as problem:
        said, _, at = str(problem).partition(" - at `$")
        field = at.rstrip("`").lstrip(".")
        raise EvalError(f"{what}{f', field {field}' if field else ''}: {said}") from None


def _hook(kind: type, value: object) -> object:
    if kind is Microseconds and isinstance(value, str):
        return parse_duration(value)
    raise ValueError(f"expected a time in quotes, such as '250ms', got {value!r}")


def _keyed(kind: type, into: dict, key: str):
    def add(first: object = None, **fields: object) -> None:
        entry = _checked(kind, {key: first, **fields} if first is not None else fields, kind.__name__.lower())
        name = getattr(entry, key)
        if name in into:
            raise EvalError(f"{kind.__name__.lower()} {name!r} stands twice")
        into[name] = entry

    return add


def _single(kind: type, found: fleet.Fleet, field: str):
    seen = []

    def put(**fields: object) -> None:
        if seen:
            raise EvalError(f"{field}() stands twice")
        seen.append(field)
        setattr(found, field, _checked(kind, fields, field))

    return put


def find_inconsistency(found: fleet.Fleet) -> str:
    """What does not fit together in a script whose parts are each well formed; "" if all does."""
    for need, what in (
        (found.kinds, "kind"),
        (found.engines, "engine"),
        (found.groups, "group"),
        (found.tenants, "tenant"),
        (found.routers, "router"),
    ):
        if not need:
            return f"no {what}() stands in it, expected one at least"
    addresses, models, keys = {}, {}, {}
    for engine in found.engines.values():
        if engine.kind not in found.kinds:
            known = list(found.kinds)
            return f"engine {engine.name}, field kind: {engine.kind!r} is no kind(), expected one of {known}"
        if not engine.address.endswith(":0") and engine.address in addresses:
            other = addresses[engine.address]
            return f"engine {engine.name}, field address: {engine.address} is {other}'s already"
        addresses[engine.address] = engine.name
    if all(found.kinds[engine.kind].role == "read" for engine in found.engines.values()):
        return "no engine writes, expected one at least whose kind has role 'write' or 'both'"
    for group in found.groups.values():
        for model in group.models:
            if model in models:
                return f"group {group.name}, field models: {model!r} is {models[model]}'s already"
            models[model] = group.name
    for tenant in found.tenants.values():
        for key in tenant.keys:
            if key in keys:
                return f"tenant {tenant.name}, field keys: a key is {keys[key]}'s already"
            keys[key] = tenant.name
    for kind in found.stand_ins:
        if kind not in found.kinds:
            return f"stand_in {kind}: no such kind(), expected one of {list(found.kinds)}"
    for mix in found.crowd.mix if found.crowd else ():
        if mix.group not in found.groups:
            return (
                f"crowd, field mix: group {mix.group!r} is no group(), expected one of {list(found.groups)}"
            )
    for tenant in found.budgets:
        if tenant not in found.tenants:
            return f"budget {tenant}: no such tenant(), expected one of {list(found.tenants)}"
    if found.budgets and not found.ledger:
        return "budget() needs ledger(): what was used is read from it"
    if found.ledger:
        try:
            ZoneInfo(found.ledger.zone)
        except (OSError, ValueError, LookupError):
            return (
                f"ledger, field zone: {found.ledger.zone!r} is no time zone, expected one as America/Recife"
            )
    return ""
