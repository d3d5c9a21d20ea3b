"""Tests of whole rollouts: sidecars, their controllers and two versions."""

import asyncio
import json
import random

import testtools

from jujubefold.sidecar import options
from tests import rolloutcontrol
from tests import sidecars

OLD = ('vm-1', 'vm-2', 'vm-3')
NEW = ('vm-4', 'vm-5', 'vm-6')
DURATION_S = 10.0
RATE = 120.0
ANSWER_S = 0.01


class TestWholeRollouts(testtools.TestCase):
    """Rollouts decided by the real controllers, under load."""

    def run_rollout(self, new_handler, check, slack=50.0, disturb=None):
        """Order a version with load on all VMs, and check the result.

        Args:
            new_handler: Called with an upstream; returns its handler.
            check: Coroutine function called with the fleet, the state that
                the platform is told, the statuses of all requests, and the
                requests to the new version until that state.
            slack: The `options.Rollouts.exposure_slack`.
            disturb: Coroutine function called with the fleet meanwhile.
        """

        async def scenario(fleet):
            fleet.rollouts = options.Rollouts(0.1, slack, 5.0)
            for index, vm in enumerate(OLD):
                await fleet.add(vm, domain='ab'[index % 2])
                fleet.upstreams[vm].handler = answering(fleet.upstreams[vm])
            await fleet.wait_until_linked()
            load = asyncio.create_task(self.keep_calling(fleet))
            await asyncio.sleep(1.0)
            operator = rolloutcontrol.Operator(fleet)
            await operator.order(DURATION_S)
            for index, vm in enumerate(NEW):
                await fleet.add(vm, domain='ab'[index % 2], version='v2')
                fleet.upstreams[vm].handler = new_handler(fleet.upstreams[vm])
            if disturb is not None:
                await disturb(fleet)
            state = await self.final_state(fleet)
            ended_new = count(fleet, NEW)
            if state == 'completed':
                for vm in OLD:
                    await fleet.upstreams[vm].stop()
            await asyncio.sleep(1.0)
            load.cancel()
            statuses = await asyncio.gather(*self.calls)
            await check(fleet, state, statuses, ended_new)

        sidecars.run_scenario(scenario)

    async def keep_calling(self, fleet):
        """Send requests at a steady rate from callers on the old VMs."""
        rng = random.Random(1)
        self.callers = list(OLD)
        self.calls = []
        while True:
            self.calls.append(asyncio.create_task(self.call(fleet, rng)))
            await asyncio.sleep(1 / RATE)

    async def call(self, fleet, rng):
        """Send one request; return its status."""
        try:
            response = await fleet.call(rng.choice(self.callers), '/read/x')
        except (OSError, EOFError):
            # Its VM's daemon was closed.
            return 0
        return response.status

    async def final_state(self, fleet):
        """Return the state that the platform is told, within the time."""
        for _ in range(int(DURATION_S * 10)):
            row = await fleet.feed.get('status', 'rollout/pickups')
            if row.ok.rows:
                state = json.loads(row.ok.rows[0].value)['state']
                if state != 'running':
                    return state
            await asyncio.sleep(0.1)
        return 'late'

    def test_good_version_completes_in_time_and_loses_nothing(self):
        # Reports, states or gates did not work together with the controller.
        async def check(fleet, state, statuses, ended_new):
            self.assertEqual('completed', state)
            self.assertEqual({200}, set(statuses))
            self.assertGreater(count(fleet, NEW), ended_new)
            pages = [item._render_metrics() for item in fleet.daemons.values()]
            step = b'jujubefold_rollout_steps_total{phase="completed"} 1'
            self.assertEqual(1, sum(step in page for page in pages))

        # With more slack, since the exposure is not what is tested here.
        self.run_rollout(answering, check, slack=1000.0)

    def test_rollout_goes_on_when_its_controller_is_lost(self):
        # No other daemon took over, or one repeated a step.
        lost = []

        async def close_controller(fleet):
            await sidecars.wait_until(lambda: steps(fleet), 5.0)
            await asyncio.sleep(1.5)
            (vm,) = {vm for vm, _ in steps(fleet)}
            lost.append(vm)
            self.callers = [item for item in OLD if item != vm]
            await fleet.daemons[vm].close()

        async def check(fleet, state, statuses, ended_new):
            self.assertEqual('completed', state)
            found = [step for _, step in steps(fleet)]
            self.assertEqual(sorted(set(found)), sorted(found))
            self.assertEqual(2, len({vm for vm, _ in steps(fleet)}))

        self.run_rollout(
            answering, check, slack=1000.0, disturb=close_controller
        )

    def test_daemons_that_start_own_no_record(self):
        # Each follows the store until it hears of the readers. One wrote the
        # first record, stopped, and the rollout waited 2 s for its lease.
        async def check(fleet, state, statuses, ended_new):
            owners = {vm for vm, _ in steps(fleet)}
            self.assertEqual(set(), owners - set(OLD))

        self.run_rollout(failing_half, check)

    def test_deleted_order_is_rolled_back_at_once(self):
        # The version stayed in use, and its order could not be stopped.
        async def delete_order(fleet):
            await sidecars.wait_until(lambda: count(fleet, NEW), 8.0)
            await fleet.feed.remove('op', 'rollout/pickups')

        async def check(fleet, state, statuses, ended_new):
            self.assertEqual('rolled_back', state)
            self.assertEqual({200}, set(statuses))
            self.assertEqual(ended_new, count(fleet, NEW))

        self.run_rollout(answering, check, disturb=delete_order)

    def test_bad_version_is_rolled_back_within_the_exposure(self):
        # Half of the answers fail; the version got more than was allowed.
        async def check(fleet, state, statuses, ended_new):
            self.assertEqual('rolled_back', state)
            self.assertLessEqual(ended_new, 0.1 * len(statuses) + 50)
            self.assertEqual(ended_new, count(fleet, NEW))

        self.run_rollout(failing_half, check)


def count(fleet, vms):
    """Return how many requests the upstreams of some VMs received."""
    return sum(len(fleet.upstreams[vm].requests) for vm in vms)


def steps(fleet):
    """Return VM and number of each step that a controller logged."""
    return [
        (vm, fields['step'])
        for vm, log in fleet.event_logs.items()
        for event, fields in log.records
        if event == 'rollout.step'
    ]


def answering(upstream):
    """Return a handler that takes some time."""

    async def answer(request, writer):
        await asyncio.sleep(ANSWER_S)
        await upstream.answer(request, writer)

    return answer


def failing_half(upstream):
    """Return a handler that fails each second request."""

    async def answer(request, writer):
        await asyncio.sleep(ANSWER_S)
        status = '500 Fault' if len(upstream.requests) % 2 else '200 OK'
        await upstream.answer(request, writer, status)

    return answer
