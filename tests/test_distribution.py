"""Tests of who reads versions and who tells whom."""

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold.sidecar import distribution

BODY = b''.join(b'["r-%d","h","/p%d/",0.8]' % (n, n) for n in range(2000))


def places(count, large=()):
    return [
        distribution.Node(f'vm-{number:02}', 100.0 if number in large else 5.0)
        for number in range(count)
    ]


class TestReaders(testtools.TestCase):
    def test_the_largest_links_read(self):
        found = distribution.readers(places(9, large=(4, 7)))
        self.assertEqual({'vm-04', 'vm-07'}, set(found))

    def test_every_other_daemon_is_told_by_one_reader(self):
        for count in (1, 2, 3, 8, 26):
            fleet = places(count)
            reading = distribution.readers(fleet)
            told = [
                vm
                for item in reading
                for vm in distribution.recipients(item, fleet)
            ]
            others = {item.vm for item in fleet} - set(reading)
            self.assertEqual(sorted(others), sorted(told), count)

    def test_who_does_not_read_tells_no_part(self):
        fleet = places(9)
        other = next(
            item.vm
            for item in fleet
            if item.vm not in distribution.readers(fleet)
        )
        self.assertEqual((), distribution.recipients(other, fleet))

    def test_successors_reach_everyone(self):
        names = [f'vm-{number:02}' for number in range(30)]
        reached = {names[0]}
        while True:
            more = reached.union(
                *(
                    distribution.successors(vm, set(names) - {vm}, ())
                    for vm in reached
                )
            )
            if more == reached:
                break
            reached = more
        self.assertEqual(set(names), reached)


class TestPacking(testtools.TestCase):
    def test_a_small_change_is_small(self):
        changed = BODY.replace(b'"/p700/"', b'"/other/"')
        packed = distribution.compress(changed, BODY)
        self.assertLess(len(packed), 300)
        self.assertEqual(changed, distribution.decompress(packed, BODY))

    @hypothesis.given(strategies.binary(), strategies.binary())
    def test_any_document_survives(self, body, base):
        packed = distribution.compress(body, base)
        self.assertEqual(body, distribution.decompress(packed, base))

    def test_what_makes_no_sense_is_an_error(self):
        for data in (b'', b'nonsense', distribution.compress(BODY)[:-10]):
            with testtools.ExpectedException(ValueError):
                distribution.decompress(data)
