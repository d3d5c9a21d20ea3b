"""Tests of the upper bounds of the credit of simulated days."""

import copy

import testtools

from bench import bounds

SITE = {
    'name': 'small',
    'length_s': 10,
    'machines': [{'count': 2, 'app': 'desk'}],
    'services': [{'name': 'desk', 'slots': 5, 'speeds': [1.0]}],
    'classes': [
        {
            'name': 'write',
            'service': 'desk',
            'kind': 'unsafe',
            'worth': 3,
            'late_worth': 0.9,
            'deadline_ms': 1000,
            'work_ms': {'mean': 100.0},
        },
        {
            'name': 'read',
            'service': 'desk',
            'kind': 'safe',
            'worth': 1,
            'late_worth': 0.3,
            'deadline_ms': 2000,
            'work_ms': {'mean': 100.0},
        },
    ],
    'traffic': [
        {'zone': 'a', 'per_s': 80.0, 'mix': {'write': 1.0, 'read': 1.0}}
    ],
}


def bound(*faults, **changes):
    """Return the bound of a day of `SITE`, which has 10 slots.

    Args:
        faults: Entries of the day's fault list.
        changes: Fields of the site to replace.
    """
    site = copy.deepcopy(SITE) | changes
    return bounds.bound(bounds.read(site, {'faults': list(faults)}))


class TestBound(testtools.TestCase):
    def check(self, optimum, found):
        """Check that a bound is at most `MAX_EXCESS` above the optimum."""
        self.assertGreaterEqual(found, optimum - 1e-6)
        self.assertLess(found, optimum + bounds.MAX_EXCESS)

    def test_bound_is_1_with_enough_slots(self):
        self.check(1.0, bound())

    def test_overload_drops_requests_of_least_worth(self):
        traffic = [dict(SITE['traffic'][0], per_s=200.0)]
        # The slots run 100 requests a second: all writes and no reads.
        self.check(0.75, bound(traffic=traffic))

    def test_fault_within_spare_slots_costs_nothing(self):
        slow = {'kind': 'srv_slow', 'at': 0, 'for_s': 10, 'x': 2.0}
        self.check(1.0, bound(slow | {'share': 0.1}))

    def test_lost_slots_drop_requests_of_least_worth(self):
        kill = {'kind': 'herd_kill', 'at': 0, 'for_s': 10, 'share': 0.5}
        # The other slots run 50 requests a second, of 40 writes and 40 reads.
        self.check((120 + 10) / 160, bound(kill))

    def test_late_answers_earn_less(self):
        burst = {'kind': 'burst', 'at': 2, 'for_s': 1, 'x': 2.0}
        full_credit = 9 * 160 + 320
        # 60 reads do not run on time; 40 of them run late, in slots that are
        # free in the next two seconds.
        lost = 60 - 40 * 0.3
        self.check(1 - lost / full_credit, bound(burst))

    def test_writes_with_lost_answers_earn_nothing(self):
        lost = {
            'kind': 'answer_lost',
            'at': 0,
            'for_s': 10,
            'share': 0.5,
            'x': 0.2,
        }
        self.check(1 - 0.1 * 0.75, bound(lost))

    def test_calls_hold_slots_of_both_services(self):
        site = copy.deepcopy(SITE)
        site['classes'][0]['calls'] = [
            {'class': 'inner', 'times': 2, 'share': 0.5}
        ]
        site['classes'].append(
            {'name': 'inner', 'service': 'inner-service', 'inner': True}
            | {'work_ms': {'mean': 50.0}}
        )
        site['services'].append({'name': 'inner-service', 'slots': 1})
        site['machines'].append({'count': 1, 'app': 'inner-service'})
        day = bounds.read(site, {})
        self.assertEqual(0.15, round(day.kinds[0].slot_seconds['desk'], 6))
        self.assertEqual(
            0.05, round(day.kinds[0].slot_seconds['inner-service'], 6)
        )
        # The one slot of the inner service admits 20 of 40 writes.
        self.check((60 + 40) / 160, bounds.bound(day))
