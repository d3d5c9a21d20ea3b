"""Tests of offers that outlive their connections."""

import asyncio

import testtools

from jujubefold import clock
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import frames
from jujubefold.sidecar import limiter
from jujubefold.sidecar import peerserver
from jujubefold.sidecar import roster

LOAD = frames.Load(0, 0, 1, 50, 0)
PEER = ('vm-2', 7)


class Connection:
    """One end of a link that keeps what is sent."""

    def __init__(self):
        self.peer = None
        self.domain = ''
        self.sent = []
        self.open = True

    def send(self, message):
        """Keep a message."""
        self.sent.append(message)

    def abort(self):
        """Close."""
        self.open = False


class Egress:
    """Runs offers until told to end them."""

    def __init__(self):
        self.runs = []
        self.ends = []

    def load(self):
        """Return a load."""
        return limiter.Load()

    async def run(self, attempt):
        """Run an offer."""
        self.runs.append(attempt.request)
        end = asyncio.get_running_loop().create_future()
        self.ends.append(end)
        await end
        return attempts.Outcome()


def hello(*resume):
    member = roster.Member(*PEER, '10.0.0.2:1', 's', 'r', 'a', 5.0)
    return frames.Hello(member, 1, LOAD, resume)


def offer(sequence, request='a'):
    return frames.Offer(
        sequence,
        request,
        'r',
        1,
        0,
        True,
        900,
        90,
        0,
        True,
        'GET',
        b'/',
        [],
        b'',
    )


class TestResume(testtools.TestCase):
    def play(self, scene):
        async def main():
            egress = Egress()
            paused = clock.PausedClock()
            port = peerserver.PeerServer(
                egress, paused, lambda: hello(), lambda *_: None
            )
            await scene(port, egress, paused)

        asyncio.run(main())

    def link(self, port, *resume):
        """Return a connection that said hello."""
        connection = Connection()
        port._connections.add(connection)
        port._received(connection, hello(*resume))
        return connection

    def test_one_that_was_said_never_to_have_come_never_runs(self):
        async def scene(port, egress, _):
            # The offer lies unread in the old connection.
            old = self.link(port)
            new = self.link(port, 5)
            self.assertIn(frames.Unseen(5), new.sent)
            port._received(old, offer(5))
            port._received(new, offer(5))
            self.assertEqual([], egress.runs)

        self.play(scene)

    def test_an_older_connection_of_the_same_start_is_closed(self):
        async def scene(port, egress, _):
            old = self.link(port)
            self.link(port)
            self.assertFalse(old.open)
            port._received(old, offer(6))
            self.assertEqual([], egress.runs)

        self.play(scene)

    def test_a_running_offer_goes_on_and_is_answered_on_the_new_one(self):
        async def scene(port, egress, _):
            old = self.link(port)
            port._received(old, offer(5))
            port._lost(old)
            new = self.link(port, 5)
            self.assertNotIn(frames.Unseen(5), new.sent)
            self.assertEqual(['a'], egress.runs)

        self.play(scene)

    def test_an_orphan_is_given_up_after_a_while(self):
        async def scene(port, egress, paused):
            old = self.link(port)
            port._received(old, offer(5))
            port._lost(old)
            paused.advance(peerserver.ORPHAN_S - 0.1)
            port.sweep(paused.monotonic())
            self.assertTrue(port.busy)
            paused.advance(0.2)
            port.sweep(paused.monotonic())
            await asyncio.sleep(0)
            self.assertFalse(port.busy)

        self.play(scene)


class TestEnd(testtools.TestCase):
    def port(self):
        egress = Egress()
        port = peerserver.PeerServer(
            egress, clock.SystemClock(), hello, lambda *heard: None
        )
        connection = Connection()
        port._received(connection, hello())
        return egress, port, connection

    def test_who_comes_after_the_goodbye_hears_it_too(self):
        _, port, _ = self.port()
        port.announce_shutdown()
        late = Connection()
        port._received(late, hello())
        self.assertEqual(
            [frames.Hello, frames.Goodbye], [type(item) for item in late.sent]
        )

    def test_an_offer_that_would_be_cut_is_refused(self):
        egress, port, connection = self.port()
        port.closing = True
        port._received(connection, offer(1))
        self.assertEqual([], egress.runs)
        end = connection.sent[-1]
        self.assertEqual(('did-not-run', 'draining'), (end.ran, end.reason))
        self.assertFalse(end.sent)
        self.assertFalse(port.busy)
