"""Hybrid logical clock: causal order of events on different daemons."""

import dataclasses

# Timestamps further ahead of the local wall clock are ignored, so that one
# daemon with a wrong clock does not move the clocks of the others.
MAX_AHEAD_S = 3600.0

_NANOSECONDS = 1_000_000_000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Timestamp:
    """One reading of a hybrid clock, ordered by time and then by counter.

    Args:
        wall_ns: Nanoseconds since the epoch.
        counter: Orders readings with the same `wall_ns`.
    """

    wall_ns: int
    counter: int

    def __str__(self):
        return f'{self.wall_ns}.{self.counter}'


class HybridClock:
    """Issues timestamps later than all those issued or observed before.

    Args:
        clock: A `clock.Clock`; only its wall reading is used.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last = Timestamp(0, 0)

    def tick(self):
        """Return a timestamp later than all previous ones."""
        return self._advance(self._last)

    def observe(self, other):
        """Return a timestamp later than `other` and all previous ones.

        Args:
            other: A `Timestamp` received from another daemon; ignored when
                it is more than `MAX_AHEAD_S` ahead of the local wall clock.
        """
        limit = int((self._clock.wall() + MAX_AHEAD_S) * _NANOSECONDS)
        if other.wall_ns > limit:
            return self.tick()
        return self._advance(max(self._last, other))

    def _advance(self, latest):
        now = int(self._clock.wall() * _NANOSECONDS)
        if now > latest.wall_ns:
            self._last = Timestamp(now, 0)
        else:
            self._last = Timestamp(latest.wall_ns, latest.counter + 1)
        return self._last
