"""Tests of the version store: races, store failures and orphaned blobs."""

import asyncio

import expression
import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import blobs
from jujubefold import dispatch
from jujubefold import errors
from jujubefold import faults
from jujubefold import objectstore
from jujubefold import table
from jujubefold import versions
from jujubefold import versionstore
from tests import cores
from tests import pausedloop

Mode = faults.Mode
State = versionstore.PatchState
TIMEOUT_S = 5.0


def add_service(name, field='health_path', value='/health'):
    """Return patch bytes that add a service."""
    path = f'/services/{name}'
    return versions.canonical(
        [{'op': 'add', 'path': path, 'value': {field: value}}]
    )


def submission(patch, base=0, patch_id='p'):
    return versionstore.Submission(base, patch_id, patch, 'operator')


class ScriptedTable(faults.FaultyTable):
    """A table that takes the next entry of `next_faults` per transaction."""

    def __init__(self, inner, chosen):
        super().__init__(inner, chosen)
        self.next_faults = []

    async def transact(self, writes, token=''):
        if self.next_faults:
            self._faults.set(*self.next_faults.pop(0))
        return await super().transact(writes, token)


class UndeletableObjects(objectstore.MemoryObjectStore):
    """An object store whose deletes fail while `deletes_fail` is set."""

    deletes_fail = False

    async def delete(self, digest):
        if self.deletes_fail:
            return expression.Error(errors.StoreOutcomeUnknown('no answer'))
        return await super().delete(digest)


class FaultyPlatform:
    """A version store over a table and an object store with faults."""

    def __init__(self, clock):
        self.clock = clock
        self.rows = table.MemoryTable()
        self.blobs = UndeletableObjects(clock)
        self.table_faults = faults.InjectedFault()
        self.object_faults = faults.InjectedFault()
        self.table = ScriptedTable(self.rows, self.table_faults)
        self.collector = blobs.OrphanCollector(self.table, self.blobs)
        self.version_store = versionstore.VersionStore(
            self.table,
            faults.FaultyObjects(self.blobs, self.object_faults),
            clock,
        )

    async def submit(self, *given, **named):
        return await self.version_store.submit(
            submission(*given, **named), TIMEOUT_S
        )

    async def is_accepted(self, patch_id):
        """Return whether a patch is accepted, and check all related rows."""
        keys = [versionstore.HEAD_KEY, table.Key('patches', patch_id)]
        head, patch = (await self.rows.read(keys)).ok
        listed = (await self.rows.scan('versions')).ok
        number = head.values['number'] if head else 0
        assert [row.values['number'] for row in listed] == list(
            range(1, number + 1)
        )
        state = patch.values['state'] if patch else State.UNUSED
        owners = [row.values['patch_id'] for row in listed]
        assert (patch_id in owners) == (state == State.ACCEPTED)
        return patch_id in owners


ONCE = 1
ALWAYS = None
# Each entry: mode, seconds and count of the fault that starts with the
# transaction; expected error, None for success; whether the patch is accepted.
COMMIT_FAULTS = (
    ((Mode.NONE, 0, ONCE), None, True),
    ((Mode.SLOW, 1, ONCE), None, True),
    ((Mode.DOWN, 0, ONCE), None, True),
    ((Mode.LOST_BEFORE, 0, ONCE), None, True),
    ((Mode.LOST_AFTER, 0, ONCE), None, True),
    ((Mode.LATE, 1, ONCE), None, True),
    ((Mode.LATE, 1, 2), None, True),
    ((Mode.DOWN, 0, ALWAYS), errors.StoreNotRun, False),
    ((Mode.SLOW, 60, ALWAYS), errors.StoreOutcomeUnknown, False),
    ((Mode.LOST_BEFORE, 0, ALWAYS), errors.StoreOutcomeUnknown, False),
    ((Mode.LOST_AFTER, 0, ALWAYS), errors.StoreOutcomeUnknown, True),
    ((Mode.LATE, 60, ALWAYS), errors.StoreOutcomeUnknown, False),
)


class TestSubmit(testtools.TestCase):
    def test_outcome_agrees_with_the_store_after_each_fault(self):
        for fault, expected, accepted in COMMIT_FAULTS:
            with self.subTest(fault=fault):
                pausedloop.run(
                    lambda clock, case=(fault, expected, accepted): (
                        self.check_fault(FaultyPlatform(clock), *case)
                    )
                )

    async def check_fault(self, store, fault, expected, accepted):
        store.table.next_faults = [fault]
        begun = store.clock.monotonic()
        result = await store.submit(add_service('a'))
        self.assertLessEqual(store.clock.monotonic() - begun, TIMEOUT_S + 0.1)
        self.assertEqual(accepted, await store.is_accepted('p'))
        store.table_faults.set(Mode.NONE)
        if expected is None:
            self.assertEqual(1, result.ok.number)
        else:
            self.assertIsInstance(result.error, expected)
        found = await store.version_store.abandon('p')
        state = State.ACCEPTED if accepted else State.ABANDONED
        self.assertEqual(state, found.ok.state)
        # Writes still in flight take place now and must have no effect.
        await asyncio.sleep(100)
        self.assertEqual(accepted, await store.is_accepted('p'))
        again = await store.submit(add_service('a'))
        if accepted:
            self.assertEqual(1, again.ok.number)
        else:
            self.assertIsInstance(again.error, errors.PatchAbandoned)

    def test_store_failure_before_the_transaction_has_no_effect(self):
        async def check(clock):
            for which in ('table_faults', 'object_faults'):
                for mode in (Mode.DOWN, Mode.SLOW, Mode.LOST_AFTER):
                    store = FaultyPlatform(clock)
                    getattr(store, which).set(mode, 60)
                    result = await store.submit(add_service('a'))
                    self.assertIsInstance(result.error, errors.StoreNotRun)
                    self.assertFalse(await store.is_accepted('p'))

        pausedloop.run(check)

    def test_exactly_one_of_concurrent_submissions_is_accepted(self):
        async def check(clock):
            store = FaultyPlatform(clock)
            store.table_faults.set(Mode.SLOW, 0.2)
            names = ['a', 'a', 'b', 'c']
            results = await asyncio.gather(
                *(
                    store.submit(add_service(name), patch_id=f'p-{index}')
                    for index, name in enumerate(names)
                )
            )
            accepted = [item.ok for item in results if item.is_ok()]
            self.assertEqual(1, len(accepted))
            accepted_index = int(accepted[0].patch_id[2:])
            for index, name in enumerate(names):
                if index != accepted_index:
                    error = results[index].error
                    self.assertIsInstance(error, errors.StaleBase)
                    self.assertEqual(1, error.head)
                    clash = (f'/services/{name}',)
                    same = name == names[accepted_index]
                    self.assertEqual(clash if same else (), error.clashes)
                    self.assertFalse(await store.is_accepted(f'p-{index}'))

        pausedloop.run(check)

    def test_refusal_locates_the_error(self):
        group = [{'op': 'add', 'path': '/groups/g', 'value': {'service': 'x'}}]
        newer = [{'op': 'replace', 'path': '/schema', 'value': 99}]
        cases = (
            (b'no patch', errors.Invalid, 'patch'),
            (b'[{"op": "add"}]', errors.Invalid, 'patch'),
            (b'[]', errors.Invalid, 'patch'),
            (b'[]' + b' ' * 300_000, errors.Invalid, 'patch'),
            (versions.canonical(group), errors.Invalid, '/groups/g/service'),
            (versions.canonical(newer), errors.Invalid, '/schema'),
        )

        async def check(clock):
            store = FaultyPlatform(clock)
            for patch, kind, where in cases:
                result = await store.submit(patch)
                self.assertIsInstance(result.error, kind)
                self.assertEqual(where, result.error.where)
            result = await store.submit(add_service('a'), base=3)
            self.assertIsInstance(result.error, errors.StaleBase)
            result = await store.submit(add_service('a'), patch_id='')
            self.assertEqual('patch_id', result.error.where)
            self.assertEqual(0, (await store.version_store.head()).ok.number)

        pausedloop.run(check)

    def test_patch_id_cannot_be_reused(self):
        async def check(clock):
            store = FaultyPlatform(clock)
            first = await store.submit(add_service('a'), patch_id='p')
            await store.submit(add_service('b'), base=1, patch_id='q')
            again = await store.submit(add_service('a'), patch_id='p')
            self.assertEqual(first, again)
            for patch, base in ((add_service('c'), 0), (add_service('a'), 2)):
                other = await store.submit(patch, base=base, patch_id='p')
                self.assertIsInstance(other.error, errors.PatchIdReused)

        pausedloop.run(check)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.integers(0, 4),
                strategies.sampled_from(sorted(Mode)),
            ),
            max_size=12,
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_definite_outcomes_agree_with_the_store(self, steps):
        async def check(clock):
            store = FaultyPlatform(clock)
            for base, name, mode in steps:
                store.table.next_faults = [(mode, 2.0, 3), (Mode.NONE,)]
                patch_id = f'p-{base}-{name}'
                result = await store.submit(
                    add_service(f's-{name}', value=f'/{base}'),
                    base=base,
                    patch_id=patch_id,
                )
                store.table_faults.set(Mode.NONE)
                accepted = await store.is_accepted(patch_id)
                if result.is_ok():
                    self.assertTrue(accepted)
                elif isinstance(result.error, errors.StaleBase):
                    self.assertFalse(accepted)
                    head = (await store.version_store.head()).ok.number
                    self.assertEqual(head, result.error.head)

        pausedloop.run(check)


class TestRead(testtools.TestCase):
    def test_fetch_returns_a_chain_or_a_document(self):
        async def check(clock):
            store = FaultyPlatform(clock).version_store
            count = versionstore.MAX_CHAIN + 2
            for number in range(1, count + 1):
                step = submission(
                    cores.version_patch(number), number - 1, f'p-{number}'
                )
                self.assertTrue((await store.submit(step, 5.0)).is_ok())
            chain = await store.fetch(2, 5)
            self.assertEqual(
                [3, 4, 5], [each.number for each in chain.versions]
            )
            self.assertIsNone(chain.document)
            for whole in (
                await store.fetch(0, count),
                await store.fetch(count - 1, count, whole=True),
            ):
                digest = whole.versions[-1].digest
                self.assertEqual(versions.digest(whole.document), digest)
            nothing = dispatch.VersionsFetched(())
            self.assertEqual(nothing, await store.fetch(count, count + 1))
            self.assertEqual(nothing, await store.fetch(5, 5))
            listed = (await store.list_versions(3, 4)).ok
            numbers = [each.version.number for each in listed]
            self.assertEqual([4, 5, 6, 7], numbers)
            self.assertIsNone((await store.document(count + 1)).ok)
            empty = (await store.document(0)).ok
            self.assertEqual(versions.EMPTY_DOCUMENT, empty)

        pausedloop.run(check)

    def test_store_failures_are_returned(self):
        async def check(clock):
            store = FaultyPlatform(clock)
            store.table_faults.set(Mode.DOWN)
            found = store.version_store
            nothing = dispatch.VersionsFetched(())
            self.assertEqual(nothing, await found.fetch(0, 1))
            self.assertIsNone((await found.read_head()).number)
            for result in (
                await found.status('p'),
                await found.abandon('p'),
                await found.document(1),
                await found.list_versions(0, 10),
            ):
                self.assertIsInstance(result.error, errors.StoreNotRun)
            store.table_faults.set(Mode.LOST_AFTER)
            result = await found.abandon('p')
            self.assertIsInstance(result.error, errors.StoreOutcomeUnknown)
            store.table_faults.set(Mode.NONE)
            store.table.next_faults = [(Mode.LOST_BEFORE, 0, ONCE)]
            result = await found.abandon('q')
            self.assertIsInstance(result.error, errors.StoreOutcomeUnknown)
            self.assertEqual(State.UNUSED, (await found.status('q')).ok.state)
            store.table.next_faults = [(Mode.LOST_AFTER, 0, ONCE)]
            result = await found.abandon('q')
            self.assertEqual(State.ABANDONED, result.ok.state)

        pausedloop.run(check)


class TestOrphans(testtools.TestCase):
    def test_orphans_are_removed_in_pages_and_used_blobs_kept(self):
        async def check(clock):
            store = FaultyPlatform(clock)
            first = await store.submit(add_service('a'))
            remove = [{'op': 'remove', 'path': '/services/a'}]
            remove = versions.canonical(remove)
            await store.submit(remove, base=1, patch_id='q')
            back = await store.submit(add_service('a'), base=2, patch_id='r')
            self.assertEqual(first.ok.digest, back.ok.digest)
            for index in range(2 * blobs.ORPHANS_PER_CALL):
                await store.blobs.put(str(index).encode())
            clock.advance(100)
            await store.blobs.put(b'young')
            removed = [
                (await store.collector.collect(50)).ok for _ in range(4)
            ]
            self.assertLessEqual(max(removed), blobs.ORPHANS_PER_CALL)
            self.assertEqual(2 * blobs.ORPHANS_PER_CALL, sum(removed))
            # One blob for each of the three versions, and the young blob.
            self.assertEqual(4, len((await store.blobs.list_blobs()).ok))
            for number in (1, 2, 3):
                found = await store.version_store.document(number)
                self.assertTrue(found.ok)

        pausedloop.run(check)

    def test_version_never_refers_to_a_removed_blob(self):
        async def check(clock):
            for deletes_fail in (False, True):
                store = FaultyPlatform(clock)
                store.blobs.deletes_fail = deletes_fail
                collector = blobs.OrphanCollector(store.rows, store.blobs)
                store.table.next_faults = [(Mode.SLOW, 2.0, ONCE)]
                submitting = asyncio.ensure_future(
                    store.submit(add_service('a'))
                )
                await asyncio.sleep(1)
                removed = await collector.collect(0.5)
                self.assertEqual(0 if deletes_fail else 1, removed.ok)
                refused = await submitting
                self.assertIsInstance(refused.error, errors.StoreNotRun)
                self.assertFalse(await store.is_accepted('p'))
                store.blobs.deletes_fail = False
                self.assertTrue((await collector.collect(0.5)).is_ok())
                self.assertEqual((), (await store.blobs.list_blobs()).ok)
                again = await store.submit(add_service('a'))
                self.assertEqual(1, again.ok.number)
                self.assertTrue((await store.version_store.document(1)).ok)

        pausedloop.run(check)

    def test_blob_names_are_not_reused(self):
        async def check(clock):
            store = FaultyPlatform(clock)
            store.table.next_faults = [(Mode.DOWN, 0, 1000)]
            await store.submit(add_service('a'))
            store.table_faults.set(Mode.NONE)
            (orphan,) = (await store.blobs.list_blobs()).ok
            clock.advance(1)
            await store.submit(add_service('a'))
            # A delayed removal of the orphan must not affect version 1.
            await store.blobs.delete(orphan[0])
            self.assertTrue((await store.version_store.document(1)).ok)

        pausedloop.run(check)
