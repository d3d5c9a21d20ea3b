"""Tests of what a gate knows of the offers of other daemons."""

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold.sidecar import receivedoffers

PEER = ('vm-2', 7)
NUMBERS = strategies.integers(1, 30)


def entry(deadline=0.0, finished_at=0.0, result='result'):
    return receivedoffers.ReceivedOffer(
        None, deadline=deadline, finished_at=finished_at, result=result
    )


class TestOfferTable(testtools.TestCase):
    def new_table(self, *numbers):
        """Return a table with offers of one sender."""
        table = receivedoffers.OfferTable()
        receivedoffers.greet(table, PEER, ())
        for number in numbers:
            receivedoffers.add(table, (*PEER, number), entry())
        return table

    @hypothesis.given(strategies.sets(NUMBERS), strategies.sets(NUMBERS))
    def test_what_was_received_is_never_called_not_received(self, sent, gone):
        """Guards against a drop that makes a request seem not to have run."""
        table = self.new_table(*sorted(sent))
        for number in gone:
            receivedoffers.remove(table, (*PEER, number))
        for number in sent:
            found = receivedoffers.find(table, (*PEER, number))
            self.assertIsNot(receivedoffers.Missing.NOT_RECEIVED, found)

    def test_offers_above_the_newest_were_not_received(self):
        table = self.new_table(3, 5)
        self.assertEqual(
            ['forgotten', 'not-received'],
            [receivedoffers.find(table, (*PEER, item)) for item in (4, 6)],
        )

    def test_number_is_added_once(self):
        table = self.new_table(3)
        self.assertFalse(receivedoffers.add(table, (*PEER, 3), entry()))

    def test_starts_of_a_daemon_are_told_apart(self):
        table = self.new_table(3)
        later = ('vm-2', 8)
        receivedoffers.greet(table, later, ())
        self.assertEqual(
            receivedoffers.Missing.NOT_RECEIVED,
            receivedoffers.find(table, (*later, 3)),
        )

    def test_senders_are_bounded_and_dropped_ones_are_in_doubt(self):
        table = self.new_table(3)
        for number in range(receivedoffers.MAX_SENDERS):
            receivedoffers.greet(table, (f'vm-{number}', 1), ())
        self.assertEqual(receivedoffers.MAX_SENDERS, len(table.senders))
        dropped = ('vm-0', 1)
        self.assertNotIn(dropped, table.senders)
        self.assertIn(PEER, table.senders)
        receivedoffers.greet(table, dropped, (9,))
        self.assertEqual(
            receivedoffers.Missing.FORGOTTEN,
            receivedoffers.find(table, (*dropped, 9)),
        )
        self.assertTrue(
            receivedoffers.add(table, ('vm-1', 1, 2), entry()),
        )

    def test_results_expire_after_their_deadline_and_end(self):
        table = receivedoffers.OfferTable()
        kept = receivedoffers.RESULT_RETENTION_S
        for number, item in enumerate(
            (entry(5.0, 1.0), entry(1.0, 5.0), entry(1.0, 1.0), entry(1.0)), 1
        ):
            receivedoffers.add(table, (*PEER, number), item)
        table.senders[PEER].offers[4].result = None
        for now, expected in (
            (1.1 + kept, [3]),
            (4.9 + kept, [3]),
            (5.1 + kept, [1, 2, 3]),
        ):
            self.assertEqual(
                expected,
                [key[-1] for key in receivedoffers.expired(table, now)],
            )
