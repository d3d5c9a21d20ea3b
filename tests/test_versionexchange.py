"""Tests of how daemons pass versions on to each other."""

import expression
import testtools

from jujubefold import clock
from jujubefold import mesh
from jujubefold.sidecar import frames
from jujubefold.sidecar import readers
from jujubefold.sidecar import storeera
from jujubefold.sidecar import versionexchange
from jujubefold.sidecar import versions
from tests import sidecars


class Channel:
    """Records the messages sent to another daemon."""

    def __init__(self, vm):
        self.vm = vm
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def take(self):
        """Return the messages sent since the last call."""
        sent, self.sent = self.sent, []
        return sent


class FleetView:
    """The fleet as a version exchange sees it: two successors, no reader."""

    own_vm = 'vm-0'
    reader_age = None

    def __init__(self):
        self.readers = readers.ReaderTable(0.0)
        self.successors = {vm: Channel(vm) for vm in ('vm-1', 'vm-2')}

    def nearby_daemons(self):
        return []

    def announcement_targets(self):
        return tuple(self.successors)

    def send(self, vm, message):
        self.successors[vm].send(message)


def decode(body):
    """Return the configuration whose number is the body."""
    return expression.Ok(versions.Configuration(mesh.Mesh(int(body))))


class TestVersionExchange(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clock.PausedClock()
        self.fleet = FleetView()
        self.late = []
        event_log = sidecars.RecordingEventLog()
        self.versions = versions.Versions(decode, self.changed, event_log)
        self.exchange = versionexchange.VersionExchange(
            self.fleet,
            self.versions,
            self.clock,
            storeera.StoreEra(lambda era: None, event_log),
            event_log,
        )
        self.exchange.on_feed_late = lambda: self.late.append(
            self.clock.monotonic()
        )
        self.versions.apply(b'1', 'store')
        self.take_announced()

    def changed(self, configuration, source):
        self.exchange.announce(0, source)

    def hear(self, number, channel, era=0):
        self.exchange.handle_announcement(versions.Stamp(number, era), channel)

    def advance(self, seconds):
        self.clock.advance(seconds)
        self.exchange.sweep(self.clock.monotonic())

    def take_announced(self):
        """Return the numbers that were passed on, by successor."""
        return [
            [
                message.version
                for message in channel.take()
                if isinstance(message, frames.VersionInForce)
            ]
            for channel in self.fleet.successors.values()
        ]

    def test_number_is_passed_on_once_ahead_of_the_document(self):
        source = Channel('vm-8')
        self.hear(2, source)
        self.assertEqual([[2], [2]], self.take_announced())
        self.assertEqual(2, self.exchange.known)
        self.hear(2, Channel('vm-9'))
        self.versions.apply(b'2', 'peer')
        self.assertEqual([[], []], self.take_announced())
        self.versions.apply(b'3', 'store')
        self.assertEqual([[3], [3]], self.take_announced())

    def test_request_for_an_awaited_version_is_answered_once_it_is_here(self):
        requester, other = Channel('vm-9'), Channel('vm-10')
        request = frames.ConfigurationRequest(1)
        self.exchange.handle_request(request, other)
        self.hear(2, Channel('vm-8'))
        self.exchange.handle_request(request, requester)
        self.exchange.handle_request(request, requester)
        self.assertEqual([], requester.sent)
        self.versions.apply(b'2', 'peer')
        self.assertEqual([2], [item.version for item in requester.take()])
        self.versions.apply(b'3', 'peer')
        self.assertEqual([], requester.sent + other.sent)

    def test_first_announcer_is_asked_and_then_the_others(self):
        sources = [Channel(f'vm-{number}') for number in (7, 8, 9)]
        for source in (*sources, sources[0]):
            self.hear(2, source)
        self.advance(versionexchange.FEED_GRACE_S - 0.1)
        self.assertEqual([0, 0, 0], [len(item.sent) for item in sources])
        asked = []
        for delay in (0.2, *[versionexchange.FETCH_RETRY_S] * 4):
            self.advance(delay)
            asked.append([len(item.take()) for item in sources])
        expected = [[1, 0, 0], [0, 1, 0], [0, 0, 1], [0, 0, 0], [0, 0, 0]]
        self.assertEqual(expected, asked)

    def test_late_feed_is_reported_once_unless_it_is_known_to_fail(self):
        for failing in (False, True):
            self.exchange.feed_failing = failing
            number = self.versions.number + 1
            self.hear(number, Channel('vm-8'))
            self.hear(number, Channel('vm-9'))
            for _ in range(4):
                self.advance(versionexchange.FEED_GRACE_S)
            self.assertEqual(1, len(self.late), failing)
            self.versions.apply(b'%d' % number, 'peer')

    def test_version_that_the_feed_brings_is_not_requested(self):
        source = Channel('vm-8')
        self.hear(2, source)
        self.advance(versionexchange.FEED_GRACE_S - 0.1)
        self.versions.apply(b'2', 'store')
        # The next version has its own time to arrive.
        self.hear(3, source)
        self.advance(versionexchange.FEED_GRACE_S - 0.1)
        self.assertEqual(([], []), (source.sent, self.late))
        self.advance(0.2)
        self.assertEqual(1, len(source.sent))

    def test_same_number_of_a_later_era_is_passed_on(self):
        self.hear(1, Channel('vm-8'), era=2)
        self.assertEqual([[1], [1]], self.take_announced())
