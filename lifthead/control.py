"""All decisions of a lifthead router, with their tables and tuned values.

The host makes one `Router` an instance and calls one `on_...` method for each thing that happens; it acts at
once through the small `Host` that it was handed at start. What crosses is in interface.py, the records kept
between calls in state.py. docs/design.md tells where the design comes from and when each exception acts.

A request's path is `_route`: read at a reader or at the writer, then written. It is entered again when the
read has ended, and whenever an attempt has failed and another is allowed. Everything else serves that path.
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
from lifthead.leases import Lease, retry_after
from lifthead.routing.request import Request
from lifthead.routing.slow_start import SlowStart
from lifthead.routing.tenant_shares import TenantShares
from lifthead.routing.work_split import WorkSplit, capacity_parts
from lifthead.state import Attempt, Engine, Histogram, PrefixHolders, WeightedPool

# The split (docs/design.md, "The threshold").
THRESHOLD = 4096  # prompt tokens; shorter ones are read where they are written
HEAVIER = 1.25  # the cell's writer is left when it carries this many times the other's tokens ...
HEAVIER_BY = 0.02  # ... and this share of a writer's memory besides

# Exceptions to it.
LOCAL_UNREAD = 1024  # unread tokens that a writer may have before short prompts go to a reader
ANEW = 4  # what a prompt token to be read counts against one that waits already
HOT_TIMES = 2.0  # a reader is passed over when it costs this many times the least of its peers ...
HOT_SLACK = 8192  # ... and this many tokens besides
UNEVEN = 1.3  # a zone writes this many times the part of all work that its part of the writers says ...
READERS_MORE = 1.5  # ... and reads this many times its part of the readers: there is more room to read
OUT = 0.25  # part of its reads that a zone may send out over its cells' links, which are narrow
BUSY = 0.6  # a writer that holds this share of its memory reads nothing itself
FULL = 0.8  # a writer that holds this share of its memory does not stand in for a reader
DROWNED = 0.35  # a read expected to take this part of the response target is made elsewhere if that is sooner
OVER_SHARE = 0.3  # part of HOPELESS that holds for a tenant beyond its share
HOPELESS = 0.7  # a request is pushed back when its wait is expected to be this part of its response target
KEPT_KEYS = 256  # sessions and beginnings remembered for an engine

# Health.
OVERHEAD = 1000  # tokens' worth of time that any first answer takes, however short its prompt
ENOUGH = 6  # measurements before a histogram is believed
READ_MEMORY = 4 * ENOUGH * THRESHOLD  # tokens of reads after which older ones count half
FORGET = 16  # windows after which paces count half
OVERDUE = 2.0  # a decode call is overdue after this many times what nine in ten such calls take
ALIVE_TIMES = 4  # ... and so many times later, where its engine has answered others since
PATIENCE = 5.0  # an engine may be silent for this many times what nine in ten such attempts take
TRIAL_AFTER = 1_000_000  # a suspect's first trial; twice as long after each further strike
TRIAL_LIMIT = 8_000_000
BARRED_FOR = 8_000_000  # an engine that turned a request away gets none of its endpoint group for so long
FRESH = 4_000_000  # age to which a load report is believed
PROBE_EVERY = 300_000  # where reports come on probes alone, an engine is asked so often at most
ASKED = 2  # readers of a request's zone that are asked before one is chosen ...
ASK_FOR = 20_000  # ... and how long their answers are waited for
PROBES = 4  # others of its zone that are asked along with each engine that a request goes to
LOOK_EVERY = 100_000  # how often silent engines are looked for
NEVER = 1 << 62

# What keeps the work for a request from growing with the fleet.
FEW = 16  # writers of a zone that are all asked; of more, so many stand for it where all were to be asked
DRAWS = 8  # draws from a larger zone before all of it is asked for room
ORDERS = 512  # keys whose order of readers is remembered
NOBODY = WeightedPool([])
ANY = ""  # in place of an endpoint group: all of them

# Labels of wake-ups: a request's own is its id, shifted.
TURN_OF_WINDOW, LOOK_ROUND, ASKED_LONG = 1, 2, 3
LEASE = 2  # with a request's shifted id


def rank(key: str, engine: str) -> bytes:
    """Rendezvous hash: a change among the readers moves only the keys of those that came or went."""
    return blake2b(f"{key}|{engine}".encode(), digest_size=8).digest()


class Router:
    def __init__(self, host: Host, deployment: Deployment) -> None:
        self.host, self.zone = host, deployment.zone
        self.chance = random.Random(deployment.seed)
        self.tick = max(deployment.tick, 1)
        self.groups, self.roles, self.memory = (
            deployment.request_classes,
            deployment.role_by_kind,
            deployment.memory_by_kind,
        )
        self.writers_read, self.max_forwards = deployment.decode_engines_prefill, deployment.max_attempts
        self.let_go_by, self.may_cancel = deployment.lease_duration, deployment.may_cancel
        self.silent_losses = deployment.silent_losses and self.let_go_by > 0
        self.probes = deployment.reports_on_probe and deployment.may_probe
        self.hold_off = deployment.max_retry_after if deployment.may_send_retry_after else 0
        self.window = max(deployment.overload_window, 1)
        self.slow_start = SlowStart(deployment, self.window, self.chance)
        self.tenant_shares = TenantShares(deployment.tenants, deployment.routers, self.window)
        self.engines: dict[str, Engine] = {}
        self.readers: list[Engine] = []  # ready ones, by name
        self.writers: list[Engine] = []  # ready ones, mixed included, by name
        self.between_cells: dict[str, WorkSplit] = {}  # by zone
        # Kept up as the list and single engines change, so that few engines are looked at for a request.
        self.readers_in: dict[str, list[Engine]] = {}  # by zone
        self.writers_in: dict[str, WeightedPool] = {}  # by zone
        self.cells: dict[tuple[str, int], list[Engine]] = {}  # writers, by zone and cell
        self.orders: dict[tuple[str, str], list[Engine]] = {}  # readers as a key ranks them, by key and zone
        self.watched: dict[Engine, None] = {}  # engines with something against them; others are well
        self.late: list[tuple[int, int, int, Engine]] = []  # a heap: when an attempt is past its target
        self.prefix_holders = PrefixHolders()
        self.least_memory = min((m for m in deployment.memory_by_kind.values() if m), default=NEVER)
        self.requests: dict[int, Request] = {}
        self.pace = {work: Histogram(1000, 14, 400) for work in ("read", "fetch", "read there")}
        # Tokens unread at engines that told nothing lately, by role and zone, if they tell only when asked.
        self.unseen = {role: {self.zone: 0.0} for role in ("read", "write", "both", "")}
        self.taken_unread = self.proved_unread = float(THRESHOLD)  # tokens at readers: as expected, as found
        self.streams = Histogram(100_000, 10, 400)  # how long answers stream
        self.sizes = Histogram(256, 10, 200)  # tokens of an attempt to a writer
        self.reads = Histogram(256, 10, 200)  # unread tokens of an attempt to a reader
        host.set_timer(self.window, TURN_OF_WINDOW)
        host.set_timer(LOOK_EVERY, LOOK_ROUND)
        self.asking: dict[int, Request] = {}  # which wait for word of readers
        self.unsettled, self.ask_again = True, False
        if deployment.list_on_request:
            host.watch_engines()

    # What can happen to the list of engines.

    def on_engine_list(self, entries: list[EngineEntry], whole_list: bool) -> None:
        """News of engines. Draining, gone and left-out ones get nothing from here on."""
        if whole_list:
            named = {entry.engine for entry in entries}
            for engine in self.engines.values():
                engine.gone = engine.name not in named
                engine.ready = engine.ready and not engine.gone
        for entry in entries:
            engine = self.engines.get(entry.engine)
            if engine is None:
                engine = self.engines[entry.engine] = Engine(entry.engine, entry.up_since)
            elif entry.up_since != engine.up_since:  # back under the same name: what was held against it goes
                engine.ejections, engine.consecutive_failures, engine.report = 0, 0, None
            engine.zone, engine.cell, engine.up_since = entry.zone, entry.cell, entry.up_since
            engine.weight = entry.weight if 0 < entry.weight < NEVER else 1.0  # not told, or no size
            # An engine of a kind that the settings don't name can't be used: nothing says what it does.
            engine.role, engine.memory = self.roles.get(entry.kind, ""), self.memory.get(entry.kind, 0)
            engine.ready = entry.readiness == "ready" and engine.role != ""
            engine.gone = entry.readiness == "gone"
            if entry.up_since:
                self._begin_slow_start(engine, entry.up_since)
        self.unsettled = True

    def _settle(self) -> None:
        """What follows from the list, once for all news since: a zone's loss comes as hundreds of them, and
        to a large fleet's router each would cost milliseconds."""
        if not self.unsettled:
            return
        self.unsettled = False
        ready = [self.engines[name] for name in sorted(self.engines) if self.engines[name].ready]
        self.readers = [engine for engine in ready if engine.role == "read"]
        self.writers = [engine for engine in ready if engine.role != "read"]
        self.orders.clear()
        self._even_out()

    def _even_out(self) -> None:
        """Exception, uneven cells and zones: few writers can't write all that many readers read, nor few
        engines all that comes in (lifthead/routing/work_split.py)."""
        zones = {engine.zone for engine in self.readers + self.writers} | {self.zone}
        even = dict.fromkeys(sorted(zones), 1 / len(zones))
        writes = capacity_parts(self.writers, "zone")
        reads = capacity_parts(self.readers, "zone")
        reads = {zone: min(part, writes.get(zone, 0.0) + OUT * part) for zone, part in reads.items()}
        self.reads_here = WorkSplit(even, reads, READERS_MORE)
        self.writes_here = WorkSplit(even, writes, UNEVEN)
        self.between_zones = WorkSplit(self.reads_here.taken, writes, UNEVEN)
        self.readers_in, self.writers_in, self.cells = {}, {}, {}
        for zone in even:
            readers = [engine for engine in self.readers if engine.zone == zone]
            writers = [engine for engine in self.writers if engine.zone == zone]
            cells_read, cells_write = capacity_parts(readers, "cell"), capacity_parts(writers, "cell")
            self.between_cells[zone] = WorkSplit(cells_read, cells_write, 1.0)
            self.readers_in[zone], self.writers_in[zone] = readers, WeightedPool(writers)
        for writer in self.writers:
            self.cells.setdefault((writer.zone, writer.cell), []).append(writer)

    def on_engine_list_unavailable(self) -> None:
        self.ask_again = True

    # What can happen to a request.

    def on_request(self, demand: RequestSpec) -> None:
        now = self.host.now()
        group = self.groups[demand.request_class]
        target = group.ttft_target_of(demand.prompt_tokens)
        wanted_in = min(target, demand.budget)  # what a client won't wait for is not begun
        # Exception, a short beginning: the key is the session, whose own text is most of what is to be found
        # again. Covers a few beginnings that all share: their readers drowned under text that none had.
        own = 0 < 2 * demand.prefix_tokens < demand.prompt_tokens and demand.session
        key = own or demand.prefix_id or demand.session
        request = Request(
            demand,
            group,
            group.idempotency,
            demand.prompt_tokens,
            now + demand.budget,
            key,
            target,
            wanted_in,
        )
        request.over_share = self.tenant_shares.count(demand.tenant, now)
        if (
            demand.resumed_from
        ):  # the rest of a stream that broke: rule 2 counts what ran, and it goes elsewhere
            request.may_have_run_on = self.engines.get(demand.resumed_from)
            request.repeat_until = demand.resumed_attempt_sent_at + group.repeat_window
            request.tried_engines.add(demand.resumed_from)
        self.requests[demand.id] = request
        self.host.set_timer(max(demand.budget - self.tick, 1), demand.id << 2)
        self._route(request)

    def _route(self, request: Request) -> None:
        """The ordinary path of a request, from top to bottom; entered again when the read has ended."""
        now = self.host.now()
        self._settle()
        if request.attempts >= self.max_forwards or now + self.tick >= request.deadline:
            return self._give_up(request)
        if request.lease and self.silent_losses and now >= request.lease.too_late_at:
            self._release(request)
        if request.lease is None:
            # Exception, a last attempt: after a prefill nobody could be asked to decode.
            last = request.attempts > 0 and request.attempts + 1 == self.max_forwards
            if request.prompt_tokens < THRESHOLD or not self.readers or last:
                writer = self._draw(request, self._home(request, self.writes_here), None, reads=True)
                # Exception, a burst: a writer that has enough to read leaves the prompt to the reader of its
                # key, so that short reads do not pile up before running streams. Also covers a flush.
                if writer and (last or not (self.readers and self._crowded(writer, request))):
                    return self._send(request, writer, "read there")
            home = self._home(request, self.reads_here)
            if self.probes and request.probe_candidates is None and self._ask_first(request, home):
                return None
            reader = self._reader(request, home)
            wait = self._wait(reader, request, "read") if reader else NEVER
            if wait > DROWNED * request.first_token_limit:
                # Exception, drowned readers: a prompt of any length is read where it is written if that is
                # sooner and a short read. Covers readers gone, slow or flushed, and hot beginnings.
                writer = self._stand_in(request, home)
                if writer and self._wait(writer, request, "read there") < wait:
                    return self._send(request, writer, "read there")
            if reader is None or self._hopeless(request, reader, wait):
                return self._give_up(request)
            return self._send(request, reader, "read")
        holder = request.lease.holder
        zone = self.between_zones.place(holder.zone, self.chance.random())
        writer = self._draw(request, zone, holder.cell, reads=False)
        return self._send(request, writer, "fetch") if writer else self._give_up(request)

    def on_attempt_sent(self, request_id: int, number: int, reused: bool) -> None:
        """An attempt is written whole. `reused`: on a connection that was used before and may be silent."""
        request = self.requests.get(request_id)
        if request and request.in_flight and request.in_flight.number == number:
            request.in_flight.on_reused_connection = reused

    def on_first_token(self, request_id: int, number: int, took: int, streamed: bool = True) -> None:
        """The answer streams: it has no deadline any more, and weighs until it ends. One that is gathered for
        a client who wants it whole keeps its deadline, and may be begun anew."""
        request = self.requests.get(request_id)
        if request and request.in_flight and request.in_flight.number == number:
            request.streaming, request.lease = streamed, None
            self._first_answer(request.in_flight, took)

    def on_attempt_ended(
        self, request_id: int, number: int, name: str, ending: AttemptOutcome, took: int, note: int,
        final: bool, report: LoadReport | None,
    ) -> None:  # fmt: skip
        now = self.host.now()
        engine = self.engines.get(name)
        if engine and ending not in (
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
            if self.probes and ending is AttemptOutcome.PREFILLED:
                self._learn(attempt, max(request.prompt_tokens - note, 1))
            if not attempt.has_responded and ending in (AttemptOutcome.PREFILLED, AttemptOutcome.COMPLETED):
                self._first_answer(attempt, took)
            attempt.engine.reserved_tokens -= attempt.reserved_tokens
            self._waits_no_more(attempt)
        if engine and report:
            self._heed(engine, report)
        if not expected:
            return
        if ending in (AttemptOutcome.PREFILLED, AttemptOutcome.COMPLETED):
            self.slow_start.finished(attempt.engine, now)
            self._keeps(attempt.engine, request, attempt.uncached_tokens or request.prompt_tokens, note)
        if ending is AttemptOutcome.COMPLETED:
            self.streams.add(took - attempt.first_response_time)
        if ending in (AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST, AttemptOutcome.ERROR):
            # One broken connection or error says little, a connection that can't be made that it is down.
            # Errors count, for an engine that fails at once looks idle and would be sent ever more.
            attempt.engine.consecutive_failures += 1 + (ending is AttemptOutcome.UNREACHABLE)
            attempt.engine.was_unreachable |= ending is AttemptOutcome.UNREACHABLE
            if attempt.engine.consecutive_failures > 1:
                self._strike(attempt.engine, now)
        if final or request.answered or request.streaming:
            request.answered = True
            self.host.release_state(request_id)
            del self.requests[request_id]
            return
        never_up = ending in (AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT)
        if ending is AttemptOutcome.PREFILLED:
            self._lease(request, attempt.engine)
            request.tried_engines &= {request.spec.resumed_from}
            return self._route(request)
        if request.lease and ending in (AttemptOutcome.REJECTED, AttemptOutcome.ERROR):
            request.lease.since = now  # only an answer proves that the call had arrived
        elif request.lease and never_up and not request.lease.outlives(now, took):
            # Rule 5: nobody fetches while connections don't come up, and the next may take as long as this.
            self._release(request)
        request.tried_engines.add(name)
        if ending is AttemptOutcome.UNREACHABLE:
            request.unreachable_zones.append(attempt.engine.zone)
        if ending is AttemptOutcome.REJECTED and note == 1:
            request.lease = None  # the state is gone: read anew if there is time
            request.tried_engines.discard(name)  # which says nothing against this engine
        elif ending is AttemptOutcome.REJECTED:
            # Left alone for a while, so that not every request finds out anew. Covers full, throttling ones.
            attempt.engine.backoff_until[request.spec.request_class] = now + BARRED_FOR
            self.watched[attempt.engine] = None
        if attempt.is_prefill or never_up or ending is AttemptOutcome.REJECTED:
            return self._route(request)  # proven not run
        if request.may_have_run_on is None:
            request.may_have_run_on = attempt.engine
            request.repeat_until = attempt.sent_at + request.request_class.repeat_window
        return (
            self._give_up(request)
            if request.idempotency is Idempotency.NON_IDEMPOTENT
            else self._route(request)
        )

    def on_client_left(self, request_id: int) -> None:
        """The client left: no answer is owed, and what is held or out for the request is let go of."""
        request = self.requests.get(request_id)
        if request and not request.answered:
            self._let_go(request)

    def forget(self, request_id: int) -> None:
        """The host could not go on with a request: nothing of it is awaited any more."""
        request = self.requests.pop(request_id, None)
        self.asking.pop(request_id, None)
        if request and request.in_flight:
            request.answered = True
            request.in_flight.engine.reserved_tokens -= request.in_flight.reserved_tokens
            self._waits_no_more(request.in_flight)

    def on_tenant_share(self, tenant: str, part: float) -> None:
        """A tenant has so much of its share from here on: a budget that runs out comes before its end."""
        self.tenant_shares.set_part(tenant, part)

    def on_timer(self, label: int) -> None:
        if label == TURN_OF_WINDOW:
            self._turn_of_window()
        elif label == LOOK_ROUND:
            self._look_round()
        elif label & ASKED_LONG == ASKED_LONG:
            self._asked(label >> 2)
        elif label & ASKED_LONG == LEASE:
            self._on_lease(label >> 2)
        elif (request := self.requests.get(label >> 2)) and not request.answered and not request.streaming:
            self.host.fail(request.spec.id)
            self._let_go(request)

    def on_load_report(self, name: str, report: LoadReport | None) -> None:
        engine = self.engines.get(name)
        if engine and report:
            self._heed(engine, report)
        elif (
            engine and not engine.unanswered
        ):  # busy with others, or gone: without a fresh word it looks idle
            engine.backoff_until[ANY] = self.host.now() + FRESH
            self.watched[engine] = None
        for request_id, request in list(self.asking.items()):
            request.awaited_probes.discard(name)
            if not request.awaited_probes:
                self._asked(request_id)

    # Held states.

    def _lease(self, request: Request, holder: Engine) -> None:
        """A state waits for the request from now on."""
        request.lease = Lease(holder, self.host.now(), self.let_go_by)
        if self.silent_losses:
            self._look_at_lease(request, request.lease.release_at)

    def _look_at_lease(self, request: Request, at: int) -> None:
        self.host.set_timer(at - self.host.now(), request.spec.id << 2 | LEASE)

    def _on_lease(self, request_id: int) -> None:
        """A decode call that has brought nothing may never have arrived. It is given up for another engine
        where its class allows it and such calls are usually quicker; at the end of the lease the state is
        released, which takes nothing from a call that did arrive."""
        request, now = self.requests.get(request_id), self.host.now()
        if request is None or request.answered or request.streaming:
            return
        if request.lease and now >= request.lease.release_at:
            self._release(request)
        elif request.lease:
            self._look_at_lease(request, request.lease.release_at)
        call = request.in_flight
        if call is None or call.has_responded or call.presumed_lost or now < call.overdue_at:
            return
        if not call.on_reused_connection and call.engine.heard_at >= call.sent_at:
            # An engine that answered others since is well, and the call most likely waits in its queue.
            patient_until = call.sent_at + ALIVE_TIMES * (call.overdue_at - call.sent_at)
            if now < patient_until:
                return self._look_at_lease(request, patient_until)
        self._give_up_call(request, call, now)

    def _give_up_call(self, request: Request, call: Attempt, now: int) -> None:
        """A call that may run only once stays out, as it may have arrived; so does one that no other engine
        could take."""
        self._strike(call.engine, now)
        call.presumed_lost = True
        unfit = self._unfit(request, False)
        elsewhere = any(e is not call.engine and e not in unfit for e in self.writers)
        if call.repeatable and self.may_cancel and elsewhere:
            request.abandoned_call_sent_at = call.sent_at
            self.host.cancel_attempt(request.spec.id, call.number)

    def _release(self, request: Request) -> None:
        """Lets go of the state: whoever needs it later has the prompt read anew."""
        self.host.release_state(request.spec.id)
        request.lease = None

    def _overdue_at(self, request: Request, call: Attempt) -> int:
        """When a decode call has taken longer than such calls do. A request's last attempt is waited for. One
        that has given up a call before, while others answered, hurries, so that a third engine can fetch
        the state."""
        least, pace = retry_after(self.let_go_by), self.pace["fetch"]
        if not self.silent_losses or request.attempts + 1 >= self.max_forwards:
            return NEVER
        measured = pace.total >= ENOUGH
        usual = pace.quantile(0.9) * (call.prefill_backlog + OVERHEAD) / 1000 if measured else 0
        overdue_at = call.sent_at + max(int(OVERDUE * usual), least)
        if not request.abandoned_call_sent_at:
            return overdue_at
        if not any(engine.heard_at >= request.abandoned_call_sent_at for engine in self.writers):
            return overdue_at if measured else NEVER
        hurries = request.lease and call.sent_at + least // 2 <= request.lease.last_call_at
        return min(overdue_at, request.lease.last_call_at) if hurries else overdue_at

    # Choosing an engine.

    def _home(self, request: Request, split: WorkSplit) -> str:
        """The zone to serve a request in: this router's, or for what that can't take, one by its key."""
        drawn = rank(request.affinity_key, "")
        return split.place(self.zone, int.from_bytes(drawn) / 2**64)

    def _reader(self, request: Request, home: str) -> Engine | None:
        """The reader that the key hashes to: the home zone's come first, each zone's in rendezvous order."""
        unfit = self._unfit(request, True)
        near = [e for e in request.probe_candidates or () if e.ready and e not in unfit and self._word(e)]
        if near:  # of those that were asked: what the key's own may keep counts against the others
            kept = (
                request.spec.prefix_tokens * (request.affinity_key == request.spec.prefix_id) + LOCAL_UNREAD
            )
            far = {
                e: (e is not request.probe_candidates[0]) * kept + (e.zone != home) * THRESHOLD for e in near
            }
            request.probe_candidates = []
            return min(near, key=lambda e: self._backlog(e) + far[e])

        def cost(engine: Engine) -> int:
            return self._backlog(engine) + ANEW * self._unread(engine, request)

        # Exception, a hot beginning: a reader is passed over for the next in the key's order when what waits
        # there and what it would have to read of this prompt is clearly more than elsewhere. Unread text
        # weighs more than waits: readers that pass prompts on lose each other's texts until none is kept.
        keep = self.prefix_holders.holders_of(request.spec.prefix_id, request.spec.session)
        keep = [e for e in keep if e.ready and e.role == "read" and e not in unfit]
        least, asked_all = (
            min([ANEW * request.prompt_tokens, *map(cost, keep)]),
            False,
        )  # none costs less than this
        for zone in (home, None):
            for engine in self._order(request.affinity_key, zone):
                if engine in unfit:
                    continue
                costs = cost(engine)
                if costs > HOT_TIMES * least + HOT_SLACK and not asked_all:
                    least, asked_all = min(cost(e) for e in self.readers if e not in unfit), True
                if costs <= HOT_TIMES * least + HOT_SLACK:
                    return engine
        return None

    def _ask_first(self, request: Request, home: str) -> bool:
        """Exception, engines that tell their load only when asked: a router that sends little knows nothing
        of most. The first of the key's order are asked, and one of another zone. True: wait for it."""
        unfit, now = self._unfit(request, True), self.host.now()
        keep = self.prefix_holders.holders_of(request.spec.prefix_id, request.spec.session)
        if any(
            e.ready and e.role == "read" and 2 * self._unread(e, request) < request.prompt_tokens
            for e in keep
        ):
            return False  # this router itself knows who keeps most of it
        fit = [
            e
            for zone in (home, None)
            for e in self._order(request.affinity_key, zone)[:FEW]
            if e not in unfit
        ]
        request.probe_candidates = [e for e in fit if e.zone == home][:ASKED] + [
            e for e in fit if e.zone != home
        ][:1]
        late = [engine for engine in request.probe_candidates if now - engine.report_at >= PROBE_EVERY]
        for reader in late:
            reader.probed_at, self.asking[request.spec.id] = now, request
            self.host.probe(reader.name)
            request.awaited_probes.add(reader.name)
        if late:
            self.host.set_timer(ASK_FOR, request.spec.id << 2 | ASKED_LONG)
        return bool(late)

    def _asked(self, request_id: int) -> None:
        if (request := self.asking.pop(request_id, None)) and not request.answered:
            self._route(request)

    def _order(self, key: str, zone: str | None) -> list[Engine]:
        """A zone's readers, or all, in the key's rendezvous order; remembered for the latest keys."""
        order = self.orders.pop((key, zone or ""), None)
        if order is None:
            readers = self.readers if zone is None else self.readers_in.get(zone, ())
            order = sorted(readers, key=lambda engine: rank(key, engine.name))
        self.orders[key, zone or ""] = order
        if len(self.orders) > ORDERS:
            del self.orders[next(iter(self.orders))]
        return order

    def _stand_in(self, request: Request, home: str) -> Engine | None:
        unfit = self._unfit(request, False)

        def able(engine: Engine) -> bool:
            if engine in unfit or self._pressure(engine) > FULL:
                return False
            if engine.role == "both":
                return self._unread(engine, request) < THRESHOLD
            return self.writers_read and not self._crowded(engine, request)

        writers = self.writers_in.get(home, NOBODY).engines
        found = [e for e in self._some(writers) if able(e)]
        if len(found) < 2 and len(writers) > FEW:
            found = [e for e in writers if able(e)]
        drawn = self.chance.sample(found, min(len(found), 2))
        return min(drawn, key=lambda e: self._wait(e, request, "read there"), default=None)

    def _wait(self, engine: Engine, request: Request, work: str) -> float:
        """How long a read there is expected to take, by its backlog and the usual pace of such work."""
        pace = self.pace[work]
        if pace.total >= ENOUGH:
            to_read = self._to_read(engine, self._unread(engine, request), work)
            return pace.quantile(0.75) * (to_read + OVERHEAD) / 1e3
        # Not measured: what waits there counts, at the readers' pace; of few reads the usual one tells it.
        pace = self.pace["read"]
        part = 0.75 if pace.total >= ENOUGH else 0.5
        return pace.quantile(part) * self._to_read(engine, 0, work) / 1e3 if self.probes else 0

    def _to_read(self, engine: Engine, unread: int, work: str) -> int:
        """What is to be read until so many more are. Texts read for others' requests are kept as lately."""
        return int((self._backlog(engine) + unread) * (self._still_unread() if work == "read" else 1.0))

    def _learn(self, attempt: Attempt, read: int) -> None:
        """A reader has read so many tokens of those that it was taken to have unread."""
        attempt.prefill_backlog += read - int(attempt.uncached_tokens * self._still_unread())
        fade = 0.5 if self.taken_unread > READ_MEMORY else 1.0
        self.taken_unread = fade * (self.taken_unread + attempt.uncached_tokens)
        self.proved_unread = fade * (self.proved_unread + read)

    def _still_unread(self) -> float:
        return min(self.proved_unread / self.taken_unread, 1.0)

    def _hopeless(self, request: Request, reader: Engine, wait: float) -> bool:
        """Whether the first token can't be expected in time, and would be waste that makes others late. One
        longer than usual is not refused for that alone, while its client waits: it counts as a usual one."""
        most = HOPELESS * request.first_token_limit * (OVER_SHARE if request.over_share else 1)
        slow, quick = (self.pace["read"].quantile(q) * self._still_unread() / 1e3 for q in (0.75, 0.25))
        unread = self._unread(reader, request)
        if quick * unread > most / 2:
            usual = max(slow * self.reads.quantile(0.5), most / 2)
            most += max(slow * unread - usual, 0)
        unfit, writers = self._unfit(request, False), self.writers_in.get(reader.zone, NOBODY).engines
        writers = [e for e in self._some(writers) if e not in unfit]
        beyond = sum(map(self._pressure, writers)) / (len(writers) or 1) - 1
        late = wait + max(beyond, 0) * self.streams.quantile(0.5)
        return late > most or wait > HOPELESS * request.spec.budget

    def _draw(self, request: Request, zone: str, cell: int | None, reads: bool) -> Engine | None:
        """One writer of the cell and one of the zone; the cell's is kept unless it clearly carries more."""
        unfit, pool = self._unfit(request, False), self.writers_in.get(zone, NOBODY)
        may_read = not reads or self.writers_read

        # Exception, a full writer: it leaves the draw while others in the zone, or else anywhere, have room.
        # Covers what own tokens don't show: others' requests, few slots, slow streams.
        def able(engine: Engine) -> bool:
            return engine not in unfit and (may_read or engine.role == "both")

        def room(engine: Engine) -> bool:
            return able(engine) and self._pressure(engine) < 1

        cells, fit = self.cells, room
        other = self._pick(pool, fit) if len(pool.engines) > FEW else None
        if other is None:  # a small zone, or few of it have room: all are asked, then all anywhere
            usable = [engine for engine in self.writers if able(engine)]
            near = [engine for engine in usable if engine.zone == zone]
            found = [e for e in near if room(e)] or [e for e in usable if room(e)] or near or usable
            pool, cells, fit = WeightedPool(found), {}, able
            other = self._pick(pool, fit)
        if other is None:
            return None
        if zone in self.between_cells:
            cell = self.between_cells[zone].place(cell, self.chance.random())
        in_cell = cells.get((zone, cell), ()) if cells else pool.engines
        in_cell = [e for e in in_cell if e.cell == cell and fit(e)]
        kept = self._pick(WeightedPool(in_cell), fit) or self._pick(pool, fit) or other
        return other if self._load(kept) > HEAVIER * self._load(other) + HEAVIER_BY else kept

    def _some(self, engines: list[Engine]) -> list[Engine]:
        return engines if len(engines) <= FEW else self.chance.sample(engines, FEW)

    def _pick(self, pool: WeightedPool, fit: Callable[[Engine], bool]) -> Engine | None:
        """One that fits, drawn by weight; None after a few draws of others."""
        for _ in range(DRAWS if pool.engines else 0):
            drawn = self.chance.choices(pool.engines, cum_weights=pool.cumulative_weights)[0]
            if fit(drawn):
                return drawn
        return None

    def _unfit(self, request: Request, reading: bool) -> set[Engine]:
        """Readers or writers that may not get this request now: by the rules, tried, or not well so far as is
        told. Engines that nobody watches are well, so they are not asked one by one."""
        now = self.host.now()
        engines = self.readers if reading else self.writers
        watched = [e for e in self._watch(now) if e.ready and (e.role == "read") == reading]
        tried = [self.engines[name] for name in request.tried_engines if name in self.engines]
        unfit = {e for e in tried if e.ready and (e.role == "read") == reading}
        if request.prompt_tokens > self.least_memory:
            unfit.update(e for e in engines if e.memory and request.prompt_tokens > e.memory)
        if request.may_have_run_on is not None:
            unfit.update(e for e in engines if not self._in_group(e, request, now))
        down = {e for e in watched if e.consecutive_failures > 1}
        ill = {e for e in watched if e.consecutive_failures > 1 or e.ejections or self._silent(e, now)}
        # Most of a role looking bad says nothing of single engines.
        trust_all = (len(engines) - len(ill)) * 2 < len(engines) - len(down)
        for e in watched:
            cold = now < e.slow_start_until and not self._cold_room(e, now)
            if cold or (e in ill and not (self._trial(e, request, now) or (trust_all and e not in down))):
                unfit.add(e)
        groups = (ANY, request.spec.request_class)
        barred = {e for e in watched if now < max(map(e.backoff_until.get, groups, (0, 0)))} - unfit
        # Exception, a lost zone: a request that could not reach two engines of a zone goes on to others, for
        # it has few attempts. Only that request: if all left the zone, one lost rack would drown the others.
        lost = {zone for zone in request.unreachable_zones if request.unreachable_zones.count(zone) > 1}
        left = {e for e in engines if e.zone in lost} if lost else set()
        # A request that gave up a silent call goes to engines that are not suspect, and that have been heard
        # of since that call was sent, while there are any.
        moved_at = 0 if reading else request.abandoned_call_sent_at
        unheard = {e for e in engines if e.heard_at < moved_at} if moved_at else set()
        for more in (left, barred, ill - unfit if moved_at else set(), unheard):
            unfit = unfit | more if len(unfit | more) < len(engines) else unfit
        return unfit

    def _watch(self, now: int) -> list[Engine]:
        """Engines with something against them: strikes, lost connections, cold, barred, or a late answer."""
        while self.late and self.late[0][0] < now:
            _, request_id, number, engine = heappop(self.late)
            if (request_id, number) in engine.unanswered:
                self.watched[engine] = None
        for engine in list(self.watched):
            late = self._awaited(engine)
            overdue = late and late.sent_at + late.ttft_target < now
            against = (
                overdue
                or engine.ejections
                or engine.consecutive_failures > 1
                or now < engine.slow_start_until
            )
            if not against and all(until <= now for until in engine.backoff_until.values()):
                del self.watched[engine]
        return list(self.watched)

    def _in_group(self, engine: Engine, request: Request, now: int) -> bool:
        """Rule 2 for keyed requests: once one may have run, only engines that drop its repeat."""
        ran, within = request.may_have_run_on, request.request_class.key_scope
        if ran is None or request.idempotency is not Idempotency.WITH_KEY:
            return True
        same = within == "all" or (engine.zone == ran.zone and (within == "zone" or engine.cell == ran.cell))
        return same and now < request.repeat_until

    def _load(self, engine: Engine) -> float:
        """This router's tokens there, as a share of the engine's memory and size."""
        return engine.reserved_tokens / ((engine.memory or 1) * engine.weight)

    def _pressure(self, engine: Engine) -> float:
        """Share of a writer's memory or slots that is held, past 1 where requests queue: the engine's fresh
        word with what this router has sent since, or this router's own tokens."""
        memory, report = engine.memory or 1, engine.report
        own = engine.reserved_tokens / memory
        if report is None or self.host.now() - engine.report_at > FRESH:
            return own
        held = max(report.memory_used or 0, report.slots_used or 0)
        if report.queued:
            usual = memory / max(self.sizes.quantile(0.5), 1)
            running = usual if report.in_flight is None else report.in_flight - report.queued
            held = max(held, 1) + report.queued / max(running, 1)
        return max(own, held + own - engine.reserved_tokens_at_report / memory)

    def _backlog(self, engine: Engine) -> int:
        """Prompt tokens that wait to be read there, by this router's own or the engine's fresh word."""
        report = self._word(engine)
        if report is None:  # as its zone's engines told; a zone that told nothing as the worst of the others
            known = self.unseen[engine.role]
            return engine.pending_prefill_tokens + int(
                known.get(engine.zone, max(known.values(), default=0.0))
            )
        return max(
            engine.pending_prefill_tokens,
            int(self._told(engine, report))
            + engine.pending_prefill_tokens
            - engine.pending_prefill_at_report,
        )

    def _told(self, engine: Engine, report: LoadReport) -> float:
        if report.prefill_backlog_thousands is None and engine.role == "read":
            return (report.queued or 0) * self.reads.quantile(0.5)  # not told in tokens: as usual requests
        return (report.prefill_backlog_thousands or 0) * 1000

    def _word(self, engine: Engine) -> LoadReport | None:
        """The engine's latest report, while it is fresh enough to be believed."""
        return engine.report if self.host.now() - engine.report_at < FRESH else None

    def _queues(self, engine: Engine) -> bool:
        return bool((report := self._word(engine)) and report.queued)

    def _heed(self, engine: Engine, report: LoadReport) -> None:
        engine.report, engine.report_at = report, self.host.now()
        engine.backoff_until.pop(ANY, None)
        if self.probes:
            known, tokens = self.unseen[engine.role], self._told(engine, report)
            before = known.get(engine.zone, tokens)
            known[engine.zone] = before + (tokens - before) / ENOUGH
        engine.reserved_tokens_at_report, engine.pending_prefill_at_report = (
            engine.reserved_tokens,
            engine.pending_prefill_tokens,
        )

    def _unread(self, engine: Engine, request: Request) -> int:
        """Prompt tokens that the engine is expected to have to read: those past the text that it keeps."""
        return max(
            request.prompt_tokens
            - engine.longest_cached_prefix(request.spec.session, request.spec.prefix_id),
            1,
        )

    def _keeps(self, engine: Engine, request: Request, unread: int, found: int) -> None:
        """Notes what an engine has read. One that found much less than expected has lost its texts (a flush,
        an untold restart, a memory too small): nothing counts as kept until it is read there again."""
        kept, demand = engine.cached_prefixes, request.spec
        if found < (request.prompt_tokens - unread) / 2:
            for key in list(kept):
                self.prefix_holders.remove(engine, key)
        for key, length in (
            (demand.prefix_id, demand.prefix_tokens),
            (demand.session, request.prompt_tokens),
        ):
            if key:
                self.prefix_holders.add(engine, key, length)
        while len(kept) > KEPT_KEYS:
            self.prefix_holders.remove(engine, next(iter(kept)))

    def _crowded(self, engine: Engine, request: Request) -> bool:
        unread = self._backlog(engine) + self._unread(engine, request)
        return self._queues(engine) or self._pressure(engine) > BUSY or unread > LOCAL_UNREAD

    # Health, as far as this router's own attempts show it.

    def _silent(self, engine: Engine, now: int) -> bool:
        """Nothing heard from it for much longer than its oldest unanswered attempt ought to take: gone, cut
        off, hung. One that is only busy answers others."""
        oldest = self._awaited(engine)
        return oldest is not None and now - max(oldest.sent_at, engine.heard_at) > self._patience(oldest)

    def _awaited(self, engine: Engine) -> Attempt | None:
        """Its oldest unanswered attempt, but none twice that was held against it before."""
        return next((attempt for attempt in engine.unanswered.values() if not attempt.presumed_lost), None)

    def _look_round(self) -> None:
        """What a silent engine holds is called off and tried elsewhere; what must not run twice stays there
        and hopes. While most of a role are silent, work would only be thrown from one to the next."""
        now = self.host.now()
        self._settle()
        silent = [e for e in self._watch(now) if e.ready and self._silent(e, now)]
        for engine in sorted(silent, key=lambda e: (e.role != "read", e.name)):
            role = self.readers if engine.role == "read" else self.writers
            peers = sum((e.role == "read") == (engine.role == "read") for e in silent)
            if not self.may_cancel or peers * 2 > len(role):
                continue
            self._strike(engine, now)
            engine.heard_at, engine.was_unreachable = now, True
            for attempt in list(engine.unanswered.values()):
                if not attempt.presumed_lost and (attempt.is_prefill or attempt.repeatable):
                    self.host.cancel_attempt(attempt.request_id, attempt.number)
                attempt.presumed_lost = True
        self.host.set_timer(LOOK_EVERY, LOOK_ROUND)

    def _trial(self, engine: Engine, request: Request, now: int) -> bool:
        """A suspect gets one attempt at a time, now and then, and never one that must not run twice."""
        due = engine.ejections and now >= engine.next_trial_at and not self._awaited(engine)
        return bool(due) and request.idempotency is not Idempotency.NON_IDEMPOTENT

    def _patience(self, attempt: Attempt) -> int:
        pace = self.pace[self._work(attempt)]
        if pace.total < ENOUGH:
            return NEVER
        return max(
            int(PATIENCE * pace.quantile(0.9) * (attempt.prefill_backlog + OVERHEAD) / 1000),
            attempt.ttft_target,
        )

    def _work(self, attempt: Attempt) -> str:
        return "read" if attempt.is_prefill else "read there" if attempt.uncached_tokens else "fetch"

    def _strike(self, engine: Engine, now: int) -> None:
        engine.next_trial_at = now + min(TRIAL_AFTER << engine.ejections, TRIAL_LIMIT)
        engine.ejections += 1
        self.watched[engine] = None

    def _first_answer(self, attempt: Attempt, took: int) -> None:
        """The engine answered: a prompt is read or a stream has begun."""
        engine, now, work = attempt.engine, self.host.now(), self._work(attempt)
        engine.heard_at, engine.consecutive_failures = now, 0
        # What waited unseen is no slowness: it would push back, for long, what would show that it is over.
        if work != "read" or attempt.backlog_reported or not self.probes or self.pace[work].total < ENOUGH:
            self.pace[work].add(took * 1000 // (max(attempt.prefill_backlog, 0) + OVERHEAD))
        attempt.has_responded, attempt.first_response_time = True, took
        self._waits_no_more(attempt)
        if (
            engine.ejections and engine.was_unreachable
        ):  # back, and likely cold, whether or not the list has said so
            self._begin_slow_start(engine, now)
        engine.ejections, engine.was_unreachable = 0, False

    # Cold engines.

    def _begin_slow_start(self, engine: Engine, started_at: int) -> None:
        if self.slow_start.begin(engine, started_at, self.host.now()):
            self.watched[engine] = None

    def _cold_room(self, engine: Engine, now: int) -> bool:
        """Rule 4 (lifthead/routing/slow_start.py); a cold engine with requests in its queue gets no more."""
        of_role = self.readers if engine.role == "read" else self.writers
        has_room = self.slow_start.has_room(engine, now, len(of_role))
        return has_room and (now >= engine.slow_start_until or not self._queues(engine))

    def _turn_of_window(self) -> None:
        now = self.host.now()
        self._settle()
        if self.ask_again:
            self.ask_again = False
            self.host.watch_engines()
        for engine in [
            e for e in self.engines.values() if e.gone and not e.unanswered and not e.reserved_tokens
        ]:
            for key in list(engine.cached_prefixes):  # where new engines come all day, old ones are forgotten
                self.prefix_holders.remove(engine, key)
            self.watched.pop(engine, None)
            del self.engines[engine.name]
        for pace in self.pace.values() if now // self.window % FORGET == 0 else ():
            pace.halve()  # a jam that is over is forgotten: what is pushed back measures nothing new
        self.slow_start.window_over(self.readers + self.writers, now)
        self.host.set_timer(self.window, TURN_OF_WINDOW)

    # Acting.

    def _send(self, request: Request, engine: Engine, work: str) -> None:
        now = self.host.now()
        unread = 0 if work == "fetch" else self._unread(engine, request)
        tokens = 0 if work == "read" else request.prompt_tokens + request.spec.max_output_tokens
        backlog = request.prompt_tokens if work == "fetch" else self._to_read(engine, unread, work)
        may_repeat = request.idempotency is not Idempotency.NON_IDEMPOTENT
        attempt = Attempt(
            request.spec.id, request.attempts, engine, now, tokens, unread, backlog, work == "read",
            may_repeat, request.ttft_target, backlog_reported=self._word(engine) is not None,
        )  # fmt: skip
        if work == "fetch":
            attempt.overdue_at = self._overdue_at(request, attempt)
            if attempt.overdue_at < request.deadline:
                self._look_at_lease(request, attempt.overdue_at)
        engine.reserved_tokens += tokens
        (self.sizes if tokens else self.reads).add(tokens or unread)
        engine.pending_prefill_tokens += unread
        engine.unanswered[request.spec.id, attempt.number] = attempt
        heappush(self.late, (now + request.ttft_target, request.spec.id, attempt.number, engine))
        self.slow_start.sent(engine, now)
        request.in_flight, request.attempts = attempt, request.attempts + 1
        self.host.start_attempt(request.spec.id, engine.name, request.deadline, request.repeat_until)
        self._ask_near(engine)

    def _ask_near(self, engine: Engine) -> None:
        """Some writers of the zone are asked for later requests: probes grow with requests, not with routers
        times engines."""
        if self.probes and engine.role != "read":
            writers, now = self.writers_in.get(engine.zone, NOBODY).engines, self.host.now()
            drawn = self.chance.sample(writers, min(len(writers), PROBES + 1))
            for asked in (engine, *[e for e in drawn if e is not engine][:PROBES]):
                if now - asked.probed_at >= PROBE_EVERY:
                    asked.probed_at = now
                    self.host.probe(asked.name)

    def _waits_no_more(self, attempt: Attempt) -> None:
        if attempt.engine.unanswered.pop((attempt.request_id, attempt.number), None):
            attempt.engine.pending_prefill_tokens -= attempt.uncached_tokens

    def _give_up(self, request: Request) -> None:
        """The final answer where no engine is left: pushed back where a repeat does no harm."""
        harmless = request.idempotency is Idempotency.IDEMPOTENT or request.may_have_run_on is None
        if harmless or (
            request.idempotency is Idempotency.WITH_KEY and request.request_class.key_scope == "all"
        ):
            self.host.reject(request.spec.id, self.chance.randint(self.hold_off // 2, self.hold_off))
        else:
            self.host.fail(request.spec.id)
        self._let_go(request)

    def _let_go(self, request: Request) -> None:
        """Rule 5: no answer frees what is held, so it is freed with each; what is out is called off."""
        request.answered = True
        if request.in_flight and not request.streaming and self.may_cancel:
            self.host.cancel_attempt(request.spec.id, request.in_flight.number)
        self.host.release_state(request.spec.id)
        if request.in_flight is None:
            del self.requests[request.spec.id]
