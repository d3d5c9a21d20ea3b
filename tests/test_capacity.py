"""Tests of learned limits against simulated upstreams, in virtual time."""

import heapq
import random
import statistics

import testtools

from jujubefold.sidecar import capacity

SLOTS = 6


class Upstream:
    """A saturated upstream, and the limit that is learned for it.

    Args:
        slowdown: Factor on durations by running requests and time.
        own: Mean seconds of a run's own work.
        called: Returns the seconds for which a run waits for its calls, by
            time.
        limited: Whether the learned limit applies.
    """

    def __init__(self, slowdown, own=0.2, called=None, limited=True, seed=1):
        self.table = capacity.new_table(SLOTS)
        self.ends, self.limits = [], []
        self._slowdown, self._own, self._limited = slowdown, own, limited
        self._called = called or (lambda now: 0.0)
        self._rng = random.Random(seed)
        self._running, self._now = [], 0.0

    def play(self, seconds):
        """Run requests for some time; as many wait as there is room for."""
        while self._now < seconds:
            room = capacity.limit(self.table) if self._limited else SLOTS
            while len(self._running) < room:
                self._start()
            self._now, own = heapq.heappop(self._running)
            running = len(self._running) + 1
            capacity.record(self.table, 'r', own, running, self._now)
            self.ends.append(self._now)
            self.limits.append((self._now, capacity.limit(self.table)))
        return self

    def throughput(self, start, end):
        """Return the runs a second that ended in a span."""
        return sum(start <= at < end for at in self.ends) / (end - start)

    def mean_limit(self, start):
        """Return the mean limit since some time."""
        found = [limit for at, limit in self.limits if at >= start]
        return sum(found) / len(found)

    def _start(self):
        busy = len(self._running) + 1
        own = self._own * self._rng.lognormvariate(-0.08, 0.4)
        own *= self._slowdown(busy, self._now)
        end = self._now + own + self._called(self._now)
        heapq.heappush(self._running, (end, own))


def steady(busy, now):
    return 1.0


def saturating(busy, now):
    """Beyond half of its slots, each more costs all of them speed."""
    return max(1.0, busy / 3) ** 1.5


class TestLimit(testtools.TestCase):
    def test_upstream_that_slows_down_beyond_half_of_its_slots(self):
        """Guards throughput that is lost to concurrency."""
        shares = []
        for seed in range(1, 7):
            found = Upstream(saturating, seed=seed).play(120.0)
            self.assertIn(found.table.settled, (3, 4))
            self.assertLess(found.mean_limit(30.0), 4.0)
            shares.append(found.throughput(60.0, 120.0) / (3 / 0.2))
        self.assertGreater(statistics.mean(shares), 0.95)

    def test_sound_upstream_keeps_its_slots(self):
        """Guards room that is lost to trials and to chance."""
        for own, seed in ((0.2, 1), (0.2, 2), (0.05, 3), (1.0, 4)):
            found = Upstream(steady, own, seed=seed).play(120.0)
            free = Upstream(steady, own, seed=seed, limited=False).play(120.0)
            self.assertEqual(SLOTS, found.table.settled)
            self.assertGreater(len(found.ends), 0.95 * len(free.ends))

    def test_slow_upstream_is_not_an_overloaded_one(self):
        """Guards upstreams that are slow from the start or become so."""
        for slowdown in (
            lambda busy, now: 1.6,
            lambda busy, now: 2.0 if now > 20.0 else 1.0,
        ):
            found = Upstream(slowdown).play(60.0)
            self.assertEqual(SLOTS, found.table.settled)

    def test_noise_below_a_second_is_ignored(self):
        for seed in (1, 2, 3):
            found = Upstream(
                lambda busy, now: 2.5 if now % 5 < 0.6 else 1.0, seed=seed
            ).play(60.0)
            self.assertGreater(found.mean_limit(0.0), 0.93 * SLOTS)

    def test_slow_calls_are_not_the_upstream_s_fault(self):
        found = Upstream(
            steady, called=lambda now: 0.5 if now > 15.0 else 0.1
        ).play(60.0)
        self.assertEqual(SLOTS, found.table.settled)

    def test_limit_rises_again_with_the_upstream_s_capacity(self):
        """Guards a limit that outlasts its cause."""
        found = Upstream(
            lambda busy, now: saturating(busy, now) if now < 40.0 else 1.0
        ).play(90.0)
        self.assertGreater(found.throughput(75.0, 90.0), 0.9 * SLOTS / 0.2)

    def test_too_few_runs_decide_nothing(self):
        table = capacity.new_table(SLOTS)
        for number in range(capacity.REFERENCE_RUNS + 19):
            capacity.record(table, 'r', 9.0, SLOTS, float(number))
        self.assertEqual(0, len(table.works))
        self.assertEqual(SLOTS, capacity.limit(table))

    def test_unused_slots_teach_nothing(self):
        """Guards the limit of an upstream that has little to do."""
        table = capacity.new_table(SLOTS)
        for number in range(1000):
            capacity.record(table, 'r', 0.2, 2, number * 0.1)
        self.assertEqual(SLOTS, capacity.limit(table))

    def test_limit_is_at_least_one_and_at_most_the_slots(self):
        table = capacity.new_table(1)
        for number in range(1000):
            capacity.record(table, 'r', 0.2, 1, number * 0.1)
        self.assertEqual(1, capacity.limit(table))
        capacity.set_slots(table, 4)
        self.assertEqual(4, capacity.limit(table))
        capacity.set_slots(table, 2)
        self.assertEqual(2, capacity.limit(table))
