"""Transfer: fetches large request bodies from the daemons that hold them.

A body is fetched only after its request was admitted, so that a refused
request costs its sender's and receiver's links nothing, and in parts, so that
few of them wait at the receiver's link before other messages.
"""

import abc
import dataclasses

from jujubefold import eagertask

# Bodies up to this size are sent with their offer.
INLINE_BYTES = 16 * 1024
# Seconds for which the requested parts may occupy the receiver's link.
WINDOW_S = 0.02
MIN_WINDOW_BYTES = 16 * 1024
MAX_WINDOW_BYTES = 1024 * 1024
# Parts in a window: the next one is on its way while one is received.
PARTS_PER_WINDOW = 2
# Seconds without a requested part after which other bodies are fetched
# meanwhile: its sender may be cut off.
STALL_S = 0.5
# Bytes of bodies that are fetched at the same time. One body alone may be
# larger.
MAX_FETCHED_BYTES = 32 * 1024 * 1024

_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000


class Body(abc.ABC):
    """The body of a request.

    Attributes:
        size: Bytes of the whole body.
    """

    size = 0

    @property
    @abc.abstractmethod
    def complete(self):
        """Whether all of it is in memory."""

    @property
    @abc.abstractmethod
    def data(self):
        """The whole body as bytes; only when it is complete."""

    @property
    def fetch_seconds(self):
        """Seconds that it is expected to take until it is complete."""
        return 0.0

    def fetch(self):
        """Start to fetch it, unless that was done before."""

    async def read(self):
        """Wait until it is complete and return it as bytes."""
        return self.data


class WholeBody(Body):
    """A body that is in memory.

    Args:
        data: The body as bytes.
    """

    def __init__(self, data=b''):
        self.size = len(data)
        self._data = data

    @property
    def complete(self):
        return True

    @property
    def data(self):
        return self._data


class RemoteBody(Body):
    """A body that another daemon holds until it is fetched.

    Args:
        size: Bytes of the whole body.
        on_fetch: Called without arguments when it is to be fetched.
        estimate: Called without arguments; returns the seconds that this is
            expected to take.
    """

    def __init__(self, size, on_fetch, estimate):
        self.size = size
        self._estimate = estimate
        self._on_fetch = on_fetch
        self._parts = []
        self._received = 0
        self._waiters = []

    @property
    def complete(self):
        return self._received == self.size

    @property
    def data(self):
        if len(self._parts) > 1:
            self._parts = [b''.join(self._parts)]
        return self._parts[0] if self._parts else b''

    @property
    def fetch_seconds(self):
        return 0.0 if self.complete else self._estimate()

    def fetch(self):
        on_fetch, self._on_fetch = self._on_fetch, None
        if on_fetch is not None:
            on_fetch()

    def add(self, data):
        """Append the next part, as bytes."""
        self._parts.append(data)
        self._received += len(data)
        if self.complete:
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                waiter.set_result(None)

    async def read(self):
        if not self.complete:
            waiter = eagertask.Waiter()
            self._waiters.append(waiter)
            await waiter
        return self.data


@dataclasses.dataclass(slots=True)
class Transfer:
    """A body that is being fetched.

    Args:
        size: Bytes of the whole body.
        received: Bytes received so far, from the start.
        requested: Bytes requested so far, from the start.
        progress_at: Monotonic seconds of the last part, or of the request for
            the first one.
        suspended: Whether its sender is not connected or sends nothing.
    """

    size: int
    received: int = 0
    requested: int = 0
    progress_at: float = 0.0
    suspended: bool = False


@dataclasses.dataclass(slots=True)
class TransferTable:
    """Bodies that are being fetched, in the order of their requests.

    Args:
        window: Bytes that may be requested and not received yet.
        capacity: Megabits a second of this daemon's link; 0 if unknown.
        transfers: `Transfer` by key.
    """

    window: int
    capacity: float = 0.0
    transfers: dict[object, Transfer] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a body to request.

    Args:
        key: Key of the transfer.
        offset: Position of its first byte.
        size: Its bytes.
    """

    key: object
    offset: int
    size: int


def window_bytes(capacity):
    """Return the window of a daemon.

    Args:
        capacity: Megabits a second of its link; 0 if unknown.
    """
    size = capacity * _BITS_PER_MEGABIT / _BITS_PER_BYTE * WINDOW_S
    if not size:
        return MAX_WINDOW_BYTES
    return round(min(MAX_WINDOW_BYTES, max(MIN_WINDOW_BYTES, size)))


def seconds(size, capacity):
    """Return for how long a body occupies a link.

    Args:
        size: Bytes.
        capacity: Megabits a second of the link; 0 if unknown.
    """
    if not capacity:
        return 0.0
    return size * _BITS_PER_BYTE / (capacity * _BITS_PER_MEGABIT)


def new_table(capacity):
    """Return a `TransferTable` for a link.

    Args:
        capacity: Megabits a second; 0 if unknown.
    """
    return TransferTable(window_bytes(capacity), capacity)


def backlog_seconds(table, size=0):
    """Return for how long the link is busy with bodies.

    Args:
        table: A `TransferTable`.
        size: Bytes of a further body.
    """
    missing = sum(
        item.size - item.received
        for item in table.transfers.values()
        if not item.suspended
    )
    return seconds(missing + size, table.capacity)


def has_memory(table, size):
    """Return whether another body may be fetched.

    Args:
        table: A `TransferTable`.
        size: Bytes of the body.
    """
    fetched = sum(item.size for item in table.transfers.values())
    return not fetched or fetched + size <= MAX_FETCHED_BYTES


def start(table, key, size):
    """Add a body that is to be fetched.

    Args:
        table: A `TransferTable`.
        key: Identifies the body.
        size: Its bytes.
    """
    table.transfers[key] = Transfer(size)


def stop(table, key):
    """Remove a body that is complete or no longer needed."""
    table.transfers.pop(key, None)


def suspend(table, key):
    """Request nothing more until `resume`: the sender is not connected."""
    transfer = table.transfers.get(key)
    if transfer is not None:
        transfer.requested = transfer.received
        transfer.suspended = True


def resume(table, key):
    """Request what is missing again over the sender's new connection."""
    transfer = table.transfers.get(key)
    if transfer is not None:
        transfer.requested = transfer.received
        transfer.suspended = False


def suspend_stalled(table, now):
    """Suspend bodies of which requested parts don't arrive.

    A part that arrives after all resumes its body.

    Args:
        table: A `TransferTable`.
        now: Monotonic seconds.
    """
    for key, transfer in table.transfers.items():
        if (
            transfer.requested > transfer.received
            and now - transfer.progress_at > STALL_S
        ):
            suspend(table, key)


def record_part(table, key, offset, size, now):
    """Note a part that was received.

    Args:
        table: A `TransferTable`.
        key: Key of the transfer.
        offset: Position of the part's first byte.
        size: Its bytes.
        now: Monotonic seconds.

    Returns:
        Whether it is the next part of a body being fetched. Others come from
        an earlier connection and are ignored.
    """
    transfer = table.transfers.get(key)
    if transfer is None or offset != transfer.received:
        return False
    if not 0 < size <= transfer.size - offset:
        return False
    transfer.received += size
    transfer.progress_at = now
    transfer.suspended = False
    transfer.requested = max(transfer.requested, transfer.received)
    if transfer.received == transfer.size:
        stop(table, key)
    return True


def next_parts(table, now):
    """Yield each `Part` to request now, and note it as requested.

    Args:
        table: A `TransferTable`.
        now: Monotonic seconds.
    """
    free = table.window - sum(
        item.requested - item.received for item in table.transfers.values()
    )
    part_bytes = table.window // PARTS_PER_WINDOW
    for key, transfer in tuple(table.transfers.items()):
        while not transfer.suspended and transfer.requested < transfer.size:
            size = min(part_bytes, transfer.size - transfer.requested)
            if size > free:
                return
            free -= size
            if transfer.requested == transfer.received:
                transfer.progress_at = now
            part = Part(key, transfer.requested, size)
            transfer.requested += size
            yield part
