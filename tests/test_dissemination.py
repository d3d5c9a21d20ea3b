"""Tests of dissemination on simulated fleets and on a single core."""

from unittest import mock

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from jujubefold import core
from jujubefold import dispatch
from jujubefold import dissemination
from jujubefold import documents
from jujubefold import effects
from jujubefold import floor
from jujubefold import history
from jujubefold import messages
from jujubefold import overlay
from jujubefold import patches
from jujubefold import settings
from jujubefold import versions
from tests import cores

DAEMONS = 5
MIN_DAEMONS = 3
MAX_DAEMONS = 8
OPTIONS = {
    'convergence': settings.Dissemination(start_jitter=0.5),
    'bytes': settings.Dissemination(preset='bytes', start_jitter=0.5),
    'witnesses': settings.Dissemination(
        witnesses=3, start_jitter=0.5, settle=1.0
    ),
}
VM = strategies.integers(0, MAX_DAEMONS - 1)
VM_ACTIONS = (
    'accept',
    'accept and crash',
    'kill',
    'start',
    'mass restart',
    'cut',
    'cut region',
    'pause',
    'stale head',
)
ACTIONS = strategies.one_of(
    strategies.tuples(strategies.just('accept'), VM),
    strategies.tuples(strategies.sampled_from(VM_ACTIONS), VM),
    strategies.tuples(strategies.just('store'), strategies.booleans()),
    strategies.tuples(strategies.just('faults'), strategies.booleans()),
    strategies.tuples(strategies.just('run'), strategies.integers(1, 60)),
)


def domain_cut(fleet, index):
    """Return a cut between the failure domain of a VM and the others."""
    inside = {
        cores.member(each, fleet.domains).peer_address
        for each in range(fleet.count)
        if each % fleet.domains == index % fleet.domains
    }
    return lambda one, other: (one in inside) != (other in inside)


def region_cut(fleet, index):
    """Return a cut between the region of a VM and the others."""
    regions = {
        member.peer_address: member.region
        for member in (
            cores.member(n, fleet.domains) for n in range(fleet.count)
        )
    }
    region = cores.member(index, fleet.domains).region
    return lambda one, other: (
        (regions[one] == region) != (regions[other] == region)
    )


def is_running(fleet, index):
    return cores.member(index).peer_address in fleet.cores


def perform(fleet, name, value):
    """Perform one action of a history; inapplicable ones do nothing."""
    if name in VM_ACTIONS:
        value %= fleet.count
    match name:
        case 'accept' if fleet.store_up and is_running(fleet, value):
            fleet.submit_patch(value)
        case 'accept and crash' if fleet.store_up:
            # The accepting daemon is killed before it sends the version.
            fleet.kill(value)
            fleet.submit_patch(value)
        case 'kill':
            fleet.kill(value)
        case 'start' if not is_running(fleet, value):
            fleet.start(value)
        case 'mass restart':
            for index in range(value + 1):
                fleet.kill(index)
                fleet.start(index)
        case 'store':
            fleet.store_up = value
        case 'pause' if is_running(fleet, value):
            fleet.paused ^= {cores.member(value).peer_address}
        case 'stale head' if is_running(fleet, value):
            read_stale_head(fleet, value)
        case 'cut':
            fleet.cut = domain_cut(fleet, value)
        case 'cut region':
            fleet.cut = region_cut(fleet, value)
        case 'faults':
            fleet.loss = 0.3 if value else 0.0
            fleet.duplication = 0.3 if value else 0.0
            fleet.jitter = 1.0 if value else 0.0
        case 'run':
            fleet.run(value / 10)


def read_stale_head(fleet, index):
    """Feed an outdated head to a daemon whose floor is known."""
    table = fleet.core(index).dissemination
    if table.floors.floor is not None:
        old = dispatch.HeadRead(max(0, table.number - 2))
        fleet.feed(cores.member(index).peer_address, [old])


def heal(fleet):
    """Undo all faults and start the daemons that were killed."""
    fleet.store_up = True
    fleet.loss = fleet.duplication = fleet.jitter = 0.0
    fleet.cut = lambda one, other: False
    fleet.paused.clear()
    for index in range(fleet.count):
        if not is_running(fleet, index):
            fleet.start(index)


def run_actions(options, actions, seed, count=DAEMONS):
    """Return a fleet after a history of actions, healed and converged.

    Stops early at the first daemon whose version went back.
    """
    fleet = cores.Fleet(count, options, seed=seed, domains=3)
    fleet.run(1.0)
    for name, value in actions:
        perform(fleet, name, value)
        if fleet.regressed():
            return fleet
    heal(fleet)
    fleet.run_until(fleet.converged)
    return fleet


def next_push(base, number, operations):
    """Return the push of a patch to `base`, and the resulting document."""
    patch = versions.canonical(operations)
    document = patches.apply(base, patch).ok
    message = messages.Push(
        number,
        versions.digest(document),
        versions.digest(base),
        f'p-{number}',
        patch,
    )
    return message, document


def replace_schema(value):
    return [{'op': 'replace', 'path': '/schema', 'value': value}]


class SingleCore:
    """A core without peers, whose effects are returned to the test.

    Args:
        options: A `settings.Dissemination`.
    """

    def __init__(self, options=None):
        self.fleet = cores.Fleet(1, options or settings.Dissemination())
        self.address = cores.member(0).peer_address
        self.table = self.fleet.core(0).dissemination
        self.tick(dispatch.HeadRead(0))

    def tick(self, *inputs):
        """Run one tick with inputs and return its effects."""
        each = self.fleet.cores[self.address]
        now = self.fleet.now
        context = dispatch.Context(now, now, each.rng)
        return list(core.tick(each.tables, context, inputs))

    def receive(self, message):
        """Receive a message from `peer:1` and return the replies to it."""
        found = self.tick(dispatch.MessageReceived('peer:1', 1, message))
        return [
            effect.message
            for effect in found
            if isinstance(effect, effects.Send) and effect.to == 'peer:1'
        ]

    def receive_versions(self, count, padding=0):
        """Receive `count` versions from version 1 on; return their pushes."""
        document = versions.EMPTY_DOCUMENT
        pushes = []
        for number in range(1, count + 1):
            operations = msgspec.json.decode(
                cores.version_patch(number, padding)
            )
            message, document = next_push(document, number, operations)
            self.receive(message)
            pushes.append(message)
        return pushes


def event_names(found):
    """Return the names of the events recorded by effects."""
    return [
        effect.event.name
        for effect in found
        if isinstance(effect, effects.RecordEvent)
    ]


class TestOptions(testtools.TestCase):
    def test_preset_supplies_omitted_options(self):
        small = settings.Dissemination(preset='bytes', push_edges=3)
        fast = settings.Dissemination()
        self.assertEqual(3, small.push_edges)
        self.assertGreater(small.announce_delay, fast.announce_delay)
        self.assertEqual(small.chain_max, fast.chain_max)
        for wrong in ('fast', ['bytes'], 1):
            self.assertRaises(ValueError, settings.Dissemination, preset=wrong)


class TestOneCore(testtools.TestCase):
    def test_version_that_cannot_be_compiled_is_held_back_but_served(self):
        single = SingleCore()
        single.receive_versions(1)
        tip = single.table.tip.document
        newer, document = next_push(tip, 2, replace_schema(99))
        found = single.tick(dispatch.MessageReceived('peer:1', 1, newer))
        self.assertEqual(1, single.table.in_force)
        self.assertIn('schema 99', single.table.held_back[2])
        self.assertEqual(['version.held_back'], event_names(found))
        chain = messages.Chain((newer,))
        self.assertEqual([chain], single.receive(messages.Pull(1, '')))
        later, _ = next_push(document, 3, replace_schema(1))
        single.receive(later)
        self.assertEqual(3, single.table.in_force)
        self.assertEqual({}, single.table.held_back)

    def test_damaged_version_is_fetched_as_a_snapshot(self):
        single = SingleCore()
        (first,) = single.receive_versions(1)
        base = single.table.tip.document
        operations = msgspec.json.decode(cores.version_patch(2))
        good, document = next_push(base, 2, operations)
        cases = (
            msgspec.structs.replace(good, digest='0' * 64),
            msgspec.structs.replace(good, parent_digest='0' * 64),
            msgspec.structs.replace(good, patch=first.patch),
            msgspec.structs.replace(good, patch=b'{'),
        )
        for damaged in cases:
            single.fleet.clock.advance(10.0)
            pulls = single.receive(damaged)
            self.assertEqual([messages.Pull(1, whole=True)], pulls)
            self.assertEqual(1, single.table.in_force)
            self.assertIn(2, single.table.held_back)
        single.receive(messages.Snapshot(good, documents.compress(base)))
        single.receive(messages.Snapshot(good, b'not compressed'))
        self.assertEqual(1, single.table.in_force)
        single.receive(messages.Snapshot(good, documents.compress(document)))
        self.assertEqual(2, single.table.in_force)
        self.assertEqual({}, single.table.held_back)

    def test_stale_and_repeated_inputs_have_no_effect(self):
        single = SingleCore()
        pushes = single.receive_versions(3)
        document = single.table.tip.document
        version = single.table.tip.version
        received = (
            *pushes,
            messages.Chain(tuple(pushes)),
            messages.Snapshot(pushes[-1], documents.compress(document)),
            messages.Announce(2, pushes[1].digest),
        )
        late = (
            dispatch.HeadRead(1, pushes[0].digest),
            dispatch.HeadRead(0),
            dispatch.HeadRead(None),
            dispatch.PatchAccepted(version),
            dispatch.VersionsFetched((version,)),
            dispatch.VersionsFetched((version,), document),
            *(
                dispatch.MessageReceived('peer:1', 1, item)
                for item in received
            ),
        )
        held = single.table.version_in_force
        for item in late:
            found = single.tick(item)
            self.assertIs(held, single.table.version_in_force)
            swaps = [
                e for e in found if isinstance(e, effects.ActivateVersion)
            ]
            self.assertEqual([], swaps)
        table = single.table
        self.assertEqual(({}, 0), (table.held_back, table.damaged))
        self.assertEqual((3, 3), (table.wanted, table.number))
        self.assertEqual(1, table.floors.head)

    def test_outdated_announcement_is_answered_with_the_tip(self):
        single = SingleCore()
        pushes = single.receive_versions(3)
        answer = messages.Announce(3, pushes[2].digest)
        self.assertEqual(
            [answer], single.receive(messages.Announce(2, pushes[1].digest))
        )
        self.assertEqual([], single.receive(answer))

    def test_number_never_accepted_does_not_stop_reads_of_the_store(self):
        single = SingleCore()
        single.receive_versions(1)
        single.receive(messages.Announce(1 << 40, '0' * 64))
        found = single.tick(dispatch.HeadRead(2, '0' * 64))
        self.assertIn(effects.FetchVersions(1, 2), found)

    def test_gap_is_closed_by_pulling_a_chain(self):
        single = SingleCore()
        pushes = single.receive_versions(3)
        behind = SingleCore()
        behind.fleet.clock.advance(5.0)
        behind.receive(pushes[0])
        pull = messages.Pull(1, pushes[0].digest)
        self.assertEqual([pull], behind.receive(pushes[2]))
        (chain,) = single.receive(pull)
        behind.receive(chain)
        self.assertEqual(3, behind.table.in_force)
        self.assertEqual({}, behind.table.held_back)

    def test_conflicting_digest_is_recorded_once(self):
        single = SingleCore()
        single.receive_versions(2)
        for expected in (['version.conflict'], []):
            found = single.tick(dispatch.HeadRead(2, '0' * 64))
            self.assertEqual(expected, event_names(found))
        self.assertEqual(2, single.table.in_force)

    def test_pull_gets_the_smaller_answer_and_history_is_bounded(self):
        single = SingleCore(
            settings.Dissemination(history_versions=8, chain_max=4)
        )
        pushes = single.receive_versions(20)
        self.assertEqual(8, len(single.table.history))
        near = messages.Pull(19, pushes[18].digest)
        self.assertEqual([messages.Chain((pushes[19],))], single.receive(near))
        for pull in (
            messages.Pull(0),
            messages.Pull(14, pushes[13].digest),
            messages.Pull(19, '0' * 64),
            messages.Pull(19, pushes[18].digest, whole=True),
        ):
            (answer,) = single.receive(pull)
            self.assertIsInstance(answer, messages.Snapshot)
        self.assertEqual([], single.receive(messages.Pull(20)))

    def test_history_is_bounded_in_bytes(self):
        single = SingleCore(settings.Dissemination(history_bytes=1024))
        single.receive_versions(6, padding=300)
        self.assertLessEqual(single.table.history_bytes, 1024)
        held = sum(len(item.patch) for item in single.table.history.values())
        self.assertEqual(held, single.table.history_bytes)

    def test_answers_to_pulls_are_limited_in_bytes_per_second(self):
        rate = 4096
        single = SingleCore(
            settings.Dissemination(serve_bytes_per_second=rate)
        )
        single.receive_versions(3, padding=1000)
        seconds = 20
        for _ in range(seconds * 10):
            single.receive(messages.Pull(0))
            single.fleet.clock.advance(0.1)
        most = rate * (seconds + history.SERVE_BURST_S)
        self.assertLessEqual(single.table.counters.served_bytes, most)
        self.assertGreater(single.table.counters.pulls_refused, 0)
        self.assertGreater(single.table.counters.served_bytes, most / 2)

    def test_pulls_in_flight_are_bounded(self):
        single = SingleCore(settings.Dissemination(pulls=2))
        for index in range(50):
            item = messages.Announce(9, '')
            single.tick(dispatch.MessageReceived(f'peer:{index}', 1, item))
        self.assertLessEqual(len(single.table.pulls), 2)
        self.assertLessEqual(
            len(single.table.sources), dissemination.MAX_SOURCES
        )


class TestInterleavings(testtools.TestCase):
    @hypothesis.given(
        strategies.sampled_from(sorted(OPTIONS)),
        strategies.integers(MIN_DAEMONS, MAX_DAEMONS),
        strategies.lists(ACTIONS, min_size=4, max_size=30),
        strategies.integers(0, 1000),
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    def test_versions_never_go_back_are_never_partial_and_converge(
        self, name, count, actions, seed
    ):
        fleet = run_actions(OPTIONS[name], actions, seed, count)
        self.assertEqual([], fleet.regressed())
        self.assertEqual([], fleet.damaged)
        self.assertTrue(fleet.converged(), fleet.in_force())

    def test_mass_restart_without_a_floor_regresses(self):
        history = [
            ('accept', 0),
            ('run', 30),
            ('cut', 0),
            ('accept', 0),
            ('store', False),
            ('kill', 0),
            ('kill', 3),
            ('start', 0),
            ('faults', False),
        ]
        options = OPTIONS['convergence']

        def run_history():
            fleet = cores.Fleet(DAEMONS, options, domains=3)
            fleet.run(2.0)
            for name, value in history:
                perform(fleet, name, value)
            fleet.cut = lambda one, other: False
            # Readers in other domains did not read version 2 before the store
            # failed.
            fleet.run(10.0)
            return fleet

        self.assertEqual([], run_history().regressed())
        with mock.patch.object(floor, 'permits', lambda table, number: True):
            found = run_history().regressed()
        self.assertIn(cores.member(0).peer_address, found)


FLEET_SIZE = 12
# Seconds within which a version must be in force in a fleet of this size.
MAX_CONVERGENCE_S = 2.0
# Bytes per second that a daemon may send on control messages.
MAX_CONTROL_BYTES_S = 2048


def lossy(fleet):
    fleet.loss = 0.4


def duplicated(fleet):
    fleet.duplication = 1.0


def late(fleet):
    fleet.jitter = 5.0


def store_down(fleet):
    fleet.store_up = False


def paused(fleet):
    fleet.paused = {cores.member(n).peer_address for n in (3, 4)}


def resumed(fleet):
    fleet.paused.clear()


def cut_domain(fleet):
    fleet.cut = domain_cut(fleet, 1)


def cut_region(fleet):
    fleet.cut = region_cut(fleet, 1)


def mass_restart(fleet):
    for index in range(FLEET_SIZE // 2):
        fleet.kill(index)
        fleet.start(index)


def mass_restart_without_store(fleet):
    fleet.store_up = False
    mass_restart(fleet)


def clear_faults(fleet):
    """Undo all faults without starting daemons."""
    fleet.store_up = True
    fleet.loss = fleet.duplication = fleet.jitter = 0.0
    fleet.cut = lambda one, other: False
    fleet.paused.clear()


# Fault, and the daemons that must get the version in force during it.
ALL_DAEMONS = range(FLEET_SIZE)
FAULTS = (
    (lossy, ALL_DAEMONS),
    (duplicated, ALL_DAEMONS),
    (late, ALL_DAEMONS),
    (store_down, ALL_DAEMONS),
    (paused, [n for n in ALL_DAEMONS if n not in (3, 4)]),
    # Both sides of the cut reach the store.
    (cut_domain, ALL_DAEMONS),
    (cut_region, ALL_DAEMONS),
    (mass_restart, ALL_DAEMONS),
    (mass_restart_without_store, range(FLEET_SIZE // 2, FLEET_SIZE)),
)


class TestFaults(testtools.TestCase):
    def fleet(self, name='convergence', count=FLEET_SIZE, domains=4):
        fleet = cores.Fleet(count, OPTIONS[name], domains=domains)
        fleet.run(3.0)
        return fleet

    def test_versions_spread_through_faults(self):
        for name in ('convergence', 'bytes'):
            for fault, served in FAULTS:
                with self.subTest(preset=name, fault=fault.__name__):
                    self.spread_through(name, fault, served)

    def spread_through(self, name, fault, served):
        fleet = self.fleet(name)
        fleet.submit_patch(FLEET_SIZE - 1)
        fleet.run(0.3)
        accepted = fleet.submit_patch(FLEET_SIZE - 1)
        fault(fleet)
        addresses = [cores.member(n).peer_address for n in served]

        def reached():
            numbers = (fleet.served[each] for each in addresses)
            return all(each and each[-1] == 2 for each in numbers)

        self.assertEqual(2, accepted.ok.number)
        self.assertIsNotNone(fleet.run_until(reached, 60.0))
        clear_faults(fleet)
        self.assertIsNotNone(fleet.run_until(fleet.converged, 30.0))
        self.assertEqual(([], []), (fleet.regressed(), fleet.damaged))

    def test_fleet_without_faults_converges_within_limit(self):
        fleet = self.fleet()
        fleet.submit_patch(0)
        taken = fleet.run_until(fleet.converged, 30.0)
        self.assertLessEqual(taken, MAX_CONVERGENCE_S)

    def test_readers_spread_a_version_accepted_by_a_killed_daemon(self):
        for name in ('convergence', 'bytes'):
            fleet = self.fleet(name)
            fleet.kill(0)
            fleet.submit_patch(0)
            fleet.start(0)
            self.assertIsNotNone(fleet.run_until(fleet.converged, 20.0))

    def test_store_reads_do_not_grow_with_the_fleet(self):
        for name in ('convergence', 'bytes'):
            chosen = OPTIONS[name]
            for count in (12, 36):
                fleet = self.fleet(name, count)
                fleet.run(10.0)
                before = fleet.store_reads
                seconds = 100.0
                fleet.run(seconds)
                rate = 4 * chosen.readers / chosen.head_interval
                made = (fleet.store_reads - before) / seconds
                most = rate / (1 - dissemination.JITTER_FRACTION)
                self.assertLessEqual(made, most)

    def test_restarted_daemon_reads_the_head_and_pulls_from_peers(self):
        fleet = self.fleet()
        fleet.submit_patch(0)
        fleet.run(3.0)
        others = 0
        for index in range(FLEET_SIZE):
            fleet.kill(index)
            fleet.start(index)
            self.assertIsNotNone(fleet.run_until(fleet.converged, 10.0))
            tables = fleet.core(index)
            chosen = tables.dissemination.options.readers
            if not overlay.is_reader(tables.membership, chosen):
                others += 1
                counters = tables.dissemination.counters
                self.assertEqual(
                    (1, 0), (counters.head_reads, counters.store_fetches)
                )
        self.assertGreater(others, 0)

    def test_store_reads_back_off_while_the_store_is_down(self):
        fleet = self.fleet()
        fleet.submit_patch(0)
        mass_restart_without_store(fleet)
        fleet.run(30.0)
        before = fleet.store_reads
        fleet.run(100.0)
        # Readers and daemons without a floor read once per longest backoff.
        least_wait = dissemination.MAX_BACKOFF_S * (
            1 - dissemination.JITTER_FRACTION
        )
        self.assertLessEqual(
            fleet.store_reads - before, FLEET_SIZE * (100.0 / least_wait + 1)
        )
        fleet.store_up = True
        longest = dissemination.MAX_BACKOFF_S * (
            1 + dissemination.JITTER_FRACTION
        )
        self.assertIsNotNone(
            fleet.run_until(fleet.converged, longest + MAX_CONVERGENCE_S)
        )

    def test_healed_partition_stays_within_control_bandwidth(self):
        fleet = self.fleet()
        fleet.cut = domain_cut(fleet, 1)
        fleet.store_up = False
        for _ in range(5):
            fleet.store_up = True
            fleet.submit_patch(0, padding=500)
            fleet.store_up = False
            fleet.run(1.0)
        self.assertFalse(fleet.converged())
        fleet.cut = lambda one, other: False
        before = fleet.sent_bytes
        taken = fleet.run_until(fleet.converged, 20.0)
        self.assertIsNotNone(taken)
        fleet.run(10.0 - min(taken, 10.0))
        made = (fleet.sent_bytes - before) / max(taken, 10.0) / FLEET_SIZE
        self.assertLessEqual(made, MAX_CONTROL_BYTES_S)

    def test_mass_restart_is_served_with_few_pulls(self):
        fleet = self.fleet(count=24)
        for _ in range(3):
            fleet.submit_patch(0, padding=500)
            fleet.run(1.0)
        for index in range(1, 24):
            fleet.kill(index)
        for index in range(1, 24):
            fleet.start(index)
        before = fleet.sent['Pull']
        self.assertIsNotNone(fleet.run_until(fleet.converged, 20.0))
        # One pull each, and as many again for those refused or timed out.
        self.assertLessEqual(fleet.sent['Pull'] - before, 2 * 23)

    def test_store_restored_from_an_older_copy_causes_no_rollback(self):
        fleet = self.fleet()
        for _ in range(3):
            fleet.submit_patch(0)
            fleet.run(1.0)
        older = cores.Fleet(1)
        older.submit_patch(0)
        older.submit_patch(0, padding=9)
        fleet.version_store = older.version_store
        fleet.run(5.0)
        self.assertEqual([3] * FLEET_SIZE, fleet.in_force())
        names = [event.name for _, event in fleet.events]
        self.assertIn('version.conflict', names)
        for number in (3, 4):
            accepted = fleet.submit_patch(0, padding=9)
            self.assertEqual(number, accepted.ok.number)
        self.assertIsNotNone(fleet.run_until(fleet.converged, 30.0))
        self.assertEqual([4] * FLEET_SIZE, fleet.in_force())
        self.assertEqual(([], []), (fleet.regressed(), fleet.damaged))
