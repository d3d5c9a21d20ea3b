"""Tests of background tasks and of guarded periodic work."""

import asyncio

import testtools

from jujubefold import backgroundtasks
from tests import sidecars


class TestGuardedWork(testtools.TestCase):
    def test_an_error_is_reported_and_does_not_propagate(self):
        async def main():
            reported = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: reported.append(context)
            )
            done = []
            backgroundtasks.run_guarded([].pop)
            backgroundtasks.run_guarded(done.append, 1)
            self.assertEqual([1], done)
            self.assertIsInstance(reported[0]['exception'], IndexError)

        asyncio.run(main())


class TestSweep(testtools.TestCase):
    def test_a_daemon_sweeps_on_after_an_error(self):
        """Guards against one error that ends all periodic work for good."""

        async def scenario(fleet):
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            sidecar = await fleet.add('vm-1')
            sweeps = []

            def broken():
                sweeps.append(1)
                raise ValueError('broken')

            sidecar.fleet.sweep = broken
            sidecar.egress.update_slots = broken
            await asyncio.sleep(0.5)
            self.assertGreater(len(sweeps), 4)

        sidecars.run_scenario(scenario)
