"""Attempt: a caller's request on its way, and how an offer of it ends."""

import dataclasses

from jujubefold import calls
from jujubefold import callserver
from jujubefold import errors


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers with a meaning here, lower case.

    Args:
        request: Id of a request; answers of upstreams echo it.
        deadline: Milliseconds that the sender still waits.
        seal: Proves that an answer is the upstream's own.
        expected_upstream: Id of the only upstream that may run the request.
        not_run: Present on an answer if the upstream did not run it.
        caller: Service on whose VM the request began.
        retry_after: Seconds after which asking again makes sense.
    """

    request: bytes = b'jujubefold-request-id'
    deadline: bytes = b'jujubefold-deadline-ms'
    seal: bytes = b'jujubefold-seal'
    expected_upstream: bytes = b'jujubefold-expect-upstream'
    not_run: bytes = b'jujubefold-not-run'
    caller: bytes = b'jujubefold-caller-service'
    retry_after: bytes = b'retry-after'

    @property
    def reserved(self):
        """Names that callers can't set on what reaches an upstream."""
        return frozenset({self.deadline, self.expected_upstream, self.caller})


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A request as it is offered to gates.

    Args:
        key: Unique in this daemon.
        request: The caller's id.
        route: Route name.
        version: Configuration version that chose the route.
        rank: Lower ranks go first.
        idempotent: Whether it may run more than once.
        arrived_at: Monotonic seconds.
        objective_at: Monotonic seconds until which an answer is on time.
        deadline: Monotonic seconds at which the caller stops waiting.
        headers: End-to-end pairs, those of `HeaderNames.reserved` left out
            but for the caller's service.
        body: Whole body.
        may_queue: Whether it may wait for a slot.
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
    body: bytes
    may_queue: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How an offer ended.

    Args:
        answer: The upstream's whole `callserver.Answer`, or None.
        refusal: A `calls.Refusal` when there is no answer.
        sent: Whether an upstream may have been sent the request.
        upstream_time: Seconds that the upstream took for the answer.
    """

    answer: callserver.Answer | None = None
    refusal: calls.Refusal | None = None
    sent: bool = False
    upstream_time: float = 0.0

    @property
    def not_run(self):
        """Whether the request provably did not run and will not."""
        refusal = self.refusal
        return (
            refusal is not None and refusal.ran is errors.Outcome.DID_NOT_RUN
        )
