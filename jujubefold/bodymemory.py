"""Budget: a limit on the memory of all buffered bodies together."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Memory reserved for one body.

    Args:
        size: Bytes reserved.
        pending: Further bytes requested and not granted yet.
        on_granted: Called without arguments when `pending` is granted.
    """

    size: int = 0
    pending: int = 0
    on_granted: object = None


class Budget:
    """Limits the bytes of all bodies buffered at once.

    Reservations that don't fit are granted later, in order of request.

    Args:
        limit: Bytes that may be reserved at once.
    """

    def __init__(self, limit):
        self._limit = limit
        self._used = 0
        self._queue = collections.deque()

    @property
    def limit(self):
        """Bytes that may be reserved at once."""
        return self._limit

    @property
    def used(self):
        """Bytes reserved now."""
        return self._used

    def reserve(self, reservation, size, on_granted):
        """Enlarge a reservation, now or when memory is free.

        Args:
            reservation: The body's `Reservation`.
            size: Bytes to add to it.
            on_granted: Called without arguments when the bytes are granted
                later.

        Returns:
            True if the bytes were granted at once.
        """
        if not self._queue and self._used + size <= self._limit:
            self._add(reservation, size)
            return True
        reservation.pending = size
        reservation.on_granted = on_granted
        self._queue.append(reservation)
        return False

    def release(self, reservation):
        """Release a reservation, and cancel what it still waits for."""
        if reservation.pending:
            self._queue.remove(reservation)
            reservation.pending = 0
            reservation.on_granted = None
        self._used -= reservation.size
        reservation.size = 0
        self._grant_pending()

    def _add(self, reservation, size):
        self._used += size
        reservation.size += size

    def _grant_pending(self):
        while self._queue:
            first = self._queue[0]
            if self._used + first.pending > self._limit:
                return
            self._queue.popleft()
            self._add(first, first.pending)
            on_granted = first.on_granted
            first.pending = 0
            first.on_granted = None
            on_granted()
