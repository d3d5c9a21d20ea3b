"""Overlay: selects each daemon's neighbours on several hash rings.

Each ring orders the live members by a hash, and a daemon's neighbour is its
successor on the ring. Daemons with equal views compute the same edges, and a
change of one member only affects edges near it. Some rings prefer a successor
in another failure domain or region; they look only a few places ahead, which
bounds the number of daemons that have the same neighbour.
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
    """Live members in ring order, without this daemon.

    Args:
        rings: Sorted `(point, vm)` pairs, by ring number.
        domains: Sorted `(point, vm)` pairs on the ring that selects
            readers, by failure domain.
        domain_by_vm: Failure domain of each VM on the rings.
        member_count: Size of the member table at the last update.
    """

    rings: dict[int, sortedcontainers.SortedList]
    domains: dict[str, sortedcontainers.SortedList]
    domain_by_vm: dict[str, str]
    member_count: int = 0


def neighbours(table, rings=RINGS):
    """Return the distinct successors of this daemon, at most one per ring.

    Args:
        table: A `membership.MembershipTable`.
        rings: Number of rings.

    Returns:
        Tuple of `messages.Member`.
    """
    current = _current_rings(table)
    chosen = {}
    for ring in range(rings):
        member = _successor(table, _ring_points(current, ring), ring, chosen)
        if member is not None:
            chosen[member.vm] = member
    return tuple(chosen.values())


def is_reader(table, count):
    """Return whether this daemon polls the head version for its domain.

    Args:
        table: A `membership.MembershipTable`.
        count: Number of readers in each failure domain.
    """
    points = _current_rings(table).domains.get(table.local.failure_domain, ())
    own_point = _ring_point(table.local.vm, _READER_RING)
    return bisect.bisect_left(points, own_point) < count


def local_rank(table):
    """Return this daemon's position on ring 0 among all, 0 for the first.

    Args:
        table: A `membership.MembershipTable`.
    """
    ring = _ring_points(_current_rings(table), 0)
    return ring.bisect_left(_ring_point(table.local.vm, 0))


def _current_rings(table):
    rings = table.overlay
    if rings is not None and table.liveness_changes:
        for vm in table.liveness_changes:
            _update_member(rings, vm, table.members.get(vm))
        rings.member_count = len(table.members)
    table.liveness_changes.clear()
    if rings is None or rings.member_count != len(table.members):
        rings = _build(table)
        table.overlay = rings
    return rings


def _build(table):
    rings = Rings({}, {}, {}, len(table.members))
    for ring in range(RINGS):
        _ring_points(rings, ring)
    for member in table.members.values():
        _update_member(rings, member.vm, member)
    return rings


def _ring_points(rings, ring):
    points = rings.rings.get(ring)
    if points is None:
        points = sortedcontainers.SortedList(
            _ring_point(vm, ring) for vm in rings.domain_by_vm
        )
        rings.rings[ring] = points
    return points


def _update_member(rings, vm, member):
    domain = rings.domain_by_vm.pop(vm, None)
    if domain is not None:
        rings.domains[domain].remove(_ring_point(vm, _READER_RING))
        for ring, points in rings.rings.items():
            points.remove(_ring_point(vm, ring))
    if not membership.is_live(member):
        return
    rings.domain_by_vm[vm] = member.failure_domain
    points = rings.domains.setdefault(
        member.failure_domain, sortedcontainers.SortedList()
    )
    points.add(_ring_point(vm, _READER_RING))
    for ring, points in rings.rings.items():
        points.add(_ring_point(vm, ring))


def _successor(table, points, ring, chosen):
    first = None
    for member in _candidates(table, points, ring, chosen):
        if _preferred(table.local, member, ring):
            return member
        first = first or member
    return first


def _candidates(table, points, ring, chosen):
    start = points.bisect_left(_ring_point(table.local.vm, ring))
    steps = min(len(points), LOOK_AHEAD + len(chosen))
    for step in range(steps):
        _, vm = points[(start + step) % len(points)]
        if vm not in chosen:
            yield table.members[vm]


def _preferred(local, member, ring):
    match ring % RINGS:
        case 1:
            return member.failure_domain != local.failure_domain
        case 3:
            return member.region != local.region
        case _:
            return True


@functools.lru_cache(maxsize=65536)
def _ring_point(vm, ring):
    data = f'{ring}/{vm}'.encode()
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest), vm
