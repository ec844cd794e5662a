"""Asks the operating system for the state of a connection, before the event loop gets to it."""

import asyncio
import contextlib
import select
import socket
import struct

READABLE = select.POLLIN
PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED_OFFSET = 52  # of tcpi_last_data_recv in struct tcp_info of Linux, in milliseconds


def has_event(writer: asyncio.StreamWriter, events: int) -> bool:
    """Returns whether any of these poll events is pending. Also true for a socket that is closed already."""
    if (connection := writer.get_extra_info("socket")) is None:
        return False
    return connection.fileno() < 0 or _poll(connection.fileno(), events)


def seconds_unread(connection: socket.socket) -> float:
    """Returns how long ago the latest bytes arrived on a connection that has unread ones; 0 if it has none or
    the operating system does not say."""
    if not _poll(connection.fileno(), READABLE):
        return 0.0
    with contextlib.suppress(OSError, AttributeError, struct.error):
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)[0] / 1000
    return 0.0


def _poll(descriptor: int, events: int) -> bool:
    poller = select.poll()
    poller.register(descriptor, events)
    return any(returned & events for _, returned in poller.poll(0))
