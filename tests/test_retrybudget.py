"""Tests of the retry budget that the daemons share."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold.sidecar import retrybudget

POLICY = retrybudget.Policy(ratio=0.2, window=10.0, slack=56)


class TestBudget(testtools.TestCase):
    def test_without_first_attempts_a_daemon_has_its_share_of_slack(self):
        table = retrybudget.RetryTable(POLICY)
        found = [retrybudget.try_spend(table, 's', 8, 0.0) for _ in range(20)]
        self.assertEqual(3, sum(item is not None for item in found))

    def test_refund_allows_another_retry(self):
        table = retrybudget.RetryTable(POLICY)
        early = retrybudget.try_spend(table, 's', 8, 0.0)
        while retrybudget.try_spend(table, 's', 8, 1.0):
            pass
        retrybudget.refund(early)
        self.assertTrue(retrybudget.try_spend(table, 's', 8, 2.0))
        self.assertFalse(retrybudget.try_spend(table, 's', 8, 2.0))

    def test_services_have_separate_budgets(self):
        table = retrybudget.RetryTable(POLICY)
        while retrybudget.try_spend(table, 'a', 8, 0.0):
            pass
        self.assertTrue(retrybudget.try_spend(table, 'b', 8, 0.0))

    def test_budget_returns_when_the_window_has_passed(self):
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
    def test_sum_of_all_daemons_is_bounded_in_any_window(self, steps):
        tables = [retrybudget.RetryTable(POLICY) for _ in range(8)]
        now = 0.0
        first_attempts, retries = [], []
        for daemon, first, pause in steps:
            now += pause
            if first:
                retrybudget.record_first_attempt(tables[daemon], 's', now)
                first_attempts.append(now)
            elif retrybudget.try_spend(tables[daemon], 's', 8, now):
                retries.append(now)
        for end in retries:
            start = end - POLICY.window
            sent = sum(start < at <= end for at in retries)
            # First attempts of this window and the one before count.
            counted = sum(
                start - POLICY.window < at <= end for at in first_attempts
            )
            allowed = POLICY.ratio * counted + POLICY.slack
            self.assertLessEqual(sent, allowed)

    def test_calls_of_retried_requests_stay_within_the_budget(self):
        # Each request to the board service makes two calls to the desk
        # service. Half of the former are refused by gates, and upstreams
        # fail whatever they are sent.
        board = [retrybudget.RetryTable(POLICY) for _ in range(8)]
        desk = [retrybudget.RetryTable(POLICY) for _ in range(8)]
        rng = random.Random(1)
        requests = retries = 0
        for step in range(4000):
            now = step * POLICY.window / 4000
            daemon = rng.randrange(8)
            if rng.random() < 0.5:
                continue
            retrybudget.record_first_attempt(board[daemon], 'board', now)
            runs = 1
            if retrybudget.try_spend(board[daemon], 'board', 8, now):
                runs = 2
                retries += 2
            for _ in range(2 * runs):
                requests += 1
                retrybudget.record_first_attempt(desk[daemon], 'desk', now)
                if retrybudget.try_spend(desk[daemon], 'desk', 8, now):
                    retries += 1
        self.assertLessEqual(retries, POLICY.ratio * requests + POLICY.slack)
        self.assertGreater(retries, POLICY.ratio * requests / 2)
