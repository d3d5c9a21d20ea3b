"""Tests of admission control at the gate."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from jujubefold import attempts
from jujubefold import calls
from jujubefold import errors
from jujubefold import gate
from jujubefold import messages
from jujubefold import peerview
from jujubefold import servicetime
from tests import callbuilders

State = messages.UpstreamState
Ending = calls.Ending
ADMITTED = calls.Admitted()
QUEUED = calls.Queued()
DUPLICATE = calls.Duplicate()


def offer(table, now, sequence, **kwargs):
    return gate.offer(table, callbuilders.new_attempt(sequence, **kwargs), now)


def identify(sequence, vm='vm-1', incarnation=1):
    return calls.AttemptId(vm, incarnation, sequence)


def evicted(table, now):
    """Return the refusal reason of each evicted attempt, by sequence."""
    found = gate.expire(table, now)
    return {item.attempt.sequence: item.refusal.reason for item in found}


class TestSlots(testtools.TestCase):
    def test_admits_up_to_slots_and_dequeues_by_deadline(self):
        for slots in (1, 2, 6, 12):
            table = callbuilders.new_serving_gate(slots, queue_limit=12)
            found = [offer(table, 0.0, n) for n in range(1, slots + 1)]
            self.assertEqual([ADMITTED] * slots, found)
            for sequence, deadline in ((20, 90.0), (21, 70.0), (22, 80.0)):
                found = offer(table, 0.0, sequence, deadline=deadline)
                self.assertEqual(QUEUED, found)
            freed = [
                gate.finish(table, identify(n), Ending.CANCELLED, 1.0)
                for n in (1, 21, 22)
            ]
            order = [identify(21), identify(22), identify(20)]
            self.assertEqual([(item,) for item in order], freed)

    def test_repeated_finish_frees_only_one_slot(self):
        table = callbuilders.new_serving_gate(1)
        for sequence in (1, 2, 3):
            offer(table, 0.0, sequence)
        first = gate.finish(table, identify(1), Ending.ANSWERED, 1.0)
        again = gate.finish(table, identify(1), Ending.ANSWERED, 1.0)
        self.assertEqual((1, ()), (len(first), again))

    def test_finish_rejects_a_queued_attempt(self):
        table = callbuilders.new_serving_gate(1)
        offer(table, 0.0, 1)
        offer(table, 0.0, 2)
        self.assertRaises(
            errors.BrokenInvariant,
            gate.finish,
            table,
            identify(2),
            Ending.ANSWERED,
            1.0,
        )

    def test_slots_ramp_up_after_an_upstream_starts(self):
        table = callbuilders.new_serving_gate(6, warmup=10.0)
        cases = ((0.0, 1), (1.0, 1), (5.0, 3), (9.9, 6), (10.0, 6))
        for now, slots in cases:
            gate.cancel(table, identify(0), now)
            self.assertEqual(slots, gate.current_load(table).slots, now)

    def test_shed_and_unanswered_attempts_reduce_slots_temporarily(self):
        for ending, reduced in ((Ending.SHED, 5), (Ending.SILENT, 5)):
            table = callbuilders.new_serving_gate(6)
            for sequence in range(1, 7):
                offer(table, 0.0, sequence)
            gate.finish(table, identify(1), ending, 0.0)
            self.assertEqual(reduced, gate.current_load(table).slots)
            for sequence in range(2, 7):
                gate.finish(table, identify(sequence), Ending.SHED, 0.0)
            self.assertEqual(1, gate.current_load(table).slots)
            self.assertEqual(ADMITTED, offer(table, 0.0, 8))
            gate.finish(table, identify(8), Ending.SHED, 0.0)
            self.assertEqual(1, gate.current_load(table).slots)
            gate.finish(table, identify(8), Ending.SHED, 9.0)
            self.assertEqual(ADMITTED, offer(table, 9.0, 9))
            self.assertEqual(6, gate.current_load(table).slots)

    def test_queue_is_evicted_when_the_upstream_stops_admitting(self):
        cases = (
            (State.DRAINING, calls.Reason.DRAINING),
            (State.GONE, calls.Reason.NO_UPSTREAM),
            (State.ABSENT, calls.Reason.NO_UPSTREAM),
        )
        for state, reason in cases:
            table = callbuilders.new_serving_gate(1)
            offer(table, 0.0, 1)
            offer(table, 0.0, 2)
            gate.set_upstream(table, state, 1, 1.0)
            self.assertLess(gate.next_expiry(table), 1.0)
            self.assertEqual({2: reason}, evicted(table, 1.0))
            refusal = offer(table, 1.0, 3).refusal
            self.assertEqual(errors.Outcome.DID_NOT_RUN, refusal.ran)
            self.assertEqual(reason, refusal.reason)
            self.assertGreater(refusal.retry_after, 0)
            gate.finish(table, identify(1), Ending.ANSWERED, 2.0)
            self.assertEqual(
                Ending.ANSWERED, gate.recorded_ending(table, identify(1))
            )

    def test_only_one_suspect_runs_at_a_time(self):
        table = callbuilders.new_serving_gate(3)
        items = [callbuilders.new_attempt(n) for n in (1, 2, 3)]
        self.assertEqual(
            ADMITTED, gate.offer(table, items[0], 0.0, suspect=True)
        )
        found = gate.offer(table, items[1], 0.0, suspect=True)
        self.assertEqual(QUEUED, found)
        self.assertEqual(ADMITTED, gate.offer(table, items[2], 0.0))
        self.assertEqual(
            (), gate.finish(table, items[2].id, Ending.ANSWERED, 1)
        )
        freed = gate.finish(table, items[0].id, Ending.ANSWERED, 1.0)
        self.assertEqual((items[1].id,), freed)


class TestOverload(testtools.TestCase):
    def gate_with_estimate(self, seconds=1.0, **kwargs):
        table = callbuilders.new_serving_gate(**kwargs)
        offer(table, 0.0, 1)
        gate.finish(table, identify(1), Ending.ANSWERED, seconds)
        return table

    def test_attempt_that_cannot_meet_its_deadline_is_refused(self):
        table = self.gate_with_estimate(slots=1, queue_limit=8)
        found = offer(table, 1.0, 2, deadline=1.5)
        self.assertEqual(calls.Reason.DEADLINE, found.refusal.reason)
        offer(table, 1.0, 3)
        self.assertEqual(QUEUED, offer(table, 1.0, 4, deadline=3.5))
        behind = offer(table, 1.0, 5, deadline=3.6)
        self.assertEqual(calls.Reason.QUEUE_FULL, behind.refusal.reason)
        self.assertEqual(2.0, behind.refusal.retry_after)

    def test_queued_attempt_is_evicted_at_its_latest_start(self):
        table = self.gate_with_estimate(slots=1)
        offer(table, 1.0, 2)
        offer(table, 1.0, 3, deadline=5.0)
        self.assertEqual(4.0, gate.next_expiry(table))
        self.assertEqual({}, evicted(table, 3.9))
        self.assertEqual({3: calls.Reason.DEADLINE}, evicted(table, 4.0))
        self.assertIsNone(gate.next_expiry(table))

    def test_finish_does_not_admit_an_attempt_past_its_latest_start(self):
        table = self.gate_with_estimate(slots=1)
        offer(table, 1.0, 2)
        offer(table, 1.0, 3, deadline=5.0)
        freed = gate.finish(table, identify(2), Ending.ANSWERED, 4.5)
        self.assertEqual((), freed)
        self.assertEqual({3: calls.Reason.DEADLINE}, evicted(table, 4.5))

    def test_stale_estimates_decay_until_attempts_are_admitted(self):
        table = self.gate_with_estimate(seconds=50.0)
        self.assertEqual(50.0, servicetime.mean(table.service_times, 50.0))
        found = offer(table, 50.0, 2, deadline=51.0)
        self.assertEqual(calls.Reason.DEADLINE, found.refusal.reason)
        self.assertEqual(ADMITTED, offer(table, 100.0, 3, deadline=101.0))

    def test_choice_of_the_attempt_evicted_from_a_full_queue(self):
        high, low = (
            callbuilders.new_route(priority=9),
            callbuilders.new_route(priority=1),
        )
        other = callbuilders.new_route('other')
        cases = (
            # Name, queued as (caller, route), arrival, sequence evicted.
            # 10 and 11 are queued, 12 is the arrival.
            ('latest arrival', (('a', None), ('b', None)), ('c', None), 12),
            ('highest usage', (('a', None), ('a', None)), ('b', None), 11),
            ('own usage', (('a', None), ('b', None)), ('a', None), 12),
            ('lowest priority', (('a', low), ('b', high)), ('a', None), 10),
            (
                'arrival has lowest priority',
                (('a', high), ('b', high)),
                ('c', low),
                12,
            ),
            (
                'route with most entries',
                (('a', None), ('b', None)),
                ('c', other),
                11,
            ),
        )
        for name, queued, arrival, victim in cases:
            table = callbuilders.new_serving_gate(1, queue_limit=2)
            offer(table, 0.0, 1, caller='other')
            for sequence, (caller, route) in enumerate((*queued, arrival), 10):
                found = offer(table, 0.0, sequence, caller=caller, route=route)
            out = evicted(table, 0.0)
            if victim == 12:
                self.assertIsInstance(found, calls.Refused, name)
                out = {12: found.refusal.reason}
            self.assertEqual({victim: calls.Reason.QUEUE_FULL}, out, name)

    def test_queue_limit_of_a_route(self):
        narrow = callbuilders.new_route('narrow', queue=1)
        table = callbuilders.new_serving_gate(1, queue_limit=9)
        offer(table, 0.0, 1)
        found = [
            offer(table, 0.0, 2),
            offer(table, 0.0, 3, route=narrow),
            offer(table, 0.0, 4, route=narrow),
            offer(table, 0.0, 5),
        ]
        refused = [isinstance(item, calls.Refused) for item in found]
        self.assertEqual([False, False, True, False], refused)
        none = callbuilders.new_route('none', queue=0)
        found = offer(table, 0.0, 6, route=none)
        self.assertEqual(calls.Reason.QUEUE_FULL, found.refusal.reason)

    def test_one_caller_cannot_fill_the_queue(self):
        table = callbuilders.new_serving_gate(1, queue_limit=8)
        for sequence in range(1, 30):
            offer(table, 0.0, sequence, caller='heavy', deadline=10.0)
        for sequence, caller in enumerate('abcd', 40):
            self.assertEqual(
                QUEUED, offer(table, 0.0, sequence, caller=caller)
            )
        callers = [entry.attempt.call.caller for entry in table.queue]
        self.assertEqual(4, callers.count('heavy'))


class TestRecords(testtools.TestCase):
    def test_resend_is_a_duplicate_of_the_attempt(self):
        table = callbuilders.new_serving_gate(1)
        self.assertEqual(ADMITTED, offer(table, 0.0, 1))
        self.assertEqual(QUEUED, offer(table, 0.0, 2))
        self.assertEqual(DUPLICATE, offer(table, 0.0, 1))
        self.assertEqual(DUPLICATE, offer(table, 0.0, 2))
        gate.finish(table, identify(1), Ending.ANSWERED, 1.0)
        self.assertEqual(DUPLICATE, offer(table, 1.0, 1))
        self.assertEqual(
            Ending.ANSWERED, gate.recorded_ending(table, identify(1))
        )
        self.assertIsNone(gate.recorded_ending(table, identify(2)))

    def test_attempt_that_did_not_run_is_refused_when_resent(self):
        cases = (
            (Ending.NEVER_SENT, calls.Reason.PEER_LOST),
            (Ending.SHED, calls.Reason.UPSTREAM_SHED),
        )
        for ending, reason in cases:
            table = callbuilders.new_serving_gate(1)
            offer(table, 0.0, 1)
            gate.finish(table, identify(1), ending, 0.0)
            refusal = offer(table, 0.0, 1).refusal
            self.assertEqual(reason, refusal.reason)
            self.assertEqual(errors.Outcome.DID_NOT_RUN, refusal.ran)
            found = gate.bar(table, identify(1), 0.0)
            self.assertEqual(gate.BarState.BARRED, found)

    def test_bar_reports_the_state_of_an_attempt(self):
        table = callbuilders.new_serving_gate(1)
        for sequence in (1, 2):
            offer(table, 0.0, sequence)
        cases = (
            (1, gate.BarState.RUNNING),
            (2, gate.BarState.BARRED),
            (3, gate.BarState.BARRED),
            (3, gate.BarState.BARRED),
        )
        for sequence, state in cases:
            found = gate.bar(table, identify(sequence), 0.0)
            self.assertEqual(state, found, sequence)
        self.assertEqual({2: calls.Reason.BARRED}, evicted(table, 0.0))
        for sequence in (2, 3):
            refusal = offer(table, 0.0, sequence).refusal
            self.assertEqual(calls.Reason.BARRED, refusal.reason)
        gate.finish(table, identify(1), Ending.SILENT, 1.0)
        found = gate.bar(table, identify(1), 1.0)
        self.assertEqual(gate.BarState.ENDED, found)

    def test_attempt_cancelled_before_its_start_never_runs(self):
        table = callbuilders.new_serving_gate(1)
        offer(table, 0.0, 1)
        offer(table, 0.0, 2)
        for sequence in (1, 2, 3):
            gate.cancel(table, identify(sequence), 0.0)
        self.assertEqual(DUPLICATE, offer(table, 0.0, 1))
        for sequence in (2, 3):
            refusal = offer(table, 0.0, sequence).refusal
            self.assertEqual(calls.Reason.CANCELLED, refusal.reason)
        self.assertEqual('1/0/1/serving', str(gate.current_load(table)))

    def test_attempt_with_a_dropped_record_never_runs(self):
        table = callbuilders.new_serving_gate()
        offer(table, 0.0, 7)
        gate.finish(table, identify(7), Ending.ANSWERED, 0.0)
        gate.expire(table, attempts.RETENTION_S + 1)
        self.assertIsNone(gate.recorded_ending(table, identify(7)))
        self.assertEqual(0, table.records.outcome_count)
        for sequence in (7, 6):
            refusal = offer(table, 200.0, sequence, deadline=300).refusal
            self.assertEqual(errors.Outcome.UNKNOWN, refusal.ran)
            found = gate.bar(table, identify(sequence), 200.0)
            self.assertEqual(gate.BarState.UNKNOWN, found)
        self.assertEqual(ADMITTED, offer(table, 200.0, 8, deadline=300))

    def test_late_attempt_of_an_earlier_incarnation_never_runs(self):
        table = callbuilders.new_serving_gate()
        offer(table, 0.0, 1, incarnation=1)
        self.assertEqual(ADMITTED, offer(table, 0.0, 1, incarnation=2))
        self.assertEqual(DUPLICATE, offer(table, 0.0, 1, incarnation=1))
        gate.finish(table, identify(1), Ending.ANSWERED, 0.0)
        for sequence in (1, 2):
            refusal = offer(table, 0.0, sequence, incarnation=1).refusal
            self.assertEqual(errors.Outcome.UNKNOWN, refusal.ran)


class GateMachine(stateful.RuleBasedStateMachine):
    """Random sequences of gate operations, compared with a model.

    The model tracks only what the gate reported to its callers.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.slots = 3
        self.table = callbuilders.new_serving_gate(self.slots, queue_limit=3)
        self.queued = {}
        self.running = set()
        self.ended = set()
        self.refused = set()

    sequences = strategies.integers(1, 12)

    def admit(self, attempt_ids):
        for attempt_id in attempt_ids:
            self.start(attempt_id.sequence)

    def start(self, sequence):
        assert sequence not in self.running | self.ended | self.refused
        self.queued.pop(sequence, None)
        self.running.add(sequence)
        assert len(self.running) <= self.slots

    def refuse(self, sequence):
        assert sequence not in self.running | self.ended
        self.queued.pop(sequence, None)
        self.refused.add(sequence)

    @stateful.rule(
        sequence=sequences,
        wait=strategies.floats(0, 5),
        caller=strategies.sampled_from('ab'),
        priority=strategies.integers(0, 2),
        suspect=strategies.booleans(),
    )
    def offer(self, sequence, wait, caller, priority, suspect):
        item = callbuilders.new_attempt(
            sequence,
            deadline=self.now + wait,
            caller=caller,
            route=callbuilders.new_route(priority=priority),
        )
        found = gate.offer(self.table, item, self.now, suspect)
        held = sequence in self.running or sequence in self.queued
        assert (found == DUPLICATE) == (held or sequence in self.ended)
        if found == ADMITTED:
            self.start(sequence)
        elif found == QUEUED:
            assert sequence not in self.refused
            self.queued[sequence] = self.now + wait
        elif found != DUPLICATE:
            assert found.refusal.ran is errors.Outcome.DID_NOT_RUN
            self.refuse(sequence)
        self.expire()

    @stateful.rule()
    def expire(self):
        for item in gate.expire(self.table, self.now):
            assert item.refusal.ran is errors.Outcome.DID_NOT_RUN
            self.refuse(item.attempt.sequence)

    @stateful.rule(
        data=strategies.data(), ending=strategies.sampled_from(Ending)
    )
    def finish(self, data, ending):
        if not self.running:
            return
        sequence = data.draw(strategies.sampled_from(sorted(self.running)))
        self.running.remove(sequence)
        not_run = ending in (Ending.SHED, Ending.NEVER_SENT)
        (self.refused if not_run else self.ended).add(sequence)
        admitted = gate.finish(
            self.table, identify(sequence), ending, self.now
        )
        self.admit(admitted)

    @stateful.rule(sequence=sequences)
    def cancel(self, sequence):
        held = sequence in self.running or sequence in self.ended
        self.admit(gate.cancel(self.table, identify(sequence), self.now))
        if not held:
            self.refuse(sequence)

    @stateful.rule(sequence=sequences)
    def bar(self, sequence):
        found = gate.bar(self.table, identify(sequence), self.now)
        expected = gate.BarState.BARRED
        if sequence in self.running:
            expected = gate.BarState.RUNNING
        elif sequence in self.ended:
            expected = gate.BarState.ENDED
        assert found is expected
        self.expire()

    @stateful.rule(seconds=strategies.floats(0, 3))
    def advance(self, seconds):
        self.now += seconds

    @stateful.rule(state=strategies.sampled_from(State))
    def set_upstream(self, state):
        admitted = gate.set_upstream(
            self.table, state, self.slots, self.now, warmup=1.0
        )
        self.admit(admitted)
        self.expire()

    @stateful.invariant()
    def load_matches_reported_state(self):
        load = gate.current_load(self.table)
        assert load.running == len(self.running)
        assert load.queued == len(self.queued) <= 3
        order = [entry.deadline for entry in self.table.queue]
        assert order == sorted(order)

    def teardown(self):
        """Check that every queued attempt ends, run or refused."""
        while self.running:
            sequence = self.running.pop()
            self.ended.add(sequence)
            admitted = gate.finish(
                self.table, identify(sequence), Ending.ANSWERED, self.now
            )
            self.admit(admitted)
        self.now += 100.0
        self.expire()
        assert not self.queued


TestGateMachine = GateMachine.TestCase
TestGateMachine.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)


class TestLoad(testtools.TestCase):
    def test_round_trip(self):
        item = gate.Load(3, 1, 6, State.DRAINING)
        self.assertEqual(item, gate.Load.parse(str(item)))

    def test_malformed_text_is_not_parsed(self):
        for text in ('', '1/2/3', '1/2/3/x', '-1/0/0/gone', '٣/0/0/gone'):
            self.assertIsNone(gate.Load.parse(text), text)


class TestUnreachableUpstream(testtools.TestCase):
    def test_reports_no_free_slot_until_reachable(self):
        table = gate.new_gate(6)
        gate.set_upstream(table, messages.UpstreamState.SERVING, 6, 0.0)
        self.assertTrue(peerview.has_free_slot(gate.current_load(table)))
        table.unreachable = True
        self.assertFalse(peerview.has_free_slot(gate.current_load(table)))
        table.unreachable = False
        self.assertTrue(peerview.has_free_slot(gate.current_load(table)))
