"""Request handlers for announcements, readiness checks and metrics."""

import re
import typing
import urllib.parse

import msgspec

from jujubefold import callhandler
from jujubefold import callserver
from jujubefold import decoding
from jujubefold.sidecar import instance

PATH = '/api/rpc'
READINESS_PATH = '/api/readiness'
METRICS_PATH = '/metrics'
HEARTBEAT = 'instances.heartbeat'
DEREGISTER = 'instances.deregister'
_MAX_BODY_BYTES = 64 * 1024
# An id is sent to its instance in a header.
_ID = re.compile(r'[!-~]{1,200}')

_Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
_ColdSeconds = typing.Annotated[float, msgspec.Meta(le=86_400.0)]


class _Info(msgspec.Struct):
    service: str
    slots: _Slots
    # Version of the software; heartbeats of old instances have none.
    version: str = ''


class _Status(msgspec.Struct):
    state: instance.State
    sequence: decoding.Count
    cold_remaining_s: _ColdSeconds = 0.0


class _Heartbeat(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    # Unix milliseconds of the instance's start; 0 if not sent.
    born: decoding.UnixMilliseconds = 0


class _Deregistration(msgspec.Struct):
    born: decoding.UnixMilliseconds | None = None


_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)
_deregistration_decoder = msgspec.json.Decoder(_Deregistration)


class AnnouncementHandler(callhandler.Handler):
    """Decodes the upstream's heartbeats and deregistrations.

    Args:
        receiver: The `announcements.AnnouncementReceiver`.
        service: Service of the upstream on this VM.
        address: `ip:port` that the upstream listens at.
    """

    def __init__(self, receiver, service, address):
        self._receiver = receiver
        self._service = service
        self._address = address

    def body_limit(self, request):
        """Return the maximum size of a request body in bytes."""
        return _MAX_BODY_BYTES

    def handle(self, exchange):
        """Answer one request."""
        request = exchange.request
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition(b'?')[2].decode('latin-1')
            )
        )
        upstream_id = query.get('of', '')
        call = query.get('call')
        if request.path != PATH or not upstream_id:
            exchange.reply(_empty_json(404))
        elif not _ID.fullmatch(upstream_id):
            exchange.reply(_empty_json(400))
        elif call == HEARTBEAT:
            self._handle_heartbeat(
                exchange, upstream_id, b''.join(request.chunks)
            )
        elif call == DEREGISTER:
            self._handle_deregistration(
                exchange, upstream_id, b''.join(request.chunks)
            )
        else:
            exchange.reply(_empty_json(404))

    def _handle_deregistration(self, exchange, upstream_id, body):
        deregistration = _decode_deregistration(body)
        if deregistration is None:
            exchange.reply(_empty_json(400))
            return
        self._receiver.handle_deregistration(
            upstream_id, deregistration.born, _acknowledger(exchange)
        )

    def _handle_heartbeat(self, exchange, upstream_id, body):
        announcement = _decode_heartbeat(upstream_id, body)
        if (
            announcement is None
            or announcement.service != self._service
            or announcement.address != self._address
        ):
            exchange.reply(_empty_json(400))
            return
        self._receiver.handle_announcement(
            announcement, _acknowledger(exchange)
        )


def _decode_heartbeat(upstream_id, body):
    """Return the `instance.Announcement` in a body; None if it is invalid."""
    found = decoding.decode(_heartbeat_decoder, body, HEARTBEAT)
    if found.is_error():
        return None
    heartbeat = found.ok
    return instance.Announcement(
        upstream_id,
        heartbeat.address,
        heartbeat.info.service,
        heartbeat.info.slots,
        heartbeat.status.state,
        heartbeat.status.sequence,
        heartbeat.born,
        max(0.0, heartbeat.status.cold_remaining_s),
        heartbeat.info.version,
    )


def _decode_deregistration(body):
    """Return the `_Deregistration` in a body; None if it is invalid."""
    if not body:
        return _Deregistration()
    found = decoding.decode(_deregistration_decoder, body, DEREGISTER)
    return found.ok if found.is_ok() else None


def _acknowledger(exchange):
    return lambda: exchange.reply(_empty_json(200))


class PageHandler(callhandler.Handler):
    """Answers requests for one path, and others with status 404.

    Args:
        path: Path that is answered.
        answer: Called without arguments; returns status and body.
    """

    def __init__(self, path, answer):
        self._path = path
        self._answer = answer

    def body_limit(self, request):
        """Return the maximum size of a request body in bytes."""
        return _MAX_BODY_BYTES

    def handle(self, exchange):
        """Answer one request."""
        if exchange.request.path != self._path:
            exchange.reply(_empty_json(404))
            return
        status, body = self._answer()
        exchange.reply(callserver.Answer(status, [], [body], len(body)))


def readiness(is_ready):
    """Return the handler of the platform's readiness checks.

    Args:
        is_ready: Called without arguments; returns whether the daemon is
            ready.
    """
    return PageHandler(
        READINESS_PATH, lambda: (200 if is_ready() else 503, b'')
    )


def metrics(render):
    """Return the handler of requests for metrics.

    Args:
        render: Called without arguments; returns the metrics as bytes.
    """
    return PageHandler(METRICS_PATH, lambda: (200, render()))


def _empty_json(status):
    headers = [(b'content-type', b'application/json')]
    return callserver.Answer(status, headers, [b'{}'], 2)
