"""Tests of retry budgets."""

import testtools

from jujubefold import budget
from jujubefold import mesh
from tests import callbuilders

HOPS = 29


class Chain:
    """Chain of daemons in which the last hop refuses every request.

    Every application returns the refusal as if it had not run itself. This
    is the worst case: every daemon above may retry.
    """

    def __init__(self, attempts, percent=20, gate_refuses=False, headers=True):
        self.route = callbuilders.new_route(attempts=attempts, percent=percent)
        self.budgets = [budget.new_budgets(percent) for _ in range(HOPS)]
        self.gate_refuses = gate_refuses
        self.headers = headers
        self.received = 0

    def call(self, depth, header, now):
        if depth == HOPS:
            self.received += 1
            return
        budgets = self.budgets[depth]
        call = callbuilders.new_call(depth=depth, route=self.route)
        allowance = budget.incoming_allowance(header, self.route.retry, depth)
        budget.record_first_attempt(budgets, self.route, now)
        while True:
            part = allowance.split_off()
            header = str(part) if self.headers else ''
            self.call(depth + 1, header, now)
            if self.gate_refuses and depth == HOPS - 1:
                allowance.restore(part)
            if not budget.allow(budgets, allowance, call, now):
                return


class TestAmplification(testtools.TestCase):
    def test_first_daemon_bounds_the_attempts_of_one_call(self):
        for attempts in (1, 2, 3, 6, 10):
            for gate_refuses in (False, True):
                chain = Chain(attempts, gate_refuses=gate_refuses)
                chain.call(0, '', 0.0)
                self.assertLessEqual(chain.received, attempts)
                if attempts > 1:
                    self.assertGreater(chain.received, 1)

    def test_missing_headers_do_not_multiply_retries(self):
        chain = Chain(3, headers=False)
        chain.call(0, '', 0.0)
        self.assertLessEqual(chain.received, 3)

    def test_percentage_bounds_the_attempts_of_many_calls(self):
        chain = Chain(10)
        first_attempts = 1000
        for _ in range(first_attempts):
            chain.call(0, '', 0.0)
        factor = 1.0
        for depth in range(HOPS):
            factor *= 1 + 0.2 / budget.retry_cost(depth)
        burst = HOPS * budget.BURST_TOKENS
        self.assertLessEqual(chain.received, first_attempts * factor + burst)
        self.assertLess(factor, 2.5)


class TestRetryBudget(testtools.TestCase):
    def test_retries_are_limited_to_a_percentage_of_first_attempts(self):
        for percent in (0, 10, 50):
            bucket = budget.RetryBudget.new(percent)
            while bucket.allow(0.0, 0):
                pass
            allowed = 0
            for _ in range(1000):
                bucket.record_first_attempt(0.0)
                allowed += bucket.allow(0.0, 0)
            self.assertTrue(abs(allowed - 10 * percent) <= 1, allowed)

    def test_cost_of_a_retry_grows_with_depth(self):
        counts = []
        for depth in (0, 1, 3, 31, 32):
            bucket = budget.RetryBudget.new(20)
            counts.append(sum(bucket.allow(0.0, depth) for _ in range(100)))
        self.assertEqual([32, 16, 8, 1, 0], counts)

    def test_tokens_are_refilled_without_traffic(self):
        bucket = budget.RetryBudget.new(20)
        while bucket.allow(0.0, 0):
            pass
        self.assertFalse(bucket.allow(1.0, 0))
        self.assertTrue(bucket.allow(2.0, 0))
        self.assertFalse(bucket.allow(2.0, 0))
        bucket.record_first_attempt(1e9)
        self.assertEqual(budget.BURST_TOKENS, bucket.tokens)

    def test_budget_of_the_daemon_limits_all_routes(self):
        budgets = budget.new_budgets(20)
        allowed = 0
        for number in range(10):
            call = callbuilders.new_call(
                route=callbuilders.new_route(f'r{number}')
            )
            for _ in range(10):
                allowance = budget.Allowance(1)
                allowed += budget.allow(budgets, allowance, call, 0.0)
        self.assertEqual(budget.BURST_TOKENS, allowed)

    def test_disallowed_retry_costs_nothing(self):
        budgets = budget.new_budgets(20)
        call = callbuilders.new_call()
        empty = budget.Allowance(0)
        self.assertFalse(budget.allow(budgets, empty, call, 0.0))
        self.assertEqual(budget.BURST_TOKENS, budgets.overall.tokens)


class TestAllowance(testtools.TestCase):
    def test_incoming_allowance(self):
        policy = mesh.RetryPolicy(attempts=3)
        cases = (
            ('', 0, 2),
            ('', 1, 0),
            ('1', 4, 1),
            ('0', 0, 0),
            ('99', 1, 2),
            ('-1', 1, 0),
            ('x', 0, 0),
            ('٣', 0, 0),
            ('9' * 5000, 0, 0),
        )
        for header, depth, expected in cases:
            found = budget.incoming_allowance(header, policy, depth)
            self.assertEqual(expected, found.left, header[:9])
