"""Operators' HTTP API of a daemon, served by cheroot in its own threads."""

import dataclasses
import http
import re
import threading
import typing
import urllib.parse

from cheroot.ssl import builtin
from cheroot import wsgi

from jujubefold import adminmodels
from jujubefold import errors

MAX_BODY_BYTES = 4 * 1024 * 1024
THREADS = 4
JSON = 'application/json'
PROBLEM = 'application/problem+json'


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of the API, parsed and with its body read.

    Args:
        path: Path segments that the endpoint's pattern captured.
        query: Query parameters, last value of each.
        body: Whole body.
        operator: Common name of the client certificate; '' without TLS.
    """

    path: tuple[str, ...]
    query: dict[str, str]
    body: bytes
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One response of the API."""

    status: int
    body: bytes
    content_type: str = JSON


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A method and path pattern with the function that handles them.

    Args:
        pattern: Regular expression of the whole path.
        handler: Takes a `Request`, returns a `Response`; runs in a thread
            of the server.
    """

    method: str
    pattern: re.Pattern
    handler: typing.Callable[[Request], Response]


class TlsAdapter(builtin.BuiltinSSLAdapter):
    """SSL adapter of cheroot that requires client certificates.

    Args:
        tls: A `settings.Tls`.
        server: A `trust.ServerContext`, which reloads changed files.
    """

    def __init__(self, tls, server):
        super().__init__(str(tls.certificate), str(tls.key))
        self.context = server.context


def endpoint(method, path, handler):
    """Return an `Endpoint`; each `{}` in its path captures one segment."""
    pattern = re.escape(path).replace(r'\{\}', '([^/]+)')
    return Endpoint(method, re.compile(pattern), handler)


def ok(model, status=http.HTTPStatus.OK):
    """Return a response that carries a model as JSON."""
    return Response(int(status), adminmodels.encode(model))


def problem(status, kind, detail, **members):
    """Return a response that carries a problem document.

    Args:
        status: HTTP status.
        kind: Last part of the problem type's URN.
        detail: One sentence for the operator.
        members: Further fields of `adminmodels.Problem`.
    """
    model = adminmodels.Problem(
        type=f'urn:jujubefold:{kind}',
        title=http.HTTPStatus(status).phrase,
        status=int(status),
        detail=detail,
        **members,
    )
    return Response(int(status), adminmodels.encode(model), PROBLEM)


class AdminServer:
    """The HTTP server of the API.

    Args:
        address: `ip:port` to bind.
        endpoints: Sequence of `Endpoint`.
        ssl_adapter: A cheroot SSL adapter, or None for plain HTTP.
    """

    def __init__(self, address, endpoints, ssl_adapter=None):
        host, port = address.rsplit(':', 1)
        self._endpoints = tuple(endpoints)
        self._server = wsgi.Server(
            (host, int(port)), self._application, numthreads=THREADS
        )
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.ssl_adapter = ssl_adapter
        self._thread = None

    def bind(self):
        """Listen; connections queue until `start`.

        Returns:
            The bound `ip:port`.
        """
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    def start(self):
        """Serve requests in a thread; call `bind` first."""
        self._thread = threading.Thread(
            target=self._server.serve, name='admin', daemon=True
        )
        self._thread.start()

    def stop(self):
        """Stop serving, after requests in flight have finished."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join()

    def _application(self, environ, start_response):
        response = self._respond(environ)
        status = http.HTTPStatus(response.status)
        headers = [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
        ]
        start_response(f'{status.value} {status.phrase}', headers)
        return [response.body]

    def _respond(self, environ):
        path = environ['PATH_INFO']
        method = environ['REQUEST_METHOD']
        matches = [
            (item, match)
            for item in self._endpoints
            if (match := item.pattern.fullmatch(path))
        ]
        for item, match in matches:
            if item.method == method:
                return item.handler(_request(environ, match.groups()))
        if matches:
            return problem(
                405, 'method', f'method {method} is not allowed for {path}'
            )
        return problem(404, 'path', f'no such path: {path}')


def _request(environ, segments):
    query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
    return Request(
        path=tuple(urllib.parse.unquote(segment) for segment in segments),
        query={key: values[-1] for key, values in query.items()},
        body=environ['wsgi.input'].read(),
        operator=environ.get('SSL_CLIENT_S_DN_CN', ''),
    )


def invalid(failure):
    """Return the response for an `errors.Invalid`."""
    return problem(
        http.HTTPStatus.BAD_REQUEST,
        'invalid',
        f'{failure.where}: {failure.reason}',
        ran=errors.Outcome.DID_NOT_RUN,
    )
