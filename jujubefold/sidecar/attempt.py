"""Attempt: a caller's request as it is offered to gates, and its outcome."""

import dataclasses
import hashlib

from jujubefold import calls
from jujubefold import callserver
from jujubefold import errors
from jujubefold.sidecar import transfer

FINGERPRINT_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that the sidecar reads or sets, lower case.

    Args:
        request: Id of a request; answers of upstreams echo it.
        deadline: Milliseconds for which the sender still waits.
        seal: Proves that an answer comes from the upstream itself.
        expected_upstream: Id of the only upstream that may run the request.
        not_run: Present in an answer if the upstream did not run the request.
        caller: Service on whose VM the request began.
        retry_after: Seconds after which the caller may retry.
        limit: Requests a second that an upstream takes from all daemons
            together.
        leaving: Present in the answers of an upstream that is leaving.
        tenant: Name of the tenant that sent the request.
        upstream: Id of the upstream that answers at its health path.
    """

    request: bytes = b'jujubefold-request-id'
    deadline: bytes = b'jujubefold-deadline-ms'
    seal: bytes = b'jujubefold-seal'
    expected_upstream: bytes = b'jujubefold-expect-upstream'
    not_run: bytes = b'jujubefold-not-run'
    caller: bytes = b'jujubefold-caller-service'
    retry_after: bytes = b'retry-after'
    limit: bytes = b'jujubefold-limit'
    leaving: bytes = b'jujubefold-leaving'
    tenant: bytes = b'jujubefold-tenant'
    upstream: bytes = b'jujubefold-upstream'

    @property
    def reserved(self):
        """Headers that only the sidecar sets on requests to an upstream."""
        return frozenset({self.deadline, self.expected_upstream, self.caller})

    @property
    def reserved_with_tenants(self):
        """The same where the configuration has tenants.

        The caller's key is removed, so that neither other daemons nor
        upstreams see it.
        """
        return self.reserved | {self.tenant, b'authorization'}


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A request as it is offered to gates.

    Args:
        key: Identifies the request in this daemon.
        request: Request id of the caller.
        route: Route name.
        version: Configuration version from which the route was selected.
        rank: Lower ranks are served first.
        idempotent: Whether it may run more than once.
        arrived_at: Monotonic seconds at which the request arrived.
        objective_at: Monotonic seconds until which an answer is on time.
        deadline: Monotonic seconds at which the caller stops waiting.
        method: HTTP method.
        target: Path and query.
        headers: End-to-end pairs of name and value, without those of
            `HeaderNames.reserved` except the caller's service.
        body: A `transfer.Body`.
        may_queue: Whether it may wait for a slot.
        call: Whether a request that runs on this VM made it, or ran on the
            VM that offered it.
    """

    key: object
    request: str
    route: str
    version: int
    rank: int
    idempotent: bool
    arrived_at: float
    objective_at: float
    deadline: float
    method: str
    target: bytes
    headers: list
    body: transfer.Body
    may_queue: bool = True
    call: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How an offer ended.

    Args:
        answer: The upstream's whole `callserver.Answer`, or None.
        refusal: A `calls.Refusal` if there is no answer.
        sent: Whether the request may have been sent to an upstream.
        upstream_time: Seconds that the upstream took to answer; 0 without
            an answer.
    """

    answer: callserver.Answer | None = None
    refusal: calls.Refusal | None = None
    sent: bool = False
    upstream_time: float = 0.0

    @property
    def failed(self):
        """Whether the upstream failed the request, or its answer was lost."""
        if self.answer is not None:
            return self.answer.status >= 500
        return self.sent

    @property
    def not_run(self):
        """Whether it is certain that the request did not and will not run."""
        refusal = self.refusal
        return (
            refusal is not None and refusal.ran is errors.Outcome.DID_NOT_RUN
        )


def fingerprint(attempt):
    """Return a hex digest that identifies a request when it is retried."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(attempt.method.encode())
    digest.update(attempt.target)
    digest.update(attempt.body.data)
    return digest.hexdigest()


def unknown_outcome(reason, detail=''):
    """Return the `Outcome` of a request that was sent and may have run.

    Args:
        reason: A `calls.Reason`.
        detail: Explanation for people; may be empty.
    """
    refusal = calls.Refusal(errors.Outcome.UNKNOWN, reason, detail=detail)
    return Outcome(refusal=refusal, sent=True)
