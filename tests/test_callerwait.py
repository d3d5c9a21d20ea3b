"""Tests of the estimate of how long a caller has waited."""

import testtools

from jujubefold.sidecar import callerwait


class TestEstimate(testtools.TestCase):
    def test_shorter_timeout_is_taken_for_a_retry(self):
        table = callerwait.WaitTable()
        for _ in range(50):
            self.assertEqual(0, callerwait.estimate(table, 'r', 1200))
        self.assertEqual(0.5, callerwait.estimate(table, 'r', 700))

    def test_few_longer_timeouts_do_not_count_as_usual(self):
        table = callerwait.WaitTable()
        for number in range(200):
            if number % 25 == 0:
                callerwait.estimate(table, 'r', 60_000)
            else:
                self.assertEqual(0, callerwait.estimate(table, 'r', 1200))

    def test_usual_timeout_follows_a_change(self):
        table = callerwait.WaitTable()
        for _ in range(1000):
            callerwait.estimate(table, 'r', 1200)
        for _ in range(1000):
            callerwait.estimate(table, 'r', 800)
        self.assertEqual(0, callerwait.estimate(table, 'r', 800))

    def test_remembered_timeouts_are_bounded(self):
        table = callerwait.WaitTable()
        for number in range(10_000):
            callerwait.estimate(table, 'r', number)
        self.assertLessEqual(
            len(table.counts['r']), callerwait.MAX_TIMEOUTS + 1
        )
