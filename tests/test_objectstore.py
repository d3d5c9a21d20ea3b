"""Contract tests of the object store, run on every implementation."""

import asyncio
import hashlib
import os

import testtools

from jujubefold import clock
from jujubefold import faults
from jujubefold import objectservice
from jujubefold import objectstore
from jujubefold import standin
from tests import test_table

LARGE_BYTES = 10 * 1024 * 1024


class ObjectStoreContract:
    """Tests of an `objectstore.ObjectStore`; subclasses define `make`."""

    def setUp(self):
        super().setUp()
        self.clock = clock.PausedClock()
        self.objects = self.make()

    def run_call(self, call):
        return asyncio.run(call).ok

    def test_stored_blob_is_returned_unchanged(self):
        for data in (b'', b'\x00\xff\r\n', os.urandom(LARGE_BYTES)):
            digest = self.run_call(self.objects.put(data))
            self.assertEqual(hashlib.sha256(data).hexdigest(), digest)
            self.assertEqual(data, self.run_call(self.objects.get(digest)))

    def test_repeated_put_has_no_effect(self):
        first = self.run_call(self.objects.put(b'twice'))
        self.assertEqual(first, self.run_call(self.objects.put(b'twice')))
        names = [name for name, _ in self.run_call(self.objects.list_blobs())]
        self.assertEqual(1, names.count(first))

    def test_deleted_blob_is_absent(self):
        digest = self.run_call(self.objects.put(b'gone soon'))
        for _ in range(2):
            self.assertTrue(asyncio.run(self.objects.delete(digest)).is_ok())
            self.assertIsNone(self.run_call(self.objects.get(digest)))

    def test_listing_has_ages(self):
        old = self.run_call(self.objects.put(b'old'))
        self.clock.advance(100.0)
        new = self.run_call(self.objects.put(b'new'))
        ages = dict(self.run_call(self.objects.list_blobs()))
        self.assertAlmostEqual(100.0, ages[old] - ages[new], delta=2.0)


class TestMemoryObjectStore(ObjectStoreContract, testtools.TestCase):
    def make(self):
        return objectstore.MemoryObjectStore(self.clock)


class TestFaultyObjects(ObjectStoreContract, testtools.TestCase):
    def make(self):
        inner = objectstore.MemoryObjectStore(self.clock)
        return faults.FaultyObjects(inner, faults.InjectedFault())


class TestObjectService(ObjectStoreContract, testtools.TestCase):
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

    def test_listing_of_several_pages(self):
        async def put_all():
            for number in range(1003):
                await self.objects.put(str(number).encode())
            return await self.objects.list_blobs()

        names = [name for name, _ in asyncio.run(put_all()).ok]
        self.assertEqual(1003, len(set(names)))
