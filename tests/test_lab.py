"""The simulator: the clock, the engine model, whole scenarios, comparisons and the search."""

import json
import math
from pathlib import Path

import msgspec
import pyarrow.parquet as pq
import pytest
from test_fleet import lifthead

from lifthead import control
from lifthead.deployment import script
from lifthead.deployment.durations import Microseconds
from lifthead.deployment.fleet import FaultSpec
from lifthead.engines.codec import Observation
from lifthead.lab.clock import Clock
from lifthead.lab.engine import Attempt, Engine, Overheads
from lifthead.lab.run import Variant, compare, confidence_interval, simulate
from lifthead.lab.search import BadScenario, Bounds, search
from lifthead.lab.world import ENGINE_FAULTS, World
from lifthead.standins import verify
from lifthead.standins.engine import Fault

EXAMPLES = Path(__file__).parents[1] / "examples"
BAD_MINUTE, QUIET, UNEVEN = (str(EXAMPLES / f"{name}.star") for name in ("bad-minute", "quiet", "uneven"))
TWO_ENGINES = """
rules(cold_share = 0.25, warm_within = "4s", overload_for = "1s")
kind("reader", role = "read", memory = 50000)
kind("writer", role = "write", memory = 50000)
stand_in("reader", read_per_s = 10000, slots = 2, queue = 1, held_for = "2s")
stand_in("writer", read_per_s = 10000, slots = 2, queue = 1, step = "10ms", step_per_stream = "1ms")
engine("rd", zone = "a", kind = "reader")
engine("wr", zone = "a", kind = "writer")
group("g", models = ["m"], target = "1s", deadline = "2s")
tenant("t", keys = ["key-lab-0001"], share_per_s = 10.0)
router("r", zone = "a")
"""


def test_timers_fire_in_order_and_cancelled_ones_do_not():
    clock, seen = Clock(), []
    for number in (3, 1, 2, 1):
        clock.call_later(number * 10, seen.append, number)
    clock.cancel(clock.call_later(15, seen.append, "off"))
    clock.call_later(10, lambda: clock.call_later(0, seen.append, "next"))
    clock.run_until(clock.now + 25)
    assert seen == [1, 1, "next", 2]


class RecordingRouter:
    """Sends attempts to one engine and keeps what the engine reports, with the time."""

    def __init__(self, name, clock):
        self.clock, self.seen = clock, []
        fleet = script.run(TWO_ENGINES, "one")
        self.engine = Engine(fleet, fleet.engines[name], 1, clock, self.record, Overheads(0, 0, 0))

    def record(self, ev, **fields):
        """The tests of the engine do not read traffic records."""

    def on_first_token(self, attempt, report):
        self.seen.append((attempt.id, "first token", self.clock.now - 1_000_000))

    def on_observation(self, attempt, observation, note, report):
        self.seen.append((attempt.id, observation, self.clock.now - 1_000_000))

    def on_silent_stream(self, attempt):
        self.seen.append((attempt.id, "silent stream", self.clock.now - 1_000_000))

    def send(self, name, prompt_tokens=1000, answer_tokens=5, session="", state_source=None):
        attempt = Attempt(
            name,
            name,
            self,
            None,
            0,
            self.engine,
            "g",
            prompt_tokens,
            20,
            answer_tokens,
            "",
            0,
            session,
            self.engine.role == "read",
            state_source,
        )
        self.engine.receive(attempt)
        return attempt

    def run(self, seconds):
        self.clock.run_until(self.clock.now + round(seconds * 1e6))
        return [(name, kind, round(at / 1000)) for name, kind, at in self.seen]


def test_prefills_run_one_after_the_other_and_skip_cached_tokens():
    router = RecordingRouter("rd", Clock())
    router.send("a", session="s")
    router.send("b")
    assert router.run(0.5) == [("a", Observation.READ, 100), ("b", Observation.READ, 200)]
    router.send("c", prompt_tokens=1200, session="s")
    assert router.run(0.5)[2:] == [("c", Observation.READ, 520)]
    assert set(router.engine.held_states) == {"a", "b", "c"}
    router.run(3)
    # No decode engine has fetched the states: their leases have expired.
    assert not router.engine.held_states and not router.engine.used_memory


def test_answers_of_one_decode_engine_share_its_steps():
    router = RecordingRouter("wr", Clock())
    router.send("a", prompt_tokens=10, answer_tokens=5)
    events = router.run(0.2)
    assert [(name, kind) for name, kind, _ in events] == [("a", "first token"), ("a", Observation.WRITTEN)]
    alone = events[1][2] - events[0][2]
    assert alone == pytest.approx(4 * 11, abs=1)  # four more steps of 10 ms, and 1 ms for the stream
    router.send("b", prompt_tokens=10, answer_tokens=5)
    router.send("c", prompt_tokens=10, answer_tokens=5)
    events = router.run(0.3)[2:]
    times = {(name, kind): at for name, kind, at in events}
    assert times["c", Observation.WRITTEN] - times["c", "first token"] > alone
    for name in "defg":
        router.send(name, prompt_tokens=10, answer_tokens=50)
    refused = [name for name, kind, _ in router.run(0.01) if kind is Observation.TURNED_AWAY]
    assert refused == ["g"]  # two run, one waits


@pytest.mark.parametrize(
    ("kind", "seen"),
    [
        ("silent", ["first token", Observation.WRITTEN]),
        ("slow", ["first token", Observation.WRITTEN]),
        ("garbage", [Observation.STRANGE]),
        ("full", [Observation.TURNED_AWAY]),
        ("reset", ["first token", Observation.CUT]),
        ("lost", ["first token", "silent stream"]),
    ],
)
def test_a_decode_engine_fails_as_a_stand_in_does(kind, seen):
    router = RecordingRouter("wr", Clock())
    router.engine.rng.randint = lambda low, high: 2  # the third token is the first one lost
    router.engine.inject_fault(kind, Fault(router.clock.now + 500_000, 1.0, 3.0, ""))
    router.send("a", prompt_tokens=10, answer_tokens=5)
    events = router.run(2)
    assert [each for each in (event for _, event, _ in events) if each in seen] == seen
    if kind == "silent":
        assert events[0][2] >= 500
    assert kind == "lost" or not router.engine.attempts


def test_a_killed_engine_breaks_its_connections_and_loses_its_state():
    router = RecordingRouter("rd", Clock())
    router.send("a")
    router.run(0.2)
    router.send("b")
    router.engine.kill()
    assert router.run(0.2)[-1][:2] == ("b", Observation.CUT)
    router.engine.start(cold=True)
    assert not router.engine.held_states and router.engine.warm_up.capacity_fraction(
        router.clock.now
    ) == pytest.approx(0.25, abs=0.01)
    router.run(5)
    assert router.engine.warm_up.capacity_fraction(router.clock.now) == 1.0


def test_the_same_seed_gives_the_same_results_on_any_number_of_processes():
    one, two = simulate(Variant(BAD_MINUTE), 3), simulate(Variant(BAD_MINUTE), 3)
    assert {**one, "took_s": 0} == {**two, "took_s": 0} and one["events"] > 10_000
    assert simulate(Variant(BAD_MINUTE), 4)["events"] != one["events"]
    results = [compare(Variant(QUIET), Variant(BAD_MINUTE), 5, 0.0, workers)[1] for workers in (1, 3)]
    for row in (row for rows in results for row in rows):
        row["took_s"] = 0
    assert results[0] == results[1] and len(results[0]) == 10


@pytest.mark.parametrize("seed", range(3))
def test_a_simulated_bad_minute_violates_no_rule_of_the_checker(tmp_path, seed):
    summary = simulate(Variant(BAD_MINUTE), seed, str(tmp_path))
    traffic = verify.read_records(tmp_path)
    assert verify.find_breaches(traffic) == []
    assert verify.weighted_goodput(traffic) == pytest.approx(
        summary["service"], abs=1e-4
    )  # computed by the checker and by the simulator
    assert summary["service"] + sum(summary["lost"].values()) == pytest.approx(1, abs=1e-3)
    assert summary["done"] > 0.9 * summary["reqs"]


OTHER_FAULTS = [
    "crash",
    "vanish",
    "drain",
    "havoc",
    "late_list",
    "burst",
    "flood",
    "hot_beginning",
    "long_prompts",
    "impatient",
    "router_stop",
]


@pytest.mark.parametrize("kind", [*ENGINE_FAULTS, *OTHER_FAULTS])
def test_every_fault_has_an_effect_and_violates_no_rule(tmp_path, kind):
    fleet = script.read(Path(BAD_MINUTE))
    fleet.crowd = msgspec.structs.replace(fleet.crowd, length=Microseconds(8_000_000))
    fleet.troubles = []
    without_fault = World(fleet, 1).run()
    engines = ["cell:0"] if kind != "flush" else []
    fleet.troubles = [
        FaultSpec(
            what=kind,
            at=Microseconds(2_000_000),
            lasts=Microseconds(3_000_000),
            engines=engines,
            tenant="kiosk",
            part=0.7,
            routers=["router-north"],
        )
    ]
    with_fault = World(fleet, 1, tmp_path).run()
    assert with_fault["events"] != without_fault["events"] or kind in ("late_list", "link_slow")
    assert verify.find_breaches(verify.read_records(tmp_path)) == []


@pytest.mark.parametrize(
    ("differences", "mean", "half_width", "differs"),
    [
        ([], 0, math.inf, False),
        ([0.5], 0.5, math.inf, False),
        ([0.1, 0.3], 0.2, 1.271, False),
        ([0.1] * 6, 0.1, 0.0, True),
        ([0.1, 0.2, 0.3, 0.2], 0.2, 0.13, True),
    ],
)
def test_confidence_intervals_of_paired_differences(differences, mean, half_width, differs):
    result = confidence_interval(differences)
    assert result.mean == pytest.approx(mean) and result.differs is differs
    assert result.half_width == pytest.approx(half_width, abs=0.001)


def plant_defect(path):
    """A copy of control.py with a planted defect: a request that may have run is sent again even if it is not
    idempotent."""
    text = Path(control.__file__).read_text()
    correct_code = """return (
            self._reject_or_fail(request)
            if request.idempotency is Idempotency.NON_IDEMPOTENT
            else self._route(request)
        )"""
    assert text.count(correct_code) == 1
    (path / "defective.py").write_text(text.replace(correct_code, "return self._route(request)"))
    return str(path / "defective.py")


def test_the_search_finds_a_planted_defect_that_the_quiet_scenario_misses(tmp_path):
    defective = Variant(BAD_MINUTE, plant_defect(tmp_path))
    simulate(Variant(QUIET, defective.control_file), 1, str(tmp_path / "quiet"))
    assert verify.find_breaches(verify.read_records(tmp_path / "quiet")) == []
    bounds = Bounds(max_faults=2, arrival_duration=4_000_000, max_fault_duration=4_000_000)
    found = search(defective, bounds, 60, 3)
    assert isinstance(found, BadScenario) and any("rule 2" in violation for violation in found.violations)
    assert len(found.faults) == 1  # shrunk
    assert search(Variant(BAD_MINUTE), bounds, 4, 1) == 4
    text = Path(BAD_MINUTE).read_text().partition("trouble(")[0] + found.script() + "\n"
    assert script.run(text, "found").troubles == found.faults  # the printed lines are valid in a script


def test_the_command_saves_its_results_with_a_manifest_to_reproduce_them(tmp_path):
    command = ["lab", "compare", QUIET, BAD_MINUTE, "--pairs", "5", "--out", tmp_path / "out", "--json"]
    completed = lifthead(*command)
    output = json.loads(completed.stdout)
    assert completed.returncode == 1 and output["differs"] and output["difference"] < 0
    rows = pq.read_table(tmp_path / "out" / "days.parquet").to_pylist()
    assert sum(row["service"] for row in rows if row["variant"] == "B") / 5 == pytest.approx(output["two"])
    manifest = json.loads((tmp_path / "out" / "manifest.json").read_text())
    assert manifest["simulated"] and len(manifest["files"]) == 2 and "compare" in manifest["command"]
    refused_run = lifthead("lab", "run", EXAMPLES / "roll.star")
    assert refused_run.returncode == 2 and "can't be emulated" in refused_run.stderr


@pytest.mark.parametrize("seed", [1, 2])
def test_routers_of_an_overloaded_zone_send_prefills_to_the_idle_zone(seed):
    """Guards against routers that keep sending to overloaded prefill engines of their own zone although those
    report long queues, and reject the rest: no router had measured the six prefills that its own estimate
    needed. 36 routers with little traffic each overload the zone together. Service was 0.43, now 0.70."""
    assert simulate(Variant(UNEVEN), seed)["service"] > 0.55
