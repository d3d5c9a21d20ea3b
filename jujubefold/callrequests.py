"""Entry: from a caller's HTTP request to a call, or a true refusal."""

import asyncio
import hashlib
import re

import expression

from jujubefold import callclient
from jujubefold import calls
from jujubefold import errors
from jujubefold import hops

FINGERPRINT_BYTES = 16
HASHED_AT_ONCE_BYTES = 1024 * 1024
NO_VERSION_RETRY_S = 1.0
_MAX_DIGITS = 9
_LONGEST = b'9' * _MAX_DIGITS
_MS = 1000

_REQUEST_ID = re.compile(r'[A-Za-z0-9._:/+=-]{1,128}')
# A Structured Field string (RFC 8941), or the same characters without
# quotes, which many callers send.
_KEY = re.compile(r'"([!#-\[\]-~ ]{1,253})"|([!#-\[\]-~]{1,253})')


def read(request, mesh, now, rng):
    """Check a request against the version in force.

    Args:
        request: A `callserver.Request`.
        mesh: The pinned `mesh.Mesh`.
        now: Monotonic seconds.
        rng: A `random.Random` for new request ids.

    Returns:
        `Ok(calls.Call)`, or `Error(calls.Refusal)`; the fingerprint of a
        large body is left to `large_fingerprint`.
    """
    if not mesh.number:
        return _refused(
            calls.Reason.NO_VERSION,
            'no version of the configuration is in force here yet',
            NO_VERSION_RETRY_S,
        )
    route = mesh.match(request.host, request.path, request.method)
    if route is None:
        return _refused(calls.Reason.NO_ROUTE, 'no route matches')
    fields = request.fields
    depth = _number(fields.get(b'jujubefold-depth', b'0'))
    left = _number(fields.get(b'jujubefold-deadline-ms', _LONGEST))
    name = request_id(request, rng)
    key = _key(fields)
    idempotent = calls.is_idempotent(route, request.method)
    fault = _fault(depth, left, name, key)
    if fault is not None:
        return _refused(*fault)
    if route.requires_key and not idempotent and not key:
        return _refused(
            calls.Reason.KEY_REQUIRED,
            'this route needs an Idempotency-Key header',
        )
    large = request.size > HASHED_AT_ONCE_BYTES
    return expression.Ok(
        calls.Call(
            request=name,
            caller=request.peer.rpartition(':')[0],
            method=request.method,
            host=request.host,
            path=request.path,
            route=route,
            version=mesh.number,
            deadline=now + min(left / _MS, route.timeout.request),
            depth=depth,
            key=key,
            idempotent=idempotent,
            fingerprint='' if large else fingerprint(request, route),
        )
    )


def _fault(depth, left, name, key):
    """Return reason and detail of what a caller's headers get wrong."""
    if depth is None or left is None:
        return calls.Reason.MALFORMED, 'depth or deadline malformed'
    if depth >= calls.MAX_DEPTH:
        return calls.Reason.TOO_DEEP, 'calls nest too deep'
    if left == 0:
        return calls.Reason.DEADLINE, 'the deadline has passed'
    if name is None:
        return calls.Reason.MALFORMED, 'request id malformed'
    if key is None:
        return calls.Reason.MALFORMED, 'idempotency key malformed'
    return None


def request_id(request, rng):
    """Return the caller's request id, a new one, or None if malformed."""
    value = request.fields.get(b'jujubefold-request-id')
    if value is None:
        return f'{rng.getrandbits(64):016x}'
    text = value.decode('latin-1')
    return text if _REQUEST_ID.fullmatch(text) else None


def fingerprint(request, route):
    """Return the digest that is equal for the same request sent again.

    Args:
        request: A `callserver.Request`.
        route: The matched `mesh.Route`. When it takes any host, callers
            may name daemons by address and send again to another one.
    """
    digest = _digest(request, route)
    for piece in request.chunks:
        digest.update(piece)
    return digest.hexdigest()


async def large_fingerprint(request, route):
    """Return the same as `fingerprint`, letting others run meanwhile."""
    digest = _digest(request, route)
    hashed = 0
    for piece in request.chunks:
        digest.update(piece)
        hashed += len(piece)
        if hashed > HASHED_AT_ONCE_BYTES:
            hashed = 0
            await asyncio.sleep(0)
    return digest.hexdigest()


def _digest(request, route):
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(
        b'%b\0%b\0%b\0'
        % (request.method.encode(), route.host.encode(), request.target)
    )
    return digest


def message(request, route):
    """Return the request as it is passed on.

    Args:
        request: A `callserver.Request`.
        route: The `mesh.Route` whose header rule applies.
    """
    headers = hops.public_headers(
        callclient.end_to_end_headers(request.headers)
    )
    rule = route.headers
    if rule.set or rule.remove:
        headers = _ruled(headers, rule)
    return callclient.OutboundRequest(
        request.method, request.target, headers, request.chunks, request.size
    )


def _ruled(headers, rule):
    added = [
        (name.lower().encode('latin-1'), value.encode('latin-1'))
        for name, value in rule.set
    ]
    gone = {name.lower().encode('latin-1') for name in rule.remove}
    gone.update(name for name, _ in added)
    kept = [pair for pair in headers if pair[0] not in gone]
    return kept + added


def _key(fields):
    """Return the idempotency key, '' without one, None if malformed."""
    value = fields.get(b'idempotency-key')
    if value is None:
        return ''
    found = _KEY.fullmatch(value.decode('latin-1').strip())
    if found is None:
        return None
    return found[1] or found[2]


def _number(value):
    if not value.isdigit() or len(value) > _MAX_DIGITS:
        return None
    return int(value)


def _refused(reason, detail, retry_after=0.0):
    return expression.Error(
        calls.Refusal(errors.Ran.DID_NOT_RUN, reason, retry_after, detail)
    )
