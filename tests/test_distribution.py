"""Tests of how versions are distributed, and of their compression."""

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold.sidecar import distribution

BODY = b''.join(b'["r-%d","h","/p%d/",0.8]' % (n, n) for n in range(2000))


def nodes(count, large=()):
    return [
        distribution.Node(f'vm-{number:02}', 100.0 if number in large else 5.0)
        for number in range(count)
    ]


class TestReaders(testtools.TestCase):
    def test_daemons_with_the_largest_links_are_readers(self):
        found = distribution.readers(nodes(9, large=(4, 7)))
        self.assertEqual({'vm-04', 'vm-07'}, set(found))

    def test_every_other_daemon_is_recipient_of_one_reader(self):
        for count in (1, 2, 3, 8, 26):
            fleet = nodes(count)
            readers = distribution.readers(fleet)
            recipients = [
                vm
                for item in readers
                for vm in distribution.recipients(item, fleet)
            ]
            others = {item.vm for item in fleet} - set(readers)
            self.assertEqual(sorted(others), sorted(recipients), count)

    def test_daemon_that_is_no_reader_has_no_recipients(self):
        fleet = nodes(9)
        other = next(
            item.vm
            for item in fleet
            if item.vm not in distribution.readers(fleet)
        )
        self.assertEqual((), distribution.recipients(other, fleet))

    def hops(self, count, silent=()):
        """Return after how many hops an announcement has reached each VM.

        Args:
            count: Number of VMs; the first one announces a version.
            silent: VMs that pass nothing on although they are linked.
        """
        names = [f'vm-{number:03}' for number in range(count)]
        reached = {names[0]: 0}
        pending = [names[0]]
        for vm in pending:
            if vm in silent:
                continue
            for successor in distribution.successors(
                vm, set(names) - {vm}, ()
            ):
                if successor not in reached:
                    reached[successor] = reached[vm] + 1
                    pending.append(successor)
        return reached

    def test_successors_connect_all_daemons(self):
        for count in range(1, 60):
            self.assertEqual(count, len(self.hops(count)))

    def test_announcement_reaches_a_large_domain_in_few_hops(self):
        # Each hop may meet a daemon that is busy for some tenths of a second.
        for count, most in ((8, 3), (26, 6), (39, 7), (137, 15)):
            self.assertLessEqual(max(self.hops(count).values()), most, count)

    def test_three_frozen_neighbours_cut_nobody_off(self):
        for count in (8, 26, 39):
            for first in range(1, count - 3):
                silent = {
                    f'vm-{number:03}' for number in range(first, first + 3)
                }
                self.assertEqual(count, len(self.hops(count, silent)))


class TestCompression(testtools.TestCase):
    def test_small_change_compresses_to_few_bytes(self):
        changed = BODY.replace(b'"/p700/"', b'"/other/"')
        compressed = distribution.compress(changed, BODY)
        self.assertLess(len(compressed), 300)
        self.assertEqual(changed, distribution.decompress(compressed, BODY))

    @hypothesis.given(strategies.binary(), strategies.binary())
    def test_any_document_is_restored(self, body, base):
        compressed = distribution.compress(body, base)
        self.assertEqual(body, distribution.decompress(compressed, base))

    def test_damaged_data_is_an_error(self):
        for data in (b'', b'nonsense', distribution.compress(BODY)[:-10]):
            with testtools.ExpectedException(ValueError):
                distribution.decompress(data)
