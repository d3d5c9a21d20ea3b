"""Joining: how a daemon finds the fleet, and how herds are let in."""

import dataclasses

from jujubefold import dispatch
from jujubefold import effects
from jujubefold import membership
from jujubefold import messages
from jujubefold import overlay

# A herd that starts together spreads its first step over this time, and
# over more of it when that step is a read of the platform's table.
FIRST_SPREAD_S = 1.0
FIRST_READ_SPREAD_S = 4.0
ANSWER_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
MAX_STORE_BACKOFF_S = 20.0
# Contacts that may fail in a row before the contact table is read.
MAX_FAILURES = 2
# First pages that one contact gives out a second.
ADMISSIONS_PER_S = 10.0
ADMISSION_BURST_S = 1.0
MAX_RETRY_AFTER_S = 30.0
MAX_TURNS = 4096
PAGE_MEMBERS = 200
CONTACT_SLOTS = 16
REREAD_S = 1.0
# Chance that a daemon replaces a lapsed row at its first read; it doubles.
REPLACE_CHANCE = 0.25
CONTACT_CHECK_S = 600.0
FIRST_CONTACT_CHECK_S = 60.0

_MILLISECONDS = 1000


@dataclasses.dataclass(slots=True)
class JoiningTable:
    """How far joining has come, and whom this daemon lets in.

    Args:
        joined: Whether a contact gave the whole member list.
        next_at: Monotonic seconds of the next step, or None at the start.
        after: Last VM name of the pages received.
        contact: Address asked last, or ''.
        found: Other daemons' addresses from the contact table, by slot.
        listed: Whether the contact table names this daemon.
        failed: Addresses that failed since the last success.
        failures: Contacts that failed one after another.
        store_failures: Reads of the contact table that failed in a row.
        promised: Contact that gave this daemon a turn, or ''.
        turns: When a joiner may come back, by VM.
        turn_at: The last turn given.
        check_at: When the contact table is next looked at, or None.
        checking: Whether a read for that check is under way.
        held: Reads after which a lapsed row was left to others.
        reread: Whether the next step must read the contact table.
        lapsed: Address in this daemon's slot that was tried, or ''.
    """

    joined: bool = False
    next_at: float | None = None
    after: str = ''
    contact: str = ''
    found: tuple[str, ...] = ()
    listed: bool = False
    failed: set[str] = dataclasses.field(default_factory=set)
    failures: int = 0
    store_failures: int = 0
    promised: str = ''
    turns: dict[str, float] = dataclasses.field(default_factory=dict)
    turn_at: float = 0.0
    check_at: float | None = None
    checking: bool = False
    held: int = 0
    reread: bool = False
    lapsed: str = ''


def run(tables, context):
    """Take the next step of joining when it is due.

    Returns:
        Iterator of `effects.Effect`.
    """
    joining = tables.joining
    if tables.membership.leaving or tables.membership.stopped:
        return
    if joining.next_at is None:
        joining.next_at = context.now + _first_wait(tables, context)
    if joining.joined:
        yield from _check_contact(tables, context)
        _start_over_when_alone(tables, context)
    elif context.now >= joining.next_at:
        yield from _step(tables, context)


@dispatch.handle.register
def _(item: messages.Join, tables, context, sender=''):
    if not item.after:
        wait = _admit(tables.joining, item.member.vm, context.now)
        if wait > 0:
            yield effects.Send(sender, _later(wait))
            return
    known = tables.membership.members.get(item.member.vm)
    yield from membership.apply(tables.membership, item.member, context)
    yield effects.Send(sender, _page(tables, item, known))


@dispatch.handle.register
def _(item: messages.Welcome, tables, context, sender=''):
    joining = tables.joining
    if joining.joined or sender != joining.contact:
        return
    joining.failures = 0
    joining.failed.clear()
    joining.promised = ''
    if item.retry_after_ms > 0:
        joining.contact = ''
        joining.promised = sender
        wait = min(item.retry_after_ms / _MILLISECONDS, MAX_RETRY_AFTER_S)
        joining.next_at = context.now + wait * context.rng.uniform(1, 1.2)
        return
    yield from membership.apply_all(tables.membership, item.members, context)
    if item.more and item.members:
        joining.after = max(member.vm for member in item.members)
        yield from _ask(tables, context, sender)
    else:
        joining.joined = True
        joining.after = ''


@dispatch.handle.register
def _(item: dispatch.ContactsRead, tables, context, sender=''):
    joining = tables.joining
    checking = joining.checking
    joining.checking = False
    if item.addresses is None:
        joining.failed.clear()
        return
    rows = item.addresses[:CONTACT_SLOTS]
    mine = tables.membership.local.peer_address
    joining.store_failures = 0
    joining.listed = mine in rows
    joining.found = tuple(row for row in rows if row and row != mine)
    if checking:
        yield from _repair_contact(tables, context, rows)
    elif not joining.joined:
        yield from _use_contacts(tables, context, rows)


def contact_failed(tables, address, context):
    """Try the next contact after one did not answer.

    Args:
        tables: A `core.Tables`.
        address: Peer address that did not answer.
        context: A `dispatch.Context`.
    """
    joining = tables.joining
    if joining.joined or address != joining.contact:
        return
    joining.contact = ''
    joining.promised = ''
    joining.after = ''
    joining.failures += 1
    joining.failed.add(address)
    joining.next_at = context.now + _backoff(joining.failures, context)


def _first_wait(tables, context):
    known = tables.membership.contacts
    spread = FIRST_SPREAD_S if known else FIRST_READ_SPREAD_S
    return context.rng.uniform(0, spread)


def _step(tables, context):
    joining = tables.joining
    if joining.contact:
        contact_failed(tables, joining.contact, context)
        if context.now < joining.next_at:
            return
    hopeful = [a for a in _contacts(tables) if a not in joining.failed]
    tired = joining.failures >= MAX_FAILURES
    if not hopeful or tired or joining.reread:
        joining.failures = 0
        joining.reread = False
        yield from _read_contacts(joining, context)
    elif joining.promised:
        yield from _ask(tables, context, joining.promised)
    elif joining.listed:
        # The lowest slot goes first, so that those listed find each other.
        yield from _ask(tables, context, hopeful[0])
    else:
        yield from _ask(tables, context, context.rng.choice(hopeful))


def _contacts(tables):
    return tuple(
        dict.fromkeys(tables.membership.contacts + tables.joining.found)
    )


def _ask(tables, context, address):
    joining = tables.joining
    joining.contact = address
    joining.next_at = context.now + ANSWER_TIMEOUT_S
    yield effects.Send(
        address, messages.Join(tables.membership.local, joining.after)
    )


def _read_contacts(joining, context):
    bound = min(MAX_STORE_BACKOFF_S, MIN_BACKOFF_S * 2**joining.store_failures)
    joining.next_at = context.now + context.rng.uniform(bound / 2, bound)
    # Counted as failed until the answer says otherwise.
    joining.store_failures = min(joining.store_failures + 1, 10)
    yield effects.ReadContacts()


def _backoff(failures, context):
    bound = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures - 1, 10))
    return context.rng.uniform(0, bound)


def _start_over_when_alone(tables, context):
    joining = tables.joining
    if tables.membership.by_address or not _contacts(tables):
        return
    joining.joined = False
    joining.contact = ''
    joining.next_at = context.now + context.rng.uniform(0, MAX_BACKOFF_S)


def _admit(joining, vm, now):
    """Return seconds until a joiner's turn, 0 when it may come in."""
    turn = joining.turns.get(vm)
    if turn is None:
        turn = max(
            joining.turn_at + 1 / ADMISSIONS_PER_S, now - ADMISSION_BURST_S
        )
        if len(joining.turns) >= MAX_TURNS:
            _drop_missed(joining, now)
        if len(joining.turns) >= MAX_TURNS:
            return MAX_RETRY_AFTER_S
        joining.turn_at = turn
    if turn <= now:
        joining.turns.pop(vm, None)
        return 0.0
    joining.turns[vm] = turn
    return min(turn - now, MAX_RETRY_AFTER_S)


def _drop_missed(joining, now):
    joining.turns = {
        vm: turn
        for vm, turn in joining.turns.items()
        if turn > now - MAX_RETRY_AFTER_S
    }


def _later(wait):
    return messages.Welcome((), retry_after_ms=int(wait * _MILLISECONDS) + 1)


def _page(tables, item, known):
    table = tables.membership
    everyone = [table.local, *membership.live_members(table)]
    if known is not None and known.state is messages.MemberState.LEFT:
        everyone.append(known)
    rest = sorted(
        (member for member in everyone if member.vm > item.after),
        key=lambda member: member.vm,
    )
    page = tuple(rest[:PAGE_MEMBERS])
    return messages.Welcome(page, more=len(rest) > PAGE_MEMBERS)


def _check_contact(tables, context):
    joining = tables.joining
    if joining.check_at is None:
        joining.check_at = context.now + context.rng.uniform(
            FIRST_CONTACT_CHECK_S / 4, FIRST_CONTACT_CHECK_S
        )
    if context.now < joining.check_at:
        return
    joining.check_at = context.now + CONTACT_CHECK_S * context.rng.uniform(
        0.8, 1.2
    )
    if overlay.local_rank(tables.membership) < CONTACT_SLOTS:
        joining.checking = True
        yield effects.ReadContacts()


def _use_contacts(tables, context, rows):
    joining = tables.joining
    hopeful = any(row not in joining.failed for row in joining.found)
    lapsed = any(row in joining.failed for row in joining.found)
    joining.next_at = context.now
    if joining.listed:
        # When nobody else answers, whoever comes next finds this daemon.
        joining.joined = not hopeful
    elif not hopeful or lapsed:
        yield from _list_me(tables, context, rows, lapsed)


def _list_me(tables, context, rows, lapsed):
    joining = tables.joining
    chance = REPLACE_CHANCE * 2**joining.held if lapsed else 1.0
    joining.next_at = context.now + context.rng.uniform(1, 2) * REREAD_S
    joining.reread = True
    if context.rng.random() < chance:
        joining.held = 0
        yield effects.WriteContact(_free_slot(tables, rows))
    else:
        # Of a herd that finds lapsed rows, a few replace them.
        joining.held += 1
    joining.failed.clear()


def _free_slot(tables, rows):
    first = membership.bucket_of(tables.membership.local.vm) % CONTACT_SLOTS
    for step in range(CONTACT_SLOTS):
        slot = (first + step) % CONTACT_SLOTS
        row = rows[slot] if slot < len(rows) else ''
        if not row or row in tables.joining.failed:
            return slot
    return first


def _repair_contact(tables, context, rows):
    joining = tables.joining
    table = tables.membership
    slot = overlay.local_rank(table)
    if joining.listed or slot >= CONTACT_SLOTS:
        return
    row = rows[slot] if slot < len(rows) else ''
    if row in table.by_address:
        return
    if not row or row == joining.lapsed:
        yield effects.WriteContact(slot)
        return
    # It may be another part of the fleet that lost this one.
    joining.lapsed = row
    joining.joined = False
    joining.check_at = context.now + FIRST_CONTACT_CHECK_S
    yield from _ask(tables, context, row)
