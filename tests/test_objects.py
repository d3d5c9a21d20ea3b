"""Contract of the Objects port, run on every implementation."""

import asyncio
import hashlib
import os

import testtools

from jujubefold import clock
from jujubefold import faults
from jujubefold import objects
from jujubefold import objectservice
from jujubefold import standin
from tests import test_table

LARGE_BYTES = 10 * 1024 * 1024


class ObjectsContract:
    """What every `objects.Objects` must do; `make` returns one."""

    def setUp(self):
        super().setUp()
        self.clock = clock.PausedClock()
        self.objects = self.make()

    def run_call(self, call):
        return asyncio.run(call).ok

    def test_blob_comes_back_whole(self):
        for data in (b'', b'\x00\xff\r\n', os.urandom(LARGE_BYTES)):
            digest = self.run_call(self.objects.put(data))
            self.assertEqual(hashlib.sha256(data).hexdigest(), digest)
            self.assertEqual(data, self.run_call(self.objects.get(digest)))

    def test_put_twice_changes_nothing(self):
        first = self.run_call(self.objects.put(b'twice'))
        self.assertEqual(first, self.run_call(self.objects.put(b'twice')))
        names = [name for name, _ in self.run_call(self.objects.names())]
        self.assertEqual(1, names.count(first))

    def test_absent_and_deleted(self):
        digest = self.run_call(self.objects.put(b'gone soon'))
        for _ in range(2):
            self.assertTrue(asyncio.run(self.objects.delete(digest)).is_ok())
            self.assertIsNone(self.run_call(self.objects.get(digest)))

    def test_names_tell_ages(self):
        old = self.run_call(self.objects.put(b'old'))
        self.clock.advance(100.0)
        new = self.run_call(self.objects.put(b'new'))
        ages = dict(self.run_call(self.objects.names()))
        self.assertAlmostEqual(100.0, ages[old] - ages[new], delta=2.0)


class TestMemoryObjects(ObjectsContract, testtools.TestCase):
    def make(self):
        return objects.MemoryObjects(self.clock)


class TestFaultyObjects(ObjectsContract, testtools.TestCase):
    def make(self):
        inner = objects.MemoryObjects(self.clock)
        return faults.FaultyObjects(inner, faults.Faults())


class TestObjectService(ObjectsContract, testtools.TestCase):
    def make(self):
        served = standin.Platform(time_source=self.clock)
        served.start()
        self.addCleanup(served.stop)
        made = objectservice.ObjectService(
            served.objects_url,
            clock.SystemClock(),
            10.0,
            test_table.new_unlimited_limiter(),
        )
        self.addCleanup(made.close)
        return made

    def test_names_of_several_pages(self):
        async def put_all():
            for number in range(1003):
                await self.objects.put(str(number).encode())
            return await self.objects.names()

        names = [name for name, _ in asyncio.run(put_all()).ok]
        self.assertEqual(1003, len(set(names)))
