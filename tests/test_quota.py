"""Tests of token buckets of tenants and the choice of their owners."""

import collections
import math

import testtools

from jujubefold.sidecar import quota
from jujubefold.sidecar import quotaexchange
from jujubefold.sidecar import tenants

POLICY = quota.Policy(window=5.0, overage=0.1, slack=20.0, domains=3)


class TestLimits(testtools.TestCase):
    def test_full_buckets_and_an_owner_change_stay_within_the_bound(self):
        # The burst of a second was more than a large tenant with a small
        # burst may send, and left nothing for an owner change.
        for rate in (0.1, 3.0, 50.0, 1000.0):
            for burst in (0.0, rate / 10, rate, rate * 3):
                limits = quota.owner_limits(
                    tenants.Tenant('t', None, rate, burst), POLICY
                )
                served = limits.rate * POLICY.window + limits.capacity
                # In one domain: the former owner, if it is cut off, grants
                # until it has not heard from the others for a while.
                change = limits.rate * (
                    quota.NEW_OWNER_S + quotaexchange.HEARD_S
                )
                allowed = (rate * 5 + burst) * 1.1 + 20
                self.assertLess(3 * served + change, allowed, (rate, burst))

    def test_small_tenants_may_send_a_few_requests_at_once(self):
        limits = quota.owner_limits(tenants.Tenant('t', None, 3, 3), POLICY)
        self.assertGreater(limits.capacity, 2.0)

    def test_local_buckets_are_a_part_of_the_rate(self):
        tenant = tenants.Tenant('t', None, 100.0, 100.0)
        limits = quota.local_limits(tenant, 60)
        self.assertAlmostEqual(100 * quota.LOCAL_SHARE, limits.rate * 60)
        # Before all members are known, their number has no upper bound.
        self.assertEqual(0.0, quota.local_limits(tenant, math.inf).rate)


class TestBucket(testtools.TestCase):
    def new_bucket(self, seconds=math.inf):
        return quota.new_bucket(quota.Limits(10.0, 5.0), seconds, 100.0)

    def test_tokens_are_taken_and_come_back_with_time(self):
        bucket = self.new_bucket()
        self.assertEqual(5, quota.take(bucket, 8, 100.0))
        self.assertEqual(0, quota.take(bucket, 1, 100.05))
        self.assertAlmostEqual(0.05, quota.retry_after(bucket))
        self.assertEqual(1, quota.take(bucket, 1, 100.11))
        self.assertEqual(5, quota.take(bucket, 9, 200.0))

    def test_time_that_goes_back_brings_no_tokens(self):
        bucket = self.new_bucket()
        quota.take(bucket, 5, 100.0)
        self.assertEqual(0, quota.take(bucket, 1, 90.0))
        self.assertEqual(0, quota.take(bucket, 1, 100.05))

    def test_new_owner_starts_with_the_tokens_of_half_a_second(self):
        bucket = quota.new_bucket(quota.Limits(10.0, 50.0), 0.5, 0.0)
        self.assertEqual(5, quota.take(bucket, 50, 0.0))
        small = quota.new_bucket(quota.Limits(0.5, 3.0), 0.5, 0.0)
        self.assertEqual(1, quota.take(small, 3, 0.0))

    def test_lower_limit_takes_tokens_away(self):
        bucket = self.new_bucket()
        quota.set_limits(bucket, quota.Limits(1.0, 2.0), 100.0)
        self.assertEqual(2, quota.take(bucket, 5, 100.0))
        # A higher one brings none at once.
        quota.set_limits(bucket, quota.Limits(10.0, 50.0), 100.0)
        self.assertEqual(0, quota.take(bucket, 1, 100.0))

    def test_returned_tokens_fit_the_bucket(self):
        bucket = self.new_bucket()
        quota.put_back(bucket, 3, 100.0)
        self.assertEqual(5, quota.take(bucket, 9, 100.0))


class TestOwner(testtools.TestCase):
    def test_loss_of_a_daemon_moves_only_its_tenants(self):
        vms = [f'vm{number}' for number in range(20)]
        names = [f't{number}' for number in range(200)]
        before = {name: quota.choose_owner(name, vms) for name in names}
        self.assertEqual(20, len(collections.Counter(before.values())))
        for name in names:
            after = quota.choose_owner(name, vms[1:])
            if before[name] != 'vm0':
                self.assertEqual(before[name], after)
        self.assertIsNone(quota.choose_owner('t', ()))

    def test_two_groups_never_both_have_a_majority(self):
        def has_majority(group, known):
            return quota.majority_until([10.0] * (group - 1), known, 1.0) > 0

        for known in range(1, 30):
            for group in range(1, known):
                both = (
                    has_majority(group, known),
                    has_majority(known - group, known),
                )
                self.assertLess(sum(both), 2)
            self.assertTrue(has_majority(known, known))
            self.assertTrue(has_majority(known // 2 + 1, known))
            self.assertFalse(known > 1 and has_majority(known // 2, known))

    def test_majority_ends_with_the_last_daemon_that_it_needs(self):
        heard_at = [7.0, 3.0, 9.0, 5.0]
        self.assertEqual(8.0, quota.majority_until(heard_at, 5, 1.0))
        self.assertEqual(6.0, quota.majority_until(heard_at, 6, 1.0))
