"""Client of the operators' HTTP API."""

import http
import ssl

import expression
import urllib3

from jujubefold import adminmodels
from jujubefold import errors
from jujubefold import trust

CONNECT_TIMEOUT_S = 2.0

# Raised before any byte of a request has left.
_NOT_SENT = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
    urllib3.exceptions.NewConnectionError,
    OSError,
)


def tls_options(ca, cert, key):
    """Return `AdminClient`'s keyword arguments for TLS files.

    Args:
        ca: Path of the CA file, or None for plain HTTP.
        cert: Path of the client's certificate, or None.
        key: Path of its private key, or None.
    """
    if ca is None:
        return {}
    chosen = {'ca_certs': ca, 'cert_file': cert, 'key_file': key}
    return {name: str(path) for name, path in chosen.items() if path}


class AdminClient:
    """Talks to one daemon.

    Args:
        address: `ip:port` of the daemon's operators' API.
        timeout: Seconds to wait for an answer.
        tls: What `tls_options` gives; empty for plain HTTP.
    """

    def __init__(self, address, timeout=10.0, **tls):
        scheme = 'https' if tls else 'http'
        self._base = f'{scheme}://{address}'
        if tls:
            # Daemons share one name, because their addresses come and go.
            tls['server_hostname'] = trust.DAEMON_NAME
        self._pool = urllib3.PoolManager(retries=False, **tls)
        self._timeout = timeout

    def get(self, path, kind, **query):
        """Read a model.

        Args:
            path: Absolute path.
            kind: Class of the model expected.
            query: Query parameters; None values are left out.

        Returns:
            `Ok(model)`, or `Error` of `adminmodels.Problem`,
            `errors.PeerUnreachable` or `errors.Invalid`.
        """
        fields = {key: str(v) for key, v in query.items() if v is not None}
        return self._call('GET', path, kind, fields=fields)

    def send(self, method, path, kind, model=None):
        """Send a model and read one.

        Args:
            method: HTTP method.
            path: Absolute path.
            kind: Class of the model expected; None for an empty answer.
            model: Model sent, or None.

        Returns:
            As `get`. `errors.PeerUnreachable` means that nothing was sent;
            without an answer to what was sent, the `Problem` says that the
            outcome is unknown.
        """
        body = b'' if model is None else adminmodels.encode(model)
        headers = {'Content-Type': 'application/json'}
        return self._call(method, path, kind, body=body, headers=headers)

    def _call(self, method, path, kind, **options):
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=self._timeout
        )
        try:
            answer = self._pool.request(
                method, self._base + path, timeout=timeout, **options
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._failed(method, str(error), _is_sent(error))
        if answer.status >= http.HTTPStatus.BAD_REQUEST:
            return self._refusal(method, answer)
        if kind is None:
            return expression.Ok(None)
        decoded = adminmodels.decode(answer.data, kind)
        if decoded.is_ok():
            return decoded
        reason = f'not the answer of a daemon: {decoded.error.reason}'
        return self._failed(method, reason, True)

    def _refusal(self, method, answer):
        decoded = adminmodels.decode(answer.data, adminmodels.Problem)
        if decoded.is_ok():
            return expression.Error(decoded.ok)
        reason = f'HTTP {answer.status} that is not the answer of a daemon'
        is_server = answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        return self._failed(method, reason, is_server)

    def _failed(self, method, reason, sent):
        """Return the failure of a request that has no usable answer."""
        text = f'{self._base}: {reason}'
        if method == 'GET' or not sent:
            return expression.Error(errors.PeerUnreachable(text))
        return expression.Error(
            adminmodels.Problem(
                type='urn:jujubefold:no-answer',
                title='No answer',
                status=0,
                detail=text,
                ran=errors.Outcome.UNKNOWN,
            )
        )


def _is_sent(error):
    cause = error.args[0] if error.args else None
    if isinstance(cause, ssl.SSLCertVerificationError):
        return False
    return not isinstance(error, _NOT_SENT)
