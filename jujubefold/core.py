"""Decision core: a daemon's state, and the tick that advances it.

The core does no input or output: it takes inputs and yields effects, which
the runtime carries out.
"""

import dataclasses

from jujubefold import crashes
from jujubefold import crashexchange
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
    """State of one daemon's decision core.

    Args:
        identity: VM, addresses and incarnation of this daemon.
        membership: Member records.
        dissemination: Configuration versions held and their distribution.
        probing: Pending probes of other daemons.
        joining: State of joining the fleet.
        progress: Which daemons have the newest version in force.
        crashes: Requests suspected of crashing upstreams.
        upstream: Lease of the upstream on this VM.
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


SUBSYSTEMS = (
    membership.run,
    upstreams.run,
    joining.run,
    probing.run,
    dissemination.run,
    flooding.run,
    crashexchange.run,
)


def tick(tables, context, inputs):
    """Apply inputs in order, then run every subsystem once.

    Args:
        tables: A `Tables`, changed in place.
        context: A `dispatch.Context` with the time of this tick.
        inputs: Iterable of inputs that `dispatch.handle` accepts.

    Returns:
        Iterator of `effects.Effect`; the tick runs only as it is consumed.
    """
    for item in inputs:
        yield from dispatch.handle(item, tables, context)
    for subsystem in SUBSYSTEMS:
        yield from subsystem(tables, context)
