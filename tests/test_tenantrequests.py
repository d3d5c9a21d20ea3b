"""Tests of requests with keys through several sidecars."""

import asyncio
import json

import testtools

from tests import sidecars

KEY = 'k-7Qx'
BAD_KEY = 'k-bad'
ROUTES = (
    sidecars.route('own', '/own/', priority=1),
    sidecars.route('open', '/open/', public=True),
    sidecars.route('file', '/file/', 'download', max_attempts=3),
)
TENANTS = (sidecars.tenant('acme', KEY, priority=7),)


async def start(fleet, version=2):
    """Start a daemon without an upstream of the service, and one with it."""
    await fleet.configure(sidecars.document(version, ROUTES, tenants=TENANTS))
    await fleet.add('vm-1', service='routes')
    await fleet.add('vm-2')
    await fleet.wait_until_linked()


async def call(fleet, target, key=None, **headers):
    """Send a request with a key, or without one."""
    if key is not None:
        headers['Authorization'] = f'Token {key}'
    return await fleet.call('vm-1', target, **headers)


class TestKeys(testtools.TestCase):
    def test_upstreams_see_the_tenant_and_never_the_key(self):
        async def scenario(fleet):
            await start(fleet)
            for target, key, tenant in (
                ('/own/x', KEY, 'acme'),
                ('/open/x', KEY, None),
                ('/open/x', BAD_KEY, None),
                ('/open/x', None, None),
            ):
                response = await call(
                    fleet, target, key, **{'X-Tenant': 'forged'}
                )
                self.assertEqual(200, response.status, (target, key))
                headers = fleet.upstreams['vm-2'].requests[-1].headers
                self.assertEqual(tenant, headers.get('x-tenant'), target)
                self.assertNotIn('authorization', headers)

        sidecars.run_scenario(scenario)

    def test_wrong_keys_are_refused_and_nothing_runs(self):
        async def scenario(fleet):
            await start(fleet)
            for key in (None, BAD_KEY, '', KEY + ' x'):
                response = await call(fleet, '/own/x', key)
                self.assertEqual(401, response.status)
                self.assertEqual('token', response.headers['www-authenticate'])
                self.assertNotIn('retry-after', response.headers)
                problem = json.loads(response.body)
                self.assertEqual('unauthenticated', problem['reason'])
                self.assertEqual('did-not-run', problem['outcome'])
            self.assertEqual([], fleet.upstreams['vm-2'].requests)

        sidecars.run_scenario(scenario)

    def test_headers_are_passed_on_without_tenants(self):
        # Upstreams of such fleets may check keys themselves.
        async def scenario(fleet):
            await fleet.add('vm-1')
            await fleet.wait_until_linked()
            await call(fleet, '/read/x', KEY, **{'X-Tenant': 'mine'})
            headers = fleet.upstreams['vm-1'].requests[0].headers
            self.assertEqual(f'token {KEY}'.lower(), headers['authorization'])
            self.assertEqual('mine', headers['x-tenant'])

        sidecars.run_scenario(scenario)

    def test_keys_are_in_no_log_line_and_no_metric(self):
        async def scenario(fleet):
            await start(fleet)
            for key in (KEY, BAD_KEY):
                await call(fleet, '/own/x', key)
                await call(fleet, '/open/x', key)
            twice = [*TENANTS, sidecars.tenant('other', KEY)]
            await fleet.configure(sidecars.document(3, ROUTES, tenants=twice))
            await sidecars.wait_until(
                lambda: 'version.invalid' in fleet.events('vm-1'), 3.0
            )
            for vm, sidecar in fleet.daemons.items():
                address = sidecar.options.listen.metrics
                metrics = await sidecars.request(
                    address, 'GET', '/metrics', {'Host': 'x'}
                )
                text = repr(fleet.event_logs[vm].records) + repr(metrics.body)
                for key in (KEY, BAD_KEY):
                    self.assertNotIn(key, text)
            fields = [
                fields
                for event, fields in fleet.event_logs['vm-1'].records
                if event == 'call.ended'
            ]
            self.assertEqual(
                ['acme', None, None], [item.get('tenant') for item in fields]
            )

        sidecars.run_scenario(scenario)

    def test_priority_of_the_tenant_goes_before_the_route(self):
        async def scenario(fleet):
            await start(fleet)
            upstream = fleet.upstreams['vm-2']
            answer = upstream.handler
            release = asyncio.Event()

            async def held(request, writer):
                await release.wait()
                await answer(request, writer)

            upstream.handler = held
            running = [
                asyncio.ensure_future(call(fleet, target, KEY))
                for target in ('/own/x', '/open/x')
            ]
            await sidecars.wait_until(lambda: len(upstream.requests) == 2, 2.0)
            ranks = {
                item.attempt.route: item.attempt.rank
                for item in fleet.daemons['vm-1'].ingress._tasks.values()
            }
            release.set()
            await asyncio.gather(*running)
            self.assertEqual({'own': 7, 'open': 0}, ranks)

        sidecars.run_scenario(scenario)

    def test_downloads_are_retried(self):
        async def scenario(fleet):
            await start(fleet)
            await fleet.add('vm-3')
            await fleet.wait_until_linked()
            failed = []

            async def cut(request, writer):
                failed.append(request)
                sidecars.reset_connection(writer)

            for vm in ('vm-2', 'vm-3'):
                upstream = fleet.upstreams[vm]
                upstream.handler = lambda request, writer, own=upstream: (
                    own.answer(request, writer)
                    if failed
                    else cut(request, writer)
                )
            response = await call(fleet, '/file/x', KEY)
            self.assertEqual((200, 1), (response.status, len(failed)))

        sidecars.run_scenario(scenario)
