"""What the system shows on a connection now, whether or not the event loop has looked yet."""

import asyncio
import select

READABLE = select.POLLIN
PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_event(writer: asyncio.StreamWriter, events: int) -> bool:
    """Whether the system shows any of this; also true of a connection that is closed already."""
    if (socket := writer.get_extra_info("socket")) is None:
        return False
    if socket.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(socket.fileno(), events)
    return any(returned & events for _, returned in poller.poll(0))
