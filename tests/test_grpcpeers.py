"""Tests of the `peers.Peers` contract on all backends, and of gRPC limits."""

import asyncio
import contextlib
import tempfile

import grpc
import testtools

from jujubefold import grpcpeers
from jujubefold import messages
from jujubefold import peers
from jujubefold import trust
from tests import certificates

TIMEOUT_S = 5.0


def envelope(vm, *content):
    return messages.Envelope(vm, 1, '127.0.0.1:1', 0, 0, content)


def echo(received):
    return envelope('echo', *received.messages)


def grpc_factory():
    return lambda: grpcpeers.GrpcPeers('127.0.0.1:0')


def memory_factory():
    network = peers.MemoryNetwork()
    addresses = iter(('10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'))
    return lambda: peers.MemoryPeers(network, next(addresses))


def tls_factory():
    folder = tempfile.mkdtemp()
    keys = certificates.Authority(folder).issue('vm-1')
    return lambda: grpcpeers.GrpcPeers(
        '127.0.0.1:0', trust.PeerCredentials(keys)
    )


BACKENDS = (
    ('memory', memory_factory),
    ('grpc', grpc_factory),
    ('grpc with tls', tls_factory),
)


@contextlib.asynccontextmanager
async def closing(*peers_to_close):
    try:
        yield peers_to_close
    finally:
        for peer in peers_to_close:
            await peer.close()


class TestContract(testtools.TestCase):
    def test_contract(self):
        for name, new_peers in BACKENDS:
            for case in (
                self.check_answer,
                self.check_closed_server,
                self.check_repeated_exchange,
            ):
                with self.subTest(backend=name, case=case.__name__):
                    asyncio.run(case(new_peers()))

    async def check_answer(self, new_peers):
        async with closing(new_peers(), new_peers()) as (server, client):
            address = await server.serve(echo)
            ping = envelope('a', messages.Ping(7), messages.Pull(3))
            answer = await client.exchange(address, ping, TIMEOUT_S)
            self.assertEqual(ping.messages, answer.ok.messages)

    async def check_closed_server(self, new_peers):
        async with closing(new_peers(), new_peers()) as (server, client):
            address = await server.serve(echo)
            await server.close()
            answer = await client.exchange(address, envelope('a'), TIMEOUT_S)
            self.assertIn(address, answer.error.reason)

    async def check_repeated_exchange(self, new_peers):
        async with closing(new_peers(), new_peers()) as (server, client):
            address = await server.serve(echo)
            await client.exchange(address, envelope('a'), TIMEOUT_S)
            again = await client.exchange(address, envelope('b'), TIMEOUT_S)
            self.assertTrue(again.is_ok())


class TestGrpcPeers(testtools.TestCase):
    def test_unresponsive_peer_times_out_and_loses_its_channel(self):
        asyncio.run(self._check_unresponsive())

    async def _check_unresponsive(self):
        server = await asyncio.start_server(
            lambda reader, writer: asyncio.sleep(60), '127.0.0.1', 0
        )
        host, port = server.sockets[0].getsockname()
        async with closing(grpcpeers.GrpcPeers('127.0.0.1:0')) as (client,):
            answer = await client.exchange(
                f'{host}:{port}', envelope('a'), 0.3
            )
            self.assertTrue(answer.is_error())
            self.assertEqual(0, client.channels)
        server.close()

    def test_channels_are_bounded_and_neighbours_are_retained(self):
        asyncio.run(self._check_channel_bound())

    async def _check_channel_bound(self):
        async with closing(grpcpeers.GrpcPeers('127.0.0.1:0')) as (client,):
            client.retain(['127.0.0.1:1'])
            for port in range(1, grpcpeers.MAX_CHANNELS + 10):
                client._channel(f'127.0.0.1:{port}')
            self.assertEqual(grpcpeers.MAX_CHANNELS, client.channels)
            self.assertIn('127.0.0.1:1', client._channels)

    def test_malformed_and_oversized_envelopes_are_refused(self):
        cases = (
            ('malformed', b'\xc1', grpc.StatusCode.INVALID_ARGUMENT),
            (
                'oversized',
                b'\0' * (messages.MAX_ENVELOPE_BYTES + 1),
                grpc.StatusCode.RESOURCE_EXHAUSTED,
            ),
        )
        for name, data, code in cases:
            with self.subTest(name):
                self.assertIs(code, asyncio.run(self._refusal_code(data)))

    async def _refusal_code(self, data):
        async with closing(grpcpeers.GrpcPeers('127.0.0.1:0')) as (server,):
            address = await server.serve(echo)
            async with grpc.aio.insecure_channel(address) as channel:
                call = channel.unary_unary('/jujubefold.Peers/Exchange')
                try:
                    await call(data, timeout=TIMEOUT_S)
                except grpc.aio.AioRpcError as error:
                    return error.code()

    def test_rate_is_bounded(self):
        rate = grpcpeers._TokenBucket(10.0, 5.0)
        taken = [rate.take(100.0) for _ in range(8)]
        self.assertEqual([True] * 5 + [False] * 3, taken)
        self.assertTrue(rate.take(100.11))

    def test_only_daemons_of_the_authority_are_accepted(self):
        folder = tempfile.mkdtemp()
        authority = certificates.Authority(folder)
        other = certificates.Authority(folder, 'other')
        cases = (
            ('daemon', authority.issue('vm-2'), True),
            ('operator', authority.issue('ann', daemon=False), False),
            ('foreign', other.issue('vm-3'), False),
        )
        server_keys = authority.issue('vm-1')
        for name, keys, allowed in cases:
            with self.subTest(name):
                result = asyncio.run(
                    self._exchange_with_keys(server_keys, keys)
                )
                self.assertEqual(allowed, result.is_ok())

    async def _exchange_with_keys(self, server_keys, client_keys):
        server = grpcpeers.GrpcPeers(
            '127.0.0.1:0', trust.PeerCredentials(server_keys)
        )
        client = grpcpeers.GrpcPeers(
            '127.0.0.1:0', trust.PeerCredentials(client_keys)
        )
        async with closing(server, client):
            address = await server.serve(echo)
            return await client.exchange(address, envelope('a'), 3.0)

    def test_changed_keys_are_used_without_a_restart(self):
        asyncio.run(self._check_key_reload())

    async def _check_key_reload(self):
        folder = tempfile.mkdtemp()
        keys = certificates.Authority(folder).issue('vm-1')
        server = grpcpeers.GrpcPeers(
            '127.0.0.1:0', trust.PeerCredentials(keys)
        )
        client = grpcpeers.GrpcPeers(
            '127.0.0.1:0', trust.PeerCredentials(keys)
        )
        async with closing(server, client):
            address = await server.serve(echo)
            before = await client.exchange(address, envelope('a'), 3.0)
            channel = client._channels[address]
            # A new authority replaces the old one in the same files.
            certificates.Authority(folder).issue('vm-1')
            after = await client.exchange(address, envelope('a'), 3.0)
            self.assertTrue(before.is_ok() and after.is_ok())
            self.assertIsNot(channel, client._channels[address])
