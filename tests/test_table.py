"""Contract of `table.Table`, tested on every implementation."""

import asyncio
import itertools
import random

import testtools

from jujubefold import clock
from jujubefold import errors
from jujubefold import faults
from jujubefold import standin
from jujubefold import storelimit
from jujubefold import table
from jujubefold import tableservice

VALUES = {'n': -(2**60), 'text': 'é\n', 'empty': '', 'bytes': b'\x00\xff'}


def new_unlimited_limiter():
    """Return a limiter whose rate no test reaches."""
    return storelimit.StoreLimiter(
        clock.SystemClock(), random.Random(1), 10_000.0
    )


class TableContract:
    """Tests of every `table.Table`; `make` returns the one under test."""

    _numbers = itertools.count()

    def setUp(self):
        super().setUp()
        self.name = f'rows-{next(self._numbers)}'
        self.table = self.make()

    def key(self, row):
        return table.Key(self.name, row)

    def transact(self, *writes, token=''):
        return asyncio.run(self.table.transact(writes, token))

    def read(self, *rows):
        found = asyncio.run(self.table.read([self.key(r) for r in rows])).ok
        return [row and row.values for row in found]

    def scan(self, after='', limit=100):
        found = asyncio.run(self.table.scan(self.name, after, limit)).ok
        return [row.key.row for row in found]

    def test_values_are_read_as_written(self):
        self.transact(table.Put(self.key('a'), VALUES))
        self.transact(table.Put(self.key('b'), {}))
        self.assertEqual([VALUES, None, {}], self.read('a', 'no', 'b'))

    def test_writes_succeed_only_if_conditions_hold(self):
        present, absent = self.key('here'), self.key('gone')
        cases = (
            (present, table.Always(), True),
            (present, table.Absent(), False),
            (present, table.Equals('n', 1), True),
            (present, table.Equals('n', 2), False),
            (present, table.Equals('n', '1'), False),
            (present, table.Equals('m', 1), False),
            (absent, table.Always(), True),
            (absent, table.Absent(), True),
            (absent, table.Equals('n', 1), False),
        )
        kinds = (
            lambda key, condition: table.Put(key, {'n': 1}, condition),
            table.Delete,
            table.Check,
        )
        for (key, condition, holds), kind in itertools.product(cases, kinds):
            self.transact(table.Put(present, {'n': 1}), table.Delete(absent))
            result = self.transact(kind(key, condition))
            self.assertEqual(holds, result.is_ok(), (kind, key, condition))
            if not holds:
                self.assertIsInstance(result.error, errors.ConditionFailed)

    def test_failed_transaction_changes_nothing(self):
        self.transact(table.Put(self.key('a'), {'n': 1}))
        result = self.transact(
            table.Put(self.key('b'), {'n': 2}),
            table.Put(self.key('a'), {'n': 2}, table.Absent()),
            table.Check(self.key('c'), table.Equals('n', 3)),
        )
        self.assertEqual((1, 2), result.error.failed)
        self.assertEqual([{'n': 1}, None, None], self.read('a', 'b', 'c'))

    def test_all_writes_of_a_transaction_are_applied(self):
        self.transact(table.Put(self.key('old'), {'n': 1}))
        result = self.transact(
            table.Put(self.key('new'), {'n': 2}, table.Absent()),
            table.Delete(self.key('old'), table.Equals('n', 1)),
        )
        self.assertTrue(result.is_ok())
        self.assertEqual([{'n': 2}, None], self.read('new', 'old'))

    def test_repeated_token_is_applied_once(self):
        token = f'{self.name} with more than thirty-six characters'
        write = table.Put(self.key('a'), {'n': 1}, table.Absent())
        self.transact(write, token=token)
        self.assertTrue(self.transact(write, token=token).is_ok())
        self.assertFalse(self.transact(write, token=token + '2').is_ok())

    def test_scan_returns_pages_in_name_order(self):
        names = [f'r-{number:02}' for number in range(7)]
        for name in reversed(names):
            self.transact(table.Put(self.key(name), {}))
        self.transact(table.Put(table.Key(self.name + 'x', 'r-00'), {}))
        self.assertEqual(names, self.scan())
        self.assertEqual(names[3:5], self.scan(after='r-02', limit=2))
        self.assertEqual([], self.scan(after='r-06'))

    def test_invalid_transactions_are_rejected(self):
        put = table.Put(self.key('a'), {})
        for writes in ((), (put, put), (put,) * (table.MAX_WRITES + 1)):
            self.assertRaises(errors.BrokenInvariant, self.transact, *writes)

    def test_one_of_several_concurrent_writes_succeeds(self):
        async def race():
            return await asyncio.gather(
                *(
                    self.table.transact(
                        [table.Put(self.key('a'), {'n': n}, table.Absent())]
                    )
                    for n in range(8)
                )
            )

        results = asyncio.run(race())
        winners = [n for n, result in enumerate(results) if result.is_ok()]
        self.assertEqual(1, len(winners))
        self.assertEqual([{'n': winners[0]}], self.read('a'))


class TestMemoryTable(TableContract, testtools.TestCase):
    def make(self):
        return table.MemoryTable()


class TestFaultyTable(TableContract, testtools.TestCase):
    def make(self):
        return faults.FaultyTable(table.MemoryTable(), faults.InjectedFault())


class TestTableService(TableContract, testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.platform = standin.Platform()
        cls.platform.start()
        cls.addClassCleanup(cls.platform.stop)

    def make(self):
        made = tableservice.TableService(
            self.platform.table_url,
            clock.SystemClock(),
            10.0,
            new_unlimited_limiter(),
        )
        self.addCleanup(made.close)
        return made
