"""Tests of the evidence of a rollout: differences, bounds and verdicts."""

import testtools

from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutevidence

ORDER = rollout.OrderId(1, 7)
BAD = rolloutevidence.Verdict.BAD
SLOW = rolloutevidence.Verdict.SLOW
SOUND = rolloutevidence.Verdict.SOUND
UNKNOWN = rolloutevidence.Verdict.UNKNOWN


def gate(vm, ended, bad=0, factor=1.0, slow=False, incarnation=1, **fields):
    """Return a report whose answers take 30 to 200 ms times a factor.

    Args:
        vm: Name of the VM; empty for the old version.
        ended: Answers.
        bad: Bad ones among them.
        factor: Of the durations.
        slow: Whether every second answer takes 8 times longer.
        incarnation: Start of the daemon.
        fields: Other fields of the report.
    """
    durations = [0] * rollout.BUCKETS
    for index in range(ended):
        seconds = factor * 0.03 * 6.7 ** (index / ended)
        seconds *= 8.0 if slow and index % 2 else 1.0
        durations[rollout.bucket(seconds)] += 1
    routes = (rollout.RouteCounts('r', ended, bad, tuple(durations)),)
    values = {'slots': 8, 'started': ended, 'ended': ended, 'bad': bad}
    return rollout.GateReport(
        ORDER, 's', vm, incarnation, bool(vm),
        **{**values, 'routes': routes, **fields},
    )  # fmt: skip


def judge(new, old=None, seconds=3.0, needed=12):
    old = old or gate('', 600, 6)
    span = rolloutevidence.Span(old, tuple(new), seconds)
    return rolloutevidence.judge(span, old, 0.0, (), needed)


class TestDifference(testtools.TestCase):
    def test_counts_start_anew_with_an_incarnation_or_a_lower_count(self):
        """Guards against negative counts after a restart."""
        before = gate('v', 100, 10)
        later = rolloutevidence.difference(before, gate('v', 150, 12))
        self.assertEqual((50, 2), (later.ended, later.bad))
        self.assertEqual(50, sum(later.routes[0].durations))
        for after in (gate('v', 40, 1), gate('v', 150, 12, incarnation=2)):
            self.assertEqual(after, rolloutevidence.difference(before, after))

    def test_exposure_does_not_fall_when_a_gate_restarts(self):
        """Guards against an exposure that is forgotten."""
        ledger = rolloutevidence.Ledger(ORDER, 's')
        record = rollout.Record(ORDER, 'v2', 0.0, 12.0)
        for now, report in enumerate(
            (gate('v', 100), gate('v', 30, incarnation=2), gate('v', 20))
        ):
            evidence = rollout.Evidence(
                ORDER, (report,), gate('', 900), 1, 1, 'a/1'
            )
            ledger.add({'d': evidence}, record, now)
        self.assertEqual(130, ledger.view(record).exposed)
        # Both starts of a daemon are reported, the earlier without its gate.
        both = gate('v', 100, 6, slots=0), gate('v', 40, 6, incarnation=2)
        evidence = rollout.Evidence(ORDER, both, gate('', 900), 1, 1, 'a/1')
        ledger.add({'d': evidence}, record, 3.5)
        view = ledger.view(record)
        self.assertEqual(140, view.exposed)
        self.assertEqual([6, 6], [item.bad for item in view.overall.new])
        other = rollout.Evidence(
            rollout.OrderId(1, 9), (gate('v', 999),), gate('', 9), 1, 1, 'a/1'
        )
        ledger.add({'d': other}, record, 4.0)
        self.assertEqual(140, ledger.view(record).exposed)


class TestInterval(testtools.TestCase):
    def test_bounds(self):
        """Guards against verdicts on a handful of answers."""
        self.assertEqual((0.0, 1.0), rolloutevidence.interval(0, 0))
        low, high = rolloutevidence.interval(50, 100, z=1.96)
        # The published example of the Wilson interval.
        self.assertAlmostEqual(0.4038, low, 4)
        self.assertAlmostEqual(0.5962, high, 4)


class TestVerdict(testtools.TestCase):
    def test_bad_answers(self):
        """Guards against bad versions that pass and good ones that don't."""
        cases = (
            (BAD, [gate('a', 20, 10), gate('b', 20, 10)], None),
            # Fewer than six bad answers are no verdict, unless they are few
            # among many.
            (UNKNOWN, [gate('a', 15, 3), gate('b', 15, 2)], None),
            (SOUND, [gate('a', 40, 3), gate('b', 40, 2)], None),
            (SOUND, [gate('a', 40), gate('b', 40, 1)], None),
            # Both versions are equally bad.
            (SOUND, [gate('a', 40, 20), gate('b', 40, 20)], gate('', 200, 99)),
            (UNKNOWN, [gate('a', 4), gate('b', 5)], None),
            (UNKNOWN, [], None),
        )
        for verdict, new, old in cases:
            self.assertEqual(verdict, judge(new, old).verdict, new)

    def test_one_bad_upstream_of_three_is_a_fault_of_its_own(self):
        """Guards against a rollback because of one VM."""
        good = [gate('a', 40), gate('b', 40)]
        found = judge([*good, gate('c', 40, 30)])
        self.assertEqual((SOUND, ('c',)), (found.verdict, found.faulty))
        found = judge([good[0], gate('b', 40, 20), gate('c', 40, 30)])
        self.assertEqual(BAD, found.verdict)
        self.assertEqual(BAD, judge([good[0], gate('c', 40, 30)]).verdict)

    def test_route_that_is_bad_among_good_ones(self):
        """Guards against a fault that the total hides."""
        old = (
            rollout.RouteCounts('r', 1800, 18),
            rollout.RouteCounts('w', 200, 2),
        )
        new = (
            rollout.RouteCounts('r', 180, 2, (18,) * rollout.BUCKETS),
            rollout.RouteCounts('w', 20, 10),
        )
        found = judge(
            [gate('a', 200, 12, routes=new)], gate('', 2000, 20, routes=old)
        )
        self.assertEqual((BAD, 'w'), (found.verdict, found.route))

    def test_slow_answers(self):
        """Guards against slow upstreams that are taken for slow versions."""
        cases = (
            (SLOW, [gate('a', 40, factor=8.0), gate('b', 40, factor=8.0)]),
            (SLOW, [gate('a', 40, slow=True), gate('b', 40, slow=True)]),
            # Upstreams that are sound and slow, and one with noise.
            (SOUND, [gate('a', 40, factor=3.0), gate('b', 40, factor=2.0)]),
            (
                SOUND,
                [gate('a', 40, factor=7.5), gate('b', 40), gate('c', 40)],
            ),
        )
        for verdict, new in cases:
            self.assertEqual(verdict, judge(new).verdict, new)
        slow = [gate(vm, 40, factor=8.0) for vm in 'ab']
        # Noise lasts shorter than what a verdict needs.
        self.assertEqual(SOUND, judge(slow, seconds=0.6).verdict)
        cold = [gate(vm, 40, factor=8.0, warm=False) for vm in 'ab']
        self.assertEqual(UNKNOWN, judge(cold).verdict)
