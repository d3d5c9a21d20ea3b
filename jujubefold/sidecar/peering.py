"""Peering: selects the daemons that a daemon keeps links to.

It keeps links to all daemons of its failure domain and to a few of each
service in every other one. Links between all daemons would grow with the
square of the fleet, and traffic between failure domains is charged. Each
daemon ranks the others by a hash of both names, so that links are spread
evenly and a change of members moves few of them.
"""

import dataclasses
import hashlib

from jujubefold.sidecar import roster

# Links to each service in each other failure domain.
FAR_LINKS = 3
# The same for a service with fewer reachable upstreams than that in the own
# failure domain, whose requests mostly go to other ones.
FAR_LINKS_WITHOUT_NEAR = 12

_HASH_BYTES = 8


@dataclasses.dataclass(slots=True)
class PeeringTable:
    """Members outside the own failure domain, and which are unreachable.

    Args:
        local: This daemon's `roster.Member`.
        groups: Hash by VM name, by failure domain and service.
        near_services: Service by VM name in the own failure domain.
        down: Names of VMs whose daemon can't be reached or is stopping.
        closed: Names of VMs whose gate is closed; noted with rollouts only,
            in which all gates of a version close.
    """

    local: roster.Member
    groups: dict[tuple[str, str], dict[str, bytes]] = dataclasses.field(
        default_factory=dict
    )
    near_services: dict[str, str] = dataclasses.field(default_factory=dict)
    down: set[str] = dataclasses.field(default_factory=set)
    closed: set[str] = dataclasses.field(default_factory=set)


def is_near(table, member):
    """Return whether a member is in the own failure domain."""
    local = table.local
    return (member.region, member.failure_domain) == (
        local.region,
        local.failure_domain,
    )


def add(table, member):
    """Add or replace a member.

    Args:
        table: A `PeeringTable`.
        member: A `roster.Member`.
    """
    remove(table, member.vm)
    if is_near(table, member):
        table.near_services[member.vm] = member.service
        return
    group = table.groups.setdefault(
        (member.failure_domain, member.service), {}
    )
    names = f'{table.local.vm}/{member.vm}'.encode()
    group[member.vm] = hashlib.blake2b(names, digest_size=_HASH_BYTES).digest()


def remove(table, vm):
    """Remove a member by the name of its VM."""
    table.down.discard(vm)
    table.closed.discard(vm)
    table.near_services.pop(vm, None)
    for group in table.groups.values():
        group.pop(vm, None)


def selected(table):
    """Return the names of the VMs in other failure domains to link to.

    Members that are down or closed are replaced by the next ones, and links to
    those that ranked before these are kept until they come up or open again.
    """
    chosen = set()
    unusable = table.down | table.closed
    for (_, service), group in table.groups.items():
        limit = _limit(table, service)
        ranked = sorted(group, key=group.get)
        up = [vm for vm in ranked if vm not in unusable][:limit]
        down = [vm for vm in ranked if vm in unusable][:limit]
        chosen.update(up, down)
    return chosen


def _limit(table, service):
    near = sum(
        item == service and vm not in table.down and vm not in table.closed
        for vm, item in table.near_services.items()
    )
    near += table.local.service == service
    return FAR_LINKS if near >= FAR_LINKS else FAR_LINKS_WITHOUT_NEAR
