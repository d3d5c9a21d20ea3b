"""Tests of the rollout's part in a gate."""

import asyncio
import random

import testtools

from jujubefold import calls
from jujubefold import clock
from jujubefold import errors
from jujubefold.sidecar import attempt
from jujubefold.sidecar import instance
from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutgate
from jujubefold.sidecar import rolloutstates
from jujubefold.sidecar import roster
from jujubefold.sidecar import transfer
from tests import sidecars

MEMBER = roster.Member('vm-1', 7, '10.0.0.1:1', 'pickups', 'r', 'a')
ORDER = rollout.Order(rollout.OrderId(1, 5), 'pickups', 'v2', 20.0)
CUT = attempt.Outcome(
    refusal=calls.Refusal(errors.Outcome.UNKNOWN, calls.Reason.UPSTREAM_CUT),
    sent=True,
)


def upstream(version):
    return instance.Announcement(
        'i-1',
        '10.0.0.1:2',
        'pickups',
        4,
        instance.State.READY,
        1,
        version=version,
    )


def request(deadline):
    return attempt.Attempt(
        1,
        'r',
        'read',
        1,
        0,
        True,
        0.0,
        deadline,
        deadline,
        'GET',
        b'/',
        [],
        transfer.WholeBody(b''),
    )


class TestRolloutGate(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.PausedClock()
        self.states = rolloutstates.StateTable(True, True)
        self.log = sidecars.RecordingEventLog()
        self.gate = rolloutgate.RolloutGate(
            MEMBER, self.states, b'seal', self.clock, self.log
        )
        self.tell(rollout.Phase.SHIFTING, 1)

    def tell(self, phase, step, order=ORDER):
        """Tell the gate a state."""
        record = rollout.Record(
            order.id, order.to, 0.0, 20.0, phase, 0.5, step=step
        )
        rolloutstates.record_state(
            self.states,
            rollout.State('pickups', order, record),
            0.0,
            self.clock.boottime(),
            random.Random(1),
        )

    def is_open(self, version='v2'):
        return self.gate.admission(upstream(version)).is_open

    def observe(self, result, version='v2'):
        """Run a request that ends with an outcome or an exception."""

        async def exchange():
            if isinstance(result, BaseException):
                raise result
            return result

        async def main():
            await self.gate.observe(
                upstream(version),
                request(self.clock.monotonic() + 1.0),
                True,
                exchange(),
            )
            await asyncio.sleep(0)

        try:
            asyncio.run(main())
        except asyncio.CancelledError:
            return

    def test_state_expires_while_the_vm_is_suspended(self):
        # The monotonic clock stands still then, and the gate stayed open.
        self.assertTrue(self.is_open())
        self.clock.suspend(5.1)
        self.assertFalse(self.is_open())
        self.assertTrue(self.is_open('v1'))

    def test_bad_answers_close_the_gate_for_their_order_only(self):
        # A gate that closed itself for one version stayed closed for others.
        calls_ = []
        self.gate.on_tripped = lambda: calls_.append(1)
        for _ in range(6):
            self.assertTrue(self.is_open())
            self.observe(CUT)
        self.assertFalse(self.is_open())
        self.assertEqual([1], calls_)
        self.assertEqual(
            ['rollout.tripped'], [event for event, _ in self.log.records]
        )
        following = rollout.Order(rollout.OrderId(1, 9), 'pickups', 'v2', 20.0)
        self.tell(rollout.Phase.SHIFTING, 1, following)
        self.assertTrue(self.is_open())

    def test_cancelled_requests_end_without_a_verdict(self):
        # Callers that left closed the gate, or counted as running forever.
        for _ in range(12):
            self.observe(asyncio.CancelledError())
        counts = self.gate.counts(upstream('v2'))
        self.assertEqual(
            (12, 12, 0), (counts.started, counts.ended, counts.bad)
        )
        self.assertTrue(self.is_open())

    def test_versions_are_counted_apart(self):
        # An upstream that was replaced gave its bad answers to the new one.
        self.observe(CUT, 'v1')
        self.observe(CUT)
        for version, is_new in (('v1', False), ('v2', True)):
            counts = self.gate.counts(upstream(version))
            self.assertEqual((is_new, 1), (counts.is_new, counts.bad))
