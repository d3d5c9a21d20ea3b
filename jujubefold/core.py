"""The decision core: tables, and the pipeline that runs over them."""

import dataclasses

from jujubefold import crashes
from jujubefold import dispatch
from jujubefold import dissemination
from jujubefold import identity
from jujubefold import membership


@dataclasses.dataclass(slots=True)
class Tables:
    """All state that decisions of one daemon are made from.

    Args:
        identity: Who this daemon is.
        membership: Members and probes.
        dissemination: Versions held, and who is being told.
        crashes: Requests that crash upstreams.
    """

    identity: identity.Identity
    membership: membership.MembershipTable
    dissemination: dissemination.DisseminationTable
    crashes: 'crashes.CrashTable' = dataclasses.field(
        default_factory=crashes.new_crashes
    )


SYSTEMS = (membership.run, dissemination.run, crashes.run)


def tick(tables, context, inputs):
    """Apply inputs in order, then run every system once.

    Args:
        tables: A `Tables`, changed in place.
        context: A `dispatch.Context` with the time of this tick.
        inputs: Iterable of inputs that `dispatch.handle` knows.

    Returns:
        Iterator of `effects.Effect`; must be drained.
    """
    for item in inputs:
        yield from dispatch.handle(item, tables, context)
    for system in SYSTEMS:
        yield from system(tables, context)
