"""Tests of the lease of the upstream on this VM."""

import pydantic
import testtools

from jujubefold import messages
from jujubefold import settings
from jujubefold import upstreams
from tests import fakes

STATE = messages.UpstreamState


def announcement(state='serving', slots=6, address='127.0.0.1:9000'):
    return upstreams.Announcement(
        service='routes', address=address, slots=slots, state=state, ttl=5
    )


class TestLease(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fakes.Fleet()
        self.daemon = self.fleet.add('vm-1')

    def announce(self, *arguments):
        return upstreams.announce(
            self.daemon.tables.upstream,
            announcement(*arguments),
            self.fleet.clock.monotonic(),
        )

    def membership_state(self):
        return self.daemon.table.local.upstream_state

    def test_state_follows_announcements_and_lease_expiry(self):
        steps = (
            (('warming',), 0.2, STATE.WARMING),
            (('serving',), 4.8, STATE.SERVING),
            (('serving',), 4.8, STATE.SERVING),
            (None, 0.6, STATE.GONE),
            (('serving', 8), 0.2, STATE.SERVING),
            (('draining', 8), 0.2, STATE.DRAINING),
            (('gone', 8), 0.2, STATE.GONE),
        )
        for announced, seconds, expected in steps:
            if announced:
                self.announce(*announced)
            self.fleet.run(seconds)
            self.assertIs(
                expected, self.membership_state(), (announced, expected)
            )
        self.assertEqual(8, self.daemon.table.local.slots)
        lapsed = self.fleet.events('upstream.lease_lapsed')
        self.assertEqual(1, len(lapsed))

    def test_heartbeats_do_not_change_the_member_record(self):
        self.announce()
        self.fleet.run(1)
        revision = self.daemon.table.local.revision
        for _ in range(5):
            self.announce()
            self.fleet.run(1)
        self.assertEqual(revision, self.daemon.table.local.revision)

    def test_pause_of_the_daemon_does_not_end_the_lease(self):
        self.announce()
        self.fleet.run(1)
        self.daemon.paused = True
        self.fleet.run(60)
        self.daemon.paused = False
        self.fleet.run(1)
        self.assertIs(STATE.SERVING, self.membership_state())
        self.fleet.run(5)
        self.assertIs(STATE.GONE, self.membership_state())

    def test_upstream_from_settings_needs_no_heartbeat(self):
        configured = settings.Upstream(
            address='127.0.0.1:9000', service='routes'
        )
        self.daemon.tables.upstream = upstreams.new_table(
            self.daemon.tables.identity, configured
        )
        self.fleet.run(1000)
        self.assertIs(STATE.SERVING, self.membership_state())

    def test_invalid_announcements_are_rejected(self):
        elsewhere = self.announce('serving', 6, '10.9.9.9:1')
        self.assertEqual('address', elsewhere.error.where)
        for wrong in ({'slots': 0}, {'state': 'absent'}, {'address': 'x'}):
            with self.subTest(wrong):
                self.assertRaises(
                    pydantic.ValidationError, announcement, **wrong
                )
