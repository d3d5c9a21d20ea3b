"""Tenants: who sends a request, by the key that it carries.

Designed for some hundreds of tenants with a few keys each. A lookup costs one
digest and does not depend on their number.
"""

import dataclasses
import hashlib
import hmac
import secrets

import expression

from jujubefold import calls

AUTHORIZATION = b'authorization'
# Scheme of the Authorization header, in lower case.
SCHEME = b'token'
CHALLENGE = (b'www-authenticate', b'Token')

_DIGEST_BYTES = 32
# Digests are of no use outside this process, so that a dump of one can't be
# compared with digests of guessed keys that were computed before.
_SECRET = secrets.token_bytes(_DIGEST_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A user of the services, with quotas and a priority of its own.

    Args:
        name: Sent to upstreams.
        priority: 0 is the most urgent; None if the route's applies.
        rate: Requests a second; 0 without a limit.
        burst: Requests beyond `rate` at once.
    """

    name: str
    priority: int | None
    rate: float
    burst: float


class KeyTable:
    """Finds tenants by their keys, of which it holds only digests.

    Attributes:
        tenants: Each `Tenant` by name.
    """

    def __init__(self):
        self.tenants = {}
        self._by_digest = {}

    def add(self, tenant, keys):
        """Add a tenant.

        Args:
            tenant: A `Tenant`.
            keys: Its keys, as bytes.

        Returns:
            Position of the first key that another tenant has; None if there
            is none.
        """
        self.tenants[tenant.name] = tenant
        for index, key in enumerate(keys):
            digest = _digest(key)
            entry = self._by_digest.setdefault(digest, (digest, tenant))
            if entry[1] is not tenant:
                return index
        return None

    def find(self, key):
        """Return the `Tenant` of a key, or None.

        Args:
            key: The key, as bytes.
        """
        digest = _digest(key)
        known, tenant = self._by_digest.get(digest, (b'', None))
        return tenant if hmac.compare_digest(known, digest) else None

    def holds_keys_of(self, other):
        """Return whether each key of another table has the same tenant here.

        Args:
            other: A `KeyTable`.
        """
        return all(
            digest in self._by_digest
            and self._by_digest[digest][1].name == tenant.name
            for digest, tenant in other._by_digest.values()
        )


def authenticate(configuration, route, headers):
    """Return who sends a request.

    Args:
        configuration: The `versions.Configuration` in force.
        route: The `mesh.Route` of the request.
        headers: Its pairs of name, in lower case, and value.

    Returns:
        `Ok` of a `Tenant`, or of None if the request needs no key, or
            `Error(calls.Reason.UNAUTHENTICATED)`.
    """
    if not needs_key(configuration, route):
        return expression.Ok(None)
    values = [value for name, value in headers if name == AUTHORIZATION]
    if len(values) == 1:
        scheme, _, key = values[0].strip().partition(b' ')
        if scheme.lower() == SCHEME:
            tenant = configuration.keys.find(key.strip())
            if tenant is not None:
                return expression.Ok(tenant)
    return expression.Error(calls.Reason.UNAUTHENTICATED)


def needs_key(configuration, route):
    """Return whether requests of a route need a key.

    Args:
        configuration: A `versions.Configuration`.
        route: A `mesh.Route`.
    """
    return configuration.keys is not None and not route.public


def _digest(key):
    return hashlib.blake2b(
        key, key=_SECRET, digest_size=_DIGEST_BYTES
    ).digest()
