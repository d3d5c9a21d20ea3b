"""Membership: who is in the fleet, by probing and gossip."""

import dataclasses

from jujubefold import messages


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


def run(tables, context):
    """Send due probes and gossip.

    Returns:
        Iterator of `effects.Effect`.
    """
    yield from ()
