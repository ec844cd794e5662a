"""What the daemon's host knows of a request, of its attempt in flight and of an engine, beside what any host
does."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from lifthead import hosting
from lifthead.chat.codec import Asked
from lifthead.resume.splice import Written


@dataclass(slots=True, eq=False)
class ChatAttempt(hosting.AttemptInFlight):
    """An attempt that is under way at an engine."""

    lost: str = ""  # why its stream is given up, though nobody left
    tokens: int = 0  # answer tokens so far


@dataclass(slots=True, eq=False, kw_only=True)
class ChatRequest(hosting.PendingRequest):
    """A request that was accepted and whose attempts are not all over. The module knows it by another id each
    time that its stream is placed again."""

    serial: int  # this router's, once and for all
    name: str
    asked: Asked
    taken_at: int
    handle: Any = None  # of the state that waits at a prefill engine
    first_at: int = 0
    sent: int = 0  # attempts, however often it was placed
    body: dict[str, Any] = field(default_factory=dict)  # of what is sent to engines now
    written: Written = field(default_factory=Written)
    legs: int = 0  # times that the stream was placed again
    broken_at: int = 0
    cause: str = ""  # of the last break
    before: int = 0  # answer tokens that were written when it was placed last
    sent_tokens: int = 0  # answer tokens that the client was sent
    made: int = 0  # ... and that engines made, as far as their streams showed
    kept: int = 0  # prompt tokens that the engine which read last found kept
    read_anew: int = 0
    billed: bool = False
    ran: tuple[str, int] = ("", 0)  # where the broken stream ran, and when it was sent there
    ended_at: int = 0
    trail: list[str] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class ChatEndpoint(hosting.Endpoint):
    """An engine as the daemon knows it."""

    drain_deadline: int = 0  # on this router's clock, 0: no limit


class UsageRecorder(Protocol):
    """Who writes down what a request has used (lifthead/ledger/)."""

    async def done(self, pending: ChatRequest) -> None:
        """The answer is whole but for its end; returns once that may be sent."""

    def over(self, pending: ChatRequest) -> None:
        """The client has had the end of the answer."""
