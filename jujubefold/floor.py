"""Floor: the version number below which an address must not serve again.

A daemon has no disk, so after a start it first learns what its address may
have served before: from the head in the store, or from witnesses, which
note a version for an address before it is in force there.
"""

import dataclasses
import hashlib
import heapq

from jujubefold import dispatch
from jujubefold import effects
from jujubefold import events
from jujubefold import messages

ASK_INTERVAL_S = 1.0
MAX_NOTES = 10_000

_MILLISECONDS = 1000


@dataclasses.dataclass(slots=True)
class Noting:
    """A version that witnesses are asked to note.

    Args:
        number: Version number.
        digest: Its document digest.
        noted: Peer address and incarnation of witnesses that noted it.
        ask_at: Monotonic seconds at which to ask again.
    """

    number: int
    digest: str
    noted: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    ask_at: float = 0.0


@dataclasses.dataclass(slots=True)
class FloorTable:
    """What is known about numbers that were served before.

    Args:
        known: Floor of this daemon's address, or None.
        head: Highest head number this daemon itself read, or None.
        head_at: Monotonic seconds of its first read of the head.
        notes: Highest number noted here, by other daemons' address.
        noting: The newest version that witnesses are asked to note.
        answers: Witnesses' answers by their address, while `known` is None.
        ask_at: Monotonic seconds at which to ask witnesses next.
    """

    known: int | None = None
    head: int | None = None
    head_at: float = 0.0
    notes: dict[str, int] = dataclasses.field(default_factory=dict)
    noting: Noting | None = None
    answers: dict[str, messages.Floor] = dataclasses.field(
        default_factory=dict
    )
    ask_at: float | None = None


def quorum(count):
    """Return how many of `count` witnesses must note a version."""
    return count // 2 + 1


def witnesses(table, count, candidates):
    """Return the witnesses of this daemon's address, best first.

    Every daemon ranks candidates by a hash over both addresses, those of
    other failure domains first, so that one that comes or goes moves only
    its own place.

    Args:
        table: A `membership.MembershipTable`.
        count: Most witnesses wanted.
        candidates: Iterable of `messages.Member`.
    """
    me = table.local
    ranked = heapq.nsmallest(
        count,
        candidates,
        key=lambda member: (
            member.failure_domain == me.failure_domain,
            _weight(me.peer_address, member.vm),
        ),
    )
    return tuple(ranked)


def observe_head(table, number, now):
    """Take a head that this daemon itself read from the store.

    Args:
        table: A `FloorTable`.
        number: Head number; an older one than seen before does nothing.
        now: Monotonic seconds.

    Returns:
        Iterator of `effects.Effect`.
    """
    if table.head is None:
        table.head_at = now
    table.head = max(table.head or 0, number)
    if table.known is None:
        yield from _know(table, table.head, 'head')


def permits(table, number):
    """Return whether the floor lets a version be in force.

    Args:
        table: A `FloorTable`.
        number: Version number.
    """
    return table.known is not None and number >= table.known


def is_noted(tables, options, version, now):
    """Return whether enough witnesses noted a version.

    Args:
        tables: The daemon's `core.Tables`.
        options: A `settings.Dissemination`.
        version: A `versions.Version`; asked for from now on.
        now: Monotonic seconds.
    """
    if not options.witnesses:
        return True
    chosen = _noting_witnesses(tables.membership, options)
    if not chosen:
        return True
    table = tables.dissemination.floors
    if table.noting is None or table.noting.number < version.number:
        table.noting = Noting(version.number, version.digest, ask_at=now)
    noted = sum(_name(member) in table.noting.noted for member in chosen)
    return noted >= quorum(len(chosen))


def run(tables, context):
    """Ask witnesses where due.

    Returns:
        Iterator of `effects.Effect`.
    """
    options = tables.dissemination.options
    if options.witnesses:
        yield from _ask_notes(tables, options, context)
        yield from _ask_floor(tables, options, context)


def _noting_witnesses(table, options):
    """Return the best ranked that did not leave.

    One that seems dead keeps its place: it may only be out of reach, and
    be asked for the floor later by a start of this address.
    """
    return witnesses(
        table,
        options.witnesses,
        (
            member
            for member in table.members.values()
            if member.state is not messages.MemberState.LEFT
        ),
    )


def _name(member):
    return member.peer_address, member.incarnation


def _ask_notes(tables, options, context):
    """Ask until all noted; one that starts anew is asked again."""
    noting = tables.dissemination.floors.noting
    if noting is None or context.now < noting.ask_at:
        return
    noting.ask_at = context.now + ASK_INTERVAL_S
    me = tables.membership.local
    note = messages.Note(
        me.peer_address, me.incarnation, noting.number, noting.digest
    )
    for member in _noting_witnesses(tables.membership, options):
        if member.state is messages.MemberState.DEAD:
            continue
        if _name(member) not in noting.noted:
            yield effects.Send(member.peer_address, note, urgent=True)


def _ask_floor(tables, options, context):
    table = tables.dissemination.floors
    if table.known is not None or not tables.joining.joined:
        return
    if table.ask_at is None:
        table.ask_at = context.now + options.settle
    if context.now < table.ask_at:
        return
    table.ask_at = context.now + ASK_INTERVAL_S
    table.answers.clear()
    query = messages.FloorQuery(tables.membership.local.peer_address)
    for member in _known_witnesses(tables, options):
        yield effects.Send(member.peer_address, query)


def _known_witnesses(tables, options):
    """Return the best ranked, those that died or left included.

    One that is gone may have noted a version, so it keeps its place.
    """
    table = tables.membership
    return witnesses(table, options.witnesses, table.members.values())


def _needed(count):
    """Return how many answers meet every quorum of `count` witnesses."""
    return count - quorum(count) + 1


def _know(table, number, source):
    table.known = number
    table.answers.clear()
    yield effects.RecordEvent(
        events.Event('floor.known', version=number, detail=source)
    )


def _weight(address, vm):
    data = f'{address}/{vm}'.encode()
    return hashlib.blake2b(data, digest_size=8).digest()


@dispatch.handle.register
def _note(item: messages.Note, tables, context, sender=''):
    notes = tables.dissemination.floors.notes
    noted = max(notes.pop(item.address, 0), item.number)
    notes[item.address] = noted
    if len(notes) > MAX_NOTES:
        notes.pop(next(iter(notes)))
    answer = messages.Noted(item.address, noted)
    yield effects.Send(sender, answer, urgent=True)


@dispatch.handle.register
def _noted(item: messages.Noted, tables, context, sender=''):
    noting = tables.dissemination.floors.noting
    if noting is not None and item.number >= noting.number:
        noting.noted.update(
            _name(member)
            for member in tables.membership.members.values()
            if member.peer_address == sender
        )
    yield from ()


@dispatch.handle.register
def _floor_query(item: messages.FloorQuery, tables, context, sender=''):
    table = tables.dissemination.floors
    since = 0.0
    if table.head is not None:
        since = max(context.now - table.head_at, 1 / _MILLISECONDS)
    tip = tables.dissemination.tip
    accepted = max(table.head or 0, tip.version.number if tip else 0)
    answer = messages.Floor(
        item.address,
        table.notes.get(item.address, 0),
        int(since * _MILLISECONDS),
        accepted,
    )
    yield effects.Send(sender, answer)


@dispatch.handle.register
def _floor(item: messages.Floor, tables, context, sender=''):
    options = tables.dissemination.options
    table = tables.dissemination.floors
    asked = {
        member.peer_address for member in _known_witnesses(tables, options)
    }
    if table.known is not None or sender not in asked or not item.since_ms:
        return
    table.answers[sender] = item
    counted = [table.answers[name] for name in asked & set(table.answers)]
    if len(asked) >= options.witnesses and len(counted) >= _needed(
        options.witnesses
    ):
        number = max(max(each.noted, each.held) for each in counted)
        yield from _know(table, number, 'witnesses')
