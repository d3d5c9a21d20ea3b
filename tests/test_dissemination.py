"""Dissemination, driven by hand over several cores."""

import testtools

from tests import cores


class TestSpread(testtools.TestCase):
    def test_accepted_at_one_is_in_force_on_all(self):
        fleet = cores.Fleet(5)
        fleet.run(3.0)
        self.assertTrue(fleet.accept(0).is_ok())
        taken = fleet.run_until(fleet.converged)
        self.assertIsNotNone(taken)
        self.assertLess(taken, 2.0)
        self.assertEqual([1] * 5, fleet.in_force())
