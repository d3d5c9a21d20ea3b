"""Tests of links between failure domains, and of what is passed on by them."""

import asyncio
import collections

import testtools

from jujubefold import messages
from jujubefold.sidecar import enlistment
from jujubefold.sidecar import peering
from jujubefold.sidecar import readers
from jujubefold.sidecar import rowfeed
from tests import sidecars

NEAR = ('a-1', 'a-2', 'a-3')
FAR = tuple(f'b-{number}' for number in range(1, 7))
# Links of a daemon in domain a: to the two others there, and to a few in b.
LINKS = len(NEAR) - 1 + peering.FAR_LINKS


class CountingFeed(rowfeed.MemoryRowFeed):
    """Row feed that counts the calls for each table."""

    def __init__(self):
        super().__init__()
        self.calls = collections.Counter()

    async def read(self, table):
        self.calls[table] += 1
        return await super().read(table)

    async def changes(self, table, after, wait):
        self.calls[table] += 1
        return await super().changes(table, after, wait)


class TestFleet(testtools.TestCase):
    def run_with(self, scenario):
        """Run a scenario with three daemons in domain a and six in b."""

        async def start(fleet):
            fleet.feed = CountingFeed()
            await fleet.start()
            for vm in (*NEAR, *FAR):
                await fleet.add(vm, domain=vm[0])
            await fleet.wait_until_linked(LINKS)
            await scenario(fleet)

        sidecars.run_scenario(start)

    def followers(self, fleet):
        """Return the daemons that follow the members themselves."""
        return [
            vm
            for vm, sidecar in fleet.daemons.items()
            if sidecar._members.running
        ]

    async def wait_until_supplied(self, fleet):
        """Wait until only readers, two in each domain, follow the members."""
        await sidecars.wait_until(lambda: len(self.followers(fleet)) == 4, 8.0)

    def test_daemons_have_few_links_to_other_domains(self):
        async def scenario(fleet):
            await asyncio.sleep(0.3)
            for vm in NEAR:
                self.assertEqual(LINKS, fleet.daemons[vm].fleet.linked_count)

        self.run_with(scenario)

    def test_far_daemon_that_stops_is_replaced(self):
        async def scenario(fleet):
            selected = [
                vm for vm in fleet.daemons['a-1'].fleet._peers if vm in FAR
            ]
            await fleet.daemons[selected[0]].close()
            await sidecars.wait_until(
                lambda: fleet.daemons['a-1'].fleet.linked_count == LINKS, 2.0
            )

        self.run_with(scenario)

    def test_requests_spill_to_another_domain(self):
        async def scenario(fleet):
            for vm in NEAR:
                await fleet.daemons[vm].close()
            await fleet.add('a-4', domain='a', service='routes')
            await sidecars.wait_until(
                lambda: (
                    fleet.daemons['a-4'].fleet.linked_count >= 6
                    and fleet.daemons['a-4'].versions.number
                ),
                3.0,
            )
            response = await fleet.call('a-4', '/read/x')
            self.assertEqual(200, response.status)

        self.run_with(scenario)

    def test_members_are_passed_on_by_readers(self):
        async def scenario(fleet):
            await self.wait_until_supplied(fleet)
            fleet.feed.calls.clear()
            await fleet.add('b-7', domain='b')
            others = [vm for vm in fleet.daemons if vm != 'b-7']
            await sidecars.wait_until(
                lambda: all(
                    'b-7' in fleet.daemons[vm].fleet.roster.members
                    for vm in others
                ),
                6.0,
            )
            await fleet.feed.remove(enlistment.MEMBERS_TABLE, 'b-7')
            await fleet.daemons['b-7'].close()
            await sidecars.wait_until(
                lambda: (
                    not any(
                        'b-7' in fleet.daemons[vm].fleet.roster.members
                        for vm in others
                    )
                ),
                8.0,
            )
            calls = fleet.feed.calls[enlistment.MEMBERS_TABLE]
            # Two changes read by four readers, and what b-7 read itself.
            self.assertLessEqual(calls, 16)

        self.run_with(scenario)

    def test_daemon_that_missed_members_reads_them(self):
        async def scenario(fleet):
            await self.wait_until_supplied(fleet)
            vm = next(vm for vm in FAR if vm not in self.followers(fleet))
            sidecar = fleet.daemons[vm]
            sidecar.fleet.remove_member('a-2')
            # As if it had last read the table before a-2 was enlisted.
            sidecar.fleet.readers.members_version = rowfeed.Cursor(0, 1)
            sidecar._members._watcher._cursor = rowfeed.Cursor(0, 1)
            await sidecars.wait_until(
                lambda: 'a-2' in sidecar.fleet.roster.members,
                2 * readers.MEMBERS_BEHIND_S + 1.0,
            )

        self.run_with(scenario)

    def test_crash_reports_reach_all_daemons(self):
        async def scenario(fleet):
            source = fleet.daemons['b-1']
            table = source.egress.crashes
            report = messages.CrashReport(
                'f' * 32, f'b-1/{source.incarnation}', 1, 1000
            )
            table.outbox['key'] = report
            others = [
                sidecar for vm, sidecar in fleet.daemons.items() if vm != 'b-1'
            ]
            await sidecars.wait_until(
                lambda: all(item.egress.crashes.suspects for item in others),
                1.0,
            )

        self.run_with(scenario)
