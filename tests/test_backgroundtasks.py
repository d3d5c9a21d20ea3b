"""Tests of background tasks and of guarded periodic work."""

import asyncio

import testtools
from testtools import matchers

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


class TestPlaces(testtools.TestCase):
    def test_innermost_frames_of_an_error_are_named(self):
        def divide():
            return 1 / 0

        try:
            divide()
        except ZeroDivisionError as error:
            places = backgroundtasks.raised_at(error)
        self.assertEqual(2, len(places))
        self.assertThat(
            places[0], matchers.MatchesRegex(r'test_background.*:\d+ divide$')
        )
        self.assertEqual([], backgroundtasks.raised_at(None))


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
