"""Tests of what a gate counts in a rollout, and of the sums of reports."""

import msgspec
import testtools

from jujubefold import calls
from jujubefold import callserver
from jujubefold import errors
from jujubefold.sidecar import attempt
from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutaggregator
from jujubefold.sidecar import rolloutcounts
from jujubefold.sidecar import rolloutmessages

ORDER = rollout.OrderId(1, 5)
SOUND = rolloutcounts.Verdict.SOUND
BAD = rolloutcounts.Verdict.BAD
UNCOUNTED = rolloutcounts.Verdict.UNCOUNTED


def refused(reason, sent=True):
    refusal = calls.Refusal(errors.Outcome.UNKNOWN, reason)
    return attempt.Outcome(refusal=refusal, sent=sent)


def count(verdicts, counts=None, seconds=0.01, warm=True, old_bad_share=0.0):
    """Count ended requests; return the counts and whether each tripped."""
    counts = counts or rolloutcounts.Counts(ORDER, True)
    tripped = [
        rolloutcounts.end(
            rolloutcounts.start(counts, 'read', warm),
            verdict,
            seconds,
            old_bad_share,
        )
        for verdict in verdicts
    ]
    return counts, tripped


def report(vm, started=10, incarnation=1, is_new=False, **fields):
    routes = (rollout.RouteCounts('read', started, 1, (started,) + (0,) * 15),)
    values = {
        'slots': 4,
        'started': started,
        'ended': started,
        'bad': 1,
        'routes': routes,
        **fields,
    }
    return rollout.GateReport(
        ORDER, 'pickups', vm, incarnation, is_new, **values
    )


class TestVerdicts(testtools.TestCase):
    def test_only_faults_of_the_upstream_are_bad(self):
        # Callers' doings rolled back a good version, or hid a bad one.
        answer = attempt.Outcome(
            answer=callserver.Answer(200, [], [], 0), sent=True
        )
        reason = calls.Reason
        for outcome, sealed, status, left, expected in (
            (answer, True, 200, 1.0, SOUND),
            (answer, True, 404, 1.0, SOUND),
            (answer, True, 500, 1.0, BAD),
            (answer, True, 503, 1.0, BAD),
            (answer, False, 500, 1.0, SOUND),
            (answer, True, 504, 1.0, BAD),
            (answer, True, 504, 0.01, SOUND),
            (answer, True, 500, 0.01, BAD),
            (None, False, 0, 1.0, UNCOUNTED),
            (None, False, 0, 0.02, SOUND),
            (refused(reason.UPSTREAM_SHED), False, 0, 1.0, UNCOUNTED),
            (refused(reason.NO_UPSTREAM, False), False, 0, 1.0, UNCOUNTED),
            (refused(reason.NO_UPSTREAM), False, 0, 1.0, UNCOUNTED),
            (refused(reason.UPSTREAM_CUT), False, 0, 1.0, BAD),
            (refused(reason.UPSTREAM_GARBLED), False, 0, 1.0, BAD),
            (refused(reason.UPSTREAM_SILENT), False, 0, -0.1, SOUND),
        ):
            found = rolloutcounts.verdict_of(outcome, sealed, status, left)
            self.assertEqual(expected, found, (outcome, status, left))


class TestCounts(testtools.TestCase):
    def test_answers_are_counted_by_route_and_duration(self):
        # Durations of the warm-up made a good version look slow.
        counts, _ = count([SOUND, BAD, UNCOUNTED], seconds=0.006)
        count([SOUND], counts, warm=False)
        rolloutcounts.start(counts, 'write', True)
        found = rolloutcounts.report(
            counts,
            rolloutcounts.GateStatus(
                'pickups', 'vm-1', 7, 4, False, True, running=1
            ),
        )
        self.assertEqual((5, 4, 1), (found.started, found.ended, found.bad))
        self.assertEqual(1, found.running)
        (route,) = found.routes
        self.assertEqual((3, 1), (route.ended, route.bad))
        self.assertEqual((0, 2), route.durations[:2])
        body = rolloutmessages.encode(found)
        self.assertEqual(found, rolloutmessages.decode_report(body).ok)

    def test_reports_with_other_buckets_are_malformed(self):
        # Sums over histograms of different lengths raised an exception.
        wrong = msgspec.structs.replace(
            report('vm-1'), routes=(rollout.RouteCounts('read', 1, 0, (1,)),)
        )
        body = rolloutmessages.encode(wrong)
        self.assertTrue(rolloutmessages.decode_report(body).is_error())

    def test_routes_beyond_the_maximum_count_in_total_only(self):
        # Paths chosen by a caller must not let a report grow.
        counts = rolloutcounts.Counts(ORDER, True)
        for number in range(rollout.MAX_ROUTES + 5):
            run = rolloutcounts.start(counts, f'route-{number}', True)
            rolloutcounts.end(run, SOUND, 0.01, 0.0)
        self.assertEqual(rollout.MAX_ROUTES, len(counts.routes))
        self.assertEqual(rollout.MAX_ROUTES + 5, counts.ended)


class TestTrip(testtools.TestCase):
    def test_gate_of_a_bad_new_version_closes_once(self):
        # The gate waited for the controller, which may be cut off.
        cases = (
            ([BAD] * 6, True, 0.0, 6),
            ([BAD, SOUND] * 6, True, 0.0, 11),
            ([BAD, SOUND, SOUND] * 6, True, 0.0, None),
            ([BAD, UNCOUNTED] * 6, True, 0.0, 11),
            ([BAD] * 12, True, 0.2, None),
            ([BAD] * 12, False, 0.0, None),
        )
        for verdicts, is_new, old_bad_share, expected in cases:
            counts, tripped = count(
                verdicts,
                rolloutcounts.Counts(ORDER, is_new),
                old_bad_share=old_bad_share,
            )
            at = tripped.index(True) + 1 if True in tripped else None
            self.assertEqual(expected, at, verdicts)
            self.assertLessEqual(sum(tripped), 1)


class TestEvidence(testtools.TestCase):
    def evidence(self, reports, reachable, members=(), now=100.0):
        """Return the sum of reports that came at 100 s."""
        table = rolloutaggregator.ReportTable()
        for item in reports:
            rolloutaggregator.record_report(table, item, 100.0)
        state = rollout.State(
            'pickups', rollout.Order(ORDER, 'pickups', 'v2', 20.0)
        )
        return rolloutaggregator.evidence(
            table, state, set(reachable), set(members), 'vm-0/1', now
        )

    def test_counts_of_lost_and_restarted_gates_stay(self):
        # The sums fell, and the exposure was underestimated.
        found = self.evidence(
            [
                report('vm-1'),
                report('vm-1', 5, incarnation=2, running=1),
                report('vm-2', closed=True),
                report('vm-3', running=3),
                report('vm-4', is_new=True),
            ],
            ('vm-1', 'vm-2', 'vm-4'),
        )
        self.assertEqual(35, found.old.started)
        self.assertEqual((2, 1), (found.old_gates, found.old_open))
        self.assertEqual(1, found.old.running)
        self.assertEqual(35, found.old.routes[0].ended)
        self.assertEqual(['vm-4'], [item.vm for item in found.new])

    def test_gates_that_are_out_of_reach_count_as_open_for_a_while(self):
        # The old upstreams were stopped under requests of a cut-off VM.
        for reachable, members, now, expected in (
            (('vm-1',), ('vm-1',), 200.0, 1),
            ((), ('vm-1',), 105.0, 1),
            ((), ('vm-1',), 111.0, 0),
            ((), (), 101.0, 0),
        ):
            found = self.evidence([report('vm-1')], reachable, members, now)
            self.assertEqual(expected, found.old_open, (reachable, now))

    def test_late_repeated_and_foreign_reports_change_nothing(self):
        # Messages come late or twice; sums must not fall or double.
        former = rollout.OrderId(1, 4)
        late = msgspec.structs.replace(report('vm-1', 99), order=former)
        found = self.evidence(
            [report('vm-1', 8), report('vm-1', 8), report('vm-1', 3), late],
            ('vm-1',),
        )
        self.assertEqual(8, found.old.started)
