"""A host that records the decision module's actions, and helpers that feed events to the module."""

from dataclasses import replace

from lifthead.control import PROBE_TIMER, Router
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

REQUEST_CLASS = RequestClass(
    "chat", Idempotency.IDEMPOTENT, "all", 5_000_000, 2_000_000, 0, 8_000_000, 50_000, 1.0, 0.1
)
REQUEST_CLASSES = {
    "chat": REQUEST_CLASS,
    "pay": replace(REQUEST_CLASS, name="pay", idempotency=Idempotency.NON_IDEMPOTENT),
    "mark": replace(REQUEST_CLASS, name="mark", idempotency=Idempotency.WITH_KEY, key_scope="zone"),
}
DEPLOYMENT = Deployment(
    zone="a", routers=2, tick=1000, seed=7, request_classes=REQUEST_CLASSES,
    tenants={"t": Tenant("t", 1000.0), "small": Tenant("small", 1.0)},
    role_by_kind={"R": "read", "W": "write", "B": "both"},
    memory_by_kind={"R": 200_000, "W": 100_000, "B": 100_000}, decode_engines_prefill=True,
    lease_duration=300_000, slow_start_share=0.25, slow_start_duration=10_000_000,
    overload_multiple=2.5, overload_window=2_000_000, max_attempts=5, may_cancel=True,
    may_probe=False, may_send_retry_after=True, max_retry_after=500_000, reports_on_probe=False,
    list_on_request=False, list_requested_within=10_000_000,
)  # fmt: skip


def entry(name, zone="a", cell=0, readiness="ready", up_since=0):
    """An engine; its kind is the capital letter that its name begins with."""
    return EngineEntry(name, zone, cell, name[0], 1.0, up_since, readiness)


class RecordingHost:
    """A host for one router, with a clock of its own, that records the router's actions as tuples."""

    probes_time_out = True

    def __init__(self, *entries, **changes):
        self.clock, self.actions, self.next_id, self.sent_to = 100_000_000, [], 1, {}
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
        return lambda *args: self.actions.append((name, *args))

    def start_attempt(self, request_id, engine, abandon_at, send_by):
        self.actions.append(("start_attempt", request_id, engine))
        self.sent_to.setdefault(request_id, []).append(engine)

    def calls(self, name):
        return [call for call in self.actions if call[0] == name]

    def request(
        self,
        prompt=5000,
        request_class="chat",
        prefix="p",
        session="s",
        budget=8_000_000,
        tenant="t",
        prefix_tokens=0,
    ):
        """Sends a request to the router. `prefix_tokens`: 0 if not given. Probed engines don't answer in
        time, unless `probes_time_out` is off."""
        request_id, self.next_id = self.next_id, self.next_id + 1
        spec = RequestSpec(
            request_id, request_class, tenant, budget, prompt, 100, session, prefix, prefix_tokens, 0, False
        )
        self.router.on_request(spec)
        if request_id in self.router.awaiting_probes and self.probes_time_out:
            self.router.on_timer(request_id << 2 | PROBE_TIMER)
        return request_id

    def end_attempt(self, request_id, outcome, detail=0, final=None, took=50_000, report=None, number=None):
        """The latest attempt of the request, or one by its number, ends."""
        engines = self.sent_to[request_id]
        number = len(engines) - 1 if number is None else number
        final = outcome is AttemptOutcome.COMPLETED if final is None else final
        self.router.on_attempt_ended(
            request_id, number, engines[number], outcome, took, detail, final, report
        )

    def first_token(self, request_id, took=50_000):
        self.router.on_first_token(request_id, len(self.sent_to[request_id]) - 1, took)

    def serve(self, prompt=5000, **options):
        """One request from its arrival to its end."""
        request_id = self.request(prompt, **options)
        if self.last_engine(request_id)[0] == "R":
            self.end_attempt(request_id, AttemptOutcome.PREFILLED)
        self.first_token(request_id)
        self.end_attempt(request_id, AttemptOutcome.COMPLETED, took=100_000)
        return request_id

    def last_engine(self, request_id):
        return self.sent_to.get(request_id, [""])[-1]

    def final_answers(self, request_id):
        return [call[0] for call in self.actions if call[0] in ("reject", "fail") and call[1] == request_id]

    def advance(self, micros):
        """Advances the clock in steps and fires the module's own timers."""
        for _ in range(micros // 100_000):
            self.clock += 100_000
            for key in sorted({call[2] for call in self.calls("set_timer") if call[2] < 4}):
                self.router.on_timer(key)


def report(**values):
    return LoadReport(**values)
