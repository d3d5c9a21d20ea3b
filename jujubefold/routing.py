"""Routing: which upstream gets a call, by what this daemon observed.

The own upstream goes first while it has a free slot. Else two candidates of
the nearest place are drawn and the less loaded one is taken; when neither
has a free slot, two of the next place are compared as well. Announced
states, health and load order the candidates and never remove the last one;
only an upstream that is leaving is never chosen.
"""

import collections.abc
import dataclasses
import random

from jujubefold import calls
from jujubefold import errors
from jujubefold import gate
from jujubefold import mesh
from jujubefold import messages
from jujubefold import subset

LOAD_HALF_LIFE_S = 0.5
NEGLIGIBLE_ATTEMPTS = 0.1
LATENCY_GAIN = 0.2
MIN_LATENCY_S = 0.001
SLOW_START_S = 10.0
SLOW_START_FLOOR = 0.1
REFUSED_PAUSE_S = 0.05
MAX_REFUSED_PAUSE_S = 1.0
LOST_PAUSE_S = 0.25
MAX_LOST_PAUSE_S = 15.0
EJECT_AFTER_FAILURES = 5
EJECT_S = 5.0
MAX_EJECT_S = 60.0
MAX_EJECTED_FRACTION = 0.5
NOBODY_RETRY_AFTER_S = 1.0
LEAVING_S = 5.0
MAX_GROUPS = 256
# Changes of members after which a group that no call used is dropped.
KEPT_CHANGES = 50

_MILLISECONDS = 1000

_State = messages.UpstreamState
_LEAVING = frozenset({_State.DRAINING, _State.GONE})
_POSSIBLE = frozenset({_State.SERVING, _State.WARMING})
_LIVE = frozenset({messages.MemberState.ALIVE, messages.MemberState.SUSPECT})
_SAME_DOMAIN, _SAME_REGION, _ELSEWHERE, _DOUBTFUL = range(4)


@dataclasses.dataclass(frozen=True, slots=True)
class OwnUpstream:
    """The upstream on this VM.

    Args:
        member: This daemon's own record.
        load: What its gate says now.
    """

    member: messages.Member
    load: gate.Load


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """How an attempt at another daemon ended, as this daemon saw it.

    One that neither ran well nor was refused or lost failed at its upstream
    if a load came with it; without one the caller went away, which says
    nothing about the other daemon.

    Args:
        vm: The other daemon's VM.
        ran_ok: An upstream's whole answer came back.
        refused: The other daemon refused; the attempt did not run.
        lost: No answer came.
        seconds: From send to ending.
        load: Load that rode on the answer, or None.
    """

    vm: str
    ran_ok: bool
    refused: bool
    lost: bool
    seconds: float
    load: gate.Load | None


@dataclasses.dataclass(slots=True)
class PeerView:
    """What this daemon saw of another.

    Args:
        in_flight: Attempts sent and not ended.
        latency: Moving average in seconds; 0 before the first answer.
        others: Attempts of other senders there, by its last load.
        slots: Usable slots by its last load; 0 for not told.
        load_at: Monotonic seconds of that load.
        refusals: Refusals in a row.
        losses: Attempts lost in a row.
        failures: Attempts in a row that ended neither well nor refused.
        ejections: Ejections since the last good answer.
        paused_until: Monotonic seconds of the end of its back-off.
        ejected_until: Monotonic seconds of the end of its ejection.
        leaving_until: Monotonic seconds until which its word that it
            drains counts; membership says so by then.
        keeps_connection: Whether an idle connection to it stays open.
        start: Incarnation and time of readiness that all this is about.
    """

    in_flight: int = 0
    latency: float = 0.0
    others: int = 0
    slots: int = 0
    load_at: float = 0.0
    refusals: int = 0
    losses: int = 0
    failures: int = 0
    ejections: int = 0
    paused_until: float = 0.0
    ejected_until: float = 0.0
    leaving_until: float = 0.0
    keeps_connection: bool = True
    start: tuple[int, int] | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Candidate:
    """An upstream that a group may use.

    Args:
        member: Its daemon's record.
        view: What was seen of it.
    """

    member: messages.Member
    view: PeerView


@dataclasses.dataclass(slots=True)
class UsedGroup:
    """A group of a route, and the change of members it was last used at."""

    group: mesh.EndpointGroup
    change: int


Tiers = tuple[tuple[Candidate, ...], ...]


@dataclasses.dataclass(slots=True)
class RoutingTable:
    """What this daemon observed, and candidates worked out from it.

    Args:
        rng: Spreads back-off.
        peers: By VM name.
        members: The members that `tiers` were worked out from.
        me: This daemon's record that `tiers` were worked out for.
        ejected_until: Monotonic seconds of the end of the last ejection.
        tiers: Candidates by distance, by service and filters of a group.
        groups: Groups that calls used lately, by the same.
        changes: Changes of members seen.
    """

    rng: random.Random
    peers: dict[str, PeerView] = dataclasses.field(default_factory=dict)
    members: collections.abc.Iterable[messages.Member] = ()
    me: messages.Member | None = None
    ejected_until: float = 0.0
    tiers: dict[tuple, Tiers] = dataclasses.field(default_factory=dict)
    groups: dict[tuple, UsedGroup] = dataclasses.field(default_factory=dict)
    changes: int = 0


def new_routing(rng=None):
    """Return a `RoutingTable`.

    Args:
        rng: A `random.Random` for back-off; None for one seeded by chance.
    """
    return RoutingTable(rng or random.Random())


def refresh(routing, members, me):
    """Take a change of members.

    `choose` does this where needed; called before, it spares the next call
    working out the candidates.

    Args:
        routing: A `RoutingTable`.
        members: As for `choose`.
        me: This daemon's own `messages.Member`.
    """
    if not _adopt(routing, members, me):
        return
    for used in routing.groups.values():
        _tiers(routing, used.group, me)


def choose(routing, call, members, own, tried, context):
    """Return where to send a call.

    Args:
        routing: A `RoutingTable`.
        call: The `calls.Call`.
        members: Other daemons as `messages.Member`, own left out. Pass the
            same tuple until a member changes: its identity tells whether
            cached candidates still hold.
        own: An `OwnUpstream`.
        tried: VM names that must not be chosen again.
        context: A `dispatch.Context`.

    Returns:
        `calls.Own`, `calls.Peer` or `calls.Nobody`.
    """
    _adopt(routing, members, own.member)
    for target in _targets(call.route.targets, context.rng):
        own_here = _own_serves(own, target.group, tried)
        if own_here and _has_room(own.load):
            return calls.Own()
        choice = _choose_peer(
            routing, target.group, own, own_here, tried, context
        )
        if choice is not None:
            return choice
    return _nobody(tried)


def sent(routing, vm, now):
    """Note that an attempt was sent to another daemon.

    Args:
        routing: A `RoutingTable`.
        vm: Its VM name.
        now: Monotonic seconds.
    """
    _view(routing, vm).in_flight += 1


def observe(routing, observation, now):
    """Note how an attempt at another daemon ended.

    Args:
        routing: A `RoutingTable`.
        observation: An `Observation`, one for each `sent`.
        now: Monotonic seconds.
    """
    view = _view(routing, observation.vm)
    view.in_flight = max(0, view.in_flight - 1)
    if observation.load is not None:
        _note_load(view, observation.load, now)
    if observation.ran_ok:
        _note_success(view, observation.seconds)
    elif observation.refused:
        if not _has_room(observation.load):
            _note_refusal(routing, view, now)
    elif observation.lost or observation.load is not None:
        _note_failure(routing, view, observation.lost, now)


def keeps_connection(routing, vm):
    """Return whether to keep a connection to a daemon open when idle.

    In a large fleet an instance cannot hold a connection of every sender.
    Those that may not keep one open a connection for each call; they keep
    one at most in any case.

    Args:
        routing: A `RoutingTable`.
        vm: VM name of a daemon that was chosen.
    """
    view = routing.peers.get(vm)
    return view is not None and view.keeps_connection


def _adopt(routing, members, me):
    """Drop what other members were the ground of; return whether they were."""
    if members is routing.members and me is routing.me:
        return False
    routing.members = tuple(members)
    routing.me = me
    known = {member.vm for member in routing.members}
    for vm in routing.peers.keys() - known:
        if not routing.peers[vm].in_flight:
            del routing.peers[vm]
    routing.changes += 1
    routing.tiers.clear()
    oldest = routing.changes - KEPT_CHANGES
    routing.groups = {
        key: used
        for key, used in routing.groups.items()
        if used.change > oldest
    }
    return True


def _targets(targets, rng):
    """Yield targets, the first by weight, then the rest in order."""
    if len(targets) == 1:
        yield targets[0]
        return
    weights = [target.weight for target in targets]
    if not sum(weights):
        return
    first = rng.choices(targets, weights)[0]
    yield first
    for target in targets:
        if target is not first and target.weight:
            yield target


def _own_serves(own, group, tried):
    member = own.member
    return (
        own.load.state in _POSSIBLE
        and member.vm not in tried
        and _in_group(member, group)
    )


def _in_group(member, group):
    if member.service != group.service:
        return False
    if group.regions and member.region not in group.regions:
        return False
    domains = group.failure_domains
    return not domains or member.failure_domain in domains


def _choose_peer(routing, group, own, own_here, tried, context):
    tiers = _tiers_of_call(routing, group, own.member)
    best = _best(routing, tiers, tried, context)
    if best is None and not own_here:
        best = _any(tiers, tried, context)
    if own_here and (best is None or _own_is_lighter(own, best, context)):
        return calls.Own()
    if best is None:
        return None
    member = best.member
    return calls.Peer(member.vm, member.incarnation, member.call_address)


def _own_is_lighter(own, best, context):
    load = own.load
    if load.state is not _State.SERVING:
        return False
    here = (load.running + load.queued + 1) / max(1, load.slots)
    return here <= _fullness(best, context)


def _best(routing, tiers, tried, context):
    """Return the best candidate drawn, nearest place first, or None."""
    best = None
    ejected = _ejected(routing, tiers, context.now)
    for distance, tier in enumerate(tiers):
        if best is not None and distance == _DOUBTFUL:
            break
        usable = [
            candidate
            for candidate in tier
            if candidate.member.vm not in tried
            and candidate.view.paused_until <= context.now
            and candidate.view.leaving_until <= context.now
            and candidate not in ejected
        ]
        for candidate in _draw(usable, context.rng):
            if _is_held_back(candidate, context):
                continue
            if best is None or _is_better(candidate, best, context):
                best = candidate
        if best is not None and _fullness(best, context) <= 1:
            break
    return best


def _any(tiers, tried, context):
    """Return a candidate whatever was seen of it, or None.

    Back-off, ejection and slow start order candidates; they must not
    leave a service without any.
    """
    for tier in tiers:
        left = [
            candidate
            for candidate in tier
            if candidate.member.vm not in tried
            and candidate.view.leaving_until <= context.now
        ]
        if left:
            return min(left, key=lambda item: item.view.paused_until)
    return None


def _ejected(routing, tiers, now):
    """Return the candidates to leave out, a bounded part of all."""
    if routing.ejected_until <= now:
        return ()
    everyone = [candidate for tier in tiers for candidate in tier]
    out = [item for item in everyone if item.view.ejected_until > now]
    most = int(len(everyone) * MAX_EJECTED_FRACTION)
    if len(out) > most:
        out.sort(key=lambda item: item.view.ejected_until, reverse=True)
    return out[:most]


def _draw(candidates, rng):
    """Return two candidates in random order, so that ties are spread."""
    count = len(candidates)
    if count < 2:
        return candidates
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    return (candidates[first], candidates[second])


def _is_held_back(candidate, context):
    """Return whether a new instance is passed over this time.

    It gets its part of the draws, and never more at once than that part
    of its slots.
    """
    ramp = _ramp(candidate.member, context.wall)
    if ramp >= 1:
        return False
    if candidate.view.in_flight >= max(1.0, _slots(candidate) * ramp):
        return True
    return context.rng.random() >= ramp


def _is_better(one, other, context):
    """Return whether one candidate is expected to answer sooner."""
    one_latency = one.view.latency or other.view.latency
    other_latency = other.view.latency or one_latency
    return _fullness(one, context) * max(
        MIN_LATENCY_S, one_latency
    ) < _fullness(other, context) * max(MIN_LATENCY_S, other_latency)


def _fullness(candidate, context):
    """Return the part of the slots in use with one more attempt."""
    view = candidate.view
    age = context.now - view.load_at
    others = view.others * 0.5 ** (age / LOAD_HALF_LIFE_S)
    if others < NEGLIGIBLE_ATTEMPTS:
        others = 0.0
    return (view.in_flight + others + 1) / _slots(candidate)


def _slots(candidate):
    return max(1, candidate.view.slots or candidate.member.slots)


def _ramp(member, wall):
    age = wall - member.ready_at_ms / _MILLISECONDS
    if age >= SLOW_START_S or age < -SLOW_START_S:
        return 1.0
    return max(SLOW_START_FLOOR, age / SLOW_START_S)


def _tiers_of_call(routing, group, me):
    """Return a group's tiers, and note that a call used them."""
    key = _key(group)
    used = routing.groups.get(key)
    if used is not None:
        used.change = routing.changes
    elif len(routing.groups) < MAX_GROUPS:
        routing.groups[key] = UsedGroup(group, routing.changes)
    return _tiers(routing, group, me)


def _tiers(routing, group, me):
    key = _key(group)
    found = routing.tiers.get(key)
    if found is None:
        if len(routing.tiers) >= MAX_GROUPS:
            routing.tiers.clear()
        found = routing.tiers[key] = _build_tiers(routing, group, me)
    return found


def _key(group):
    return (group.service, group.regions, group.failure_domains)


def _build_tiers(routing, group, me):
    serving = [
        member
        for member in routing.members
        if member.service == group.service
        and member.state in _LIVE
        and member.upstream_state in _POSSIBLE
        and _in_group(member, group)
    ]
    tiers = ([], [], [], [])
    chosen = subset.choose(me, serving, routing.members)
    senders = subset.expected_senders(chosen, serving, routing.members)
    for member in chosen:
        candidate = Candidate(member, _view_of(routing, member))
        candidate.view.keeps_connection = subset.is_keeper(
            me.vm, member.vm, senders
        )
        tiers[_distance(member, me)].append(candidate)
    return tuple(tuple(tier) for tier in tiers)


def _distance(member, me):
    if member.state is messages.MemberState.SUSPECT:
        return _DOUBTFUL
    if member.upstream_state is not _State.SERVING:
        return _DOUBTFUL
    if member.region != me.region:
        return _ELSEWHERE
    if member.failure_domain != me.failure_domain:
        return _SAME_REGION
    return _SAME_DOMAIN


def _view(routing, vm):
    view = routing.peers.get(vm)
    if view is None:
        view = routing.peers[vm] = PeerView()
    return view


def _view_of(routing, member):
    """Return the view of a member; a new start is seen afresh."""
    view = _view(routing, member.vm)
    start = (member.incarnation, member.ready_at_ms)
    if view.start not in (None, start):
        view = routing.peers[member.vm] = PeerView(in_flight=view.in_flight)
    view.start = start
    return view


def _has_room(load):
    """Return whether a refusal was about the request, not the upstream."""
    return (
        load is not None
        and load.state is _State.SERVING
        and not load.queued
        and load.running < load.slots
    )


def _note_load(view, load, now):
    view.others = max(0, load.running + load.queued - view.in_flight)
    view.slots = load.slots
    view.load_at = now
    if load.state in _LEAVING:
        view.leaving_until = now + LEAVING_S


def _note_success(view, seconds):
    view.refusals = view.losses = view.failures = view.ejections = 0
    view.paused_until = view.ejected_until = 0.0
    if view.latency:
        view.latency += LATENCY_GAIN * (seconds - view.latency)
    else:
        view.latency = seconds


def _note_refusal(routing, view, now):
    view.refusals += 1
    pause = min(
        MAX_REFUSED_PAUSE_S, REFUSED_PAUSE_S * 2 ** min(view.refusals, 10)
    )
    view.paused_until = now + _jittered(routing, pause)


def _note_failure(routing, view, lost, now):
    view.failures += 1
    if lost:
        view.losses += 1
        pause = min(MAX_LOST_PAUSE_S, LOST_PAUSE_S * 2 ** min(view.losses, 10))
        view.paused_until = now + _jittered(routing, pause)
    if view.failures >= EJECT_AFTER_FAILURES:
        view.failures = 0
        view.ejections += 1
        length = min(MAX_EJECT_S, EJECT_S * view.ejections)
        view.ejected_until = now + _jittered(routing, length)
        routing.ejected_until = max(routing.ejected_until, view.ejected_until)


def _jittered(routing, seconds):
    return seconds * (0.5 + routing.rng.random() / 2)


def _nobody(tried):
    reason = calls.Reason.NO_SLOT if tried else calls.Reason.NO_UPSTREAM
    return calls.Nobody(
        calls.Refusal(
            errors.Ran.DID_NOT_RUN,
            reason,
            NOBODY_RETRY_AFTER_S,
            'no upstream can take the request now',
        )
    )
