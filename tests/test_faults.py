"""Tests of membership under faults of VMs, networks, clocks and stores."""

import msgspec
import testtools

from jujubefold import dispatch
from jujubefold import joining
from jujubefold import membership
from jujubefold import messages
from tests import fakes

VM_DETECTION_S = 10.0
DOMAIN_DETECTION_S = 15.0
REGION_DETECTION_S = 30.0
RECOVERY_S = 90.0
HOUR_S = 3600.0


def settled_fleet(count=18, **options):
    fleet = fakes.Fleet(**options)
    fleet.add_daemons(count, domains=6, regions=2)
    assert fleet.run_until(fleet.is_converged, 60) is not None
    fleet.run(10)
    return fleet


def vms_of_domain(fleet, name):
    return [
        daemon.vm
        for daemon in fleet.daemons.values()
        if daemon.tables.identity.failure_domain == name
    ]


def vms_of_region(fleet, name):
    return [
        daemon.vm
        for daemon in fleet.daemons.values()
        if daemon.tables.identity.region == name
    ]


def vm_fails(fleet):
    fleet.kill('vm-0004')


def rack_fails(fleet):
    fleet.kill('vm-0003', 'vm-0009')


def failure_domain_fails(fleet):
    fleet.kill(*vms_of_domain(fleet, 'd1'))


def region_fails(fleet):
    fleet.kill(*vms_of_region(fleet, 'r1'))


def domain_fails_while_one_vm_is_paused(fleet):
    fleet.kill(*vms_of_domain(fleet, 'd2'))
    fleet.daemons['vm-0001'].paused = True
    fleet.run(3)
    fleet.daemons['vm-0001'].paused = False


def vm_fails_while_packets_are_lost(fleet):
    fleet.loss = 0.05
    fleet.kill('vm-0004')


FAILURES = (
    (vm_fails, VM_DETECTION_S),
    (rack_fails, VM_DETECTION_S),
    (failure_domain_fails, DOMAIN_DETECTION_S),
    (region_fails, REGION_DETECTION_S),
    (domain_fails_while_one_vm_is_paused, DOMAIN_DETECTION_S),
    (vm_fails_while_packets_are_lost, VM_DETECTION_S),
)


def one_link_loses_packets_one_way(fleet):
    fleet.block(['vm-0001'], ['vm-0002'])


def packets_between_two_domains_are_lost_one_way(fleet):
    fleet.block(vms_of_domain(fleet, 'd1'), vms_of_domain(fleet, 'd2'))


def wall_clock_jumps_forward(fleet):
    fleet.clock.jump_wall(7200)


def wall_clock_jumps_back(fleet):
    fleet.clock.jump_wall(-7200)


def process_is_paused(fleet):
    fleet.daemons['vm-0005'].paused = True
    fleet.run(3)
    fleet.daemons['vm-0005'].paused = False


def two_processes_are_paused_at_once(fleet):
    for vm in ('vm-0005', 'vm-0006'):
        fleet.daemons[vm].paused = True
    fleet.run(3)
    for vm in ('vm-0005', 'vm-0006'):
        fleet.daemons[vm].paused = False


def packets_are_lost(fleet):
    fleet.loss = 0.03


TOLERATED_FAULTS = (
    one_link_loses_packets_one_way,
    packets_between_two_domains_are_lost_one_way,
    wall_clock_jumps_forward,
    wall_clock_jumps_back,
    process_is_paused,
    two_processes_are_paused_at_once,
    packets_are_lost,
)


def regions_are_partitioned_for_an_hour(fleet):
    fleet.block(vms_of_region(fleet, 'r0'), vms_of_region(fleet, 'r1'))
    fleet.block(vms_of_region(fleet, 'r1'), vms_of_region(fleet, 'r0'))
    fleet.run(HOUR_S)


def domain_is_cut_off(fleet):
    inside = vms_of_domain(fleet, 'd1')
    outside = set(fleet.daemons) - set(inside)
    fleet.block(inside, outside)
    fleet.block(outside, inside)
    fleet.run(120)


def domain_receives_no_packets(fleet):
    inside = vms_of_domain(fleet, 'd1')
    fleet.block(set(fleet.daemons) - set(inside), inside)
    fleet.run(120)


def process_is_paused_until_declared_dead(fleet):
    fleet.daemons['vm-0005'].paused = True
    fleet.run(60)
    fleet.daemons['vm-0005'].paused = False


def all_processes_are_paused(fleet):
    for daemon in fleet.daemons.values():
        daemon.paused = True
    fleet.run(120)
    for daemon in fleet.daemons.values():
        daemon.paused = False


def third_of_vms_restarts(fleet):
    stopped_daemons = [
        fleet.daemons[f'vm-{index:04}'] for index in range(6, 12)
    ]
    fleet.kill(*(daemon.vm for daemon in stopped_daemons))
    fleet.run(5)
    for daemon in stopped_daemons:
        restart(fleet, daemon)


def all_vms_restart(fleet):
    stopped_daemons = list(fleet.daemons.values())
    fleet.kill(*(daemon.vm for daemon in stopped_daemons))
    fleet.run(5)
    for daemon in stopped_daemons:
        restart(fleet, daemon)


def vm_fails_while_regions_are_partitioned(fleet):
    fleet.block(vms_of_region(fleet, 'r0'), vms_of_region(fleet, 'r1'))
    fleet.block(vms_of_region(fleet, 'r1'), vms_of_region(fleet, 'r0'))
    fleet.run(60)
    fleet.kill('vm-0008')
    fleet.run(60)


RECOVERABLE_FAULTS = (
    regions_are_partitioned_for_an_hour,
    domain_is_cut_off,
    domain_receives_no_packets,
    process_is_paused_until_declared_dead,
    all_processes_are_paused,
    third_of_vms_restarts,
    all_vms_restart,
    vm_fails_while_regions_are_partitioned,
)


def restart(fleet, daemon):
    identity = daemon.tables.identity
    return fleet.add(
        identity.vm,
        identity.failure_domain,
        identity.region,
        ('10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'),
        identity.peer_address,
    )


class TestFailureDetection(testtools.TestCase):
    def test_failed_vms_are_declared_dead_and_no_others(self):
        for fault, limit in FAILURES:
            with self.subTest(fault.__name__):
                fleet = settled_fleet()
                fault(fleet)
                detected_after = fleet.run_until(fleet.is_converged, limit)
                self.assertIsNotNone(detected_after)
                declared_dead = {
                    event.detail for *_, event in fleet.events('member.dead')
                }
                self.assertEqual(set(), declared_dead & set(fleet.daemons))


class TestToleratedFaults(testtools.TestCase):
    def test_no_daemon_is_declared_dead(self):
        for fault in TOLERATED_FAULTS:
            with self.subTest(fault.__name__):
                fleet = settled_fleet()
                fault(fleet)
                fleet.run(120)
                self.assertEqual([], fleet.events('member.dead'))
                self.assertTrue(fleet.is_converged())


class TestLocalHealth(testtools.TestCase):
    """A daemon that was paused or receives nothing delays its suspicions."""

    def setUp(self):
        super().setUp()
        self.fleet = fakes.Fleet()
        self.daemon = self.fleet.add('me')
        self.others = tuple(
            messages.Member(
                f'vm-{index}', 5, 'r', 'd', f'10.1.0.{index}:1', ''
            )
            for index in range(4)
        )
        self.daemon.tick(received(messages.Gossip(self.others)))

    def run_without_messages(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.fleet.clock.advance(0.1)
            self.daemon.tick()

    def states(self):
        return {member.state for member in self.daemon.table.members.values()}

    def test_pause_does_not_expire_suspicions(self):
        suspect = msgspec.structs.replace(
            self.others[0], state=messages.MemberState.SUSPECT
        )
        self.daemon.tick(received(messages.Gossip((suspect,))))
        self.run_without_messages(1)
        self.fleet.clock.advance(60)
        self.run_without_messages(2)
        self.assertIs(
            messages.MemberState.SUSPECT, self.daemon.state_of('vm-0')
        )
        self.run_without_messages(60)
        self.assertIs(messages.MemberState.DEAD, self.daemon.state_of('vm-0'))

    def test_pause_does_not_fail_probes(self):
        self.run_without_messages(1.9)
        self.daemon.table.health_score = membership.MAX_HEALTH_SCORE
        self.fleet.clock.advance(60)
        self.run_without_messages(0.5)
        self.assertEqual({messages.MemberState.ALIVE}, self.states())

    def test_isolated_daemon_delays_suspecting_others(self):
        self.run_without_messages(4)
        self.assertEqual({messages.MemberState.ALIVE}, self.states())
        self.run_without_messages(180)
        self.assertEqual({messages.MemberState.DEAD}, self.states())


class TestRecovery(testtools.TestCase):
    def test_membership_converges_after_the_fault(self):
        for fault in RECOVERABLE_FAULTS:
            with self.subTest(fault.__name__):
                fleet = settled_fleet(12)
                fault(fleet)
                fleet.unblock_all()
                self.assertIsNotNone(
                    fleet.run_until(fleet.is_converged, RECOVERY_S)
                )

    def test_membership_differs_while_a_domain_is_cut_off(self):
        fleet = settled_fleet(12)
        domain_is_cut_off(fleet)
        self.assertFalse(fleet.is_converged())


class TestDuplicates(testtools.TestCase):
    def test_older_of_two_daemons_with_one_name_stops(self):
        fleet = settled_fleet(6)
        older = fleet.daemons['vm-0002']
        fleet.daemons['older'] = fleet.daemons.pop('vm-0002')
        newer = fleet.add('vm-0002', 'd2', 'r0', ('10.0.0.1:1',), '10.9.0.1:1')
        fleet._running = lambda daemon: True
        fleet.run(20)
        self.assertIn('named vm-0002', older.stopped)
        self.assertEqual('', newer.stopped)

    def test_older_of_two_daemons_with_one_address_stops(self):
        fleet = settled_fleet(6)
        older = fleet.daemons['vm-0005']
        identity = older.tables.identity
        record = messages.Member(
            'vm-new',
            identity.incarnation + 1,
            'r',
            'd',
            identity.peer_address,
            '',
        )
        gossip = messages.Gossip((record,))
        fleet.apply_effects(older, older.tick(received(gossip)))
        self.assertIn('taken this address', older.stopped)

    def test_replacement_vm_removes_the_record_at_its_address(self):
        fleet = settled_fleet(6)
        old = fleet.daemons['vm-0005']
        fleet.kill('vm-0005')
        fleet.add('vm-new', 'd1', 'r1', ('10.0.0.1:1',), old.address)
        self.assertIsNotNone(
            fleet.run_until(fleet.is_converged, VM_DETECTION_S)
        )
        fleet.run(30)
        fleet.sent.clear()
        fleet.run(60)
        stale = [
            message
            for _, _, envelope in fleet.sent
            for message in envelope.messages
            if isinstance(message, messages.Ping)
            and message.target == old.tables.identity.incarnation
        ]
        self.assertEqual([], stale)


class TestUnableToServe(testtools.TestCase):
    def test_upstream_of_a_daemon_that_cannot_serve_is_gone_until_it_can(self):
        fleet = settled_fleet(6)
        daemon = fleet.daemons['vm-0004']
        announce(fleet, daemon, messages.UpstreamState.SERVING)
        for serving, state in (
            (False, messages.UpstreamState.GONE),
            (True, messages.UpstreamState.SERVING),
        ):
            membership.set_serving(
                daemon.table, serving, fleet.clock.monotonic()
            )
            reached = fleet.run_until(
                lambda: upstream_states(fleet, daemon) == {state}, 10
            )
            self.assertIsNotNone(reached)


class TestDrain(testtools.TestCase):
    def test_drain_reaches_all_daemons_under_loss_and_churn(self):
        for loss in (0.0, 0.05, 0.2):
            with self.subTest(loss=loss):
                fleet = settled_fleet()
                daemon = fleet.daemons['vm-0004']
                announce(fleet, daemon, messages.UpstreamState.SERVING)
                fleet.run(5)
                fleet.loss = loss
                fleet.kill(*vms_of_domain(fleet, 'd1'))
                fleet.apply_effects(
                    daemon, daemon.tick(dispatch.StopRequested())
                )
                draining = {messages.UpstreamState.DRAINING}
                propagated_after = fleet.run_until(
                    lambda: upstream_states(fleet, daemon) == draining, 2
                )
                self.assertIsNotNone(propagated_after)


class TestMassStart(testtools.TestCase):
    def test_first_joins_of_a_mass_start_are_spread(self):
        fleet = fakes.Fleet()
        fleet.add_daemons(60)
        fleet.run(joining.FIRST_SPREAD_S)
        times = [
            at
            for at, _, envelope in fleet.sent
            if any(
                isinstance(message, messages.Join)
                for message in envelope.messages
            )
        ]
        joins_by_tenth = [
            sum(1 for at in times if int((at - 1000) * 10) == tenth)
            for tenth in range(10)
        ]
        self.assertLessEqual(max(joins_by_tenth), 60 // 4)

    def test_contact_admits_a_bounded_number_per_second(self):
        fleet = fakes.Fleet()
        fleet.add_daemons(120)
        counts = []
        for _ in range(10):
            fleet.sent.clear()
            fleet.run(1)
            counts.append(count_admissions(fleet, '10.0.0.1:1'))
        burst = 1 + joining.ADMISSION_BURST_S
        self.assertLessEqual(max(counts), joining.ADMISSIONS_PER_S * burst + 1)
        self.assertIsNotNone(fleet.run_until(fleet.is_converged, 60))

    def test_fleet_forms_with_an_empty_or_stale_contact_table(self):
        stale = {slot: f'10.8.0.{slot}:1' for slot in range(16)}
        for rows in ({}, stale):
            with self.subTest(rows=len(rows)):
                fleet = fakes.Fleet()
                fleet.contact_rows.update(rows)
                for index in range(30):
                    fleet.add(f'vm-{index:04}', f'd{index % 3}')
                self.assertIsNotNone(fleet.run_until(fleet.is_converged, 120))
                self.assertLessEqual(len(fleet.contact_writes), 2 * 30)

    def test_polls_of_an_unavailable_store_are_rare_and_spread(self):
        fleet = fakes.Fleet()
        fleet.store_up = False
        for index in range(60):
            fleet.add(f'vm-{index:04}', f'd{index % 3}')
        fleet.run(600)
        late = [at for at in fleet.contact_reads if at > 1000 + 300]
        polls_by_second = [
            sum(1 for at in late if int(at) == second)
            for second in range(1300, 1600)
        ]
        rate = len(late) / 300
        bound = 60 / (joining.MAX_STORE_BACKOFF_S / 2)
        self.assertLessEqual(rate, bound)
        self.assertLessEqual(max(polls_by_second), 60 // 4)
        fleet.store_up = True
        self.assertIsNotNone(fleet.run_until(fleet.is_converged, 180))

    def test_idle_fleet_makes_no_writes_and_few_reads(self):
        fleet = settled_fleet(20)
        fleet.run(300)
        fleet.contact_writes.clear()
        fleet.contact_reads.clear()
        fleet.run(HOUR_S)
        self.assertEqual([], fleet.contact_writes)
        bound = joining.CONTACT_SLOTS * HOUR_S / joining.CONTACT_CHECK_S
        self.assertLessEqual(len(fleet.contact_reads), bound * 1.3)


def received(message):
    return dispatch.MessageReceived('10.7.7.7:1', 1, message)


def announce(fleet, daemon, state):
    item = dispatch.UpstreamChanged('routes', state, 6)
    fleet.apply_effects(daemon, daemon.tick(item))


def upstream_states(fleet, daemon):
    return {
        other.table.members[daemon.vm].upstream_state
        for other in fleet.daemons.values()
        if other is not daemon
    }


def count_admissions(fleet, address):
    return sum(
        1
        for _, _, envelope in fleet.sent
        for message in envelope.messages
        if envelope.address == address
        and isinstance(message, messages.Welcome)
        and message.members
    )
