"""Tests of what is learned of runs' calls, and of refusals for their sake."""

import testtools

from jujubefold import calls
from jujubefold import errors
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import calldemand
from jujubefold.sidecar import limiter

ANSWERED = attempts.Outcome(answer=object(), upstream_time=0.06)
NO_ROOM = attempts.Outcome(
    refusal=calls.Refusal(
        errors.Outcome.DID_NOT_RUN, calls.Reason.QUEUE_FULL, 0.1
    )
)


def play_run(table, outcomes=(ANSWERED, ANSWERED), at_once=True, now=0.0):
    """Record a run of 0.2 s and its calls of 0.1 s; return its wait."""
    run = calldemand.start_run(table, 'a', 'r', 0, now + 2.0, now)
    at = now
    for outcome in outcomes:
        calldemand.start_call(run, 'orders', at)
        if not at_once:
            at += 0.1
            calldemand.end_call(
                table, run, 'orders', at - 0.1, at + 0.9, outcome, at
            )
    if at_once:
        for outcome in outcomes:
            calldemand.end_call(
                table, run, 'orders', now, now + 1.0, outcome, now + 0.1
            )
        at = now + 0.1
    succeeded = all(outcome is ANSWERED for outcome in outcomes)
    return calldemand.end_run(table, 'a', at + 0.2, succeeded)


def learned(short=True):
    """Return a table of a route whose calls found no room of late."""
    table = calldemand.DemandTable()
    for _ in range(20):
        play_run(table)
    if short:
        for _ in range(3):
            play_run(table, (NO_ROOM,))
    return table


def refusals(table, wait, count=80, **changes):
    """Return the refusals of requests that arrive one after another."""
    found = []
    for number in range(count):
        now = number * changes.get('step', 0.01)
        request = limiter.Request(
            number,
            'r',
            0,
            now,
            now + changes.get('objective', 0.7),
            now + 1.7,
            call=changes.get('call', False),
        )
        refusal = calldemand.refusal_for_parent(
            table, request, lambda service: wait, now
        )
        if refusal is not None:
            found.append(refusal)
    return found


class TestLearning(testtools.TestCase):
    def test_wait_is_the_time_in_which_any_call_is_outstanding(self):
        """Guards own times that calls side by side make too short."""
        table = calldemand.DemandTable()
        self.assertAlmostEqual(0.1, play_run(table))
        self.assertAlmostEqual(0.2, play_run(table, at_once=False))
        demand = table.routes['r']
        self.assertAlmostEqual(0.2, demand.own_seconds)
        self.assertAlmostEqual(1.5, demand.rounds)
        self.assertEqual({'orders': 2.0}, demand.calls)
        self.assertEqual({}, table.runs)

    def test_same_request_running_twice_teaches_nothing(self):
        table = calldemand.DemandTable()
        calldemand.start_run(table, 'a', 'r', 0, 2.0, 0.0)
        calldemand.start_run(table, 'a', 'r', 0, 2.0, 0.1)
        self.assertIsNone(calldemand.end_run(table, 'a', 0.2, True))
        self.assertIsNotNone(calldemand.running_parent(table, 'a.b'))
        self.assertIsNone(calldemand.end_run(table, 'a', 0.3, True))
        self.assertEqual({}, table.routes)
        self.assertIsNone(calldemand.running_parent(table, 'a.b'))


class TestRefusals(testtools.TestCase):
    """Guard against parents that hold slots for nothing, and idle slots."""

    def test_nothing_is_refused_without_a_shortage(self):
        self.assertEqual([], refusals(learned(short=False), 5.0))
        self.assertEqual([], refusals(calldemand.DemandTable(), 5.0))
        # The service is short of room, but its gates report that it is over.
        self.assertEqual([], refusals(learned(), 0.1))

    def test_calls_are_never_refused(self):
        self.assertEqual([], refusals(learned(), 5.0, call=True))

    def test_share_falls_to_probes_while_calls_are_late(self):
        """Guards runs that are lost, and a shortage that is never tested."""
        table = learned()
        refusals(table, 5.0, count=100)
        self.assertEqual(70, len(refusals(table, 5.0)))

    def test_share_rises_once_calls_are_expected_in_time(self):
        """Guards slots that stay idle after a shortage."""
        table = learned()
        refusals(table, 5.0, count=100)
        found = refusals(table, 0.1)
        self.assertLess(0, len(found))
        self.assertLess(len(found), 25)
        self.assertEqual([], refusals(table, 0.1))

    def test_refused_callers_are_spread(self):
        """Guards callers that all come back at the same moment."""
        delays = [
            refusal.retry_after
            for refusal in refusals(learned(), 1.0, step=0.0)
        ]
        # A call has 0.7 of its 1 s, and takes 1.06 s now.
        self.assertAlmostEqual(0.36, min(delays))
        self.assertGreater(len(set(delays)), 20)
        self.assertLessEqual(max(delays), limiter.MAX_RETRY_AFTER_S)

    def test_retries_are_admitted_before_newcomers(self):
        table = learned()
        refusals(table, 5.0, count=101)
        self.assertEqual(1, len(refusals(table, 5.0, count=1)))
        self.assertEqual([], refusals(table, 5.0, count=1, objective=0.6))
        # The newcomers after it wait until its place is made up for.
        self.assertEqual(10, len(refusals(table, 5.0, count=10)))

    def test_shortage_ends_by_calls_that_find_room(self):
        table = learned()
        self.assertTrue(table.services['orders'].short)
        for _ in range(8):
            play_run(table)
        self.assertFalse(table.services['orders'].short)
