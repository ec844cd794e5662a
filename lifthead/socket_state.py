"""Asks the operating system for the state of a connection, before the event loop gets to it."""

import asyncio
import select

READABLE = select.POLLIN
PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_event(writer: asyncio.StreamWriter, events: int) -> bool:
    """Returns whether any of these poll events is pending. Also true for a socket that is closed already."""
    if (socket := writer.get_extra_info("socket")) is None:
        return False
    if socket.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(socket.fileno(), events)
    return any(returned & events for _, returned in poller.poll(0))
