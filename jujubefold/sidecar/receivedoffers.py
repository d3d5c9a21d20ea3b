"""Received offers: what a gate knows of the offers of other daemons.

A result is kept until its sender confirms that it has it, as the sender may be
cut off or paused for longer than any fixed time. The highest number of each
sender is kept beyond that: an offer up to it was received, so its request may
have run, whatever is still known of it.
"""

import dataclasses
import enum

from jujubefold.sidecar import transfer

# Seconds for which an unconfirmed result is kept after its caller has stopped
# waiting, or after a later end. Its sender has no use for it any more.
RESULT_RETENTION_S = 2.0
# Starts of daemons of which the highest number is kept. An offer of another
# one that is resumed may have run.
MAX_SENDERS = 4096


class Missing(enum.StrEnum):
    """Why there is no entry for an offer.

    NOT_RECEIVED means that it has not run and will not; FORGOTTEN that it was
    received, or may have been.
    """

    NOT_RECEIVED = 'not-received'
    FORGOTTEN = 'forgotten'


@dataclasses.dataclass(slots=True, eq=False)
class ReceivedOffer:
    """An offer received from another daemon.

    Args:
        connection: `link.Connection` over which the result is sent.
        request: The caller's request id; empty if it was not received.
        deadline: Monotonic seconds at which the caller stops waiting.
        task: `eagertask.EagerTask` of the running request; None when it has
            ended.
        result: Message that was sent as the result; None while it runs.
        finished_at: Monotonic seconds at which it ended.
        body: The request's `transfer.Body`, while it runs.
    """

    connection: object
    request: str = ''
    deadline: float = 0.0
    task: object = None
    result: object = None
    finished_at: float = 0.0
    body: transfer.Body | None = None


@dataclasses.dataclass(slots=True)
class Sender:
    """Offers of one start of a daemon.

    Args:
        newest: Highest sequence number that was received, or reported as not
            received.
        offers: `ReceivedOffer` by sequence number.
    """

    newest: int = 0
    offers: dict[int, ReceivedOffer] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class OfferTable:
    """Offers of all senders.

    Args:
        senders: `Sender` by VM and incarnation, in the order of their first
            greetings.
    """

    senders: dict[tuple[str, int], Sender] = dataclasses.field(
        default_factory=dict
    )


def greet(table, peer, awaited):
    """Add a start of a daemon that offers may be received from.

    Args:
        table: An `OfferTable`.
        peer: VM and incarnation of the daemon.
        awaited: Sequence numbers of the offers that it awaits. Those of a
            daemon that is not known were received before it was dropped.
    """
    if peer in table.senders:
        return
    while len(table.senders) >= MAX_SENDERS:
        del table.senders[_longest_idle(table)]
    table.senders[peer] = Sender(max(awaited, default=0))


def _longest_idle(table):
    """Return the first sender without offers, else the first one."""
    first = next(iter(table.senders))
    idle = (key for key, item in table.senders.items() if not item.offers)
    return next(idle, first)


def add(table, key, entry):
    """Add an offer.

    Args:
        table: An `OfferTable`.
        key: VM, incarnation and sequence number.
        entry: A `ReceivedOffer`.

    Returns:
        Whether it is new. A known number is not run again.
    """
    *peer, sequence = key
    sender = table.senders.setdefault(tuple(peer), Sender())
    if sequence in sender.offers:
        return False
    sender.offers[sequence] = entry
    sender.newest = max(sender.newest, sequence)
    return True


def get(table, key):
    """Return the `ReceivedOffer` of a key, or None.

    Args:
        table: An `OfferTable`.
        key: As in `add`.
    """
    *peer, sequence = key
    sender = table.senders.get(tuple(peer))
    return None if sender is None else sender.offers.get(sequence)


def find(table, key):
    """Return the `ReceivedOffer` of a key, or why there is none.

    Args:
        table: An `OfferTable`.
        key: As in `add`.

    Returns:
        A `ReceivedOffer` or a `Missing`.
    """
    entry = get(table, key)
    if entry is not None:
        return entry
    *peer, sequence = key
    sender = table.senders.get(tuple(peer))
    if sender is None or sequence <= sender.newest:
        return Missing.FORGOTTEN
    return Missing.NOT_RECEIVED


def remove(table, key):
    """Remove an offer and return its `ReceivedOffer`; None if unknown."""
    *peer, sequence = key
    sender = table.senders.get(tuple(peer))
    return None if sender is None else sender.offers.pop(sequence, None)


def items(table):
    """Yield the key and the `ReceivedOffer` of each offer."""
    for peer, sender in tuple(table.senders.items()):
        for sequence, entry in tuple(sender.offers.items()):
            yield (*peer, sequence), entry


def unawaited(table, peer, awaited):
    """Yield the key of each offer that its sender does not await.

    Args:
        table: An `OfferTable`.
        peer: VM and incarnation of the sender.
        awaited: Sequence numbers that it awaits.
    """
    for sequence in tuple(table.senders[peer].offers):
        if sequence not in awaited:
            yield (*peer, sequence)


def expired(table, now):
    """Yield the key of each result that nobody waits for any more.

    Args:
        table: An `OfferTable`.
        now: Monotonic seconds.
    """
    for key, entry in items(table):
        if entry.result is None:
            continue
        needed_until = max(entry.deadline, entry.finished_at)
        if now - needed_until > RESULT_RETENTION_S:
            yield key
