"""The list of engines of the configuration, which is used only once discovery has confirmed it.

It is the list as this router last had it. The agent of discovery may have more: an engine may drain or be
gone since. What the agent has counts as told from the first moment of a process, also while it is silent. So
no request is sent by this list before a line of discovery has come, unless that takes very long or no agent
is there at all: an agent that is silent still accepts connections.
"""

import asyncio
import logging
from collections.abc import Callable

from lifthead.node.discovery import EngineListUpdate
from lifthead.node.host import Host

# Seconds after the start of the process at which the router counts as ready although it rejects all requests:
# the platform wants nine in ten restarted routers to be ready within 10 s.
READY_AFTER = 9.0
# Seconds after the start of the process at which the list is used unconfirmed: a router that needs over 30 s
# until it serves has failed.
USED_AFTER = 28.0
# Seconds after the start of the process at which it is used if nothing listens at the agent's address.
USED_WITHOUT_AGENT_AFTER = 2.0

log = logging.getLogger(__name__)


class InitialList:
    """Applies the list of the configuration at the first line of discovery, or once that is long overdue.

    `started_at`: when the process started, on the clock of the event loop, in seconds. `is_agent_absent`:
    whether each call to the agent was refused."""

    def __init__(
        self,
        host: Host,
        initial_list: EngineListUpdate | None,
        started_at: float,
        is_agent_absent: Callable[[], bool] = lambda: False,
    ) -> None:
        self._host = host
        self._is_agent_absent = is_agent_absent
        self._list = initial_list
        self._started_at = started_at
        self._loop = asyncio.get_running_loop()
        self._is_applied = False
        self._timers = [
            self._loop.call_at(started_at + USED_AFTER, self._use_unconfirmed),
            self._loop.call_at(started_at + USED_WITHOUT_AGENT_AFTER, self._use_without_agent),
        ]

    def on_discovery_line(self) -> None:
        """Handles a line of discovery. Its update, if it has one, is based on this list and applied next."""
        self.close()
        self._apply()

    def is_ready(self, can_serve: Callable[[], bool]) -> bool:
        """Whether clients may come. `can_serve`: whether an engine of the current list could serve them."""
        if self._is_applied:
            return can_serve()
        is_overdue = self._loop.time() >= self._started_at + READY_AFTER
        return is_overdue and self._list is not None and self._host.has_servable(self._list)

    def close(self) -> None:
        for timer in self._timers:
            timer.cancel()

    def _use_without_agent(self) -> None:
        if self._is_agent_absent():
            self._use_unconfirmed()

    def _use_unconfirmed(self) -> None:
        log.warning(
            "discovery has said nothing: the list of the configuration is used, which may be outdated"
        )
        self._apply()

    def _apply(self) -> None:
        if self._is_applied:
            return
        self._is_applied = True
        if self._list:
            self._host.on_list_update(self._list)
            self._host.start_times.reset()  # the list may be outdated
