"""Call requests: parses and validates callers' HTTP requests."""

import asyncio
import hashlib
import re

import expression

from jujubefold import callclient
from jujubefold import calls
from jujubefold import errors
from jujubefold import hops
from jujubefold import httpheads

FINGERPRINT_BYTES = 16
HASH_CHUNK_BYTES = 1024 * 1024
NO_VERSION_RETRY_AFTER_S = 1.0
_MAX_DIGITS = 9
_NO_DEADLINE_MS = b'9' * _MAX_DIGITS
_MS = 1000

_REQUEST_ID = re.compile(r'[A-Za-z0-9._:/+=-]{1,128}')
# A Structured Field string (RFC 8941), or the same characters without
# quotes, as many callers send the key.
_IDEMPOTENCY_KEY = re.compile(r'"([!#-\[\]-~ ]{1,253})"|([!#-\[\]-~]{1,253})')


def parse(request, mesh, now, rng):
    """Match a request to a route, validate its headers and build its call.

    Args:
        request: A `callserver.Request`.
        mesh: The `mesh.Mesh` in force, which the call keeps to.
        now: Monotonic seconds.
        rng: A `random.Random` for new request ids.

    Returns:
        `Ok(calls.Call)` or `Error(calls.Refusal)`. The fingerprint of a
        request whose body exceeds `HASH_CHUNK_BYTES` is '': compute it with
        `fingerprint_async`.
    """
    if not mesh.number:
        return _refusal(
            calls.Reason.NO_VERSION,
            'this daemon has no configuration version in force yet',
            NO_VERSION_RETRY_AFTER_S,
        )
    route = mesh.match(request.host, request.path, request.method)
    if route is None:
        return _refusal(calls.Reason.NO_ROUTE, 'no route matches')
    fields = request.fields
    depth = _parse_number(fields.get(b'jujubefold-depth', b'0'))
    deadline_ms = _parse_number(
        fields.get(b'jujubefold-deadline-ms', _NO_DEADLINE_MS)
    )
    parsed_id = request_id(request, rng)
    key = _parse_key(fields)
    idempotent = calls.is_idempotent(route, request.method)
    error = _validation_error(depth, deadline_ms, parsed_id, key)
    if error is not None:
        return _refusal(*error)
    if route.requires_key and not idempotent and not key:
        return _refusal(
            calls.Reason.KEY_REQUIRED,
            'this route needs an Idempotency-Key header',
        )
    large = request.size > HASH_CHUNK_BYTES
    return expression.Ok(
        calls.Call(
            request=parsed_id,
            caller=request.peer.rpartition(':')[0],
            method=request.method,
            host=request.host,
            path=request.path,
            route=route,
            version=mesh.number,
            deadline=now + min(deadline_ms / _MS, route.timeout.request),
            depth=depth,
            key=key,
            idempotent=idempotent,
            fingerprint='' if large else fingerprint(request, route),
        )
    )


def _validation_error(depth, deadline_ms, parsed_id, key):
    """Return the reason and detail of the first invalid header, or None."""
    if depth is None or deadline_ms is None:
        return (
            calls.Reason.MALFORMED,
            'jujubefold-depth or jujubefold-deadline-ms header malformed',
        )
    if depth >= calls.MAX_DEPTH:
        return calls.Reason.TOO_DEEP, 'calls are nested too deeply'
    if deadline_ms == 0:
        return calls.Reason.DEADLINE, 'the deadline has passed'
    if parsed_id is None:
        return (
            calls.Reason.MALFORMED,
            'jujubefold-request-id header malformed',
        )
    if key is None:
        return calls.Reason.MALFORMED, 'Idempotency-Key header malformed'
    return None


def request_id(request, rng):
    """Return the request's id: the caller's, or a new one.

    Returns:
        The id, or None if the caller's is malformed.
    """
    value = request.fields.get(b'jujubefold-request-id')
    if value is None:
        return f'{rng.getrandbits(64):016x}'
    text = value.decode('latin-1')
    return text if _REQUEST_ID.fullmatch(text) else None


def fingerprint(request, route):
    """Return a hex digest that is the same for a repeated request.

    The host of the route is hashed, not that of the request: callers of a
    route for any host may address daemons directly and repeat a request at
    another daemon.

    Args:
        request: A `callserver.Request`.
        route: The matched `mesh.Route`.
    """
    digest = _new_digest(request, route)
    for piece in request.chunks:
        digest.update(piece)
    return digest.hexdigest()


async def fingerprint_async(request, route):
    """Return the `fingerprint` without blocking the event loop for long."""
    digest = _new_digest(request, route)
    hashed = 0
    for piece in request.chunks:
        digest.update(piece)
        hashed += len(piece)
        if hashed > HASH_CHUNK_BYTES:
            hashed = 0
            await asyncio.sleep(0)
    return digest.hexdigest()


def _new_digest(request, route):
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(
        b'%b\0%b\0%b\0'
        % (request.method.encode(), route.host.encode(), request.target)
    )
    return digest


def forwarded_message(request, route):
    """Return the `callclient.ClientRequest` that forwards a request.

    Args:
        request: A `callserver.Request`.
        route: The `mesh.Route` whose header rule is applied.
    """
    headers = hops.public_headers(
        httpheads.end_to_end_headers(request.headers)
    )
    rule = route.headers
    if rule.set or rule.remove:
        headers = _apply_header_rule(headers, rule)
    return callclient.ClientRequest(
        request.method, request.target, headers, request.chunks, request.size
    )


def _apply_header_rule(headers, rule):
    added = [
        (name.lower().encode('latin-1'), value.encode('latin-1'))
        for name, value in rule.set
    ]
    replaced = {name.lower().encode('latin-1') for name in rule.remove}
    replaced.update(name for name, _ in added)
    kept = [pair for pair in headers if pair[0] not in replaced]
    return kept + added


def _parse_key(fields):
    """Return the idempotency key, '' for none, or None if malformed."""
    value = fields.get(b'idempotency-key')
    if value is None:
        return ''
    found = _IDEMPOTENCY_KEY.fullmatch(value.decode('latin-1').strip())
    if found is None:
        return None
    return found[1] or found[2]


def _parse_number(value):
    if not value.isdigit() or len(value) > _MAX_DIGITS:
        return None
    return int(value)


def _refusal(reason, detail, retry_after=0.0):
    return expression.Error(
        calls.Refusal(errors.Outcome.DID_NOT_RUN, reason, retry_after, detail)
    )
