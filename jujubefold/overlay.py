"""Overlay: which few daemons each daemon talks to, on K hash rings.

Every daemon orders the live members by a hash, once a ring, and its
neighbours are the next on each ring. All daemons with the same view agree,
every daemon has exactly as many observers as rings, and a change of one
member moves only its own edges.
"""

import hashlib

from jujubefold import membership

RINGS = 4


def neighbours(table, rings=RINGS):
    """Return the distinct successors of this daemon, one a ring at most.

    Args:
        table: A `membership.MembershipTable`.
        rings: Number of rings.

    Returns:
        Tuple of `messages.Member`, this daemon left out.
    """
    found = {}
    for ring in range(rings):
        member = _successor(table, ring)
        if member is not None:
            found.setdefault(member.vm, member)
    return tuple(found.values())


def is_reader(table, count):
    """Return whether this daemon reads the head for its failure domain.

    Args:
        table: A `membership.MembershipTable`.
        count: Readers wanted in each failure domain.
    """
    me = table.me
    peers = (
        member.vm
        for member in membership.live(table)
        if member.failure_domain == me.failure_domain
    )
    rank = sum(1 for vm in peers if _point(vm, -1) < _point(me.vm, -1))
    return rank < count


def _successor(table, ring):
    mine = _point(table.me.vm, ring)
    best = None
    for member in membership.live(table):
        point = _point(member.vm, ring)
        distance = (point - mine) % (1 << 64)
        if best is None or distance < best[0]:
            best = (distance, member)
    return None if best is None else best[1]


def _point(vm, ring):
    data = f'{ring}/{vm}'.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())
