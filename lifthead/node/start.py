"""Reads the configuration file of a node, at its start and again on SIGHUP."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from lifthead.http1 import parse_address
from lifthead.instance_settings import Fields, MalformedError, flatten, int_field, parse_deployment
from lifthead.interface import Deployment
from lifthead.memory import MEGABYTE, pool_capacity
from lifthead.node.discovery import EngineListUpdate, MalformedUpdateError, parse_update

RESERVED_DESCRIPTORS = 24  # for the listening socket, discovery, the event loop and the standard streams
# The share of the remaining descriptors for connections of clients; connections to engines get the rest. Each
# open request of a client may need a connection to an engine, and probes and releases need some as well: with
# a share of one half, clients could leave too few.
CLIENT_SHARE = 0.45
DEFAULT_MEMORY_MB = 192


class ConfigError(Exception):
    """The configuration is invalid; the message says why."""


class _ConfigFile(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    seed: str = "0"
    limits: dict[str, float] = {}
    known: msgspec.Raw = msgspec.Raw(b"")


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The parsed configuration of a node. Times are in microseconds."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    deployment: Deployment
    initial_list: EngineListUpdate | None
    max_client_connections: int
    max_engine_connections: int
    buffer_capacity: int  # bytes that clients and engines may have sent and that are still held
    engine_idle_timeout: int  # after which an engine closes an unused connection
    connect_timeout: int  # for connections to engines


def read_config(path: str) -> NodeConfig:
    """Reads the configuration file at this path; raises ConfigError if it is invalid."""
    try:
        with open(path, "rb") as file:
            return parse_config(file.read())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def parse_config(data: bytes) -> NodeConfig:
    try:
        file = msgspec.json.decode(data, type=_ConfigFile)
        settings = flatten(file.settings)
        settings["Nonce64"] = str(_parse_field("seed", lambda text: int(text, 16), file.seed or "0"))
        deployment = parse_deployment(settings)
        listen = _parse_field("listen", parse_address, file.listen)
        discovery = _parse_field("discovery", parse_address, file.discovery)
        initial_list = _parse_field("known", parse_update, bytes(file.known)) if file.known else None
        sockets = _parse_field("limits.sockets", int, file.limits.get("sockets", 1024))
        memory_limit = _parse_field(
            "limits.memory_mb", _megabytes, file.limits.get("memory_mb", DEFAULT_MEMORY_MB)
        )
    except (msgspec.DecodeError, UnicodeDecodeError, MalformedError) as error:
        raise ConfigError(str(error)) from None
    available = max(sockets - RESERVED_DESCRIPTORS, 2)
    max_client_connections = int(available * CLIENT_SHARE)
    return NodeConfig(
        name=file.name,
        listen=listen,
        discovery=discovery,
        deployment=deployment,
        initial_list=initial_list,
        max_client_connections=max_client_connections,
        max_engine_connections=available - max_client_connections,
        buffer_capacity=pool_capacity(memory_limit, max_client_connections),
        engine_idle_timeout=_policy_limit(settings, "IdleClose", 15_000_000),
        connect_timeout=_policy_limit(settings, "DialTimeout", 250_000),
    )


def _parse_field(name: str, parse: Callable[[Any], Any], value: Any) -> Any:
    """Parses a field; raises ConfigError with the field's name if its value is invalid."""
    try:
        return parse(value)
    except (ValueError, OverflowError, MalformedUpdateError) as error:
        raise ConfigError(f"{name}: {error}") from None


def _megabytes(value: float) -> int:
    """Returns an amount of memory in bytes."""
    return int(value * MEGABYTE)


def _policy_limit(settings: Fields, name: str, default: int) -> int:
    return int_field(settings, f"PolicyLimits.{name}", default) or default
