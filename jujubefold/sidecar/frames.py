"""Frames: the messages between sidecars and their encoding.

A frame is a length of four bytes, big-endian, and one message in MessagePack.
Messages of types that this release does not know are skipped.
"""

import struct

import msgspec

from jujubefold import decoding
from jujubefold import errors
from jujubefold.sidecar import roster

_LENGTH = struct.Struct('>I')
# Large enough for a request or an answer with the largest allowed body.
MAX_FRAME_BYTES = 80 * 1024 * 1024

HeaderPairs = list[tuple[bytes, bytes]]


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages."""


class Load(Message, tag='load'):
    """Load of the sender's gate; see `limiter.Load`.

    Args:
        running: Requests that hold a slot.
        waiting: Requests that wait for a slot.
        slots: Slots that may be used now.
        mean_duration_ms: Mean milliseconds for which a request holds a slot.
        failure_percent: Percentage of recent requests that the upstream
            failed.
        fetch_backlog_ms: Milliseconds for which the gate's link is busy with
            bodies that are being fetched.
        track: Version of the upstream in a rollout: 0 stable, 1 new.
        waiting_calls: Those of `waiting` that are calls of running requests.
    """

    running: int
    waiting: int
    slots: int
    mean_duration_ms: int
    failure_percent: int
    fetch_backlog_ms: int = 0
    track: int = 0
    waiting_calls: int = 0


class Hello(Message, tag='hello'):
    """First message on a connection, in either direction.

    Args:
        member: The sender.
        version: Configuration version in force at the sender; 0 for none.
        load: Load of the sender's gate.
        resume: Sequence numbers of the sender's offers without a result.
        transfers: Whether the sender understands `Offer.body_size`.
        era: Era of the store in which `version` was seen; 0 if unknown.
        store_era: Newest era of the store that the sender knows.
        answer_parts: Whether the sender understands `Answered.body_size`.
    """

    member: roster.Member
    version: int
    load: Load
    resume: tuple[int, ...] = ()
    transfers: bool = False
    era: int = 0
    store_era: int = 0
    answer_parts: bool = False


class Offer(Message, tag='offer'):
    """Offers a request to the receiver's gate.

    Args:
        sequence: Identifies the offer within the sender's incarnation.
        request: The caller's request id.
        route: Route name, for duration estimates and logs.
        version: Configuration version that chose the route.
        rank: Queue priority, as in `limiter.Request`.
        idempotent: Whether the request may run more than once.
        remaining_ms: Milliseconds until the caller's deadline.
        until_objective_ms: Milliseconds until the latency objective is
            missed; negative if it has been.
        elapsed_ms: Milliseconds since the request arrived at the sender.
        may_queue: Whether the request may wait for a slot.
        method: HTTP method.
        target: HTTP request target.
        headers: End-to-end headers.
        body: The whole body, unless it is transferred.
        body_size: Bytes of a body that the receiver fetches once it has
            admitted the request; 0 if `body` is whole.
        call: Whether a request that runs at the sender made it; `rank` is
            then that of the running request.
        received: Sequence numbers of offers whose results the sender has
            received since its last offer or greeting.
    """

    sequence: int
    request: str
    route: str
    version: int
    rank: int
    idempotent: bool
    remaining_ms: int
    until_objective_ms: int
    elapsed_ms: int
    may_queue: bool
    method: str
    target: bytes
    headers: HeaderPairs
    body: bytes
    body_size: int = 0
    call: bool = False
    received: tuple[int, ...] = ()


class PartRequest(Message):
    """Base of requests for a part of a body.

    Args:
        sequence: Identifies the offer.
        offset: Position of the part's first byte.
        size: Bytes of the part.
    """

    sequence: int
    offset: int
    size: int


class Part(Message):
    """Base of the parts of a body.

    Args:
        sequence: Identifies the offer.
        offset: Position of the part's first byte.
        data: The part.
    """

    sequence: int
    offset: int
    data: bytes


class BodyRequest(PartRequest, tag='pull'):
    """Requests a part of an offer's body."""


class BodyPart(Part, tag='part'):
    """A part of an offer's body."""


class Cancel(Message, tag='cancel'):
    """Cancels an offer, because its sender no longer awaits the result."""

    sequence: int


class Answered(Message, tag='answered'):
    """Result of an offer that the upstream answered.

    Args:
        sequence: Identifies the offer.
        status: HTTP status.
        upstream_ms: Milliseconds that the upstream took to answer.
        headers: End-to-end headers.
        body: The whole body, or its first bytes.
        load: Load of the sender's gate.
        body_size: Bytes of a body of which the receiver fetches the rest; 0
            if `body` is whole.
    """

    sequence: int
    status: int
    upstream_ms: int
    headers: HeaderPairs
    body: bytes
    load: Load
    body_size: int = 0


class Refused(Message, tag='refused'):
    """Result of an offer that ended without an answer.

    Args:
        sequence: Identifies the offer.
        ran: Whether the request ran, as far as is known.
        reason: Value of a `calls.Reason`.
        retry_after_ms: Milliseconds after which a retry may succeed.
        detail: Explanation for people; may be empty.
        sent: Whether the request may have been sent to an upstream.
        load: Load of the sender's gate.
    """

    sequence: int
    ran: errors.Outcome
    reason: str
    retry_after_ms: int
    detail: str
    sent: bool
    load: Load


class NotReceived(Message, tag='unseen'):
    """An offer in `Hello.resume` was not received and will not be run."""

    sequence: int


class Ping(Message, tag='ping'):
    """Requests a `Pong`, to check that the link works."""


class Pong(Message, tag='pong'):
    """Answers a `Ping`."""


class ShutdownNotice(Message, tag='goodbye'):
    """The sender is stopping and should receive no further offers."""


class VersionInForce(Message, tag='newer'):
    """Announces a configuration version to other daemons.

    Args:
        version: Its number. The version is in force at the sender or, unless
            that is a reader, awaited by it.
        is_reader: Whether the sender reads versions from the platform.
        members_changed: Store version of the last change of members that the
            sender, a reader, knows; 0 if it does not follow them.
        era: As in `Hello`.
        store_era: As in `Hello`.
        members_era: Era of `members_changed`.
    """

    version: int
    is_reader: bool
    members_changed: int = 0
    era: int = 0
    store_era: int = 0
    members_era: int = 0


class MembersChanged(Message, tag='members'):
    """Changes of members that a reader read from the platform.

    Args:
        base: Store version after which they were made.
        version: Store version up to which they are complete.
        changed: Store version of the last one.
        joined: Members that were added or changed.
        left: VM names of those that were removed.
        base_era: Era of `base`.
        era: Era of `version` and `changed`.
    """

    base: int
    version: int
    changed: int
    joined: tuple[roster.Member, ...]
    left: tuple[str, ...]
    base_era: int = 0
    era: int = 0


class ConfigurationRequest(Message, tag='fetch'):
    """Requests the receiver's configuration if it is newer than `version`.

    Args:
        version: Number of the version that the sender has.
        era: As in `Hello`.
        digest: Digest of that version's document; empty if unknown.
    """

    version: int
    era: int = 0
    digest: bytes = b''


class ConfigurationDocument(Message, tag='document'):
    """A configuration document, packed by `distribution.compress`.

    Args:
        version: Number of the configuration version.
        base: Version that the receiver needs to unpack it; 0 for none.
        body: The packed document.
        era: As in `Hello`.
        base_digest: Digest of the document of `base`; empty if unknown.
    """

    version: int
    base: int
    body: bytes
    era: int = 0
    base_digest: bytes = b''


class CrashEvidence(Message, tag='crash'):
    """Reports crashes of an upstream that a request may have caused.

    Args:
        fingerprint: Digest of the request.
        upstream: `vm/incarnation` of the upstream's daemon.
        count: Number of crashes of that upstream.
        blame_milli: Share of the crashes attributed to the request, in
            thousandths of a crash.
    """

    fingerprint: str
    upstream: str
    count: int
    blame_milli: int


class RolloutReport(Message, tag='rollout-report'):
    """Counts of the sender's gate during a rollout.

    Args:
        body: A `rollout.GateReport`, encoded by `rolloutmessages`.
    """

    body: bytes


class RolloutState(Message, tag='rollout-state'):
    """What the sender knows of rollouts.

    Args:
        body: A `rolloutmessages.States`, encoded there.
    """

    body: bytes


class FreshnessRequest(Message, tag='confirm'):
    """Asks how long ago the receiver's version was the newest.

    Args:
        question: Identifies the question within the sender's incarnation.
    """

    question: int


class Freshness(Message, tag='confirmed'):
    """Answers a `FreshnessRequest`.

    Args:
        question: As in the request.
        version: Configuration version in force at the sender.
        era: As in `Hello`.
        age_ms: Milliseconds since that version, or an older one, was the
            newest one of the store; -1 if that is not known.
        store_era: As in `Hello`.
    """

    question: int
    version: int
    era: int
    age_ms: int
    store_era: int


class AnswerRequest(PartRequest, tag='pull-answer'):
    """Requests a part of an answer's body."""


class AnswerPart(Part, tag='answer-part'):
    """A part of an answer's body.

    The data is empty if the sender does not hold the body any more.
    """


class QuotaRequest(Message, tag='quota'):
    """Requests tokens of tenants' buckets; without any, only an answer.

    Args:
        sequence: Identifies the request within the sender's incarnation.
        tokens: Pairs of a tenant's name and the number of tokens.
    """

    sequence: int
    tokens: tuple[tuple[str, int], ...] = ()


class QuotaAnswer(Message, tag='quota-answer'):
    """Answers a `QuotaRequest`.

    Args:
        sequence: That of the request.
        grants: For each pair of the request, the number of tokens granted,
            or -1 if the sender is not the tenant's owner, and milliseconds
            until the next token is expected.
    """

    sequence: int
    grants: tuple[tuple[int, int], ...] = ()


class QuotaReturn(Message, tag='quota-return'):
    """Returns tokens whose requests were not sent to an upstream.

    Without any, it only shows that the sender can reach the receiver.

    Args:
        tokens: As in `QuotaRequest`.
    """

    tokens: tuple[tuple[str, int], ...] = ()


_MessageTypes = (
    Hello
    | Offer
    | BodyRequest
    | BodyPart
    | Cancel
    | Answered
    | Refused
    | NotReceived
    | Ping
    | Pong
    | ShutdownNotice
    | VersionInForce
    | MembersChanged
    | ConfigurationRequest
    | ConfigurationDocument
    | CrashEvidence
    | RolloutReport
    | RolloutState
    | FreshnessRequest
    | Freshness
    | AnswerRequest
    | AnswerPart
    | QuotaRequest
    | QuotaAnswer
    | QuotaReturn
    | Load
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_MessageTypes)


def encode(message):
    """Return the frame of a message as bytes."""
    body = _encoder.encode(message)
    return _LENGTH.pack(len(body)) + body


class FrameDecoder:
    """Decodes the messages in a stream of bytes."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Add received bytes and yield each message that is now complete.

        Raises:
            ValueError: A frame is too long or can't be decoded.
        """
        self._buffer += data
        offset = 0
        while len(self._buffer) - offset >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, offset)
            if length > MAX_FRAME_BYTES:
                raise ValueError(f'frame of {length} bytes exceeds the limit')
            end = offset + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[offset + _LENGTH.size : end])
            offset = end
            message = _decode(body)
            if message is not None:
                yield message
        del self._buffer[:offset]


def _decode(body):
    """Return a message, or None if its type is unknown."""
    try:
        return _decode_known(body)
    except decoding.FAULTS as error:
        raise ValueError(str(error)) from error


def _decode_known(body):
    try:
        return _decoder.decode(body)
    except msgspec.ValidationError:
        if _is_unknown(body):
            return None
        raise


def _is_unknown(body):
    message = msgspec.msgpack.decode(body)
    known_tags = {
        kind.__struct_config__.tag for kind in _MessageTypes.__args__
    }
    return (
        isinstance(message, list)
        and message
        and isinstance(message[0], str)
        and message[0] not in known_tags
    )
