"""A stand-in load balancer.

It checks routers as common load balancers do, by an agent check over TCP and by HTTP health checks with rise
and fall counts. It spreads connections by weight over the routers that are up. It records changes of their
state and the connections that it places.
"""

import asyncio
import contextlib
import random
from dataclasses import dataclass

from lifthead.standins.record import Record
from lifthead.standins.wire import call

RISE, FALL = 2, 2  # consecutive HTTP checks that make a router healthy or unhealthy


@dataclass(slots=True)
class Backend:
    """One router, as the load balancer sees it."""

    name: str
    address: str
    agent: str
    health: str
    reply: str = "down"  # the agent's latest reply
    weight: float = 0.0
    healthy: bool = False
    contrary_checks: int = 0  # consecutive health checks that contradict `healthy`

    @property
    def up(self) -> bool:
        return self.healthy and self.weight > 0


class Balancer:
    """`interval`: seconds between two checks of a router."""

    def __init__(self, record: Record, seed: int, interval: float = 0.05) -> None:
        self._record, self._interval = record, interval
        self._rng = random.Random(seed)
        self.backends: dict[str, Backend] = {}

    def add(self, name: str, address: str, agent: str, health: str) -> None:
        self.backends[name] = Backend(name, address, agent, health)

    async def run_checks(self) -> None:
        """Checks all routers until it is cancelled, each independently of the others."""
        async with asyncio.TaskGroup() as tasks:
            for backend in self.backends.values():
                tasks.create_task(self._check_backend(backend))

    async def _check_backend(self, backend: Backend) -> None:
        while True:
            reply = await self._check_agent(backend)
            if reply != backend.reply:
                self._record.put("word", router=backend.name, word=reply)
            backend.reply, backend.weight = reply, self._weight(reply)
            ready = await self._check_health(backend)
            backend.contrary_checks = backend.contrary_checks + 1 if ready != backend.healthy else 0
            if backend.contrary_checks >= (RISE if ready else FALL):
                backend.healthy, backend.contrary_checks = ready, 0
                self._record.put("health", router=backend.name, healthy=ready)
            await asyncio.sleep(self._interval)

    async def _check_agent(self, backend: Backend) -> str:
        writer = None
        host, _, port = backend.agent.rpartition(":")
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
                return (await reader.readline()).decode().strip() or "down"
        except (OSError, TimeoutError):
            return "down"
        finally:
            if writer:
                writer.close()

    async def _check_health(self, backend: Backend) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            return (await call(backend.health, "GET", "/ready", timeout=1.0))[0] == 200
        return False

    @staticmethod
    def _weight(reply: str) -> float:
        """The weight that an agent's reply stands for.

        Replies are `ready`, `up` or `up N%`. Any other one means no new connections.
        """
        if reply in ("ready", "up"):
            return 1.0
        if reply.startswith("up ") and reply.endswith("%") and reply[3:-1].isdigit():
            return int(reply[3:-1]) / 100
        return 0.0

    def choose(self) -> str | None:
        """The address for a new connection, or None if no router accepts any."""
        up = [backend for backend in self.backends.values() if backend.up]
        if not up:
            return None
        chosen = self._rng.choices(up, [backend.weight for backend in up])[0]
        self._record.put("sent", router=chosen.name)
        return chosen.address
