"""Membership table: member records, and the rules for merging them.

Each daemon issues its own record, ordered by incarnation and revision.
Other daemons may mark a revision as SUSPECT or DEAD; any newer revision from
the owner overrides that.
"""

import dataclasses
import re
import typing
import zlib

import msgspec

from jujubefold import dispatch
from jujubefold import effects
from jujubefold import errors
from jujubefold import events
from jujubefold import gossip
from jujubefold import messages

MAX_MEMBERS = 8192
MAX_RECORDS = 256
MAX_TEXT_LENGTH = 64
MAX_COUNTER = 1 << 40
MAX_SLOTS = 10_000
# Records whose incarnation is further ahead of the local clock are rejected.
MAX_INCARNATION_AHEAD_S = 86_400.0
SUSPICION_S = 4.0
# Longer than a partition, so that its two sides still try each other.
DEAD_RETENTION_S = 7200.0
LEFT_RETENTION_S = 900.0
# A longer interval between two ticks means that this process was paused.
PAUSE_THRESHOLD_S = 1.5
# During a longer interval between ticks no messages were processed, so
# deadlines are extended by it.
LAG_THRESHOLD_S = 0.4
# Time without progress on the call path before the daemon reports that it
# cannot serve.
WEDGED_AFTER_S = 3.0
MAX_HEALTH_SCORE = 4
BUCKETS = 64

_INCARNATION_SHIFT = 16
_MILLISECONDS = 1000
_LIVE = frozenset({messages.MemberState.ALIVE, messages.MemberState.SUSPECT})
_LEAVING = frozenset(
    {messages.UpstreamState.DRAINING, messages.UpstreamState.GONE}
)
_STATE_RANK = {
    messages.MemberState.ALIVE: 0,
    messages.MemberState.SUSPECT: 1,
    messages.MemberState.DEAD: 2,
    messages.MemberState.LEFT: 3,
}
_ADDRESS = re.compile(r'(\d{1,3}\.){3}\d{1,3}:\d{1,5}')
_encoder = msgspec.msgpack.Encoder()


@dataclasses.dataclass(slots=True)
class Digests:
    """Digests of the live members, updated incrementally.

    Args:
        view: XOR over VM, incarnation and revision of each live member.
        roster: XOR over VM and incarnation of each live member.
        buckets: `view` split into buckets by a hash of the VM name.
    """

    view: int = 0
    roster: int = 0
    buckets: list[int] = dataclasses.field(
        default_factory=lambda: [0] * BUCKETS
    )


@dataclasses.dataclass(slots=True)
class MembershipTable:
    """All member records, including this daemon's own.

    Only the functions of this module may change `members`, apart from
    `progress`, which updates `in_force`.

    Args:
        local: This daemon's own record.
        members: Records of other daemons by VM name, dead ones included.
        contacts: Peer addresses from settings to join through.
        updates: Records to piggyback on messages.
        flood_queue: Records to send to all neighbours at once, by VM.
        observers: Monotonic seconds at which each peer address last probed
            this daemon.
        next_flood_at: Monotonic seconds before which nothing is flooded.
        suspect_deadlines: Monotonic seconds at which a suspect is declared
            dead, by VM.
        tombstones: Monotonic seconds at which the record of a dead or left
            member is removed, by VM.
        disputed: DEAD records received for members that are live here, by
            VM; each is probed once.
        by_address: VM name of the live member at each peer address.
        change_count: Number of record changes; invalidates caches.
        liveness_changes: VMs that became or ceased to be live since the
            overlay was last updated.
        digests: A `Digests`.
        overlay: An `overlay.Rings`, or None until built.
        health_score: 0 when healthy; raised when this daemon itself may be
            why answers are missing, which lengthens its probe time-outs.
        last_tick_at: Monotonic seconds of the last tick, or None.
        tick_lag: Seconds that a late tick extends deadlines by, else 0.
        paused_at: Monotonic seconds of the end of the last pause, or None.
        serving: Whether this daemon's call path makes progress.
        stalled_since: Monotonic seconds since which `serving` is false, or
            None.
        wedged: Whether this daemon has reported that it cannot serve.
        announced_state: State that the upstream on this VM announced.
        leaving: Whether this daemon is draining before it stops.
        stopped: Whether this daemon has asked to stop, because another
            daemon replaced it or its revisions are exhausted.
        rejected_count: Records that failed validation.
    """

    local: messages.Member
    members: dict[str, messages.Member] = dataclasses.field(
        default_factory=dict
    )
    contacts: tuple[str, ...] = ()
    updates: gossip.UpdateQueue = dataclasses.field(
        default_factory=gossip.UpdateQueue
    )
    flood_queue: dict[str, messages.Member] = dataclasses.field(
        default_factory=dict
    )
    observers: dict[str, float] = dataclasses.field(default_factory=dict)
    next_flood_at: float = 0.0
    suspect_deadlines: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    tombstones: dict[str, float] = dataclasses.field(default_factory=dict)
    disputed: dict[str, messages.Member] = dataclasses.field(
        default_factory=dict
    )
    by_address: dict[str, str] = dataclasses.field(default_factory=dict)
    change_count: int = 0
    liveness_changes: list[str] = dataclasses.field(default_factory=list)
    digests: Digests = dataclasses.field(default_factory=Digests)
    overlay: typing.Any = None
    health_score: int = 0
    last_tick_at: float | None = None
    tick_lag: float = 0.0
    paused_at: float | None = None
    serving: bool = True
    stalled_since: float | None = None
    wedged: bool = False
    announced_state: messages.UpstreamState = messages.UpstreamState.ABSENT
    leaving: bool = False
    stopped: bool = False
    rejected_count: int = 0


def new_table(identity, contacts=()):
    """Return the table of a daemon that knows no other member.

    Args:
        identity: An `identity.Identity`, with bound addresses.
        contacts: Peer addresses from settings; the daemon's own address is
            left out.
    """
    local = messages.Member(
        vm=identity.vm,
        incarnation=identity.incarnation,
        region=identity.region,
        failure_domain=identity.failure_domain,
        peer_address=identity.peer_address,
        call_address=identity.call_address,
        admin_address=identity.admin_address,
        revision=1,
    )
    others = tuple(a for a in contacts if a != identity.peer_address)
    table = MembershipTable(local, contacts=others)
    _toggle_digests(table, local)
    return table


def live_members(table):
    """Yield the records of other daemons that are alive or suspect.

    Args:
        table: A `MembershipTable`.
    """
    for member in table.members.values():
        if member.state in _LIVE:
            yield member


def is_live(member):
    """Return whether a record, which may be None, is alive or suspect."""
    return member is not None and member.state in _LIVE


def fleet_size(table):
    """Return the number of live daemons, this one included."""
    return len(table.by_address) + 1


def merge(known, received):
    """Merge two records of one VM.

    The result is their least upper bound: `merge` is commutative,
    associative and idempotent, and never lowers an incarnation.

    Args:
        known: A `messages.Member`.
        received: A `messages.Member` of the same VM.
    """
    if known.incarnation != received.incarnation:
        return max(known, received, key=_incarnation)
    best = max(known, received, key=_precedence)
    in_force = max(known.in_force, received.in_force)
    if best.in_force == in_force:
        return best
    return msgspec.structs.replace(best, in_force=in_force)


def apply(table, member, context):
    """Validate and merge one record received from another daemon.

    A DEAD record of a live member is not adopted: it causes a probe.

    Args:
        table: A `MembershipTable`.
        member: A `messages.Member`, untrusted.
        context: A `dispatch.Context`.

    Returns:
        Iterator of `effects.Effect`.
    """
    if not _is_valid(table, member, context):
        table.rejected_count += 1
        return
    if member.vm == table.local.vm:
        yield from _handle_local_record(table, member)
        return
    if _takes_local_address(table, member):
        yield from _stop(table, f'{member.vm} has taken this address')
        return
    known = table.members.get(member.vm)
    if member.state is messages.MemberState.DEAD:
        _note_dispute(table, known, member)
        return
    if known is None:
        if len(table.members) >= MAX_MEMBERS and table.tombstones:
            _remove(table, next(iter(table.tombstones)))
        if len(table.members) < MAX_MEMBERS:
            yield from _store_record(table, member, context)
        return
    merged = merge(known, member)
    if merged != known:
        yield from _store_record(table, merged, context)


def apply_all(table, members, context):
    """Apply the first `MAX_RECORDS` of the received records.

    Returns:
        Iterator of `effects.Effect`.
    """
    for member in members[:MAX_RECORDS]:
        yield from apply(table, member, context)


def suspect(table, vm, context):
    """Mark an alive member as suspect after its probes timed out.

    Returns:
        Iterator of `effects.Effect`.
    """
    known = table.members.get(vm)
    if known is None or known.state is not messages.MemberState.ALIVE:
        return
    changed = msgspec.structs.replace(
        known, state=messages.MemberState.SUSPECT
    )
    yield from _store_record(table, changed, context)


def declare_dead(table, vm, context):
    """Mark a live member as dead; a newer record from it revives it.

    Returns:
        Iterator of `effects.Effect`.
    """
    known = table.members.get(vm)
    if not is_live(known):
        return
    changed = msgspec.structs.replace(known, state=messages.MemberState.DEAD)
    yield from _store_record(table, changed, context)


def update_local(table, **changes):
    """Change this daemon's own record and queue it for sending.

    Args:
        table: A `MembershipTable`.
        changes: Fields of `messages.Member` and their new values.
    """
    before = table.local
    if all(getattr(before, key) == value for key, value in changes.items()):
        return
    _toggle_digests(table, before)
    table.local = msgspec.structs.replace(
        before, revision=before.revision + 1, **changes
    )
    _toggle_digests(table, table.local)
    table.change_count += 1
    _queue_update(table, table.local, before)


def set_in_force(table, number):
    """Record which configuration version this daemon has in force.

    Others receive it in `messages.Progress`; no new revision is issued.

    Args:
        table: A `MembershipTable`.
        number: Version number.
    """
    table.local = msgspec.structs.replace(table.local, in_force=number)


def set_serving(table, serving, now):
    """Record whether this daemon's call path makes progress.

    Args:
        table: A `MembershipTable`.
        serving: Result of the runtime's self-check.
        now: Monotonic seconds.
    """
    if serving:
        table.stalled_since = None
    elif table.serving:
        table.stalled_since = now
    table.serving = serving


def drain(table):
    """Announce that this daemon takes no new calls, ahead of other updates.

    Args:
        table: A `MembershipTable`.
    """
    table.leaving = True
    table.next_flood_at = 0.0
    update_local(table, upstream_state=messages.UpstreamState.DRAINING)


def leave(table):
    """Announce that this daemon has left, in its last record.

    The next tick sends the record to the neighbours.

    Args:
        table: A `MembershipTable`.
    """
    table.leaving = True
    table.next_flood_at = 0.0
    update_local(
        table,
        state=messages.MemberState.LEFT,
        upstream_state=messages.UpstreamState.GONE,
    )


def updates_for(table, recipient=None, introduce=False):
    """Return the records to piggyback on a message to one daemon.

    Args:
        table: A `MembershipTable`.
        recipient: Record of the receiver, or None; included unless ALIVE,
            so that the receiver can refute it.
        introduce: Whether to include this daemon's own record.

    Returns:
        Tuple of `messages.Member`.
    """
    first = []
    if (
        recipient is not None
        and recipient.state is not messages.MemberState.ALIVE
    ):
        first.append(recipient)
    if introduce:
        first.append(table.local)
    return (*first, *table.updates.take())


def bucket_index(vm):
    """Return the index in `Digests.buckets` of a VM."""
    return zlib.crc32(vm.encode()) % BUCKETS


def run(tables, context):
    """Detect pauses and stalls, and act on expired deadlines.

    Expired suspects become dead; expired tombstones are removed.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.membership
    yield from _detect_pause(table, context)
    yield from _check_serving(table, context)
    for vm in _due(table.suspect_deadlines, context.now):
        yield from declare_dead(table, vm, context)
    for vm in _due(table.tombstones, context.now):
        _remove(table, vm)


@dispatch.handle.register
def _(item: messages.Gossip, tables, context, sender=''):
    yield from apply_all(tables.membership, item.updates, context)


@dispatch.handle.register
def _(item: dispatch.UpstreamChanged, tables, context, sender=''):
    table = tables.membership
    table.announced_state = item.state
    if table.leaving or table.wedged:
        return
    changes = {'service': item.service, 'slots': item.slots}
    serves = item.state is messages.UpstreamState.SERVING
    if serves and table.local.upstream_state is not item.state:
        changes['ready_at_ms'] = int(context.wall_time * _MILLISECONDS)
    update_local(table, upstream_state=item.state, **changes)
    yield from ()


@dispatch.handle.register
def _(item: dispatch.StopRequested, tables, context, sender=''):
    drain(tables.membership)
    yield from ()


def _incarnation(member):
    return member.incarnation


def _precedence(member):
    return (
        member.state is messages.MemberState.LEFT,
        member.revision,
        _STATE_RANK[member.state],
        _encoder.encode(msgspec.structs.replace(member, in_force=0)),
    )


def _is_valid(table, member, context):
    clock_ms = context.wall_time * _MILLISECONDS
    own_ms = table.local.incarnation >> _INCARNATION_SHIFT
    latest = max(clock_ms, own_ms) + MAX_INCARNATION_AHEAD_S * _MILLISECONDS
    return (
        0 <= member.incarnation >> _INCARNATION_SHIFT <= latest
        and 0 <= member.revision <= MAX_COUNTER
        and 0 <= member.in_force <= MAX_COUNTER
        and 0 <= member.ready_at_ms <= 2 * latest
        and 0 <= member.slots <= MAX_SLOTS
        and bool(member.vm)
        and all(len(text) <= MAX_TEXT_LENGTH for text in _texts(member))
        and bool(_ADDRESS.fullmatch(member.peer_address))
    )


def _texts(member):
    yield member.vm
    yield member.region
    yield member.failure_domain
    yield member.call_address
    yield member.admin_address
    yield member.service


def _handle_local_record(table, received):
    local = table.local
    if received.incarnation < local.incarnation:
        return
    if received.incarnation > local.incarnation:
        yield from _stop(table, f'a newer daemon is named {local.vm}')
        return
    if local.state is messages.MemberState.LEFT:
        return
    reported_not_alive = received.state is not messages.MemberState.ALIVE
    ahead = received.revision > local.revision
    if not ahead and not (
        reported_not_alive and received.revision == local.revision
    ):
        return
    if received.state is messages.MemberState.LEFT:
        yield from _stop(
            table, 'other daemons hold a record that this daemon left'
        )
        return
    if received.revision >= MAX_COUNTER:
        yield from _stop(
            table, 'revision numbers are exhausted; restart this daemon'
        )
        return
    table.health_score = min(MAX_HEALTH_SCORE, table.health_score + 1)
    _refute(table, received)
    yield _record('member.refuted', local.vm, received.state.value)


def _refute(table, received):
    _toggle_digests(table, table.local)
    table.local = msgspec.structs.replace(
        table.local, revision=received.revision + 1
    )
    _toggle_digests(table, table.local)
    table.updates.add(table.local, gossip.Priority.HEALTH)
    table.flood_queue[table.local.vm] = table.local


def _takes_local_address(table, member):
    local = table.local
    return (
        member.peer_address == local.peer_address
        and member.state is messages.MemberState.ALIVE
        and member.incarnation > local.incarnation
    )


def _stop(table, reason):
    if table.stopped:
        return
    table.stopped = True
    yield _record('member.replaced', table.local.vm, reason)
    yield effects.Stop(reason)


def _note_dispute(table, known, received):
    if not is_live(known):
        return
    same = known.incarnation == received.incarnation
    if same and received.revision >= known.revision:
        table.disputed[known.vm] = received


def _store_record(table, member, context):
    known = table.members.get(member.vm)
    if is_live(known):
        _toggle_digests(table, known)
        if table.by_address.get(known.peer_address) == known.vm:
            del table.by_address[known.peer_address]
    table.members[member.vm] = member
    table.change_count += 1
    if is_live(member):
        _toggle_digests(table, member)
    if is_live(known) != is_live(member):
        table.liveness_changes.append(member.vm)
    _set_deadline(table, member, context.now)
    _queue_update(table, member, known)
    yield from _change_events(known, member)
    if is_live(member):
        yield from _resolve_address_conflict(table, member, context)


def _resolve_address_conflict(table, member, context):
    vm = table.by_address.setdefault(member.peer_address, member.vm)
    if vm == member.vm:
        return
    pair = (table.members[vm], member)
    older, newer = sorted(pair, key=_incarnation)
    table.by_address[member.peer_address] = newer.vm
    yield _record('member.address_shared', older.vm, member.peer_address)
    yield from declare_dead(table, older.vm, context)


def _set_deadline(table, member, now):
    vm = member.vm
    table.disputed.pop(vm, None)
    table.suspect_deadlines.pop(vm, None)
    table.tombstones.pop(vm, None)
    match member.state:
        case messages.MemberState.SUSPECT:
            table.suspect_deadlines[vm] = now + SUSPICION_S * (
                1 + min(table.health_score, 1)
            )
        case messages.MemberState.DEAD:
            table.tombstones[vm] = now + DEAD_RETENTION_S
        case messages.MemberState.LEFT:
            table.tombstones[vm] = now + LEFT_RETENTION_S


def _queue_update(table, member, known):
    if member.state is messages.MemberState.DEAD:
        table.updates.discard(member.vm)
        return
    priority = _priority(member, known)
    table.updates.add(member, priority)
    if priority is not gossip.Priority.OTHER:
        table.flood_queue[member.vm] = member


def _priority(member, known):
    if member.state is messages.MemberState.LEFT:
        return gossip.Priority.LEAVING
    previous = known.upstream_state if known else None
    if member.upstream_state in _LEAVING and member.upstream_state != previous:
        return gossip.Priority.LEAVING
    if member.state is messages.MemberState.SUSPECT:
        return gossip.Priority.HEALTH
    if known and _refutes(known, member):
        return gossip.Priority.HEALTH
    return gossip.Priority.OTHER


def _refutes(known, member):
    same = known.incarnation == member.incarnation
    return same and known.state is not messages.MemberState.ALIVE


def _change_events(known, member):
    previous_state = known.state if known else None
    if member.state is not previous_state:
        yield _record(f'member.{member.state.value}', member.vm)
    elif known.incarnation != member.incarnation:
        yield _record('member.restarted', member.vm)
    previous = known.upstream_state if known else None
    if member.upstream_state in _LEAVING and member.upstream_state != previous:
        yield _record('member.draining', member.vm)


def _record(name, vm, detail=''):
    text = f'{vm}: {detail}' if detail else vm
    return effects.RecordEvent(events.Event(name, detail=text))


def _toggle_digests(table, member):
    """Add a live record to the digests, or remove it (XOR)."""
    roster = zlib.crc32(f'{member.vm}/{member.incarnation}'.encode())
    view = zlib.crc32(f'/{member.revision}'.encode(), roster)
    table.digests.roster ^= roster
    table.digests.view ^= view
    table.digests.buckets[bucket_index(member.vm)] ^= view


def _detect_pause(table, context):
    last = table.last_tick_at
    table.last_tick_at = context.now
    gap = 0.0 if last is None else context.now - last
    table.tick_lag = gap if gap > LAG_THRESHOLD_S else 0.0
    grace = SUSPICION_S if gap > PAUSE_THRESHOLD_S else 0.0
    for vm in table.suspect_deadlines:
        table.suspect_deadlines[vm] += table.tick_lag + grace
    if gap <= PAUSE_THRESHOLD_S:
        return
    table.paused_at = context.now
    table.health_score = min(MAX_HEALTH_SCORE, table.health_score + 2)
    yield _record('daemon.paused', table.local.vm, f'{gap:.1f} s')


def _check_serving(table, context):
    if table.leaving:
        return
    if table.wedged and table.serving:
        table.wedged = False
        update_local(table, upstream_state=table.announced_state)
    if table.wedged or table.stalled_since is None:
        return
    if context.now - table.stalled_since >= WEDGED_AFTER_S:
        table.wedged = True
        yield _record('daemon.wedged', table.local.vm)
        if table.announced_state is messages.UpstreamState.SERVING:
            update_local(table, upstream_state=messages.UpstreamState.GONE)


def _due(times, now):
    return [vm for vm, at in times.items() if now >= at]


def _remove(table, vm):
    del table.tombstones[vm]
    del table.members[vm]
    table.change_count += 1
    table.updates.discard(vm)


def require_consistent(table):
    """Check the table's indexes against its members.

    Raises:
        errors.BrokenInvariant: An index disagrees with `members`.
    """
    alive = {member.vm for member in live_members(table)}
    if set(table.by_address.values()) != alive:
        raise errors.BrokenInvariant(
            'by_address does not match the live members'
        )
    if set(table.suspect_deadlines) - alive:
        raise errors.BrokenInvariant(
            'suspect_deadlines names a member that is not live'
        )
