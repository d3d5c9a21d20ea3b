"""Calls: what a request is, and what callers are told about it."""

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
    """Why a request was refused or its outcome is in doubt."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """Names one try of one request at one receiving daemon.

    The sender numbers its attempts, so a resend is recognised. This is the
    idempotent producer of Kafka 1.0: producer id, epoch and sequence.

    Args:
        vm: Sending daemon's VM.
        incarnation: Sending daemon's incarnation.
        sequence: Counts up from 1 within the incarnation.
    """

    vm: str
    incarnation: int
    sequence: int

    def __str__(self):
        return f'{self.vm}/{self.incarnation}/{self.sequence}'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One caller's request at the daemon that took it.

    Args:
        request: Request id, from the caller or new.
        caller: Who asks, for fairness: peer address or a header.
        method: Upper case.
        host: Lower case, without port.
        path: Path without query.
        route: The matched route of the pinned version.
        version: Number of the pinned version.
        deadline: Monotonic seconds at which the caller stops waiting.
        depth: Hops from the first caller, 0 for the first.
        key: Idempotency key, '' for none.
        idempotent: Whether it may run twice.
        fingerprint: Digest of method, host, path, query and body.
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
    """One try, as the receiving daemon's gate sees it."""

    id: AttemptId
    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A call ends without an upstream's answer.

    Args:
        ran: What is known; DID_NOT_RUN only where it is provable.
        reason: Why.
        retry_after: Seconds after which asking again makes sense.
        detail: One sentence for a person.
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
    """Admission: the attempt waits; the gate names it when admitted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """Admission: the same attempt is here already; share its ending."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Admission: the attempt provably will not run here."""

    refusal: Refusal


Admission = Admitted | Queued | Duplicate | Refused


class Ending(enum.StrEnum):
    """How a running attempt ended, as seen at the gate."""

    ANSWERED = 'answered'
    SHED = 'shed'
    CRASHED = 'crashed'
    SILENT = 'silent'
    CANCELLED = 'cancelled'
    NEVER_SENT = 'never-sent'


@dataclasses.dataclass(frozen=True, slots=True)
class LocalUpstream:
    """Choice: offer the call to this VM's own upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Choice: forward the call to another daemon.

    Args:
        vm: Its VM name.
        incarnation: Its incarnation when chosen.
        call_address: Where its gate listens, `ip:port`.
    """

    vm: str
    incarnation: int
    call_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream:
    """Choice: no upstream can take it; tell the caller."""

    refusal: Refusal


Choice = LocalUpstream | Peer | NoUpstream


def is_idempotent(route, method):
    """Return whether a request may run twice.

    Args:
        route: The matched `mesh.Route`, whose own word goes first.
        method: Upper case method.
    """
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS
