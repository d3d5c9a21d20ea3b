"""Trust: keys, TLS contexts that reload, and who may submit patches."""

import ssl

import expression
import grpc

from jujubefold import errors

# Daemons share one role name, because VMs and their addresses come and go.
DAEMON_NAME = 'daemon.jujubefold'
_SUBJECT_NAMES = 'x509_subject_alternative_name'


class PeerCredentials:
    """gRPC credentials of a daemon, read again whenever they are needed.

    Args:
        tls: A `settings.Tls`.
    """

    def __init__(self, tls):
        self._tls = tls
        self._seen = _stamps(tls)

    @property
    def options(self):
        """Channel options that name whom the server must prove to be."""
        return (('grpc.ssl_target_name_override', DAEMON_NAME),)

    def server(self):
        """Return server credentials that fetch changed keys by themselves."""
        return grpc.dynamic_ssl_server_credentials(
            _configuration(self._tls),
            self._fetch,
            require_client_authentication=True,
        )

    def channel(self):
        """Return channel credentials of the keys on file now."""
        return grpc.ssl_channel_credentials(
            root_certificates=self._tls.authority.read_bytes(),
            private_key=self._tls.key.read_bytes(),
            certificate_chain=self._tls.certificate.read_bytes(),
        )

    def _fetch(self):
        stamps = _stamps(self._tls)
        if stamps == self._seen:
            return None
        self._seen = stamps
        return _configuration(self._tls)


class ServerContext:
    """TLS context of an HTTP port, reloaded when its files change.

    Args:
        tls: A `settings.Tls`.
    """

    def __init__(self, tls):
        self._tls = tls
        self._seen = _stamps(tls)
        self._context = _server_context(tls)

    @property
    def context(self):
        """The `ssl.SSLContext` that new connections use."""
        return self._context

    def reload(self):
        """Load changed files into the context in place.

        Returns:
            `Ok(bool)`, whether anything changed, or `Error(errors.Invalid)`
            and the keys loaded before stay in use.
        """
        stamps = _stamps(self._tls)
        if stamps == self._seen:
            return expression.Ok(False)
        try:
            _server_context(self._tls)
            _load(self._context, self._tls)
        except (OSError, ssl.SSLError) as error:
            return expression.Error(
                errors.Invalid(str(error), str(self._tls.certificate))
            )
        self._seen = stamps
        return expression.Ok(True)


def client_context(tls):
    """Return the `ssl.SSLContext` with which a daemon calls another.

    Connect with `server_hostname=DAEMON_NAME`.

    Args:
        tls: A `settings.Tls`.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, tls)
    return context


def check(tls):
    """Check that the files can be read and belong together.

    Args:
        tls: A `settings.Tls`.

    Returns:
        `Ok(None)` or `Error(errors.Invalid)`.
    """
    try:
        _server_context(tls)
    except (OSError, ssl.SSLError) as error:
        return expression.Error(errors.Invalid(str(error), 'tls'))
    return expression.Ok(None)


def is_daemon(auth_context):
    """Return whether a gRPC peer proved to be a daemon.

    Args:
        auth_context: Mapping from `grpc.aio.ServicerContext.auth_context`.
    """
    names = auth_context.get(_SUBJECT_NAMES, ())
    return DAEMON_NAME.encode() in names


def is_daemon_certificate(peer_certificate):
    """Return whether a TLS client proved to be a daemon.

    Args:
        peer_certificate: Dict from `ssl.SSLSocket.getpeercert`, or None.
    """
    if not peer_certificate:
        return False
    names = peer_certificate.get('subjectAltName', ())
    return ('DNS', DAEMON_NAME) in names


def common_name(peer_certificate):
    """Return the common name of a TLS client's certificate, or ''.

    Args:
        peer_certificate: Dict from `ssl.SSLSocket.getpeercert`, or None.
    """
    if not peer_certificate:
        return ''
    pairs = (pair for part in peer_certificate['subject'] for pair in part)
    names = (value for key, value in pairs if key == 'commonName')
    return next(names, '')


def may_submit(tls, name):
    """Decide whether an operator may change the mesh.

    Args:
        tls: A `settings.Tls`, or None in plain mode, where all may.
        name: Common name of the operator's certificate, '' for none.

    Returns:
        `Ok(None)`, or `Error(errors.Invalid)` that says what to change.
    """
    if tls is None or name in tls.operators:
        return expression.Ok(None)
    shown = name or 'a caller without a certificate'
    return expression.Error(
        errors.Invalid(f'{shown} is not listed', 'tls.operators')
    )


def plain_warning(tls):
    """Return what the log must say about a daemon without TLS, or ''.

    Args:
        tls: A `settings.Tls`, or None.
    """
    if tls is not None:
        return ''
    return (
        'PLAIN MODE: no [tls] in the settings. Anyone who reaches these '
        'ports can read calls, act as a daemon and change the mesh. '
        'Use it on a test machine only.'
    )


def _server_context(tls):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.verify_mode = ssl.CERT_REQUIRED
    _load(context, tls)
    return context


def _load(context, tls):
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.authority)


def _configuration(tls):
    return grpc.ssl_server_certificate_configuration(
        ((tls.key.read_bytes(), tls.certificate.read_bytes()),),
        root_certificates=tls.authority.read_bytes(),
    )


def _stamps(tls):
    files = (tls.certificate, tls.key, tls.authority)
    return tuple(
        (file.stat().st_mtime_ns, file.stat().st_size) for file in files
    )
