"""What a settings script describes, as plain types. A field's type is what the script may give there."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from lifthead.deployment.durations import Microseconds

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[A-Za-z0-9.\-]+:\d{1,5}$")]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
ZERO = Microseconds(0)


class Entry(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One call of the script."""


class Kind(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A kind of engine."""

    name: Name
    role: Literal["read", "write", "both"]
    memory: Count  # tokens


class EngineSpec(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One engine. Port 0: whoever starts it (`lifthead up`) finds one."""

    name: Name
    address: Address = "127.0.0.1:0"
    zone: Name
    cell: Annotated[int, Meta(ge=0)] = 0
    kind: Name
    weight: Positive = 1.0


class Group(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An endpoint group."""

    name: Name
    models: list[Name]  # a req for one of these is of this group
    effect: Literal["replayable", "keyed", "non-replayable"] = "replayable"
    keyed_within: Literal["all", "zone", "cell"] = "all"
    keyed_for: Microseconds = Microseconds(5_000_000)
    target: Microseconds
    target_per_1000: Microseconds = ZERO
    deadline: Microseconds
    token_target: Microseconds = Microseconds(60_000)
    importance: Positive = 1.0
    late_share: Share = 0.0


class TenantSpec(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Who sends reqs: known by an API key."""

    name: Name
    keys: Annotated[list[Annotated[str, Meta(min_length=8)]], Meta(min_length=1)]
    share_per_s: Positive  # reqs a second, over all routers


class RouterSpec(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One router process and where it listens."""

    name: Name
    zone: Name
    listen: Address = "127.0.0.1:0"
    health: Address = "127.0.0.1:0"  # HTTP: /live, /ready, /metrics
    agent: Address = "127.0.0.1:0"  # agent-check
    admin: str = ""  # path of the Unix socket; "": NAME.sock in the run directory


class Rules(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The figures of the rules, and what a router may do."""

    drain_grace: Microseconds = Microseconds(250_000)
    let_go_within: Microseconds = Microseconds(500_000)
    cold_share: Share = 0.25
    warm_within: Microseconds = Microseconds(14_000_000)
    tip_multiple: Positive = 2.5
    overload_for: Microseconds = Microseconds(1_500_000)
    max_forwards: Count = 5
    max_hold_off: Microseconds = Microseconds(500_000)
    writers_read: bool = True
    resume: bool = True  # a stream whose writer is lost goes on at another
    probes: bool = False  # ask engines for their load besides what their answers say


class Limits(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bounds on what clients may send and hold."""

    header_bytes: Count = 16_384
    body_bytes: Count = 4_194_304
    header_within: Microseconds = Microseconds(5_000_000)  # from the first byte of a req's head to its last
    body_within: Microseconds = Microseconds(20_000_000)
    idle_for: Microseconds = Microseconds(75_000_000)
    connections: Count = 20_000
    in_hand: Count = 10_000  # reqs taken and not yet answered
    stalled_for: Microseconds = Microseconds(30_000_000)  # a begun stream without a byte: the last guard
    stop_within: Microseconds = Microseconds(120_000_000)  # a stop ends what is left after this
    stop_notice: Microseconds = ZERO  # time between saying `drain` to balancers and taking no more
    connect_within: Microseconds = Microseconds(250_000)


class LedgerSettings(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How usage is written down. Only where the script says `ledger()`."""

    directory: str = ""  # "": ledger-NAME in the run directory
    period: Literal["month", "day"] = "month"
    zone: str = "UTC"  # time zone of the periods
    wait: bool = True  # the last event of an answer waits until its entry is on the disk
    commit_every: Microseconds = Microseconds(50_000)  # where it does not wait: what a kill may lose
    when_unwritable: Literal["refuse", "unbilled"] = "refuse"
    export_to: str = ""  # URL under which batches are put
    export_every: Microseconds = Microseconds(10_000_000)


class BudgetSettings(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A tenant's budget of billed tokens a period, for all routers together."""

    tenant: Name
    tokens: Count
    soft: Share = 0.8


class Headers(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Names of the headers that a deployment's clients use."""

    group: str = "x-endpoint-group"
    session: str = "x-session-id"
    budget_ms: str = "x-req-budget-ms"


class StandIn(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How a stand-in engine of one kind behaves (`lifthead engine`, `up`, `day`)."""

    kind: Name
    slots: Count = 32
    queue: Annotated[int, Meta(ge=0)] = 32
    read_per_s: Positive = 20_000.0  # prompt tokens
    step: Microseconds = Microseconds(20_000)  # one token for each running answer
    step_per_stream: Microseconds = Microseconds(100)
    near_per_s: Positive = 300_000.0  # state tokens within a cell
    link_per_s: Positive = 200_000.0  # over a cell's link, shared
    zone_slower: Positive = 2.0
    held_for: Microseconds = Microseconds(5_000_000)  # a state that nobody takes or lets go of


class RequestMix(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What one endpoint group's reqs of a crowd look like."""

    group: Name
    share: Positive
    new_tokens: Count = 300  # mean; a session's next prompt holds all before
    max_tokens: Count = 32
    beginning_tokens: Annotated[int, Meta(ge=0)] = 1500
    beginnings: Count = 6
    beginning_share: Share = 0.9
    turns: Count = 3


class ClientLoad(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The clients of a day."""

    per_s: Positive
    length: Microseconds
    mix: list[RequestMix]
    retries: Annotated[int, Meta(ge=0)] = 1
    leaves: Share = 0.0  # share of reqs whose client goes away early
    slow: Share = 0.0  # share of clients that read slowly
    unstreamed: Share = 0.1
    usage: dict[str, float] = {}  # a tenant's part of the traffic; left out: by shares


FAULT_KINDS = Literal[
    "silent",
    "slow",
    "reset",
    "lost",
    "full",
    "flush",
    "garbage",
    "crash",
    "vanish",
    "link_slow",
    "drain",
    "late_list",
    "havoc",
    "overlap",
    "router_kill",
    "router_roll",
    "router_stop",
    "roll",
    "naive_roll",
    "burst",
    "flood",
    "hot_beginning",
    "long_prompts",
    "impatient",
]


class FaultSpec(Entry, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Something that goes wrong on a day. Which fields count depends on `what`: docs/days.md."""

    what: FAULT_KINDS
    at: Microseconds
    lasts: Microseconds = Microseconds(5_000_000)
    engines: list[str] = []  # names, `zone:NAME`, `cell:N` or `kind:NAME`
    routers: list[str] = []
    part: Share = 1.0  # share of answers, prompts or traffic that it meets
    times: Positive = 4.0  # how much slower, longer or more
    limit: Microseconds = ZERO  # of a drain: streams that would outlive it are moved
    group: str = ""
    tenant: str = ""


class Fleet(msgspec.Struct, kw_only=True):
    """All that one script says."""

    kinds: dict[str, Kind] = {}
    engines: dict[str, EngineSpec] = {}
    groups: dict[str, Group] = {}
    tenants: dict[str, TenantSpec] = {}
    routers: dict[str, RouterSpec] = {}
    stand_ins: dict[str, StandIn] = {}
    rules: Rules = Rules()
    limits: Limits = Limits()
    headers: Headers = Headers()
    ledger: LedgerSettings | None = None
    budgets: dict[str, BudgetSettings] = {}
    crowd: ClientLoad | None = None
    troubles: list[FaultSpec] = []

    def select_engines(self, wanted: list[str]) -> list[str]:
        """Engines by name, `zone:NAME`, `cell:N` or `kind:NAME`; all if none are named."""
        return [
            name
            for name, spec in self.engines.items()
            if not wanted
            or {name, f"zone:{spec.zone}", f"cell:{spec.cell}", f"kind:{spec.kind}"} & set(wanted)
        ]
