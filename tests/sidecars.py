"""Test fixtures: sidecars and fake upstreams in one event loop."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import random
import socket
import struct

import expression

from jujubefold import clock
from jujubefold import errors
from jujubefold.platform import adapter
from jujubefold.sidecar import daemon
from jujubefold.sidecar import eventlog
from jujubefold.sidecar import options
from jujubefold.sidecar import rowfeed

HOST = 'shop.example'
# A separate loopback address for each test process, so that processes do
# not take each other's free ports.
LOOPBACK = f'127.1.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}'
# Below the range of ephemeral ports, which outgoing connections use.
_ports = itertools.cycle(range(10_000, 30_000))
# Seconds after which a call that the store does not answer fails, in addition
# to those for which it waits for changes.
STORE_TIMEOUT_S = 1.0
SEAL = 'X-Server-Seal: s\r\n'
HEALTH_PATH = '/health'
ROUTE_COLUMNS = [
    'name',
    'host',
    'prefix',
    'kind',
    'timeout_s',
    'target_latency_s',
    'priority',
    'service',
    'max_attempts',
    'traffic_split',
    'public',
]
TENANT_COLUMNS = ['name', 'api_keys', 'priority', 'rate_per_s', 'burst']


class SilenceableFeed(rowfeed.RowFeed):
    """A feed whose calls are not answered while it is silent."""

    def __init__(self, feed):
        self.silent = False
        self._feed = feed

    async def read(self, table):
        return await self._answer(self._feed.read(table), 0.0)

    async def get(self, table, key):
        return await self._answer(self._feed.get(table, key), 0.0)

    async def changes(self, table, after, wait):
        return await self._answer(self._feed.changes(table, after, wait), wait)

    async def put(self, table, key, value):
        return await self._answer(self._feed.put(table, key, value), 0.0)

    async def remove(self, table, key):
        return await self._answer(self._feed.remove(table, key), 0.0)

    async def transact(self, conditions, puts):
        return await self._answer(self._feed.transact(conditions, puts), 0.0)

    async def _answer(self, call, wait):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait + STORE_TIMEOUT_S
        result = await call
        if not self.silent:
            return result
        await asyncio.sleep(deadline - loop.time())
        return expression.Error(store_unavailable())


class RecordingEventLog(eventlog.EventLog):
    """Records events in memory instead of logging them."""

    def __init__(self):
        self.records = []

    def record(self, event, **fields):
        self.records.append((event, fields))

    def record_request(self, event, succeeded=False, **fields):
        self.records.append((event, fields))

    def flush(self):
        pass

    def configure(self, level, vm, incarnation):
        self.records.append(('log.level', {'level': level}))


def route(name, prefix, kind='idempotent', service='pickups', **overrides):
    """Return a row of the configuration's routes table."""
    values = {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_s': 2.0,
        'target_latency_s': 0.5,
        'priority': 0,
        'service': service,
        'max_attempts': 2,
        'traffic_split': None,
        'public': None,
        **overrides,
    }
    return [values[column] for column in ROUTE_COLUMNS]


def tenant(name, *api_keys, **overrides):
    """Return a row of the configuration's table of tenants."""
    values = {'name': name, 'api_keys': list(api_keys), **overrides}
    return [values.get(column) for column in TENANT_COLUMNS]


ROUTES = (
    route('read', '/read/'),
    route('write', '/write/', 'non_idempotent'),
)

SERVICES = ('pickups', 'routes')


def document(
    version=1, routes=ROUTES, services=SERVICES, tenants=None, **limits
):
    """Return a configuration document in the platform's format."""
    table = {'columns': TENANT_COLUMNS, 'rows': tenants}
    return json.dumps(
        {
            **({} if tenants is None else {'tenants': table}),
            'version': version,
            'routes': {'columns': ROUTE_COLUMNS, 'rows': list(routes)},
            'services': {
                'columns': ['name', 'health_path', 'max_connections'],
                'rows': [[name, HEALTH_PATH, 110] for name in services],
            },
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 1 << 20,
                'header_timeout_s': 3,
                'idle_timeout_s': 15,
                **limits,
            },
        }
    ).encode()


@dataclasses.dataclass(eq=False)
class ReceivedRequest:
    """A request received by an upstream."""

    id: str
    method: str
    target: str
    headers: dict
    body: bytes
    reader: asyncio.StreamReader


class Upstream:
    """A fake upstream whose handler a test may replace.

    Args:
        name: The upstream's id.
        slots: Number of slots in its announcements.

    Attributes:
        limit: Text of the limit that its answers name; '' for none.
        leaving: Whether its answers say that it leaves.
        version: Version of its software in its announcements.
        health: Status at its health path.
        health_id: Id that it tells there.
        health_checks: Number of requests for it.
    """

    def __init__(self, name='i-1', slots=4):
        self.name = name
        self.slots = slots
        self.limit = ''
        self.leaving = False
        self.version = 'v1'
        self.health = 200
        self.health_id = name
        self.health_checks = 0
        self.requests = []
        self.handler = self.answer
        self.sequence = 0
        self.address = ''
        self.closed_connections = []
        self._server = None
        self._writers = set()

    async def start(self, address=f'{LOOPBACK}:0'):
        """Listen on an address, `ip:port`."""
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        name = self._server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'

    async def stop(self):
        """Simulate a crash: stop listening and reset all connections."""
        self.close_listener()
        for writer in tuple(self._writers):
            reset_connection(writer)
        await asyncio.sleep(0.01)

    def close_listener(self):
        """Stop listening, and keep the connections that are open."""
        self._server.close()

    async def answer(
        self, request, writer, status='200 OK', body=b'ok', extra=''
    ):
        """Write a valid answer to a request."""
        if self.limit:
            extra += f'Server-Limit: {self.limit}\r\n'
        if self.leaving:
            extra += 'Server-Leaving: 1\r\n'
        head = (
            f'HTTP/1.1 {status}\r\nX-Request-Id: {request.id}\r\n{SEAL}'
            f'{extra}Content-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        number = len(self._writers)
        try:
            while True:
                request = await self._read(reader)
                if request.target == HEALTH_PATH:
                    self._answer_health(writer)
                else:
                    self.requests.append(request)
                    await self.handler(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_connections.append(number)
            writer.close()

    def _answer_health(self, writer):
        self.health_checks += 1
        writer.write(
            f'HTTP/1.1 {self.health} Health\r\n'
            f'X-Instance-Id: {self.health_id}\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )

    async def _read(self, reader):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        first, *lines = head.strip().split('\r\n')
        method, target, _ = first.split(' ')
        headers = dict(line.lower().split(': ', 1) for line in lines)
        size = int(headers.get('content-length', 0))
        body = await reader.readexactly(size)
        return ReceivedRequest(
            headers.get('x-request-id', ''),
            method,
            target,
            headers,
            body,
            reader,
        )


@dataclasses.dataclass(eq=False)
class Response:
    """A response received by a caller."""

    status: int
    headers: dict
    body: bytes


class Fleet:
    """Sidecars that share an in-memory store.

    Attributes:
        rollouts: The `options.Rollouts` of sidecars that are added.
        new_rollout_controller: As in `daemon.Platform`, for the same.
        tenants: Settings of daemons that are started from now on.
    """

    def __init__(self):
        self.feed = rowfeed.MemoryRowFeed()
        self.rollouts = None
        self.new_rollout_controller = adapter.PLATFORM.new_rollout_controller
        self.daemons = {}
        self.event_logs = {}
        self.upstreams = {}
        self.tenants = options.Tenants()
        self._ids = random.Random(1)

    async def start(self, version=1):
        """Write the initial configuration."""
        await self.configure(document(version))

    async def configure(self, body):
        """Write a configuration."""
        await self.feed.put('op', 'config', body)

    async def add(
        self,
        vm,
        domain='a',
        service='pickups',
        slots=4,
        feed=None,
        capacity=0.0,
        version='v1',
    ):
        """Add a VM with a sidecar and an announced upstream."""
        upstream = Upstream(f'i-{vm}', slots)
        upstream.version = version
        await upstream.start()
        self.upstreams[vm] = upstream
        await self.add_daemon(vm, domain, service, feed, capacity)
        await self.announce(vm)
        return self.daemons[vm]

    async def add_daemon(
        self, vm, domain='a', service='pickups', feed=None, capacity=0.0
    ):
        """Start a sidecar for a VM whose upstream already exists."""
        ports = iter([free_port() for _ in range(5)])
        daemon_options = options.Options(
            options.Daemon(vm, 'r', domain, capacity),
            options.Listen(
                *(f'{LOOPBACK}:{next(ports)}' for _ in range(5)),
            ),
            options.Upstream(service, self.upstreams[vm].address, 2.0),
            options.Store(f'{LOOPBACK}:1'),
            options.Retries(0.2, 10.0, 56.0),
            options.Stop(6.0),
            rollouts=self.rollouts,
            tenants=self.tenants,
        )
        return await self.restart(vm, daemon_options, feed)

    async def restart(self, vm, daemon_options, feed=None):
        """Start a VM's sidecar with the given `options.Options`."""
        platform = dataclasses.replace(
            adapter.PLATFORM,
            new_feed=lambda *args: feed or self.feed,
            new_rollout_controller=self.new_rollout_controller,
        )
        event_log = self.event_logs[vm] = RecordingEventLog()
        sidecar = daemon.Daemon(
            daemon_options, platform, clock.SystemClock(), event_log
        )
        self.daemons[vm] = sidecar
        await sidecar.start()
        return sidecar

    async def announce(self, vm, state='ready', born=1, **overrides):
        """Announce a VM's upstream; return the HTTP status."""
        upstream = self.upstreams[vm]
        upstream.sequence += 1
        announcement = {
            'address': upstream.address,
            'born': born,
            'info': {
                'service': self.daemons[vm].options.upstream.service,
                'version': upstream.version,
                'zone': 'a',
                'slots': upstream.slots,
            },
            'status': {
                'state': state,
                'sequence': upstream.sequence,
                'cold_remaining_s': 0,
            },
            **overrides,
        }
        response = await self.call_lifecycle_api(
            vm, 'heartbeat', json.dumps(announcement)
        )
        return response.status

    async def call_lifecycle_api(self, vm, call, body=''):
        """Send a call of a VM's upstream to its sidecar."""
        address = self.daemons[vm].options.listen.announcements
        name = self.upstreams[vm].name
        target = f'/api/rpc?call=instances.{call}&of={name}'
        headers = {'Host': address}
        return await request(address, 'POST', target, headers, body.encode())

    async def wait_until_linked(self, links=None):
        """Wait until all sidecars have a version and links to each other."""
        min_links = len(self.daemons) - 1 if links is None else links
        for _ in range(300):
            if all(
                sidecar.versions.number
                and sidecar.fleet.linked_count >= min_links
                for sidecar in self.daemons.values()
            ):
                return
            await asyncio.sleep(0.01)
        raise AssertionError('sidecars were not linked within 3 s')

    async def call(self, vm, target, method='GET', body=b'', **overrides):
        """Send a request as a caller on a VM; return the `Response`."""
        headers = {
            'Host': HOST,
            'X-Request-Id': f'{self._ids.getrandbits(64):016x}',
            'X-Deadline-Ms': '1500',
            **overrides,
        }
        address = self.daemons[vm].options.listen.callers
        return await request(address, method, target, headers, body)

    async def close(self):
        """Close all sidecars and stop all upstreams."""
        for sidecar in self.daemons.values():
            await sidecar.close()
        for upstream in self.upstreams.values():
            await upstream.stop()

    def events(self, vm):
        """Return the names of a sidecar's logged events."""
        return [event for event, _ in self.event_logs[vm].records]


def reset_connection(writer):
    """Close a connection with a TCP reset."""
    if writer.transport.is_closing():
        return
    linger = struct.pack('ii', 1, 0)
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def request(address, method, target, headers, body=b''):
    """Send one request over a new connection; return the `Response`."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    try:
        return await read_response(reader)
    finally:
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


async def read_response(reader):
    """Read one HTTP response."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    first, *lines = head.strip().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Response(int(first.split(' ')[1]), headers, body)


async def wait_until(condition, seconds):
    """Wait until a condition holds; fail after a number of seconds."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while not condition():
        if loop.time() > deadline:
            raise AssertionError(f'condition not met within {seconds} s')
        await asyncio.sleep(0.01)


def unavailable_feed():
    """Return a row feed whose store is unavailable."""
    feed = rowfeed.MemoryRowFeed()
    feed.fault = store_unavailable()
    return feed


def store_unavailable():
    """Return the error of an unavailable store."""
    return errors.StoreNotRun('unavailable')


def free_port():
    """Return an unused port outside the range of ephemeral ports."""
    while True:
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, next(_ports)))
            except OSError:
                continue
            return sock.getsockname()[1]


def run_coroutine(coroutine):
    """Run a coroutine in a new event loop."""
    return asyncio.run(coroutine)


def run_scenario(scenario):
    """Run a coroutine function with a new `Fleet`, and close the fleet."""

    async def main():
        fleet = Fleet()
        await fleet.start()
        try:
            async with asyncio.timeout(30):
                await scenario(fleet)
        finally:
            await fleet.close()

    asyncio.run(main())
