"""Membership: who is in the fleet, by probing and gossip."""

import dataclasses

import msgspec

from jujubefold import messages


_LIVE = frozenset({messages.MemberState.ALIVE, messages.MemberState.SUSPECT})


@dataclasses.dataclass(slots=True)
class MembershipTable:
    """Members and this daemon's own record.

    Args:
        me: This daemon's own record.
        members: Other daemons by VM name.
    """

    me: messages.Member
    members: dict[str, messages.Member] = dataclasses.field(
        default_factory=dict
    )


def live(table):
    """Yield the other daemons not known to be dead or gone.

    Args:
        table: A `MembershipTable`.
    """
    for member in table.members.values():
        if member.state in _LIVE:
            yield member


def run(tables, context):
    """Send due probes and gossip.

    Returns:
        Iterator of `effects.Effect`.
    """
    yield from ()


def set_in_force(table, number):
    """Tell the fleet which configuration version is in force here.

    Args:
        table: A `MembershipTable`; its own record gets a new revision.
        number: Version number now in force.
    """
    table.me = msgspec.structs.replace(
        table.me, in_force=number, revision=table.me.revision + 1
    )
