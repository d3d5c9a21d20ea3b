"""Tests of TCP keepalive."""

import asyncio

import testtools

from jujubefold import tcpkeepalive
from tests import sidecars

# Seconds for which the receiver does not read.
PAUSE_S = 3.0
SENT_BYTES = 20 * 1024 * 1024


class TestKeepalive(testtools.TestCase):
    def test_slow_receiver_is_not_disconnected(self):
        async def main():
            received = asyncio.get_running_loop().create_future()

            async def serve(reader, writer):
                writer.transport.pause_reading()
                await asyncio.sleep(PAUSE_S)
                writer.transport.resume_reading()
                received.set_result(len(await reader.readexactly(SENT_BYTES)))
                writer.close()

            server = await asyncio.start_server(
                serve, sidecars.LOOPBACK, 0, limit=1024
            )
            host, port = server.sockets[0].getsockname()
            _, writer = await asyncio.open_connection(host, port)
            tcpkeepalive.enable(writer.transport)
            writer.write(bytes(SENT_BYTES))
            async with asyncio.timeout(PAUSE_S + 10):
                self.assertEqual(SENT_BYTES, await received)
            writer.close()
            server.close()

        asyncio.run(main())
