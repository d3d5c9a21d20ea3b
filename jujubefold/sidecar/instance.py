"""Instance: what is known of the upstream beside this daemon.

An upstream announces itself again and again. Announcements may come late,
out of order, and from a start that has ended; one that was told of leaving
must not be believed back by an older word.
"""

import dataclasses
import enum
import math

# Share of the drain time in which requests are still sent: the rest is for
# those that run.
SENDING_SHARE = 0.5
# Ids of upstreams that left, kept to recognise what they said before.
MAX_LEFT = 64
# Start of one that left and did not say when it began: later than any.
ANY_START = 2**62
# Words of an upstream that prove that it has not left: what it said before
# may arrive late, but not twice with nothing in between.
SURE_WORDS = 2
# Factor on durations while an upstream warms up after its start.
WARMUP_FACTOR = 2.0


class State(enum.StrEnum):
    """What an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class Change(enum.StrEnum):
    """What an announcement changed."""

    NOTHING = 'nothing'
    STALE = 'stale'
    RENEWED = 'renewed'
    STARTED = 'started'
    LEAVING = 'leaving'
    LEFT = 'left'


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream says of itself, once.

    Args:
        id: Names one start of it, mostly.
        address: Where it listens, `ip:port`.
        service: Service that it runs.
        slots: Requests that it runs at once.
        state: A `State`.
        sequence: Increases with each announcement of one start.
        started_ms: Unix milliseconds of its start; 0 when not said.
        warmup: Seconds for which it stays slow.
    """

    id: str
    address: str
    service: str
    slots: int
    state: State
    sequence: int
    started_ms: int = 0
    warmup: float = 0.0


@dataclasses.dataclass(slots=True)
class InstanceTable:
    """The upstream now, and those that left.

    Args:
        current: Its last `Announcement`, or None.
        draining_since: Monotonic seconds at which it said that it leaves.
        warm_at: Monotonic seconds from which it is at full speed.
        down: Whether it was found gone since its last announcement.
        departed: Start of each upstream that left, by id.
        departures_known: Whether those that left before this start of the
            daemon are known; None until that was asked.
        words: Words heard of the upstream now.
    """

    current: Announcement | None = None
    draining_since: float | None = None
    warm_at: float = 0.0
    down: bool = False
    departed: dict[str, int] = dataclasses.field(default_factory=dict)
    departures_known: bool | None = None
    words: int = 0


def restore_departures(table, left):
    """Take what an earlier start of this daemon told its upstreams.

    Args:
        table: An `InstanceTable`.
        left: Start of each upstream that left, by id; None if unknown.
    """
    table.departures_known = left is not None
    table.departed.update(left or {})
    known = table.current
    if known is not None and known.started_ms <= table.departed.get(
        known.id, -1
    ):
        table.draining_since = -math.inf


def handle_announcement(table, said, now):
    """Take an announcement.

    Args:
        table: An `InstanceTable`.
        said: An `Announcement`.
        now: Monotonic seconds.

    Returns:
        A `Change`.
    """
    if (
        said.id in table.departed
        and said.started_ms <= table.departed[said.id]
    ):
        return Change.STALE
    known = table.current
    if known is not None and not _is_newer(said, known):
        return Change.STALE
    started = known is None or (said.id, said.started_ms) != (
        known.id,
        known.started_ms,
    )
    table.words = 1 if started else table.words + 1
    table.current = said
    table.warm_at = now + said.warmup
    if started:
        table.draining_since = None
    was_down, table.down = table.down, False
    if said.state is State.DRAINING:
        # If its leaving is the first we hear of it, an earlier start of
        # this daemon may have acknowledged it long ago.
        return _leave(table, -math.inf if started else now)
    if table.draining_since is not None:
        # It does not come back from a drain under the same start.
        return Change.NOTHING
    if started:
        return Change.STARTED
    if was_down or known.slots != said.slots:
        return Change.RENEWED
    return Change.NOTHING


def handle_deregistration(table, name, born, now):
    """Take an upstream's word that it leaves for good.

    Args:
        table: An `InstanceTable`.
        name: Its id.
        started_ms: Its start; None when it did not say.
        now: Monotonic seconds.

    Returns:
        A `Change`; `LEFT` for one that was not the upstream now.
    """
    known = table.current
    is_now = known is not None and known.id == name
    if born is None:
        born = known.started_ms if is_now else ANY_START
    if is_now and born < known.started_ms:
        return Change.STALE
    if table.departed.get(name, -1) >= born:
        return Change.NOTHING
    table.departed[name] = born
    while len(table.departed) > MAX_LEFT:
        del table.departed[next(iter(table.departed))]
    return _leave(table, now) if is_now else Change.LEFT


def mark_unreachable(table):
    """Note that nobody listens at its address, or somebody else does."""
    table.down = True


def sending_ends(table, drain):
    """Return monotonic seconds after which nothing is sent, or None.

    Args:
        table: An `InstanceTable`.
        drain: Seconds for which one that leaves still serves.
    """
    if table.draining_since is None:
        return None
    return table.draining_since + drain * SENDING_SHARE


def usable_slots(table, now, drain):
    """Return how many requests may be sent to it at once.

    Args:
        table: An `InstanceTable`.
        now: Monotonic seconds.
        drain: As in `sending_ends`.
    """
    if table.current is None or table.down or table.departures_known is None:
        return 0
    if not table.departures_known and table.words < SURE_WORDS:
        return 0
    ends = sending_ends(table, drain)
    if ends is not None and now >= ends:
        return 0
    return table.current.slots


def warmup_factor(table, now):
    """Return the factor on durations, above 1 while it warms up."""
    return WARMUP_FACTOR if now < table.warm_at else 1.0


def _leave(table, now):
    if table.draining_since is not None:
        return Change.NOTHING
    table.draining_since = now
    return Change.LEAVING


def _is_newer(said, known):
    if said.id == known.id:
        return (said.started_ms, said.sequence) > (
            known.started_ms,
            known.sequence,
        )
    return said.started_ms >= known.started_ms
