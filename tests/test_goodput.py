"""Tests of goodput under overload, in simulated time."""

import testtools

from bench import overload
from bench import spread

SECONDS = 4.0
# Share of the capacity that must be served on time.
MIN_GOODPUT = 0.9


class TestGoodput(testtools.TestCase):
    def test_one_gate(self):
        for slots in (6, 12):
            for offered in (2.0, 5.0):
                tally = overload.simulate(
                    overload.GatePolicy(slots), slots, offered, SECONDS, seed=2
                )
                capacity = overload.capacity(slots, SECONDS)
                self.assertGreater(tally.good, MIN_GOODPUT * capacity)
                self.assertLess(tally.late, 0.01 * tally.good)
                shares = [
                    tally.served[kind] / tally.offered[kind]
                    for kind in ('high', 'light', 'greedy')
                ]
                self.assertEqual(sorted(shares, reverse=True), shares)
                ended = tally.good + tally.late + tally.refused
                total_offered = (
                    tally.offered['light'] + tally.offered['greedy']
                )
                self.assertEqual(total_offered, ended)

    def test_all_daemons_of_a_service(self):
        for scenario in spread.SCENARIOS:
            run = spread.Simulation(
                spread.SHAPES[0], scenario, 2.0, 1.5, seed=2
            )
            run.run()
            tally = run.tally
            instances = 5 - (scenario == 'returning') / 3
            capacity = overload.capacity(6 * instances, 1.5)
            self.assertGreater(
                tally['in time'], MIN_GOODPUT * capacity, scenario
            )
            ended = tally['good'] + tally['late'] + tally['refused']
            self.assertEqual(tally['offered'], ended, scenario)
            self.assertLess(tally['tries'], 1.3 * tally['offered'], scenario)
