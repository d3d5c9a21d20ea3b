"""Tests of the probing of silent connections."""

import asyncio

import testtools

from jujubefold import tcpkeepalive
from tests import sidecars

# Seconds for which a receiver may do something else.
BUSY_S = 3.0
LARGE = 20 * 1024 * 1024


class TestProbe(testtools.TestCase):
    def test_a_receiver_that_is_busy_is_not_cut_off(self):
        async def main():
            received = asyncio.get_running_loop().create_future()

            async def serve(reader, writer):
                writer.transport.pause_reading()
                await asyncio.sleep(BUSY_S)
                writer.transport.resume_reading()
                received.set_result(len(await reader.readexactly(LARGE)))
                writer.close()

            server = await asyncio.start_server(
                serve, sidecars.LOOPBACK, 0, limit=1024
            )
            host, port = server.sockets[0].getsockname()
            _, writer = await asyncio.open_connection(host, port)
            tcpkeepalive.enable(writer.transport)
            writer.write(bytes(LARGE))
            async with asyncio.timeout(BUSY_S + 10):
                self.assertEqual(LARGE, await received)
            writer.close()
            server.close()

        asyncio.run(main())
