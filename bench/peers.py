"""Benchmark of gRPC exchanges between daemons: CPU time and bytes."""

import asyncio
import contextlib
import statistics
import tempfile
import time

from bench import report
from jujubefold import grpcpeers
from jujubefold import messages
from jujubefold import probing
from jujubefold import trust
from tests import certificates

# Less than the burst of exchanges that a daemon accepts.
EXCHANGES = 700
QUICK_EXCHANGES = 200
NEW_CHANNELS = 150
QUICK_NEW_CHANNELS = 20
IDLE_S = 10.0
QUICK_IDLE_S = 2.0
IDLE_CHANNELS = 4
TIMEOUT_S = 5.0
# Load of membership in a quiet fleet: probes a second from each daemon, and
# the share of them that goes to a daemon without an open channel.
PROBES_PER_S = 1.0
NEW_CHANNEL_SHARE = 1 / probing.RANDOM_PROBE_PERIOD

COLUMNS = ('mode', 'case', 'times', 'core ms', 'wall p50 ms', 'wire B')


class _CountingRelay:
    """A TCP relay that counts the bytes in both directions."""

    def __init__(self, host, port):
        self._target = host, port
        self._tasks = set()
        self.bytes = 0

    async def start(self):
        """Start to listen on loopback, and return the `ip:port`."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    def stop(self):
        """Stop accepting connections."""
        self._server.close()

    async def _accept(self, reader, writer):
        other_reader, other_writer = await asyncio.open_connection(
            *self._target
        )
        await asyncio.gather(
            self._relay(reader, other_writer),
            self._relay(other_reader, writer),
        )

    async def _relay(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.bytes += len(data)
                writer.write(data)
        writer.close()


def measure(quick, seed):
    """Measure plain and TLS exchanges, both ends in this process.

    Args:
        quick: Whether to make fewer exchanges.
        seed: Unused; nothing is random.

    Returns:
        A `report.Report`.
    """
    rows = []
    for mode in ('plain', 'tls'):
        rows.extend(asyncio.run(_measure(mode, quick)))
    return report.Report(
        name='peers',
        command=f'python -m bench peers --seed {seed}',
        columns=COLUMNS,
        rows=tuple(rows),
        notes=(
            'Core ms is of client and server together; wire B is TCP '
            'payload in both directions, request and answer of an idle '
            "probe. The idle row is one daemon's server with "
            f'{IDLE_CHANNELS} open channels: core ms a second.',
            *(_quiet_cost_note(mode, rows) for mode in ('plain', 'tls')),
        ),
    )


def _quiet_cost_note(mode, rows):
    found = {row[1]: row for row in rows if row[0] == mode}
    open_ms, open_bytes = found['open channel'][3], found['open channel'][5]
    new_ms, new_bytes = found['new channel'][3], found['new channel'][5]
    new_rate = PROBES_PER_S * NEW_CHANNEL_SHARE
    open_rate = PROBES_PER_S - new_rate
    core = open_rate * open_ms + new_rate * new_ms + found['idle'][3]
    wire = open_rate * open_bytes + new_rate * new_bytes
    return (
        f'{mode}: {PROBES_PER_S:g} probe/s, {NEW_CHANNEL_SHARE:.0%} over new '
        f'channels: {core / 10:.2f}% of a core and {wire:.0f} B/s sent '
        'and as much received, idle cost included.'
    )


async def _measure(mode, quick):
    new_peers = _peers_factory(mode)
    server = new_peers()
    address = await server.serve(_answer)
    host, _, port = address.rpartition(':')
    relay = _CountingRelay(host, int(port))
    relay_address = await relay.start()
    rows = [
        await _open_channel(
            mode, new_peers, address, relay_address, relay, quick
        ),
        await _new_channel(
            mode, new_peers, address, relay_address, relay, quick
        ),
        await _idle(mode, new_peers, address, quick),
    ]
    relay.stop()
    await server.close()
    return rows


def _peers_factory(mode):
    if mode == 'plain':
        return lambda: grpcpeers.GrpcPeers('127.0.0.1:0')
    folder = tempfile.mkdtemp()
    keys = certificates.Authority(folder).issue('vm-0001')
    return lambda: grpcpeers.GrpcPeers(
        '127.0.0.1:0', trust.PeerCredentials(keys)
    )


async def _open_channel(mode, new_peers, address, relay_address, relay, quick):
    times = QUICK_EXCHANGES if quick else EXCHANGES
    client = new_peers()
    await _exchange(client, relay_address)
    before = relay.bytes
    for _ in range(50):
        await _exchange(client, relay_address)
    wire = (relay.bytes - before) / 50
    await _exchange(client, address)
    started = time.process_time()
    walls = [await _exchange(client, address) for _ in range(times)]
    core = (time.process_time() - started) / times
    await client.close()
    return _row(mode, 'open channel', times, core, walls, wire)


async def _new_channel(mode, new_peers, address, relay_address, relay, quick):
    times = QUICK_NEW_CHANNELS if quick else NEW_CHANNELS
    client = new_peers()
    before = relay.bytes
    for _ in range(10):
        await _exchange(client, relay_address)
        client.reload()
    wire = (relay.bytes - before) / 10
    walls = []
    started = time.process_time()
    for _ in range(times):
        walls.append(await _exchange(client, address))
        client.reload()
    await client.close()
    core = (time.process_time() - started) / times
    return _row(mode, 'new channel', times, core, walls, wire)


async def _idle(mode, new_peers, address, quick):
    seconds = QUICK_IDLE_S if quick else IDLE_S
    clients = [new_peers() for _ in range(IDLE_CHANNELS)]
    for client in clients:
        await _exchange(client, address)
    started = time.process_time()
    await asyncio.sleep(seconds)
    core = (time.process_time() - started) / seconds
    for client in clients:
        await client.close()
    return _row(mode, 'idle', 1, core, [0.0], 0.0)


def _row(mode, case, times, core, walls, wire):
    wall = statistics.median(walls)
    return mode, case, times, 1000 * core, 1000 * wall, wire


async def _exchange(client, address):
    started = time.monotonic()
    result = await client.exchange(address, _PROBE, TIMEOUT_S)
    if result.is_error():
        raise RuntimeError(result.error.reason)
    return time.monotonic() - started


def _answer(envelope):
    return _ANSWER


_INCARNATION = 1_700_000_000_000 << 16
_DIGEST = 0xFEDCBA98


def _envelope(content):
    return messages.Envelope(
        'vm-0001', _INCARNATION, '10.0.0.1:7001', 1 << 60, 1, (content,)
    )


_PROBE = _envelope(messages.Ping(1000, _INCARNATION, view=_DIGEST))
_ANSWER = _envelope(messages.Ack(1000, _INCARNATION, view=_DIGEST))
