"""Tests of admission."""

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
RUN = calls.Admitted()
QUEUED = calls.Queued()
JOINED = calls.Duplicate()


def offer(table, now, sequence, **kwargs):
    return gate.offer(table, callbuilders.new_attempt(sequence, **kwargs), now)


def identify(sequence, vm='vm-1', incarnation=1):
    return calls.AttemptId(vm, incarnation, sequence)


def evicted(table, now):
    found = gate.expire(table, now)
    return {item.attempt.sequence: item.refusal.reason for item in found}


class TestSlots(testtools.TestCase):
    def test_slots_are_exact_and_the_queue_is_by_deadline(self):
        for slots in (1, 2, 6, 12):
            table = callbuilders.new_serving_gate(slots, queue_limit=12)
            found = [offer(table, 0.0, n) for n in range(1, slots + 1)]
            self.assertEqual([RUN] * slots, found)
            for sequence, deadline in ((20, 90.0), (21, 70.0), (22, 80.0)):
                found = offer(table, 0.0, sequence, deadline=deadline)
                self.assertEqual(QUEUED, found)
            freed = [
                gate.finish(table, identify(n), Ending.CANCELLED, 1.0)
                for n in (1, 21, 22)
            ]
            order = [identify(21), identify(22), identify(20)]
            self.assertEqual([(item,) for item in order], freed)

    def test_a_repeated_finish_frees_one_slot(self):
        table = callbuilders.new_serving_gate(1)
        for sequence in (1, 2, 3):
            offer(table, 0.0, sequence)
        first = gate.finish(table, identify(1), Ending.ANSWERED, 1.0)
        again = gate.finish(table, identify(1), Ending.ANSWERED, 1.0)
        self.assertEqual((1, ()), (len(first), again))

    def test_a_queued_attempt_cannot_finish(self):
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

    def test_a_new_upstream_is_ramped_up(self):
        table = callbuilders.new_serving_gate(6, warmup=10.0)
        cases = ((0.0, 1), (1.0, 1), (5.0, 3), (9.9, 6), (10.0, 6))
        for now, slots in cases:
            gate.cancel(table, identify(0), now)
            self.assertEqual(slots, gate.current_load(table).slots, now)

    def test_shed_and_silence_narrow_slots_for_a_while(self):
        for ending, narrowed in ((Ending.SHED, 5), (Ending.SILENT, 5)):
            table = callbuilders.new_serving_gate(6)
            for sequence in range(1, 7):
                offer(table, 0.0, sequence)
            gate.finish(table, identify(1), ending, 0.0)
            self.assertEqual(narrowed, gate.current_load(table).slots)
            for sequence in range(2, 7):
                gate.finish(table, identify(sequence), Ending.SHED, 0.0)
            self.assertEqual(1, gate.current_load(table).slots)
            self.assertEqual(RUN, offer(table, 0.0, 8))
            gate.finish(table, identify(8), Ending.SHED, 0.0)
            self.assertEqual(1, gate.current_load(table).slots)
            gate.finish(table, identify(8), Ending.SHED, 9.0)
            self.assertEqual(RUN, offer(table, 9.0, 9))
            self.assertEqual(6, gate.current_load(table).slots)

    def test_states_that_admit_nothing_empty_the_queue(self):
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
            self.assertEqual(errors.Ran.DID_NOT_RUN, refusal.ran)
            self.assertEqual(reason, refusal.reason)
            self.assertGreater(refusal.retry_after, 0)
            gate.finish(table, identify(1), Ending.ANSWERED, 2.0)
            self.assertEqual(Ending.ANSWERED, gate.ending(table, identify(1)))

    def test_one_suspect_runs_at_a_time(self):
        table = callbuilders.new_serving_gate(3)
        items = [callbuilders.new_attempt(n) for n in (1, 2, 3)]
        self.assertEqual(RUN, gate.offer(table, items[0], 0.0, suspect=True))
        found = gate.offer(table, items[1], 0.0, suspect=True)
        self.assertEqual(QUEUED, found)
        self.assertEqual(RUN, gate.offer(table, items[2], 0.0))
        self.assertEqual(
            (), gate.finish(table, items[2].id, Ending.ANSWERED, 1)
        )
        freed = gate.finish(table, items[0].id, Ending.ANSWERED, 1.0)
        self.assertEqual((items[1].id,), freed)


class TestOverload(testtools.TestCase):
    def learned(self, seconds=1.0, **kwargs):
        table = callbuilders.new_serving_gate(**kwargs)
        offer(table, 0.0, 1)
        gate.finish(table, identify(1), Ending.ANSWERED, seconds)
        return table

    def test_what_cannot_finish_in_time_is_refused_before_it_starts(self):
        table = self.learned(slots=1, queue_limit=8)
        found = offer(table, 1.0, 2, deadline=1.5)
        self.assertEqual(calls.Reason.DEADLINE, found.refusal.reason)
        offer(table, 1.0, 3)
        self.assertEqual(QUEUED, offer(table, 1.0, 4, deadline=3.5))
        behind = offer(table, 1.0, 5, deadline=3.6)
        self.assertEqual(calls.Reason.QUEUE_FULL, behind.refusal.reason)
        self.assertEqual(2.0, behind.refusal.retry_after)

    def test_an_attempt_leaves_at_its_latest_start(self):
        table = self.learned(slots=1)
        offer(table, 1.0, 2)
        offer(table, 1.0, 3, deadline=5.0)
        self.assertEqual(4.0, gate.next_expiry(table))
        self.assertEqual({}, evicted(table, 3.9))
        self.assertEqual({3: calls.Reason.DEADLINE}, evicted(table, 4.0))
        self.assertIsNone(gate.next_expiry(table))

    def test_a_slot_that_comes_too_late_is_not_used(self):
        table = self.learned(slots=1)
        offer(table, 1.0, 2)
        offer(table, 1.0, 3, deadline=5.0)
        freed = gate.finish(table, identify(2), Ending.ANSWERED, 4.5)
        self.assertEqual((), freed)
        self.assertEqual({3: calls.Reason.DEADLINE}, evicted(table, 4.5))

    def test_old_estimates_fade_so_that_nothing_is_locked_out(self):
        table = self.learned(seconds=50.0)
        self.assertEqual(50.0, servicetime.mean(table.times, 50.0))
        found = offer(table, 50.0, 2, deadline=51.0)
        self.assertEqual(calls.Reason.DEADLINE, found.refusal.reason)
        self.assertEqual(RUN, offer(table, 100.0, 3, deadline=101.0))

    def test_who_leaves_a_full_queue(self):
        high, low = (
            callbuilders.new_route(priority=9),
            callbuilders.new_route(priority=1),
        )
        other = callbuilders.new_route('other')
        cases = (
            # Name, waiting as (caller, route), newcomer, who leaves.
            ('newest', (('a', None), ('b', None)), ('c', None), 12),
            ('fattest', (('a', None), ('a', None)), ('b', None), 11),
            ('own share', (('a', None), ('b', None)), ('a', None), 12),
            ('lowest', (('a', low), ('b', high)), ('a', None), 10),
            ('none lower', (('a', high), ('b', high)), ('c', low), 12),
            ('route', (('a', None), ('b', None)), ('c', other), 11),
        )
        for name, waiting, newcomer, leaves in cases:
            table = callbuilders.new_serving_gate(1, queue_limit=2)
            offer(table, 0.0, 1, caller='other')
            for sequence, (caller, to) in enumerate((*waiting, newcomer), 10):
                found = offer(table, 0.0, sequence, caller=caller, route=to)
            out = evicted(table, 0.0)
            if leaves == 12:
                self.assertIsInstance(found, calls.Refused, name)
                out = {12: found.refusal.reason}
            self.assertEqual({leaves: calls.Reason.QUEUE_FULL}, out, name)

    def test_a_route_bounds_its_own_part_of_the_queue(self):
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

    def test_one_caller_cannot_occupy_the_queue(self):
        table = callbuilders.new_serving_gate(1, queue_limit=8)
        for sequence in range(1, 30):
            offer(table, 0.0, sequence, caller='greedy', deadline=10.0)
        for sequence, caller in enumerate('abcd', 40):
            self.assertEqual(
                QUEUED, offer(table, 0.0, sequence, caller=caller)
            )
        callers = [entry.attempt.call.caller for entry in table.queue]
        self.assertEqual(4, callers.count('greedy'))


class TestMemory(testtools.TestCase):
    def test_a_resend_shares_the_attempt_it_repeats(self):
        table = callbuilders.new_serving_gate(1)
        self.assertEqual(RUN, offer(table, 0.0, 1))
        self.assertEqual(QUEUED, offer(table, 0.0, 2))
        self.assertEqual(JOINED, offer(table, 0.0, 1))
        self.assertEqual(JOINED, offer(table, 0.0, 2))
        gate.finish(table, identify(1), Ending.ANSWERED, 1.0)
        self.assertEqual(JOINED, offer(table, 1.0, 1))
        self.assertEqual(Ending.ANSWERED, gate.ending(table, identify(1)))
        self.assertIsNone(gate.ending(table, identify(2)))

    def test_what_did_not_run_never_will(self):
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
            self.assertEqual(errors.Ran.DID_NOT_RUN, refusal.ran)
            found = gate.bar(table, identify(1), 0.0)
            self.assertEqual(gate.BarState.BARRED, found)

    def test_bar_tells_the_truth(self):
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

    def test_a_cancelled_attempt_that_did_not_start_never_will(self):
        table = callbuilders.new_serving_gate(1)
        offer(table, 0.0, 1)
        offer(table, 0.0, 2)
        for sequence in (1, 2, 3):
            gate.cancel(table, identify(sequence), 0.0)
        self.assertEqual(JOINED, offer(table, 0.0, 1))
        for sequence in (2, 3):
            refusal = offer(table, 0.0, sequence).refusal
            self.assertEqual(calls.Reason.CANCELLED, refusal.reason)
        self.assertEqual('1/0/1/serving', str(gate.current_load(table)))

    def test_what_memory_does_not_cover_is_never_run(self):
        table = callbuilders.new_serving_gate()
        offer(table, 0.0, 7)
        gate.finish(table, identify(7), Ending.ANSWERED, 0.0)
        gate.expire(table, attempts.MEMORY_S + 1)
        self.assertIsNone(gate.ending(table, identify(7)))
        self.assertEqual(0, table.memory.ended)
        for sequence in (7, 6):
            refusal = offer(table, 200.0, sequence, deadline=300).refusal
            self.assertEqual(errors.Ran.UNKNOWN, refusal.ran)
            found = gate.bar(table, identify(sequence), 200.0)
            self.assertEqual(gate.BarState.UNKNOWN, found)
        self.assertEqual(RUN, offer(table, 200.0, 8, deadline=300))

    def test_a_late_message_of_an_old_incarnation_is_never_run(self):
        table = callbuilders.new_serving_gate()
        offer(table, 0.0, 1, incarnation=1)
        self.assertEqual(RUN, offer(table, 0.0, 1, incarnation=2))
        self.assertEqual(JOINED, offer(table, 0.0, 1, incarnation=1))
        gate.finish(table, identify(1), Ending.ANSWERED, 0.0)
        for sequence in (1, 2):
            refusal = offer(table, 0.0, sequence, incarnation=1).refusal
            self.assertEqual(errors.Ran.UNKNOWN, refusal.ran)


class GateMachine(stateful.RuleBasedStateMachine):
    """Any interleaving of what can happen to a gate.

    The model keeps only what the outside was told.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.slots = 3
        self.table = callbuilders.new_serving_gate(self.slots, queue_limit=3)
        self.waiting = {}
        self.active = set()
        self.ended = set()
        self.not_run = set()

    sequences = strategies.integers(1, 12)

    def admit(self, attempt_ids):
        for attempt_id in attempt_ids:
            self.start(attempt_id.sequence)

    def start(self, sequence):
        assert sequence not in self.active | self.ended | self.not_run
        self.waiting.pop(sequence, None)
        self.active.add(sequence)
        assert len(self.active) <= self.slots

    def refuse(self, sequence):
        assert sequence not in self.active | self.ended
        self.waiting.pop(sequence, None)
        self.not_run.add(sequence)

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
        held = sequence in self.active or sequence in self.waiting
        assert (found == JOINED) == (held or sequence in self.ended)
        if found == RUN:
            self.start(sequence)
        elif found == QUEUED:
            assert sequence not in self.not_run
            self.waiting[sequence] = self.now + wait
        elif found != JOINED:
            assert found.refusal.ran is errors.Ran.DID_NOT_RUN
            self.refuse(sequence)
        self.expire()

    @stateful.rule()
    def expire(self):
        for item in gate.expire(self.table, self.now):
            assert item.refusal.ran is errors.Ran.DID_NOT_RUN
            self.refuse(item.attempt.sequence)

    @stateful.rule(
        data=strategies.data(), ending=strategies.sampled_from(Ending)
    )
    def finish(self, data, ending):
        if not self.active:
            return
        sequence = data.draw(strategies.sampled_from(sorted(self.active)))
        self.active.remove(sequence)
        unsent = ending in (Ending.SHED, Ending.NEVER_SENT)
        (self.not_run if unsent else self.ended).add(sequence)
        admitted = gate.finish(
            self.table, identify(sequence), ending, self.now
        )
        self.admit(admitted)

    @stateful.rule(sequence=sequences)
    def cancel(self, sequence):
        held = sequence in self.active or sequence in self.ended
        self.admit(gate.cancel(self.table, identify(sequence), self.now))
        if not held:
            self.refuse(sequence)

    @stateful.rule(sequence=sequences)
    def bar(self, sequence):
        found = gate.bar(self.table, identify(sequence), self.now)
        expected = gate.BarState.BARRED
        if sequence in self.active:
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
    def holds_what_it_told(self):
        load = gate.current_load(self.table)
        assert load.running == len(self.active)
        assert load.queued == len(self.waiting) <= 3
        order = [entry.deadline for entry in self.table.queue]
        assert order == sorted(order)

    def teardown(self):
        """Every attempt that waits ends, run or refused."""
        while self.active:
            sequence = self.active.pop()
            self.ended.add(sequence)
            admitted = gate.finish(
                self.table, identify(sequence), Ending.ANSWERED, self.now
            )
            self.admit(admitted)
        self.now += 100.0
        self.expire()
        assert not self.waiting


TestGateMachine = GateMachine.TestCase
TestGateMachine.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)


class TestLoad(testtools.TestCase):
    def test_round_trip(self):
        item = gate.Load(3, 1, 6, State.DRAINING)
        self.assertEqual(item, gate.Load.parse(str(item)))

    def test_what_is_no_load_is_none(self):
        for text in ('', '1/2/3', '1/2/3/x', '-1/0/0/gone', '٣/0/0/gone'):
            self.assertIsNone(gate.Load.parse(text), text)


class TestUnreachableUpstream(testtools.TestCase):
    def test_offers_no_room_until_it_is_reachable(self):
        table = gate.new_gate(6)
        gate.set_upstream(table, messages.UpstreamState.SERVING, 6, 0.0)
        self.assertTrue(peerview.has_free_slot(gate.current_load(table)))
        table.unreachable = True
        self.assertFalse(peerview.has_free_slot(gate.current_load(table)))
        table.unreachable = False
        self.assertTrue(peerview.has_free_slot(gate.current_load(table)))
