"""Gossip: the bounded queue of member records to piggyback on messages."""

import dataclasses
import enum
import heapq

import msgspec

from jujubefold import messages

# Records piggybacked on one message; keeps it within one network packet.
MAX_UPDATE_BYTES = 1000
# Times that a daemon sends a record; daemons that miss all of them get the
# record when views are compared.
URGENT_SENDS = 6
DEFAULT_SENDS = 3

_encoder = msgspec.msgpack.Encoder()


class Priority(enum.IntEnum):
    """Order in which queued records are sent, lowest first."""

    LEAVING = 0
    HEALTH = 1
    OTHER = 2


@dataclasses.dataclass(slots=True)
class _Entry:
    member: messages.Member
    priority: Priority
    size: int
    sent: int = 0


class UpdateQueue:
    """Latest record of each VM, each sent a limited number of times."""

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
        """Remove the record of a VM, if there is one."""
        self._entries.pop(vm, None)

    def take(self, max_bytes=MAX_UPDATE_BYTES):
        """Return the records to send next and count them as sent.

        Args:
            max_bytes: Maximum encoded size of all records together, in bytes.

        Returns:
            Tuple of `messages.Member`, by priority and then by fewest sends.
        """
        if not self._entries:
            return ()
        return tuple(self._pick(max_bytes))

    def _pick(self, free_bytes):
        smallest = min(entry.size for entry in self._entries.values())
        candidates = heapq.nsmallest(
            free_bytes // smallest, self._entries.values(), key=_sort_key
        )
        for entry in candidates:
            if entry.size > free_bytes:
                return
            free_bytes -= entry.size
            entry.sent += 1
            if entry.sent >= _send_limit(entry):
                del self._entries[entry.member.vm]
            yield entry.member


def _send_limit(entry):
    is_other = entry.priority is Priority.OTHER
    return DEFAULT_SENDS if is_other else URGENT_SENDS


def _sort_key(entry):
    return entry.priority, entry.sent, entry.member.vm
