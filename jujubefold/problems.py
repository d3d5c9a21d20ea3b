"""Problem details (RFC 9457) that refused callers get."""

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
    calls.Reason.NO_ROUTE: 404,
    calls.Reason.KEY_RUNNING: 409,
    calls.Reason.KEY_UNKNOWN: 409,
    calls.Reason.TOO_LARGE: 413,
    calls.Reason.KEY_REUSED: 422,
    calls.Reason.SUSPECT_REQUEST: 422,
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
    """Body of a refusal.

    Args:
        type: URN that ends in the reason.
        outcome: What is known about whether the request ran.
        reason: One of `calls.Reason`.
        version: Configuration version used; 0 for none.
        retry_after: Seconds; 0 when asking again makes no sense.
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
    """The request that a problem is about."""

    request: str = ''
    version: int = 0


def status_of(refusal):
    """Return the HTTP status for a refusal."""
    return _STATUS.get(refusal.reason, _DEFAULT_STATUS)


def title_of(status):
    """Return the reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Client Closed Request'


def encode(refusal, subject, status=None):
    """Return the headers and body that tell a caller of a refusal.

    Args:
        refusal: A `calls.Refusal`.
        subject: A `RequestContext`.
        status: HTTP status when the reason alone does not give it.

    Returns:
        Status, list of header pairs and body, the last two as bytes.
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
            request=subject.request,
            version=subject.version,
            retry_after=refusal.retry_after,
        )
    )
    headers = [
        (b'content-type', MEDIA_TYPE),
        *outcome_headers(refusal.ran, refusal.reason, subject),
    ]
    if refusal.retry_after > 0:
        seconds = math.ceil(refusal.retry_after)
        headers.append((calls.RETRY_AFTER.encode(), b'%d' % seconds))
    return code, headers, body


def outcome_headers(ran, reason, subject):
    """Return the header pairs that state an outcome."""
    headers = [
        (b'jujubefold-outcome', ran.encode()),
        (b'jujubefold-version', b'%d' % subject.version),
        (b'jujubefold-request-id', subject.request.encode('latin-1')),
    ]
    if ran is not errors.Outcome.RAN or reason is not calls.Reason.NONE:
        headers.append((b'jujubefold-reason', reason.encode()))
    return headers
