"""Tests of until when a daemon is sure that its version is the newest."""

import asyncio
import random

import testtools

from jujubefold import clock
from jujubefold import errors
from jujubefold.platform import configuration
from jujubefold.sidecar import distribution
from jujubefold.sidecar import feedwatcher
from jujubefold.sidecar import frames
from jujubefold.sidecar import freshness
from jujubefold.sidecar import freshnessexchange
from jujubefold.sidecar import rowfeed
from jujubefold.sidecar import storeera
from jujubefold.sidecar import versions
from tests import pausedloop
from tests import sidecars

REVOKE_S = 5.0
LIMIT_S = 4.5
# Seconds without a path to the store that never lead to a refusal.
TOLERATED_S = 3.0
V1 = versions.Stamp(1, 1)
V2 = versions.Stamp(2, 1)


class TestTable(testtools.TestCase):
    def ask(self, table, now, readers=('r-1', 'r-2'), follows=False):
        """Return the next step of a daemon that reads nothing itself."""
        return freshness.next_step(table, 'vm', readers, follows, now)

    def test_a_confirmation_holds_for_the_limit_and_no_longer(self):
        table = freshness.new_table(REVOKE_S)
        self.assertFalse(freshness.is_confirmed(table, 0.0))
        freshness.record(table, 100.0, V1, V1)
        self.assertTrue(freshness.is_confirmed(table, 100.0 + LIMIT_S))
        self.assertFalse(freshness.is_confirmed(table, 100.01 + LIMIT_S))

    def test_an_answer_counts_from_the_question_and_its_own_age(self):
        table = freshness.new_table(REVOKE_S)
        question = self.ask(table, 100.0)
        answer = freshness.Answer(question.number, V1, 0.7)
        freshness.record_answer(table, answer, V1, 103.0)
        self.assertEqual(99.3, table.confirmed_at)
        # The same answer again must not extend it.
        question = self.ask(table, 103.0)
        freshness.record_answer(table, answer, V1, 104.0)
        self.assertEqual(99.3, table.confirmed_at)

    def test_a_newer_version_confirms_only_once_it_is_in_force(self):
        table = freshness.new_table(REVOKE_S)
        question = self.ask(table, 100.0)
        answer = freshness.Answer(question.number, V2, 0.0)
        freshness.record_answer(table, answer, V1, 100.1)
        freshness.settle(table, V1)
        self.assertFalse(freshness.is_confirmed(table, 100.1))
        freshness.settle(table, V2)
        self.assertEqual(100.0, table.confirmed_at)

    def test_a_reader_that_knows_an_older_version_confirms(self):
        table = freshness.new_table(REVOKE_S)
        question = self.ask(table, 100.0)
        answer = freshness.Answer(question.number, V1, 0.0)
        freshness.record_answer(table, answer, V2, 100.1)
        self.assertTrue(freshness.is_confirmed(table, 100.1))

    def test_silent_readers_are_followed_by_others_and_the_store(self):
        table = freshness.new_table(REVOKE_S)
        steps = [self.ask(table, 100.0 + tick / 10) for tick in range(30)]
        taken = [
            (tick / 10, getattr(step, 'vm', 'store'))
            for tick, step in enumerate(steps)
            if step is not None
        ]
        first = taken[0][1]
        other = {'r-1': 'r-2', 'r-2': 'r-1'}[first]
        self.assertEqual(
            [(0.0, first), (0.5, other), (1.0, 'store'), (2.0, first)],
            taken[:4],
        )

    def test_a_reader_without_the_store_is_left_at_once(self):
        for age in (-1.0, 3.0):
            table = freshness.new_table(REVOKE_S)
            first = self.ask(table, 100.0)
            answer = freshness.Answer(first.number, V1, age)
            freshness.record_answer(table, answer, V1, 100.01)
            other = self.ask(table, 100.1)
            self.assertNotEqual(first.vm, other.vm)
            answer = freshness.Answer(other.number, V1, age)
            freshness.record_answer(table, answer, V1, 100.11)
            reads = [
                self.ask(table, 100.2 + tick / 10) is not None
                for tick in range(18)
            ]
            # One read a second: many daemons may have lost their readers.
            self.assertEqual(
                [0, 10], [n for n, read in enumerate(reads) if read]
            )

    def test_a_daemon_that_follows_the_store_makes_no_further_reads(self):
        table = freshness.new_table(REVOKE_S)
        self.assertIsNone(self.ask(table, 100.0, ('vm',), follows=True))

    def test_intervals_follow_the_setting(self):
        self.assertEqual(0.3, round(freshness.feed_intervals(5.0).wait, 6))
        self.assertEqual(0.5, freshness.feed_intervals(60.0).wait)
        self.assertLess(freshness.feed_intervals(1.0).wait, 0.07)


class Node:
    """A daemon's freshness: it follows the store, or asks those that do."""

    def __init__(self, net, vm, is_reader):
        self.own_vm = vm
        self.delay = 0.01
        self.awaited_stamp = versions.Stamp()
        self.announced = []
        self.log = sidecars.RecordingEventLog()
        self.versions = versions.Versions(
            configuration.Decoder().decode,
            lambda configuration, source: None,
            self.log,
        )
        self.store_era = storeera.StoreEra(
            lambda era: self.exchange.unconfirm(), self.log
        )
        self.exchange = freshnessexchange.FreshnessExchange(
            self, self.versions, net.clock, self.store_era, self.log
        )
        self._net = net
        self._feed = storeera.FencedRowFeed(net.feed, self.store_era)
        self.watcher = feedwatcher.FeedWatcher(
            self._feed,
            'op',
            self._apply,
            self._apply,
            freshness.feed_intervals(REVOKE_S),
            lambda available: None,
            random.Random(1),
            self.log,
        )
        self.exchange.start(REVOKE_S, self._read, lambda: is_reader)
        self.watcher.read_started = self.exchange.read_started
        self.watcher.read_ended = self.exchange.read_ended
        net.nodes[vm] = self
        net.tasks.append(asyncio.ensure_future(self._sweep()))
        if is_reader:
            net.tasks.append(asyncio.ensure_future(self.watcher.run()))

    @property
    def version_exchange(self):
        """What the exchange tells of newer versions."""
        return self

    def handle_announcement(self, stamp, channel):
        """Note a version that an answer named."""
        self.announced.append(stamp)

    def nearby_daemons(self):
        """Return the readers, which have the largest links, and this one."""
        return [
            distribution.Node(vm, 10.0 if vm.startswith('r') else 1.0)
            for vm in self._net.nodes
        ]

    def send(self, vm, message):
        """Deliver a message to another node after its delay."""
        target = self._net.nodes.get(vm)
        if target is None or {self, target} & self._net.cut:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay, target.receive, message, self)

    def receive(self, message, sender):
        """Handle a message of another node."""
        self.exchange.handle(message, Channel(self, sender.own_vm))

    async def _read(self):
        if self not in self._net.cut:
            await self.watcher.read_once()

    def _apply(self, rows):
        for row in rows:
            self.versions.apply(row.value, 'store', self.watcher.cursor.era)

    async def _sweep(self):
        while True:
            self.exchange.sweep()
            await asyncio.sleep(0.1)


class Channel:
    """Sends to one node."""

    def __init__(self, node, vm):
        self.vm = vm
        self._node = node

    def send(self, message):
        self._node.send(self.vm, message)


class Net:
    """Nodes on one store."""

    def __init__(self, paused):
        self.clock = paused
        self.feed = rowfeed.MemoryRowFeed()
        self.feed.era = 1
        self.nodes = {}
        self.tasks = []
        self.cut = set()

    def stop(self):
        """Stop all nodes."""
        for task in self.tasks:
            task.cancel()
        self.nodes.clear()

    async def write(self, number, *keys):
        """Write a version with one tenant that has these keys."""
        rows = [sidecars.tenant('t', *keys)]
        await self.feed.put(
            'op', 'config', sidecars.document(number, tenants=rows)
        )


class TestExchange(testtools.TestCase):
    def play(self, scenario):
        """Run a scenario with a net that has one version."""

        async def main(paused):
            net = Net(paused)
            await net.write(1, 'k', 'l')
            try:
                await scenario(net)
            finally:
                net.stop()

        pausedloop.run(main)

    async def start(self, net, seconds=2.0):
        """Start a reader and a daemon that asks it."""
        reader, asker = Node(net, 'r-1', True), Node(net, 'vm-1', False)
        (row,) = (await net.feed.get('op', 'config')).ok.rows
        asker.versions.apply(row.value, 'peer', 1)
        await asyncio.sleep(seconds)
        self.assertTrue(reader.exchange.is_confirmed())
        self.assertTrue(asker.exchange.is_confirmed())
        return reader, asker

    async def refused_after(self, net, node, limit=10.0):
        """Return the seconds until a node no longer serves keys."""
        started = net.clock.boottime()
        while node.exchange.is_confirmed():
            await asyncio.sleep(0.02)
            if net.clock.boottime() - started > limit:
                return None
        return net.clock.boottime() - started

    def test_keys_are_served_while_the_store_is_away_and_no_longer(self):
        async def scenario(net):
            for offset in range(12):
                nodes = await self.start(net, 2.0 + 0.07 * offset)
                net.feed.fault = errors.StoreNotRun('away')
                await net.feed.wake()
                for seconds in await asyncio.gather(
                    *(self.refused_after(net, node) for node in nodes)
                ):
                    self.assertGreaterEqual(seconds, TOLERATED_S, offset)
                    self.assertLessEqual(seconds, LIMIT_S + 0.03, offset)
                net.feed.fault = None
                await asyncio.sleep(2.0)
                for node in nodes:
                    self.assertTrue(node.exchange.is_confirmed())
                    events = [event for event, _ in node.log.records]
                    self.assertEqual(
                        ['confirmed', 'unconfirmed', 'confirmed'],
                        [
                            event.removeprefix('keys.')
                            for event in events
                            if event.startswith('keys.')
                        ][1:],
                    )
                net.stop()

        self.play(scenario)

    def test_a_daemon_that_is_cut_off_serves_keys_for_the_same_time(self):
        # Its own confirmation is older than the reader's by a question.
        async def scenario(net):
            served = []
            for offset in range(30):
                _, asker = await self.start(net, 2.0 + 0.037 * offset)
                net.cut.add(asker)
                served.append(await self.refused_after(net, asker))
                net.stop()
            self.assertGreaterEqual(min(served), TOLERATED_S)
            self.assertLessEqual(max(served), LIMIT_S + 0.03)

        self.play(scenario)

    def test_healthy_daemons_never_refuse_and_read_little(self):
        async def scenario(net):
            reader, asker = await self.start(net)
            reads = []
            asker.watcher.read_once = lambda: reads.append(1)
            self.assertIsNone(await self.refused_after(net, asker, 60.0))
            self.assertEqual([], reads)
            self.assertEqual(
                1,
                len(
                    [e for e, _ in asker.log.records if e == 'keys.confirmed']
                ),
            )

        self.play(scenario)

    def test_a_suspended_vm_serves_nothing_by_what_it_knew(self):
        async def scenario(net):
            reader, asker = await self.start(net)
            net.cut |= {asker}
            net.clock.suspend(LIMIT_S)
            self.assertFalse(asker.exchange.is_confirmed())
            self.assertFalse(reader.exchange.is_confirmed())
            # The answer of a read that was sent before comes afterwards.
            await asyncio.sleep(0.31)
            self.assertFalse(reader.exchange.is_confirmed())
            await asyncio.sleep(0.5)
            self.assertTrue(reader.exchange.is_confirmed())

        self.play(scenario)

    def test_late_answers_count_from_their_question(self):
        async def scenario(net):
            reader, asker = await self.start(net)
            net.cut |= {asker}
            await asyncio.sleep(LIMIT_S)
            self.assertFalse(asker.exchange.is_confirmed())
            sent = []
            reader.receive = lambda message, sender: sent.append(message)
            net.cut.clear()
            # The store does not answer this daemon either.
            asker.watcher.read_once = lambda: asyncio.sleep(100.0)
            while not sent:
                await asyncio.sleep(0.05)
            net.clock.suspend(LIMIT_S + 0.1)
            Node.receive(reader, sent[0], asker)
            await asyncio.sleep(0.05)
            self.assertFalse(asker.exchange.is_confirmed())

        self.play(scenario)

    def test_a_daemon_without_readers_reads_the_store(self):
        async def scenario(net):
            reader, asker = await self.start(net)
            del net.nodes['r-1']
            full_reads = []
            read = net.feed.read

            async def counted(table):
                full_reads.append(table)
                return await read(table)

            net.feed.read = counted
            self.assertIsNone(await self.refused_after(net, asker, 20.0))
            # Then only what changed: a configuration is large.
            self.assertEqual(1, len(full_reads))
            await net.write(2, 'k')
            await asyncio.sleep(2.0)
            self.assertEqual(2, asker.versions.number)

        self.play(scenario)

    def test_a_newer_version_that_did_not_arrive_is_not_confirmed(self):
        async def scenario(net):
            reader, asker = await self.start(net)
            await net.write(2, 'k')
            # It hears the reader's answers and never gets the document.
            seconds = await self.refused_after(net, asker)
            self.assertLessEqual(seconds, LIMIT_S)
            self.assertIn(V2, asker.announced)
            body = sidecars.document(2, tenants=[sidecars.tenant('t', 'k')])
            asker.versions.apply(body, 'peer', 1)
            self.assertTrue(asker.exchange.is_confirmed())

        self.play(scenario)

    def test_after_a_restart_a_version_of_a_peer_is_not_enough(self):
        async def scenario(net):
            reader, _ = await self.start(net)
            restarted = Node(net, 'vm-2', False)
            restarted.watcher.read_once = lambda: asyncio.sleep(100.0)
            body = sidecars.document(
                1, tenants=[sidecars.tenant('t', 'k', 'l')]
            )
            restarted.versions.apply(body, 'peer', 1)
            self.assertFalse(restarted.exchange.is_confirmed())
            await asyncio.sleep(0.2)
            self.assertTrue(restarted.exchange.is_confirmed())

        self.play(scenario)

    def test_a_new_era_unconfirms_until_it_was_read(self):
        async def scenario(net):
            reader, asker = await self.start(net)
            copied = net.feed.copy()
            net.feed.restore(copied)
            for node in (reader, asker):
                node.store_era.accept(2, 'peer')
                self.assertFalse(node.exchange.is_confirmed())
            await asyncio.sleep(2.0)
            for node in (reader, asker):
                self.assertTrue(node.exchange.is_confirmed())

        self.play(scenario)

    def test_a_key_withdrawn_under_a_lost_number_is_not_served(self):
        # Version 2 of the new era can't replace version 3, which was lost.
        async def scenario(net):
            copied = net.feed.copy()
            await net.write(3, 'k', 'l')
            reader, asker = await self.start(net)
            net.feed.restore(copied)
            await asyncio.sleep(2.0)
            self.assertTrue(reader.exchange.is_confirmed())
            await net.write(2, 'k')
            await asyncio.sleep(LIMIT_S + 0.5)
            self.assertEqual(3, reader.versions.number)
            self.assertFalse(reader.exchange.is_confirmed())
            await net.write(4, 'k')
            await asyncio.sleep(1.0)
            self.assertTrue(reader.exchange.is_confirmed())

        self.play(scenario)

    def test_answers_of_an_earlier_era_are_ignored(self):
        async def scenario(net):
            _, asker = await self.start(net)
            asker.store_era.accept(2, 'peer')
            sent = []
            asker.send = lambda vm, message: sent.append(message)
            asker.exchange.sweep()
            number = sent[0].question
            asker.exchange.handle(
                frames.Freshness(number, 1, 1, 0, 1), Channel(asker, 'r-1')
            )
            self.assertFalse(asker.exchange.is_confirmed())

        self.play(scenario)


class TestClock(testtools.TestCase):
    def test_the_limit_counts_suspended_time(self):
        paused = clock.PausedClock()
        table = freshness.new_table(REVOKE_S)
        freshness.record(table, paused.boottime(), V1, V1)
        paused.suspend(LIMIT_S + 0.1)
        self.assertFalse(freshness.is_confirmed(table, paused.boottime()))
