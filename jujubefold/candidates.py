"""Candidates: upstreams that calls to an endpoint group may use."""

import collections.abc
import dataclasses

from jujubefold import mesh
from jujubefold import messages
from jujubefold import peerview
from jujubefold import subset

MAX_GROUPS = 256
# Member changes after which an unused group is no longer precomputed.
GROUP_RETENTION_CHANGES = 50

_State = messages.UpstreamState
_USABLE_STATES = frozenset({_State.SERVING, _State.WARMING})
_LIVE_STATES = frozenset(
    {messages.MemberState.ALIVE, messages.MemberState.SUSPECT}
)
# Tiers of candidates by preference.
_SAME_DOMAIN, _SAME_REGION, _OTHER_REGION, LAST_RESORT = range(4)


@dataclasses.dataclass(slots=True, eq=False)
class Candidate:
    """An upstream that a group may use.

    Args:
        member: Membership record of its daemon.
        view: What this daemon observed of it.
    """

    member: messages.Member
    view: peerview.PeerView


@dataclasses.dataclass(slots=True)
class UsedGroup:
    """A group that calls used recently.

    Args:
        group: The group.
        last_used: Value of `CandidateTable.changes` at the last use.
    """

    group: mesh.EndpointGroup
    last_used: int


Tiers = tuple[tuple[Candidate, ...], ...]


@dataclasses.dataclass(slots=True)
class CandidateTable:
    """Members, observations of them, and the cached candidates.

    Args:
        peers: Views by VM name.
        members: Other daemons; basis of `tiers`.
        own_member: This daemon's own record; basis of `tiers`.
        tiers: Cached candidates of groups, by service and filters.
        groups: Recently used groups, by service and filters.
        changes: Number of changes of `members` or `own_member`.
    """

    peers: dict[str, peerview.PeerView] = dataclasses.field(
        default_factory=dict
    )
    members: collections.abc.Iterable[messages.Member] = ()
    own_member: messages.Member | None = None
    tiers: dict[tuple, Tiers] = dataclasses.field(default_factory=dict)
    groups: dict[tuple, UsedGroup] = dataclasses.field(default_factory=dict)
    changes: int = 0


def set_members(table, members, own_member):
    """Set the members; return whether they changed.

    Args:
        table: A `CandidateTable`.
        members: Other daemons; the same tuple until one changes.
        own_member: This daemon's own `messages.Member`.
    """
    if members is table.members and own_member is table.own_member:
        return False
    table.members = tuple(members)
    table.own_member = own_member
    table.changes += 1
    table.tiers.clear()
    _drop_unknown_views(table)
    _drop_unused_groups(table)
    return True


def precompute(table):
    """Compute the candidates of all recently used groups."""
    for used in table.groups.values():
        _tiers(table, used.group)


def for_group(table, group):
    """Return the candidates of a group, nearest tier first.

    The group counts as recently used.

    Args:
        table: A `CandidateTable`.
        group: A `mesh.EndpointGroup`.

    Returns:
        Tuple of tiers, each a tuple of `Candidate`. The tier `LAST_RESORT`
        has upstreams that are warming or whose daemon is suspected dead.
    """
    key = _key(group)
    used = table.groups.get(key)
    if used is not None:
        used.last_used = table.changes
    elif len(table.groups) < MAX_GROUPS:
        table.groups[key] = UsedGroup(group, table.changes)
    return _tiers(table, group)


def peer_view(table, vm):
    """Return the `peerview.PeerView` of a VM; create it if needed."""
    found = table.peers.get(vm)
    if found is None:
        found = table.peers[vm] = peerview.PeerView()
    return found


def in_group(member, group):
    """Return whether a member's upstream belongs to a group.

    Args:
        member: A `messages.Member`.
        group: A `mesh.EndpointGroup`.
    """
    if member.service != group.service:
        return False
    if group.regions and member.region not in group.regions:
        return False
    domains = group.failure_domains
    return not domains or member.failure_domain in domains


def _drop_unknown_views(table):
    member_vms = {member.vm for member in table.members}
    for vm in table.peers.keys() - member_vms:
        if not table.peers[vm].in_flight:
            del table.peers[vm]


def _drop_unused_groups(table):
    oldest = table.changes - GROUP_RETENTION_CHANGES
    table.groups = {
        key: used
        for key, used in table.groups.items()
        if used.last_used > oldest
    }


def _tiers(table, group):
    key = _key(group)
    found = table.tiers.get(key)
    if found is None:
        if len(table.tiers) >= MAX_GROUPS:
            table.tiers.clear()
        found = table.tiers[key] = _compute_tiers(table, group)
    return found


def _key(group):
    return (group.service, group.regions, group.failure_domains)


def _compute_tiers(table, group):
    own_member = table.own_member
    serving = [
        member
        for member in table.members
        if member.service == group.service
        and member.state in _LIVE_STATES
        and member.upstream_state in _USABLE_STATES
        and in_group(member, group)
    ]
    tiers = ([], [], [], [])
    chosen = subset.choose(own_member, serving, table.members)
    senders = subset.expected_senders(chosen, serving, table.members)
    for member in chosen:
        candidate = Candidate(member, _current_view(table, member))
        candidate.view.keeps_connection = subset.keeps_idle_connection(
            own_member.vm, member.vm, senders
        )
        tiers[_tier_of(member, own_member)].append(candidate)
    return tuple(tuple(tier) for tier in tiers)


def _tier_of(member, own_member):
    if member.state is messages.MemberState.SUSPECT:
        return LAST_RESORT
    if member.upstream_state is not _State.SERVING:
        return LAST_RESORT
    if member.region != own_member.region:
        return _OTHER_REGION
    if member.failure_domain != own_member.failure_domain:
        return _SAME_REGION
    return _SAME_DOMAIN


def _current_view(table, member):
    """Return the view of a member, reset if it or its upstream restarted."""
    found = peer_view(table, member.vm)
    start = (member.incarnation, member.ready_at_ms)
    if found.upstream_start not in (None, start):
        found = peerview.PeerView(in_flight=found.in_flight)
        table.peers[member.vm] = found
    found.upstream_start = start
    return found
