"""Time line: the recent events of a daemon, and the merge of several."""

import collections
import dataclasses
import heapq

from jujubefold import events
from jujubefold import hlc

CAPACITY = 20_000
# Characters to which details are cut, to bound the memory of the events.
MAX_DETAIL = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Criteria for events; a criterion of None matches all.

    Args:
        request: Request id.
        patch: Patch id.
        version: Configuration version number.
        vm: VM name of the recording daemon.
        name: Prefix of the event name.
        since_ns: Earliest event time, nanoseconds since the epoch.
        until_ns: Latest event time, nanoseconds since the epoch.
    """

    request: str | None = None
    patch: str | None = None
    version: int | None = None
    vm: str | None = None
    name: str | None = None
    since_ns: int | None = None
    until_ns: int | None = None

    def matches(self, recorded):
        """Return whether an event meets all criteria.

        Args:
            recorded: An `events.RecordedEvent`.
        """
        event = recorded.event
        return (
            self.request in (None, event.request)
            and self.patch in (None, event.patch)
            and self.version in (None, event.version)
            and self.vm in (None, recorded.vm)
            and event.name.startswith(self.name or '')
            and self._in_time(recorded.at)
        )

    def _in_time(self, at):
        if self.since_ns is not None and at.wall_ns < self.since_ns:
            return False
        return self.until_ns is None or at.wall_ns <= self.until_ns


class Timeline:
    """The most recent events of one daemon; the oldest are dropped first.

    Args:
        identity: The recording daemon's `identity.Identity`.
        clock: Its `hlc.HybridClock`.
        capacity: Maximum number of events kept.
    """

    def __init__(self, identity, clock, capacity=CAPACITY):
        self._identity = identity
        self._clock = clock
        self._events = collections.deque(maxlen=capacity)

    def record(self, event):
        """Timestamp and store an event.

        Args:
            event: An `events.Event`.

        Returns:
            The stored `events.RecordedEvent`.
        """
        if len(event.detail) > MAX_DETAIL:
            event = dataclasses.replace(
                event, detail=event.detail[:MAX_DETAIL]
            )
        recorded = events.RecordedEvent(
            at=self._clock.tick(),
            vm=self._identity.vm,
            incarnation=self._identity.incarnation,
            event=event,
        )
        self._events.append(recorded)
        return recorded

    def select(self, event_filter):
        """Yield the stored events that match a `Filter`, oldest first.

        Args:
            event_filter: A `Filter`.
        """
        for recorded in list(self._events):
            if event_filter.matches(recorded):
                yield recorded


def merge(timelines):
    """Merge the events of several daemons in causal order.

    The events of each daemon are in order already. Every message carries the
    sender's timestamp, so an effect is always timestamped after its cause.

    Args:
        timelines: Iterable of iterables of `events.RecordedEvent`, each in
            order.
    """
    yield from heapq.merge(*timelines, key=sort_key)


def sort_key(recorded):
    """Return the sort key of an event: time, then VM and incarnation.

    Args:
        recorded: An `events.RecordedEvent`.
    """
    at: hlc.Timestamp = recorded.at
    return at, recorded.vm, recorded.incarnation
