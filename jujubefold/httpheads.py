"""Heads on the wire: what a request may not have, and an answer's own."""

from jujubefold import calls
from jujubefold import problems

MAX_HEADERS = 100

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


def head_error(version, method, headers, fields):
    """Return detail and status of what httptools wrongly lets through."""
    if version not in ('1.1', '1.0'):
        return 'protocol version not supported', 505
    if method not in _METHODS:
        return 'method not supported', 501
    if len(headers) > MAX_HEADERS:
        return 'too many headers', 431
    if version == '1.1' and b'host' not in fields:
        return ('host header missing',)
    coding = fields.get(b'transfer-encoding')
    if coding is not None:
        if version == '1.0':
            return ('transfer-encoding in HTTP/1.0',)
        if coding.strip().lower() != b'chunked':
            return 'transfer-encoding not supported', 501
    if len(fields) != len(headers):
        return _repeated(headers)
    expects = fields.get(b'expect')
    if expects is not None and expects.lower() != b'100-continue':
        return 'expectation not supported', 417
    return None


def _repeated(headers):
    seen = set()
    for name, _ in headers:
        if name in _SINGLETONS and name in seen:
            return (f'{name.decode()} given twice',)
        seen.add(name)
    return None


def origin(target, host):
    """Return origin-form target and host of any acceptable target."""
    if not target.startswith(b'http://'):
        return target, host
    authority, slash, rest = target[len(b'http://') :].partition(b'/')
    return slash + rest or b'/', authority


def is_unsafe_target(target, path):
    """Return whether a target could reach what its route does not mean."""
    if b'#' in target:
        return True
    if not path.startswith(b'/'):
        return path != b'*'
    if b'/.' not in path and b'%2' not in path:
        return False
    plain = path.lower().replace(b'%2e', b'.').replace(b'%2f', b'/')
    return not {b'.', b'..'}.isdisjoint(plain.split(b'/'))


def hostname(host):
    """Return a host header's name, lower case and without port."""
    name, colon, port = host.decode('latin-1').lower().rpartition(':')
    return name if colon and port.isdigit() else host.decode('latin-1').lower()


def has_no_body(answer, method):
    """Return whether an answer has no body on the wire."""
    return method == 'HEAD' or answer.status in _NO_BODY


_LINES = {
    code: f'HTTP/1.1 {code} {problems.title_of(code)}\r\n'.encode()
    for code in range(200, 600)
}


def encode_head(answer, method, keep_alive):
    """Return the head of an answer on the wire.

    Args:
        answer: An `Answer`.
        method: Method of the request.
        keep_alive: Whether the connection stays open.
    """
    parts = [_LINES[answer.status]]
    for name, value in answer.headers:
        parts.append(b'%b: %b\r\n' % (name, value))
    if answer.status not in _NO_BODY:
        parts.append(b'content-length: %d\r\n' % answer.size)
    if not keep_alive:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)
