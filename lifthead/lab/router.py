"""One router in simulated time: hosts the same decision module as the daemon, without the sockets.

What the daemon observes on sockets arrives here as the same observations and maps to the same attempt
outcomes. Broken streams go through the same resume queue."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lifthead import control
from lifthead.deployment.derive import deployment
from lifthead.deployment.fleet import EngineSpec, Fleet
from lifthead.engines.codec import OUTCOMES, Observation
from lifthead.interface import AttemptOutcome, EngineEntry, LoadReport, RequestSpec
from lifthead.lab.clock import Clock
from lifthead.lab.engine import Attempt, Engine
from lifthead.resume import stall_detector
from lifthead.resume.resume_queue import BrokenStream, ResumeQueue

HOP_DELAY = 250  # microseconds that a message between two processes takes
CHECK_INTERVAL = 50_000  # microseconds between checks for lost streams and expired resumes


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's attempt at this router, with the router's attempts at engines for it."""

    client_attempt: Any  # a ClientAttempt of clients.py
    serial: int  # names the request; stays the same when its stream is resumed
    id: int  # names it in the decision module; each resume gets a new one
    in_flight: Attempt | None = None
    state_source: tuple[Engine, str] | None = None  # prefill engine and attempt that hold its KV state
    release_due: bool = False  # release the state when the attempt that fetches it has ended
    attempt_number: int = 0  # of the next attempt; starts again at 0 with each resume
    attempts_sent: int = 0
    first_token_seen: bool = False
    first_token_at: int = 0
    answer_tokens: int = 0  # delivered by decode engines that the stream outlived
    resumes: int = 0
    last_run: tuple[str, int] = ("", 0)  # engine of the stream before the resume, and when it was sent there
    outcome: str = ""  # "" until the final answer


class Router:
    def __init__(
        self,
        fleet: Fleet,
        name: str,
        seed: int,
        clock: Clock,
        engines: dict[str, Engine],
        router_factory: Callable[..., control.Router],
    ) -> None:
        self.fleet, self.name, self.clock, self.engines, self.router_factory = (
            fleet,
            name,
            clock,
            engines,
            router_factory,
        )
        self.seed, self.incarnation, self.up = seed, 0, False
        self.start()

    def start(self) -> None:
        self.incarnation, self.up = self.incarnation + 1, True
        self.pending_requests: dict[int, PendingRequest] = {}
        self.streams: dict[int, PendingRequest] = {}  # streaming or waiting to be resumed, by serial
        self.readiness: dict[str, tuple[str, int]] = {}
        self.resume_queue = ResumeQueue()
        self._next_id = 1
        start = deployment(self.fleet, self.name, hash_seed(self.seed, self.name, self.incarnation))
        self.drain_grace, self.request_classes = int(self.fleet.rules.drain_grace), start.request_classes
        self.control = self.router_factory(self, start)

    def kill(self) -> list[PendingRequest]:
        """Kills the router process; returns its pending requests."""
        self.up, self.incarnation = False, self.incarnation + 1
        found = list(self.pending_requests.values())
        for pending in found:
            pending.outcome = pending.outcome or "router killed"
            if pending.in_flight:
                pending.in_flight.ended_at_router = True
                pending.in_flight.engine.on_connection_closed(pending.in_flight)
        return found

    def on_engine_list(self, entries: list[tuple[EngineSpec, str, int]], whole: bool) -> None:
        updates = []
        for spec, readiness, up_since in entries:
            if self.readiness.get(spec.name, ("", 0))[0] != readiness:
                self.readiness[spec.name] = readiness, self.clock.now
            updates.append(
                EngineEntry(spec.name, spec.zone, spec.cell, spec.kind, spec.weight, up_since, readiness)
            )
        self.control.on_engine_list(updates, whole)

    @property
    def ready(self) -> bool:
        return self.up and bool(self.readiness)

    # Called for clients.

    def accept(self, client_attempt: Any) -> PendingRequest:
        pending = PendingRequest(client_attempt, self._next_id, self._next_id)
        self._next_id += 1
        self.pending_requests[pending.id] = pending
        self._submit(
            pending, client_attempt.budget, client_attempt.prompt_tokens, client_attempt.max_answer_tokens
        )
        return pending

    def _submit(
        self, pending: PendingRequest, budget: int, prompt_tokens: int, max_answer_tokens: int
    ) -> None:
        client_attempt = pending.client_attempt
        self.control.on_request(
            RequestSpec(
                pending.id,
                client_attempt.request_class,
                client_attempt.tenant,
                budget,
                prompt_tokens,
                max_answer_tokens,
                client_attempt.session,
                client_attempt.shared_prefix,
                client_attempt.shared_prefix_tokens,
                0,
                client_attempt.is_retry or pending.resumes > 0,
                *pending.last_run,
            )
        )

    def client_left(self, pending: PendingRequest) -> None:
        if pending.outcome or not self.up:
            return
        pending.outcome = "left"
        self.control.on_client_left(pending.id)
        self.resume_queue.remove(pending.serial)
        self.streams.pop(pending.serial, None)
        if pending.first_token_seen and pending.in_flight:
            self.cancel_attempt(pending.id, pending.in_flight.number)
        self._forget(pending)

    # Called by the decision module.

    def now(self) -> int:
        return self.clock.now

    def set_timer(self, after: int, key: int) -> None:
        self.clock.call_later(after, self._fire_timer, self.incarnation, key)

    def _fire_timer(self, incarnation: int, key: int) -> None:
        if incarnation == self.incarnation and self.up:
            self.control.on_timer(key)

    def start_attempt(self, request_id: int, engine: str, abandon_at: int, send_by: int) -> None:
        pending, target = self.pending_requests[request_id], self.engines[engine]
        client_attempt, prompt_tokens = (
            pending.client_attempt,
            pending.client_attempt.prompt_tokens + pending.answer_tokens,
        )
        pending.in_flight = attempt = Attempt(
            f"{self.name}-{self.incarnation:x}-{pending.serial}.{pending.attempts_sent}",
            client_attempt.id,
            self,
            pending,
            pending.attempt_number,
            target,
            client_attempt.request_class,
            prompt_tokens,
            max(client_attempt.max_answer_tokens - pending.answer_tokens, 1),
            max(client_attempt.answer_tokens - pending.answer_tokens, 1),
            client_attempt.shared_prefix,
            client_attempt.shared_prefix_tokens,
            client_attempt.session,
            target.role == "read",
            pending.state_source,
            self.clock.now,
        )
        pending.attempt_number, pending.attempts_sent = pending.attempt_number + 1, pending.attempts_sent + 1
        attempt.abandon_timer = self.clock.call_at(abandon_at, self._end, attempt, Observation.OUT_OF_TIME)
        self.clock.call_later(attempt.engine.overheads.own, self._send, attempt)

    def _send(self, attempt: Attempt) -> None:
        if attempt.ended_at_router:
            return
        attempt.sent_at = self.clock.now
        readiness, changed_at = self.readiness[attempt.engine.spec.name]
        if attempt.engine.down:
            self.on_observation(attempt, Observation.NO_CONNECTION, 0, None)
        elif readiness != "ready" and self.clock.now - changed_at > self.drain_grace:
            self.on_observation(attempt, Observation.STALE, 0, None)
        else:
            self.clock.call_later(HOP_DELAY, self._deliver, attempt)

    def _deliver(self, attempt: Attempt) -> None:
        if attempt.ended_at_router:
            return
        if attempt.engine.down:
            return self.on_observation(attempt, Observation.CUT, 0, None)
        return attempt.engine.receive(attempt)

    def cancel_attempt(self, request_id: int, number: int) -> None:
        pending = self.pending_requests.get(request_id)
        attempt = pending.in_flight if pending else None
        if attempt and attempt.number == number and not attempt.cancelled:
            attempt.cancelled = True
            observation = Observation.STALLED if attempt.loss_reason else Observation.CALLED_OFF
            self.clock.call_later(0, self._end, attempt, observation)

    def release_state(self, request_id: int) -> None:
        """A decode attempt that has arrived keeps its state: the release waits until that attempt ends."""
        pending = self.pending_requests.get(request_id)
        if pending and pending.state_source:
            pending.release_due = pending.in_flight is not None and pending.in_flight.engine.reachable
            if not pending.release_due:
                self._release_held_state(pending)

    def _release_held_state(self, pending: PendingRequest) -> None:
        if pending.state_source:
            engine, attempt_id = pending.state_source
            self.clock.call_later(HOP_DELAY, engine.release, attempt_id)
            pending.state_source = None

    def reject(self, request_id: int, retry_after: int) -> None:
        self._finish(self.pending_requests[request_id], "pushed back", retry_after)

    def fail(self, request_id: int) -> None:
        self._finish(self.pending_requests[request_id], "aborted", 0)

    def _finish(self, pending: PendingRequest, outcome: str, retry_after: int = 0) -> None:
        if pending.outcome:
            return
        if outcome != "done" and (pending.first_token_seen or pending.resumes):
            outcome = "aborted"
        pending.outcome = outcome
        self.resume_queue.remove(pending.serial)
        self.streams.pop(pending.serial, None)
        self.clock.call_later(HOP_DELAY, pending.client_attempt.on_answer, pending, outcome, retry_after)

    def probe(self, engine: str) -> None:
        self.clock.call_later(2 * HOP_DELAY, self._probe_answered, self.incarnation, engine)

    def _probe_answered(self, incarnation: int, engine: str) -> None:
        if incarnation == self.incarnation and not self.engines[engine].down:
            self.control.on_load_report(engine, self.engines[engine].load_report())

    def watch_engines(self) -> None:
        """Does nothing: the engine list is pushed."""

    # Called by engines.

    def on_first_token(self, attempt: Attempt, report: LoadReport) -> None:
        if attempt.ended_at_router:
            return
        pending, client_attempt = attempt.pending, attempt.pending.client_attempt
        pending.first_token_seen, pending.state_source = True, None
        self.control.on_load_report(attempt.engine.spec.name, report)
        self.control.on_first_token(
            pending.id, attempt.number, self.clock.now - attempt.sent_at, client_attempt.streamed
        )
        if pending.resumes:
            self.resume_queue.remove(pending.serial)
        elif client_attempt.streamed:
            pending.first_token_at = self.clock.now
        if client_attempt.streamed:
            self.clock.cancel(attempt.abandon_timer)
            self.streams[pending.serial] = pending

    def on_observation(
        self, attempt: Attempt, observation: Observation, note: int, report: LoadReport | None
    ) -> None:
        """The engine answered or its connection broke; the router sees it one hop later."""
        if observation is Observation.WRITTEN and not attempt.ended_at_router:
            self._finish(attempt.pending, "done")  # the client has its answer when the stream ends
        self.clock.call_later(HOP_DELAY, self._end, attempt, observation, note, report)

    def _end(
        self, attempt: Attempt, observation: Observation, note: int = 0, report: LoadReport | None = None
    ) -> None:
        """Ends the attempt, once: closes its connection, then reports its outcome to the decision module."""
        if attempt.ended_at_router or not self.up:
            return
        pending, attempt.ended_at_router = attempt.pending, True
        self.clock.cancel(attempt.abandon_timer)
        tokens = (
            attempt.engine.tokens_generated(attempt)
            if pending.first_token_seen and not attempt.engine.down
            else 0
        )
        if observation not in (
            Observation.READ,
            Observation.WRITTEN,
            Observation.TURNED_AWAY,
            Observation.STATE_GONE,
        ):
            attempt.engine.on_connection_closed(attempt)
            if attempt.is_prefill:
                self.clock.call_later(HOP_DELAY, attempt.engine.release, attempt.id)
        if observation is Observation.READ:
            pending.state_source = attempt.engine, attempt.id
        elif observation is Observation.STATE_GONE:
            pending.state_source = None
        outcome, default_note = OUTCOMES[observation]
        pending.in_flight = None
        if pending.release_due and observation is not Observation.READ:
            pending.release_due = False
            self._release_held_state(pending)
        resuming = False
        if pending.first_token_seen and outcome is not AttemptOutcome.COMPLETED:
            if not pending.client_attempt.streamed:
                pending.first_token_seen = False
            elif not pending.outcome:
                resuming = self._stream_broken(pending, attempt, min(tokens, attempt.answer_tokens))
        final = outcome is AttemptOutcome.COMPLETED or pending.outcome != "" or resuming
        self.control.on_attempt_ended(
            pending.id,
            attempt.number,
            attempt.engine.spec.name,
            outcome,
            self.clock.now - attempt.sent_at,
            note or default_note,
            final,
            report,
        )
        if pending.outcome and pending.in_flight is None:
            self._release_held_state(pending)
        self._forget(pending)
        if resuming:
            self._submit_resumes()

    def _forget(self, pending: PendingRequest) -> None:
        if pending.outcome and pending.in_flight is None:
            self.pending_requests.pop(pending.id, None)

    # Streams that outlive their decode engine.

    def _stream_broken(self, pending: PendingRequest, attempt: Attempt, tokens: int) -> bool:
        pending.answer_tokens, pending.first_token_seen = pending.answer_tokens + tokens, False
        pending.last_run = attempt.engine.spec.name, attempt.sent_at
        if pending.answer_tokens >= pending.client_attempt.answer_tokens:
            self._finish(pending, "done")
            return False
        broken = self._broken_stream(pending, attempt)
        reason = self.resume_queue.add(broken) if self.fleet.rules.resume else "resume is off"
        if reason:
            pending.first_token_seen = True  # the client has already received a part of the answer
            self._finish(pending, "aborted")
            return False
        self.streams[pending.serial] = pending
        self.clock.call_at(
            self.resume_queue.waits_until(broken) + CHECK_INTERVAL, self._expire_resumes, self.incarnation
        )
        return True

    def _broken_stream(self, pending: PendingRequest, attempt: Attempt) -> BrokenStream:
        client_attempt = pending.client_attempt
        return BrokenStream(
            pending.serial,
            client_attempt.tenant,
            self.request_classes[client_attempt.request_class],
            pending.answer_tokens,
            client_attempt.prompt_tokens + pending.answer_tokens,
            max(client_attempt.max_answer_tokens - pending.answer_tokens, 1),
            pending.resumes,
            attempt.sent_at,
            "",
            self.clock.now,
        )

    def _expire_resumes(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.up:
            for broken in self.resume_queue.expire(self.clock.now):
                self._finish(self.streams[broken.stream], "aborted")
            self._submit_resumes()

    def _submit_resumes(self) -> None:
        self.resume_queue.running_streams = len(self.streams) - self.resume_queue.waiting_count
        for broken in self.resume_queue.take_next(self.clock.now):
            pending = self.streams[broken.stream]
            self.pending_requests.pop(pending.id, None)
            pending.id, self._next_id = self._next_id, self._next_id + 1
            self.pending_requests[pending.id] = pending
            pending.resumes, pending.attempt_number = pending.resumes + 1, 0
            self._submit(
                pending,
                self.resume_queue.first_token_budget(broken, self.clock.now),
                broken.prefill_tokens,
                broken.remaining_tokens,
            )

    def on_silent_stream(self, attempt: Attempt) -> None:
        """One stream of a decode engine goes silent while the others continue."""
        self.clock.call_later(
            SILENCE_DETECTION_DELAY * stall_detector.SINGLE_STREAM_FACTOR,
            self._give_up_stream,
            attempt,
            "silent",
        )
        self.clock.call_later(self.fleet.limits.stalled_for, self._end, attempt, Observation.STALLED)

    def _give_up_stream(self, attempt: Attempt, reason: str) -> None:
        pending = attempt.pending
        resumable = (
            self.up
            and self.fleet.rules.resume
            and pending.in_flight is attempt
            and pending.first_token_seen
            and pending.client_attempt.streamed
        )
        if (
            resumable
            and not pending.outcome
            and not self.resume_queue.refusal_reason(self._broken_stream(pending, attempt))
        ):
            attempt.loss_reason = reason
            self.cancel_attempt(pending.id, attempt.number)

    def give_up_streams(self, engine: Engine, reason: str) -> None:
        """Resumes the engine's streams elsewhere where that is possible: once it has been silent as long as
        resume/stall_detector.py waits, or when a drain reaches its time limit."""
        for pending in list(self.streams.values()):
            if pending.in_flight and pending.in_flight.engine is engine:
                self._give_up_stream(pending.in_flight, reason)


SILENCE_DETECTION_DELAY = stall_detector.MIN_SILENCE + CHECK_INTERVAL  # microseconds


def hash_seed(seed: int, name: str, incarnation: int) -> int:
    """A separate seed for each incarnation of each router; the same on every machine."""
    return int.from_bytes(control.rendezvous_hash(f"{seed}|{incarnation}", name))
