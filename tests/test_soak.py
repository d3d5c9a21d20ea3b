"""Short seeded runs of the soak test, and tests of its checks."""

import asyncio
import pathlib
import random
import tempfile
import types

import testtools

from soak import __main__ as soak
from soak import checks
from soak import testbed as testbeds
from soak import versionwatch
from tests import sidecars

# Seeds of every run. Add each seed that fails, with a line on the cause.
SEEDS = (1, 2)
SECONDS = 4.0


class TestSeeds(testtools.TestCase):
    def test_guarantees_hold_under_faults(self):
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                violations = sidecars.run_coroutine(
                    soak.run_seed(seed, SECONDS, 4, folder)
                )
            self.assertEqual([], violations, f'seed {seed}')


class TestDaemons(testtools.TestCase):
    def test_start_daemon_does_nothing_while_it_runs(self):
        started = []

        class Popen:
            def __init__(self, *args, **kwargs):
                self.status = None
                started.append(self)

            def poll(self):
                return self.status

        self.patch(testbeds.subprocess, 'Popen', Popen)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            vm = testbeds.Vm(
                'vm-0', 'a', path, '127.0.0.1:1', random.Random(1)
            )
            vm.start_daemon()
            vm.start_daemon()
            self.assertEqual(1, len(started))
            started[0].status = -9
            vm.start_daemon()
            self.assertEqual(2, len(started))


class TestDrains(testtools.TestCase):
    def drain(self, restarts):
        """Drain an upstream that restarts before it is acknowledged."""

        async def scenario():
            vm = testbeds.Vm(
                'vm-0', 'a', pathlib.Path('.'), '127.0.0.1:1', random.Random(1)
            )
            await vm.start_upstream()

            async def announce(call, state):
                for _ in range(restarts):
                    await vm.crash_upstream(0.0)
                return True

            vm._announce = announce
            self.patch(testbeds, 'DRAIN_S', -0.9)
            task = asyncio.ensure_future(vm.drain_upstream())
            await asyncio.sleep(0.05)
            draining = vm.draining_since is not None
            await task
            await vm.upstream.stop()
            return draining

        return asyncio.run(scenario())

    def test_acknowledged_drain_is_checked(self):
        self.assertTrue(self.drain(restarts=0))

    def test_acknowledgement_is_not_of_a_later_start(self):
        self.assertFalse(self.drain(restarts=1))


class TestChecks(testtools.TestCase):
    def kinds(self, status, ran, write=True, body=b'', **changes):
        """Return the kinds of violations that one call result shows."""
        values = {
            'request': 'a',
            'target': '/write/a',
            'write': write,
            'status': status,
            'body': body,
            'seconds': 0.1,
            'excused': False,
            **changes,
        }
        runs = [types.SimpleNamespace(id='a')] * ran
        upstream = types.SimpleNamespace(requests=runs)
        testbed = types.SimpleNamespace(
            vms=[types.SimpleNamespace(upstream=upstream)]
        )
        callers = types.SimpleNamespace(results=[checks.CallResult(**values)])
        return [
            line.partition(':')[0]
            for line in checks.violations(testbed, callers)
        ]

    def test_kinds_by_call_result(self):
        expected_body = b'a /write/a'
        for expected, kinds in (
            ([], self.kinds(200, 1, body=expected_body)),
            ([], self.kinds(503, 0)),
            ([], self.kinds(502, 1)),
            ([], self.kinds(200, 2, write=False, body=expected_body)),
            (['duplicate'], self.kinds(200, 2, body=expected_body)),
            (['ran-despite-refusal'], self.kinds(503, 1)),
            (['wrong-answer'], self.kinds(200, 1, body=b'other')),
            (['wrong-answer'], self.kinds(200, 0, body=expected_body)),
            (['unexpected-status'], self.kinds(404, 0)),
            (['lost-connection'], self.kinds(0, 1)),
            ([], self.kinds(0, 1, excused=True)),
            (['late'], self.kinds(502, 1, seconds=3.1)),
            (['no-answer'], self.kinds(-1, 0)),
        ):
            self.assertEqual(expected, kinds)


class TestRecovery(testtools.TestCase):
    def unrecovered(self, answer, recovery=8.0):
        """Check a VM that answers a target of a testbed by a function."""
        testbed = types.SimpleNamespace(
            target='/new-1/',
            vms=[types.SimpleNamespace(name='vm', callers='')],
        )

        async def request(address, method, target, headers):
            return types.SimpleNamespace(status=answer(testbed, target))

        async def scenario():
            return [line async for line in checks.unrecovered(testbed, None)]

        self.patch(checks, 'RECOVERY_S', recovery)
        self.patch(checks.sidecars, 'request', request)
        return asyncio.run(scenario())

    def test_version_published_meanwhile_is_the_one_asked_for(self):
        """A daemon that starts while version 2 is replaced by 3 serves 3."""
        targets = iter(('/new-2/', '/new-3/'))

        def answer(testbed, target):
            if testbed.target != '/new-3/':
                testbed.target = next(targets)
                return 503
            return 200 if target == '/new-3/x' else 404

        self.assertEqual([], self.unrecovered(answer))

    def test_older_version_is_not_enough(self):
        def answer(testbed, target):
            return 200 if target == '/new-0/x' else 404

        self.assertEqual(
            ['not recovered: vm answers 404 to /new-1/x'],
            self.unrecovered(answer, recovery=0.2),
        )


class TestLimits(testtools.TestCase):
    def violations(self, times):
        limit = testbeds.NamedLimit(2.0, since=10.0, arrivals=times)
        vm = types.SimpleNamespace(name='vm-0', limits=[limit])
        return list(checks.limit_violations(types.SimpleNamespace(vms=[vm])))

    def test_requests_beyond_the_limit_are_reported(self):
        """17 are allowed in 4 s once the limit is known."""
        self.assertEqual([], self.violations([13.0] * 17))
        self.assertEqual([], self.violations([12.9] * 99))
        self.assertEqual([], self.violations([13.0] * 17 + [17.0] * 17))
        self.assertEqual(1, len(self.violations([14.0] * 17 + [17.9])))


class TestVersionWatch(testtools.TestCase):
    NOW = 100.0
    # A version published at this time must be in force.
    DUE = NOW - versionwatch.APPLY_S - versionwatch.MACHINE_MARGIN_S

    def setUp(self):
        super().setUp()
        self.testbed = testbeds.Testbed(1, 0, '.')
        self.testbed.vms = [
            testbeds.Vm(
                f'vm-{n}', 'a', pathlib.Path('.'), 'h:1', random.Random(1)
            )
            for n in range(2)
        ]
        self.testbed._published = [(self.DUE - 50.0, 1), (self.DUE, 2)]
        self.watch = versionwatch.VersionWatch(self.testbed)

    def check(self, number):
        """Check the version of the first VM; return the violations' kinds."""
        self.watch.violations.clear()
        self.watch._check_time(self.testbed.vms[0], number, self.NOW)
        return [line.split(':')[0] for line in self.watch.violations]

    def test_late_version_is_found(self):
        self.assertEqual(['late'], self.check(1))
        self.assertEqual([], self.check(2))
        self.testbed._published[-1] = (self.DUE + 0.1, 2)
        self.assertEqual([], self.check(1))

    def test_a_disturbed_daemon_or_store_is_excused(self):
        for calm in (self.testbed.vms[0].calm, self.testbed.calm):
            with calm.broken():
                self.assertEqual([], self.check(1))

    def test_a_daemon_cut_off_from_the_store_is_told_by_others(self):
        first, second = self.testbed.vms
        with first.store_calm.broken():
            self.assertEqual(['late'], self.check(1))
            with second.calm.broken():
                self.assertEqual([], self.check(1))

    def test_time_without_faults_begins_when_the_last_one_ends(self):
        async def scenario():
            calm = testbeds.Calm()
            now = asyncio.get_running_loop().time()
            with calm.broken(), calm.broken():
                self.assertFalse(calm.since(now))
            self.assertFalse(calm.since(now))
            self.assertTrue(calm.since(asyncio.get_running_loop().time()))

        asyncio.run(scenario())

    def test_step_back_within_one_process_is_found(self):
        vm = self.testbed.vms[0]
        for process, number in ((1, 3), (1, 3), (2, 1), (2, 4), (1, 2)):
            self.watch._check_order(vm, process, number)
        self.assertEqual(
            ['backward: vm-0 went from version 3 to 2'], self.watch.violations
        )
