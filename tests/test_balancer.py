"""Tests of the choice of an upstream."""

import random

import testtools

from jujubefold.sidecar import balancer
from jujubefold.sidecar import limiter


def candidate(vm, distance='region', running=0, waiting=0, **changes):
    changes.setdefault('reachable', True)
    load = limiter.Load(running, waiting, 6, 0.1, changes.pop('failing', 0.0))
    return balancer.Candidate(
        vm, 'pickups', distance, load, reported_at=0.0, **changes
    )


def choose(candidates, left=0.5, tried=(), now=0.0, seed=1, full=()):
    found = decide(candidates, left, tried, now, seed, full)
    return found and found.candidate.vm


def decide(candidates, left=0.5, tried=(), now=0.0, seed=1, full=()):
    wish = balancer.Criteria(left, 0.1, frozenset(tried), frozenset(full))
    return balancer.choose(candidates, wish, now, random.Random(seed))


class TestChoice(testtools.TestCase):
    def test_near_ones_are_kept_to_while_they_have_room(self):
        others = [candidate('near', 'domain', running=5), candidate('far')]
        self.assertEqual('near', choose(others))

    def test_a_late_near_one_gives_way_to_one_with_room(self):
        others = [
            candidate('near', 'domain', running=6, waiting=30),
            candidate('far'),
        ]
        found = decide(others)
        self.assertEqual('far', found.candidate.vm)
        self.assertFalse(found.may_queue)

    def test_a_short_wait_near_by_goes_before_leaving(self):
        others = [candidate('near', 'domain', running=6), candidate('far')]
        found = decide(others)
        self.assertEqual('near', found.candidate.vm)
        self.assertTrue(found.may_queue)

    def test_without_a_free_slot_it_waits_near_by(self):
        others = [
            candidate('near', 'domain', running=6, waiting=2),
            candidate('far', running=6),
        ]
        found = decide(others)
        self.assertEqual('near', found.candidate.vm)
        self.assertTrue(found.may_queue)

    def test_one_that_had_no_slot_may_be_waited_at(self):
        others = [candidate('near', 'domain'), candidate('far', running=6)]
        found = decide(others, full=('near',))
        self.assertEqual('near', found.candidate.vm)
        self.assertTrue(found.may_queue)

    def test_a_free_one_of_two_near_ones_is_found(self):
        others = [
            candidate('one', 'domain', running=6),
            candidate('two', 'domain', running=5),
        ]
        for seed in range(20):
            self.assertEqual('two', choose(others, seed=seed))

    def test_load_everywhere_is_no_reason_to_leave(self):
        others = [
            candidate('near', 'domain', running=6, waiting=30),
            candidate('far', running=6, waiting=2),
        ]
        self.assertEqual('near', choose(others))

    def test_a_late_caller_stays_near(self):
        others = [candidate('near', 'domain', running=6), candidate('far')]
        self.assertEqual('near', choose(others, left=-0.1))

    def test_refused_near_by_goes_where_there_is_room(self):
        others = [candidate('near', 'domain'), candidate('far')]
        self.assertEqual('far', choose(others, tried=('near',)))
        full = [candidate('near', 'domain'), candidate('far', running=6)]
        self.assertIsNone(choose(full, tried=('near',)))

    def test_a_domain_without_the_service_uses_others(self):
        others = [
            candidate('one', running=6, waiting=5),
            candidate('two', running=6, waiting=1),
        ]
        self.assertEqual('two', choose(others))

    def test_unreachable_empty_and_tried_ones_are_left_out(self):
        gone = candidate('gone', reachable=False)
        empty = candidate('empty')
        empty.load = limiter.Load(slots=0)
        self.assertIsNone(choose([gone, empty]))
        self.assertIsNone(choose([candidate('one')], tried=('one',)))

    def test_a_failing_one_is_left_for_a_sound_one(self):
        others = [
            candidate('grey', 'domain', failing=0.5),
            candidate('sound', 'domain', running=4),
        ]
        for seed in range(20):
            self.assertEqual('sound', choose(others, seed=seed))

    def test_one_found_gone_is_tried_last_for_a_moment(self):
        others = [candidate('one', 'domain'), candidate('two', 'domain')]
        balancer.penalize(others[0], 0.0)
        for seed in range(20):
            self.assertEqual('two', choose(others, seed=seed))
        later = 2 * balancer.PENALTY_DURATION_S
        found = {choose(others, now=later, seed=s) for s in range(40)}
        self.assertEqual({'one', 'two'}, found)

    def test_offers_since_the_report_count(self):
        one, two = candidate('one', 'domain'), candidate('two', 'domain')
        one.offers_since_report = 9
        for seed in range(20):
            self.assertEqual('two', choose([one, two], seed=seed))

    def test_an_old_report_of_a_queue_fades(self):
        busy = candidate('busy', running=6, waiting=20)
        wish = balancer.Criteria(0.5, 0.1)
        new = balancer.expected_latency(busy, wish, 0.0)
        old = balancer.expected_latency(busy, wish, balancer.REPORT_MAX_AGE_S)
        self.assertGreater(new, 0.3)
        self.assertLess(old, 0.15)
