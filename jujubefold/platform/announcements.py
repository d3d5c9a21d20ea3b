"""Calls that arrive here: announcements, readiness and metrics."""

import urllib.parse

import msgspec

from jujubefold import callserver
from jujubefold.sidecar import instance

PATH = '/api/rpc'
READINESS_PATH = '/api/readiness'
METRICS_PATH = '/metrics'
HEARTBEAT = 'instances.heartbeat'
DEREGISTER = 'instances.deregister'
_MAX_BODY_BYTES = 64 * 1024


class _Info(msgspec.Struct):
    service: str
    slots: int


class _Status(msgspec.Struct):
    state: instance.State
    sequence: int
    cold_remaining_s: float = 0.0


class _Heartbeat(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    # Unix milliseconds of the instance's start.
    born: int = 0


class _LastWord(msgspec.Struct):
    born: int | None = None


_decoder = msgspec.json.Decoder(_Heartbeat)
_last_word_decoder = msgspec.json.Decoder(_LastWord)


class Announcements:
    """Takes what the upstream says of itself.

    Args:
        registrar: The `registrar.Registrar`.
        service: Service of the upstream on this VM.
        address: Where it listens.
    """

    def __init__(self, registrar, service, address):
        self._registrar = registrar
        self._service = service
        self._address = address

    def body_limit(self, request):
        """Return the most bytes that a body may have."""
        return _MAX_BODY_BYTES

    def handle(self, exchange):
        """Serve one call."""
        request = exchange.request
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition(b'?')[2].decode('latin-1')
            )
        )
        name = query.get('of', '')
        call = query.get('call')
        if request.path != PATH or not name:
            exchange.reply(_json(404))
        elif call == HEARTBEAT:
            self._announced(exchange, name, b''.join(request.chunks))
        elif call == DEREGISTER:
            self._registrar.deregistered(
                name,
                _born(b''.join(request.chunks)),
                _acknowledging(exchange),
            )
        else:
            exchange.reply(_json(404))

    def _announced(self, exchange, name, body):
        said = _read(name, body)
        if (
            said is None
            or said.service != self._service
            or said.address != self._address
        ):
            exchange.reply(_json(400))
            return
        self._registrar.announced(said, _acknowledging(exchange))


def _read(name, body):
    """Return the `instance.Announcement` in a body, or None."""
    try:
        said = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError):
        return None
    if said.info.slots < 1:
        return None
    return instance.Announcement(
        name,
        said.address,
        said.info.service,
        said.info.slots,
        said.status.state,
        said.status.sequence,
        said.born,
        max(0.0, said.status.cold_remaining_s),
    )


def _born(body):
    """Return the start in a body, or None when there is none."""
    try:
        return _last_word_decoder.decode(body).born
    except (msgspec.DecodeError, UnicodeError):
        return None


def _acknowledging(exchange):
    return lambda: exchange.reply(_json(200))


class Page:
    """Serves one path.

    Args:
        path: The path.
        answer: Called without arguments, returns status and body.
    """

    def __init__(self, path, answer):
        self._path = path
        self._answer = answer

    def body_limit(self, request):
        """Return the most bytes that a body may have."""
        return _MAX_BODY_BYTES

    def handle(self, exchange):
        """Serve one call."""
        if exchange.request.path != self._path:
            exchange.reply(_json(404))
            return
        status, body = self._answer()
        exchange.reply(callserver.Answer(status, [], [body], len(body)))


def readiness(is_ready):
    """Return the handler of the platform's question for readiness."""
    return Page(READINESS_PATH, lambda: (200 if is_ready() else 503, b''))


def metrics(render):
    """Return the handler of scrapers."""
    return Page(METRICS_PATH, lambda: (200, render()))


def _json(status):
    headers = [(b'content-type', b'application/json')]
    return callserver.Answer(status, headers, [b'{}'], 2)
