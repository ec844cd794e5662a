"""The ledger: a crash at every call on the disk, damage, periods, exports, budgets, kills of real
processes."""

import asyncio
import errno
import json
import random
import signal
import threading
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import SCRIPT, Loopback, body, http, send_raw
from test_daemon import run, stream_content
from test_fleet import lifthead

from lifthead.deployment import script
from lifthead.deployment.durations import Microseconds
from lifthead.deployment.fleet import LedgerSettings
from lifthead.ledger import book, entries, export, journal, keeper, reconcile
from lifthead.ledger.book import Book, RefusedError
from lifthead.ledger.disk import Directory
from lifthead.ledger.entries import Closed, Correction, Usage, period_of
from lifthead.ledger.journal import Journal
from lifthead.ledger.keeper import landed, plan
from lifthead.ledger.quota import LEAST, Budget, Quota
from lifthead.ledger.reconcile import ConflictError, Merged
from lifthead.standins.billing import Billing
from lifthead.standins.local_fleet import LocalFleet
from lifthead.standins.record import lines


def used(number, period="2026-12", tenant="t", answer=10, **more):
    told = {
        "ended": "done",
        "begun": True,
        "prompt": 100,
        "kept": 0,
        "sent": answer,
        "made": answer,
        "forwards": 1,
        "resumes": 0,
        "read_anew": 0,
    } | more
    return entries.usage(req=f"r-a-{number}", at=number, period=period, tenant=tenant, group="g", **told)


def correction(name, period="2026-12", answer=-5, reverses="", reqs=0, prompt=0):
    return Correction(
        id=name,
        at=1,
        period=period,
        of_period="2026-11",
        tenant="t",
        group="g",
        reqs=reqs,
        prompt=prompt,
        answer=answer,
        why="test",
        reverses=reverses,
    )


class CrashError(OSError):
    """The machine stops at this call."""


class MemoryDisk:
    """A disk that forgets what was not synced, and fails at its n-th call if told to."""

    def __init__(self, fail_at=0, crash=True, seed=1):
        self.files, self.sure, self.gone_names = {}, {}, {}
        self.sure_names = set()
        self.calls, self.fail_at, self.crash_, self.chance = 0, fail_at, crash, random.Random(seed)
        self.dead = False

    def _call(self, partly=None):
        self.calls += 1
        if self.dead or self.calls == self.fail_at:
            self.dead = self.crash_
            if partly:
                partly()
            raise CrashError("the disk fails")

    def names(self):
        return sorted(self.files)

    def read(self, name):
        return bytes(self.files[name])

    def append(self, name, data):
        def torn():
            self.files.setdefault(name, bytearray()).extend(data[: self.chance.randint(0, len(data))])

        self._call(torn)
        self.files.setdefault(name, bytearray()).extend(data)

    def sync(self, name):
        self._call()
        self.sure[name] = len(self.files[name])

    def rename(self, name, to):
        self._call()
        self.files[to], self.sure[to] = self.files.pop(name), self.sure.pop(name, 0)
        self.gone_names[to] = name

    def remove(self, name):
        self._call()
        del self.files[name]

    def sync_names(self):
        self._call()
        self.sure_names = set(self.files)

    def after_crash(self):
        """What a machine finds that starts again: synced bytes, some of the others, names that were
        synced."""
        found = MemoryDisk(seed=self.chance.random())
        for name, data in self.files.items():
            if name not in self.sure_names and self.chance.random() < 0.5:
                continue
            sure = self.sure.get(name, 0)
            keep = self.chance.randint(sure, len(data))
            found.files[name] = bytearray(data[:keep])
            found.sure[name] = keep
        found.sure_names = set(found.files)
        return found


def script_of(disk):
    """A ledger's life on this disk: what was acknowledged, in order, until the disk fails."""
    acknowledged, tried = [], []
    try:
        found = Journal(disk, "one")
        for step in range(24):
            group = [used(step * 10 + n) for n in range(1 + step % 3)]
            tried += group
            found.append(group)
            acknowledged += group
            if step % 5 == 4:
                planned, _, _ = plan(found, 1)
                landed(found, planned, 1)
            if step % 7 == 6:
                found.tidy(force=True)
    except CrashError:
        pass
    return acknowledged, tried


def usages(found):
    return [entry for _, entry in found.entries(1) if isinstance(entry, Usage)]


def test_a_crash_at_every_call_leaves_a_prefix_and_loses_nothing_acknowledged(monkeypatch):
    monkeypatch.setattr(journal, "SEGMENT", 700)  # many segments
    whole = MemoryDisk()
    script_of(whole)
    assert whole.calls > 100
    for call in range(1, whole.calls + 1):
        disk = MemoryDisk(fail_at=call, seed=call)
        acknowledged, tried = script_of(disk)
        after = Journal(disk.after_crash(), "other")
        total = sum(each.reqs for each in after.book.sums.values())
        assert len(acknowledged) <= total <= len(tried) and not after.missing, call
        first = total - len(usages(after))  # those that were exported may be compacted away
        assert usages(after) == tried[first:total]
        assert first <= after.book.exported
        after.append([used(999_999)])  # and it goes on
        assert sum(each.reqs for each in Journal(after._disk, "x").book.sums.values()) == total + 1


def test_a_failed_write_does_not_count_and_the_next_ones_do(monkeypatch):
    """A full disk in mid-write, then room again: no crash, one entry refused, none doubled."""
    monkeypatch.setattr(journal, "SEGMENT", 700)
    whole = MemoryDisk()
    script_of(whole)
    for call in range(5, whole.calls + 1, 3):
        disk = MemoryDisk(fail_at=call, crash=False, seed=call)
        found, kept = Journal(disk, "one"), []
        for step in range(30):
            group = [used(step * 10 + n) for n in range(1 + step % 3)]
            try:
                found.append(group)
                kept += group
                found.tidy(force=step % 7 == 6)
            except CrashError:
                continue
        again = Journal(disk, "x")
        assert usages(again) == kept and not again.missing
        assert again.book.sums == found.book.sums


@pytest.mark.parametrize("what", ["flipped bit", "missing segment", "bad snapshot", "torn snapshot"])
def test_damage_is_named_and_the_rest_is_read(monkeypatch, what):
    monkeypatch.setattr(journal, "SEGMENT", 700)
    disk = MemoryDisk()
    found = Journal(disk, "one")
    for number in range(30):
        found.append([used(number)])
    if what.endswith("snapshot"):
        found.tidy(force=True)
    segments = [name for name in disk.names() if name.startswith("seg-")]
    snapshots = [name for name in disk.names() if name.startswith("snap-")]
    if what == "flipped bit":
        disk.files[segments[1]][20] ^= 4
    elif what == "missing segment":
        del disk.files[segments[1]]
    else:
        data = disk.files[snapshots[0]]
        disk.files[snapshots[0]] = data[:9] if what == "torn snapshot" else data[:-1] + b"\xff"
    again = Journal(disk, "x")
    if what.endswith("snapshot"):
        assert again.missing == [] and again.book.last == 30
        return
    lost = sum(last - first + 1 for first, last in again.missing)
    assert again.missing and again.book.sums["2026-12", "t", "g"].reqs == 30 - lost
    assert lost == 1 if what == "flipped bit" else 1 < lost < 10


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("use"), st.integers(1, 5)),
        st.tuples(st.just("correct"), st.integers(-9, 9)),
        st.tuples(st.just("reverse"), st.integers(0, 9)),
        st.tuples(st.just("close"), st.just(0)),
        st.tuples(st.just("export"), st.booleans()),
        st.tuples(st.just("kill"), st.integers(0, 1000)),
        st.tuples(st.just("tidy"), st.just(0)),
    ),
    max_size=40,
)


@settings(max_examples=80, deadline=None, derandomize=True)
@given(STEPS)
def test_any_order_of_entries_corrections_closes_exports_and_kills(steps):
    """Beside a plain model: what was acknowledged counts once, closed periods stay, batches land once
    each."""
    disk, number, period = MemoryDisk(), 0, "2026-01"
    found, model, closed, fixes, got = Journal(disk, "one"), Counter(), {}, [], {}

    def take(batch_file, manifest):
        assert got.setdefault(manifest["batch"], manifest["digest"]) == manifest["digest"]
        files[manifest["batch"]] = batch_file

    files = {}
    for what, value in steps:
        number += 1
        if what == "use":
            entry = used(number, found.book.open_period(period), answer=value)
            found.append([entry])
            model[entry.period] += value
        elif what == "correct":
            entry = correction(f"c{number}", found.book.open_period(period), value)
            found.append([entry])
            model[entry.period] += value
            fixes.append((entry.id, value))
        elif what == "reverse" and fixes:
            of, amount = fixes[value % len(fixes)]
            entry = found.book.reversal(of, f"c{number}", number, period, "back")
            try:
                found.book.check(entry)
            except RefusedError:
                continue
            found.append([entry])
            model[entry.period] -= amount
            fixes.append((entry.id, -amount))
        elif what == "close":
            period = found.book.open_period(period)
            found.append([Closed(id=f"z{number}", at=number, period=period)])
            closed[period] = model[period]
        elif what == "export":
            planned, data, manifest = plan(found, number)
            if planned:
                take(data, manifest)
                if value:  # else killed before it was noted: it is sent again
                    landed(found, planned, number)
        elif what == "kill":
            disk = disk.after_crash()
            found = Journal(disk, "one")
        elif what == "tidy":
            found.tidy(force=True)
    answers = Counter()
    for (when, _, _), each in found.book.sums.items():
        answers[when] += each.answer
    assert +answers == +model and -answers == -model and not found.missing
    assert all(answers[when] == amount for when, amount in closed.items())
    while (planned := plan(found, number))[0]:
        take(planned[1], planned[2])
        landed(found, planned[0], number)
    merged = Merged()
    for file in files.values():
        merged.add(export.entries_of(file)).add(export.entries_of(file))
    total = Counter()
    for (when, _), (_, _, answer) in merged.sums().items():
        total[when] += answer
    assert +total == +model and -total == -model


@pytest.mark.parametrize(
    ("entry", "said"),
    [
        (used(1, "2026-11"), "period 2026-11 is closed"),
        (correction("k", "2026-11"), "period 2026-11 is closed"),
        (Closed(id="z", at=1, period="2026-11"), "closed already"),
        (correction("c1"), "stands already"),
        (correction("c9", reverses="c7"), "no correction 'c7'"),
        (correction("c9", answer=4, reverses="c1"), "amounts with the other sign"),
        (correction("c9", answer=5, reverses="c0"), "reversed already"),
        (entries.Delivered(id="b", at=1, first=7, last=9), "begins at 7, expected 1"),
        (entries.Planned(id="b", at=1, first=1, last=99), "is 1 to 99"),
    ],
)
def test_what_does_not_fit_is_refused(entry, said):
    found = Book()
    for number, each in enumerate(
        [
            Closed(id="z0", at=1, period="2026-11"),
            correction("c0"),
            correction("c1"),
            correction("c2", answer=5, reverses="c0"),
        ],
        1,
    ):
        found.check(each)
        found.apply(number, each)
    with pytest.raises(RefusedError, match=said):
        found.check(entry)


@pytest.mark.parametrize(
    ("ended", "begun", "tokens"),
    [
        ("done", True, (100, 7)),
        ("done", False, (100, 7)),
        ("aborted", True, (100, 7)),
        ("left", True, (100, 7)),
        ("aborted", False, (0, 0)),
        ("left", False, (0, 0)),
        ("pushed back", False, (0, 0)),
    ],
)
def test_what_is_billed_when(ended, begun, tokens):
    assert entries.billed(ended, begun, 100, 7) == tokens


@pytest.mark.parametrize(
    ("at", "zone", "by", "period"),
    [
        (1_796_086_800, "UTC", "month", "2026-12"),
        (1_796_086_800, "America/Recife", "month", "2026-11"),
        (1_796_086_800, "America/Recife", "day", "2026-11-30"),
    ],
)
def test_periods_follow_the_time_zone(at, zone, by, period):
    assert period_of(at * 1_000_000, zone, by) == period


@pytest.mark.parametrize(
    ("period", "after"), [("2026-12", "2027-01"), ("2026-11", "2026-12"), ("2026-02-28", "2026-03-01")]
)
def test_the_following_period(period, after):
    assert book.following(period) == after


@given(
    st.integers(1, 6),
    st.integers(0, 5000),
    st.lists(st.tuples(st.integers(0, 5), st.integers(1, 300), st.floats(0, 1)), max_size=80),
)
def test_all_routers_together_never_use_more_than_the_budget(routers, tokens, reqs):
    quotas = [Quota({"t": Budget(tokens, 0.8)}, routers) for _ in range(routers)]
    spent, out = 0, []
    for at, most, part in reqs:
        quota = quotas[at % routers]
        if quota.take("t", most):
            out.append((quota, most, round(most * part)))
        if len(out) > 3:
            quota, most, really = out.pop(0)
            quota.settle("t", most, really)
            spent += really
        assert quota.take("other", 10**9) and quota.share("other") == 1.0
    spent += sum(really for _, _, really in out)
    assert spent <= tokens


@pytest.mark.parametrize(("gone", "share"), [(0, 1.0), (800, 1.0), (900, 1 - (1 - LEAST) / 2), (1000, LEAST)])
def test_a_share_falls_from_the_soft_end_on(gone, share):
    quota = Quota({"t": Budget(2000, 0.8)}, 2)
    quota.period("2026-12", {"t": gone})
    assert quota.share("t") == pytest.approx(share) and quota.left("t") == 1000 - gone
    assert quota.take("t", 1000 - gone) and not quota.take("t", 1)


def test_exports_merge_in_any_order_and_differences_are_explained():
    one, two = [used(1), used(2, resumes=1)], [used(3), used(4, ended="left")]
    wrote = {"r-a-1.0": 10, "r-a-2.0": 4, "r-a-2.1": 9, "r-a-3.0": 7, "r-a-4.0": 10, "r-a-9.0": 5}
    reports = [reconcile.compare(Merged().add(a).add(b).add(a), wrote) for a, b in ((one, two), (two, one))]
    assert reports[0] == reports[1] and reports[0].agree == {"t": 2}
    whys = {each.req: each.why for each in reports[0].differ}
    assert (
        set(whys) == {"r-a-2", "r-a-3", "r-a-9"} and "missing" in whys["r-a-3"] and "killed" in whys["r-a-9"]
    )
    with pytest.raises(ConflictError):
        Merged().add(one).add([used(1, answer=11)])


LEDGER = SCRIPT + "ledger(wait = True)\n"


class Log:
    def __getattr__(self, name):
        return lambda *args, **fields: None


def test_an_answer_ends_only_once_its_entry_is_on_the_disk(tmp_path):
    async def play():
        async with Loopback(tmp_path, text=LEDGER) as loop:
            write = loop._group.create_task(loop.daemon.ledger.write())
            disk = loop.daemon.ledger.journal._disk
            sync = disk.sync
            tries = [
                asyncio.create_task(send_raw(loop.address, http(body("x", stream=True)))) for _ in range(8)
            ]
            answers = await asyncio.gather(*tries)
            assert all(stream_content(answer)[1] == b"[DONE]" for answer in answers)
            kept = usages(loop.daemon.ledger.journal)
            assert len(kept) == 8 and {entry.billed_answer for entry in kept} == {kept[0].sent}

            def full(name):
                raise OSError(28, "No space left on device")

            disk.sync = full
            slow = asyncio.create_task(send_raw(loop.address, http(body("y", stream=True)), within=12))
            await loop.until(lambda: loop.daemon.ledger.unwritable)
            assert b"can't write its ledger" in await send_raw(loop.address, http(body("z")))
            disk.sync = sync
            assert stream_content(await slow)[1] == b"[DONE]"
            await loop.until(lambda: not loop.daemon.ledger.unwritable)
            assert len(usages(loop.daemon.ledger.journal)) == 9
            write.cancel()

    run(play())


def test_a_stop_beside_a_write_under_way_writes_each_entry_once(tmp_path):
    """What waits is taken once the disk is free: the write before may have ended with it."""

    async def play():
        found = Journal(Directory(tmp_path), "one")
        clerk = keeper.Keeper(found, LedgerSettings(), Log(), lambda lost: None)
        begun, may_end, sync = threading.Event(), threading.Event(), found._disk.sync

        def slow(name):
            begun.set()
            may_end.wait(5)
            sync(name)

        found._disk.sync = slow
        write = asyncio.create_task(clerk.write())
        before = [clerk.put(used(number)) for number in range(3)]
        await asyncio.to_thread(begun.wait, 5)
        late = clerk.put(used(3))
        stop = asyncio.create_task(clerk.close())
        await asyncio.sleep(0.01)
        may_end.set()
        await stop
        write.cancel()
        assert all(each.is_set() for each in (*before, late)) and not clerk.unbilled

    run(play())
    assert [entry.id for entry in usages(Journal(Directory(tmp_path), "x"))] == [
        used(number).id for number in range(4)
    ]


def test_a_disk_that_was_full_under_an_export_refuses_no_requests_afterwards(tmp_path):
    """With nothing to write down, no later write would have shown that there is room again."""

    async def play():
        billing = Billing(tmp_path / "billing")
        server = await asyncio.start_server(billing.handle_connection, "127.0.0.1", 0)
        url = "http://{}:{}/batches".format(*server.sockets[0].getsockname()[:2])
        found = Journal(Directory(tmp_path / "ledger"), "one")
        found.append([used(number) for number in range(4)])
        terms, sync, failed = (
            LedgerSettings(export_to=url, export_every=Microseconds(10_000)),
            found._disk.sync,
            [],
        )

        def full(name):
            failed.append(name)
            raise OSError(errno.ENOSPC, "No space left on device")

        found._disk.sync = full
        clerk = keeper.Keeper(found, terms, Log(), lambda lost: None)
        export = asyncio.create_task(clerk.export())
        async with asyncio.timeout(5):
            while len(failed) < 3:
                await asyncio.sleep(0.01)
            found._disk.sync = sync
            while found.book.exported < 4:
                await asyncio.sleep(0.01)
        export.cancel()
        server.close()
        assert not clerk.refuses

    run(play())


def test_a_budget_ends_before_a_req_is_taken(tmp_path):
    async def play():
        text = LEDGER + 'budget("t", tokens = 200, soft = 0.5)\n'
        async with Loopback(tmp_path, text=text) as loop:
            write = loop._group.create_task(loop.daemon.ledger.write())
            ends = [await send_raw(loop.address, http(body("x" * 200, max_tokens=20))) for _ in range(6)]
            status = [int(answer.split()[1]) for answer in ends]
            assert status[0] == 200 and status[-1] == 429 and b"insufficient_quota" in ends[-1]
            assert loop.daemon.billing.shares()["t"] < 1
            assert loop.daemon.ledger.journal.book.used(loop.daemon.ledger.period(), "t") <= 200
            write.cancel()

    run(play())


@pytest.mark.parametrize("kind", ["fails", "silent", "slow"])
def test_batches_land_once_each_whatever_the_billing_system_does(tmp_path, kind, monkeypatch):
    monkeypatch.setattr(book, "BATCH", 7)
    monkeypatch.setattr(export.deliver, "__defaults__", (0.2,))

    async def play():
        billing = Billing(tmp_path / "billing", **{kind: 0.3})
        server = await asyncio.start_server(billing.handle_connection, "127.0.0.1", 0)
        url = "http://{}:{}/batches".format(*server.sockets[0].getsockname()[:2])
        found = Journal(Directory(tmp_path / "ledger"), "one")
        found.append([used(number) for number in range(40)])
        clerk = keeper.Keeper(found, LedgerSettings(export_to=url), Log(), lambda lost: None)
        for _ in range(200):
            if not await clerk.export_one() and not found.book.planned:
                break
        assert found.book.exported >= 40 and not found.book.planned
        merged = Merged()
        for path in (tmp_path / "billing").glob("*.parquet"):
            merged.add(export.entries_of(path))
        assert len(merged.entries) == 40
        said = [line["ev"] for line in lines(tmp_path / "billing" / "billing.jsonl")]
        assert "conflict" not in said and (kind != "fails" or "failed" in said)
        server.close()

    run(play())


def test_two_processes_cannot_have_one_ledger(tmp_path):
    first = keeper.open_journal(tmp_path)
    with pytest.raises(keeper.LockedError):
        keeper.open_journal(tmp_path)
    assert first.name


def test_the_commands(tmp_path):
    found = Journal(Directory(tmp_path / "led"), "one")
    found.append([used(number, tenant="depot") for number in range(5)])
    led = ["--dir", tmp_path / "led"]
    shown = json.loads(lifthead("ledger", "show", *led, "--json").stdout)
    assert shown["sums"] == [
        {
            "period": "2026-12",
            "tenant": "depot",
            "group": "g",
            "reqs": 5,
            "prompt": 500,
            "answer": 50,
            "read_anew": 0,
        }
    ]
    assert lifthead("ledger", "close", "2026-12", *led).returncode == 0
    assert lifthead("ledger", "close", "2026-12", *led).returncode == 2
    fix = [
        "ledger",
        "correct",
        "depot",
        "g",
        "--of",
        "2026-12",
        "--answer",
        "-7",
        "--why",
        "test",
        *led,
        "--json",
    ]
    fixed = json.loads(lifthead(*fix).stdout)
    assert fixed["period"] != "2026-12" and fixed["answer"] == -7
    back = json.loads(
        lifthead("ledger", "correct", "--reverses", fixed["id"], "--why", "no", *led, "--json").stdout
    )
    assert back["answer"] == 7 and back["reverses"] == fixed["id"]
    out = tmp_path / "out"
    assert lifthead("ledger", "export", *led, "--to", out).returncode == 0
    assert len(list(out.glob("*.parquet"))) == 1 and len(list(out.glob("*.json"))) == 1
    assert lifthead("ledger", "verify", *led).returncode == 0
    seg = next(path for path in sorted((tmp_path / "led").glob("seg-*")) if path.stat().st_size > 200)
    data = bytearray(seg.read_bytes())
    data[30] ^= 1
    seg.write_bytes(data)
    damaged = lifthead("ledger", "verify", *led, "--json")
    assert damaged.returncode == 1 and json.loads(damaged.stdout)["missing"] == [[1, 1]]


def kill_round(path, seed):
    """Three routers under load, killed at random in traffic and export; then what billing got, beside the
    rest."""

    async def play():
        chance = random.Random(seed)
        billing = Billing(path / "billing", seed, fails=0.2, silent=0.1, slow=0.02)
        server = await asyncio.start_server(billing.handle_connection, "127.0.0.1", 0)
        url = "http://{}:{}/batches".format(*server.sockets[0].getsockname()[:2])
        text = SCRIPT.replace('router("r", zone = "a")', '[router("r%d" % n, zone = "a") for n in range(3)]')
        text += f'ledger(wait = True, export_to = "{url}", export_every = "150ms")\n'
        file = path / "fleet.star"
        file.write_text(text)
        stage = LocalFleet(script.read(file), file, path, seed)
        seen = []

        async def client(number):
            said = body(f"{seed} {number}", stream=True, max_tokens=30)
            name = chance.choice(sorted(stage.routers) or ["r0"])
            at = stage.router_address(name) if name in stage.routers else "127.0.0.1:1"
            try:
                answer = await send_raw(at, http(said), within=8)
            except (OSError, TimeoutError):
                return
            if b"[DONE]" in answer:
                req = next(
                    line for line in answer.split(b"\r\n") if line.startswith(b"x-request-id:")
                ).split()[1]
                seen.append(
                    (
                        req.decode(),
                        sum(
                            b'"content": "' in part and b'"content": ""' not in part
                            for part in answer.split(b"data: ")
                        ),
                    )
                )

        try:
            await stage.start()
            async with asyncio.TaskGroup() as tasks:
                for number in range(240):
                    tasks.create_task(client(number))
                    await asyncio.sleep(0.012)
                    if number % 60 == 40:
                        name = chance.choice(sorted(stage.routers))
                        await stage.stop_process(name, signal.SIGKILL)
                        tasks.create_task(stage.start_router(name))
            await stage.stop()
        finally:
            await stage.kill_all()
        for at in range(3):  # what the kills left in their ledgers goes out
            done = await asyncio.to_thread(
                lifthead, "ledger", "export", "--dir", path / f"ledger-r{at}", "--to", url
            )
            while done.returncode:
                done = await asyncio.to_thread(
                    lifthead, "ledger", "export", "--dir", path / f"ledger-r{at}", "--to", url
                )
        server.close()
        return seen

    seen = asyncio.run(asyncio.wait_for(play(), 90))
    merged = Merged()
    for found in (path / "billing").glob("*.parquet"):
        merged.add(export.entries_of(found))
    records = lines(path / "billing" / "billing.jsonl")
    assert not [line for line in records if line["ev"] == "conflict"]
    wrote = {
        line["id"]: line["tokens"]
        for found in path.glob("engine-*.jsonl")
        for line in lines(found)
        if line["ev"] == "wrote"
    }
    assert len(seen) > 100
    for (
        req,
        tokens,
    ) in seen:  # each answer that a client has whole is billed, by its own count and the engine's
        assert (
            merged.entries[req].billed_answer == tokens == wrote[f"{req}.{merged.entries[req].forwards - 1}"]
        ), req
    done = {name for name, entry in merged.entries.items() if entry.ended == "done"}
    lost = done - {req for req, _ in seen}
    assert len(lost) <= 24  # sure on the disk, and the router killed before the client had its end
    report = reconcile.compare(merged, wrote)
    assert not [
        each for each in report.differ if each.why in ("not explained", "an engine's count is missing")
    ]
    assert sum(report.agree.values()) >= len(seen)
    return len(seen), len(merged.entries), len(lost)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_three_routers_killed_in_traffic_and_export(tmp_path, seed):
    kill_round(Path(tmp_path), seed)
