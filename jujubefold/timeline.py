"""Time line: a daemon's recent events, and the merge over daemons."""

import collections
import dataclasses
import heapq

from jujubefold import events
from jujubefold import hlc

CAPACITY = 20_000
# Longer details are cut, so that the events' memory is bounded.
MAX_DETAIL = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Which events to show; a None matches all.

    Args:
        since_ns: Earliest event time, nanoseconds since the epoch.
        until_ns: Latest event time, nanoseconds since the epoch.
        name: Prefix of the event name.
    """

    request: str | None = None
    patch: str | None = None
    version: int | None = None
    vm: str | None = None
    name: str | None = None
    since_ns: int | None = None
    until_ns: int | None = None

    def matches(self, stamped):
        """Return whether an `events.RecordedEvent` passes."""
        event = stamped.event
        return (
            self.request in (None, event.request)
            and self.patch in (None, event.patch)
            and self.version in (None, event.version)
            and self.vm in (None, stamped.vm)
            and event.name.startswith(self.name or '')
            and self._in_time(stamped.at)
        )

    def _in_time(self, at):
        if self.since_ns is not None and at.wall_ns < self.since_ns:
            return False
        return self.until_ns is None or at.wall_ns <= self.until_ns


class Timeline:
    """The newest events of one daemon, oldest dropped first.

    Args:
        identity: The recording daemon's `identity.Identity`.
        clock: Its `hlc.HybridClock`.
        capacity: Events kept.
    """

    def __init__(self, identity, clock, capacity=CAPACITY):
        self._identity = identity
        self._clock = clock
        self._events = collections.deque(maxlen=capacity)

    def record(self, event):
        """Stamp and keep an event.

        Args:
            event: An `events.Event`.

        Returns:
            The `events.RecordedEvent` kept.
        """
        if len(event.detail) > MAX_DETAIL:
            event = dataclasses.replace(
                event, detail=event.detail[:MAX_DETAIL]
            )
        stamped = events.RecordedEvent(
            at=self._clock.tick(),
            vm=self._identity.vm,
            incarnation=self._identity.incarnation,
            event=event,
        )
        self._events.append(stamped)
        return stamped

    def select(self, wanted):
        """Yield kept events that pass a `Filter`, oldest first."""
        for stamped in list(self._events):
            if wanted.matches(stamped):
                yield stamped


def merge(lines):
    """Yield events of many daemons in causal order.

    Each daemon's own events are in order already, and every message carries
    the sender's timestamp, so that an effect is always after its cause.

    Args:
        lines: Iterable of iterables of `events.RecordedEvent`, each in order.
    """
    yield from heapq.merge(*lines, key=order)


def order(stamped):
    """Return the sort key of an event: time, then VM and start."""
    at: hlc.Timestamp = stamped.at
    return at, stamped.vm, stamped.incarnation
