"""Answers of engines whose head says all, and whose body never comes."""

import time

import pytest
from onenode import HANG, PREFILLED, REFUSED_NOT_RUN, STREAM, Engine, chat, exchange, run_with_node

SOON_S = 1.0  # long before the client's time is over
HEAD_END = b"\r\n\r\n"
PREFILLED_HEAD = PREFILLED.partition(HEAD_END)[0] + HEAD_END
REFUSED_HEAD = REFUSED_NOT_RUN.replace(b"content-length: 0", b"content-length: 9")


async def timed(node, prompt, trace="t"):
    started_at = time.monotonic()
    status = (await exchange(node.address, chat(prompt, "pay", trace=trace, budget_ms="1500")))[0]
    return status, time.monotonic() - started_at


@pytest.mark.parametrize("body", [b"", b'{"cached_'])
def test_a_prefill_whose_answer_has_no_end_is_taken_for_what_its_head_says(body):
    """The state was held unclaimed until the client's time was over."""
    engines = {"rd1": Engine([PREFILLED_HEAD + body, HANG]), "wr1": Engine([STREAM])}
    status, took = run_with_node(lambda node: timed(node, 5000), **engines)
    assert status == 200 and took < SOON_S


def test_a_refusal_without_its_body_leaves_time_for_another_engine():
    """The refused request waited for the rest of the refusal until its time was over."""

    async def scenario(node):
        return [await timed(node, 100, f"t{number}") for number in range(6)]

    refusing = Engine([REFUSED_HEAD, HANG])
    outcomes = run_with_node(scenario, wr1=refusing, wr2=Engine([STREAM]))
    assert refusing.lines("POST"), "the refusing engine was never tried"
    assert all(status == 200 and took < SOON_S for status, took in outcomes)
