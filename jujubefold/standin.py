"""Stand-in for the platform's table service and object store.

For development and tests: it keeps all data in memory, injects faults and
counts its traffic. `PUT /_faults` sets a fault, `GET /_counts` reads the
counters; other requests go to the table service (`POST /`) or the bucket.
"""

import dataclasses
import enum
import http
import json
import signal
import socket
import threading
import time
import typing

import cheroot.wsgi
import msgspec
import typer

from jujubefold import clock
from jujubefold import decoding
from jujubefold import objectserver
from jujubefold import storelimit
from jujubefold import storereply
from jujubefold import tableserver

BUCKET = 'objects'
MAX_BODY_BYTES = 64 * 1024 * 1024
THREADS = 16
MAX_THREADS = 64
STOP_TIMEOUT_S = 1.0
_SOCKET_KEY = 'jujubefold.socket'


class Service(enum.StrEnum):
    """The two services of the platform."""

    TABLE = 'table'
    OBJECTS = 'objects'


class Mode(enum.StrEnum):
    """Effect of a fault on calls of a service.

    `DOWN` responds with 503 and `CLOSED` closes the connection, both without
    executing the call; `SLOW` waits before it executes the call;
    `ANSWER_LOST` executes the call and closes the connection.
    """

    NONE = 'none'
    DOWN = 'down'
    CLOSED = 'closed'
    SLOW = 'slow'
    ANSWER_LOST = 'answer-lost'


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """A fault of one service, the body of `PUT /_faults`.

    Args:
        seconds: How long `SLOW` waits.
        count: Number of calls affected; None until it is replaced.
        operation: Protocol operation affected; '' for all.
    """

    service: Service
    mode: Mode
    seconds: typing.Annotated[float, msgspec.Meta(ge=0, le=600)] = 0.0
    count: typing.Annotated[int, msgspec.Meta(ge=1)] | None = None
    operation: str = ''


@dataclasses.dataclass(slots=True)
class Counts:
    """Traffic of one service since the start.

    Args:
        arrived: All requests, also those that a fault rejected.
        reads: Read calls executed or throttled.
        writes: Write calls executed or throttled.
        rows_written: Rows and objects written or deleted.
        bytes_in: Bytes of request bodies.
        bytes_out: Bytes of response bodies.
        operations: Calls by protocol operation.
    """

    arrived: int = 0
    reads: int = 0
    writes: int = 0
    rows_written: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    operations: dict[str, int] = dataclasses.field(default_factory=dict)


class _Gateway(cheroot.wsgi.Gateway_10):
    """WSGI gateway that passes the socket, so that a fault can close it."""

    def get_environ(self):
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.req.conn.socket
        return environ


class _Server(cheroot.wsgi.Server):
    """WSGI server whose application may close connections."""

    def __init__(self, address, application):
        super().__init__(
            address,
            application,
            numthreads=THREADS,
            max=MAX_THREADS,
            request_queue_size=512,
            timeout=60,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self.gateway = _Gateway

    def error_log(self, msg='', level=20, traceback=False):
        """Discard the errors that closed connections cause."""


class Platform:
    """Serves both services on one port.

    Args:
        address: `(ip, port)` to listen on; port 0 picks a free one.
        writes_per_second: Most writes accepted a second; 0 for no limit.
        reads_per_second: Most reads accepted a second; 0 for no limit.
        time_source: A `clock.Clock`.
    """

    def __init__(
        self,
        address=('127.0.0.1', 0),
        writes_per_second=0.0,
        reads_per_second=0.0,
        time_source=None,
    ):
        self._clock = time_source or clock.SystemClock()
        self._lock = threading.Lock()
        self._table = tableserver.TableServer(self._clock)
        self._objects = objectserver.ObjectServer(BUCKET, self._clock)
        self._faults = {}
        self._counts = {service: Counts() for service in Service}
        now = self._clock.monotonic()
        self._buckets = {
            kind: storelimit.TokenBucket(rate, now, rate) if rate else None
            for kind, rate in (
                (storelimit.Kind.WRITE, writes_per_second),
                (storelimit.Kind.READ, reads_per_second),
            )
        }
        self._server = _Server(address, self._application)
        self._thread = None

    @property
    def address(self):
        """Bound address, `ip:port`; valid after `start`."""
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    @property
    def table_url(self):
        """Value of the setting `platform.table_url` for this stand-in."""
        return f'http://{self.address}/'

    @property
    def objects_url(self):
        """Value of the setting `platform.objects_url` for this stand-in."""
        return f'http://{self.address}/{BUCKET}'

    def start(self):
        """Bind and serve in a thread of its own."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name='platform', daemon=True
        )
        self._thread.start()

    def stop(self):
        """Stop serving and close all connections."""
        self._server.stop()
        self._thread.join(STOP_TIMEOUT_S)

    def set_fault(self, service, mode, seconds=0.0, count=None, operation=''):
        """Set the fault of a service, replacing the previous one."""
        fault = Fault(Service(service), Mode(mode), seconds, count, operation)
        with self._lock:
            self._faults[fault.service] = fault

    def counts(self):
        """Return a copy of the counters: a dict of `Counts` by `Service`."""
        with self._lock:
            return {
                service: dataclasses.replace(
                    counts, operations=dict(counts.operations)
                )
                for service, counts in self._counts.items()
            }

    def _application(self, environ, start_response):
        if environ['PATH_INFO'].startswith('/_'):
            return _respond(start_response, self._control(environ))
        body = _read_body(environ)
        if body is None:
            return _respond(start_response, _too_large_reply())
        return self._serve_call(environ, start_response, body)

    def _serve_call(self, environ, start_response, body):
        service, server = self._select_server(environ)
        operation, kind = server.operation(environ)
        fault = self._consume_fault(service, operation)
        if fault.mode is Mode.CLOSED:
            return _close_connection(environ)
        if fault.mode is Mode.DOWN:
            return _respond(start_response, server.unavailable())
        if fault.mode is Mode.SLOW:
            time.sleep(fault.seconds)
        with self._lock:
            reply = self._handle(server, environ, kind, body)
            self._add_counts(service, operation, kind, body, reply)
        if fault.mode is Mode.ANSWER_LOST:
            return _close_connection(environ)
        return _respond(start_response, reply)

    def _handle(self, server, environ, kind, body):
        bucket = self._buckets[kind]
        now = self._clock.monotonic()
        if bucket is not None and bucket.reserve(now, 0.0) is None:
            return server.throttled()
        return server.handle(environ, body)

    def _select_server(self, environ):
        if environ['PATH_INFO'] == '/':
            return Service.TABLE, self._table
        return Service.OBJECTS, self._objects

    def _consume_fault(self, service, operation):
        with self._lock:
            self._counts[service].arrived += 1
            fault = self._faults.get(service)
            if fault is None or fault.operation not in ('', operation):
                return Fault(service, Mode.NONE)
            if fault.count is not None:
                fault.count -= 1
                if fault.count == 0:
                    del self._faults[service]
            return fault

    def _add_counts(self, service, operation, kind, body, reply):
        counts = self._counts[service]
        if kind is storelimit.Kind.WRITE:
            counts.writes += 1
            counts.rows_written += reply.rows_written
        else:
            counts.reads += 1
        counts.bytes_in += len(body)
        counts.bytes_out += len(reply.body)
        previous = counts.operations.get(operation, 0)
        counts.operations[operation] = previous + 1

    def _control(self, environ):
        match environ['REQUEST_METHOD'], environ['PATH_INFO']:
            case 'GET', '/_counts':
                return _json_reply(200, self.counts())
            case 'GET', '/_faults':
                with self._lock:
                    return _json_reply(200, list(self._faults.values()))
            case 'PUT', '/_faults':
                return self._put_fault(_read_body(environ))
        return _json_reply(404, {'message': 'no such resource'})

    def _put_fault(self, body):
        try:
            fault = msgspec.json.decode(body or b'', type=Fault)
        except decoding.FAULTS as error:
            return _json_reply(400, {'message': str(error)})
        with self._lock:
            self._faults[fault.service] = fault
        return _json_reply(200, fault)


def _read_body(environ):
    if environ.get('HTTP_TRANSFER_ENCODING'):
        body = environ['wsgi.input'].read(MAX_BODY_BYTES + 1)
        return body if len(body) <= MAX_BODY_BYTES else None
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if length > MAX_BODY_BYTES:
        return None
    return environ['wsgi.input'].read(length)


def _respond(start_response, reply):
    status = http.HTTPStatus(reply.status)
    headers = [('Content-Length', str(len(reply.body)))]
    if reply.content_type:
        headers.append(('Content-Type', reply.content_type))
    start_response(f'{status.value} {status.phrase}', headers)
    return [reply.body]


def _close_connection(environ):
    environ[_SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    # Ends the request before a response starts; the server then finds the
    # connection closed.
    raise ConnectionResetError('connection closed by an injected fault')


def _json_reply(status, value):
    return storereply.Reply(
        status, msgspec.json.encode(value), 'application/json'
    )


def _too_large_reply():
    return storereply.Reply(413)


def _serve(
    listen: typing.Annotated[
        str, typer.Option(help='Address to listen on, ip:port.')
    ] = '127.0.0.1:0',
    writes_per_second: typing.Annotated[
        float, typer.Option(min=0, help='Most writes a second; 0: no limit.')
    ] = 0.0,
    reads_per_second: typing.Annotated[
        float, typer.Option(min=0, help='Most reads a second; 0: no limit.')
    ] = 0.0,
):
    """Serve a table service and an object store from memory.

    Prints one JSON line with the bound address, and exits on SIGTERM.
    """
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    platform = Platform(
        _parse_address(listen), writes_per_second, reads_per_second
    )
    try:
        platform.start()
    except OSError as error:
        raise typer.BadParameter(f'cannot listen on {listen}: {error}')
    print(
        json.dumps(
            {
                'address': platform.address,
                'table_url': platform.table_url,
                'objects_url': platform.objects_url,
            }
        ),
        flush=True,
    )
    stop_requested.wait()
    platform.stop()


def _parse_address(text):
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal() or int(port) > 65535:
        raise typer.BadParameter(f'{text!r} is not of the form ip:port')
    return host, int(port)


def main():
    """Run the console program."""
    typer.run(_serve)


if __name__ == '__main__':
    main()
