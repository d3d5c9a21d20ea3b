"""Claims under store faults and in random interleavings."""

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
from jujubefold import objectservice
from jujubefold import objectstore
from jujubefold import standin
from jujubefold import table
from jujubefold import tableservice
from tests import pausedloop
from tests import test_table

SCOPE = 'pickups'
TIMEOUT_S = 2.0
SETTINGS = claimoutcome.ClaimSettings()


class Fleet:
    """Daemons that share one store, each with store faults of its own."""

    def __init__(self, clock, seed=1, settings=SETTINGS):
        self.clock = clock
        self.table = table.MemoryTable()
        self.objects = objectstore.MemoryObjectStore(clock)
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
    def run_fleet(self, main, **fleet):
        return pausedloop.run(lambda paused: main(Fleet(paused, **fleet)))

    async def claim(self, daemon, holder, key='k', fingerprint='f'):
        outcome = await daemon.claim(
            request(holder, key, fingerprint), TIMEOUT_S
        )
        return outcome

    def assert_outcome(self, kind, outcome):
        self.assertIsInstance(outcome, kind, outcome)
        return outcome


class TestOutcomes(ClaimsCase):
    def test_recorded_answer_is_returned_again(self):
        small, large = b'answer', b'x' * (SETTINGS.inline_answer_bytes + 1)

        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            for key, answer in (('small', small), ('large', large)):
                claimed = await self.claim(a, 'a', key)
                running = await self.claim(b, 'b', key)
                self.assertEqual('a', running.holder)
                result = await a.record_answer(claimed, answer, TIMEOUT_S)
                self.assertTrue(result.is_ok())
                for daemon, holder in ((a, 'a'), (b, 'b')):
                    again = await self.claim(daemon, holder, key)
                    self.assertEqual(claimoutcome.Answered(answer), again)
            self.assertEqual(0, a.running)

        self.run_fleet(main)

    def test_key_with_another_body_is_refused_in_every_state(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            end_calls = (
                None,
                lambda claimed: a.record_answer(claimed, b'', TIMEOUT_S),
                lambda claimed: a.mark_in_doubt(claimed, TIMEOUT_S),
            )
            for number, end in enumerate(end_calls):
                claimed = await self.claim(a, 'a', str(number))
                if end:
                    await end(claimed)
                for daemon, holder in ((a, 'a'), (b, 'b')):
                    outcome = await self.claim(
                        daemon, holder, str(number), 'g'
                    )
                    self.assert_outcome(claimoutcome.Reused, outcome)

        self.run_fleet(main)

    def test_released_key_can_be_claimed_with_another_body(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            first = await self.claim(a, 'a')
            await a.release(first, TIMEOUT_S)
            second = await self.claim(b, 'b', fingerprint='g')
            self.assert_outcome(claimoutcome.Claimed, second)
            running = await self.claim(a, 'a', fingerprint='g')
            self.assertEqual('b', running.holder)

        self.run_fleet(main)

    def test_claim_of_a_gone_holder_is_in_doubt_for_others(self):
        async def main(fleet):
            await self.claim(fleet.daemon('a'), 'a')
            b = fleet.daemon('b')
            fleet.gone.add('a')
            outcome = await self.claim(b, 'b')
            self.assertEqual(claimoutcome.InDoubt('a'), outcome)

        self.run_fleet(main)

    def test_claim_marked_in_doubt_is_in_doubt_for_all_daemons(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            await a.mark_in_doubt(await self.claim(a, 'a'), TIMEOUT_S)
            for daemon, holder in ((a, 'a'), (b, 'b')):
                outcome = await self.claim(daemon, holder)
                self.assertEqual(claimoutcome.InDoubt('a'), outcome)

        self.run_fleet(main)

    def test_second_end_of_a_claim_is_refused(self):
        async def main(fleet):
            a = fleet.daemon('a')
            claimed = await self.claim(a, 'a')
            await a.record_answer(claimed, b'', TIMEOUT_S)
            for end in (a.release, a.mark_in_doubt):
                with testtools.ExpectedException(errors.BrokenInvariant):
                    await end(claimed, TIMEOUT_S)

        self.run_fleet(main)

    def test_unknown_state_of_a_newer_version_is_in_doubt(self):
        async def main(fleet):
            key = claimrow.key_of(SCOPE, 'k')
            values = {'claim': 'x', 'state': 'new', 'fingerprint': 'f'}
            await fleet.table.transact([table.Put(key, values)])
            outcome = await self.claim(fleet.daemon('b'), 'b')
            self.assert_outcome(claimoutcome.InDoubt, outcome)

        self.run_fleet(main)


class TestFaults(ClaimsCase):
    def test_lost_claim_write_is_read_back_or_repeated(self):
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
                outcome = await self.claim(daemon, mode, key=mode)
                self.assert_outcome(claimoutcome.Claimed, outcome)
                await asyncio.sleep(1.0)
                row = await fleet.row(mode)
                self.assertEqual(outcome.id, row.id, mode)
                self.assertEqual(0, daemon.unresolved)

        self.run_fleet(main)

    def test_claim_that_times_out_frees_the_key(self):
        async def main(fleet):
            for mode in faults.Mode:
                if mode is faults.Mode.NONE:
                    continue
                holder = f'holder-{mode}'
                daemon = fleet.daemon(holder)
                fleet.faults[holder].set(mode, 3.0)
                start = fleet.clock.monotonic()
                outcome = await self.claim(daemon, holder, key=mode)
                self.assert_outcome(claimoutcome.Unavailable, outcome)
                waited = fleet.clock.monotonic() - start
                self.assertAlmostEqual(TIMEOUT_S, waited, delta=0.1)
                fleet.faults[holder].set(faults.Mode.NONE)
                await asyncio.sleep(30.0)
                self.assertEqual(0, daemon.unresolved, mode)
                other = await self.claim(fleet.daemon('b'), 'b', key=mode)
                self.assert_outcome(claimoutcome.Claimed, other)

        self.run_fleet(main)

    def test_delayed_write_after_the_resolver_changes_nothing(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            fleet.faults['a'].set(faults.Mode.LATE, 60.0, count=1)
            task = asyncio.ensure_future(self.claim(a, 'a'))
            await asyncio.sleep(0.006)
            fleet.faults['a'].set(faults.Mode.DOWN)
            self.assert_outcome(claimoutcome.Unavailable, await task)
            fleet.faults['a'].set(faults.Mode.NONE)
            await asyncio.sleep(10.0)
            self.assertEqual(0, a.unresolved)
            claimed = await self.claim(b, 'b')
            await b.record_answer(claimed, b'from b', TIMEOUT_S)
            await asyncio.sleep(120.0)
            row = await fleet.row()
            self.assertEqual((claimed.id, b'from b'), (row.id, row.answer))

        self.run_fleet(main)

    def test_one_of_several_daemons_claims_a_key(self):
        async def main(fleet):
            daemons = {name: fleet.daemon(name) for name in 'abcdef'}
            outcomes = await asyncio.gather(
                *(self.claim(d, name) for name, d in daemons.items())
            )
            kinds = collections.Counter(type(outcome) for outcome in outcomes)
            self.assertEqual(
                {claimoutcome.Claimed: 1, claimoutcome.Running: 5}, kinds
            )

        self.run_fleet(main)

    def test_one_of_several_requests_at_one_daemon_claims_a_key(self):
        async def main(fleet):
            a = fleet.daemon('a')
            outcomes = await asyncio.gather(
                *(self.claim(a, 'a') for _ in 'xyz')
            )
            kinds = collections.Counter(type(outcome) for outcome in outcomes)
            self.assertEqual(
                {claimoutcome.Claimed: 1, claimoutcome.Running: 2}, kinds
            )

        self.run_fleet(main)

    def test_refused_key_does_not_fail_its_batch(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            await self.claim(a, 'a', 'taken')
            keys = ['x', 'taken', 'y']
            outcomes = await asyncio.gather(
                *(self.claim(b, 'b', k) for k in keys)
            )
            self.assertEqual(
                [
                    claimoutcome.Claimed,
                    claimoutcome.Running,
                    claimoutcome.Claimed,
                ],
                [type(outcome) for outcome in outcomes],
            )

        self.run_fleet(main)

    def test_reads_of_recorded_answers_are_batched(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            keys = [str(number) for number in range(60)]
            for key in keys:
                claimed = await self.claim(a, 'a', key)
                await a.record_answer(claimed, key.encode(), TIMEOUT_S)
            fleet.faults['b'].set(faults.Mode.NONE, count=1000)
            outcomes = await asyncio.gather(
                *(self.claim(b, 'b', k) for k in keys)
            )
            answers = [outcome.answer.decode() for outcome in outcomes]
            self.assertEqual(keys, answers)
            self.assertGreaterEqual(fleet.faults['b'].count, 997)

        self.run_fleet(main)

    def test_claim_may_not_start_after_its_start_window(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            claimed = await self.claim(a, 'a')
            self.assertTrue(claimed.may_start(fleet.clock.monotonic()))
            fleet.clock.advance(SETTINGS.start_window)
            self.assertFalse(claimed.may_start(fleet.clock.monotonic()))
            self.assert_outcome(claimoutcome.Running, await self.claim(b, 'b'))
            await a.release(claimed, TIMEOUT_S)
            self.assert_outcome(claimoutcome.Claimed, await self.claim(b, 'b'))

        self.run_fleet(main)

    def test_claim_confirmed_after_its_start_window_is_unavailable(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            fleet.faults['a'].set(
                faults.Mode.SLOW, SETTINGS.start_window, count=1
            )
            outcome = await a.claim(request('a'), 60.0)
            self.assert_outcome(claimoutcome.Unavailable, outcome)
            await asyncio.sleep(5.0)
            self.assert_outcome(claimoutcome.Claimed, await self.claim(b, 'b'))

        self.run_fleet(main)

    def test_claim_is_retried_until_its_timeout_while_the_store_is_down(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            fleet.faults['a'].set(faults.Mode.DOWN)
            task = asyncio.ensure_future(a.claim(request('a'), 60.0))
            await asyncio.sleep(2 * SETTINGS.start_window)
            fleet.faults['a'].set(faults.Mode.NONE)
            claimed = self.assert_outcome(claimoutcome.Claimed, await task)
            self.assertTrue(claimed.may_start(fleet.clock.monotonic()))
            self.assert_outcome(claimoutcome.Running, await self.claim(b, 'b'))

        self.run_fleet(main)

    def test_cancelled_claim_frees_the_key(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            fleet.faults['a'].set(faults.Mode.SLOW, 1.0)
            for wait in (0.001, 0.5):
                task = asyncio.ensure_future(self.claim(a, 'a'))
                await asyncio.sleep(wait)
                task.cancel()
                await asyncio.wait({task})
                self.assertTrue(task.cancelled())
            await asyncio.sleep(30.0)
            self.assertEqual(0, a.unresolved)
            self.assert_outcome(claimoutcome.Claimed, await self.claim(b, 'b'))

        self.run_fleet(main)

    def test_ends_are_kept_while_the_store_is_down(self):
        async def main(fleet):
            a = fleet.daemon('a')
            end_calls = (
                (
                    's',
                    lambda claimed: a.record_answer(
                        claimed, b'done', TIMEOUT_S
                    ),
                ),
                ('d', lambda claimed: a.mark_in_doubt(claimed, TIMEOUT_S)),
                ('r', lambda claimed: a.release(claimed, TIMEOUT_S)),
            )
            held = [(await self.claim(a, 'a', k), end) for k, end in end_calls]
            fleet.faults['a'].set(faults.Mode.DOWN)
            for claimed, end in held:
                self.assertTrue((await end(claimed)).is_error())
            self.assertEqual(
                claimoutcome.Answered(b'done'), await self.claim(a, 'a', 's')
            )
            self.assertEqual(3, await a.close(1.0))

        self.run_fleet(main)

    def test_close_waits_for_writes_when_the_store_recovers(self):
        async def main(fleet):
            a, b = fleet.daemon('a'), fleet.daemon('b')
            claimed = await self.claim(a, 'a')
            fleet.faults['a'].set(faults.Mode.DOWN)
            await a.record_answer(claimed, b'done', TIMEOUT_S)
            fleet.faults['a'].set(faults.Mode.NONE)
            self.assertEqual(0, await a.close(30.0))
            outcome = await self.claim(b, 'b')
            self.assertEqual(claimoutcome.Answered(b'done'), outcome)

        self.run_fleet(main)

    def test_unrecorded_answers_are_limited_in_size(self):
        settings = claimoutcome.ClaimSettings(max_unrecorded_bytes=10)

        async def main(fleet):
            a = fleet.daemon('a')
            held = [await self.claim(a, 'a', key) for key in 'xy']
            fleet.faults['a'].set(faults.Mode.DOWN)
            for claimed in held:
                await a.record_answer(claimed, b'123456', 0.1)
            outcomes = [await self.claim(a, 'a', key) for key in 'xy']
            self.assertEqual(claimoutcome.Answered(b'123456'), outcomes[0])
            self.assertEqual(claimoutcome.InDoubt('a'), outcomes[1])
            self.assertEqual(6, a.unrecorded_bytes)

        self.run_fleet(main, settings=settings)

    def test_sweep_removes_rows_only_after_retention(self):
        expiry = SETTINGS.retention + SETTINGS.max_clock_skew
        large = b'x' * (SETTINGS.inline_answer_bytes + 1)

        async def main(fleet):
            a = fleet.daemon('a')
            for number in range(250):
                claimed = await self.claim(a, 'a', str(number))
                await a.record_answer(
                    claimed, large if number < 3 else b'', 9.0
                )
            self.assertEqual(0, await swept_rows(a))
            fleet.clock.advance(expiry - 60.0)
            self.assertEqual(0, await swept_rows(a))
            fleet.clock.advance(60.0)
            self.assertEqual(250, await swept_rows(a))
            self.assertEqual((), (await fleet.objects.list_blobs()).ok)

        async def swept_rows(daemon):
            return sum([(await daemon.sweep()).ok for _ in range(5)])

        self.run_fleet(main)


class TestOverHttp(testtools.TestCase):
    """Claims of three daemons at the stand-in platform under faults."""

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
                make(
                    url,
                    clock.SystemClock(),
                    5.0,
                    test_table.new_unlimited_limiter(),
                )
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
        self.platform.set_fault(service, mode, 0.0, 3, operation)
        return await asyncio.gather(
            *(
                self.send(daemon, f'vm/{number}', key, mode)
                for key in keys
                for number, daemon in enumerate(daemons)
            )
        )

    async def send(self, daemon, holder, key, mode):
        """Send a request until it is answered; return the answer's mode."""
        while True:
            outcome = await daemon.claim(request(holder, key), 30.0)
            if isinstance(outcome, claimoutcome.Answered):
                return outcome.answer.decode().rstrip('.')
            if isinstance(outcome, claimoutcome.Claimed):
                self.executions[key] += 1
                answer = mode + '.' * (SETTINGS.inline_answer_bytes + 1)
                await daemon.record_answer(outcome, answer.encode(), 30.0)
            await asyncio.sleep(0.05)


class RandomFaults(faults.InjectedFault):
    """Faults that are chosen at random for each call.

    Args:
        rng: A `random.Random`.
        rate: Probability that a call has a fault.
    """

    def __init__(self, rng, rate):
        super().__init__()
        self._rng = rng
        self.rate = rate

    def take(self):
        if self._rng.random() >= self.rate:
            return faults.Mode.NONE, 0.0
        return self._rng.choice(list(faults.Mode)), self._rng.uniform(0, 8)


class Simulation:
    """Callers, daemons that may be killed, and a count of executions.

    Args:
        fleet: A `Fleet`.
        rng: A `random.Random`.
        rate: Probability that a store call has a fault.
    """

    KEYS = ('k1', 'k2', 'k3')

    def __init__(self, fleet, rng, rate):
        self.fleet = fleet
        self.rng = rng
        self.rate = rate
        self.executions = collections.Counter()
        self.answers = {}
        self.bodies = collections.defaultdict(set)
        self.senders = collections.defaultdict(set)
        self.in_doubt = set()
        self.daemons = {}
        self.number = 0

    def start(self):
        """Start a daemon with random store faults."""
        self.number += 1
        holder = f'vm/{self.number}'
        daemon = self.fleet.daemon(holder)
        fault = RandomFaults(self.rng, self.rate)
        daemon._store._rows._faults = fault
        daemon._store._blobs._faults = fault
        self.fleet.faults[holder] = fault
        self.daemons[holder] = daemon

    async def call(self):
        """Send one request with a random key to a random daemon."""
        rng = self.rng
        await asyncio.sleep(rng.uniform(0, 20))
        holder = rng.choice(sorted(self.daemons))
        key = rng.choice(self.KEYS)
        body = rng.choice(('f', 'f', 'f', 'g'))
        self.bodies[key].add(body)
        self.senders[key].add(holder)
        outcome = await self.daemons[holder].claim(
            request(holder, key, body), rng.uniform(0.01, 6)
        )
        if isinstance(outcome, claimoutcome.Claimed):
            return await self.run(holder, key, outcome)
        self.check(key, body, outcome)

    async def run(self, holder, key, claimed):
        """Run or release a claimed request as a daemon does."""
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
            self.in_doubt.add(key)
            await daemon.mark_in_doubt(claimed, 1.0)
        else:
            await daemon.record_answer(claimed, self.answers[key], 1.0)

    async def kill(self):
        """Kill a daemon, which the others may not notice; start another."""
        await asyncio.sleep(self.rng.uniform(0, 20))
        holder = self.rng.choice(sorted(self.daemons))
        daemon = self.daemons.pop(holder)
        await daemon.close(0)
        if self.rng.random() < 0.7:
            self.fleet.gone.add(holder)
        self.start()

    def check(self, key, body, outcome):
        """Check an outcome against what happened in the simulation."""
        match outcome:
            case claimoutcome.Answered(answer=answer):
                assert answer == self.answers[key]
            case claimoutcome.Reused():
                assert self.bodies[key] - {body}
            case claimoutcome.InDoubt(holder=holder):
                assert key in self.in_doubt or holder in self.fleet.gone
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
    def test_random_interleavings_run_each_key_at_most_once(
        self, seed, rate, daemons, calls, kills
    ):
        async def main(fleet):
            simulation = Simulation(fleet, random.Random(seed), rate)
            for _ in range(daemons):
                simulation.start()
            await asyncio.gather(
                *(simulation.call() for _ in range(calls)),
                *(simulation.kill() for _ in range(kills)),
            )
            await self.assert_settled(simulation)

        self.run_fleet(main, seed=seed)

    async def assert_settled(self, simulation):
        """Check that after the faults each key is in a final state.

        A key can be claimed if it never ran, and is answered or in doubt
        if it did.
        """
        for holder in simulation.daemons:
            simulation.fleet.faults[holder].rate = 0.0
        await asyncio.sleep(60.0)
        for daemon in simulation.daemons.values():
            self.assertEqual((0, 0), (daemon.unresolved, daemon.running))
        fresh = simulation.fleet.daemon('fresh')
        for key in simulation.KEYS:
            self.assertLessEqual(simulation.executions[key], 1)
            row = await simulation.fleet.row(key)
            body = row.fingerprint if row else 'f'
            outcome = await self.claim(fresh, 'fresh', key, body)
            simulation.check(key, body, outcome)
            if isinstance(outcome, claimoutcome.Claimed):
                self.assertEqual(0, simulation.executions[key])
            elif isinstance(outcome, claimoutcome.Running):
                self.assertNotIn(outcome.holder, simulation.daemons)
