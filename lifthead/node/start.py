"""What a node is told: its configuration file to plain values, at the start and anew on SIGHUP."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from lifthead.http1 import parse_address
from lifthead.instance_settings import Fields, MalformedError, flatten, int_field, parse_deployment
from lifthead.interface import Deployment
from lifthead.node.discovery import News, StrangeNewsError, news_of

OWN = 24  # descriptors for the program itself: its listener, discovery, the loop, the standard streams
# Part of the others that clients' connections may hold; engines' have the rest. Each client's open request
# may need one of those, and probes and releases come besides: with half, clients could use up all.
CLIENTS = 0.45


class StartError(Exception):
    """The configuration can't be used; says why."""


class _File(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: dict[str, float] = {}
    known: msgspec.Raw = msgspec.Raw(b"")


@dataclass(frozen=True, slots=True)
class Start:
    """All that the node's parts are started with. Times are microseconds."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    deployment: Deployment
    known: News | None
    clients: int  # connections that clients may hold
    engines: int  # ... and those to engines
    idle_close: int  # an engine's end closes a connection that was idle for so long
    connect_within: int


def read(path: str) -> Start:
    """The configuration at this path; StartError if it can't be used."""
    try:
        with open(path, "rb") as file:
            return start_of(file.read())
    except OSError as problem:
        raise StartError(f"{path}: {problem.strerror}") from None
    except StartError as problem:
        raise StartError(f"{path}: {problem}") from None


def start_of(data: bytes) -> Start:
    try:
        file = msgspec.json.decode(data, type=_File)
        env = flatten(file.settings)
        env["Nonce64"] = str(_of("seed", lambda text: int(text, 16), file.seed or "0"))
        deployment = parse_deployment(env)
        listen = _of("listen", parse_address, file.listen)
        discovery = _of("discovery", parse_address, file.discovery)
        known = _of("known", news_of, bytes(file.known)) if file.known else None
        sockets = _of("limits.sockets", int, file.limits.get("sockets", 1024))
    except (msgspec.DecodeError, UnicodeDecodeError, MalformedError) as problem:
        raise StartError(str(problem)) from None
    free = max(sockets - OWN, 2)
    clients = int(free * CLIENTS)
    return Start(
        name=file.name,
        listen=listen,
        discovery=discovery,
        deployment=deployment,
        known=known,
        clients=clients,
        engines=free - clients,
        idle_close=_limit(env, "IdleClose", 15_000_000),
        connect_within=_limit(env, "DialTimeout", 250_000),
    )


def _of(name: str, read: Callable[[Any], Any], told: Any) -> Any:
    """A field's meaning; StartError that names the field if it has none."""
    try:
        return read(told)
    except (ValueError, OverflowError, StrangeNewsError) as problem:
        raise StartError(f"{name}: {problem}") from None


def _limit(env: Fields, name: str, usual: int) -> int:
    return int_field(env, f"PolicyLimits.{name}", usual) or usual
