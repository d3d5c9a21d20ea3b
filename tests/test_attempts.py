"""Tests of the records of ended attempts."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import attempts
from jujubefold import calls
from jujubefold import errors
from jujubefold import gate
from tests import callbuilders

ANSWERED = calls.Ending.ANSWERED
BARRED = gate.BarState.BARRED
REFUSAL = calls.Refusal(
    errors.Outcome.DID_NOT_RUN, calls.Reason.SUSPECT_REQUEST
)
NEW = attempts.Unrecorded.NEW
EXPIRED = attempts.Unrecorded.EXPIRED


def identify(sequence, vm='vm-1', incarnation=1):
    return calls.AttemptId(vm, incarnation, sequence)


def record(table, now=0.0, **kwargs):
    attempt_id = identify(**kwargs)
    attempts.register_sender(table, attempt_id)
    attempts.record(table, attempt_id, ANSWERED, now)


class TestBounds(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(attempts, 'MAX_PER_SENDER', 10)
        self.patch(attempts, 'MAX_OUTCOMES', 25)
        self.patch(attempts, 'MAX_SENDERS', 3)
        self.table = attempts.AttemptTable()

    def test_oldest_record_of_a_sender_is_dropped_first(self):
        for sequence in range(1, 21):
            record(self.table, sequence=sequence)
        self.assertEqual(10, self.table.outcome_count)
        found = [attempts.lookup(self.table, identify(n)) for n in (10, 11)]
        self.assertEqual([EXPIRED, ANSWERED], found)
        kept = self.table.senders['vm-1'].outcomes
        self.assertEqual(list(range(11, 21)), list(kept))

    def test_records_of_the_busiest_sender_are_dropped_first(self):
        record(self.table, sequence=1, vm='idle')
        for vm in ('vm-1', 'vm-2'):
            for sequence in range(1, 40):
                record(self.table, sequence=sequence, vm=vm)
        self.assertLessEqual(self.table.outcome_count, 25)
        found = attempts.lookup(self.table, identify(1, 'idle'))
        self.assertEqual(ANSWERED, found)

    def test_attempt_of_a_dropped_sender_is_not_new(self):
        for number in range(1, 6):
            vm = f'vm-{number}'
            record(self.table, sequence=1, vm=vm, incarnation=number)
        self.assertEqual(3, len(self.table.senders))
        cases = (('vm-1', 1, EXPIRED), ('vm-1', 9, NEW), ('vm-5', 5, NEW))
        for vm, incarnation, expected in cases:
            found = attempts.lookup(self.table, identify(2, vm, incarnation))
            self.assertEqual(expected, found, vm)

    def test_attempt_that_ends_after_its_sender_was_dropped(self):
        late = identify(1, 'vm-1', 1)
        attempts.register_sender(self.table, late)
        for number in range(2, 6):
            record(self.table, sequence=1, vm=f'vm-{number}', incarnation=9)
        attempts.record(self.table, late, ANSWERED, 0.0)
        self.assertEqual(EXPIRED, attempts.lookup(self.table, late))


class TestAge(testtools.TestCase):
    def test_sweeps_drop_expired_records_of_idle_senders(self):
        table = attempts.AttemptTable()
        for number in range(5):
            record(table, sequence=1, vm=f'vm-{number}')
        for _ in range(5):
            attempts.sweep(table, attempts.RETENTION_S + 1)
        self.assertEqual(0, table.outcome_count)


class TestDroppedRecords(testtools.TestCase):
    """Gate with bounds so small that most records are dropped.

    An outcome may be reported as unknown, but no attempt may run twice.
    """

    OPERATIONS = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['offer', 'bar', 'cancel', 'refuse']),
            strategies.sampled_from(['vm-1', 'vm-2', 'vm-3']),
            strategies.integers(1, 2),
            strategies.integers(1, 6),
            strategies.integers(0, 40),
        ),
        max_size=60,
    )

    @hypothesis.given(OPERATIONS)
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    def test_no_attempt_runs_twice_or_after_it_was_barred(self, operations):
        self.patch(attempts, 'MAX_PER_SENDER', 2)
        self.patch(attempts, 'MAX_OUTCOMES', 3)
        self.patch(attempts, 'MAX_SENDERS', 2)
        table = callbuilders.new_serving_gate(6)
        now = 0.0
        ran = set()
        refused = set()
        for operation, vm, incarnation, sequence, wait in operations:
            now += wait
            item = callbuilders.new_attempt(
                sequence, vm, incarnation, deadline=1e9
            )
            match operation:
                case 'offer':
                    found = gate.offer(table, item, now)
                    if found == calls.Admitted():
                        self.assertNotIn(item.id, ran | refused)
                        ran.add(item.id)
                        gate.finish(table, item.id, ANSWERED, now)
                    elif isinstance(found, calls.Refused):
                        if found.refusal.ran is errors.Outcome.DID_NOT_RUN:
                            self.assertNotIn(item.id, ran)
                case 'bar':
                    if gate.bar(table, item.id, now) is BARRED:
                        self.assertNotIn(item.id, ran)
                        refused.add(item.id)
                case 'cancel':
                    gate.cancel(table, item.id, now)
                    refused.add(item.id)
                case 'refuse':
                    gate.record_refusal(table, item.id, REFUSAL, now)
                    refused.add(item.id)


class TestResends(testtools.TestCase):
    """Executions at the upstream when connections stop responding."""

    def executions(self, numbered, first_attempts=2000):
        rng = random.Random(5)
        table = callbuilders.new_serving_gate(6, queue_limit=6)
        sequence = runs = resends = 0
        for _ in range(first_attempts):
            sequence += 1
            for resend in range(3):
                if resend and not numbered:
                    sequence += 1
                resends += bool(resend)
                item = callbuilders.new_attempt(sequence)
                if gate.offer(table, item, 0.0) == calls.Admitted():
                    runs += 1
                    gate.finish(table, item.id, ANSWERED, 0.0)
                if rng.random() > 0.1:
                    break
        return runs, first_attempts, resends

    def test_only_numbered_attempts_run_once_despite_resends(self):
        runs, first_attempts, resends = self.executions(numbered=True)
        self.assertEqual(first_attempts, runs)
        self.assertGreater(resends, 0)
        runs, first_attempts, resends = self.executions(numbered=False)
        self.assertEqual(first_attempts + resends, runs)
