"""Tests of when an upstream's announcements are acknowledged."""

import asyncio

import testtools

from jujubefold.sidecar import announcements
from jujubefold.sidecar import instance
from tests import sidecars

LEAVING = instance.Announcement(
    'i-1', '10.0.0.1:80', 'pickups', 4, instance.State.DRAINING, 2, 10
)


class Egress:
    """Returns the given change for each announcement in turn."""

    def __init__(self, *changes):
        self._changes = list(changes)
        self.instance_table = instance.InstanceTable()

    def handle_announcement(self, announcement):
        return self._changes.pop(0)


class Departures:
    """Writes a departure once the test releases it."""

    def __init__(self):
        self.may_end = asyncio.Event()
        self.written = []

    async def record(self, upstream_id, started_ms):
        await self.may_end.wait()
        self.written.append((upstream_id, started_ms))


class TestAcknowledgement(testtools.TestCase):
    def run_receiver(self, scenario, *changes):
        async def main():
            departures = Departures()
            receiver = announcements.AnnouncementReceiver(
                Egress(*changes),
                departures,
                None,
                sidecars.RecordingEventLog(),
            )
            await scenario(receiver, departures)

        sidecars.run_coroutine(main())

    def test_repeated_departure_waits_for_the_first_write(self):
        async def scenario(receiver, departures):
            acknowledged = []
            for number in range(2):
                receiver.handle_announcement(
                    LEAVING, lambda number=number: acknowledged.append(number)
                )
            await asyncio.sleep(0.01)
            self.assertEqual([], acknowledged)
            departures.may_end.set()
            await asyncio.sleep(0.01)
            self.assertEqual([0, 1], acknowledged)
            self.assertEqual([('i-1', 10)], departures.written)

        changes = instance.Change.LEAVING, instance.Change.NOTHING
        self.run_receiver(scenario, *changes)

    def test_announcement_after_a_departure_told_by_an_answer_waits(self):
        async def scenario(receiver, departures):
            acknowledged = []
            receiver.record_departure(LEAVING)
            receiver.handle_announcement(
                LEAVING, lambda: acknowledged.append(0)
            )
            await asyncio.sleep(0.01)
            self.assertEqual([], acknowledged)
            departures.may_end.set()
            await asyncio.sleep(0.01)
            self.assertEqual([0], acknowledged)

        self.run_receiver(scenario, instance.Change.NOTHING)
