"""Trust: keys, TLS contexts that reload, and who may submit patches."""

import contextlib
import dataclasses
import ssl

import expression

from jujubefold import errors

# Daemons share one role name, because VMs and their addresses come and go.
DAEMON_NAME = 'daemon.jujubefold'
_SUBJECT_NAMES = 'x509_subject_alternative_name'


@dataclasses.dataclass(frozen=True, slots=True)
class _Keys:
    """Contents of the files, and the stamps they were read at."""

    certificate: bytes
    key: bytes
    authority: bytes
    stamps: tuple


class PeerCredentials:
    """gRPC credentials of a daemon that follow changes of its files.

    Args:
        tls: A `settings.Tls`.
    """

    def __init__(self, tls):
        self._tls = tls
        self._keys = _read(tls)
        self._served = self._keys

    @property
    def stamps(self):
        """Identifies the keys that new channels use."""
        return self._keys.stamps

    @property
    def options(self):
        """Channel options that name whom the server must prove to be."""
        return (('grpc.ssl_target_name_override', DAEMON_NAME),)

    def server(self):
        """Return server credentials that fetch changed keys by themselves."""
        import grpc

        return grpc.dynamic_ssl_server_credentials(
            _configuration(self._keys),
            self._fetch,
            require_client_authentication=True,
        )

    def channel(self):
        """Return channel credentials of the keys read last."""
        import grpc

        return grpc.ssl_channel_credentials(
            root_certificates=self._keys.authority,
            private_key=self._keys.key,
            certificate_chain=self._keys.certificate,
        )

    def refresh(self):
        """Read changed files; the keys stay when they cannot be read."""
        with contextlib.suppress(OSError):
            if _stamps(self._tls) != self._keys.stamps:
                self._keys = _read(self._tls)

    def _fetch(self):
        self.refresh()
        if self._served is self._keys:
            return None
        self._served = self._keys
        return _configuration(self._keys)


class ServerContext:
    """TLS context of an HTTP port, reloaded when its files change.

    Args:
        tls: A `settings.Tls`.
    """

    def __init__(self, tls):
        self._tls = tls
        self._seen = _stamps(tls)
        self._current = _server_context(tls)
        self._context = _server_context(tls)
        self._context.sni_callback = self._choose

    @property
    def context(self):
        """The `ssl.SSLContext` to listen with; it stays the same."""
        return self._context

    def reload(self):
        """Use changed files for new connections.

        An authority that was removed is trusted no longer.

        Returns:
            `Ok(bool)`, whether anything changed, or `Error(errors.Invalid)`
            and the keys loaded before stay in use.
        """
        stamps = _stamps(self._tls)
        if stamps == self._seen:
            return expression.Ok(False)
        try:
            self._current = _server_context(self._tls)
        except (OSError, ssl.SSLError) as error:
            return expression.Error(
                errors.Invalid(str(error), str(self._tls.certificate))
            )
        self._seen = stamps
        return expression.Ok(True)

    def _choose(self, connection, name, listening):
        connection.context = self._current


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


def _configuration(keys):
    import grpc

    return grpc.ssl_server_certificate_configuration(
        ((keys.key, keys.certificate),),
        root_certificates=keys.authority,
    )


def _read(tls):
    stamps = _stamps(tls)
    return _Keys(
        tls.certificate.read_bytes(),
        tls.key.read_bytes(),
        tls.authority.read_bytes(),
        stamps,
    )


def _stamps(tls):
    files = (tls.certificate, tls.key, tls.authority)
    return tuple(
        (file.stat().st_mtime_ns, file.stat().st_size) for file in files
    )
