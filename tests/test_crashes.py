"""Tests of requests that crash upstreams."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import calls
from jujubefold import core
from jujubefold import crashes
from jujubefold import dispatch
from jujubefold import dissemination
from jujubefold import effects
from jujubefold import errors
from jujubefold import gate
from jujubefold import identity
from jujubefold import membership
from jujubefold import messages
from tests import callbuilders

POISON = 'poison'


class Fleet:
    """Daemons driven by hand; reports travel at once or not at all."""

    def __init__(self, size=5):
        members = [callbuilders.new_member(f'vm-{n}') for n in range(size)]
        self.now = 0.0
        self.cores = [_core(me, members) for me in members]
        self.crashes = 0

    def context(self):
        return dispatch.Context(self.now, self.now, random.Random(1))

    def spread(self, rounds=10):
        """Carry reports until none is sent; return how many were."""
        carried = 0
        for _ in range(rounds):
            sent = [
                (item.membership.local.peer_address, effect)
                for item in self.cores
                for effect in crashes.run(item, self.context())
            ]
            carried += len(sent)
            for sender, effect in sent:
                self.deliver(sender, effect)
        return carried

    def deliver(self, sender, effect):
        for item in self.cores:
            if item.membership.local.peer_address == effect.to:
                received = dispatch.MessageReceived(sender, 1, effect.message)
                list(dispatch.handle(received, item, self.context()))

    def refuses(self, index, fingerprint):
        table = self.cores[index].crashes
        return crashes.refusal_for(table, fingerprint, self.now)

    def crash(self, index, running):
        self.crashes += 1
        found = list(
            crashes.record_crash(
                self.cores[index].crashes, f'vm-{index}/1', running, self.now
            )
        )
        self.spread()
        return found

    def answer(self, index, fingerprint):
        table = self.cores[index].crashes
        crashes.record_answer(table, fingerprint, self.now)
        self.spread()


def _core(me, members):
    others = {item.vm: item for item in members if item is not me}
    return core.Tables(
        identity=identity.Identity(me.vm, 'tw', 'a', 'p', 'c', 'a', 1),
        membership=membership.MembershipTable(me, others),
        dissemination=dissemination.DisseminationTable(),
    )


def fresh(count, tag):
    return [f'fresh-{tag}-{n}' for n in range(count)]


class TestRecognition(testtools.TestCase):
    def test_a_crashing_request_is_refused_everywhere_in_time(self):
        cases = (
            # Innocent requests that run beside it, most crashes.
            (0, 2),
            (5, 2),
            (11, 3),
        )
        for beside, most in cases:
            fleet = Fleet()
            index = 0
            while fleet.refuses(index, POISON) is None:
                fleet.crash(index, [POISON, *fresh(beside, index)])
                index = (index + 1) % 5
            self.assertLessEqual(fleet.crashes, most, beside)
            for index in range(5):
                refusal = fleet.refuses(index, POISON)
                self.assertEqual(errors.Ran.DID_NOT_RUN, refusal.ran)
                self.assertEqual(crashes.RELEASE_S, refusal.retry_after)
                for tag in range(fleet.crashes):
                    for name in fresh(beside, tag):
                        self.assertIsNone(fleet.refuses(index, name))

    def test_one_instance_alone_takes_three_crashes(self):
        fleet = Fleet()
        for _ in range(2):
            fleet.crash(0, [POISON])
            self.assertIsNone(fleet.refuses(0, POISON))
        found = fleet.crash(0, [POISON])
        self.assertIsNotNone(fleet.refuses(0, POISON))
        self.assertIn('request.condemned', [e.event.name for e in found])

    def test_resent_together_the_gate_keeps_suspects_apart(self):
        """The requests beside the first crash are all sent again."""
        herd = [POISON, *fresh(5, 'herd')]
        fleet = Fleet()
        fleet.crash(0, herd)
        waiting = list(herd)
        index = 1
        while waiting:
            running = self.offered(fleet, index, waiting)
            if POISON in running:
                fleet.crash(index, running)
            else:
                for name in running:
                    fleet.answer(index, name)
            waiting = [
                name
                for name in waiting
                if crashes.is_suspect(fleet.cores[index].crashes, name)
                and fleet.refuses(index, name) is None
            ]
            index = 1 + index % 4
        self.assertLessEqual(fleet.crashes, 2)
        self.assertIsNotNone(fleet.refuses(3, POISON))
        for name in herd[1:]:
            self.assertIsNone(fleet.refuses(3, name))

    def offered(self, fleet, index, names):
        table = callbuilders.new_serving_gate(6, queue_limit=9)
        running = []
        for sequence, name in enumerate(names, 1):
            suspect = crashes.is_suspect(fleet.cores[index].crashes, name)
            item = callbuilders.new_attempt(sequence, fingerprint=name)
            if gate.offer(table, item, 0.0, suspect) == calls.Admitted():
                running.append(name)
        return running

    def test_ordinary_crashes_blame_nobody(self):
        rng = random.Random(3)
        fleet = Fleet()
        for number in range(30):
            fleet.now += 1.0
            running = ['popular', *fresh(5, number)]
            index = rng.randrange(5)
            fleet.crash(index, running)
            for name in running:
                self.assertIsNone(fleet.refuses(index, name))
                fleet.answer(rng.randrange(5), name)
                self.assertIsNone(fleet.refuses(index, name))
        for item in fleet.cores:
            self.assertEqual({}, item.crashes.suspects)

    def test_release_is_as_stated_and_longer_each_time(self):
        fleet = Fleet()
        fleet.crash(0, [POISON])
        for term in range(8):
            index = 1 + term % 4
            fleet.crash(index, [POISON])
            refusal = fleet.refuses(3, POISON)
            expected = min(crashes.MAX_RELEASE_S, crashes.RELEASE_S * 2**term)
            self.assertEqual(expected, refusal.retry_after)
            fleet.now += refusal.retry_after
            self.assertIsNone(fleet.refuses(3, POISON))
            table = fleet.cores[3].crashes
            self.assertTrue(crashes.is_suspect(table, POISON))

    def test_old_evidence_is_dropped(self):
        fleet = Fleet()
        fleet.crash(0, [POISON])
        fleet.now += crashes.EVIDENCE_S + 1
        fleet.spread()
        self.assertEqual({}, fleet.cores[0].crashes.suspects)


class TestReports(testtools.TestCase):
    def report(self, fleet, sender='p', **kwargs):
        fields = {
            'fingerprint': POISON,
            'upstream': 'vm-1/1',
            'count': 3,
            'blame_milli': 1000,
        }
        message = messages.CrashReport(**(fields | kwargs))
        received = dispatch.MessageReceived(sender, 1, message)
        list(dispatch.handle(received, fleet.cores[0], fleet.context()))
        return fleet.cores[0].crashes

    def test_what_is_not_believed(self):
        cases = (
            {'upstream': 'stranger/1'},
            {'upstream': 'vm-1/2'},
            {'upstream': ''},
            {'count': -1},
            {'blame_milli': -1},
            {'fingerprint': ''},
            {'fingerprint': 'x' * 500},
        )
        for fields in cases:
            table = self.report(Fleet(), **fields)
            self.assertEqual({}, table.suspects, fields)

    def test_one_upstream_cannot_condemn_by_a_large_number(self):
        table = self.report(Fleet(), count=1, blame_milli=10**9)
        self.assertIsNone(crashes.refusal_for(table, POISON, 0.0))
        self.assertEqual(1000, crashes._blame(table.suspects[POISON]))

    def test_a_request_answered_here_lately_is_not_suspected(self):
        fleet = Fleet()
        fleet.answer(0, POISON)
        table = self.report(fleet)
        self.assertEqual({}, table.suspects)
        sent = list(crashes.run(fleet.cores[0], fleet.context()))
        self.assertEqual(
            [('vm-1:1', 0)], [(item.to, item.message.count) for item in sent]
        )
        fleet.now = crashes.CLEARED_S
        self.assertIn(POISON, self.report(fleet).suspects)

    def test_a_report_cannot_end_a_term(self):
        fleet = Fleet()
        for upstream in ('vm-1/1', 'vm-2/1'):
            self.report(fleet, upstream=upstream)
        self.assertIsNotNone(fleet.refuses(0, POISON))
        self.report(fleet, upstream='', count=0)
        self.assertIsNotNone(fleet.refuses(0, POISON))

    def test_a_late_report_does_not_begin_another_term(self):
        fleet = Fleet()
        for upstream in ('vm-1/1', 'vm-2/1'):
            self.report(fleet, upstream=upstream)
        fleet.now = crashes.RELEASE_S
        self.report(fleet, upstream='vm-3/1', blame_milli=100)
        self.assertIsNone(fleet.refuses(0, POISON))
        self.report(fleet, upstream='vm-4/1', blame_milli=900)
        self.assertIsNotNone(fleet.refuses(0, POISON))

    def test_floods_are_bounded(self):
        fleet = Fleet()
        for number in range(1000):
            table = self.report(fleet, fingerprint=f'f{number}')
        self.assertEqual(crashes.MAX_REPORTS_A_SENDER, len(table.suspects))
        for sender in range(40):
            for number in range(64):
                name = f'{sender}-{number}'
                self.report(fleet, f's{sender}', fingerprint=name)
                count = len(fleet.cores[0].crashes.suspects)
                self.assertLessEqual(count, crashes.MAX_SUSPECTS)
        self.assertEqual(crashes.MAX_SUSPECTS, len(table.suspects))
        sent = list(crashes.run(fleet.cores[0], fleet.context()))
        neighbours = len({effect.to for effect in sent})
        most = neighbours * crashes.MAX_REPORTS_A_TICK
        self.assertTrue(all(isinstance(e, effects.Send) for e in sent))
        self.assertLessEqual(len(sent), most)

    def test_a_report_is_passed_on_once(self):
        fleet = Fleet(12)
        fleet.crash(0, [POISON])
        tables = [item.crashes for item in fleet.cores]
        self.assertTrue(all(POISON in table.suspects for table in tables))
        for _ in range(5):
            self.report(fleet, upstream='vm-0/1', count=1)
        self.assertEqual(0, fleet.spread())

    def test_the_answered_memory_is_bounded(self):
        table = crashes.new_table()
        for number in range(crashes.MAX_ANSWERED + 10):
            crashes.record_answer(table, str(number), 0.0)
        self.assertEqual(crashes.MAX_ANSWERED, len(table.answered_at))


class TestAnyOrder(testtools.TestCase):
    @hypothesis.given(strategies.permutations(range(9)))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_reports_mean_the_same_in_any_order_and_twice(self, order):
        reports = [
            messages.CrashReport(POISON, f'vm-{n % 3 + 1}/1', n // 3, 90 * n)
            for n in range(3, 12)
        ]
        found = []
        for turn in (range(9), [*order, *order]):
            fleet = Fleet()
            for index in turn:
                received = dispatch.MessageReceived('p', 1, reports[index])
                handled = dispatch.handle(
                    received, fleet.cores[0], fleet.context()
                )
                list(handled)
            found.append(fleet.cores[0].crashes.suspects[POISON].evidence)
        self.assertEqual(*found)
