"""Tests of keeping up with a table."""

import asyncio
import random

import testtools

from jujubefold import errors
from jujubefold.sidecar import rowfeed
from jujubefold.sidecar import tablewatcher
from tests import sidecars

# Seconds for which a read waits for changes.
WAIT_S = 0.5


class TestFollower(testtools.TestCase):
    def play(self, scene, most_rest=0.01):
        """Run a scene with a feed, what was seen of it, and the log."""

        async def main():
            feed = rowfeed.MemoryRowFeed()
            seen = {}
            states = []
            book = sidecars.RecordingEventLog()

            def whole(rows):
                seen.clear()
                changed(rows)

            def changed(rows):
                seen.update({row.key: row.value for row in rows})

            item = tablewatcher.TableWatcher(
                feed,
                't',
                whole,
                changed,
                tablewatcher.PollIntervals(0.01, most_rest, WAIT_S),
                states.append,
                random.Random(1),
                book,
            )
            task = asyncio.ensure_future(item.run())
            try:
                async with asyncio.timeout(20):
                    await scene(feed, seen, book)
            finally:
                task.cancel()

        asyncio.run(main())

    async def until(self, condition):
        """Wait until something holds."""
        while not condition():
            await asyncio.sleep(0.01)

    def test_a_table_that_changes_all_the_time_costs_few_reads(self):
        reads = []

        async def scene(feed, seen, _):
            changes = feed.changes

            async def counted(*args):
                reads.append(args)
                return await changes(*args)

            feed.changes = counted
            for number in range(60):
                await feed.put('t', 'key', b'%d' % number)
                await asyncio.sleep(0.01)
            await self.until(lambda: seen.get('key') == b'59')

        self.play(scene, most_rest=0.16)
        # Rests of 0.01 s, doubled four times, and of 0.16 s from then on.
        self.assertLessEqual(len(reads), 4 + 1.0 / 0.16)

    def test_changes_arrive(self):
        async def scene(feed, seen, _):
            await feed.put('t', 'a', b'1')
            await self.until(lambda: seen == {'a': b'1'})
            await feed.put('t', 'a', b'2')
            await self.until(lambda: seen == {'a': b'2'})
            await feed.remove('t', 'a')
            await self.until(lambda: seen == {'a': None})

        self.play(scene)

    def test_an_outage_is_said_once_and_survived(self):
        async def scene(feed, seen, book):
            await feed.put('t', 'a', b'1')
            await self.until(lambda: seen == {'a': b'1'})
            feed.fault = errors.StoreNotRun('away')
            await feed.wake()
            await asyncio.sleep(0.6)
            feed.fault = None
            await feed.put('t', 'b', b'2')
            await self.until(lambda: 'b' in seen)
            events = [event for event, _ in book.records]
            self.assertEqual(['store.lost', 'store.regained'], events)

        self.play(scene)

    def test_a_gap_in_the_history_is_read_over(self):
        async def scene(feed, seen, book):
            await feed.put('t', 'a', b'1')
            await self.until(lambda: seen == {'a': b'1'})
            feed.fault = errors.StoreNotRun('away')
            await feed.wake()
            await asyncio.sleep(0.1)
            feed.fault = None
            await feed.remove('t', 'a')
            await feed.put('t', 'b', b'2')
            feed.compact()
            await self.until(lambda: seen == {'b': b'2'})
            self.assertIn('store.history_gone', [e for e, _ in book.records])

        self.play(scene)

    def test_a_platform_that_never_answers_is_found_out(self):
        async def scene(feed, seen, book):
            await feed.put('t', 'a', b'1')
            await self.until(lambda: seen == {'a': b'1'})
            feed.fault = errors.StoreNotRun('silent')
            # A call that is under way hangs; only the next one says so.
            await asyncio.sleep(WAIT_S + 0.3)
            self.assertIn('store.lost', [event for event, _ in book.records])

        self.play(scene)
