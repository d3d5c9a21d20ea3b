"""Membership: the table of daemons, and how news about them merges.

A record is its owner's statement, ordered by incarnation and revision.
States SUSPECT and DEAD are opinions of others about one statement; any
newer statement of the owner ends them.
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
MAX_TEXT = 64
MAX_COUNTER = 1 << 40
MAX_SLOTS = 10_000
# Incarnations further ahead of the local clock than this are refused.
MAX_AHEAD_S = 86_400.0
SUSPICION_S = 4.0
# Outlasts a partition, so that its two sides still try each other.
DEAD_KEPT_S = 7200.0
LEFT_KEPT_S = 900.0
# A longer gap between two ticks means that this process was paused.
STALL_S = 1.5
# A gap above this is time in which this process heard nobody.
LAG_S = 0.4
# Time for which a daemon may be unable to serve before it says so.
WEDGED_S = 3.0
MAX_HEALTH_SCORE = 4
BUCKETS = 64

_INCARNATION_SHIFT = 16
_MILLISECONDS = 1000
_LIVE = frozenset({messages.MemberState.ALIVE, messages.MemberState.SUSPECT})
_LEAVING = frozenset(
    {messages.UpstreamState.DRAINING, messages.UpstreamState.GONE}
)
_OPINION_RANK = {
    messages.MemberState.ALIVE: 0,
    messages.MemberState.SUSPECT: 1,
    messages.MemberState.DEAD: 2,
    messages.MemberState.LEFT: 3,
}
_ADDRESS = re.compile(r'(\d{1,3}\.){3}\d{1,3}:\d{1,5}')
_encoder = msgspec.msgpack.Encoder()


@dataclasses.dataclass(slots=True)
class Digests:
    """Digests of the live members, kept up to date by changes.

    Args:
        view: Over VM, incarnation and revision of all.
        roster: Over VM and incarnation of all.
        buckets: The view's parts, by hash of the VM name.
    """

    view: int = 0
    roster: int = 0
    buckets: list[int] = dataclasses.field(
        default_factory=lambda: [0] * BUCKETS
    )


@dataclasses.dataclass(slots=True)
class MembershipTable:
    """Members and this daemon's own record.

    Change `members` through the functions of this module only.

    Args:
        local: This daemon's own record.
        members: Other daemons by VM name, the dead included.
        contacts: Peer addresses from settings to join through.
        updates: News that rides on messages.
        flood_queue: Records that go to all neighbours at once, by VM.
        observers: When each peer address last probed this daemon.
        next_flood_at: Monotonic seconds before which nothing is flooded.
        suspects: When a suspect is taken for dead, by VM.
        ended: When a dead or left member is forgotten, by VM.
        doubted: VMs that another daemon holds dead and this one does not.
        by_address: VM of the live member at a peer address.
        change_count: Raised whenever any record changes; lets callers cache.
        moved: VMs that became live or ceased to be, for the overlay.
        digests: A `Digests`.
        overlay: The overlay's rings, once built.
        health_score: 0 for sound; raised when this daemon should doubt itself.
        ticked_at: Monotonic seconds of the last tick, or None.
        lag: Seconds that timers are put off in this tick, mostly 0.
        paused_at: Monotonic seconds of the last pause's end, or None.
        serving: Whether this daemon's call path makes progress.
        stuck_at: When `serving` became false, or None.
        wedged: Whether this daemon told the fleet that it cannot serve.
        announced: Upstream state as announced on this VM.
        leaving: Whether this daemon is draining for good.
        stopped: Whether another daemon took this one's place.
        refused: Records refused at the border.
    """

    local: messages.Member
    members: dict[str, messages.Member] = dataclasses.field(
        default_factory=dict
    )
    contacts: tuple[str, ...] = ()
    updates: gossip.Queue = dataclasses.field(default_factory=gossip.Queue)
    flood_queue: dict[str, messages.Member] = dataclasses.field(
        default_factory=dict
    )
    observers: dict[str, float] = dataclasses.field(default_factory=dict)
    next_flood_at: float = 0.0
    suspects: dict[str, float] = dataclasses.field(default_factory=dict)
    ended: dict[str, float] = dataclasses.field(default_factory=dict)
    doubted: dict[str, messages.Member] = dataclasses.field(
        default_factory=dict
    )
    by_address: dict[str, str] = dataclasses.field(default_factory=dict)
    change_count: int = 0
    moved: list[str] = dataclasses.field(default_factory=list)
    digests: Digests = dataclasses.field(default_factory=Digests)
    overlay: typing.Any = None
    health_score: int = 0
    ticked_at: float | None = None
    lag: float = 0.0
    paused_at: float | None = None
    serving: bool = True
    stuck_at: float | None = None
    wedged: bool = False
    announced: messages.UpstreamState = messages.UpstreamState.ABSENT
    leaving: bool = False
    stopped: bool = False
    refused: int = 0


def new_table(identity, contacts=()):
    """Return the table of a daemon that knows nobody yet.

    Args:
        identity: An `identity.Identity`, with bound addresses.
        contacts: Peer addresses from settings; its own is left out.
    """
    me = messages.Member(
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
    table = MembershipTable(me, contacts=others)
    _toggle(table, me)
    return table


def live_members(table):
    """Yield the other daemons not known to be dead or gone.

    Args:
        table: A `MembershipTable`.
    """
    for member in table.members.values():
        if member.state in _LIVE:
            yield member


def is_live(member):
    """Return whether a record is of a daemon not dead or gone."""
    return member is not None and member.state in _LIVE


def fleet_size(table):
    """Return the number of live daemons, this one included."""
    return len(table.by_address) + 1


def merge(known, heard):
    """Return what two records of one VM say together.

    The result is their least upper bound: `merge` is commutative,
    associative and idempotent, and never lowers an incarnation.

    Args:
        known: A `messages.Member`.
        heard: A `messages.Member` of the same VM.
    """
    if known.incarnation != heard.incarnation:
        return max(known, heard, key=_incarnation)
    best = max(known, heard, key=_order)
    in_force = max(known.in_force, heard.in_force)
    if best.in_force == in_force:
        return best
    return msgspec.structs.replace(best, in_force=in_force)


def apply(table, member, context):
    """Take in one record heard from another daemon.

    Args:
        table: A `MembershipTable`.
        member: A `messages.Member`, not trusted.
        context: A `dispatch.Context`.

    Returns:
        Iterator of `effects.Effect`.
    """
    if not _acceptable(table, member, context):
        table.refused += 1
        return
    if member.vm == table.local.vm:
        yield from _about_me(table, member)
        return
    if _takes_my_address(table, member):
        yield from _stop(table, f'{member.vm} has taken this address')
        return
    known = table.members.get(member.vm)
    if member.state is messages.MemberState.DEAD:
        _doubt(table, known, member)
        return
    if known is None:
        if len(table.members) >= MAX_MEMBERS and table.ended:
            _forget(table, next(iter(table.ended)))
        if len(table.members) < MAX_MEMBERS:
            yield from _store(table, member, context)
        return
    merged = merge(known, member)
    if merged != known:
        yield from _store(table, merged, context)


def apply_all(table, members, context):
    """Take in records, as many as a message may carry.

    Returns:
        Iterator of `effects.Effect`.
    """
    for member in members[:MAX_RECORDS]:
        yield from apply(table, member, context)


def suspect(table, vm, context):
    """Suspect a member that did not answer this daemon's probes.

    Returns:
        Iterator of `effects.Effect`.
    """
    known = table.members.get(vm)
    if known is None or known.state is not messages.MemberState.ALIVE:
        return
    changed = msgspec.structs.replace(
        known, state=messages.MemberState.SUSPECT
    )
    yield from _store(table, changed, context)


def declare_dead(table, vm, context):
    """Take a member for dead; its next statement revives it.

    Returns:
        Iterator of `effects.Effect`.
    """
    known = table.members.get(vm)
    if not is_live(known):
        return
    changed = msgspec.structs.replace(known, state=messages.MemberState.DEAD)
    yield from _store(table, changed, context)


def set_me(table, **changes):
    """Change this daemon's own record and spread the news.

    Args:
        table: A `MembershipTable`.
        changes: Fields of `messages.Member` and their new values.
    """
    before = table.local
    if all(getattr(before, key) == value for key, value in changes.items()):
        return
    _toggle(table, before)
    table.local = msgspec.structs.replace(
        before, revision=before.revision + 1, **changes
    )
    _toggle(table, table.local)
    table.change_count += 1
    _spread(table, table.local, before)


def set_in_force(table, number):
    """Note which configuration version this daemon has in force.

    It travels as a bit of `messages.Progress`, not as a new revision.

    Args:
        table: A `MembershipTable`.
        number: Version number.
    """
    table.local = msgspec.structs.replace(table.local, in_force=number)


def set_serving(table, serving, now):
    """Note whether this daemon's call path makes progress.

    Args:
        table: A `MembershipTable`.
        serving: What the shell's own check found.
        now: Monotonic seconds.
    """
    if serving:
        table.stuck_at = None
    elif table.serving:
        table.stuck_at = now
    table.serving = serving


def drain(table):
    """Say that no new work may come; the news goes ahead of all other.

    Args:
        table: A `MembershipTable`.
    """
    table.leaving = True
    table.next_flood_at = 0.0
    set_me(table, upstream_state=messages.UpstreamState.DRAINING)


def leave(table):
    """Say that this daemon is gone for good; its last statement.

    The next tick sends it to the neighbours.

    Args:
        table: A `MembershipTable`.
    """
    table.leaving = True
    table.next_flood_at = 0.0
    set_me(
        table,
        state=messages.MemberState.LEFT,
        upstream_state=messages.UpstreamState.GONE,
    )


def news(table, about=None, introduce=False):
    """Return the updates to put on a message to one daemon.

    Args:
        table: A `MembershipTable`.
        about: The receiver's record; told what is held against it.
        introduce: Whether to add this daemon's own record.

    Returns:
        Tuple of `messages.Member`.
    """
    first = []
    if about is not None and about.state is not messages.MemberState.ALIVE:
        first.append(about)
    if introduce:
        first.append(table.local)
    return (*first, *table.updates.take())


def bucket_of(vm):
    """Return the index of the sync bucket that a VM belongs to."""
    return zlib.crc32(vm.encode()) % BUCKETS


def run(tables, context):
    """Notice pauses, end suspicions and forget the dead.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.membership
    yield from _watch_time(table, context)
    yield from _watch_serving(table, context)
    for vm in _due(table.suspects, context.now):
        yield from declare_dead(table, vm, context)
    for vm in _due(table.ended, context.now):
        _forget(table, vm)


@dispatch.handle.register
def _(item: messages.Gossip, tables, context, sender=''):
    yield from apply_all(tables.membership, item.updates, context)


@dispatch.handle.register
def _(item: dispatch.UpstreamChanged, tables, context, sender=''):
    table = tables.membership
    table.announced = item.state
    if table.leaving or table.wedged:
        return
    changes = {'service': item.service, 'slots': item.slots}
    serves = item.state is messages.UpstreamState.SERVING
    if serves and table.local.upstream_state is not item.state:
        changes['ready_at_ms'] = int(context.wall_time * _MILLISECONDS)
    set_me(table, upstream_state=item.state, **changes)
    yield from ()


@dispatch.handle.register
def _(item: dispatch.StopRequested, tables, context, sender=''):
    drain(tables.membership)
    yield from ()


def _incarnation(member):
    return member.incarnation


def _order(member):
    return (
        member.state is messages.MemberState.LEFT,
        member.revision,
        _OPINION_RANK[member.state],
        _encoder.encode(msgspec.structs.replace(member, in_force=0)),
    )


def _acceptable(table, member, context):
    clock_ms = context.wall_time * _MILLISECONDS
    own_ms = table.local.incarnation >> _INCARNATION_SHIFT
    latest = max(clock_ms, own_ms) + MAX_AHEAD_S * _MILLISECONDS
    return (
        0 <= member.incarnation >> _INCARNATION_SHIFT <= latest
        and 0 <= member.revision <= MAX_COUNTER
        and 0 <= member.in_force <= MAX_COUNTER
        and 0 <= member.ready_at_ms <= 2 * latest
        and 0 <= member.slots <= MAX_SLOTS
        and bool(member.vm)
        and all(len(text) <= MAX_TEXT for text in _texts(member))
        and bool(_ADDRESS.fullmatch(member.peer_address))
    )


def _texts(member):
    yield member.vm
    yield member.region
    yield member.failure_domain
    yield member.call_address
    yield member.admin_address
    yield member.service


def _about_me(table, heard):
    me = table.local
    if heard.incarnation < me.incarnation:
        return
    if heard.incarnation > me.incarnation:
        yield from _stop(table, f'a newer daemon is named {me.vm}')
        return
    if me.state is messages.MemberState.LEFT:
        return
    opinion = heard.state is not messages.MemberState.ALIVE
    ahead = heard.revision > me.revision
    if not ahead and not (opinion and heard.revision == me.revision):
        return
    if heard.state is messages.MemberState.LEFT:
        yield from _stop(table, 'the fleet holds that this daemon left')
        return
    if heard.revision >= MAX_COUNTER:
        yield from _stop(table, 'revisions are used up; start again')
        return
    table.health_score = min(MAX_HEALTH_SCORE, table.health_score + 1)
    _refute(table, heard)
    yield _record('member.refuted', me.vm, heard.state.value)


def _refute(table, heard):
    _toggle(table, table.local)
    table.local = msgspec.structs.replace(
        table.local, revision=heard.revision + 1
    )
    _toggle(table, table.local)
    table.updates.add(table.local, gossip.Priority.HEALTH)
    table.flood_queue[table.local.vm] = table.local


def _takes_my_address(table, member):
    me = table.local
    return (
        member.peer_address == me.peer_address
        and member.state is messages.MemberState.ALIVE
        and member.incarnation > me.incarnation
    )


def _stop(table, reason):
    if table.stopped:
        return
    table.stopped = True
    yield _record('member.replaced', table.local.vm, reason)
    yield effects.Stop(reason)


def _doubt(table, known, heard):
    if not is_live(known):
        return
    same = known.incarnation == heard.incarnation
    if same and heard.revision >= known.revision:
        table.doubted[known.vm] = heard


def _store(table, member, context):
    known = table.members.get(member.vm)
    if is_live(known):
        _toggle(table, known)
        if table.by_address.get(known.peer_address) == known.vm:
            del table.by_address[known.peer_address]
    table.members[member.vm] = member
    table.change_count += 1
    if is_live(member):
        _toggle(table, member)
    if is_live(known) != is_live(member):
        table.moved.append(member.vm)
    _time(table, member, context.now)
    _spread(table, member, known)
    yield from _notable(known, member)
    if is_live(member):
        yield from _claim_address(table, member, context)


def _claim_address(table, member, context):
    vm = table.by_address.setdefault(member.peer_address, member.vm)
    if vm == member.vm:
        return
    pair = (table.members[vm], member)
    older, newer = sorted(pair, key=_incarnation)
    table.by_address[member.peer_address] = newer.vm
    yield _record('member.address_shared', older.vm, member.peer_address)
    yield from declare_dead(table, older.vm, context)


def _time(table, member, now):
    vm = member.vm
    table.doubted.pop(vm, None)
    table.suspects.pop(vm, None)
    table.ended.pop(vm, None)
    match member.state:
        case messages.MemberState.SUSPECT:
            table.suspects[vm] = now + SUSPICION_S * (
                1 + min(table.health_score, 1)
            )
        case messages.MemberState.DEAD:
            table.ended[vm] = now + DEAD_KEPT_S
        case messages.MemberState.LEFT:
            table.ended[vm] = now + LEFT_KEPT_S


def _spread(table, member, known):
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
    before = known.upstream_state if known else None
    if member.upstream_state in _LEAVING and member.upstream_state != before:
        return gossip.Priority.LEAVING
    if member.state is messages.MemberState.SUSPECT:
        return gossip.Priority.HEALTH
    if known and _refutes(known, member):
        return gossip.Priority.HEALTH
    return gossip.Priority.OTHER


def _refutes(known, member):
    same = known.incarnation == member.incarnation
    return same and known.state is not messages.MemberState.ALIVE


def _notable(known, member):
    before = known.state if known else None
    if member.state is not before:
        yield _record(f'member.{member.state.value}', member.vm)
    elif known.incarnation != member.incarnation:
        yield _record('member.restarted', member.vm)
    was = known.upstream_state if known else None
    if member.upstream_state in _LEAVING and member.upstream_state != was:
        yield _record('member.draining', member.vm)


def _record(name, vm, detail=''):
    text = f'{vm}: {detail}' if detail else vm
    return effects.RecordEvent(events.Event(name, detail=text))


def _toggle(table, member):
    """Add a live record to the digests, or take it out again."""
    roster = zlib.crc32(f'{member.vm}/{member.incarnation}'.encode())
    view = zlib.crc32(f'/{member.revision}'.encode(), roster)
    table.digests.roster ^= roster
    table.digests.view ^= view
    table.digests.buckets[bucket_of(member.vm)] ^= view


def _watch_time(table, context):
    last = table.ticked_at
    table.ticked_at = context.now
    gap = 0.0 if last is None else context.now - last
    table.lag = gap if gap > LAG_S else 0.0
    grace = SUSPICION_S if gap > STALL_S else 0.0
    for vm in table.suspects:
        table.suspects[vm] += table.lag + grace
    if gap <= STALL_S:
        return
    table.paused_at = context.now
    table.health_score = min(MAX_HEALTH_SCORE, table.health_score + 2)
    yield _record('daemon.paused', table.local.vm, f'{gap:.1f} s')


def _watch_serving(table, context):
    if table.leaving:
        return
    if table.wedged and table.serving:
        table.wedged = False
        set_me(table, upstream_state=table.announced)
    if table.wedged or table.stuck_at is None:
        return
    if context.now - table.stuck_at >= WEDGED_S:
        table.wedged = True
        yield _record('daemon.wedged', table.local.vm)
        if table.announced is messages.UpstreamState.SERVING:
            set_me(table, upstream_state=messages.UpstreamState.GONE)


def _due(times, now):
    return [vm for vm, at in times.items() if now >= at]


def _forget(table, vm):
    del table.ended[vm]
    del table.members[vm]
    table.change_count += 1
    table.updates.discard(vm)


def require_consistent(table):
    """Check the table's indexes against its members.

    Raises:
        errors.BrokenInvariant: They disagree.
    """
    alive = {member.vm for member in live_members(table)}
    if set(table.by_address.values()) != alive:
        raise errors.BrokenInvariant('address index and members differ')
    if set(table.suspects) - alive:
        raise errors.BrokenInvariant('a suspect is not live')
