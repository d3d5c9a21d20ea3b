"""The decision core: tables, and the pipeline that runs over them."""

import dataclasses

from jujubefold import crashes
from jujubefold import dispatch
from jujubefold import dissemination
from jujubefold import flooding
from jujubefold import identity
from jujubefold import joining
from jujubefold import membership
from jujubefold import probing
from jujubefold import progress
from jujubefold import upstreams


@dataclasses.dataclass(slots=True)
class Tables:
    """All state that decisions of one daemon are made from.

    Args:
        identity: Who this daemon is.
        membership: Members.
        dissemination: Versions held, and who is being told.
        probing: Probes under way.
        joining: How far joining the fleet has come.
        progress: Who has the newest version in force.
        crashes: Requests that crash upstreams.
        upstream: The lease of the upstream on this VM.
    """

    identity: identity.Identity
    membership: membership.MembershipTable
    dissemination: dissemination.DisseminationTable
    probing: 'probing.ProbingTable' = dataclasses.field(
        default_factory=probing.ProbingTable
    )
    joining: 'joining.JoiningTable' = dataclasses.field(
        default_factory=joining.JoiningTable
    )
    progress: 'progress.ProgressTable' = dataclasses.field(
        default_factory=progress.ProgressTable
    )
    crashes: 'crashes.CrashTable' = dataclasses.field(
        default_factory=crashes.new_table
    )
    upstream: 'upstreams.UpstreamTable' = dataclasses.field(
        default_factory=upstreams.UpstreamTable
    )


SYSTEMS = (
    membership.run,
    upstreams.run,
    joining.run,
    probing.run,
    dissemination.run,
    flooding.run,
    crashes.run,
)


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
