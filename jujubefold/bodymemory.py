"""Memory that buffered request and answer bodies may take together."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Bytes that one body holds, or waits for.

    Args:
        size: Bytes held now.
        pending: Further bytes waited for; 0 when none.
        on_granted: Called without arguments once the wait is over.
    """

    size: int = 0
    pending: int = 0
    on_granted: object = None


class Budget:
    """Bounds the bytes of all bodies buffered at once.

    Bodies that don't fit wait in the order they asked.

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

    def reserve(self, reservation, more, on_granted):
        """Ask for more bytes.

        Args:
            reservation: The body's `Reservation`.
            more: Bytes to add to it.
            on_granted: Called once the bytes are held, if not at once.

        Returns:
            True when the bytes are held already.
        """
        if not self._waiting and self._used + more <= self._limit:
            self._hold(reservation, more)
            return True
        reservation.pending = more
        reservation.on_granted = on_granted
        self._waiting.append(reservation)
        return False

    def release(self, reservation):
        """Give back what a body holds and what it waits for."""
        if reservation.pending:
            self._waiting.remove(reservation)
            reservation.pending = 0
            reservation.on_granted = None
        self._used -= reservation.size
        reservation.size = 0
        self._grant()

    def _hold(self, reservation, more):
        self._used += more
        reservation.size += more

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
