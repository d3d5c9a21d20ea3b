"""Tests of following a table of the platform's store."""

import asyncio
import random

import testtools

from jujubefold import errors
from jujubefold.sidecar import feedwatcher
from jujubefold.sidecar import rowfeed
from tests import sidecars

# Seconds for which a read waits for changes.
WAIT_S = 0.5


class TestFeedWatcher(testtools.TestCase):
    def play(self, scenario, max_interval=0.01):
        """Run a scenario with a feed, the rows received, and the event log."""

        async def main():
            feed = rowfeed.MemoryRowFeed()
            received = {}
            states = []
            event_log = sidecars.RecordingEventLog()

            def replace(rows):
                received.clear()
                update(rows)

            def update(rows):
                received.update({row.key: row.value for row in rows})

            watcher = feedwatcher.FeedWatcher(
                feed,
                't',
                replace,
                update,
                feedwatcher.PollIntervals(0.01, max_interval, WAIT_S),
                states.append,
                random.Random(1),
                event_log,
            )
            task = asyncio.ensure_future(watcher.run())
            try:
                async with asyncio.timeout(20):
                    await scenario(feed, received, event_log)
            finally:
                task.cancel()

        asyncio.run(main())

    async def until(self, condition):
        """Wait until a condition holds."""
        while not condition():
            await asyncio.sleep(0.01)

    def test_an_unexpected_error_does_not_end_the_task(self):
        """Guards against a reader that silently hears nothing any more."""

        async def scenario(feed, received, event_log):
            reported = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: reported.append(context['exception'])
            )
            await feed.put('t', 'a', b'1')
            await self.until(lambda: received == {'a': b'1'})
            changes, feed.changes = feed.changes, None
            await feed.wake()
            await self.until(lambda: reported)
            feed.changes = changes
            await feed.put('t', 'a', b'2')
            await self.until(lambda: received == {'a': b'2'})
            self.assertIsInstance(reported[0], TypeError)

        self.play(scenario)

    def test_frequent_changes_are_batched_into_few_reads(self):
        reads = []

        async def scenario(feed, received, _):
            changes = feed.changes

            async def counted(*args):
                reads.append(args)
                return await changes(*args)

            feed.changes = counted
            for number in range(60):
                await feed.put('t', 'key', b'%d' % number)
                await asyncio.sleep(0.01)
            await self.until(lambda: received.get('key') == b'59')

        self.play(scenario, max_interval=0.16)
        # The interval doubles four times, from 0.01 s to 0.16 s, and then
        # stays there.
        self.assertLessEqual(len(reads), 4 + 1.0 / 0.16)

    def test_changes_are_delivered(self):
        async def scenario(feed, received, _):
            await feed.put('t', 'a', b'1')
            await self.until(lambda: received == {'a': b'1'})
            await feed.put('t', 'a', b'2')
            await self.until(lambda: received == {'a': b'2'})
            await feed.remove('t', 'a')
            await self.until(lambda: received == {'a': None})

        self.play(scenario)

    def test_an_outage_is_logged_once_and_recovered_from(self):
        async def scenario(feed, received, event_log):
            await feed.put('t', 'a', b'1')
            await self.until(lambda: received == {'a': b'1'})
            feed.fault = errors.StoreNotRun('away')
            await feed.wake()
            await asyncio.sleep(0.6)
            feed.fault = None
            await feed.put('t', 'b', b'2')
            await self.until(lambda: 'b' in received)
            events = [event for event, _ in event_log.records]
            self.assertEqual(['store.lost', 'store.regained'], events)

        self.play(scenario)

    def test_the_table_is_read_in_full_after_history_was_compacted(self):
        async def scenario(feed, received, event_log):
            await feed.put('t', 'a', b'1')
            await self.until(lambda: received == {'a': b'1'})
            feed.fault = errors.StoreNotRun('away')
            await feed.wake()
            await asyncio.sleep(0.1)
            feed.fault = None
            await feed.remove('t', 'a')
            await feed.put('t', 'b', b'2')
            feed.compact()
            await self.until(lambda: received == {'b': b'2'})
            self.assertIn(
                'store.history_gone', [e for e, _ in event_log.records]
            )

        self.play(scenario)

    def test_a_store_that_never_answers_is_reported_lost(self):
        async def scenario(feed, received, event_log):
            await feed.put('t', 'a', b'1')
            await self.until(lambda: received == {'a': b'1'})
            feed.fault = errors.StoreNotRun('silent')
            # The pending read returns no changes after `WAIT_S`; only the
            # next read fails.
            await asyncio.sleep(WAIT_S + 0.3)
            self.assertIn(
                'store.lost', [event for event, _ in event_log.records]
            )

        self.play(scenario)

    def test_first_read_after_a_start_shows_at_once_whether_it_fails(self):
        async def main():
            feed = rowfeed.MemoryRowFeed()
            waits = []
            changes = feed.changes

            async def recorded(table, after, wait):
                waits.append(wait)
                return await changes(table, after, wait)

            feed.changes = recorded
            watcher = feedwatcher.FeedWatcher(
                feed,
                't',
                lambda rows: None,
                lambda rows: None,
                feedwatcher.PollIntervals(0.01, 0.01, WAIT_S),
                lambda available: None,
                random.Random(1),
                sidecars.RecordingEventLog(),
            )
            for _ in range(2):
                task = asyncio.ensure_future(watcher.run())
                await asyncio.sleep(0.2)
                task.cancel()
            # The first start reads the table in full before.
            self.assertEqual([WAIT_S, 0.0, WAIT_S], waits)

        asyncio.run(main())

    def test_row_at_a_version_that_was_given_out_again_is_not_missed(self):
        async def scenario(feed, received, event_log):
            feed.era = 1
            await feed.put('t', 'a', b'1')
            copied = feed.copy()
            await feed.put('t', 'a', b'2')
            await self.until(lambda: received == {'a': b'2'})
            feed.restore(copied)
            await feed.put('t', 'b', b'1')
            await feed.put('other', 'c', b'1')
            await self.until(lambda: received == {'a': b'1', 'b': b'1'})

        self.play(scenario)
