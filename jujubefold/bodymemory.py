"""Budget: a limit on the memory of all buffered bodies together."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Memory reserved for one body.

    Args:
        size: Bytes held now.
        pending: Further bytes requested and not granted yet.
        on_granted: Called without arguments when `pending` is granted.
    """

    size: int = 0
    pending: int = 0
    on_granted: object = None


class Budget:
    """Bounds the bytes of all bodies buffered at once.

    Reservations that don't fit are granted later, in order of request.

    Args:
        limit: Bytes.
    """

    def __init__(self, limit):
        self._limit = limit
        self._used = 0
        self._waiting = collections.deque()

    @property
    def limit(self):
        """Bytes that may be held at once."""
        return self._limit

    @property
    def used(self):
        """Bytes held now."""
        return self._used

    def reserve(self, reservation, size, on_granted):
        """Enlarge a reservation, now or when memory is free.

        Args:
            reservation: The body's `Reservation`.
            size: Bytes to add to it.
            on_granted: Called without arguments once they are held, if not
                at once.

        Returns:
            True when the bytes are held already.
        """
        if not self._waiting and self._used + size <= self._limit:
            self._hold(reservation, size)
            return True
        reservation.pending = size
        reservation.on_granted = on_granted
        self._waiting.append(reservation)
        return False

    def release(self, reservation):
        """Release a reservation, and cancel what it still waits for."""
        if reservation.pending:
            self._waiting.remove(reservation)
            reservation.pending = 0
            reservation.on_granted = None
        self._used -= reservation.size
        reservation.size = 0
        self._grant()

    def _hold(self, reservation, size):
        self._used += size
        reservation.size += size

    def _grant(self):
        while self._waiting:
            first = self._waiting[0]
            if self._used + first.pending > self._limit:
                return
            self._waiting.popleft()
            self._hold(first, first.pending)
            on_granted = first.on_granted
            first.pending = 0
            first.on_granted = None
            on_granted()
