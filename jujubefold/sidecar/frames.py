"""Frames: what daemons say to each other over a link.

A frame is a length of four bytes and one message in MessagePack. Messages
of types that this release doesn't know are skipped.
"""

import struct

import msgspec

from jujubefold import errors
from jujubefold.sidecar import roster

_LENGTH = struct.Struct('>I')
# Bytes; a request or answer body of the largest size fits.
MAX_FRAME_BYTES = 80 * 1024 * 1024

Pairs = list[tuple[bytes, bytes]]


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages."""


class Load(Message, tag='load'):
    """A gate's load, as in `limiter.Load`; durations in milliseconds."""

    running: int
    waiting: int
    slots: int
    hold_ms: int
    failing_percent: int


class Hello(Message, tag='hello'):
    """First message in either direction.

    Args:
        member: The sender.
        version: Configuration version in force there; 0 for none.
        load: Load of the sender's gate.
        resume: Sequences of the sender's offers that it still waits for.
    """

    member: roster.Member
    version: int
    load: Load
    resume: tuple[int, ...] = ()


class Offer(Message, tag='offer'):
    """A request, offered to the receiver's upstream.

    Args:
        sequence: Names the offer within the sender's incarnation.
        request: The caller's request id.
        route: Route name, for learned durations and logs.
        version: Configuration version that chose the route.
        rank: As in `limiter.Request`.
        idempotent: Whether it may run more than once.
        left_ms: Milliseconds until the caller stops waiting.
        objective_ms: Milliseconds until an answer is late; negative if so.
        waited_ms: Milliseconds since the request arrived.
        waits: Whether it may wait for a slot.
    """

    sequence: int
    request: str
    route: str
    version: int
    rank: int
    idempotent: bool
    left_ms: int
    objective_ms: int
    waited_ms: int
    waits: bool
    method: str
    target: bytes
    headers: Pairs
    body: bytes


class Cancel(Message, tag='cancel'):
    """The caller of an offer left."""

    sequence: int


class Answered(Message, tag='answered'):
    """The upstream's whole answer to an offer.

    Args:
        ran_ms: Milliseconds that the upstream took.
    """

    sequence: int
    status: int
    ran_ms: int
    headers: Pairs
    body: bytes
    load: Load


class Refused(Message, tag='refused'):
    """An offer ended without an answer.

    Args:
        ran: What is known about whether it ran.
        reason: A `calls.Reason`.
        retry_ms: Milliseconds after which asking again makes sense.
        sent: Whether an upstream was sent the request.
    """

    sequence: int
    ran: errors.Outcome
    reason: str
    retry_ms: int
    detail: str
    sent: bool
    load: Load


class Unseen(Message, tag='unseen'):
    """An offer to resume never arrived here and will not run."""

    sequence: int


class Ping(Message, tag='ping'):
    """Asks for a `Pong`, to see that the link works."""


class Pong(Message, tag='pong'):
    """Answer to a `Ping`."""


class Goodbye(Message, tag='goodbye'):
    """The sender stops; offer it nothing more."""


class Newer(Message, tag='newer'):
    """The sender has a configuration version in force.

    Args:
        reads: Whether the sender follows the platform.
    """

    version: int
    reads: bool


class Fetch(Message, tag='fetch'):
    """Asks for the configuration, if it is newer than a version."""

    version: int


class Document(Message, tag='document'):
    """A configuration, as `distribution.compress` made it.

    Args:
        base: Version that the receiver needs to unpack it; 0 for none.
    """

    version: int
    base: int
    body: bytes


class Crash(Message, tag='crash'):
    """Evidence on a request that crashed an upstream.

    Args:
        fingerprint: Digest of the request.
        upstream: `vm/incarnation` of the daemon beside it.
        count: Crashes there.
        blame_milli: Thousandths of a crash that the request bears.
    """

    fingerprint: str
    upstream: str
    count: int
    blame_milli: int


_KINDS = (
    Hello
    | Offer
    | Cancel
    | Answered
    | Refused
    | Unseen
    | Ping
    | Pong
    | Goodbye
    | Newer
    | Fetch
    | Document
    | Crash
    | Load
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_KINDS)


def encode(message):
    """Return a message as a frame."""
    body = _encoder.encode(message)
    return _LENGTH.pack(len(body)) + body


class Reader:
    """Cuts a stream into messages."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Take bytes and yield the messages that are whole.

        Raises:
            ValueError: A frame is too long.
        """
        self._buffer += data
        at = 0
        while len(self._buffer) - at >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, at)
            if length > MAX_FRAME_BYTES:
                raise ValueError(f'frame of {length} bytes')
            end = at + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[at + _LENGTH.size : end])
            at = end
            message = _decode(body)
            if message is not None:
                yield message
        del self._buffer[:at]


def _decode(body):
    """Return a message, or None when its type is not known."""
    try:
        return _decoder.decode(body)
    except msgspec.ValidationError as error:
        if _is_unknown(body):
            return None
        raise ValueError(str(error)) from error
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from error


def _is_unknown(body):
    found = msgspec.msgpack.decode(body)
    known = {kind.__struct_config__.tag for kind in _KINDS.__args__}
    return isinstance(found, list) and found and found[0] not in known
