"""What a request, a whole list and an engine cost with 1,024 engines, compared with 60.

Work is counted in executed lines of Python instead of time, so that the verdict is the same on every machine.
"""

import asyncio
import json
import sys
import tracemalloc

import pytest
from helpers import RecordingHost, entry, report
from onenode import config, list_update, target

from lifthead.interface import AttemptOutcome
from lifthead.node.discovery import parse_update
from lifthead.node.host import Host
from lifthead.node.start import parse_config

SMALL, LARGE = 60, 1024


def lines_run(what):
    """The number of executed lines of Python."""
    count = 0

    def trace(frame, event, arg):
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        what()
    finally:
        sys.settrace(before)
    return count


def fleet(size):
    """A third are prefill engines; cells of eight."""
    names = [f"{'R' if n % 3 == 0 else 'W'}{n}" for n in range(size)]
    return [entry(name, "ab"[n % 2], n // 8) for n, name in enumerate(names)]


def serve(host, prompt, key):
    request = host.request(prompt, prefix=f"p{key}", session=f"s{key}")
    if host.last_engine(request).startswith("R"):
        host.end_attempt(
            request, AttemptOutcome.PREFILLED, report=report(queued=0, prefill_backlog_thousands=1.0)
        )
    host.first_token(request)
    host.end_attempt(request, AttemptOutcome.COMPLETED)


@pytest.mark.parametrize("prompt", [200, 9000])
@pytest.mark.parametrize("on_probe", [False, True])
def test_the_work_for_a_request_does_not_grow_with_the_fleet(prompt, on_probe):
    def work(size):
        host = RecordingHost(*fleet(size), may_probe=on_probe, reports_on_probe=on_probe)
        for key in range(40):
            serve(host, prompt, key % 10)
        return lines_run(lambda: [serve(host, prompt, key % 10) for key in range(40)])

    assert work(LARGE) < 1.5 * work(SMALL)


def node_with(size, scenario):
    async def run():
        async with asyncio.TaskGroup() as tasks:
            host = Host(parse_config(json.dumps(config()).encode()), tasks)
            text = list_update(
                *(target(f"{'rd' if n % 3 == 0 else 'wr'}{n}", f"127.0.0.1:{n + 1}") for n in range(size))
            )
            return scenario(host, text)

    return asyncio.run(run())


def test_the_work_for_a_whole_list_is_proportional_to_its_length():
    def work(size):
        def scenario(host, text):
            def take():
                host.on_list_update(parse_update(text))
                host.router._apply_list()

            return lines_run(take), lines_run(take)

        return node_with(size, scenario)

    for small, large in zip(work(SMALL), work(LARGE), strict=True):
        assert large < 1.3 * small * LARGE / SMALL


def test_the_memory_for_an_engine_does_not_grow_with_the_fleet():
    def bytes_each(size):
        def scenario(host, text):
            tracemalloc.start()
            try:
                host.on_list_update(parse_update(text))
                host.router._apply_list()
                return tracemalloc.get_traced_memory()[0] / size
            finally:
                tracemalloc.stop()

        return node_with(size, scenario)

    small, large = bytes_each(SMALL), bytes_each(LARGE)
    assert large < 1.2 * small and large < 4096
