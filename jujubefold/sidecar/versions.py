"""Versions: the configuration in force, whose number never decreases."""

import collections
import dataclasses
import hashlib

from jujubefold import mesh
from jujubefold.sidecar import distribution
from jujubefold.sidecar import tenants as tenants_module

# Unknown values of one version that are logged; a new kind of route usually
# comes on many routes.
MAX_UNKNOWN_LOGGED = 8
DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Order of configurations: by number, then by era.

    A store that returned from an older copy may be given the number of a lost
    version again, with other content. That content is of a later era.

    Args:
        number: Number of the version; 0 without one.
        era: Era in which the store was seen to have it; 0 if unknown.
    """

    number: int = 0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of size and time on callers' requests.

    Args:
        head_bytes: Bytes of the largest request head.
        body_bytes: Bytes of the largest request body.
        head_timeout: Seconds in which a whole head must be received.
        idle_timeout: Seconds for which a connection may be idle between
            requests.
    """

    head_bytes: int = 32 * 1024
    body_bytes: int = 32 * 1024 * 1024
    head_timeout: float = 10.0
    idle_timeout: float = 75.0


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownValue:
    """A value of a configuration that this release does not know.

    Args:
        field: Path of the field.
        value: The value found.
        reading: What is done instead.
    """

    field: str
    value: str
    reading: str


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A decoded and valid configuration.

    Args:
        mesh: The `mesh.Mesh`, with the number of its version.
        limits: The `CallerLimits`.
        unknown_values: Each `UnknownValue` in it.
        tenants: Each `tenants.Tenant` by name.
        keys: The `tenants.KeyTable` that finds a tenant by its key; None if
            the configuration has no table of tenants, so that requests need
            no key.
        has_downloads: Whether some routes have large answers.
    """

    mesh: mesh.Mesh
    limits: CallerLimits = CallerLimits()
    unknown_values: tuple[UnknownValue, ...] = ()
    tenants: dict[str, tenants_module.Tenant] = dataclasses.field(
        default_factory=dict
    )
    keys: tenants_module.KeyTable | None = dataclasses.field(
        default=None, compare=False, repr=False
    )
    has_downloads: bool = False


class Versions:
    """Holds the newest configuration that this daemon knows.

    Args:
        decode: Called with bytes, returns `Ok(Configuration)` or
            `Error(errors.Invalid)`.
        changed: Called with each `Configuration` put in force, and its
            source.
        event_log: An `eventlog.EventLog`.
        count_fault: Called with `unknown` for each value that was read in
            another way, and with `invalid` or `damaged` for each document
            that was not put in force.

    Attributes:
        current: The `Configuration` in force.
        keys_withdrawn: Whether the store, after its return from an older
            copy, was given a configuration that lacks a key in force, but
            whose number is too low to replace the one in force.
    """

    def __init__(
        self, decode, changed, event_log, count_fault=lambda effect: None
    ):
        self._bodies = collections.OrderedDict()
        self.current = Configuration(mesh.Mesh())
        self._decode = decode
        self._changed = changed
        self._event_log = event_log
        self._count_fault = count_fault
        self._era = 0
        self._era_without = 0
        self.keys_withdrawn = False

    @property
    def number(self):
        """Number of the version in force; 0 without one."""
        return self.current.mesh.number

    @property
    def stamp(self):
        """The `Stamp` of the version in force."""
        return Stamp(self.number, self._era)

    def digest(self, number):
        """Return the digest of a version's document; empty if not kept.

        Args:
            number: Number of the version.
        """
        body = self._bodies.get(number)
        if body is None:
            return b''
        return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()

    def compressed(self, base, digest=b''):
        """Return the version in force, compressed for another daemon.

        Args:
            base: Number of the version that the daemon has; 0 for none.
            digest: Digest of that version's document; empty if unknown.

        Returns:
            Number of the version needed to decompress it, 0 for none, and
            the compressed bytes.
        """
        if not self._has(base, digest):
            base = 0
        body = self._bodies[self.number]
        return base, distribution.compress(body, self._bodies.get(base, b''))

    def apply_compressed(self, base, data, source, era=0, digest=b''):
        """Put a compressed configuration in force.

        Args:
            base: Number of the version that it was compressed against; 0 for
                none.
            data: Compressed bytes.
            source: As in `apply`.
            era: As in `apply`.
            digest: Digest of that version's document; empty if unknown.

        Returns:
            Whether it could be decompressed.
        """
        if base and not self._has(base, digest):
            return False
        try:
            body = distribution.decompress(data, self._bodies.get(base, b''))
        except ValueError as error:
            self._count_fault('damaged')
            self._event_log.record(
                'version.damaged', source=source, detail=str(error)
            )
            return False
        self.apply(body, source, era)
        return True

    def _has(self, number, digest):
        """Return whether a version is kept, with the content expected."""
        return number in self._bodies and digest in (b'', self.digest(number))

    def apply(self, body, source, era=0):
        """Put a configuration in force if it is valid and newer.

        Args:
            body: Bytes of the configuration.
            source: Where it came from, `store` or `peer`.
            era: Era in which the store was seen to have it; 0 if unknown.
        """
        if body == self._bodies.get(self.number):
            self._era = max(self._era, era)
            self.keys_withdrawn = False
            return
        decoded = self._decode(body)
        if decoded.is_error():
            self._count_fault('invalid')
            self._event_log.record(
                'version.invalid',
                source=source,
                where=decoded.error.where,
                detail=decoded.error.reason,
            )
            return
        configuration = decoded.ok
        before = self.number
        stamp = Stamp(configuration.mesh.number, era)
        if stamp <= self.stamp:
            if source == 'store' and stamp.era > self._era:
                self.keys_withdrawn = _withdraws(
                    self.current.keys, configuration.keys
                )
                self._log_lost(stamp)
            return
        self.current = configuration
        self.keys_withdrawn = False
        self._era = era
        self._bodies[stamp.number] = body
        self._bodies.move_to_end(stamp.number)
        while len(self._bodies) > distribution.KEPT_VERSIONS:
            self._bodies.popitem(last=False)
        self._event_log.record(
            'version.in_force',
            version=stamp.number,
            before=before,
            era=era,
            source=source,
            routes=len(configuration.mesh.routes),
        )
        for _ in configuration.unknown_values:
            self._count_fault('unknown')
        for item in configuration.unknown_values[:MAX_UNKNOWN_LOGGED]:
            self._event_log.record(
                'version.unknown_value',
                version=configuration.mesh.number,
                field=item.field,
                value=item.value,
                reading=item.reading,
            )
        self._changed(configuration, source)

    def _log_lost(self, found):
        """Log once an era that the store has lost the version in force.

        Args:
            found: `Stamp` of what the store has instead.
        """
        if found.number >= self.number or found.era <= self._era:
            return
        if found.era > self._era_without:
            self._era_without = found.era
            self._event_log.record(
                'version.lost',
                version=self.number,
                era=self._era,
                found=found.number,
                store_era=found.era,
            )


def _withdraws(in_force, found):
    """Return whether a key that is in force is not among those found.

    Args:
        in_force: `tenants.KeyTable` or None.
        found: The same of a later configuration of a lower number, which the
            store was given after it had returned from an older copy.
    """
    if in_force is None or found is None:
        return False
    return not found.holds_keys_of(in_force)
