"""Tests of merging, the border, the overlay, progress and batching."""

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

numbers = strategies.integers(0, 3)
wild = strategies.one_of(
    strategies.integers(-(1 << 63), (1 << 64) - 1), strategies.integers(0, 9)
)
text = strategies.one_of(
    strategies.sampled_from(('vm-1', 'vm-2', 'a', '10.0.0.1:1', '10.0.0.2:1')),
    strategies.text(max_size=80),
)
records = strategies.builds(
    messages.Member,
    vm=strategies.just('vm-1'),
    incarnation=numbers,
    region=strategies.just('r'),
    failure_domain=strategies.sampled_from(('d1', 'd2')),
    peer_address=strategies.just('10.0.0.1:1'),
    call_address=strategies.just('10.0.0.1:2'),
    revision=numbers,
    state=strategies.sampled_from(STATE),
    in_force=numbers,
)
forged = strategies.builds(
    messages.Member,
    vm=text,
    incarnation=wild,
    region=text,
    failure_domain=text,
    peer_address=text,
    call_address=text,
    revision=wild,
    state=strategies.sampled_from(STATE),
    upstream_state=strategies.sampled_from(UPSTREAM),
    slots=wild,
    ready_at_ms=wild,
    in_force=wild,
)
some = strategies.lists(forged, max_size=4).map(tuple)
received = strategies.one_of(
    strategies.builds(messages.Ping, wild, wild, some, wild),
    strategies.builds(
        messages.Ack, wild, wild, some, strategies.booleans(), wild
    ),
    strategies.builds(messages.PingRequest, wild, text, wild),
    strategies.builds(messages.Gossip, some),
    strategies.builds(messages.Join, forged, text),
    strategies.builds(messages.Welcome, some, strategies.booleans(), wild),
    strategies.builds(
        messages.Sync, strategies.lists(wild, max_size=70).map(tuple)
    ),
    strategies.builds(
        messages.SyncAnswer, strategies.lists(wild, max_size=4), some
    ),
    strategies.builds(
        messages.Progress, wild, wild, strategies.binary(max_size=9)
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
        daemon.tick(told(messages.Gossip(page)))
    return fleet, daemon


def told(message, sender='10.0.0.9:1'):
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
    def test_merge_never_goes_back(self, one, two):
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
    def test_no_older_incarnation_is_revived(self, heard):
        _, daemon = table_of(0)
        gone = messages.Member(
            'vm-1', 2, 'r', 'd1', '10.0.0.1:1', '', state=STATE.LEFT
        )
        daemon.tick(told(messages.Gossip((gone,))))
        daemon.tick(told(messages.Gossip(tuple(heard))))
        held = daemon.table.members['vm-1']
        newer = any(item.incarnation > 2 for item in heard)
        self.assertTrue(held.state is STATE.LEFT or newer)
        self.assertGreaterEqual(held.incarnation, 2)


class TestBorder(testtools.TestCase):
    @hypothesis.given(strategies.lists(received, max_size=8))
    @hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
    def test_forged_messages_leave_the_table_sound(self, heard):
        fleet, daemon = table_of(4)
        for item in heard:
            daemon.tick(told(item, '10.1.0.1:1'))
            fleet.clock.advance(0.3)
        daemon.tick()
        membership.require_consistent(daemon.table)
        self.assertEqual('me', daemon.table.local.vm)
        for held in daemon.table.members.values():
            self.assertLessEqual(held.revision, membership.MAX_COUNTER)
            self.assertLessEqual(len(held.vm), membership.MAX_TEXT_LENGTH)

    def test_numbers_of_records_are_bounded(self):
        _, daemon = table_of(0)
        many = tuple(member(i) for i in range(membership.MAX_RECORDS + 50))
        daemon.tick(told(messages.Gossip(many)))
        self.assertEqual(membership.MAX_RECORDS, len(daemon.table.members))
        for start in range(0, 2 * membership.MAX_MEMBERS, 256):
            page = tuple(member(start + i) for i in range(256))
            daemon.tick(told(messages.Gossip(page)))
        self.assertEqual(membership.MAX_MEMBERS, len(daemon.table.members))
        for index in range(3):
            gone = member(index, revision=1, state=STATE.LEFT)
            new = member(20_000 + index)
            daemon.tick(told(messages.Gossip((gone, new))))
            self.assertIs(STATE.ALIVE, daemon.sees(new.vm))
        self.assertEqual(membership.MAX_MEMBERS, len(daemon.table.members))

    def test_records_from_the_future_are_refused(self):
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
                daemon.tick(told(messages.Gossip((record,))))
                self.assertEqual({}, daemon.table.members)

    def test_a_daemon_outdoes_what_others_say_of_it(self):
        _, daemon = table_of(0)
        for state in (STATE.SUSPECT, STATE.DEAD, STATE.ALIVE):
            with self.subTest(state):
                rumour = msgspec.structs.replace(
                    daemon.table.local,
                    state=state,
                    revision=daemon.table.local.revision + 5,
                )
                daemon.tick(told(messages.Gossip((rumour,))))
                self.assertGreater(
                    daemon.table.local.revision, rumour.revision
                )
                self.assertIs(STATE.ALIVE, daemon.table.local.state)

    def test_the_dead_are_kept_a_while_and_then_forgotten(self):
        cases = (
            (STATE.DEAD, membership.DEAD_RETENTION_S),
            (STATE.LEFT, membership.LEFT_RETENTION_S),
        )
        for state, kept in cases:
            with self.subTest(state):
                fleet, daemon = table_of(1)
                left = member(0, 'd0', 'r0', revision=1, state=STATE.LEFT)
                if state is STATE.LEFT:
                    daemon.tick(told(messages.Gossip((left,))))
                fleet.run(30)
                self.assertIs(state, daemon.sees('vm-0000'))
                fleet.run(kept - 60)
                self.assertIs(state, daemon.sees('vm-0000'))
                fleet.run(90)
                self.assertIsNone(daemon.sees('vm-0000'))


class TestSync(testtools.TestCase):
    def test_one_neighbour_that_agrees_hides_none_that_differs(self):
        fleet, daemon = table_of(4)
        mine = daemon.table.digests.view
        asked = []
        for seconds, sender, view in (
            (0, '10.1.0.1:1', mine + 1),
            (1, '10.1.0.2:1', mine),
            (3, '10.1.0.1:1', mine + 1),
            (1, '10.1.0.1:1', mine + 1),
        ):
            fleet.clock.advance(seconds)
            ack = messages.Ack(99, 5, view=view)
            asked.append(
                {
                    effect.to
                    for effect in daemon.tick(told(ack, sender))
                    if isinstance(effect, effects.Send)
                    and isinstance(effect.message, messages.Sync)
                }
            )
        self.assertEqual([set(), set(), {'10.1.0.1:1'}, set()], asked)


class TestGossipQueue(testtools.TestCase):
    def test_urgent_first_newest_only_and_bounded(self):
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
    def test_views_that_agree_give_bounded_observers_in_other_domains(self):
        fleet = fakes.Fleet()
        fleet.grow(60, domains=6, regions=2)
        self.assertIsNotNone(fleet.run_until(fleet.whole, 90))
        observers = dict.fromkeys(fleet.daemons, 0)
        for daemon in fleet.daemons.values():
            me = daemon.tables.identity
            near = overlay.neighbours(daemon.table)
            self.assertEqual(overlay.RINGS, len({n.vm for n in near}))
            domains = {n.failure_domain for n in near}
            self.assertTrue(domains - {me.failure_domain})
            for neighbour in near:
                observers[neighbour.vm] += 1
        self.assertGreaterEqual(min(observers.values()), 1)
        bound = 2 * overlay.LOOK_AHEAD + overlay.RINGS
        self.assertLessEqual(max(observers.values()), bound)

    def test_a_lone_region_is_not_observed_by_all(self):
        fleet = fakes.Fleet()
        fleet.grow(59, domains=1)
        fleet.add('lone', 'd9', 'r9', ('10.0.0.1:1',))
        self.assertIsNotNone(fleet.run_until(fleet.whole, 90))
        observers = sum(
            1
            for daemon in fleet.daemons.values()
            for neighbour in overlay.neighbours(daemon.table)
            if neighbour.vm == 'lone'
        )
        self.assertLessEqual(
            observers, 2 * (overlay.LOOK_AHEAD + overlay.RINGS)
        )

    def test_readers_are_a_fixed_number_in_each_failure_domain(self):
        fleet = fakes.Fleet()
        fleet.grow(24)
        fleet.run_until(fleet.whole, 60)
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
    def test_kept_order_equals_order_made_new(self, flips):
        fleet, daemon = table_of(20)
        context = dispatch.Context(
            fleet.clock.monotonic(), fleet.clock.wall(), random.Random(1)
        )
        for index in flips:
            vm = f'vm-{index:04}'
            list(membership.declare_dead(daemon.table, vm, context))
            overlay.neighbours(daemon.table)
        kept = overlay.neighbours(daemon.table)
        daemon.table.overlay = None
        self.assertEqual(kept, overlay.neighbours(daemon.table))


class TestProgress(testtools.TestCase):
    def test_every_daemon_learns_who_has_a_version_in_force(self):
        fleet = fakes.Fleet()
        fleet.grow(24)
        fleet.run_until(fleet.whole, 60)
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

    def test_a_burst_of_versions_does_not_delay_a_drain(self):
        fleet = fakes.Fleet()
        fleet.grow(24)
        fleet.run_until(fleet.whole, 60)
        leaving = fleet.daemons['vm-0003']
        for number in range(1, 20):
            for daemon in fleet.daemons.values():
                membership.set_in_force(daemon.table, number)
            fleet.run(0.2)
        fleet.carry(leaving, leaving.tick(dispatch.StopRequested()))
        fleet.run(2)
        states = {
            daemon.table.members[leaving.vm].upstream_state
            for daemon in fleet.daemons.values()
            if daemon is not leaving
        }
        self.assertEqual({UPSTREAM.DRAINING}, states)


class TestPeering(testtools.TestCase):
    sends = strategies.lists(
        strategies.builds(
            effects.Send,
            strategies.sampled_from(('a', 'b')),
            strategies.builds(messages.Pull, numbers),
            strategies.booleans(),
        ),
        max_size=600,
    )

    @hypothesis.given(sends)
    @SETTINGS
    def test_batches_keep_everything_in_order_within_bounds(self, sends):
        made = list(batching.batch_sends(sends))
        for to in ('a', 'b'):
            carried = [m for b in made if b.to == to for m in b.messages]
            asked = [send.message for send in sends if send.to == to]
            self.assertEqual(asked, carried)
        self.assertTrue(
            all(len(b.messages) <= batching.MAX_BATCH_MESSAGES for b in made)
        )

    def test_large_messages_are_split_and_urgent_ones_lead(self):
        document = b'x' * (batching.MAX_BATCH_BYTES // 2)
        push = messages.Push(1, '', '', '', document)
        sends = [
            effects.Send('a', push),
            effects.Send('a', push),
            effects.Send('b', messages.Pull(1), urgent=True),
        ]
        made = list(batching.batch_sends(sends))
        self.assertEqual(['b', 'a', 'a'], [batch.to for batch in made])
        split = batching.split_answer(sends, 'a')
        self.assertEqual((push,), split.answer)
        self.assertEqual(tuple(sends[1:]), split.remaining)
