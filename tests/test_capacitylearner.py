"""Tests of how a learned limit is applied to a gate."""

import testtools

from jujubefold.sidecar import capacitylearner
from jujubefold.sidecar import limiter
from tests import sidecars


class TestCapacityLearner(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = limiter.SlotTable()
        self.log = sidecars.RecordingEventLog()
        self.learner = self.new_learner(True)
        self.now = 0.0

    def new_learner(self, enabled):
        return capacitylearner.CapacityLearner(enabled, self.table, self.log)

    def play(self, seconds, called=0.0):
        """Run saturated; each request beyond two slows all of them down."""
        started, number, end = {}, 0, self.now + seconds
        while self.now < end:
            while len(self.table.running) < limiter.usable_slots(self.table):
                number += 1
                limiter.acquire(
                    self.table,
                    limiter.Request(
                        number, 'r', 0, self.now, self.now + 9, self.now + 9
                    ),
                    self.now,
                )
                busy = len(self.table.running)
                own = 0.1 * max(1.0, busy / 2) ** 1.5
                started[number] = self.now + own + called
            key = min(started, key=started.get)
            self.now = started.pop(key)
            self.learner.record(key, called, self.now)
            limiter.release(self.table, key, self.now)
        for key in started:
            limiter.release(self.table, key, self.now)

    def start(self, slots=4):
        self.table.slots = slots
        self.learner.set_slots(slots)

    def test_limit_is_applied_and_logged_until_the_upstream_is_replaced(self):
        """Guards a new upstream against the limit of the one before."""
        self.start()
        self.play(40.0)
        self.assertLess(self.table.learned_limit, 4)
        logged = [fields for event, fields in self.log.records]
        self.assertEqual((4, 3), (logged[0]['before'], logged[0]['limit']))
        self.assertLess(len(logged), 10)
        self.learner.reset()
        self.start()
        self.assertEqual(4, self.table.learned_limit)

    def test_warmup_is_ignored(self):
        """Guards an upstream that is slow only while it warms up."""
        self.start()
        self.table.warmup_factor = 2.0
        self.play(40.0)
        self.assertEqual(4, self.table.learned_limit)
        self.assertEqual([], self.log.records)

    def test_nothing_is_learned_unless_enabled(self):
        self.learner = self.new_learner(False)
        self.start()
        self.play(40.0)
        self.assertIsNone(self.table.learned_limit)
