"""Draws the schedule of a fault soak from a seed: the same seed always gives the same schedule.

Faults may overlap and begin after a quiet time. One prefill and one decode engine are spared, so that each
router can always reach one; a request that no engine can serve can't be judged.
"""

import random
from dataclasses import dataclass
from enum import Enum

from lifthead.standins.faults import settings
from lifthead.standins.faults.checker import DISCOVERY
from lifthead.standins.faults.clients import Request
from lifthead.standins.faults.fleet import FleetSize
from lifthead.standins.faults.proxy import Fault

REQUESTS_PER_S = 12.0
CLASS_SHARES = (
    (settings.IDEMPOTENT, 0.6),
    (settings.NON_IDEMPOTENT, 0.25),
    (settings.WITH_IDEMPOTENCY_KEY, 0.15),
)
LONG_PROMPT_SHARE = 0.7
DISCONNECT_SHARE = 0.06
PARTIAL_REQUEST_SHARE = 0.03
DEADLINES = ((0.4, 1.2), (1.2, 3.0), (3.0, 5.0))  # seconds; the longest budget is drawn from one of these
MIN_BUDGET_SHARE = 0.4  # of the longest budget
PERSISTENT_CLIENTS = 3  # clients at each router that reuse one connection while it stays open
PERSISTENT_SHARE = 0.4  # their share of the requests
MAX_SLOW_SHARE = 0.3  # of the requests that are slow at any decode engine
MAX_CLOSE_DELAY = 0.3  # seconds until engines see that a connection was closed
MAX_START_DELAY = 0.02  # seconds until engines begin with a request that has arrived
MAX_MISBEHAVIOUR_SHARE = 0.15  # of the requests that engines answer wrongly
MAX_SPOILT_SHARE = 0.2  # of the streams
IDLE_CONNECTIONS = 90  # opened at once at a router that may have LOW_SOCKET_LIMIT sockets
LOW_SOCKET_LIMIT = 160
SOCKET_LIMIT = 512
SESSIONS = 20
MAX_FAULT_DURATION = 2.5  # seconds
MAX_STALL_DURATION = 0.15  # seconds for which a router is suspended
SETTLE_TIME = 1.5  # seconds after the last fault


class Action(Enum):
    """What a scheduled fault does to processes, the network or the list of engines."""

    NETWORK = "network"
    STOP_ENGINE = "stop_engine"  # SIGSTOP, then SIGCONT
    KILL_ENGINE = "kill_engine"  # SIGKILL, then a new process with an empty cache
    STALL_ROUTER = "stall_router"
    RESTART_ROUTER = "restart_router"  # SIGTERM, then a new process
    KILL_ROUTER = "kill_router"  # SIGKILL, then a new process
    RELOAD_ROUTER = "reload_router"  # SIGHUP
    DRAIN_ENGINE = "drain_engine"
    SIGNALS = "signals"  # SIGTERM and SIGHUP in any order, then a new process
    IDLE_CONNECTIONS = "crowd"  # clients that connect, send nothing or part of a request, and stay connected
    DISCOVERY = "discovery"  # a network fault between routers and discovery


NETWORK_FAULTS = tuple(Fault)
DISCOVERY_FAULTS = (Fault.SILENT, Fault.RESET, Fault.HANG, Fault.NEVER_UP, Fault.DELAY)
ACTION_WEIGHTS = {
    Action.NETWORK: 10, Action.STOP_ENGINE: 3, Action.KILL_ENGINE: 1, Action.STALL_ROUTER: 3,
    Action.RESTART_ROUTER: 1, Action.KILL_ROUTER: 1, Action.RELOAD_ROUTER: 1, Action.DRAIN_ENGINE: 1,
    Action.DISCOVERY: 2, Action.SIGNALS: 2, Action.IDLE_CONNECTIONS: 1,
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault. Times are in seconds, `at` from the beginning of the run."""

    at: float
    duration: float
    action: Action
    routers: tuple[str, ...]
    engines: tuple[str, ...]
    fault: Fault | None = None

    @property
    def kind(self) -> str:
        return f"{self.action.value}:{self.fault.value}" if self.fault else self.action.value


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """One request with its router and the time at which it is sent.

    `persistent_client` is the number of the client that sends it on its open connection, or -1 for a request
    on a connection of its own.
    """

    at: float
    router: str
    request: Request
    persistent_client: int = -1


@dataclass(frozen=True, slots=True)
class Conditions:
    """The conditions that hold for a whole run. Times are in seconds."""

    deadline: float  # the longest budget
    slow_share: float = 0.0
    sees_close_after: float = 0.0
    takes_up_after: float = 0.0
    sockets: int = SOCKET_LIMIT
    misbehaves: float = 0.0
    spoils: float = 0.0  # share of the streams that engines spoil

    @property
    def sigkill_after(self) -> float:
        """The earliest time after SIGTERM at which the platform may send SIGKILL."""
        return min(self.deadline, 3.0) + 0.7


@dataclass(frozen=True, slots=True)
class Schedule:
    """Everything that happens in one run."""

    seed: int
    size: FleetSize
    conditions: Conditions
    faults: tuple[ScheduledFault, ...]
    requests: tuple[ScheduledRequest, ...]
    duration: float


def draw_schedule(seed: int, duration: float = 8.0, minimum: FleetSize | None = None) -> Schedule:
    """Returns the schedule of this seed. `minimum` is the smallest number of processes."""
    rng = random.Random(seed)
    minimum = minimum or FleetSize(routers=2, prefill=3, decode=5)
    size = FleetSize(
        minimum.routers + rng.randint(0, 2),
        minimum.prefill + rng.randint(0, 2),
        minimum.decode + rng.randint(0, 3),
    )
    faults = _draw_faults(rng, size, duration)
    has_idle_connections = any(fault.action is Action.IDLE_CONNECTIONS for fault in faults)
    conditions = _draw_conditions(
        rng, has_idle_connections, random.Random(f"more {seed}"), random.Random(f"spoils {seed}")
    )
    requests = _draw_requests(rng, size, duration, conditions.deadline)
    return Schedule(seed, size, conditions, faults, requests, duration)


def _draw_conditions(
    rng: random.Random,
    has_idle_connections: bool,
    misbehaviour_rng: random.Random,
    spoil_rng: random.Random,
) -> Conditions:
    """Draws the conditions of a run.

    `misbehaviour_rng` and `spoil_rng` are separate generators, so that their draws don't change the rest of a
    seed's schedule.
    """
    return Conditions(
        deadline=rng.uniform(*rng.choice(DEADLINES)),
        slow_share=rng.choice((0.0, rng.uniform(0.0, MAX_SLOW_SHARE))),
        sees_close_after=rng.choice((0.0, rng.uniform(0.0, MAX_CLOSE_DELAY))),
        takes_up_after=rng.choice((0.0, rng.uniform(0.0, MAX_START_DELAY))),
        sockets=LOW_SOCKET_LIMIT if has_idle_connections else SOCKET_LIMIT,
        misbehaves=misbehaviour_rng.choice((0.0, misbehaviour_rng.uniform(0.0, MAX_MISBEHAVIOUR_SHARE))),
        spoils=spoil_rng.choice((0.0, spoil_rng.uniform(0.0, MAX_SPOILT_SHARE))),
    )


def _draw_faults(rng: random.Random, size: FleetSize, duration: float) -> tuple[ScheduledFault, ...]:
    routers = [f"n{number}" for number in range(size.routers)]
    prefill = [f"p{number}" for number in range(1, size.prefill)]  # p0 and d0 stay without faults
    decode = [f"d{number}" for number in range(1, size.decode)]
    quiet_until = rng.uniform(0.5, duration / 2)
    faults = []
    for _ in range(rng.randint(4, 9)):
        action = rng.choices(list(ACTION_WEIGHTS), list(ACTION_WEIGHTS.values()))[0]
        at = rng.uniform(quiet_until, duration - 1.0)
        length = rng.uniform(0.2, MAX_FAULT_DURATION)
        engines = rng.sample(prefill, rng.randint(0, len(prefill)))
        engines += rng.sample(decode, rng.randint(1, len(decode)))
        hit_routers = rng.sample(routers, rng.randint(1, len(routers)))
        fault = rng.choice(DISCOVERY_FAULTS if action is Action.DISCOVERY else NETWORK_FAULTS)
        faults.append(_build_fault(rng, action, at, length, hit_routers, engines, fault))
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _build_fault(
    rng: random.Random, action: Action, at: float, length: float, routers: list[str], engines: list[str],
    fault: Fault,
) -> ScheduledFault:  # fmt: skip
    one_router, one_engine = routers[:1], [rng.choice(engines)]
    if action is Action.NETWORK:
        return ScheduledFault(at, length, action, tuple(routers), tuple(engines), fault)
    if action is Action.DISCOVERY:
        return ScheduledFault(at, length, action, tuple(routers), (DISCOVERY,), fault)
    if action is Action.STALL_ROUTER:
        return ScheduledFault(at, rng.uniform(0.03, MAX_STALL_DURATION), action, tuple(one_router), ())
    if action in (
        Action.RESTART_ROUTER, Action.KILL_ROUTER, Action.RELOAD_ROUTER, Action.SIGNALS,
        Action.IDLE_CONNECTIONS,
    ):  # fmt: skip
        return ScheduledFault(at, length, action, tuple(one_router), ())
    return ScheduledFault(at, length, action, (), tuple(one_engine))


def _draw_requests(
    rng: random.Random, size: FleetSize, duration: float, deadline: float
) -> tuple[ScheduledRequest, ...]:
    requests: list[ScheduledRequest] = []
    at = 0.0
    while (at := at + rng.expovariate(REQUESTS_PER_S)) < duration:
        long = rng.random() < LONG_PROMPT_SHARE
        request = Request(
            name=f"r{len(requests)}",
            prompt=settings.LONG_PROMPT if long else settings.SHORT_PROMPT,
            budget=deadline * rng.uniform(MIN_BUDGET_SHARE, 1.0),
            request_class=rng.choices(
                [name for name, _ in CLASS_SHARES], [share for _, share in CLASS_SHARES]
            )[0],
            session=f"s{rng.randrange(SESSIONS)}",
            disconnects_after=rng.uniform(0.01, 1.0) if rng.random() < DISCONNECT_SHARE else 0.0,
            disconnects_by_reset=rng.random() < 0.5,
            sent_share=rng.uniform(0.0, 0.99) if rng.random() < PARTIAL_REQUEST_SHARE else 1.0,
        )
        stays = (
            not request.disconnects_after and request.sent_share == 1.0 and rng.random() < PERSISTENT_SHARE
        )
        persistent_client = rng.randrange(PERSISTENT_CLIENTS) if stays else -1
        requests.append(ScheduledRequest(at, f"n{rng.randrange(size.routers)}", request, persistent_client))
    return tuple(requests)
