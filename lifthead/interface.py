"""The interface between the decision module (control.py) and the program that hosts it.

The host calls one method of control.Router for each event and passes itself as a `Host`, through which the
module acts. Times are whole microseconds on the host's clock; ids are opaque and come from the host.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class AttemptOutcome(Enum):
    """How an attempt ended."""

    COMPLETED = "done"  # the whole answer was received
    PREFILLED = "read"  # the prompt is prefilled and its KV state waits at the prefill engine
    REJECTED = "busy"  # the engine turned the attempt away, or had no state to fetch
    ERROR = "error"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"  # no connection was established
    CONNECTION_LOST = "broken"  # the connection broke while the attempt was in flight
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class Idempotency(Enum):
    """Whether a request of a class may run twice."""

    IDEMPOTENT = "replayable"
    WITH_KEY = "keyed"  # engines recognise a repeat by its idempotency key and drop it
    NON_IDEMPOTENT = "non-replayable"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests that share their idempotency, latency targets and weight."""

    name: str
    idempotency: Idempotency
    key_scope: str  # engines that recognise a repeated key: "all", or those of one "zone" or "cell"
    key_ttl: int  # how long a key is remembered
    ttft_target: int  # time to first token, before the part that grows with the prompt
    ttft_target_per_1000: int  # added for each 1000 prompt tokens
    deadline: int
    tpot_target: int  # time per output token
    weight: float  # what an answer in time is worth
    late_share: float  # part of the weight that a late answer still earns

    @property
    def repeat_window(self) -> int:
        """How long after an attempt that may have run the request may be sent again."""
        return self.key_ttl if self.idempotency is Idempotency.WITH_KEY else 1 << 62

    def ttft_target_of(self, prompt_tokens: int) -> int:
        """TTFT target for a prompt of this length, in microseconds."""
        return self.ttft_target + self.ttft_target_per_1000 * prompt_tokens // 1000


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Settings that a router instance gets when it starts."""

    zone: str
    routers: int
    tick: int  # resolution of the host's timers
    seed: int
    request_classes: dict[str, RequestClass]
    tenants: dict[str, Tenant]
    role_by_kind: dict[str, str]  # engine kind -> "read" (prefill), "write" (decode) or "both" (mixed)
    memory_by_kind: dict[str, int]  # engine kind -> KV memory, in tokens
    decode_engines_prefill: bool  # decode engines can prefill prompts as well
    lease_duration: int  # how long a prefill engine may hold a state; 0: without limit
    slow_start_share: float  # part of a warm engine's throughput that a cold one may be sent
    slow_start_duration: int  # time after its start in which an engine counts as cold
    overload_multiple: float  # a cold engine is overloaded by this many times its slow-start share
    overload_window: int  # time over which that is measured
    max_attempts: int
    may_cancel: bool
    may_probe: bool
    may_send_retry_after: bool
    max_retry_after: int
    reports_on_probe: bool  # engines report their load only in answer to a probe
    list_on_request: bool  # updates of the engine list come only when requested
    list_requested_within: int  # time within which the list must be requested
    silent_losses: bool = True  # messages may get lost unnoticed; the simulator reports every loss


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
    """An engine's own load figures; None for a figure that it does not report."""

    in_flight: float | None = None  # requests, running and queued
    queued: float | None = None  # requests
    slots_used: float | None = None  # share of its slots
    memory_used: float | None = None  # share of its KV memory
    prefill_backlog_thousands: float | None = None  # prompt tokens that wait to be prefilled, in thousands


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request as its client sent it."""

    id: int
    request_class: str
    tenant: str
    budget: int
    prompt_tokens: int
    max_output_tokens: int
    session: str
    prefix_id: str  # id of the shared prefix, "" if none
    prefix_tokens: int  # length of the shared prefix
    expected_time: int  # estimated time of the whole answer at the TPOT target, 0 if not given
    is_retry: bool
    resumed_from: str = ""  # the engine whose stream broke, if this request continues that stream
    resumed_attempt_sent_at: int = 0  # when the attempt of the broken stream was sent


class Host(Protocol):
    """What the module may do. Each call takes effect at the time of the event that is being handled. An
    attempt whose connection is not up by `send_by` ends as not sent."""

    def now(self) -> int: ...

    def start_attempt(self, request_id: int, engine: str, abandon_at: int, send_by: int) -> None: ...

    def cancel_attempt(self, request_id: int, number: int) -> None: ...

    def release_state(self, request_id: int) -> None: ...

    def reject(self, request_id: int, retry_after: int) -> None: ...

    def fail(self, request_id: int) -> None: ...

    def set_timer(self, after: int, key: int) -> None: ...

    def probe(self, engine: str) -> None: ...

    def watch_engines(self) -> None: ...
