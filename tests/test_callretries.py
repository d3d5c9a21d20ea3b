"""Tests of the call path's retries."""

import testtools

from jujubefold import budget
from jujubefold import callretries
from jujubefold import calls
from jujubefold import errors
from tests import callbuilders

NOW = 0.0


def refusal(reason, ran=errors.Outcome.DID_NOT_RUN):
    return calls.Refusal(ran, reason)


class TestAllow(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.full = budget.new_budgets(20)
        self.empty = budget.new_budgets(0)

    def allow(self, budgets, why, retries=None, **call):
        retries = retries or callretries.Retries(budget.Allowance(9))
        return callretries.allow(
            budgets, retries, callbuilders.new_call(**call), why, NOW
        )

    def test_a_place_without_upstream_is_no_load_to_pay_for(self):
        for reason in ('no-upstream', 'draining', 'peer-lost'):
            why = refusal(calls.Reason(reason))
            self.assertTrue(self.allow(self.empty, why), reason)
            self.assertTrue(self.allow(self.full, why), reason)
        self.assertEqual(budget.BURST_TOKENS, self.full.whole.tokens)

    def test_a_busy_place_is_paid_for(self):
        for number, reason in enumerate(('no-slot', 'queue-full', 'barred')):
            why = refusal(calls.Reason(reason))
            self.assertFalse(self.allow(self.empty, why), reason)
            self.assertTrue(self.allow(self.full, why), reason)
            left = budget.BURST_TOKENS - number - 1
            self.assertEqual(left, self.full.whole.tokens)

    def test_without_any_upstream_few_places_are_asked(self):
        retries = callretries.Retries(budget.Allowance(9))
        why = refusal(calls.Reason.NO_UPSTREAM)
        asked = 0
        while self.allow(self.empty, why, retries):
            asked += 1
            retries.allowance.restore(1)
        self.assertEqual(callretries.MAX_FREE, asked)

    def test_what_may_have_run_is_sent_again_only_when_that_is_safe(self):
        for reason in ('upstream-cut', 'upstream-silent', 'peer-lost'):
            why = refusal(calls.Reason(reason), errors.Outcome.UNKNOWN)
            self.assertFalse(self.allow(self.full, why, idempotent=False))
            self.assertTrue(self.allow(self.full, why, idempotent=True))
            self.assertFalse(self.allow(self.empty, why, idempotent=True))

    def test_a_final_word_or_a_passed_deadline_ends_it(self):
        why = refusal(calls.Reason.DEADLINE)
        self.assertFalse(self.allow(self.full, why))
        why = refusal(calls.Reason.NO_UPSTREAM)
        self.assertFalse(self.allow(self.full, why, deadline=NOW))
