"""Claims under every fault, and at most once over random interleavings."""

import asyncio
import collections
import random

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import claimoutcome
from jujubefold import claimrow
from jujubefold import claims
from jujubefold import clock
from jujubefold import errors
from jujubefold import faults
from jujubefold import objects
from jujubefold import objectservice
from jujubefold import standin
from jujubefold import table
from jujubefold import tableservice
from tests import pausedloop
from tests import test_table

SCOPE = 'pickups'
TIMEOUT_S = 2.0
SETTINGS = claimoutcome.ClaimSettings()


class Fleet:
    """Daemons that share one store, each with its own faults to it."""

    def __init__(self, clock, seed=1, settings=SETTINGS):
        self.clock = clock
        self.table = table.MemoryTable()
        self.objects = objects.MemoryObjects(clock)
        self.faults = {}
        self.gone = set()
        self._seed = seed
        self._settings = settings

    def daemon(self, holder):
        """Return the `claims.Claims` of a new daemon."""
        fault = self.faults[holder] = faults.InjectedFault()
        return claims.Claims(
            faults.FaultyTable(self.table, fault),
            faults.FaultyObjects(self.objects, fault),
            self.clock,
            random.Random(f'{self._seed} {holder}'),
            self.gone.__contains__,
            self._settings,
        )

    async def row(self, key='k'):
        """Return the `claimrow.ClaimRow` of a key, or None."""
        name = claimrow.key_of(SCOPE, key)
        found = (await self.table.read([name])).ok[0]
        return found and claimrow.from_row(found)


def request(holder, key='k', fingerprint='f'):
    """Return a `ClaimRequest`."""
    return claimoutcome.ClaimRequest(SCOPE, key, fingerprint, holder)


class ClaimsCase(testtools.TestCase):
    def play(self, main, **fleet):
        return pausedloop.run(lambda paused: main(Fleet(paused, **fleet)))

    async def told(self, daemon, holder, key='k', fingerprint='f'):
        outcome = await daemon.claim(
            request(holder, key, fingerprint), TIMEOUT_S
        )
        return outcome

    def assert_told(self, kind, outcome):
        self.assertIsInstance(outcome, kind, outcome)
        return outcome


class TestOutcomes(ClaimsCase):
    def test_first_answer_is_given_again(self):
        small, large = b'answer', b'x' * (SETTINGS.inline_answer_bytes + 1)

        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            for key, answer in (('small', small), ('large', large)):
                claimed = await self.told(a, 'a', key)
                running = await self.told(b, 'b', key)
                self.assertEqual('a', running.holder)
                result = await a.settle(claimed, answer, TIMEOUT_S)
                self.assertTrue(result.is_ok())
                for daemon, holder in ((a, 'a'), (b, 'b')):
                    again = await self.told(daemon, holder, key)
                    self.assertEqual(claimoutcome.Answered(answer), again)
            self.assertEqual(0, a.running)

        self.play(main)

    def test_another_body_is_refused_in_every_state(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            ends = (
                None,
                lambda claimed: a.settle(claimed, b'', TIMEOUT_S),
                lambda claimed: a.doubt(claimed, TIMEOUT_S),
            )
            for number, end in enumerate(ends):
                claimed = await self.told(a, 'a', str(number))
                if end:
                    await end(claimed)
                for daemon, holder in ((a, 'a'), (b, 'b')):
                    told = await self.told(daemon, holder, str(number), 'g')
                    self.assert_told(claimoutcome.Reused, told)

        self.play(main)

    def test_released_key_may_run_and_with_another_body(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            first = await self.told(a, 'a')
            await a.release(first, TIMEOUT_S)
            second = await self.told(b, 'b', fingerprint='g')
            self.assert_told(claimoutcome.Claimed, second)
            running = await self.told(a, 'a', fingerprint='g')
            self.assertEqual('b', running.holder)

        self.play(main)

    def test_holder_gone_leaves_doubt_and_never_a_second_run(self):
        async def main(fleet):
            await self.told(fleet.daemon('a'), 'a')
            b = fleet.daemon('b')
            fleet.gone.add('a')
            told = await self.told(b, 'b')
            self.assertEqual(claimoutcome.InDoubt('a'), told)

        self.play(main)

    def test_doubt_is_told_to_all(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            await a.doubt(await self.told(a, 'a'), TIMEOUT_S)
            for daemon, holder in ((a, 'a'), (b, 'b')):
                told = await self.told(daemon, holder)
                self.assertEqual(claimoutcome.InDoubt('a'), told)

        self.play(main)

    def test_claim_ends_once(self):
        async def main(fleet):
            a = fleet.daemon('a')
            claimed = await self.told(a, 'a')
            await a.settle(claimed, b'', TIMEOUT_S)
            for end in (a.release, a.doubt):
                with testtools.ExpectedException(errors.BrokenInvariant):
                    await end(claimed, TIMEOUT_S)

        self.play(main)

    def test_unknown_state_of_a_later_release_is_doubt(self):
        async def main(fleet):
            key = claimrow.key_of(SCOPE, 'k')
            values = {'claim': 'x', 'state': 'new', 'fingerprint': 'f'}
            await fleet.table.transact([table.Put(key, values)])
            told = await self.told(fleet.daemon('b'), 'b')
            self.assert_told(claimoutcome.InDoubt, told)

        self.play(main)


class TestFaults(ClaimsCase):
    def test_lost_answer_of_a_claim(self):
        modes = (
            faults.Mode.DOWN,
            faults.Mode.LOST_BEFORE,
            faults.Mode.LOST_AFTER,
            faults.Mode.LATE,
        )

        async def main(fleet):
            for mode in modes:
                daemon = fleet.daemon(mode)
                fleet.faults[mode].set(mode, 0.5, count=1)
                told = await self.told(daemon, mode, key=mode)
                self.assert_told(claimoutcome.Claimed, told)
                await asyncio.sleep(1.0)
                row = await fleet.row(mode)
                self.assertEqual(told.id, row.id, mode)
                self.assertEqual(0, daemon.doubtful)

        self.play(main)

    def test_store_down_is_a_true_refusal_and_frees_the_key(self):
        async def main(fleet):
            for mode in faults.Mode:
                if mode is faults.Mode.NONE:
                    continue
                holder = f'holder-{mode}'
                daemon = fleet.daemon(holder)
                fleet.faults[holder].set(mode, 3.0)
                start = fleet.clock.monotonic()
                told = await self.told(daemon, holder, key=mode)
                self.assert_told(claimoutcome.Unavailable, told)
                waited = fleet.clock.monotonic() - start
                self.assertAlmostEqual(TIMEOUT_S, waited, delta=0.1)
                fleet.faults[holder].set(faults.Mode.NONE)
                await asyncio.sleep(30.0)
                self.assertEqual(0, daemon.doubtful, mode)
                other = await self.told(fleet.daemon('b'), 'b', key=mode)
                self.assert_told(claimoutcome.Claimed, other)

        self.play(main)

    def test_late_write_after_the_resolver_changes_nothing(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            fleet.faults['a'].set(faults.Mode.LATE, 60.0, count=1)
            task = asyncio.ensure_future(self.told(a, 'a'))
            await asyncio.sleep(0.006)
            fleet.faults['a'].set(faults.Mode.DOWN)
            self.assert_told(claimoutcome.Unavailable, await task)
            fleet.faults['a'].set(faults.Mode.NONE)
            await asyncio.sleep(10.0)
            self.assertEqual(0, a.doubtful)
            claimed = await self.told(b, 'b')
            await b.settle(claimed, b'from b', TIMEOUT_S)
            await asyncio.sleep(120.0)
            row = await fleet.row()
            self.assertEqual((claimed.id, b'from b'), (row.id, row.answer))

        self.play(main)

    def test_two_daemons_race_for_one_key(self):
        async def main(fleet):
            daemons = {name: fleet.daemon(name) for name in 'abcdef'}
            told = await asyncio.gather(
                *(self.told(d, name) for name, d in daemons.items())
            )
            kinds = collections.Counter(type(outcome) for outcome in told)
            self.assertEqual(
                {claimoutcome.Claimed: 1, claimoutcome.Running: 5}, kinds
            )

        self.play(main)

    def test_double_send_at_one_daemon(self):
        async def main(fleet):
            a = fleet.daemon('a')
            told = await asyncio.gather(*(self.told(a, 'a') for _ in 'xyz'))
            kinds = collections.Counter(type(outcome) for outcome in told)
            self.assertEqual(
                {claimoutcome.Claimed: 1, claimoutcome.Running: 2}, kinds
            )

        self.play(main)

    def test_one_refused_key_does_not_fail_its_batch(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            await self.told(a, 'a', 'taken')
            keys = ['x', 'taken', 'y']
            told = await asyncio.gather(*(self.told(b, 'b', k) for k in keys))
            self.assertEqual(
                [
                    claimoutcome.Claimed,
                    claimoutcome.Running,
                    claimoutcome.Claimed,
                ],
                [type(outcome) for outcome in told],
            )

        self.play(main)

    def test_many_resends_cost_few_store_calls(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            keys = [str(number) for number in range(60)]
            for key in keys:
                claimed = await self.told(a, 'a', key)
                await a.settle(claimed, key.encode(), TIMEOUT_S)
            fleet.faults['b'].set(faults.Mode.NONE, count=1000)
            told = await asyncio.gather(*(self.told(b, 'b', k) for k in keys))
            answers = [outcome.answer.decode() for outcome in told]
            self.assertEqual(keys, answers)
            self.assertGreaterEqual(fleet.faults['b'].count, 997)

        self.play(main)

    def test_holder_paused_past_start_by(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            claimed = await self.told(a, 'a')
            self.assertTrue(claimed.may_start(fleet.clock.monotonic()))
            fleet.clock.advance(SETTINGS.start_window)
            self.assertFalse(claimed.may_start(fleet.clock.monotonic()))
            self.assert_told(claimoutcome.Running, await self.told(b, 'b'))
            await a.release(claimed, TIMEOUT_S)
            self.assert_told(claimoutcome.Claimed, await self.told(b, 'b'))

        self.play(main)

    def test_claim_acknowledged_past_start_by_is_not_given_out(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            fleet.faults['a'].set(
                faults.Mode.SLOW, SETTINGS.start_window, count=1
            )
            told = await a.claim(request('a'), 60.0)
            self.assert_told(claimoutcome.Unavailable, told)
            await asyncio.sleep(5.0)
            self.assert_told(claimoutcome.Claimed, await self.told(b, 'b'))

        self.play(main)

    def test_claim_waits_for_the_store_within_its_deadline(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            fleet.faults['a'].set(faults.Mode.DOWN)
            task = asyncio.ensure_future(a.claim(request('a'), 60.0))
            await asyncio.sleep(2 * SETTINGS.start_window)
            fleet.faults['a'].set(faults.Mode.NONE)
            claimed = self.assert_told(claimoutcome.Claimed, await task)
            self.assertTrue(claimed.may_start(fleet.clock.monotonic()))
            self.assert_told(claimoutcome.Running, await self.told(b, 'b'))

        self.play(main)

    def test_cancelled_caller_frees_the_key(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            fleet.faults['a'].set(faults.Mode.SLOW, 1.0)
            for wait in (0.001, 0.5):
                task = asyncio.ensure_future(self.told(a, 'a'))
                await asyncio.sleep(wait)
                task.cancel()
                await asyncio.wait({task})
                self.assertTrue(task.cancelled())
            await asyncio.sleep(30.0)
            self.assertEqual(0, a.doubtful)
            self.assert_told(claimoutcome.Claimed, await self.told(b, 'b'))

        self.play(main)

    def test_endings_outlast_an_outage(self):
        async def main(fleet):
            a = fleet.daemon('a')
            ends = (
                ('s', lambda claimed: a.settle(claimed, b'done', TIMEOUT_S)),
                ('d', lambda claimed: a.doubt(claimed, TIMEOUT_S)),
                ('r', lambda claimed: a.release(claimed, TIMEOUT_S)),
            )
            held = [(await self.told(a, 'a', k), end) for k, end in ends]
            fleet.faults['a'].set(faults.Mode.DOWN)
            for claimed, end in held:
                self.assertTrue((await end(claimed)).is_error())
            self.assertEqual(
                claimoutcome.Answered(b'done'), await self.told(a, 'a', 's')
            )
            self.assertEqual(3, await a.close(1.0))

        self.play(main)

    def test_store_comes_back_while_closing(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            claimed = await self.told(a, 'a')
            fleet.faults['a'].set(faults.Mode.DOWN)
            await a.settle(claimed, b'done', TIMEOUT_S)
            fleet.faults['a'].set(faults.Mode.NONE)
            self.assertEqual(0, await a.close(30.0))
            told = await self.told(b, 'b')
            self.assertEqual(claimoutcome.Answered(b'done'), told)

        self.play(main)

    def test_unsettled_answers_are_bounded(self):
        settings = claimoutcome.ClaimSettings(max_unsettled_bytes=10)

        async def main(fleet):
            a = fleet.daemon('a')
            held = [await self.told(a, 'a', key) for key in 'xy']
            fleet.faults['a'].set(faults.Mode.DOWN)
            for claimed in held:
                await a.settle(claimed, b'123456', 0.1)
            told = [await self.told(a, 'a', key) for key in 'xy']
            self.assertEqual(claimoutcome.Answered(b'123456'), told[0])
            self.assertEqual(claimoutcome.InDoubt('a'), told[1])
            self.assertEqual(6, a.unsettled_bytes)

        self.play(main, settings=settings)

    def test_sweep_after_retention_only(self):
        kept = SETTINGS.retention + SETTINGS.clock_margin
        large = b'x' * (SETTINGS.inline_answer_bytes + 1)

        async def main(fleet):
            a = fleet.daemon('a')
            for number in range(250):
                claimed = await self.told(a, 'a', str(number))
                await a.settle(claimed, large if number < 3 else b'', 9.0)
            self.assertEqual(0, await swept(a))
            fleet.clock.advance(kept - 60.0)
            self.assertEqual(0, await swept(a))
            fleet.clock.advance(60.0)
            self.assertEqual(250, await swept(a))
            self.assertEqual((), (await fleet.objects.names()).ok)

        async def swept(daemon):
            return sum([(await daemon.sweep()).ok for _ in range(5)])

        self.play(main)


class TestOverHttp(testtools.TestCase):
    """Claims of three daemons at the stand-in, whose answers get lost."""

    FAULTS = (
        ('table', 'answer-lost', 'TransactWriteItems'),
        ('table', 'closed', 'TransactWriteItems'),
        ('table', 'down', ''),
        ('objects', 'answer-lost', 'PutObject'),
        ('objects', 'down', ''),
    )

    def setUp(self):
        super().setUp()
        self.platform = standin.Platform()
        self.platform.start()
        self.addCleanup(self.platform.stop)
        self.executions = collections.Counter()

    def daemon(self, seed):
        made = []
        for make, url in (
            (tableservice.TableService, self.platform.table_url),
            (objectservice.ObjectService, self.platform.objects_url),
        ):
            made.append(
                make(url, clock.SystemClock(), 5.0, test_table.unlimited())
            )
            self.addCleanup(made[-1].close)
        return claims.Claims(*made, clock.SystemClock(), random.Random(seed))

    def test_each_key_runs_once(self):
        for service, mode, operation in self.FAULTS:
            answers = asyncio.run(self.round(service, mode, operation))
            self.assertEqual({mode}, set(answers), mode)
        self.assertEqual({1}, set(self.executions.values()))

    async def round(self, service, mode, operation):
        daemons = [self.daemon(seed) for seed in range(3)]
        keys = [f'{service} {mode} {number}' for number in range(5)]
        self.platform.fault(service, mode, 0.0, 3, operation)
        return await asyncio.gather(
            *(
                self.send(daemon, f'vm/{number}', key, mode)
                for key in keys
                for number, daemon in enumerate(daemons)
            )
        )

    async def send(self, daemon, holder, key, mode):
        """Send a key until it is answered; return what the answer names."""
        while True:
            told = await daemon.claim(request(holder, key), 30.0)
            if isinstance(told, claimoutcome.Answered):
                return told.answer.decode().rstrip('.')
            if isinstance(told, claimoutcome.Claimed):
                self.executions[key] += 1
                answer = mode + '.' * (SETTINGS.inline_answer_bytes + 1)
                await daemon.settle(told, answer.encode(), 30.0)
            await asyncio.sleep(0.05)


class Random(faults.InjectedFault):
    """A fault that changes from call to call."""

    def __init__(self, rng, rate):
        super().__init__()
        self._rng = rng
        self.rate = rate

    def take(self):
        if self._rng.random() >= self.rate:
            return faults.Mode.NONE, 0.0
        return self._rng.choice(list(faults.Mode)), self._rng.uniform(0, 8)


class World:
    """Callers, daemons that die, and an upstream that counts executions."""

    KEYS = ('k1', 'k2', 'k3')

    def __init__(self, fleet, rng, rate):
        self.fleet = fleet
        self.rng = rng
        self.rate = rate
        self.executions = collections.Counter()
        self.answers = {}
        self.bodies = collections.defaultdict(set)
        self.senders = collections.defaultdict(set)
        self.doubted = set()
        self.daemons = {}
        self.number = 0

    def start(self):
        """Start a daemon."""
        self.number += 1
        holder = f'vm/{self.number}'
        daemon = self.fleet.daemon(holder)
        fault = Random(self.rng, self.rate)
        daemon._store._rows._faults = fault
        daemon._store._blobs._faults = fault
        self.fleet.faults[holder] = fault
        self.daemons[holder] = daemon

    async def call(self):
        """One caller sends a key once, to any daemon."""
        rng = self.rng
        await asyncio.sleep(rng.uniform(0, 20))
        holder = rng.choice(sorted(self.daemons))
        key = rng.choice(self.KEYS)
        body = rng.choice(('f', 'f', 'f', 'g'))
        self.bodies[key].add(body)
        self.senders[key].add(holder)
        told = await self.daemons[holder].claim(
            request(holder, key, body), rng.uniform(0.01, 6)
        )
        if isinstance(told, claimoutcome.Claimed):
            return await self.run(holder, key, told)
        self.check(key, body, told)

    async def run(self, holder, key, claimed):
        """Run a claimed request the way a daemon does."""
        rng = self.rng
        daemon = self.daemons.get(holder)
        await asyncio.sleep(rng.choice((0, 0.1, 3, 15)))
        if holder not in self.daemons:
            return
        now = self.fleet.clock.monotonic()
        if not claimed.may_start(now) or rng.random() < 0.2:
            await daemon.release(claimed, 1.0)
            return
        self.executions[key] += 1
        self.answers[key] = f'{key} by {claimed.id}'.encode()
        await asyncio.sleep(rng.choice((0, 1, 5)))
        if holder not in self.daemons:
            return
        if rng.random() < 0.2:
            self.doubted.add(key)
            await daemon.doubt(claimed, 1.0)
        else:
            await daemon.settle(claimed, self.answers[key], 1.0)

    async def kill(self):
        """A daemon dies, perhaps unnoticed, and another starts."""
        await asyncio.sleep(self.rng.uniform(0, 20))
        holder = self.rng.choice(sorted(self.daemons))
        daemon = self.daemons.pop(holder)
        await daemon.close(0)
        if self.rng.random() < 0.7:
            self.fleet.gone.add(holder)
        self.start()

    def check(self, key, body, told):
        """What a caller is told is true."""
        match told:
            case claimoutcome.Answered(answer=answer):
                assert answer == self.answers[key]
            case claimoutcome.Reused():
                assert self.bodies[key] - {body}
            case claimoutcome.InDoubt(holder=holder):
                assert key in self.doubted or holder in self.fleet.gone
            case claimoutcome.Running(holder=holder):
                assert holder in self.senders[key]


class TestAtMostOnce(ClaimsCase):
    @hypothesis.settings(max_examples=600, deadline=None, derandomize=True)
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        rate=strategies.sampled_from((0.0, 0.1, 0.4, 0.8)),
        daemons=strategies.integers(1, 4),
        calls=strategies.integers(2, 24),
        kills=strategies.integers(0, 3),
    )
    def test_any_interleaving(self, seed, rate, daemons, calls, kills):
        async def main(fleet):
            world = World(fleet, random.Random(seed), rate)
            for _ in range(daemons):
                world.start()
            await asyncio.gather(
                *(world.call() for _ in range(calls)),
                *(world.kill() for _ in range(kills)),
            )
            await self.settled(world)

        self.play(main, seed=seed)

    async def settled(self, world):
        """When faults end, every key is usable, answered or in doubt."""
        for holder in world.daemons:
            world.fleet.faults[holder].rate = 0.0
        await asyncio.sleep(60.0)
        for daemon in world.daemons.values():
            self.assertEqual((0, 0), (daemon.doubtful, daemon.running))
        fresh = world.fleet.daemon('fresh')
        for key in world.KEYS:
            self.assertLessEqual(world.executions[key], 1)
            row = await world.fleet.row(key)
            body = row.fingerprint if row else 'f'
            told = await self.told(fresh, 'fresh', key, body)
            world.check(key, body, told)
            if isinstance(told, claimoutcome.Claimed):
                self.assertEqual(0, world.executions[key])
            elif isinstance(told, claimoutcome.Running):
                self.assertNotIn(told.holder, world.daemons)
