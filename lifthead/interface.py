"""What crosses between the decision module (control.py) and the program that hosts it.

The host calls one method of control.Router for each thing that happens and hands over a `Host`, through
which the module acts. Times are whole microseconds on the host's clock; ids stay as the host gives them.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Ending(Enum):
    """How a forward ended."""

    DONE = "done"
    READ = "read"  # the prompt is read and its state waits at the reader
    BUSY = "busy"  # turned away, or no state to fetch
    ERROR = "error"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection was made
    BROKEN = "broken"  # the connection broke with the forward in flight
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class Effect(Enum):
    """What may happen if a req of an endpoint group runs twice."""

    REPLAYABLE = "replayable"
    KEYED = "keyed"
    NON_REPLAYABLE = "non-replayable"


@dataclass(frozen=True, slots=True)
class EndpointGroup:
    name: str
    effect: Effect
    keyed_within: str  # "all", "zone" or "cell": the engines that drop a keyed repeat
    keyed_for: int
    target: int  # response target, before the part that grows with the prompt
    target_per_1000: int
    deadline: int
    token_target: int
    importance: float
    late_share: float  # part of the importance that a late answer still earns

    @property
    def repeats_for(self) -> int:
        """How long after an attempt that may have run its repeat is known as one, or may run as well."""
        return self.keyed_for if self.effect is Effect.KEYED else 1 << 62

    def target_of(self, prompt: int) -> int:
        """Response target of a prompt of so many tokens, microseconds."""
        return self.target + self.target_per_1000 * prompt // 1000


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """What an instance is told when it starts."""

    zone: str
    routers: int
    tick: int
    seed: int
    groups: dict[str, EndpointGroup]
    tenants: dict[str, Tenant]
    roles: dict[str, str]  # engine kind -> "read", "write" or "both"
    memory: dict[str, int]  # engine kind -> tokens
    writers_read: bool
    let_go_by: int
    cold_share: float
    warm_within: int
    tip_multiple: float
    overload_for: int
    max_forwards: int
    may_cancel: bool
    may_probe: bool
    may_hold_off: bool
    max_hold_off: int
    reports_on_probe: bool
    must_ask: bool  # news of engines comes only when asked for
    ask_within: int
    silent_losses: bool = True  # what is sent may never arrive without a word; the simulator tells of each


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """One line of the list of engines."""

    engine: str
    zone: str
    cell: int
    kind: str
    weight: float
    up_since: int  # 0: long ago
    readiness: str  # "ready", "draining" or "gone"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's own word on its load; a figure that it does not give is None."""

    held: float | None = None
    queued: float | None = None
    slots_used: float | None = None
    memory_used: float | None = None
    unread_thousands: float | None = None


@dataclass(frozen=True, slots=True)
class Demand:
    """A req as its client sent it."""

    id: int
    group: str
    tenant: str
    budget: int
    prompt: int
    max_out: int
    session: str
    beginning: str  # id of the shared beginning, "" if none
    beginning_len: int
    expected_time: int  # rough time of the whole answer at the token target, 0 if not told
    again: bool
    ran: str = ""  # the engine whose stream of it broke: this is the rest of it ...
    ran_at: int = 0  # ... and when that forward was sent


class Host(Protocol):
    """What the module may do. Every call is carried out at the time of the event being handled. An attempt
    whose connection comes up only after `send_by` is not sent, and ends so."""

    def now(self) -> int: ...

    def forward(self, req: int, engine: str, abandon_at: int, send_by: int) -> None: ...

    def cancel(self, req: int, forward: int) -> None: ...

    def free_state(self, req: int) -> None: ...

    def push_back(self, req: int, hold_off: int) -> None: ...

    def abort(self, req: int) -> None: ...

    def wake(self, after: int, label: int) -> None: ...

    def probe(self, engine: str) -> None: ...

    def watch_engines(self) -> None: ...
