"""Blobs of documents: the rows that say which are in use, and the rest."""

import expression

from jujubefold import table

ORPHANS_PER_CALL = 50
KEPT = 'kept'
CONDEMNED = 'condemned'


def key(name):
    """Return the key of the row about a blob.

    Args:
        name: Content hash of the blob.
    """
    return table.Key('blobs', name)


def is_condemned(row):
    """Return whether a blob's row says that it may never be used.

    Args:
        row: A `table.Row`, or None.
    """
    return row is not None and row.values['state'] == CONDEMNED


class OrphanCollector:
    """Removes blobs that no version refers to.

    A blob is condemned in the table before it is removed, and stays so: a
    submission that is still under way, however late, cannot refer to it.
    Names are never used again, as each submission's blob is its own.

    Args:
        rows: A `table.Table`.
        objects: An `objectstore.ObjectStore`.
    """

    def __init__(self, rows, objects):
        self._rows = rows
        self._objects = objects
        self._after = ''

    async def collect(self, older_than):
        """Remove some orphans; call again for the next.

        Args:
            older_than: Seconds; younger blobs may be part of a submission.

        Returns:
            `Ok(number removed)` or `Error(errors.StoreNotRun)`.
        """
        names = await self._objects.list_blobs()
        if names.is_error():
            return names
        page = self._page(names.ok, older_than)
        if not page:
            return expression.Ok(0)
        found = await self._rows.read([key(name) for name in page])
        if found.is_error():
            return found
        removed = 0
        for name, row in zip(page, found.ok, strict=True):
            if row is None or is_condemned(row):
                removed += await self._remove(name, row is None)
        return expression.Ok(removed)

    def _page(self, names, older_than):
        old = sorted(name for name, age in names if age > older_than)
        rest = [name for name in old if name > self._after]
        page = rest[:ORPHANS_PER_CALL]
        more = len(rest) > ORPHANS_PER_CALL
        self._after = page[-1] if more else ''
        return page

    async def _remove(self, name, is_new):
        """Return 1 when the blob is gone, else 0."""
        if is_new:
            condemn = table.Put(
                key(name), {'state': CONDEMNED}, table.Absent()
            )
            if (await self._rows.transact([condemn])).is_error():
                return 0
        return int((await self._objects.delete(name)).is_ok())
