"""Tests of the record of upstreams that left."""

import asyncio

import testtools

from jujubefold import clock
from jujubefold.sidecar import departures
from jujubefold.sidecar import rowfeed
from tests import sidecars


class SlowFeed(rowfeed.MemoryRowFeed):
    """Row feed whose reads of one row take a while."""

    async def get(self, table, key):
        found = await super().get(table, key)
        await asyncio.sleep(0.02)
        return found


def recorder(feed):
    return departures.Departures(
        feed, 'vm-1', clock.SystemClock(), sidecars.RecordingEventLog()
    )


async def stored(feed):
    """Return what a later start of the daemon reads."""
    return await recorder(feed).load()


class TestDepartures(testtools.TestCase):
    def test_departure_during_the_load_is_kept_with_earlier_ones(self):
        async def scenario():
            feed = SlowFeed()
            await recorder(feed).record('i-1', 10)
            daemon = recorder(feed)
            loaded, written = await asyncio.gather(
                daemon.load(), daemon.record('i-2', 20)
            )
            self.assertTrue(written)
            self.assertEqual({'i-1': 10, 'i-2': 20}, loaded)
            self.assertEqual({'i-1': 10, 'i-2': 20}, await stored(feed))

        sidecars.run_coroutine(scenario())

    def test_departure_recorded_without_a_load_keeps_earlier_ones(self):
        async def scenario():
            feed = rowfeed.MemoryRowFeed()
            await recorder(feed).record('i-1', 10)
            await recorder(feed).record('i-2', 20)
            self.assertEqual({'i-1': 10, 'i-2': 20}, await stored(feed))

        sidecars.run_coroutine(scenario())

    def test_only_the_newest_departures_are_kept(self):
        async def scenario():
            feed = rowfeed.MemoryRowFeed()
            daemon = recorder(feed)
            for number in range(departures.MAX_DEPARTURES + 2):
                await daemon.record(f'i-{number}', number)
            found = await stored(feed)
            self.assertEqual(departures.MAX_DEPARTURES, len(found))
            self.assertNotIn('i-1', found)

        sidecars.run_coroutine(scenario())

    def test_a_row_that_cannot_be_read_is_reported(self):
        async def scenario():
            feed = rowfeed.MemoryRowFeed()
            await feed.put(departures.TABLE, 'vm-1', b'\xff')
            daemon = recorder(feed)
            self.assertEqual({}, await daemon.load())
            self.assertTrue(await daemon.record('i-1', 1))

        sidecars.run_coroutine(scenario())
