"""Fits the model's overheads to the traffic records of a real scenario and reports the remaining error.

The records split a request's time to first token into parts: from the client's request to the first attempt,
from the arrival of an attempt to the start of its decode, and from there to the first token at the client.
The medians of a real scenario are compared with those of the same scenario in simulated time."""

import statistics

from lifthead.deployment.fleet import Fleet
from lifthead.lab.engine import Overheads
from lifthead.lab.world import run_and_record
from lifthead.standins.verify import Traffic

FIT_ROUNDS = 3


def median_latencies(traffic: Traffic) -> dict[str, float]:
    """Medians in microseconds; `engine` is taken from short prompts, which the decode engine prefills."""
    own, engine, first, total = [], [], [], []
    for name, request in traffic.requests.items():
        attempts, answer = traffic.attempts.get(name), next(iter(traffic.answers.get(name, ())), None)
        if not attempts or not answer or answer["how"] != "done" or not request["streamed"]:
            continue
        own.append(attempts[0].started_at - request["t"])
        total.append(answer["first"])
        if len(attempts) == 1 and attempts[0].ran_at:
            engine.append(attempts[0].ran_at - attempts[0].started_at)
            first.append(request["t"] + answer["first"] - attempts[0].ran_at)
    if not engine:
        raise ValueError("the records have no answered short request, expected those of a quiet scenario")
    medians = {"own": own, "engine": engine, "first": first, "all": total}
    return {key: statistics.median(values) for key, values in medians.items()}


def fit(real: Traffic, fleet: Fleet, seed: int) -> tuple[Overheads, dict[str, float]]:
    """Overheads that bring the simulated medians to the real ones, and the remaining error as a fraction of
    each real median."""
    target, overheads = median_latencies(real), Overheads(0, 0, 0)
    for _ in range(FIT_ROUNDS):
        medians = median_latencies(run_and_record(fleet, seed, overheads=overheads)[1])
        errors = {key: target[key] - medians[key] for key in ("own", "engine", "first")}
        overheads = Overheads(**{
            key: max(round(getattr(overheads, key) + error), 0) for key, error in errors.items()
        })  # fmt: skip
    medians = median_latencies(run_and_record(fleet, seed, overheads=overheads)[1])
    return overheads, {key: medians[key] / target[key] - 1 for key in target}
