"""Object store: interface to the platform's blobs, keyed by content hash."""

import abc
import hashlib

import expression


class ObjectStore(abc.ABC):
    """Stores immutable blobs under the hex SHA-256 of their content."""

    @abc.abstractmethod
    async def put(self, data):
        """Store bytes; storing the same bytes again has no effect.

        Returns:
            `Ok(digest)`, or `Error` of `errors.StoreNotRun` or
            `errors.StoreOutcomeUnknown`.
        """

    @abc.abstractmethod
    async def get(self, digest):
        """Return the bytes of a blob, after checking their digest.

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
    async def list_blobs(self):
        """List the stored blobs with their ages.

        Returns:
            `Ok(tuple[tuple[digest, age in seconds], ...])` or
            `Error(errors.StoreNotRun)`.
        """


class MemoryObjectStore(ObjectStore):
    """In-memory object store for tests and benchmarks.

    Args:
        clock: A `clock.Clock` by which the age of blobs is measured.
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

    async def list_blobs(self):
        now = self._clock.monotonic()
        return expression.Ok(
            tuple(
                (digest, now - stored_at)
                for digest, (_, stored_at) in self._blobs.items()
            )
        )
