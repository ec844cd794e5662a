"""Handling of SIGHUP before the event loop has a handler for it, and after the loop has closed.

The default action of SIGHUP ends the process. An early SIGHUP is remembered, since the configuration may have
been read before it changed; one that arrives while the process exits has no effect.
"""

import signal
from types import FrameType

BLOCKED_AT_EXIT = frozenset((signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


class EarlyReload:
    """Remembers a SIGHUP that arrives before the event loop has a handler for it."""

    def __init__(self) -> None:
        self.received = False

    def install(self) -> None:
        signal.signal(signal.SIGHUP, self._on_signal)

    def _on_signal(self, _number: int, _frame: FrameType | None) -> None:
        self.received = True


early_reload = EarlyReload()


def block_signals_at_exit() -> None:
    """Blocks signals until the process exits, since the event loop removes its handlers when it closes."""
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_AT_EXIT)
