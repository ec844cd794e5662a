"""Baselines that replace the decision module on the same host: round robin and random choice.

`python -m benchmarks.baselines random serve ...` takes the options of `lifthead serve`. The baselines keep
the single_effect rule and the client's budget, and no other rule of the decision module.
"""

import asyncio
import random
import sys
from pathlib import Path

from lifthead.cli import _read_settings
from lifthead.daemon import serve as daemon
from lifthead.interface import AttemptOutcome, Idempotency


class EngineState:
    """The state of an engine, with the attributes that the admin view shows."""

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
    """Sends short prompts to any decode engine, longer ones (4,096 tokens) to a prefill engine first."""

    def __init__(self, host, deployment):
        self.host, self.deployment = host, deployment
        self.rng = random.Random(deployment.seed)
        self.engines, self.requests, self.next_index = {}, {}, 0

    def on_engine_list(self, entries, whole_list):
        for entry in entries:
            engine = self.engines.setdefault(
                entry.engine, EngineState(entry, self.deployment.role_by_kind[entry.kind])
            )
            engine.ready = entry.readiness == "ready"

    def on_engine_list_unavailable(self):
        pass

    def pick(self, names):
        raise NotImplementedError

    def on_request(self, spec):
        idempotency = self.deployment.request_classes[spec.request_class].idempotency
        request = self.requests[spec.id] = {
            "spec": spec,
            "idempotency": idempotency,
            "attempts": 0,
            "in_flight": None,
            "has_state": False,
            "ended": False,
            "deadline": self.host.now() + spec.budget,
            "streaming": False,
        }
        self.host.set_timer(max(spec.budget - self.deployment.tick, 1), spec.id)
        self.route(request)

    def route(self, request):
        spec = request["spec"]
        is_prefill = spec.prompt_tokens >= 4096 and not request["has_state"]
        names = sorted(
            engine.name
            for engine in self.engines.values()
            if engine.ready and (engine.role == "read") == is_prefill
        )
        if (
            not names
            or request["attempts"] >= self.deployment.max_attempts
            or self.host.now() >= request["deadline"]
        ):
            return self.finish(request, failed=False)
        request["in_flight"], request["is_prefill"] = request["attempts"], is_prefill
        request["attempts"] += 1
        return self.host.start_attempt(spec.id, self.pick(names), request["deadline"], request["deadline"])

    def finish(self, request, failed):
        request["ended"] = True
        request_id = request["spec"].id
        if failed:
            self.host.fail(request_id)
        else:
            self.host.reject(request_id, 100_000)
        self.release(request)

    def release(self, request):
        request_id = request["spec"].id
        if request["in_flight"] is not None and not request["streaming"]:
            self.host.cancel_attempt(request_id, request["in_flight"])
        self.host.release_state(request_id)
        if request["in_flight"] is None:
            self.requests.pop(request_id, None)

    def on_first_token(self, request_id, number, duration, streamed=True):
        if request_id in self.requests:
            self.requests[request_id]["streaming"], self.requests[request_id]["has_state"] = streamed, False

    def on_attempt_ended(self, request_id, number, name, outcome, duration, note, final, report):
        request = self.requests.get(request_id)
        if request is None:
            return None
        request["in_flight"] = None
        if final or request["ended"] or request["streaming"]:
            self.host.release_state(request_id)
            del self.requests[request_id]
            return None
        if outcome is AttemptOutcome.PREFILLED:
            request["has_state"] = True
            return self.route(request)
        if outcome is AttemptOutcome.REJECTED and note == 1:
            request["has_state"] = False
        safe_to_retry = request["is_prefill"] or outcome in (
            AttemptOutcome.REJECTED,
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.NOT_SENT,
        )
        if safe_to_retry or request["idempotency"] is Idempotency.IDEMPOTENT:
            return self.route(request)
        return self.finish(request, failed=True)

    def on_client_left(self, request_id):
        request = self.requests.get(request_id)
        if request and not request["ended"]:
            request["ended"] = True
            self.release(request)

    def on_timer(self, key):
        request = self.requests.get(key)
        if request and not request["ended"] and not request["streaming"]:
            self.finish(request, failed=True)

    def on_load_report(self, name, report):
        pass


class RandomChoice(Baseline):
    def pick(self, names):
        return self.rng.choice(names)


class RoundRobin(Baseline):
    def pick(self, names):
        self.next_index += 1
        return names[self.next_index % len(names)]


BASELINES = {"random": RandomChoice, "round-robin": RoundRobin}


def main(name, script, options):
    arguments = dict(zip(options[::2], options[1::2], strict=True))
    asyncio.run(
        daemon.serve(
            _read_settings(Path(script)),
            arguments["--router"],
            arguments.get("--list", ""),
            Path(arguments["--run"]),
            int(arguments.get("--seed", 1)),
            daemon.configure_logging(arguments.get("--log")),
            BASELINES[name],
        )
    )


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], sys.argv[3:])
