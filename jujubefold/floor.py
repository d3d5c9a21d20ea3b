"""Floor: the version number below which a restarted daemon must not serve.

A daemon keeps no state on disk. After a start it first determines the
highest version that its address may have served before: from the head in
the store, or from witnesses, which are daemons that note the version of an
address before that version is in force there.
"""

import dataclasses
import hashlib
import heapq

from jujubefold import dispatch
from jujubefold import effects
from jujubefold import events
from jujubefold import messages

RETRY_INTERVAL_S = 1.0
MAX_NOTES = 10_000

_MILLISECONDS = 1000


@dataclasses.dataclass(slots=True)
class PendingNote:
    """A version that this daemon asks its witnesses to note.

    Args:
        number: Version number.
        digest: Its document digest.
        noted: Peer address and incarnation of witnesses that noted it.
        send_at: Monotonic seconds of the next request to those missing.
    """

    number: int
    digest: str
    noted: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    send_at: float = 0.0


@dataclasses.dataclass(slots=True)
class FloorTable:
    """The floor of this daemon's address, and notes for other addresses.

    Args:
        floor: Floor of this daemon's address; None until it is determined.
        head: Highest head number this daemon itself read, or None.
        head_read_at: Monotonic seconds of its first read of the head.
        notes: As a witness, the highest number noted, by peer address.
        pending_note: The newest version that witnesses are asked to note.
        answers: Witnesses' answers by address, while `floor` is None.
        query_at: Monotonic seconds of the next query to the witnesses; None
            before the daemon joined.
    """

    floor: int | None = None
    head: int | None = None
    head_read_at: float = 0.0
    notes: dict[str, int] = dataclasses.field(default_factory=dict)
    pending_note: PendingNote | None = None
    answers: dict[str, messages.Floor] = dataclasses.field(
        default_factory=dict
    )
    query_at: float | None = None


def quorum(count):
    """Return how many of `count` witnesses must note a version."""
    return count // 2 + 1


def witnesses(table, count, candidates):
    """Return the witnesses of this daemon's address, highest ranked first.

    Members of other failure domains rank first, then by rendezvous hashing
    of this address and the member's VM. A member that joins or leaves does
    not change the order of the others.

    Args:
        table: A `membership.MembershipTable`.
        count: Maximum number of witnesses.
        candidates: Iterable of `messages.Member`.

    Returns:
        Tuple of `messages.Member`.
    """
    local = table.local
    ranked = heapq.nsmallest(
        count,
        candidates,
        key=lambda member: (
            member.failure_domain == local.failure_domain,
            _hash_rank(local.peer_address, member.vm),
        ),
    )
    return tuple(ranked)


def observe_head(table, number, now):
    """Process a head number that this daemon itself read from the store.

    The first one read becomes the floor, unless witnesses gave it before.

    Args:
        table: A `FloorTable`.
        number: Head number; one lower than read before is ignored.
        now: Monotonic seconds.

    Returns:
        Iterator of `effects.Effect`.
    """
    if table.head is None:
        table.head_read_at = now
    table.head = max(table.head or 0, number)
    if table.floor is None:
        yield from _set_floor(table, table.head, 'head')


def permits(table, number):
    """Return whether the floor is known and a version not below it.

    Args:
        table: A `FloorTable`.
        number: Version number.
    """
    return table.floor is not None and number >= table.floor


def is_noted(tables, options, version, now):
    """Return whether a quorum of the witnesses has noted a version.

    Without witnesses in the settings or in the fleet, none is needed.
    If the version is newer than the pending one, `run` asks for it from
    now on.

    Args:
        tables: The daemon's `core.Tables`.
        options: A `settings.Dissemination`.
        version: A `versions.Version`.
        now: Monotonic seconds.
    """
    if not options.witnesses:
        return True
    chosen = _note_witnesses(tables.membership, options)
    if not chosen:
        return True
    table = tables.dissemination.floors
    if (
        table.pending_note is None
        or table.pending_note.number < version.number
    ):
        table.pending_note = PendingNote(
            version.number, version.digest, send_at=now
        )
    noted = sum(
        _identity(member) in table.pending_note.noted for member in chosen
    )
    return noted >= quorum(len(chosen))


def run(tables, context):
    """Send notes and floor queries to witnesses when due.

    Args:
        tables: The daemon's `core.Tables`.
        context: A `dispatch.Context`.

    Returns:
        Iterator of `effects.Effect`.
    """
    options = tables.dissemination.options
    if options.witnesses:
        yield from _send_notes(tables, options, context)
        yield from _query_floor(tables, options, context)


def _note_witnesses(table, options):
    """Return the witnesses to note a version: members that did not leave.

    A dead member is not replaced: it may only be unreachable, and this
    daemon may query it for the floor after a restart.
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


def _identity(member):
    return member.peer_address, member.incarnation


def _send_notes(tables, options, context):
    """Ask the witnesses that have not noted the pending version.

    A witness that restarted lost its notes, so it is asked again.
    """
    pending = tables.dissemination.floors.pending_note
    if pending is None or context.now < pending.send_at:
        return
    pending.send_at = context.now + RETRY_INTERVAL_S
    local = tables.membership.local
    note = messages.Note(
        local.peer_address, local.incarnation, pending.number, pending.digest
    )
    for member in _note_witnesses(tables.membership, options):
        if member.state is messages.MemberState.DEAD:
            continue
        if _identity(member) not in pending.noted:
            yield effects.Send(member.peer_address, note, urgent=True)


def _query_floor(tables, options, context):
    table = tables.dissemination.floors
    if table.floor is not None or not tables.joining.joined:
        return
    if table.query_at is None:
        table.query_at = context.now + options.settle
    if context.now < table.query_at:
        return
    table.query_at = context.now + RETRY_INTERVAL_S
    table.answers.clear()
    query = messages.FloorQuery(tables.membership.local.peer_address)
    for member in _floor_witnesses(tables, options):
        yield effects.Send(member.peer_address, query)


def _floor_witnesses(tables, options):
    """Return the witnesses to query, dead and departed members included.

    A member that is gone may have noted a version, so it is not replaced.
    """
    table = tables.membership
    return witnesses(table, options.witnesses, table.members.values())


def _needed_answers(count):
    """Return how many answers intersect every quorum of `count` witnesses."""
    return count - quorum(count) + 1


def _set_floor(table, number, source):
    table.floor = number
    table.answers.clear()
    yield effects.RecordEvent(
        events.Event('floor.known', version=number, detail=source)
    )


def _hash_rank(address, vm):
    data = f'{address}/{vm}'.encode()
    return hashlib.blake2b(data, digest_size=8).digest()


@dispatch.handle.register
def _on_note(item: messages.Note, tables, context, sender=''):
    notes = tables.dissemination.floors.notes
    noted = max(notes.pop(item.address, 0), item.number)
    notes[item.address] = noted
    if len(notes) > MAX_NOTES:
        notes.pop(next(iter(notes)))
    answer = messages.Noted(item.address, noted)
    yield effects.Send(sender, answer, urgent=True)


@dispatch.handle.register
def _on_noted(item: messages.Noted, tables, context, sender=''):
    pending = tables.dissemination.floors.pending_note
    if pending is not None and item.number >= pending.number:
        pending.noted.update(
            _identity(member)
            for member in tables.membership.members.values()
            if member.peer_address == sender
        )
    yield from ()


@dispatch.handle.register
def _on_floor_query(item: messages.FloorQuery, tables, context, sender=''):
    table = tables.dissemination.floors
    since_read = 0.0
    if table.head is not None:
        since_read = max(context.now - table.head_read_at, 1 / _MILLISECONDS)
    tip = tables.dissemination.tip
    accepted = max(table.head or 0, tip.version.number if tip else 0)
    answer = messages.Floor(
        item.address,
        table.notes.get(item.address, 0),
        int(since_read * _MILLISECONDS),
        accepted,
    )
    yield effects.Send(sender, answer)


@dispatch.handle.register
def _on_floor(item: messages.Floor, tables, context, sender=''):
    options = tables.dissemination.options
    table = tables.dissemination.floors
    queried = {
        member.peer_address for member in _floor_witnesses(tables, options)
    }
    if table.floor is not None or sender not in queried or not item.since_ms:
        return
    table.answers[sender] = item
    counted = [
        table.answers[address] for address in queried & set(table.answers)
    ]
    if len(queried) >= options.witnesses and len(counted) >= _needed_answers(
        options.witnesses
    ):
        number = max(max(answer.noted, answer.held) for answer in counted)
        yield from _set_floor(table, number, 'witnesses')
