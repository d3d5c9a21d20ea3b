"""Contract tests of row feeds, in memory and on the platform's store."""

import asyncio

import testtools

from jujubefold import clock
from jujubefold import errors
from jujubefold.platform import store
from jujubefold.sidecar import options
from jujubefold.sidecar import rowfeed
from tests import rowstore
from tests import sidecars


class RowFeedContract:
    """Tests that each row feed must pass."""

    def play(self, scenario):
        """Run a coroutine function with a feed and the store behind it."""
        raise NotImplementedError

    def test_read_returns_all_rows_of_a_table(self):
        async def scenario(feed, _):
            for number in range(8):
                await feed.put('t', f'k{number}', b'%d' % number)
            await feed.put('other', 'k', b'x')
            found = (await feed.read('t')).ok
            self.assertEqual(
                {f'k{n}': b'%d' % n for n in range(8)},
                {row.key: row.value for row in found.rows},
            )
            # Values may contain any byte.
            await feed.put('t', 'k0', bytes(range(256)))
            found = (await feed.read('t')).ok
            values = {row.key: row.value for row in found.rows}
            self.assertEqual(bytes(range(256)), values['k0'])

        self.play(scenario)

    def test_get_returns_one_row(self):
        async def scenario(feed, _):
            for key in ('a', 'ab', 'b'):
                await feed.put('t', key, key.encode())
            found = (await feed.get('t', 'a')).ok
            self.assertEqual((rowfeed.Row('a', b'a'),), found.rows)
            self.assertEqual((), (await feed.get('t', 'aa')).ok.rows)
            self.assertEqual((), (await feed.get('other', 'a')).ok.rows)

        self.play(scenario)

    def test_changes_are_awaited_and_delivered_once(self):
        async def scenario(feed, _):
            await feed.put('t', 'a', b'1')
            start = (await feed.read('t')).ok.version
            waiting = asyncio.ensure_future(feed.changes('t', start, 5.0))
            await asyncio.sleep(0.05)
            self.assertFalse(waiting.done())
            await feed.put('t', 'b', b'2')
            found = (await waiting).ok
            self.assertEqual((rowfeed.Row('b', b'2'),), found.rows)
            await feed.remove('t', 'a')
            found = (await feed.changes('t', found.version, 5.0)).ok
            self.assertEqual((rowfeed.Row('a', None),), found.rows)

        self.play(scenario)

    def test_no_changes_are_returned_after_the_wait(self):
        async def scenario(feed, _):
            await feed.put('t', 'a', b'1')
            start = (await feed.read('t')).ok.version
            found = (await feed.changes('t', start, 0.1)).ok
            self.assertEqual(((), start), (found.rows, found.version))

        self.play(scenario)

    def test_a_compacted_history_is_reported(self):
        async def scenario(feed, fake_store):
            await feed.put('t', 'a', b'1')
            start = (await feed.read('t')).ok.version
            await feed.put('t', 'b', b'2')
            fake_store.compact()
            found = await feed.changes('t', start, 5.0)
            self.assertIsInstance(found.error, rowfeed.HistoryCompacted)

        self.play(scenario)

    def test_a_return_from_a_copy_is_told_by_the_era(self):
        async def scenario(feed, fake_store):
            await feed.put('t', 'a', b'1')
            copied = fake_store.copy()
            await feed.put('t', 'a', b'2')
            await feed.put('t', 'a', b'3')
            end = (await feed.read('t')).ok.version
            fake_store.restore(copied)
            self.assertEqual(1, (await feed.put('t', 'b', b'4')).ok)
            # A version that the store does not have is refused.
            found = await feed.changes('t', end, 0.0)
            self.assertIsInstance(found.error, rowfeed.HistoryCompacted)
            self.assertEqual(1, (await feed.put('t', 'b', b'5')).ok)
            # One that was given out again is not.
            found = (await feed.changes('t', end, 0.0)).ok
            self.assertEqual(rowfeed.Cursor(1, end), found.cursor)
            found = (await feed.read('t')).ok
            self.assertEqual(1, found.era)
            self.assertIn(rowfeed.Row('a', b'1'), found.rows)
            self.assertEqual(1, (await feed.get('t', 'a')).ok.era)
            self.assertEqual(1, (await feed.remove('t', 'a')).ok)

        self.play(scenario)

    def test_transaction_writes_all_rows_or_none(self):
        """Guards against two controllers that both make a step."""

        async def scenario(feed, _):
            put = rowfeed.Put
            absent = rowfeed.Condition('t', 'a', 0)
            first = await feed.transact(
                [absent], [put('t', 'a', b'1'), put('u', 'b', b'2')]
            )
            self.assertTrue(first.is_ok())
            (row,) = (await feed.get('t', 'a')).ok.rows
            (other,) = (await feed.get('u', 'b')).ok.rows
            self.assertEqual((b'1', b'2'), (row.value, other.value))
            self.assertEqual(row.version, other.version)
            same = rowfeed.Condition('t', 'a', row.version)
            for conditions in (
                [absent],
                [same, rowfeed.Condition('t', 'x', 9)],
            ):
                refused = await feed.transact(
                    conditions, [put('t', 'a', b'3'), put('u', 'c', b'4')]
                )
                self.assertIsInstance(refused.error, rowfeed.Conflict)
            self.assertEqual((), (await feed.get('u', 'c')).ok.rows)
            changed = await feed.transact([same], [put('t', 'a', b'5')])
            self.assertTrue(changed.is_ok())
            found = (await feed.changes('t', row.version, 1.0)).ok
            self.assertEqual([b'5'], [item.value for item in found.rows])
            self.assertGreater(found.rows[0].version, row.version)

        self.play(scenario)

    def test_answers_about_rows_tell_the_clock_of_the_store(self):
        """Guards against deadlines that follow the clock of a VM."""

        async def scenario(feed, fake_store):
            fake_store.now = lambda: 123.5
            await feed.put('t', 'a', b'1')
            for answer in (
                await feed.read('t'),
                await feed.get('t', 'a'),
                await feed.changes('t', 0, 0.0),
            ):
                self.assertEqual(123.5, answer.ok.now)

        self.play(scenario)


class TestMemoryRowFeed(RowFeedContract, testtools.TestCase):
    def play(self, scenario):
        async def main():
            feed = rowfeed.MemoryRowFeed()
            await scenario(feed, feed)

        asyncio.run(main())


class TestPlatformRowFeed(RowFeedContract, testtools.TestCase):
    def play(self, scenario):
        async def main():
            fake_store = rowstore.RowStore()
            await fake_store.start(f'{sidecars.LOOPBACK}:0')
            called = []
            event_log = sidecars.RecordingEventLog()
            feed = store.PlatformRowFeed(
                options.Store(fake_store.address, timeout=0.3),
                clock.SystemClock(),
                lambda *call: called.append(call),
                event_log,
            )
            fake_store.called = called
            fake_store.event_log = event_log
            try:
                async with asyncio.timeout(20):
                    await scenario(feed, fake_store)
            finally:
                await fake_store.close()

        asyncio.run(main())

    def test_failures_show_whether_a_call_took_effect(self):
        async def scenario(feed, fake_store):
            cases = (
                ('busy', errors.StoreNotRun, errors.StoreNotRun),
                ('many', errors.StoreNotRun, errors.StoreNotRun),
                ('broken', errors.StoreNotRun, errors.StoreOutcomeUnknown),
                ('reset', errors.StoreNotRun, errors.StoreOutcomeUnknown),
                ('silent', errors.StoreNotRun, errors.StoreOutcomeUnknown),
            )
            for mode, read, write in cases:
                fake_store.mode = mode
                found = await feed.read('t')
                self.assertIsInstance(found.error, read, mode)
                found = await feed.put('t', 'k', b'v')
                self.assertIsInstance(found.error, write, mode)
                found = await feed.transact([], [rowfeed.Put('t', 'k', b'')])
                self.assertIsInstance(found.error, write, mode)
            fake_store.mode = 'lost'
            found = await feed.put('t', 'k', b'v')
            self.assertIsInstance(found.error, errors.StoreOutcomeUnknown)
            fake_store.mode = 'serve'
            self.assertEqual(1, len((await feed.read('t')).ok.rows))

        self.play(scenario)

    def test_a_row_that_cannot_be_decoded_is_skipped(self):
        """Guards against one damaged row that hides all others."""

        async def scenario(feed, fake_store):
            fake_store.put('t', 'a', b'1')
            fake_store.put('t', 'b', b'2')
            fake_store.rows[('t', 'a')]['value'] = 'no base64'
            found = await feed.read('t')
            self.assertEqual([b'2'], [row.value for row in found.ok.rows])
            self.assertEqual(
                [('store.row_invalid', 'a')],
                [(name, f['row']) for name, f in fake_store.event_log.records],
            )

        self.play(scenario)

    def test_changes_during_a_read_of_many_pages_are_not_missed(self):
        async def scenario(feed, fake_store):
            for number in range(2 * rowstore.PAGE_ROWS):
                fake_store.put('t', f'k{number:04}', b'old')

            def change_first_row():
                fake_store.after_read = lambda: None
                fake_store.put('t', 'k0000', b'new')

            fake_store.after_read = change_first_row
            rows = (await feed.read('t')).ok
            changes = (await feed.changes('t', rows.version, 0.1)).ok
            self.assertIn(rowfeed.Row('k0000', b'new'), changes.rows)

        self.play(scenario)

    def test_an_era_that_cannot_be_read_counts_as_none(self):
        async def scenario(feed, fake_store):
            for fake_store.era in ('x', '0', '-1', '1e3', '9' * 10, 'x'):
                self.assertEqual(0, (await feed.read('t')).ok.era)
            fake_store.era = '12'
            self.assertEqual(12, (await feed.read('t')).ok.era)
            self.assertEqual(
                ['x', '0', '-1', '1e3', '9' * 10, 'x'],
                [
                    fields['value']
                    for event, fields in fake_store.event_log.records
                    if event == 'store.era_invalid'
                ],
            )

        self.play(scenario)

    def test_an_era_that_rises_between_pages_ends_the_read(self):
        async def scenario(feed, fake_store):
            for number in range(2 * rowstore.PAGE_ROWS):
                fake_store.put('t', f'k{number:04}', b'old')
            fake_store.era = '1'
            copied = fake_store.copy()

            def restore():
                fake_store.after_read = lambda: None
                fake_store.restore(copied)

            fake_store.after_read = restore
            found = await feed.read('t')
            self.assertIsInstance(found.error, errors.StoreNotRun)
            self.assertEqual(2, (await feed.read('t')).ok.era)

        self.play(scenario)

    def test_a_refused_connection_writes_nothing(self):
        async def scenario(feed, fake_store):
            await fake_store.close()
            found = await feed.put('t', 'k', b'v')
            self.assertIsInstance(found.error, errors.StoreNotRun)

        self.play(scenario)

    def test_calls_are_counted(self):
        async def scenario(feed, fake_store):
            await feed.read('t')
            fake_store.mode = 'busy'
            await feed.read('t')
            self.assertEqual(
                [('read', '200'), ('read', '503')],
                [call[:2] for call in fake_store.called],
            )

        self.play(scenario)
