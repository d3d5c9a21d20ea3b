"""Routing: choice of the upstream for a call.

The own upstream is preferred while it has a free slot. Otherwise two random
candidates of the nearest tier are compared and the less loaded one is chosen
(power of two choices). If neither has a free slot, two of the next tier are
compared as well. Announced state, health and load only order the candidates;
they never exclude the last one. Only an upstream that is leaving is never
chosen.
"""

import dataclasses
import random

from jujubefold import calls
from jujubefold import candidates
from jujubefold import errors
from jujubefold import gate
from jujubefold import messages
from jujubefold import peerview

MIN_LATENCY_S = 0.001
SLOW_START_S = 10.0
SLOW_START_MIN_FRACTION = 0.1
MAX_EJECTED_FRACTION = 0.5
NO_UPSTREAM_RETRY_AFTER_S = 1.0

_MILLISECONDS = 1000
_State = messages.UpstreamState
_USABLE_STATES = frozenset({_State.SERVING, _State.WARMING})


@dataclasses.dataclass(frozen=True, slots=True)
class OwnState:
    """State of this daemon, with which `choose` compares other daemons.

    Args:
        member: This daemon's own record.
        load: Current load at its gate.
    """

    member: messages.Member
    load: gate.Load


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt at another daemon ended, as this daemon saw it.

    An attempt that did not succeed and was neither refused nor lost failed
    at its upstream if the answer carried a load. Without a load, the caller
    stopped waiting, which is no evidence about the other daemon.

    Args:
        vm: VM name of the other daemon.
        succeeded: Whether the complete answer of an upstream was received.
        refused: Whether the other daemon refused the attempt, which did not
            run.
        lost: Whether no answer was received.
        seconds: Time from sending to the end of the attempt.
        load: Load in the answer, or None.
    """

    vm: str
    succeeded: bool
    refused: bool
    lost: bool
    seconds: float
    load: gate.Load | None


@dataclasses.dataclass(slots=True)
class RoutingTable:
    """State of routing.

    Args:
        rng: Source of jitter for back-off and ejection.
        candidate_table: Members, observations of them, and candidates.
        ejected_until: Monotonic seconds at which the last ejection ends.
    """

    rng: random.Random
    candidate_table: candidates.CandidateTable = dataclasses.field(
        default_factory=candidates.CandidateTable
    )
    ejected_until: float = 0.0


def new_routing(rng=None):
    """Return a `RoutingTable`.

    Args:
        rng: A `random.Random` for jitter; None for a randomly seeded one.
    """
    return RoutingTable(rng or random.Random())


def update_members(routing, members, own_member):
    """Update the members and precompute the candidates.

    `choose` updates the members itself if needed. Calling this earlier saves
    the next call the time to compute the candidates.

    Args:
        routing: A `RoutingTable`.
        members: As for `choose`.
        own_member: This daemon's own `messages.Member`.
    """
    if candidates.set_members(routing.candidate_table, members, own_member):
        candidates.precompute(routing.candidate_table)


def choose(routing, call, members, own, tried, context):
    """Choose where to send a call.

    Args:
        routing: A `RoutingTable`.
        call: The `calls.Call`.
        members: `messages.Member` of all other daemons. Pass the same tuple
            until a member changes: cached candidates are valid only for the
            same object.
        own: An `OwnState`.
        tried: Names of VMs that must not be chosen again.
        context: A `dispatch.Context`.

    Returns:
        `calls.LocalUpstream`, `calls.Peer` or `calls.NoUpstream`.
    """
    candidates.set_members(routing.candidate_table, members, own.member)
    for target in _ordered_targets(call.route.targets, context.rng):
        own_here = _own_serves(own, target.group, tried)
        if own_here and peerview.has_free_slot(own.load):
            return calls.LocalUpstream()
        choice = _choose_peer(
            routing, target.group, own, own_here, tried, context
        )
        if choice is not None:
            return choice
    return _no_choice(tried)


def record_sent(routing, vm, now):
    """Record that an attempt was sent to another daemon.

    Args:
        routing: A `RoutingTable`.
        vm: VM name of the other daemon.
        now: Monotonic seconds.
    """
    candidates.peer_view(routing.candidate_table, vm).in_flight += 1


def record_result(routing, result, now):
    """Record how an attempt at another daemon ended.

    Args:
        routing: A `RoutingTable`.
        result: An `AttemptResult`, one for each `record_sent`.
        now: Monotonic seconds.
    """
    view = candidates.peer_view(routing.candidate_table, result.vm)
    view.in_flight = max(0, view.in_flight - 1)
    if result.load is not None:
        peerview.note_load(view, result.load, now)
    if result.succeeded:
        peerview.note_success(view, result.seconds)
    elif result.refused:
        if not peerview.has_free_slot(result.load):
            peerview.note_refusal(view, now, routing.rng)
    elif result.lost or result.load is not None:
        _note_failure(routing, view, result.lost, now)


def keeps_connection(routing, vm):
    """Return whether to keep an idle connection to a daemon open.

    In a large fleet an instance cannot hold a connection to every sender.
    Senders that may not keep one open a new connection for each call. Other
    senders keep at most one.

    Args:
        routing: A `RoutingTable`.
        vm: VM name of a daemon that `choose` returned.
    """
    view = routing.candidate_table.peers.get(vm)
    return view is not None and view.keeps_connection


def _ordered_targets(targets, rng):
    """Yield targets: one at random by weight, then the others in order."""
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
        own.load.state in _USABLE_STATES
        and member.vm not in tried
        and candidates.in_group(member, group)
    )


def _choose_peer(routing, group, own, own_here, tried, context):
    tiers = candidates.for_group(routing.candidate_table, group)
    best = _best_candidate(routing, tiers, tried, context)
    if best is None and not own_here:
        best = _any_candidate(tiers, tried, context)
    if own_here and (best is None or _own_is_less_loaded(own, best, context)):
        return calls.LocalUpstream()
    if best is None:
        return None
    member = best.member
    return calls.Peer(member.vm, member.incarnation, member.call_address)


def _own_is_less_loaded(own, best, context):
    load = own.load
    if load.state is not _State.SERVING:
        return False
    own_utilization = (load.running + load.queued + 1) / max(1, load.slots)
    return own_utilization <= _utilization(best, context)


def _best_candidate(routing, tiers, tried, context):
    """Return the best sampled candidate, nearest tier first, or None."""
    best = None
    ejected = _ejected(routing, tiers, context.now)
    for position, tier in enumerate(tiers):
        if best is not None and position == candidates.LAST_RESORT:
            break
        usable = [
            candidate
            for candidate in tier
            if candidate.member.vm not in tried
            and candidate.view.paused_until <= context.now
            and candidate.view.draining_until <= context.now
            and candidate not in ejected
        ]
        for candidate in _sample_two(usable, context.rng):
            if _is_skipped_in_slow_start(candidate, context):
                continue
            if best is None or _is_better(candidate, best, context):
                best = candidate
        if best is not None and _utilization(best, context) <= 1:
            break
    return best


def _any_candidate(tiers, tried, context):
    """Return the candidate whose back-off ends first, or None.

    Back-off, ejection and slow start only order candidates; they must not
    leave a service without any.
    """
    for tier in tiers:
        remaining = [
            candidate
            for candidate in tier
            if candidate.member.vm not in tried
            and candidate.view.draining_until <= context.now
        ]
        if remaining:
            return min(remaining, key=lambda item: item.view.paused_until)
    return None


def _ejected(routing, tiers, now):
    """Return the ejected candidates, at most `MAX_EJECTED_FRACTION` of all."""
    if routing.ejected_until <= now:
        return ()
    all_candidates = [candidate for tier in tiers for candidate in tier]
    ejected = [
        item for item in all_candidates if item.view.ejected_until > now
    ]
    maximum = int(len(all_candidates) * MAX_EJECTED_FRACTION)
    if len(ejected) > maximum:
        ejected.sort(key=lambda item: item.view.ejected_until, reverse=True)
    return ejected[:maximum]


def _sample_two(usable, rng):
    """Return two random candidates in random order, which spreads ties."""
    count = len(usable)
    if count < 2:
        return usable
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    return (usable[first], usable[second])


def _is_skipped_in_slow_start(candidate, context):
    """Return whether slow start skips a recently started instance.

    During slow start the instance is skipped at random, less often as time
    passes, and this daemon uses only a growing fraction of its slots, but at
    least one.
    """
    fraction = _slow_start_fraction(candidate.member, context.wall_time)
    if fraction >= 1:
        return False
    if candidate.view.in_flight >= max(1.0, _slots(candidate) * fraction):
        return True
    return context.rng.random() >= fraction


def _is_better(one, other, context):
    """Return whether one candidate is expected to answer sooner."""
    one_latency = one.view.latency or other.view.latency
    other_latency = other.view.latency or one_latency
    return _utilization(one, context) * max(
        MIN_LATENCY_S, one_latency
    ) < _utilization(other, context) * max(MIN_LATENCY_S, other_latency)


def _utilization(candidate, context):
    """Return the fraction of slots in use after one more attempt."""
    running = peerview.expected_running(candidate.view, context.now)
    return (running + 1) / _slots(candidate)


def _slots(candidate):
    return max(1, candidate.view.slots or candidate.member.slots)


def _slow_start_fraction(member, wall_time):
    age = wall_time - member.ready_at_ms / _MILLISECONDS
    if age >= SLOW_START_S or age < -SLOW_START_S:
        return 1.0
    return max(SLOW_START_MIN_FRACTION, age / SLOW_START_S)


def _note_failure(routing, view, lost, now):
    if lost:
        peerview.note_loss(view, now, routing.rng)
    peerview.note_failure(view, now, routing.rng)
    routing.ejected_until = max(routing.ejected_until, view.ejected_until)


def _no_choice(tried):
    reason = calls.Reason.NO_SLOT if tried else calls.Reason.NO_UPSTREAM
    return calls.NoUpstream(
        calls.Refusal(
            errors.Outcome.DID_NOT_RUN,
            reason,
            NO_UPSTREAM_RETRY_AFTER_S,
            'no upstream can accept the request now',
        )
    )
