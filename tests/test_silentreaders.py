"""Tests of versions whose readers lose the store without notice."""

import asyncio

import testtools

from tests import sidecars

# Seconds after its acknowledgement within which a version is in force on all
# daemons that can be reached.
APPLY_S = 2.0
NEAR = tuple(f'a-{number:02}' for number in range(1, 13))
FAR = ('b-1', 'b-2', 'c-1', 'c-2')


class TestSilentReaders(testtools.TestCase):
    def run_with(self, scenario):
        """Run a scenario with domain a, whose readers are a-01 and a-02."""

        async def start(fleet):
            feeds = {vm: sidecars.SilenceableFeed(fleet.feed) for vm in NEAR}
            for vm in (*NEAR, *FAR):
                await fleet.add(vm, domain=vm[0], feed=feeds.get(vm))
            await fleet.wait_until_linked(len(NEAR) - 1 + len(FAR) // 2)
            await sidecars.wait_until(
                lambda: self.followers(fleet) == ['a-01', 'a-02', *FAR], 5.0
            )
            await scenario(fleet, feeds)

        sidecars.run_scenario(start)

    def followers(self, fleet):
        """Return the daemons that follow the versions themselves."""
        return [
            vm
            for vm, sidecar in fleet.daemons.items()
            if sidecar._configurations.running
        ]

    async def wait_until_in_force(self, fleet, number):
        others = [fleet.daemons[vm] for vm in NEAR[2:]]
        await sidecars.wait_until(
            lambda: all(item.versions.number == number for item in others),
            APPLY_S,
        )

    def test_version_is_in_force_in_time_while_its_readers_hear_nothing(self):
        async def scenario(fleet, feeds):
            feeds['a-01'].silent = feeds['a-02'].silent = True
            for number in (2, 3):
                await fleet.configure(sidecars.document(number))
                await self.wait_until_in_force(fleet, number)

        self.run_with(scenario)

    def test_silent_store_is_noticed_however_often_versions_are_late(self):
        async def scenario(fleet, feeds):
            feeds['a-01'].silent = True
            loop = asyncio.get_running_loop()
            deadline = loop.time() + 2 * sidecars.STORE_TIMEOUT_S
            while 'store.lost' not in fleet.events('a-01'):
                self.assertLess(loop.time(), deadline)
                fleet.daemons['a-01'].fleet.version_exchange.on_feed_late()
                await asyncio.sleep(sidecars.STORE_TIMEOUT_S / 2)

        self.run_with(scenario)
