"""Versions: the configuration in force, which never goes back."""

import dataclasses

from jujubefold import mesh


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    Args:
        head_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        head: Seconds in which a head must be whole.
        idle: Seconds between two requests on a connection.
    """

    head_bytes: int = 32 * 1024
    body_bytes: int = 32 * 1024 * 1024
    head: float = 10.0
    idle: float = 75.0


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
        changed: Called with each `Configuration` put in force.
        journal: A `journal.Journal`.
    """

    def __init__(self, decode, changed, journal):
        self.body = b''
        self.current = Configuration(mesh.Mesh())
        self._decode = decode
        self._changed = changed
        self._journal = journal

    @property
    def number(self):
        """Number of the version in force; 0 before the first."""
        return self.current.mesh.number

    def take(self, body, source):
        """Put a configuration in force if it is newer and whole.

        Args:
            body: Its bytes.
            source: Who told of it, for the log.
        """
        if body == self.body:
            return
        decoded = self._decode(body)
        if decoded.is_error():
            self._journal.note(
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
        self.body = body
        self.current = found
        self._journal.note(
            'version.in_force',
            version=found.mesh.number,
            before=before,
            source=source,
            routes=len(found.mesh.routes),
        )
        self._changed(found)
