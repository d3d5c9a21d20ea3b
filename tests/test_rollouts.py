"""Tests of rollouts with several sidecars and two versions of an upstream."""

import asyncio
import contextlib

import msgspec
import testtools

from jujubefold.sidecar import distribution
from jujubefold.sidecar import frames
from jujubefold.sidecar import options
from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutaggregator
from jujubefold.sidecar import rolloutmessages
from tests import rolloutcontrol
from tests import sidecars

OLD = ('vm-1', 'vm-2')
NEW = ('vm-3', 'vm-4')
SHIFTING = rollout.Phase.SHIFTING


class TestRollouts(testtools.TestCase):
    """Tests with records that a stand-in of the controller follows."""

    def run_scenario(self, scenario, new=NEW):
        """Run a scenario with two old upstreams and the given new ones."""

        async def prepared(fleet):
            fleet.rollouts = options.Rollouts(0.1, 50.0, 5.0)
            fleet.new_rollout_controller = rolloutcontrol.FollowingController
            for vm in OLD:
                await fleet.add(vm)
            await fleet.wait_until_linked()
            operator = rolloutcontrol.Operator(fleet)
            await operator.order()
            for vm in new:
                await fleet.add(vm, version='v2')
            await fleet.wait_until_linked()
            await scenario(fleet, operator)

        sidecars.run_scenario(prepared)

    async def wait_for_gates(self, fleet, open_vms):
        """Wait until just the gates of some VMs are open."""
        await sidecars.wait_until(
            lambda: (
                {vm for vm, item in fleet.daemons.items() if slots(item)}
                == set(open_vms)
            ),
            3.0,
        )
        await self.wait_for_reports(fleet, open_vms)

    async def wait_for_reports(self, fleet, open_vms):
        """Wait until all sidecars know which gates are open."""
        await sidecars.wait_until(
            lambda: all(
                bool(candidate.load.slots) == (candidate.vm in open_vms)
                for item in fleet.daemons.values()
                for candidate in item.fleet.candidates('pickups')
            ),
            3.0,
        )

    async def call_many(self, fleet, count=40, vm='vm-1'):
        """Send requests one after the other; return their statuses."""
        return [(await fleet.call(vm, '/read/x')).status for _ in range(count)]

    def test_no_request_reaches_a_version_before_its_record(self):
        # An upstream of the ordered version ran requests before any step.
        async def scenario(fleet, operator):
            await self.wait_for_gates(fleet, OLD)
            self.assertEqual({200}, set(await self.call_many(fleet)))
            # Requests of callers beside a new upstream also go elsewhere.
            self.assertEqual(
                {200}, set(await self.call_many(fleet, vm='vm-3'))
            )
            self.assertEqual(0, received(fleet, NEW))

        self.run_scenario(scenario)

    def test_share_is_kept_by_ingresses_and_canaries(self):
        # Requests were placed by load alone, whatever the share.
        async def scenario(fleet, operator):
            await operator.write(
                rollout.Phase.CANARY, 0.25, canaries=('vm-3',)
            )
            await self.wait_for_gates(fleet, (*OLD, 'vm-3'))
            self.assertEqual({200}, set(await self.call_many(fleet)))
            self.assertIn(received(fleet, ('vm-3',)), (9, 10, 11))
            self.assertEqual(0, received(fleet, ('vm-4',)))

        self.run_scenario(scenario)

    def test_bad_version_closes_itself_and_gets_nothing_after_rollback(self):
        # A bad version got requests until the controller's next step, and
        # retries of failed requests after it.
        async def scenario(fleet, operator):
            for vm in NEW:
                upstream = fleet.upstreams[vm]
                upstream.handler = failing(upstream)
            await operator.write(SHIFTING, 0.5)
            await self.wait_for_gates(fleet, (*OLD, *NEW))
            await self.call_many(fleet, 60)
            retries = [
                [offer['vm'] for offer in fields['offers'][1:]]
                for event, fields in fleet.event_logs['vm-1'].records
                if event == 'call.ended'
            ]
            self.assertIn(1, map(len, retries))
            self.assertEqual(set(), set(sum(retries, [])) & set(NEW))
            await self.wait_for_gates(fleet, OLD)
            self.assertLessEqual(received(fleet, NEW), 12 + 2)
            self.assertIn(
                'rollout.tripped', fleet.events('vm-3') + fleet.events('vm-4')
            )
            await operator.write(
                rollout.Phase.ROLLED_BACK, reason='bad answers'
            )
            await sidecars.wait_until(
                lambda: has_phase(fleet, rollout.Phase.ROLLED_BACK), 3.0
            )
            before = received(fleet, NEW)
            self.assertEqual({200}, set(await self.call_many(fleet)))
            self.assertEqual(before, received(fleet, NEW))

        self.run_scenario(scenario)

    def test_good_version_completes_without_a_lost_request(self):
        # Requests were cut, or sent to the old version, while it closed.
        async def scenario(fleet, operator):
            statuses = []

            async def keep_calling(vm):
                while True:
                    statuses.append((await fleet.call(vm, '/read/x')).status)

            callers = [
                asyncio.create_task(keep_calling(vm)) for vm in fleet.daemons
            ]
            await operator.write(SHIFTING, 0.5)
            await self.wait_for_gates(fleet, (*OLD, *NEW))
            await operator.write(SHIFTING, 1.0)
            # A controller keeps each share for half a second at least, in
            # which the daemons hear of it.
            await sidecars.wait_until(
                lambda: all(
                    rollout_states(fleet, vm)
                    .entries['pickups']
                    .state.record.share
                    == 1.0
                    for vm in fleet.daemons
                ),
                0.5,
            )
            await operator.write(rollout.Phase.CLOSING, 1.0)
            await self.wait_for_gates(fleet, NEW)
            closed = received(fleet, OLD)
            await asyncio.sleep(0.5)
            await operator.write(rollout.Phase.COMPLETED, 1.0)
            await asyncio.sleep(0.5)
            for vm in OLD:
                await fleet.upstreams[vm].stop()
            await asyncio.sleep(0.3)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            self.assertGreater(len(statuses), 100)
            self.assertEqual({200}, set(statuses))
            self.assertEqual(closed, received(fleet, OLD))
            self.assertTrue(has_phase(fleet, rollout.Phase.COMPLETED))

        self.run_scenario(scenario)

    def test_daemon_that_starts_learns_the_state_from_others(self):
        # A daemon without the store admitted requests for any version.
        async def scenario(fleet, operator):
            await operator.write(SHIFTING, 0.5)
            await self.wait_for_gates(fleet, (*OLD, 'vm-3'))
            feed = sidecars.unavailable_feed()
            await fleet.add('vm-4', feed=feed, version='v2')
            self.assertEqual(0, slots(fleet.daemons['vm-4']))
            fleet.daemons['vm-4'].fleet.add_member(
                fleet.daemons['vm-1'].fleet.make_hello().member
            )
            await self.wait_for_state(fleet, 'vm-4')
            self.assertTrue(rollout_states(fleet, 'vm-4').complete)
            # Without the store, an upstream counts from its second
            # announcement on.
            await fleet.announce('vm-4')
            await sidecars.wait_until(
                lambda: slots(fleet.daemons['vm-4']), 2.0
            )

        self.run_scenario(scenario, new=('vm-3',))

    async def wait_for_state(self, fleet, vm):
        """Wait until a sidecar knows the record."""
        await sidecars.wait_until(
            lambda: (
                'pickups' in rollout_states(fleet, vm).entries
                and rollout_states(fleet, vm).entries['pickups'].state.record
            ),
            3.0,
        )

    def test_old_version_serves_alone_without_renewals(self):
        # Cut off from the controller, gates and ingresses kept the share.
        async def scenario(fleet, operator):
            renewal = asyncio.create_task(operator.keep_writing(SHIFTING, 0.5))
            await self.wait_for_gates(fleet, (*OLD, *NEW))
            await asyncio.sleep(5.2)
            self.assertEqual(4, sum(map(bool, all_slots(fleet))))
            renewal.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await renewal
            await asyncio.sleep(5.2)
            await self.wait_for_gates(fleet, OLD)
            before = received(fleet, NEW)
            self.assertEqual({200}, set(await self.call_many(fleet)))
            self.assertEqual(before, received(fleet, NEW))

        self.run_scenario(scenario)

    def test_evidence_sums_the_reports_of_the_failure_domain(self):
        # The controller would see no answers, or each gate's row.
        async def scenario(fleet, operator):
            await operator.write(SHIFTING, 0.5)
            await self.wait_for_gates(fleet, (*OLD, *NEW))
            await self.call_many(fleet, 40)

            async def evidence():
                rows = (await fleet.feed.read(rolloutaggregator.TABLE)).ok.rows
                return {
                    row.key: msgspec.json.decode(
                        row.value, type=rollout.Evidence
                    )
                    for row in rows
                }

            for _ in range(40):
                found = await evidence()
                started = [
                    item.old.started + sum(new.started for new in item.new)
                    for item in found.values()
                ]
                if started == [40]:
                    break
                await asyncio.sleep(0.1)
            self.assertEqual([40], started)
            item = found['pickups/a']
            self.assertEqual((2, 2), (item.old_gates, item.old_open))
            self.assertEqual(set(NEW), {gate.vm for gate in item.new})
            # One that reached another daemon is passed on to the first reader.
            report = rollout.GateReport(
                operator.id, 'pickups', 'vm-9', 1, True, started=7
            )
            fleet.daemons['vm-4'].fleet.send(
                'vm-3', frames.RolloutReport(rolloutmessages.encode(report))
            )
            await asyncio.sleep(1.2)
            item = (await evidence())['pickups/a']
            self.assertIn('vm-9', {gate.vm for gate in item.new})
            await operator.write(rollout.Phase.ROLLED_BACK)
            await sidecars.wait_until(
                lambda: has_phase(fleet, rollout.Phase.ROLLED_BACK), 3.0
            )
            await asyncio.sleep(0.2)
            written = (await evidence())['pickups/a'].written
            await asyncio.sleep(1.2)
            self.assertEqual(written, (await evidence())['pickups/a'].written)

        self.run_scenario(scenario)

    def test_malformed_messages_are_logged_and_skipped(self):
        # A message that can't be decoded closed the link and its offers.
        async def scenario(fleet, operator):
            for message in (
                frames.RolloutReport(b'\xc1'),
                frames.RolloutState(
                    distribution.compress(
                        msgspec.msgpack.encode({'entries': 1})
                    )
                ),
            ):
                fleet.daemons['vm-1'].fleet.send('vm-2', message)
            await sidecars.wait_until(
                lambda: fleet.events('vm-2').count('rollout.malformed') == 2,
                2.0,
            )
            self.assertNotIn('link.down', fleet.events('vm-1'))
            await operator.write(SHIFTING, 0.5)
            await self.wait_for_gates(fleet, (*OLD, *NEW))

        self.run_scenario(scenario)

    def test_next_order_starts_from_the_version_that_was_completed(self):
        # Upstreams of the version before were open again, and requests that
        # no canary should get went to the newest one.
        async def scenario(fleet, operator):
            await operator.write(rollout.Phase.COMPLETED, 1.0)
            await self.wait_for_gates(fleet, NEW)
            following = rolloutcontrol.Operator(fleet, to='v3')
            await following.order()
            await fleet.add('vm-5', version='v3')
            await fleet.wait_until_linked()
            await self.wait_for_gates(fleet, NEW)
            await following.write(
                rollout.Phase.CANARY, 0.25, canaries=('vm-5',)
            )
            await self.wait_for_gates(fleet, (*NEW, 'vm-5'))
            self.assertEqual({200}, set(await self.call_many(fleet)))
            self.assertIn(received(fleet, ('vm-5',)), (9, 10, 11))
            self.assertEqual(0, received(fleet, OLD))
            await following.write(rollout.Phase.ROLLED_BACK)
            await self.wait_for_gates(fleet, NEW)

        self.run_scenario(scenario)

    def test_without_settings_orders_change_nothing(self):
        # Deployments that name no bounds must behave as before.
        async def scenario(fleet):
            operator = rolloutcontrol.Operator(fleet)
            await operator.order()
            for vm, version in (('vm-1', 'v1'), ('vm-2', 'v2')):
                await fleet.add(vm, version=version)
            await fleet.wait_until_linked()
            await self.wait_for_gates(fleet, ('vm-1', 'vm-2'))
            statuses = await self.call_many(fleet, vm='vm-2')
            self.assertEqual({200}, set(statuses))
            self.assertGreater(received(fleet, ('vm-2',)), 0)
            self.assertIsNone(fleet.daemons['vm-1'].fleet.rollouts)
            status = await fleet.feed.get('status', 'rollout/pickups')
            self.assertEqual((), status.ok.rows)

        sidecars.run_scenario(scenario)

    def test_withdrawn_malformed_and_other_orders_leave_a_service_alone(self):
        # An order that can't be read, or of another service, closed gates.
        async def scenario(fleet, operator):
            await fleet.feed.remove('op', 'rollout/pickups')
            await fleet.feed.put('op', 'rollout/routes', b'{')
            other = rolloutcontrol.Operator(fleet, 'routes')
            await other.order()
            await self.wait_for_gates(fleet, OLD)
            self.assertEqual({200}, set(await self.call_many(fleet)))

        self.run_scenario(scenario, new=())


def slots(sidecar):
    """Return the slots that a sidecar's gate may use."""
    return sidecar.egress.slot_table.slots


def all_slots(fleet):
    """Return the usable slots of each gate."""
    return [slots(item) for item in fleet.daemons.values()]


def received(fleet, vms):
    """Return how many requests the upstreams of some VMs received."""
    return sum(len(fleet.upstreams[vm].requests) for vm in vms)


def rollout_states(fleet, vm):
    """Return what a sidecar knows of rollouts."""
    return fleet.daemons[vm].fleet.rollouts.states


def has_phase(fleet, phase):
    """Return whether all sidecars know a phase."""
    return all(
        rollout_states(fleet, vm).entries['pickups'].state.record.phase
        is phase
        for vm in fleet.daemons
    )


def failing(upstream):
    """Return a handler that answers with a fault."""

    async def answer(request, writer):
        await upstream.answer(request, writer, '500 Fault')

    return answer
