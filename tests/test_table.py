"""Contract of the Table port, run on the in-memory twin."""

import asyncio

import testtools

from jujubefold import errors
from jujubefold import table

KEY = table.Key('patches', 'p-1')


class TestMemoryTable(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = table.MemoryTable()

    def transact(self, *writes, token=''):
        return asyncio.run(self.table.transact(writes, token))

    def read(self, key):
        return asyncio.run(self.table.read([key])).ok[0]

    def test_refused_transaction_changes_nothing(self):
        other = table.Key('head', 'head')
        self.transact(table.Put(KEY, {'n': 1}))
        result = self.transact(
            table.Put(other, {'n': 2}),
            table.Put(KEY, {'n': 2}, table.Absent()),
        )
        self.assertIsInstance(result.error, errors.ConditionFailed)
        self.assertEqual((1,), result.error.failed)
        self.assertIsNone(self.read(other))

    def test_repeated_token_is_applied_once(self):
        write = table.Put(KEY, {'n': 1}, table.Absent())
        self.transact(write, token='t')
        self.assertTrue(self.transact(write, token='t').is_ok())
