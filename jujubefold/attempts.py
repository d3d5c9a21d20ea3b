"""Attempt records: outcomes of ended attempts, kept to detect duplicates.

Senders number their attempts, which lets a receiver distinguish a resend from
a new attempt. Records are bounded by count and age. The highest sequence
number dropped from a sender's records is kept: a number up to it that has no
record is never treated as new.
"""

import collections
import dataclasses
import enum

from jujubefold import calls

# Maximum age of the record of an ended attempt, in seconds.
RETENTION_S = 120.0
MAX_PER_SENDER = 16_384
MAX_OUTCOMES = 65_536
MAX_SENDERS = 4_096


class Unrecorded(enum.Enum):
    """Status of an attempt that has no recorded outcome.

    NEW means that the attempt has not ended here before. EXPIRED means that
    it may have: its record may have been dropped, or it is from an earlier
    incarnation of its sender.
    """

    NEW = 'new'
    EXPIRED = 'expired'


Outcome = calls.Ending | calls.Refusal


@dataclasses.dataclass(slots=True)
class SenderRecords:
    """Ended attempts of one incarnation of one sending daemon.

    Args:
        incarnation: Latest incarnation seen of the sender.
        highest_dropped: Highest sequence number dropped; 0 for none.
        outcomes: Outcomes by sequence number.
        order: Monotonic end time in seconds and sequence number, oldest
            first.
    """

    incarnation: int
    highest_dropped: int = 0
    outcomes: dict[int, Outcome] = dataclasses.field(default_factory=dict)
    order: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class AttemptTable:
    """Ended attempts of all senders.

    Args:
        senders: Records by VM name of the sender.
        outcome_count: Number of outcomes over all senders.
        newest_dropped: Highest incarnation of a dropped sender. An unknown
            sender up to this incarnation may have been dropped.
        unswept: VM names of senders that the current sweep has not visited.
    """

    senders: dict[str, SenderRecords] = dataclasses.field(default_factory=dict)
    outcome_count: int = 0
    newest_dropped: int = -1
    unswept: list[str] = dataclasses.field(default_factory=list)


def lookup(table, attempt_id):
    """Return the record of an attempt that neither runs nor waits.

    Args:
        table: An `AttemptTable`.
        attempt_id: A `calls.AttemptId`.

    Returns:
        Its `calls.Ending`, its `calls.Refusal` if it never ran, or an
        `Unrecorded` if there is no record.
    """
    sender = table.senders.get(attempt_id.vm)
    if sender is None:
        is_new = attempt_id.incarnation > table.newest_dropped
        return Unrecorded.NEW if is_new else Unrecorded.EXPIRED
    if attempt_id.incarnation != sender.incarnation:
        is_new = attempt_id.incarnation > sender.incarnation
        return Unrecorded.NEW if is_new else Unrecorded.EXPIRED
    outcome = sender.outcomes.get(attempt_id.sequence)
    if outcome is not None:
        return outcome
    if attempt_id.sequence <= sender.highest_dropped:
        return Unrecorded.EXPIRED
    return Unrecorded.NEW


def register_sender(table, attempt_id):
    """Register the sender's incarnation before an attempt runs or waits.

    The records of an earlier incarnation are dropped. At `MAX_SENDERS` the
    sender with the lowest incarnation is dropped.

    Args:
        table: An `AttemptTable`.
        attempt_id: A `calls.AttemptId` that `lookup` reported as new.
    """
    sender = table.senders.get(attempt_id.vm)
    if sender is None:
        _make_room(table)
        table.senders[attempt_id.vm] = SenderRecords(attempt_id.incarnation)
    elif attempt_id.incarnation > sender.incarnation:
        _drop_all(table, sender)
        table.senders[attempt_id.vm] = SenderRecords(attempt_id.incarnation)


def record(table, attempt_id, outcome, now):
    """Record how an attempt ended.

    Does nothing if the sender was dropped or replaced by another incarnation
    in the meantime.

    Args:
        table: An `AttemptTable`.
        attempt_id: A `calls.AttemptId` passed to `register_sender` before.
        outcome: Its `calls.Ending`, or its `calls.Refusal` if it never ran.
        now: Monotonic seconds.
    """
    sender = table.senders.get(attempt_id.vm)
    if sender is None or sender.incarnation != attempt_id.incarnation:
        return
    sender.outcomes[attempt_id.sequence] = outcome
    sender.order.append((now, attempt_id.sequence))
    table.outcome_count += 1
    _trim(table, sender, now)
    if table.outcome_count > MAX_OUTCOMES:
        _shrink_largest(table)


def sweep(table, now):
    """Drop expired outcomes of one sender, the next one at each call.

    Args:
        table: An `AttemptTable`.
        now: Monotonic seconds.
    """
    if not table.unswept:
        table.unswept.extend(table.senders)
    if table.unswept:
        sender = table.senders.get(table.unswept.pop())
        if sender is not None:
            _trim(table, sender, now)


def _trim(table, sender, now):
    order = sender.order
    while order and (
        len(order) > MAX_PER_SENDER or order[0][0] < now - RETENTION_S
    ):
        _drop_oldest(table, sender)


def _drop_oldest(table, sender):
    _, sequence = sender.order.popleft()
    del sender.outcomes[sequence]
    sender.highest_dropped = max(sender.highest_dropped, sequence)
    table.outcome_count -= 1


def _drop_all(table, sender):
    while sender.order:
        _drop_oldest(table, sender)


def _shrink_largest(table):
    sender = max(table.senders.values(), key=lambda item: len(item.order))
    for _ in range(max(1, len(sender.order) // 8)):
        _drop_oldest(table, sender)


def _make_room(table):
    if len(table.senders) < MAX_SENDERS:
        return
    vm, sender = min(
        table.senders.items(), key=lambda item: item[1].incarnation
    )
    _drop_all(table, sender)
    table.newest_dropped = max(table.newest_dropped, sender.incarnation)
    del table.senders[vm]
