"""Short seeded runs of the soak test, and tests of its checks."""

import pathlib
import random
import tempfile
import types

import testtools

from soak import __main__ as soak
from soak import checks
from soak import testbed as testbeds
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
