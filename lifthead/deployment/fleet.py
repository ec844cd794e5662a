"""What a settings script describes, as plain types. The fields are the keywords of the script's functions; a
field's type is what the script may give there."""

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


class ScriptCall(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What one function call of the script describes."""


class Kind(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A kind of engine."""

    name: Name
    role: Literal["read", "write", "both"]  # prefill engine, decode engine, mixed engine
    memory: Count  # KV memory, tokens


class EngineSpec(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One engine. Port 0: the program that starts it (`lifthead up`) picks a free one."""

    name: Name
    address: Address = "127.0.0.1:0"
    zone: Name
    cell: Annotated[int, Meta(ge=0)] = 0
    kind: Name
    weight: Positive = 1.0


class Group(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A request class: its requests' weight, targets and deadline, and whether one of them may run twice."""

    name: Name
    models: list[Name]  # a request for one of these models is of this class
    effect: Literal["replayable", "keyed", "non-replayable"] = "replayable"  # idempotent, with key, neither
    keyed_within: Literal["all", "zone", "cell"] = "all"  # the engines that share their idempotency keys
    keyed_for: Microseconds = Microseconds(5_000_000)  # how long they remember a key
    target: Microseconds  # TTFT, time to first token
    target_per_1000: Microseconds = ZERO  # added to the TTFT target for each 1000 prompt tokens
    deadline: Microseconds
    token_target: Microseconds = Microseconds(60_000)  # TPOT, time per output token
    importance: Positive = 1.0  # weight
    late_share: Share = 0.0  # share of the weight that a late answer still earns


class TenantSpec(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A sender of requests, identified by an API key."""

    name: Name
    keys: Annotated[list[Annotated[str, Meta(min_length=8)]], Meta(min_length=1)]
    share_per_s: Positive  # requests a second, over all routers


class RouterSpec(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One router process and where it listens."""

    name: Name
    zone: Name
    listen: Address = "127.0.0.1:0"
    health: Address = "127.0.0.1:0"  # HTTP: /live, /ready, /metrics
    agent: Address = "127.0.0.1:0"  # agent-check
    admin: str = ""  # path of the admin Unix socket; "": NAME.sock in the run directory


class Rules(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The parameters of the routing rules, and what a router may do."""

    drain_grace: Microseconds = Microseconds(250_000)  # how long a draining engine may still be sent attempts
    let_go_within: Microseconds = Microseconds(500_000)  # how long a held state may stay unused
    cold_share: Share = 0.25  # capacity of an engine that has just started, as a share of its warm capacity
    warm_within: Microseconds = Microseconds(14_000_000)  # slow start: time until an engine is warm
    tip_multiple: Positive = 2.5  # a cold engine fails at this multiple of what it can do in a window ...
    overload_for: Microseconds = Microseconds(1_500_000)  # ... of this length
    max_forwards: Count = 5  # attempts for one request
    max_hold_off: Microseconds = Microseconds(500_000)  # longest Retry-After of a rejection
    writers_read: bool = True  # decode engines may prefill
    resume: bool = True  # a stream whose decode engine is lost is resumed at another one
    probes: bool = False  # ask engines for load reports besides those in their answers


class Limits(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits on what clients may send, and on what a router holds for them."""

    header_bytes: Count = 16_384
    body_bytes: Count = 4_194_304
    header_within: Microseconds = Microseconds(5_000_000)  # from a request head's first byte to its last
    body_within: Microseconds = Microseconds(20_000_000)
    idle_for: Microseconds = Microseconds(75_000_000)
    connections: Count = 20_000
    in_hand: Count = 10_000  # pending requests
    stalled_for: Microseconds = Microseconds(30_000_000)  # a stream that is silent for so long is ended
    stop_within: Microseconds = Microseconds(120_000_000)  # a stop ends what is pending after this
    stop_notice: Microseconds = ZERO  # from the reply `drain` to load balancers to the last new request
    connect_within: Microseconds = Microseconds(250_000)


class LedgerSettings(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How usage is recorded. There is no ledger unless the script calls `ledger()`."""

    directory: str = ""  # "": ledger-NAME in the run directory
    period: Literal["month", "day"] = "month"
    zone: str = "UTC"  # time zone of the periods
    wait: bool = True  # the last event of an answer waits until its entry is on the disk
    commit_every: Microseconds = Microseconds(50_000)  # without `wait`: a kill may lose entries of this time
    when_unwritable: Literal["refuse", "unbilled"] = "refuse"
    export_to: str = ""  # URL under which batches are put
    export_every: Microseconds = Microseconds(10_000_000)


class BudgetSettings(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A tenant's budget of billed tokens in a period, over all routers together."""

    tenant: Name
    tokens: Count
    soft: Share = 0.8  # used share of the budget at which the tenant's share of the traffic begins to fall


class Headers(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The names of the headers that a deployment's clients use."""

    group: str = "x-endpoint-group"
    session: str = "x-session-id"
    budget_ms: str = "x-req-budget-ms"


class StandIn(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How a stand-in engine of one kind behaves (`lifthead engine`, `up`, `day`)."""

    kind: Name
    slots: Count = 32
    queue: Annotated[int, Meta(ge=0)] = 32
    read_per_s: Positive = 20_000.0  # prompt tokens prefilled a second
    step: Microseconds = Microseconds(20_000)  # a decode step: one token for each answer
    step_per_stream: Microseconds = Microseconds(100)  # added to a step for each answer
    near_per_s: Positive = 300_000.0  # tokens of held state fetched a second within a cell
    link_per_s: Positive = 200_000.0  # the same over the cell's network link, shared by all fetches
    zone_slower: Positive = 2.0  # how many times longer a fetch from another zone takes
    held_for: Microseconds = Microseconds(5_000_000)  # then a state that is still held is freed


class RequestMix(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What the requests of one request class look like in a client load."""

    group: Name
    share: Positive
    new_tokens: Count = 300  # mean for each turn; a prompt also holds all turns before it
    max_tokens: Count = 32
    beginning_tokens: Annotated[int, Meta(ge=0)] = 1500  # length of a shared prefix
    beginnings: Count = 6  # different shared prefixes
    beginning_share: Share = 0.9  # share of sessions that begin with one
    turns: Count = 3  # mean requests of a session


class ClientLoad(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The simulated clients of a scenario."""

    per_s: Positive
    length: Microseconds
    mix: list[RequestMix]
    retries: Annotated[int, Meta(ge=0)] = 1
    leaves: Share = 0.0  # share of requests whose client leaves early
    slow: Share = 0.0  # share of clients that read slowly
    unstreamed: Share = 0.1
    usage: dict[str, float] = {}  # weight of a tenant's traffic; a tenant left out has its `share_per_s`


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


class FaultSpec(ScriptCall, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A fault in a scenario. Which fields matter depends on `what`: docs/days.md."""

    what: FAULT_KINDS
    at: Microseconds
    lasts: Microseconds = Microseconds(5_000_000)
    engines: list[str] = []  # names, `zone:NAME`, `cell:N` or `kind:NAME`
    routers: list[str] = []
    part: Share = 1.0  # share of answers, prompts or traffic that it affects
    times: Positive = 4.0  # how much slower, longer or more
    limit: Microseconds = ZERO  # deadline of a drain: streams that would outlive it are moved
    group: str = ""
    tenant: str = ""


class Fleet(msgspec.Struct, kw_only=True):
    """All that one script describes."""

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

    def select_engines(self, selectors: list[str]) -> list[str]:
        """The names of the engines that any selector matches: a name, `zone:NAME`, `cell:N` or `kind:NAME`.
        Without selectors, all engines."""
        return [
            name
            for name, spec in self.engines.items()
            if not selectors
            or {name, f"zone:{spec.zone}", f"cell:{spec.cell}", f"kind:{spec.kind}"} & set(selectors)
        ]
