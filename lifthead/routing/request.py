"""The state that the decision module keeps of one request until its last attempt has ended."""

from dataclasses import dataclass, field

from lifthead.interface import Idempotency, RequestClass, RequestSpec
from lifthead.leases import Lease
from lifthead.state import Attempt, Engine


@dataclass(slots=True, eq=False)
class Request:
    """A request that this router has accepted and whose attempts have not all ended."""

    spec: RequestSpec
    request_class: RequestClass
    idempotency: Idempotency
    prompt_tokens: int
    deadline: int  # when the client gives up
    affinity_key: str  # session or prefix whose hash selects the prefill engine
    ttft_target: int  # for a prompt of this length
    first_token_limit: int  # the TTFT target, or less if the client gives up sooner
    over_share: bool = False  # its tenant has used up its share
    attempts: int = 0
    in_flight: Attempt | None = None
    lease: Lease | None = None  # of its state at a prefill engine
    abandoned_call_sent_at: int = (
        0  # when the last decode call was sent that got no response and was given up
    )
    may_have_run_on: Engine | None = None
    repeat_until: int = 1 << 62  # no attempt is sent after this
    answered: bool = False
    streaming: bool = False
    tried_engines: set[str] = field(default_factory=set)
    probe_candidates: list[Engine] | None = None  # prefill engines probed for it, the key's own first
    awaited_probes: set[str] = field(default_factory=set)  # candidates that have not answered yet
    unreachable_zones: list[str] = field(default_factory=list)  # one entry for each failed connection
