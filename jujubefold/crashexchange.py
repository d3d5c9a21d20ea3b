"""Crash exchange: passes on which requests crash upstreams.

Reports spread over the overlay; see `crashes` for the evidence. Sidecars send
the same evidence over their links and don't import this module.
"""

from jujubefold import crashes
from jujubefold import dispatch
from jujubefold import effects
from jujubefold import messages
from jujubefold import overlay


def run(tables, context):
    """Send queued reports to the neighbours and drop old evidence.

    Args:
        tables: The daemon's `core.Tables`.
        context: A `dispatch.Context`.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.crashes
    crashes.drop_expired(table, context.now)
    yield from _send_clearances(table, tables.membership)
    if not table.outbox:
        return
    keys = tuple(table.outbox)[: crashes.MAX_REPORTS_PER_TICK]
    reports = tuple(table.outbox.pop(key) for key in keys)
    for member in overlay.neighbours(tables.membership):
        for report in reports:
            yield effects.Send(member.peer_address, report)


@dispatch.handle.register
def _(item: messages.CrashReport, tables, context, sender=''):
    table = tables.crashes
    if not _is_acceptable(table, tables.membership, item, sender, context.now):
        return
    if item.count == 0:
        crashes.apply_clearance(table, item, context.now)
        return
    if crashes.was_answered_recently(table, item.fingerprint, context.now):
        crashes.queue_clearance(table, item.upstream, item.fingerprint)
        return
    for event in crashes.merge_report(table, item, context.now):
        yield effects.RecordEvent(event)


def _send_clearances(table, members):
    due = min(len(table.pending_clearances), crashes.MAX_REPORTS_PER_TICK)
    for _ in range(due):
        vm, fingerprint = table.pending_clearances.pop()
        member = members.members.get(vm)
        if member is not None:
            yield effects.Send(
                member.peer_address, crashes.clearance_report(fingerprint)
            )


def _is_acceptable(table, members, item, sender, now):
    if not 0 < len(item.fingerprint) <= crashes.MAX_FINGERPRINT_CHARS:
        return False
    if item.count < 0 or item.blame_milli < 0:
        return False
    if item.count and not _is_member(members, item.upstream):
        return False
    return crashes.within_rate(table, sender, now)


def _is_member(members, upstream):
    vm, _, incarnation = upstream.rpartition('/')
    member = (
        members.local if vm == members.local.vm else members.members.get(vm)
    )
    return member is not None and str(member.incarnation) == incarnation
