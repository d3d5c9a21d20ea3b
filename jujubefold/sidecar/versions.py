"""Versions: the configuration in force, which never goes back."""

import collections
import dataclasses

from jujubefold import mesh
from jujubefold.sidecar import distribution


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    Args:
        head_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        head_timeout: Seconds in which a head must be whole.
        idle_timeout: Seconds between two requests on a connection.
    """

    head_bytes: int = 32 * 1024
    body_bytes: int = 32 * 1024 * 1024
    head_timeout: float = 10.0
    idle_timeout: float = 75.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration, checked.

    Args:
        mesh: The `mesh.Mesh`, numbered.
        limits: A `CallerLimits`.
    """

    mesh: mesh.Mesh
    limits: CallerLimits = CallerLimits()


class Versions:
    """Holds the newest configuration that this daemon knows.

    Args:
        decode: Turns bytes into `Ok(Configuration)` or
            `Error(errors.Invalid)`.
        changed: Called with each `Configuration` put in force, and who told
            of it.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, decode, changed, event_log):
        self._bodies = collections.OrderedDict()
        self.current = Configuration(mesh.Mesh())
        self._decode = decode
        self._changed = changed
        self._event_log = event_log

    @property
    def number(self):
        """Number of the version in force; 0 before the first."""
        return self.current.mesh.number

    def compressed(self, base):
        """Return the version in force for a daemon that has another one.

        Args:
            base: Number of the version that the other has; 0 for none.

        Returns:
            The base that is needed to unpack it, and the packed bytes.
        """
        if base not in self._bodies:
            base = 0
        body = self._bodies[self.number]
        return base, distribution.compress(body, self._bodies.get(base, b''))

    def apply_compressed(self, base, data, source):
        """Put a packed configuration in force; return whether it fits.

        Args:
            base: Number of the version that it was packed against.
            data: Packed bytes.
            source: As in `apply`.
        """
        if base and base not in self._bodies:
            return False
        try:
            body = distribution.decompress(data, self._bodies.get(base, b''))
        except ValueError as error:
            self._event_log.record(
                'version.damaged', source=source, detail=str(error)
            )
            return False
        self.apply(body, source)
        return True

    def apply(self, body, source):
        """Put a configuration in force if it is newer and whole.

        Args:
            body: Its bytes.
            source: Who told of it, for the log.
        """
        if body == self._bodies.get(self.number):
            return
        decoded = self._decode(body)
        if decoded.is_error():
            self._event_log.record(
                'version.invalid',
                source=source,
                where=decoded.error.where,
                detail=decoded.error.reason,
            )
            return
        found = decoded.ok
        before = self.number
        if found.mesh.number <= before:
            return
        self.current = found
        self._bodies[found.mesh.number] = body
        while len(self._bodies) > distribution.KEPT_VERSIONS:
            self._bodies.popitem(last=False)
        self._event_log.record(
            'version.in_force',
            version=found.mesh.number,
            before=before,
            source=source,
            routes=len(found.mesh.routes),
        )
        self._changed(found, source)
