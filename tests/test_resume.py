"""Streams that outlive a writer: the decisions by themselves, then on sockets."""

import asyncio
import json
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from loopback import SCRIPT, Loopback, body, http, send_raw
from test_daemon import attempts_at, run, stream_content

from lifthead.engines.codec import ListedEngine, ListNews
from lifthead.interface import Effect, EndpointGroup
from lifthead.resume import notice, rescue, splice
from lifthead.resume.notice import Notice
from lifthead.resume.rescue import Broken, Draining, Rescue
from lifthead.resume.splice import SeamError, Splice, Written
from lifthead.standins.text import answer as text_of_answer

MS = 1000
S = 1_000_000


def event(content=None, finish=None, **more):
    delta = {} if content is None else {"content": content}
    return json.dumps(
        {"id": "x", "choices": [{"index": 0, "delta": delta, "finish_reason": finish}], **more}
    ).encode()


def pieces(text, cuts):
    places = sorted({0, *(cut % (len(text) + 1) for cut in cuts), len(text)})
    return [text[start:end] for start, end in zip(places, places[1:], strict=False)]


def written(text, cuts=()):
    made = Written()
    for piece in pieces(text, cuts):
        made.add(b"data: " + event(piece) + b"\n\n")
    return made.settle()


def spliced(seam, parts):
    found = []
    for part in parts:
        new = seam.event(part)
        if new is not None:
            found += [choice["delta"].get("content") or "" for choice in json.loads(new)["choices"]]
    return "".join(found)


CUTS = st.lists(st.integers(0, 400), max_size=8)


@given(st.text(min_size=1, max_size=80), st.integers(0, 80), st.integers(0, 80), st.booleans(), CUTS, CUTS)
def test_any_cut_any_repeat_any_chunks_give_the_same_text(text, cut, back, told, before, after):
    cut = min(cut, len(text))
    starts_at = max(cut - back, 0) if told else None
    sent = written(text[:cut], before)
    assert sent.text == text[:cut]
    rest = text[cut if starts_at is None else starts_at :]
    seam = Splice(sent, [], starts_at)
    assert sent.text + spliced(seam, [event(part) for part in pieces(rest, after)]) == text


@given(st.text("ab", min_size=1, max_size=12), st.integers(0, 12), st.text("ab", max_size=12), CUTS)
def test_a_seam_that_does_not_fit_is_never_papered_over(sent, at, rest, cuts):
    at = min(at, len(sent))
    seam = Splice(written(sent), [], at)
    try:
        new = spliced(seam, [*(event(part) for part in pieces(rest, cuts)), event(None, "stop")])
    except SeamError:
        assert not rest.startswith(sent[at:])
    else:
        assert rest.startswith(sent[at:]) and sent + new == sent[:at] + rest


@pytest.mark.parametrize("starts_at", [-1, 4])
def test_a_start_outside_the_answer_so_far(starts_at):
    with pytest.raises(SeamError):
        Splice(written("abc"), [], starts_at)


@pytest.mark.parametrize(
    ("sent", "stop", "parts", "new", "stopped"),
    [
        ("one EN", ["END"], ["D two"], "", True),
        ("one EN", ["END"], ["X two END"], "X two END", False),  # the engine sees its own
        ("one E", ["END"], ["N", "D", " two"], "N", True),
        ("one", ["END"], ["END two"], "END two", False),
        ("aXY", ["YZW", "XYZ"], ["ZW"], "", True),
    ],
)
def test_a_stop_sequence_that_lies_over_the_seam(sent, stop, parts, new, stopped):
    seam, found = Splice(written(sent), stop, None), ""
    for part in parts:
        if not seam.stopped:
            found += spliced(seam, [event(part)])
    assert (found, seam.stopped) == (new, stopped)


def test_head_usage_and_finish_come_out_as_of_one_stream():
    sent = written("a b c ", [2, 4])
    seam = Splice(sent, [], None)
    last = json.loads(seam.event(event(None, "length", id="other")))
    assert last["id"] == "x" and last["choices"][0]["finish_reason"] == "length"
    said = {"prompt_tokens": 13, "completion_tokens": 4, "total_tokens": 17}
    usage = json.loads(seam.event(json.dumps({"choices": [], "usage": said}).encode()))["usage"]
    assert usage == {"prompt_tokens": 10, "completion_tokens": 7, "total_tokens": 17}
    asked = splice.continuation(body(max_tokens=10), sent)
    assert asked["max_tokens"] == 7 and asked["messages"][-1] == {"role": "assistant", "content": "a b c "}
    assert asked["continue_final_message"] is True


def test_long_streams_are_kept_as_text_alone():
    sent = Written()
    for _ in range(3000):
        sent.add(b"data: " + event("word ") + b"\n\n")
    assert sent._size <= splice.COMPACT_AT and sent.settle().text == "word " * 3000 and sent.tokens == 3000


@pytest.mark.parametrize(
    ("more", "said"),
    [
        ({}, ""),
        ({"n": 1}, ""),
        ({"response_format": {"type": "text"}}, ""),
        ({"n": 2}, "several choices"),
        ({"response_format": {"type": "json_object"}}, "a bound grammar"),
        ({"continue_final_message": True}, "the client's own continuation"),
    ],
)
def test_what_can_not_be_put_together(more, said):
    assert splice.obstacle(body(**more)) == said


def fleet(*paces, streams=3, until=2 * S):
    """Engines e0, e1, ... that write a token every so many microseconds on each of their streams."""
    watch = Notice(10 * S)
    for at, pace in enumerate(paces):
        for number in range(streams):
            watch.begun(at * 100 + number, f"e{at}", 0)
            for now in range(pace, until + 1, pace):
                watch.text(at * 100 + number, now)
    return watch


@pytest.mark.parametrize("pace", [10 * MS, 40 * MS, 200 * MS])
def test_a_silent_engine_is_noticed_by_its_own_pace(pace):
    watch = fleet(pace, pace, pace)
    patience = watch.patience("e0")
    assert notice.FLOOR <= patience <= max(notice.FLOOR, 20 * pace)
    for now in range(2 * S, 2 * S + 2 * patience, 10 * MS):  # e1 and e2 go on
        for stream in (100, 101, 102, 200, 201, 202):
            watch.text(stream, now)
        if watch.lost(now):
            break
    lost = watch.lost(now)
    assert {loss.stream for loss in lost} == {0, 1, 2} and {loss.cause for loss in lost} == {"engine silent"}
    assert patience < now - 2 * S <= patience + pace + 20 * MS


def test_a_single_silent_stream_waits_longer():
    watch = fleet(20 * MS)
    for now in range(2 * S, 5 * S, 20 * MS):
        watch.text(0, now)
        watch.text(1, now)
        lost = watch.lost(now)
        if lost:
            break
    assert [(loss.stream, loss.cause) for loss in lost] == [(2, "stream silent")]
    assert now - 2 * S > notice.ONE_OF_MANY * watch.patience("e0")


@pytest.mark.parametrize(("silent", "moved"), [(1, True), (2, True), (3, False), (4, False)])
def test_most_of_a_fleet_silent_at_once_says_nothing_of_one(silent, moved):
    watch = fleet(*[20 * MS] * 4)
    now = 2 * S + notice.FLOOR + 50 * MS
    for at in range(silent, 4):
        for number in range(3):
            watch.text(at * 100 + number, now)
    assert bool(watch.lost(now)) is moved
    assert watch.lost(now + int(notice.FLOOR * notice.ALL_SILENT))  # but the last bound holds


@pytest.mark.parametrize("what", ["loop", "client", "ended"])
def test_what_is_not_the_writers_silence(what):
    watch = fleet(20 * MS, 20 * MS, streams=1)
    later = 2 * S + notice.FLOOR + 100 * MS
    watch.text(100, later)
    if what == "loop":
        watch.stalled(notice.FLOOR)
    elif what == "client":
        watch.rests(0)
        assert 0 not in {loss.stream for loss in watch.lost(2 * S + 60 * S)}
        watch.goes_on(0, later)
    else:
        watch.ended(0)
    assert not watch.lost(later)


def test_a_fleet_that_slows_down_is_not_moved_in_a_storm():
    """All writers write twenty times slower, then go on so: no stream is lost."""
    watch, now = fleet(*[20 * MS] * 6), 2 * S
    moved = 0
    for step in range(400):
        now += 10 * MS
        if step % 40 == 39:
            for stream in [at * 100 + number for at in range(6) for number in range(3)]:
                watch.text(stream, now)
        moved += len(watch.lost(now))
    assert moved == 0


GROUP = EndpointGroup("g", Effect.REPLAYABLE, "all", 5 * S, S, 0, 8 * S, 50 * MS, 1.0, 0.1)
ONCE = EndpointGroup("o", Effect.NON_REPLAYABLE, "all", 5 * S, S, 0, 8 * S, 50 * MS, 1.0, 0.1)
KEYED = EndpointGroup("k", Effect.KEYED, "zone", 2 * S, S, 0, 8 * S, 50 * MS, 1.0, 0.1)
DEAR = EndpointGroup("d", Effect.REPLAYABLE, "all", 5 * S, S, 0, 8 * S, 50 * MS, 3.0, 0.1)


def broken(stream, group=GROUP, tenant="t", written=5, times=0, ran_at=0, obstacle="", at=S):
    return Broken(stream, tenant, group, written, 100 + written, 50, times, ran_at, obstacle, at)


@pytest.mark.parametrize(
    ("lost", "said"),
    [
        (broken(1), ""),
        (broken(1, DEAR, times=rescue.MOST_FOR_REQ - 1), ""),
        (broken(1, times=rescue.MOST_FOR_REQ), "placed again"),
        (broken(1, ONCE), "non-replayable"),
        (broken(1, KEYED), ""),
        (broken(1, KEYED, at=3 * S), "keyed"),
        (broken(1, obstacle="several choices"), "several choices"),
    ],
)
def test_which_streams_may_be_placed_again(lost, said):
    assert Rescue().lost(lost).startswith(said) and bool(Rescue().lost(lost)) == bool(said)


def test_the_important_come_first_then_what_was_paid_for():
    keeper = Rescue()
    for lost in (
        broken(1, written=9),
        broken(2, DEAR, written=1),
        broken(3, written=90),
        broken(4, DEAR, written=7),
    ):
        keeper.lost(lost)
    assert [each.stream for each in keeper.next(S)] == [4, 2, 3, 1]


def test_budgets_and_the_end_of_waiting():
    keeper = Rescue()
    assert (
        keeper.budget(broken(1), 2 * S) == 7 * S and keeper.budget(broken(1, KEYED), int(1.5 * S)) == S // 2
    )
    for number in range(20):
        keeper.lost(broken(number))
    assert len(keeper.next(S)) == rescue.AT_ONCE and not keeper.next(S)
    assert (
        not keeper.too_late(4 * S)
        and len(keeper.too_late(5 * S)) == 20 - rescue.AT_ONCE
        and not keeper.waiting
    )


@pytest.mark.parametrize(("room", "moved"), [(0, []), (1, [2]), (9, [2, 1])])
def test_streams_that_would_outlive_a_drain(room, moved):
    going = [
        Draining(1, 2 * S, 30, 50 * MS, 5),
        Draining(2, 2 * S, 90, 50 * MS, 5),
        Draining(3, 2 * S, 9, 50 * MS, 5),
    ]
    assert rescue.to_move(going, S, room) == moved


class RescueMachine(RuleBasedStateMachine):
    """Any order of breaks, placings, ends and time, beside a plain account of where each stream is."""

    @initialize()
    def begin(self):
        self.keeper, self.at, self.now = Rescue(), {}, S
        self.lost_ones = {}

    @rule(
        stream=st.integers(0, 30),
        group=st.sampled_from([GROUP, ONCE, KEYED, DEAR]),
        tenant=st.sampled_from("tuv"),
        times=st.integers(0, 4),
    )
    def breaks(self, stream, group, tenant, times):
        if self.at.get(stream, "running") == "running":
            lost = broken(stream, group, tenant, times=times, ran_at=self.now - S, at=self.now)
            self.at[stream] = "ended" if self.keeper.lost(lost) else "waits"
            self.lost_ones[stream] = lost

    @rule(running=st.integers(0, 200))
    def place(self, running):
        self.keeper.running = running
        placed = self.keeper.next(self.now)
        for each in placed:
            assert self.at[each.stream] == "waits" and each.group is not ONCE
            self.at[each.stream] = "placing"
        assert len([1 for at in self.at.values() if at == "placing"]) <= self.keeper.places or not placed

    @rule(stream=st.integers(0, 30), to=st.sampled_from(["running", "ended"]))
    def settles(self, stream, to):
        if self.at.get(stream) in ("placing", "waits"):
            self.keeper.settled(stream)
            self.at[stream] = to

    @rule(passed=st.integers(1, 5 * S))
    def time_goes_by(self, passed):
        self.now += passed
        for each in self.keeper.too_late(self.now):
            assert self.at[each.stream] == "waits" and self.now >= self.keeper.latest(each)
            self.at[each.stream] = "ended"
        waiting = [self.lost_ones[stream] for stream, at in self.at.items() if at == "waits"]
        assert all(self.now < self.keeper.latest(each) for each in waiting)

    @invariant()
    def accounts_agree(self):
        if hasattr(self, "at"):
            assert self.keeper.waiting == sum(at == "waits" for at in self.at.values())
            assert set(self.keeper._placing) == {stream for stream, at in self.at.items() if at == "placing"}


TestRescue = RescueMachine.TestCase
TestRescue.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)


THREE = SCRIPT.replace('router("r"', 'engine("wr3", zone = "a", kind = "writer")\nrouter("r"')


def expected(said):
    return "".join(text_of_answer(said["messages"], said.get("max_tokens", 64)))


@pytest.mark.parametrize("how", ["reset", "silent", "twice", "overlap"])
def test_a_stream_goes_on_without_a_character_repeated_or_skipped(tmp_path, how):
    async def play():
        names = ("rd", "wr", "wr2", "wr3")
        async with Loopback(tmp_path, engines=names, text=THREE) as loop:
            says = [body(f"question {n}", stream=True, max_tokens=300) for n in range(12)]
            if how == "overlap":
                for name in names:
                    loop.fault(name, "overlap", lasts=20)
            loop.fault("wr", "reset", lasts=0.4 if how != "silent" else 0.0)
            tries = [asyncio.create_task(send_raw(loop.address, http(said), within=15)) for said in says]
            await asyncio.sleep(0.25)
            if how == "silent":
                loop.fault("wr", "silent", lasts=3.0)  # and then it wakes
            if how == "twice":
                loop.fault("wr2", "reset", lasts=0.5, part=0.7)
                for stream in list(loop.engines["wr2"].running)[::2]:
                    stream.reset_after = stream.sent + 5
            for said, answer in zip(says, await asyncio.gather(*tries), strict=True):
                words, last, _ = stream_content(answer)
                assert last == b"[DONE]" and words == expected(said)
            legs = len(attempts_at(loop, *names))
            assert (
                legs > 12 and not loop.daemon.host.pending_requests and not loop.daemon.host._running_streams
            )

    run(play())


@pytest.mark.parametrize("case", ["non-replayable", "several choices", "no writer left", "off"])
def test_what_can_not_go_on_ends_cleanly_and_at_once(tmp_path, case):
    async def play():
        engines = ("rd", "wr") if case == "no writer left" else ("rd", "wr", "wr2")
        text = SCRIPT.replace("rules(", "rules(resume = False, ") if case == "off" else SCRIPT
        async with Loopback(tmp_path, engines=engines, text=text) as loop:
            more = {"n": 2} if case == "several choices" else {}
            model = "once" if case == "non-replayable" else "m"
            for name in engines:
                loop.fault(name, "reset", lasts=20)
            began, ends = time.monotonic(), []
            for number in range(6):
                said = body(str(number), model=model, stream=True, max_tokens=300, **more)
                answer = await send_raw(loop.address, http(said))
                if b"event-stream" in answer:
                    ends.append(stream_content(answer)[1])
            assert sum(b"stream_broken" in end for end in ends) > 2
            assert all(b"stream_broken" in end or end == b"[DONE]" for end in ends)  # whole before its reset
            assert time.monotonic() - began < 4 and not loop.daemon.host.pending_requests

    run(play())


@pytest.mark.parametrize("case", ["non-replayable", "off", "off, draining"])
def test_a_stream_that_could_not_go_on_elsewhere_is_left_to_its_writer(tmp_path, case):
    """Its writer is silent for a while, or drains with a time limit: to cut it would only break it."""

    async def play():
        text = SCRIPT.replace("rules(", "rules(resume = False, ") if "off" in case else SCRIPT
        text = text.replace('stalled_for = "600ms"', 'stalled_for = "6s"')
        async with Loopback(tmp_path, engines=("rd", "wr", "wr2"), text=text) as loop:
            said = body(
                "wait", model="once" if case == "non-replayable" else "m", stream=True, max_tokens=300
            )
            answer = asyncio.create_task(send_raw(loop.address, http(said), within=15))
            await loop.until(lambda: loop.engines["wr"].running or loop.engines["wr2"].running)
            for name in ("wr", "wr2"):
                if "draining" in case:
                    loop.fault(name, "slow", lasts=1.0, times=8.0)
                else:
                    loop.fault(name, "silent", lasts=1.0 if loop.engines[name].running else 0.0)
            if "draining" in case:
                by = time.time_ns() // 1000 + 200_000
                loop.daemon.host.on_engine_list(
                    ListNews(
                        False,
                        [
                            ListedEngine(
                                name,
                                loop.engine_addresses[name],
                                "a",
                                0,
                                "writer",
                                readiness="draining",
                                drains_by=by,
                            )
                            for name in ("wr", "wr2")
                        ],
                    )
                )
            words, last, _ = stream_content(await answer)
            assert last == b"[DONE]" and words == expected(said)
            assert len(attempts_at(loop, "wr", "wr2")) == 1

    run(play())


def test_a_client_that_leaves_while_its_stream_waits(tmp_path):
    async def play():
        async with Loopback(tmp_path, engines=("rd", "wr", "wr2")) as loop:
            loop.daemon.host.resumptions.next = lambda now: []  # no place is free
            loop.fault("wr", "reset", lasts=20)
            loop.fault("wr2", "reset", lasts=20)
            _, writer = await asyncio.open_connection(*loop.address.split(":"))
            writer.write(http(body("x", stream=True, max_tokens=300)))
            await loop.until(lambda: loop.daemon.host.resumptions.waiting == 1)
            writer.close()
            await loop.until(lambda: not loop.daemon.host.pending_requests, 1.0)
            assert not loop.daemon.host.resumptions.waiting and not loop.daemon.host._running_streams

    run(play())


def test_a_drain_with_a_time_limit_moves_the_streams_that_would_outlive_it(tmp_path):
    async def play():
        async with Loopback(tmp_path, engines=("rd", "wr", "wr2")) as loop:
            says = [body(f"drain {n}", stream=True, max_tokens=300) for n in range(6)]
            for name in ("wr", "wr2"):
                loop.fault(name, "slow", lasts=20, times=4.0)
            tries = [asyncio.create_task(send_raw(loop.address, http(said), within=25)) for said in says]
            await asyncio.sleep(0.6)
            assert loop.engines["wr"].running
            by = time.time_ns() // 1000 + 500_000
            loop.daemon.host.on_engine_list(
                ListNews(
                    False,
                    [
                        ListedEngine(
                            "wr",
                            loop.engine_addresses["wr"],
                            "a",
                            0,
                            "writer",
                            readiness="draining",
                            drains_by=by,
                        )
                    ],
                )
            )
            await loop.until(lambda: not loop.engines["wr"].running, 1.0)
            for name in ("wr", "wr2"):
                loop.engines[name].faults.clear()
            for said, answer in zip(says, await asyncio.gather(*tries), strict=True):
                words, last, _ = stream_content(answer)
                assert last == b"[DONE]" and words == expected(said)

    run(play())
