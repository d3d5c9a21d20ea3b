"""Tests of what follows from the state of a rollout, as tables of cases."""

import random

import testtools

from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutstates

SERVICE = 'pickups'
NOW = 1000.0
FIRST = rollout.OrderId(1, 5)
SECOND = rollout.OrderId(1, 9)
Phase = rollout.Phase
NEW = rolloutstates.NEW
STABLE = rolloutstates.STABLE
Fallback = rolloutstates.Fallback


def order(id_=FIRST, to='v2'):
    return rollout.Order(id_, SERVICE, to, 20.0)


def record(phase, share=0.0, id_=FIRST, to='v2', step=1, **fields):
    return rollout.Record(
        id_, to, 0.0, 20.0, phase, share, step=step, **fields
    )


def state(phase=None, share=0.0, withdrawn=False, **fields):
    """Return the state of the first order, with a record if it has a phase."""
    found = None if phase is None else record(phase, share, **fields)
    return rollout.State(SERVICE, None if withdrawn else order(), found)


def table_of(*states, age=0.0):
    """Return a table that was told some states, one after the other."""
    table = rolloutstates.StateTable(orders_read=True, complete=True)
    for item in states:
        rolloutstates.record_state(table, item, age, NOW, random.Random(1))
    return table


def admission(table, version, vm='vm-1'):
    """Return track and openness of a gate."""
    found = rolloutstates.admission(table, SERVICE, version, vm, NOW)
    return found.track, found.is_open


class TestAdmission(testtools.TestCase):
    def test_gates_follow_the_phase(self):
        # A gate that is open in the wrong phase runs requests on a version
        # that no order allows; a closed one refuses what it should run.
        canary = state(Phase.CANARY, 0.05, canaries=('vm-1',))
        excluded = state(Phase.SHIFTING, 0.5, excluded=('vm-1',))
        open_, shut = True, False
        for name, told, age, old, new in (
            ('no order', (), 0, (STABLE, open_), (STABLE, open_)),
            ('no record', (state(),), 0, (STABLE, open_), (NEW, shut)),
            ('canary', (canary,), 0, (STABLE, open_), (NEW, open_)),
            ('canary expired', (canary,), 6, (STABLE, open_), (NEW, shut)),
            (
                'another canary',
                (state(Phase.CANARY, 0.05, canaries=('vm-9',)),),
                0,
                (STABLE, open_),
                (NEW, shut),
            ),
            (
                'shifting',
                (state(Phase.SHIFTING, 0.5),),
                0,
                (STABLE, open_),
                (NEW, open_),
            ),
            (
                'shifting, just valid',
                (state(Phase.SHIFTING, 0.5),),
                5,
                (STABLE, open_),
                (NEW, open_),
            ),
            ('excluded', (excluded,), 0, (STABLE, open_), (NEW, shut)),
            (
                'closing',
                (state(Phase.CLOSING, 1.0),),
                0,
                (STABLE, shut),
                (NEW, open_),
            ),
            (
                'closing is not given up',
                (state(Phase.CLOSING, 1.0),),
                60,
                (STABLE, shut),
                (NEW, open_),
            ),
            (
                'completed',
                (state(Phase.COMPLETED, 1.0),),
                60,
                (STABLE, shut),
                (STABLE, open_),
            ),
            (
                'completed, order deleted',
                (state(Phase.COMPLETED, 1.0, withdrawn=True),),
                60,
                (STABLE, shut),
                (STABLE, open_),
            ),
            (
                'rolled back',
                (state(Phase.ROLLED_BACK),),
                60,
                (STABLE, open_),
                (NEW, shut),
            ),
            (
                'withdrawn before a step',
                (state(), rolloutstates.withdrawn(state())),
                0,
                (STABLE, open_),
                (NEW, shut),
            ),
            (
                'withdrawn while closing',
                (state(Phase.CLOSING, 1.0, withdrawn=True),),
                0,
                (STABLE, open_),
                (NEW, shut),
            ),
        ):
            table = table_of(*told, age=age)
            self.assertEqual(old, admission(table, 'v1'), name)
            self.assertEqual(new, admission(table, 'v2'), name)

    def test_nothing_is_admitted_before_the_orders_are_known(self):
        # A daemon that starts would run a version that was rolled back.
        table = rolloutstates.StateTable()
        self.assertFalse(admission(table, 'v1')[1])
        self.assertFalse(rolloutstates.note_completeness(table, SERVICE))
        table.orders_read = True
        rolloutstates.record_state(table, state(), 0.0, NOW, random.Random(1))
        self.assertFalse(rolloutstates.note_completeness(table, SERVICE))
        former = rollout.State(SERVICE, order(rollout.OrderId(1, 2)))
        rolloutstates.confirm(table, former)
        self.assertFalse(rolloutstates.note_completeness(table, SERVICE))
        rolloutstates.confirm(table, state())
        self.assertTrue(rolloutstates.note_completeness(table, SERVICE))
        self.assertTrue(admission(table, 'v1')[1])

    def test_former_orders_are_remembered(self):
        # A version that was rolled back served as an old one of the next
        # order, and one that was replaced came back.
        following = rollout.State(SERVICE, order(SECOND, 'v3'))
        for ended, expected in (
            (Phase.ROLLED_BACK, {'v1': True, 'v2': False, 'v3': False}),
            (Phase.SHIFTING, {'v1': True, 'v2': False, 'v3': False}),
            (Phase.COMPLETED, {'v1': False, 'v2': True, 'v3': False}),
        ):
            table = table_of(state(ended, 0.5), following)
            found = {
                version: admission(table, version)[1] for version in expected
            }
            self.assertEqual(expected, found, ended)
        # The record of the former order says as much to a new daemon.
        table = table_of(
            rollout.State(
                SERVICE, order(SECOND, 'v3'), record(Phase.COMPLETED, 1.0)
            )
        )
        self.assertEqual((STABLE, False), admission(table, 'v1'))
        self.assertEqual((STABLE, True), admission(table, 'v2'))

    def test_a_version_that_serves_stays_open_when_ordered_again(self):
        # A store that returned from a copy names its order anew.
        again = rollout.State(SERVICE, order(rollout.OrderId(2, 5)))
        table = table_of(state(Phase.COMPLETED, 1.0), again)
        self.assertEqual((STABLE, True), admission(table, 'v2'))
        self.assertEqual((STABLE, False), admission(table, 'v1'))

    def test_a_malformed_order_closes_no_gate(self):
        # Its record names no version, as do upstreams that report none.
        table = table_of(
            rollout.State(
                SERVICE, None, record(Phase.ROLLED_BACK, to='', id_=FIRST)
            )
        )
        self.assertEqual((STABLE, True), admission(table, ''))
        self.assertEqual((STABLE, True), admission(table, 'v1'))


class TestNewerStates(testtools.TestCase):
    def test_older_states_are_ignored(self):
        # Messages come late and twice; each would renew or undo a step.
        known = state(Phase.SHIFTING, 0.5, step=4)
        second = rollout.State(SERVICE, order(SECOND, 'v3'))
        for told, is_new in (
            (known, False),
            (state(Phase.CANARY, 0.1, step=3), False),
            (state(), False),
            (state(Phase.SHIFTING, 0.5, step=5), True),
            (state(Phase.SHIFTING, 0.5, step=4, withdrawn=True), True),
            (second, True),
        ):
            table = table_of(known)
            found = rolloutstates.record_state(
                table, told, 0.0, NOW + 3, random.Random(1)
            )
            self.assertEqual(is_new, found, told)
            expected = NOW + 3 if is_new else NOW
            entry = table.entries[SERVICE]
            self.assertEqual(expected, entry.renewed_at, told)


class TestChoice(testtools.TestCase):
    def test_share_is_drawn_evenly(self):
        # Bursts of requests to the new version exceed its exposure.
        for share in (0.05, 0.1, 0.3, 0.5, 1.0):
            table = table_of(state(Phase.SHIFTING, share))
            drawn = [
                rolloutstates.choose_track(table, SERVICE, NOW).track
                for _ in range(200)
            ]
            for start in range(0, 160, 40):
                found = sum(drawn[start : start + 40])
                self.assertLessEqual(abs(found - 40 * share), 1.0, share)

    def test_fallback_follows_the_phase(self):
        # Beyond its share no request may go to the new version, and while
        # the old one closes none may be lost.
        old = rolloutstates.Preference(STABLE)
        for told, age, first, next_ in (
            ((), 0, old, old),
            ((state(),), 0, old, old),
            (
                (state(Phase.SHIFTING, 1.0),),
                0,
                rolloutstates.Preference(NEW, Fallback.NO_ROOM),
                rolloutstates.Preference(STABLE, Fallback.NONE_OPEN),
            ),
            ((state(Phase.SHIFTING, 0.5),), 6, old, old),
            (
                (state(Phase.CLOSING, 1.0),),
                60,
                rolloutstates.Preference(NEW, Fallback.NONE_OPEN),
                rolloutstates.Preference(NEW, Fallback.NONE_OPEN),
            ),
            (
                (state(Phase.COMPLETED, 1.0),),
                60,
                rolloutstates.Preference(STABLE, Fallback.NONE_OPEN),
                rolloutstates.Preference(STABLE, Fallback.NONE_OPEN),
            ),
            ((state(Phase.ROLLED_BACK),), 0, old, old),
            ((state(Phase.SHIFTING, 1.0, withdrawn=True),), 0, old, old),
        ):
            table = table_of(*told, age=age)
            self.assertEqual(
                first, rolloutstates.choose_track(table, SERVICE, NOW), told
            )
            self.assertEqual(
                next_, rolloutstates.redirect(table, SERVICE), told
            )
