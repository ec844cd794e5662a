"""Streams are resumed after the loss of their decode engine: the decisions alone, then over sockets."""

import asyncio
import json
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from loopback import SCRIPT, Loopback, body, http, send_raw
from test_daemon import attempts_at, run, stream_content

from lifthead.engines.codec import ListedEngine, ListUpdate
from lifthead.interface import Idempotency, RequestClass
from lifthead.resume import resume_queue, splice, stall_detector
from lifthead.resume.resume_queue import BrokenStream, DrainingStream, ResumeQueue
from lifthead.resume.splice import SentAnswer, Splice, SpliceError
from lifthead.resume.stall_detector import StallDetector
from lifthead.standins.text import answer as text_of_answer

MS = 1000
S = 1_000_000


def event(content=None, finish=None, **fields):
    delta = {} if content is None else {"content": content}
    return json.dumps(
        {"id": "x", "choices": [{"index": 0, "delta": delta, "finish_reason": finish}], **fields}
    ).encode()


def pieces(text, cuts):
    borders = sorted({0, *(cut % (len(text) + 1) for cut in cuts), len(text)})
    return [text[start:end] for start, end in zip(borders, borders[1:], strict=False)]


def sent_answer(text, cuts=()):
    sent = SentAnswer()
    for piece in pieces(text, cuts):
        sent.add(b"data: " + event(piece) + b"\n\n")
    return sent.parse()


def spliced(splicer, parts):
    texts_sent = []
    for part in parts:
        new = splicer.event(part)
        if new is not None:
            texts_sent += [choice["delta"].get("content") or "" for choice in json.loads(new)["choices"]]
    return "".join(texts_sent)


CUTS = st.lists(st.integers(0, 400), max_size=8)


@given(st.text(min_size=1, max_size=80), st.integers(0, 80), st.integers(0, 80), st.booleans(), CUTS, CUTS)
def test_any_cut_any_repeat_and_any_chunks_give_the_same_text(
    text, cut, repeated, starts_at_known, before, after
):
    cut = min(cut, len(text))
    starts_at = max(cut - repeated, 0) if starts_at_known else None
    sent = sent_answer(text[:cut], before)
    assert sent.text == text[:cut]
    rest = text[cut if starts_at is None else starts_at :]
    splicer = Splice(sent, [], starts_at)
    assert sent.text + spliced(splicer, [event(part) for part in pieces(rest, after)]) == text


@given(st.text("ab", min_size=1, max_size=12), st.integers(0, 12), st.text("ab", max_size=12), CUTS)
def test_a_text_that_does_not_go_on_from_the_answer_so_far_is_an_error(sent, at, rest, cuts):
    at = min(at, len(sent))
    splicer = Splice(sent_answer(sent), [], at)
    try:
        new = spliced(splicer, [*(event(part) for part in pieces(rest, cuts)), event(None, "stop")])
    except SpliceError:
        assert not rest.startswith(sent[at:])
    else:
        assert rest.startswith(sent[at:]) and sent + new == sent[:at] + rest


@pytest.mark.parametrize("starts_at", [-1, 4])
def test_a_start_outside_the_answer_so_far_is_an_error(starts_at):
    with pytest.raises(SpliceError):
        Splice(sent_answer("abc"), [], starts_at)


@pytest.mark.parametrize(
    ("sent", "stop", "parts", "new", "stopped"),
    [
        ("one EN", ["END"], ["D two"], "", True),
        (
            "one EN",
            ["END"],
            ["X two END"],
            "X two END",
            False,
        ),  # the engine sees a stop that it decodes whole
        ("one E", ["END"], ["N", "D", " two"], "N", True),
        ("one", ["END"], ["END two"], "END two", False),
        ("aXY", ["YZW", "XYZ"], ["ZW"], "", True),
    ],
)
def test_a_stop_sequence_across_the_seam_ends_the_answer(sent, stop, parts, new, stopped):
    splicer, text = Splice(sent_answer(sent), stop, None), ""
    for part in parts:
        if not splicer.stopped:
            text += spliced(splicer, [event(part)])
    assert (text, splicer.stopped) == (new, stopped)


def test_id_usage_and_finish_reason_are_those_of_one_stream():
    sent = sent_answer("a b c ", [2, 4])
    splicer = Splice(sent, [], None)
    last = json.loads(splicer.event(event(None, "length", id="other")))
    assert last["id"] == "x" and last["choices"][0]["finish_reason"] == "length"
    engine_usage = {"prompt_tokens": 13, "completion_tokens": 4, "total_tokens": 17}
    usage = json.loads(splicer.event(json.dumps({"choices": [], "usage": engine_usage}).encode()))["usage"]
    assert usage == {"prompt_tokens": 10, "completion_tokens": 7, "total_tokens": 17}
    continued = splice.continuation(body(max_tokens=10), sent)
    assert continued["max_tokens"] == 7 and continued["messages"][-1] == {
        "role": "assistant",
        "content": "a b c ",
    }
    assert continued["continue_final_message"] is True


def test_long_streams_are_kept_as_text_alone():
    sent = SentAnswer()
    for _ in range(3000):
        sent.add(b"data: " + event("word ") + b"\n\n")
    assert sent._size <= splice.COMPACT_AT and sent.parse().text == "word " * 3000 and sent.tokens == 3000


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({}, ""),
        ({"n": 1}, ""),
        ({"response_format": {"type": "text"}}, ""),
        ({"n": 2}, "several choices"),
        ({"response_format": {"type": "json_object"}}, "a bound grammar"),
        ({"continue_final_message": True}, "the client's own continuation"),
    ],
)
def test_which_answers_can_not_be_spliced(fields, reason):
    assert splice.obstacle(body(**fields)) == reason


def fleet(*token_intervals, streams=3, until=2 * S):
    """Engines e0, e1, ... that decode a token every so many microseconds on each of their streams."""
    detector = StallDetector(10 * S)
    for engine, pace in enumerate(token_intervals):
        for number in range(streams):
            detector.started(engine * 100 + number, f"e{engine}", 0)
            for now in range(pace, until + 1, pace):
                detector.progressed(engine * 100 + number, now)
    return detector


@pytest.mark.parametrize("pace", [10 * MS, 40 * MS, 200 * MS])
def test_a_silent_engine_is_detected_by_its_own_pace(pace):
    detector = fleet(pace, pace, pace)
    limit = detector.silence_limit("e0")
    assert stall_detector.MIN_SILENCE <= limit <= max(stall_detector.MIN_SILENCE, 20 * pace)
    for now in range(2 * S, 2 * S + 2 * limit, 10 * MS):  # e1 and e2 go on
        for stream in (100, 101, 102, 200, 201, 202):
            detector.progressed(stream, now)
        if detector.lost_streams(now):
            break
    lost = detector.lost_streams(now)
    assert {loss.stream for loss in lost} == {0, 1, 2} and {loss.cause for loss in lost} == {"engine silent"}
    assert limit < now - 2 * S <= limit + pace + 20 * MS


def test_the_silence_limit_of_a_single_stream_is_longer():
    detector = fleet(20 * MS)
    for now in range(2 * S, 5 * S, 20 * MS):
        detector.progressed(0, now)
        detector.progressed(1, now)
        lost = detector.lost_streams(now)
        if lost:
            break
    assert [(loss.stream, loss.cause) for loss in lost] == [(2, "stream silent")]
    assert now - 2 * S > stall_detector.SINGLE_STREAM_FACTOR * detector.silence_limit("e0")


@pytest.mark.parametrize(("silent", "moved"), [(1, True), (2, True), (3, False), (4, False)])
def test_while_most_engines_are_silent_no_single_one_counts_as_lost(silent, moved):
    detector = fleet(*[20 * MS] * 4)
    now = 2 * S + stall_detector.MIN_SILENCE + 50 * MS
    for engine in range(silent, 4):
        for number in range(3):
            detector.progressed(engine * 100 + number, now)
    assert bool(detector.lost_streams(now)) is moved
    # The longer limit still holds.
    assert detector.lost_streams(now + int(stall_detector.MIN_SILENCE * stall_detector.MOST_SILENT_FACTOR))


@pytest.mark.parametrize("what", ["loop", "client", "ended"])
def test_silences_that_are_not_the_engines_fault(what):
    detector = fleet(20 * MS, 20 * MS, streams=1)
    later = 2 * S + stall_detector.MIN_SILENCE + 100 * MS
    detector.progressed(100, later)
    if what == "loop":
        detector.router_stalled(stall_detector.MIN_SILENCE)
    elif what == "client":
        detector.client_blocked(0)
        assert 0 not in {loss.stream for loss in detector.lost_streams(2 * S + 60 * S)}
        detector.client_unblocked(0, later)
    else:
        detector.ended(0)
    assert not detector.lost_streams(later)


def test_no_stream_is_lost_when_the_whole_fleet_slows_down():
    """All engines decode twenty times slower from one moment on."""
    detector, now = fleet(*[20 * MS] * 6), 2 * S
    moved = 0
    for step in range(400):
        now += 10 * MS
        if step % 40 == 39:
            for stream in [engine * 100 + number for engine in range(6) for number in range(3)]:
                detector.progressed(stream, now)
        moved += len(detector.lost_streams(now))
    assert moved == 0


DEFAULT = RequestClass("g", Idempotency.IDEMPOTENT, "all", 5 * S, S, 0, 8 * S, 50 * MS, 1.0, 0.1)
NON_IDEMPOTENT = RequestClass("o", Idempotency.NON_IDEMPOTENT, "all", 5 * S, S, 0, 8 * S, 50 * MS, 1.0, 0.1)
WITH_KEY = RequestClass("k", Idempotency.WITH_KEY, "zone", 2 * S, S, 0, 8 * S, 50 * MS, 1.0, 0.1)
HEAVY = RequestClass("d", Idempotency.IDEMPOTENT, "all", 5 * S, S, 0, 8 * S, 50 * MS, 3.0, 0.1)


def broken(stream, request_class=DEFAULT, tenant="t", sent_tokens=5, resumes=0, sent_at=0, obstacle="", at=S):
    return BrokenStream(
        stream, tenant, request_class, sent_tokens, 100 + sent_tokens, 50, resumes, sent_at, obstacle, at
    )


@pytest.mark.parametrize(
    ("lost", "reason"),
    [
        (broken(1), ""),
        (broken(1, HEAVY, resumes=resume_queue.MAX_RESUMES - 1), ""),
        (broken(1, resumes=resume_queue.MAX_RESUMES), "placed again"),
        (broken(1, NON_IDEMPOTENT), "non-replayable"),
        (broken(1, WITH_KEY), ""),
        (broken(1, WITH_KEY, at=3 * S), "keyed"),
        (broken(1, obstacle="several choices"), "several choices"),
    ],
)
def test_which_streams_may_be_resumed(lost, reason):
    assert ResumeQueue().add(lost).startswith(reason) and bool(ResumeQueue().add(lost)) == bool(reason)


def test_heavier_request_classes_come_first_then_longer_answers():
    queue = ResumeQueue()
    for lost in (
        broken(1, sent_tokens=9),
        broken(2, HEAVY, sent_tokens=1),
        broken(3, sent_tokens=90),
        broken(4, HEAVY, sent_tokens=7),
    ):
        queue.add(lost)
    assert [each.stream for each in queue.take_next(S)] == [4, 2, 3, 1]


def test_first_token_budgets_and_the_expiry_of_waiting_streams():
    queue = ResumeQueue()
    assert (
        queue.first_token_budget(broken(1), 2 * S) == 7 * S
        and queue.first_token_budget(broken(1, WITH_KEY), int(1.5 * S)) == S // 2
    )
    for number in range(20):
        queue.add(broken(number))
    assert len(queue.take_next(S)) == resume_queue.MIN_IN_FLIGHT and not queue.take_next(S)
    assert (
        not queue.expire(4 * S)
        and len(queue.expire(5 * S)) == 20 - resume_queue.MIN_IN_FLIGHT
        and not queue.waiting_count
    )


@pytest.mark.parametrize(("limit", "moved"), [(0, []), (1, [2]), (9, [2, 1])])
def test_streams_that_would_outlive_a_drain(limit, moved):
    running = [
        DrainingStream(1, 2 * S, 30, 50 * MS, 5),
        DrainingStream(2, 2 * S, 90, 50 * MS, 5),
        DrainingStream(3, 2 * S, 9, 50 * MS, 5),
    ]
    assert resume_queue.streams_to_move(running, S, limit) == moved


class ResumeQueueMachine(RuleBasedStateMachine):
    """Any order of breaks, resumes, ends and passing time, compared with a plain record of the states."""

    @initialize()
    def begin(self):
        self.queue, self.states, self.now = ResumeQueue(), {}, S
        self.broken = {}

    @rule(
        stream=st.integers(0, 30),
        request_class=st.sampled_from([DEFAULT, NON_IDEMPOTENT, WITH_KEY, HEAVY]),
        tenant=st.sampled_from("tuv"),
        resumes=st.integers(0, 4),
    )
    def break_stream(self, stream, request_class, tenant, resumes):
        if self.states.get(stream, "running") == "running":
            lost = broken(stream, request_class, tenant, resumes=resumes, sent_at=self.now - S, at=self.now)
            self.states[stream] = "ended" if self.queue.add(lost) else "waits"
            self.broken[stream] = lost

    @rule(running=st.integers(0, 200))
    def resume(self, running):
        self.queue.running_streams = running
        taken = self.queue.take_next(self.now)
        for each in taken:
            assert self.states[each.stream] == "waits" and each.request_class is not NON_IDEMPOTENT
            self.states[each.stream] = "in flight"
        assert (
            len([1 for state in self.states.values() if state == "in flight"]) <= self.queue.max_in_flight
            or not taken
        )

    @rule(stream=st.integers(0, 30), to=st.sampled_from(["running", "ended"]))
    def settle(self, stream, to):
        if self.states.get(stream) in ("in flight", "waits"):
            self.queue.remove(stream)
            self.states[stream] = to

    @rule(passed=st.integers(1, 5 * S))
    def pass_time(self, passed):
        self.now += passed
        for each in self.queue.expire(self.now):
            assert self.states[each.stream] == "waits" and self.now >= self.queue.waits_until(each)
            self.states[each.stream] = "ended"
        waiting = [self.broken[stream] for stream, state in self.states.items() if state == "waits"]
        assert all(self.now < self.queue.waits_until(each) for each in waiting)

    @invariant()
    def records_agree(self):
        if hasattr(self, "states"):
            assert self.queue.waiting_count == sum(state == "waits" for state in self.states.values())
            assert set(self.queue._in_flight) == {
                stream for stream, state in self.states.items() if state == "in flight"
            }


TestResumeQueue = ResumeQueueMachine.TestCase
TestResumeQueue.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)


THREE = SCRIPT.replace('router("r"', 'engine("wr3", zone = "a", kind = "writer")\nrouter("r"')


def expected(request):
    return "".join(text_of_answer(request["messages"], request.get("max_tokens", 64)))


@pytest.mark.parametrize("how", ["reset", "silent", "twice", "overlap"])
def test_a_resumed_stream_repeats_and_skips_no_character(tmp_path, how):
    async def scenario():
        names = ("rd", "wr", "wr2", "wr3")
        async with Loopback(tmp_path, engines=names, text=THREE) as loop:
            requests = [body(f"question {n}", stream=True, max_tokens=300) for n in range(12)]
            if how == "overlap":
                for name in names:
                    loop.fault(name, "overlap", lasts=20)
            loop.fault("wr", "reset", lasts=0.4 if how != "silent" else 0.0)
            attempts = [
                asyncio.create_task(send_raw(loop.address, http(request), within=15)) for request in requests
            ]
            await asyncio.sleep(0.25)
            if how == "silent":
                loop.fault("wr", "silent", lasts=3.0)  # and then it decodes on
            if how == "twice":
                loop.fault("wr2", "reset", lasts=0.5, part=0.7)
                for stream in list(loop.engines["wr2"].running_streams)[::2]:
                    stream.reset_after = stream.sent_tokens + 5
            for request, answer in zip(requests, await asyncio.gather(*attempts), strict=True):
                answer_text, last, _ = stream_content(answer)
                assert last == b"[DONE]" and answer_text == expected(request)
            attempts_seen = len(attempts_at(loop, *names))
            assert (
                attempts_seen > 12
                and not loop.daemon.host.pending_requests
                and not loop.daemon.host._running_streams
            )

    run(scenario())


@pytest.mark.parametrize("case", ["non-replayable", "several choices", "no decode engine left", "off"])
def test_a_stream_that_can_not_be_resumed_ends_with_an_error_at_once(tmp_path, case):
    async def scenario():
        engines = ("rd", "wr") if case == "no decode engine left" else ("rd", "wr", "wr2")
        text = SCRIPT.replace("rules(", "rules(resume = False, ") if case == "off" else SCRIPT
        async with Loopback(tmp_path, engines=engines, text=text) as loop:
            fields = {"n": 2} if case == "several choices" else {}
            model = "once" if case == "non-replayable" else "m"
            for name in engines:
                loop.fault(name, "reset", lasts=20)
            began, ends = time.monotonic(), []
            for number in range(6):
                request = body(str(number), model=model, stream=True, max_tokens=300, **fields)
                answer = await send_raw(loop.address, http(request))
                if b"event-stream" in answer:
                    ends.append(stream_content(answer)[1])
            assert sum(b"stream_broken" in end for end in ends) > 2
            assert all(
                b"stream_broken" in end or end == b"[DONE]" for end in ends
            )  # an answer may be whole before the reset
            assert time.monotonic() - began < 4 and not loop.daemon.host.pending_requests

    run(scenario())


@pytest.mark.parametrize("case", ["non-replayable", "off", "off, draining"])
def test_a_stream_that_can_not_be_resumed_is_left_to_its_engine(tmp_path, case):
    """Its decode engine is silent for a while, or drains with a deadline: cutting the stream breaks it."""

    async def scenario():
        text = SCRIPT.replace("rules(", "rules(resume = False, ") if "off" in case else SCRIPT
        text = text.replace('stalled_for = "600ms"', 'stalled_for = "6s"')
        async with Loopback(tmp_path, engines=("rd", "wr", "wr2"), text=text) as loop:
            request = body(
                "wait", model="once" if case == "non-replayable" else "m", stream=True, max_tokens=300
            )
            answer = asyncio.create_task(send_raw(loop.address, http(request), within=15))
            await loop.until(
                lambda: loop.engines["wr"].running_streams or loop.engines["wr2"].running_streams
            )
            for name in ("wr", "wr2"):
                if "draining" in case:
                    loop.fault(name, "slow", lasts=1.0, times=8.0)
                else:
                    loop.fault(name, "silent", lasts=1.0 if loop.engines[name].running_streams else 0.0)
            if "draining" in case:
                drains_by = time.time_ns() // 1000 + 200_000
                loop.daemon.host.on_engine_list(
                    ListUpdate(
                        False,
                        [
                            ListedEngine(
                                name,
                                loop.engine_addresses[name],
                                "a",
                                0,
                                "writer",
                                readiness="draining",
                                drains_by=drains_by,
                            )
                            for name in ("wr", "wr2")
                        ],
                    )
                )
            answer_text, last, _ = stream_content(await answer)
            assert last == b"[DONE]" and answer_text == expected(request)
            assert len(attempts_at(loop, "wr", "wr2")) == 1

    run(scenario())


def test_a_client_that_leaves_while_its_stream_waits_to_be_resumed(tmp_path):
    async def scenario():
        async with Loopback(tmp_path, engines=("rd", "wr", "wr2")) as loop:
            loop.daemon.host.resumptions.take_next = lambda now: []  # no stream may be resumed now
            loop.fault("wr", "reset", lasts=20)
            loop.fault("wr2", "reset", lasts=20)
            _, writer = await asyncio.open_connection(*loop.address.split(":"))
            writer.write(http(body("x", stream=True, max_tokens=300)))
            await loop.until(lambda: loop.daemon.host.resumptions.waiting_count == 1)
            writer.close()
            await loop.until(lambda: not loop.daemon.host.pending_requests, 1.0)
            assert not loop.daemon.host.resumptions.waiting_count and not loop.daemon.host._running_streams

    run(scenario())


def test_a_drain_with_a_deadline_moves_the_streams_that_would_outlive_it(tmp_path):
    async def scenario():
        async with Loopback(tmp_path, engines=("rd", "wr", "wr2")) as loop:
            requests = [body(f"drain {n}", stream=True, max_tokens=300) for n in range(6)]
            for name in ("wr", "wr2"):
                loop.fault(name, "slow", lasts=20, times=4.0)
            attempts = [
                asyncio.create_task(send_raw(loop.address, http(request), within=25)) for request in requests
            ]
            await asyncio.sleep(0.6)
            assert loop.engines["wr"].running_streams
            drains_by = time.time_ns() // 1000 + 500_000
            loop.daemon.host.on_engine_list(
                ListUpdate(
                    False,
                    [
                        ListedEngine(
                            "wr",
                            loop.engine_addresses["wr"],
                            "a",
                            0,
                            "writer",
                            readiness="draining",
                            drains_by=drains_by,
                        )
                    ],
                )
            )
            await loop.until(lambda: not loop.engines["wr"].running_streams, 1.0)
            for name in ("wr", "wr2"):
                loop.engines[name].faults.clear()
            for request, answer in zip(requests, await asyncio.gather(*attempts), strict=True):
                answer_text, last, _ = stream_content(answer)
                assert last == b"[DONE]" and answer_text == expected(request)

    run(scenario())
