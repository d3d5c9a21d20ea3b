"""Calls: a caller's request, its attempts, and their outcomes."""

import dataclasses
import enum

from jujubefold import errors
from jujubefold import mesh

# Header names on the wire, lower case.
REQUEST_ID = 'jujubefold-request-id'
DEADLINE_MS = 'jujubefold-deadline-ms'
DEPTH = 'jujubefold-depth'
RETRY_BUDGET = 'jujubefold-retry-budget'
ATTEMPT = 'jujubefold-attempt'
VERSION = 'jujubefold-version'
OUTCOME = 'jujubefold-outcome'
REASON = 'jujubefold-reason'
LOAD = 'jujubefold-load'
IDEMPOTENCY_KEY = 'idempotency-key'
RETRY_AFTER = 'retry-after'

MAX_DEPTH = 32
IDEMPOTENT_METHODS = frozenset(
    {'GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'}
)


class Reason(enum.StrEnum):
    """Why a request was refused or its outcome is unknown."""

    NONE = 'none'
    MALFORMED = 'malformed'
    NO_ROUTE = 'no-route'
    NO_VERSION = 'no-version'
    NO_UPSTREAM = 'no-upstream'
    NO_SLOT = 'no-slot'
    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    TOO_DEEP = 'too-deep'
    TOO_LARGE = 'too-large'
    RETRY_BUDGET = 'retry-budget'
    KEY_REQUIRED = 'key-required'
    KEY_REUSED = 'key-reused'
    KEY_RUNNING = 'key-running'
    KEY_UNKNOWN = 'key-unknown'
    STORE_DOWN = 'store-down'
    SUSPECT_REQUEST = 'suspect-request'
    CANCELLED = 'cancelled'
    BARRED = 'barred'
    UPSTREAM_SHED = 'upstream-shed'
    UPSTREAM_CUT = 'upstream-cut'
    UPSTREAM_SILENT = 'upstream-silent'
    UPSTREAM_GARBLED = 'upstream-garbled'
    UPSTREAM_FAILED = 'upstream-failed'
    PEER_LOST = 'peer-lost'
    UNAUTHENTICATED = 'unauthenticated'
    UNCONFIRMED = 'unconfirmed'
    QUOTA = 'quota'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """Identifies one attempt of one request at one receiving daemon.

    The sender numbers its attempts, so the receiver recognises a resend.
    The scheme is that of the idempotent producer of Kafka 1.0: producer id,
    epoch and sequence number.

    Args:
        vm: Sending daemon's VM.
        incarnation: Sending daemon's incarnation.
        sequence: Number of the attempt, from 1 within the incarnation.
    """

    vm: str
    incarnation: int
    sequence: int

    def __str__(self):
        return f'{self.vm}/{self.incarnation}/{self.sequence}'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One caller's request, as accepted by a daemon.

    A call keeps the configuration version that was in force when the
    request was accepted.

    Args:
        request: Request id, the caller's or a generated one.
        caller: Key for sharing slots fairly between callers: the peer
            address or a header's value.
        method: HTTP method in upper case.
        host: Host in lower case, without port.
        path: Path without query.
        route: The matched `mesh.Route` of that version.
        version: Number of that version.
        deadline: Monotonic seconds at which the caller stops waiting.
        depth: Nesting depth; 0 for a call that no other call made.
        key: Idempotency key, '' for none.
        idempotent: Whether the request may run more than once.
        fingerprint: Digest of method, route host, target and body; '' until
            a large body has been hashed.
    """

    request: str
    caller: str
    method: str
    host: str
    path: str
    route: mesh.Route
    version: int
    deadline: float
    depth: int
    key: str
    idempotent: bool
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a call at one daemon's upstream."""

    id: AttemptId
    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Outcome of a call or attempt without an upstream's answer.

    Args:
        ran: Whether the request ran; DID_NOT_RUN only where it is proven.
        reason: Why there is no answer.
        retry_after: Seconds after which a retry may succeed; 0 for no retry.
        detail: Explanation for an operator, one sentence.
    """

    ran: errors.Outcome
    reason: Reason
    retry_after: float = 0.0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Admission: the attempt holds a slot and must be sent now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Admission: the attempt waits in the queue until it is admitted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """Admission: the same attempt was offered before and is not run again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Admission: the attempt was refused and will not run here."""

    refusal: Refusal


Admission = Admitted | Queued | Duplicate | Refused


class Ending(enum.StrEnum):
    """How an admitted attempt ended, as observed by the gate."""

    ANSWERED = 'answered'
    SHED = 'shed'
    CRASHED = 'crashed'
    SILENT = 'silent'
    CANCELLED = 'cancelled'
    NEVER_SENT = 'never-sent'


@dataclasses.dataclass(frozen=True, slots=True)
class LocalUpstream:
    """Choice: run the call at this VM's own upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Choice: forward the call to another daemon.

    Args:
        vm: The daemon's VM.
        incarnation: The daemon's incarnation when it was chosen.
        call_address: Address of its port for other daemons, `ip:port`.
    """

    vm: str
    incarnation: int
    call_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream:
    """Choice: no upstream can run the call, so the caller is refused."""

    refusal: Refusal


Choice = LocalUpstream | Peer | NoUpstream


def is_idempotent(route, method):
    """Return whether a request may run more than once.

    Args:
        route: The matched `mesh.Route`; its `idempotent` setting overrides
            the default for the method.
        method: HTTP method in upper case.
    """
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS
