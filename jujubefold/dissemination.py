"""Dissemination: how an accepted version reaches every daemon.

A version spreads over the overlay's edges, with its patch or as an
announcement that is answered by a pull. What is missed is repaired from
the numbers that members gossip and from a few readers of the store.
"""

import collections
import dataclasses

import expression

from jujubefold import declarations
from jujubefold import dispatch
from jujubefold import documents
from jujubefold import effects
from jujubefold import errors
from jujubefold import events
from jujubefold import floor
from jujubefold import history
from jujubefold import membership
from jujubefold import messages
from jujubefold import overlay
from jujubefold import patches
from jujubefold import settings
from jujubefold import versions

FETCH_TIMEOUT_S = 5.0
MAX_BACKOFF_S = 10.0
MAX_DOUBLINGS = 10
MAX_HELD_BACK = 16
MAX_SOURCES = 8
JITTER = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Tip:
    """The newest version whose document fits its digest.

    It may be ahead of the version in force: while its floor or witnesses
    are waited for, or when this release cannot apply it.
    """

    version: versions.Version
    document: bytes


@dataclasses.dataclass(slots=True)
class Timers:
    """When things are due, in monotonic seconds; None before the start.

    Args:
        head: Next read of the head.
        repair: Next comparison with a random daemon.
        pull: Earliest next pull.
        announce: When the waiting announcement leaves, None for none.
        fetch_until: An unanswered fetch from the store is waited for.
    """

    head: float | None = None
    repair: float | None = None
    pull: float = 0.0
    announce: float | None = None
    fetch_until: float = 0.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts since the start, for metrics.

    Args:
        pushed: Versions sent with their patch unasked.
        announced: Announcements sent.
        pulled: Pulls sent.
        served_bytes: Bytes sent as answers to pulls.
        refused: Pulls not answered because of the byte bound.
        duplicates: Versions received that were held already.
        head_reads: Reads of the head asked for.
        fetches: Fetches from the store asked for.
    """

    pushed: int = 0
    announced: int = 0
    pulled: int = 0
    served_bytes: int = 0
    refused: int = 0
    duplicates: int = 0
    head_reads: int = 0
    fetches: int = 0


@dataclasses.dataclass(slots=True)
class DisseminationTable:
    """Versions this daemon holds, and who is being told.

    Args:
        held: The version in force, or None before the first.
        options: How versions spread.
        floors: What is known about numbers served before.
        tip: The newest version known whole, or None.
        staged: A version that can be applied but is not yet in force.
        history: Patches by number, oldest first, without gaps.
        held_back: Reasons by number of versions not applied here.
        wanted: Highest version number heard of.
        damaged: Number whose patch did not give its digest, 0 for none.
        conflict: Number and digest recorded last as differing from what
            is held under that number, or None.
        sources: Addresses known to hold `wanted`, newest last.
        pulls: Unanswered pulls: address to monotonic seconds of timeout.
        store_failures: Reads of the head that failed in a row.
        budget: Bytes that may be sent as answers to pulls now.
        budget_at: Monotonic seconds at which `budget` was filled up.
        snapshot: The tip's number and compressed document, when made.
    """

    held: versions.Held | None = None
    options: settings.Dissemination = dataclasses.field(
        default_factory=settings.Dissemination
    )
    floors: floor.FloorTable = dataclasses.field(
        default_factory=floor.FloorTable
    )
    tip: Tip | None = None
    staged: versions.Held | None = None
    history: collections.OrderedDict[int, messages.Push] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    history_bytes: int = 0
    held_back: dict[int, str] = dataclasses.field(default_factory=dict)
    wanted: int = 0
    damaged: int = 0
    conflict: tuple[int, str] | None = None
    sources: dict[str, int] = dataclasses.field(default_factory=dict)
    pulls: dict[str, float] = dataclasses.field(default_factory=dict)
    store_failures: int = 0
    budget: float = 0.0
    budget_at: float | None = None
    snapshot: tuple[int, bytes] | None = None
    timers: Timers = dataclasses.field(default_factory=Timers)
    counters: Counters = dataclasses.field(default_factory=Counters)

    @property
    def number(self):
        """Number of the tip, 0 for none."""
        return self.tip.version.number if self.tip else 0

    @property
    def in_force(self):
        """Number of the version in force, 0 for none."""
        return self.held.version.number if self.held else 0


def run(tables, context):
    """Announce, pull and read the head where due.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.dissemination
    _start(table, context)
    table.wanted = max(table.wanted, table.floors.known or 0)
    yield from _advance(tables, context)
    yield from floor.run(tables, context)
    yield from _read_head(tables, context)
    yield from _announce_due(tables, context)
    yield from _repair(tables, context)
    yield from _pull(tables, context)


def _start(table, context):
    timers = table.timers
    if timers.head is None:
        spread = table.options.start_jitter
        timers.head = context.now + spread * context.rng.random()
        timers.repair = timers.head
        timers.pull = timers.head


def _read_head(tables, context):
    table = tables.dissemination
    if context.now < table.timers.head:
        return
    table.timers.head = context.now + _jittered(_head_wait(table), context)
    if table.floors.head is None or _is_reader(tables):
        table.counters.head_reads += 1
        yield effects.ReadHead()


def _is_reader(tables):
    readers = tables.dissemination.options.readers
    return overlay.is_reader(tables.membership, readers)


def _head_wait(table):
    interval = table.options.head_interval
    failures = min(table.store_failures, MAX_DOUBLINGS)
    return min(interval * 2**failures, max(interval, MAX_BACKOFF_S))


def _repair(tables, context):
    """Compare with the fleet: by gossiped numbers, and with one daemon."""
    table = tables.dissemination
    if context.now < table.timers.repair:
        return
    interval = table.options.repair_interval
    table.timers.repair = context.now + _jittered(interval, context)
    live = list(membership.live_members(tables.membership))
    for member in live:
        if member.in_force > table.number:
            _want(table, member.in_force, member.peer_address)
    if live and table.tip:
        member = context.rng.choice(live)
        table.counters.announced += 1
        yield effects.Send(member.peer_address, _announcement(table))


def _pull(tables, context):
    table = tables.dissemination
    if not _behind(table) or context.now < table.timers.pull:
        return
    _expire_pulls(table, context)
    if len(table.pulls) >= table.options.pulls:
        return
    address = _source(tables, context)
    if address is None:
        return
    timeout = _jittered(table.options.pull_timeout, context)
    table.pulls[address] = context.now + timeout
    table.timers.pull = context.now + timeout / table.options.pulls
    table.counters.pulled += 1
    yield effects.Send(address, _request(table), urgent=True)


def _behind(table):
    return max(table.wanted, table.damaged) > table.number


def _request(table):
    if table.damaged:
        return messages.Pull(table.number, whole=True)
    if table.tip is None:
        return messages.Pull(0)
    version = table.tip.version
    return messages.Pull(version.number, version.digest)


def _expire_pulls(table, context):
    late = [
        name for name, until in table.pulls.items() if until <= context.now
    ]
    for name in late:
        del table.pulls[name]
        table.sources.pop(name, None)


def _source(tables, context):
    """Choose whom to pull from, or None."""
    table = tables.dissemination
    likely = [
        address
        for address, number in table.sources.items()
        if number > table.number and address not in table.pulls
    ]
    if likely:
        return context.rng.choice(likely)
    others = [
        member.peer_address
        for member in membership.live_members(tables.membership)
        if member.in_force > table.number
        and member.peer_address not in table.pulls
    ]
    return context.rng.choice(others) if others else None


def _want(table, number, address=''):
    table.wanted = max(table.wanted, number)
    if not address:
        return
    table.sources.pop(address, None)
    table.sources[address] = number
    if len(table.sources) > MAX_SOURCES:
        table.sources.pop(next(iter(table.sources)))


def _announcement(table):
    version = table.tip.version
    return messages.Announce(version.number, version.digest)


def _announce_due(tables, context):
    table = tables.dissemination
    due = table.timers.announce
    if due is None or context.now < due:
        return
    table.timers.announce = None
    item = _announcement(table)
    edges = overlay.neighbours(tables.membership)
    for member in edges[table.options.push_edges :]:
        if member.in_force < item.number:
            table.counters.announced += 1
            yield effects.Send(member.peer_address, item)


def _push(tables, context, pushes, sender):
    """Send what was learnt along the overlay."""
    table = tables.dissemination
    edges = overlay.neighbours(tables.membership)
    eager = table.options.push_edges
    delay = table.options.announce_delay
    is_urgent = table.options.preset is settings.Preset.CONVERGENCE
    for member in edges[:eager]:
        if member.peer_address == sender:
            continue
        if member.in_force >= table.number:
            continue
        for item in pushes:
            table.counters.pushed += 1
            yield effects.Send(member.peer_address, item, is_urgent)
    if len(edges) > eager and table.timers.announce is None:
        table.timers.announce = context.now + _jittered(delay, context)


def _jittered(seconds, context):
    return seconds * (1 + JITTER * (2 * context.rng.random() - 1))


def _extend(tables, context, chain, sender):
    """Apply patches that follow the tip, in order."""
    table = tables.dissemination
    learnt = []
    for version in chain:
        if version.number <= table.number:
            table.counters.duplicates += 1
            yield from _check_conflict(table, version.number, version.digest)
            continue
        if version.number > table.number + 1:
            break
        document = _next_document(table, version)
        if document.is_error():
            yield from _damaged(table, version, document.error)
            break
        yield from _take(table, version, document.ok)
        learnt.append(history.push_of(version))
    if learnt:
        yield from _spread(tables, context, learnt, sender)


def _next_document(table, version):
    base = table.tip.document if table.tip else versions.EMPTY_DOCUMENT
    held = table.tip.version.digest if table.tip else versions.EMPTY_DIGEST
    if version.parent_digest != held:
        return _mismatch('the parent differs from the version held')
    document = patches.apply(base, version.patch)
    if document.is_error():
        return document
    return _verified(document.ok, version)


def _verified(document, version):
    if versions.digest(document) != version.digest:
        return _mismatch('the document does not fit its digest')
    return expression.Ok(document)


def _mismatch(reason):
    return expression.Error(errors.Invalid(reason, 'digest'))


def _damaged(table, version, error):
    """Remember that a version must be had whole."""
    table.damaged = max(table.damaged, version.number)
    _want(table, version.number)
    yield from _hold_back(table, version, error.reason)


def _adopt(tables, context, version, document, sender):
    """Take a version whole, in place of the chain that leads to it."""
    table = tables.dissemination
    if version.number <= table.number:
        table.counters.duplicates += 1
        return
    document = _verified(document, version)
    if document.is_error():
        table.sources.pop(sender, None)
        yield from _hold_back(table, version, document.error.reason)
        return
    held = table.tip.version.digest if table.tip else versions.EMPTY_DIGEST
    if version.parent_digest != held or version.number != table.number + 1:
        table.history.clear()
        table.history_bytes = 0
    yield from _take(table, version, document.ok)
    yield from _spread(tables, context, [history.push_of(version)], sender)


def _take(table, version, document):
    table.tip = Tip(version, document)
    table.snapshot = None
    table.wanted = max(table.wanted, version.number)
    if version.number >= table.damaged:
        table.damaged = 0
    history.remember(table, version)
    compiled = declarations.compile_document(document, version.number)
    if compiled.is_ok():
        table.held_back.pop(version.number, None)
        table.staged = versions.Held(version, document, compiled.ok)
        return
    reasons = '; '.join(
        f'{item.where}: {item.reason}' for item in compiled.error
    )
    yield from _hold_back(table, version, reasons)


def _hold_back(table, version, reason):
    if table.held_back.get(version.number) == reason:
        return
    table.held_back[version.number] = reason
    while len(table.held_back) > MAX_HELD_BACK:
        del table.held_back[min(table.held_back)]
    yield effects.RecordEvent(
        events.Event(
            'version.held_back',
            version=version.number,
            patch=version.patch_id,
            detail=reason,
        )
    )


def _check_conflict(table, number, digest):
    """Record once that one number names two documents."""
    known = table.history.get(number)
    met = (number, digest)
    if known is None or not digest or known.digest == digest:
        return
    if table.conflict != met:
        table.conflict = met
        yield effects.RecordEvent(
            events.Event(
                'version.conflict',
                version=number,
                detail=f'held {known.digest}, met {digest}',
            )
        )


def _spread(tables, context, pushes, sender):
    table = tables.dissemination
    yield from _push(tables, context, pushes, sender)
    if not _behind(table):
        table.pulls.clear()
    table.timers.pull = context.now
    yield from _advance(tables, context)


def _advance(tables, context):
    """Put the staged version in force once nothing forbids it."""
    table = tables.dissemination
    staged = table.staged
    if staged is None or not floor.permits(
        table.floors, staged.version.number
    ):
        return
    if not floor.is_noted(tables, table.options, staged.version, context.now):
        return
    if staged.version.number <= table.in_force:
        raise errors.BrokenInvariant('a staged version must be newer')
    table.held = staged
    table.staged = None
    table.held_back = {
        number: reason
        for number, reason in table.held_back.items()
        if number > table.in_force
    }
    membership.set_in_force(tables.membership, staged.version.number)
    yield effects.ActivateVersion(staged)
    yield effects.RecordEvent(
        events.Event(
            'version.in_force',
            version=staged.version.number,
            patch=staged.version.patch_id,
        )
    )


def _fetch(table, context, upto):
    if context.now < table.timers.fetch_until:
        return
    table.timers.fetch_until = context.now + FETCH_TIMEOUT_S
    table.counters.fetches += 1
    yield effects.FetchVersions(table.number, upto, bool(table.damaged))


@dispatch.handle.register
def _announce(item: messages.Announce, tables, context, sender=''):
    table = tables.dissemination
    if item.number > table.number:
        _expire_pulls(table, context)
        _want(table, item.number, sender)
        yield from _pull(tables, context)
        return
    yield from _check_conflict(table, item.number, item.digest)
    if item.number < table.number:
        table.counters.announced += 1
        yield effects.Send(sender, _announcement(table))


@dispatch.handle.register
def _pushed(item: messages.Push, tables, context, sender=''):
    table = tables.dissemination
    if item.number > table.number:
        _expire_pulls(table, context)
        _want(table, item.number, sender)
    yield from _extend(tables, context, [history.version_of(item)], sender)
    yield from _pull(tables, context)


@dispatch.handle.register
def _pulled(item: messages.Pull, tables, context, sender=''):
    table = tables.dissemination
    if item.after >= table.number:
        if item.after > table.number:
            _want(table, item.after, sender)
        return
    answer, size = history.answer(table, item)
    if size > history.allowance(table, context.now):
        table.counters.refused += 1
        return
    table.budget -= size
    table.counters.served_bytes += size
    yield effects.Send(sender, answer, urgent=True)


@dispatch.handle.register
def _chained(item: messages.Chain, tables, context, sender=''):
    tables.dissemination.pulls.pop(sender, None)
    chain = [history.version_of(push) for push in item.pushes]
    yield from _extend(tables, context, chain, sender)
    yield from _pull(tables, context)


@dispatch.handle.register
def _snapshotted(item: messages.Snapshot, tables, context, sender=''):
    table = tables.dissemination
    table.pulls.pop(sender, None)
    document = documents.decompress(item.document)
    if document.is_error():
        table.sources.pop(sender, None)
        return
    version = history.version_of(item.last)
    yield from _adopt(tables, context, version, document.ok, sender)
    yield from _pull(tables, context)


@dispatch.handle.register
def _head_read(item: dispatch.HeadRead, tables, context, sender=''):
    table = tables.dissemination
    if item.number is None:
        table.store_failures += 1
        return
    table.store_failures = 0
    yield from floor.observe_head(table.floors, item.number, context.now)
    yield from _check_conflict(table, item.number, item.digest)
    if item.number > table.number:
        _want(table, item.number)
        if _is_reader(tables) or _source(tables, context) is None:
            yield from _fetch(table, context, item.number)
    yield from _advance(tables, context)


@dispatch.handle.register
def _fetched(item: dispatch.VersionsFetched, tables, context, sender=''):
    tables.dissemination.timers.fetch_until = 0.0
    if not item.versions:
        return
    if item.document is not None:
        version = item.versions[-1]
        yield from _adopt(tables, context, version, item.document, '')
        return
    yield from _extend(tables, context, item.versions, '')


@dispatch.handle.register
def _accepted(item: dispatch.PatchAccepted, tables, context, sender=''):
    table = tables.dissemination
    _want(table, item.version.number)
    yield from _extend(tables, context, [item.version], '')
    if _behind(table):
        yield from _fetch(table, context, item.version.number)
