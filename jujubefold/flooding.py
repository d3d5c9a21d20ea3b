"""Flooding: news that cannot wait for a probe goes to all neighbours."""

from jujubefold import effects
from jujubefold import messages
from jujubefold import overlay

FLOOD_INTERVAL_S = 0.1
FLOOD_RECORDS = 24
# A daemon that probed this one within that time is a neighbour, too.
OBSERVED_S = 15.0

_LEAVING = frozenset(
    {messages.UpstreamState.DRAINING, messages.UpstreamState.GONE}
)


def run(tables, context):
    """Send urgent records on, those that leave before all others.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.membership
    if not table.flood_queue or context.now < table.next_flood_at:
        return
    table.next_flood_at = context.now + FLOOD_INTERVAL_S
    near = {n.peer_address for n in overlay.neighbours(table)}
    wide, narrow = _take(table)
    # A neighbour may be dead, so this news takes every edge both ways.
    yield from _gossip(wide, near | _observers(table, context.now))
    yield from _gossip(narrow, near)


def _take(table):
    chosen = sorted(table.flood_queue.values(), key=_rank)[:FLOOD_RECORDS]
    for member in chosen:
        del table.flood_queue[member.vm]
    suspected = tuple(member for member in chosen if _is_suspect(member))
    return tuple(m for m in chosen if not _is_suspect(m)), suspected


def _gossip(members, addresses):
    if not members:
        return
    message = messages.Gossip(members)
    for address in sorted(addresses):
        yield effects.Send(address, message, urgent=True)


def _observers(table, now):
    return {
        address
        for address, at in table.observers.items()
        if now - at < OBSERVED_S
    }


def _leaves(member):
    left = member.state is messages.MemberState.LEFT
    return left or member.upstream_state in _LEAVING


def _is_suspect(member):
    return member.state is messages.MemberState.SUSPECT


def _rank(member):
    return not _leaves(member), member.vm
