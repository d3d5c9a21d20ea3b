"""Tests of what is remembered of attempts that ended."""

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
NEW = attempts.Memory.NEW
FORGOTTEN = attempts.Memory.FORGOTTEN


def identify(sequence, vm='vm-1', incarnation=1):
    return calls.AttemptId(vm, incarnation, sequence)


def remember(table, now=0.0, **kwargs):
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

    def test_the_oldest_of_a_sender_goes_first(self):
        for sequence in range(1, 21):
            remember(self.table, sequence=sequence)
        self.assertEqual(10, self.table.ended)
        found = [attempts.lookup(self.table, identify(n)) for n in (10, 11)]
        self.assertEqual([FORGOTTEN, ANSWERED], found)
        kept = self.table.senders['vm-1'].outcomes
        self.assertEqual(list(range(11, 21)), list(kept))

    def test_a_busy_sender_makes_room_before_a_quiet_one(self):
        remember(self.table, sequence=1, vm='quiet')
        for vm in ('vm-1', 'vm-2'):
            for sequence in range(1, 40):
                remember(self.table, sequence=sequence, vm=vm)
        self.assertLessEqual(self.table.ended, 25)
        found = attempts.lookup(self.table, identify(1, 'quiet'))
        self.assertEqual(ANSWERED, found)

    def test_a_sender_that_was_dropped_is_never_taken_for_new(self):
        for number in range(1, 6):
            vm = f'vm-{number}'
            remember(self.table, sequence=1, vm=vm, incarnation=number)
        self.assertEqual(3, len(self.table.senders))
        cases = (('vm-1', 1, FORGOTTEN), ('vm-1', 9, NEW), ('vm-5', 5, NEW))
        for vm, incarnation, expected in cases:
            found = attempts.lookup(self.table, identify(2, vm, incarnation))
            self.assertEqual(expected, found, vm)

    def test_one_ending_after_the_sender_was_dropped(self):
        late = identify(1, 'vm-1', 1)
        attempts.register_sender(self.table, late)
        for number in range(2, 6):
            remember(self.table, sequence=1, vm=f'vm-{number}', incarnation=9)
        attempts.record(self.table, late, ANSWERED, 0.0)
        self.assertEqual(FORGOTTEN, attempts.lookup(self.table, late))


class TestAge(testtools.TestCase):
    def test_sweeps_reach_every_silent_sender(self):
        table = attempts.AttemptTable()
        for number in range(5):
            remember(table, sequence=1, vm=f'vm-{number}')
        for _ in range(5):
            attempts.sweep(table, attempts.MEMORY_S + 1)
        self.assertEqual(0, table.ended)


class TestTruth(testtools.TestCase):
    """Memory far too small: doubt is allowed, a second run is not."""

    OPERATIONS = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['offer', 'bar', 'cancel', 'forbid']),
            strategies.sampled_from(['vm-1', 'vm-2', 'vm-3']),
            strategies.integers(1, 2),
            strategies.integers(1, 6),
            strategies.integers(0, 40),
        ),
        max_size=60,
    )

    @hypothesis.given(OPERATIONS)
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    def test_no_attempt_runs_twice_or_after_a_proof(self, operations):
        self.patch(attempts, 'MAX_PER_SENDER', 2)
        self.patch(attempts, 'MAX_OUTCOMES', 3)
        self.patch(attempts, 'MAX_SENDERS', 2)
        table = callbuilders.new_serving_gate(6)
        now = 0.0
        ran = set()
        proved = set()
        for operation, vm, incarnation, sequence, wait in operations:
            now += wait
            item = callbuilders.new_attempt(
                sequence, vm, incarnation, deadline=1e9
            )
            match operation:
                case 'offer':
                    found = gate.offer(table, item, now)
                    if found == calls.Admitted():
                        self.assertNotIn(item.id, ran | proved)
                        ran.add(item.id)
                        gate.finish(table, item.id, ANSWERED, now)
                    elif isinstance(found, calls.Refused):
                        if found.refusal.ran is errors.Outcome.DID_NOT_RUN:
                            self.assertNotIn(item.id, ran)
                case 'bar':
                    if gate.bar(table, item.id, now) is BARRED:
                        self.assertNotIn(item.id, ran)
                        proved.add(item.id)
                case 'cancel':
                    gate.cancel(table, item.id, now)
                    proved.add(item.id)
                case 'forbid':
                    gate.record_refusal(table, item.id, REFUSAL, now)
                    proved.add(item.id)


class TestResends(testtools.TestCase):
    """Executions at the upstream when connections fall silent."""

    def executions(self, numbered, first_tries=2000):
        rng = random.Random(5)
        table = callbuilders.new_serving_gate(6, queue_limit=6)
        sequence = runs = resends = 0
        for _ in range(first_tries):
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
        return runs, first_tries, resends

    def test_numbered_attempts_run_once_and_others_again(self):
        runs, wanted, resends = self.executions(numbered=True)
        self.assertEqual(wanted, runs)
        self.assertGreater(resends, 0)
        runs, wanted, resends = self.executions(numbered=False)
        self.assertEqual(wanted + resends, runs)
