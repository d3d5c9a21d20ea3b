"""Tests of the steps of a rollout, also played with counted requests."""

import dataclasses
import itertools
import math

import msgspec
import testtools

from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutevidence
from jujubefold.sidecar import rolloutplan
from tests import rolloutplay

POLICY = rolloutplan.Policy()
ORDER = rollout.Order(rollout.OrderId(1, 7), 's', 'v2', 12.0)
RECORD = rollout.Record(ORDER.id, 'v2', 100.0, 112.0)
# Share of bad answers in a bad version, and the factor of its slow ones.
HALF = 0.5
SLOWER = 8.0

FAULTS = {
    'at once': lambda gate, route, age, rng: (rng.random() < HALF, 1.0),
    'later': lambda gate, route, age, rng: (
        age > 2.5 and rng.random() < HALF,
        1.0,
    ),
    'under load': lambda gate, route, age, rng: (
        gate.running > rolloutplay.SLOTS / 2 and rng.random() < HALF,
        1.0,
    ),
    'one route': lambda gate, route, age, rng: (
        route == 'write' and rng.random() < HALF,
        1.0,
    ),
    'slow': lambda gate, route, age, rng: (
        False,
        SLOWER if rng.random() < HALF else 1.0,
    ),
    'slow later': lambda gate, route, age, rng: (
        False,
        SLOWER if age > 2.5 and rng.random() < HALF else 1.0,
    ),
    'all slow': lambda gate, route, age, rng: (False, SLOWER),
}


def no_fault(gate, route, age, rng):
    return False, 1.0


def report(vm, domain=0, is_new=True, **fields):
    return rollout.GateReport(
        ORDER.id, 's', vm, 1, is_new, **{'slots': 8, **fields}
    )


def view(gates=(), **fields):
    """Return a `View` of gates without answers."""
    old = report('', is_new=False, started=600, ended=600, running=80)
    span = rolloutevidence.Span(old, tuple(gates), math.inf)
    values = {
        'exposed': 0, 'total': 600, 'rate': 100.0, 'new_rate': 0.0,
        'domains': {gate.vm: gate.vm[:2] for gate in gates},
        'overall': span, 'since_step': span, 'recent': span,
        'old_stopped': False, 'old_running': 80, 'running': 80,
        'busy': {gate.vm: 0.0 for gate in gates},
    }  # fmt: skip
    return rolloutevidence.View(**{**values, **fields})


class TestPlays(testtools.TestCase):
    """Guards against exposure above the bounds and good versions lost."""

    def play(self, name, fault, seeds, **fields):
        for seed, duration, new in itertools.product(
            seeds, (12, 16), (20, 40)
        ):
            played = rolloutplay.Play(
                seed, duration, fault, new=new, **fields
            ).run()
            yield f'{name} {seed} {duration} {new}', played

    def test_bad_versions_are_rolled_back_within_the_exposure(self):
        for name, fault in FAULTS.items():
            for label, played in self.play(name, fault, (1,)):
                duration = played.order.duration
                allowed = 0.1 * played.rate * duration + 50
                self.assertEqual(
                    rollout.Phase.ROLLED_BACK, played.record.phase, label
                )
                self.assertLess(played.exposed, allowed, label)
                if played.fiftieth is not None:
                    self.assertLess(
                        played.last_exposed - played.fiftieth, 5.0, label
                    )

    def test_good_versions_are_completed_before_the_deadline(self):
        for label, played in self.play('sound', no_fault, (1, 2)):
            self.assertEqual(
                rollout.Phase.COMPLETED, played.record.phase, label
            )
            self.assertLess(
                played.ended_at,
                rolloutplan.COMPLETED_LATEST * played.order.duration,
                label,
            )

    def test_services_with_few_requests(self):
        for rate, fault, phase in (
            (60, no_fault, rollout.Phase.COMPLETED),
            (60, FAULTS['at once'], rollout.Phase.ROLLED_BACK),
            (60, FAULTS['all slow'], rollout.Phase.ROLLED_BACK),
        ):
            for label, played in self.play(rate, fault, (1,), rate=rate):
                self.assertEqual(phase, played.record.phase, label)

    def test_one_bad_upstream_does_not_stop_a_good_version(self):
        """Its share of the requests stops, and the rollout goes on."""

        def fault(gate, route, age, rng):
            # Not one of the first canaries, which are but two.
            return gate.vm == 'new-7' and rng.random() < HALF, 1.0

        for label, played in self.play('one bad', fault, (1,)):
            self.assertEqual(
                (rollout.Phase.COMPLETED, ('new-7',)),
                (played.record.phase, played.record.excluded),
                label,
            )


class TestExposure(testtools.TestCase):
    def test_affordable_share_over_rates(self):
        """Guards against a step whose reaction time exceeds the bound."""
        for rate, exposed, remaining in itertools.product(
            (0.5, 5, 50, 300, 1100, 2000), (0, 30, 200), (2.0, 6.0, 16.0)
        ):
            total = rate * 6.0
            left = rolloutplan.exposure_left(
                POLICY, exposed, total, rate, remaining
            )
            share = rolloutplan.affordable_share(left, rate)
            at_worst = exposed + share * rate * rolloutplan.REACTION_S
            allowed = 0.1 * rate * (6.0 + remaining) + 50
            self.assertLessEqual(
                at_worst, max(0.8 * allowed, exposed) + 1e-6, (rate, exposed)
            )
            if share < 1.0 and left:
                self.assertAlmostEqual(0.8 * allowed, at_worst)


class TestSteps(testtools.TestCase):
    def step(self, record, evidence, now):
        return rolloutplan.next_step(ORDER, record, evidence, now, POLICY)

    def test_canaries_are_warm_and_in_different_failure_domains(self):
        """Guards against canaries that part of the daemons can't reach."""
        gates = [report(f'd{i // 3}-{i}', ended=9) for i in range(9)]
        gates[0] = msgspec.structs.replace(gates[0], warm=False)
        gates[3] = msgspec.structs.replace(gates[3], tripped=True)
        found = self.step(RECORD, view(gates), 101.0)
        self.assertEqual(('d0-1', 'd1-4'), found.canaries)
        self.assertGreaterEqual(found.share, rolloutplan.CANARY_SHARE)

    def test_canary_that_is_gone_is_replaced(self):
        """Guards against a canary without upstreams until the deadline."""
        gates = [report(f'd{i}-{i}') for i in range(3)]
        record = rolloutplan.apply(
            RECORD, self.step(RECORD, view(gates), 101.0), None, 101.0, 'c/1'
        )
        found = self.step(record, view(gates[1:]), 102.0)
        self.assertEqual({'d1-1', 'd2-2'}, set(found.canaries))
        # The reports of a VM that is lost stay as they were.
        works = [report('d1-1', started=50), *gates[::2]]
        span = rolloutevidence.Span(view().overall.old, works, 2.0)
        evidence = view(gates, recent=span, rate=1100.0)
        found = self.step(record, evidence, 105.5)
        self.assertEqual({'d1-1', 'd2-2'}, set(found.canaries))

    def test_rollout_without_evidence_is_rolled_back_at_the_bound(self):
        """Guards against an order that ends without an answer."""
        cases = (
            (None, 'no-evidence'),
            (view(), 'no-upstream'),
            (view([report('d0-0')]), 'not-enough-evidence'),
        )
        for evidence, reason in cases:
            found = self.step(RECORD, evidence, 109.7)
            self.assertEqual(
                (rollout.Phase.ROLLED_BACK, reason),
                (found.phase, found.reason),
            )

    def test_rollout_ends_when_all_new_gates_closed_themselves(self):
        """Guards against waiting for answers that nobody can give."""
        gates = [report(f'd{i}-{i}', tripped=True) for i in range(3)]
        found = self.step(RECORD, view(gates), 103.0)
        self.assertEqual('gates-tripped', found.reason)

    def test_completed_only_when_old_gates_are_closed_and_idle(self):
        """Guards against old upstreams that are stopped with requests."""
        record = msgspec.structs.replace(
            RECORD, phase=rollout.Phase.CLOSING, share=1.0, stepped_at=108.0
        )
        busy = view([report('d0-0')])
        idle = dataclasses.replace(busy, old_running=0)
        stopped = dataclasses.replace(idle, old_stopped=True)
        completed = rollout.Phase.COMPLETED
        for evidence, now, phase in (
            (busy, 109.0, None),
            (idle, 109.0, None),
            (stopped, 109.0, completed),
            # A gate that is cut off is waited for no longer.
            (idle, 110.9, completed),
            (busy, 110.9, None),
            (busy, 111.5, completed),
        ):
            found = self.step(record, evidence, now)
            self.assertEqual(phase, found and found.phase, now)
