"""Fits the model's overheads to the records of a real day, and says how far the model is off by then.

A req's time to its first token has parts that records show: from asking to the first forward, from a
forward's coming to the start of the writing, and from there to the first token at the client. Medians of a
real day are set beside those of the same day emulated."""

import statistics

from lifthead.deployment.fleet import Fleet
from lifthead.lab.engine import Overheads
from lifthead.lab.world import watched
from lifthead.standins.verify import Traffic

ROUNDS = 3


def parts(traffic: Traffic) -> dict[str, float]:
    """Medians, microseconds: `own`, `engine` (short prompts, read where they are written), `first`, `all`."""
    own, engine, first, whole = [], [], [], []
    for name, ask in traffic.requests.items():
        forwards, answer = traffic.attempts.get(name), next(iter(traffic.answers.get(name, ())), None)
        if not forwards or not answer or answer["how"] != "done" or not ask["streamed"]:
            continue
        own.append(forwards[0].started_at - ask["t"])
        whole.append(answer["first"])
        if len(forwards) == 1 and forwards[0].ran_at:
            engine.append(forwards[0].ran_at - forwards[0].started_at)
            first.append(ask["t"] + answer["first"] - forwards[0].ran_at)
    if not engine:
        raise ValueError("no answered short req stands in the records, expected a quiet day's")
    found = {"own": own, "engine": engine, "first": first, "all": whole}
    return {key: statistics.median(values) for key, values in found.items()}


def fit(real: Traffic, fleet: Fleet, seed: int) -> tuple[Overheads, dict[str, float]]:
    """Overheads with which the emulated day's medians are the real one's, and the error that is left, as a
    part of each real median."""
    wanted, overheads = parts(real), Overheads(0, 0, 0)
    for _ in range(ROUNDS):
        found = parts(watched(fleet, seed, overheads=overheads)[1])
        off = {key: wanted[key] - found[key] for key in ("own", "engine", "first")}
        overheads = Overheads(**{
            key: max(round(getattr(overheads, key) + each), 0) for key, each in off.items()
        })  # fmt: skip
    found = parts(watched(fleet, seed, overheads=overheads)[1])
    return overheads, {key: found[key] / wanted[key] - 1 for key in wanted}
