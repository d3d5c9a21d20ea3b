"""Enlistment: keeps this daemon's own rows in the platform's store."""

import asyncio

from jujubefold.sidecar import roster

MEMBERS_TABLE = 'jujubefold-members'
RETRY_S = 0.5
# Seconds over which the daemons' checks of their rows are spread when the
# store has returned from an older copy.
RESTORE_SPREAD_S = 1.0


class Enlistment:
    """The member row of this daemon, and the departures of its upstreams.

    Args:
        feed: A `rowfeed.RowFeed`.
        member: This daemon's `roster.Member`.
        departures: The `departures.Departures` of its VM.
        rng: A `random.Random`.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, feed, member, departures, rng, event_log):
        self._feed = feed
        self._member = member
        self._departures = departures
        self._rng = rng
        self._event_log = event_log

    async def enlist(self):
        """Write the member row, retrying until it succeeds."""
        while True:
            result = await self._feed.put(
                MEMBERS_TABLE, self._member.vm, roster.encode(self._member)
            )
            if result.is_ok():
                self._event_log.record('member.enlisted')
                return
            await self._wait_to_retry()

    async def restore(self):
        """Write the rows again that the store lost with its last changes."""
        await asyncio.sleep(self._rng.uniform(0.0, RESTORE_SPREAD_S))
        await self._departures.restore()
        while True:
            found = await self._feed.get(MEMBERS_TABLE, self._member.vm)
            if found.is_ok():
                break
            await self._wait_to_retry()
        expected = [roster.encode(self._member)]
        if [row.value for row in found.ok.rows] != expected:
            await self.enlist()

    async def remove(self):
        """Remove the member row, once; a stop does not wait for the store."""
        await self._feed.remove(MEMBERS_TABLE, self._member.vm)

    async def _wait_to_retry(self):
        await asyncio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))
