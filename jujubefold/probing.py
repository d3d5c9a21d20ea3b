"""Probing: detects failed daemons by direct and indirect probes."""

import dataclasses

from jujubefold import dispatch
from jujubefold import effects
from jujubefold import flooding
from jujubefold import joining
from jujubefold import membership
from jujubefold import messages
from jujubefold import overlay
from jujubefold import progress

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.8
INDIRECT_TIMEOUT_S = 1.5
INDIRECT_PROBERS = 3
MAX_RELAYS = 64
# One probe in this many goes to a random member instead of a neighbour.
RANDOM_PROBE_PERIOD = 20
# Additional probes per round, to members that another daemon reports dead.
DISPUTED_PER_ROUND = 4
RECONTACT_INTERVAL_S = 20.0
RECONTACT_AFTER_ANSWER_S = 1.0
SYNC_DELAY_S = 3.0
SYNC_INTERVAL_S = 5.0
MAX_SYNC_RECORDS = 128
MAX_DIFFERING_VIEWS = 64
# For this time after a pause of this process, a differing view is synchronized
# without waiting for `SYNC_DELAY_S`.
PAUSE_CATCH_UP_S = 5.0
MAX_OBSERVERS = 16
# While a daemon receives no messages, it suspects others only from this health
# score on.
ISOLATED_HEALTH_SCORE = 3
# Incarnation in the `Ack` by which a helper accepts an indirect probe, before
# the target has answered.
NO_INCARNATION = 0


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe awaiting its answer.

    Args:
        vm: VM name of the member probed.
        address: Its peer address.
        target: Expected incarnation of the member.
        started_at: Monotonic seconds at which the probe was sent.
        deadline: Monotonic seconds at which the current stage, direct or
            indirect, times out.
        indirect: Whether other daemons have been asked to probe as well.
    """

    vm: str
    address: str
    target: int
    started_at: float
    deadline: float
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class Relay:
    """An indirect probe sent on behalf of another daemon.

    Args:
        requester: Peer address that the answer is relayed to.
        sequence: Sequence number of the requester's probe.
        deadline: Monotonic seconds after which no answer is relayed.
    """

    requester: str
    sequence: int
    deadline: float


@dataclasses.dataclass(slots=True)
class ProbingTable:
    """Pending probes and the schedule of periodic work.

    All times are in monotonic seconds.

    Args:
        sequence: Last sequence number used.
        probes: Pending probes by sequence number.
        relays: Pending indirect probes for others, by sequence number.
        next_probe_at: Time of the next probe round, or None at the start.
        rounds: Number of probe rounds.
        last_received_at: Time of the last `Ping` or `Ack` from any daemon.
        next_recontact_at: Time of the next probe of a dead member, or None
            at the start.
        recontact_address: Peer address of the dead member probed last,
            or '' once it has answered.
        next_sync_at: Earliest time of the next `Sync`.
        differing_since: Time from which a daemon's view has differed from
            this one's, by peer address.
    """

    sequence: int = 0
    probes: dict[int, Probe] = dataclasses.field(default_factory=dict)
    relays: dict[int, Relay] = dataclasses.field(default_factory=dict)
    next_probe_at: float | None = None
    rounds: int = 0
    last_received_at: float = float('-inf')
    next_recontact_at: float | None = None
    recontact_address: str = ''
    next_sync_at: float = 0.0
    differing_since: dict[str, float] = dataclasses.field(default_factory=dict)


def run(tables, context):
    """Handle probes that timed out, and send those that are due.

    Returns:
        Iterator of `effects.Effect`.
    """
    probing = tables.probing
    table = tables.membership
    if _has_ended(table):
        return
    if probing.next_probe_at is None or table.paused_at == context.now:
        _reset_probes(probing, context)
    for probe in probing.probes.values():
        probe.deadline += table.tick_lag
    for sequence in _overdue(probing.relays, context.now):
        del probing.relays[sequence]
    for sequence in _overdue(probing.probes, context.now):
        yield from _handle_timeout(tables, context, sequence)
    if context.now >= probing.next_probe_at:
        probing.next_probe_at = context.now + PROBE_INTERVAL_S * _jitter(
            context
        )
        yield from _start_round(tables, context)
    yield from _recontact_dead(tables, context)


@dispatch.handle.register
def _(item: messages.Ping, tables, context, sender=''):
    table = tables.membership
    yield from membership.apply_all(table, item.updates, context)
    if _has_ended(table):
        return
    tables.probing.last_received_at = context.now
    _note_observer(table, sender, context.now)
    record = _record_of_address(table, sender)
    wrong_target = item.target not in (0, table.local.incarnation)
    yield effects.Send(
        sender,
        messages.Ack(
            item.sequence,
            table.local.incarnation,
            membership.updates_for(table, record, introduce=wrong_target),
            table.serving,
            table.digests.view,
        ),
    )


@dispatch.handle.register
def _(item: messages.Ack, tables, context, sender=''):
    table = tables.membership
    probing = tables.probing
    yield from membership.apply_all(table, item.updates, context)
    probing.last_received_at = context.now
    if sender == probing.recontact_address:
        probing.recontact_address = ''
        probing.next_recontact_at = (
            context.now + RECONTACT_AFTER_ANSWER_S * _jitter(context)
        )
    relay = probing.relays.pop(item.sequence, None)
    if relay is not None:
        yield effects.Send(
            relay.requester, messages.Ack(relay.sequence, item.incarnation)
        )
    probe = probing.probes.get(item.sequence)
    if probe is not None and _matches(probe, item):
        del probing.probes[item.sequence]
        table.health_score = max(0, table.health_score - 1)
    if item.view:
        yield from _compare_views(tables, context, item, sender)


@dispatch.handle.register
def _(item: messages.PingRequest, tables, context, sender=''):
    probing = tables.probing
    # Acknowledged at once, so that the requester knows that its own network
    # connection works.
    yield effects.Send(sender, messages.Ack(item.sequence, NO_INCARNATION))
    record = tables.membership.by_address.get(item.address)
    if record is None or len(probing.relays) >= MAX_RELAYS:
        return
    sequence = _next_sequence(probing)
    probing.relays[sequence] = Relay(
        sender, item.sequence, context.now + INDIRECT_TIMEOUT_S
    )
    yield effects.Send(
        item.address, messages.Ping(sequence, item.target), urgent=True
    )


@dispatch.handle.register
def _(item: messages.Sync, tables, context, sender=''):
    table = tables.membership
    own_buckets = table.digests.buckets
    if len(item.buckets) != len(own_buckets):
        return
    differing = [
        index
        for index, digest in enumerate(own_buckets)
        if digest != item.buckets[index]
    ]
    context.rng.shuffle(differing)
    buckets, members = _sync_page(table, differing)
    yield effects.Send(sender, messages.SyncAnswer(buckets, members))


@dispatch.handle.register
def _(item: messages.SyncAnswer, tables, context, sender=''):
    table = tables.membership
    received = {member.vm: member for member in item.members}
    newer = tuple(
        member
        for member in _in_buckets(table, item.buckets)
        if _is_newer(member, received.get(member.vm))
    )
    yield from membership.apply_all(table, item.members, context)
    if newer:
        yield effects.Send(sender, messages.Gossip(newer[:MAX_SYNC_RECORDS]))


@dispatch.handle.register
def _(item: dispatch.ExchangeFailed, tables, context, sender=''):
    joining.contact_failed(tables, item.address, context)
    for probe in tables.probing.probes.values():
        if probe.address == item.address and not probe.indirect:
            probe.deadline = context.now
    yield from ()


def _note_observer(table, address, now):
    table.observers[address] = now
    if len(table.observers) > MAX_OBSERVERS:
        table.observers = {
            address: at
            for address, at in table.observers.items()
            if now - at < flooding.OBSERVER_TTL_S
        }
    while len(table.observers) > MAX_OBSERVERS:
        del table.observers[next(iter(table.observers))]


def _has_ended(table):
    has_left = table.local.state is messages.MemberState.LEFT
    return has_left or table.stopped


def _reset_probes(probing, context):
    probing.probes.clear()
    probing.relays.clear()
    probing.next_probe_at = context.now + context.rng.uniform(
        0, PROBE_INTERVAL_S
    )


def _jitter(context):
    return context.rng.uniform(0.9, 1.1)


def _overdue(entries, now):
    return [key for key, entry in entries.items() if now >= entry.deadline]


def _next_sequence(probing):
    probing.sequence += 1
    return probing.sequence


def _matches(probe, ack):
    return (
        ack.incarnation != NO_INCARNATION and probe.target == ack.incarnation
    )


def _handle_timeout(tables, context, sequence):
    probing = tables.probing
    probe = probing.probes[sequence]
    table = tables.membership
    if not probe.indirect:
        probe.indirect = True
        probe.deadline = context.now + INDIRECT_TIMEOUT_S * _timeout_factor(
            table
        )
        yield from _request_indirect_probes(tables, context, sequence, probe)
        return
    del probing.probes[sequence]
    if probing.last_received_at < probe.started_at:
        table.health_score = min(
            membership.MAX_HEALTH_SCORE, table.health_score + 1
        )
        if table.health_score < ISOLATED_HEALTH_SCORE:
            return
    record = table.members.get(probe.vm)
    if record is not None and record.incarnation == probe.target:
        yield from membership.suspect(table, probe.vm, context)


def _timeout_factor(table):
    return 1 + table.health_score


def _request_indirect_probes(tables, context, sequence, probe):
    table = tables.membership
    others = [
        member
        for member in overlay.neighbours(table)
        if member.vm != probe.vm and member.state is messages.MemberState.ALIVE
    ]
    context.rng.shuffle(others)
    request = messages.PingRequest(sequence, probe.address, probe.target)
    for helper in others[:INDIRECT_PROBERS]:
        yield effects.Send(helper.peer_address, request, urgent=True)


def _start_round(tables, context):
    table = tables.membership
    for vm in tuple(table.disputed)[:DISPUTED_PER_ROUND]:
        yield from _send_probe(tables, context, table.members[vm], True)
    member, is_random = _choose_target(tables, context)
    tables.probing.rounds += 1
    if member is not None:
        yield from _send_probe(tables, context, member, is_random)


def _send_probe(tables, context, member, introduce):
    table = tables.membership
    sequence = _next_sequence(tables.probing)
    timeout = PROBE_TIMEOUT_S * _timeout_factor(table)
    tables.probing.probes[sequence] = Probe(
        member.vm,
        member.peer_address,
        member.incarnation,
        context.now,
        context.now + timeout,
    )
    recipient = table.disputed.pop(member.vm, member)
    yield effects.Send(
        member.peer_address,
        messages.Ping(
            sequence,
            member.incarnation,
            membership.updates_for(table, recipient, introduce),
            table.digests.view,
        ),
    )
    yield from progress.piggyback(tables, member.peer_address)


def _choose_target(tables, context):
    """Return the member to probe, or None, and whether it is random."""
    table = tables.membership
    rounds = tables.probing.rounds
    # After missed answers, all neighbours may be dead, so every second probe
    # goes to a random member.
    try_random = table.health_score > 0 and rounds % 2
    if try_random or rounds % RANDOM_PROBE_PERIOD == RANDOM_PROBE_PERIOD - 1:
        return _random_member(table, context), True
    neighbours = [
        member
        for member in overlay.neighbours(table)
        if member.state is messages.MemberState.ALIVE
    ]
    if neighbours:
        return neighbours[rounds % len(neighbours)], False
    return _random_member(table, context), True


def _random_member(table, context):
    if not table.by_address:
        return None
    vm = context.rng.choice(tuple(table.by_address.values()))
    return table.members[vm]


def _recontact_dead(tables, context):
    probing = tables.probing
    if probing.next_recontact_at is None:
        probing.next_recontact_at = context.now + context.rng.uniform(
            0, RECONTACT_INTERVAL_S
        )
    if context.now < probing.next_recontact_at:
        return
    probing.next_recontact_at = (
        context.now + RECONTACT_INTERVAL_S * context.rng.uniform(0.5, 1.5)
    )
    table = tables.membership
    dead = [
        vm
        for vm in table.tombstones
        if _can_recontact(table, table.members[vm])
    ]
    if not dead:
        return
    member = table.members[context.rng.choice(dead)]
    probing.recontact_address = member.peer_address
    yield effects.Send(
        member.peer_address,
        messages.Ping(
            _next_sequence(probing),
            member.incarnation,
            (member, table.local),
            table.digests.view,
        ),
    )


def _can_recontact(table, member):
    dead = member.state is messages.MemberState.DEAD
    return dead and member.peer_address not in table.by_address


def _record_of_address(table, address):
    vm = table.by_address.get(address)
    if vm is not None:
        return table.members[vm]
    ended = (table.members[vm] for vm in table.tombstones)
    return next((m for m in ended if m.peer_address == address), None)


def _compare_views(tables, context, ack, sender):
    probing = tables.probing
    table = tables.membership
    if ack.view == table.digests.view:
        probing.differing_since.pop(sender, None)
        return
    if len(probing.differing_since) >= MAX_DIFFERING_VIEWS:
        probing.differing_since.clear()
    differed_s = context.now - probing.differing_since.setdefault(
        sender, context.now
    )
    delay = 0.0 if _recently_paused(table, context.now) else SYNC_DELAY_S
    if differed_s < delay or context.now < probing.next_sync_at:
        return
    probing.next_sync_at = context.now + SYNC_INTERVAL_S * _jitter(context)
    yield effects.Send(sender, messages.Sync(tuple(table.digests.buckets)))


def _recently_paused(table, now):
    paused_at = table.paused_at
    return paused_at is not None and now - paused_at < PAUSE_CATCH_UP_S


def _sync_page(table, differing):
    """Return the indexes of buckets that fit one answer, and their records."""
    grouped = {index: [] for index in differing}
    for member in _in_buckets(table, differing):
        grouped[membership.bucket_index(member.vm)].append(member)
    members = []
    buckets = []
    for index, found in grouped.items():
        if buckets and len(members) + len(found) > MAX_SYNC_RECORDS:
            break
        buckets.append(index)
        members.extend(found)
    return tuple(buckets), tuple(members[: membership.MAX_RECORDS])


def _in_buckets(table, buckets):
    wanted = frozenset(buckets)
    for member in (table.local, *table.members.values()):
        if membership.bucket_index(member.vm) in wanted:
            yield member


def _is_newer(own, received):
    if received is None:
        return membership.is_live(own)
    return membership.merge(own, received) != received
