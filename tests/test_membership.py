"""Tests of member records: merging, validation, spreading and the overlay.

Progress bitmaps and message batches are tested here, too.
"""

import random

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from jujubefold import batching
from jujubefold import dispatch
from jujubefold import effects
from jujubefold import gossip
from jujubefold import membership
from jujubefold import messages
from jujubefold import overlay
from tests import fakes

STATE = messages.MemberState
UPSTREAM = messages.UpstreamState
SETTINGS = hypothesis.settings(derandomize=True, max_examples=200)

small_integers = strategies.integers(0, 3)
any_integer = strategies.one_of(
    strategies.integers(-(1 << 63), (1 << 64) - 1), strategies.integers(0, 9)
)
any_text = strategies.one_of(
    strategies.sampled_from(('vm-1', 'vm-2', 'a', '10.0.0.1:1', '10.0.0.2:1')),
    strategies.text(max_size=80),
)
records = strategies.builds(
    messages.Member,
    vm=strategies.just('vm-1'),
    incarnation=small_integers,
    region=strategies.just('r'),
    failure_domain=strategies.sampled_from(('d1', 'd2')),
    peer_address=strategies.just('10.0.0.1:1'),
    call_address=strategies.just('10.0.0.1:2'),
    revision=small_integers,
    state=strategies.sampled_from(STATE),
    in_force=small_integers,
)
untrusted_records = strategies.builds(
    messages.Member,
    vm=any_text,
    incarnation=any_integer,
    region=any_text,
    failure_domain=any_text,
    peer_address=any_text,
    call_address=any_text,
    revision=any_integer,
    state=strategies.sampled_from(STATE),
    upstream_state=strategies.sampled_from(UPSTREAM),
    slots=any_integer,
    ready_at_ms=any_integer,
    in_force=any_integer,
)
record_tuples = strategies.lists(untrusted_records, max_size=4).map(tuple)
untrusted_messages = strategies.one_of(
    strategies.builds(
        messages.Ping, any_integer, any_integer, record_tuples, any_integer
    ),
    strategies.builds(
        messages.Ack,
        any_integer,
        any_integer,
        record_tuples,
        strategies.booleans(),
        any_integer,
    ),
    strategies.builds(
        messages.PingRequest, any_integer, any_text, any_integer
    ),
    strategies.builds(messages.Gossip, record_tuples),
    strategies.builds(messages.Join, untrusted_records, any_text),
    strategies.builds(
        messages.Welcome, record_tuples, strategies.booleans(), any_integer
    ),
    strategies.builds(
        messages.Sync, strategies.lists(any_integer, max_size=70).map(tuple)
    ),
    strategies.builds(
        messages.SyncAnswer,
        strategies.lists(any_integer, max_size=4),
        record_tuples,
    ),
    strategies.builds(
        messages.Progress,
        any_integer,
        any_integer,
        strategies.binary(max_size=9),
    ),
)


def member(index, domain='d1', region='r1', **fields):
    address = f'10.1.{index // 250}.{index % 250}:1'
    return messages.Member(
        f'vm-{index:04}', 5, region, domain, address, address, **fields
    )


def table_of(count, domains=3, regions=1):
    fleet = fakes.Fleet()
    daemon = fleet.add('me', 'd0', 'r0')
    others = tuple(
        member(index, f'd{index % domains}', f'r{index % domains % regions}')
        for index in range(count)
    )
    for start in range(0, count, membership.MAX_RECORDS):
        page = others[start : start + membership.MAX_RECORDS]
        daemon.tick(message_input(messages.Gossip(page)))
    return fleet, daemon


def message_input(message, sender='10.0.0.9:1'):
    return dispatch.MessageReceived(sender, 5, message)


class TestMerge(testtools.TestCase):
    @hypothesis.given(records, records, records)
    @SETTINGS
    def test_merge_is_a_least_upper_bound(self, one, two, three):
        merge = membership.merge
        self.assertEqual(one, merge(one, one))
        self.assertEqual(merge(one, two), merge(two, one))
        self.assertEqual(
            merge(merge(one, two), three), merge(one, merge(two, three))
        )

    @hypothesis.given(records, records)
    @SETTINGS
    def test_merge_keeps_highest_incarnation_and_version(self, one, two):
        merged = membership.merge(one, two)
        self.assertEqual(
            max(one.incarnation, two.incarnation), merged.incarnation
        )
        newest = [
            item
            for item in (one, two)
            if item.incarnation == merged.incarnation
        ]
        self.assertEqual(
            max(item.in_force for item in newest), merged.in_force
        )
        if any(item.state is STATE.LEFT for item in newest):
            self.assertIs(STATE.LEFT, merged.state)

    @hypothesis.given(strategies.lists(records, max_size=6))
    @SETTINGS
    def test_older_incarnation_does_not_revive_a_left_member(self, received):
        _, daemon = table_of(0)
        left_record = messages.Member(
            'vm-1', 2, 'r', 'd1', '10.0.0.1:1', '', state=STATE.LEFT
        )
        daemon.tick(message_input(messages.Gossip((left_record,))))
        daemon.tick(message_input(messages.Gossip(tuple(received))))
        held = daemon.table.members['vm-1']
        newer = any(item.incarnation > 2 for item in received)
        self.assertTrue(held.state is STATE.LEFT or newer)
        self.assertGreaterEqual(held.incarnation, 2)


class TestValidation(testtools.TestCase):
    @hypothesis.given(strategies.lists(untrusted_messages, max_size=8))
    @hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
    def test_untrusted_messages_keep_the_table_consistent(self, received):
        fleet, daemon = table_of(4)
        for item in received:
            daemon.tick(message_input(item, '10.1.0.1:1'))
            fleet.clock.advance(0.3)
        daemon.tick()
        membership.require_consistent(daemon.table)
        self.assertEqual('me', daemon.table.local.vm)
        for held in daemon.table.members.values():
            self.assertLessEqual(held.revision, membership.MAX_COUNTER)
            self.assertLessEqual(len(held.vm), membership.MAX_TEXT_LENGTH)

    def test_number_of_records_is_bounded(self):
        _, daemon = table_of(0)
        many = tuple(member(i) for i in range(membership.MAX_RECORDS + 50))
        daemon.tick(message_input(messages.Gossip(many)))
        self.assertEqual(membership.MAX_RECORDS, len(daemon.table.members))
        for start in range(0, 2 * membership.MAX_MEMBERS, 256):
            page = tuple(member(start + i) for i in range(256))
            daemon.tick(message_input(messages.Gossip(page)))
        self.assertEqual(membership.MAX_MEMBERS, len(daemon.table.members))
        for index in range(3):
            left_record = member(index, revision=1, state=STATE.LEFT)
            new = member(20_000 + index)
            daemon.tick(message_input(messages.Gossip((left_record, new))))
            self.assertIs(STATE.ALIVE, daemon.state_of(new.vm))
        self.assertEqual(membership.MAX_MEMBERS, len(daemon.table.members))

    def test_records_with_counters_too_far_ahead_are_rejected(self):
        fleet, daemon = table_of(0)
        day_ms = int(membership.MAX_INCARNATION_AHEAD_S * 1000)
        now_ms = int(fleet.clock.wall() * 1000)
        cases = (
            ('incarnation', now_ms + day_ms + 1000 << 16),
            ('revision', membership.MAX_COUNTER + 1),
            ('in_force', membership.MAX_COUNTER + 1),
        )
        for field, value in cases:
            with self.subTest(field):
                record = msgspec.structs.replace(member(1), **{field: value})
                daemon.tick(message_input(messages.Gossip((record,))))
                self.assertEqual({}, daemon.table.members)

    def test_daemon_refutes_records_that_others_send_about_it(self):
        _, daemon = table_of(0)
        for state in (STATE.SUSPECT, STATE.DEAD, STATE.ALIVE):
            with self.subTest(state):
                reported = msgspec.structs.replace(
                    daemon.table.local,
                    state=state,
                    revision=daemon.table.local.revision + 5,
                )
                daemon.tick(message_input(messages.Gossip((reported,))))
                self.assertGreater(
                    daemon.table.local.revision, reported.revision
                )
                self.assertIs(STATE.ALIVE, daemon.table.local.state)

    def test_dead_and_left_members_are_removed_after_retention(self):
        cases = (
            (STATE.DEAD, membership.DEAD_RETENTION_S),
            (STATE.LEFT, membership.LEFT_RETENTION_S),
        )
        for state, retention in cases:
            with self.subTest(state):
                fleet, daemon = table_of(1)
                left = member(0, 'd0', 'r0', revision=1, state=STATE.LEFT)
                if state is STATE.LEFT:
                    daemon.tick(message_input(messages.Gossip((left,))))
                fleet.run(30)
                self.assertIs(state, daemon.state_of('vm-0000'))
                fleet.run(retention - 60)
                self.assertIs(state, daemon.state_of('vm-0000'))
                fleet.run(90)
                self.assertIsNone(daemon.state_of('vm-0000'))


class TestSync(testtools.TestCase):
    def test_agreeing_neighbour_does_not_hide_a_differing_one(self):
        fleet, daemon = table_of(4)
        mine = daemon.table.digests.view
        sync_targets = []
        for seconds, sender, view in (
            (0, '10.1.0.1:1', mine + 1),
            (1, '10.1.0.2:1', mine),
            (3, '10.1.0.1:1', mine + 1),
            (1, '10.1.0.1:1', mine + 1),
        ):
            fleet.clock.advance(seconds)
            ack = messages.Ack(99, 5, view=view)
            sync_targets.append(
                {
                    effect.to
                    for effect in daemon.tick(message_input(ack, sender))
                    if isinstance(effect, effects.Send)
                    and isinstance(effect.message, messages.Sync)
                }
            )
        self.assertEqual([set(), set(), {'10.1.0.1:1'}, set()], sync_targets)


class TestGossipQueue(testtools.TestCase):
    def test_takes_urgent_first_and_only_newest_records_within_bounds(self):
        queue = gossip.UpdateQueue()
        for index in range(100):
            queue.add(member(index), gossip.Priority.OTHER)
            queue.add(member(index, revision=1), gossip.Priority.OTHER)
        queue.add(member(500), gossip.Priority.LEAVING)
        taken = queue.take()
        self.assertEqual('vm-0500', taken[0].vm)
        size = len(msgspec.msgpack.encode(taken))
        self.assertLessEqual(size, gossip.MAX_UPDATE_BYTES + 8)
        counts = {}
        while len(queue):
            for record in queue.take():
                counts[record] = counts.get(record, 0) + 1
        self.assertEqual({1}, {r.revision for r in counts} - {0})
        self.assertLessEqual(max(counts.values()), gossip.URGENT_SENDS)


class TestOverlay(testtools.TestCase):
    def test_neighbours_are_in_other_domains_and_observers_are_bounded(self):
        fleet = fakes.Fleet()
        fleet.add_daemons(60, domains=6, regions=2)
        self.assertIsNotNone(fleet.run_until(fleet.is_converged, 90))
        observers = dict.fromkeys(fleet.daemons, 0)
        for daemon in fleet.daemons.values():
            own = daemon.tables.identity
            neighbours = overlay.neighbours(daemon.table)
            self.assertEqual(overlay.RINGS, len({n.vm for n in neighbours}))
            domains = {n.failure_domain for n in neighbours}
            self.assertTrue(domains - {own.failure_domain})
            for neighbour in neighbours:
                observers[neighbour.vm] += 1
        self.assertGreaterEqual(min(observers.values()), 1)
        bound = 2 * overlay.LOOK_AHEAD + overlay.RINGS
        self.assertLessEqual(max(observers.values()), bound)

    def test_only_daemon_of_a_region_has_a_bounded_number_of_observers(self):
        fleet = fakes.Fleet()
        fleet.add_daemons(59, domains=1)
        fleet.add('lone', 'd9', 'r9', ('10.0.0.1:1',))
        self.assertIsNotNone(fleet.run_until(fleet.is_converged, 90))
        observers = sum(
            1
            for daemon in fleet.daemons.values()
            for neighbour in overlay.neighbours(daemon.table)
            if neighbour.vm == 'lone'
        )
        self.assertLessEqual(
            observers, 2 * (overlay.LOOK_AHEAD + overlay.RINGS)
        )

    def test_each_failure_domain_has_the_configured_number_of_readers(self):
        fleet = fakes.Fleet()
        fleet.add_daemons(24)
        fleet.run_until(fleet.is_converged, 60)
        for count in (1, 2, 5):
            readers = [
                daemon.tables.identity.failure_domain
                for daemon in fleet.daemons.values()
                if overlay.is_reader(daemon.table, count)
            ]
            self.assertEqual(
                {f'd{i}': count for i in range(3)},
                {name: readers.count(name) for name in set(readers)},
            )

    @hypothesis.given(
        strategies.lists(strategies.integers(0, 30), max_size=40)
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_updated_rings_equal_rebuilt_rings(self, killed):
        fleet, daemon = table_of(20)
        context = dispatch.Context(
            fleet.clock.monotonic(), fleet.clock.wall(), random.Random(1)
        )
        for index in killed:
            vm = f'vm-{index:04}'
            list(membership.declare_dead(daemon.table, vm, context))
            overlay.neighbours(daemon.table)
        updated = overlay.neighbours(daemon.table)
        daemon.table.overlay = None
        self.assertEqual(updated, overlay.neighbours(daemon.table))


class TestProgress(testtools.TestCase):
    def test_every_daemon_learns_which_have_a_version_in_force(self):
        fleet = fakes.Fleet()
        fleet.add_daemons(24)
        fleet.run_until(fleet.is_converged, 60)
        fleet.run(10)
        slow = fleet.daemons['vm-0007']
        revisions = [d.table.local.revision for d in fleet.daemons.values()]
        for number in (3, 4):
            for daemon in fleet.daemons.values():
                behind = daemon is slow and number == 4
                membership.set_in_force(daemon.table, 3 if behind else number)
            fleet.run(15)
        for daemon in fleet.daemons.values():
            held = {
                vm: other.in_force
                for vm, other in daemon.table.members.items()
            }
            expected = dict.fromkeys(fleet.daemons, 4) | {slow.vm: 3}
            del expected[daemon.vm]
            self.assertEqual(expected, held)
        self.assertEqual(
            revisions, [d.table.local.revision for d in fleet.daemons.values()]
        )

    def test_burst_of_versions_does_not_delay_a_drain(self):
        fleet = fakes.Fleet()
        fleet.add_daemons(24)
        fleet.run_until(fleet.is_converged, 60)
        leaving = fleet.daemons['vm-0003']
        for number in range(1, 20):
            for daemon in fleet.daemons.values():
                membership.set_in_force(daemon.table, number)
            fleet.run(0.2)
        fleet.apply_effects(leaving, leaving.tick(dispatch.StopRequested()))
        fleet.run(2)
        states = {
            daemon.table.members[leaving.vm].upstream_state
            for daemon in fleet.daemons.values()
            if daemon is not leaving
        }
        self.assertEqual({UPSTREAM.DRAINING}, states)


class TestBatching(testtools.TestCase):
    sends = strategies.lists(
        strategies.builds(
            effects.Send,
            strategies.sampled_from(('a', 'b')),
            strategies.builds(messages.Pull, small_integers),
            strategies.booleans(),
        ),
        max_size=600,
    )

    @hypothesis.given(sends)
    @SETTINGS
    def test_batches_keep_all_messages_in_order_within_bounds(self, sends):
        batches = list(batching.batch_sends(sends))
        for to in ('a', 'b'):
            carried = [m for b in batches if b.to == to for m in b.messages]
            expected = [send.message for send in sends if send.to == to]
            self.assertEqual(expected, carried)
        self.assertTrue(
            all(
                len(b.messages) <= batching.MAX_BATCH_MESSAGES for b in batches
            )
        )

    def test_large_messages_are_split_and_urgent_addresses_come_first(self):
        document = b'x' * (batching.MAX_BATCH_BYTES // 2)
        push = messages.Push(1, '', '', '', document)
        sends = [
            effects.Send('a', push),
            effects.Send('a', push),
            effects.Send('b', messages.Pull(1), urgent=True),
        ]
        batches = list(batching.batch_sends(sends))
        self.assertEqual(['b', 'a', 'a'], [batch.to for batch in batches])
        split = batching.split_answer(sends, 'a')
        self.assertEqual((push,), split.answer)
        self.assertEqual(tuple(sends[1:]), split.remaining)
