"""A host that writes down what the module does, and short ways to make things happen to it."""

from dataclasses import replace

from lifthead.control import ASKED_LONG, Router
from lifthead.interface import (
    AttemptOutcome,
    Deployment,
    EngineEntry,
    Idempotency,
    LoadReport,
    RequestClass,
    RequestSpec,
    Tenant,
)

GROUP = RequestClass(
    "chat", Idempotency.IDEMPOTENT, "all", 5_000_000, 2_000_000, 0, 8_000_000, 50_000, 1.0, 0.1
)
GROUPS = {
    "chat": GROUP,
    "pay": replace(GROUP, name="pay", idempotency=Idempotency.NON_IDEMPOTENT),
    "mark": replace(GROUP, name="mark", idempotency=Idempotency.WITH_KEY, key_scope="zone"),
}
DEPLOYMENT = Deployment(
    zone="a", routers=2, tick=1000, seed=7, request_classes=GROUPS,
    tenants={"t": Tenant("t", 1000.0), "small": Tenant("small", 1.0)},
    role_by_kind={"R": "read", "W": "write", "B": "both"},
    memory_by_kind={"R": 200_000, "W": 100_000, "B": 100_000}, decode_engines_prefill=True,
    lease_duration=300_000, slow_start_share=0.25, slow_start_duration=10_000_000,
    overload_multiple=2.5, overload_window=2_000_000, max_attempts=5, may_cancel=True,
    may_probe=False, may_send_retry_after=True, max_retry_after=500_000, reports_on_probe=False,
    list_on_request=False, list_requested_within=10_000_000,
)  # fmt: skip


def entry(name, zone="a", cell=0, readiness="ready", up_since=0):
    """An engine whose kind is the capital letter that its name begins with."""
    return EngineEntry(name, zone, cell, name[0], 1.0, up_since, readiness)


class Bench:
    """One router with a clock, and all that it did, as tuples."""

    unanswered = True

    def __init__(self, *entries, **changes):
        self.clock, self.did, self.next_id, self.sent = 100_000_000, [], 1, {}
        self.router = Router(self, replace(DEPLOYMENT, **changes))
        self.router.on_engine_list(list(entries), whole_list=True)

    def now(self):
        return self.clock

    def __getattr__(self, name):
        if name not in (
            "cancel_attempt",
            "release_state",
            "reject",
            "fail",
            "set_timer",
            "probe",
            "watch_engines",
        ):
            raise AttributeError(name)
        return lambda *args: self.did.append((name, *args))

    def start_attempt(self, request_id, engine, abandon_at, send_by):
        self.did.append(("start_attempt", request_id, engine))
        self.sent.setdefault(request_id, []).append(engine)

    def calls(self, name):
        return [call for call in self.did if call[0] == name]

    def req(
        self, prompt=5000, group="chat", beginning="p", session="s", budget=8_000_000, tenant="t", shared=0
    ):
        """`shared`: tokens of the beginning, 0 if not told. Readers that are asked first don't answer in
        time, unless `unanswered` is off."""
        req_id, self.next_id = self.next_id, self.next_id + 1
        demand = RequestSpec(req_id, group, tenant, budget, prompt, 100, session, beginning, shared, 0, False)
        self.router.on_request(demand)
        if req_id in self.router.asking and self.unanswered:
            self.router.on_timer(req_id << 2 | ASKED_LONG)
        return req_id

    def end(self, req_id, ending, note=0, final=None, took=50_000, report=None, number=None):
        """The latest forward of the req, or one by its number, ends."""
        engines = self.sent[req_id]
        number = len(engines) - 1 if number is None else number
        final = ending is AttemptOutcome.COMPLETED if final is None else final
        self.router.on_attempt_ended(req_id, number, engines[number], ending, took, note, final, report)

    def begin(self, req_id, took=50_000):
        self.router.on_first_token(req_id, len(self.sent[req_id]) - 1, took)

    def serve(self, prompt=5000, **how):
        """One req from its demand to its end."""
        req_id = self.req(prompt, **how)
        if self.last(req_id)[0] == "R":
            self.end(req_id, AttemptOutcome.PREFILLED)
        self.begin(req_id)
        self.end(req_id, AttemptOutcome.COMPLETED, took=100_000)
        return req_id

    def last(self, req_id):
        return self.sent.get(req_id, [""])[-1]

    def answers(self, req_id):
        return [call[0] for call in self.did if call[0] in ("reject", "fail") and call[1] == req_id]

    def pass_time(self, micros):
        """Time goes by in steps, and the wake-ups that the module keeps for itself come."""
        for _ in range(micros // 100_000):
            self.clock += 100_000
            for label in sorted({call[2] for call in self.calls("set_timer") if call[2] < 4}):
                self.router.on_timer(label)


def report(**values):
    return LoadReport(**values)
