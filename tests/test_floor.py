"""Tests of the floor of a restarted daemon, from store and witnesses."""

from unittest import mock

import testtools

from jujubefold import floor
from jujubefold import messages
from jujubefold import settings
from tests import cores

COUNT = 8
VERSION_MESSAGES = (
    messages.Announce,
    messages.Push,
    messages.Chain,
    messages.Snapshot,
)


def options(witnesses):
    return settings.Dissemination(
        witnesses=witnesses, start_jitter=0.5, settle=1.0
    )


def converged_fleet(witnesses):
    """Return a fleet in which version 1 is in force."""
    fleet = cores.Fleet(COUNT, options(witnesses), domains=4)
    fleet.run(2.0)
    fleet.submit_patch(0)
    fleet.run(5.0)
    assert fleet.converged()
    return fleet


def drop_version_messages(source, target, item):
    return isinstance(item, VERSION_MESSAGES)


def accept_on_one_daemon(fleet):
    """Put version 2 in force at daemon 0 only, then stop the store."""
    fleet.drop = drop_version_messages
    assert fleet.submit_patch(0).is_ok()
    fleet.store_up = False
    fleet.run(3.0)


def witness_indexes(fleet, index):
    """Return the VM indexes of a daemon's witnesses."""
    table = fleet.core(index).membership
    found = floor.witnesses(table, 3, table.members.values())
    return [int(member.vm.split('-')[1]) for member in found]


def restart(fleet, index):
    fleet.kill(index)
    fleet.start(index)


class TestFloor(testtools.TestCase):
    def test_store_provides_the_floor(self):
        for count in (0, 3):
            fleet = converged_fleet(count)
            restart(fleet, 0)
            self.assertTrue(fleet.run_until(fleet.converged, 10.0))

    def test_without_witnesses_a_restart_waits_for_the_store(self):
        fleet = converged_fleet(0)
        accept_on_one_daemon(fleet)
        self.assertEqual(2, fleet.core(0).dissemination.in_force)
        restart(fleet, 0)
        fleet.drop = lambda *given: False
        fleet.run(60.0)
        table = fleet.core(0).dissemination
        self.assertEqual((0, 1), (table.in_force, table.number))
        fleet.store_up = True
        self.assertTrue(fleet.run_until(fleet.converged, 30.0))
        self.assertEqual([], fleet.regressed())

    def test_witnesses_provide_the_floor_while_the_store_is_down(self):
        fleet = converged_fleet(3)
        fleet.store_up = False
        for index in (0, 5):
            restart(fleet, index)
        self.assertTrue(fleet.run_until(fleet.converged, 20.0))

    def test_witnesses_prevent_a_rollback_after_a_restart(self):
        fleet = converged_fleet(3)
        accept_on_one_daemon(fleet)
        self.assertEqual(2, fleet.core(0).dissemination.in_force)
        restart(fleet, 0)
        fleet.run(30.0)
        table = fleet.core(0).dissemination
        self.assertEqual((2, 0), (table.floors.floor, table.in_force))
        self.assertEqual(2, table.wanted)
        fleet.drop = lambda *given: False
        fleet.store_up = True
        self.assertTrue(fleet.run_until(fleet.converged, 30.0))
        self.assertEqual([], fleet.regressed())

    def test_witness_that_lost_its_notes_does_not_count(self):
        fleet = converged_fleet(3)
        accept_on_one_daemon(fleet)
        for index in witness_indexes(fleet, 0)[:2]:
            restart(fleet, index)
        restart(fleet, 0)
        fleet.run(30.0)
        self.assertIsNone(fleet.core(0).dissemination.floors.floor)
        with mock.patch.object(floor, '_needed_answers', lambda count: 1):
            fleet.run(5.0)
            # With one answer sufficient, the remaining witness sets the floor.
            known = fleet.core(0).dissemination.floors.floor
        self.assertIsNotNone(known)

    def test_witness_that_lost_its_notes_reports_the_head(self):
        fleet = converged_fleet(3)
        accept_on_one_daemon(fleet)
        found = witness_indexes(fleet, 0)
        fleet.kill(0)
        fleet.store_up = True
        for index in found:
            restart(fleet, index)
        fleet.run(3.0)
        fleet.store_up = False
        fleet.start(0)
        fleet.run(10.0)
        self.assertEqual(2, fleet.core(0).dissemination.floors.floor)

    def test_without_a_quorum_a_version_is_not_in_force(self):
        fleet = converged_fleet(3)
        lost = [
            cores.member(n).peer_address for n in witness_indexes(fleet, 0)
        ]
        fleet.cut = lambda one, other: one in lost[:2] or other in lost[:2]
        fleet.submit_patch(0)
        fleet.run(10.0)
        table = fleet.core(0).dissemination
        self.assertEqual((1, 2), (table.in_force, table.number))
        fleet.cut = lambda one, other: False
        self.assertTrue(fleet.run_until(fleet.converged, 10.0))

    def test_restarted_witness_is_asked_again(self):
        fleet = converged_fleet(3)
        first = witness_indexes(fleet, 0)[0]
        restart(fleet, first)
        fleet.run(10.0)
        notes = fleet.core(first).dissemination.floors.notes
        self.assertEqual(1, notes[cores.member(0).peer_address])

    def test_witnesses_are_in_other_failure_domains_and_stable(self):
        fleet = cores.Fleet(24, options(3), domains=4)
        before = {index: witness_indexes(fleet, index) for index in range(24)}
        for index, found in before.items():
            self.assertNotIn(index % 4, [each % 4 for each in found])
        table = fleet.core(0).membership
        gone = before[0][0]
        del table.members[f'vm-{gone}']
        after = witness_indexes(fleet, 0)
        self.assertEqual(before[0][1:], after[:2])

    def test_noted_number_never_decreases(self):
        fleet = converged_fleet(3)
        address = 'peer:1'
        table = fleet.core(0)
        for number in (5, 3, 5, 4):
            note = messages.Note(address, 1, number, '')
            fleet.receive(0, address, note)
        self.assertEqual(5, table.dissemination.floors.notes[address])
