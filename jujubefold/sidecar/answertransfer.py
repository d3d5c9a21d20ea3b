"""Answer transfer: sends large answers between daemons in parts.

An answer that is sent whole occupies a small link for up to a second, and
short answers wait behind it. So a large one is announced with its first
bytes, and the daemon that awaits it requests the rest in parts, as `transfer`
does for the bodies of requests. Few parts are on their way at a time, and
other messages are sent between them.

Designed for answers of 90 kB on the mean and 540 kB at most, over links of
6.5 to 13 Mbit/s.
"""

import dataclasses

import msgspec

from jujubefold.sidecar import frames
from jujubefold.sidecar import transfer

# Bodies up to this size are sent whole, and this much of larger ones is sent
# at once.
INLINE_BYTES = 16 * 1024
# Bytes of answers that are held to be fetched; further ones are sent whole.
MAX_HELD_BYTES = 32 * 1024 * 1024


class HeldAnswers:
    """Bodies of answers that other daemons fetch from this one."""

    def __init__(self):
        self._bodies = {}
        self._size = 0

    def __len__(self):
        return len(self._bodies)

    def hold(self, key, message):
        """Hold a large body, and return the message to send instead.

        Args:
            key: Identifies the offer.
            message: The result of the offer, a `frames.Message`.
        """
        if not isinstance(message, frames.Answered):
            return message
        body = message.body
        if (
            len(body) <= INLINE_BYTES
            or self._size + len(body) > MAX_HELD_BYTES
        ):
            return message
        self._bodies[key] = body
        self._size += len(body)
        return msgspec.structs.replace(
            message, body=body[:INLINE_BYTES], body_size=len(body)
        )

    def part(self, key, request):
        """Return the `frames.AnswerPart` for a request.

        Its data is empty if the body is not held any more.

        Args:
            key: Identifies the offer.
            request: A `frames.AnswerRequest`.
        """
        body = self._bodies.get(key, b'')
        end = request.offset + request.size
        return frames.AnswerPart(
            request.sequence, request.offset, body[request.offset : end]
        )

    def release(self, key):
        """Discard a body that is no longer needed."""
        self._size -= len(self._bodies.pop(key, b''))


@dataclasses.dataclass(slots=True)
class _Incoming:
    """An answer that is being fetched.

    Args:
        link: The `link.OutgoingLink` that it comes over.
        message: The `frames.Answered` that announced it.
        parts: What was received of its body.
    """

    link: object
    message: frames.Answered
    parts: list[bytes]


class AnswerFetcher:
    """Fetches large answers, one after the other.

    So at most a few of them are incomplete in memory.

    Args:
        capacity: Megabits a second of this daemon's link; 0 if unknown.
        clock: A `clock.Clock`.
    """

    def __init__(self, capacity, clock):
        self._table = transfer.new_table(capacity)
        self._clock = clock
        self._incoming = {}

    def __len__(self):
        return len(self._incoming)

    def start(self, link, message):
        """Fetch an answer, or go on with it over a new connection.

        Args:
            link: The `link.OutgoingLink` that it was announced on.
            message: The `frames.Answered` with the first bytes of its body.
        """
        key = (link, message.sequence)
        if key in self._incoming:
            transfer.resume(self._table, key)
        else:
            self._incoming[key] = _Incoming(link, message, [message.body])
            transfer.start(self._table, key, message.body_size)
            received = len(message.body)
            transfer.record_part(
                self._table, key, 0, received, self._clock.monotonic()
            )
        self._request_parts()

    def awaits(self, link, sequence):
        """Return whether an answer was announced and is incomplete."""
        return (link, sequence) in self._incoming

    def add(self, link, part):
        """Add a part.

        Args:
            link: The `link.OutgoingLink` that it came over.
            part: A `frames.AnswerPart` with data.

        Returns:
            The `frames.Answered` with its whole body, or None if parts are
                missing or this one was not requested.
        """
        key = (link, part.sequence)
        if not transfer.record_part(
            self._table,
            key,
            part.offset,
            len(part.data),
            self._clock.monotonic(),
        ):
            return None
        incoming = self._incoming[key]
        incoming.parts.append(part.data)
        self._request_parts()
        if key in self._table.transfers:
            return None
        del self._incoming[key]
        return msgspec.structs.replace(
            incoming.message, body=b''.join(incoming.parts)
        )

    def stop(self, link, sequence):
        """Discard an answer that is no longer awaited."""
        if self._incoming.pop((link, sequence), None) is not None:
            transfer.stop(self._table, (link, sequence))
            self._request_parts()

    def suspend(self, link):
        """Request nothing over a link whose connection was lost."""
        for key in self._incoming:
            if key[0] is link:
                transfer.suspend(self._table, key)
        self._request_parts()

    def sweep(self, now):
        """Fetch others while the parts of one don't arrive.

        Args:
            now: Monotonic seconds.
        """
        transfer.suspend_stalled(self._table, now)
        self._request_parts()

    def _request_parts(self):
        now = self._clock.monotonic()
        for part in transfer.next_parts(self._table, now):
            link, sequence = part.key
            link.send(frames.AnswerRequest(sequence, part.offset, part.size))
