"""Loaded by a router process under test before anything else (PYTHONPATH): makes system calls fail, and steps
the wall clock, as the environment tells.

LIFTHEAD_SHIM_FAILS="send:ENOBUFS:7,recv:ETIMEDOUT:20" makes the 7th send and the 20th receive fail so.
LIFTHEAD_SHIM_STEP="1.5:3600" steps the wall clock by an hour 1.5 s after the start.
"""

import errno
import os
import socket
import time

SITES = ("accept", "connect", "send", "recv")


def _make_fail(site: str, error: int, call: int) -> None:
    """Has one call of this method of sockets fail, the others go through."""
    sound = getattr(socket.socket, site)
    calls = 0

    def failing(self, *args):
        nonlocal calls
        calls += 1
        if calls == call:
            raise OSError(error, os.strerror(error))
        return sound(self, *args)

    setattr(socket.socket, site, failing)


def _step_clock(after: float, by: float) -> None:
    """Steps the wall clock by so many seconds, so many seconds from now."""
    sound, due_at = time.time_ns, time.monotonic() + after

    def stepped() -> int:
        return sound() + (int(by * 1e9) if time.monotonic() >= due_at else 0)

    time.time_ns = stepped
    time.time = lambda: stepped() / 1e9


for each in filter(None, os.environ.get("LIFTHEAD_SHIM_FAILS", "").split(",")):
    name, error_name, number = each.split(":")
    assert name in SITES, name
    _make_fail(name, getattr(errno, error_name), int(number))
if told := os.environ.get("LIFTHEAD_SHIM_STEP"):
    _step_clock(*map(float, told.split(":")))
