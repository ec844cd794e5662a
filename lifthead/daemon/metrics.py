"""Prometheus metrics of one router, for operators. No decision depends on them."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from lifthead.interface import AttemptOutcome

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32)


class Metrics:
    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registered = {"registry": self.registry}
        self._accepted = Counter("lifthead_reqs_taken", "Requests accepted", ["group"], **registered)
        self._answers = Counter(
            "lifthead_reqs_ended", "Requests by final answer", ["group", "ended"], **registered
        )
        self._attempts = Counter("lifthead_forwards", "Attempts by outcome", ["ending"], **registered)
        self._first_token = Histogram(
            "lifthead_first_token_seconds",
            "Time from acceptance to the first text",
            ["group"],
            buckets=BUCKETS,
            **registered,
        )
        self._broken_streams = Counter(
            "lifthead_streams_broken",
            "Broken streams, by cause and result",
            ["cause", "became"],
            **registered,
        )
        self._resume_gap = Histogram(
            "lifthead_resume_gap_seconds",
            "Time from a broken stream to its first new text",
            buckets=BUCKETS,
            **registered,
        )
        self.recomputed_tokens = Counter(
            "lifthead_tokens_read_anew", "Tokens prefilled again for resumed streams", **registered
        )
        self.streams_waiting = Gauge(
            "lifthead_streams_waiting", "Broken streams that wait to be resumed", **registered
        )
        self.releases_lost = Counter(
            "lifthead_releases_lost", "Releases of held states without an answer", **registered
        )
        self.violations = Counter(
            "lifthead_invariant_violations", "Violated invariants, by rule", ["rule"], **registered
        )
        self.lost_entries = Counter(
            "lifthead_entries_lost", "Ledger entries that could not be written", **registered
        )
        self.loop_lag = Gauge(
            "lifthead_loop_lag_seconds", "Longest delay of the event loop in the last second", **registered
        )
        self.pending_requests = Gauge("lifthead_reqs_in_hand", "Pending requests", **registered)
        self.weight = Gauge(
            "lifthead_weight_percent",
            "Share of its usual traffic that the router asks of its balancer",
            **registered,
        )
        self.list_age = Gauge(
            "lifthead_list_age_seconds", "Time since the last list of engines", **registered
        )

    def count_accepted(self, request_class: str) -> None:
        self._accepted.labels(request_class).inc()

    def count_answer(self, request_class: str, ended: str) -> None:
        self._answers.labels(request_class, ended).inc()

    def count_attempt(self, outcome: AttemptOutcome) -> None:
        self._attempts.labels(outcome.value).inc()

    def observe_first_token(self, request_class: str, took: int) -> None:
        self._first_token.labels(request_class).observe(took / 1e6)

    def count_broken(self, cause: str, result: str) -> None:
        self._broken_streams.labels(cause, result).inc()

    def observe_resume_gap(self, took: int) -> None:
        self._resume_gap.observe(took / 1e6)

    def render(self) -> bytes:
        return generate_latest(self.registry)
