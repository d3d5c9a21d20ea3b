"""Answers: what an upstream's answer says of the request that it was sent."""

from jujubefold import calls
from jujubefold import errors
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import limiter

# Refusal of a request that reached another upstream than it was meant for, or
# none at all.
UNREACHABLE = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.NO_UPSTREAM,
    limiter.MIN_RETRY_AFTER_S,
    'the upstream is not accepting connections',
)

_SHED = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.UPSTREAM_SHED,
    limiter.MIN_RETRY_AFTER_S,
    'the upstream rejected the request without running it',
)
_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def interpret(answer, attempt, names, upstream_time):
    """Return the `attempt.Outcome` for an answer.

    Args:
        answer: The `callserver.Answer` that was received.
        attempt: The `attempt.Attempt` that was sent.
        names: `attempt.HeaderNames`.
        upstream_time: Seconds between sending and receiving.
    """
    fields = dict(answer.headers)
    if answer.reused and names.request not in fields:
        # It may be another copy of an earlier answer.
        return attempts.unknown_outcome(
            calls.Reason.UPSTREAM_GARBLED, 'an answer without an id'
        )
    if answer.status == _MISDIRECTED and names.seal not in fields:
        return attempts.Outcome(refusal=UNREACHABLE, sent=True)
    if names.not_run in fields:
        return attempts.Outcome(refusal=_SHED, sent=True)
    is_valid = names.request in fields and (
        names.seal in fields or answer.status not in _SUCCESS
    )
    if not is_valid or b'content-encoding' in fields:
        return attempts.unknown_outcome(calls.Reason.UPSTREAM_GARBLED)
    if answer.status in _NOT_RUN_STATUSES and not attempt.idempotent:
        # To the caller these statuses mean that it did not run.
        return attempts.unknown_outcome(calls.Reason.UPSTREAM_FAILED)
    return attempts.Outcome(
        answer=answer, sent=True, upstream_time=upstream_time
    )
