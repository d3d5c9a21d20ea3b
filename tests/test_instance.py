"""Tests of what an upstream says of itself, in any order."""

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold.sidecar import instance

Change = instance.Change
State = instance.State


def said(name='i-1', sequence=1, state=State.READY, born=10, slots=6):
    return instance.Announcement(
        name, '10.0.0.1:80', 'pickups', slots, state, sequence, born
    )


def table_of(recalled=True):
    return instance.InstanceTable(departures_known=recalled)


class TestAnnouncements(testtools.TestCase):
    def test_a_start_opens_its_slots(self):
        table = table_of()
        self.assertEqual(0, instance.usable_slots(table, 0.0, 2.0))
        self.assertIs(
            Change.STARTED, instance.handle_announcement(table, said(), 0.0)
        )
        self.assertEqual(6, instance.usable_slots(table, 0.0, 2.0))

    def test_late_words_change_nothing(self):
        table = table_of()
        instance.handle_announcement(table, said(sequence=5), 0.0)
        for late in (said(sequence=4), said(sequence=5), said(born=9)):
            self.assertIs(
                Change.STALE,
                instance.handle_announcement(table, late, 1.0),
                late,
            )

    def test_a_start_under_the_same_id_begins_anew(self):
        table = table_of()
        instance.handle_announcement(table, said(sequence=90, slots=6), 0.0)
        change = instance.handle_announcement(
            table, said(sequence=1, born=11, slots=3), 1.0
        )
        self.assertIs(Change.STARTED, change)
        self.assertEqual(3, instance.usable_slots(table, 1.0, 2.0))

    def test_an_older_start_at_the_address_is_not_believed(self):
        table = table_of()
        instance.handle_announcement(table, said('i-2', born=20), 0.0)
        late = said('i-1', sequence=99, born=10)
        self.assertIs(
            Change.STALE, instance.handle_announcement(table, late, 0.1)
        )

    def test_sending_ends_well_within_the_drain(self):
        table = table_of()
        instance.handle_announcement(table, said(), 0.0)
        leaving = said(sequence=2, state=State.DRAINING)
        self.assertIs(
            Change.LEAVING, instance.handle_announcement(table, leaving, 5.0)
        )
        self.assertEqual(6, instance.usable_slots(table, 5.9, 2.0))
        self.assertEqual(0, instance.usable_slots(table, 6.0, 2.0))

    def test_a_drain_is_not_taken_back_by_the_same_start(self):
        table = table_of()
        instance.handle_announcement(table, said(), 0.0)
        instance.handle_announcement(
            table, said(sequence=2, state=State.DRAINING), 5.0
        )
        instance.handle_announcement(table, said(sequence=3), 5.1)
        self.assertEqual(0, instance.usable_slots(table, 7.1, 2.0))

    def test_first_heard_of_as_leaving_gets_nothing(self):
        table = table_of()
        instance.handle_announcement(table, said(state=State.DRAINING), 5.0)
        self.assertEqual(0, instance.usable_slots(table, 5.0, 2.0))

    def test_one_that_left_without_draining_is_not_believed_back(self):
        table = table_of()
        instance.handle_announcement(table, said(), 0.0)
        self.assertIs(
            Change.LEAVING,
            instance.handle_deregistration(table, 'i-1', None, 5.0),
        )
        instance.handle_announcement(table, said(sequence=7), 5.2)
        self.assertEqual(0, instance.usable_slots(table, 7.1, 2.0))
        self.assertIs(
            Change.STARTED,
            instance.handle_announcement(table, said(born=12), 8.0),
        )

    def test_one_unknown_that_left_is_remembered(self):
        table = table_of()
        instance.handle_deregistration(table, 'i-9', 0, 0.0)
        instance.handle_announcement(table, said('i-9', born=0), 1.0)
        self.assertEqual(0, instance.usable_slots(table, 1.0, 2.0))

    def test_a_late_last_word_of_an_earlier_start_ends_nothing(self):
        table = table_of()
        instance.handle_announcement(table, said(born=11), 0.0)
        change = instance.handle_deregistration(table, 'i-1', 10, 1.0)
        self.assertIs(Change.STALE, change)
        self.assertEqual(6, instance.usable_slots(table, 9.0, 2.0))

    def test_a_last_word_binds_though_its_upstream_is_not_known(self):
        for born in (10, None):
            table = table_of()
            self.assertIs(
                Change.LEFT,
                instance.handle_deregistration(table, 'i-1', born, 0.0),
            )
            instance.handle_announcement(table, said(born=10), 2.0)
            self.assertEqual(0, instance.usable_slots(table, 2.0, 2.0))

    def test_one_found_gone_is_back_with_its_next_word(self):
        table = table_of()
        instance.handle_announcement(table, said(), 0.0)
        instance.mark_unreachable(table)
        self.assertEqual(0, instance.usable_slots(table, 0.1, 2.0))
        change = instance.handle_announcement(table, said(sequence=2), 1.5)
        self.assertIs(Change.RENEWED, change)
        self.assertEqual(6, instance.usable_slots(table, 1.5, 2.0))

    def test_warming_slows_it_for_as_long_as_it_says(self):
        table = table_of()
        cold = instance.Announcement(
            'i-1', '10.0.0.1:80', 'pickups', 6, State.READY, 1, 10, 3.0
        )
        instance.handle_announcement(table, cold, 0.0)
        self.assertGreater(instance.warmup_factor(table, 2.9), 1.0)
        self.assertEqual(1.0, instance.warmup_factor(table, 3.1))

    def test_nothing_is_sent_before_departures_are_known(self):
        table = table_of(recalled=None)
        instance.handle_announcement(table, said(), 0.0)
        self.assertEqual(0, instance.usable_slots(table, 0.0, 2.0))
        instance.restore_departures(table, {})
        self.assertEqual(6, instance.usable_slots(table, 0.0, 2.0))

    def test_one_that_an_earlier_start_let_go_gets_nothing(self):
        for words in ((), (said(),)):
            table = table_of(recalled=None)
            for word in words:
                instance.handle_announcement(table, word, 0.0)
            instance.restore_departures(table, {'i-1': 10})
            instance.handle_announcement(table, said(sequence=2), 0.1)
            self.assertEqual(0, instance.usable_slots(table, 0.1, 2.0))
            instance.handle_announcement(table, said(born=11), 0.2)
            self.assertEqual(6, instance.usable_slots(table, 0.2, 2.0))

    def test_unknown_departures_ask_for_a_second_word(self):
        table = table_of(recalled=None)
        instance.restore_departures(table, None)
        instance.handle_announcement(table, said(), 0.0)
        self.assertEqual(0, instance.usable_slots(table, 0.0, 2.0))
        instance.handle_announcement(table, said(sequence=2), 1.5)
        self.assertEqual(6, instance.usable_slots(table, 1.5, 2.0))

    @hypothesis.given(
        strategies.permutations(
            [
                said('i-1', 1, born=10),
                said('i-1', 2, born=10),
                said('i-1', 3, State.DRAINING, born=10),
                said('i-1', 1, born=11),
                said('i-2', 1, born=12),
                said('i-2', 2, State.DRAINING, born=12),
                said('i-2', 3, born=12),
            ]
        )
    )
    def test_any_order_ends_at_the_newest_start(self, words):
        table = table_of()
        for word in words:
            instance.handle_announcement(table, word, 0.0)
        self.assertEqual(
            ('i-2', 12), (table.current.id, table.current.started_ms)
        )
        self.assertEqual(3, table.current.sequence)
