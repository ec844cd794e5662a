"""Baselines that take the decision module's place: round robin and random choice, on the same host.

`python -m benchmarks.baselines random serve ...` takes the options of `lifthead serve`. They keep rule 2 and
the budget, and nothing else that the module guards.
"""

import asyncio
import random
import sys
from pathlib import Path

from lifthead.cli import _read_settings
from lifthead.daemon import serve as daemon
from lifthead.interface import AttemptOutcome, Idempotency


class Known:
    """What the admin view shows of an engine."""

    def __init__(self, entry, role):
        self.name, self.zone, self.cell, self.role, self.ready = (
            entry.engine,
            entry.zone,
            entry.cell,
            role,
            True,
        )
        self.slow_start_until = self.reserved_tokens = self.pending_prefill_tokens = self.ejections = (
            self.consecutive_failures
        ) = self.report_at = 0
        self.unanswered, self.report = {}, None


class Baseline:
    """Prompts under 4,096 tokens to any writer, longer ones to any reader, then any writer."""

    def __init__(self, host, deployment):
        self.host, self.deployment = host, deployment
        self.chance = random.Random(deployment.seed)
        self.engines, self.reqs, self.turn = {}, {}, 0

    def on_engine_list(self, entries, whole_list):
        for entry in entries:
            known = self.engines.setdefault(
                entry.engine, Known(entry, self.deployment.role_by_kind[entry.kind])
            )
            known.ready = entry.readiness == "ready"

    def on_engine_list_unavailable(self):
        pass

    def pick(self, names):
        raise NotImplementedError

    def on_request(self, demand):
        effect = self.deployment.request_classes[demand.request_class].idempotency
        req = self.reqs[demand.id] = {
            "demand": demand, "effect": effect, "forwards": 0, "out": None, "state": False, "over": False,
            "due": self.host.now() + demand.budget, "begun": False,
        }  # fmt: skip
        self.host.set_timer(max(demand.budget - self.deployment.tick, 1), demand.id)
        self.route(req)

    def route(self, req):
        demand = req["demand"]
        reads = demand.prompt_tokens >= 4096 and not req["state"]
        names = sorted(e.name for e in self.engines.values() if e.ready and (e.role == "read") == reads)
        if not names or req["forwards"] >= self.deployment.max_attempts or self.host.now() >= req["due"]:
            return self.end(req, aborted=False)
        req["out"], req["reads"] = req["forwards"], reads
        req["forwards"] += 1
        return self.host.start_attempt(demand.id, self.pick(names), req["due"], req["due"])

    def end(self, req, aborted):
        req["over"] = True
        at = req["demand"].id
        if aborted:
            self.host.fail(at)
        else:
            self.host.reject(at, 100_000)
        self.let_go(req)

    def let_go(self, req):
        at = req["demand"].id
        if req["out"] is not None and not req["begun"]:
            self.host.cancel_attempt(at, req["out"])
        self.host.release_state(at)
        if req["out"] is None:
            self.reqs.pop(at, None)

    def on_first_token(self, req_id, number, took, streamed=True):
        if req_id in self.reqs:
            self.reqs[req_id]["begun"], self.reqs[req_id]["state"] = streamed, False

    def on_attempt_ended(self, req_id, number, name, ending, took, note, final, report):
        req = self.reqs.get(req_id)
        if req is None:
            return None
        req["out"] = None
        if final or req["over"] or req["begun"]:
            self.host.release_state(req_id)
            del self.reqs[req_id]
            return None
        if ending is AttemptOutcome.PREFILLED:
            req["state"] = True
            return self.route(req)
        if ending is AttemptOutcome.REJECTED and note == 1:
            req["state"] = False
        not_run = req["reads"] or ending in (
            AttemptOutcome.REJECTED,
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.NOT_SENT,
        )
        if not_run or req["effect"] is Idempotency.IDEMPOTENT:
            return self.route(req)
        return self.end(req, aborted=True)

    def on_client_left(self, req_id):
        req = self.reqs.get(req_id)
        if req and not req["over"]:
            req["over"] = True
            self.let_go(req)

    def on_timer(self, label):
        req = self.reqs.get(label)
        if req and not req["over"] and not req["begun"]:
            self.end(req, aborted=True)

    def on_load_report(self, name, report):
        pass


class RandomChoice(Baseline):
    def pick(self, names):
        return self.chance.choice(names)


class RoundRobin(Baseline):
    def pick(self, names):
        self.turn += 1
        return names[self.turn % len(names)]


KINDS = {"random": RandomChoice, "round-robin": RoundRobin}


def main(kind, script, options):
    given = dict(zip(options[::2], options[1::2], strict=True))
    asyncio.run(daemon.serve(
        _read_settings(Path(script)), given["--router"], given.get("--list", ""), Path(given["--run"]),
        int(given.get("--seed", 1)), daemon.configure_logging(given.get("--log")), KINDS[kind],
    ))  # fmt: skip


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], sys.argv[3:])
