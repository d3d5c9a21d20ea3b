"""Crashes: detects and refuses requests that crash upstreams.

Each crash distributes one unit of blame over the requests that were running,
weighted by the blame that each has already. A request that an upstream
answered is cleared. One with enough blame is blocked for a limited time.
Evidence consists of grow-only counters, one set for each upstream, that are
merged by maximum, so reports may arrive late, repeatedly and in any order.
"""

import dataclasses

from jujubefold import calls
from jujubefold import errors
from jujubefold import events
from jujubefold import messages

# Blame, in thousandths of a crash, at which a request is blocked.
BLOCK_BLAME_MILLI = 1000
# Further blame, after a block has ended, at which it is blocked again.
REBLOCK_BLAME_MILLI = 500
# Weight of a request without any blame when the blame for a crash is shared.
BASE_WEIGHT_MILLI = 5
MIN_UPSTREAMS = 2
MIN_CRASHES_AT_ONE_UPSTREAM = 3
BLOCK_S = 60.0
MAX_BLOCK_S = 3600.0
# Seconds without new evidence or a block after which a suspect is dropped.
EVIDENCE_TTL_S = 600.0
# Seconds after a request was answered in which reports on it are ignored.
CLEARANCE_TTL_S = 10.0
MAX_SUSPECTS = 512
MAX_UPSTREAMS_PER_SUSPECT = 8
MAX_COUNT_PER_UPSTREAM = 16
MAX_ANSWERED = 4096
MAX_FINGERPRINT_CHARS = 128
MAX_REPORTS_PER_TICK = 32
MAX_REPORTS_PER_SENDER = 256
RATE_WINDOW_S = 10.0
MAX_QUEUED_REPORTS = 1024

_MILLI = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Crashes of one request at one upstream.

    Args:
        count: Crashes of that upstream while the request ran.
        blame: The request's share of them, in thousandths of a crash.
    """

    count: int
    blame: int


@dataclasses.dataclass(slots=True)
class Suspect:
    """Evidence against one request fingerprint, and its blocks.

    Args:
        updated_at: Monotonic seconds of the last new evidence.
        evidence: By upstream, as `vm/incarnation`.
        blocked_until: Monotonic seconds until which the request is refused.
        block_count: How often it has been blocked.
        blame_at_block_end: Total blame when the last block ended. Only
            blame beyond it counts towards the next block.
    """

    updated_at: float
    evidence: dict[str, Evidence] = dataclasses.field(default_factory=dict)
    blocked_until: float = 0.0
    block_count: int = 0
    blame_at_block_end: int = 0


@dataclasses.dataclass(slots=True)
class RateWindow:
    """Reports received from one sender in the current rate window.

    Args:
        since: Monotonic seconds at which the window began.
        received: Reports received since.
    """

    since: float
    received: int = 0


@dataclasses.dataclass(slots=True)
class CrashTable:
    """Requests suspected of crashing upstreams, and reports to send.

    Args:
        suspects: `Suspect` by fingerprint.
        answered_at: Monotonic seconds of the last answer, by fingerprint.
        outbox: Reports to send at the next tick, the latest for each
            fingerprint and upstream.
        pending_clearances: VM and fingerprint of each clearance to send
            directly to the VM whose upstream crashed. Neighbours that hold
            no evidence against the request would not forward it.
        rate_windows: Rate windows of received reports, by sender.
    """

    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    answered_at: dict[str, float] = dataclasses.field(default_factory=dict)
    outbox: dict[tuple[str, str], messages.CrashReport] = dataclasses.field(
        default_factory=dict
    )
    pending_clearances: set[tuple[str, str]] = dataclasses.field(
        default_factory=set
    )
    rate_windows: dict[str, RateWindow] = dataclasses.field(
        default_factory=dict
    )


def new_table():
    """Return an empty `CrashTable`."""
    return CrashTable()


def refusal_for(table, fingerprint, now):
    """Return the `calls.Refusal` of a blocked request, else None.

    Args:
        table: A `CrashTable`.
        fingerprint: The call's fingerprint.
        now: Monotonic seconds.
    """
    suspect = table.suspects.get(fingerprint)
    if suspect is None or suspect.blocked_until <= now:
        return None
    return calls.Refusal(
        errors.Outcome.DID_NOT_RUN,
        calls.Reason.SUSPECT_REQUEST,
        suspect.blocked_until - now,
        'the same request crashed the upstreams that ran it',
    )


def is_suspect(table, fingerprint):
    """Return whether there is evidence against a request.

    A gate runs at most one suspect at a time.
    """
    return fingerprint in table.suspects


def record_answer(table, fingerprint, now):
    """Clear a request that this daemon's upstream answered.

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
        _queue_report(table, clearance_report(fingerprint))
        for upstream in suspect.evidence:
            queue_clearance(table, upstream, fingerprint)


def record_crash(table, upstream, running, now):
    """Distribute the blame for a crash over the requests that ran.

    Reports are sent at the next tick.

    Args:
        table: A `CrashTable`.
        upstream: `vm/incarnation` of the daemon beside the upstream.
        running: Fingerprints of the requests that ran; duplicates count
            once.
        now: Monotonic seconds.

    Returns:
        Iterator of `events.Event`.
    """
    distinct = tuple(dict.fromkeys(running))
    weights = [_weight(table, fingerprint) for fingerprint in distinct]
    total = sum(weights)
    for fingerprint, weight in zip(distinct, weights, strict=True):
        blame = max(1, _MILLI * weight // total)
        table.answered_at.pop(fingerprint, None)
        suspect = _find_or_add_suspect(table, fingerprint, now)
        old = suspect.evidence.get(upstream, Evidence(0, 0))
        new = Evidence(old.count + 1, old.blame + blame)
        yield from _add_evidence(table, fingerprint, upstream, new, now)


def merge_report(table, report, now):
    """Merge another daemon's evidence into the table.

    Args:
        table: A `CrashTable`.
        report: A `messages.CrashReport` with a count above 0.
        now: Monotonic seconds.

    Returns:
        Iterator of `events.Event`.
    """
    evidence = Evidence(
        min(report.count, MAX_COUNT_PER_UPSTREAM),
        min(report.blame_milli, report.count * _MILLI),
    )
    yield from _add_evidence(
        table, report.fingerprint, report.upstream, evidence, now
    )


def clearance_report(fingerprint):
    """Return the report that clears a request.

    Args:
        fingerprint: The call's fingerprint.
    """
    return messages.CrashReport(fingerprint, upstream='', count=0)


def queue_clearance(table, upstream, fingerprint):
    """Send a clearance directly to the VM of an upstream at the next tick.

    Args:
        table: A `CrashTable`.
        upstream: `vm/incarnation` of the daemon beside the upstream.
        fingerprint: The call's fingerprint.
    """
    if len(table.pending_clearances) < MAX_QUEUED_REPORTS:
        table.pending_clearances.add((_vm_of(upstream), fingerprint))


def within_rate(table, sender, now):
    """Count a received report; return whether its sender may send so many.

    Args:
        table: A `CrashTable`.
        sender: Address of the daemon that sent it.
        now: Monotonic seconds.
    """
    window = table.rate_windows.get(sender)
    if window is None or window.since <= now - RATE_WINDOW_S:
        window = table.rate_windows[sender] = RateWindow(now)
    window.received += 1
    return window.received <= MAX_REPORTS_PER_SENDER


def was_answered_recently(table, fingerprint, now):
    """Return whether this daemon's upstream answered a request just now.

    Args:
        table: A `CrashTable`.
        fingerprint: The call's fingerprint.
        now: Monotonic seconds.
    """
    answered_at = table.answered_at.get(fingerprint)
    return answered_at is not None and now - answered_at < CLEARANCE_TTL_S


def apply_clearance(table, item, now):
    """Clear a request that another daemon's upstream answered.

    Args:
        table: A `CrashTable`.
        item: The `messages.CrashReport` of the clearance.
        now: Monotonic seconds.
    """
    suspect = table.suspects.get(item.fingerprint)
    if suspect is None or suspect.blocked_until > now:
        return
    record_answer(table, item.fingerprint, now)


def drop_expired(table, now):
    """Drop evidence and rate windows that are too old.

    Args:
        table: A `CrashTable`.
        now: Monotonic seconds.
    """
    old = [
        fingerprint
        for fingerprint, suspect in table.suspects.items()
        if max(suspect.updated_at, suspect.blocked_until)
        < now - EVIDENCE_TTL_S
    ]
    for fingerprint in old:
        del table.suspects[fingerprint]
    stale = [
        sender
        for sender, window in table.rate_windows.items()
        if window.since <= now - RATE_WINDOW_S
    ]
    for sender in stale:
        del table.rate_windows[sender]


def _weight(table, fingerprint):
    suspect = table.suspects.get(fingerprint)
    return BASE_WEIGHT_MILLI + (
        0 if suspect is None else _total_blame(suspect)
    )


def _total_blame(suspect):
    return sum(evidence.blame for evidence in suspect.evidence.values())


def _find_or_add_suspect(table, fingerprint, now):
    suspect = table.suspects.get(fingerprint)
    if suspect is None:
        _evict_if_full(table)
        suspect = table.suspects[fingerprint] = Suspect(now)
    return suspect


def _evict_if_full(table):
    if len(table.suspects) < MAX_SUSPECTS:
        return
    least_blamed = min(
        table.suspects,
        key=lambda name: (
            _total_blame(table.suspects[name]),
            table.suspects[name].updated_at,
        ),
    )
    del table.suspects[least_blamed]


def _add_evidence(table, fingerprint, upstream, evidence, now):
    suspect = _find_or_add_suspect(table, fingerprint, now)
    old = suspect.evidence.get(upstream, Evidence(0, 0))
    new = Evidence(
        max(old.count, evidence.count), max(old.blame, evidence.blame)
    )
    if new == old:
        return
    if upstream not in suspect.evidence:
        if len(suspect.evidence) >= MAX_UPSTREAMS_PER_SUSPECT:
            return
    suspect.evidence[upstream] = new
    suspect.updated_at = now
    _queue_report(
        table,
        messages.CrashReport(fingerprint, upstream, new.count, new.blame),
    )
    if now < suspect.blocked_until:
        suspect.blame_at_block_end = _total_blame(suspect)
    elif _is_block_due(suspect):
        yield from _block(suspect, fingerprint, now)


def _is_block_due(suspect):
    threshold = (
        REBLOCK_BLAME_MILLI if suspect.block_count else BLOCK_BLAME_MILLI
    )
    if _total_blame(suspect) - suspect.blame_at_block_end < threshold:
        return False
    if len(suspect.evidence) >= MIN_UPSTREAMS:
        return True
    crashes = sum(evidence.count for evidence in suspect.evidence.values())
    return crashes >= MIN_CRASHES_AT_ONE_UPSTREAM


def _block(suspect, fingerprint, now):
    duration = min(MAX_BLOCK_S, BLOCK_S * 2**suspect.block_count)
    suspect.blocked_until = now + duration
    suspect.block_count += 1
    suspect.blame_at_block_end = _total_blame(suspect)
    yield events.Event(
        'request.condemned',
        detail=f'{fingerprint} blocked for {duration:.0f} s',
    )


def _queue_report(table, report):
    if len(table.outbox) < MAX_QUEUED_REPORTS:
        table.outbox[report.fingerprint, report.upstream] = report


def _vm_of(upstream):
    return upstream.rpartition('/')[0]
