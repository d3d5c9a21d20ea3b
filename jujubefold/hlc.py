"""Hybrid logical clock: causal order over daemons whose clocks differ."""

import dataclasses

MAX_AHEAD_S = 3600.0

_NANOSECONDS = 1_000_000_000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Timestamp:
    """One reading, ordered by time and then by counter.

    Args:
        wall_ns: Nanoseconds since the epoch.
        counter: Ties within one nanosecond value.
    """

    wall_ns: int
    counter: int

    def __str__(self):
        return f'{self.wall_ns}.{self.counter}'


class HybridClock:
    """Issues timestamps that follow every timestamp seen before.

    Args:
        clock: A `clock.Clock`; only its wall reading is used.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last = Timestamp(0, 0)

    def tick(self):
        """Return a timestamp later than every earlier one."""
        return self._advance(self._last)

    def observe(self, other):
        """Return a timestamp later than `other` and every earlier one.

        Args:
            other: A `Timestamp` received from another daemon; one that is
                further ahead than any honest clock is ignored.
        """
        limit = int((self._clock.wall() + MAX_AHEAD_S) * _NANOSECONDS)
        if other.wall_ns > limit:
            return self.tick()
        return self._advance(max(self._last, other))

    def _advance(self, floor):
        now = int(self._clock.wall() * _NANOSECONDS)
        if now > floor.wall_ns:
            self._last = Timestamp(now, 0)
        else:
            self._last = Timestamp(floor.wall_ns, floor.counter + 1)
        return self._last
