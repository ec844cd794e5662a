"""Engine lists: faulty files, sources that contradict each other, drains, and the commands on real
processes."""

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
from lifthead.members.last_list import LastList
from lifthead.members.listing import compare_listings, make_listing
from lifthead.members.registry import EngineRegistry
from lifthead.members.store import GenerationStore, replace_file
from lifthead.members.view import CAUTION_RANK, FLAP_LIMIT, FLAP_QUIET_US, FleetView

S = 1_000_000
KINDS = {"r": "reader", "w": "writer"}
FOUR = SCRIPT.replace('router("r"', 'engine("wr3", zone = "a", kind = "writer")\nrouter("r"')
FLEET = script.run(FOUR, "fleet")


def engine_file(*names, total=None, **fields):
    lines = [
        f'engine("{name}", zone = "a", kind = "{KINDS[name[0]]}", address = "h:{at}")'
        for at, name in enumerate(names, 1)
    ]
    return "\n".join(lines + ([f"total({total})"] if total is not None else [])) + "\n"


TEN = [f"r{n}" for n in range(4)] + [f"w{n}" for n in range(6)]


def make_registry():
    registry = EngineRegistry(FLEET, GenerationStore(MemoryDisk()))
    assert registry.offer(engine_file(*TEN), "f").taken and registry.generation == 1
    return registry


@pytest.mark.parametrize(
    ("text", "why"),
    [
        (engine_file(*TEN)[:-9], "syntax error"),
        (engine_file(*TEN[:9], total=10), "total(10) does not match the 9 engines in it"),
        ("", "it has no engine that can decode"),
        (engine_file("r1", "r2"), "it has no engine that can decode"),
        (engine_file("w1", "w1"), "engine 'w1' is described twice".replace("engine", "enginespec")),
        (
            engine_file("w1") + 'engine("w2", zone = "a", kind = "writer", address = "h:1")',
            "field address: h:1 is already used by w1",
        ),
        (engine_file("w1") + 'engine("w2", zone = "a", kind = "writer")', "expected a port"),
        (engine_file("w1") + 'engine("w2", zone = "a", kind = "none", address = "h:2")', "is no kind()"),
        (engine_file("w1") + "router('x', zone = 'a')", "name 'router' is not defined"),
        (engine_file("w1") + "x = [0 for i in range(100000000)]", "too"),
        (engine_file(*(f"w{n}" for n in range(6, 12))), "it removes all 6 decode engines in use"),
        (engine_file(*TEN[4:]), "it removes 4 of 10 engines"),
    ],
)
def test_a_file_that_is_not_applied_changes_nothing(text, why):
    registry = make_registry()
    before = registry.current
    outcome = registry.offer(text, "f")
    assert not outcome.taken and why in outcome.why and "\n" not in outcome.why
    assert registry.current is before and registry.generation == 1 and registry.state()["rejected"]


def test_a_pending_list_is_applied_once_it_is_confirmed():
    registry = make_registry()
    outcome = registry.offer(engine_file(*TEN[4:]), "f")
    assert registry.pending and not registry.confirm("another").taken
    assert (
        registry.confirm(outcome.digest).taken
        and set(registry.current.engines) == set(TEN[4:])
        and registry.pending is None
    )
    assert registry.offer(engine_file(*TEN), "f").taken
    again = registry.offer(engine_file(*TEN[4:]), "f", confirmed=outcome.digest)
    assert again.taken and again.generation == 4
    assert registry.rollback().taken and set(registry.current.engines) == set(TEN)
    assert registry.rollback(1).taken and not registry.rollback(99).taken


def test_the_same_list_in_another_format_is_no_change():
    registry = make_registry()
    outcome = registry.offer("# another order\n" + "".join(reversed(engine_file(*TEN).splitlines(True))), "f")
    assert outcome.taken and outcome.change == {} and registry.generation == 1


@given(st.text(max_size=300))
def test_no_text_breaks_the_registry(text):
    registry = make_registry()
    registry.offer(text, "f")
    assert set(registry.current.engines) == set(TEN)


@given(st.integers(0, 600))
def test_a_truncated_file_is_not_applied(cut):
    whole = engine_file(*TEN, total=10).replace("total(10)\n", "")
    registry, text = make_registry(), "total(10)\n" + whole
    registry.offer(text[: min(cut, len(text) - 2)], "f")
    assert set(registry.current.engines) == set(TEN)


def test_a_crash_at_every_call_of_the_store_leaves_a_stored_generation():
    for call in range(1, 40):
        disk = MemoryDisk(fail_at=call, seed=call)
        stored_sizes = []
        try:
            store = GenerationStore(disk)
            for size in range(5, 11):
                store.save(make_listing(script.read_engines(engine_file(*TEN[-size:]), "f")))
                stored_sizes.append(size)
        except CrashError:
            pass
        number, listing = GenerationStore(disk.after_crash()).latest()
        if stored_sizes:
            assert listing and len(listing.engines) >= stored_sizes[-1] and number >= len(stored_sizes)


def test_a_comparison_names_the_changed_fields():
    current = make_listing(script.read_engines(engine_file("w1", "w2"), "f"))
    proposed = make_listing(
        script.read_engines(
            engine_file("w1", "w2").replace('zone = "a"', 'zone = "b"', 1)
            + engine_file("r9").replace("h:1", "h:9"),
            "f",
        )
    )
    change = compare_listings(current, proposed, FLEET)
    assert (change.added, change.removed, change.changed) == (["r9"], [], {"w1": ["zone"]})


def listed(name, readiness="ready", started=0, **more):
    return ListedEngine(name, f"h:{name}", "a", 0, "writer", 1.0, started, readiness, **more)


@pytest.mark.parametrize(
    ("file", "push", "merged"),
    [
        ("ready", "ready", "ready"),
        ("ready", "draining", "draining"),
        ("draining", "ready", "draining"),
        ("ready", "gone", "gone"),
        ("ready", None, "gone"),
        (None, "ready", None),
    ],
)
def test_the_most_cautious_readiness_holds_and_the_file_names_the_engines(file, push, merged):
    view = FleetView()
    view.update("file", [listed("other"), *([listed("w", file)] if file else [])], True, 1)
    view.update("push", [listed("other"), *([listed("w", push)] if push else [])], True, 2)
    changes = {engine.name: engine.readiness for engine in view.take_changes(3)}
    assert changes.get("w") == (merged if merged != "gone" else None)


def test_an_empty_list_is_rejected_and_the_last_list_of_a_lost_source_stays():
    view = FleetView()
    view.update("push", [listed("a"), listed("b")], True, 1)
    assert len(view.take_changes(1)) == 2
    assert view.update("push", [], True, 2) and view.take_changes(2) == []
    assert view.source_rows(3 * S)[0]["kept_out"] and view.source_rows(3 * S)[0]["age_s"] > 2
    assert view.update("push", [listed("a", "gone"), listed("b", "gone")], True, 3) == ""
    assert [engine.readiness for engine in view.take_changes(4)] == ["gone", "gone"]


def test_flapping_is_damped_but_departures_are_reported_at_once():
    view, now = FleetView(), 0
    view.update("push", [listed("a")], True, now)
    view.take_changes(now)
    for _ in range(FLAP_LIMIT):
        now += S
        view.update("push", [listed("a", "draining")], False, now)
        assert [engine.readiness for engine in view.take_changes(now)] == ["draining"]
        now += S
        view.update("push", [listed("a")], False, now)
        changes = view.take_changes(now)
    assert changes == []
    assert view.take_changes(now + FLAP_QUIET_US - 1) == [] and [
        e.readiness for e in view.take_changes(now + FLAP_QUIET_US)
    ] == ["ready"]


UPDATES = st.lists(
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
@given(UPDATES)
def test_no_order_of_updates_makes_an_engine_ready_that_a_source_does_not(updates):
    view, now, reported, latest, full_sources = FleetView(), 0, {}, {}, set()
    for source, full, readiness_by_name, elapsed in updates:
        now += elapsed
        rejection = view.update(
            source, [listed(name, readiness) for name, readiness in readiness_by_name.items()], full, now
        )
        if not rejection:
            latest[source] = dict(readiness_by_name) if full else latest.get(source, {}) | readiness_by_name
            full_sources |= {source} if full else set()
        changes = view.take_changes(now)
        assert len({engine.name for engine in changes}) == len(changes)
        reported |= {engine.name: engine.readiness for engine in changes}
        for name, readiness in reported.items():
            reports = [each[name] for each in latest.values() if name in each]
            reports += [
                "gone" for source, each in latest.items() if source in full_sources and name not in each
            ]
            most_cautious = max(map(CAUTION_RANK.get, reports), default=2)
            assert CAUTION_RANK[readiness] >= most_cautious, (name, readiness, reports)
        assert view.take_changes(now) == []


async def eventually(condition, within=5.0):
    async with asyncio.timeout(within):
        while not (result := await condition()):
            await asyncio.sleep(0.02)
    return result


def test_a_watched_file_on_real_processes(tmp_path):
    """The engine file is replaced, swapped, broken, emptied and removed; a removed engine gets no new
    attempts after 250 ms."""

    async def scenario():
        async with Processes(tmp_path, FOUR) as local_fleet:
            engines = {name: engine["address"] for name, engine in local_fleet.engines.items()}

            def lines(*names, total=None):
                engine_lines = [
                    f'engine("{name}", zone = "a", kind = "{KINDS[name[0]]}", address = "{engines[name]}")'
                    for name in names
                ]
                return "\n".join([*engine_lines, f"total({len(names) if total is None else total})", ""])

            def put(text):
                (tmp_path / "new").write_text(text)
                os.replace(tmp_path / "new", watched)

            watched = tmp_path / "engines.star"
            put(lines("rd", "wr", "wr2", "wr3"))
            await local_fleet.stop_process("r", signal.SIGKILL)
            local_fleet.engine_file = watched
            await local_fleet.start_router("r")
            at = address(local_fleet)
            assert b"[DONE]" in await send_raw(at, http(body(stream=True)))

            async def state():
                done = await asyncio.to_thread(lifthead, "members", "--run", tmp_path, "--json")
                return json.loads(done.stdout)["r"]

            async def generation(number):
                found = await state()
                return found if found["file"]["generation"] == number else None

            calls, load_ended = [], asyncio.Event()

            async def load():
                number = 0
                while not load_ended.is_set():
                    number += 1
                    calls.append(
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
                    await eventually(lambda: _file_state(state, "rejected"))
                    assert (await state())["file"]["generation"] == 2
                    put(lines("rd", "wr", "wr3"))
                    await eventually(lambda: _not_rejected(state))
                os.remove(watched)
                await asyncio.sleep(0.3)
                put(lines("rd", "wr2"))  # removes every decode engine in use
                pending_digest = await eventually(lambda: _file_state(state, "held"))
                assert (await state())["file"]["generation"] == 2
                done = await asyncio.to_thread(
                    lifthead, "apply", "--confirm", pending_digest, "--run", tmp_path
                )
                assert done.returncode == 0
                await asyncio.sleep(0.2)
                link = tmp_path / "other.star"
                link.write_text(lines("rd", "wr", "wr2", "wr3"))
                os.symlink(link, tmp_path / "swap")
                os.replace(tmp_path / "swap", watched)
                await eventually(lambda: generation(4))
                assert (await asyncio.to_thread(lifthead, "rollback", "--run", tmp_path)).returncode == 0
                load_ended.set()
            for answer in await asyncio.gather(*calls):
                assert int(answer.split()[1]) in (200, 503)
            attempts = [
                json.loads(line)
                for line in (tmp_path / "engine-wr2.jsonl").read_text().splitlines()
                if '"forward"' in line
            ]
            confirmed = max(line["t"] for line in attempts)
            between = [line for line in attempts if changed + 250_000 < line["t"] < changed + 1_000_000]
            assert attempts and not between and confirmed > changed + 1_000_000
            os.remove(watched)
            await local_fleet.stop_process("r", signal.SIGKILL)
            await local_fleet.start_router("r")  # without the file: it uses the last stored generation
            assert b"[DONE]" in await send_raw(address(local_fleet), http(body(stream=True)))
            assert (await state())["file"]["generation"] == 5

    asyncio.run(asyncio.wait_for(scenario(), 60))


async def _not_rejected(state):
    return not await _file_state(state, "rejected")


async def _file_state(state, key):
    return (await state())["file"][key]


def test_a_drain_by_command_survives_a_router_restart(tmp_path):
    async def scenario():
        async with Processes(tmp_path, FOUR) as local_fleet:

            def drain(*arguments):
                return lifthead("drain-engines", *arguments, "--run", tmp_path, "--json")

            refused = await asyncio.to_thread(drain, "kind:writer")
            assert refused.returncode == 1 and "leave 0 of 3 ready decode engines" in refused.stdout
            assert "chooses no engine" in (await asyncio.to_thread(drain, "zone:none")).stdout
            assert "expected names" in (await asyncio.to_thread(drain, "zone:")).stdout
            assert (await asyncio.to_thread(drain, "wr,wr2", "--limit", "30s")).returncode == 0
            drained_at = time.monotonic_ns() // 1000

            async def check_answers(count):
                calls = [
                    send_raw(address(local_fleet), http(body(f"{n} {count}", stream=True)))
                    for n in range(count)
                ]
                assert all(b"[DONE]" in answer for answer in await asyncio.gather(*calls))

            await check_answers(30)
            await local_fleet.stop_process("r", signal.SIGKILL)
            await local_fleet.start_router("r")
            await check_answers(30)
            records = [
                json.loads(line)
                for name in ("wr", "wr2")
                for line in (tmp_path / f"engine-{name}.jsonl").read_text().splitlines()
            ]
            assert not [
                line for line in records if line["ev"] == "forward" and line["t"] > drained_at + 250_000
            ]
            progress = json.loads((await asyncio.to_thread(drain)).stdout)["r"]["engines"]
            assert [(each["engine"], each["done"]) for each in progress] == [("wr", True), ("wr2", True)]
            assert (await asyncio.to_thread(drain, "wr,wr2", "--undo")).returncode == 0
            await check_answers(60)
            records = (tmp_path / "engine-wr.jsonl").read_text().splitlines()
            assert any(
                '"forward"' in line and json.loads(line)["t"] > drained_at + 250_000 for line in records
            )

    asyncio.run(asyncio.wait_for(scenario(), 60))


def listed_engines(loop):
    return [
        ListedEngine(name, address_, "a", 0, {"r": "reader", "w": "writer"}[name[0]])
        for name, address_ in loop.engine_addresses.items()
    ]


def test_a_drain_that_could_not_be_stored_does_not_hold(tmp_path, monkeypatch):
    """The operator is told that the drain was refused, so no later list may put it in force."""

    async def scenario():
        async with Loopback(tmp_path, engines=("rd", "wr", "wr2")) as loop:
            daemon = loop.daemon
            daemon.on_push(ListUpdate(True, listed_engines(loop)))
            with monkeypatch.context() as patched:
                patched.setattr(serve, "replace_file", full_disk)
                answer = daemon._drain_engines({"selector": "wr"})
            assert not answer["taken"] and "No space" in answer["why"]
            daemon.on_push(ListUpdate(True, listed_engines(loop)))
            assert daemon.host.endpoints["wr"].readiness == "ready" and not daemon.drains.deadlines
            assert daemon._drain_engines({"selector": "wr"})["taken"]
            assert daemon.host.endpoints["wr"].readiness == "draining"

    run(scenario())


def test_the_time_limit_of_a_drain_does_not_follow_a_step_of_the_wall_clock(tmp_path):
    async def scenario():
        async with Loopback(tmp_path, engines=("rd", "wr", "wr2")) as loop:
            daemon, ahead = loop.daemon, loop.daemon.host.start_times.wall_offset
            daemon.on_push(ListUpdate(True, listed_engines(loop)))
            for step in (-3_600_000_000, 3_600_000_000):
                daemon.host.start_times.wall_offset = ahead - step  # as it was before the clock was stepped
                answer = daemon._drain_engines({"selector": "wr", "limit": 5_000_000})
                left = daemon.host.endpoints["wr"].drain_deadline - time.monotonic_ns() // 1000
                assert 4_000_000 < left <= 5_000_000
                assert 4 < answer["engines"][0]["left_s"] <= 5
                daemon._drain_engines({"selector": "wr", "undo": True})

    run(scenario())


def test_a_list_that_could_not_be_stored_is_stored_once_there_is_space(tmp_path, monkeypatch):
    async def scenario():
        async with Loopback(tmp_path, engines=("rd", "wr")) as loop:
            daemon, calls = loop.daemon, []

            def full_at_first(path, data):
                calls.append(path)
                if len(calls) < 2:
                    full_disk()
                replace_file(path, data)

            monkeypatch.setattr(serve, "replace_file", full_at_first)
            daemon.on_push(ListUpdate(True, listed_engines(loop)))
            loop.background_tasks.append(loop._group.create_task(daemon.persist_list()))
            await loop.until(lambda: daemon._list_file.exists())
            stored = msgspec.json.decode(daemon._list_file.read_bytes(), type=LastList)
            assert {engine.name for engine in stored.engines} == {"rd", "wr"}

    run(scenario())


def full_disk(*_):
    raise OSError(errno.ENOSPC, "No space left on device")


def test_diff_shows_what_a_file_would_change(tmp_path):
    for name, text in (("now", engine_file(*TEN)), ("then", engine_file(*TEN[4:]))):
        (tmp_path / name).write_text(text)
    (tmp_path / "fleet.star").write_text(SCRIPT)
    done = lifthead("diff", tmp_path / "then", tmp_path / "now", tmp_path / "fleet.star", "--json")
    assert done.returncode == 1 and json.loads(done.stdout)["held"] == "it removes 4 of 10 engines"
    assert lifthead("diff", tmp_path / "now", tmp_path / "now", tmp_path / "fleet.star").returncode == 0
