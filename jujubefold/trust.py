"""Trust: TLS credentials with reload, peer identity and authorization."""

import contextlib
import dataclasses
import ssl

import expression

from jujubefold import errors

# Certificates of daemons carry one common role name instead of a host name,
# because VMs and their addresses change.
DAEMON_NAME = 'daemon.jujubefold'
_SUBJECT_NAMES = 'x509_subject_alternative_name'


@dataclasses.dataclass(frozen=True, slots=True)
class _KeyMaterial:
    """Contents of the TLS files, and the files' stamps when they were read.

    Args:
        stamps: Modification time and size of each file, to detect changes.
    """

    certificate: bytes
    key: bytes
    authority: bytes
    stamps: tuple


class PeerCredentials:
    """gRPC credentials of a daemon, reloaded when its TLS files change.

    Args:
        tls: A `settings.Tls`.
    """

    def __init__(self, tls):
        self._tls = tls
        self._keys = _read_keys(tls)
        self._served_keys = self._keys

    @property
    def stamps(self):
        """Stamps of the files that the keys of new channels were read from."""
        return self._keys.stamps

    @property
    def options(self):
        """Channel options with the name expected in a server certificate."""
        return (('grpc.ssl_target_name_override', DAEMON_NAME),)

    def server(self):
        """Return server credentials that reload changed keys automatically."""
        import grpc

        return grpc.dynamic_ssl_server_credentials(
            _server_configuration(self._keys),
            self._fetch_configuration,
            require_client_authentication=True,
        )

    def channel(self):
        """Return channel credentials with the keys read last."""
        import grpc

        return grpc.ssl_channel_credentials(
            root_certificates=self._keys.authority,
            private_key=self._keys.key,
            certificate_chain=self._keys.certificate,
        )

    def refresh(self):
        """Reload changed files; on a read error the old keys stay in use."""
        with contextlib.suppress(OSError):
            if _file_stamps(self._tls) != self._keys.stamps:
                self._keys = _read_keys(self._tls)

    def _fetch_configuration(self):
        self.refresh()
        if self._served_keys is self._keys:
            return None
        self._served_keys = self._keys
        return _server_configuration(self._keys)


class ServerContext:
    """TLS context of an HTTP port, with reload of its TLS files.

    Args:
        tls: A `settings.Tls`.
    """

    def __init__(self, tls):
        self._tls = tls
        self._loaded_stamps = _file_stamps(tls)
        self._current_context = _server_context(tls)
        self._listening_context = _server_context(tls)
        self._listening_context.sni_callback = self._select_context

    @property
    def context(self):
        """The `ssl.SSLContext` to listen with; kept across reloads."""
        return self._listening_context

    def reload(self):
        """Use changed files for new connections.

        Authorities removed from the file are no longer trusted.

        Returns:
            `Ok(bool)`, whether a file has changed, or `Error(errors.Invalid)`
            when a file cannot be used; the previous keys then stay in use.
        """
        stamps = _file_stamps(self._tls)
        if stamps == self._loaded_stamps:
            return expression.Ok(False)
        try:
            self._current_context = _server_context(self._tls)
        except (OSError, ssl.SSLError) as error:
            return expression.Error(
                errors.Invalid(str(error), str(self._tls.certificate))
            )
        self._loaded_stamps = stamps
        return expression.Ok(True)

    def _select_context(self, connection, name, listening):
        connection.context = self._current_context


def client_context(tls):
    """Return the `ssl.SSLContext` for connections to another daemon.

    Connect with `server_hostname=DAEMON_NAME`.

    Args:
        tls: A `settings.Tls`.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_keys(context, tls)
    return context


def check(tls):
    """Check that the TLS files are readable and the key fits the certificate.

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
    """Return whether a gRPC peer was authenticated as a daemon.

    Args:
        auth_context: Mapping from `grpc.aio.ServicerContext.auth_context`.
    """
    names = auth_context.get(_SUBJECT_NAMES, ())
    return DAEMON_NAME.encode() in names


def is_daemon_certificate(peer_certificate):
    """Return whether a TLS client was authenticated as a daemon.

    Args:
        peer_certificate: Dict from `ssl.SSLSocket.getpeercert`, or None.
    """
    if not peer_certificate:
        return False
    names = peer_certificate.get('subjectAltName', ())
    return ('DNS', DAEMON_NAME) in names


def common_name(peer_certificate):
    """Return the common name of a TLS client's certificate, '' for none.

    Args:
        peer_certificate: Dict from `ssl.SSLSocket.getpeercert`, or None.
    """
    if not peer_certificate:
        return ''
    pairs = (pair for part in peer_certificate['subject'] for pair in part)
    names = (value for key, value in pairs if key == 'commonName')
    return next(names, '')


def may_submit(tls, name):
    """Decide whether an operator is authorized to change the mesh.

    Args:
        tls: A `settings.Tls`, or None without TLS, when all callers are.
        name: Common name of the operator's certificate, '' for none.

    Returns:
        `Ok(None)`, or `Error(errors.Invalid)` with the setting that lists
        the operators.
    """
    if tls is None or name in tls.operators:
        return expression.Ok(None)
    shown = name or 'a caller without a certificate'
    return expression.Error(
        errors.Invalid(
            f'{shown} is not listed as an operator', 'tls.operators'
        )
    )


def plain_warning(tls):
    """Return the warning to log for a daemon without TLS, '' with TLS.

    Args:
        tls: A `settings.Tls`, or None.
    """
    if tls is not None:
        return ''
    return (
        'PLAIN MODE: no [tls] in the settings. Anyone who can connect to '
        'these ports can read calls, act as a daemon and change the mesh. '
        'Use it on a test machine only.'
    )


def _server_context(tls):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.verify_mode = ssl.CERT_REQUIRED
    _load_keys(context, tls)
    return context


def _load_keys(context, tls):
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.authority)


def _server_configuration(keys):
    import grpc

    return grpc.ssl_server_certificate_configuration(
        ((keys.key, keys.certificate),),
        root_certificates=keys.authority,
    )


def _read_keys(tls):
    stamps = _file_stamps(tls)
    return _KeyMaterial(
        tls.certificate.read_bytes(),
        tls.key.read_bytes(),
        tls.authority.read_bytes(),
        stamps,
    )


def _file_stamps(tls):
    files = (tls.certificate, tls.key, tls.authority)
    return tuple(
        (file.stat().st_mtime_ns, file.stat().st_size) for file in files
    )
