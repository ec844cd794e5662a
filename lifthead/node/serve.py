"""Starts one router on the users' platform, reads its configuration anew on SIGHUP, stops it on SIGTERM."""

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
from dataclasses import dataclass

from lifthead.chat.server import ClientConnections
from lifthead.node import clients, start
from lifthead.node.discovery import Follower
from lifthead.node.host import Host
from lifthead.node.signals import block_at_exit, early_reload
from lifthead.node.start import Start, StartError

BACKLOG = 1024
ENTRY_FOR = 0.55  # seconds after SIGTERM for which new connections are still taken: the front hears late
SHUT_AT = 0.7  # ... and for which requests are: what comes later may be found unanswered by SIGKILL
LISTED_WITHIN = 0.3  # seconds for discovery's first word, until which the list in hand may be an old one

log = logging.getLogger("lifthead.node")


@dataclass(slots=True)
class Bounds:
    """What clients may send and hold."""

    connections: int
    header_bytes: int = clients.HEAD_BYTES
    body_bytes: int = clients.BODY_BYTES
    header_within: int = clients.REST_WITHIN
    body_within: int = clients.REST_WITHIN
    idle_for: int = clients.IDLE_FOR


def listener(address: tuple[str, int]) -> socket.socket:
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind(address)
    listening.listen(BACKLOG)
    listening.setblocking(False)
    return listening


async def serve(path: str, told: Start) -> None:
    loop = asyncio.get_running_loop()
    stop, again = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, again.set)
    if early_reload.came:
        again.set()
    async with asyncio.TaskGroup() as tasks:
        host = Host(told, tasks)
        loop.add_signal_handler(signal.SIGUSR1, host.events.dump, "SIGUSR1")
        if told.known:
            host.on_news(told.known)
            host.starts.begin_anew()  # it may be an old list
        version = told.known.version if told.known else 0
        shared = told.deployment.must_ask
        follower = Follower(told.discovery, version, host.on_news, told.deployment.seed, shared)
        door = ClientConnections(Bounds(told.clients), host.answer, clients.error, clients.FIRST_WITHIN)
        host.shed = door.evict_idle
        latest = loop.time() + LISTED_WITHIN
        host.current = lambda: follower.heard or loop.time() > latest
        listening = listener(told.listen)
        lasting = [
            tasks.create_task(follower.follow()),
            tasks.create_task(host.look_after_links()),
            tasks.create_task(read_again(path, again, follower, door, host)),
        ]
        accepting = tasks.create_task(door.accept(listening, tasks))
        gc.collect()
        gc.freeze()  # what is there now stays: the collector need not look at it again
        gc.set_threshold(20_000, 20, 50)
        log.info("%s listens at %s:%d", told.name, *told.listen)
        await stop.wait()
        await asyncio.sleep(ENTRY_FOR)
        door.stop(SHUT_AT - ENTRY_FOR)
        await accepting
        listening.close()
        await host.empty.wait()
        await door.wait_closed()
        for task in lasting:
            task.cancel()
        host.close()
    host.check_held_states(at_exit=True)
    block_at_exit()
    log.info("%s stopped, invariant violations: %s", told.name, host.violations)


async def read_again(
    path: str, again: asyncio.Event, follower: Follower, door: ClientConnections, host: Host
) -> None:
    """A new configuration under the same path. One that can't be used leaves all as it is."""
    while True:
        await again.wait()
        again.clear()
        try:
            told = start.read(path)
        except StartError as problem:
            log.error("the new configuration is not used: %s", problem)
            continue
        log.info("new configuration: discovery is at %s:%d", *told.discovery)
        follower.turn_to(told.discovery)
        door.limits = Bounds(told.clients)
        host.most_connections = told.engines


def main() -> None:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    path = os.environ.get("NODE_CONFIG", "")
    try:
        told = start.read(path)
    except StartError as problem:
        sys.exit(f"lifthead.node: {problem}")
    asyncio.run(serve(path, told))
