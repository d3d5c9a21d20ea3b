"""Hops: what daemons and upstreams tell each other beside a request."""

import typing

import expression
import msgspec

from jujubefold import calls
from jujubefold import errors
from jujubefold import mesh

HOP_HEADER = b'jujubefold-hop'
ATTEMPT_HEADER = calls.ATTEMPT.encode()
TARGET_HEADER = b'jujubefold-target'
PRIVATE_PREFIX = b'jujubefold-'

BAR_PATH = '/_jujubefold/bar'
JOIN_PATH = '/_jujubefold/join'
CANCEL_PATH = '/_jujubefold/cancel'

_MS = 1000

Short = typing.Annotated[str, msgspec.Meta(max_length=255)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]


class Hop(msgspec.Struct, frozen=True, array_like=True):
    """One attempt, as its sender describes it to the receiving daemon.

    The receiver does not match the request again: the sender's version of
    the configuration holds from the first daemon to the upstream.

    Args:
        vm: Sender's VM.
        incarnation: Sender's incarnation.
        sequence: The attempt's number.
        left_ms: Milliseconds until the caller stops waiting.
        attempt_ms: Milliseconds without progress that the route allows.
        allowance: Retries that calls below may make.
    """

    vm: Short
    incarnation: Count
    sequence: Count
    request: Short
    caller: Short
    host: Short
    route: Short
    version: Count
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)]
    left_ms: Milliseconds
    attempt_ms: Milliseconds
    depth: typing.Annotated[int, msgspec.Meta(ge=0, le=calls.MAX_DEPTH)]
    allowance: typing.Annotated[int, msgspec.Meta(ge=0, le=999)]
    key: Short
    idempotent: bool
    fingerprint: Short


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Hop)


def encode(attempt, allowance, now):
    """Return the value of the `HOP_HEADER` header.

    Args:
        attempt: A `calls.Attempt`.
        allowance: Retries that calls below may make.
        now: Monotonic seconds.
    """
    call = attempt.call
    route = call.route
    return _encoder.encode(
        Hop(
            vm=attempt.id.vm,
            incarnation=attempt.id.incarnation,
            sequence=attempt.id.sequence,
            request=call.request,
            caller=call.caller,
            host=call.host,
            route=route.name,
            version=call.version,
            priority=route.priority,
            left_ms=milliseconds(call.deadline - now),
            attempt_ms=milliseconds(route.timeout.attempt),
            depth=call.depth,
            allowance=allowance,
            key=call.key,
            idempotent=call.idempotent,
            fingerprint=call.fingerprint,
        )
    )


def decode(value):
    """Return the `Hop` in a header value.

    Args:
        value: Bytes from another daemon, not trusted.

    Returns:
        `Ok(Hop)` or `Error(errors.Invalid)`.
    """
    try:
        return expression.Ok(_decoder.decode(value))
    except (msgspec.DecodeError, UnicodeError) as error:
        return expression.Error(errors.Invalid(str(error), 'hop'))


def to_attempt(hop, request, routes, now):
    """Return the attempt that a hop describes.

    Args:
        hop: A `Hop`.
        request: The `callserver.Request` that it came with.
        routes: Cache of routes by what hops say of them, changed here.
        now: Monotonic seconds.
    """
    call = calls.Call(
        request=hop.request,
        caller=hop.caller,
        method=request.method,
        host=hop.host,
        path=request.path,
        route=_route(hop, routes),
        version=hop.version,
        deadline=now + hop.left_ms / _MS,
        depth=hop.depth,
        key=hop.key,
        idempotent=hop.idempotent,
        fingerprint=hop.fingerprint,
    )
    name = calls.AttemptId(hop.vm, hop.incarnation, hop.sequence)
    return calls.Attempt(name, call)


def parse_attempt_id(value):
    """Return the `calls.AttemptId` written as `str`, or None.

    Args:
        value: Bytes from another daemon, not trusted.
    """
    parts = value.decode('latin-1').split('/')
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return calls.AttemptId(parts[0], int(parts[1]), int(parts[2]))


def milliseconds(seconds):
    """Return whole milliseconds, never below 0."""
    return max(0, int(seconds * _MS))


def context_headers(call, allowance, now):
    """Return the header pairs that tell an upstream about its request.

    Args:
        call: The `calls.Call`.
        allowance: Retries that calls below may make.
        now: Monotonic seconds.
    """
    left = milliseconds(call.deadline - now)
    return (
        (b'jujubefold-request-id', call.request.encode('latin-1')),
        (b'jujubefold-deadline-ms', b'%d' % left),
        (b'jujubefold-depth', b'%d' % (call.depth + 1)),
        (b'jujubefold-retry-budget', b'%d' % allowance),
        (b'jujubefold-version', b'%d' % call.version),
    )


def public_headers(headers):
    """Return the pairs that are not this system's own."""
    return [pair for pair in headers if not pair[0].startswith(PRIVATE_PREFIX)]


def _route(hop, routes):
    key = (hop.route, hop.priority, hop.attempt_ms)
    found = routes.get(key)
    if found is None:
        if len(routes) >= 1024:
            routes.clear()
        found = routes[key] = mesh.Route(
            name=hop.route,
            host='*',
            path='/',
            methods=(),
            targets=(),
            retry=mesh.RetryPolicy(),
            limit=mesh.LimitPolicy(),
            timeout=mesh.TimeoutPolicy(attempt=hop.attempt_ms / _MS),
            headers=mesh.HeaderRule(),
            priority=hop.priority,
        )
    return found
