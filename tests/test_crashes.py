"""Tests of detecting requests that crash upstreams."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import calls
from jujubefold import core
from jujubefold import crashes
from jujubefold import crashexchange
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
    """Daemon cores whose crash reports are delivered without delay."""

    def __init__(self, size=5):
        members = [callbuilders.new_member(f'vm-{n}') for n in range(size)]
        self.now = 0.0
        self.cores = [_core(local, members) for local in members]
        self.crashes = 0

    def context(self):
        return dispatch.Context(self.now, self.now, random.Random(1))

    def deliver_all(self, rounds=10):
        """Deliver reports until none is sent; return how many were sent."""
        sent_count = 0
        for _ in range(rounds):
            sent = [
                (item.membership.local.peer_address, effect)
                for item in self.cores
                for effect in crashexchange.run(item, self.context())
            ]
            sent_count += len(sent)
            for sender, effect in sent:
                self.deliver(sender, effect)
        return sent_count

    def deliver(self, sender, effect):
        for item in self.cores:
            if item.membership.local.peer_address == effect.to:
                received = dispatch.MessageReceived(sender, 1, effect.message)
                list(dispatch.handle(received, item, self.context()))

    def refusal(self, index, fingerprint):
        table = self.cores[index].crashes
        return crashes.refusal_for(table, fingerprint, self.now)

    def crash(self, index, running):
        self.crashes += 1
        emitted = list(
            crashes.record_crash(
                self.cores[index].crashes, f'vm-{index}/1', running, self.now
            )
        )
        self.deliver_all()
        return emitted

    def answer(self, index, fingerprint):
        table = self.cores[index].crashes
        crashes.record_answer(table, fingerprint, self.now)
        self.deliver_all()


def _core(local, members):
    others = {item.vm: item for item in members if item is not local}
    return core.Tables(
        identity=identity.Identity(local.vm, 'tw', 'a', 'p', 'c', 'a', 1),
        membership=membership.MembershipTable(local, others),
        dissemination=dissemination.DisseminationTable(),
    )


def new_requests(count, tag):
    return [f'new-{tag}-{n}' for n in range(count)]


class TestDetection(testtools.TestCase):
    def test_a_crashing_request_is_refused_by_all_after_few_crashes(self):
        cases = (
            # Harmless requests that run at the same time, maximum crashes.
            (0, 2),
            (5, 2),
            (11, 3),
        )
        for harmless, max_crashes in cases:
            fleet = Fleet()
            index = 0
            while fleet.refusal(index, POISON) is None:
                fleet.crash(index, [POISON, *new_requests(harmless, index)])
                index = (index + 1) % 5
            self.assertLessEqual(fleet.crashes, max_crashes, harmless)
            for index in range(5):
                refusal = fleet.refusal(index, POISON)
                self.assertEqual(errors.Outcome.DID_NOT_RUN, refusal.ran)
                self.assertEqual(crashes.BLOCK_S, refusal.retry_after)
                for tag in range(fleet.crashes):
                    for name in new_requests(harmless, tag):
                        self.assertIsNone(fleet.refusal(index, name))

    def test_three_crashes_at_one_upstream_block_a_request(self):
        fleet = Fleet()
        for _ in range(2):
            fleet.crash(0, [POISON])
            self.assertIsNone(fleet.refusal(0, POISON))
        emitted = fleet.crash(0, [POISON])
        self.assertIsNotNone(fleet.refusal(0, POISON))
        self.assertIn('request.condemned', [event.name for event in emitted])

    def test_suspects_resent_together_run_one_at_a_time(self):
        """Callers resend all requests that ran during the first crash.

        If they ran together again, each further crash would blame the
        harmless ones too.
        """
        requests = [POISON, *new_requests(5, 'resent')]
        fleet = Fleet()
        fleet.crash(0, requests)
        waiting = list(requests)
        index = 1
        while waiting:
            running = self.run_at_gate(fleet, index, waiting)
            if POISON in running:
                fleet.crash(index, running)
            else:
                for name in running:
                    fleet.answer(index, name)
            waiting = [
                name
                for name in waiting
                if crashes.is_suspect(fleet.cores[index].crashes, name)
                and fleet.refusal(index, name) is None
            ]
            index = 1 + index % 4
        self.assertLessEqual(fleet.crashes, 2)
        self.assertIsNotNone(fleet.refusal(3, POISON))
        for name in requests[1:]:
            self.assertIsNone(fleet.refusal(3, name))

    def run_at_gate(self, fleet, index, names):
        table = callbuilders.new_serving_gate(6, queue_limit=9)
        running = []
        for sequence, name in enumerate(names, 1):
            suspect = crashes.is_suspect(fleet.cores[index].crashes, name)
            item = callbuilders.new_attempt(sequence, fingerprint=name)
            if gate.offer(table, item, 0.0, suspect) == calls.Admitted():
                running.append(name)
        return running

    def test_unrelated_crashes_block_no_request(self):
        rng = random.Random(3)
        fleet = Fleet()
        for number in range(30):
            fleet.now += 1.0
            running = ['popular', *new_requests(5, number)]
            index = rng.randrange(5)
            fleet.crash(index, running)
            for name in running:
                self.assertIsNone(fleet.refusal(index, name))
                fleet.answer(rng.randrange(5), name)
                self.assertIsNone(fleet.refusal(index, name))
        for item in fleet.cores:
            self.assertEqual({}, item.crashes.suspects)

    def test_blocks_last_as_stated_and_double_each_time(self):
        fleet = Fleet()
        fleet.crash(0, [POISON])
        for block in range(8):
            index = 1 + block % 4
            fleet.crash(index, [POISON])
            refusal = fleet.refusal(3, POISON)
            expected = min(crashes.MAX_BLOCK_S, crashes.BLOCK_S * 2**block)
            self.assertEqual(expected, refusal.retry_after)
            fleet.now += refusal.retry_after
            self.assertIsNone(fleet.refusal(3, POISON))
            table = fleet.cores[3].crashes
            self.assertTrue(crashes.is_suspect(table, POISON))

    def test_old_evidence_is_dropped(self):
        fleet = Fleet()
        fleet.crash(0, [POISON])
        fleet.now += crashes.EVIDENCE_TTL_S + 1
        fleet.deliver_all()
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

    def test_invalid_reports_are_ignored(self):
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

    def test_one_large_report_cannot_block_a_request(self):
        table = self.report(Fleet(), count=1, blame_milli=10**9)
        self.assertIsNone(crashes.refusal_for(table, POISON, 0.0))
        self.assertEqual(1000, crashes._total_blame(table.suspects[POISON]))

    def test_reports_on_a_recently_answered_request_are_ignored(self):
        fleet = Fleet()
        fleet.answer(0, POISON)
        table = self.report(fleet)
        self.assertEqual({}, table.suspects)
        sent = list(crashexchange.run(fleet.cores[0], fleet.context()))
        self.assertEqual(
            [('vm-1:1', 0)], [(item.to, item.message.count) for item in sent]
        )
        fleet.now = crashes.CLEARANCE_TTL_S
        self.assertIn(POISON, self.report(fleet).suspects)

    def test_a_clearance_does_not_end_a_block(self):
        fleet = Fleet()
        for upstream in ('vm-1/1', 'vm-2/1'):
            self.report(fleet, upstream=upstream)
        self.assertIsNotNone(fleet.refusal(0, POISON))
        self.report(fleet, upstream='', count=0)
        self.assertIsNotNone(fleet.refusal(0, POISON))

    def test_a_late_report_does_not_start_another_block(self):
        fleet = Fleet()
        for upstream in ('vm-1/1', 'vm-2/1'):
            self.report(fleet, upstream=upstream)
        fleet.now = crashes.BLOCK_S
        self.report(fleet, upstream='vm-3/1', blame_milli=100)
        self.assertIsNone(fleet.refusal(0, POISON))
        self.report(fleet, upstream='vm-4/1', blame_milli=900)
        self.assertIsNotNone(fleet.refusal(0, POISON))

    def test_reports_and_suspects_are_bounded(self):
        fleet = Fleet()
        for number in range(1000):
            table = self.report(fleet, fingerprint=f'f{number}')
        self.assertEqual(crashes.MAX_REPORTS_PER_SENDER, len(table.suspects))
        for sender in range(40):
            for number in range(64):
                name = f'{sender}-{number}'
                self.report(fleet, f's{sender}', fingerprint=name)
                count = len(fleet.cores[0].crashes.suspects)
                self.assertLessEqual(count, crashes.MAX_SUSPECTS)
        self.assertEqual(crashes.MAX_SUSPECTS, len(table.suspects))
        sent = list(crashexchange.run(fleet.cores[0], fleet.context()))
        neighbours = len({effect.to for effect in sent})
        max_sent = neighbours * crashes.MAX_REPORTS_PER_TICK
        self.assertTrue(all(isinstance(e, effects.Send) for e in sent))
        self.assertLessEqual(len(sent), max_sent)

    def test_a_report_is_forwarded_once(self):
        fleet = Fleet(12)
        fleet.crash(0, [POISON])
        tables = [item.crashes for item in fleet.cores]
        self.assertTrue(all(POISON in table.suspects for table in tables))
        for _ in range(5):
            self.report(fleet, upstream='vm-0/1', count=1)
        self.assertEqual(0, fleet.deliver_all())

    def test_recorded_answers_are_bounded(self):
        table = crashes.new_table()
        for number in range(crashes.MAX_ANSWERED + 10):
            crashes.record_answer(table, str(number), 0.0)
        self.assertEqual(crashes.MAX_ANSWERED, len(table.answered_at))


class TestReportOrder(testtools.TestCase):
    @hypothesis.given(strategies.permutations(range(9)))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_reports_merge_alike_in_any_order_and_twice(self, order):
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
