"""One router in simulated time: the host of the very decisions that the daemon hosts, without its sockets.

What the daemon sees on sockets is told here by the same endings; streams that break go to the same rescue."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lifthead import control
from lifthead.deployment.derive import deployment
from lifthead.deployment.fleet import EngineSpec, Fleet
from lifthead.engines.codec import OUTCOMES, Observation
from lifthead.interface import AttemptOutcome, EngineEntry, LoadReport, RequestSpec
from lifthead.lab.clock import Clock
from lifthead.lab.engine import Engine, Sent
from lifthead.resume import stall_detector
from lifthead.resume.resume_queue import BrokenStream, ResumeQueue

HOP = 250  # microseconds that a message between two processes takes
LOOK_EVERY = 50_000


@dataclass(slots=True, eq=False)
class Hand:
    """A client's try at this router."""

    ask: Any  # the crowd's try
    serial: int
    id: int
    out: Sent | None = None
    held: tuple[Engine, str] | None = None
    release_due: bool = False  # once the call that waits for the state is over
    forwards: int = 0
    sent: int = 0
    begun: bool = False
    first_at: int = 0
    written: int = 0
    legs: int = 0
    ran: tuple[str, int] = ("", 0)
    ended: str = ""


class Router:
    def __init__(self, fleet: Fleet, name: str, seed: int, clock: Clock, engines: dict[str, Engine],
                 decide: Callable[..., control.Router]) -> None:  # fmt: skip
        self.fleet, self.name, self.clock, self.engines, self.decide = fleet, name, clock, engines, decide
        self.seed, self.life, self.up = seed, 0, False
        self.start()

    def start(self) -> None:
        self.life, self.up = self.life + 1, True
        self.hands: dict[int, Hand] = {}
        self.streams: dict[int, Hand] = {}  # begun or waiting for another place, by serial
        self.readiness: dict[str, tuple[str, int]] = {}
        self.rescue = ResumeQueue()
        self._next = 1
        start = deployment(self.fleet, self.name, hash_seed(self.seed, self.name, self.life))
        self.grace, self.groups = int(self.fleet.rules.drain_grace), start.request_classes
        self.control = self.decide(self, start)

    def kill(self) -> list[Hand]:
        """Gone, with all that it had in hand."""
        self.up, self.life = False, self.life + 1
        found = list(self.hands.values())
        for hand in found:
            hand.ended = hand.ended or "router killed"
            if hand.out:
                hand.out.over = True
                hand.out.engine.closed(hand.out)
        return found

    def on_list(self, entries: list[tuple[EngineSpec, str, int]], whole: bool) -> None:
        news = []
        for spec, readiness, up_since in entries:
            if self.readiness.get(spec.name, ("", 0))[0] != readiness:
                self.readiness[spec.name] = readiness, self.clock.now
            news.append(
                EngineEntry(spec.name, spec.zone, spec.cell, spec.kind, spec.weight, up_since, readiness)
            )
        self.control.on_engine_list(news, whole)

    @property
    def ready(self) -> bool:
        return self.up and bool(self.readiness)

    # What clients do.

    def take(self, ask: Any) -> Hand:
        hand = Hand(ask, self._next, self._next)
        self._next += 1
        self.hands[hand.id] = hand
        self._place(hand, ask.budget, ask.prompt, ask.most)
        return hand

    def _place(self, hand: Hand, budget: int, prompt: int, most: int) -> None:
        ask = hand.ask
        self.control.on_request(RequestSpec(
            hand.id, ask.group, ask.tenant, budget, prompt, most, ask.session, ask.beginning,
            ask.beginning_len, 0, ask.again or hand.legs > 0, *hand.ran,
        ))  # fmt: skip

    def left(self, hand: Hand) -> None:
        if hand.ended or not self.up:
            return
        hand.ended = "left"
        self.control.on_client_left(hand.id)
        self.rescue.remove(hand.serial)
        self.streams.pop(hand.serial, None)
        if hand.begun and hand.out:
            self.cancel_attempt(hand.id, hand.out.number)
        self._forget(hand)

    # What the module does.

    def now(self) -> int:
        return self.clock.now

    def set_timer(self, after: int, key: int) -> None:
        self.clock.after(after, self._ring, self.life, key)

    def _ring(self, life: int, label: int) -> None:
        if life == self.life and self.up:
            self.control.on_timer(label)

    def start_attempt(self, request_id: int, engine: str, abandon_at: int, send_by: int) -> None:
        hand, at = self.hands[request_id], self.engines[engine]
        ask, prompt = hand.ask, hand.ask.prompt + hand.written
        hand.out = sent = Sent(
            f"{self.name}-{self.life:x}-{hand.serial}.{hand.sent}", ask.id, self, hand, hand.forwards, at,
            ask.group, prompt, max(ask.most - hand.written, 1), max(ask.words - hand.written, 1),
            ask.beginning, ask.beginning_len, ask.session, at.role == "read", hand.held, self.clock.now,
        )  # fmt: skip
        hand.forwards, hand.sent = hand.forwards + 1, hand.sent + 1
        sent.abandon = self.clock.at(abandon_at, self._end, sent, Observation.OUT_OF_TIME)
        self.clock.after(sent.engine.overheads.own, self._send, sent)

    def _send(self, sent: Sent) -> None:
        if sent.over:
            return
        sent.sent_at = self.clock.now
        readiness, at = self.readiness[sent.engine.spec.name]
        if sent.engine.down:
            self.told(sent, Observation.NO_CONNECTION, 0, None)
        elif readiness != "ready" and self.clock.now - at > self.grace:
            self.told(sent, Observation.STALE, 0, None)
        else:
            self.clock.after(HOP, self._arrive, sent)

    def _arrive(self, sent: Sent) -> None:
        if sent.over:
            return
        if sent.engine.down:
            return self.told(sent, Observation.CUT, 0, None)
        return sent.engine.arrive(sent)

    def cancel_attempt(self, request_id: int, number: int) -> None:
        hand = self.hands.get(request_id)
        sent = hand.out if hand else None
        if sent and sent.number == number and not sent.called_off:
            sent.called_off = True
            observation = Observation.STALLED if sent.lost else Observation.CALLED_OFF
            self.clock.after(0, self._end, sent, observation)

    def release_state(self, request_id: int) -> None:
        """A decode call that has arrived keeps its state: a release takes nothing from it."""
        hand = self.hands.get(request_id)
        if hand and hand.held:
            hand.release_due = hand.out is not None and hand.out.engine.reachable
            if not hand.release_due:
                self._release(hand)

    def _release(self, hand: Hand) -> None:
        if hand.held:
            engine, forward = hand.held
            self.clock.after(HOP, engine.release, forward)
            hand.held = None

    def reject(self, request_id: int, retry_after: int) -> None:
        self._answer(self.hands[request_id], "pushed back", retry_after)

    def fail(self, request_id: int) -> None:
        self._answer(self.hands[request_id], "aborted", 0)

    def _answer(self, hand: Hand, how: str, hold_off: int = 0) -> None:
        if hand.ended:
            return
        if how != "done" and (hand.begun or hand.legs):
            how = "aborted"
        hand.ended = how
        self.rescue.remove(hand.serial)
        self.streams.pop(hand.serial, None)
        self.clock.after(HOP, hand.ask.answered, hand, how, hold_off)

    def probe(self, engine: str) -> None:
        self.clock.after(2 * HOP, self._probed, self.life, engine)

    def _probed(self, life: int, engine: str) -> None:
        if life == self.life and not self.engines[engine].down:
            self.control.on_load_report(engine, self.engines[engine].load())

    def watch_engines(self) -> None:
        """The list is pushed."""

    # What engines answer.

    def begun(self, sent: Sent, report: LoadReport) -> None:
        if sent.over:
            return
        hand, ask = sent.hand, sent.hand.ask
        hand.begun, hand.held = True, None
        self.control.on_load_report(sent.engine.spec.name, report)
        self.control.on_first_token(hand.id, sent.number, self.clock.now - sent.sent_at, ask.streamed)
        if hand.legs:
            self.rescue.remove(hand.serial)
        elif ask.streamed:
            hand.first_at = self.clock.now
        if ask.streamed:
            self.clock.off(sent.abandon)
            self.streams[hand.serial] = hand

    def told(self, sent: Sent, observation: Observation, note: int, report: LoadReport | None) -> None:
        """The engine answered, or what was seen of it; a hop away."""
        if observation is Observation.WRITTEN and not sent.over:
            self._answer(sent.hand, "done")  # its client has it when the stream ends
        self.clock.after(HOP, self._end, sent, observation, note, report)

    def _end(
        self, sent: Sent, observation: Observation, note: int = 0, report: LoadReport | None = None
    ) -> None:
        """The forward's ending, once; its connection is closed before the module hears of it."""
        if sent.over or not self.up:
            return
        hand, sent.over = sent.hand, True
        self.clock.off(sent.abandon)
        made = sent.engine.written(sent) if hand.begun and not sent.engine.down else 0
        if observation not in (
            Observation.READ,
            Observation.WRITTEN,
            Observation.TURNED_AWAY,
            Observation.STATE_GONE,
        ):
            sent.engine.closed(sent)
            if sent.reads:
                self.clock.after(HOP, sent.engine.release, sent.id)
        if observation is Observation.READ:
            hand.held = sent.engine, sent.id
        elif observation is Observation.STATE_GONE:
            hand.held = None
        ending, mark = OUTCOMES[observation]
        hand.out = None
        if hand.release_due and observation is not Observation.READ:
            hand.release_due = False
            self._release(hand)
        waits = False
        if hand.begun and ending is not AttemptOutcome.COMPLETED:
            if not hand.ask.streamed:
                hand.begun = False
            elif not hand.ended:
                waits = self._broken(hand, sent, min(made, sent.words))
        final = ending is AttemptOutcome.COMPLETED or hand.ended != "" or waits
        self.control.on_attempt_ended(
            hand.id, sent.number, sent.engine.spec.name, ending, self.clock.now - sent.sent_at, note or mark,
            final, report,
        )  # fmt: skip
        if hand.ended and hand.out is None:
            self._release(hand)
        self._forget(hand)
        if waits:
            self._place_broken()

    def _forget(self, hand: Hand) -> None:
        if hand.ended and hand.out is None:
            self.hands.pop(hand.id, None)

    # Streams that outlive a writer.

    def _broken(self, hand: Hand, sent: Sent, made: int) -> bool:
        hand.written, hand.begun = hand.written + made, False
        hand.ran = sent.engine.spec.name, sent.sent_at
        if hand.written >= hand.ask.words:
            self._answer(hand, "done")
            return False
        broken = self._as_broken(hand, sent)
        why = self.rescue.add(broken) if self.fleet.rules.resume else "resume is off"
        if why:
            hand.begun = True  # its client has a part of it
            self._answer(hand, "aborted")
            return False
        self.streams[hand.serial] = hand
        self.clock.at(self.rescue.waits_until(broken) + LOOK_EVERY, self._too_late, self.life)
        return True

    def _as_broken(self, hand: Hand, sent: Sent) -> BrokenStream:
        ask = hand.ask
        return BrokenStream(
            hand.serial, ask.tenant, self.groups[ask.group], hand.written, ask.prompt + hand.written,
            max(ask.most - hand.written, 1), hand.legs, sent.sent_at, "", self.clock.now,
        )  # fmt: skip

    def _too_late(self, life: int) -> None:
        if life == self.life and self.up:
            for broken in self.rescue.expire(self.clock.now):
                self._answer(self.streams[broken.stream], "aborted")
            self._place_broken()

    def _place_broken(self) -> None:
        self.rescue.running_streams = len(self.streams) - self.rescue.waiting_count
        for broken in self.rescue.take_next(self.clock.now):
            hand = self.streams[broken.stream]
            self.hands.pop(hand.id, None)
            hand.id, self._next = self._next, self._next + 1
            self.hands[hand.id] = hand
            hand.legs, hand.forwards = hand.legs + 1, 0
            self._place(
                hand,
                self.rescue.first_token_budget(broken, self.clock.now),
                broken.prefill_tokens,
                broken.remaining_tokens,
            )

    def mute(self, sent: Sent) -> None:
        """A single stream of a writer that writes others says nothing more."""
        self.clock.after(NOTICED * stall_detector.SINGLE_STREAM_FACTOR, self._lose, sent, "silent")
        self.clock.after(self.fleet.limits.stalled_for, self._end, sent, Observation.STALLED)

    def _lose(self, sent: Sent, why: str) -> None:
        hand = sent.hand
        movable = (
            self.up and self.fleet.rules.resume and hand.out is sent and hand.begun and hand.ask.streamed
        )
        if movable and not hand.ended and not self.rescue.refusal_reason(self._as_broken(hand, sent)):
            sent.lost = why
            self.cancel_attempt(hand.id, sent.number)

    def lose(self, engine: Engine, why: str) -> None:
        """Its streams are moved, those that can be: a while into a silence, as resume/stall_detector.py does,
        and where a drain's limit ends."""
        for hand in list(self.streams.values()):
            if hand.out and hand.out.engine is engine:
                self._lose(hand.out, why)


NOTICED = stall_detector.MIN_SILENCE + LOOK_EVERY  # microseconds of silence after which streams count as lost


def hash_seed(seed: int, name: str, life: int) -> int:
    """A seed of its own for each life of each router; the same on every machine."""
    return int.from_bytes(control.rendezvous_hash(f"{seed}|{life}", name))
