"""The laboratory: the clock, the model of an engine, whole days under the checker, pairs, and the search."""

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
from lifthead.lab.engine import Engine, Overheads, Sent
from lifthead.lab.run import Variant, compare, interval, play
from lifthead.lab.search import Bounds, Found, search
from lifthead.lab.world import AT_ENGINES, World
from lifthead.standins import verify
from lifthead.standins.engine import Fault

EXAMPLES = Path(__file__).parents[1] / "examples"
MINUTE, QUIET, UNEVEN = (str(EXAMPLES / f"{day}.star") for day in ("bad-minute", "quiet", "uneven"))
ONE = """
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


def test_what_is_due_comes_in_order_and_what_is_called_off_does_not():
    clock, seen = Clock(), []
    for number in (3, 1, 2, 1):
        clock.after(number * 10, seen.append, number)
    clock.off(clock.after(15, seen.append, "off"))
    clock.after(10, lambda: clock.after(0, seen.append, "next"))
    clock.run(clock.now + 25)
    assert seen == [1, 1, "next", 2]


class Peer:
    """A router's end of a few forwards."""

    def __init__(self, name, clock):
        self.clock, self.seen = clock, []
        fleet = script.run(ONE, "one")
        self.engine = Engine(fleet, fleet.engines[name], 1, clock, self.put, Overheads(0, 0, 0))

    def put(self, ev, **fields):
        """Traffic records are not looked at here."""

    def begun(self, sent, report):
        self.seen.append((sent.id, "begun", self.clock.now - 1_000_000))

    def told(self, sent, observation, note, report):
        self.seen.append((sent.id, observation, self.clock.now - 1_000_000))

    def mute(self, sent):
        self.seen.append((sent.id, "mute", self.clock.now - 1_000_000))

    def send(self, name, prompt=1000, words=5, session="", held=None):
        sent = Sent(name, name, self, None, 0, self.engine, "g", prompt, 20, words, "", 0, session,
                    self.engine.role == "read", held)  # fmt: skip
        self.engine.arrive(sent)
        return sent

    def run(self, seconds):
        self.clock.run(self.clock.now + round(seconds * 1e6))
        return [(name, what, round(at / 1000)) for name, what, at in self.seen]


def test_prompts_are_read_one_after_the_other_and_what_is_kept_is_not_read_again():
    peer = Peer("rd", Clock())
    peer.send("a", session="s")
    peer.send("b")
    assert peer.run(0.5) == [("a", Observation.READ, 100), ("b", Observation.READ, 200)]
    peer.send("c", prompt=1200, session="s")
    assert peer.run(0.5)[2:] == [("c", Observation.READ, 520)]
    assert set(peer.engine.held) == {"a", "b", "c"}
    peer.run(3)
    assert not peer.engine.held and not peer.engine.used  # nobody came: forgotten


def test_answers_of_one_writer_share_its_steps():
    peer = Peer("wr", Clock())
    peer.send("a", prompt=10, words=5)
    said = peer.run(0.2)
    assert [(name, what) for name, what, _ in said] == [("a", "begun"), ("a", Observation.WRITTEN)]
    alone = said[1][2] - said[0][2]
    assert alone == pytest.approx(4 * 11, abs=1)  # four more steps of 10 ms and 1 ms for the one that runs
    peer.send("b", prompt=10, words=5)
    peer.send("c", prompt=10, words=5)
    said = peer.run(0.3)[2:]
    times = {(name, what): at for name, what, at in said}
    assert times["c", Observation.WRITTEN] - times["c", "begun"] > alone
    for name in "defg":
        peer.send(name, prompt=10, words=50)
    refused = [name for name, what, _ in peer.run(0.01) if what is Observation.TURNED_AWAY]
    assert refused == ["g"]  # two run, one waits


@pytest.mark.parametrize(
    ("what", "seen"),
    [
        ("silent", ["begun", Observation.WRITTEN]),
        ("slow", ["begun", Observation.WRITTEN]),
        ("garbage", [Observation.STRANGE]),
        ("full", [Observation.TURNED_AWAY]),
        ("reset", ["begun", Observation.CUT]),
        ("lost", ["begun", "mute"]),
    ],
)
def test_a_writer_fails_as_a_stand_in_does(what, seen):
    peer = Peer("wr", Clock())
    peer.engine.chance.randint = lambda low, high: 2  # the third token is the first that does not come
    peer.engine.fault(what, Fault(peer.clock.now + 500_000, 1.0, 3.0, ""))
    peer.send("a", prompt=10, words=5)
    said = peer.run(2)
    assert [each for each in (word for _, word, _ in said) if each in seen] == seen
    if what == "silent":
        assert said[0][2] >= 500
    assert what == "lost" or not peer.engine.out


def test_a_killed_engine_breaks_what_it_has_and_keeps_nothing():
    peer = Peer("rd", Clock())
    peer.send("a")
    peer.run(0.2)
    peer.send("b")
    peer.engine.kill()
    assert peer.run(0.2)[-1][:2] == ("b", Observation.CUT)
    peer.engine.start(cold=True)
    assert not peer.engine.held and peer.engine.warmth.capacity_fraction(peer.clock.now) == pytest.approx(
        0.25, abs=0.01
    )
    peer.run(5)
    assert peer.engine.warmth.capacity_fraction(peer.clock.now) == 1.0


def test_the_same_seed_is_the_same_day_whatever_the_processes():
    one, two = play(Variant(MINUTE), 3), play(Variant(MINUTE), 3)
    assert {**one, "took_s": 0} == {**two, "took_s": 0} and one["events"] > 10_000
    assert play(Variant(MINUTE), 4)["events"] != one["events"]
    results = [compare(Variant(QUIET), Variant(MINUTE), 5, 0.0, workers)[1] for workers in (1, 3)]
    for row in (row for rows in results for row in rows):
        row["took_s"] = 0
    assert results[0] == results[1] and len(results[0]) == 10


@pytest.mark.parametrize("seed", range(3))
def test_an_emulated_bad_minute_breaks_no_rule_under_the_checker_of_real_days(tmp_path, seed):
    summary = play(Variant(MINUTE), seed, str(tmp_path))
    traffic = verify.read_records(tmp_path)
    assert verify.find_breaches(traffic) == []
    assert verify.weighted_goodput(traffic) == pytest.approx(
        summary["service"], abs=1e-4
    )  # counted twice, two ways
    assert summary["service"] + sum(summary["lost"].values()) == pytest.approx(1, abs=1e-3)
    assert summary["done"] > 0.9 * summary["reqs"]


OTHERS = ["crash", "vanish", "drain", "havoc", "late_list", "burst", "flood", "hot_beginning", "long_prompts",
          "impatient", "router_stop"]  # fmt: skip


@pytest.mark.parametrize("what", [*AT_ENGINES, *OTHERS])
def test_every_trouble_does_something_and_breaks_no_rule(tmp_path, what):
    fleet = script.read(Path(MINUTE))
    fleet.crowd = msgspec.structs.replace(fleet.crowd, length=Microseconds(8_000_000))
    fleet.troubles = []
    quiet = World(fleet, 1).run()
    engines = ["cell:0"] if what != "flush" else []
    fleet.troubles = [
        FaultSpec(
            what=what,
            at=Microseconds(2_000_000),
            lasts=Microseconds(3_000_000),
            engines=engines,
            tenant="kiosk",
            part=0.7,
            routers=["router-north"],
        )
    ]
    struck = World(fleet, 1, tmp_path).run()
    assert struck["events"] != quiet["events"] or what in ("late_list", "link_slow")
    assert verify.find_breaches(verify.read_records(tmp_path)) == []


@pytest.mark.parametrize(
    ("differences", "mean", "half", "differs"),
    [([], 0, math.inf, False), ([0.5], 0.5, math.inf, False), ([0.1, 0.3], 0.2, 1.271, False),
     ([0.1] * 6, 0.1, 0.0, True), ([0.1, 0.2, 0.3, 0.2], 0.2, 0.13, True)],
)  # fmt: skip
def test_intervals_of_paired_differences(differences, mean, half, differs):
    found = interval(differences)
    assert found.mean == pytest.approx(mean) and found.differs is differs
    assert found.half == pytest.approx(half, abs=0.001)


def doctored(path):
    """Decisions with a planted defect: what may have run is sent again, also what must not run twice."""
    text = Path(control.__file__).read_text()
    sound = """return (
            self._reject_or_fail(request)
            if request.idempotency is Idempotency.NON_IDEMPOTENT
            else self._route(request)
        )"""
    assert text.count(sound) == 1
    (path / "doctored.py").write_text(text.replace(sound, "return self._route(request)"))
    return str(path / "doctored.py")


def test_the_search_finds_a_planted_defect_that_the_standard_day_misses(tmp_path):
    planted = Variant(MINUTE, doctored(tmp_path))
    play(Variant(QUIET, planted.decisions), 1, str(tmp_path / "quiet"))
    assert verify.find_breaches(verify.read_records(tmp_path / "quiet")) == []
    bounds = Bounds(most=2, length=4_000_000, longest=4_000_000)
    found = search(planted, bounds, 60, 3)
    assert isinstance(found, Found) and any("rule 2" in why for why in found.breaches)
    assert len(found.troubles) == 1  # shrunk
    assert search(Variant(MINUTE), bounds, 4, 1) == 4
    text = Path(MINUTE).read_text().partition("trouble(")[0] + found.script() + "\n"
    assert script.run(text, "found").troubles == found.troubles  # what is told can be pasted


def test_the_command_keeps_what_it_found_with_how_to_make_it_again(tmp_path):
    words = ["lab", "compare", QUIET, MINUTE, "--pairs", "5", "--out", tmp_path / "out", "--json"]
    done = lifthead(*words)
    said = json.loads(done.stdout)
    assert done.returncode == 1 and said["differs"] and said["difference"] < 0
    rows = pq.read_table(tmp_path / "out" / "days.parquet").to_pylist()
    assert sum(row["service"] for row in rows if row["variant"] == "B") / 5 == pytest.approx(said["two"])
    manifest = json.loads((tmp_path / "out" / "manifest.json").read_text())
    assert manifest["simulated"] and len(manifest["files"]) == 2 and "compare" in manifest["command"]
    odd = lifthead("lab", "run", EXAMPLES / "roll.star")
    assert odd.returncode == 2 and "can't be emulated" in odd.stderr


@pytest.mark.parametrize("seed", [1, 2])
def test_routers_of_a_drowned_zone_together_leave_what_they_cannot_read_to_the_idle_one(seed):
    """Each of 36 routers was harmless alone. Together those of the busy zone sent on into readers that told
    of long waits, as none had measured six reads, and pushed the rest back: 0.43 was served, now 0.70."""
    assert play(Variant(UNEVEN), seed)["service"] > 0.55
