"""Messages between daemons, and their codec.

Every message is a tagged struct. Decoding checks types, ignores fields and
skips messages it does not know, so that daemons of two releases can talk.
"""

import enum
import typing

import expression
import msgspec

from jujubefold import errors

SCHEMA = 1
MAX_ENVELOPE_BYTES = 4 * 1024 * 1024
# Messages of unknown types that one envelope may carry.
MAX_SKIPPED = 256


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all messages between daemons."""


class MemberState(enum.StrEnum):
    """What the fleet believes about a daemon."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


class UpstreamState(enum.StrEnum):
    """Life of an upstream, as announced."""

    ABSENT = 'absent'
    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'
    GONE = 'gone'


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon tells the fleet about itself and its upstream.

    Encoded without field names: new fields go last and have defaults.

    Args:
        revision: Raised by the owner at each change within an incarnation.
        state: Belief about the daemon.
        service: Service its upstream serves, empty for none.
        slots: Requests the upstream runs at once.
        ready_at_ms: Wall milliseconds since the upstream began to serve.
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
        target: Incarnation the prober believes in; 0 for unknown.
        view: Digest of the members that the prober holds live.
    """

    sequence: int
    target: int = 0
    updates: tuple[Member, ...] = ()
    view: int = 0


class Ack(Message):
    """Answer to `Ping`.

    Args:
        serving: False when the daemon answers probes but cannot serve.
        view: Digest of the members that the answerer holds live.
    """

    sequence: int
    incarnation: int
    updates: tuple[Member, ...] = ()
    serving: bool = True
    view: int = 0


class PingRequest(Message):
    """Ask a peer to probe `address` and pass its `Ack` back."""

    sequence: int
    address: str
    target: int = 0


class Gossip(Message):
    """Member updates outside a probe; drain travels this way at once."""

    updates: tuple[Member, ...]


class Join(Message):
    """A daemon that starts asks a contact for the members.

    Args:
        after: Last VM name received, empty for the first page.
    """

    member: Member
    after: str = ''


class Welcome(Message):
    """Answer to `Join`, a page at a time.

    Args:
        retry_after_ms: Above 0, the contact is busy: ask again then.
    """

    members: tuple[Member, ...]
    more: bool = False
    retry_after_ms: int = 0


class Sync(Message):
    """Ask a daemon whose view differs for what this one lacks.

    Args:
        buckets: Digest of the live members in each bucket.
    """

    buckets: tuple[int, ...]


class SyncAnswer(Message):
    """Answer to `Sync`: every record of some differing buckets.

    Args:
        buckets: Indexes of the buckets that `members` is whole for.
        members: Records, the dead and those that left included.
    """

    buckets: tuple[int, ...]
    members: tuple[Member, ...]


class Progress(Message):
    """Which daemons have a configuration version in force.

    Args:
        number: The version number.
        roster: Digest of the sorted live members that bits stand for.
        bits: Little endian; bit i is set when member i has `number`.
    """

    number: int
    roster: int
    bits: bytes


class Announce(Message):
    """A version exists; whoever lacks it pulls."""

    number: int
    digest: str


class Push(Message):
    """A version with its patch, sent before anyone asked.

    Args:
        number: Accepted version number.
        patch: RFC 6902 patch from `number - 1`, canonical JSON.
        accepted_ms: Milliseconds since the epoch, by the acceptor's clock.
    """

    number: int
    digest: str
    parent_digest: str
    patch_id: str
    patch: bytes
    accepted_ms: int = 0


class Pull(Message):
    """Ask a peer for what follows the version held.

    Args:
        after: Number held; 0 for none.
        digest: Digest of the version held, empty for none.
        whole: A chain did not give its digest, so send a snapshot.
    """

    after: int
    digest: str = ''
    whole: bool = False


class Chain(Message):
    """Answer to `Pull`: patches in order."""

    pushes: tuple[Push, ...]


class Snapshot(Message):
    """Answer to `Pull` when a chain is longer or missing.

    Args:
        last: The newest version's identity and patch.
        document: Whole canonical document, zstandard.
    """

    last: Push
    document: bytes


class Note(Message):
    """Ask a witness to note a version for an address before it serves it."""

    address: str
    incarnation: int
    number: int
    digest: str


class Noted(Message):
    """A witness has noted `number` for `address`."""

    address: str
    number: int


class FloorQuery(Message):
    """A daemon without state asks what was noted for its address."""

    address: str


class Floor(Message):
    """Answer to `FloorQuery`.

    Args:
        noted: Highest number noted for the address; 0 for none.
        since_ms: Milliseconds since this witness first read the head from
            the store; 0 when it has not, and so may have missed versions.
        held: Highest number the witness knows to be accepted.
    """

    address: str
    noted: int
    since_ms: int
    held: int


class Claim(Message):
    """Ask a claim owner to claim an idempotency key.

    Args:
        sequence: Correlates the answer.
        scope: Route or service that keys belong to.
        key: The caller's idempotency key.
        fingerprint: Digest of method, path and body.
        holder: `vm/incarnation` that will run the request.
        claim: Id that the holder gave the claim; equal in a resend.
    """

    sequence: int
    scope: str
    key: str
    fingerprint: str
    holder: str
    claim: str = ''


class ClaimEnd(Message):
    """Tell a claim owner how a claim ended; answered by `ClaimAnswer`.

    Args:
        claim: Id of the claim, as in `Claim`.
        since_ms: Wall milliseconds of the claim.
        state: Name of the `claimrow` state that the key is in now.
        answer: What later sendings of the key are given.
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
        state: Name of the `claimowner` state of the key or the call.
        answer: Recorded answer, when there is one.
        since_ms: Wall milliseconds of the claim that stands.
        reason: One sentence, when the owner could not tell.
    """

    sequence: int
    state: str
    holder: str = ''
    answer: bytes = b''
    since_ms: int = 0
    reason: str = ''


class CrashReport(Message):
    """A request crashed an upstream; counted over the fleet.

    Args:
        fingerprint: Digest that is equal for the same request sent again.
        upstream: `vm/incarnation` of the daemon whose upstream crashed.
        count: Crashes of this fingerprint seen at that upstream; 0 clears
            the fingerprint, because an upstream answered it.
        blame_milli: Thousandths of a crash that it bears for them.
    """

    fingerprint: str
    upstream: str
    count: int
    blame_milli: int = 0


Peer = (
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
    """All that one daemon sends another in one exchange.

    Args:
        vm: Sender's VM name.
        incarnation: Sender's incarnation.
        address: Sender's peer address, where answers go.
        wall_ns: Sender's hybrid clock, time part.
        counter: Sender's hybrid clock, counter part.
        skipped: Set on decoding: messages left out, because their types
            are not known here.
    """

    vm: str
    incarnation: int
    address: str
    wall_ns: int
    counter: int
    messages: tuple[Peer, ...]
    schema: int = SCHEMA
    skipped: int = 0


class _Unread(msgspec.Struct, frozen=True):
    """An envelope's messages, each still encoded."""

    messages: tuple[msgspec.Raw, ...]


class _Tag(msgspec.Struct, frozen=True):
    """The type of a message, whatever its fields."""

    type: str


class _Rest(msgspec.Struct, frozen=True):
    """An envelope without its messages."""

    vm: str
    incarnation: int
    address: str
    wall_ns: int
    counter: int
    schema: int = SCHEMA


_KNOWN = frozenset(kind.__name__ for kind in typing.get_args(Peer))

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_unread_decoder = msgspec.msgpack.Decoder(_Unread)
_tag_decoder = msgspec.msgpack.Decoder(_Tag)
_rest_decoder = msgspec.msgpack.Decoder(_Rest)
_peer_decoder = msgspec.msgpack.Decoder(Peer)


def encode(envelope):
    """Return the bytes of an envelope."""
    return _encoder.encode(envelope)


def decode(data):
    """Return the envelope in `data`, without messages of unknown types.

    Args:
        data: Bytes from another daemon, not trusted.

    Returns:
        `Ok(Envelope)` or `Error(errors.Invalid)`.
    """
    if len(data) > MAX_ENVELOPE_BYTES:
        return _invalid('envelope larger than allowed')
    try:
        return expression.Ok(_whole(data))
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        return _invalid(str(error))


def _whole(data):
    """Decode at once; only an envelope that does not fit is taken apart."""
    try:
        envelope = _decoder.decode(data)
    except msgspec.ValidationError:
        return _known_part(data)
    if envelope.skipped:
        return msgspec.structs.replace(envelope, skipped=0)
    return envelope


def _known_part(data):
    unread = _unread_decoder.decode(data).messages
    known = tuple(raw for raw in unread if _is_known(raw))
    skipped = len(unread) - len(known)
    if skipped > MAX_SKIPPED:
        raise msgspec.ValidationError(f'{skipped} messages of unknown types')
    rest = _rest_decoder.decode(data)
    return Envelope(
        vm=rest.vm,
        incarnation=rest.incarnation,
        address=rest.address,
        wall_ns=rest.wall_ns,
        counter=rest.counter,
        messages=tuple(map(_peer_decoder.decode, known)),
        schema=rest.schema,
        skipped=skipped,
    )


def _is_known(raw):
    return _tag_decoder.decode(raw).type in _KNOWN


def _invalid(reason):
    return expression.Error(errors.Invalid(reason, 'envelope'))
