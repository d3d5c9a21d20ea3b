"""Problem details (RFC 9457): encodes refusals as HTTP answers."""

import dataclasses
import http
import math

import msgspec

from jujubefold import calls
from jujubefold import errors

MEDIA_TYPE = b'application/problem+json'
TYPE_PREFIX = 'urn:jujubefold:problem:'

_STATUS = {
    calls.Reason.MALFORMED: 400,
    calls.Reason.KEY_REQUIRED: 400,
    calls.Reason.UNAUTHENTICATED: 401,
    calls.Reason.NO_ROUTE: 404,
    calls.Reason.KEY_RUNNING: 409,
    calls.Reason.KEY_UNKNOWN: 409,
    calls.Reason.TOO_LARGE: 413,
    calls.Reason.KEY_REUSED: 422,
    calls.Reason.SUSPECT_REQUEST: 422,
    calls.Reason.QUOTA: 429,
    calls.Reason.TOO_DEEP: 508,
    calls.Reason.DEADLINE: 504,
    calls.Reason.UPSTREAM_CUT: 502,
    calls.Reason.UPSTREAM_SILENT: 504,
    calls.Reason.UPSTREAM_GARBLED: 502,
    calls.Reason.UPSTREAM_FAILED: 502,
    calls.Reason.PEER_LOST: 502,
    calls.Reason.CANCELLED: 499,
}
_DEFAULT_STATUS = 503


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """JSON body of a refusal.

    Args:
        type: URN that ends in the reason.
        title: Reason phrase of the HTTP status.
        status: HTTP status.
        detail: Explanation of this refusal, one sentence.
        outcome: Whether the request ran, a value of `errors.Outcome`.
        reason: A value of `calls.Reason`.
        request: Request id; '' if unknown.
        version: Configuration version used; 0 for none.
        retry_after: Seconds after which a retry may succeed; 0 for no
            retry.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    reason: str
    request: str = ''
    version: int = 0
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """What an answer states about its request.

    Args:
        request: Request id; '' if unknown.
        version: Configuration version used; 0 for none.
    """

    request: str = ''
    version: int = 0


def status_of(refusal):
    """Return the HTTP status for a refusal.

    A request that was not sent to another daemon did not run, so its caller
    may send it again: 503.
    """
    if (
        refusal.reason is calls.Reason.PEER_LOST
        and refusal.ran is errors.Outcome.DID_NOT_RUN
    ):
        return _DEFAULT_STATUS
    return _STATUS.get(refusal.reason, _DEFAULT_STATUS)


def title_of(status):
    """Return the reason phrase of an HTTP status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Client Closed Request'


def encode(refusal, context, status=None):
    """Encode a refusal as an HTTP answer.

    Args:
        refusal: A `calls.Refusal`.
        context: A `RequestContext`.
        status: HTTP status if the reason alone does not determine it.

    Returns:
        Tuple of the status, a list of header pairs as bytes, and the body
        as bytes.
    """
    code = status or status_of(refusal)
    body = msgspec.json.encode(
        Problem(
            type=TYPE_PREFIX + refusal.reason,
            title=title_of(code),
            status=code,
            detail=refusal.detail or refusal.reason.replace('-', ' '),
            outcome=refusal.ran,
            reason=refusal.reason,
            request=context.request,
            version=context.version,
            retry_after=refusal.retry_after,
        )
    )
    headers = [
        (b'content-type', MEDIA_TYPE),
        *outcome_headers(refusal.ran, refusal.reason, context),
    ]
    if refusal.retry_after > 0:
        seconds = math.ceil(refusal.retry_after)
        headers.append((calls.RETRY_AFTER.encode(), b'%d' % seconds))
    return code, headers, body


def outcome_headers(ran, reason, context):
    """Return the header pairs that state a call's outcome.

    Args:
        ran: An `errors.Outcome`.
        reason: A `calls.Reason`.
        context: A `RequestContext`.
    """
    headers = [
        (b'jujubefold-outcome', ran.encode()),
        (b'jujubefold-version', b'%d' % context.version),
        (b'jujubefold-request-id', context.request.encode('latin-1')),
    ]
    if ran is not errors.Outcome.RAN or reason is not calls.Reason.NONE:
        headers.append((b'jujubefold-reason', reason.encode()))
    return headers
