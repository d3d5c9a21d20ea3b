"""Versions: the configuration in force, whose number only increases."""

import collections
import dataclasses

from jujubefold import mesh
from jujubefold.sidecar import distribution

# Unknown values of one version that are logged; a new kind of route usually
# comes on many routes.
MAX_UNKNOWN_LOGGED = 8


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
    """

    mesh: mesh.Mesh
    limits: CallerLimits = CallerLimits()
    unknown_values: tuple[UnknownValue, ...] = ()


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

    @property
    def number(self):
        """Number of the version in force; 0 without one."""
        return self.current.mesh.number

    def compressed(self, base):
        """Return the version in force, compressed for another daemon.

        Args:
            base: Number of the version that the daemon has; 0 for none.

        Returns:
            Number of the version needed to decompress it, 0 for none, and
            the compressed bytes.
        """
        if base not in self._bodies:
            base = 0
        body = self._bodies[self.number]
        return base, distribution.compress(body, self._bodies.get(base, b''))

    def apply_compressed(self, base, data, source):
        """Put a compressed configuration in force.

        Args:
            base: Number of the version that it was compressed against; 0 for
                none.
            data: Compressed bytes.
            source: As in `apply`.

        Returns:
            Whether it could be decompressed.
        """
        if base and base not in self._bodies:
            return False
        try:
            body = distribution.decompress(data, self._bodies.get(base, b''))
        except ValueError as error:
            self._count_fault('damaged')
            self._event_log.record(
                'version.damaged', source=source, detail=str(error)
            )
            return False
        self.apply(body, source)
        return True

    def apply(self, body, source):
        """Put a configuration in force if it is valid and newer.

        Args:
            body: Bytes of the configuration.
            source: Where it came from, `store` or `peer`.
        """
        if body == self._bodies.get(self.number):
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
        if configuration.mesh.number <= before:
            return
        self.current = configuration
        self._bodies[configuration.mesh.number] = body
        while len(self._bodies) > distribution.KEPT_VERSIONS:
            self._bodies.popitem(last=False)
        self._event_log.record(
            'version.in_force',
            version=configuration.mesh.number,
            before=before,
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
