"""Short seeded runs of the soak, and tests of its checks."""

import pathlib
import random
import tempfile
import types

import testtools

from soak import __main__ as soak
from soak import checks
from soak import world as worlds
from tests import sidecars

# Fixed seeds for every run; each seed that ever failed joins them, with a
# line on its cause.
SEEDS = (1, 2)
SECONDS = 4.0


class TestSeeds(testtools.TestCase):
    def test_promises_hold(self):
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                found = sidecars.run_coroutine(
                    soak.play(seed, SECONDS, 4, folder)
                )
            self.assertEqual([], found, f'seed {seed}')


class TestDaemons(testtools.TestCase):
    def test_a_daemon_that_runs_is_not_started_again(self):
        started = []

        class Popen:
            def __init__(self, *args, **kwargs):
                self.status = None
                started.append(self)

            def poll(self):
                return self.status

        self.patch(worlds.subprocess, 'Popen', Popen)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            vm = worlds.Vm('vm-0', 'a', path, '127.0.0.1:1', random.Random(1))
            vm.start_daemon()
            vm.start_daemon()
            self.assertEqual(1, len(started))
            started[0].status = -9
            vm.start_daemon()
            self.assertEqual(2, len(started))


class TestChecks(testtools.TestCase):
    def broken(self, status, ran, write=True, body=b'', **changes):
        """Return the kinds of promises broken by one told request."""
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
        world = types.SimpleNamespace(
            vms=[types.SimpleNamespace(upstream=upstream)]
        )
        callers = types.SimpleNamespace(told=[checks.Told(**values)])
        return [
            line.partition(':')[0] for line in checks.broken(world, callers)
        ]

    def test_table(self):
        whole = b'a /write/a'
        for expected, found in (
            ([], self.broken(200, 1, body=whole)),
            ([], self.broken(503, 0)),
            ([], self.broken(502, 1)),
            ([], self.broken(200, 2, write=False, body=whole)),
            (['twice'], self.broken(200, 2, body=whole)),
            (['refused'], self.broken(503, 1)),
            (['mixed'], self.broken(200, 1, body=b'other')),
            (['mixed'], self.broken(200, 0, body=whole)),
            (['denied'], self.broken(404, 0)),
            (['lost'], self.broken(0, 1)),
            ([], self.broken(0, 1, excused=True)),
            (['late'], self.broken(502, 1, seconds=3.1)),
            (['silent'], self.broken(-1, 0)),
        ):
            self.assertEqual(expected, found)
