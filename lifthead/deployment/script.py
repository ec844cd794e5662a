"""Runs a settings script (Starlark) and collects what it describes.

The script calls one function for each thing that it describes: kind, engine, group, tenant, router, rules,
limits, headers, ledger, budget, stand_in, crowd, mix, trouble. It has no files, no clock and no `load`; its
steps and its memory are bounded.
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
MAX_ALLOCATED = 64 << 20  # bytes allocated over the whole run, roughly


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
    """Runs the text of a script; its errors begin with `name`."""
    described = fleet.Fleet(
        kinds={}, engines={}, groups={}, tenants={}, routers={}, stand_ins={}, budgets={}, troubles=[]
    )
    functions = {
        "kind": _add_to(fleet.Kind, described.kinds, "name"),
        "engine": _add_to(fleet.EngineSpec, described.engines, "name"),
        "group": _add_to(fleet.Group, described.groups, "name"),
        "tenant": _add_to(fleet.TenantSpec, described.tenants, "name"),
        "router": _add_to(fleet.RouterSpec, described.routers, "name"),
        "stand_in": _add_to(fleet.StandIn, described.stand_ins, "kind"),
        "rules": _set_once(fleet.Rules, described, "rules"),
        "limits": _set_once(fleet.Limits, described, "limits"),
        "headers": _set_once(fleet.Headers, described, "headers"),
        "ledger": _set_once(fleet.LedgerSettings, described, "ledger"),
        "budget": _add_to(fleet.BudgetSettings, described.budgets, "tenant"),
        "crowd": _set_once(fleet.ClientLoad, described, "crowd"),
        "mix": lambda **fields: to_value({key: from_value(value) for key, value in fields.items()}),
        "trouble": lambda what=None, **fields: described.troubles.append(
            _convert(fleet.FaultSpec, {"what": what, **fields}, "trouble")
        ),
    }
    _execute(text, name, functions)
    problem = find_inconsistency(described)
    if problem:
        raise ScriptError(f"{name}: {problem}")
    return described


def read_engines(text: str, name: str) -> dict[str, fleet.EngineSpec]:
    """The engines of a file that describes nothing else. A call of `total(N)` in it protects against a file
    that was cut short."""
    engines: dict[str, fleet.EngineSpec] = {}
    totals: list[int] = []

    def total(many: int) -> None:
        if not isinstance(many, int):
            raise EvalError(f"total: expected a whole number, got {many!r}")
        totals.append(many)

    _execute(text, name, {"engine": _add_to(fleet.EngineSpec, engines, "name"), "total": total})
    if totals and totals[0] != len(engines):
        raise ScriptError(f"{name}: total({totals[0]}) does not match the {len(engines)} engines in it")
    return engines


def _execute(text: str, name: str, functions: dict[str, Any]) -> None:
    """Runs a script that may call these functions and no others."""
    builtins = {
        function_name: BuiltinFunction(function_name, function)
        for function_name, function in functions.items()
    }
    try:
        starlark.exec_file(
            text, name, predeclared=builtins, max_steps=MAX_STEPS, max_allocs=MAX_ALLOCATED
        )  # without a loader, load() is an error
    except StarlarkSyntaxException as problem:
        raise ScriptError(str(problem.errors[0])) from None
    except ResourceLimitExceeded as problem:
        raise ScriptError(
            f"{_position(problem, name)}: the script takes too many steps or too much memory"
        ) from None
    except EvalError as problem:
        raise ScriptError(f"{_position(problem, name)}: {problem.message}") from None


def _position(problem: EvalError, name: str) -> str:
    known = [frame.position for frame in problem.frames if frame.position]
    return str(known[0]) if known else name


def _convert(call_type: type, fields: dict[str, Any], function: str) -> Any:
    """The arguments of one call as a struct; EvalError names the function and the field that is wrong."""
    try:
        return msgspec.convert(
            {key: from_value(value) for key, value in fields.items()}, call_type, dec_hook=_convert_time
        )
    except msgspec.ValidationError as problem:
        message, _, at = str(problem).partition(" - at `$")
        field = at.rstrip("`").lstrip(".")
        raise EvalError(f"{function}{f', field {field}' if field else ''}: {message}") from None


def _convert_time(field_type: type, value: object) -> object:
    if field_type is Microseconds and isinstance(value, str):
        return parse_duration(value)
    raise ValueError(f"expected a time in quotes, such as '250ms', got {value!r}")


def _add_to(call_type: type, into: dict, key: str):
    """A script function that adds what it describes to a dictionary, by the field `key`, which may also be
    given as the first argument."""

    def add(first: object = None, **fields: object) -> None:
        call = _convert(
            call_type, {key: first, **fields} if first is not None else fields, call_type.__name__.lower()
        )
        name = getattr(call, key)
        if name in into:
            raise EvalError(f"{call_type.__name__.lower()} {name!r} is described twice")
        into[name] = call

    return add


def _set_once(call_type: type, described: fleet.Fleet, field: str):
    """A script function that sets a field of the fleet and may be called once."""
    calls = []

    def put(**fields: object) -> None:
        if calls:
            raise EvalError(f"{field}() is called twice")
        calls.append(field)
        setattr(described, field, _convert(call_type, fields, field))

    return put


def find_inconsistency(described: fleet.Fleet) -> str:
    """What doesn't fit together in a script whose calls are each valid; "" if all does."""
    for needed, function in (
        (described.kinds, "kind"),
        (described.engines, "engine"),
        (described.groups, "group"),
        (described.tenants, "tenant"),
        (described.routers, "router"),
    ):
        if not needed:
            return f"no call of {function}(), expected one at least"
    addresses, models, keys = {}, {}, {}
    for engine in described.engines.values():
        if engine.kind not in described.kinds:
            known = list(described.kinds)
            return f"engine {engine.name}, field kind: no kind({engine.kind!r}), expected one of {known}"
        if not engine.address.endswith(":0") and engine.address in addresses:
            other = addresses[engine.address]
            return f"engine {engine.name}, field address: {engine.address} belongs to {other}"
        addresses[engine.address] = engine.name
    if all(described.kinds[engine.kind].role == "read" for engine in described.engines.values()):
        return "no engine decodes, expected one at least whose kind has role 'write' or 'both'"
    for group in described.groups.values():
        for model in group.models:
            if model in models:
                return f"group {group.name}, field models: {model!r} belongs to {models[model]}"
            models[model] = group.name
    for tenant in described.tenants.values():
        for key in tenant.keys:
            if key in keys:
                return f"tenant {tenant.name}, field keys: a key belongs to {keys[key]}"
            keys[key] = tenant.name
    for kind in described.stand_ins:
        if kind not in described.kinds:
            return f"stand_in {kind}: no such kind(), expected one of {list(described.kinds)}"
    for mix in described.crowd.mix if described.crowd else ():
        if mix.group not in described.groups:
            return f"crowd, field mix: no group({mix.group!r}), expected one of {list(described.groups)}"
    for tenant in described.budgets:
        if tenant not in described.tenants:
            return f"budget {tenant}: no such tenant(), expected one of {list(described.tenants)}"
    if described.budgets and not described.ledger:
        return "budget() needs ledger(), which records the usage"
    if described.ledger:
        try:
            ZoneInfo(described.ledger.zone)
        except (OSError, ValueError, LookupError):
            return f"ledger, field zone: {described.ledger.zone!r} is not a time zone such as America/Recife"
    return ""
