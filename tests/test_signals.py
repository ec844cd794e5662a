"""SIGHUP before a router process listens for it and while it ends."""

import asyncio
import signal

import pytest
from onenode import Engine
from program import NodeProcess

from lifthead.node.signals import EarlyReload


def test_a_reload_that_comes_before_the_loop_is_remembered():
    before = signal.getsignal(signal.SIGHUP)
    reload = EarlyReload()
    try:
        reload.install()
        assert not reload.received
        signal.raise_signal(signal.SIGHUP)
        assert reload.received
    finally:
        signal.signal(signal.SIGHUP, before)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_until_the_last_moment_of_a_stop_do_not_end_it_otherwise(tmp_path, number):
    """Fault soak, seed 223: a SIGHUP 9 ms before the end, once the loop had closed."""

    async def scenario():
        async with NodeProcess(tmp_path, rd=Engine(), wr=Engine()) as program:
            program.process.send_signal(signal.SIGTERM)
            while program.process.poll() is None:
                program.process.send_signal(number)
                await asyncio.sleep(0.0005)
            return program.process.returncode

    assert asyncio.run(scenario()) == 0
