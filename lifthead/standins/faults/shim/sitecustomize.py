"""Makes system calls fail and steps the wall clock of a router process under test.

Python imports this module at startup when its directory is on PYTHONPATH. Two variables control it:
LIFTHEAD_SHIM_FAILS="send:ENOBUFS:7,recv:ETIMEDOUT:20" makes the 7th send and the 20th receive fail with these
errors, and LIFTHEAD_SHIM_STEP="1.5:3600" steps the wall clock by an hour 1.5 s after the start.
"""

import errno
import os
import socket
import time

SOCKET_METHODS = {  # by name of the fault: the methods that make this system call, which are counted together
    "accept": ("accept",),
    "connect": ("connect",),
    "send": ("send",),
    "recv": ("recv", "recv_into"),
}


def _fail_nth_call(methods: tuple[str, ...], error: int, nth: int) -> None:
    """Makes the n-th call of these socket methods fail; the other calls go through."""
    calls = 0

    def counting(original):
        def counting_call(self, *args):
            nonlocal calls
            calls += 1
            if calls == nth:
                raise OSError(error, os.strerror(error))
            return original(self, *args)

        return counting_call

    for method in methods:
        setattr(socket.socket, method, counting(getattr(socket.socket, method)))


def _step_clock(delay: float, step: float) -> None:
    """Steps the wall clock by `step` seconds, `delay` seconds from now."""
    original, due_at = time.time_ns, time.monotonic() + delay

    def stepped_time_ns() -> int:
        return original() + (int(step * 1e9) if time.monotonic() >= due_at else 0)

    time.time_ns = stepped_time_ns
    time.time = lambda: stepped_time_ns() / 1e9


for each in filter(None, os.environ.get("LIFTHEAD_SHIM_FAILS", "").split(",")):
    name, error_name, number = each.split(":")
    assert name in SOCKET_METHODS, name
    _fail_nth_call(SOCKET_METHODS[name], getattr(errno, error_name), int(number))
if step := os.environ.get("LIFTHEAD_SHIM_STEP"):
    _step_clock(*map(float, step.split(":")))
