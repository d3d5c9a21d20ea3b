"""Claim owners: fencing, lost messages and encoding of outcomes."""

import asyncio
import collections
import random

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from jujubefold import claimoutcome
from jujubefold import claimowner
from jujubefold import claimrow
from jujubefold import faults
from jujubefold import messages
from jujubefold import objectstore
from jujubefold import table
from tests import pausedloop
from tests import test_claims

SLOTS = 2
TIMEOUT_S = 2.0
ADDRESS = '127.0.0.1:1'


class Fleet:
    """Daemons that claim through slot owners, over a lossy network."""

    def __init__(self, clock, rng, rate=0.0):
        self.clock = clock
        self.rng = rng
        self.rate = rate
        self.table = table.MemoryTable()
        self.objects = objectstore.MemoryObjectStore(clock)
        self.gone = set()
        self.owners = [None] * SLOTS
        self.number = 0

    async def replace_owner(self, slot):
        """Have a new owner take over a slot; return the old and the new."""
        self.number += 1
        new_ownership = claimowner.Ownership(
            0, f'owner/{self.number}', ADDRESS
        )
        owner = claimowner.ClaimOwner(
            faults.FaultyTable(
                self.table, test_claims.RandomFaults(self.rng, self.rate)
            ),
            self.objects,
            self.clock,
            self.rng,
            claimoutcome.ClaimSettings(),
            new_ownership,
            slot,
            self.gone.__contains__,
        )
        while True:
            current = await claimowner.read_ownership(self.table, slot)
            if (await owner.take_over(current.ok)).is_ok():
                break
        before, self.owners[slot] = self.owners[slot], owner
        return before, owner

    async def ask(self, slot, message, timeout):
        """Deliver a message to an owner; it or its answer may be lost."""
        owner = self.owners[slot]
        if self.rng.random() < self.rate / 2:
            return None
        if self.rng.random() < self.rate / 2:
            await asyncio.sleep(self.rng.uniform(0, 4))
        decoded = round_trip(message)
        if isinstance(decoded, messages.Claim):
            answer = await owner.claim(decoded, timeout)
        else:
            answer = await owner.end(decoded, timeout)
        if self.rng.random() < self.rate / 2:
            return None
        return round_trip(answer)

    def daemon(self):
        """Return the `claimowner.OwnedClaims` of a new daemon."""
        return claimowner.OwnedClaims(self.ask, self.clock, self.rng, SLOTS)


def round_trip(message):
    """Return a message after encoding and decoding."""
    envelope = messages.Envelope('vm', 1, ADDRESS, 1, 0, (message,))
    return messages.decode(messages.encode(envelope)).ok.messages[0]


class OwnerCase(testtools.TestCase):
    def run_fleet(self, main, seed=1, rate=0.0):
        async def started(clock):
            fleet = Fleet(clock, random.Random(seed), rate)
            for slot in range(SLOTS):
                await fleet.replace_owner(slot)
            await main(fleet)

        pausedloop.run(started)


class TestOwner(OwnerCase):
    def test_outcomes_are_unchanged_by_encoding(self):
        request = test_claims.request('a')
        outcomes = (
            claimoutcome.Claimed(request, 'a#1', 1234, 9.0),
            claimoutcome.Answered(b'\x00answer'),
            claimoutcome.Running('b', 1.5),
            claimoutcome.InDoubt('b'),
            claimoutcome.Reused(),
        )
        for outcome in outcomes:
            answer = round_trip(claimowner.answer_of(outcome, 7))
            self.assertEqual(7, answer.sequence)
            decoded = claimowner.outcome_of(answer, request, 'a#1', 9.0)
            self.assertEqual(outcome, decoded)
        for state in ('unavailable', 'a state of a newer version'):
            answer = messages.ClaimAnswer(1, state)
            decoded = claimowner.outcome_of(answer, request, 'a#1', 9.0)
            self.assertIsInstance(decoded, claimoutcome.Unavailable)

    def test_ends_of_a_claim_are_seen_by_other_daemons(self):
        async def main(fleet):
            a, b = fleet.daemon(), fleet.daemon()
            for end, kind in (
                (
                    lambda c: a.record_answer(c, b'x', 9.0),
                    claimoutcome.Answered,
                ),
                (lambda c: a.mark_in_doubt(c, 9.0), claimoutcome.InDoubt),
                (lambda c: a.release(c, 9.0), claimoutcome.Claimed),
            ):
                key = kind.__name__
                claimed = await a.claim(test_claims.request('a', key), 9.0)
                running = await b.claim(test_claims.request('b', key), 9.0)
                self.assertIsInstance(running, claimoutcome.Running)
                self.assertTrue((await end(claimed)).is_ok())
                outcome = await b.claim(test_claims.request('b', key), 9.0)
                self.assertIsInstance(outcome, kind)

        self.run_fleet(main)

    def test_replaced_owner_writes_nothing(self):
        async def main(fleet):
            daemon = fleet.daemon()
            slot = claimowner.slot_of(
                claimrow.key_of(test_claims.SCOPE, 'k'), SLOTS
            )
            old, new = await fleet.replace_owner(slot)
            claimed = await daemon.claim(test_claims.request('a'), 9.0)
            before = await fleet.table.scan(claimrow.TABLE)
            late_claim = messages.Claim(1, 'pickups', 'other', 'f', 'b', 'b#1')
            end_message = messages.ClaimEnd(
                1, 'pickups', 'k', 'f', 'a', claimed.id, 0, 'doubt'
            )
            for call in (
                old.claim(late_claim, 9.0),
                old.end(end_message, 9.0),
            ):
                answer = await call
                self.assertEqual('not-owner', answer.state)
            self.assertFalse(old.is_owner)
            self.assertTrue(new.is_owner)
            self.assertEqual(before, await fleet.table.scan(claimrow.TABLE))

        self.run_fleet(main)

    def test_one_of_two_concurrent_take_overs_succeeds(self):
        async def main(fleet):
            current = (await claimowner.read_ownership(fleet.table, 0)).ok
            owners = [
                claimowner.ClaimOwner(
                    fleet.table,
                    fleet.objects,
                    fleet.clock,
                    fleet.rng,
                    claimoutcome.ClaimSettings(),
                    claimowner.Ownership(0, name, ADDRESS),
                    0,
                    fleet.gone.__contains__,
                )
                for name in 'xy'
            ]
            successes = [(await r.take_over(current)).is_ok() for r in owners]
            self.assertEqual([True, False], successes)
            self.assertEqual(successes, [owner.is_owner for owner in owners])

        self.run_fleet(main)

    def test_claim_message_after_its_release_is_refused(self):
        async def main(fleet):
            owner = fleet.owners[0]
            end = messages.ClaimEnd(
                1, 's', 'k', 'f', 'a', 'a#1', 0, 'released'
            )
            await owner.end(end, 9.0)
            late_claim = messages.Claim(2, 's', 'k', 'f', 'a', 'a#1')
            answer = await owner.claim(late_claim, 9.0)
            self.assertEqual('unavailable', answer.state)
            other = messages.Claim(3, 's', 'k', 'f', 'b', 'b#1')
            self.assertEqual('claimed', (await owner.claim(other, 9.0)).state)

        self.run_fleet(main)

    def test_resent_claim_after_its_end_is_not_granted_again(self):
        async def main(fleet):
            owner = fleet.owners[0]
            claim = messages.Claim(1, 's', 'k', 'f', 'a', 'a#1')
            for _ in range(2):
                answer = await owner.claim(claim, 9.0)
                self.assertEqual('claimed', answer.state)
            end = messages.ClaimEnd(
                2, 's', 'k', 'f', 'a', 'a#1', 0, 'answered', b'x'
            )
            await owner.end(end, 9.0)
            late_end = msgspec.structs.replace(end, state='released')
            await owner.end(late_end, 9.0)
            _, fresh = await fleet.replace_owner(0)
            answer = await fresh.claim(claim, 9.0)
            self.assertEqual(('answered', b'x'), (answer.state, answer.answer))

        self.run_fleet(main)

    def test_keys_are_spread_evenly_over_slots(self):
        counts = collections.Counter(
            claimowner.slot_of(claimrow.key_of('s', str(n)), 8)
            for n in range(8000)
        )
        self.assertEqual(set(range(8)), set(counts))
        self.assertLess(max(counts.values()), 1200)


class TestAtMostOnce(OwnerCase):
    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        rate=strategies.sampled_from((0.0, 0.1, 0.4, 0.7)),
        calls=strategies.integers(2, 20),
        takeovers=strategies.integers(0, 4),
    )
    def test_random_interleavings_run_each_key_at_most_once(
        self, seed, rate, calls, takeovers
    ):
        executions = collections.Counter()

        async def call(fleet, number):
            rng = fleet.rng
            await asyncio.sleep(rng.uniform(0, 15))
            daemon, key = fleet.daemon(), rng.choice('xyz')
            outcome = await daemon.claim(
                test_claims.request(f'vm/{number}', key), rng.uniform(0.1, 6)
            )
            if not isinstance(outcome, claimoutcome.Claimed):
                return
            await asyncio.sleep(rng.choice((0, 1, 15)))
            if not outcome.may_start(fleet.clock.monotonic()):
                await daemon.release(outcome, 1.0)
                return
            executions[key] += 1
            await daemon.record_answer(outcome, key.encode(), 1.0)

        async def take_over(fleet):
            await asyncio.sleep(fleet.rng.uniform(0, 20))
            await fleet.replace_owner(fleet.rng.randrange(SLOTS))

        async def main(fleet):
            await asyncio.gather(
                *(call(fleet, number) for number in range(calls)),
                *(take_over(fleet) for _ in range(takeovers)),
            )
            await assert_settled(fleet)

        async def assert_settled(fleet):
            """Check that after the faults a key that did not run can run."""
            fleet.rate = 0.0
            for slot in range(SLOTS):
                await fleet.replace_owner(slot)
            await asyncio.sleep(60.0)
            for key in 'xyz':
                outcome = await fleet.daemon().claim(
                    test_claims.request('fresh', key), 9.0
                )
                expected = claimoutcome.Claimed
                if executions[key]:
                    expected = claimoutcome.Answered
                self.assertIsInstance(outcome, expected)

        self.run_fleet(main, seed, rate)
        self.assertLessEqual(max(executions.values(), default=0), 1)
