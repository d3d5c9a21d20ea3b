"""Messages between daemons, and their codec.

Every message is a tagged struct. Decoding checks the types of fields; it
ignores unknown fields and skips messages of unknown types, so that daemons of
different releases can exchange envelopes.
"""

import enum
import typing

import expression
import msgspec

from jujubefold import decoding
from jujubefold import errors

SCHEMA = 1
MAX_ENVELOPE_BYTES = 4 * 1024 * 1024
# Most messages of unknown types in one envelope; with more it is refused.
MAX_SKIPPED = 256


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all messages between daemons."""


class MemberState(enum.StrEnum):
    """State of a daemon as its fleet sees it."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


class UpstreamState(enum.StrEnum):
    """State of an upstream, as it announced it."""

    ABSENT = 'absent'
    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'
    GONE = 'gone'


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Member record: what a daemon publishes about itself and its upstream.

    Encoded as an array, without field names, so new fields must be added at
    the end and have defaults.

    Args:
        incarnation: Number of the daemon's start; a later start has a higher
            one.
        revision: Raised by the daemon itself at each change of its record
            within an incarnation.
        state: State of the daemon as the sender sees it.
        service: Service that its upstream serves, empty for none.
        slots: Requests that the upstream runs at once.
        ready_at_ms: Wall-clock time at which the upstream began to serve, in
            milliseconds since the epoch.
        in_force: Number of the configuration version in force there.
    """

    vm: str
    incarnation: int
    region: str
    failure_domain: str
    peer_address: str
    call_address: str
    admin_address: str = ''
    revision: int = 0
    state: MemberState = MemberState.ALIVE
    service: str = ''
    upstream_state: UpstreamState = UpstreamState.ABSENT
    slots: int = 0
    ready_at_ms: int = 0
    in_force: int = 0


class Ping(Message):
    """Probe; answered by `Ack` with the same sequence.

    Args:
        target: Incarnation that the prober expects; 0 for unknown.
        updates: Member records piggybacked on the probe.
        view: Digest of the members that the prober regards as live.
    """

    sequence: int
    target: int = 0
    updates: tuple[Member, ...] = ()
    view: int = 0


class Ack(Message):
    """Answer to `Ping`.

    Args:
        updates: Member records piggybacked on the answer.
        serving: False when the daemon answers probes but cannot serve calls.
        view: Digest of the members that the sender regards as live.
    """

    sequence: int
    incarnation: int
    updates: tuple[Member, ...] = ()
    serving: bool = True
    view: int = 0


class PingRequest(Message):
    """Indirect probe: asks a peer to probe `address` and relay its `Ack`."""

    sequence: int
    address: str
    target: int = 0


class Gossip(Message):
    """Member records sent outside a probe, such as those of a drain."""

    updates: tuple[Member, ...]


class Join(Message):
    """Request of a starting daemon to a contact for the member records.

    Args:
        member: Record of the starting daemon.
        after: Last VM name received, empty for the first page.
    """

    member: Member
    after: str = ''


class Welcome(Message):
    """Answer to `Join`: one page of member records.

    Args:
        more: Whether more pages follow.
        retry_after_ms: Above 0, the contact is overloaded: repeat the request
            after so many milliseconds.
    """

    members: tuple[Member, ...]
    more: bool = False
    retry_after_ms: int = 0


class Sync(Message):
    """Request for the member records in which two daemons differ.

    Args:
        buckets: For each bucket, a digest of its live members at the sender.
    """

    buckets: tuple[int, ...]


class SyncAnswer(Message):
    """Answer to `Sync`: every record of some differing buckets.

    Args:
        buckets: Indexes of the buckets whose records `members` has.
        members: All records of these buckets, including those of members
            that are dead or have left.
    """

    buckets: tuple[int, ...]
    members: tuple[Member, ...]


class Progress(Message):
    """Bitmap of the daemons that have a configuration version in force.

    Args:
        number: The version number.
        roster: Digest of the sorted live members that the bits stand for.
        bits: Little endian; bit i is set when member i has `number`.
    """

    number: int
    roster: int
    bits: bytes


class Announce(Message):
    """Announcement of a version; a daemon that lacks it sends `Pull`."""

    number: int
    digest: str


class Push(Message):
    """A version with its patch, sent without a request.

    Args:
        number: Number of the accepted version.
        patch: RFC 6902 patch from `number - 1`, canonical JSON.
        accepted_ms: When it was accepted, in milliseconds since the epoch by
            the clock of the accepting daemon.
    """

    number: int
    digest: str
    parent_digest: str
    patch_id: str
    patch: bytes
    accepted_ms: int = 0


class Pull(Message):
    """Request for the versions after the one that the sender has.

    Args:
        after: Number of the version that the sender has; 0 for none.
        digest: Digest of that version, empty for none.
        whole: Request a snapshot, because applying a chain did not give the
            expected digest.
    """

    after: int
    digest: str = ''
    whole: bool = False


class Chain(Message):
    """Answer to `Pull`: the missing versions with their patches, in order."""

    pushes: tuple[Push, ...]


class Snapshot(Message):
    """Answer to `Pull` when a chain is too long or not available.

    Args:
        last: The newest version, with its patch.
        document: The whole canonical document, compressed with zstandard.
    """

    last: Push
    document: bytes


class Note(Message):
    """Request to a witness to record a version before it is in force.

    Args:
        address: Peer address of the daemon that will put it in force.
    """

    address: str
    incarnation: int
    number: int
    digest: str


class Noted(Message):
    """Answer to `Note`: `number` is recorded for `address`."""

    address: str
    number: int


class FloorQuery(Message):
    """Request of a daemon without state for the number noted for `address`."""

    address: str


class Floor(Message):
    """Answer to `FloorQuery`.

    Args:
        noted: Highest number noted for the address; 0 for none.
        since_ms: Milliseconds since this witness first read the head from
            the store; 0 when it has not, and so may have missed versions.
        held: Highest version number that the witness knows to be accepted.
    """

    address: str
    noted: int
    since_ms: int
    held: int


class Claim(Message):
    """Request to a claim owner to claim an idempotency key.

    Args:
        sequence: Matches the answer to the request.
        scope: Route or service that keys belong to.
        key: The caller's idempotency key.
        fingerprint: Digest of method, path and body.
        holder: `vm/incarnation` that will run the request.
        claim: Id that the holder chose for the claim; the same in a resend.
    """

    sequence: int
    scope: str
    key: str
    fingerprint: str
    holder: str
    claim: str = ''


class ClaimEnd(Message):
    """Reports to a claim owner how a claim ended; answered by `ClaimAnswer`.

    Args:
        claim: Id of the claim, as in `Claim`.
        since_ms: Wall-clock time of the claim, in milliseconds.
        state: Value of the `claimrow.State` that the key is in now.
        answer: Recorded answer for later requests with the key.
    """

    sequence: int
    scope: str
    key: str
    fingerprint: str
    holder: str
    claim: str
    since_ms: int
    state: str
    answer: bytes = b''


class ClaimAnswer(Message):
    """Answer to `Claim` and `ClaimEnd`.

    Args:
        state: Value of the `claimowner.State` of the key or of the request.
        holder: `vm/incarnation` that has the claim.
        answer: Recorded answer, empty for none.
        since_ms: Wall-clock time of the claim in effect, in milliseconds.
        reason: One sentence, when the owner could not determine the state.
    """

    sequence: int
    state: str
    holder: str = ''
    answer: bytes = b''
    since_ms: int = 0
    reason: str = ''


class CrashReport(Message):
    """Crashes of an upstream by a request, to be counted fleet-wide.

    Args:
        fingerprint: Digest of the request; the same when it is sent again.
        upstream: `vm/incarnation` of the daemon whose upstream crashed.
        count: Crashes of this fingerprint seen at that upstream; 0 clears
            the fingerprint, because an upstream answered the request.
        blame_milli: Share of the blame for these crashes that is attributed
            to the request, in thousandths of a crash.
    """

    fingerprint: str
    upstream: str
    count: int
    blame_milli: int = 0


PeerMessage = (
    Ping
    | Ack
    | PingRequest
    | Gossip
    | Join
    | Welcome
    | Sync
    | SyncAnswer
    | Progress
    | Announce
    | Push
    | Pull
    | Chain
    | Snapshot
    | Note
    | Noted
    | FloorQuery
    | Floor
    | Claim
    | ClaimAnswer
    | ClaimEnd
    | CrashReport
)


class Envelope(msgspec.Struct, frozen=True, omit_defaults=True):
    """The messages that one daemon sends another in one exchange.

    Args:
        vm: Sender's VM name.
        incarnation: Sender's incarnation.
        address: Sender's peer address, to which answers are sent.
        wall_ns: Time part of the sender's hybrid clock, in nanoseconds.
        counter: Counter part of the sender's hybrid clock.
        skipped: Number of messages that decoding left out, because their
            types are unknown here; what a sender puts here is ignored.
    """

    vm: str
    incarnation: int
    address: str
    wall_ns: int
    counter: int
    messages: tuple[PeerMessage, ...]
    schema: int = SCHEMA
    skipped: int = 0


class _EncodedMessages(msgspec.Struct, frozen=True):
    """The messages of an envelope, each still encoded."""

    messages: tuple[msgspec.Raw, ...]


class _MessageType(msgspec.Struct, frozen=True):
    """The type of a message, without its fields."""

    type: str


class _EnvelopeFields(msgspec.Struct, frozen=True):
    """The fields of an envelope other than its messages."""

    vm: str
    incarnation: int
    address: str
    wall_ns: int
    counter: int
    schema: int = SCHEMA


_KNOWN_TYPES = frozenset(
    kind.__name__ for kind in typing.get_args(PeerMessage)
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_encoded_messages_decoder = msgspec.msgpack.Decoder(_EncodedMessages)
_type_decoder = msgspec.msgpack.Decoder(_MessageType)
_fields_decoder = msgspec.msgpack.Decoder(_EnvelopeFields)
_message_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode(envelope):
    """Return the bytes of an envelope."""
    return _encoder.encode(envelope)


def decode(data):
    """Decode an envelope, leaving out messages of unknown types.

    Args:
        data: Untrusted bytes from another daemon.

    Returns:
        `Ok(Envelope)` or `Error(errors.Invalid)`.
    """
    if len(data) > MAX_ENVELOPE_BYTES:
        return _invalid('envelope larger than the size limit')
    try:
        return expression.Ok(_decode_envelope(data))
    except decoding.FAULTS as error:
        return _invalid(str(error))


def _decode_envelope(data):
    """Decode as a whole; only if that fails, decode message by message."""
    try:
        envelope = _decoder.decode(data)
    except msgspec.ValidationError:
        return _decode_known(data)
    if envelope.skipped:
        return msgspec.structs.replace(envelope, skipped=0)
    return envelope


def _decode_known(data):
    encoded = _encoded_messages_decoder.decode(data).messages
    known = tuple(raw for raw in encoded if _has_known_type(raw))
    skipped = len(encoded) - len(known)
    if skipped > MAX_SKIPPED:
        raise msgspec.ValidationError(
            f'{skipped} messages of unknown types, more than allowed'
        )
    fields = _fields_decoder.decode(data)
    return Envelope(
        vm=fields.vm,
        incarnation=fields.incarnation,
        address=fields.address,
        wall_ns=fields.wall_ns,
        counter=fields.counter,
        messages=tuple(map(_message_decoder.decode, known)),
        schema=fields.schema,
        skipped=skipped,
    )


def _has_known_type(raw):
    return _type_decoder.decode(raw).type in _KNOWN_TYPES


def _invalid(reason):
    return expression.Error(errors.Invalid(reason, 'envelope'))
