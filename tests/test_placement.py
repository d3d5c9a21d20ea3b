"""Tests of what callers get from the balancers and gates of a fleet."""

import testtools

from tests import loads
from tests import placement

KIND = loads.Kind('view', 'board', 0.065, 0.2, 1.2, max_retries=2)
SECONDS = 8.0
SPAN_S = 4.0
# Share of the best served failure domain that each one must reach.
ALIKE = 0.95
# Five upstreams of one service on eight VMs in three failure domains.
SLOTS = {'a-1': 6, 'a-2': 6, 'b-1': 6, 'b-2': 6, 'c-1': 6}
VMS = ('a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3', 'c-1', 'c-2')


def play(per_s, limits):
    """Return a finished simulation.

    Args:
        per_s: Requests a second of all callers together.
        limits: Requests a second that upstreams take, by VM.
    """
    fleet = [
        placement.Vm(vm, vm[0], SLOTS.get(vm, 0), limits.get(vm)) for vm in VMS
    ]
    simulation = placement.Placement(fleet, KIND)
    simulation.run(per_s / len(VMS), SECONDS)
    return simulation


def play_uneven(upstreams, slots, duration, load=0.8):
    """Return a finished simulation in which half of the callers are in c.

    Args:
        upstreams: Upstreams of the failure domains a, b and c.
        slots: Slots of each upstream.
        duration: Mean seconds of work.
        load: Requested part of all slots.
    """
    kind = loads.Kind('view', 'board', duration, 3.3 * duration, 9 * duration)
    callers = sum(upstreams)
    fleet = [
        placement.Vm(f'{domain}-{i}', domain, slots if i < count else 0)
        for domain, count, vms in zip(
            'abc', upstreams, (callers, callers, 2 * callers), strict=True
        )
        for i in range(vms)
    ]
    simulation = placement.Placement(fleet, kind)
    per_s = load * sum(upstreams) * slots / duration
    simulation.run(per_s / len(fleet), min(SECONDS, 3000 / per_s))
    return simulation


class TestNamedLimits(testtools.TestCase):
    """Two upstreams name about a quarter of what they could take.

    One of them is the only one of its failure domain.
    """

    LIMITS = {'b-1': 14.0, 'c-1': 19.0}

    def test_limits_are_kept_and_callers_are_served_by_the_others(self):
        simulation = play(210.0, self.LIMITS)
        for vm, limit in self.LIMITS.items():
            times = simulation.started[vm]
            most = max(
                sum(first <= time < first + SPAN_S for time in times)
                for first in times
            )
            self.assertLessEqual(most, 1.5 * SPAN_S * limit + 5)
            # What such an upstream takes is not left unused.
            self.assertGreater(len(times), 0.6 * limit * SECONDS)
        for domain in 'abc':
            self.assertGreater(simulation.served(domain), 0.98, domain)

    def test_without_limits_few_requests_leave_their_failure_domain(self):
        simulation = play(210.0, {})
        self.assertEqual(1.0, simulation.served())
        self.assertLess(simulation.far, 0.02 * 210.0 * SECONDS)
        self.assertEqual(0, play(105.0, {}).far)


class TestUnevenDomains(testtools.TestCase):
    """One failure domain has half of the callers and few upstreams.

    Together the upstreams have room for all. Guards callers who are refused
    while upstreams of other failure domains have short queues.
    """

    def test_callers_of_all_domains_are_served_alike(self):
        self.check(
            ((1, 1, 1), 12, 0.09),
            ((2, 2, 1), 12, 0.09),
            ((2, 2, 1), 6, 0.3),
            ((2, 2, 1), 48, 0.02),
            ((2, 2, 1), 2, 1.0),
        )

    def test_callers_of_many_upstreams_are_served_alike(self):
        self.check(((20, 15, 5), 6, 0.3), ((20, 15, 5), 2, 1.0))

    def check(self, *cases):
        """Play cases: upstreams of a, b and c, slots, seconds of work."""
        for upstreams, slots, duration in cases:
            simulation = play_uneven(upstreams, slots, duration)
            label = f'{upstreams} upstreams of {slots} slots, {duration} s'
            shares = [simulation.on_time(domain) for domain in 'abc']
            self.assertGreater(shares[2], ALIKE * max(shares), label)
            self.assertGreater(simulation.served('c'), 0.97, label)
