"""Blobs: rows about the stored documents, and removal of unused ones."""

import expression

from jujubefold import table

ORPHANS_PER_CALL = 50
REFERENCED = 'kept'
TOMBSTONE = 'condemned'


def key(name):
    """Return the key of the row about a blob.

    Args:
        name: Content hash of the blob.
    """
    return table.Key('blobs', name)


def is_tombstone(row):
    """Return whether a row is a tombstone, which bars its blob from use.

    Args:
        row: A `table.Row`, or None.
    """
    return row is not None and row.values['state'] == TOMBSTONE


class OrphanCollector:
    """Removes blobs that no version refers to.

    Before a blob is removed, a tombstone row is written, which stays: a
    submission that is still in flight, however late, then cannot refer to
    the blob. Names are not reused, since each submission stores a blob of
    its own.

    Args:
        rows: A `table.Table`.
        objects: An `objectstore.ObjectStore`.
    """

    def __init__(self, rows, objects):
        self._rows = rows
        self._objects = objects
        self._after = ''

    async def collect(self, older_than):
        """Remove orphans among the next `ORPHANS_PER_CALL` old blobs.

        Args:
            older_than: Minimum age in seconds; younger blobs may belong to
                a submission in flight.

        Returns:
            `Ok(number of blobs removed)` or `Error(errors.StoreNotRun)`.
        """
        listed = await self._objects.list_blobs()
        if listed.is_error():
            return listed
        page = self._page(listed.ok, older_than)
        if not page:
            return expression.Ok(0)
        found = await self._rows.read([key(name) for name in page])
        if found.is_error():
            return found
        removed = 0
        for name, row in zip(page, found.ok, strict=True):
            if row is None or is_tombstone(row):
                removed += await self._remove(name, row is None)
        return expression.Ok(removed)

    def _page(self, listed, older_than):
        old = sorted(name for name, age in listed if age > older_than)
        remaining = [name for name in old if name > self._after]
        page = remaining[:ORPHANS_PER_CALL]
        has_more = len(remaining) > ORPHANS_PER_CALL
        self._after = page[-1] if has_more else ''
        return page

    async def _remove(self, name, needs_tombstone):
        """Remove a blob, and return 1 on success, else 0."""
        if needs_tombstone:
            tombstone = table.Put(
                key(name), {'state': TOMBSTONE}, table.Absent()
            )
            if (await self._rows.transact([tombstone])).is_error():
                return 0
        return int((await self._objects.delete(name)).is_ok())
