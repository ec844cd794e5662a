"""What a node is told: its configuration file to plain values, at the start and anew on SIGHUP."""

from dataclasses import dataclass
from typing import Any

import msgspec

from lifthead.http1 import address_of
from lifthead.interface import Deployment
from lifthead.node.discovery import News, StrangeNewsError, news_of
from lifthead.terms import Fields, MalformedError, deployment_of, flat, whole

OWN = 24  # descriptors for the program itself: its listener, discovery, the loop, the standard streams
CLIENTS = 0.55  # part of the others that clients' connections may hold; engines' have the rest


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
    drain_grace: int


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
        env = flat(file.settings)
        env["Nonce64"] = str(int(file.seed or "0", 16))
        deployment = deployment_of(env)
        listen, discovery = address_of(file.listen), address_of(file.discovery)
        known = news_of(bytes(file.known)) if file.known else None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError, MalformedError, StrangeNewsError) as problem:
        raise StartError(str(problem)) from None
    free = max(int(file.limits.get("sockets", 1024)) - OWN, 2)
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
        drain_grace=whole(env, "Rules.StopSendingWithin", 1_000_000),
    )


def _limit(env: Fields, name: str, usual: int) -> int:
    return whole(env, f"PolicyLimits.{name}", usual) or usual
