"""Tests of the split of a route's requests by weight."""

import collections
import random

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import mesh
from jujubefold.sidecar import trafficsplit


def route(*weights, name='r'):
    targets = tuple(
        mesh.Target(mesh.EndpointGroup(f's{n}', f's{n}'), weight)
        for n, weight in enumerate(weights)
    )
    return mesh.Route(
        name,
        'h',
        '/',
        (),
        targets,
        mesh.RetryPolicy(),
        mesh.LimitPolicy(),
        mesh.TimeoutPolicy(),
        mesh.HeaderRule(),
    )


class TestSplit(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 100), min_size=1, max_size=4),
        strategies.integers(1, 300),
    )
    def test_counts_follow_weights_within_one(self, weights, requests):
        table = trafficsplit.SplitTable()
        split = route(*weights)
        found = collections.Counter(
            trafficsplit.choose(table, split) for _ in range(requests)
        )
        for number, weight in enumerate(weights):
            exact = requests * weight / sum(weights)
            # A service is at most one request ahead of its share, so it is
            # behind by no more than the others are ahead.
            self.assertLess(found[f's{number}'], exact + 1.001)
            self.assertGreater(found[f's{number}'], exact - len(weights))

    def test_first_requests_of_a_large_fleet_follow_the_weights(self):
        # Shares must be within a tenth from 300 requests on.
        requests, most_off = 300, 0.1
        for daemons in (8, 78, 195, 820):
            for weights in ((1, 1), (2, 1), (9, 1), (1, 3)):
                rng = random.Random(1)
                tables = [trafficsplit.SplitTable(rng) for _ in range(daemons)]
                first = sum(
                    trafficsplit.choose(rng.choice(tables), route(*weights))
                    == 's0'
                    for _ in range(requests)
                )
                off = first / requests - weights[0] / sum(weights)
                self.assertLess(abs(off), most_off, (daemons, weights))

    def test_changed_weights_reset_the_counts(self):
        table = trafficsplit.SplitTable()
        for _ in range(100):
            trafficsplit.choose(table, route(1, 1))
        found = [trafficsplit.choose(table, route(9, 1)) for _ in range(10)]
        self.assertEqual(9, found.count('s0'))
