"""What operators may see of the engines: each as one router sees it."""

from dataclasses import dataclass

from lifthead.daemon.requests import ChatEndpoint
from lifthead.hosting import BaseHost, now
from lifthead.state import Engine


@dataclass(frozen=True, slots=True)
class EngineView:
    """One engine, as the admin socket tells of it."""

    name: str
    address: str
    zone: str
    cell: int
    kind: str
    role: str
    readiness: str
    cold: bool
    suspect: bool
    tokens: int
    unread: int
    weight: float
    waiting: int
    out: int
    report_age_ms: int | None


def work_at_engines(host: BaseHost) -> dict[str, int]:
    """Attempts in flight and states that wait to be fetched, by engine."""
    found: dict[str, int] = {}
    for pending in host.pending_requests.values():
        engines = {pending.attempt.engine} if pending.attempt else set()
        if pending.guard.holder:
            engines.add(pending.guard.holder)
        for name in engines:
            found[name] = found.get(name, 0) + 1
    return found


def engine_views(host: BaseHost) -> list[EngineView]:
    """All engines that the decision module knows, by name."""
    at, work = now(), work_at_engines(host)
    known = [(host.endpoints[name], host.router.engines.get(name)) for name in sorted(host.endpoints)]
    return [_view(endpoint, engine, at, work.get(engine.name, 0)) for endpoint, engine in known if engine]


def _view(endpoint: ChatEndpoint, engine: Engine, at: int, work: int) -> EngineView:
    return EngineView(
        name=engine.name,
        address=endpoint.link.address,
        zone=engine.zone,
        cell=engine.cell,
        kind=endpoint.kind,
        role=engine.role,
        readiness=endpoint.readiness,
        cold=at < engine.slow_start_until,
        suspect=engine.ejections > 0 or engine.consecutive_failures > 1,
        tokens=engine.reserved_tokens,
        unread=engine.pending_prefill_tokens,
        weight=engine.weight,
        waiting=len(engine.unanswered),
        out=work,
        report_age_ms=(at - engine.report_at) // 1000 if engine.report else None,
    )
