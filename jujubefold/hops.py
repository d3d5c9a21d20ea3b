"""Hops: metadata that daemons and upstreams exchange with requests."""

import typing

import msgspec

from jujubefold import calls
from jujubefold import decoding
from jujubefold import mesh

HOP_HEADER = b'jujubefold-hop'
ATTEMPT_HEADER = calls.ATTEMPT.encode()
TARGET_HEADER = b'jujubefold-target'
PRIVATE_PREFIX = b'jujubefold-'

BAR_PATH = '/_jujubefold/bar'
JOIN_PATH = '/_jujubefold/join'
CANCEL_PATH = '/_jujubefold/cancel'

_MS_PER_S = 1000

ShortText = typing.Annotated[str, msgspec.Meta(max_length=255)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]


class Hop(msgspec.Struct, frozen=True, array_like=True):
    """Description of an attempt, sent to the receiving daemon.

    The receiver does not match the request to a route again: the sender's
    version of the configuration applies from the first daemon to the
    upstream.

    Args:
        vm: VM name of the sender.
        incarnation: Incarnation of the sender.
        sequence: Sequence number of the attempt.
        request: Request id.
        caller: Name of the caller.
        host: Requested host.
        route: Route name.
        version: Number of the version that the route is from.
        priority: Priority of the route.
        remaining_ms: Milliseconds until the caller stops waiting.
        attempt_timeout_ms: Milliseconds without progress that the route
            allows.
        depth: Hops from the first caller.
        allowance: Retries that the calls below may make.
        key: Idempotency key; '' for none.
        idempotent: Whether the request may run twice.
        fingerprint: Digest of the request.
    """

    vm: ShortText
    incarnation: Count
    sequence: Count
    request: ShortText
    caller: ShortText
    host: ShortText
    route: ShortText
    version: Count
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)]
    remaining_ms: Milliseconds
    attempt_timeout_ms: Milliseconds
    depth: typing.Annotated[int, msgspec.Meta(ge=0, le=calls.MAX_DEPTH)]
    allowance: typing.Annotated[int, msgspec.Meta(ge=0, le=999)]
    key: ShortText
    idempotent: bool
    fingerprint: ShortText


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Hop)


def encode(attempt, allowance, now):
    """Return the value of the header `HOP_HEADER`.

    Args:
        attempt: A `calls.Attempt`.
        allowance: Retries that the calls below may make.
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
            remaining_ms=milliseconds(call.deadline - now),
            attempt_timeout_ms=milliseconds(route.timeout.attempt),
            depth=call.depth,
            allowance=allowance,
            key=call.key,
            idempotent=call.idempotent,
            fingerprint=call.fingerprint,
        )
    )


def decode(value):
    """Decode the value of the header `HOP_HEADER`.

    Args:
        value: Untrusted bytes from another daemon.

    Returns:
        `Ok(Hop)` or `Error(errors.Invalid)`.
    """
    return decoding.decode(_decoder, value, 'hop')


def to_attempt(hop, request, routes, now):
    """Return the `calls.Attempt` that a hop describes.

    Args:
        hop: A `Hop`.
        request: The `callserver.Request` that carried the hop.
        routes: Dict that caches routes by the fields of a hop; updated here.
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
        deadline=now + hop.remaining_ms / _MS_PER_S,
        depth=hop.depth,
        key=hop.key,
        idempotent=hop.idempotent,
        fingerprint=hop.fingerprint,
    )
    attempt_id = calls.AttemptId(hop.vm, hop.incarnation, hop.sequence)
    return calls.Attempt(attempt_id, call)


def parse_attempt_id(value):
    """Parse the text form of a `calls.AttemptId`; None if it is malformed.

    Args:
        value: Untrusted bytes from another daemon.
    """
    parts = value.decode('latin-1').split('/')
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return calls.AttemptId(parts[0], int(parts[1]), int(parts[2]))


def milliseconds(seconds):
    """Convert seconds to whole milliseconds, at least 0."""
    return max(0, int(seconds * _MS_PER_S))


def context_headers(call, allowance, now):
    """Return the headers that give an upstream the context of a request.

    Args:
        call: The `calls.Call`.
        allowance: Retries that the calls below may make.
        now: Monotonic seconds.
    """
    remaining_ms = milliseconds(call.deadline - now)
    return (
        (b'jujubefold-request-id', call.request.encode('latin-1')),
        (b'jujubefold-deadline-ms', b'%d' % remaining_ms),
        (b'jujubefold-depth', b'%d' % (call.depth + 1)),
        (b'jujubefold-retry-budget', b'%d' % allowance),
        (b'jujubefold-version', b'%d' % call.version),
    )


def public_headers(headers):
    """Return the header pairs whose names lack `PRIVATE_PREFIX`."""
    return [pair for pair in headers if not pair[0].startswith(PRIVATE_PREFIX)]


def _route(hop, routes):
    key = (hop.route, hop.priority, hop.attempt_timeout_ms)
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
            timeout=mesh.TimeoutPolicy(
                attempt=hop.attempt_timeout_ms / _MS_PER_S
            ),
            headers=mesh.HeaderRule(),
            priority=hop.priority,
        )
    return found
