"""Dissemination: spreads accepted versions to every daemon.

A version travels over the overlay's edges, either pushed with its patch or
announced by number, which the receiver answers with a pull. A daemon that
missed a version learns of it from the version numbers in gossip, or from
the few daemons per failure domain that poll the store.
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
MAX_BACKOFF_DOUBLINGS = 10
MAX_HELD_BACK = 16
MAX_SOURCES = 8
JITTER_FRACTION = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Tip:
    """The newest version whose document matches its digest.

    It is ahead of the version in force while this daemon waits for its
    floor or its witnesses, or when this release cannot compile it.
    """

    version: versions.Version
    document: bytes


@dataclasses.dataclass(slots=True)
class Timers:
    """Due times in monotonic seconds.

    Args:
        read_head_at: Next read of the head; None before the first run.
        repair_at: Next comparison with a random daemon; None before the
            first run.
        pull_at: Earliest next pull.
        announce_at: When the delayed announcement is sent; None for none.
        fetch_deadline: Until when no other fetch from the store is started;
            0 when none is outstanding.
    """

    read_head_at: float | None = None
    repair_at: float | None = None
    pull_at: float = 0.0
    announce_at: float | None = None
    fetch_deadline: float = 0.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts since the start.

    Args:
        pushes_sent: Versions sent with their patch without a pull.
        announcements_sent: Announcements sent.
        pulls_sent: Pulls sent.
        served_bytes: Bytes sent as answers to pulls.
        pulls_refused: Pulls left unanswered because of the byte rate limit.
        duplicates: Versions received that this daemon already had.
        head_reads: Reads of the head requested.
        store_fetches: Fetches from the store requested.
    """

    pushes_sent: int = 0
    announcements_sent: int = 0
    pulls_sent: int = 0
    served_bytes: int = 0
    pulls_refused: int = 0
    duplicates: int = 0
    head_reads: int = 0
    store_fetches: int = 0


@dataclasses.dataclass(slots=True)
class DisseminationTable:
    """Versions that this daemon has, and its exchanges with other daemons.

    Args:
        version_in_force: The version in force, or None before the first.
        options: The settings.
        floors: Floors of this daemon and notes taken for others.
        tip: The newest version whose document is known, or None.
        staged: A compiled version that waits to be put in force, or None.
        history: Patches by number, oldest first, without gaps.
        history_bytes: Bytes of the patches in `history`.
        held_back: By number, why a version could not be applied here.
        wanted: Highest version number known to exist.
        damaged: Number of a version whose patch did not produce its digest,
            to be fetched as a whole document; 0 for none.
        conflict: Number and digest of the last `version.conflict` event,
            or None.
        sources: Highest version number known to be at a peer, by address;
            the most recently updated last.
        pulls: Unanswered pulls: address to monotonic seconds of timeout.
        store_failures: Consecutive failed reads of the head.
        serve_budget: Bytes that may be sent as answers to pulls now.
        serve_budget_at: Monotonic seconds at which `serve_budget` was last
            refilled; None before the first pull.
        snapshot: Number and compressed document of the tip; None until a
            pull needs it.
    """

    version_in_force: versions.CompiledVersion | None = None
    options: settings.Dissemination = dataclasses.field(
        default_factory=settings.Dissemination
    )
    floors: floor.FloorTable = dataclasses.field(
        default_factory=floor.FloorTable
    )
    tip: Tip | None = None
    staged: versions.CompiledVersion | None = None
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
    serve_budget: float = 0.0
    serve_budget_at: float | None = None
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
        return (
            self.version_in_force.version.number
            if self.version_in_force
            else 0
        )


def run(tables, context):
    """Put versions in force, announce, pull and read the head when due.

    Args:
        tables: The daemon's `core.Tables`.
        context: A `dispatch.Context`.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.dissemination
    _init_timers(table, context)
    table.wanted = max(table.wanted, table.floors.floor or 0)
    yield from _put_in_force(tables, context)
    yield from floor.run(tables, context)
    yield from _read_head(tables, context)
    yield from _send_announcement(tables, context)
    yield from _repair(tables, context)
    yield from _pull(tables, context)


def _init_timers(table, context):
    timers = table.timers
    if timers.read_head_at is None:
        max_delay = table.options.start_jitter
        timers.read_head_at = context.now + max_delay * context.rng.random()
        timers.repair_at = timers.read_head_at
        timers.pull_at = timers.read_head_at


def _read_head(tables, context):
    table = tables.dissemination
    if context.now < table.timers.read_head_at:
        return
    table.timers.read_head_at = context.now + _with_jitter(
        _head_read_delay(table), context
    )
    if table.floors.head is None or _is_reader(tables):
        table.counters.head_reads += 1
        yield effects.ReadHead()


def _is_reader(tables):
    readers = tables.dissemination.options.readers
    return overlay.is_reader(tables.membership, readers)


def _head_read_delay(table):
    interval = table.options.head_interval
    failures = min(table.store_failures, MAX_BACKOFF_DOUBLINGS)
    return min(interval * 2**failures, max(interval, MAX_BACKOFF_S))


def _repair(tables, context):
    """Compare the tip with gossiped numbers and with one random daemon."""
    table = tables.dissemination
    if context.now < table.timers.repair_at:
        return
    interval = table.options.repair_interval
    table.timers.repair_at = context.now + _with_jitter(interval, context)
    live = list(membership.live_members(tables.membership))
    for member in live:
        if member.in_force > table.number:
            _observe_number(table, member.in_force, member.peer_address)
    if live and table.tip:
        member = context.rng.choice(live)
        table.counters.announcements_sent += 1
        yield effects.Send(member.peer_address, _announcement(table))


def _pull(tables, context):
    table = tables.dissemination
    if not _is_behind(table) or context.now < table.timers.pull_at:
        return
    _expire_pulls(table, context)
    if len(table.pulls) >= table.options.pulls:
        return
    address = _choose_source(tables, context)
    if address is None:
        return
    timeout = _with_jitter(table.options.pull_timeout, context)
    table.pulls[address] = context.now + timeout
    table.timers.pull_at = context.now + timeout / table.options.pulls
    table.counters.pulls_sent += 1
    yield effects.Send(address, _pull_request(table), urgent=True)


def _is_behind(table):
    return max(table.wanted, table.damaged) > table.number


def _pull_request(table):
    if table.damaged:
        return messages.Pull(table.number, whole=True)
    if table.tip is None:
        return messages.Pull(0)
    version = table.tip.version
    return messages.Pull(version.number, version.digest)


def _expire_pulls(table, context):
    expired = [
        address
        for address, deadline in table.pulls.items()
        if deadline <= context.now
    ]
    for address in expired:
        del table.pulls[address]
        table.sources.pop(address, None)


def _choose_source(tables, context):
    """Return the peer address to pull from, or None."""
    table = tables.dissemination
    known_sources = [
        address
        for address, number in table.sources.items()
        if number > table.number and address not in table.pulls
    ]
    if known_sources:
        return context.rng.choice(known_sources)
    others = [
        member.peer_address
        for member in membership.live_members(tables.membership)
        if member.in_force > table.number
        and member.peer_address not in table.pulls
    ]
    return context.rng.choice(others) if others else None


def _observe_number(table, number, address=''):
    """Note that a version exists and, if given, the peer that has it."""
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


def _send_announcement(tables, context):
    table = tables.dissemination
    due = table.timers.announce_at
    if due is None or context.now < due:
        return
    table.timers.announce_at = None
    item = _announcement(table)
    neighbours = overlay.neighbours(tables.membership)
    for member in neighbours[table.options.push_edges :]:
        if member.in_force < item.number:
            table.counters.announcements_sent += 1
            yield effects.Send(member.peer_address, item)


def _push(tables, context, pushes, sender):
    """Push new versions to the first neighbours, announce to the others.

    Announcements wait for `announce_delay`. `sender`, which the versions
    came from, and neighbours that have the tip in force get no push.
    """
    table = tables.dissemination
    neighbours = overlay.neighbours(tables.membership)
    push_edges = table.options.push_edges
    delay = table.options.announce_delay
    is_urgent = table.options.preset is settings.Preset.CONVERGENCE
    for member in neighbours[:push_edges]:
        if member.peer_address == sender:
            continue
        if member.in_force >= table.number:
            continue
        for item in pushes:
            table.counters.pushes_sent += 1
            yield effects.Send(member.peer_address, item, is_urgent)
    if len(neighbours) > push_edges and table.timers.announce_at is None:
        table.timers.announce_at = context.now + _with_jitter(delay, context)


def _with_jitter(seconds, context):
    return seconds * (1 + JITTER_FRACTION * (2 * context.rng.random() - 1))


def _apply_chain(tables, context, chain, sender):
    """Apply consecutive patches that follow the tip.

    Stops at a gap, or at a patch that does not produce its digest.
    """
    table = tables.dissemination
    applied = []
    for version in chain:
        if version.number <= table.number:
            table.counters.duplicates += 1
            yield from _check_conflict(table, version.number, version.digest)
            continue
        if version.number > table.number + 1:
            break
        document = _next_document(table, version)
        if document.is_error():
            yield from _mark_damaged(table, version, document.error)
            break
        yield from _set_tip(table, version, document.ok)
        applied.append(history.push_of(version))
    if applied:
        yield from _propagate(tables, context, applied, sender)


def _next_document(table, version):
    base = table.tip.document if table.tip else versions.EMPTY_DOCUMENT
    held = table.tip.version.digest if table.tip else versions.EMPTY_DIGEST
    if version.parent_digest != held:
        return _digest_error(
            'the parent digest is not that of the version held here'
        )
    document = patches.apply(base, version.patch)
    if document.is_error():
        return document
    return _verify_digest(document.ok, version)


def _verify_digest(document, version):
    if versions.digest(document) != version.digest:
        return _digest_error('the document does not match its digest')
    return expression.Ok(document)


def _digest_error(reason):
    return expression.Error(errors.Invalid(reason, 'digest'))


def _mark_damaged(table, version, error):
    """Mark a version to be fetched as a whole document."""
    table.damaged = max(table.damaged, version.number)
    _observe_number(table, version.number)
    yield from _hold_back(table, version, error.reason)


def _apply_document(tables, context, version, document, sender):
    """Install a version from its whole document instead of its patch."""
    table = tables.dissemination
    if version.number <= table.number:
        table.counters.duplicates += 1
        return
    document = _verify_digest(document, version)
    if document.is_error():
        table.sources.pop(sender, None)
        yield from _hold_back(table, version, document.error.reason)
        return
    held = table.tip.version.digest if table.tip else versions.EMPTY_DIGEST
    if version.parent_digest != held or version.number != table.number + 1:
        table.history.clear()
        table.history_bytes = 0
    yield from _set_tip(table, version, document.ok)
    yield from _propagate(tables, context, [history.push_of(version)], sender)


def _set_tip(table, version, document):
    table.tip = Tip(version, document)
    table.snapshot = None
    table.wanted = max(table.wanted, version.number)
    if version.number >= table.damaged:
        table.damaged = 0
    history.add_version(table, version)
    compiled = declarations.compile_document(document, version.number)
    if compiled.is_ok():
        table.held_back.pop(version.number, None)
        table.staged = versions.CompiledVersion(version, document, compiled.ok)
        return
    reasons = '; '.join(
        f'{item.where}: {item.reason}' for item in compiled.error
    )
    yield from _hold_back(table, version, reasons)


def _hold_back(table, version, reason):
    """Record why a version cannot be applied, once per reason."""
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
    """Record a conflict when a number has another digest here.

    A conflict is not recorded again while it is the last one recorded.
    """
    known = table.history.get(number)
    received = (number, digest)
    if known is None or not digest or known.digest == digest:
        return
    if table.conflict != received:
        table.conflict = received
        yield effects.RecordEvent(
            events.Event(
                'version.conflict',
                version=number,
                detail=f'held digest {known.digest}, received {digest}',
            )
        )


def _propagate(tables, context, pushes, sender):
    table = tables.dissemination
    yield from _push(tables, context, pushes, sender)
    if not _is_behind(table):
        table.pulls.clear()
    table.timers.pull_at = context.now
    yield from _put_in_force(tables, context)


def _put_in_force(tables, context):
    """Put the staged version in force once floor and witnesses allow it."""
    table = tables.dissemination
    staged = table.staged
    if staged is None or not floor.permits(
        table.floors, staged.version.number
    ):
        return
    if not floor.is_noted(tables, table.options, staged.version, context.now):
        return
    if staged.version.number <= table.in_force:
        raise errors.BrokenInvariant(
            'staged version is not newer than the one in force'
        )
    table.version_in_force = staged
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


def _fetch_from_store(table, context, upto):
    if context.now < table.timers.fetch_deadline:
        return
    table.timers.fetch_deadline = context.now + FETCH_TIMEOUT_S
    table.counters.store_fetches += 1
    yield effects.FetchVersions(table.number, upto, bool(table.damaged))


@dispatch.handle.register
def _on_announce(item: messages.Announce, tables, context, sender=''):
    table = tables.dissemination
    if item.number > table.number:
        _expire_pulls(table, context)
        _observe_number(table, item.number, sender)
        yield from _pull(tables, context)
        return
    yield from _check_conflict(table, item.number, item.digest)
    if item.number < table.number:
        table.counters.announcements_sent += 1
        yield effects.Send(sender, _announcement(table))


@dispatch.handle.register
def _on_push(item: messages.Push, tables, context, sender=''):
    table = tables.dissemination
    if item.number > table.number:
        _expire_pulls(table, context)
        _observe_number(table, item.number, sender)
    yield from _apply_chain(
        tables, context, [history.version_of(item)], sender
    )
    yield from _pull(tables, context)


@dispatch.handle.register
def _on_pull(item: messages.Pull, tables, context, sender=''):
    table = tables.dissemination
    if item.after >= table.number:
        if item.after > table.number:
            _observe_number(table, item.after, sender)
        return
    answer, size = history.answer_pull(table, item)
    if size > history.available_budget(table, context.now):
        table.counters.pulls_refused += 1
        return
    table.serve_budget -= size
    table.counters.served_bytes += size
    yield effects.Send(sender, answer, urgent=True)


@dispatch.handle.register
def _on_chain(item: messages.Chain, tables, context, sender=''):
    tables.dissemination.pulls.pop(sender, None)
    chain = [history.version_of(push) for push in item.pushes]
    yield from _apply_chain(tables, context, chain, sender)
    yield from _pull(tables, context)


@dispatch.handle.register
def _on_snapshot(item: messages.Snapshot, tables, context, sender=''):
    table = tables.dissemination
    table.pulls.pop(sender, None)
    document = documents.decompress(item.document)
    if document.is_error():
        table.sources.pop(sender, None)
        return
    version = history.version_of(item.last)
    yield from _apply_document(tables, context, version, document.ok, sender)
    yield from _pull(tables, context)


@dispatch.handle.register
def _on_head_read(item: dispatch.HeadRead, tables, context, sender=''):
    table = tables.dissemination
    if item.number is None:
        table.store_failures += 1
        return
    table.store_failures = 0
    yield from floor.observe_head(table.floors, item.number, context.now)
    yield from _check_conflict(table, item.number, item.digest)
    if item.number > table.number:
        _observe_number(table, item.number)
        if _is_reader(tables) or _choose_source(tables, context) is None:
            yield from _fetch_from_store(table, context, item.number)
    yield from _put_in_force(tables, context)


@dispatch.handle.register
def _on_versions_fetched(
    item: dispatch.VersionsFetched, tables, context, sender=''
):
    tables.dissemination.timers.fetch_deadline = 0.0
    if not item.versions:
        return
    if item.document is not None:
        version = item.versions[-1]
        yield from _apply_document(tables, context, version, item.document, '')
        return
    yield from _apply_chain(tables, context, item.versions, '')


@dispatch.handle.register
def _on_patch_accepted(
    item: dispatch.PatchAccepted, tables, context, sender=''
):
    table = tables.dissemination
    _observe_number(table, item.version.number)
    yield from _apply_chain(tables, context, [item.version], '')
    if _is_behind(table):
        yield from _fetch_from_store(table, context, item.version.number)
