"""Records that the decision module keeps between events, and its histograms. No decision is made here."""

from dataclasses import dataclass, field
from itertools import accumulate

from lifthead.interface import LoadReport


class Histogram:
    """Counts in a few bins, each twice as wide as the one before. At `halve_at` values all are halved."""

    def __init__(self, first_width: int, bins: int, halve_at: int) -> None:
        self._first_width = first_width
        self._counts = [0.0] * bins
        self._halve_at = halve_at
        self.total = 0.0

    def add(self, value: float) -> None:
        widths = int(value) // self._first_width
        self._counts[min(widths.bit_length(), len(self._counts) - 1)] += 1
        self.total += 1
        if self.total >= self._halve_at:
            self.halve()

    def halve(self) -> None:
        self._counts = [count / 2 for count in self._counts]
        self.total /= 2

    def quantile(self, fraction: float) -> int:
        """The value below which this fraction of the counts lies, interpolated within its bin; 0 if empty."""
        if not self.total:
            return 0
        remaining = fraction * self.total
        for index, count in enumerate(self._counts):
            if count and remaining <= count:
                low = 0 if index == 0 else self._first_width << (index - 1)
                high = self._first_width << index
                return int(low + (high - low) * remaining / count)
            remaining -= count
        return self._first_width << (len(self._counts) - 1)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, from when it is sent until it ends."""

    request_id: int
    number: int
    engine: "Engine"
    sent_at: int
    reserved_tokens: int  # KV memory that it needs at a decode engine: prompt plus allowed output
    uncached_tokens: int  # prompt tokens that the engine is expected to have to prefill
    prefill_backlog: int  # tokens known to wait for prefill at the engine when it was sent, its own included
    is_prefill: bool  # at a prefill engine
    repeatable: bool  # the request is not a non-idempotent one
    ttft_target: int
    backlog_reported: bool = False  # the engine's own load report is part of that backlog
    presumed_lost: bool = False  # given up as lost, or sent to an engine that then fell silent
    on_reused_connection: bool = False
    overdue_at: int = 1 << 62  # a decode call without a response by then may be given up
    has_responded: bool = False
    first_response_time: int = 0  # from sending to the end of the prefill or the first token


@dataclass(slots=True, eq=False)
class Engine:
    """What this router knows of one engine."""

    name: str
    up_since: int
    zone: str = ""
    cell: int = 0
    role: str = ""  # "read" (prefill), "write" (decode), "both" (mixed); "": a kind without a setting
    weight: float = 1.0
    memory: int = 0
    ready: bool = False
    gone: bool = False  # the list of engines says that it will not come back
    reserved_tokens: int = 0  # of this router's attempts
    pending_prefill_tokens: int = 0  # of this router's attempts that have not responded yet
    unanswered: dict[tuple[int, int], Attempt] = field(default_factory=dict)  # oldest first
    report: LoadReport | None = None
    report_at: int = 0
    reserved_tokens_at_report: int = 0  # this router's own when the report came
    pending_prefill_at_report: int = 0
    heard_at: int = 0
    probed_at: int = 0
    slow_start_until: int = 0
    slow_start_credit_at: int = 0  # when the credit was last brought up to date
    slow_start_credit: float = 0.0  # attempts that this router may send during slow start
    cached_prefixes: dict[str, int] = field(default_factory=dict)  # tokens by session or prefix, latest last
    ejections: int = 0  # in a row; above 0 the engine is ejected, and the time to the next trial grows
    backoff_until: dict[str, int] = field(default_factory=dict)  # by request class that it rejected
    consecutive_failures: int = 0  # errors and failed connections since its last response
    was_unreachable: bool = False  # unreachable or silent since its last response
    next_trial_at: int = 0  # when an ejected engine gets its next half-open trial

    def longest_cached_prefix(self, *keys: str) -> int:
        """Tokens of the longest prefix that it caches under one of these keys."""
        return max(self.cached_prefixes.get(key, 0) for key in keys)


class WeightedPool:
    """Engines to be drawn by weight; with cumulative weights a draw is cheap in a pool of any size."""

    def __init__(self, engines: list[Engine]) -> None:
        self.engines = engines
        self.cumulative_weights = list(accumulate(engine.weight for engine in engines))


class PrefixHolders:
    """The engines that cache a prefix, by its key: the inverse of each engine's `cached_prefixes`."""

    def __init__(self) -> None:
        self._holders: dict[str, dict[Engine, None]] = {}

    def holders_of(self, *keys: str) -> list[Engine]:
        """Engines that cache one of these, each once."""
        return list({engine: None for key in keys if key for engine in self._holders.get(key, ())})

    def add(self, engine: Engine, key: str, length: int) -> None:
        """The engine caches so many tokens under the key, as its latest."""
        engine.cached_prefixes.pop(key, None)
        engine.cached_prefixes[key] = length
        self._holders.setdefault(key, {})[engine] = None

    def remove(self, engine: Engine, key: str) -> None:
        del engine.cached_prefixes[key]
        self._holders[key].pop(engine, None)
        if not self._holders[key]:
            del self._holders[key]
