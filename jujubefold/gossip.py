"""Gossip: the bounded queue of member news that rides on messages."""

import dataclasses
import enum
import heapq
import math

import msgspec

from jujubefold import messages

# Rides on one message, so that it stays within one network packet.
MAX_UPDATE_BYTES = 1000
# Times a record is sent for each doubling of the fleet.
SENDS_PER_DOUBLING = 2

_encoder = msgspec.msgpack.Encoder()


class Priority(enum.IntEnum):
    """Which news goes first."""

    LEAVING = 0
    HEALTH = 1
    OTHER = 2


@dataclasses.dataclass(slots=True)
class _Entry:
    member: messages.Member
    priority: Priority
    size: int
    sent: int = 0


class Queue:
    """Newest record per VM, each sent a bounded number of times."""

    def __init__(self):
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def add(self, member, priority):
        """Queue a record in place of any older one of the same VM.

        Args:
            member: A `messages.Member`.
            priority: A `Priority`.
        """
        size = len(_encoder.encode(member))
        self._entries[member.vm] = _Entry(member, priority, size)

    def discard(self, vm):
        """Forget the record of a VM, if there is one."""
        self._entries.pop(vm, None)

    def take(self, fleet, room=MAX_UPDATE_BYTES):
        """Return the records to send next and count them as sent.

        Args:
            fleet: Number of daemons, which bounds the repeats.
            room: Bytes that the records may take together.

        Returns:
            Tuple of `messages.Member`; most urgent, least sent first.
        """
        if not self._entries:
            return ()
        return tuple(self._pick(sends(fleet), room))

    def _pick(self, limit, room):
        smallest = min(entry.size for entry in self._entries.values())
        best = heapq.nsmallest(
            room // smallest, self._entries.values(), key=_rank
        )
        for entry in best:
            if entry.size > room:
                return
            room -= entry.size
            entry.sent += 1
            if entry.sent >= limit:
                del self._entries[entry.member.vm]
            yield entry.member


def sends(fleet):
    """Return how often one daemon repeats a record.

    Args:
        fleet: Number of daemons.
    """
    return SENDS_PER_DOUBLING * math.ceil(math.log2(fleet + 2))


def _rank(entry):
    return entry.priority, entry.sent, entry.member.vm
