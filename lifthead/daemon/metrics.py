"""Prometheus metrics of one router, for operators. No decision depends on them."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from lifthead.interface import AttemptOutcome

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32)


class Metrics:
    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        opts = {"registry": self.registry}
        self._accepted = Counter("lifthead_reqs_taken", "Reqs taken", ["group"], **opts)
        self._answers = Counter("lifthead_reqs_ended", "Reqs by final answer", ["group", "ended"], **opts)
        self._attempts = Counter("lifthead_forwards", "Forwards by ending", ["ending"], **opts)
        self._first_token = Histogram(
            "lifthead_first_token_seconds", "Taken to first text", ["group"], buckets=BUCKETS, **opts
        )
        self._broken_streams = Counter(
            "lifthead_streams_broken", "Broken streams, what became of them", ["cause", "became"], **opts
        )
        self._resume_gap = Histogram(
            "lifthead_resume_gap_seconds", "Break to new text", buckets=BUCKETS, **opts
        )
        self.recomputed_tokens = Counter("lifthead_tokens_read_anew", "Tokens read again for resumes", **opts)
        self.streams_waiting = Gauge(
            "lifthead_streams_waiting", "Broken streams that wait for a new place", **opts
        )
        self.releases_lost = Counter("lifthead_releases_lost", "Unanswered asks to let a state go", **opts)
        self.violations = Counter(
            "lifthead_invariant_violations", "Broken invariants, by rule", ["rule"], **opts
        )
        self.lost_entries = Counter(
            "lifthead_entries_lost", "Ledger entries that could not be written", **opts
        )
        self.loop_lag = Gauge(
            "lifthead_loop_lag_seconds", "Longest stall of the loop in the last second", **opts
        )
        self.pending_requests = Gauge("lifthead_reqs_in_hand", "Reqs in hand", **opts)
        self.weight = Gauge("lifthead_weight_percent", "Traffic wanted from balancers", **opts)
        self.list_age = Gauge("lifthead_list_age_seconds", "Since the list of engines last came", **opts)

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
