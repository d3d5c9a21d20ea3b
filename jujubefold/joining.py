"""Joining: finding a first contact, and rate-limiting daemons that join."""

import dataclasses

from jujubefold import dispatch
from jujubefold import effects
from jujubefold import membership
from jujubefold import messages
from jujubefold import overlay

# Daemons that start together spread their first step over this time, and
# over a longer one when that step is a read of the platform's table.
FIRST_SPREAD_S = 1.0
FIRST_READ_SPREAD_S = 4.0
ANSWER_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
MAX_STORE_BACKOFF_S = 20.0
# Consecutive contact failures after which the contact table is read.
MAX_CONTACT_FAILURES = 2
# First pages of the member list that one contact serves per second.
ADMISSIONS_PER_S = 10.0
ADMISSION_BURST_S = 1.0
MAX_RETRY_AFTER_S = 30.0
MAX_PENDING_ADMISSIONS = 4096
MEMBERS_PER_PAGE = 200
CONTACT_SLOTS = 16
REREAD_DELAY_S = 1.0
# Probability that a daemon replaces the row of an unreachable address at its
# first read; it doubles with each further read.
REPLACE_PROBABILITY = 0.25
CONTACT_CHECK_S = 600.0
FIRST_CONTACT_CHECK_S = 60.0

_MILLISECONDS = 1000


@dataclasses.dataclass(slots=True)
class JoiningTable:
    """State of this daemon's own join, and of admitting other daemons.

    Args:
        joined: Whether a contact sent the whole member list, or this
            daemon is listed and no other contact answered.
        next_step_at: Monotonic seconds of the next step, or None at the start.
        after: Last VM name of the member pages received, or ''.
        contact: Address whose answer is awaited, or ''.
        other_contacts: Other daemons' addresses from the contact table,
            in slot order.
        is_listed: Whether the contact table holds this daemon's address.
        failed: Addresses that failed since the last success.
        contact_failures: Consecutive contacts that failed.
        store_failures: Consecutive failed reads of the contact table.
        scheduled_contact: Contact that asked this daemon to retry later,
            or ''.
        admission_times: Monotonic seconds at which a joining daemon is
            admitted, by VM.
        last_admission_at: Latest admission time assigned, in monotonic
            seconds.
        next_check_at: Monotonic seconds of the next check of the contact
            table, or None before the first is scheduled.
        check_pending: Whether a read for that check is in progress.
        deferrals: Consecutive reads after which this daemon did not replace
            the row of an unreachable address.
        must_reread: Whether the next step must read the contact table.
        stale_row: Unknown address in this daemon's slot that it has tried
            to join through, or ''.
    """

    joined: bool = False
    next_step_at: float | None = None
    after: str = ''
    contact: str = ''
    other_contacts: tuple[str, ...] = ()
    is_listed: bool = False
    failed: set[str] = dataclasses.field(default_factory=set)
    contact_failures: int = 0
    store_failures: int = 0
    scheduled_contact: str = ''
    admission_times: dict[str, float] = dataclasses.field(default_factory=dict)
    last_admission_at: float = 0.0
    next_check_at: float | None = None
    check_pending: bool = False
    deferrals: int = 0
    must_reread: bool = False
    stale_row: str = ''


def run(tables, context):
    """Join, or once joined check the contact table, when a step is due.

    Returns:
        Iterator of `effects.Effect`.
    """
    joining = tables.joining
    if tables.membership.leaving or tables.membership.stopped:
        return
    if joining.next_step_at is None:
        joining.next_step_at = context.now + _initial_delay(tables, context)
    if joining.joined:
        yield from _check_rows(tables, context)
        _restart_when_isolated(tables, context)
    elif context.now >= joining.next_step_at:
        yield from _take_step(tables, context)


@dispatch.handle.register
def _(item: messages.Join, tables, context, sender=''):
    if not item.after:
        wait = _admission_delay(tables.joining, item.member.vm, context.now)
        if wait > 0:
            yield effects.Send(sender, _busy_answer(wait))
            return
    previous_record = tables.membership.members.get(item.member.vm)
    yield from membership.apply(tables.membership, item.member, context)
    yield effects.Send(sender, _member_page(tables, item, previous_record))


@dispatch.handle.register
def _(item: messages.Welcome, tables, context, sender=''):
    joining = tables.joining
    if joining.joined or sender != joining.contact:
        return
    joining.contact_failures = 0
    joining.failed.clear()
    joining.scheduled_contact = ''
    if item.retry_after_ms > 0:
        joining.contact = ''
        joining.scheduled_contact = sender
        wait = min(item.retry_after_ms / _MILLISECONDS, MAX_RETRY_AFTER_S)
        joining.next_step_at = context.now + wait * context.rng.uniform(1, 1.2)
        return
    yield from membership.apply_all(tables.membership, item.members, context)
    if item.more and item.members:
        joining.after = max(member.vm for member in item.members)
        yield from _send_join(tables, context, sender)
    else:
        joining.joined = True
        joining.after = ''


@dispatch.handle.register
def _(item: dispatch.ContactsRead, tables, context, sender=''):
    joining = tables.joining
    is_check = joining.check_pending
    joining.check_pending = False
    if item.addresses is None:
        joining.failed.clear()
        return
    rows = item.addresses[:CONTACT_SLOTS]
    local_address = tables.membership.local.peer_address
    joining.store_failures = 0
    joining.is_listed = local_address in rows
    joining.other_contacts = tuple(
        row for row in rows if row and row != local_address
    )
    if is_check:
        yield from _repair_row(tables, context, rows)
    elif not joining.joined:
        yield from _process_rows(tables, context, rows)


def contact_failed(tables, address, context):
    """Schedule the next attempt after a contact did not answer.

    Args:
        tables: A `core.Tables`.
        address: Peer address that did not answer.
        context: A `dispatch.Context`.
    """
    joining = tables.joining
    if joining.joined or address != joining.contact:
        return
    joining.contact = ''
    joining.scheduled_contact = ''
    joining.after = ''
    joining.contact_failures += 1
    joining.failed.add(address)
    joining.next_step_at = context.now + _backoff(
        joining.contact_failures, context
    )


def _initial_delay(tables, context):
    contacts = tables.membership.contacts
    spread = FIRST_SPREAD_S if contacts else FIRST_READ_SPREAD_S
    return context.rng.uniform(0, spread)


def _take_step(tables, context):
    joining = tables.joining
    if joining.contact:
        contact_failed(tables, joining.contact, context)
        if context.now < joining.next_step_at:
            return
    usable = [a for a in _known_contacts(tables) if a not in joining.failed]
    exhausted = joining.contact_failures >= MAX_CONTACT_FAILURES
    if not usable or exhausted or joining.must_reread:
        joining.contact_failures = 0
        joining.must_reread = False
        yield from _read_contacts(joining, context)
    elif joining.scheduled_contact:
        yield from _send_join(tables, context, joining.scheduled_contact)
    elif joining.is_listed:
        # Listed daemons try the lowest slot first, so that they find each
        # other.
        yield from _send_join(tables, context, usable[0])
    else:
        yield from _send_join(tables, context, context.rng.choice(usable))


def _known_contacts(tables):
    return tuple(
        dict.fromkeys(
            tables.membership.contacts + tables.joining.other_contacts
        )
    )


def _send_join(tables, context, address):
    joining = tables.joining
    joining.contact = address
    joining.next_step_at = context.now + ANSWER_TIMEOUT_S
    yield effects.Send(
        address, messages.Join(tables.membership.local, joining.after)
    )


def _read_contacts(joining, context):
    bound = min(MAX_STORE_BACKOFF_S, MIN_BACKOFF_S * 2**joining.store_failures)
    joining.next_step_at = context.now + context.rng.uniform(bound / 2, bound)
    # Counted as failed until a successful read resets the counter.
    joining.store_failures = min(joining.store_failures + 1, 10)
    yield effects.ReadContacts()


def _backoff(failures, context):
    bound = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures - 1, 10))
    return context.rng.uniform(0, bound)


def _restart_when_isolated(tables, context):
    joining = tables.joining
    if tables.membership.by_address or not _known_contacts(tables):
        return
    joining.joined = False
    joining.contact = ''
    joining.next_step_at = context.now + context.rng.uniform(0, MAX_BACKOFF_S)


def _admission_delay(joining, vm, now):
    """Return seconds until a joining daemon is admitted, 0 for now."""
    admit_at = joining.admission_times.get(vm)
    if admit_at is None:
        admit_at = max(
            joining.last_admission_at + 1 / ADMISSIONS_PER_S,
            now - ADMISSION_BURST_S,
        )
        if len(joining.admission_times) >= MAX_PENDING_ADMISSIONS:
            _drop_expired_admissions(joining, now)
        if len(joining.admission_times) >= MAX_PENDING_ADMISSIONS:
            return MAX_RETRY_AFTER_S
        joining.last_admission_at = admit_at
    if admit_at <= now:
        joining.admission_times.pop(vm, None)
        return 0.0
    joining.admission_times[vm] = admit_at
    return min(admit_at - now, MAX_RETRY_AFTER_S)


def _drop_expired_admissions(joining, now):
    joining.admission_times = {
        vm: admit_at
        for vm, admit_at in joining.admission_times.items()
        if admit_at > now - MAX_RETRY_AFTER_S
    }


def _busy_answer(wait):
    return messages.Welcome((), retry_after_ms=int(wait * _MILLISECONDS) + 1)


def _member_page(tables, item, previous_record):
    table = tables.membership
    members = [table.local, *membership.live_members(table)]
    if (
        previous_record is not None
        and previous_record.state is messages.MemberState.LEFT
    ):
        members.append(previous_record)
    rest = sorted(
        (member for member in members if member.vm > item.after),
        key=lambda member: member.vm,
    )
    page = tuple(rest[:MEMBERS_PER_PAGE])
    return messages.Welcome(page, more=len(rest) > MEMBERS_PER_PAGE)


def _check_rows(tables, context):
    joining = tables.joining
    if joining.next_check_at is None:
        joining.next_check_at = context.now + context.rng.uniform(
            FIRST_CONTACT_CHECK_S / 4, FIRST_CONTACT_CHECK_S
        )
    if context.now < joining.next_check_at:
        return
    joining.next_check_at = (
        context.now + CONTACT_CHECK_S * context.rng.uniform(0.8, 1.2)
    )
    if overlay.local_rank(tables.membership) < CONTACT_SLOTS:
        joining.check_pending = True
        yield effects.ReadContacts()


def _process_rows(tables, context, rows):
    joining = tables.joining
    usable = any(row not in joining.failed for row in joining.other_contacts)
    any_failed = any(row in joining.failed for row in joining.other_contacts)
    joining.next_step_at = context.now
    if joining.is_listed:
        # When no other contact answers, joining ends here; daemons that
        # start later find this one through its row.
        joining.joined = not usable
    elif not usable or any_failed:
        yield from _write_or_defer(tables, context, rows, any_failed)


def _write_or_defer(tables, context, rows, any_failed):
    joining = tables.joining
    probability = (
        REPLACE_PROBABILITY * 2**joining.deferrals if any_failed else 1.0
    )
    joining.next_step_at = (
        context.now + context.rng.uniform(1, 2) * REREAD_DELAY_S
    )
    joining.must_reread = True
    if context.rng.random() < probability:
        joining.deferrals = 0
        yield effects.WriteContact(_free_slot(tables, rows))
    else:
        # Of many daemons that find unreachable rows, only a few write.
        joining.deferrals += 1
    joining.failed.clear()


def _free_slot(tables, rows):
    first = membership.bucket_index(tables.membership.local.vm) % CONTACT_SLOTS
    for step in range(CONTACT_SLOTS):
        slot = (first + step) % CONTACT_SLOTS
        row = rows[slot] if slot < len(rows) else ''
        if not row or row in tables.joining.failed:
            return slot
    return first


def _repair_row(tables, context, rows):
    joining = tables.joining
    table = tables.membership
    slot = overlay.local_rank(table)
    if joining.is_listed or slot >= CONTACT_SLOTS:
        return
    row = rows[slot] if slot < len(rows) else ''
    if row in table.by_address:
        return
    if not row or row == joining.stale_row:
        yield effects.WriteContact(slot)
        return
    # The unknown address may belong to the other side of a partition, so it
    # is asked for its members before the row is replaced.
    joining.stale_row = row
    joining.joined = False
    joining.next_check_at = context.now + FIRST_CONTACT_CHECK_S
    yield from _send_join(tables, context, row)
