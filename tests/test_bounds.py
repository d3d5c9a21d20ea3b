"""Tests of the upper bounds of days."""

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
    """Return the bound of a day of `SITE`, which has 10 slots."""
    site = copy.deepcopy(SITE) | changes
    return bounds.bound(bounds.read(site, {'faults': list(faults)}))


class TestBound(testtools.TestCase):
    def check(self, best, found):
        """Check that a bound is close to the best result, and not below."""
        self.assertGreaterEqual(found, best - 1e-6)
        self.assertLess(found, best + bounds.LOOSE)

    def test_bound_is_1_when_all_requests_fit(self):
        self.check(1.0, bound())

    def test_double_load_serves_the_half_of_higher_worth(self):
        traffic = [dict(SITE['traffic'][0], per_s=200.0)]
        # The slots run 100 a second: all writes, and no read.
        self.check(0.75, bound(traffic=traffic))

    def test_fault_of_spare_slots_costs_nothing(self):
        slow = {'kind': 'srv_slow', 'at': 0, 'for_s': 10, 'x': 2.0}
        self.check(1.0, bound(slow | {'share': 0.1}))

    def test_lost_slots_cost_the_requests_of_least_worth(self):
        gone = {'kind': 'herd_kill', 'at': 0, 'for_s': 10, 'share': 0.5}
        # 50 a second are left for 40 writes and 40 reads.
        self.check((120 + 10) / 160, bound(gone))

    def test_late_answers_earn_less(self):
        burst = {'kind': 'burst', 'at': 2, 'for_s': 1, 'x': 2.0}
        offered = 9 * 160 + 320
        # 60 reads don't fit on time; 40 slots are free in the next two
        # seconds.
        lost = 60 - 40 * 0.3
        self.check(1 - lost / offered, bound(burst))

    def test_writes_whose_answer_is_lost_are_lost(self):
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
            {'name': 'inner', 'service': 'shelf', 'inner': True}
            | {'work_ms': {'mean': 50.0}}
        )
        site['services'].append({'name': 'shelf', 'slots': 1})
        site['machines'].append({'count': 1, 'app': 'shelf'})
        day = bounds.read(site, {})
        self.assertEqual(0.15, round(day.kinds[0].holds['desk'], 6))
        self.assertEqual(0.05, round(day.kinds[0].holds['shelf'], 6))
        # One slot of `shelf` is enough for 20 of 40 writes.
        self.check((60 + 40) / 160, bounds.bound(day))
