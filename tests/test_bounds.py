"""Numbers from outside that are valid in form and absurd in size."""

import asyncio
import json
from dataclasses import replace

import pytest
from helpers import RecordingHost, entry
from hypothesis import given, settings
from hypothesis import strategies as st
from onenode import PREFILLED, SETTINGS, STREAM, Client, Engine, chat, exchange, run_with_node

from lifthead.bounds import MAX_LOAD_FIGURE, MAX_TOKENS
from lifthead.chat import codec as chat_codec
from lifthead.engines import codec
from lifthead.http1 import HttpError, RequestParser
from lifthead.instance_settings import MalformedError, flatten, int_field, parse_deployment
from lifthead.interface import AttemptOutcome, LoadReport, RequestSpec
from lifthead.node import clients, engines
from lifthead.node.discovery import MalformedUpdateError, parse_update

ABSURD = 10**400
ABSURD_FIGURES = ["1e306", "1e999", "inf", "nan", "-1", "9" * 400]


def chat_body(max_tokens, prompt=300):
    messages = [{"role": "user", "content": "x" * (4 * prompt)}]
    return json.dumps({"model": "m", "stream": True, "max_tokens": max_tokens, "messages": messages}).encode()


def test_a_request_for_an_absurd_number_of_tokens_costs_no_other_client_its_answer():
    """Guards against review/1: one client's `max_tokens` of 10^400 made every routing decision raise, which
    closed the connections of all other clients without an answer."""

    async def scenario(node):
        absurd = chat(300, trace="bad", body=chat_body(ABSURD), X_Props="prompt_len=300")
        async with Client(node.address) as bad_client:
            await bad_client.send(absurd)
            await asyncio.sleep(0.05)
            usual = [exchange(node.address, chat(300, trace=f"usual{number}")) for number in range(8)]
            answers = await asyncio.gather(*usual)
            return (await bad_client.answer())[0], [(status, whole) for status, _, _, whole in answers]

    decode_engines = {f"w{number}": Engine([0.3, STREAM]) for number in range(3)}
    answers = run_with_node(scenario, rd1=Engine([PREFILLED]), **decode_engines)
    assert answers == (400, [(200, True)] * 8)


@pytest.mark.parametrize("max_tokens", [MAX_TOKENS, 10_000_000])
def test_requests_for_the_most_tokens_allowed_cause_no_rejection_of_others(max_tokens):
    """Guards against a flood-like effect of review/1 within its bound: a few such requests made all engines
    look overloaded for as long as they ran."""
    host = RecordingHost(entry("R1"), *(entry(f"W{n}") for n in range(3)))
    for _ in range(20):
        host.serve()
    for number in range(100, 103):
        host.router.on_request(
            RequestSpec(number, "chat", "t", 8_000_000, 100, max_tokens, "", "", 0, 0, False)
        )
    requests = [host.request(prompt) for prompt in (6000, 100, 6000, 100)]
    assert [host.final_answers(request) for request in requests] == [[]] * 4


@pytest.mark.parametrize(("told", "counted"), [("99", 99), ("100", 100), ("999999999", 100)])
def test_a_shared_prefix_is_no_longer_than_its_prompt(told, counted):
    """A prefix of 10^9 tokens made an engine look as if it cached all prompts of that prefix."""
    parser = RequestParser(clients.MAX_HEAD_BYTES, clients.MAX_BODY_BYTES)
    parser.feed(chat(100, X_Props=f"prefix=5c0f,prompt_len=100,prefix_len={told}"))
    request_classes = parse_deployment(flatten(SETTINGS)).request_classes
    assert clients.parse_request(parser.next_request(), 1, request_classes).prefix_tokens == counted


@pytest.mark.parametrize("cached", [-ABSURD, -1, MAX_TOKENS + 1, ABSURD])
def test_an_absurd_count_of_cached_tokens_counts_as_none(cached):
    body = json.dumps({"cached_tokens": cached}).encode()
    usage = {"prompt_tokens_details": {"cached_tokens": cached}, "completion_tokens": cached}
    event = b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\n"
    node_stream, daemon_stream = engines.EventStream(), codec.EventStream()
    node_stream.feed(event)
    daemon_stream.feed(event)
    assert engines.cached_tokens_in(body) == node_stream.cached_tokens == 0
    assert codec.cached_tokens(daemon_stream.usage) == codec.completion_tokens(daemon_stream.usage) == 0


@pytest.mark.parametrize("figure", [*ABSURD_FIGURES, str(2 * MAX_LOAD_FIGURE)])
def test_an_absurd_figure_of_a_load_report_is_left_out(figure):
    """Guards against `x1=1e306`: after such a report every later request failed in the decision module."""
    assert engines.parse_load_report(f"TEXT rif=2, x1={figure}") == LoadReport(in_flight=2)
    text = f"TEXT named_metrics.prompt_tokens_waiting={figure},named_metrics.num_requests_waiting=3"
    report = codec.parse_load_report({"endpoint-load-metrics": text})
    assert (report.queued, report.prefill_backlog_thousands) == (3, None)


@pytest.mark.parametrize("field", ["max_tokens", "max_completion_tokens"])
def test_the_chat_api_refuses_an_absurd_number_of_tokens(field):
    body = {"model": "m", "messages": [{"role": "user", "content": "x"}], field: ABSURD}
    with pytest.raises(Exception, match=field):
        chat_codec._decode(json.dumps(body).encode())


def test_a_list_with_an_absurd_version_or_time_is_malformed():
    with pytest.raises(MalformedUpdateError):
        parse_update(b'{"rev":%d,"all":true,"targets":[]}' % ABSURD)
    listed = {"name": "e", "address": "127.0.0.1:1", "zone": "a", "cell": 0, "kind": "D", "drains_by": ABSURD}
    with pytest.raises(codec.ProtocolError):
        codec.parse_list_update(json.dumps({"whole": True, "engines": [listed]}).encode())


@pytest.mark.parametrize("text", ["1e300", "9" * 400, "-" + "9" * 400])
def test_an_absurd_setting_is_refused(text):
    with pytest.raises(MalformedError):
        int_field({"KvTokens": text}, "KvTokens")


@pytest.mark.parametrize("digits", [10, 5000])
def test_an_absurd_offset_of_a_resumed_answer_is_malformed(digits):
    with pytest.raises(codec.ProtocolError):
        codec.continues_at({codec.CONTINUES_AT: "9" * digits})


@pytest.mark.parametrize("index", [-1, chat_codec.MAX_TOOL_CALLS, ABSURD])
def test_an_absurd_index_of_a_tool_call_is_malformed(index):
    """Without a bound an answer was padded with empty tool calls up to the index."""
    event = {"choices": [{"delta": {"tool_calls": [{"index": index, "id": "c"}]}}]}
    with pytest.raises(HttpError):
        chat_codec.AnswerAssembler().add(json.dumps(event).encode())


TOKENS = st.sampled_from([0, 1, 4095, 4096, 65_536])
OUTPUT_TOKENS = st.sampled_from([0, 1, 100_000, MAX_TOKENS])
CACHED_TOKENS = st.sampled_from([0, 1, 5000, MAX_TOKENS])
FIGURES = st.none() | st.sampled_from([0.0, 5e-324, 1e-9, 0.5, 1.0, 1000.0, MAX_LOAD_FIGURE])
REPORTS = st.none() | st.builds(LoadReport, FIGURES, FIGURES, FIGURES, FIGURES, FIGURES)
WEIGHTS = st.sampled_from([0.0, 5e-324, 1e-9, 1.0, 1e18, 1e308])
START_TIMES = st.sampled_from([0, 1, 99_999_999, 1 << 62])
REQUESTS = st.tuples(
    st.just("request"), TOKENS, OUTPUT_TOKENS, st.sampled_from([1, 8_000_000, 3_600_000_000]), CACHED_TOKENS
)
ENDINGS = st.tuples(st.just("end"), st.sampled_from(list(AttemptOutcome)), CACHED_TOKENS, REPORTS)
LOAD_REPORTS = st.tuples(st.just("report"), st.sampled_from(["R1", "R2", "W1", "B1"]), REPORTS)
LISTS = st.tuples(st.just("list"), st.sampled_from(["R1", "W1", "B1"]), WEIGHTS, START_TIMES)
PAUSES = st.tuples(st.just("pause"), st.sampled_from([100_000, 2_000_000, 5_000_000]))


def take_step(host, step):
    """Feeds one event to the router of the host, and the latest request's end if there is one in flight."""
    kind, *values = step
    if kind == "request":
        prompt, output, budget, prefix = values
        request_id, host.next_id = host.next_id, host.next_id + 1
        host.router.on_request(
            RequestSpec(request_id, "chat", "t", budget, prompt, output, "s", "p", prefix, 0, False)
        )
    elif kind == "report":
        host.router.on_load_report(*values)
    elif kind == "list":
        name, weight, up_since = values
        changed = replace(entry(name), weight=weight, up_since=up_since)
        host.router.on_engine_list([changed], whole_list=False)
    elif kind == "pause":
        host.advance(*values)
    elif in_flight := [request for request in host.router.requests.values() if request.in_flight]:
        outcome, cached, report = values
        request = in_flight[-1]
        attempt = request.in_flight
        detail = cached if outcome in (AttemptOutcome.PREFILLED, AttemptOutcome.COMPLETED) else 0
        host.router.on_attempt_ended(
            request.spec.id, attempt.number, attempt.engine.name, outcome, 50_000, detail,
            outcome is AttemptOutcome.COMPLETED, report,
        )  # fmt: skip


@pytest.mark.parametrize("on_probe", [True, False])
@settings(max_examples=150, deadline=None, derandomize=True)
@given(steps=st.lists(REQUESTS | ENDINGS | LOAD_REPORTS | LISTS | PAUSES, max_size=60))
def test_no_number_within_the_bounds_breaks_a_decision(on_probe, steps):
    """Every extreme that the codecs let through, in any order: no decision may raise."""
    fleet = [entry("R1"), entry("R2", "b"), entry("W1"), entry("W2", "b"), entry("B1")]
    host = RecordingHost(*fleet, reports_on_probe=on_probe, may_probe=on_probe)
    for step in steps:
        take_step(host, step)
    host.advance(2_000_000)
    host.request(6000)
    host.request(100)
