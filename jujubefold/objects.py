"""Objects port: the platform's object store, keyed by content hash."""

import abc
import hashlib

import expression


class Objects(abc.ABC):
    """Immutable blobs named by the hex SHA-256 of their content."""

    @abc.abstractmethod
    async def put(self, data):
        """Store bytes; storing them again changes nothing.

        Returns:
            `Ok(digest)`, or `Error` of `errors.StoreNotRun` or
            `errors.StoreOutcomeUnknown`.
        """

    @abc.abstractmethod
    async def get(self, digest):
        """Return stored bytes whose digest was verified.

        Returns:
            `Ok(bytes)`, `Ok(None)` when absent, or
            `Error(errors.StoreNotRun)`.
        """

    @abc.abstractmethod
    async def delete(self, digest):
        """Remove a blob; removing an absent one succeeds.

        Returns:
            `Ok(None)`, or `Error` of `errors.StoreNotRun` or
            `errors.StoreOutcomeUnknown`.
        """

    @abc.abstractmethod
    async def names(self):
        """List stored blobs.

        Returns:
            `Ok(tuple[tuple[digest, age in seconds], ...])` or
            `Error(errors.StoreNotRun)`.
        """


class MemoryObjects(Objects):
    """In-memory twin of the platform's object store.

    Args:
        clock: A `clock.Clock` that ages of blobs are taken from.
    """

    def __init__(self, clock):
        self._clock = clock
        self._blobs = {}

    async def put(self, data):
        digest = hashlib.sha256(data).hexdigest()
        self._blobs.setdefault(digest, (data, self._clock.monotonic()))
        return expression.Ok(digest)

    async def get(self, digest):
        blob = self._blobs.get(digest)
        return expression.Ok(None if blob is None else blob[0])

    async def delete(self, digest):
        self._blobs.pop(digest, None)
        return expression.Ok(None)

    async def names(self):
        now = self._clock.monotonic()
        return expression.Ok(
            tuple(
                (name, now - born) for name, (_, born) in self._blobs.items()
            )
        )
