"""The memory that may be taken by what peers send, over all connections of a process. Standard library only.

Each connection reports to an account of one pool how many bytes it holds, and asks before it reads more. A
read is bounded, so the pool is exceeded by no more than one read for each connection.
"""

MEGABYTE = 1 << 20

PROCESS_BYTES = 36 * MEGABYTE  # of the process when its connections hold nothing, with a list of engines
CONNECTION_BYTES = 131_072  # of a client's connection and its attempt: objects, buffers, UNPOOLED_BYTES
USABLE_SHARE = 0.6  # of what is left; the allocator fragments the rest
MIN_CAPACITY_BYTES = 2 * MEGABYTE
UNLIMITED_BYTES = 1024 * MEGABYTE  # capacity of the pool of a process that is told no limit

UNPOOLED_BYTES = 16_384  # that each account may hold whatever the others hold, so that short requests pass
READ_AHEAD_SHARE = 0.5  # of a pool, beyond which no request is read behind one that is not answered yet
LARGE_BYTES = 65_536  # an account that holds more may use only
LARGE_SHARE = 0.8  # of the pool, so that long requests leave room for shorter ones


class MemoryPool:
    """Counts the bytes that its accounts hold together."""

    def __init__(self, capacity: int = UNLIMITED_BYTES) -> None:
        self.capacity = capacity  # bytes
        self.held = 0

    def open_account(self) -> "MemoryAccount":
        return MemoryAccount(self)


class MemoryAccount:
    """The bytes that one connection or one stream holds."""

    __slots__ = ("_pool", "_pooled", "_closed")

    def __init__(self, pool: MemoryPool) -> None:
        self._pool = pool
        self._pooled = 0
        self._closed = False

    def hold(self, held: int) -> None:
        """Reports how many bytes are held now. Has no effect on a closed account."""
        if self._closed:
            return
        pooled = max(held - UNPOOLED_BYTES, 0)
        self._pool.held += pooled - self._pooled
        self._pooled = pooled

    def may_grow(self, share: float = 1.0) -> bool:
        """Whether more may be held: this account uses nothing of the pool, or the pool is filled to less than
        this share of its capacity."""
        if self._pooled > LARGE_BYTES:
            share = min(share, LARGE_SHARE)
        return not self._pooled or self._pool.held < self._pool.capacity * share

    @property
    def is_pooled(self) -> bool:
        """Whether it uses something of the pool."""
        return self._pooled > 0

    def close(self) -> None:
        """Returns all that is held. Closing twice has no effect."""
        self.hold(0)
        self._closed = True


def pool_capacity(memory_limit: int, connections: int) -> int:
    """Returns the capacity in bytes of the pool of a process that may use `memory_limit` bytes and has at
    most so many connections of clients."""
    available = memory_limit - PROCESS_BYTES - connections * CONNECTION_BYTES
    return max(int(available * USABLE_SHARE), MIN_CAPACITY_BYTES)
