"""Acceptance of patches: races, faults of the store, and orphans."""

import asyncio

import expression
import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import acceptance
from jujubefold import blobs
from jujubefold import dispatch
from jujubefold import errors
from jujubefold import faults
from jujubefold import objects
from jujubefold import table
from jujubefold import versions
from tests import cores
from tests import pausedloop

Mode = faults.Mode
State = acceptance.PatchState
TIMEOUT_S = 5.0


def service(name, field='health_path', value='/health'):
    """Return patch bytes that add a service."""
    path = f'/services/{name}'
    return versions.canonical(
        [{'op': 'add', 'path': path, 'value': {field: value}}]
    )


def submission(patch, base=0, patch_id='p'):
    return acceptance.Submission(base, patch_id, patch, 'operator')


class ArmedTable(faults.FaultyTable):
    """A table whose next transactions fail as listed, one mode each."""

    def __init__(self, inner, chosen):
        super().__init__(inner, chosen)
        self.armed = []

    async def transact(self, writes, token=''):
        if self.armed:
            self._faults.set(*self.armed.pop(0))
        return await super().transact(writes, token)


class KeepingObjects(objects.MemoryObjects):
    """Objects whose removal fails on demand."""

    keeps = False

    async def delete(self, digest):
        if self.keeps:
            return expression.Error(errors.StoreUnknown('no answer'))
        return await super().delete(digest)


class Store:
    """An acceptance on a store that fails on demand."""

    def __init__(self, clock):
        self.clock = clock
        self.rows = table.MemoryTable()
        self.blobs = KeepingObjects(clock)
        self.table_faults = faults.Faults()
        self.object_faults = faults.Faults()
        self.table = ArmedTable(self.rows, self.table_faults)
        self.collector = blobs.Collector(self.table, self.blobs)
        self.acceptance = acceptance.Acceptance(
            self.table,
            faults.FaultyObjects(self.blobs, self.object_faults),
            clock,
        )

    async def submit(self, *given, **named):
        return await self.acceptance.submit(
            submission(*given, **named), TIMEOUT_S
        )

    async def whole(self, patch_id):
        """Return whether a patch is accepted, checking all its rows."""
        keys = [acceptance.HEAD, table.Key('patches', patch_id)]
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
FOR_EVER = None
# Fault, its seconds and count from the transaction on; whether the answer
# is right at once; what it is; what the patch is after the fault.
COMMIT_FAULTS = (
    ((Mode.NONE, 0, ONCE), None, True),
    ((Mode.SLOW, 1, ONCE), None, True),
    ((Mode.DOWN, 0, ONCE), None, True),
    ((Mode.LOST_BEFORE, 0, ONCE), None, True),
    ((Mode.LOST_AFTER, 0, ONCE), None, True),
    ((Mode.LATE, 1, ONCE), None, True),
    ((Mode.LATE, 1, 2), None, True),
    ((Mode.DOWN, 0, FOR_EVER), errors.StoreNotRun, False),
    ((Mode.SLOW, 60, FOR_EVER), errors.StoreUnknown, False),
    ((Mode.LOST_BEFORE, 0, FOR_EVER), errors.StoreUnknown, False),
    ((Mode.LOST_AFTER, 0, FOR_EVER), errors.StoreUnknown, True),
    ((Mode.LATE, 60, FOR_EVER), errors.StoreUnknown, False),
)


class TestSubmit(testtools.TestCase):
    def test_outcome_is_true_whatever_happens_to_the_transaction(self):
        for fault, expected, accepted in COMMIT_FAULTS:
            with self.subTest(fault=fault):
                pausedloop.run(
                    lambda clock, case=(fault, expected, accepted): (
                        self.submit_under(Store(clock), *case)
                    )
                )

    async def submit_under(self, store, fault, expected, accepted):
        store.table.armed = [fault]
        begun = store.clock.monotonic()
        result = await store.submit(service('a'))
        self.assertLessEqual(store.clock.monotonic() - begun, TIMEOUT_S + 0.1)
        self.assertEqual(accepted, await store.whole('p'))
        store.table_faults.set(Mode.NONE)
        if expected is None:
            self.assertEqual(1, result.ok.number)
        else:
            self.assertIsInstance(result.error, expected)
        found = await store.acceptance.abandon('p')
        state = State.ACCEPTED if accepted else State.ABANDONED
        self.assertEqual(state, found.ok.state)
        # What is still under way lands now, and must change nothing.
        await asyncio.sleep(100)
        self.assertEqual(accepted, await store.whole('p'))
        again = await store.submit(service('a'))
        if accepted:
            self.assertEqual(1, again.ok.number)
        else:
            self.assertIsInstance(again.error, errors.PatchAbandoned)

    def test_store_out_of_order_before_the_transaction(self):
        async def check(clock):
            for which in ('table_faults', 'object_faults'):
                for mode in (Mode.DOWN, Mode.SLOW, Mode.LOST_AFTER):
                    store = Store(clock)
                    getattr(store, which).set(mode, 60)
                    result = await store.submit(service('a'))
                    self.assertIsInstance(result.error, errors.StoreNotRun)
                    self.assertFalse(await store.whole('p'))

        pausedloop.run(check)

    def test_exactly_one_of_racing_operators_wins(self):
        async def check(clock):
            store = Store(clock)
            store.table_faults.set(Mode.SLOW, 0.2)
            names = ['a', 'a', 'b', 'c']
            results = await asyncio.gather(
                *(
                    store.submit(service(name), patch_id=f'p-{index}')
                    for index, name in enumerate(names)
                )
            )
            winners = [item.ok for item in results if item.is_ok()]
            self.assertEqual(1, len(winners))
            won = int(winners[0].patch_id[2:])
            for index, name in enumerate(names):
                if index != won:
                    error = results[index].error
                    self.assertIsInstance(error, errors.BaseMoved)
                    self.assertEqual(1, error.head)
                    clash = (f'/services/{name}',)
                    same = name == names[won]
                    self.assertEqual(clash if same else (), error.clashes)
                    self.assertFalse(await store.whole(f'p-{index}'))

        pausedloop.run(check)

    def test_refusals_name_what_is_wrong(self):
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
            store = Store(clock)
            for patch, kind, where in cases:
                result = await store.submit(patch)
                self.assertIsInstance(result.error, kind)
                self.assertEqual(where, result.error.where)
            result = await store.submit(service('a'), base=3)
            self.assertIsInstance(result.error, errors.BaseMoved)
            result = await store.submit(service('a'), patch_id='')
            self.assertEqual('patch_id', result.error.where)
            self.assertEqual(0, (await store.acceptance.head()).ok.number)

        pausedloop.run(check)

    def test_patch_id_names_one_patch_for_ever(self):
        async def check(clock):
            store = Store(clock)
            first = await store.submit(service('a'), patch_id='p')
            await store.submit(service('b'), base=1, patch_id='q')
            again = await store.submit(service('a'), patch_id='p')
            self.assertEqual(first, again)
            for patch, base in ((service('c'), 0), (service('a'), 2)):
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
    def test_every_definite_outcome_is_true(self, steps):
        async def check(clock):
            store = Store(clock)
            for base, name, mode in steps:
                store.table.armed = [(mode, 2.0, 3), (Mode.NONE,)]
                patch_id = f'p-{base}-{name}'
                result = await store.submit(
                    service(f's-{name}', value=f'/{base}'),
                    base=base,
                    patch_id=patch_id,
                )
                store.table_faults.set(Mode.NONE)
                accepted = await store.whole(patch_id)
                if result.is_ok():
                    self.assertTrue(accepted)
                elif isinstance(result.error, errors.BaseMoved):
                    self.assertFalse(accepted)
                    head = (await store.acceptance.head()).ok.number
                    self.assertEqual(head, result.error.head)

        pausedloop.run(check)


class TestRead(testtools.TestCase):
    def test_fetch_gives_a_chain_or_the_whole(self):
        async def check(clock):
            accepting = Store(clock).acceptance
            count = acceptance.MAX_CHAIN + 2
            for number in range(1, count + 1):
                step = submission(
                    cores.version_patch(number), number - 1, f'p-{number}'
                )
                self.assertTrue((await accepting.submit(step, 5.0)).is_ok())
            chain = await accepting.fetch(2, 5)
            self.assertEqual(
                [3, 4, 5], [each.number for each in chain.versions]
            )
            self.assertIsNone(chain.document)
            for whole in (
                await accepting.fetch(0, count),
                await accepting.fetch(count - 1, count, whole=True),
            ):
                digest = whole.versions[-1].digest
                self.assertEqual(versions.digest(whole.document), digest)
            nothing = dispatch.VersionsFetched(())
            self.assertEqual(nothing, await accepting.fetch(count, count + 1))
            self.assertEqual(nothing, await accepting.fetch(5, 5))
            listed = (await accepting.listing(3, 4)).ok
            numbers = [each.version.number for each in listed]
            self.assertEqual([4, 5, 6, 7], numbers)
            self.assertIsNone((await accepting.document(count + 1)).ok)
            empty = (await accepting.document(0)).ok
            self.assertEqual(versions.EMPTY_DOCUMENT, empty)

        pausedloop.run(check)

    def test_store_down(self):
        async def check(clock):
            store = Store(clock)
            store.table_faults.set(Mode.DOWN)
            found = store.acceptance
            nothing = dispatch.VersionsFetched(())
            self.assertEqual(nothing, await found.fetch(0, 1))
            self.assertIsNone((await found.read_head()).number)
            for result in (
                await found.status('p'),
                await found.abandon('p'),
                await found.document(1),
                await found.listing(0, 10),
            ):
                self.assertIsInstance(result.error, errors.StoreNotRun)
            store.table_faults.set(Mode.LOST_AFTER)
            result = await found.abandon('p')
            self.assertIsInstance(result.error, errors.StoreUnknown)
            store.table_faults.set(Mode.NONE)
            store.table.armed = [(Mode.LOST_BEFORE, 0, ONCE)]
            result = await found.abandon('q')
            self.assertIsInstance(result.error, errors.StoreUnknown)
            self.assertEqual(State.UNUSED, (await found.status('q')).ok.state)
            store.table.armed = [(Mode.LOST_AFTER, 0, ONCE)]
            result = await found.abandon('q')
            self.assertEqual(State.ABANDONED, result.ok.state)

        pausedloop.run(check)


class TestOrphans(testtools.TestCase):
    def test_orphans_go_some_at_a_time_and_used_blobs_stay(self):
        async def check(clock):
            store = Store(clock)
            first = await store.submit(service('a'))
            remove = [{'op': 'remove', 'path': '/services/a'}]
            remove = versions.canonical(remove)
            await store.submit(remove, base=1, patch_id='q')
            back = await store.submit(service('a'), base=2, patch_id='r')
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
            # A blob for each of the three versions, and the young one.
            self.assertEqual(4, len((await store.blobs.names()).ok))
            for number in (1, 2, 3):
                found = await store.acceptance.document(number)
                self.assertTrue(found.ok)

        pausedloop.run(check)

    def test_blob_that_was_removed_is_never_accepted(self):
        async def check(clock):
            for keeps in (False, True):
                store = Store(clock)
                store.blobs.keeps = keeps
                collector = blobs.Collector(store.rows, store.blobs)
                store.table.armed = [(Mode.SLOW, 2.0, ONCE)]
                submitting = asyncio.ensure_future(store.submit(service('a')))
                await asyncio.sleep(1)
                removed = await collector.collect(0.5)
                self.assertEqual(0 if keeps else 1, removed.ok)
                refused = await submitting
                self.assertIsInstance(refused.error, errors.StoreNotRun)
                self.assertFalse(await store.whole('p'))
                store.blobs.keeps = False
                self.assertTrue((await collector.collect(0.5)).is_ok())
                self.assertEqual((), (await store.blobs.names()).ok)
                again = await store.submit(service('a'))
                self.assertEqual(1, again.ok.number)
                self.assertTrue((await store.acceptance.document(1)).ok)

        pausedloop.run(check)

    def test_blob_is_never_put_under_a_name_used_before(self):
        async def check(clock):
            store = Store(clock)
            store.table.armed = [(Mode.DOWN, 0, 1000)]
            await store.submit(service('a'))
            store.table_faults.set(Mode.NONE)
            (orphan,) = (await store.blobs.names()).ok
            clock.advance(1)
            await store.submit(service('a'))
            # A removal of the orphan that lands late harms nobody.
            await store.blobs.delete(orphan[0])
            self.assertTrue((await store.acceptance.document(1)).ok)

        pausedloop.run(check)
