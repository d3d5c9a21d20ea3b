"""Flooding: sends urgent member records to all neighbours at once.

Other records travel with probes.
"""

from jujubefold import effects
from jujubefold import messages
from jujubefold import overlay

FLOOD_INTERVAL_S = 0.1
FLOOD_RECORDS = 24
# A daemon that probed this one within this time counts as a neighbour.
OBSERVER_TTL_S = 15.0

_LEAVING = frozenset(
    {messages.UpstreamState.DRAINING, messages.UpstreamState.GONE}
)


def run(tables, context):
    """Send queued records, those of leaving members or upstreams first.

    Args:
        tables: The daemon's `core.Tables`.
        context: A `dispatch.Context`.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.membership
    if not table.flood_queue or context.now < table.next_flood_at:
        return
    table.next_flood_at = context.now + FLOOD_INTERVAL_S
    neighbours = {n.peer_address for n in overlay.neighbours(table)}
    confirmed, suspected = _take_records(table)
    # A neighbour may be dead, so confirmed records also go to observers,
    # that is, over the edges of the overlay in both directions.
    yield from _send_gossip(
        confirmed, neighbours | _observers(table, context.now)
    )
    yield from _send_gossip(suspected, neighbours)


def _take_records(table):
    """Dequeue the next records; return the confirmed and the suspect ones."""
    chosen = sorted(table.flood_queue.values(), key=_send_order)[
        :FLOOD_RECORDS
    ]
    for member in chosen:
        del table.flood_queue[member.vm]
    suspected = tuple(member for member in chosen if _is_suspect(member))
    return tuple(m for m in chosen if not _is_suspect(m)), suspected


def _send_gossip(members, addresses):
    if not members:
        return
    message = messages.Gossip(members)
    for address in sorted(addresses):
        yield effects.Send(address, message, urgent=True)


def _observers(table, now):
    return {
        address
        for address, at in table.observers.items()
        if now - at < OBSERVER_TTL_S
    }


def _is_leaving(member):
    left = member.state is messages.MemberState.LEFT
    return left or member.upstream_state in _LEAVING


def _is_suspect(member):
    return member.state is messages.MemberState.SUSPECT


def _send_order(member):
    return not _is_leaving(member), member.vm
