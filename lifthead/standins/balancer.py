"""A stand-in balancer: asks routers for their state as the common ones do (agent-check over TCP, HTTP
health with rise and fall) and spreads connections over those that are up, by weight. What it asked, heard
and sent goes to its record."""

import asyncio
import contextlib
import random
from dataclasses import dataclass

from lifthead.standins.record import Record
from lifthead.standins.wire import call

RISE, FALL = 2, 2  # HTTP answers in a row that change its mind


@dataclass(slots=True)
class Behind:
    """One router as the balancer sees it."""

    name: str
    address: str
    agent: str
    health: str
    word: str = "down"  # the agent's latest
    weight: float = 0.0
    healthy: bool = False
    streak: int = 0

    @property
    def up(self) -> bool:
        return self.healthy and self.weight > 0


class Balancer:
    """`every`: seconds between two checks of a router."""

    def __init__(self, record: Record, seed: int, every: float = 0.05) -> None:
        self._record, self._every = record, every
        self._chance = random.Random(seed)
        self.behind: dict[str, Behind] = {}

    def add(self, name: str, address: str, agent: str, health: str) -> None:
        self.behind[name] = Behind(name, address, agent, health)

    async def check(self) -> None:
        """Checks all routers for ever, each by itself."""
        async with asyncio.TaskGroup() as tasks:
            for each in self.behind.values():
                tasks.create_task(self._check(each))

    async def _check(self, each: Behind) -> None:
        while True:
            word = await self._agent(each)
            if word != each.word:
                self._record.put("word", router=each.name, word=word)
            each.word, each.weight = word, self._weight(word)
            ready = await self._ready(each)
            each.streak = each.streak + 1 if ready != each.healthy else 0
            if each.streak >= (RISE if ready else FALL):
                each.healthy, each.streak = ready, 0
                self._record.put("health", router=each.name, healthy=ready)
            await asyncio.sleep(self._every)

    async def _agent(self, each: Behind) -> str:
        writer = None
        host, _, port = each.agent.rpartition(":")
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
                return (await reader.readline()).decode().strip() or "down"
        except (OSError, TimeoutError):
            return "down"
        finally:
            if writer:
                writer.close()

    async def _ready(self, each: Behind) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            return (await call(each.health, "GET", "/ready", timeout=1.0))[0] == 200
        return False

    @staticmethod
    def _weight(word: str) -> float:
        """Agent-check's words: `ready`, `up`, `up N%`; everything else takes no new connections."""
        if word in ("ready", "up"):
            return 1.0
        if word.startswith("up ") and word.endswith("%") and word[3:-1].isdigit():
            return int(word[3:-1]) / 100
        return 0.0

    def choose(self) -> str | None:
        """The address for a new connection; None if no router takes any."""
        up = [each for each in self.behind.values() if each.up]
        if not up:
            return None
        chosen = self._chance.choices(up, [each.weight for each in up])[0]
        self._record.put("sent", router=chosen.name)
        return chosen.address
