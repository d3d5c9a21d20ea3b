"""Tests of which daemons a daemon keeps links to."""

import collections

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold.sidecar import peering
from jujubefold.sidecar import roster

DOMAINS = 'abcde'


def member(number, domain='a', service='routes'):
    vm = f'{domain}-{service}-{number}'
    return roster.Member(vm, 1, f'10.0.0.1:{number}', service, 'r', domain)


def fleet_of(routes, pickups, domains=DOMAINS):
    """Return the members of a fleet with as many VMs in each domain."""
    return [
        member(number, domain, service)
        for domain in domains
        for service, count in (('routes', routes), ('pickups', pickups))
        for number in range(count)
    ]


def table_of(local, members):
    table = peering.PeeringTable(local)
    for item in members:
        if item.vm != local.vm:
            peering.add(table, item)
    return table


class TestSelection(testtools.TestCase):
    def test_small_fleet_is_linked_completely(self):
        members = fleet_of(2, 1, 'abc')
        table = table_of(members[0], members)
        far = {item.vm for item in members if item.failure_domain != 'a'}
        self.assertEqual(far, peering.selected(table))

    def test_links_between_domains_do_not_grow_with_the_fleet(self):
        """Plays 195 and 820 daemons; the fleet's links grow linearly."""
        for routes, pickups, domains in (
            (23, 16, 'abcde'),
            (90, 46, 'abcdef'),
        ):
            members = fleet_of(routes, pickups, domains)
            incoming = collections.Counter()
            for local in members[::7]:
                chosen = peering.selected(table_of(local, members))
                expected = 2 * peering.FAR_LINKS * (len(domains) - 1)
                self.assertEqual(expected, len(chosen))
                incoming.update(chosen)
            mean = incoming.total() / len(members)
            self.assertLess(max(incoming.values()), 5 * mean + 5)

    def test_service_without_near_upstreams_gets_more_links(self):
        members = [
            *fleet_of(0, 20, 'a'),
            *(member(number, 'b') for number in range(30)),
        ]
        chosen = peering.selected(table_of(members[0], members))
        self.assertEqual(peering.FAR_LINKS_WITHOUT_NEAR, len(chosen))

    def test_service_that_is_down_near_by_gets_more_links(self):
        members = fleet_of(20, 0, 'ab')
        table = table_of(members[0], members)
        near = [item.vm for item in members if item.failure_domain == 'a']
        table.down.update(near)
        self.assertEqual(
            peering.FAR_LINKS_WITHOUT_NEAR, len(peering.selected(table))
        )

    def test_daemons_that_are_down_are_replaced_until_they_return(self):
        members = fleet_of(10, 0, 'ab')
        table = table_of(members[0], members)
        first = peering.selected(table)
        lost = min(first)
        table.down.add(lost)
        replaced = peering.selected(table)
        self.assertLess(first, replaced)
        self.assertEqual(1, len(replaced - first))
        table.down.discard(lost)
        self.assertEqual(first, peering.selected(table))

    def test_links_are_limited_while_a_domain_is_cut_off(self):
        members = fleet_of(30, 0, 'ab')
        table = table_of(members[0], members)
        table.down.update(
            item.vm for item in members if item.failure_domain == 'b'
        )
        self.assertEqual(peering.FAR_LINKS, len(peering.selected(table)))

    @hypothesis.given(
        strategies.integers(0, 12),
        strategies.integers(0, 12),
        strategies.randoms(use_true_random=False),
    )
    def test_a_change_of_members_moves_at_most_its_own_links(
        self, routes, pickups, rng
    ):
        members = fleet_of(routes, pickups, 'abc')
        local = member(99)
        table = table_of(local, members)
        before = peering.selected(table)
        if not members:
            self.assertEqual(set(), before)
            return
        changed = rng.choice(members)
        if changed.failure_domain == 'a':
            return
        peering.remove(table, changed.vm)
        after = peering.selected(table)
        self.assertLessEqual(before - after, {changed.vm})
        peering.add(table, changed)
        self.assertEqual(before, peering.selected(table))


class TestClosedGates(testtools.TestCase):
    def test_members_with_closed_gates_are_replaced(self):
        # All links to a service could be to the version that closes.
        members = fleet_of(6, 8, 'ab')
        table = table_of(members[0], members)
        before = peering.selected(table)
        table.closed.update(before)
        usable = peering.selected(table) - before
        services = collections.Counter(vm.split('-')[1] for vm in usable)
        self.assertEqual(
            {'routes': 3, 'pickups': 3},
            dict(services),
        )
