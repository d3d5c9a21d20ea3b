"""Tests of the record of upstreams that left."""

import asyncio

import expression
import testtools

from jujubefold import clock
from jujubefold import errors
from jujubefold.sidecar import departures
from jujubefold.sidecar import rowfeed
from tests import sidecars


class SlowFeed(rowfeed.MemoryRowFeed):
    """Row feed whose reads of one row take a while."""

    async def get(self, table, key):
        found = await super().get(table, key)
        await asyncio.sleep(0.02)
        return found


class LateFeed(rowfeed.MemoryRowFeed):
    """Row feed whose first write is not answered, and carried out late.

    Attributes:
        late: Calls that carry out the write; empty before and after.
    """

    def __init__(self):
        super().__init__()
        self.late = []
        self._lost = False

    async def put(self, table, key, value):
        return await self._lose(super().put, table, key, value)

    async def transact(self, conditions, puts):
        return await self._lose(super().transact, conditions, puts)

    async def _lose(self, write, *args):
        if self._lost:
            return await write(*args)
        self._lost = True
        self.late.append(lambda: write(*args))
        return expression.Error(errors.StoreOutcomeUnknown('no answer'))


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

    def test_acknowledged_departure_is_written_when_the_store_is_back(self):
        """Guards against one that is known only until the daemon ends."""

        async def scenario():
            feed = rowfeed.MemoryRowFeed()
            daemon = recorder(feed)
            for fault in (
                sidecars.store_unavailable(),
                errors.StoreOutcomeUnknown('no answer'),
            ):
                feed.fault = fault
                name = f'i-{fault.reason}'
                self.assertFalse(await daemon.record(name, 10))
                await asyncio.sleep(0.5)
                self.assertTrue(daemon.unwritten)
                feed.fault = None
                await asyncio.sleep(departures.RETRY_INTERVAL_S + 0.05)
                self.assertFalse(daemon.unwritten)
                self.assertIn(name, await stored(feed))

        sidecars.run_coroutine(scenario())

    def test_write_that_is_carried_out_late_replaces_no_later_one(self):
        """Guards against a lost write that takes a departure back."""

        async def scenario():
            feed = LateFeed()
            daemon = recorder(feed)
            self.assertTrue(await daemon.record('i-1', 10))
            self.assertTrue(await daemon.record('i-2', 20))
            for carry_out in feed.late:
                await carry_out()
            self.assertEqual(1, len(feed.late))
            self.assertEqual({'i-1': 10, 'i-2': 20}, await stored(feed))

        sidecars.run_coroutine(scenario())

    def test_departures_recorded_during_a_write_are_written(self):
        async def scenario():
            feed = SlowFeed()
            daemon = recorder(feed)
            expected = {f'i-{number}': number for number in range(6)}
            written = await asyncio.gather(
                *(daemon.record(*item) for item in expected.items())
            )
            self.assertEqual([True] * 6, written)
            self.assertEqual(expected, await stored(feed))

        sidecars.run_coroutine(scenario())

    def test_a_row_that_cannot_be_read_is_reported(self):
        async def scenario():
            feed = rowfeed.MemoryRowFeed()
            await feed.put(departures.TABLE, 'vm-1', b'\xff')
            daemon = recorder(feed)
            self.assertEqual({}, await daemon.load())
            self.assertTrue(await daemon.record('i-1', 1))

        sidecars.run_coroutine(scenario())
