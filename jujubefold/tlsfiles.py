"""TLS files: checks of the key files that the settings name."""

import ssl

from jujubefold import errors

_SETTINGS_KEYS = ('certificate', 'key', 'authority')


def problems(tls):
    """Yield an `errors.Invalid` for each file that cannot be used.

    Its `where` is the dotted key of the setting.

    Args:
        tls: A `settings.Tls`, or None, for which nothing is checked.
    """
    if tls is None:
        return
    unreadable = tuple(_read_problems(tls))
    yield from unreadable
    if not unreadable:
        yield from _load_problems(tls)


def _read_problems(tls):
    for name in _SETTINGS_KEYS:
        path = getattr(tls, name)
        try:
            with path.open('rb') as file:
                file.read(1)
        except OSError as error:
            reason = f'cannot read {path}: {error.strerror}'
            yield errors.Invalid(reason, f'tls.{name}')


def _load_problems(tls):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except (OSError, ssl.SSLError) as error:
        reason = f'cannot load PEM certificate with its key {tls.key}: {error}'
        yield errors.Invalid(reason, 'tls.certificate')
    try:
        context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as error:
        reason = f'no PEM certificates in {tls.authority}: {error}'
        yield errors.Invalid(reason, 'tls.authority')
