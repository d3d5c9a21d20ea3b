"""Progress: which daemons have the newest version in force, as a bitmap.

All daemons put a new version in force within seconds. Spreading a new member
record for each would cost traffic that grows with the square of the fleet
size; a bitmap, merged by OR, adds a message of a few hundred bytes to probes
that are sent anyway.
"""

import dataclasses

import msgspec

from jujubefold import dispatch
from jujubefold import effects
from jujubefold import membership
from jujubefold import messages

# Probes that carry the bitmap after its last change.
PROBES_PER_CHANGE = 12


@dataclasses.dataclass(slots=True)
class ProgressTable:
    """The newest version that any daemon has in force, and which ones do.

    Args:
        number: The newest version number; 0 for none.
        roster: Digest of the members that `order` holds.
        order: VM names in the order of bits.
        bits: Bit i is set when `order[i]` has the version in force.
        probes_left: Number of further probes that carry the bitmap.
    """

    number: int = 0
    roster: int = 0
    order: tuple[str, ...] = ()
    bits: int = 0
    probes_left: int = 0


def piggyback(tables, to):
    """Send the bitmap along with a probe, if it changed lately.

    Args:
        tables: A `core.Tables`.
        to: Peer address that the probe goes to.

    Returns:
        Iterator of at most one `effects.Send`.
    """
    _refresh(tables)
    table = tables.progress
    if table.probes_left > 0 and table.number > 0:
        table.probes_left -= 1
        yield effects.Send(to, _message(table))


@dispatch.handle.register
def _(item: messages.Progress, tables, context, sender=''):
    _refresh(tables)
    table = tables.progress
    same_roster = tables.membership.digests.roster == item.roster
    if not same_roster or not 0 < item.number <= membership.MAX_COUNTER:
        return
    if len(item.bits) > _byte_count(table):
        return
    if item.number > table.number:
        _start_version(tables, item.number)
    if item.number == table.number:
        _merge_bits(tables, int.from_bytes(item.bits, 'little'))
    if _message(table) != item:
        yield effects.Send(sender, _message(table))


def _refresh(tables):
    table = tables.progress
    own_number = tables.membership.local.in_force
    if table.roster != tables.membership.digests.roster:
        _rebuild_order(tables)
    if own_number > table.number:
        _start_version(tables, own_number)
    own_bit = _local_bit(tables, tables.membership.local.vm)
    if own_bit and not table.bits & own_bit:
        table.bits |= own_bit
        table.probes_left = PROBES_PER_CHANGE


def _local_bit(tables, vm):
    if tables.membership.local.in_force < tables.progress.number:
        return 0
    order = tables.progress.order
    return 1 << order.index(vm) if vm in order else 0


def _rebuild_order(tables):
    table = tables.progress
    live_vms = (
        member.vm for member in membership.live_members(tables.membership)
    )
    table.roster = tables.membership.digests.roster
    table.order = tuple(sorted([*live_vms, tables.membership.local.vm]))
    table.bits = _bits_from_members(tables)


def _start_version(tables, number):
    tables.progress.number = number
    tables.progress.bits = _bits_from_members(tables)
    tables.progress.probes_left = PROBES_PER_CHANGE


def _bits_from_members(tables):
    number = tables.progress.number
    members = tables.membership.members
    bits = 0
    for index, vm in enumerate(tables.progress.order):
        member = members.get(vm, tables.membership.local)
        if member.in_force >= number > 0:
            bits |= 1 << index
    return bits


def _merge_bits(tables, bits):
    table = tables.progress
    new_bits = bits & ~table.bits & ((1 << len(table.order)) - 1)
    if not new_bits:
        return
    table.bits |= new_bits
    table.probes_left = PROBES_PER_CHANGE
    for index in _set_bit_indexes(new_bits):
        _set_in_force(tables, table.order[index])


def _set_in_force(tables, vm):
    member = tables.membership.members.get(vm)
    if member is not None and member.in_force < tables.progress.number:
        tables.membership.change_count += 1
        tables.membership.members[vm] = msgspec.structs.replace(
            member, in_force=tables.progress.number
        )


def _set_bit_indexes(bits):
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


def _message(table):
    bits = table.bits.to_bytes(_byte_count(table), 'little')
    return messages.Progress(table.number, table.roster, bits)


def _byte_count(table):
    return (len(table.order) + 7) // 8
