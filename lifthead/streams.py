"""Asyncio streams that receive few bytes at once.

By default a transport receives up to 256 KiB in one call, and a stream buffers as much before it pauses its
transport. Hundreds of connections that become readable in the same turn of the event loop would hold over a
hundred megabytes before any of their tasks has run.
"""

import asyncio

RECEIVE_BYTES = 32_768  # in one call
BUFFER_LIMIT = 8_192  # a stream pauses its transport when it buffers over twice as much


class BoundedStreamProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Feeds a stream reader with at most RECEIVE_BYTES at once."""

    # What is received is copied before the call returns, so all connections share one buffer.
    _receive_buffer = memoryview(bytearray(RECEIVE_BYTES))

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self._receive_buffer[:nbytes]))
