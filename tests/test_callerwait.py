"""Tests of how long a caller is taken to have waited."""

import testtools

from jujubefold.sidecar import callerwait


class TestPatience(testtools.TestCase):
    def test_a_returning_caller_is_told_from_a_first_request(self):
        table = callerwait.WaitTable()
        for _ in range(50):
            self.assertEqual(0, callerwait.estimate(table, 'r', 1200))
        self.assertEqual(0.5, callerwait.estimate(table, 'r', 700))

    def test_a_few_patient_callers_make_nobody_late(self):
        table = callerwait.WaitTable()
        for number in range(200):
            if number % 25 == 0:
                callerwait.estimate(table, 'r', 60_000)
            else:
                self.assertEqual(0, callerwait.estimate(table, 'r', 1200))

    def test_another_usual_time_is_learned(self):
        table = callerwait.WaitTable()
        for _ in range(1000):
            callerwait.estimate(table, 'r', 1200)
        for _ in range(1000):
            callerwait.estimate(table, 'r', 800)
        self.assertEqual(0, callerwait.estimate(table, 'r', 800))

    def test_memory_is_bounded(self):
        table = callerwait.WaitTable()
        for number in range(10_000):
            callerwait.estimate(table, 'r', number)
        self.assertLessEqual(len(table.counts['r']), callerwait.MAX_TIMES + 1)
