"""Tests of the selection of an upstream."""

import dataclasses
import heapq
import random

import testtools

from jujubefold import calls
from jujubefold.sidecar import balancer
from jujubefold.sidecar import limiter
from jujubefold.sidecar import rolloutstates


def candidate(vm, distance='region', running=0, waiting=0, **changes):
    changes.setdefault('reachable', True)
    load = limiter.Load(
        running, waiting, 6, 0.1, changes.pop('failure_rate', 0.0)
    )
    return balancer.Candidate(
        vm, 'pickups', distance, load, reported_at=0.0, **changes
    )


def choose(candidates, time_left=0.5, excluded=(), now=0.0, seed=1, full=()):
    choice = decide(candidates, time_left, excluded, now, seed, full)
    return choice and choice.candidate.vm


def decide(candidates, time_left=0.5, excluded=(), now=0.0, seed=1, full=()):
    criteria = balancer.Criteria(
        time_left, 0.1, frozenset(excluded), frozenset(full)
    )
    return balancer.choose(candidates, criteria, now, random.Random(seed))


class TestChoice(testtools.TestCase):
    def test_free_slot_in_the_domain_is_preferred(self):
        candidates = [candidate('near', 'domain', running=5), candidate('far')]
        self.assertEqual('near', choose(candidates))

    def test_free_slot_elsewhere_precedes_late_queue(self):
        candidates = [
            candidate('near', 'domain', running=6, waiting=30),
            candidate('far'),
        ]
        choice = decide(candidates)
        self.assertEqual('far', choice.candidate.vm)
        self.assertFalse(choice.may_queue)

    def test_short_queue_precedes_another_domain(self):
        candidates = [candidate('near', 'domain', running=6), candidate('far')]
        choice = decide(candidates)
        self.assertEqual('near', choice.candidate.vm)
        self.assertTrue(choice.may_queue)

    def test_without_free_slots_it_queues_in_the_domain(self):
        candidates = [
            candidate('near', 'domain', running=6, waiting=2),
            candidate('far', running=6),
        ]
        choice = decide(candidates)
        self.assertEqual('near', choice.candidate.vm)
        self.assertTrue(choice.may_queue)

    def test_gate_without_free_slot_may_be_queued_at(self):
        candidates = [candidate('near', 'domain'), candidate('far', running=6)]
        choice = decide(candidates, full=('near',))
        self.assertEqual('near', choice.candidate.vm)
        self.assertTrue(choice.may_queue)

    def test_free_one_of_two_in_the_domain_is_chosen(self):
        candidates = [
            candidate('one', 'domain', running=6),
            candidate('two', 'domain', running=5),
        ]
        for seed in range(20):
            self.assertEqual('two', choose(candidates, seed=seed))

    def test_queue_elsewhere_precedes_late_queue(self):
        """Guards callers of a failure domain with few upstreams."""
        candidates = [
            candidate('near', 'domain', running=6, waiting=30),
            candidate('far', running=6, waiting=2),
        ]
        choice = decide(candidates)
        self.assertEqual('far', choice.candidate.vm)
        self.assertTrue(choice.may_queue)

    def test_late_queues_everywhere_keep_it_in_the_domain(self):
        candidates = [
            candidate('near', 'domain', running=6, waiting=30),
            candidate('far', running=6, waiting=24),
        ]
        self.assertEqual('near', choose(candidates))

    def test_late_request_stays_in_the_domain(self):
        candidates = [candidate('near', 'domain', running=6), candidate('far')]
        self.assertEqual('near', choose(candidates, time_left=-0.1))

    def test_refused_in_the_domain_must_be_on_time_elsewhere(self):
        candidates = [candidate('near', 'domain'), candidate('far')]
        self.assertEqual('far', choose(candidates, excluded=('near',)))
        for waiting, vm in ((0, 'far'), (30, None)):
            queue = candidate('far', running=6, waiting=waiting)
            candidates = [candidate('near', 'domain'), queue]
            self.assertEqual(vm, choose(candidates, excluded=('near',)))

    def test_domain_without_the_service_uses_other_domains(self):
        candidates = [
            candidate('one', running=6, waiting=5),
            candidate('two', running=6, waiting=1),
        ]
        self.assertEqual('two', choose(candidates))

    def test_unavailable_and_excluded_ones_are_not_chosen(self):
        unreachable = candidate('unreachable', reachable=False)
        without_slots = candidate('without-slots')
        without_slots.load = limiter.Load(slots=0)
        self.assertIsNone(choose([unreachable, without_slots]))
        self.assertIsNone(choose([candidate('one')], excluded=('one',)))

    def test_failing_upstream_is_avoided(self):
        candidates = [
            candidate('failing', 'domain', failure_rate=0.5),
            candidate('healthy', 'domain', running=4),
        ]
        for seed in range(20):
            self.assertEqual('healthy', choose(candidates, seed=seed))

    def test_penalized_upstream_is_chosen_last_for_a_while(self):
        candidates = [candidate('one', 'domain'), candidate('two', 'domain')]
        balancer.penalize(candidates[0], 0.0)
        for seed in range(20):
            self.assertEqual('two', choose(candidates, seed=seed))
        later = 2 * balancer.PENALTY_DURATION_S
        found = {choose(candidates, now=later, seed=s) for s in range(40)}
        self.assertEqual({'one', 'two'}, found)

    def test_faster_one_of_two_free_upstreams_is_chosen(self):
        """Guards requests that only a fast upstream answers on time."""
        for mean in (0.005, 0.1, 1.0):
            slow, fast = (
                candidate('slow', 'domain'),
                candidate('fast', 'domain'),
            )
            for _ in range(40):
                balancer.record_duration(slow, 1.4 * mean, mean, 0.0)
                balancer.record_duration(fast, 0.6 * mean, mean, 0.0)
            for seed in range(20):
                self.assertEqual('fast', choose([slow, fast], seed=seed))

    def test_slow_upstream_is_tried_again_after_a_while(self):
        slow = candidate('slow', 'domain')
        for _ in range(200):
            balancer.record_duration(slow, 9.0, 0.1, 0.0)
        now = balancer.expected_slowness(slow, 0.0)
        self.assertGreater(now, 4.0)
        self.assertLessEqual(now, balancer.MAX_SLOWNESS)
        later = 8 * balancer.SLOWNESS_HALF_LIFE_S
        self.assertLess(balancer.expected_slowness(slow, later), 1.05)

    def test_offers_since_the_report_count_as_load(self):
        one, two = candidate('one', 'domain'), candidate('two', 'domain')
        one.offers_since_report = 9
        for seed in range(20):
            self.assertEqual('two', choose([one, two], seed=seed))

    def test_announced_full_gate_stays_full_until_it_has_room(self):
        """Answers to other offers may show it full in between."""
        near, far = candidate('near', 'domain'), candidate('far')
        full, free = candidate('x', running=6).load, candidate('x').load

        def may_queue(item, now):
            return decide([item], now=now).may_queue

        balancer.update_load(near, full, 0.0)
        self.assertFalse(may_queue(near, 9.0))
        balancer.announce_load(near, full, 9.0)
        self.assertTrue(may_queue(near, 18.0))
        balancer.update_load(near, full, 18.0)
        self.assertTrue(may_queue(near, 27.0))
        balancer.announce_load(near, free, 27.0)
        self.assertFalse(may_queue(near, 27.0))
        # A link that opens again may have missed that it has room.
        balancer.announce_load(near, full, 27.0)
        balancer.introduce_load(near, full, 28.0)
        self.assertFalse(may_queue(near, 36.0))
        # Gates announce no room to other failure domains.
        balancer.announce_load(far, full, 0.0)
        self.assertFalse(may_queue(far, 9.0))

    def test_reported_queue_counts_less_with_age(self):
        busy = candidate('busy', running=6, waiting=20)
        criteria = balancer.Criteria(0.5, 0.1)
        new = balancer.expected_latency(busy, criteria, 0.0)
        old = balancer.expected_latency(
            busy, criteria, balancer.REPORT_MAX_AGE_S
        )
        self.assertGreater(new, 0.3)
        self.assertLess(old, 0.15)

    def test_call_that_would_be_late_queues_in_another_domain(self):
        """Guards parents' work while other domains' gates are shorter."""
        near = candidate('near', 'domain', running=6)
        far = candidate('far', running=6, waiting=60)
        near.load = dataclasses.replace(
            near.load, waiting=60, waiting_calls=60
        )
        criteria = balancer.Criteria(0.3, 0.1)
        rng = random.Random(1)
        choice = balancer.choose([near, far], criteria, 0.0, rng)
        self.assertEqual('near', choice.candidate.vm)
        for left in (0.8, 2.0):
            criteria = balancer.Criteria(0.1, 0.1, call_time_left=left)
            choice = balancer.choose([near, far], criteria, 0.0, rng)
            self.assertEqual(
                ('far', True), (choice.candidate.vm, choice.may_queue)
            )
        near.load = dataclasses.replace(near.load, waiting_calls=1)
        choice = balancer.choose([near, far], criteria, 0.0, rng)
        self.assertEqual('near', choice.candidate.vm)


class FailingUpstreamLoad:
    """Plays requests to gates of which one fails for some time.

    Args:
        share: Share of its requests that it fails, within 5 ms.
        start: Seconds at which it begins to fail.
        end: Seconds at which it has recovered.
        per_s: Requests a second, in total.
    """

    GATES = 5
    DURATION_S = 0.1
    SECONDS = 30.0

    def __init__(self, share, start, end, per_s):
        self._failing = (share, start, end)
        self._rng = random.Random(7)
        self._tables = [limiter.SlotTable(slots=6) for _ in range(self.GATES)]
        self._candidates = [
            candidate(f'vm-{number}', 'domain') for number in range(self.GATES)
        ]
        self._events = []
        now = 0.0
        while now < self.SECONDS:
            now += self._rng.expovariate(per_s)
            heapq.heappush(self._events, (now, len(self._events), None))
        # Seconds and gate of each request that was sent.
        self.sent = []

    def run(self):
        while self._events:
            now, key, ended = heapq.heappop(self._events)
            if ended is None:
                self._arrive(now, key)
            else:
                gate, failed = ended
                limiter.release(self._tables[gate], key, now, failed)
                self._report(gate, now)
        return self

    def share_of_failing(self, start, end):
        """Return the share of requests that the failing gate was sent."""
        gates = [gate for at, gate in self.sent if start <= at < end]
        return gates.count(0) / len(gates)

    def _arrive(self, now, key):
        criteria = balancer.Criteria(0.5, self.DURATION_S)
        choice = balancer.choose(self._candidates, criteria, now, self._rng)
        gate = self._candidates.index(choice.candidate)
        request = limiter.Request(key, 'r', 0, now, now + 0.5, now + 2.0)
        if not isinstance(
            limiter.acquire(self._tables[gate], request, now), calls.Admitted
        ):
            limiter.release(self._tables[gate], key, now)
            return
        self.sent.append((now, gate))
        self._report(gate, now)
        share, start, end = self._failing
        failed = (
            gate == 0 and start <= now < end and self._rng.random() < share
        )
        seconds = 0.005 if failed else self._rng.uniform(0.05, 0.15)
        heapq.heappush(self._events, (now + seconds, key, (gate, failed)))

    def _report(self, gate, now):
        balancer.update_load(
            self._candidates[gate], limiter.load(self._tables[gate], now), now
        )


class TestFailingUpstream(testtools.TestCase):
    def test_upstream_that_fails_fast_attracts_no_requests(self):
        """An even share is a fifth; the others have room for all."""
        for share in (0.45, 1.0):
            load = FailingUpstreamLoad(share, 5.0, 15.0, per_s=100).run()
            self.assertLess(load.share_of_failing(7.0, 15.0), 0.05, share)

    def test_upstream_that_recovered_gets_requests_again(self):
        load = FailingUpstreamLoad(1.0, 5.0, 15.0, per_s=100).run()
        self.assertGreater(load.share_of_failing(22.0, 30.0), 0.1)

    def test_upstream_that_fails_rarely_keeps_its_share(self):
        load = FailingUpstreamLoad(0.01, 0.0, 30.0, per_s=100).run()
        self.assertGreater(load.share_of_failing(2.0, 30.0), 0.1)


class TestPreference(testtools.TestCase):
    def test_versions_are_kept_apart_as_the_fallback_says(self):
        """Each case: old and new upstreams as running requests and slots.

        Without this, a full version sends its load to the other one, and a
        closed one loses requests.
        """
        never = rolloutstates.Fallback.NEVER
        no_room = rolloutstates.Fallback.NO_ROOM
        none_open = rolloutstates.Fallback.NONE_OPEN
        for track, fallback, old, new, expected in (
            (0, never, (5, 6), (0, 6), 'old'),
            (0, never, (60, 6), (0, 6), 'old'),
            (0, never, (0, 0), (0, 6), None),
            (1, no_room, (0, 6), (5, 6), 'new'),
            (1, no_room, (0, 6), (6, 6), 'old'),
            (1, no_room, (0, 6), (0, 0), 'old'),
            (1, none_open, (0, 6), (60, 6), 'new'),
            (1, none_open, (0, 6), (0, 0), 'old'),
            (0, none_open, (0, 0), (0, 6), 'new'),
        ):
            candidates = [
                balancer.Candidate(
                    vm,
                    'pickups',
                    'domain',
                    limiter.Load(running, 0, slots, 0.1, track=index),
                    reachable=True,
                )
                for index, (vm, (running, slots)) in enumerate(
                    (('old', old), ('new', new))
                )
            ]
            criteria = balancer.Criteria(
                0.5,
                0.1,
                preference=rolloutstates.Preference(track, fallback),
            )
            choice = balancer.choose(
                candidates, criteria, 0.0, random.Random(1)
            )
            self.assertEqual(
                expected,
                choice and choice.candidate.vm,
                (track, fallback, old, new),
            )
