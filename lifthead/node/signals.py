"""SIGHUP at any moment of a process's life: before its event loop listens for it, and after that has ended.

Its default is to end the process. What comes early is remembered, since the configuration may have been read
before it was renewed; what comes as the process ends changes nothing any more.
"""

import signal
from types import FrameType

BLOCKED_AT_EXIT = frozenset((signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


class EarlyReload:
    """Remembers a SIGHUP until the event loop has a handler of its own."""

    def __init__(self) -> None:
        self.received = False

    def install(self) -> None:
        signal.signal(signal.SIGHUP, self._on_signal)

    def _on_signal(self, _number: int, _frame: FrameType | None) -> None:
        self.received = True


early_reload = EarlyReload()


def block_signals_at_exit() -> None:
    """The loop takes its handlers along when it closes: until the process is gone, these signals wait."""
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_AT_EXIT)
