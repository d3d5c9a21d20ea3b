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
    """One request of the API, already bounded and split.

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
class Answer:
    """One answer of the API."""

    status: int
    body: bytes
    content_type: str = JSON


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Which method and path a function answers.

    Args:
        pattern: Regular expression of the whole path.
        answer: Takes a `Request`, returns an `Answer`; runs in a thread.
    """

    method: str
    pattern: re.Pattern
    answer: typing.Callable[[Request], Answer]


class TlsAdapter(builtin.BuiltinSSLAdapter):
    """Puts cheroot's connections under TLS with client certificates.

    Args:
        tls: A `settings.Tls`.
        server: A `trust.ServerContext`, which follows changed files.
    """

    def __init__(self, tls, server):
        super().__init__(str(tls.certificate), str(tls.key))
        self.context = server.context


def endpoint(method, path, answer):
    """Return an `Endpoint` for a path with `{}` where a segment is taken."""
    pattern = re.escape(path).replace(r'\{\}', '([^/]+)')
    return Endpoint(method, re.compile(pattern), answer)


def ok(model, status=http.HTTPStatus.OK):
    """Return an answer that carries a model as JSON."""
    return Answer(int(status), adminmodels.encode(model))


def problem(status, kind, detail, **members):
    """Return an answer that refuses.

    Args:
        status: HTTP status.
        kind: Short name, made into the problem's URN.
        detail: One sentence for a person.
        members: Further fields of `adminmodels.Problem`.
    """
    model = adminmodels.Problem(
        type=f'urn:jujubefold:{kind}',
        title=http.HTTPStatus(status).phrase,
        status=int(status),
        detail=detail,
        **members,
    )
    return Answer(int(status), adminmodels.encode(model), PROBLEM)


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
        """Listen; requests wait until `start`.

        Returns:
            The bound `ip:port`.
        """
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    def start(self):
        """Serve what `bind` has let in."""
        self._thread = threading.Thread(
            target=self._server.serve, name='admin', daemon=True
        )
        self._thread.start()

    def stop(self):
        """Stop serving; requests in flight are finished."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join()

    def _application(self, environ, start_response):
        answer = self._answer(environ)
        status = http.HTTPStatus(answer.status)
        headers = [
            ('Content-Type', answer.content_type),
            ('Content-Length', str(len(answer.body))),
        ]
        start_response(f'{status.value} {status.phrase}', headers)
        return [answer.body]

    def _answer(self, environ):
        path = environ['PATH_INFO']
        method = environ['REQUEST_METHOD']
        found = [
            (item, match)
            for item in self._endpoints
            if (match := item.pattern.fullmatch(path))
        ]
        for item, match in found:
            if item.method == method:
                return item.answer(_request(environ, match.groups()))
        if found:
            return problem(405, 'method', f'{method} is not for {path}')
        return problem(404, 'path', f'no such path: {path}')


def _request(environ, path):
    query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
    return Request(
        path=tuple(urllib.parse.unquote(segment) for segment in path),
        query={key: values[-1] for key, values in query.items()},
        body=environ['wsgi.input'].read(),
        operator=environ.get('SSL_CLIENT_S_DN_CN', ''),
    )


def invalid(failure):
    """Return the answer for an `errors.Invalid`."""
    return problem(
        http.HTTPStatus.BAD_REQUEST,
        'invalid',
        f'{failure.where}: {failure.reason}',
        ran=errors.Outcome.DID_NOT_RUN,
    )
