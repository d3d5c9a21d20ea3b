"""Client of the operators' HTTP API."""

import http
import ssl

import expression
import urllib3

from jujubefold import adminmodels
from jujubefold import errors
from jujubefold import trust

CONNECT_TIMEOUT_S = 2.0

# Raised before any byte of the request was sent.
_NOT_SENT = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.LocationValueError,
    urllib3.exceptions.NewConnectionError,
    OSError,
)


def tls_options(ca, cert, key):
    """Return the keyword arguments of `AdminClient` for TLS.

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
    """Calls the operators' API of one daemon.

    Args:
        address: `ip:port` of the daemon's operators' API.
        timeout: Seconds to wait for a response.
        tls: Result of `tls_options`; empty for plain HTTP.
    """

    def __init__(self, address, timeout=10.0, **tls):
        scheme = 'https' if tls else 'http'
        self._base = f'{scheme}://{address}'
        if tls:
            # Certificates of daemons carry one shared name, because the
            # addresses change.
            tls['server_hostname'] = trust.DAEMON_NAME
        self._pool = urllib3.PoolManager(retries=False, **tls)
        self._timeout = timeout

    def get(self, path, model_type, **query):
        """Send a GET request and decode the response.

        Args:
            path: Absolute path.
            model_type: Class of the model expected.
            query: Query parameters; None values are left out.

        Returns:
            `Ok(model)`, or `Error` of `adminmodels.Problem`,
            `errors.PeerUnreachable` or `errors.Invalid`.
        """
        fields = {key: str(v) for key, v in query.items() if v is not None}
        return self._request('GET', path, model_type, fields=fields)

    def send(self, method, path, model_type, model=None):
        """Send a request with an optional body and decode the response.

        Args:
            method: HTTP method.
            path: Absolute path.
            model_type: Class of the model expected; None to ignore the
                response body.
            model: Model to send, or None for an empty body.

        Returns:
            As `get`. `errors.PeerUnreachable` means that nothing was sent. A
            request that was sent but got no usable response gives a
            `Problem` whose `ran` is unknown.
        """
        body = b'' if model is None else adminmodels.encode(model)
        headers = {'Content-Type': 'application/json'}
        return self._request(
            method, path, model_type, body=body, headers=headers
        )

    def _request(self, method, path, model_type, **options):
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=self._timeout
        )
        try:
            response = self._pool.request(
                method, self._base + path, timeout=timeout, **options
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._no_response(method, str(error), _may_be_sent(error))
        if response.status >= http.HTTPStatus.BAD_REQUEST:
            return self._error_response(method, response)
        if model_type is None:
            return expression.Ok(None)
        decoded = adminmodels.decode(response.data, model_type)
        if decoded.is_ok():
            return decoded
        reason = f'response could not be decoded: {decoded.error.reason}'
        return self._no_response(method, reason, True)

    def _error_response(self, method, response):
        decoded = adminmodels.decode(response.data, adminmodels.Problem)
        if decoded.is_ok():
            return expression.Error(decoded.ok)
        reason = f'HTTP {response.status} without a problem document'
        is_server = response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        return self._no_response(method, reason, is_server)

    def _no_response(self, method, reason, maybe_sent):
        """Return the failure of a request without a usable response."""
        text = f'{self._base}: {reason}'
        if method == 'GET' or not maybe_sent:
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


def _may_be_sent(error):
    cause = error.args[0] if error.args else None
    if isinstance(cause, ssl.SSLCertVerificationError):
        return False
    return not isinstance(error, _NOT_SENT)
