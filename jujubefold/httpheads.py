"""HTTP heads: validates, filters and encodes the heads of messages."""

from jujubefold import calls
from jujubefold import problems

MAX_HEADERS = 100
# Statuses of an answer that ends an exchange.
FINAL_STATUSES = range(200, 600)

_METHODS = frozenset(
    {b'GET', b'HEAD', b'OPTIONS', b'POST', b'PUT', b'PATCH', b'DELETE'}
)
_SINGLETONS = frozenset(
    {
        b'host',
        b'content-type',
        b'idempotency-key',
        calls.REQUEST_ID.encode(),
        calls.DEADLINE_MS.encode(),
        calls.DEPTH.encode(),
        calls.RETRY_BUDGET.encode(),
    }
)
_NO_BODY = frozenset({204, 304})
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    }
)


def head_error(version, method, headers, fields):
    """Check a request head for errors that httptools accepts.

    Args:
        version: HTTP version, such as '1.1'.
        method: Method as bytes.
        headers: Header pairs in order, names in lower case.
        fields: The same by name.

    Returns:
        None if the head is valid, else a tuple of an error message and the
        HTTP status; without the status it is 400.
    """
    if version not in ('1.1', '1.0'):
        return 'HTTP version not supported', 505
    if method not in _METHODS:
        return 'method not supported', 501
    if len(headers) > MAX_HEADERS:
        return 'too many request headers', 431
    if version == '1.1' and b'host' not in fields:
        return ('Host header missing',)
    coding = fields.get(b'transfer-encoding')
    if coding is not None:
        if version == '1.0':
            return ('Transfer-Encoding not allowed in HTTP/1.0',)
        if coding.strip().lower() != b'chunked':
            return 'Transfer-Encoding other than chunked not supported', 501
    if len(fields) != len(headers):
        return _repeated_header_error(headers)
    expectation = fields.get(b'expect')
    if expectation is not None and expectation.lower() != b'100-continue':
        return 'Expect other than 100-continue not supported', 417
    return None


def _repeated_header_error(headers):
    seen = set()
    for name, _ in headers:
        if name in _SINGLETONS and name in seen:
            return (f'{name.decode()} header sent more than once',)
        seen.add(name)
    return None


def origin(target, host):
    """Return a request target in origin form, and its host.

    Args:
        target: Request target as bytes, in origin or absolute form.
        host: Value of the Host header, replaced by that of an absolute
            target.
    """
    if not target.startswith(b'http://'):
        return target, host
    authority, slash, rest = target[len(b'http://') :].partition(b'/')
    return slash + rest or b'/', authority


def is_unsafe_target(target, path):
    """Return whether a target may resolve to a path outside its route.

    That is a target with a fragment, one without a leading slash, or one
    with `.` or `..` segments, percent-encoded or not.

    Args:
        target: Request target in origin form.
        path: The target without its query.
    """
    if b'#' in target:
        return True
    if not path.startswith(b'/'):
        return path != b'*'
    if b'/.' not in path and b'%2' not in path:
        return False
    decoded = path.lower().replace(b'%2e', b'.').replace(b'%2f', b'/')
    return not {b'.', b'..'}.isdisjoint(decoded.split(b'/'))


def hostname(host):
    """Return the name in a Host header, in lower case and without port."""
    name, colon, port = host.decode('latin-1').lower().rpartition(':')
    return name if colon and port.isdigit() else host.decode('latin-1').lower()


def has_no_body(answer, method):
    """Return whether an answer is sent without a body.

    Args:
        answer: A `callserver.Answer`.
        method: Method of the request.
    """
    return method == 'HEAD' or answer.status in _NO_BODY


_STATUS_LINES = {
    code: f'HTTP/1.1 {code} {problems.title_of(code)}\r\n'.encode()
    for code in FINAL_STATUSES
}


def encode_head(answer, method, keep_alive):
    """Return the status line and headers of an answer as bytes.

    Args:
        answer: A `callserver.Answer` with one of `FINAL_STATUSES`.
        method: Method of the request.
        keep_alive: Whether the connection stays open.
    """
    parts = [_STATUS_LINES[answer.status]]
    for name, value in answer.headers:
        parts.append(b'%b: %b\r\n' % (name, value))
    if answer.status not in _NO_BODY:
        parts.append(b'content-length: %d\r\n' % answer.size)
    if not keep_alive:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)


def end_to_end_headers(headers, excluded=frozenset()):
    """Return the header pairs that a proxy forwards.

    Args:
        headers: Pairs with names in lower case.
        excluded: Further names to leave out.
    """
    named = ()
    for name, value in headers:
        if name == b'connection':
            named = {item.strip() for item in value.lower().split(b',')}
            break
    return [
        pair
        for pair in headers
        if pair[0] not in _HOP_BY_HOP_HEADERS
        and pair[0] not in excluded
        and pair[0] not in named
    ]


def is_close_delimited(status, fields):
    """Return whether the end of an answer's body is the connection's end.

    Args:
        status: HTTP status.
        fields: Headers by lower-case name.
    """
    if status in _NO_BODY:
        return False
    return not fields.keys() & {b'content-length', b'transfer-encoding'}
