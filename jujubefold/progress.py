"""Progress: which daemons have the newest version in force, as bits.

A new version changes every daemon within seconds. A record each would cost
the fleet its square; one bit each, merged by OR, costs a message of a few
hundred bytes on probes that are sent anyway.
"""

import dataclasses

import msgspec

from jujubefold import dispatch
from jujubefold import effects
from jujubefold import membership
from jujubefold import messages

# Probes that carry the bits after they last changed.
ROUNDS = 12


@dataclasses.dataclass(slots=True)
class ProgressTable:
    """What is known about the newest version in force anywhere.

    Args:
        number: The newest version number.
        roster: Digest of the members that `order` holds.
        order: VM names in the order of bits.
        bits: Bit i is set when `order[i]` has the version in force.
        rounds: Probes left that carry the bits.
    """

    number: int = 0
    roster: int = 0
    order: tuple[str, ...] = ()
    bits: int = 0
    rounds: int = 0


def carry(tables, to):
    """Add the bits to a probe while they change.

    Args:
        tables: A `core.Tables`.
        to: Peer address that the probe goes to.

    Returns:
        Iterator of `effects.Send`, one at most.
    """
    _refresh(tables)
    table = tables.progress
    if table.rounds > 0 and table.number > 0:
        table.rounds -= 1
        yield effects.Send(to, _message(table))


@dispatch.handle.register
def _(item: messages.Progress, tables, context, sender=''):
    _refresh(tables)
    table = tables.progress
    known = tables.membership.digests.roster == item.roster
    if not known or not 0 < item.number <= membership.MAX_COUNTER:
        return
    if len(item.bits) > _width(table):
        return
    if item.number > table.number:
        _begin(tables, item.number)
    if item.number == table.number:
        _learn(tables, int.from_bytes(item.bits, 'little'))
    if _message(table) != item:
        yield effects.Send(sender, _message(table))


def _refresh(tables):
    table = tables.progress
    mine = tables.membership.local.in_force
    if table.roster != tables.membership.digests.roster:
        _reorder(tables)
    if mine > table.number:
        _begin(tables, mine)
    place = _has(tables, tables.membership.local.vm)
    if place and not table.bits & place:
        table.bits |= place
        table.rounds = ROUNDS


def _has(tables, vm):
    if tables.membership.local.in_force < tables.progress.number:
        return 0
    order = tables.progress.order
    return 1 << order.index(vm) if vm in order else 0


def _reorder(tables):
    table = tables.progress
    alive = (
        member.vm for member in membership.live_members(tables.membership)
    )
    table.roster = tables.membership.digests.roster
    table.order = tuple(sorted([*alive, tables.membership.local.vm]))
    table.bits = _count_bits(tables)


def _begin(tables, number):
    tables.progress.number = number
    tables.progress.bits = _count_bits(tables)
    tables.progress.rounds = ROUNDS


def _count_bits(tables):
    number = tables.progress.number
    members = tables.membership.members
    bits = 0
    for index, vm in enumerate(tables.progress.order):
        member = members.get(vm, tables.membership.local)
        if member.in_force >= number > 0:
            bits |= 1 << index
    return bits


def _learn(tables, bits):
    table = tables.progress
    fresh = bits & ~table.bits & ((1 << len(table.order)) - 1)
    if not fresh:
        return
    table.bits |= fresh
    table.rounds = ROUNDS
    for index in _indexes(fresh):
        _note(tables, table.order[index])


def _note(tables, vm):
    member = tables.membership.members.get(vm)
    if member is not None and member.in_force < tables.progress.number:
        tables.membership.change_count += 1
        tables.membership.members[vm] = msgspec.structs.replace(
            member, in_force=tables.progress.number
        )


def _indexes(bits):
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


def _message(table):
    bits = table.bits.to_bytes(_width(table), 'little')
    return messages.Progress(table.number, table.roster, bits)


def _width(table):
    return (len(table.order) + 7) // 8
