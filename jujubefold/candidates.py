"""Candidates: the upstreams that a group may use, by distance."""

import collections.abc
import dataclasses

from jujubefold import mesh
from jujubefold import messages
from jujubefold import peerview
from jujubefold import subset

MAX_GROUPS = 256
# Changes of members after which a group that no call used is dropped.
KEPT_CHANGES = 50

_State = messages.UpstreamState
_POSSIBLE = frozenset({_State.SERVING, _State.WARMING})
_LIVE = frozenset({messages.MemberState.ALIVE, messages.MemberState.SUSPECT})
_SAME_DOMAIN, _SAME_REGION, _ELSEWHERE, DOUBTFUL = range(4)


@dataclasses.dataclass(slots=True, eq=False)
class Candidate:
    """An upstream that a group may use.

    Args:
        member: Its daemon's record.
        view: What was seen of it.
    """

    member: messages.Member
    view: peerview.PeerView


@dataclasses.dataclass(slots=True)
class UsedGroup:
    """A group of a route, and the change of members it was last used at."""

    group: mesh.EndpointGroup
    change: int


Tiers = tuple[tuple[Candidate, ...], ...]


@dataclasses.dataclass(slots=True)
class CandidateTable:
    """Members, what was seen of them, and candidates worked out from them.

    Args:
        peers: Views by VM name.
        members: The members that `tiers` were worked out from.
        me: This daemon's record that `tiers` were worked out for.
        tiers: Candidates by distance, by service and filters of a group.
        groups: Groups that calls used lately, by the same.
        changes: Changes of members seen.
    """

    peers: dict[str, peerview.PeerView] = dataclasses.field(
        default_factory=dict
    )
    members: collections.abc.Iterable[messages.Member] = ()
    me: messages.Member | None = None
    tiers: dict[tuple, Tiers] = dataclasses.field(default_factory=dict)
    groups: dict[tuple, UsedGroup] = dataclasses.field(default_factory=dict)
    changes: int = 0


def adopt(table, members, me):
    """Take other members; return whether they are others.

    Args:
        table: A `CandidateTable`.
        members: Other daemons; the same tuple until one changes.
        me: This daemon's own `messages.Member`.
    """
    if members is table.members and me is table.me:
        return False
    table.members = tuple(members)
    table.me = me
    table.changes += 1
    table.tiers.clear()
    _drop_views(table)
    _drop_groups(table)
    return True


def prepare(table):
    """Work out the candidates of all groups that calls used lately."""
    for used in table.groups.values():
        _tiers(table, used.group)


def of_call(table, group):
    """Return a group's candidates for a call, nearest place first.

    Args:
        table: A `CandidateTable`.
        group: A `mesh.EndpointGroup`.

    Returns:
        Tuple of tuples of `Candidate`; the last one is `DOUBTFUL`.
    """
    key = _key(group)
    used = table.groups.get(key)
    if used is not None:
        used.change = table.changes
    elif len(table.groups) < MAX_GROUPS:
        table.groups[key] = UsedGroup(group, table.changes)
    return _tiers(table, group)


def view(table, vm):
    """Return the `peerview.PeerView` of a VM."""
    found = table.peers.get(vm)
    if found is None:
        found = table.peers[vm] = peerview.PeerView()
    return found


def in_group(member, group):
    """Return whether a member's upstream is one of a group's.

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


def _drop_views(table):
    known = {member.vm for member in table.members}
    for vm in table.peers.keys() - known:
        if not table.peers[vm].in_flight:
            del table.peers[vm]


def _drop_groups(table):
    oldest = table.changes - KEPT_CHANGES
    table.groups = {
        key: used for key, used in table.groups.items() if used.change > oldest
    }


def _tiers(table, group):
    key = _key(group)
    found = table.tiers.get(key)
    if found is None:
        if len(table.tiers) >= MAX_GROUPS:
            table.tiers.clear()
        found = table.tiers[key] = _build(table, group)
    return found


def _key(group):
    return (group.service, group.regions, group.failure_domains)


def _build(table, group):
    me = table.me
    serving = [
        member
        for member in table.members
        if member.service == group.service
        and member.state in _LIVE
        and member.upstream_state in _POSSIBLE
        and in_group(member, group)
    ]
    tiers = ([], [], [], [])
    chosen = subset.choose(me, serving, table.members)
    senders = subset.expected_senders(chosen, serving, table.members)
    for member in chosen:
        candidate = Candidate(member, _fresh_view(table, member))
        candidate.view.keeps_connection = subset.is_keeper(
            me.vm, member.vm, senders
        )
        tiers[_distance(member, me)].append(candidate)
    return tuple(tuple(tier) for tier in tiers)


def _distance(member, me):
    if member.state is messages.MemberState.SUSPECT:
        return DOUBTFUL
    if member.upstream_state is not _State.SERVING:
        return DOUBTFUL
    if member.region != me.region:
        return _ELSEWHERE
    if member.failure_domain != me.failure_domain:
        return _SAME_REGION
    return _SAME_DOMAIN


def _fresh_view(table, member):
    """Return the view of a member; a new start is seen afresh."""
    found = view(table, member.vm)
    start = (member.incarnation, member.ready_at_ms)
    if found.upstream_start not in (None, start):
        found = peerview.PeerView(in_flight=found.in_flight)
        table.peers[member.vm] = found
    found.upstream_start = start
    return found
