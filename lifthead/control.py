"""The decision module: every routing decision of a lifthead router, with its tables and constants.

The host creates one `Router` for each instance and calls one of its `on_...` methods for each event. The
router acts at once, through the `Host` that it gets at start. The interface to the host is in interface.py,
the records that are kept between events are in state.py. docs/design.md explains the design and when each
exception applies.

`_route` is the path of a request: prefill at a prefill engine or at the decode engine, then decode. It is
entered again when the prefill has ended, and when an attempt has failed and another one is allowed.
"""

import random
from collections.abc import Callable
from hashlib import blake2b
from heapq import heappop, heappush

from lifthead.interface import (
    AttemptOutcome,
    Deployment,
    EngineEntry,
    Host,
    Idempotency,
    LoadReport,
    RequestSpec,
)
from lifthead.leases import Lease, overdue_after
from lifthead.routing.request import Request
from lifthead.routing.slow_start import SlowStart
from lifthead.routing.tenant_shares import TenantShares
from lifthead.routing.work_split import WorkSplit, capacity_shares
from lifthead.state import Attempt, Engine, Histogram, PrefixHolders, WeightedPool

# Conditional disaggregation (docs/design.md, "The threshold").
DISAGGREGATION_THRESHOLD = 4096  # prompt tokens; a shorter prompt is prefilled where it is decoded
# The decode engine of the prefill engine's cell is passed over when it has this many times the reserved
# tokens of the other candidate, and this share of a decode engine's memory besides.
IMBALANCE_FACTOR = 1.25
IMBALANCE_SLACK = 0.02

# Exceptions to conditional disaggregation.
LOCAL_PREFILL_LIMIT = 1024  # prompt tokens that may wait at a decode engine before short prompts leave it
UNCACHED_COST = 4  # cost of an uncached prompt token, against 1 for a token that waits already
# A prefill engine is passed over when it costs this many times the cheapest, and this many tokens besides.
HOTSPOT_FACTOR = 2.0
HOTSPOT_SLACK = 8192
# A zone takes this many times the part of all work that its part of the capacity stands for. Prefill capacity
# has more headroom than decode capacity.
DECODE_SPLIT_SLACK = 1.3
PREFILL_SPLIT_SLACK = 1.5
CROSS_ZONE_PREFILL_SHARE = 0.25  # of a zone's prefills may leave it, over its cells' narrow links
LOCAL_PREFILL_MAX_USE = 0.6  # utilization past which a decode engine prefills no prompts
STAND_IN_MAX_USE = 0.8  # utilization past which a decode engine does not stand in for a prefill engine
OVERLOADED_WAIT = 0.35  # expected wait, as part of the TTFT target, past which a stand-in is looked for
OVER_SHARE_FACTOR = 0.3  # part of the limit below that holds for a tenant over its share
ADMISSION_LIMIT = 0.7  # expected wait, as part of the TTFT target, past which a request is rejected
MAX_CACHED_PREFIXES = 256  # sessions and shared prefixes remembered for an engine

# Health.
RESPONSE_OVERHEAD = 1000  # tokens that take as long as the fixed part of a first response
MIN_SAMPLES = 6  # measurements before a histogram is used
CACHE_SAMPLE_TOKENS = 4 * MIN_SAMPLES * DISAGGREGATION_THRESHOLD  # prefilled tokens; then older ones fade
PACE_HALVING_WINDOWS = 16  # windows after which older paces count half
OVERDUE_FACTOR = 2.0  # a decode call is overdue after this many times the 90th percentile of such calls ...
ALIVE_PATIENCE = 4  # ... and this many times later if its engine has responded to others since
SILENCE_FACTOR = 5.0  # an engine is silent after this many times the 90th percentile
FIRST_TRIAL_AFTER = 1_000_000  # time to an ejected engine's first trial; doubles with each further ejection
MAX_TRIAL_DELAY = 8_000_000
REJECTION_BACKOFF = 8_000_000  # an engine that rejected a request gets none of its class for this time
MAX_REPORT_AGE = 4_000_000  # age up to which a load report is used
PROBE_INTERVAL = 300_000  # shortest time between two probes of an engine
PROBED_PREFILL_ENGINES = 2  # prefill engines of the home zone that are probed before one is chosen ...
PROBE_WAIT = 20_000  # ... and how long their answers are waited for
EXTRA_PROBES = 4  # other decode engines of the zone that are probed with the one that gets a request
HEALTH_CHECK_INTERVAL = 100_000
NEVER = 1 << 62

# Bounds that keep the work for a request independent of the size of the fleet.
SAMPLE_SIZE = 16  # engines of a zone that are all examined; a sample of this size stands for a larger zone
MAX_DRAWS = 8  # draws from a larger zone before all of its engines are examined
MAX_RANKINGS = 512  # keys whose ranking of prefill engines is remembered
EMPTY_POOL = WeightedPool([])
ALL_CLASSES = ""  # stands for all request classes

# Timer keys: the low two bits tell the kind, the other bits hold the request's id. A request's deadline is
# its shifted id alone.
WINDOW_TIMER, HEALTH_TIMER, PROBE_TIMER = 1, 2, 3
LEASE_TIMER = 2  # with a request's shifted id; HEALTH_TIMER has none


def rendezvous_hash(key: str, engine: str) -> bytes:
    """Rank of an engine for a key. When engines join or leave, only the keys of these engines move."""
    return blake2b(f"{key}|{engine}".encode(), digest_size=8).digest()


class Router:
    def __init__(self, host: Host, deployment: Deployment) -> None:
        self.host, self.zone = host, deployment.zone
        self.random = random.Random(deployment.seed)
        self.tick = max(deployment.tick, 1)
        self.request_classes, self.role_by_kind, self.memory_by_kind = (
            deployment.request_classes,
            deployment.role_by_kind,
            deployment.memory_by_kind,
        )
        self.decode_engines_prefill, self.max_attempts = (
            deployment.decode_engines_prefill,
            deployment.max_attempts,
        )
        self.lease_duration, self.may_cancel = deployment.lease_duration, deployment.may_cancel
        self.silent_losses = deployment.silent_losses and self.lease_duration > 0
        self.reports_on_probe = deployment.reports_on_probe and deployment.may_probe
        self.max_retry_after = deployment.max_retry_after if deployment.may_send_retry_after else 0
        self.window = max(deployment.overload_window, 1)
        self.slow_start = SlowStart(deployment, self.window, self.random)
        self.tenant_shares = TenantShares(deployment.tenants, deployment.routers, self.window)
        self.engines: dict[str, Engine] = {}
        self.prefill_engines: list[Engine] = []  # ready ones, by name
        self.decode_engines: list[Engine] = []  # ready ones, mixed included, by name
        self.cell_splits: dict[str, WorkSplit] = {}  # by zone
        # Indexes, updated when the list or an engine changes, so that a request examines few engines.
        self.prefill_engines_in: dict[str, list[Engine]] = {}  # by zone
        self.decode_engines_in: dict[str, WeightedPool] = {}  # by zone
        self.decode_engines_by_cell: dict[tuple[str, int], list[Engine]] = {}  # by zone and cell
        self.rankings: dict[tuple[str, str], list[Engine]] = {}  # prefill engines, by key and zone
        self.suspects: dict[Engine, None] = {}  # engines that may be unhealthy; all others are healthy
        # A heap of the times at which attempts miss their TTFT target.
        self.ttft_deadlines: list[tuple[int, int, int, Engine]] = []
        self.prefix_holders = PrefixHolders()
        self.smallest_memory = min((m for m in deployment.memory_by_kind.values() if m), default=NEVER)
        self.requests: dict[int, Request] = {}
        self.pace = {work: Histogram(1000, 14, 400) for work in ("prefill", "decode", "local prefill")}
        # Backlog to expect of engines without a fresh load report, by role and zone, if only probes bring
        # reports.
        self.usual_backlog = {role: {self.zone: 0.0} for role in ("read", "write", "both", "")}
        # Uncached tokens of prefills, as this router expected and as the engines reported.
        self.expected_uncached = self.actual_uncached = float(DISAGGREGATION_THRESHOLD)
        self.stream_times = Histogram(100_000, 10, 400)  # from first to last token
        self.decode_sizes = Histogram(256, 10, 200)  # tokens that an attempt reserves at a decode engine
        self.prefill_sizes = Histogram(256, 10, 200)  # uncached tokens of an attempt at a prefill engine
        host.set_timer(self.window, WINDOW_TIMER)
        host.set_timer(HEALTH_CHECK_INTERVAL, HEALTH_TIMER)
        self.awaiting_probes: dict[int, Request] = {}  # by id; they are routed when the probes are answered
        self.list_changed, self.list_unavailable = True, False
        if deployment.list_on_request:
            host.watch_engines()

    # Events of the list of engines.

    def on_engine_list(self, entries: list[EngineEntry], whole_list: bool) -> None:
        """Applies an update. Engines that drain, are gone or are missing from a whole list get no more
        requests."""
        if whole_list:
            named = {entry.engine for entry in entries}
            for engine in self.engines.values():
                engine.gone = engine.name not in named
                engine.ready = engine.ready and not engine.gone
        for entry in entries:
            engine = self.engines.get(entry.engine)
            if engine is None:
                engine = self.engines[entry.engine] = Engine(entry.engine, entry.up_since)
            elif (
                entry.up_since != engine.up_since
            ):  # a new process under the same name starts with a clean record
                engine.ejections, engine.consecutive_failures, engine.report = 0, 0, None
            engine.zone, engine.cell, engine.up_since = entry.zone, entry.cell, entry.up_since
            engine.weight = entry.weight if 0 < entry.weight < NEVER else 1.0  # not given, or invalid
            # An engine of a kind without settings can't be used: its role is unknown.
            engine.role, engine.memory = (
                self.role_by_kind.get(entry.kind, ""),
                self.memory_by_kind.get(entry.kind, 0),
            )
            engine.ready = entry.readiness == "ready" and engine.role != ""
            engine.gone = entry.readiness == "gone"
            if entry.up_since:
                self._begin_slow_start(engine, entry.up_since)
        self.list_changed = True

    def _apply_list(self) -> None:
        """Rebuilds the indexes, once for all updates since the last call: the loss of a zone comes as
        hundreds of updates, and in a large fleet each rebuild takes milliseconds."""
        if not self.list_changed:
            return
        self.list_changed = False
        ready = [self.engines[name] for name in sorted(self.engines) if self.engines[name].ready]
        self.prefill_engines = [engine for engine in ready if engine.role == "read"]
        self.decode_engines = [engine for engine in ready if engine.role != "read"]
        self.rankings.clear()
        self._split_work()

    def _split_work(self) -> None:
        """Exception (uneven cells and zones): a place with little decode capacity can't decode what many
        prefill engines prefill, and a place with few engines can't serve all that arrives there
        (routing/work_split.py)."""
        zones = {engine.zone for engine in self.prefill_engines + self.decode_engines} | {self.zone}
        even_shares = dict.fromkeys(sorted(zones), 1 / len(zones))
        decode_capacity = capacity_shares(self.decode_engines, "zone")
        prefill_capacity = capacity_shares(self.prefill_engines, "zone")
        prefill_capacity = {
            zone: min(part, decode_capacity.get(zone, 0.0) + CROSS_ZONE_PREFILL_SHARE * part)
            for zone, part in prefill_capacity.items()
        }
        self.prefill_split = WorkSplit(even_shares, prefill_capacity, PREFILL_SPLIT_SLACK)
        self.decode_split = WorkSplit(even_shares, decode_capacity, DECODE_SPLIT_SLACK)
        self.zone_split = WorkSplit(self.prefill_split.assigned, decode_capacity, DECODE_SPLIT_SLACK)
        self.prefill_engines_in, self.decode_engines_in, self.decode_engines_by_cell = {}, {}, {}
        for zone in even_shares:
            prefill_engines = [engine for engine in self.prefill_engines if engine.zone == zone]
            decode_engines = [engine for engine in self.decode_engines if engine.zone == zone]
            cell_prefill_capacity, cell_decode_capacity = (
                capacity_shares(prefill_engines, "cell"),
                capacity_shares(decode_engines, "cell"),
            )
            self.cell_splits[zone] = WorkSplit(cell_prefill_capacity, cell_decode_capacity, 1.0)
            self.prefill_engines_in[zone], self.decode_engines_in[zone] = (
                prefill_engines,
                WeightedPool(decode_engines),
            )
        for engine in self.decode_engines:
            self.decode_engines_by_cell.setdefault((engine.zone, engine.cell), []).append(engine)

    def on_engine_list_unavailable(self) -> None:
        self.list_unavailable = True

    # Events of a request.

    def on_request(self, spec: RequestSpec) -> None:
        now = self.host.now()
        request_class = self.request_classes[spec.request_class]
        ttft_target = request_class.ttft_target_of(spec.prompt_tokens)
        first_token_limit = min(ttft_target, spec.budget)  # no work for a client that has given up
        # Exception (short shared prefix): the affinity key is the session, as most of the reusable text is
        # its own. With few prefixes shared by all requests, the engines of these prefixes were overloaded
        # with text that no cache held.
        own_session = 0 < 2 * spec.prefix_tokens < spec.prompt_tokens and spec.session
        affinity_key = own_session or spec.prefix_id or spec.session
        request = Request(
            spec,
            request_class,
            request_class.idempotency,
            spec.prompt_tokens,
            now + spec.budget,
            affinity_key,
            ttft_target,
            first_token_limit,
        )
        request.over_share = self.tenant_shares.count_request(spec.tenant, now)
        # The rest of a broken stream: the broken attempt counts for the single_effect invariant, and its
        # engine is not tried again.
        if spec.resumed_from:
            request.may_have_run_on = self.engines.get(spec.resumed_from)
            request.repeat_until = spec.resumed_attempt_sent_at + request_class.repeat_window
            request.tried_engines.add(spec.resumed_from)
        self.requests[spec.id] = request
        self.host.set_timer(max(spec.budget - self.tick, 1), spec.id << 2)
        self._route(request)

    def _route(self, request: Request) -> None:
        """Sends the next attempt of a request, or its final answer. Entered again when the prefill has
        ended."""
        now = self.host.now()
        self._apply_list()
        if request.attempts >= self.max_attempts or now + self.tick >= request.deadline:
            return self._reject_or_fail(request)
        if request.lease and self.silent_losses and now >= request.lease.too_late_at:
            self._release(request)
        if request.lease is None:
            # Exception (last attempt): after a prefill no attempt would be left to decode.
            is_last = request.attempts > 0 and request.attempts + 1 == self.max_attempts
            if request.prompt_tokens < DISAGGREGATION_THRESHOLD or not self.prefill_engines or is_last:
                decode_engine = self._choose_decode_engine(
                    request, self._home_zone(request, self.decode_split), None, prefills=True
                )
                # Exception (burst): a decode engine with enough to prefill leaves the prompt to the prefill
                # engine of its key, so that short prefills do not delay running streams. Also covers a cache
                # flush.
                if decode_engine and (
                    is_last or not (self.prefill_engines and self._is_saturated(decode_engine, request))
                ):
                    return self._send(request, decode_engine, "local prefill")
            home_zone = self._home_zone(request, self.prefill_split)
            if (
                self.reports_on_probe
                and request.probe_candidates is None
                and self._probe_first(request, home_zone)
            ):
                return None
            prefill_engine = self._choose_prefill_engine(request, home_zone)
            wait = self._expected_wait(prefill_engine, request, "prefill") if prefill_engine else NEVER
            if wait > OVERLOADED_WAIT * request.first_token_limit:
                # Exception (overloaded prefill engines): a prompt of any length is prefilled where it is
                # decoded if that is sooner and little has to be prefilled. Covers prefill engines that are
                # gone, slow or have lost their caches, and hot prefixes.
                decode_engine = self._choose_stand_in(request, home_zone)
                if decode_engine and self._expected_wait(decode_engine, request, "local prefill") < wait:
                    return self._send(request, decode_engine, "local prefill")
            if prefill_engine is None or self._exceeds_admission_limit(request, prefill_engine, wait):
                return self._reject_or_fail(request)
            return self._send(request, prefill_engine, "prefill")
        holder = request.lease.holder
        zone = self.zone_split.choose(holder.zone, self.random.random())
        decode_engine = self._choose_decode_engine(request, zone, holder.cell, prefills=False)
        return (
            self._send(request, decode_engine, "decode") if decode_engine else self._reject_or_fail(request)
        )

    def on_attempt_sent(self, request_id: int, number: int, on_reused_connection: bool) -> None:
        """An attempt has been sent completely. A reused connection may be dead without a sign of it."""
        request = self.requests.get(request_id)
        if request and request.in_flight and request.in_flight.number == number:
            request.in_flight.on_reused_connection = on_reused_connection

    def on_first_token(self, request_id: int, number: int, took: int, streamed: bool = True) -> None:
        """The answer has begun. A streamed one has no deadline from here on, and keeps its tokens reserved
        until it ends. One that the host collects for a client that does not stream keeps its deadline and may
        be retried."""
        request = self.requests.get(request_id)
        if request and request.in_flight and request.in_flight.number == number:
            request.streaming, request.lease = streamed, None
            self._on_first_response(request.in_flight, took)

    def on_attempt_ended(
        self, request_id: int, number: int, engine_name: str, outcome: AttemptOutcome, took: int, detail: int,
        final: bool, report: LoadReport | None,
    ) -> None:  # fmt: skip
        """`detail`: cached prompt tokens of a prefill or an answer; 1 for a rejection if the state is gone.
        `final`: the host has given the final answer, or needs no further attempt."""
        now = self.host.now()
        engine = self.engines.get(engine_name)
        if engine and outcome not in (
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CANCELLED,
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.UNREACHABLE,
        ):
            engine.heard_at = now
        request = self.requests.get(request_id)
        expected = (
            request is not None and request.in_flight is not None and request.in_flight.number == number
        )
        if expected:
            attempt, request.in_flight = request.in_flight, None
            if self.reports_on_probe and outcome is AttemptOutcome.PREFILLED:
                self._learn_cache_hits(attempt, max(request.prompt_tokens - detail, 1))
            if not attempt.has_responded and outcome in (AttemptOutcome.PREFILLED, AttemptOutcome.COMPLETED):
                self._on_first_response(attempt, took)
            attempt.engine.reserved_tokens -= attempt.reserved_tokens
            self._clear_unanswered(attempt)
        if engine and report:
            self._apply_report(engine, report)
        if not expected:
            return
        if outcome in (AttemptOutcome.PREFILLED, AttemptOutcome.COMPLETED):
            self.slow_start.attempt_finished(attempt.engine, now)
            self._record_cached(
                attempt.engine, request, attempt.uncached_tokens or request.prompt_tokens, detail
            )
        if outcome is AttemptOutcome.COMPLETED:
            self.stream_times.add(took - attempt.first_response_time)
        if outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST, AttemptOutcome.ERROR):
            # One broken connection or error means little; a connection that can't be established means that
            # the engine is down. Errors count, as an engine that fails at once looks idle and would attract
            # requests.
            attempt.engine.consecutive_failures += 1 + (outcome is AttemptOutcome.UNREACHABLE)
            attempt.engine.was_unreachable |= outcome is AttemptOutcome.UNREACHABLE
            if attempt.engine.consecutive_failures > 1:
                self._eject(attempt.engine, now)
        if final or request.answered or request.streaming:
            request.answered = True
            self.host.release_state(request_id)
            del self.requests[request_id]
            return
        never_connected = outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT)
        if outcome is AttemptOutcome.PREFILLED:
            self._start_lease(request, attempt.engine)
            request.tried_engines &= {request.spec.resumed_from}
            return self._route(request)
        if request.lease and outcome in (AttemptOutcome.REJECTED, AttemptOutcome.ERROR):
            request.lease.since = now  # only a response proves that the call arrived
        elif request.lease and never_connected and not request.lease.outlives(now, took):
            # held_state invariant: no engine fetches the state while connections fail, and the next attempt
            # may take as long to fail as this one.
            self._release(request)
        request.tried_engines.add(engine_name)
        if outcome is AttemptOutcome.UNREACHABLE:
            request.unreachable_zones.append(attempt.engine.zone)
        if outcome is AttemptOutcome.REJECTED and detail == 1:
            request.lease = None  # the state is gone: prefill again if there is time
            request.tried_engines.discard(engine_name)  # not a fault of this engine
        elif outcome is AttemptOutcome.REJECTED:
            # Backs off from a full or throttling engine, so that not every request has to be rejected there.
            attempt.engine.backoff_until[request.spec.request_class] = now + REJECTION_BACKOFF
            self.suspects[attempt.engine] = None
        if attempt.is_prefill or never_connected or outcome is AttemptOutcome.REJECTED:
            return self._route(request)  # proven not to have run
        if request.may_have_run_on is None:
            request.may_have_run_on = attempt.engine
            request.repeat_until = attempt.sent_at + request.request_class.repeat_window
        return (
            self._reject_or_fail(request)
            if request.idempotency is Idempotency.NON_IDEMPOTENT
            else self._route(request)
        )

    def on_client_left(self, request_id: int) -> None:
        """The client is gone: no answer is due, the attempt in flight is cancelled and the state released."""
        request = self.requests.get(request_id)
        if request and not request.answered:
            self._finish(request)

    def forget(self, request_id: int) -> None:
        """The host had to drop a request: no further events of it will come."""
        request = self.requests.pop(request_id, None)
        self.awaiting_probes.pop(request_id, None)
        if request and request.in_flight:
            request.answered = True
            request.in_flight.engine.reserved_tokens -= request.in_flight.reserved_tokens
            self._clear_unanswered(request.in_flight)

    def on_tenant_share(self, tenant: str, fraction: float) -> None:
        """A tenant has this fraction of its share from here on, for example as its token budget runs out."""
        self.tenant_shares.set_fraction(tenant, fraction)

    def on_timer(self, key: int) -> None:
        if key == WINDOW_TIMER:
            self._repeat(self._on_window_end, self.window, key)
        elif key == HEALTH_TIMER:
            self._repeat(self._check_health, HEALTH_CHECK_INTERVAL, key)
        elif key & PROBE_TIMER == PROBE_TIMER:
            self._on_probes_done(key >> 2)
        elif key & PROBE_TIMER == LEASE_TIMER:
            self._on_lease_timer(key >> 2)
        elif (request := self.requests.get(key >> 2)) and not request.answered and not request.streaming:
            self.host.fail(request.spec.id)
            self._finish(request)

    def _repeat(self, action: Callable[[], None], interval: int, key: int) -> None:
        """Runs a periodic action and sets its next timer, which an error in the action must not prevent."""
        try:
            action()
        finally:
            self.host.set_timer(interval, key)

    def on_load_report(self, engine_name: str, report: LoadReport | None) -> None:
        engine = self.engines.get(engine_name)
        if engine and report:
            self._apply_report(engine, report)
        # An engine that does not answer a probe is busy with other routers' requests or gone. Without a fresh
        # report it would look idle.
        elif engine and not engine.unanswered:
            engine.backoff_until[ALL_CLASSES] = self.host.now() + MAX_REPORT_AGE
            self.suspects[engine] = None
        for request_id, request in list(self.awaiting_probes.items()):
            request.awaited_probes.discard(engine_name)
            if not request.awaited_probes:
                self._on_probes_done(request_id)

    # Leases of held states.

    def _start_lease(self, request: Request, holder: Engine) -> None:
        """From now on a prefill engine holds a state for the request."""
        request.lease = Lease(holder, self.host.now(), self.lease_duration)
        if self.silent_losses:
            self._set_lease_timer(request, request.lease.release_at)

    def _set_lease_timer(self, request: Request, at: int) -> None:
        self.host.set_timer(at - self.host.now(), request.spec.id << 2 | LEASE_TIMER)

    def _on_lease_timer(self, request_id: int) -> None:
        """Checks a decode call without a response, which may never have arrived. An overdue call is abandoned
        for another engine if its class allows that. At the end of the lease the state is released; a call
        that did arrive loses nothing by this."""
        request, now = self.requests.get(request_id), self.host.now()
        if request is None or request.answered or request.streaming:
            return
        if request.lease and now >= request.lease.release_at:
            self._release(request)
        elif request.lease:
            self._set_lease_timer(request, request.lease.release_at)
        call = request.in_flight
        if call is None or call.has_responded or call.presumed_lost or now < call.overdue_at:
            return
        if not call.on_reused_connection and call.engine.heard_at >= call.sent_at:
            # An engine that has responded to others since is healthy; the call is probably in its queue.
            patient_until = call.sent_at + ALIVE_PATIENCE * (call.overdue_at - call.sent_at)
            if now < patient_until:
                return self._set_lease_timer(request, patient_until)
        self._abandon_call(request, call, now)

    def _abandon_call(self, request: Request, call: Attempt, now: int) -> None:
        """Ejects the engine and cancels the call. A call that may run only once is not cancelled, as it may
        have arrived, nor is one that no other engine could take."""
        self._eject(call.engine, now)
        call.presumed_lost = True
        ineligible = self._ineligible(request, False)
        elsewhere = any(e is not call.engine and e not in ineligible for e in self.decode_engines)
        if call.repeatable and self.may_cancel and elsewhere:
            request.abandoned_call_sent_at = call.sent_at
            self.host.cancel_attempt(request.spec.id, call.number)

    def _release(self, request: Request) -> None:
        """Releases the state. A later attempt has to prefill the prompt again."""
        self.host.release_state(request.spec.id)
        request.lease = None

    def _overdue_at(self, request: Request, call: Attempt) -> int:
        """When a decode call has taken too long. The last attempt of a request is never overdue. After an
        abandoned call, and if engines have responded since, the call is overdue earlier, so that a third
        engine can still fetch the state."""
        shortest, pace = overdue_after(self.lease_duration), self.pace["decode"]
        if not self.silent_losses or request.attempts + 1 >= self.max_attempts:
            return NEVER
        measured = pace.total >= MIN_SAMPLES
        usual = pace.quantile(0.9) * (call.prefill_backlog + RESPONSE_OVERHEAD) / 1000 if measured else 0
        overdue_at = call.sent_at + max(int(OVERDUE_FACTOR * usual), shortest)
        if not request.abandoned_call_sent_at:
            return overdue_at
        if not any(engine.heard_at >= request.abandoned_call_sent_at for engine in self.decode_engines):
            return overdue_at if measured else NEVER
        in_a_hurry = request.lease and call.sent_at + shortest // 2 <= request.lease.last_call_at
        return min(overdue_at, request.lease.last_call_at) if in_a_hurry else overdue_at

    # Choosing an engine.

    def _home_zone(self, request: Request, split: WorkSplit) -> str:
        """The zone to serve a request in: this router's, or one chosen by the key for what exceeds its
        capacity."""
        drawn = rendezvous_hash(request.affinity_key, "")
        return split.choose(self.zone, int.from_bytes(drawn) / 2**64)

    def _choose_prefill_engine(self, request: Request, home_zone: str) -> Engine | None:
        """The first affordable prefill engine in the key's ranking, the home zone before all others."""
        ineligible = self._ineligible(request, True)
        probed = [
            e
            for e in request.probe_candidates or ()
            if e.ready and e not in ineligible and self._fresh_report(e)
        ]
        # Among the probed engines, what the key's first engine may have cached counts in its favour.
        if probed:
            cache_credit = (
                request.spec.prefix_tokens * (request.affinity_key == request.spec.prefix_id)
                + LOCAL_PREFILL_LIMIT
            )
            penalty = {
                e: (e is not request.probe_candidates[0]) * cache_credit
                + (e.zone != home_zone) * DISAGGREGATION_THRESHOLD
                for e in probed
            }
            request.probe_candidates = []
            return min(probed, key=lambda e: self._prefill_backlog(e) + penalty[e])

        def cost(engine: Engine) -> int:
            return self._prefill_backlog(engine) + UNCACHED_COST * self._uncached_tokens(engine, request)

        # Exception (hot prefix): an engine is passed over for the next of the ranking when its backlog and
        # the uncached part of this prompt cost clearly more than elsewhere. Uncached tokens weigh more than
        # the backlog: engines that pass prompts on too easily evict each other's prefixes until no cache is
        # left.
        holders = self.prefix_holders.holders_of(request.spec.prefix_id, request.spec.session)
        holders = [e for e in holders if e.ready and e.role == "read" and e not in ineligible]
        # A lower bound: no engine costs less.
        lowest, compared_all = min([UNCACHED_COST * request.prompt_tokens, *map(cost, holders)]), False
        for zone in (home_zone, None):
            for engine in self._ranking(request.affinity_key, zone):
                if engine in ineligible:
                    continue
                engine_cost = cost(engine)
                if engine_cost > HOTSPOT_FACTOR * lowest + HOTSPOT_SLACK and not compared_all:
                    lowest, compared_all = (
                        min(cost(e) for e in self.prefill_engines if e not in ineligible),
                        True,
                    )
                if engine_cost <= HOTSPOT_FACTOR * lowest + HOTSPOT_SLACK:
                    return engine
        return None

    def _probe_first(self, request: Request, home_zone: str) -> bool:
        """Exception (load reports on probes only): a router that sends few requests knows the load of few
        engines. Probes the first engines of the key's ranking and one of another zone; True if the request
        waits."""
        ineligible, now = self._ineligible(request, True), self.host.now()
        holders = self.prefix_holders.holders_of(request.spec.prefix_id, request.spec.session)
        if any(
            e.ready and e.role == "read" and 2 * self._uncached_tokens(e, request) < request.prompt_tokens
            for e in holders
        ):
            return False  # a known engine caches most of the prompt
        eligible = [
            e
            for zone in (home_zone, None)
            for e in self._ranking(request.affinity_key, zone)[:SAMPLE_SIZE]
            if e not in ineligible
        ]
        request.probe_candidates = [e for e in eligible if e.zone == home_zone][:PROBED_PREFILL_ENGINES] + [
            e for e in eligible if e.zone != home_zone
        ][:1]
        outdated = [engine for engine in request.probe_candidates if now - engine.report_at >= PROBE_INTERVAL]
        for engine in outdated:
            engine.probed_at, self.awaiting_probes[request.spec.id] = now, request
            self.host.probe(engine.name)
            request.awaited_probes.add(engine.name)
        if outdated:
            self.host.set_timer(PROBE_WAIT, request.spec.id << 2 | PROBE_TIMER)
        return bool(outdated)

    def _on_probes_done(self, request_id: int) -> None:
        if (request := self.awaiting_probes.pop(request_id, None)) and not request.answered:
            self._route(request)

    def _ranking(self, key: str, zone: str | None) -> list[Engine]:
        """The prefill engines of a zone, or all, by the key's rendezvous hash; cached for the latest keys."""
        ranked = self.rankings.pop((key, zone or ""), None)
        if ranked is None:
            engines = self.prefill_engines if zone is None else self.prefill_engines_in.get(zone, ())
            ranked = sorted(engines, key=lambda engine: rendezvous_hash(key, engine.name))
        self.rankings[key, zone or ""] = ranked
        if len(self.rankings) > MAX_RANKINGS:
            del self.rankings[next(iter(self.rankings))]
        return ranked

    def _choose_stand_in(self, request: Request, home_zone: str) -> Engine | None:
        """The better of two decode engines that can prefill the prompt themselves."""
        ineligible = self._ineligible(request, False)

        def able(engine: Engine) -> bool:
            if engine in ineligible or self._utilization(engine) > STAND_IN_MAX_USE:
                return False
            if engine.role == "both":
                return self._uncached_tokens(engine, request) < DISAGGREGATION_THRESHOLD
            return self.decode_engines_prefill and not self._is_saturated(engine, request)

        engines = self.decode_engines_in.get(home_zone, EMPTY_POOL).engines
        able_engines = [e for e in self._sample(engines) if able(e)]
        if len(able_engines) < 2 and len(engines) > SAMPLE_SIZE:
            able_engines = [e for e in engines if able(e)]
        drawn = self.random.sample(able_engines, min(len(able_engines), 2))
        return min(drawn, key=lambda e: self._expected_wait(e, request, "local prefill"), default=None)

    def _expected_wait(self, engine: Engine, request: Request, work: str) -> float:
        """Expected time to the end of the prefill, from the backlog and the measured pace of such work."""
        pace = self.pace[work]
        if pace.total >= MIN_SAMPLES:
            tokens = self._tokens_ahead(engine, self._uncached_tokens(engine, request), work)
            return pace.quantile(0.75) * (tokens + RESPONSE_OVERHEAD) / 1e3
        # No measurement yet: the backlog at the pace of prefill engines, or its median if that has few
        # samples too.
        pace = self.pace["prefill"]
        fraction = 0.75 if pace.total >= MIN_SAMPLES else 0.5
        return (
            pace.quantile(fraction) * self._tokens_ahead(engine, 0, work) / 1e3
            if self.reports_on_probe
            else 0
        )

    def _tokens_ahead(self, engine: Engine, uncached: int, work: str) -> int:
        """Tokens to prefill until `uncached` more are done. Prefill engines are expected to find as much in
        their caches as lately, as other requests fill these too."""
        return int(
            (self._prefill_backlog(engine) + uncached)
            * (self._uncached_ratio() if work == "prefill" else 1.0)
        )

    def _learn_cache_hits(self, attempt: Attempt, prefilled: int) -> None:
        """Compares the tokens that a prefill engine has prefilled with those that were expected to be
        uncached."""
        attempt.prefill_backlog += prefilled - int(attempt.uncached_tokens * self._uncached_ratio())
        decay = 0.5 if self.expected_uncached > CACHE_SAMPLE_TOKENS else 1.0
        self.expected_uncached = decay * (self.expected_uncached + attempt.uncached_tokens)
        self.actual_uncached = decay * (self.actual_uncached + prefilled)

    def _uncached_ratio(self) -> float:
        return min(self.actual_uncached / self.expected_uncached, 1.0)

    def _exceeds_admission_limit(self, request: Request, prefill_engine: Engine, wait: float) -> bool:
        """Admission control: whether the first token is expected too late, so that the work would be wasted
        and delay other requests. A prompt is not rejected for its length alone while its client still waits:
        the time that it takes beyond a usual one is added to the limit."""
        limit = ADMISSION_LIMIT * request.first_token_limit * (OVER_SHARE_FACTOR if request.over_share else 1)
        slow, quick = (self.pace["prefill"].quantile(q) * self._uncached_ratio() / 1e3 for q in (0.75, 0.25))
        uncached = self._uncached_tokens(prefill_engine, request)
        if quick * uncached > limit / 2:
            usual = max(slow * self.prefill_sizes.quantile(0.5), limit / 2)
            limit += max(slow * uncached - usual, 0)
        ineligible, engines = (
            self._ineligible(request, False),
            self.decode_engines_in.get(prefill_engine.zone, EMPTY_POOL).engines,
        )
        engines = [e for e in self._sample(engines) if e not in ineligible]
        overload = sum(map(self._utilization, engines)) / (len(engines) or 1) - 1
        expected = wait + max(overload, 0) * self.stream_times.quantile(0.5)
        return expected > limit or wait > ADMISSION_LIMIT * request.spec.budget

    def _choose_decode_engine(
        self, request: Request, zone: str, cell: int | None, prefills: bool
    ) -> Engine | None:
        """Draws an engine of the cell and one of the zone. The cell's is taken unless it has clearly more
        load."""
        ineligible, pool = self._ineligible(request, False), self.decode_engines_in.get(zone, EMPTY_POOL)
        may_prefill = not prefills or self.decode_engines_prefill

        # Exception (full decode engine): it is left out while others in the zone, or else anywhere, have
        # room. Covers load that this router's own tokens don't show: other routers' requests, few slots, slow
        # streams.
        def able(engine: Engine) -> bool:
            return engine not in ineligible and (may_prefill or engine.role == "both")

        def has_room(engine: Engine) -> bool:
            return able(engine) and self._utilization(engine) < 1

        by_cell, fits = self.decode_engines_by_cell, has_room
        candidate = self._draw_from(pool, fits) if len(pool.engines) > SAMPLE_SIZE else None
        # In a small zone, or one where few engines have room, all are examined, and then those of other
        # zones.
        if candidate is None:
            usable = [engine for engine in self.decode_engines if able(engine)]
            in_zone = [engine for engine in usable if engine.zone == zone]
            engines = (
                [e for e in in_zone if has_room(e)] or [e for e in usable if has_room(e)] or in_zone or usable
            )
            pool, by_cell, fits = WeightedPool(engines), {}, able
            candidate = self._draw_from(pool, fits)
        if candidate is None:
            return None
        if zone in self.cell_splits:
            cell = self.cell_splits[zone].choose(cell, self.random.random())
        in_cell = by_cell.get((zone, cell), ()) if by_cell else pool.engines
        in_cell = [e for e in in_cell if e.cell == cell and fits(e)]
        preferred = self._draw_from(WeightedPool(in_cell), fits) or self._draw_from(pool, fits) or candidate
        return (
            candidate
            if self._reserved_share(preferred)
            > IMBALANCE_FACTOR * self._reserved_share(candidate) + IMBALANCE_SLACK
            else preferred
        )

    def _sample(self, engines: list[Engine]) -> list[Engine]:
        return engines if len(engines) <= SAMPLE_SIZE else self.random.sample(engines, SAMPLE_SIZE)

    def _draw_from(self, pool: WeightedPool, fits: Callable[[Engine], bool]) -> Engine | None:
        """An engine that fits, drawn by weight; None if a few draws find none."""
        for _ in range(MAX_DRAWS if pool.engines else 0):
            drawn = self.random.choices(pool.engines, cum_weights=pool.cumulative_weights)[0]
            if fits(drawn):
                return drawn
        return None

    def _ineligible(self, request: Request, for_prefill: bool) -> set[Engine]:
        """Prefill or decode engines that may not get this request now: excluded by an invariant, tried
        before, or unhealthy. Only suspects are examined one by one, as all other engines are healthy."""
        now = self.host.now()
        engines = self.prefill_engines if for_prefill else self.decode_engines
        suspects = [e for e in self._current_suspects(now) if e.ready and (e.role == "read") == for_prefill]
        tried = [self.engines[name] for name in request.tried_engines if name in self.engines]
        ineligible = {e for e in tried if e.ready and (e.role == "read") == for_prefill}
        if request.prompt_tokens > self.smallest_memory:
            ineligible.update(e for e in engines if e.memory and request.prompt_tokens > e.memory)
        if request.may_have_run_on is not None:
            ineligible.update(e for e in engines if not self._may_repeat_on(e, request, now))
        failing = {e for e in suspects if e.consecutive_failures > 1}
        unhealthy = {
            e for e in suspects if e.consecutive_failures > 1 or e.ejections or self._is_silent(e, now)
        }
        # If most engines of a role look unhealthy, that says nothing about single engines.
        trust_all = (len(engines) - len(unhealthy)) * 2 < len(engines) - len(failing)
        for e in suspects:
            cold = now < e.slow_start_until and not self._has_slow_start_budget(e, now)
            if cold or (
                e in unhealthy and not (self._may_trial(e, request, now) or (trust_all and e not in failing))
            ):
                ineligible.add(e)
        class_keys = (ALL_CLASSES, request.spec.request_class)
        backing_off = {
            e for e in suspects if now < max(map(e.backoff_until.get, class_keys, (0, 0)))
        } - ineligible
        # Exception (lost zone): a request that could not reach two engines of a zone goes to other zones, as
        # it has few attempts. Only this request does: if all left the zone, a lost rack would overload the
        # other zones.
        lost_zones = {zone for zone in request.unreachable_zones if request.unreachable_zones.count(zone) > 1}
        in_lost_zones = {e for e in engines if e.zone in lost_zones} if lost_zones else set()
        # After an abandoned call a request goes to healthy engines that have been heard from since that call
        # was sent, as long as there are any.
        abandoned_at = 0 if for_prefill else request.abandoned_call_sent_at
        unheard = {e for e in engines if e.heard_at < abandoned_at} if abandoned_at else set()
        for group in (in_lost_zones, backing_off, unhealthy - ineligible if abandoned_at else set(), unheard):
            ineligible = ineligible | group if len(ineligible | group) < len(engines) else ineligible
        return ineligible

    def _current_suspects(self, now: int) -> list[Engine]:
        """Engines that are ejected, failing, in slow start, backed off from, or late with a first
        response."""
        while self.ttft_deadlines and self.ttft_deadlines[0][0] < now:
            _, request_id, number, engine = heappop(self.ttft_deadlines)
            if (request_id, number) in engine.unanswered:
                self.suspects[engine] = None
        for engine in list(self.suspects):
            oldest = self._oldest_unanswered(engine)
            overdue = oldest and oldest.sent_at + oldest.ttft_target < now
            suspect = (
                overdue
                or engine.ejections
                or engine.consecutive_failures > 1
                or now < engine.slow_start_until
            )
            if not suspect and all(until <= now for until in engine.backoff_until.values()):
                del self.suspects[engine]
        return list(self.suspects)

    def _may_repeat_on(self, engine: Engine, request: Request, now: int) -> bool:
        """single_effect invariant for requests with a key: a repeat goes only to engines that recognise the
        key."""
        first_engine, scope = request.may_have_run_on, request.request_class.key_scope
        if first_engine is None or request.idempotency is not Idempotency.WITH_KEY:
            return True
        in_scope = scope == "all" or (
            engine.zone == first_engine.zone and (scope == "zone" or engine.cell == first_engine.cell)
        )
        return in_scope and now < request.repeat_until

    def _reserved_share(self, engine: Engine) -> float:
        """This router's reserved tokens there, relative to the engine's memory and weight."""
        return engine.reserved_tokens / ((engine.memory or 1) * engine.weight)

    def _utilization(self, engine: Engine) -> float:
        """Share of a decode engine's memory or slots that is in use, above 1 if requests queue: its fresh
        load report and what this router has sent since, or this router's own reserved tokens."""
        memory, report = engine.memory or 1, engine.report
        own_share = engine.reserved_tokens / memory
        if report is None or self.host.now() - engine.report_at > MAX_REPORT_AGE:
            return own_share
        used = max(report.memory_used or 0, report.slots_used or 0)
        if report.queued:
            usual_running = memory / max(self.decode_sizes.quantile(0.5), 1)
            running = usual_running if report.in_flight is None else report.in_flight - report.queued
            used = max(used, 1) + report.queued / max(running, 1)
        return max(own_share, used + own_share - engine.reserved_tokens_at_report / memory)

    def _prefill_backlog(self, engine: Engine) -> int:
        """Prompt tokens that wait for prefill there, from this router's own requests and a fresh load
        report."""
        report = self._fresh_report(engine)
        # Without a report, the usual backlog of the zone; for a zone without any reports, that of the worst
        # zone.
        if report is None:
            usual = self.usual_backlog[engine.role]
            return engine.pending_prefill_tokens + int(
                usual.get(engine.zone, max(usual.values(), default=0.0))
            )
        return max(
            engine.pending_prefill_tokens,
            int(self._reported_backlog(engine, report))
            + engine.pending_prefill_tokens
            - engine.pending_prefill_at_report,
        )

    def _reported_backlog(self, engine: Engine, report: LoadReport) -> float:
        if report.prefill_backlog_thousands is None and engine.role == "read":
            return (report.queued or 0) * self.prefill_sizes.quantile(0.5)  # no token count: median requests
        return (report.prefill_backlog_thousands or 0) * 1000

    def _fresh_report(self, engine: Engine) -> LoadReport | None:
        """The engine's latest report, unless it is too old."""
        return engine.report if self.host.now() - engine.report_at < MAX_REPORT_AGE else None

    def _has_queue(self, engine: Engine) -> bool:
        return bool((report := self._fresh_report(engine)) and report.queued)

    def _apply_report(self, engine: Engine, report: LoadReport) -> None:
        engine.report, engine.report_at = report, self.host.now()
        engine.backoff_until.pop(ALL_CLASSES, None)
        if self.reports_on_probe:
            usual, tokens = self.usual_backlog[engine.role], self._reported_backlog(engine, report)
            previous = usual.get(engine.zone, tokens)
            usual[engine.zone] = previous + (tokens - previous) / MIN_SAMPLES
        engine.reserved_tokens_at_report, engine.pending_prefill_at_report = (
            engine.reserved_tokens,
            engine.pending_prefill_tokens,
        )

    def _uncached_tokens(self, engine: Engine, request: Request) -> int:
        """Prompt tokens that the engine is expected to have to prefill: those past its cached prefix."""
        return max(
            request.prompt_tokens
            - engine.longest_cached_prefix(request.spec.session, request.spec.prefix_id),
            1,
        )

    def _record_cached(self, engine: Engine, request: Request, uncached: int, found: int) -> None:
        """Records what an engine has cached. One that found much less than expected has lost its cache (a
        flush, an unreported restart, too little memory): all its entries are dropped."""
        cached, spec = engine.cached_prefixes, request.spec
        if found < (request.prompt_tokens - uncached) / 2:
            for key in list(cached):
                self.prefix_holders.remove(engine, key)
        for key, length in (
            (spec.prefix_id, spec.prefix_tokens),
            (spec.session, request.prompt_tokens),
        ):
            if key:
                self.prefix_holders.add(engine, key, length)
        while len(cached) > MAX_CACHED_PREFIXES:
            self.prefix_holders.remove(engine, next(iter(cached)))

    def _is_saturated(self, engine: Engine, request: Request) -> bool:
        pending = self._prefill_backlog(engine) + self._uncached_tokens(engine, request)
        return (
            self._has_queue(engine)
            or self._utilization(engine) > LOCAL_PREFILL_MAX_USE
            or pending > LOCAL_PREFILL_LIMIT
        )

    # Health, as this router's own attempts show it.

    def _is_silent(self, engine: Engine, now: int) -> bool:
        """Whether the engine has been silent for much longer than its oldest unanswered attempt should take:
        it is gone, cut off or hangs. An engine that is merely busy responds to other attempts."""
        oldest = self._oldest_unanswered(engine)
        return oldest is not None and now - max(oldest.sent_at, engine.heard_at) > self._max_silence(oldest)

    def _oldest_unanswered(self, engine: Engine) -> Attempt | None:
        """Its oldest unanswered attempt that is not presumed lost already."""
        return next((attempt for attempt in engine.unanswered.values() if not attempt.presumed_lost), None)

    def _check_health(self) -> None:
        """Ejects silent engines and cancels their attempts, to be sent elsewhere; those that must not run
        twice stay. While most engines of a role are silent nothing is cancelled, as work would only move from
        one silent engine to the next."""
        now = self.host.now()
        self._apply_list()
        silent = [e for e in self._current_suspects(now) if e.ready and self._is_silent(e, now)]
        for engine in sorted(silent, key=lambda e: (e.role != "read", e.name)):
            same_role = self.prefill_engines if engine.role == "read" else self.decode_engines
            silent_peers = sum((e.role == "read") == (engine.role == "read") for e in silent)
            if not self.may_cancel or silent_peers * 2 > len(same_role):
                continue
            self._eject(engine, now)
            engine.heard_at, engine.was_unreachable = now, True
            for attempt in list(engine.unanswered.values()):
                if not attempt.presumed_lost and (attempt.is_prefill or attempt.repeatable):
                    self.host.cancel_attempt(attempt.request_id, attempt.number)
                attempt.presumed_lost = True

    def _may_trial(self, engine: Engine, request: Request, now: int) -> bool:
        """Half-open trial: an ejected engine gets one attempt at a time, and never a non-idempotent one."""
        due = engine.ejections and now >= engine.next_trial_at and not self._oldest_unanswered(engine)
        return bool(due) and request.idempotency is not Idempotency.NON_IDEMPOTENT

    def _max_silence(self, attempt: Attempt) -> int:
        pace = self.pace[self._work_of(attempt)]
        if pace.total < MIN_SAMPLES:
            return NEVER
        return max(
            int(SILENCE_FACTOR * pace.quantile(0.9) * (attempt.prefill_backlog + RESPONSE_OVERHEAD) / 1000),
            attempt.ttft_target,
        )

    def _work_of(self, attempt: Attempt) -> str:
        return "prefill" if attempt.is_prefill else "local prefill" if attempt.uncached_tokens else "decode"

    def _eject(self, engine: Engine, now: int) -> None:
        engine.next_trial_at = now + min(FIRST_TRIAL_AFTER << engine.ejections, MAX_TRIAL_DELAY)
        engine.ejections += 1
        self.suspects[engine] = None

    def _on_first_response(self, attempt: Attempt, took: int) -> None:
        """The engine has responded: a prefill has ended or an answer has begun."""
        engine, now, work = attempt.engine, self.host.now(), self._work_of(attempt)
        engine.heard_at, engine.consecutive_failures = now, 0
        # A wait behind an unreported backlog is not a slow pace. As a pace it would reject, for long, the
        # very requests that would show that the backlog is gone.
        if (
            work != "prefill"
            or attempt.backlog_reported
            or not self.reports_on_probe
            or self.pace[work].total < MIN_SAMPLES
        ):
            self.pace[work].add(took * 1000 // (max(attempt.prefill_backlog, 0) + RESPONSE_OVERHEAD))
        attempt.has_responded, attempt.first_response_time = True, took
        self._clear_unanswered(attempt)
        # The engine is back and probably cold, whether or not the list reports a restart.
        if engine.ejections and engine.was_unreachable:
            self._begin_slow_start(engine, now)
        engine.ejections, engine.was_unreachable = 0, False

    # Slow start.

    def _begin_slow_start(self, engine: Engine, started_at: int) -> None:
        if self.slow_start.begin(engine, started_at, self.host.now()):
            self.suspects[engine] = None

    def _has_slow_start_budget(self, engine: Engine, now: int) -> bool:
        """slow_start invariant (routing/slow_start.py). A cold engine with queued requests gets no more."""
        same_role = self.prefill_engines if engine.role == "read" else self.decode_engines
        has_budget = self.slow_start.has_budget(engine, now, len(same_role))
        return has_budget and (now >= engine.slow_start_until or not self._has_queue(engine))

    def _on_window_end(self) -> None:
        now = self.host.now()
        self._apply_list()
        if self.list_unavailable:
            self.list_unavailable = False
            self.host.watch_engines()
        for engine in [
            e for e in self.engines.values() if e.gone and not e.unanswered and not e.reserved_tokens
        ]:
            # In a fleet that replaces engines all day the table would grow without bound.
            for key in list(engine.cached_prefixes):
                self.prefix_holders.remove(engine, key)
            self.suspects.pop(engine, None)
            del self.engines[engine.name]
        for pace in self.pace.values() if now // self.window % PACE_HALVING_WINDOWS == 0 else ():
            pace.halve()  # a past overload fades, as rejected requests bring no new measurements
        self.slow_start.window_ended(self.prefill_engines + self.decode_engines, now)

    # Actions.

    def _send(self, request: Request, engine: Engine, work: str) -> None:
        now = self.host.now()
        uncached = 0 if work == "decode" else self._uncached_tokens(engine, request)
        reserved = 0 if work == "prefill" else self._reserved_by(request, engine)
        backlog = request.prompt_tokens if work == "decode" else self._tokens_ahead(engine, uncached, work)
        repeatable = request.idempotency is not Idempotency.NON_IDEMPOTENT
        attempt = Attempt(
            request.spec.id, request.attempts, engine, now, reserved, uncached, backlog, work == "prefill",
            repeatable, request.ttft_target, backlog_reported=self._fresh_report(engine) is not None,
        )  # fmt: skip
        if work == "decode":
            attempt.overdue_at = self._overdue_at(request, attempt)
            if attempt.overdue_at < request.deadline:
                self._set_lease_timer(request, attempt.overdue_at)
        engine.reserved_tokens += reserved
        (self.decode_sizes if reserved else self.prefill_sizes).add(reserved or uncached)
        engine.pending_prefill_tokens += uncached
        engine.unanswered[request.spec.id, attempt.number] = attempt
        heappush(self.ttft_deadlines, (now + request.ttft_target, request.spec.id, attempt.number, engine))
        self.slow_start.attempt_sent(engine, now)
        request.in_flight, request.attempts = attempt, request.attempts + 1
        self.host.start_attempt(request.spec.id, engine.name, request.deadline, request.repeat_until)
        self._probe_nearby(engine)

    def _reserved_by(self, request: Request, engine: Engine) -> int:
        """Tokens that a request may come to hold at a decode engine, which is all of its memory at most."""
        return min(request.prompt_tokens + request.spec.max_output_tokens, engine.memory or NEVER)

    def _probe_nearby(self, engine: Engine) -> None:
        """Probes the engine and some others of its zone for later requests, so that the number of probes
        grows with the requests and not with routers times engines."""
        if self.reports_on_probe and engine.role != "read":
            engines, now = self.decode_engines_in.get(engine.zone, EMPTY_POOL).engines, self.host.now()
            drawn = self.random.sample(engines, min(len(engines), EXTRA_PROBES + 1))
            for probed in (engine, *[e for e in drawn if e is not engine][:EXTRA_PROBES]):
                if now - probed.probed_at >= PROBE_INTERVAL:
                    probed.probed_at = now
                    self.host.probe(probed.name)

    def _clear_unanswered(self, attempt: Attempt) -> None:
        if attempt.engine.unanswered.pop((attempt.request_id, attempt.number), None):
            attempt.engine.pending_prefill_tokens -= attempt.uncached_tokens

    def _reject_or_fail(self, request: Request) -> None:
        """Sends the final answer if no engine can serve the request: rejected if a repeat is harmless, else
        failed."""
        harmless = request.idempotency is Idempotency.IDEMPOTENT or request.may_have_run_on is None
        if harmless or (
            request.idempotency is Idempotency.WITH_KEY and request.request_class.key_scope == "all"
        ):
            self.host.reject(
                request.spec.id, self.random.randint(self.max_retry_after // 2, self.max_retry_after)
            )
        else:
            self.host.fail(request.spec.id)
        self._finish(request)

    def _finish(self, request: Request) -> None:
        """held_state invariant: each final answer releases the state and cancels the attempt in flight."""
        request.answered = True
        if request.in_flight and not request.streaming and self.may_cancel:
            self.host.cancel_attempt(request.spec.id, request.in_flight.number)
        self.host.release_state(request.spec.id)
        if request.in_flight is None:
            del self.requests[request.spec.id]
