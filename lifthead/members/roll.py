"""A rolling restart of engines and routers: when each is drained, restarted and returned to service. Does no
I/O.

It acts through calls on a host. The host stores the progress before each action, so that a tool that was
killed resumes where it was. An action that may already have been done is done again; a drained engine
tolerates that. An engine that comes back is reported to the routers as just started, so that they treat it as
cold (the slow_start rule)."""

from typing import Literal, Protocol

import msgspec

Stage = Literal["waiting", "draining", "restarting", "returning", "warming", "done"]
MIN_ANSWERS = 20  # recent answers, below which the share of missed ones says nothing
OVERDUE_US = 2_000_000  # after a drain's time limit, the engine is restarted even if it is not empty
RESUME_SHARE = 0.5  # a paused roll goes on below this part of the share that pauses it


class Plan(msgspec.Struct, frozen=True):
    """What the operator asked for."""

    engines: list[str]
    routers: list[str] = []
    floor: float = 0.7  # share of each role's weight that stays in service: ready, warm and not drained
    at_once: int = 1  # engines restarted at the same time
    limit: int = 0  # microseconds that streams may go on at a drained engine, 0: to their end
    pause_over: float = 0.1  # share of missed answers (late, rejected, failed) above which the roll pauses
    back_within: int = 60_000_000  # microseconds from the restart until an engine or router is up again


class Step(msgspec.Struct):
    """One engine or router, and its progress."""

    name: str
    router: bool = False
    stage: Stage = "waiting"
    since: int = 0  # wall clock, microseconds
    life: int = 0  # process id of the router process to be replaced

    @property
    def in_progress(self) -> bool:
        return self.stage not in ("waiting", "done")


class EngineStatus(msgspec.Struct):
    """An engine, combined from the views of all routers that answer."""

    role: str
    zone: str
    weight: float = 1.0
    ready: bool = True  # every router has it ready and warm
    accepts_requests: bool = True  # at least one router may send it requests
    draining: bool = False  # at least one router still has it draining
    in_flight: int = 0  # attempts and held states there, of all routers
    reachable: bool = False  # it accepts connections; probed while it returns


class RouterStatus(msgspec.Struct):
    """A router as it reports itself."""

    ready: bool = True
    requests: int = 0
    process_id: int = 0


class FleetStatus(msgspec.Struct):
    """Everything that a roll knows of the fleet when it decides."""

    engines: dict[str, EngineStatus]
    routers: dict[str, RouterStatus]  # the ones that answer
    answers: int = 0  # recent answers of all routers
    missed: int = 0
    unresponsive: set[str] = set()  # routers that run and do not answer: their attempts are unknown


class Host(Protocol):
    """What a roll acts through: storage of the progress, drains, restart commands and messages."""

    def save(self, steps: list[Step]) -> None: ...
    def drain(self, step: Step) -> None: ...
    def restart(self, step: Step) -> None:
        """Starts the restart; `on_restarted` is called once it has ended, in a later turn of the loop."""

    def undrain(self, step: Step) -> None: ...
    def report(self, text: str) -> None: ...


def refusal(plan: Plan, fleet: FleetStatus) -> str:
    """Why the plan can't keep its floor even if all engines are healthy, "" if it can."""
    healthy = {name: msgspec.structs.replace(status, ready=True) for name, status in fleet.engines.items()}
    for name in plan.engines:
        if name not in healthy:
            return f"no router knows an engine {name!r}"
        if shortfall := _capacity_shortfall(name, healthy, set(), plan.floor):
            return shortfall
    for name in plan.routers:
        if name not in fleet.routers:
            return f"router {name!r} does not answer"
    if plan.routers and len(fleet.routers) < 2:
        return f"{plan.routers[0]} is the only router that answers: none would be left"
    return ""


def _capacity_shortfall(name: str, engines: dict[str, EngineStatus], away: set[str], floor: float) -> str:
    """What would be missing with this engine out of service, "" if nothing."""
    own = engines[name]
    if not own.ready:
        return ""  # it serves nothing as it is
    same_role = {
        each: status for each, status in engines.items() if (status.role == "read") == (own.role == "read")
    }
    left = {
        each: status
        for each, status in same_role.items()
        if status.ready and each not in away and each != name
    }
    total, rest = (sum(status.weight for status in group.values()) for group in (same_role, left))
    role = "prefill engines" if own.role == "read" else "decode engines"
    if rest < floor * total:
        return f"without {name} {rest:g} of {total:g} of the {role} would serve, the floor is {floor:g}"
    in_zone = [each for each, status in same_role.items() if status.zone == own.zone and each != name]
    if in_zone and not any(each in left for each in in_zone):
        return f"without {name} none of zone {own.zone}'s {role} would serve"
    return ""


class Roll:
    """Decides which step of a plan comes next; keeps the floor and pauses while targets are missed."""

    def __init__(self, host: Host, plan: Plan, steps: list[Step] | None = None) -> None:
        self.host, self.plan = host, plan
        self.steps = steps or [
            *(Step(name) for name in plan.engines),
            *(Step(name, router=True) for name in plan.routers),
        ]
        self.failed = ""  # why the roll can't go on
        self.paused = ""  # why no further step begins at present
        self._restarting: set[str] = set()  # restart commands that this process has started
        self._started_at = 0  # the first call of this process: time without a tool counts against no step

    @property
    def finished(self) -> bool:
        return all(step.stage == "done" for step in self.steps)

    def advance(self, fleet: FleetStatus, now: int) -> None:
        """Called a few times a second: advances each step in progress, then begins the next ones if it
        may."""
        self._started_at = self._started_at or now
        for step in self.steps:
            if step.in_progress:
                self._advance_router(step, fleet, now) if step.router else self._advance_engine(
                    step, fleet, now
                )
        why = self.failed or self._pause_reason(fleet)
        waiting = [step for step in self.steps if step.stage == "waiting"]
        for step in waiting if not why else ():
            in_progress = [each.name for each in self.steps if each.in_progress]
            if len(in_progress) >= (1 if step.router else self.plan.at_once):
                break
            blocked = self._blocked_reason(step, set(in_progress), fleet)
            if not blocked:
                step.life = fleet.routers[step.name].process_id if step.router else 0
                self._enter(step, "draining", now)
                self.host.drain(step)
            elif not in_progress and step is waiting[0]:
                why = blocked
        if why != self.paused:
            self.paused = why
            self.host.report(f"paused: {why}" if why else "resumed")

    def on_restarted(self, name: str, problem: str, now: int) -> None:
        """The restart command has ended; `problem` tells why it failed, "" if it succeeded."""
        self._restarting.discard(name)
        step = next(step for step in self.steps if step.name == name)
        if problem:
            self._fail(f"{name}: {problem}")
        elif step.stage == "restarting":
            self._enter(step, "returning", now)

    def _advance_engine(self, step: Step, fleet: FleetStatus, now: int) -> None:
        status, waited = fleet.engines.get(step.name), now - max(step.since, self._started_at)
        if status and status.accepts_requests and step.stage in ("draining", "restarting", "returning"):
            self.host.drain(step)  # a router missed the drain command, or has started since
            return
        is_empty = (status is None or not status.in_flight) and not fleet.unresponsive
        if step.stage == "draining" and (is_empty or self._is_overdue(waited)):
            self._enter(step, "restarting", now)
        if step.stage == "restarting":
            self._restart(step)
        elif step.stage == "returning":
            if status and status.reachable:
                self._enter(step, "warming", now)
                self.host.undrain(step)
            elif waited > self.plan.back_within:
                self._fail(f"{step.name} is not back after {waited / 1e6:.0f} s; it stays drained")
        elif step.stage == "warming":
            if status and status.draining:
                self.host.undrain(step)  # a router missed the command
            elif status and status.ready and not fleet.unresponsive:  # one of those may still have it drained
                self._enter(step, "done", now)

    def _advance_router(self, step: Step, fleet: FleetStatus, now: int) -> None:
        status, waited = fleet.routers.get(step.name), now - max(step.since, self._started_at)
        if step.stage == "draining":
            if (
                status is None
                or status.process_id != step.life
                or not status.requests
                or self._is_overdue(waited)
            ):
                self._enter(step, "restarting", now)
            elif status.ready:
                self.host.drain(step)
        if step.stage == "restarting":
            self._restart(step)
        elif step.stage == "returning":
            if status and status.ready and status.process_id != step.life:
                self._enter(step, "done", now)
            elif waited > self.plan.back_within:
                self._fail(f"router {step.name} is not back after {waited / 1e6:.0f} s")

    def _is_overdue(self, waited: int) -> bool:
        return self.plan.limit > 0 and waited > self.plan.limit + OVERDUE_US

    def _pause_reason(self, fleet: FleetStatus) -> str:
        """Why no step may begin now, with hysteresis; "" if one may."""
        if fleet.unresponsive:
            return f"router {min(fleet.unresponsive)} does not answer"
        max_missed_share = self.plan.pause_over * (RESUME_SHARE if self.paused else 1.0)
        if fleet.answers >= MIN_ANSWERS and fleet.missed > max_missed_share * fleet.answers:
            return "targets are missed"
        return "" if fleet.routers else "no router answers"

    def _blocked_reason(self, step: Step, away: set[str], fleet: FleetStatus) -> str:
        """Why this step may not begin now, "" if it may."""
        if step.router:
            if any(each.stage != "done" for each in self.steps if not each.router):
                return "engines are not done"
            not_ready = [name for name, status in fleet.routers.items() if not status.ready]
            if step.name not in fleet.routers or not_ready:
                return f"router {(not_ready or [step.name])[0]} is not ready"
            return ""
        if step.name not in fleet.engines:
            return f"no router knows {step.name}"
        return _capacity_shortfall(step.name, fleet.engines, away, self.plan.floor)

    def _restart(self, step: Step) -> None:
        if step.name not in self._restarting:
            self._restarting.add(step.name)
            self.host.restart(step)

    def _enter(self, step: Step, stage: Stage, now: int) -> None:
        step.stage, step.since = stage, now
        self.host.save(self.steps)  # before the action: after a kill, the tool knows what may have been done
        self.host.report(f"{step.name}: {stage}")

    def _fail(self, why: str) -> None:
        if not self.failed:
            self.failed = why
