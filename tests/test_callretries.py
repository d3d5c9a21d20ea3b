"""Tests of the call retries."""

import testtools

from jujubefold import budget
from jujubefold import callretries
from jujubefold import calls
from jujubefold import errors
from tests import callbuilders

NOW = 0.0


def new_refusal(reason, ran=errors.Outcome.DID_NOT_RUN):
    return calls.Refusal(ran, reason)


class TestAllow(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.full_budgets = budget.new_budgets(20)
        self.empty_budgets = budget.new_budgets(0)

    def allow(self, budgets, last_refusal, retries=None, **call):
        retries = retries or callretries.RetryState(budget.Allowance(9))
        return callretries.allow(
            budgets, retries, callbuilders.new_call(**call), last_refusal, NOW
        )

    def test_retry_after_missing_upstream_costs_no_budget(self):
        for reason in ('no-upstream', 'draining', 'peer-lost'):
            last_refusal = new_refusal(calls.Reason(reason))
            self.assertTrue(
                self.allow(self.empty_budgets, last_refusal), reason
            )
            self.assertTrue(
                self.allow(self.full_budgets, last_refusal), reason
            )
        self.assertEqual(budget.BURST_TOKENS, self.full_budgets.overall.tokens)

    def test_retry_after_overload_costs_budget(self):
        for number, reason in enumerate(('no-slot', 'queue-full', 'barred')):
            last_refusal = new_refusal(calls.Reason(reason))
            self.assertFalse(
                self.allow(self.empty_budgets, last_refusal), reason
            )
            self.assertTrue(
                self.allow(self.full_budgets, last_refusal), reason
            )
            left = budget.BURST_TOKENS - number - 1
            self.assertEqual(left, self.full_budgets.overall.tokens)

    def test_retries_without_budget_are_limited(self):
        retries = callretries.RetryState(budget.Allowance(9))
        last_refusal = new_refusal(calls.Reason.NO_UPSTREAM)
        retried = 0
        while self.allow(self.empty_budgets, last_refusal, retries):
            retried += 1
            retries.allowance.restore(1)
        self.assertEqual(callretries.MAX_UNBUDGETED, retried)

    def test_unknown_outcome_is_retried_only_if_idempotent(self):
        for reason in ('upstream-cut', 'upstream-silent', 'peer-lost'):
            last_refusal = new_refusal(
                calls.Reason(reason), errors.Outcome.UNKNOWN
            )
            self.assertFalse(
                self.allow(self.full_budgets, last_refusal, idempotent=False)
            )
            self.assertTrue(
                self.allow(self.full_budgets, last_refusal, idempotent=True)
            )
            self.assertFalse(
                self.allow(self.empty_budgets, last_refusal, idempotent=True)
            )

    def test_final_refusal_or_passed_deadline_is_not_retried(self):
        last_refusal = new_refusal(calls.Reason.DEADLINE)
        self.assertFalse(self.allow(self.full_budgets, last_refusal))
        last_refusal = new_refusal(calls.Reason.NO_UPSTREAM)
        self.assertFalse(
            self.allow(self.full_budgets, last_refusal, deadline=NOW)
        )
