"""Tests of the peer server: resumed offers and shutdown."""

import asyncio

import testtools

from jujubefold import calls
from jujubefold import clock
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import frames
from jujubefold.sidecar import limiter
from jujubefold.sidecar import link
from jujubefold.sidecar import peerserver
from jujubefold.sidecar import roster
from jujubefold.sidecar import transfer
from tests import sidecars

LOAD = frames.Load(0, 0, 1, 50, 0)
PEER = ('vm-2', 7)


class Connection:
    """A stand-in for `link.Connection` that records sent messages."""

    def __init__(self):
        self.peer = None
        self.domain = ''
        self.sent = []
        self.open = True

    def send(self, message):
        """Record a message."""
        self.sent.append(message)

    def abort(self):
        """Mark the connection as closed."""
        self.open = False


class Egress:
    """A stand-in for `egress.Egress` whose requests never end."""

    def __init__(self):
        self.requests = []
        self.waiters = []

    def load(self):
        """Return an empty load."""
        return limiter.Load()

    async def run(self, attempt):
        """Record the request and wait."""
        self.requests.append(attempt.request)
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        return await waiter


def hello(*resume):
    member = roster.Member(*PEER, '10.0.0.2:1', 's', 'r', 'a', 5.0)
    return frames.Hello(member, 1, LOAD, resume)


def offer(sequence, request='a', remaining_ms=900, received=()):
    return frames.Offer(
        sequence,
        request,
        'r',
        1,
        0,
        True,
        remaining_ms,
        90,
        0,
        True,
        'GET',
        b'/',
        [],
        b'',
        received=received,
    )


class TestResume(testtools.TestCase):
    def run_scenario(self, scenario):
        async def main():
            egress = Egress()
            paused_clock = clock.PausedClock()
            server = peerserver.PeerServer(
                egress,
                paused_clock,
                lambda: hello(),
                lambda *_: None,
                transfer.new_table(0.0),
                link.Traffic(),
                'a',
                sidecars.RecordingEventLog(),
            )
            await scenario(server, egress, paused_clock)

        asyncio.run(main())

    def link(self, server, *resume):
        """Return a connection on which a hello was received."""
        connection = Connection()
        server._connections.add(connection)
        server._handle_message(connection, hello(*resume))
        return connection

    def test_offer_reported_as_not_received_is_never_run(self):
        async def scenario(server, egress, _):
            # The offer is still unread in the old connection.
            old = self.link(server)
            new = self.link(server, 5)
            self.assertIn(frames.NotReceived(5), new.sent)
            server._handle_message(old, offer(5))
            server._handle_message(new, offer(5))
            self.assertEqual([], egress.requests)

        self.run_scenario(scenario)

    def test_older_connection_of_the_same_incarnation_is_closed(self):
        async def scenario(server, egress, _):
            old = self.link(server)
            self.link(server)
            self.assertFalse(old.open)
            server._handle_message(old, offer(6))
            self.assertEqual([], egress.requests)

        self.run_scenario(scenario)

    def test_running_offer_continues_after_reconnect(self):
        async def scenario(server, egress, _):
            old = self.link(server)
            server._handle_message(old, offer(5))
            server._handle_disconnect(old)
            new = self.link(server, 5)
            self.assertNotIn(frames.NotReceived(5), new.sent)
            self.assertEqual(['a'], egress.requests)

        self.run_scenario(scenario)

    def test_offers_that_a_hello_does_not_resume_are_forgotten(self):
        """Guards against results of an earlier link that used a number."""

        async def scenario(server, egress, _):
            old = self.link(server)
            server._handle_message(old, offer(1, 'earlier'))
            egress.waiters[0].set_result(
                attempts.unknown_outcome(calls.Reason.UPSTREAM_CUT)
            )
            await asyncio.sleep(0)
            self.assertEqual(1, old.sent[-1].sequence)
            server._handle_disconnect(old)
            reopened = self.link(server)
            server._handle_message(reopened, offer(1, 'later'))
            self.assertEqual(['earlier', 'later'], egress.requests)
            server._handle_disconnect(reopened)
            resumed = self.link(server, 1)
            self.assertEqual([frames.Hello], [type(m) for m in resumed.sent])

        self.run_scenario(scenario)

    def test_running_offer_that_a_hello_does_not_resume_is_cancelled(self):
        """Guards against work for a sender that no longer awaits it."""

        async def scenario(server, egress, _):
            old = self.link(server)
            server._handle_message(old, offer(1))
            server._handle_disconnect(old)
            self.link(server)
            await asyncio.sleep(0)
            self.assertFalse(server.busy)
            self.assertTrue(egress.waiters[0].cancelled())

        self.run_scenario(scenario)

    async def finish(self, egress, number):
        """End a request of the egress, with an unknown outcome."""
        egress.waiters[number].set_result(
            attempts.unknown_outcome(calls.Reason.UPSTREAM_CUT)
        )
        await asyncio.sleep(0)

    def results(self, connection):
        """Return number, outcome and reason of the results that were sent."""
        return [
            (message.sequence, message.ran, message.reason)
            for message in connection.sent
            if isinstance(message, frames.Refused)
        ]

    def test_result_is_kept_until_its_caller_stops_waiting(self):
        """Guards against a result that is gone when its sender resumes."""

        async def scenario(server, egress, paused_clock):
            old = self.link(server)
            server._handle_message(old, offer(5, remaining_ms=3600))
            await self.finish(egress, 0)
            paused_clock.advance(3.5)
            server.sweep(paused_clock.monotonic())
            new = self.link(server, 5)
            self.assertEqual(
                [(5, 'unknown', 'upstream-cut')], self.results(new)
            )

        self.run_scenario(scenario)

    def test_dropped_result_is_not_reported_as_not_received(self):
        """Guards against a request that ran and is said not to have."""

        async def scenario(server, egress, paused_clock):
            old = self.link(server)
            server._handle_message(old, offer(5))
            await self.finish(egress, 0)
            paused_clock.advance(60.0)
            server.sweep(paused_clock.monotonic())
            new = self.link(server, 5, 6)
            self.assertEqual([(5, 'unknown', 'peer-lost')], self.results(new))
            self.assertEqual(frames.NotReceived(6), new.sent[-1])

        self.run_scenario(scenario)

    def test_received_results_are_dropped(self):
        async def scenario(server, egress, _):
            connection = self.link(server)
            server._handle_message(connection, offer(5))
            server._handle_message(connection, offer(6))
            await self.finish(egress, 0)
            await self.finish(egress, 1)
            server._handle_message(connection, offer(7, received=(6,)))
            new = self.link(server, 5, 6)
            self.assertEqual(
                [(5, 'unknown', 'upstream-cut'), (6, 'unknown', 'peer-lost')],
                self.results(new),
            )

        self.run_scenario(scenario)

    def test_unknown_daemon_that_resumes_is_told_a_doubt(self):
        """Guards against a record of a daemon that was dropped."""

        async def scenario(server, egress, _):
            connection = self.link(server, 5)
            self.assertEqual(
                [(5, 'unknown', 'peer-lost')], self.results(connection)
            )

        self.run_scenario(scenario)

    def test_resumed_offers_are_logged_with_the_request_they_find(self):
        async def scenario(server, egress, _):
            old = self.link(server)
            server._handle_message(old, offer(5, 'request-5'))
            self.link(server, 5, 6)
            self.assertEqual(
                [('running', 'request-5'), ('not-received', '')],
                [
                    (fields['state'], fields['request'])
                    for event, fields in server._event_log.records
                    if event == 'offer.resumed'
                ],
            )

        self.run_scenario(scenario)

    def test_offer_without_connection_is_cancelled_after_timeout(self):
        async def scenario(server, egress, paused_clock):
            old = self.link(server)
            server._handle_message(old, offer(5))
            server._handle_disconnect(old)
            paused_clock.advance(peerserver.ORPHAN_TIMEOUT_S - 0.1)
            server.sweep(paused_clock.monotonic())
            self.assertTrue(server.busy)
            paused_clock.advance(0.2)
            server.sweep(paused_clock.monotonic())
            await asyncio.sleep(0)
            self.assertFalse(server.busy)

        self.run_scenario(scenario)


class TestShutdown(testtools.TestCase):
    def new_server(self):
        egress = Egress()
        server = peerserver.PeerServer(
            egress,
            clock.SystemClock(),
            hello,
            lambda *args: None,
            transfer.new_table(0.0),
            link.Traffic(),
            'a',
            sidecars.RecordingEventLog(),
        )
        connection = Connection()
        server._handle_message(connection, hello())
        return egress, server, connection

    def test_connection_during_shutdown_gets_a_shutdown_notice(self):
        _, server, _ = self.new_server()
        server.announce_shutdown()
        connection = Connection()
        server._handle_message(connection, hello())
        self.assertEqual(
            [frames.Hello, frames.ShutdownNotice],
            [type(item) for item in connection.sent],
        )

    def test_offer_is_refused_while_closing(self):
        egress, server, connection = self.new_server()
        server.closing = True
        server._handle_message(connection, offer(1))
        self.assertEqual([], egress.requests)
        refusal = connection.sent[-1]
        self.assertEqual(
            ('did-not-run', 'draining'), (refusal.ran, refusal.reason)
        )
        self.assertFalse(refusal.sent)
        self.assertFalse(server.busy)
