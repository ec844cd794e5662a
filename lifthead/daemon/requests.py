"""The daemon's records of a request, its attempt in flight and an engine; they extend lifthead/hosting.py."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from lifthead import hosting
from lifthead.chat.codec import ClientRequest
from lifthead.resume.splice import SentAnswer


@dataclass(slots=True, eq=False)
class ChatAttempt(hosting.AttemptInFlight):
    """An attempt that is in flight at an engine."""

    abandon_cause: str = ""  # why the router gives up its stream while the client is still there
    answer_tokens: int = 0  # received so far


@dataclass(slots=True, eq=False, kw_only=True)
class PendingChatRequest(hosting.PendingRequest):
    """An accepted request that has no final answer yet, or still has an attempt in flight.

    `id` is its name to the decision module and changes with each resume of its stream.
    """

    serial: int  # unique in this process, never changes
    name: str
    request: ClientRequest
    accepted_at: int
    state_handle: Any = None  # of the held state at a prefill engine
    first_text_at: int = 0
    attempts_sent: int = 0  # over all resumes
    engine_body: dict[str, Any] = field(default_factory=dict)  # the JSON body that engines get now
    answer_so_far: SentAnswer = field(default_factory=SentAnswer)
    resumes: int = 0  # times that its stream was resumed
    broken_at: int = 0
    break_cause: str = ""  # of the last break
    tokens_before_resume: int = 0  # answer tokens that the client had at the last break
    delivered_tokens: int = 0  # answer tokens that the client was sent
    generated_tokens: int = 0  # answer tokens that engines generated, as far as their streams showed
    cached_prompt_tokens: int = 0  # prompt tokens that the last prefill found in the prefix cache
    recomputed_tokens: int = 0  # tokens that were prefilled again for resumes
    billed: bool = False
    broken_attempt: tuple[str, int] = ("", 0)  # engine and sending time of the attempt whose stream broke
    ended_at: int = 0
    attempt_history: list[str] = field(default_factory=list)  # ENGINE:OBSERVATION of each attempt


@dataclass(slots=True, eq=False)
class ChatEndpoint(hosting.Endpoint):
    """An engine as the daemon knows it."""

    drain_deadline: int = 0  # on this machine's monotonic clock; 0: no limit


class UsageRecorder(Protocol):
    """Records what each request has used (lifthead/ledger/)."""

    async def record_complete(self, pending: PendingChatRequest) -> None:
        """The answer is complete except for its end; returns once the end may be sent."""

    def record_ended(self, pending: PendingChatRequest) -> None:
        """The request has ended, in whatever way."""
