"""Tests of removed keys in a fleet with strict revocation."""

import asyncio
import json
import pathlib
import time

import testtools

from jujubefold.sidecar import options
from tests import sidecars
from tests import test_options

REVOKE_S = 2.0
ROUTES = (
    sidecars.route('own', '/own/'),
    sidecars.route('open', '/open/', public=True),
)
TEMPLATE = pathlib.Path(__file__).parents[1] / 'deploy/settings.toml.in'


def configured(number, *keys):
    """Return a configuration with one tenant that has these keys."""
    return sidecars.document(
        number, ROUTES, tenants=[sidecars.tenant('acme', *keys)]
    )


async def call(fleet, vm, key, target='/own/x'):
    """Send a request with a key; return the status and the reason."""
    response = await fleet.call(vm, target, Authorization=f'Token {key}')
    reason = ''
    if response.status != 200:
        reason = json.loads(response.body)['reason']
    return response.status, reason


async def start(fleet, feeds, revoke=REVOKE_S):
    """Start daemons that each have a feed, and wait until they serve keys."""
    fleet.tenants = options.Tenants(True, revoke)
    await fleet.configure(configured(2, 'kept', 'removed'))
    for vm, feed in feeds.items():
        await fleet.add(vm, feed=feed)
    await fleet.wait_until_linked()
    for sidecar in fleet.daemons.values():
        await sidecars.wait_until(sidecar.ingress.keys_confirmed, 3.0)


class TestRevocation(testtools.TestCase):
    def test_a_daemon_that_is_cut_off_refuses_in_time(self):
        async def scenario(fleet):
            feeds = {
                vm: sidecars.SilenceableFeed(fleet.feed)
                for vm in ('vm-1', 'vm-2', 'vm-3')
            }
            await start(fleet, feeds)
            # No connection to other daemons, no answer of the store.
            feeds['vm-3'].silent = True
            fleet.daemons['vm-3'].fleet.close()
            await fleet.configure(configured(3, 'kept'))
            acknowledged = time.monotonic()
            while time.monotonic() < acknowledged + REVOKE_S + 1.0:
                for vm in feeds:
                    sent = time.monotonic()
                    status, _ = await call(fleet, vm, 'removed')
                    if sent > acknowledged + REVOKE_S:
                        self.assertIn(status, (401, 503), vm)
                for vm in ('vm-1', 'vm-2'):
                    self.assertEqual(200, (await call(fleet, vm, 'kept'))[0])
                await asyncio.sleep(0.05)
            for key in ('kept', 'removed', 'unknown'):
                self.assertEqual(
                    (503, 'unconfirmed'), await call(fleet, 'vm-3', key)
                )
                expected = 200 if key == 'kept' else 401
                self.assertEqual(
                    expected, (await call(fleet, 'vm-1', key))[0], key
                )
            self.assertEqual(
                200, (await call(fleet, 'vm-3', '', '/open/x'))[0]
            )
            self.assertIn('keys.unconfirmed', fleet.events('vm-3'))
            # It serves keys again, and the new ones, when the store answers.
            feeds['vm-3'].silent = False
            await sidecars.wait_until(
                fleet.daemons['vm-3'].ingress.keys_confirmed, 4.0
            )
            self.assertEqual(200, (await call(fleet, 'vm-3', 'kept'))[0])
            self.assertEqual(401, (await call(fleet, 'vm-3', 'removed'))[0])

        sidecars.run_scenario(scenario)

    def test_a_daemon_that_restarts_without_the_store_asks_a_reader(self):
        async def scenario(fleet):
            vms = ('vm-1', 'vm-2', 'vm-3')
            await start(fleet, dict.fromkeys(vms, fleet.feed))
            before = fleet.daemons['vm-3']
            await before.close()
            sidecar = await fleet.restart(
                'vm-3', before.options, sidecars.unavailable_feed()
            )
            await fleet.announce('vm-3')
            await sidecars.wait_until(sidecar.ingress.keys_confirmed, 3.0)
            self.assertEqual(200, (await call(fleet, 'vm-3', 'kept'))[0])

        sidecars.run_scenario(scenario)

    def test_healthy_daemons_refuse_no_key_while_versions_change(self):
        async def scenario(fleet):
            vms = [f'vm-{number}' for number in range(5)]
            # The setting of the platform.
            await start(fleet, dict.fromkeys(vms, fleet.feed), 5.0)
            for number in range(3, 9):
                await fleet.configure(configured(number, 'kept', str(number)))
                for _ in range(4):
                    for vm in vms:
                        self.assertEqual(
                            (200, ''), await call(fleet, vm, 'kept')
                        )
                    await asyncio.sleep(0.1)

        sidecars.run_scenario(scenario)


class TestSettings(testtools.TestCase):
    def test_strict_revocation_is_off_without_its_section(self):
        found = test_options.TestOptions('load').load(test_options.VALID).ok
        self.assertFalse(found.tenants.strict_revoke)

    def test_the_section_of_the_template_is_read(self):
        # The template names settings that the model must know.
        text = TEMPLATE.read_text()
        start, end = (
            '{{#bounds.strict_revoke}}',
            '{{/bounds.strict_revoke}}',
        )
        section = text.partition(start)[2].partition(end)[0]
        self.assertTrue(section.strip())
        section = section.replace('{{bounds.strict_revoke|json}}', 'true')
        section = section.replace('{{bounds.revoke_s}}', '5')
        found = test_options.TestOptions('load').load(
            test_options.VALID + section
        )
        self.assertEqual(options.Tenants(True, 5.0), found.ok.tenants)
