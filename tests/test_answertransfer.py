"""Tests of large answers that are fetched in parts."""

import asyncio
import collections

import testtools

from jujubefold import clock
from jujubefold.sidecar import answertransfer
from jujubefold.sidecar import frames
from jujubefold.sidecar import link
from tests import sidecars

KIB = 1024
LOAD = frames.Load(0, 0, 1, 50, 0)
BODY = bytes(range(256)) * 2000
# Megabits a second.
SLOW_LINK = 6.5
BYTES_PER_S = SLOW_LINK * 1e6 / 8
ROUTES = (*sidecars.ROUTES, sidecars.route('file', '/file/', 'download'))


def answered(sequence, body):
    """Return an answer as a gate reports it."""
    return frames.Answered(sequence, 200, 5, [], body, LOAD)


class Wire:
    """A link from a gate to a daemon, which sends one frame after another."""

    def __init__(self, paused):
        self.clock = paused
        self.held = answertransfer.HeldAnswers()
        self.fetcher = answertransfer.AnswerFetcher(SLOW_LINK, paused)
        self.queue = collections.deque()
        self.largest_queue = 0
        self.arrivals = {}

    def send(self, message):
        """Carry a request of the daemon to the gate, which answers."""
        self.put(self.held.part(message.sequence, message))

    def put(self, message):
        """Queue a message of the gate."""
        self.queue.append(message)
        queued = sum(len(frames.encode(item)) for item in self.queue)
        self.largest_queue = max(self.largest_queue, queued)

    def answer(self, sequence, size):
        """Queue the answer to an offer."""
        message = answered(sequence, BODY[:size])
        self.put(self.held.hold(sequence, message))

    def deliver(self):
        """Send the next frame."""
        message = self.queue.popleft()
        self.clock.advance(len(frames.encode(message)) / BYTES_PER_S)
        if isinstance(message, frames.AnswerPart):
            message = self.fetcher.add(self, message)
        elif message.body_size:
            self.fetcher.start(self, message)
            return
        if message is not None:
            self.held.release(message.sequence)
            self.arrivals[message.sequence] = (
                self.clock.monotonic(),
                message.body,
            )


class TestWire(testtools.TestCase):
    def test_a_short_answer_overtakes_a_large_one(self):
        wire = Wire(clock.PausedClock(start=0.0))
        wire.answer(1, 500 * KIB)
        for _ in range(10):
            wire.deliver()
        asked_at = wire.clock.monotonic()
        wire.answer(2, 2 * KIB)
        while wire.queue:
            wire.deliver()
        large, short = wire.arrivals[1], wire.arrivals[2]
        # Sent whole, the large one would hold it up for 0.6 s.
        self.assertLess(short[0] - asked_at, 0.03)
        self.assertGreater(large[0] - asked_at, 0.4)
        self.assertEqual(BODY[: 500 * KIB], large[1])
        self.assertLess(wire.largest_queue, 40 * KIB)
        # The link is never idle while an answer is fetched.
        self.assertLess(large[0], 1.02 * 502 * KIB / BYTES_PER_S)
        self.assertEqual((0, 0), (len(wire.held), len(wire.fetcher)))

    def test_several_large_answers_arrive_whole(self):
        wire = Wire(clock.PausedClock())
        sizes = (16 * KIB, 16 * KIB + 1, 90 * KIB, 500 * KIB, 17 * KIB)
        for sequence, size in enumerate(sizes):
            wire.answer(sequence, size)
        while wire.queue:
            wire.deliver()
        for sequence, size in enumerate(sizes):
            self.assertEqual(BODY[:size], wire.arrivals[sequence][1])

    def test_parts_are_used_once_and_in_order(self):
        wire = Wire(clock.PausedClock())
        wire.answer(1, 90 * KIB)
        wire.deliver()
        part = wire.queue[0]
        wire.queue.appendleft(part)
        wire.queue.insert(0, frames.AnswerPart(1, 60 * KIB, b'x' * KIB))
        wire.queue.insert(0, frames.AnswerPart(9, 0, b'x'))
        while wire.queue:
            wire.deliver()
        self.assertEqual(BODY[: 90 * KIB], wire.arrivals[1][1])

    def test_answers_beyond_the_memory_are_sent_whole(self):
        held = answertransfer.HeldAnswers()
        size = answertransfer.MAX_HELD_BYTES // 2
        message = answered(1, bytes(size))
        self.assertEqual(size, held.hold(1, message).body_size)
        self.assertEqual(size, held.hold(2, message).body_size)
        self.assertIs(message, held.hold(3, message))
        held.release(2)
        held.release(2)
        self.assertEqual(size, held.hold(3, message).body_size)


class TestFleet(testtools.TestCase):
    def run_with(self, scenario):
        """Run a scenario in which `vm-2` answers requests of `vm-1`."""

        async def start(fleet):
            await fleet.configure(sidecars.document(1, ROUTES))
            for vm, service in (('vm-1', 'routes'), ('vm-2', 'pickups')):
                await fleet.add(vm, service=service, capacity=SLOW_LINK)
            await fleet.wait_until_linked()
            upstream = fleet.upstreams['vm-2']

            async def answer(request, writer):
                large = request.target.startswith(('/file/', '/write/'))
                await upstream.answer(
                    request, writer, body=BODY if large else b'ok'
                )

            upstream.handler = answer
            await scenario(fleet, fleet.daemons['vm-1'].fleet)

        sidecars.run_scenario(start)

    def delay_parts(self, fleet, seconds=0.01):
        """Delay each part that `vm-2` sends; return the list of requests."""
        server = fleet.daemons['vm-2'].fleet.peer_server
        send = server._send_answer_part
        requests = []

        def delayed(connection, request):
            requests.append(request)
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, send, connection, request)

        server._send_answer_part = delayed
        return requests

    def test_a_short_answer_overtakes_a_large_one(self):
        async def scenario(fleet, asker):
            requests = self.delay_parts(fleet)
            large = asyncio.ensure_future(fleet.call('vm-1', '/file/x'))
            await sidecars.wait_until(lambda: len(requests) > 2, 2.0)
            self.assertEqual(200, (await fleet.call('vm-1', '/read/x')).status)
            self.assertFalse(large.done())
            response = await large
            self.assertEqual((200, BODY), (response.status, response.body))
            server = fleet.daemons['vm-2'].fleet.peer_server
            await sidecars.wait_until(lambda: not server.busy, 0.5)

        self.run_with(scenario)

    def test_an_answer_goes_on_over_a_new_connection(self):
        async def scenario(fleet, asker):
            requests = self.delay_parts(fleet)
            large = asyncio.ensure_future(fleet.call('vm-1', '/write/x'))
            await sidecars.wait_until(lambda: len(requests) > 10, 2.0)
            asker._peers['vm-2'].link._connection.abort()
            response = await large
            self.assertEqual((200, BODY), (response.status, response.body))
            self.assertEqual(1, len(fleet.upstreams['vm-2'].requests))

        self.run_with(scenario)

    def test_an_answer_that_is_cut_is_known_to_have_run(self):
        # A write that was answered must not be reported as not run.
        async def scenario(fleet, asker):
            requests = self.delay_parts(fleet)
            server = fleet.daemons['vm-2'].fleet.peer_server
            for forget in (
                server._answers._bodies.clear,
                lambda: (
                    server._offers.senders.clear(),
                    asker._peers['vm-2'].link._connection.abort(),
                ),
            ):
                requests.clear()
                call = asyncio.ensure_future(fleet.call('vm-1', '/write/x'))
                await sidecars.wait_until(lambda: len(requests) > 2, 2.0)
                forget()
                response = await call
                self.assertEqual(502, response.status)
                self.assertIn(b'unknown', response.body)
                await fleet.wait_until_linked()

        self.run_with(scenario)

    def test_a_caller_that_leaves_ends_the_transfer(self):
        async def scenario(fleet, asker):
            requests = self.delay_parts(fleet, 0.05)
            call = fleet.call('vm-1', '/file/x', **{'X-Deadline-Ms': '300'})
            self.assertEqual(504, (await call).status)
            server = fleet.daemons['vm-2'].fleet.peer_server
            await sidecars.wait_until(lambda: not server.busy, 0.5)
            self.assertEqual(0, len(asker._answers))
            self.assertLess(len(requests), len(BODY) // (8 * KIB))

        self.run_with(scenario)

    def test_answers_are_whole_in_fleets_without_downloads(self):
        # Other deployments must not pay a round trip for each large answer.
        async def scenario(fleet, asker):
            requests = self.delay_parts(fleet)
            file = sidecars.route('file', '/file/')
            await fleet.configure(
                sidecars.document(2, (*sidecars.ROUTES, file))
            )
            await sidecars.wait_until(
                lambda: fleet.daemons['vm-2'].versions.number == 2, 5.0
            )
            response = await fleet.call('vm-1', '/file/x')
            self.assertEqual((200, BODY), (response.status, response.body))
            self.assertEqual([], requests)

        self.run_with(scenario)

    def test_a_daemon_of_the_release_before_is_sent_whole_answers(self):
        async def scenario(fleet, asker):
            requests = self.delay_parts(fleet)
            server = fleet.daemons['vm-2'].fleet.peer_server
            for connection in server._connections:
                self.assertIsInstance(connection, link.Connection)
                connection.answer_parts = False
            response = await fleet.call('vm-1', '/file/x')
            self.assertEqual((200, BODY), (response.status, response.body))
            self.assertEqual([], requests)

        self.run_with(scenario)
