"""Flooding: news that cannot wait for a probe goes to all neighbours."""

from jujubefold import effects
from jujubefold import messages
from jujubefold import overlay

FLOOD_INTERVAL_S = 0.1
FLOOD_RECORDS = 24

_LEAVING = frozenset(
    {messages.UpstreamState.DRAINING, messages.UpstreamState.GONE}
)


def run(tables, context):
    """Send urgent records on, those that leave before all others.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.membership
    if not table.flood or context.now < table.flood_at:
        return
    table.flood_at = context.now + FLOOD_INTERVAL_S
    chosen = sorted(table.flood.values(), key=_rank)[:FLOOD_RECORDS]
    for member in chosen:
        del table.flood[member.vm]
    message = messages.Gossip(tuple(chosen))
    for neighbour in overlay.neighbours(table):
        yield effects.Send(neighbour.peer_address, message, urgent=True)


def _rank(member):
    leaving = (
        member.upstream_state in _LEAVING
        or member.state is messages.MemberState.LEFT
    )
    return not leaving, member.vm
