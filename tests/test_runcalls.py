"""Tests of calls that running requests make, through two sidecars."""

import testtools

from tests import sidecars

ROUTES = (
    sidecars.route('parent', '/read/', priority=2),
    sidecars.route('called', '/called/', service='routes', priority=0),
)


class TestCalls(testtools.TestCase):
    """Guard against calls that are queued behind new parents."""

    def test_calls_of_a_running_request_are_recognised(self):
        found = []

        async def scenario(fleet):
            await fleet.configure(sidecars.document(2, ROUTES))
            await fleet.add('vm-1')
            await fleet.add('vm-2', service='routes')
            await fleet.wait_until_linked()
            table = fleet.daemons['vm-2'].egress.slot_table
            callee, caller = fleet.upstreams['vm-2'], fleet.upstreams['vm-1']

            async def record(request, writer):
                for run in table.running.values():
                    found.append((run.request.call, run.request.rank))
                await callee.answer(request, writer)

            async def call(request, writer):
                for name in (f'{request.id}.1', f'x{request.id}.1'):
                    await fleet.call(
                        'vm-1', '/called/x', **{'X-Request-Id': name}
                    )
                await caller.answer(request, writer)

            callee.handler, caller.handler = record, call
            response = await fleet.call('vm-1', '/read/x')
            self.assertEqual(200, response.status)
            demand = fleet.daemons['vm-1'].egress.demand
            self.assertEqual({}, demand.runs)
            self.assertEqual({'routes': 1.0}, demand.routes['parent'].calls)

        sidecars.run_scenario(scenario)
        # The call has the rank of its parent; the other one that of its route.
        self.assertEqual([(True, 2), (False, 0)], found)
