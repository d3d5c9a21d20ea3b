"""Tests of a fleet whose failure domains have uneven callers and upstreams."""

import testtools

from tests import domainfleet

# Share of the best served failure domain that each one must reach.
ALIKE = 0.9


class TestUnevenLoad(testtools.TestCase):
    def test_failure_domains_are_served_alike(self):
        """Guards callers of the domain with the fewest upstreams."""
        fleet = domainfleet.play(domainfleet.studios(), 1)
        credits_ = [fleet.credit(domain) for domain in 'abc']
        self.assertGreater(min(credits_), ALIKE * max(credits_))

    def test_runs_are_kept_while_a_called_service_is_short(self):
        """Guards runs whose calls wait behind other requests."""
        lost = {}
        for calls_first in (False, True):
            scenario = domainfleet.studios(
                without=(10, 11), calls_first=calls_first
            )
            runs = domainfleet.play(scenario, 1).runs['deposit']
            lost[calls_first] = runs[True] / runs.total()
        self.assertGreater(lost[False], 0.1)
        self.assertLess(lost[True], 0.03)
