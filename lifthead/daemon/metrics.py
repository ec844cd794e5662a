"""What a router measures of itself for operators (Prometheus). Nothing is decided from it."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from lifthead.interface import Ending

SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32)


class Metrics:
    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        kind = {"registry": self.registry}
        self._taken = Counter("lifthead_reqs_taken", "Reqs taken", ["group"], **kind)
        self._ended = Counter("lifthead_reqs_ended", "Reqs by final answer", ["group", "ended"], **kind)
        self._forwards = Counter("lifthead_forwards", "Forwards by ending", ["ending"], **kind)
        self._first = Histogram(
            "lifthead_first_token_seconds", "Taken to first text", ["group"], buckets=SECONDS, **kind
        )
        self._resumed = Counter(
            "lifthead_streams_broken",
            "Broken streams, what became of them",
            ["cause", "became"],
            **kind,
        )
        self._gap = Histogram("lifthead_resume_gap_seconds", "Break to new text", buckets=SECONDS, **kind)
        self.read_anew = Counter("lifthead_tokens_read_anew", "Tokens read again for resumes", **kind)
        self.waiting = Gauge("lifthead_streams_waiting", "Broken streams that wait for a new place", **kind)
        self.releases_lost = Counter("lifthead_releases_lost", "Unanswered asks to let a state go", **kind)
        self.violations = Counter(
            "lifthead_invariant_violations", "Broken invariants, by rule", ["rule"], **kind
        )
        self.unbilled = Counter("lifthead_entries_lost", "Ledger entries that could not be written", **kind)
        self.lag = Gauge("lifthead_loop_lag_seconds", "Longest stall of the loop in the last second", **kind)
        self.in_hand = Gauge("lifthead_reqs_in_hand", "Reqs in hand", **kind)
        self.weight = Gauge("lifthead_weight_percent", "Traffic wanted from balancers", **kind)
        self.list_age = Gauge("lifthead_list_age_seconds", "Since the list of engines last came", **kind)

    def taken(self, group: str) -> None:
        self._taken.labels(group).inc()

    def ended(self, group: str, ended: str) -> None:
        self._ended.labels(group, ended).inc()

    def forwarded(self, ending: Ending) -> None:
        self._forwards.labels(ending.value).inc()

    def first(self, group: str, took: int) -> None:
        self._first.labels(group).observe(took / 1e6)

    def broken(self, cause: str, became: str) -> None:
        self._resumed.labels(cause, became).inc()

    def gap(self, took: int) -> None:
        self._gap.observe(took / 1e6)

    def page(self) -> bytes:
        return generate_latest(self.registry)
