"""Crashes: requests that crash each upstream that runs them.

Every crash hands out one unit of blame among the requests that ran, in
proportion to the blame that each bears already. A request that an upstream
answered is cleared. One with enough blame is refused for a stated time.
Evidence is a set of counters that only grow, one for each upstream, so
reports can arrive late, twice and by any way.
"""

import dataclasses

from jujubefold import calls
from jujubefold import dispatch
from jujubefold import effects
from jujubefold import errors
from jujubefold import events
from jujubefold import messages
from jujubefold import overlay

# Blame, in thousandths of a crash, at which a request is refused.
CONDEMNED_MILLI = 1000
# New blame after a term, at which the next term begins.
CONDEMNED_AGAIN_MILLI = 500
# Blame of a request not suspected yet, when shares are worked out.
FRESH_MILLI = 5
MIN_UPSTREAMS = 2
MIN_CRASHES_AT_ONE_UPSTREAM = 3
RELEASE_S = 60.0
MAX_RELEASE_S = 3600.0
# Seconds without news after which evidence is dropped.
EVIDENCE_S = 600.0
# Seconds in which reports on a request that was answered are ignored.
CLEARED_S = 10.0
MAX_SUSPECTS = 512
MAX_UPSTREAMS_A_SUSPECT = 8
MAX_COUNT_A_UPSTREAM = 16
MAX_ANSWERED = 4096
MAX_FINGERPRINT_CHARS = 128
MAX_REPORTS_A_TICK = 32
MAX_REPORTS_A_SENDER = 256
REPORT_WINDOW_S = 10.0
MAX_WAITING_REPORTS = 1024

_MILLI = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Crashes of one request at one upstream.

    Args:
        count: Crashes there while the request ran.
        blame: Thousandths of a crash that the request bears for them.
    """

    count: int
    blame: int


@dataclasses.dataclass(slots=True)
class Suspect:
    """What is known of one fingerprint.

    Args:
        evidence: By upstream, as `vm/incarnation`.
        at: Monotonic seconds of the last news.
        until: Monotonic seconds until which it is refused.
        terms: How often it has been condemned.
        settled: Blame that it had when its last term ended.
    """

    at: float
    evidence: dict[str, Evidence] = dataclasses.field(default_factory=dict)
    until: float = 0.0
    terms: int = 0
    settled: int = 0


@dataclasses.dataclass(slots=True)
class Inflow:
    """Reports taken from one sender in the current window."""

    since: float
    taken: int = 0


@dataclasses.dataclass(slots=True)
class CrashTable:
    """Suspected requests.

    Args:
        suspects: By fingerprint.
        answered_at: Monotonic seconds of the last answer, by fingerprint.
        outbox: Reports to send at the next tick, the newest for each
            fingerprint and upstream.
        pending_clearances: VM and fingerprint of each clearance to send
            directly to the VM whose upstream crashed. Neighbours that hold
            no evidence against the request would not forward it.
        inflows: Reports taken, by sender.
    """

    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    answered_at: dict[str, float] = dataclasses.field(default_factory=dict)
    outbox: dict[tuple[str, str], messages.CrashReport] = dataclasses.field(
        default_factory=dict
    )
    pending_clearances: set[tuple[str, str]] = dataclasses.field(
        default_factory=set
    )
    inflows: dict[str, Inflow] = dataclasses.field(default_factory=dict)


def new_table():
    """Return a `CrashTable` that suspects nobody."""
    return CrashTable()


def refusal_for(table, fingerprint, now):
    """Return the refusal for a request known to crash upstreams, or None.

    Args:
        table: A `CrashTable`.
        fingerprint: The call's fingerprint.
        now: Monotonic seconds.
    """
    suspect = table.suspects.get(fingerprint)
    if suspect is None or suspect.until <= now:
        return None
    return calls.Refusal(
        errors.Ran.DID_NOT_RUN,
        calls.Reason.SUSPECT_REQUEST,
        suspect.until - now,
        'the same request crashed the upstreams that ran it',
    )


def is_suspect(table, fingerprint):
    """Return whether a request must not run beside another suspect."""
    return fingerprint in table.suspects


def record_answer(table, fingerprint, now):
    """Clear a request that an upstream of this daemon answered.

    Args:
        table: A `CrashTable`.
        fingerprint: The call's fingerprint.
        now: Monotonic seconds.
    """
    table.answered_at.pop(fingerprint, None)
    table.answered_at[fingerprint] = now
    if len(table.answered_at) > MAX_ANSWERED:
        del table.answered_at[next(iter(table.answered_at))]
    suspect = table.suspects.pop(fingerprint, None)
    if suspect is not None:
        _post(table, _clearance(fingerprint))
        for upstream in suspect.evidence:
            _owe(table, upstream, fingerprint)


def record_crash(table, upstream, running, now):
    """Share the blame for a crash among the requests that ran.

    Reports leave at the next tick.

    Args:
        table: A `CrashTable`.
        upstream: `vm/incarnation` of the daemon beside the upstream.
        running: Fingerprints of the requests that ran, repeats allowed.
        now: Monotonic seconds.

    Returns:
        Iterator of `effects.Effect`.
    """
    distinct = tuple(dict.fromkeys(running))
    weights = [_weight(table, fingerprint) for fingerprint in distinct]
    total = sum(weights)
    for fingerprint, weight in zip(distinct, weights, strict=True):
        blame = max(1, _MILLI * weight // total)
        table.answered_at.pop(fingerprint, None)
        suspect = _suspect(table, fingerprint, now)
        old = suspect.evidence.get(upstream, Evidence(0, 0))
        new = Evidence(old.count + 1, old.blame + blame)
        yield from _take(table, fingerprint, upstream, new, now)


def run(tables, context):
    """Send waiting reports to the neighbours and drop old evidence.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.crashes
    _expire(table, context.now)
    yield from _send_owed(table, tables.membership)
    if not table.outbox:
        return
    keys = tuple(table.outbox)[:MAX_REPORTS_A_TICK]
    reports = tuple(table.outbox.pop(key) for key in keys)
    for member in overlay.neighbours(tables.membership):
        for report in reports:
            yield effects.Send(member.peer_address, report)


@dispatch.handle.register
def _(item: messages.CrashReport, tables, context, sender=''):
    table = tables.crashes
    if not _acceptable(table, tables.membership, item, sender, context.now):
        return
    if item.count == 0:
        _clear(table, item, context.now)
        return
    if _answered_lately(table, item.fingerprint, context.now):
        _owe(table, item.upstream, item.fingerprint)
        return
    yield from merge_report(table, item, context.now)


def merge_report(table, report, now):
    """Take another daemon's evidence.

    Args:
        table: A `CrashTable`.
        report: A `messages.CrashReport` with a count.
        now: Monotonic seconds.

    Returns:
        Iterator of `effects.Effect`.
    """
    evidence = Evidence(
        min(report.count, MAX_COUNT_A_UPSTREAM),
        min(report.blame_milli, report.count * _MILLI),
    )
    yield from _take(table, report.fingerprint, report.upstream, evidence, now)


def _send_owed(table, members):
    for _ in range(min(len(table.pending_clearances), MAX_REPORTS_A_TICK)):
        vm, fingerprint = table.pending_clearances.pop()
        member = members.members.get(vm)
        if member is not None:
            yield effects.Send(member.peer_address, _clearance(fingerprint))


def _weight(table, fingerprint):
    suspect = table.suspects.get(fingerprint)
    return FRESH_MILLI + (0 if suspect is None else _blame(suspect))


def _blame(suspect):
    return sum(evidence.blame for evidence in suspect.evidence.values())


def _suspect(table, fingerprint, now):
    suspect = table.suspects.get(fingerprint)
    if suspect is None:
        _make_room(table)
        suspect = table.suspects[fingerprint] = Suspect(now)
    return suspect


def _make_room(table):
    if len(table.suspects) < MAX_SUSPECTS:
        return
    least = min(
        table.suspects,
        key=lambda name: (
            _blame(table.suspects[name]),
            table.suspects[name].at,
        ),
    )
    del table.suspects[least]


def _take(table, fingerprint, upstream, evidence, now):
    suspect = _suspect(table, fingerprint, now)
    old = suspect.evidence.get(upstream, Evidence(0, 0))
    new = Evidence(
        max(old.count, evidence.count), max(old.blame, evidence.blame)
    )
    if new == old:
        return
    if upstream not in suspect.evidence:
        if len(suspect.evidence) >= MAX_UPSTREAMS_A_SUSPECT:
            return
    suspect.evidence[upstream] = new
    suspect.at = now
    _post(
        table,
        messages.CrashReport(fingerprint, upstream, new.count, new.blame),
    )
    if now < suspect.until:
        suspect.settled = _blame(suspect)
    elif _is_condemned(suspect):
        yield from _condemn(suspect, fingerprint, now)


def _is_condemned(suspect):
    needed = CONDEMNED_AGAIN_MILLI if suspect.terms else CONDEMNED_MILLI
    if _blame(suspect) - suspect.settled < needed:
        return False
    if len(suspect.evidence) >= MIN_UPSTREAMS:
        return True
    crashes = sum(evidence.count for evidence in suspect.evidence.values())
    return crashes >= MIN_CRASHES_AT_ONE_UPSTREAM


def _condemn(suspect, fingerprint, now):
    release = min(MAX_RELEASE_S, RELEASE_S * 2**suspect.terms)
    suspect.until = now + release
    suspect.terms += 1
    suspect.settled = _blame(suspect)
    yield effects.RecordEvent(
        events.Event(
            'request.condemned',
            detail=f'{fingerprint} for {release:.0f} s',
        )
    )


def _clearance(fingerprint):
    return messages.CrashReport(fingerprint, upstream='', count=0)


def _post(table, report):
    if len(table.outbox) < MAX_WAITING_REPORTS:
        table.outbox[report.fingerprint, report.upstream] = report


def _acceptable(table, members, item, sender, now):
    if not 0 < len(item.fingerprint) <= MAX_FINGERPRINT_CHARS:
        return False
    if item.count < 0 or item.blame_milli < 0:
        return False
    if item.count and not _is_member(members, item.upstream):
        return False
    return _within_rate(table, sender, now)


def _vm_of(upstream):
    return upstream.rpartition('/')[0]


def _owe(table, upstream, fingerprint):
    if len(table.pending_clearances) < MAX_WAITING_REPORTS:
        table.pending_clearances.add((_vm_of(upstream), fingerprint))


def _is_member(members, upstream):
    vm, _, incarnation = upstream.rpartition('/')
    member = (
        members.local if vm == members.local.vm else members.members.get(vm)
    )
    return member is not None and str(member.incarnation) == incarnation


def _within_rate(table, sender, now):
    inflow = table.inflows.get(sender)
    if inflow is None or inflow.since <= now - REPORT_WINDOW_S:
        inflow = table.inflows[sender] = Inflow(now)
    inflow.taken += 1
    return inflow.taken <= MAX_REPORTS_A_SENDER


def _answered_lately(table, fingerprint, now):
    at = table.answered_at.get(fingerprint)
    return at is not None and now - at < CLEARED_S


def _clear(table, item, now):
    suspect = table.suspects.get(item.fingerprint)
    if suspect is None or suspect.until > now:
        return
    record_answer(table, item.fingerprint, now)


def _expire(table, now):
    old = [
        fingerprint
        for fingerprint, suspect in table.suspects.items()
        if max(suspect.at, suspect.until) < now - EVIDENCE_S
    ]
    for fingerprint in old:
        del table.suspects[fingerprint]
    stale = [
        sender
        for sender, inflow in table.inflows.items()
        if inflow.since <= now - REPORT_WINDOW_S
    ]
    for sender in stale:
        del table.inflows[sender]
