"""Tests of the rollout controller: leases, lost answers, pauses, orders."""

import asyncio
import json
import random

import expression
import msgspec
import testtools

from jujubefold import errors
from jujubefold.platform import rollouts
from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutcontroller
from jujubefold.sidecar import rolloutplan
from jujubefold.sidecar import rowfeed
from tests import pausedloop
from tests import sidecars

DURATION_S = 16.0
# Answers a second to each service.
RATE = 400


class FaultyFeed(rowfeed.MemoryRowFeed):
    """Store whose clock is the paused one, with faults of one call.

    Attributes:
        after_evidence: Called after each read of the evidence.
        lose: Whether the answer of the next transaction is lost.
        ages: Seconds from the last read of evidence to each transaction.
        records: `rollout.Record` of each transaction that was carried out.
    """

    def __init__(self, paused):
        super().__init__()
        self.now = paused.monotonic
        self.ages = []
        self._paused = paused
        self._read_at = None
        self.lose = False
        self.after_evidence = lambda: None
        self.records = []

    async def read(self, table):
        sent_at = self._paused.boottime()
        await asyncio.sleep(0.01)
        answer = await super().read(table)
        if table == rolloutcontroller.EVIDENCE_TABLE:
            self._read_at = sent_at
            self.after_evidence()
        return answer

    async def transact(self, conditions, puts):
        if self._read_at is not None:
            self.ages.append(self._paused.boottime() - self._read_at)
        await asyncio.sleep(0.01)
        answer = await super().transact(conditions, puts)
        if answer.is_ok():
            self.records.append(
                msgspec.json.decode(puts[0].value, type=rollout.Record)
            )
            if self.lose:
                self.lose = False
                return expression.Error(errors.StoreOutcomeUnknown('lost'))
        return answer


class Scene:
    """Two controllers at one store, with sound gates of both versions."""

    def __init__(self, paused):
        self.paused = paused
        self.feed = FaultyFeed(paused)
        self.log = sidecars.RecordingEventLog()
        self.states = []
        self.tasks = {}
        self.controllers = {}
        self.started = {}

    def start(self, vm):
        """Start the controller of a VM."""
        self.controllers[vm] = rolloutcontroller.Controller(
            self.feed,
            rollouts,
            f'{vm}/1',
            rolloutplan.Policy(),
            self.paused,
            random.Random(vm),
            self.log,
            self.states.append,
        )
        self.controllers[vm].set_services(['s', 't'])
        self.tasks[vm] = asyncio.ensure_future(self.controllers[vm].run())

    async def order(self, service='s', to='v2', value=None):
        """Write an order, and tell the controllers of it."""
        value = value or json.dumps(
            {'service': service, 'to': to, 'duration_s': DURATION_S}
        )
        key = rollouts.key(service)
        await self.feed.put(rollouts.ORDERS_TABLE, key, value.encode())
        await self.tell()

    async def tell(self):
        found = (await rowfeed.MemoryRowFeed.read(self.feed, 'op')).ok
        orders = rollouts.read_orders(found.rows, found.era)
        for controller in self.controllers.values():
            controller.set_orders(orders)

    def record(self, service='s'):
        rows = self.feed.copy()[0].get(rolloutcontroller.RECORD_TABLE, {})
        if service not in rows:
            return None
        return msgspec.json.decode(rows[service].value, type=rollout.Record)

    def status(self, service='s'):
        row = self.feed.copy()[0]['status'][rollouts.key(service)]
        return json.loads(row.value)

    async def play(self, seconds):
        """Let time pass, and write what gates would report."""
        for _ in range(int(seconds / 0.25)):
            for service in ('s', 't'):
                record = self.record(service)
                if record is not None and not record.phase.ended:
                    await self._write_evidence(service, record)
            await asyncio.sleep(0.25)

    async def _write_evidence(self, service, record):
        old, new = self.started.setdefault(record.order, [0, 0])
        new += int(RATE * 0.25 * record.share)
        old += int(RATE * 0.25 * (1 - record.share))
        self.started[record.order] = [old, new]
        closing = record.phase is rollout.Phase.CLOSING
        evidence = rollout.Evidence(
            record.order,
            tuple(
                self._report(record, f'new-{index}', True, new // 4)
                for index in range(4)
            ),
            self._report(record, '', False, old),
            4,
            0 if closing else 4,
            'a/1',
            record.step,
        )
        await self.feed.put(
            rolloutcontroller.EVIDENCE_TABLE,
            f'{service}/d0',
            msgspec.json.encode(evidence),
        )

    def _report(self, record, vm, is_new, count):
        durations = [0] * rollout.BUCKETS
        durations[5] = count
        return rollout.GateReport(
            record.order, 's', vm, 1, is_new, 4, count, count, 0, 2,
            routes=(rollout.RouteCounts('read', count, 0, tuple(durations)),),
        )  # fmt: skip

    def events(self, name):
        return [fields for event, fields in self.log.records if event == name]


def run(scenario):
    """Run a scenario with two controllers, and stop them."""

    async def main(paused):
        scene = Scene(paused)
        for vm in ('a', 'b'):
            scene.start(vm)
        try:
            await scenario(scene)
        finally:
            for task in scene.tasks.values():
                task.cancel()
            await asyncio.gather(*scene.tasks.values(), return_exceptions=True)

    pausedloop.run(main)


class TestController(testtools.TestCase):
    def assert_steps_once(self, scene, last=rollout.Phase.COMPLETED):
        """Check that no step was made twice, and that none is missing."""
        steps = [record.step for record in scene.feed.records]
        self.assertEqual(list(range(1, len(steps))), steps[1:])
        phases = [
            (record.phase, record.share)
            for record in scene.feed.records
            if record.changed_step == record.step
        ]
        self.assertEqual(len(set(phases)), len(phases))
        self.assertEqual(last, phases[-1][0])

    def test_two_controllers_make_every_step_once(self):
        """Guards against two owners, and against two rollouts mixed up."""

        async def scenario(scene):
            await scene.order('t')
            await scene.order('s')
            await scene.play(0.9 * DURATION_S)
            for service in ('s', 't'):
                self.assertEqual('completed', scene.status(service)['state'])
            scene.feed.records = [
                record
                for record in scene.feed.records
                if record.order == scene.record('s').order
            ]
            self.assert_steps_once(scene)
            self.assertEqual([], scene.events('rollout.taken_over'))
            self.assertEqual(
                rollout.Phase.COMPLETED, scene.states[-1].record.phase
            )
            # Nothing is read after the end.
            self.assertFalse(scene.controllers['a'].active)

        run(scenario)

    def test_owner_that_is_killed_is_replaced_within_3_s(self):
        """Guards against a rollout that stands still without its owner."""

        async def scenario(scene):
            await scene.order()
            await scene.play(5.0)
            owner = scene.record().controller
            scene.tasks[owner[0]].cancel()
            await scene.play(3.0)
            self.assertNotEqual(owner, scene.record().controller)
            await scene.play(0.9 * DURATION_S - 8.0)
            self.assert_steps_once(scene)
            (event,) = scene.events('rollout.taken_over')
            self.assertEqual(owner, event['former'])

        run(scenario)

    def test_owner_paused_before_a_write_reads_again(self):
        """Guards against a step that is decided on evidence 5 s old."""

        async def scenario(scene):
            await scene.order()
            await scene.play(3.0)
            suspended = []

            def suspend():
                # Only a reading that a write follows shows the fault.
                if len(suspended) < 4:
                    suspended.append(len(scene.feed.records))
                    scene.paused.suspend(5.0)

            scene.feed.after_evidence = suspend
            await scene.play(0.9 * DURATION_S - 3.0)
            self.assertEqual(4, len(suspended))
            # Nothing is written between the pauses.
            self.assertEqual(1, len(set(suspended)))
            self.assertLess(max(scene.feed.ages), 1.5)
            self.assert_steps_once(scene)

        run(scenario)

    def test_lost_answer_of_a_write_that_took_effect(self):
        """Guards against a step that is made twice or is not logged."""

        async def scenario(scene):
            scene.feed.lose = True
            await scene.order()
            await scene.play(2.0)
            scene.feed.lose = True
            await scene.play(0.9 * DURATION_S - 2.0)
            self.assert_steps_once(scene)
            logged = [e['step'] for e in scene.events('rollout.step')]
            changed = [
                record.step
                for record in scene.feed.records
                if record.changed_step == record.step or record.step == 0
            ]
            self.assertEqual(changed, logged)

        run(scenario)

    def test_nothing_is_written_while_the_store_is_down(self):
        """Guards against steps without a store, and a lost rollout."""

        async def scenario(scene):
            await scene.order()
            await scene.play(3.0)
            scene.feed.fault = sidecars.store_unavailable()
            before = len(scene.feed.records)
            states = len(scene.states)
            await scene.play(6.0)
            self.assertEqual(before, len(scene.feed.records))
            self.assertEqual(states, len(scene.states))
            scene.feed.fault = None
            await scene.play(2 * DURATION_S - 9.0)
            self.assertTrue(scene.record().phase.ended)

        run(scenario)

    def test_replaced_and_withdrawn_orders_end(self):
        """Guards against a rollout that goes on without its order."""

        async def scenario(scene):
            await scene.order()
            await scene.play(3.0)
            await scene.order(to='v3')
            await scene.play(3.0)
            reasons = [record.reason for record in scene.feed.records]
            self.assertEqual(1, reasons.count('replaced'))
            self.assertEqual('v3', scene.record().to)
            self.assertEqual('running', scene.status()['state'])
            await scene.feed.remove('op', rollouts.key('s'))
            await scene.tell()
            await scene.play(1.0)
            self.assertEqual(
                {'state': 'rolled_back', 'to': 'v3', 'reason': 'withdrawn'},
                scene.status(),
            )

        run(scenario)

    def test_orders_that_cannot_be_followed_are_rejected_once(self):
        """Guards against a bad row that stops other rollouts."""

        async def scenario(scene):
            await scene.order(value='{"service": 3}')
            await scene.order('unknown')
            await scene.order('t')
            await scene.play(4.0)
            self.assertEqual('malformed', scene.status()['reason'])
            self.assertEqual(
                'unknown-service', scene.status('unknown')['reason']
            )
            self.assertEqual('running', scene.status('t')['state'])
            self.assertEqual(2, len(scene.events('rollout.rejected')))

        run(scenario)


class TestOrders(testtools.TestCase):
    def test_malformed_orders_are_refused(self):
        """Guards against orders that would run without an end."""
        for value in (
            b'', b'[]', b'\xff', b'{"service": "s", "to": "v"}',
            b'{"service": "s", "to": "", "duration_s": 1}',
            b'{"service": "s", "to": "v", "duration_s": 0}',
            b'{"service": "s", "to": "v", "duration_s": 1e999}',
            b'{"service": "x", "to": "v", "duration_s": 9}',
        ):  # fmt: skip
            row = rowfeed.Row('rollout/s', value, 3)
            found = rollouts.decode_order(row, 1)
            self.assertIsInstance(found.error, errors.Invalid, value)
        row = rowfeed.Row(
            'rollout/s', b'{"service": "s", "to": "v", "duration_s": 9}', 3
        )
        self.assertEqual(
            rollout.Order(rollout.OrderId(1, 3), 's', 'v', 9.0),
            rollouts.decode_order(row, 1).ok,
        )
        other = rowfeed.Row('config', b'{}', 3)
        self.assertEqual((), rollouts.read_orders([other], 1))
