"""Tests of retry budgets."""

import testtools

from jujubefold import budget
from jujubefold import mesh
from tests import callbuilders

HOPS = 29


class Chain:
    """Daemons of a chain of calls whose last hop never runs anything.

    Every application passes a refusal on as if it had done nothing, which
    is the worst that the daemons above can be told.
    """

    def __init__(self, attempts, percent=20, gate_refuses=False, headers=True):
        self.to = callbuilders.new_route(attempts=attempts, percent=percent)
        self.budgets = [budget.new_budgets(percent) for _ in range(HOPS)]
        self.gate_refuses = gate_refuses
        self.headers = headers
        self.arrived = 0

    def call(self, depth, header, now):
        if depth == HOPS:
            self.arrived += 1
            return
        mine = self.budgets[depth]
        call = callbuilders.new_call(depth=depth, route=self.to)
        left = budget.incoming_allowance(header, self.to.retry, depth)
        budget.record_first_attempt(mine, self.to, now)
        while True:
            part = left.split_off()
            header = str(part) if self.headers else ''
            self.call(depth + 1, header, now)
            if self.gate_refuses and depth == HOPS - 1:
                left.restore(part)
            if not budget.allow(mine, left, call, now):
                return


class TestAmplification(testtools.TestCase):
    def test_one_call_is_bounded_by_its_first_daemon_at_any_depth(self):
        for attempts in (1, 2, 3, 6, 10):
            for gate_refuses in (False, True):
                chain = Chain(attempts, gate_refuses=gate_refuses)
                chain.call(0, '', 0.0)
                self.assertLessEqual(chain.arrived, attempts)
                if attempts > 1:
                    self.assertGreater(chain.arrived, 1)

    def test_lost_headers_do_not_multiply_retries(self):
        chain = Chain(3, headers=False)
        chain.call(0, '', 0.0)
        self.assertLessEqual(chain.arrived, 3)

    def test_many_calls_are_bounded_by_the_percentage(self):
        chain = Chain(10)
        first_tries = 1000
        for _ in range(first_tries):
            chain.call(0, '', 0.0)
        most = 1.0
        for depth in range(HOPS):
            most *= 1 + 0.2 / budget.price(depth)
        burst = HOPS * budget.BURST_TOKENS
        self.assertLessEqual(chain.arrived, first_tries * most + burst)
        self.assertLess(most, 2.5)


class TestRetryBudget(testtools.TestCase):
    def test_retries_are_a_share_of_first_tries(self):
        for percent in (0, 10, 50):
            item = budget.RetryBudget.new(percent)
            while item.allow(0.0, 0):
                pass
            allowed = 0
            for _ in range(1000):
                item.record_first_attempt(0.0)
                allowed += item.allow(0.0, 0)
            self.assertTrue(abs(allowed - 10 * percent) <= 1, allowed)

    def test_depth_makes_retries_dearer(self):
        counts = []
        for depth in (0, 1, 3, 31, 32):
            item = budget.RetryBudget.new(20)
            counts.append(sum(item.allow(0.0, depth) for _ in range(100)))
        self.assertEqual([32, 16, 8, 1, 0], counts)

    def test_a_quiet_route_regains_its_retries(self):
        item = budget.RetryBudget.new(20)
        while item.allow(0.0, 0):
            pass
        self.assertFalse(item.allow(1.0, 0))
        self.assertTrue(item.allow(2.0, 0))
        self.assertFalse(item.allow(2.0, 0))
        item.record_first_attempt(1e9)
        self.assertEqual(budget.BURST_TOKENS, item.tokens)

    def test_a_route_cannot_spend_what_the_daemon_lacks(self):
        budgets = budget.new_budgets(20)
        allowed = 0
        for number in range(10):
            call = callbuilders.new_call(
                route=callbuilders.new_route(f'r{number}')
            )
            for _ in range(10):
                left = budget.Allowance(1)
                allowed += budget.allow(budgets, left, call, 0.0)
        self.assertEqual(budget.BURST_TOKENS, allowed)

    def test_a_refused_retry_costs_nothing(self):
        budgets = budget.new_budgets(20)
        call = callbuilders.new_call()
        empty = budget.Allowance(0)
        self.assertFalse(budget.allow(budgets, empty, call, 0.0))
        self.assertEqual(budget.BURST_TOKENS, budgets.whole.tokens)


class TestAllowance(testtools.TestCase):
    def test_arriving(self):
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
