"""TLS files: whether the keys that settings name can be used."""

import ssl

from jujubefold import errors

_KEYS = ('certificate', 'key', 'authority')


def problems(tls):
    """Yield an `errors.Invalid` for each fault, `where` a dotted key.

    Args:
        tls: A `settings.Tls`, or None, which has no faults.
    """
    if tls is None:
        return
    unreadable = tuple(_unreadable(tls))
    yield from unreadable
    if not unreadable:
        yield from _unusable(tls)


def _unreadable(tls):
    for name in _KEYS:
        path = getattr(tls, name)
        try:
            with path.open('rb') as file:
                file.read(1)
        except OSError as error:
            reason = f'cannot read {path}: {error.strerror}'
            yield errors.Invalid(reason, f'tls.{name}')


def _unusable(tls):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except (OSError, ssl.SSLError) as error:
        reason = f'not a PEM certificate with its key {tls.key}: {error}'
        yield errors.Invalid(reason, 'tls.certificate')
    try:
        context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as error:
        reason = f'no PEM certificates in {tls.authority}: {error}'
        yield errors.Invalid(reason, 'tls.authority')
