"""Tests of how request bodies are fetched from other daemons."""

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold.sidecar import transfer

KIB = 1024


def table_of(window=16 * KIB):
    return transfer.TransferTable(window)


def outstanding(table):
    return sum(
        item.requested - item.received for item in table.transfers.values()
    )


def receive_all(table, parts, order=None):
    """Receive parts, and those requested then; return them by key."""
    received = {}
    parts = list(parts)
    while parts:
        part = parts.pop(0)
        if transfer.record_part(table, part.key, part.offset, part.size, 0.0):
            received.setdefault(part.key, []).append((part.offset, part.size))
        parts.extend(transfer.next_parts(table, 0.0))
    return received


class TestTransfers(testtools.TestCase):
    def test_window_covers_a_moment_of_the_link(self):
        for capacity, expected in (
            (0.0, transfer.MAX_WINDOW_BYTES),
            (3.5, transfer.MIN_WINDOW_BYTES),
            (70.0, 175_000),
            (1000.0, transfer.MAX_WINDOW_BYTES),
        ):
            self.assertEqual(expected, transfer.window_bytes(capacity))

    def test_bodies_are_fetched_one_after_the_other(self):
        table = table_of()
        transfer.start(table, 'a', 20 * KIB)
        transfer.start(table, 'b', 20 * KIB)
        first = list(transfer.next_parts(table, 0.0))
        self.assertEqual(
            [('a', 0, 8 * KIB), ('a', 8 * KIB, 8 * KIB)],
            [(part.key, part.offset, part.size) for part in first],
        )
        received = receive_all(table, first)
        self.assertEqual(20 * KIB, sum(size for _, size in received['a']))
        self.assertEqual(20 * KIB, sum(size for _, size in received['b']))
        self.assertEqual({}, table.transfers)

    def test_sender_that_is_not_connected_holds_up_nobody(self):
        table = table_of()
        transfer.start(table, 'a', 20 * KIB)
        lost = list(transfer.next_parts(table, 0.0))
        transfer.start(table, 'b', 8 * KIB)
        self.assertEqual([], list(transfer.next_parts(table, 0.0)))
        transfer.suspend(table, 'a')
        self.assertEqual(
            ['b'], [part.key for part in transfer.next_parts(table, 0.0)]
        )
        transfer.record_part(table, 'b', 0, 8 * KIB, 0.0)
        transfer.resume(table, 'a')
        again = list(transfer.next_parts(table, 0.0))
        self.assertEqual(lost, again)

    def test_sender_that_sends_nothing_holds_up_nobody(self):
        table = table_of()
        transfer.start(table, 'a', 20 * KIB)
        list(transfer.next_parts(table, 1.0))
        transfer.start(table, 'b', 8 * KIB)
        for now, expected in (
            (1.0 + transfer.STALL_S - 0.1, []),
            (1.0 + transfer.STALL_S + 0.1, ['b']),
        ):
            transfer.suspend_stalled(table, now)
            parts = transfer.next_parts(table, now)
            self.assertEqual(expected, [part.key for part in parts])
        # A part that was only late resumes its body.
        self.assertTrue(transfer.record_part(table, 'a', 0, 8 * KIB, 2.0))
        transfer.record_part(table, 'b', 0, 8 * KIB, 2.0)
        parts = transfer.next_parts(table, 2.0)
        self.assertEqual(['a', 'a'], [part.key for part in parts])

    def test_parts_of_an_earlier_connection_are_ignored(self):
        table = table_of()
        transfer.start(table, 'a', 20 * KIB)
        list(transfer.next_parts(table, 0.0))
        self.assertTrue(transfer.record_part(table, 'a', 0, 8 * KIB, 0.0))
        for offset, size in ((0, 8 * KIB), (16 * KIB, 4 * KIB), (8 * KIB, 0)):
            self.assertFalse(
                transfer.record_part(table, 'a', offset, size, 0.0)
            )
        self.assertFalse(
            transfer.record_part(table, 'a', 8 * KIB, 13 * KIB, 0.0)
        )
        self.assertFalse(transfer.record_part(table, 'b', 0, 1, 0.0))

    def test_memory_is_limited_except_for_a_single_body(self):
        table = table_of()
        self.assertTrue(
            transfer.has_memory(table, 2 * transfer.MAX_FETCHED_BYTES)
        )
        transfer.start(table, 'a', transfer.MAX_FETCHED_BYTES)
        self.assertFalse(transfer.has_memory(table, 1))
        transfer.stop(table, 'a')
        self.assertTrue(transfer.has_memory(table, 1))

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 300 * KIB), max_size=6),
        strategies.integers(4 * KIB, 64 * KIB),
        strategies.randoms(use_true_random=False),
    )
    def test_every_body_arrives_whole_within_the_window(
        self, sizes, window, rng
    ):
        table = table_of(window)
        received = dict.fromkeys(range(len(sizes)), 0)
        for key, size in enumerate(sizes):
            transfer.start(table, key, size)
        in_transit = list(transfer.next_parts(table, 0.0))
        while in_transit:
            self.assertLessEqual(outstanding(table), window)
            if rng.random() < 0.1:
                key = rng.randrange(len(sizes))
                in_transit = [part for part in in_transit if part.key != key]
                transfer.suspend(table, key)
                transfer.resume(table, key)
            elif in_transit:
                part = in_transit.pop(0)
                if transfer.record_part(
                    table, part.key, part.offset, part.size, 0.0
                ):
                    received[part.key] += part.size
            in_transit.extend(transfer.next_parts(table, 0.0))
        self.assertEqual(dict(enumerate(sizes)), received)


class TestBacklog(testtools.TestCase):
    def test_backlog_is_the_time_that_missing_parts_need(self):
        table = transfer.new_table(capacity=8.0)
        transfer.start(table, 'a', 500_000)
        self.assertAlmostEqual(0.5, transfer.backlog_seconds(table))
        list(transfer.next_parts(table, 0.0))
        transfer.record_part(table, 'a', 0, 8 * 1000, 0.0)
        self.assertAlmostEqual(0.492, transfer.backlog_seconds(table))
        self.assertAlmostEqual(0.992, transfer.backlog_seconds(table, 500_000))
        transfer.suspend(table, 'a')
        self.assertAlmostEqual(0.5, transfer.backlog_seconds(table, 500_000))


class TestBodies(testtools.TestCase):
    def test_remote_body_is_fetched_once(self):
        fetched = []
        body = transfer.RemoteBody(5, lambda: fetched.append(1), lambda: 0.25)
        self.assertEqual(0.25, body.fetch_seconds)
        body.fetch()
        body.fetch()
        self.assertEqual([1], fetched)
        body.add(b'abc')
        self.assertFalse(body.complete)
        body.add(b'de')
        self.assertTrue(body.complete)
        self.assertEqual(b'abcde', body.data)
        self.assertEqual(0.0, body.fetch_seconds)
