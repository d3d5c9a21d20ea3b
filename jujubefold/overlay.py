"""Overlay: which few daemons each daemon talks to, on K hash rings.

Every daemon orders the live members by a hash, once a ring, and its
neighbours are the next on each ring. Daemons with the same view agree, and a
change of one member moves only edges near it. Some rings prefer a neighbour
of another failure domain or region; they look a few places ahead at most,
so that no daemon is observed by more than a bounded number.
"""

import bisect
import dataclasses
import functools
import hashlib

import sortedcontainers

from jujubefold import membership

RINGS = 4
LOOK_AHEAD = 8

_READER_RING = -1


@dataclasses.dataclass(slots=True)
class Rings:
    """Live members in ring order, this daemon left out.

    Args:
        rings: `(point, vm)` in order, a list a ring.
        domains: `(point, vm)` in order, by failure domain.
        placed: Failure domain of each VM placed.
        size: Size of the member table when last brought up to date.
    """

    rings: dict[int, sortedcontainers.SortedList]
    domains: dict[str, sortedcontainers.SortedList]
    placed: dict[str, str]
    size: int = 0


def neighbours(table, rings=RINGS):
    """Return the distinct successors of this daemon, one a ring at most.

    Args:
        table: A `membership.MembershipTable`.
        rings: Number of rings.

    Returns:
        Tuple of `messages.Member`, this daemon left out.
    """
    current = _current(table)
    found = {}
    for ring in range(rings):
        member = _successor(table, _ring(current, ring), ring, found)
        if member is not None:
            found[member.vm] = member
    return tuple(found.values())


def is_reader(table, count):
    """Return whether this daemon reads the head for its failure domain.

    Args:
        table: A `membership.MembershipTable`.
        count: Readers wanted in each failure domain.
    """
    domain = _current(table).domains.get(table.local.failure_domain, ())
    mine = _place(table.local.vm, _READER_RING)
    return bisect.bisect_left(domain, mine) < count


def local_rank(table):
    """Return this daemon's place among all, 0 for the first.

    Args:
        table: A `membership.MembershipTable`.
    """
    ring = _ring(_current(table), 0)
    return ring.bisect_left(_place(table.local.vm, 0))


def _current(table):
    rings = table.overlay
    if rings is not None and table.moved:
        for vm in table.moved:
            _move(rings, vm, table.members.get(vm))
        rings.size = len(table.members)
    table.moved.clear()
    if rings is None or rings.size != len(table.members):
        rings = _build(table)
        table.overlay = rings
    return rings


def _build(table):
    rings = Rings({}, {}, {}, len(table.members))
    for ring in range(RINGS):
        _ring(rings, ring)
    for member in table.members.values():
        _move(rings, member.vm, member)
    return rings


def _ring(rings, ring):
    found = rings.rings.get(ring)
    if found is None:
        found = sortedcontainers.SortedList(
            _place(vm, ring) for vm in rings.placed
        )
        rings.rings[ring] = found
    return found


def _move(rings, vm, member):
    domain = rings.placed.pop(vm, None)
    if domain is not None:
        rings.domains[domain].remove(_place(vm, _READER_RING))
        for ring, order in rings.rings.items():
            order.remove(_place(vm, ring))
    if not membership.is_live(member):
        return
    rings.placed[vm] = member.failure_domain
    order = rings.domains.setdefault(
        member.failure_domain, sortedcontainers.SortedList()
    )
    order.add(_place(vm, _READER_RING))
    for ring, order in rings.rings.items():
        order.add(_place(vm, ring))


def _successor(table, order, ring, found):
    first = None
    for member in _ahead(table, order, ring, found):
        if _preferred(table.local, member, ring):
            return member
        first = first or member
    return first


def _ahead(table, order, ring, found):
    start = order.bisect_left(_place(table.local.vm, ring))
    steps = min(len(order), LOOK_AHEAD + len(found))
    for step in range(steps):
        _, vm = order[(start + step) % len(order)]
        if vm not in found:
            yield table.members[vm]


def _preferred(me, member, ring):
    match ring % RINGS:
        case 1:
            return member.failure_domain != me.failure_domain
        case 3:
            return member.region != me.region
        case _:
            return True


@functools.lru_cache(maxsize=65536)
def _place(vm, ring):
    data = f'{ring}/{vm}'.encode()
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest), vm
