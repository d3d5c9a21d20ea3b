"""Tests of the self-check on a working, an unresponsive and a closed port."""

import asyncio
import socket

import testtools

from jujubefold import clock
from jujubefold import selfcheck
from tests import callnodes


class TestSelfCheck(testtools.TestCase):
    def check(self, address):
        return selfcheck.SelfCheck(
            address, clock.SystemClock()
        ).call_port_answers()

    def test_live_call_port_passes(self):
        async def run():
            fleet = callnodes.Fleet()
            node = await fleet.add(upstream=False)
            passed = await self.check(node.member.call_address)
            await fleet.stop()
            return passed

        self.assertTrue(asyncio.run(run()))

    def test_port_that_accepts_connections_but_does_not_answer_fails(self):
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        self.patch(selfcheck, 'TIMEOUT_S', 0.2)
        self.assertFalse(asyncio.run(self.check(f'{host}:{port}')))

    def test_closed_port_fails(self):
        listener = socket.create_server(('127.0.0.1', 0))
        host, port = listener.getsockname()
        listener.close()
        self.assertFalse(asyncio.run(self.check(f'{host}:{port}')))
