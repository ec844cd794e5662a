"""A model of one engine: its prefix cache and KV memory, its speed, its faults.

All answers of a decode engine advance together, one token per step. The length of a step depends on the
number of running answers, on concurrent prefills, on the warm-up after a cold start and on slowness faults.
An answer is therefore two events on the engine's step count (first and last token), and a decode engine needs
a single timer however many answers it runs."""

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from typing import Any, Protocol

from lifthead.deployment.fleet import EngineSpec, Fleet, StandIn
from lifthead.engines.codec import Observation
from lifthead.interface import LoadReport
from lifthead.lab.clock import Clock, Timer
from lifthead.standins.cold import WarmUp
from lifthead.standins.engine import PREFIX_CACHE_ENTRIES, Fault

WARM_UP_UPDATE_INTERVAL = 500_000  # microseconds


@dataclass(frozen=True)
class Overheads:
    """Microseconds that processes take besides prefill, transfer and decode. fit.py fits them to the traffic
    records of real processes."""

    own: int = 2_600  # in a router, from a request or an attempt outcome to the attempt that follows
    engine: int = 0  # in an engine, from the arrival of an attempt to the start of its work
    first: int = 9_200  # from the generation of a token to its arrival at the client


class SendingRouter(Protocol):
    """The router that sent an attempt."""

    def on_first_token(self, attempt: "Attempt", report: LoadReport) -> None: ...
    def on_observation(
        self, attempt: "Attempt", observation: Observation, note: int, report: LoadReport | None
    ) -> None: ...
    def on_silent_stream(self, attempt: "Attempt") -> None: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt, from its sending to its end at the engine."""

    id: str
    client: str
    router: SendingRouter
    pending: Any  # the router's PendingRequest; opaque to the engine
    number: int
    engine: "Engine"
    request_class: str
    prompt_tokens: int
    max_answer_tokens: int
    answer_tokens: int  # tokens that the answer will have
    shared_prefix: str
    shared_prefix_tokens: int
    session: str
    is_prefill: bool
    state_source: "tuple[Engine, str] | None" = None  # prefill engine and attempt that hold its KV state
    sent_at: int = 0
    closed_at: int = 0  # when the router closed the connection
    ended_at_engine: bool = False
    ended_at_router: bool = False
    cancelled: bool = False
    loss_reason: str = ""  # why the router gives the stream up
    silent: bool = False  # the engine sends nothing more, though its work continues
    abandon_timer: Timer | None = None
    cached_tokens: int = 0
    first_token_step: int = 0  # the engine's step count at the first token


class Engine:
    def __init__(
        self,
        fleet: Fleet,
        spec: EngineSpec,
        seed: int,
        clock: Clock,
        record: Callable[..., None],
        overheads: Overheads,
    ) -> None:
        self.overheads = overheads
        self.spec, self.clock, self.record = spec, clock, record
        self.role, self.memory = fleet.kinds[spec.kind].role, fleet.kinds[spec.kind].memory
        self.stand_in = fleet.stand_ins.get(spec.kind) or StandIn(kind=spec.kind)
        self.rules = fleet.rules
        self.rng = random.Random(f"{seed}:{spec.name}")
        self.incarnation, self.down = 0, True
        self.faults: dict[str, Fault] = {}
        self.start(cold=False)

    def start(self, cold: bool) -> None:
        """Starts the engine with an empty prefix cache and no held state."""
        self.down, self.warm_up = False, WarmUp(self.rules, self.clock.now, cold)
        self.prefix_cache: OrderedDict[str, int] = OrderedDict()
        self.held_states: dict[str, int] = {}
        self.released_early: set[str] = set()
        self.attempts: dict[Attempt, None] = {}
        self.prefill_free_at = self.link_free_at = 0
        self.prefills = self.prefill_backlog_tokens = self.used_memory = self.used_slots = (
            self.running_streams
        ) = 0
        self.decode_queue: deque[Attempt] = deque()
        self.steps_done, self.steps_per_us, self.steps_counted_at = 0.0, 0.0, self.clock.now
        self.step_events: list[tuple[float, int, str, Attempt]] = []
        self._step_event_count = 0
        self._step_timer: Timer | None = None
        self.faults.clear()
        self.record(
            "start",
            name=self.spec.name,
            role=self.role,
            zone=self.spec.zone,
            cell=self.spec.cell,
            kind=self.spec.kind,
            cold=cold,
            slots=self.stand_in.slots,
            memory=self.memory,
        )
        if cold:
            self._call_later(WARM_UP_UPDATE_INTERVAL, self._update_warm_up)

    def kill(self) -> None:
        """Drops all state; routers see their connections break."""
        self.incarnation, self.down = self.incarnation + 1, True
        self.clock.cancel(self._step_timer)
        for attempt in list(self.attempts):
            attempt.ended_at_engine = True
            self.clock.call_later(0, attempt.router.on_observation, attempt, Observation.CUT, 0, None)
        self.attempts.clear()

    def _call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> None:
        """Like Clock.call_later, but a kill of the engine cancels the call."""
        self.clock.call_later(delay, self._call_in_incarnation, self.incarnation, callback, *args)

    def _call_in_incarnation(self, incarnation: int, callback: Callable[..., None], *args: Any) -> None:
        if incarnation == self.incarnation and not self.down:
            callback(*args)

    # Faults.

    def inject_fault(self, kind: str, fault: Fault) -> None:
        if kind == "flush":
            self.prefix_cache.clear()
            return
        self.faults[kind] = fault
        self._update_step_rate()
        self._call_later(fault.ends_at - self.clock.now, self._update_step_rate)

    @property
    def reachable(self) -> bool:
        """Whether a message sent now would arrive."""
        return not self.down and not self._active_fault("silent")

    def _active_fault(self, kind: str) -> Fault | None:
        active = self.faults.get(kind)
        return active if active and self.clock.now < active.ends_at else None

    def _fault_occurs(self, kind: str) -> bool:
        active = self._active_fault(kind)
        return active is not None and self.rng.random() < active.probability

    def _can_answer(self, callback: Callable[..., None], *args: Any) -> bool:
        """True if the engine is not silent; otherwise schedules the call for the end of the silence."""
        silent = self._active_fault("silent")
        if silent:
            self._call_later(silent.ends_at - self.clock.now, callback, *args)
        return silent is None

    def _update_warm_up(self) -> None:
        self._update_step_rate()
        if self.warm_up.capacity_fraction(self.clock.now) < 1:
            self._call_later(WARM_UP_UPDATE_INTERVAL, self._update_warm_up)

    def slowdown(self) -> float:
        """Factor by which prefills and steps take longer now."""
        slow = self._active_fault("slow")
        return (slow.factor if slow else 1.0) / self.warm_up.capacity_fraction(self.clock.now)

    # Attempts.

    def receive(self, attempt: Attempt) -> None:
        attempt.cached_tokens = (
            max(self.prefix_cache.get(attempt.session, 0), self.prefix_cache.get(attempt.shared_prefix, 0))
            if attempt.session
            else 0
        )
        work = (
            0.0
            if attempt.state_source
            else (attempt.prompt_tokens - attempt.cached_tokens) / self.stand_in.read_per_s * 1e6
        )
        work += (
            0.0
            if attempt.is_prefill
            else attempt.max_answer_tokens * self.stand_in.step / self.stand_in.slots
        )
        self.attempts[attempt] = None
        self.record(
            "forward",
            id=attempt.id,
            client=attempt.client,
            group=attempt.request_class,
            prompt=attempt.prompt_tokens,
            reads=attempt.is_prefill,
            work=round(work),
            key="",
        )
        self._call_later(self.overheads.engine, self._serve, attempt, work)

    def _serve(self, attempt: Attempt, work: float) -> None:
        if attempt.ended_at_engine or not self._can_answer(self._serve, attempt, work):
            return
        if self.warm_up.add_work(self.clock.now, work):
            self.record("fell", name=self.spec.name)
        full = self._active_fault("full")
        if self._fault_occurs("garbage"):
            self._end(attempt, "garbage")
            attempt.router.on_observation(attempt, Observation.STRANGE, 0, None)
        elif (
            self.warm_up.overloaded
            or (full and full.request_class in ("", attempt.request_class))
            or (attempt.is_prefill and self.role == "write")
        ):
            self._reject(attempt)
        elif attempt.is_prefill:
            if (
                self.prefills >= self.stand_in.slots + self.stand_in.queue
                or self.used_memory + attempt.prompt_tokens > self.memory
            ):
                return self._reject(attempt)
            self._prefill(attempt, self._hold_state)
        elif self.role == "read" or len(self.decode_queue) >= self.stand_in.queue:
            self._reject(attempt)
        else:
            self.decode_queue.append(attempt)
            self._start_queued()

    def _reject(self, attempt: Attempt, observation: Observation = Observation.TURNED_AWAY) -> None:
        self._end(attempt, "no state" if observation is Observation.STATE_GONE else "refused")
        attempt.router.on_observation(attempt, observation, 0, self.load_report())

    def _end(self, attempt: Attempt, outcome: str) -> None:
        if not attempt.ended_at_engine:
            attempt.ended_at_engine = True
            self.attempts.pop(attempt, None)
            self.record("end", id=attempt.id, how=outcome, closed=attempt.closed_at or None)

    def on_connection_closed(self, attempt: Attempt) -> None:
        """The router has closed the connection. A running prefill or state fetch still completes."""
        if self.down or attempt.ended_at_engine or attempt.closed_at:
            return
        attempt.closed_at = self.clock.now
        if attempt in self.decode_queue:
            self.decode_queue.remove(attempt)
            self._end(attempt, "closed")
        elif attempt.first_token_step:
            self._stop_decoding(attempt, "closed")
        elif attempt.silent or self._active_fault("silent"):
            self._end(attempt, "closed")

    # Prefill.

    def _prefill(self, attempt: Attempt, on_finished: Callable[[Attempt], None]) -> None:
        """Prefills run one after the other, in order of arrival."""
        uncached_tokens = max(attempt.prompt_tokens - attempt.cached_tokens, 1)
        duration = uncached_tokens / self.stand_in.read_per_s * 1e6 * self.slowdown()
        self.prefill_free_at = max(self.prefill_free_at, self.clock.now) + round(duration)
        self.prefills, self.prefill_backlog_tokens = (
            self.prefills + 1,
            self.prefill_backlog_tokens + uncached_tokens,
        )
        self._call_later(
            self.prefill_free_at - self.clock.now,
            self._prefill_finished,
            attempt,
            uncached_tokens,
            on_finished,
        )
        self._update_step_rate()

    def _prefill_finished(
        self, attempt: Attempt, uncached_tokens: int, on_finished: Callable[[Attempt], None]
    ) -> None:
        self.prefills, self.prefill_backlog_tokens = (
            self.prefills - 1,
            self.prefill_backlog_tokens - uncached_tokens,
        )
        for key, length in (
            (attempt.shared_prefix, attempt.shared_prefix_tokens),
            (attempt.session, attempt.prompt_tokens),
        ):
            if key:
                self.prefix_cache[key] = length
                self.prefix_cache.move_to_end(key)
        while len(self.prefix_cache) > PREFIX_CACHE_ENTRIES:
            self.prefix_cache.popitem(last=False)
        self._update_step_rate()
        on_finished(attempt)

    def _hold_state(self, attempt: Attempt) -> None:
        if not self._can_answer(self._hold_state, attempt):
            return
        if attempt.id in self.released_early:
            self.released_early.discard(attempt.id)
            return self._end(attempt, "dropped")
        self.held_states[attempt.id] = attempt.prompt_tokens
        self.used_memory += attempt.prompt_tokens
        self.record("held", id=attempt.id, tokens=attempt.prompt_tokens)
        self._call_later(self.stand_in.held_for, self._drop_state, attempt.id, "forgotten")
        if self._fault_occurs("lost") and not attempt.closed_at:
            attempt.silent = True  # the attempt stays open until its router closes the connection
            return None
        closed = bool(attempt.closed_at)
        self._end(attempt, "closed" if closed else "read")
        if not closed:
            attempt.router.on_observation(
                attempt, Observation.READ, attempt.cached_tokens, self.load_report()
            )
        return None

    def _drop_state(self, attempt_id: str, reason: str) -> bool:
        tokens = self.held_states.pop(attempt_id, None)
        if tokens is None:
            return False
        self.used_memory -= tokens
        self.record("taken" if reason == "taken" else "let_go", id=attempt_id, why=reason)
        self._start_queued()
        return True

    def release(self, attempt_id: str) -> None:
        """Drops a held state; one that is still being prefilled is dropped when its prefill ends."""
        if not self.down and not self._drop_state(attempt_id, "asked"):
            self.released_early.add(attempt_id)

    def transfer_state(
        self, attempt_id: str, decode_engine: "Engine", on_done: Callable[[bool], None]
    ) -> None:
        """A decode engine fetches a held state: within the cell, over the cell's link, or to another zone."""
        if self.down or attempt_id not in self.held_states:
            return on_done(False)
        tokens, same_cell = (
            self.held_states[attempt_id],
            (decode_engine.spec.zone, decode_engine.spec.cell) == (self.spec.zone, self.spec.cell),
        )
        if same_cell:
            until = self.clock.now + tokens / self.stand_in.near_per_s * 1e6
        else:
            slow, same_zone = self._active_fault("link_slow"), decode_engine.spec.zone == self.spec.zone
            factor = (slow.factor if slow else 1.0) * (1.0 if same_zone else self.stand_in.zone_slower)
            duration = tokens / self.stand_in.link_per_s * 1e6 * factor
            self.link_free_at = until = max(self.link_free_at, self.clock.now) + round(duration)
        incarnation = self.incarnation
        self.clock.call_at(
            until, lambda: on_done(incarnation == self.incarnation and self._transfer_finished(attempt_id))
        )
        return None

    def _transfer_finished(self, attempt_id: str) -> bool:
        return not self._active_fault("silent") and self._drop_state(attempt_id, "taken")

    # Decode.

    def _start_queued(self) -> None:
        """Starts decode attempts in order of arrival while slots and memory are free."""
        while self.decode_queue and self.used_slots < self.stand_in.slots and self.used_memory < self.memory:
            attempt = self.decode_queue.popleft()
            self.used_slots, self.used_memory = (
                self.used_slots + 1,
                self.used_memory + attempt.prompt_tokens + attempt.max_answer_tokens,
            )
            if attempt.state_source:
                prefill_engine, attempt_id = attempt.state_source
                prefill_engine.transfer_state(
                    attempt_id, self, partial(self._state_fetched, attempt, self.incarnation)
                )
            else:
                self._prefill(attempt, self._decode)

    def _state_fetched(self, attempt: Attempt, incarnation: int, found: bool) -> None:
        if incarnation != self.incarnation:
            return
        if found:
            return self._decode(attempt)
        self._free_slot(attempt)
        if attempt.closed_at:
            return self._end(attempt, "closed")
        return self._reject(attempt, Observation.STATE_GONE)

    def _decode(self, attempt: Attempt) -> None:
        if attempt.closed_at or attempt.ended_at_engine:
            self._free_slot(attempt)
            return self._end(attempt, "closed")
        self.record("ran", id=attempt.id)
        self._count_steps()
        self.running_streams += 1
        attempt.first_token_step = int(self.steps_done) + 1
        for kind in ("lost", "reset"):
            if self._fault_occurs(kind):
                self._schedule_step_event(
                    attempt.first_token_step + self.rng.randint(0, attempt.answer_tokens), kind, attempt
                )
        self._schedule_step_event(attempt.first_token_step, "first", attempt)
        self._schedule_step_event(attempt.first_token_step + attempt.answer_tokens - 1, "last", attempt)
        self._update_step_rate()
        return None

    def _schedule_step_event(self, step: float, kind: str, attempt: Attempt) -> None:
        self._step_event_count += 1
        heappush(self.step_events, (step, self._step_event_count, kind, attempt))

    def _count_steps(self) -> None:
        self.steps_done += (self.clock.now - self.steps_counted_at) * self.steps_per_us
        self.steps_counted_at = self.clock.now

    def _update_step_rate(self) -> None:
        """Recomputes the length of a step, which may have changed, and the timer of the next step event."""
        self._count_steps()
        step_duration = (
            self.stand_in.step + self.stand_in.step_per_stream * self.running_streams
        ) * self.slowdown()
        if self.prefill_free_at > self.clock.now and self.role != "read":
            step_duration *= 1.5
        self.steps_per_us = 0.0 if self._active_fault("silent") else 1 / step_duration
        self.clock.cancel(self._step_timer)
        self._step_timer = None
        if self.step_events and self.steps_per_us:
            delay = max((self.step_events[0][0] - self.steps_done) / self.steps_per_us, 0) + 1
            self._step_timer = self.clock.call_later(
                delay, self._call_in_incarnation, self.incarnation, self._fire_step_events
            )

    def _fire_step_events(self) -> None:
        self._count_steps()
        while self.step_events and self.step_events[0][0] <= self.steps_done + 1e-6:
            _, _, kind, attempt = heappop(self.step_events)
            if attempt.ended_at_engine:
                continue
            if kind == "first" and not attempt.silent:
                self.clock.call_later(
                    self.overheads.first, attempt.router.on_first_token, attempt, self.load_report()
                )
            elif kind == "lost":
                attempt.silent = True
                attempt.router.on_silent_stream(attempt)
            elif kind == "reset":
                self._stop_decoding(attempt, "closed")
                attempt.router.on_observation(attempt, Observation.CUT, 0, None)
            elif not attempt.silent:
                self._stop_decoding(attempt, "done")
                self.clock.call_later(
                    self.overheads.first,
                    attempt.router.on_observation,
                    attempt,
                    Observation.WRITTEN,
                    attempt.cached_tokens,
                    None,
                )
        self._update_step_rate()

    def tokens_generated(self, attempt: Attempt) -> int:
        """Answer tokens generated so far."""
        self._count_steps()
        return max(int(self.steps_done) - attempt.first_token_step + 1, 0) if attempt.first_token_step else 0

    def _stop_decoding(self, attempt: Attempt, outcome: str) -> None:
        self.record("wrote", id=attempt.id, tokens=min(self.tokens_generated(attempt), attempt.answer_tokens))
        self.running_streams -= 1
        self._free_slot(attempt)
        self._end(attempt, outcome)
        self._update_step_rate()

    def _free_slot(self, attempt: Attempt) -> None:
        self.used_slots, self.used_memory = (
            self.used_slots - 1,
            self.used_memory - attempt.prompt_tokens - attempt.max_answer_tokens,
        )
        self._start_queued()

    def load_report(self) -> LoadReport:
        waiting = len(self.decode_queue) + max(self.prefills - self.stand_in.slots, 0)
        return LoadReport(
            in_flight=float(self.used_slots + min(self.prefills, self.stand_in.slots) + waiting),
            queued=float(waiting),
            slots_used=min(self.used_slots / self.stand_in.slots, 1.0),
            memory_used=min(self.used_memory / self.memory, 1.0),
            prefill_backlog_thousands=self.prefill_backlog_tokens / 1000,
        )
