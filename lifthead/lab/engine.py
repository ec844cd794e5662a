"""A model of one engine: what it keeps, how long reads, transfers and answers take, how it fails.

Answers of one writer go forward together, one token a step; a step's length depends on how many run, on reads
beside them, on warmth and on slowness. So an answer is two marks on the writer's own count of steps, and
the whole writer costs one timer, whatever number of answers run."""

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

WARMING = 500_000  # microseconds between looks at how warm it has become


@dataclass(frozen=True)
class Overheads:
    """What processes take besides the work itself, as fit.py found it in the records of real days."""

    own: int = 2_600  # a router, from a req or an ending to the forward that follows
    engine: int = 0  # an engine, from a forward's coming to the work's beginning
    first: int = 9_200  # from a token's making to its client's having it


class Peer(Protocol):
    """The router that sent a forward."""

    def begun(self, sent: "Sent", report: LoadReport) -> None: ...
    def told(self, sent: "Sent", observation: Observation, note: int, report: LoadReport | None) -> None: ...
    def mute(self, sent: "Sent") -> None: ...


@dataclass(slots=True, eq=False)
class Sent:
    """A forward, from its sending to its end at the engine."""

    id: str
    client: str
    router: Peer
    hand: Any  # the router's own
    number: int
    engine: "Engine"
    group: str
    prompt: int
    most: int
    words: int  # answer tokens that will be written
    beginning: str
    beginning_len: int
    session: str
    reads: bool
    held: "tuple[Engine, str] | None" = None  # where its state waits
    sent_at: int = 0
    closed_at: int = 0  # when its router hung up
    ended: bool = False  # at the engine
    over: bool = False  # for its router
    called_off: bool = False
    lost: str = ""  # why its router gives the stream up
    mute: bool = False  # nothing more is sent of it, though the work goes on
    abandon: Timer | None = None
    kept: int = 0
    from_step: int = 0  # the writer's count when its first token comes


class Engine:
    def __init__(
        self,
        fleet: Fleet,
        spec: EngineSpec,
        seed: int,
        clock: Clock,
        put: Callable[..., None],
        overheads: Overheads,
    ) -> None:
        self.overheads = overheads
        self.spec, self.clock, self.put = spec, clock, put
        self.role, self.memory = fleet.kinds[spec.kind].role, fleet.kinds[spec.kind].memory
        self.like = fleet.stand_ins.get(spec.kind) or StandIn(kind=spec.kind)
        self.rules = fleet.rules
        self.chance = random.Random(f"{seed}:{spec.name}")
        self.life, self.down = 0, True
        self.faults: dict[str, Fault] = {}
        self.start(cold=False)

    def start(self, cold: bool) -> None:
        """Up, with nothing kept."""
        self.down, self.warmth = False, WarmUp(self.rules, self.clock.now, cold)
        self.kept: OrderedDict[str, int] = OrderedDict()
        self.held: dict[str, int] = {}
        self.dropped: set[str] = set()
        self.out: dict[Sent, None] = {}
        self.read_free_at = self.link_free_at = 0
        self.reading = self.unread = self.used = self.slots = self.running = 0
        self.waiting: deque[Sent] = deque()
        self.steps, self.rate, self.counted_at = 0.0, 0.0, self.clock.now
        self.marks: list[tuple[float, int, str, Sent]] = []
        self._marked = 0
        self._next: Timer | None = None
        self.faults.clear()
        self.put("start", name=self.spec.name, role=self.role, zone=self.spec.zone, cell=self.spec.cell,
                 kind=self.spec.kind, cold=cold, slots=self.like.slots, memory=self.memory)  # fmt: skip
        if cold:
            self._after(WARMING, self._warmer)

    def kill(self) -> None:
        """All that it holds is gone; its peers see their connections break."""
        self.life, self.down = self.life + 1, True
        self.clock.off(self._next)
        for sent in list(self.out):
            sent.ended = True
            self.clock.after(0, sent.router.told, sent, Observation.CUT, 0, None)
        self.out.clear()

    def _after(self, wait: float, act: Callable[..., None], *args: Any) -> None:
        """As the clock's, but for this life only."""
        self.clock.after(wait, self._in_life, self.life, act, *args)

    def _in_life(self, life: int, act: Callable[..., None], *args: Any) -> None:
        if life == self.life and not self.down:
            act(*args)

    # What goes wrong.

    def fault(self, what: str, fault: Fault) -> None:
        if what == "flush":
            self.kept.clear()
            return
        self.faults[what] = fault
        self._tune()
        self._after(fault.ends_at - self.clock.now, self._tune)

    @property
    def reachable(self) -> bool:
        """Whether what is sent to it now arrives."""
        return not self.down and not self._has("silent")

    def _has(self, what: str) -> Fault | None:
        found = self.faults.get(what)
        return found if found and self.clock.now < found.ends_at else None

    def _meets(self, what: str) -> bool:
        found = self._has(what)
        return found is not None and self.chance.random() < found.probability

    def _spoken(self, act: Callable[..., None], *args: Any) -> bool:
        """True if it speaks; else this is done once it does."""
        silent = self._has("silent")
        if silent:
            self._after(silent.ends_at - self.clock.now, act, *args)
        return silent is None

    def _warmer(self) -> None:
        self._tune()
        if self.warmth.capacity_fraction(self.clock.now) < 1:
            self._after(WARMING, self._warmer)

    def pace(self) -> float:
        slow = self._has("slow")
        return (slow.factor if slow else 1.0) / self.warmth.capacity_fraction(self.clock.now)

    # A forward.

    def arrive(self, sent: Sent) -> None:
        sent.kept = (
            max(self.kept.get(sent.session, 0), self.kept.get(sent.beginning, 0)) if sent.session else 0
        )
        work = 0.0 if sent.held else (sent.prompt - sent.kept) / self.like.read_per_s * 1e6
        work += 0.0 if sent.reads else sent.most * self.like.step / self.like.slots
        self.out[sent] = None
        self.put("forward", id=sent.id, client=sent.client, group=sent.group, prompt=sent.prompt,
                 reads=sent.reads, work=round(work), key="")  # fmt: skip
        self._after(self.overheads.engine, self._serve, sent, work)

    def _serve(self, sent: Sent, work: float) -> None:
        if sent.ended or not self._spoken(self._serve, sent, work):
            return
        if self.warmth.add_work(self.clock.now, work):
            self.put("fell", name=self.spec.name)
        full = self._has("full")
        if self._meets("garbage"):
            self._end(sent, "garbage")
            sent.router.told(sent, Observation.STRANGE, 0, None)
        elif (
            self.warmth.overloaded
            or (full and full.request_class in ("", sent.group))
            or (sent.reads and self.role == "write")
        ):
            self._refuse(sent)
        elif sent.reads:
            if self.reading >= self.like.slots + self.like.queue or self.used + sent.prompt > self.memory:
                return self._refuse(sent)
            self._read(sent, self._held)
        elif self.role == "read" or len(self.waiting) >= self.like.queue:
            self._refuse(sent)
        else:
            self.waiting.append(sent)
            self._admit()

    def _refuse(self, sent: Sent, observation: Observation = Observation.TURNED_AWAY) -> None:
        self._end(sent, "no state" if observation is Observation.STATE_GONE else "refused")
        sent.router.told(sent, observation, 0, self.load())

    def _end(self, sent: Sent, how: str) -> None:
        if not sent.ended:
            sent.ended = True
            self.out.pop(sent, None)
            self.put("end", id=sent.id, how=how, closed=sent.closed_at or None)

    def closed(self, sent: Sent) -> None:
        """Its router has hung up. What is being read or fetched goes on to its end."""
        if self.down or sent.ended or sent.closed_at:
            return
        sent.closed_at = self.clock.now
        if sent in self.waiting:
            self.waiting.remove(sent)
            self._end(sent, "closed")
        elif sent.from_step:
            self._stop(sent, "closed")
        elif sent.mute or self._has("silent"):
            self._end(sent, "closed")

    # Reading.

    def _read(self, sent: Sent, then: Callable[[Sent], None]) -> None:
        """First come, first read."""
        unread = max(sent.prompt - sent.kept, 1)
        took = unread / self.like.read_per_s * 1e6 * self.pace()
        self.read_free_at = max(self.read_free_at, self.clock.now) + round(took)
        self.reading, self.unread = self.reading + 1, self.unread + unread
        self._after(self.read_free_at - self.clock.now, self._was_read, sent, unread, then)
        self._tune()

    def _was_read(self, sent: Sent, unread: int, then: Callable[[Sent], None]) -> None:
        self.reading, self.unread = self.reading - 1, self.unread - unread
        for key, length in ((sent.beginning, sent.beginning_len), (sent.session, sent.prompt)):
            if key:
                self.kept[key] = length
                self.kept.move_to_end(key)
        while len(self.kept) > PREFIX_CACHE_ENTRIES:
            self.kept.popitem(last=False)
        self._tune()
        then(sent)

    def _held(self, sent: Sent) -> None:
        if not self._spoken(self._held, sent):
            return
        if sent.id in self.dropped:
            self.dropped.discard(sent.id)
            return self._end(sent, "dropped")
        self.held[sent.id] = sent.prompt
        self.used += sent.prompt
        self.put("held", id=sent.id, tokens=sent.prompt)
        self._after(self.like.held_for, self._let_go, sent.id, "forgotten")
        if self._meets("lost") and not sent.closed_at:
            sent.mute = True  # it stays out until its router hangs up
            return None
        closed = bool(sent.closed_at)
        self._end(sent, "closed" if closed else "read")
        if not closed:
            sent.router.told(sent, Observation.READ, sent.kept, self.load())
        return None

    def _let_go(self, forward: str, why: str) -> bool:
        tokens = self.held.pop(forward, None)
        if tokens is None:
            return False
        self.used -= tokens
        self.put("taken" if why == "taken" else "let_go", id=forward, why=why)
        self._admit()
        return True

    def release(self, forward: str) -> None:
        if not self.down and not self._let_go(forward, "asked"):
            self.dropped.add(forward)

    def hand_over(self, forward: str, to: "Engine", done: Callable[[bool], None]) -> None:
        """A writer fetches a state: near, over the cell's link, or to another zone."""
        if self.down or forward not in self.held:
            return done(False)
        tokens, near = self.held[forward], (to.spec.zone, to.spec.cell) == (self.spec.zone, self.spec.cell)
        if near:
            until = self.clock.now + tokens / self.like.near_per_s * 1e6
        else:
            slow, same = self._has("link_slow"), to.spec.zone == self.spec.zone
            times = (slow.factor if slow else 1.0) * (1.0 if same else self.like.zone_slower)
            took = tokens / self.like.link_per_s * 1e6 * times
            self.link_free_at = until = max(self.link_free_at, self.clock.now) + round(took)
        life = self.life
        self.clock.at(until, lambda: done(life == self.life and self._handed(forward)))
        return None

    def _handed(self, forward: str) -> bool:
        return not self._has("silent") and self._let_go(forward, "taken")

    # Writing.

    def _admit(self) -> None:
        while self.waiting and self.slots < self.like.slots and self.used < self.memory:
            sent = self.waiting.popleft()
            self.slots, self.used = self.slots + 1, self.used + sent.prompt + sent.most
            if sent.held:
                reader, forward = sent.held
                reader.hand_over(forward, self, partial(self._fetched, sent, self.life))
            else:
                self._read(sent, self._write)

    def _fetched(self, sent: Sent, life: int, had: bool) -> None:
        if life != self.life:
            return
        if had:
            return self._write(sent)
        self._free(sent)
        if sent.closed_at:
            return self._end(sent, "closed")
        return self._refuse(sent, Observation.STATE_GONE)

    def _write(self, sent: Sent) -> None:
        if sent.closed_at or sent.ended:
            self._free(sent)
            return self._end(sent, "closed")
        self.put("ran", id=sent.id)
        self._count()
        self.running += 1
        sent.from_step = int(self.steps) + 1
        for what in ("lost", "reset"):
            if self._meets(what):
                self._mark(sent.from_step + self.chance.randint(0, sent.words), what, sent)
        self._mark(sent.from_step, "first", sent)
        self._mark(sent.from_step + sent.words - 1, "last", sent)
        self._tune()
        return None

    def _mark(self, step: float, what: str, sent: Sent) -> None:
        self._marked += 1
        heappush(self.marks, (step, self._marked, what, sent))

    def _count(self) -> None:
        self.steps += (self.clock.now - self.counted_at) * self.rate
        self.counted_at = self.clock.now

    def _tune(self) -> None:
        """What a step takes may have changed."""
        self._count()
        busy = (self.like.step + self.like.step_per_stream * self.running) * self.pace()
        if self.read_free_at > self.clock.now and self.role != "read":
            busy *= 1.5
        self.rate = 0.0 if self._has("silent") else 1 / busy
        self.clock.off(self._next)
        self._next = None
        if self.marks and self.rate:
            wait = max((self.marks[0][0] - self.steps) / self.rate, 0) + 1
            self._next = self.clock.after(wait, self._in_life, self.life, self._reached)

    def _reached(self) -> None:
        self._count()
        while self.marks and self.marks[0][0] <= self.steps + 1e-6:
            _, _, what, sent = heappop(self.marks)
            if sent.ended:
                continue
            if what == "first" and not sent.mute:
                self.clock.after(self.overheads.first, sent.router.begun, sent, self.load())
            elif what == "lost":
                sent.mute = True
                sent.router.mute(sent)
            elif what == "reset":
                self._stop(sent, "closed")
                sent.router.told(sent, Observation.CUT, 0, None)
            elif not sent.mute:
                self._stop(sent, "done")
                self.clock.after(
                    self.overheads.first, sent.router.told, sent, Observation.WRITTEN, sent.kept, None
                )
        self._tune()

    def written(self, sent: Sent) -> int:
        """Answer tokens so far."""
        self._count()
        return max(int(self.steps) - sent.from_step + 1, 0) if sent.from_step else 0

    def _stop(self, sent: Sent, how: str) -> None:
        self.put("wrote", id=sent.id, tokens=min(self.written(sent), sent.words))
        self.running -= 1
        self._free(sent)
        self._end(sent, how)
        self._tune()

    def _free(self, sent: Sent) -> None:
        self.slots, self.used = self.slots - 1, self.used - sent.prompt - sent.most
        self._admit()

    def load(self) -> LoadReport:
        waiting = len(self.waiting) + max(self.reading - self.like.slots, 0)
        return LoadReport(
            in_flight=float(self.slots + min(self.reading, self.like.slots) + waiting),
            queued=float(waiting),
            slots_used=min(self.slots / self.like.slots, 1.0),
            memory_used=min(self.used / self.memory, 1.0),
            prefill_backlog_thousands=self.unread / 1000,
        )
