"""Contract of a row feed, on the twin and on the platform's store."""

import asyncio

import testtools

from jujubefold import clock
from jujubefold import errors
from jujubefold.platform import store
from jujubefold.sidecar import options
from jujubefold.sidecar import rowfeed
from tests import rowstore
from tests import sidecars


class Contract:
    """What every row feed does."""

    def play(self, scene):
        """Run a coroutine function with a feed and what holds its rows."""
        raise NotImplementedError

    def test_a_table_is_read_whole(self):
        async def scene(feed, _):
            for number in range(8):
                await feed.put('t', f'k{number}', b'%d' % number)
            await feed.put('other', 'k', b'x')
            found = (await feed.read('t')).ok
            self.assertEqual(
                {f'k{n}': b'%d' % n for n in range(8)},
                {row.key: row.value for row in found.rows},
            )
            # Every byte of a value survives.
            await feed.put('t', 'k0', bytes(range(256)))
            found = (await feed.read('t')).ok
            values = {row.key: row.value for row in found.rows}
            self.assertEqual(bytes(range(256)), values['k0'])

        self.play(scene)

    def test_one_row_is_read_alone(self):
        async def scene(feed, _):
            for key in ('a', 'ab', 'b'):
                await feed.put('t', key, key.encode())
            self.assertEqual(b'a', (await feed.get('t', 'a')).ok)
            self.assertIsNone((await feed.get('t', 'aa')).ok)
            self.assertIsNone((await feed.get('other', 'a')).ok)

        self.play(scene)

    def test_changes_are_waited_for_and_come_once(self):
        async def scene(feed, _):
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

        self.play(scene)

    def test_no_change_is_an_answer_after_the_wait(self):
        async def scene(feed, _):
            await feed.put('t', 'a', b'1')
            start = (await feed.read('t')).ok.version
            found = (await feed.changes('t', start, 0.1)).ok
            self.assertEqual(((), start), (found.rows, found.version))

        self.play(scene)

    def test_a_forgotten_history_is_said(self):
        async def scene(feed, held):
            await feed.put('t', 'a', b'1')
            start = (await feed.read('t')).ok.version
            await feed.put('t', 'b', b'2')
            held.compact()
            found = await feed.changes('t', start, 5.0)
            self.assertIsInstance(found.error, rowfeed.HistoryCompacted)

        self.play(scene)


class TestMemoryRowFeed(Contract, testtools.TestCase):
    def play(self, scene):
        async def main():
            feed = rowfeed.MemoryRowFeed()
            await scene(feed, feed)

        asyncio.run(main())


class TestStoreFeed(Contract, testtools.TestCase):
    def play(self, scene):
        async def main():
            held = rowstore.RowStore()
            await held.start(f'{sidecars.LOOPBACK}:0')
            called = []
            feed = store.StoreFeed(
                options.Store(held.address, timeout=0.3),
                clock.SystemClock(),
                lambda *call: called.append(call),
            )
            held.called = called
            try:
                async with asyncio.timeout(20):
                    await scene(feed, held)
            finally:
                await held.close()

        asyncio.run(main())

    def test_failures_are_told_apart(self):
        async def scene(feed, held):
            cases = (
                ('busy', errors.StoreNotRun, errors.StoreNotRun),
                ('many', errors.StoreNotRun, errors.StoreNotRun),
                ('reset', errors.StoreNotRun, errors.StoreOutcomeUnknown),
                ('silent', errors.StoreNotRun, errors.StoreOutcomeUnknown),
            )
            for mode, read, write in cases:
                held.mode = mode
                found = await feed.read('t')
                self.assertIsInstance(found.error, read, mode)
                found = await feed.put('t', 'k', b'v')
                self.assertIsInstance(found.error, write, mode)
            held.mode = 'lost'
            found = await feed.put('t', 'k', b'v')
            self.assertIsInstance(found.error, errors.StoreOutcomeUnknown)
            held.mode = 'serve'
            self.assertEqual(1, len((await feed.read('t')).ok.rows))

        self.play(scene)

    def test_nobody_listening_is_no_write(self):
        async def scene(feed, held):
            await held.close()
            found = await feed.put('t', 'k', b'v')
            self.assertIsInstance(found.error, errors.StoreNotRun)

        self.play(scene)

    def test_calls_are_counted(self):
        async def scene(feed, held):
            await feed.read('t')
            held.mode = 'busy'
            await feed.read('t')
            self.assertEqual(
                [('read', '200'), ('read', '503')],
                [call[:2] for call in held.called],
            )

        self.play(scene)
