"""Routing: which upstream gets a call, by what this daemon observed.

The own upstream goes first while it has a free slot. Else two candidates of
the nearest place are drawn and the less loaded one is taken; when neither
has a free slot, two of the next place are compared as well. Announced
states, health and load order the candidates and never remove the last one;
only an upstream that is leaving is never chosen.
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
SLOW_START_FLOOR = 0.1
MAX_EJECTED_FRACTION = 0.5
NOBODY_RETRY_AFTER_S = 1.0

_MILLISECONDS = 1000
_State = messages.UpstreamState
_POSSIBLE = frozenset({_State.SERVING, _State.WARMING})


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
class AttemptResult:
    """How an attempt at another daemon ended, as this daemon saw it.

    One that neither ran well nor was refused or lost failed at its upstream
    if a load came with it; without one the caller went away, which says
    nothing about the other daemon.

    Args:
        vm: The other daemon's VM.
        succeeded: An upstream's whole answer came back.
        refused: The other daemon refused; the attempt did not run.
        lost: No answer came.
        seconds: From send to ending.
        load: Load that rode on the answer, or None.
    """

    vm: str
    succeeded: bool
    refused: bool
    lost: bool
    seconds: float
    load: gate.Load | None


@dataclasses.dataclass(slots=True)
class RoutingTable:
    """What routing knows.

    Args:
        rng: Spreads back-off.
        index: Members, what was seen of them, and candidates.
        ejected_until: Monotonic seconds of the end of the last ejection.
    """

    rng: random.Random
    index: candidates.CandidateTable = dataclasses.field(
        default_factory=candidates.CandidateTable
    )
    ejected_until: float = 0.0


def new_routing(rng=None):
    """Return a `RoutingTable`.

    Args:
        rng: A `random.Random` for back-off; None for one seeded by chance.
    """
    return RoutingTable(rng or random.Random())


def update_members(routing, members, me):
    """Take a change of members.

    `choose` does this where needed; called before, it spares the next call
    working out the candidates.

    Args:
        routing: A `RoutingTable`.
        members: As for `choose`.
        me: This daemon's own `messages.Member`.
    """
    if candidates.adopt(routing.index, members, me):
        candidates.prepare(routing.index)


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
        `calls.LocalUpstream`, `calls.Peer` or `calls.NoUpstream`.
    """
    candidates.adopt(routing.index, members, own.member)
    for target in _targets(call.route.targets, context.rng):
        own_here = _own_serves(own, target.group, tried)
        if own_here and peerview.has_free_slot(own.load):
            return calls.LocalUpstream()
        choice = _choose_peer(
            routing, target.group, own, own_here, tried, context
        )
        if choice is not None:
            return choice
    return _nobody(tried)


def record_sent(routing, vm, now):
    """Note that an attempt was sent to another daemon.

    Args:
        routing: A `RoutingTable`.
        vm: Its VM name.
        now: Monotonic seconds.
    """
    candidates.view(routing.index, vm).in_flight += 1


def record_result(routing, result, now):
    """Note how an attempt at another daemon ended.

    Args:
        routing: A `RoutingTable`.
        result: An `AttemptResult`, one for each `record_sent`.
        now: Monotonic seconds.
    """
    view = candidates.view(routing.index, result.vm)
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
    """Return whether to keep a connection to a daemon open when idle.

    In a large fleet an instance cannot hold a connection of every sender.
    Those that may not keep one open a connection for each call; they keep
    one at most in any case.

    Args:
        routing: A `RoutingTable`.
        vm: VM name of a daemon that was chosen.
    """
    view = routing.index.peers.get(vm)
    return view is not None and view.keeps_connection


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
        and candidates.in_group(member, group)
    )


def _choose_peer(routing, group, own, own_here, tried, context):
    tiers = candidates.of_call(routing.index, group)
    best = _best(routing, tiers, tried, context)
    if best is None and not own_here:
        best = _any(tiers, tried, context)
    if own_here and (best is None or _own_is_lighter(own, best, context)):
        return calls.LocalUpstream()
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
        if best is not None and distance == candidates.DOUBTFUL:
            break
        usable = [
            candidate
            for candidate in tier
            if candidate.member.vm not in tried
            and candidate.view.paused_until <= context.now
            and candidate.view.draining_until <= context.now
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
            and candidate.view.draining_until <= context.now
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


def _draw(usable, rng):
    """Return two candidates in random order, so that ties are spread."""
    count = len(usable)
    if count < 2:
        return usable
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    return (usable[first], usable[second])


def _is_held_back(candidate, context):
    """Return whether a new instance is passed over this time.

    It gets its part of the draws, and never more at once than that part
    of its slots.
    """
    ramp = _ramp(candidate.member, context.wall_time)
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
    running = peerview.expected_running(candidate.view, context.now)
    return (running + 1) / _slots(candidate)


def _slots(candidate):
    return max(1, candidate.view.slots or candidate.member.slots)


def _ramp(member, wall):
    age = wall - member.ready_at_ms / _MILLISECONDS
    if age >= SLOW_START_S or age < -SLOW_START_S:
        return 1.0
    return max(SLOW_START_FLOOR, age / SLOW_START_S)


def _note_failure(routing, view, lost, now):
    if lost:
        peerview.note_loss(view, now, routing.rng)
    peerview.note_failure(view, now, routing.rng)
    routing.ejected_until = max(routing.ejected_until, view.ejected_until)


def _nobody(tried):
    reason = calls.Reason.NO_SLOT if tried else calls.Reason.NO_UPSTREAM
    return calls.NoUpstream(
        calls.Refusal(
            errors.Ran.DID_NOT_RUN,
            reason,
            NOBODY_RETRY_AFTER_S,
            'no upstream can take the request now',
        )
    )
