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
        on_refused: Called without arguments if `pending` can't be granted,
            because all memory is held by reservations that wait for more and
            this one is the largest; it must then be released.
    """

    size: int = 0
    pending: int = 0
    on_granted: object = None
    on_refused: object = None


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
        self._refuse_if_stuck()
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
        self._refuse_if_stuck()

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

    def _refuse_if_stuck(self):
        """Refuse the largest reservation if only waiting ones hold memory."""
        holders = [item for item in self._waiting if item.size]
        if holders and sum(item.size for item in holders) == self._used:
            largest = max(holders, key=lambda item: item.size)
            if largest.on_refused is not None:
                largest.on_refused()
