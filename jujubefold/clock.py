"""Clock interface, the system clock, and a clock that tests advance."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary origin; never decreases."""

    @abc.abstractmethod
    def boottime(self) -> float:
        """Return seconds since an arbitrary origin, suspensions included.

        `monotonic` stands still while the VM is suspended. A permission that
        expires must be judged by this clock.
        """

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch; may jump in either direction."""


class SystemClock(Clock):
    """The clock of the running process."""

    def monotonic(self):
        return time.monotonic()

    def boottime(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self):
        return time.time()


class PausedClock(Clock):
    """A clock that stands still until a test advances it.

    Args:
        start: First monotonic reading, in seconds.
        wall: First wall reading, in seconds since the epoch.
    """

    def __init__(self, start=1000.0, wall=1_700_000_000.0):
        self._monotonic = start
        self._suspended = 0.0
        self._wall = wall

    def monotonic(self):
        return self._monotonic

    def boottime(self):
        return self._monotonic + self._suspended

    def wall(self):
        return self._wall

    def advance(self, seconds):
        """Advance all readings.

        Args:
            seconds: Zero or more.
        """
        self._monotonic += seconds
        self._wall += seconds

    def suspend(self, seconds):
        """Advance all readings but the monotonic one, as a suspension does.

        Args:
            seconds: Zero or more.
        """
        self._suspended += seconds
        self._wall += seconds

    def jump_wall(self, seconds):
        """Change only the wall reading, by seconds of either sign."""
        self._wall += seconds
