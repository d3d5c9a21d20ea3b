"""Gossip: the bounded queue of member news that rides on messages."""

import dataclasses
import enum
import heapq

import msgspec

from jujubefold import messages

# Rides on one message, so that it stays within one network packet.
MAX_UPDATE_BYTES = 1000
# How often one daemon passes a record on; comparing views repairs the rest.
URGENT_SENDS = 6
OTHER_SENDS = 3

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

    def take(self, room=MAX_UPDATE_BYTES):
        """Return the records to send next and count them as sent.

        Args:
            room: Bytes that the records may take together.

        Returns:
            Tuple of `messages.Member`; most urgent, least sent first.
        """
        if not self._entries:
            return ()
        return tuple(self._pick(room))

    def _pick(self, room):
        smallest = min(entry.size for entry in self._entries.values())
        best = heapq.nsmallest(
            room // smallest, self._entries.values(), key=_rank
        )
        for entry in best:
            if entry.size > room:
                return
            room -= entry.size
            entry.sent += 1
            if entry.sent >= _limit(entry):
                del self._entries[entry.member.vm]
            yield entry.member


def _limit(entry):
    other = entry.priority is Priority.OTHER
    return OTHER_SENDS if other else URGENT_SENDS


def _rank(entry):
    return entry.priority, entry.sent, entry.member.vm
