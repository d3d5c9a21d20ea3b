"""Store era: fences off answers from before the store lost data.

A store that returns from an older copy raises its era. Answers of an earlier
era may arrive after that is known, from other connections; they describe data
that may be lost.
"""

import dataclasses

import expression

from jujubefold import errors
from jujubefold.sidecar import rowfeed

_READ_FENCED = errors.StoreNotRun('the answer is from an earlier era')
_WRITE_FENCED = errors.StoreOutcomeUnknown('the answer is from an earlier era')


class StoreEra:
    """The newest era of the store that this daemon knows.

    Args:
        changed: Called with the new era whenever it rises; not for the first
            one, before which this daemon knew nothing of the store.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, changed, event_log):
        self._known = 0
        self._changed = changed
        self._event_log = event_log

    @property
    def known(self):
        """The newest known era; 0 for none."""
        return self._known

    def accept(self, era, source):
        """Note an era, and return whether it is the newest known one.

        Args:
            era: Era in an answer or a message; 0 if it tells none, which is
                read as the newest known one.
            source: Where it came from, `store` or `peer`.
        """
        if era and era < self._known:
            return False
        if era > self._known:
            before, self._known = self._known, era
            if before:
                self._event_log.record(
                    'store.era', era=era, before=before, source=source
                )
                self._changed(era)
        return True


class FencedRowFeed(rowfeed.RowFeed):
    """Row feed that refuses answers of earlier eras.

    Args:
        feed: The `rowfeed.RowFeed` behind it.
        store_era: A `StoreEra`.
    """

    def __init__(self, feed, store_era):
        self._feed = feed
        self._store_era = store_era

    async def read(self, table):
        return self._fence_rows(await self._feed.read(table))

    async def get(self, table, key):
        return self._fence_rows(await self._feed.get(table, key))

    async def changes(self, table, after, wait):
        return self._fence_rows(await self._feed.changes(table, after, wait))

    async def put(self, table, key, value):
        return self._fence_write(await self._feed.put(table, key, value))

    async def remove(self, table, key):
        return self._fence_write(await self._feed.remove(table, key))

    async def transact(self, conditions, puts):
        return self._fence_write(await self._feed.transact(conditions, puts))

    def _fence_rows(self, result):
        if result.is_error():
            return result
        rows = result.ok
        if not self._store_era.accept(rows.era, 'store'):
            return expression.Error(_READ_FENCED)
        if rows.era:
            return result
        return expression.Ok(
            dataclasses.replace(rows, era=self._store_era.known)
        )

    def _fence_write(self, result):
        if result.is_ok() and not self._store_era.accept(result.ok, 'store'):
            return expression.Error(_WRITE_FENCED)
        return result
