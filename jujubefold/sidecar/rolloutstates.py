"""Rollout states: what a daemon knows of rollouts, and what follows from it.

Decides whether a gate admits requests for the version of its upstream, and
which version an ingress prefers for a request. Designed for a few services
with an order at a time, and for some thousand decisions a second.
"""

import dataclasses
import enum

from jujubefold.sidecar import rollout

# Seconds of `boottime` without a renewal after which the new version gets no
# more requests. The controller renews its record once a second, so several
# renewals have been lost by then.
STATE_TIMEOUT_S = 5.0

STABLE = 0
NEW = 1


class Fallback(enum.Enum):
    """When a request may go to the track that is not preferred.

    `NEVER`: not at all. `NO_ROOM`: if no preferred gate has a free slot.
    `NONE_OPEN`: if no preferred gate is open.
    """

    NEVER = 'never'
    NO_ROOM = 'no room'
    NONE_OPEN = 'none open'


@dataclasses.dataclass(frozen=True, slots=True)
class Preference:
    """Which upstreams a request may be offered to.

    Args:
        track: `STABLE` or `NEW`, as in `limiter.Load.track`.
        fallback: The `Fallback` to the other track.
    """

    track: int
    fallback: Fallback = Fallback.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a gate admits requests.

    Args:
        track: Track of the gate's upstream, as in `limiter.Load.track`.
        closed: Why the gate is closed; empty if it is open.
    """

    track: int = STABLE
    closed: str = ''

    @property
    def is_open(self):
        """Whether the gate admits requests."""
        return not self.closed


@dataclasses.dataclass(slots=True)
class Entry:
    """What is known of the rollouts of one service.

    Args:
        state: The newest `rollout.State`.
        renewed_at: Seconds of `boottime` when it was new.
        settled: Version of the last rollout that was completed; empty if
            none is known. Upstreams of any version but this and the ordered
            one are not allowed then.
        barred: Versions of former orders that were not completed.
        confirmed: Whether the record, or that there is none, was read.
        credit: Requests due to the new version, below 1 between requests.
    """

    state: rollout.State
    renewed_at: float
    settled: str = ''
    barred: frozenset = frozenset()
    confirmed: bool = False
    credit: float = 0.0


@dataclasses.dataclass(slots=True)
class StateTable:
    """What a daemon knows of all rollouts.

    Args:
        orders_read: Whether all orders have been read or received once.
        complete: Whether the gate may decide by what is known: all orders
            have been, and the record of the one for its service.
        entries: `Entry` by service.
    """

    orders_read: bool = False
    complete: bool = False
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)


def confirm(table, state):
    """Note that the record of an order, or that there is none, was read.

    Args:
        table: A `StateTable`.
        state: The `rollout.State` that was read; one of an order before the
            newest known one confirms nothing.
    """
    entry = table.entries.get(state.service)
    if entry is not None and _rank(state)[0] >= _rank(entry.state)[0]:
        entry.confirmed = True


def note_completeness(table, service):
    """Set `complete` once enough is known; it then stays set.

    Args:
        table: A `StateTable`.
        service: Service of this daemon's gate.

    Returns:
        Whether it was set now.
    """
    entry = table.entries.get(service)
    if (
        table.complete
        or not table.orders_read
        or (entry is not None and not entry.confirmed)
    ):
        return False
    table.complete = True
    return True


def record_state(table, state, age, now, rng, settled='', barred=()):
    """Take over a state, unless it is known or older than the known one.

    Args:
        table: A `StateTable`.
        state: A `rollout.State`.
        age: Seconds since it was new.
        now: Seconds of `boottime`.
        rng: A `random.Random`; daemons begin to count at different points.
        settled: As in `Entry`, if the source knows it.
        barred: As in `Entry`, if the source knows them.

    Returns:
        Whether it was new.
    """
    entry = table.entries.get(state.service)
    if entry is None:
        entry = Entry(state, now - age, credit=rng.random())
        table.entries[state.service] = entry
    elif _rank(state) <= _rank(entry.state):
        return False
    else:
        _remember_former(entry, state)
        entry.state = state
        entry.renewed_at = now - age
    entry.settled = settled or entry.settled
    entry.barred |= frozenset(barred)
    record = state.record
    if record is not None and record.phase is rollout.Phase.COMPLETED:
        entry.settled = record.to
    elif record is not None and current_record(state) is None:
        entry.barred |= {record.to}
    entry.barred -= {entry.settled, state.order.to if state.order else '', ''}
    return True


def newest_order(table, service):
    """Return the `rollout.OrderId` of the newest known order of a service.

    Args:
        table: A `StateTable`.
        service: Name of the service.
    """
    entry = table.entries.get(service)
    return rollout.OrderId() if entry is None else _rank(entry.state)[0]


def withdrawn(state):
    """Return a state after its order was deleted.

    Args:
        state: A `rollout.State` with an order.
    """
    order = state.order
    record = current_record(state)
    if record is None:
        # A step before any that a controller may have written.
        record = rollout.Record(
            order.id,
            order.to,
            0.0,
            0.0,
            rollout.Phase.ROLLED_BACK,
            step=-1,
            reason='withdrawn',
        )
    return rollout.State(state.service, None, record)


def is_running(state):
    """Return whether a rollout has not ended.

    Args:
        state: A `rollout.State`.
    """
    record = current_record(state)
    if record is None:
        return state.order is not None
    return not record.phase.ended


def current_record(state):
    """Return the record of a state's order; None if there is none yet.

    A completed record of the version that is ordered again counts: a store
    that returned from a copy names the same order with another identity.

    Args:
        state: A `rollout.State`.
    """
    record, order = state.record, state.order
    if record is None or order is None or record.order == order.id:
        return record
    if record.phase is rollout.Phase.COMPLETED and record.to == order.to:
        return record
    return None


def ordered_version(state):
    """Return the version that a state's order names; empty for none.

    Args:
        state: A `rollout.State`.
    """
    if state.order is not None:
        return state.order.to
    return '' if state.record is None else state.record.to


def admission(table, service, version, vm, now):
    """Return the `Admission` of a gate.

    Args:
        table: A `StateTable`.
        service: Service of the gate.
        version: Version of its upstream's software; empty if unknown.
        vm: VM of the gate.
        now: Seconds of `boottime`.
    """
    entry = table.entries.get(service)
    if not table.complete:
        return Admission(closed='the orders of rollouts are not known yet')
    if entry is None:
        return Admission()
    state = entry.state
    record = current_record(state)
    if version and version == entry.settled == ordered_version(state):
        # A version that serves already is ordered once more.
        return _admission_of_settled(record, vm)
    if version and version == ordered_version(state):
        return _admission_of_new(entry, record, vm, now)
    if version in entry.barred:
        return Admission(closed='the rollout of this version was ended')
    if entry.settled and version != entry.settled:
        return Admission(closed='another version was rolled out')
    if record is not None and state.order is not None:
        if record.phase is rollout.Phase.CLOSING:
            return Admission(closed='the old version is being replaced')
    return Admission()


def _admission_of_settled(record, vm):
    if record is not None and record.phase is rollout.Phase.COMPLETED:
        if vm in record.excluded:
            return Admission(closed='the upstream was found faulty')
    return Admission()


def _admission_of_new(entry, record, vm, now):
    if record is None:
        return Admission(NEW, 'the rollout of this version has not begun')
    if entry.state.order is None:
        return Admission(NEW, 'the rollout of this version was withdrawn')
    if record.phase is rollout.Phase.ROLLED_BACK:
        return Admission(NEW, 'this version was rolled back')
    if vm in record.excluded:
        return Admission(NEW, 'the upstream was found faulty')
    if record.phase is rollout.Phase.CLOSING:
        return Admission(NEW)
    if now - entry.renewed_at > STATE_TIMEOUT_S:
        return Admission(NEW, 'the state of the rollout has expired')
    if record.phase is rollout.Phase.CANARY and vm not in record.canaries:
        return Admission(NEW, 'the upstream is not among the first')
    return Admission(NEW)


def share(table, service, now):
    """Return the share of a service's requests for the new version.

    Args:
        table: A `StateTable`.
        service: Name of the service.
        now: Seconds of `boottime`.
    """
    entry = table.entries.get(service)
    if entry is None or not is_running(entry.state):
        return 0.0
    record = current_record(entry.state)
    if record is None or entry.state.order is None:
        return 0.0
    if record.phase is rollout.Phase.CLOSING:
        return 1.0
    if now - entry.renewed_at > STATE_TIMEOUT_S:
        return 0.0
    return record.share


def choose_track(table, service, now):
    """Return the `Preference` of the next request, and count it.

    Args:
        table: A `StateTable`.
        service: Name of the service.
        now: Seconds of `boottime`.
    """
    entry = table.entries.get(service)
    if entry is None:
        return Preference(STABLE)
    ended = _preference_without_draw(entry)
    if ended is not None:
        return ended
    due = share(table, service, now)
    entry.credit += due
    # Sums of shares such as 0.1 may fall short of 1 by a rounding error.
    if due and entry.credit >= 1.0 - 1e-9:
        entry.credit -= 1.0
        return Preference(NEW, Fallback.NO_ROOM)
    return Preference(STABLE, _fallback_of_stable(entry))


def redirect(table, service):
    """Return the `Preference` of a request after an offer that failed.

    Until the old version closes, further offers go there: the new version may
    have caused the failure.

    Args:
        table: A `StateTable`.
        service: Name of the service.
    """
    entry = table.entries.get(service)
    if entry is None:
        return Preference(STABLE)
    return _preference_without_draw(entry) or Preference(
        STABLE, _fallback_of_stable(entry)
    )


def _fallback_of_stable(entry):
    """Return the `Fallback` of a request for the old version.

    At a share of 1 the old gates may already be closed, which this daemon
    then learns a moment later.
    """
    record = current_record(entry.state)
    if record is not None and record.share >= 1.0:
        return Fallback.NONE_OPEN
    return Fallback.NEVER


def _preference_without_draw(entry):
    """Return the `Preference` in phases in which no share counts."""
    record = current_record(entry.state)
    if record is None:
        return Preference(STABLE)
    if record.phase is rollout.Phase.COMPLETED:
        # Gates which have not heard of it still report the new track.
        return Preference(STABLE, Fallback.NONE_OPEN)
    if entry.state.order is None or record.phase.ended:
        return Preference(STABLE)
    if record.phase is rollout.Phase.CLOSING:
        return Preference(NEW, Fallback.NONE_OPEN)
    return None


def _remember_former(entry, state):
    """Note how the former order ended, when another one replaces it."""
    former = entry.state
    if ordered_version(former) == ordered_version(state):
        return
    record = current_record(former)
    if record is None or record.phase is not rollout.Phase.COMPLETED:
        if ordered_version(former):
            entry.barred |= {ordered_version(former)}


def _rank(state):
    """Return the sort key by age: by order, step, then withdrawn or not."""
    record = state.record
    recorded = rollout.OrderId() if record is None else record.order
    if state.order is None:
        return (recorded, 0 if record is None else record.step, True)
    step = record.step if record and recorded == state.order.id else -1
    return (max(recorded, state.order.id), step, False)
