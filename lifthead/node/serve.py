"""Runs one router on the users' platform: reloads its configuration on SIGHUP and stops it on SIGTERM."""

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
import time
from dataclasses import dataclass

from lifthead.chat.server import ClientConnections
from lifthead.node import clients, start
from lifthead.node.discovery import Watch
from lifthead.node.host import Host
from lifthead.node.initial_list import InitialList
from lifthead.node.signals import block_signals_at_exit, early_reload
from lifthead.node.start import ConfigError, NodeConfig

BACKLOG = 1024
# Seconds after SIGTERM for which new connections are accepted: the front balancer learns of the stop late.
ACCEPT_CONNECTIONS_FOR = 0.55
# Seconds after SIGTERM for which new requests are accepted: a later one may not be answered before SIGKILL.
ACCEPT_REQUESTS_FOR = 0.7

log = logging.getLogger("lifthead.node")


@dataclass(slots=True)
class ClientLimits:
    """Limits for the connections of clients: a count, bytes and microseconds."""

    connections: int
    header_bytes: int = clients.MAX_HEAD_BYTES
    body_bytes: int = clients.MAX_BODY_BYTES
    header_within: int = clients.RECEIVE_TIMEOUT
    body_within: int = clients.RECEIVE_TIMEOUT
    idle_for: int = clients.IDLE_TIMEOUT


def open_listening_socket(address: tuple[str, int]) -> socket.socket:
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.bind(address)
    listening_socket.listen(BACKLOG)
    listening_socket.setblocking(False)
    return listening_socket


async def serve(path: str, config: NodeConfig, started_at: float) -> None:
    """Runs the router until SIGTERM. `started_at`: when the process started, on the monotonic clock."""
    loop = asyncio.get_running_loop()
    stop, reload = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    if early_reload.received:
        reload.set()
    async with asyncio.TaskGroup() as tasks:
        host = Host(config, tasks)
        loop.add_signal_handler(signal.SIGUSR1, host.events.dump, "SIGUSR1")
        initial_list = InitialList(host, config.initial_list, started_at, lambda: watch.is_absent)
        version = config.initial_list.version if config.initial_list else 0
        shared = config.deployment.list_on_request
        watch = Watch(
            config.discovery,
            version,
            host.on_list_update,
            config.deployment.seed,
            shared,
            initial_list.on_discovery_line,
        )
        client_listener = ClientConnections(
            ClientLimits(config.max_client_connections),
            host.answer,
            clients.error_body,
            clients.FIRST_REQUEST_TIMEOUT,
            host.memory,
        )
        host.close_idle_client = client_listener.evict_idle
        host.is_ready = lambda: initial_list.is_ready(host.can_serve)
        listening_socket = open_listening_socket(config.listen)
        background_tasks = [
            tasks.create_task(watch.run()),
            tasks.create_task(host.maintain_links()),
            tasks.create_task(reload_on_signal(path, reload, watch, client_listener, host)),
        ]
        accepting = tasks.create_task(client_listener.accept(listening_socket, tasks))
        gc.collect()
        gc.freeze()  # objects from the start live on: the collector need not scan them again
        gc.set_threshold(20_000, 20, 50)
        log.info("%s listens on %s:%d", config.name, *config.listen)
        await stop.wait()
        await asyncio.sleep(ACCEPT_CONNECTIONS_FOR)
        client_listener.stop(ACCEPT_REQUESTS_FOR - ACCEPT_CONNECTIONS_FOR)
        await accepting
        listening_socket.close()
        await host.idle.wait()
        await client_listener.wait_closed()
        for task in background_tasks:
            task.cancel()
        initial_list.close()
        host.close()
    host.check_held_states(at_exit=True)
    block_signals_at_exit()
    log.info("%s stopped, invariant violations: %s", config.name, host.violations)


async def reload_on_signal(
    path: str, reload: asyncio.Event, watch: Watch, client_listener: ClientConnections, host: Host
) -> None:
    """Reads the configuration again at each SIGHUP. An invalid one is logged and changes nothing."""
    while True:
        await reload.wait()
        reload.clear()
        try:
            config = start.read_config(path)
        except ConfigError as error:
            log.error("invalid new configuration, the old one stays in use: %s", error)
            continue
        log.info("configuration reloaded: discovery is at %s:%d", *config.discovery)
        watch.set_address(config.discovery)
        client_listener.limits = ClientLimits(config.max_client_connections)
        host.max_connections = config.max_engine_connections
        host.memory.capacity = config.buffer_capacity


def main(started_at: float | None = None) -> None:
    """Runs the router of the configuration file at NODE_CONFIG. `started_at`: when the process started, on
    the monotonic clock; now if it is not given."""
    started_at = time.monotonic() if started_at is None else started_at
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    path = os.environ.get("NODE_CONFIG", "")
    try:
        config = start.read_config(path)
    except ConfigError as error:
        sys.exit(f"lifthead.node: {error}")
    asyncio.run(serve(path, config, started_at))
