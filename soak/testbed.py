"""Testbed: daemon processes with their upstreams and a shared store."""

import asyncio
import contextlib
import dataclasses
import math
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

import msgspec

from soak import proxy
from tests import rowstore
from tests import sidecars

ROOT = pathlib.Path(__file__).parents[1]
# Drain time of an upstream and stop grace of a daemon, as configured.
DRAIN_S = 2.0
GRACE_S = 6.0
HEARTBEAT_INTERVAL_S = 0.4
# Requests whose targets begin with it need a key.
KEYED_PREFIX = '/keyed/'

# Settings of a daemon, to be formatted with its addresses.
SETTINGS = """
[daemon]
vm = "{vm}"
region = "r"
failure_domain = "{failure_domain}"
[listen]
callers = "{callers}"
peers = "{peers}"
advertised = "{advertised}"
readiness = "{readiness}"
announcements = "{announcements}"
metrics = "{metrics}"
[upstream]
service = "pickups"
address = "{upstream}"
drain = {drain}
[store]
address = "{store}"
[retries]
ratio = 0.2
window = 10.0
slack = 56.0
[stop]
grace = {grace}
[tenants]
strict_revoke = true
revoke = 5.0
"""


@dataclasses.dataclass(slots=True)
class NamedLimit:
    """A limit that an upstream names in its answers for some time.

    Times are in seconds of the event loop.

    Args:
        per_second: Requests a second.
        since: When an answer first named it; None before.
        arrivals: When each request reached the upstream meanwhile.
    """

    per_second: float
    since: float | None = None
    arrivals: list = dataclasses.field(default_factory=list)


class Calm:
    """Whether something is, and since when it has been, without faults."""

    def __init__(self):
        self._faults = 0
        self._since = -math.inf

    @contextlib.contextmanager
    def broken(self):
        """Count a fault while the context is entered."""
        self._faults += 1
        try:
            yield
        finally:
            self._faults -= 1
            # The clock of loop times, which is asked without a loop in tests.
            self._since = time.monotonic()

    def since(self, start):
        """Return whether there has been no fault since a loop time."""
        return not self._faults and self._since <= start


class Vm:
    """A daemon process with its upstream.

    Proxies stand before the daemon's peer listener and before the store.

    Args:
        name: VM name.
        failure_domain: Failure domain.
        folder: `pathlib.Path` of the folder for the settings and the log.
        store: Address of the store, `ip:port`.
        rng: A `random.Random`.
    """

    def __init__(self, name, failure_domain, folder, store, rng):
        self.name = name
        self.callers = ''
        self.metrics = ''
        self.upstream = sidecars.Upstream(f'i-{name}')
        self.peers = None
        self.store = proxy.Proxy(store)
        # Loop time of the latest kill or resumption of the daemon, or of the
        # planned end of a pause. Connections lost near it are excused.
        self.disrupted_at = -1e9
        # Faults of its process and its links, and of its way to the store.
        self.calm = Calm()
        self.store_calm = Calm()
        # Loop time at which the daemon acknowledged that the upstream drains.
        self.draining_since = None
        # Pairs of a request that reached the upstream after its drain time,
        # and seconds since the drain was acknowledged.
        self.late_executions = []
        # Each `NamedLimit` of the upstream; the last one may be in force.
        self.limits = []
        # Held while the upstream is down, so that crashes do not overlap.
        self.upstream_down = asyncio.Lock()
        self._failure_domain = failure_domain
        self._folder = folder
        self._rng = rng
        self._process = None
        self._listen_addresses = {}
        self._upstream_starts = 0
        self._heartbeats = None

    async def start(self):
        """Start the proxies, the upstream, the daemon and the heartbeats."""
        names = ('callers', 'peers', 'readiness', 'announcements', 'metrics')
        self._listen_addresses = {
            name: f'{sidecars.LOOPBACK}:{sidecars.free_port()}'
            for name in names
        }
        self.callers = self._listen_addresses['callers']
        self.metrics = self._listen_addresses['metrics']
        self.peers = proxy.Proxy(self._listen_addresses['peers'])
        await self.peers.start()
        await self.store.start()
        self.upstream.handler = self._handle
        await self.start_upstream()
        settings = self._folder / f'{self.name}.toml'
        settings.write_text(
            SETTINGS.format(
                vm=self.name,
                failure_domain=self._failure_domain,
                advertised=self.peers.address,
                upstream=self.upstream.address,
                store=self.store.address,
                drain=DRAIN_S,
                grace=GRACE_S,
                **self._listen_addresses,
            )
        )
        self.start_daemon()
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())

    async def _handle(self, execution, writer):
        now = asyncio.get_running_loop().time()
        if self.draining_since is not None:
            after = now - self.draining_since
            if after > DRAIN_S:
                self.late_executions.append((execution, after))
        if self.upstream.limit:
            self.limits[-1].arrivals.append(now)
        await asyncio.sleep(self._rng.expovariate(25))
        body = f'{execution.id} {execution.target}'.encode()
        await self.upstream.answer(execution, writer, body=body)
        now = asyncio.get_running_loop().time()
        if self.upstream.limit and self.limits[-1].since is None:
            self.limits[-1].since = now
        if self.upstream.leaving and self.draining_since is None:
            self.draining_since = now

    # The upstream

    async def start_upstream(self):
        """Start the upstream, at its former address if it had one."""
        address = self.upstream.address
        if not address:
            address = f'{sidecars.LOOPBACK}:{sidecars.free_port()}'
        await self.upstream.start(address)
        self._upstream_starts += 1
        self.upstream.sequence = 0
        self.upstream.leaving = False
        self.upstream.limit = ''
        self.draining_since = None

    async def drain_upstream(self):
        """Announce that the upstream drains, then restart it.

        The restart follows at once if the announcement is not acknowledged.
        An acknowledgement says nothing about an upstream that has crashed and
        started again while it was awaited.
        """
        starts = self._upstream_starts
        acknowledged = await self._announce('heartbeat', 'draining')
        if acknowledged and starts == self._upstream_starts:
            self.draining_since = asyncio.get_running_loop().time()
            await asyncio.sleep(DRAIN_S + 1.0)
        await self.crash_upstream(0.0)

    async def leave_by_answers(self):
        """Let the upstream say in answers that it leaves, then restart it."""
        starts = self._upstream_starts
        self.upstream.leaving = True
        await asyncio.sleep(DRAIN_S + 1.0)
        if starts == self._upstream_starts:
            await self.crash_upstream(0.0)

    async def name_limit(self, per_second, seconds):
        """Let the upstream name a limit in its answers for some seconds."""
        if self.upstream.limit:
            return
        limit = NamedLimit(per_second)
        self.limits.append(limit)
        self.upstream.limit = f'{per_second:g}'
        await asyncio.sleep(seconds)
        if self.limits[-1] is limit:
            self.upstream.limit = ''

    async def crash_upstream(self, seconds):
        """Stop the upstream abruptly and restart it after some seconds."""
        async with self.upstream_down:
            await self.upstream.stop()
            await asyncio.sleep(seconds)
            await self.start_upstream()

    async def _send_heartbeats(self):
        while True:
            if self.draining_since is None:
                await self._announce('heartbeat', 'ready')
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _announce(self, call, state):
        """Announce the upstream; return whether the daemon acknowledged it."""
        self.upstream.sequence += 1
        body = {
            'address': self.upstream.address,
            'born': self._upstream_starts,
            'info': {'service': 'pickups', 'slots': self.upstream.slots},
            'status': {'state': state, 'sequence': self.upstream.sequence},
        }
        target = f'/api/rpc?call=instances.{call}&of={self.upstream.name}'
        address = self._listen_addresses['announcements']
        try:
            async with asyncio.timeout(1.0):
                answer = await sidecars.request(
                    address,
                    'POST',
                    target,
                    {'Host': 'x'},
                    msgspec.json.encode(body),
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    # The daemon

    @property
    def process_id(self):
        """Process id of the daemon's newest start."""
        return self._process.pid

    def start_daemon(self):
        """Start the daemon's process, unless it runs.

        Two overlapping faults on a VM both restart its daemon. A second
        process would replace the reference to the first, which would then
        never be stopped.
        """
        if self._process is not None and self._process.poll() is None:
            return
        log = (self._folder / f'{self.name}.log').open('ab')
        environment = {
            **os.environ,
            'JUJUBEFOLD_SETTINGS': str(self._folder / f'{self.name}.toml'),
        }
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'jujubefold.platform'],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number):
        """Send a signal to the daemon, if it runs."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_ended(self, seconds):
        """Wait for the daemon's process to exit, and kill it after a timeout.

        Returns:
            Whether it exited by itself.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while self._process.poll() is None and loop.time() < deadline:
            await asyncio.sleep(0.02)
        timed_out = self._process.poll() is None
        self.signal(signal.SIGKILL)
        self._process.wait()
        return not timed_out

    async def close(self):
        """Kill the daemon, and stop the proxies and the upstream."""
        self._heartbeats.cancel()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._process.wait()
        self.peers.close()
        self.store.close()
        await self.upstream.stop()


class Testbed:
    """All VMs and the store.

    Args:
        seed: Seed of all random choices.
        size: Number of VMs.
        folder: Path of the folder for settings and logs.
    """

    def __init__(self, seed, size, folder):
        self.seed = seed
        self.rng = random.Random(seed)
        self.store = rowstore.RowStore()
        self.store.era = '1'
        # Faults of the store, and of all VMs.
        self.calm = Calm()
        self.version = 0
        self.target = ''
        # Keys of the next version; empty without tenants.
        self.keys = ()
        # Loop time and keys of each version that the store had.
        self._stored_keys = []
        # Loop time and number of each version published.
        self._published = []
        self._document = b''
        self._writes = 0
        self.vms = []
        self._size = size
        self._folder = pathlib.Path(folder)

    async def start(self):
        """Start the store, publish a first version and start all VMs."""
        await self.store.start(f'{sidecars.LOOPBACK}:0')
        self.configure()
        for number in range(self._size):
            vm = Vm(
                f'vm-{number}',
                'ab'[number % 2],
                self._folder,
                self.store.address,
                self.rng,
            )
            self.vms.append(vm)
            await vm.start()

    def configure(self):
        """Publish a new version, with a route that no other version has."""
        self.version += 1
        self.publish()

    def publish(self):
        """Write the newest version, with content that none had before."""
        self._writes += 1
        self.target = f'/new-{self._writes}/'
        routes = [
            sidecars.route('read', '/read/', public=True),
            sidecars.route('write', '/write/', 'non_idempotent', public=True),
            sidecars.route('keyed', KEYED_PREFIX),
            sidecars.route('new', self.target, public=True),
        ]
        tenants = [sidecars.tenant('acme', *self.keys)] if self.keys else None
        self._document = sidecars.document(
            self.version, routes, tenants=tenants
        )
        self.store.put('op', 'config', self._document)
        now = asyncio.get_running_loop().time()
        self._published.append((now, self.version))
        self.note_keys()

    def note_keys(self):
        """Note the keys that the store has from now on."""
        document = msgspec.json.decode(self.store.value('op', 'config'))
        rows = document.get('tenants', {}).get('rows', [])
        keys = frozenset(key for row in rows for key in row[1])
        now = asyncio.get_running_loop().time()
        self._stored_keys.append((now, keys))

    def keys_since(self, oldest):
        """Yield the keys of each version that the store had since then.

        Args:
            oldest: Loop time.
        """
        ends = [at for at, _ in self._stored_keys[1:]] + [math.inf]
        for (_, keys), end in zip(self._stored_keys, ends, strict=True):
            if end > oldest:
                yield keys

    def newest_before(self, latest):
        """Return the number of the newest version published by a loop time."""
        return max(
            (number for at, number in self._published if at <= latest),
            default=0,
        )

    def publish_lost(self):
        """Write the newest version under its number, if the store lost it."""
        if self.store.value('op', 'config') != self._document:
            self.publish()

    async def close(self):
        """Stop all VMs and the store."""
        for vm in self.vms:
            await vm.close()
        await self.store.close()
