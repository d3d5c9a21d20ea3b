"""Tests of the retry budget that the daemons share."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold.sidecar import retrybudget

POLICY = retrybudget.Policy(ratio=0.2, window=10.0, slack=56)


class TestBudget(testtools.TestCase):
    def test_a_quiet_service_has_its_part_of_the_slack_only(self):
        table = retrybudget.RetryTable(POLICY)
        found = [retrybudget.try_spend(table, 's', 8, 0.0) for _ in range(20)]
        self.assertEqual(3, sum(item is not None for item in found))

    def test_what_no_upstream_was_sent_is_given_back(self):
        table = retrybudget.RetryTable(POLICY)
        early = retrybudget.try_spend(table, 's', 8, 0.0)
        while retrybudget.try_spend(table, 's', 8, 1.0):
            pass
        retrybudget.refund(early)
        self.assertTrue(retrybudget.try_spend(table, 's', 8, 2.0))
        self.assertFalse(retrybudget.try_spend(table, 's', 8, 2.0))

    def test_services_are_apart(self):
        table = retrybudget.RetryTable(POLICY)
        while retrybudget.try_spend(table, 'a', 8, 0.0):
            pass
        self.assertTrue(retrybudget.try_spend(table, 'b', 8, 0.0))

    def test_the_window_slides(self):
        table = retrybudget.RetryTable(POLICY)
        while retrybudget.try_spend(table, 's', 8, 0.0):
            pass
        self.assertFalse(retrybudget.try_spend(table, 's', 8, 9.9))
        self.assertTrue(retrybudget.try_spend(table, 's', 8, 10.6))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 7),
                strategies.booleans(),
                strategies.floats(0.0, 0.2),
            ),
            max_size=400,
        )
    )
    def test_the_sum_of_all_daemons_holds_in_any_window(self, steps):
        tables = [retrybudget.RetryTable(POLICY) for _ in range(8)]
        now = 0.0
        firsts, repeats = [], []
        for daemon, first, pause in steps:
            now += pause
            if first:
                retrybudget.record_first_attempt(tables[daemon], 's', now)
                firsts.append(now)
            elif retrybudget.try_spend(tables[daemon], 's', 8, now):
                repeats.append(now)
        for end in repeats:
            start = end - POLICY.window
            seen = sum(start < at <= end for at in repeats)
            # The rule takes the best of this window and the one before.
            asked = sum(start - POLICY.window < at <= end for at in firsts)
            allowed = POLICY.ratio * asked + POLICY.slack
            self.assertLessEqual(seen, allowed)

    def test_the_calls_of_repeated_runs_fit_in_too(self):
        # Half of the parents are refused by gates; every upstream fails
        # whatever it is sent, and each run makes two calls.
        board = [retrybudget.RetryTable(POLICY) for _ in range(8)]
        desk = [retrybudget.RetryTable(POLICY) for _ in range(8)]
        rng = random.Random(1)
        asked = repeated = 0
        for step in range(4000):
            now = step * POLICY.window / 4000
            daemon = rng.randrange(8)
            if rng.random() < 0.5:
                continue
            retrybudget.record_first_attempt(board[daemon], 'board', now)
            runs = 1
            if retrybudget.try_spend(board[daemon], 'board', 8, now):
                runs = 2
                repeated += 2
            for _ in range(2 * runs):
                asked += 1
                retrybudget.record_first_attempt(desk[daemon], 'desk', now)
                if retrybudget.try_spend(desk[daemon], 'desk', 8, now):
                    repeated += 1
        self.assertLessEqual(repeated, POLICY.ratio * asked + POLICY.slack)
        self.assertGreater(repeated, POLICY.ratio * asked / 2)
