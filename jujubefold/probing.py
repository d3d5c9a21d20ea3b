"""Probing: finds out which daemons still answer."""

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
HELPERS = 3
MAX_RELAYS = 64
# One probe in so many goes to any member instead of a neighbour.
RANDOM_PROBE_PERIOD = 20
# Members probed besides, because another daemon holds them dead.
DOUBTS_A_ROUND = 4
RECONTACT_S = 20.0
RECONTACT_SOON_S = 1.0
SYNC_AFTER_S = 3.0
SYNC_INTERVAL_S = 5.0
SYNC_RECORDS = 128
MAX_DIFFERS = 64
# After a pause of this process, views are compared without delay.
CATCH_UP_S = 5.0
MAX_OBSERVERS = 16
# A daemon that hears nobody suspects others only from this doubt on.
ISOLATED_HEALTH = 3
# Incarnation in a helper's answer before the target has answered it.
NOT_HEARD = 0


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe under way.

    Args:
        target: Incarnation that the member is believed to have.
        started_at: Monotonic seconds.
        deadline: When its present stage has failed.
        indirect: Whether other daemons were asked to probe, too.
    """

    vm: str
    address: str
    target: int
    started_at: float
    deadline: float
    indirect: bool = False


@dataclasses.dataclass(slots=True)
class Relay:
    """A probe made for another daemon.

    Args:
        requester: Peer address that the answer goes to.
        sequence: The requester's own sequence.
    """

    requester: str
    sequence: int
    deadline: float


@dataclasses.dataclass(slots=True)
class ProbingTable:
    """Probes under way and when the next things are due.

    Args:
        sequence: Last sequence used.
        probes: By sequence.
        relays: By sequence.
        next_at: Monotonic seconds of the next probe, or None.
        rounds: Probes sent.
        heard_at: When another daemon was last heard.
        recontact_at: When a dead member is next tried, or None.
        recontacted: Address of the dead member tried last.
        sync_at: Earliest time of the next comparison.
        differs: Since when a daemon's view differs, by peer address.
    """

    sequence: int = 0
    probes: dict[int, Probe] = dataclasses.field(default_factory=dict)
    relays: dict[int, Relay] = dataclasses.field(default_factory=dict)
    next_at: float | None = None
    rounds: int = 0
    heard_at: float = float('-inf')
    recontact_at: float | None = None
    recontacted: str = ''
    sync_at: float = 0.0
    differs: dict[str, float] = dataclasses.field(default_factory=dict)


def run(tables, context):
    """Judge overdue probes and send the next one.

    Returns:
        Iterator of `effects.Effect`.
    """
    probing = tables.probing
    table = tables.membership
    if _is_over(table):
        return
    if probing.next_at is None or table.paused_at == context.now:
        _begin_afresh(probing, context)
    for probe in probing.probes.values():
        probe.deadline += table.lag
    for sequence in _overdue(probing.relays, context.now):
        del probing.relays[sequence]
    for sequence in _overdue(probing.probes, context.now):
        yield from _judge(tables, context, sequence)
    if context.now >= probing.next_at:
        probing.next_at = context.now + PROBE_INTERVAL_S * _jitter(context)
        yield from _probe_next(tables, context)
    yield from _recontact(tables, context)


@dispatch.handle.register
def _(item: messages.Ping, tables, context, sender=''):
    table = tables.membership
    yield from membership.apply_all(table, item.updates, context)
    if _is_over(table):
        return
    tables.probing.heard_at = context.now
    _note_observer(table, sender, context.now)
    known = _record_at(table, sender)
    stranger = item.target not in (0, table.local.incarnation)
    yield effects.Send(
        sender,
        messages.Ack(
            item.sequence,
            table.local.incarnation,
            membership.news(table, known, introduce=stranger),
            table.serving,
            table.digests.view,
        ),
    )


@dispatch.handle.register
def _(item: messages.Ack, tables, context, sender=''):
    table = tables.membership
    probing = tables.probing
    yield from membership.apply_all(table, item.updates, context)
    probing.heard_at = context.now
    if sender == probing.recontacted:
        probing.recontacted = ''
        probing.recontact_at = context.now + RECONTACT_SOON_S * _jitter(
            context
        )
    relay = probing.relays.pop(item.sequence, None)
    if relay is not None:
        yield effects.Send(
            relay.requester, messages.Ack(relay.sequence, item.incarnation)
        )
    probe = probing.probes.get(item.sequence)
    if probe is not None and _answers(probe, item):
        del probing.probes[item.sequence]
        table.health_score = max(0, table.health_score - 1)
    if item.view:
        yield from _compare(tables, context, item, sender)


@dispatch.handle.register
def _(item: messages.PingRequest, tables, context, sender=''):
    probing = tables.probing
    # Tells the requester that its own network works.
    yield effects.Send(sender, messages.Ack(item.sequence, NOT_HEARD))
    known = tables.membership.by_address.get(item.address)
    if known is None or len(probing.relays) >= MAX_RELAYS:
        return
    sequence = _number(probing)
    probing.relays[sequence] = Relay(
        sender, item.sequence, context.now + INDIRECT_TIMEOUT_S
    )
    yield effects.Send(
        item.address, messages.Ping(sequence, item.target), urgent=True
    )


@dispatch.handle.register
def _(item: messages.Sync, tables, context, sender=''):
    table = tables.membership
    mine = table.digests.buckets
    if len(item.buckets) != len(mine):
        return
    differing = [
        index
        for index, digest in enumerate(mine)
        if digest != item.buckets[index]
    ]
    context.rng.shuffle(differing)
    buckets, members = _fill(table, differing)
    yield effects.Send(sender, messages.SyncAnswer(buckets, members))


@dispatch.handle.register
def _(item: messages.SyncAnswer, tables, context, sender=''):
    table = tables.membership
    heard = {member.vm: member for member in item.members}
    back = tuple(
        member
        for member in _in_buckets(table, item.buckets)
        if _is_newer(member, heard.get(member.vm))
    )
    yield from membership.apply_all(table, item.members, context)
    if back:
        yield effects.Send(sender, messages.Gossip(back[:SYNC_RECORDS]))


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
            if now - at < flooding.OBSERVED_S
        }
    while len(table.observers) > MAX_OBSERVERS:
        del table.observers[next(iter(table.observers))]


def _is_over(table):
    left = table.local.state is messages.MemberState.LEFT
    return left or table.stopped


def _begin_afresh(probing, context):
    probing.probes.clear()
    probing.relays.clear()
    probing.next_at = context.now + context.rng.uniform(0, PROBE_INTERVAL_S)


def _jitter(context):
    return context.rng.uniform(0.9, 1.1)


def _overdue(entries, now):
    return [key for key, entry in entries.items() if now >= entry.deadline]


def _number(probing):
    probing.sequence += 1
    return probing.sequence


def _answers(probe, ack):
    return ack.incarnation != NOT_HEARD and probe.target == ack.incarnation


def _judge(tables, context, sequence):
    probing = tables.probing
    probe = probing.probes[sequence]
    table = tables.membership
    if not probe.indirect:
        probe.indirect = True
        probe.deadline = context.now + INDIRECT_TIMEOUT_S * _patience(table)
        yield from _ask_helpers(tables, context, sequence, probe)
        return
    del probing.probes[sequence]
    if probing.heard_at < probe.started_at:
        table.health_score = min(
            membership.MAX_HEALTH_SCORE, table.health_score + 1
        )
        if table.health_score < ISOLATED_HEALTH:
            return
    known = table.members.get(probe.vm)
    if known is not None and known.incarnation == probe.target:
        yield from membership.suspect(table, probe.vm, context)


def _patience(table):
    return 1 + table.health_score


def _ask_helpers(tables, context, sequence, probe):
    table = tables.membership
    others = [
        member
        for member in overlay.neighbours(table)
        if member.vm != probe.vm and member.state is messages.MemberState.ALIVE
    ]
    context.rng.shuffle(others)
    request = messages.PingRequest(sequence, probe.address, probe.target)
    for helper in others[:HELPERS]:
        yield effects.Send(helper.peer_address, request, urgent=True)


def _probe_next(tables, context):
    table = tables.membership
    for vm in tuple(table.doubted)[:DOUBTS_A_ROUND]:
        yield from _probe(tables, context, table.members[vm], True)
    member, chance = _choose(tables, context)
    tables.probing.rounds += 1
    if member is not None:
        yield from _probe(tables, context, member, chance)


def _probe(tables, context, member, introduce):
    table = tables.membership
    sequence = _number(tables.probing)
    timeout = PROBE_TIMEOUT_S * _patience(table)
    tables.probing.probes[sequence] = Probe(
        member.vm,
        member.peer_address,
        member.incarnation,
        context.now,
        context.now + timeout,
    )
    about = table.doubted.pop(member.vm, member)
    yield effects.Send(
        member.peer_address,
        messages.Ping(
            sequence,
            member.incarnation,
            membership.news(table, about, introduce),
            table.digests.view,
        ),
    )
    yield from progress.carry(tables, member.peer_address)


def _choose(tables, context):
    """Return whom to probe, and whether by chance."""
    table = tables.membership
    rounds = tables.probing.rounds
    # Who hears little may have none but the dead for neighbours.
    lonely = table.health_score > 0 and rounds % 2
    if lonely or rounds % RANDOM_PROBE_PERIOD == RANDOM_PROBE_PERIOD - 1:
        return _anybody(table, context), True
    near = [
        member
        for member in overlay.neighbours(table)
        if member.state is messages.MemberState.ALIVE
    ]
    if near:
        return near[rounds % len(near)], False
    return _anybody(table, context), True


def _anybody(table, context):
    if not table.by_address:
        return None
    vm = context.rng.choice(tuple(table.by_address.values()))
    return table.members[vm]


def _recontact(tables, context):
    probing = tables.probing
    if probing.recontact_at is None:
        probing.recontact_at = context.now + context.rng.uniform(
            0, RECONTACT_S
        )
    if context.now < probing.recontact_at:
        return
    probing.recontact_at = context.now + RECONTACT_S * context.rng.uniform(
        0.5, 1.5
    )
    table = tables.membership
    dead = [vm for vm in table.ended if _may_return(table, table.members[vm])]
    if not dead:
        return
    member = table.members[context.rng.choice(dead)]
    probing.recontacted = member.peer_address
    yield effects.Send(
        member.peer_address,
        messages.Ping(
            _number(probing),
            member.incarnation,
            (member, table.local),
            table.digests.view,
        ),
    )


def _may_return(table, member):
    dead = member.state is messages.MemberState.DEAD
    return dead and member.peer_address not in table.by_address


def _record_at(table, address):
    vm = table.by_address.get(address)
    if vm is not None:
        return table.members[vm]
    gone = (table.members[vm] for vm in table.ended)
    return next((m for m in gone if m.peer_address == address), None)


def _compare(tables, context, ack, sender):
    probing = tables.probing
    table = tables.membership
    if ack.view == table.digests.view:
        probing.differs.pop(sender, None)
        return
    if len(probing.differs) >= MAX_DIFFERS:
        probing.differs.clear()
    waited = context.now - probing.differs.setdefault(sender, context.now)
    patience = 0.0 if _missed_news(table, context.now) else SYNC_AFTER_S
    if waited < patience or context.now < probing.sync_at:
        return
    probing.sync_at = context.now + SYNC_INTERVAL_S * _jitter(context)
    yield effects.Send(sender, messages.Sync(tuple(table.digests.buckets)))


def _missed_news(table, now):
    paused_at = table.paused_at
    return paused_at is not None and now - paused_at < CATCH_UP_S


def _fill(table, differing):
    """Return the buckets that fit one answer, and their records."""
    grouped = {index: [] for index in differing}
    for member in _in_buckets(table, differing):
        grouped[membership.bucket_of(member.vm)].append(member)
    members = []
    buckets = []
    for index, found in grouped.items():
        if buckets and len(members) + len(found) > SYNC_RECORDS:
            break
        buckets.append(index)
        members.extend(found)
    return tuple(buckets), tuple(members[: membership.MAX_RECORDS])


def _in_buckets(table, buckets):
    wanted = frozenset(buckets)
    for member in (table.local, *table.members.values()):
        if membership.bucket_of(member.vm) in wanted:
            yield member


def _is_newer(mine, heard):
    if heard is None:
        return membership.is_live(mine)
    return membership.merge(mine, heard) != heard
