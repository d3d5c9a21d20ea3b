"""Attempts: what this daemon remembers of attempts that ended here.

A sender numbers its attempts, so a repeat is told from a new one. Memory is
bounded by count and age. Forgetting raises a floor under the sender's
numbers: what lies below it is never taken for new.
"""

import collections
import dataclasses
import enum

from jujubefold import calls

# Seconds that an ended attempt is remembered at most.
MEMORY_S = 120.0
MAX_PER_SENDER = 16_384
MAX_OUTCOMES = 65_536
MAX_SENDERS = 4_096


class Memory(enum.Enum):
    """What is known of an attempt that has no recorded outcome."""

    NEW = 'new'
    FORGOTTEN = 'forgotten'


Outcome = calls.Ending | calls.Refusal


@dataclasses.dataclass(slots=True)
class Sender:
    """Ended attempts of one incarnation of one sending daemon.

    Args:
        incarnation: Newest incarnation seen of the sender.
        floor: Highest sequence that was forgotten.
        outcomes: How attempts ended, by sequence.
        order: Time of ending and sequence, oldest first.
    """

    incarnation: int
    floor: int = 0
    outcomes: dict[int, Outcome] = dataclasses.field(default_factory=dict)
    order: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class AttemptTable:
    """Ended attempts of all senders.

    Args:
        senders: By VM name.
        ended: Outcomes held in all.
        oldest: Incarnations up to this may belong to a dropped sender.
        sweep: Senders still to be looked at for old outcomes.
    """

    senders: dict[str, Sender] = dataclasses.field(default_factory=dict)
    ended: int = 0
    oldest: int = -1
    sweep: list[str] = dataclasses.field(default_factory=list)


def lookup(table, attempt_id):
    """Return what is remembered of an attempt that is not held now.

    Args:
        table: An `AttemptTable`.
        attempt_id: A `calls.AttemptId`.

    Returns:
        Its `calls.Ending`, the `calls.Refusal` that it got, or a `Memory`.
    """
    sender = table.senders.get(attempt_id.vm)
    if sender is None:
        known = attempt_id.incarnation > table.oldest
        return Memory.NEW if known else Memory.FORGOTTEN
    if attempt_id.incarnation != sender.incarnation:
        newer = attempt_id.incarnation > sender.incarnation
        return Memory.NEW if newer else Memory.FORGOTTEN
    outcome = sender.outcomes.get(attempt_id.sequence)
    if outcome is not None:
        return outcome
    if attempt_id.sequence <= sender.floor:
        return Memory.FORGOTTEN
    return Memory.NEW


def register_sender(table, attempt_id):
    """Note the sender's incarnation before one of its attempts is held.

    Args:
        table: An `AttemptTable`.
        attempt_id: An attempt that `lookup` found to be new.
    """
    sender = table.senders.get(attempt_id.vm)
    if sender is None:
        _make_room(table)
        table.senders[attempt_id.vm] = Sender(attempt_id.incarnation)
    elif attempt_id.incarnation > sender.incarnation:
        _drop_all(table, sender)
        table.senders[attempt_id.vm] = Sender(attempt_id.incarnation)


def record(table, attempt_id, outcome, now):
    """Record how an attempt ended.

    Args:
        table: An `AttemptTable`.
        attempt_id: A `calls.AttemptId` that `register_sender` was called for.
        outcome: Its `calls.Ending`, or `calls.Refusal` when it never ran.
        now: Monotonic seconds.
    """
    sender = table.senders.get(attempt_id.vm)
    if sender is None or sender.incarnation != attempt_id.incarnation:
        return
    sender.outcomes[attempt_id.sequence] = outcome
    sender.order.append((now, attempt_id.sequence))
    table.ended += 1
    _forget_old(table, sender, now)
    if table.ended > MAX_OUTCOMES:
        _shrink_largest(table)


def sweep(table, now):
    """Forget old outcomes of one sender, another one at each call.

    Args:
        table: An `AttemptTable`.
        now: Monotonic seconds.
    """
    if not table.sweep:
        table.sweep.extend(table.senders)
    if table.sweep:
        sender = table.senders.get(table.sweep.pop())
        if sender is not None:
            _forget_old(table, sender, now)


def _forget_old(table, sender, now):
    order = sender.order
    while order and (
        len(order) > MAX_PER_SENDER or order[0][0] < now - MEMORY_S
    ):
        _forget_first(table, sender)


def _forget_first(table, sender):
    _, sequence = sender.order.popleft()
    del sender.outcomes[sequence]
    sender.floor = max(sender.floor, sequence)
    table.ended -= 1


def _drop_all(table, sender):
    while sender.order:
        _forget_first(table, sender)


def _shrink_largest(table):
    sender = max(table.senders.values(), key=lambda item: len(item.order))
    for _ in range(max(1, len(sender.order) // 8)):
        _forget_first(table, sender)


def _make_room(table):
    if len(table.senders) < MAX_SENDERS:
        return
    vm, sender = min(
        table.senders.items(), key=lambda item: item[1].incarnation
    )
    _drop_all(table, sender)
    table.oldest = max(table.oldest, sender.incarnation)
    del table.senders[vm]
