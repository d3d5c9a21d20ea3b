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
WARMING_PACE = 2.0


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
        born: Unix milliseconds of its start; 0 when not said.
        warming: Seconds for which it stays slow.
    """

    id: str
    address: str
    service: str
    slots: int
    state: State
    sequence: int
    born: int = 0
    warming: float = 0.0


@dataclasses.dataclass(slots=True)
class InstanceTable:
    """The upstream now, and those that left.

    Args:
        now: Its last `Announcement`, or None.
        leaving_at: Monotonic seconds at which it said that it leaves.
        warm_at: Monotonic seconds from which it is at full speed.
        down: Whether it was found gone since its last announcement.
        left: Start of each upstream that left, by id.
        recalled: Whether those that left before this start of the daemon
            are known; None until that was asked.
        words: Words heard of the upstream now.
    """

    now: Announcement | None = None
    leaving_at: float | None = None
    warm_at: float = 0.0
    down: bool = False
    left: dict[str, int] = dataclasses.field(default_factory=dict)
    recalled: bool | None = None
    words: int = 0


def recall(table, left):
    """Take what an earlier start of this daemon told its upstreams.

    Args:
        table: An `InstanceTable`.
        left: Start of each upstream that left, by id; None if unknown.
    """
    table.recalled = left is not None
    table.left.update(left or {})
    known = table.now
    if known is not None and known.born <= table.left.get(known.id, -1):
        table.leaving_at = -math.inf


def announced(table, said, now):
    """Take an announcement.

    Args:
        table: An `InstanceTable`.
        said: An `Announcement`.
        now: Monotonic seconds.

    Returns:
        A `Change`.
    """
    if said.id in table.left and said.born <= table.left[said.id]:
        return Change.STALE
    known = table.now
    if known is not None and not _is_newer(said, known):
        return Change.STALE
    started = known is None or (said.id, said.born) != (known.id, known.born)
    table.words = 1 if started else table.words + 1
    table.now = said
    table.warm_at = now + said.warming
    if started:
        table.leaving_at = None
    was_down, table.down = table.down, False
    if said.state is State.DRAINING:
        # If its leaving is the first we hear of it, an earlier start of
        # this daemon may have acknowledged it long ago.
        return _leave(table, -math.inf if started else now)
    if table.leaving_at is not None:
        # It does not come back from a drain under the same start.
        return Change.NOTHING
    if started:
        return Change.STARTED
    if was_down or known.slots != said.slots:
        return Change.RENEWED
    return Change.NOTHING


def deregistered(table, name, born, now):
    """Take an upstream's word that it leaves for good.

    Args:
        table: An `InstanceTable`.
        name: Its id.
        born: Its start; None when it did not say.
        now: Monotonic seconds.

    Returns:
        A `Change`; `LEFT` for one that was not the upstream now.
    """
    known = table.now
    is_now = known is not None and known.id == name
    if born is None:
        born = known.born if is_now else ANY_START
    if is_now and born < known.born:
        return Change.STALE
    if table.left.get(name, -1) >= born:
        return Change.NOTHING
    table.left[name] = born
    while len(table.left) > MAX_LEFT:
        del table.left[next(iter(table.left))]
    return _leave(table, now) if is_now else Change.LEFT


def lost(table):
    """Note that nobody listens at its address, or somebody else does."""
    table.down = True


def sending_ends(table, drain):
    """Return monotonic seconds after which nothing is sent, or None.

    Args:
        table: An `InstanceTable`.
        drain: Seconds for which one that leaves still serves.
    """
    if table.leaving_at is None:
        return None
    return table.leaving_at + drain * SENDING_SHARE


def slots(table, now, drain):
    """Return how many requests may be sent to it at once.

    Args:
        table: An `InstanceTable`.
        now: Monotonic seconds.
        drain: As in `sending_ends`.
    """
    if table.now is None or table.down or table.recalled is None:
        return 0
    if not table.recalled and table.words < SURE_WORDS:
        return 0
    ends = sending_ends(table, drain)
    if ends is not None and now >= ends:
        return 0
    return table.now.slots


def pace(table, now):
    """Return the factor on durations, above 1 while it warms up."""
    return WARMING_PACE if now < table.warm_at else 1.0


def _leave(table, now):
    if table.leaving_at is not None:
        return Change.NOTHING
    table.leaving_at = now
    return Change.LEAVING


def _is_newer(said, known):
    if said.id == known.id:
        return (said.born, said.sequence) > (known.born, known.sequence)
    return said.born >= known.born
