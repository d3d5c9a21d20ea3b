"""Tests of large request bodies that run beside another daemon."""

import asyncio

import testtools

from jujubefold.sidecar import transfer
from tests import sidecars

BODY = bytes(range(256)) * 800
# Megabits a second: a window holds less than a tenth of the body.
SLOW_LINK = 3.5


class TestUploads(testtools.TestCase):
    def run_with(self, scenario, upstreams=1, slots=4):
        """Run a scenario in which `vm-1` has no upstream of the service."""

        async def start(fleet):
            await fleet.configure(
                sidecars.document(
                    1,
                    [
                        *sidecars.ROUTES,
                        sidecars.route(
                            'up', '/up/', 'upload', target_latency_s=1.4
                        ),
                    ],
                )
            )
            await fleet.add('vm-1', service='routes', capacity=SLOW_LINK)
            for number in range(upstreams):
                await fleet.add(
                    f'vm-{number + 2}', slots=slots, capacity=SLOW_LINK
                )
            await fleet.wait_until_linked()
            await scenario(fleet)

        sidecars.run_scenario(start)

    def record_parts(self, fleet, vm='vm-2'):
        """Return the list of the parts that a daemon receives."""
        parts = []
        server = fleet.daemons[vm].fleet.peer_server
        handle = server._handle_part

        def record(key, message):
            parts.append(message)
            handle(key, message)

        server._handle_part = record
        return parts

    def test_body_is_fetched_in_parts_and_arrives_whole(self):
        async def scenario(fleet):
            parts = self.record_parts(fleet)
            response = await fleet.call('vm-1', '/up/x', 'POST', BODY)
            self.assertEqual(200, response.status)
            requests = fleet.upstreams['vm-2'].requests
            self.assertEqual([BODY], [item.body for item in requests])
            largest = transfer.MIN_WINDOW_BYTES // transfer.PARTS_PER_WINDOW
            self.assertEqual(largest, max(len(part.data) for part in parts))

        self.run_with(scenario)

    def test_small_body_comes_with_its_offer(self):
        async def scenario(fleet):
            parts = self.record_parts(fleet)
            body = BODY[: transfer.INLINE_BYTES]
            response = await fleet.call('vm-1', '/up/x', 'POST', body)
            self.assertEqual((200, 0), (response.status, len(parts)))
            self.assertEqual(body, fleet.upstreams['vm-2'].requests[0].body)

        self.run_with(scenario)

    def test_daemon_that_fetches_no_bodies_is_sent_them_whole(self):
        async def scenario(fleet):
            parts = self.record_parts(fleet)
            peer = fleet.daemons['vm-1'].fleet._peers['vm-2']
            peer.link.fetches_bodies = False
            response = await fleet.call('vm-1', '/up/x', 'POST', BODY)
            self.assertEqual((200, 0), (response.status, len(parts)))
            self.assertEqual(BODY, fleet.upstreams['vm-2'].requests[0].body)

        self.run_with(scenario)

    def test_refused_upload_costs_no_transfer(self):
        async def scenario(fleet):
            parts = self.record_parts(fleet)
            upstream = fleet.upstreams['vm-2']

            async def hold(request, writer):
                await asyncio.sleep(1.2)
                await upstream.answer(request, writer)

            upstream.handler = hold
            slots = fleet.daemons['vm-2'].egress.slot_table
            slots.mean_duration = 1.0
            calls = [
                asyncio.ensure_future(fleet.call('vm-1', f'/read/{number}'))
                for number in range(4)
            ]
            await asyncio.sleep(0.1)
            response = await fleet.call(
                'vm-1', '/up/x', 'POST', BODY, **{'X-Deadline-Ms': '500'}
            )
            self.assertEqual((503, 0), (response.status, len(parts)))
            await asyncio.gather(*calls)
            self.assertEqual(4, len(upstream.requests))

        self.run_with(scenario)

    def test_transfer_goes_on_over_a_new_connection(self):
        async def scenario(fleet):
            parts = self.record_parts(fleet)
            link = fleet.daemons['vm-1'].fleet._peers['vm-2'].link
            call = asyncio.ensure_future(
                fleet.call('vm-1', '/up/x', 'POST', BODY)
            )
            await sidecars.wait_until(lambda: len(parts) > 3, 2.0)
            link._connection.abort()
            response = await call
            self.assertEqual(200, response.status)
            requests = fleet.upstreams['vm-2'].requests
            self.assertEqual([BODY], [item.body for item in requests])

        self.run_with(scenario)

    def test_upload_whose_sender_is_lost_does_not_run(self):
        async def scenario(fleet):
            parts = self.record_parts(fleet)
            link = fleet.daemons['vm-1'].fleet._peers['vm-2'].link
            link._send_part = lambda connection, message: None
            call = asyncio.ensure_future(
                fleet.call(
                    'vm-1', '/up/x', 'POST', BODY, **{'X-Deadline-Ms': '900'}
                )
            )
            table = fleet.daemons['vm-2'].fleet.peer_server._transfers
            await sidecars.wait_until(lambda: table.transfers, 2.0)
            self.assertFalse(
                fleet.daemons['vm-2'].egress.slot_table.running,
                'no slot is held while a body is fetched',
            )
            response = await call
            self.assertIn(response.status, (502, 504))
            await sidecars.wait_until(lambda: not table.transfers, 1.0)
            self.assertEqual([], parts)
            self.assertEqual([], fleet.upstreams['vm-2'].requests)

        self.run_with(scenario)

    def test_caller_that_leaves_ends_the_transfer(self):
        async def scenario(fleet):
            parts = self.record_parts(fleet)
            address = fleet.daemons['vm-1'].options.listen.callers
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            link = fleet.daemons['vm-1'].fleet._peers['vm-2'].link
            send_part = link._send_part

            def send_first(connection, message):
                if not parts:
                    send_part(connection, message)

            link._send_part = send_first
            writer.write(
                f'POST /up/x HTTP/1.1\r\nHost: {sidecars.HOST}\r\n'
                f'X-Deadline-Ms: 2000\r\n'
                f'Content-Length: {len(BODY)}\r\n\r\n'.encode()
                + BODY
            )
            await sidecars.wait_until(lambda: parts, 2.0)
            writer.transport.abort()
            table = fleet.daemons['vm-2'].fleet.peer_server._transfers
            await sidecars.wait_until(lambda: not table.transfers, 1.0)
            self.assertEqual([], fleet.upstreams['vm-2'].requests)

        self.run_with(scenario)

    def test_sender_that_is_cut_off_holds_up_no_other_upload(self):
        async def scenario(fleet):
            await fleet.add('vm-9', service='routes', capacity=SLOW_LINK)
            await fleet.wait_until_linked()
            silent = fleet.daemons['vm-9'].fleet._peers['vm-2'].link
            silent._send_part = lambda connection, message: None
            table = fleet.daemons['vm-2'].fleet.peer_server._transfers
            lost = asyncio.ensure_future(
                fleet.call('vm-9', '/up/lost', 'POST', BODY)
            )
            await sidecars.wait_until(lambda: table.transfers, 2.0)
            response = await fleet.call(
                'vm-1', '/up/x', 'POST', BODY, **{'X-Deadline-Ms': '1400'}
            )
            self.assertEqual(200, response.status)
            self.assertNotEqual(200, (await lost).status)
            requests = fleet.upstreams['vm-2'].requests
            self.assertEqual(['/up/x'], [item.target for item in requests])

        self.run_with(scenario)

    def test_small_request_overtakes_an_upload(self):
        async def scenario(fleet):
            parts = self.record_parts(fleet)
            link = fleet.daemons['vm-1'].fleet._peers['vm-2'].link
            send_part = link._send_part
            loop = asyncio.get_running_loop()
            # A link on which each part takes 20 ms.
            link._send_part = lambda *part: loop.call_later(
                0.02, send_part, *part
            )
            upload = asyncio.ensure_future(
                fleet.call('vm-1', '/up/x', 'POST', BODY)
            )
            await sidecars.wait_until(lambda: parts, 2.0)
            response = await fleet.call('vm-1', '/read/x')
            self.assertEqual(200, response.status)
            self.assertFalse(upload.done())
            self.assertEqual(200, (await upload).status)

        self.run_with(scenario)
