"""A rolling restart of engines and routers: which is drained, restarted and taken back when. Does no I/O.

Acts by calls on a host. What has been reached is kept by the host before each act, so that a tool that was
killed goes on where it was: an act that may have been done is done again, which a drained engine does not
mind. Rule 4 is the routers': an engine that comes back is told to them as started just now, thus cold."""

from typing import Literal, Protocol

import msgspec

Stage = Literal["waiting", "draining", "restarting", "returning", "warming", "done"]
ENOUGH = 20  # answers lately before their share of missed ones says anything
OVERDUE = 2_000_000  # microseconds that a drain's limit may be passed by before the restart comes anyway
AGAIN_UNDER = 0.5  # of the share that pauses a roll: under it, it goes on


class Plan(msgspec.Struct, frozen=True):
    """What was asked for."""

    engines: list[str]
    routers: list[str] = []
    floor: float = 0.7  # of each role's weight that stays in service: ready, warm and not drained
    at_once: int = 1
    limit: int = 0  # microseconds that streams may go on at a drained engine, 0: to their end
    pause_over: float = 0.1  # share of answers missed (late, pushed back, aborted) that pauses the roll
    back_within: int = 60_000_000  # from the restart until the engine takes connections, or the router reqs


class Step(msgspec.Struct):
    """One engine or router, and how far it is."""

    name: str
    router: bool = False
    stage: Stage = "waiting"
    since: int = 0  # wall clock, microseconds
    life: int = 0  # of a router: the process that is to be replaced

    @property
    def under_way(self) -> bool:
        return self.stage not in ("waiting", "done")


class EngineStatus(msgspec.Struct):
    """An engine as all routers that answer see it together."""

    role: str
    zone: str
    weight: float = 1.0
    ready: bool = True  # for all of them, and warm
    open: bool = True  # one of them, at least, may send there
    drained: bool = False  # one of them still has it draining
    out: int = 0  # forwards and states there, of all of them
    up: bool = False  # it takes connections; looked at while it returns


class RouterStatus(msgspec.Struct):
    ready: bool = True
    reqs: int = 0
    life: int = 0  # its process


class FleetStatus(msgspec.Struct):
    engines: dict[str, EngineStatus]
    routers: dict[str, RouterStatus]  # the ones that answer
    ended: int = 0  # answers of the last seconds, of all routers
    missed: int = 0
    silent: set[str] = set()  # routers that run and do not answer: what they have there is not known


class Host(Protocol):
    def save(self, steps: list[Step]) -> None: ...
    def drain(self, step: Step) -> None: ...
    def restart(self, step: Step) -> None:
        """Starts the restart; its end comes as `on_restarted`, on a later turn."""

    def undrain(self, step: Step) -> None: ...
    def report(self, text: str) -> None: ...


def refusal(plan: Plan, fleet: FleetStatus) -> str:
    """Why the floor can't be kept even with all engines well, "" if it can."""
    well = {name: msgspec.structs.replace(seen, ready=True) for name, seen in fleet.engines.items()}
    for name in plan.engines:
        if name not in well:
            return f"no router knows an engine {name!r}"
        if short := _short(name, well, set(), plan.floor):
            return short
    for name in plan.routers:
        if name not in fleet.routers:
            return f"router {name!r} does not answer"
    if plan.routers and len(fleet.routers) < 2:
        return f"{plan.routers[0]} is the only router that answers: none would be left"
    return ""


def _short(name: str, engines: dict[str, EngineStatus], away: set[str], floor: float) -> str:
    """What would be missing with this engine out of service, "" if nothing."""
    own = engines[name]
    if not own.ready:
        return ""  # it serves nobody as it is
    peers = {each: seen for each, seen in engines.items() if (seen.role == "read") == (own.role == "read")}
    left = {each: seen for each, seen in peers.items() if seen.ready and each not in away and each != name}
    whole, rest = (sum(seen.weight for seen in group.values()) for group in (peers, left))
    role = "readers" if own.role == "read" else "writers"
    if rest < floor * whole:
        return f"without {name} {rest:g} of {whole:g} of the {role} would serve, the floor is {floor:g}"
    in_zone = [each for each, seen in peers.items() if seen.zone == own.zone and each != name]
    if in_zone and not any(each in left for each in in_zone):
        return f"without {name} none of zone {own.zone}'s {role} would serve"
    return ""


class Roll:
    def __init__(self, host: Host, plan: Plan, steps: list[Step] | None = None) -> None:
        self.host, self.plan = host, plan
        self.steps = steps or [
            *(Step(name) for name in plan.engines),
            *(Step(name, router=True) for name in plan.routers),
        ]
        self.failed = ""  # why it does not go on
        self.paused = ""  # why no next one is begun now
        self._restarting: set[str] = set()  # commands that this tool has started
        self._begun = 0  # this tool's first look: time without one counts against nobody

    @property
    def finished(self) -> bool:
        return all(step.stage == "done" for step in self.steps)

    def advance(self, fleet: FleetStatus, now: int) -> None:
        """A look, a few times a second: each one under way goes on, then a next one may begin."""
        self._begun = self._begun or now
        for step in self.steps:
            if step.under_way:
                self._router(step, fleet, now) if step.router else self._engine(step, fleet, now)
        why = self.failed or self._wait(fleet)
        waiting = [step for step in self.steps if step.stage == "waiting"]
        for step in waiting if not why else ():
            under_way = [each.name for each in self.steps if each.under_way]
            if len(under_way) >= (1 if step.router else self.plan.at_once):
                break
            blocked = self._blocked(step, set(under_way), fleet)
            if not blocked:
                step.life = fleet.routers[step.name].life if step.router else 0
                self._reach(step, "draining", now)
                self.host.drain(step)
            elif not under_way and step is waiting[0]:
                why = blocked
        if why != self.paused:
            self.paused = why
            self.host.report(f"waits: {why}" if why else "goes on")

    def on_restarted(self, name: str, problem: str, now: int) -> None:
        """The restart's command has ended; `problem` tells how it failed, "" if it did not."""
        self._restarting.discard(name)
        step = next(step for step in self.steps if step.name == name)
        if problem:
            self._fail(f"{name}: {problem}")
        elif step.stage == "restarting":
            self._reach(step, "returning", now)

    def _engine(self, step: Step, fleet: FleetStatus, now: int) -> None:
        seen, waited = fleet.engines.get(step.name), now - max(step.since, self._begun)
        if seen and seen.open and step.stage in ("draining", "restarting", "returning"):
            self.host.drain(step)  # a router that was away when it was asked, or was started since
            return
        is_empty = (seen is None or not seen.out) and not fleet.silent
        if step.stage == "draining" and (is_empty or self._overdue(waited)):
            self._reach(step, "restarting", now)
        if step.stage == "restarting":
            self._restart(step)
        elif step.stage == "returning":
            if seen and seen.up:
                self._reach(step, "warming", now)
                self.host.undrain(step)
            elif waited > self.plan.back_within:
                self._fail(f"{step.name} is not back after {waited / 1e6:.0f} s; it stays drained")
        elif step.stage == "warming":
            if seen and seen.drained:
                self.host.undrain(step)  # a router that was away when it was told
            elif seen and seen.ready and not fleet.silent:  # one of those may still have it drained
                self._reach(step, "done", now)

    def _router(self, step: Step, fleet: FleetStatus, now: int) -> None:
        seen, waited = fleet.routers.get(step.name), now - max(step.since, self._begun)
        if step.stage == "draining":
            if seen is None or seen.life != step.life or not seen.reqs or self._overdue(waited):
                self._reach(step, "restarting", now)
            elif seen.ready:
                self.host.drain(step)
        if step.stage == "restarting":
            self._restart(step)
        elif step.stage == "returning":
            if seen and seen.ready and seen.life != step.life:
                self._reach(step, "done", now)
            elif waited > self.plan.back_within:
                self._fail(f"router {step.name} is not back after {waited / 1e6:.0f} s")

    def _overdue(self, waited: int) -> bool:
        return self.plan.limit > 0 and waited > self.plan.limit + OVERDUE

    def _wait(self, fleet: FleetStatus) -> str:
        """Why nothing new is begun now, with hysteresis; "" if it may be."""
        if fleet.silent:
            return f"router {min(fleet.silent)} does not answer"
        over = self.plan.pause_over * (AGAIN_UNDER if self.paused else 1.0)
        if fleet.ended >= ENOUGH and fleet.missed > over * fleet.ended:
            return "targets are missed"
        return "" if fleet.routers else "no router answers"

    def _blocked(self, step: Step, away: set[str], fleet: FleetStatus) -> str:
        """Why this one may not be begun now, "" if it may."""
        if step.router:
            if any(each.stage != "done" for each in self.steps if not each.router):
                return "engines are not done"
            ill = [name for name, seen in fleet.routers.items() if not seen.ready]
            if step.name not in fleet.routers or ill:
                return f"router {(ill or [step.name])[0]} is not ready"
            return ""
        if step.name not in fleet.engines:
            return f"no router knows {step.name}"
        return _short(step.name, fleet.engines, away, self.plan.floor)

    def _restart(self, step: Step) -> None:
        if step.name not in self._restarting:
            self._restarting.add(step.name)
            self.host.restart(step)

    def _reach(self, step: Step, stage: Stage, now: int) -> None:
        step.stage, step.since = stage, now
        self.host.save(self.steps)  # before the act: a killed tool knows what it may have done
        self.host.report(f"{step.name}: {stage}")

    def _fail(self, why: str) -> None:
        if not self.failed:
            self.failed = why
