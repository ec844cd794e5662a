"""SIGHUP before a router process has a handler for it, and while the process exits."""

import asyncio
import signal

import pytest
from onenode import Engine
from program import NodeProcess

from lifthead.node.signals import EarlyReload


def test_a_reload_before_the_event_loop_starts_is_remembered():
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
def test_signals_during_a_stop_do_not_change_its_exit_code(tmp_path, number):
    """Guards against a SIGHUP that ends the process once its event loop has closed (fault soak, seed 223)."""

    async def scenario():
        async with NodeProcess(tmp_path, rd=Engine(), wr=Engine()) as program:
            program.process.send_signal(signal.SIGTERM)
            while program.process.poll() is None:
                program.process.send_signal(number)
                await asyncio.sleep(0.0005)
            return program.process.returncode

    assert asyncio.run(scenario()) == 0
