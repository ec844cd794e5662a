"""Which engines there are: files that are wrong in every way, sources that contradict, and the sockets."""

import asyncio
import errno
import json
import os
import signal
import time

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import SCRIPT, Loopback, body, http, send_raw
from test_daemon import run
from test_fleet import Processes, address, lifthead
from test_ledger import CrashError, MemoryDisk

from lifthead.daemon import serve
from lifthead.deployment import script
from lifthead.engines.codec import ListedEngine, ListUpdate
from lifthead.members.last import Last
from lifthead.members.listing import change, listing
from lifthead.members.roster import Roster
from lifthead.members.store import Store, replace_file
from lifthead.members.view import CAUTION, FLAPS, QUIET, View

S = 1_000_000
KINDS = {"r": "reader", "w": "writer"}
FOUR = SCRIPT.replace('router("r"', 'engine("wr3", zone = "a", kind = "writer")\nrouter("r"')
FLEET = script.run(FOUR, "fleet")


def text(*names, total=None, **fields):
    lines = [
        f'engine("{name}", zone = "a", kind = "{KINDS[name[0]]}", address = "h:{at}")'
        for at, name in enumerate(names, 1)
    ]
    return "\n".join(lines + ([f"total({total})"] if total is not None else [])) + "\n"


TEN = [f"r{n}" for n in range(4)] + [f"w{n}" for n in range(6)]


def roster():
    made = Roster(FLEET, Store(MemoryDisk()))
    assert made.offer(text(*TEN), "f").taken and made.generation == 1
    return made


@pytest.mark.parametrize(
    ("said", "why"),
    [
        (text(*TEN)[:-9], "syntax error"),
        (text(*TEN[:9], total=10), "total(10) does not match the 9 engines in it"),
        ("", "no engine in it writes"),
        (text("r1", "r2"), "no engine in it writes"),
        (text("w1", "w1"), "engine 'w1' is described twice".replace("engine", "enginespec")),
        (
            text("w1") + 'engine("w2", zone = "a", kind = "writer", address = "h:1")',
            "field address: h:1 is w1's already",
        ),
        (text("w1") + 'engine("w2", zone = "a", kind = "writer")', "expected a port"),
        (text("w1") + 'engine("w2", zone = "a", kind = "none", address = "h:2")', "is no kind()"),
        (text("w1") + "router('x', zone = 'a')", "name 'router' is not defined"),
        (text("w1") + "x = [0 for i in range(100000000)]", "too"),
        (text(*(f"w{n}" for n in range(6, 12))), "it takes away all 6 writers in use"),
        (text(*TEN[4:]), "it takes away 4 of 10 engines"),
    ],
)
def test_a_file_that_is_not_taken_leaves_all_as_it_was(said, why):
    made = roster()
    before = made.now
    outcome = made.offer(said, "f")
    assert not outcome.taken and why in outcome.why and "\n" not in outcome.why
    assert made.now is before and made.generation == 1 and made.state()["rejected"]


def test_what_is_held_back_is_taken_once_it_is_confirmed():
    made = roster()
    outcome = made.offer(text(*TEN[4:]), "f")
    assert made.held and not made.confirm("another").taken
    assert made.confirm(outcome.digest).taken and set(made.now.engines) == set(TEN[4:]) and made.held is None
    assert made.offer(text(*TEN), "f").taken
    again = made.offer(text(*TEN[4:]), "f", confirmed=outcome.digest)
    assert again.taken and again.generation == 4
    assert made.rollback().taken and set(made.now.engines) == set(TEN)
    assert made.rollback(1).taken and not made.rollback(99).taken


def test_the_same_listing_written_otherwise_is_no_change():
    made = roster()
    outcome = made.offer("# another order\n" + "".join(reversed(text(*TEN).splitlines(True))), "f")
    assert outcome.taken and outcome.change == {} and made.generation == 1


@given(st.text(max_size=300))
def test_no_text_breaks_the_roster(said):
    made = roster()
    made.offer(said, "f")
    assert set(made.now.engines) == set(TEN)


@given(st.integers(0, 600))
def test_a_file_that_was_cut_short_is_not_taken(cut):
    whole = text(*TEN, total=10).replace("total(10)\n", "")
    made, said = roster(), "total(10)\n" + whole
    made.offer(said[: min(cut, len(said) - 2)], "f")
    assert set(made.now.engines) == set(TEN)


def test_a_crash_at_every_call_of_the_store_leaves_a_generation_that_was_taken():
    for call in range(1, 40):
        disk = MemoryDisk(fail_at=call, seed=call)
        good = []
        try:
            store = Store(disk)
            for many in range(5, 11):
                store.put(listing(script.read_engines(text(*TEN[-many:]), "f")))
                good.append(many)
        except CrashError:
            pass
        number, found = Store(disk.after_crash()).latest()
        if good:
            assert found and len(found.engines) >= good[-1] and number >= len(good)


def test_changes_name_the_fields():
    one = listing(script.read_engines(text("w1", "w2"), "f"))
    two = listing(
        script.read_engines(
            text("w1", "w2").replace('zone = "a"', 'zone = "b"', 1) + text("r9").replace("h:1", "h:9"), "f"
        )
    )
    found = change(one, two, FLEET)
    assert (found.added, found.removed, found.changed) == (["r9"], [], {"w1": ["zone"]})


def said(name, readiness="ready", started=0, **more):
    return ListedEngine(name, f"h:{name}", "a", 0, "writer", 1.0, started, readiness, **more)


@pytest.mark.parametrize(
    ("file", "push", "told"),
    [
        ("ready", "ready", "ready"),
        ("ready", "draining", "draining"),
        ("draining", "ready", "draining"),
        ("ready", "gone", "gone"),
        ("ready", None, "gone"),
        (None, "ready", None),
    ],
)
def test_the_more_cautious_word_holds_and_the_file_names_the_engines(file, push, told):
    view = View()
    view.tell("file", [said("other"), *([said("w", file)] if file else [])], True, 1)
    view.tell("push", [said("other"), *([said("w", push)] if push else [])], True, 2)
    found = {engine.name: engine.readiness for engine in view.changes(3)}
    assert found.get("w") == (told if told != "gone" else None)


def test_an_empty_list_is_kept_out_and_a_lost_source_leaves_its_word():
    view = View()
    view.tell("push", [said("a"), said("b")], True, 1)
    assert len(view.changes(1)) == 2
    assert view.tell("push", [], True, 2) and view.changes(2) == []
    assert view.sources(3 * S)[0]["kept_out"] and view.sources(3 * S)[0]["age_s"] > 2
    assert view.tell("push", [said("a", "gone"), said("b", "gone")], True, 3) == ""
    assert [engine.readiness for engine in view.changes(4)] == ["gone", "gone"]


def test_flapping_is_damped_but_what_goes_away_goes_at_once():
    view, now = View(), 0
    view.tell("push", [said("a")], True, now)
    view.changes(now)
    for _ in range(FLAPS):
        now += S
        view.tell("push", [said("a", "draining")], False, now)
        assert [engine.readiness for engine in view.changes(now)] == ["draining"]
        now += S
        view.tell("push", [said("a")], False, now)
        told = view.changes(now)
    assert told == []
    assert view.changes(now + QUIET - 1) == [] and [e.readiness for e in view.changes(now + QUIET)] == [
        "ready"
    ]


WORDS = st.lists(
    st.tuples(
        st.sampled_from(["file", "push", "seen"]),
        st.booleans(),
        st.dictionaries(
            st.sampled_from("abcdef"), st.sampled_from(["ready", "draining", "gone"]), max_size=6
        ),
        st.integers(0, 20 * S),
    ),
    max_size=25,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(WORDS)
def test_any_order_of_sources_never_gives_work_to_an_engine_that_one_calls_away(words):
    view, now, mirror, latest, wholes = View(), 0, {}, {}, set()
    for source, whole, names, passed in words:
        now += passed
        kept_out = view.tell(source, [said(name, readiness) for name, readiness in names.items()], whole, now)
        if not kept_out:
            latest[source] = dict(names) if whole else latest.get(source, {}) | names
            wholes |= {source} if whole else set()
        told = view.changes(now)
        assert len({engine.name for engine in told}) == len(told)
        mirror |= {engine.name: engine.readiness for engine in told}
        for name, readiness in mirror.items():
            spoken = [each[name] for each in latest.values() if name in each]
            spoken += ["gone" for source, each in latest.items() if source in wholes and name not in each]
            worst = max(map(CAUTION.get, spoken), default=2)
            assert CAUTION[readiness] >= worst, (name, readiness, spoken)
        assert view.changes(now) == []


async def eventually(true, within=5.0):
    async with asyncio.timeout(within):
        while not (found := await true()):
            await asyncio.sleep(0.02)
    return found


def test_a_watched_file_on_real_processes(tmp_path):
    """Replaced, swapped, broken, emptied, removed; what is gone gets nothing new after the grace."""

    async def play():
        async with Processes(tmp_path, FOUR) as stage:
            engines = {name: said["address"] for name, said in stage.engines.items()}

            def lines(*names, total=None):
                made = [
                    f'engine("{name}", zone = "a", kind = "{KINDS[name[0]]}", address = "{engines[name]}")'
                    for name in names
                ]
                return "\n".join([*made, f"total({len(names) if total is None else total})", ""])

            def put(said):
                (tmp_path / "new").write_text(said)
                os.replace(tmp_path / "new", watched)

            watched = tmp_path / "engines.star"
            put(lines("rd", "wr", "wr2", "wr3"))
            await stage.stop_process("r", signal.SIGKILL)
            stage.engine_file = watched
            await stage.start_router("r")
            at = address(stage)
            assert b"[DONE]" in await send_raw(at, http(body(stream=True)))

            async def state():
                done = await asyncio.to_thread(lifthead, "members", "--run", tmp_path, "--json")
                return json.loads(done.stdout)["r"]

            async def generation(number):
                found = await state()
                return found if found["file"]["generation"] == number else None

            tries, over = [], asyncio.Event()

            async def load():
                number = 0
                while not over.is_set():
                    number += 1
                    tries.append(
                        asyncio.create_task(send_raw(at, http(body(f"{number}", max_tokens=8)), within=8))
                    )
                    await asyncio.sleep(0.01)

            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(load())
                await asyncio.sleep(0.3)
                changed = time.monotonic_ns() // 1000
                put(lines("rd", "wr", "wr3"))
                await eventually(lambda: generation(2))
                for bad in ("engine(", lines("rd", "wr", total=9), "", lines("rd")):
                    put(bad)
                    await eventually(lambda: _file(state, "rejected"))
                    assert (await state())["file"]["generation"] == 2
                    put(lines("rd", "wr", "wr3"))
                    await eventually(lambda: _quiet(state))
                os.remove(watched)
                await asyncio.sleep(0.3)
                put(lines("rd", "wr2"))  # takes away every writer in use
                held = await eventually(lambda: _file(state, "held"))
                assert (await state())["file"]["generation"] == 2
                done = await asyncio.to_thread(lifthead, "apply", "--confirm", held, "--run", tmp_path)
                assert done.returncode == 0
                await asyncio.sleep(0.2)
                link = tmp_path / "other.star"
                link.write_text(lines("rd", "wr", "wr2", "wr3"))
                os.symlink(link, tmp_path / "swap")
                os.replace(tmp_path / "swap", watched)
                await eventually(lambda: generation(4))
                assert (await asyncio.to_thread(lifthead, "rollback", "--run", tmp_path)).returncode == 0
                over.set()
            for answer in await asyncio.gather(*tries):
                assert int(answer.split()[1]) in (200, 503)
            sent = [
                json.loads(line)
                for line in (tmp_path / "engine-wr2.jsonl").read_text().splitlines()
                if '"forward"' in line
            ]
            confirmed = max(line["t"] for line in sent)
            between = [line for line in sent if changed + 250_000 < line["t"] < changed + 1_000_000]
            assert sent and not between and confirmed > changed + 1_000_000
            os.remove(watched)
            await stage.stop_process("r", signal.SIGKILL)
            await stage.start_router("r")  # without the file: from the last good generation
            assert b"[DONE]" in await send_raw(address(stage), http(body(stream=True)))
            assert (await state())["file"]["generation"] == 5

    asyncio.run(asyncio.wait_for(play(), 60))


async def _quiet(state):
    return not await _file(state, "rejected")


async def _file(state, key):
    return (await state())["file"][key]


def test_engines_are_drained_by_command_and_stay_so_over_a_restart(tmp_path):
    async def play():
        async with Processes(tmp_path, FOUR) as stage:

            def drain(*words):
                return lifthead("drain-engines", *words, "--run", tmp_path, "--json")

            refused = await asyncio.to_thread(drain, "kind:writer")
            assert refused.returncode == 1 and "leave 0 of 3 ready writers" in refused.stdout
            assert "chooses no engine" in (await asyncio.to_thread(drain, "zone:none")).stdout
            assert "expected names" in (await asyncio.to_thread(drain, "zone:")).stdout
            assert (await asyncio.to_thread(drain, "wr,wr2", "--limit", "30s")).returncode == 0
            told = time.monotonic_ns() // 1000

            async def answers(many):
                said = [send_raw(address(stage), http(body(f"{n} {many}", stream=True))) for n in range(many)]
                assert all(b"[DONE]" in answer for answer in await asyncio.gather(*said))

            await answers(30)
            await stage.stop_process("r", signal.SIGKILL)
            await stage.start_router("r")
            await answers(30)
            lines_ = [
                json.loads(line)
                for name in ("wr", "wr2")
                for line in (tmp_path / f"engine-{name}.jsonl").read_text().splitlines()
            ]
            assert not [line for line in lines_ if line["ev"] == "forward" and line["t"] > told + 250_000]
            progress = json.loads((await asyncio.to_thread(drain)).stdout)["r"]["engines"]
            assert [(each["engine"], each["done"]) for each in progress] == [("wr", True), ("wr2", True)]
            assert (await asyncio.to_thread(drain, "wr,wr2", "--undo")).returncode == 0
            await answers(60)
            lines_ = (tmp_path / "engine-wr.jsonl").read_text().splitlines()
            assert any('"forward"' in line and json.loads(line)["t"] > told + 250_000 for line in lines_)

    asyncio.run(asyncio.wait_for(play(), 60))


def of_loopback(loop):
    return [
        ListedEngine(name, at, "a", 0, {"r": "reader", "w": "writer"}[name[0]])
        for name, at in loop.engine_addresses.items()
    ]


def test_a_drain_that_could_not_be_kept_does_not_hold(tmp_path, monkeypatch):
    """The operator is told that it was not taken, so no later news may carry it out."""

    async def play():
        async with Loopback(tmp_path, engines=("rd", "wr", "wr2")) as loop:
            daemon = loop.daemon
            daemon.on_push(ListUpdate(True, of_loopback(loop)))
            with monkeypatch.context() as patched:
                patched.setattr(serve, "replace_file", full_disk)
                said = daemon._drain_engines({"selector": "wr"})
            assert not said["taken"] and "No space" in said["why"]
            daemon.on_push(ListUpdate(True, of_loopback(loop)))
            assert daemon.host.endpoints["wr"].readiness == "ready" and not daemon.drains.asked
            assert daemon._drain_engines({"selector": "wr"})["taken"]
            assert daemon.host.endpoints["wr"].readiness == "draining"

    run(play())


def test_a_drains_limit_is_kept_though_the_wall_clock_was_stepped(tmp_path):
    async def play():
        async with Loopback(tmp_path, engines=("rd", "wr", "wr2")) as loop:
            daemon, ahead = loop.daemon, loop.daemon.host.start_times.wall_offset
            daemon.on_push(ListUpdate(True, of_loopback(loop)))
            for step in (-3_600_000_000, 3_600_000_000):
                daemon.host.start_times.wall_offset = ahead - step  # as it was before
                said = daemon._drain_engines({"selector": "wr", "limit": 5_000_000})
                left = daemon.host.endpoints["wr"].drain_deadline - time.monotonic_ns() // 1000
                assert 4_000_000 < left <= 5_000_000
                assert 4 < said["engines"][0]["left_s"] <= 5
                daemon._drain_engines({"selector": "wr", "undo": True})

    run(play())


def test_a_list_that_could_not_be_kept_is_kept_once_there_is_room(tmp_path, monkeypatch):
    async def play():
        async with Loopback(tmp_path, engines=("rd", "wr")) as loop:
            daemon, tries = loop.daemon, []

            def full_at_first(path, data):
                tries.append(path)
                if len(tries) < 2:
                    full_disk()
                replace_file(path, data)

            monkeypatch.setattr(serve, "replace_file", full_at_first)
            daemon.on_push(ListUpdate(True, of_loopback(loop)))
            loop.background_tasks.append(loop._group.create_task(daemon.persist_list()))
            await loop.until(lambda: daemon._list_file.exists())
            kept = msgspec.json.decode(daemon._list_file.read_bytes(), type=Last)
            assert {engine.name for engine in kept.engines} == {"rd", "wr"}

    run(play())


def full_disk(*_):
    raise OSError(errno.ENOSPC, "No space left on device")


def test_diff_says_what_a_file_would_do(tmp_path):
    for name, said_ in (("now", text(*TEN)), ("then", text(*TEN[4:]))):
        (tmp_path / name).write_text(said_)
    (tmp_path / "fleet.star").write_text(SCRIPT)
    done = lifthead("diff", tmp_path / "then", tmp_path / "now", tmp_path / "fleet.star", "--json")
    assert done.returncode == 1 and json.loads(done.stdout)["held"] == "it takes away 4 of 10 engines"
    assert lifthead("diff", tmp_path / "now", tmp_path / "now", tmp_path / "fleet.star").returncode == 0
