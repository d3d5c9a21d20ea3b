"""Tests of an upstream's announcements, in any order, and its departure."""

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold.sidecar import instance

Change = instance.Change
State = instance.State


def announcement(
    id_='i-1', sequence=1, state=State.READY, started_ms=10, slots=6
):
    return instance.Announcement(
        id_, '10.0.0.1:80', 'pickups', slots, state, sequence, started_ms
    )


def table_of(departures_known=True):
    return instance.InstanceTable(departures_known=departures_known)


class TestAnnouncements(testtools.TestCase):
    def test_first_announcement_makes_slots_usable(self):
        table = table_of()
        self.assertEqual(0, instance.usable_slots(table, 0.0, 2.0))
        self.assertIs(
            Change.STARTED,
            instance.handle_announcement(table, announcement(), 0.0),
        )
        self.assertEqual(6, instance.usable_slots(table, 0.0, 2.0))

    def test_late_announcement_is_stale(self):
        table = table_of()
        instance.handle_announcement(table, announcement(sequence=5), 0.0)
        for late in (
            announcement(sequence=4),
            announcement(sequence=5),
            announcement(started_ms=9),
        ):
            self.assertIs(
                Change.STALE,
                instance.handle_announcement(table, late, 1.0),
                late,
            )

    def test_upstreams_with_the_same_start_do_not_alternate(self):
        table = table_of()
        for number in range(1, 4):
            first = announcement('i-1', number, started_ms=0)
            second = announcement('i-2', number, started_ms=0)
            instance.handle_announcement(table, first, float(number))
            self.assertIs(
                Change.STALE,
                instance.handle_announcement(table, second, number + 0.5),
            )
        self.assertEqual('i-1', table.current.id)
        silent_until = 3.0 + instance.REPLACEMENT_SILENCE_S
        self.assertIs(
            Change.STARTED,
            instance.handle_announcement(
                table, announcement('i-2', 9, started_ms=0), silent_until + 0.1
            ),
        )

    def test_restart_under_the_same_id_resets_the_state(self):
        table = table_of()
        instance.handle_announcement(
            table, announcement(sequence=90, slots=6), 0.0
        )
        change = instance.handle_announcement(
            table, announcement(sequence=1, started_ms=11, slots=3), 1.0
        )
        self.assertIs(Change.STARTED, change)
        self.assertEqual(3, instance.usable_slots(table, 1.0, 2.0))

    def test_announcement_of_an_earlier_start_is_stale(self):
        table = table_of()
        instance.handle_announcement(
            table, announcement('i-2', started_ms=20), 0.0
        )
        late = announcement('i-1', sequence=99, started_ms=10)
        self.assertIs(
            Change.STALE, instance.handle_announcement(table, late, 0.1)
        )

    def test_sending_ends_within_the_drain_time(self):
        table = table_of()
        instance.handle_announcement(table, announcement(), 0.0)
        leaving = announcement(sequence=2, state=State.DRAINING)
        self.assertIs(
            Change.LEAVING, instance.handle_announcement(table, leaving, 5.0)
        )
        self.assertEqual(6, instance.usable_slots(table, 5.9, 2.0))
        self.assertEqual(0, instance.usable_slots(table, 6.0, 2.0))

    def test_draining_start_does_not_become_ready_again(self):
        table = table_of()
        instance.handle_announcement(table, announcement(), 0.0)
        instance.handle_announcement(
            table, announcement(sequence=2, state=State.DRAINING), 5.0
        )
        instance.handle_announcement(table, announcement(sequence=3), 5.1)
        self.assertEqual(0, instance.usable_slots(table, 7.1, 2.0))

    def test_draining_in_the_first_announcement_ends_sending(self):
        table = table_of()
        instance.handle_announcement(
            table, announcement(state=State.DRAINING), 5.0
        )
        self.assertEqual(0, instance.usable_slots(table, 5.0, 2.0))

    def test_deregistered_start_does_not_become_ready_again(self):
        table = table_of()
        instance.handle_announcement(table, announcement(), 0.0)
        self.assertIs(
            Change.LEAVING,
            instance.handle_deregistration(table, 'i-1', None, 5.0),
        )
        instance.handle_announcement(table, announcement(sequence=7), 5.2)
        self.assertEqual(0, instance.usable_slots(table, 7.1, 2.0))
        self.assertIs(
            Change.STARTED,
            instance.handle_announcement(
                table, announcement(started_ms=12), 8.0
            ),
        )

    def test_announcement_after_deregistration_is_ignored(self):
        table = table_of()
        instance.handle_deregistration(table, 'i-9', 0, 0.0)
        instance.handle_announcement(
            table, announcement('i-9', started_ms=0), 1.0
        )
        self.assertEqual(0, instance.usable_slots(table, 1.0, 2.0))

    def test_late_deregistration_of_an_earlier_start_is_stale(self):
        table = table_of()
        instance.handle_announcement(table, announcement(started_ms=11), 0.0)
        change = instance.handle_deregistration(table, 'i-1', 10, 1.0)
        self.assertIs(Change.STALE, change)
        self.assertEqual(6, instance.usable_slots(table, 9.0, 2.0))

    def test_deregistration_of_unknown_upstream_is_remembered(self):
        for started_ms in (10, None):
            table = table_of()
            self.assertIs(
                Change.LEFT,
                instance.handle_deregistration(table, 'i-1', started_ms, 0.0),
            )
            instance.handle_announcement(
                table, announcement(started_ms=10), 2.0
            )
            self.assertEqual(0, instance.usable_slots(table, 2.0, 2.0))

    def test_unreachable_upstream_returns_with_its_next_announcement(self):
        table = table_of()
        instance.handle_announcement(table, announcement(), 0.0)
        instance.mark_unreachable(table)
        self.assertEqual(0, instance.usable_slots(table, 0.1, 2.0))
        change = instance.handle_announcement(
            table, announcement(sequence=2), 1.5
        )
        self.assertIs(Change.RENEWED, change)
        self.assertEqual(6, instance.usable_slots(table, 1.5, 2.0))

    def test_warmup_lasts_as_long_as_announced(self):
        table = table_of()
        warming = instance.Announcement(
            'i-1', '10.0.0.1:80', 'pickups', 6, State.READY, 1, 10, 3.0
        )
        instance.handle_announcement(table, warming, 0.0)
        self.assertGreater(instance.warmup_factor(table, 2.9), 1.0)
        self.assertEqual(1.0, instance.warmup_factor(table, 3.1))

    def test_nothing_is_sent_until_departures_are_read(self):
        table = table_of(departures_known=None)
        instance.handle_announcement(table, announcement(), 0.0)
        self.assertEqual(0, instance.usable_slots(table, 0.0, 2.0))
        instance.restore_departures(table, {})
        self.assertEqual(6, instance.usable_slots(table, 0.0, 2.0))

    def test_departure_recorded_by_an_earlier_start_ends_sending(self):
        for earlier in ((), (announcement(),)):
            table = table_of(departures_known=None)
            for item in earlier:
                instance.handle_announcement(table, item, 0.0)
            instance.restore_departures(table, {'i-1': 10})
            instance.handle_announcement(table, announcement(sequence=2), 0.1)
            self.assertEqual(0, instance.usable_slots(table, 0.1, 2.0))
            instance.handle_announcement(
                table, announcement(started_ms=11), 0.2
            )
            self.assertEqual(6, instance.usable_slots(table, 0.2, 2.0))

    def usable_after(self, confirmation, *announced):
        """Return the slots after a start in which departures are unknown.

        Args:
            confirmation: What the upstream said when it was asked, or None.
            announced: Each `Announcement`.
        """
        table = table_of(departures_known=None)
        instance.restore_departures(table, None)
        for item in announced:
            instance.handle_announcement(table, item, 0.0)
            if confirmation is not None:
                instance.confirm(table, item, confirmation)
        return instance.usable_slots(table, 0.0, 2.0)

    def test_unknown_departures_require_a_second_announcement(self):
        once, again = announcement(), announcement(sequence=2)
        unknown = instance.Confirmation.UNKNOWN
        self.assertEqual(0, self.usable_after(unknown, once))
        self.assertEqual(6, self.usable_after(unknown, once, again))

    def test_upstream_is_asked_while_departures_are_unknown(self):
        once, again = announcement(), announcement(sequence=2)
        for confirmation, slots in (
            (None, 0),
            (instance.Confirmation.SERVES, 6),
            (instance.Confirmation.LEAVES, 0),
        ):
            for announced in ((once,), (once, again)):
                self.assertEqual(
                    slots, self.usable_after(confirmation, *announced)
                )

    def test_upstream_that_failed_is_asked_again(self):
        table = table_of(departures_known=None)
        instance.handle_announcement(table, announcement(), 0.0)
        instance.restore_departures(table, None)
        self.assertEqual(instance.Confirmation.PENDING, table.confirmation)
        instance.confirm(table, announcement(), instance.Confirmation.LEAVES)
        instance.handle_announcement(table, announcement(sequence=2), 1.5)
        self.assertEqual(instance.Confirmation.PENDING, table.confirmation)
        # An answer about an earlier start says nothing of this one.
        instance.handle_announcement(table, announcement(started_ms=11), 1.6)
        self.assertFalse(
            instance.confirm(
                table, announcement(), instance.Confirmation.SERVES
            )
        )
        self.assertEqual(0, instance.usable_slots(table, 1.6, 2.0))

    @hypothesis.given(
        strategies.permutations(
            [
                announcement('i-1', 1, started_ms=10),
                announcement('i-1', 2, started_ms=10),
                announcement('i-1', 3, State.DRAINING, started_ms=10),
                announcement('i-1', 1, started_ms=11),
                announcement('i-2', 1, started_ms=12),
                announcement('i-2', 2, State.DRAINING, started_ms=12),
                announcement('i-2', 3, started_ms=12),
            ]
        )
    )
    def test_any_order_ends_at_the_newest_start(self, announcements):
        table = table_of()
        for item in announcements:
            instance.handle_announcement(table, item, 0.0)
        self.assertEqual(
            ('i-2', 12), (table.current.id, table.current.started_ms)
        )
        self.assertEqual(3, table.current.sequence)


class TestNotices(testtools.TestCase):
    def name_limit(self, table, limit, sent_at, now, sent_to=None):
        return instance.handle_limit(
            table, sent_to or table.current, limit, sent_at, now
        )

    def table(self):
        table = table_of()
        instance.handle_announcement(table, announcement(), 0.0)
        return table

    def test_limit_holds_until_a_later_request_is_answered_without(self):
        table = self.table()
        self.assertIs(Change.LIMITED, self.name_limit(table, 9.0, 1.0, 1.1))
        self.assertIs(Change.NOTHING, self.name_limit(table, None, 1.0, 1.2))
        self.assertEqual(9.0, table.limit)
        self.assertIs(Change.LIMITED, self.name_limit(table, None, 1.15, 1.3))
        self.assertIsNone(table.limit)

    def test_restarted_upstream_has_no_limit(self):
        table = self.table()
        former = table.current
        self.name_limit(table, 9.0, 1.0, 1.1)
        instance.handle_announcement(table, announcement(started_ms=11), 2.0)
        self.assertIsNone(table.limit)
        late = self.name_limit(table, 9.0, 1.9, 2.1, sent_to=former)
        self.assertIs(Change.STALE, late)
        self.assertIsNone(table.limit)

    def test_answer_of_an_earlier_start_does_not_end_the_current_one(self):
        table = self.table()
        former = table.current
        instance.handle_announcement(table, announcement(started_ms=11), 2.0)
        late = instance.handle_leaving(table, former, 2.1)
        self.assertIs(Change.STALE, late)
        self.assertEqual(6, instance.usable_slots(table, 9.0, 2.0))

    def test_leaving_upstream_is_used_for_a_part_of_the_drain_time(self):
        table = self.table()
        self.assertIs(
            Change.LEAVING,
            instance.handle_leaving(table, table.current, 1.0),
        )
        again = instance.handle_leaving(table, table.current, 1.5)
        self.assertIs(Change.NOTHING, again)
        self.assertEqual(6, instance.usable_slots(table, 1.9, 2.0))
        self.assertEqual(0, instance.usable_slots(table, 2.0, 2.0))
        instance.handle_announcement(table, announcement(sequence=2), 2.1)
        self.assertEqual(0, instance.usable_slots(table, 2.2, 2.0))
