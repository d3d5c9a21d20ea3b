"""World: daemons as processes, with upstreams and a store beside them."""

import asyncio
import os
import pathlib
import random
import signal
import subprocess
import sys

import msgspec

from soak import proxy
from tests import rowstore
from tests import sidecars

ROOT = pathlib.Path(__file__).parents[1]
DRAIN_S = 2.0
GRACE_S = 6.0
BEAT_S = 0.4

_SETTINGS = """
[daemon]
vm = "{vm}"
region = "r"
failure_domain = "{domain}"
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
"""


class Vm:
    """A daemon process, its upstream, and the proxies around it.

    Args:
        name: VM name.
        domain: Failure domain.
        folder: Where settings and log go.
        store: Address of the store.
        rng: A `random.Random`.
    """

    def __init__(self, name, domain, folder, store, rng):
        self.name = name
        self.callers = ''
        self.upstream = sidecars.Upstream(f'i-{name}')
        self.peers = None
        self.store = proxy.Proxy(store)
        # Loop times of what may excuse a lost connection.
        self.hurt_at = -1e9
        self.left_at = None
        self.late_runs = []
        # Held while the upstream is down, so that faults take turns with it.
        self.upstream_down = asyncio.Lock()
        self._domain = domain
        self._folder = folder
        self._rng = rng
        self._popen = None
        self._listen = {}
        self._born = 0
        self._beats = None

    async def start(self):
        """Start everything on this VM."""
        names = ('callers', 'peers', 'readiness', 'announcements', 'metrics')
        self._listen = {
            name: f'{sidecars.LOOPBACK}:{sidecars.free_port()}'
            for name in names
        }
        self.callers = self._listen['callers']
        self.peers = proxy.Proxy(self._listen['peers'])
        await self.peers.start()
        await self.store.start()
        self.upstream.handler = self._work
        await self.start_upstream()
        settings = self._folder / f'{self.name}.toml'
        settings.write_text(
            _SETTINGS.format(
                vm=self.name,
                domain=self._domain,
                advertised=self.peers.address,
                upstream=self.upstream.address,
                store=self.store.address,
                drain=DRAIN_S,
                grace=GRACE_S,
                **self._listen,
            )
        )
        self.start_daemon()
        self._beats = asyncio.ensure_future(self._beat())

    async def _work(self, run, writer):
        if self.left_at is not None:
            after = asyncio.get_running_loop().time() - self.left_at
            if after > DRAIN_S:
                self.late_runs.append((run, after))
        await asyncio.sleep(self._rng.expovariate(25))
        body = f'{run.id} {run.target}'.encode()
        await self.upstream.answer(run, writer, body=body)

    # The upstream

    async def start_upstream(self):
        """Start the upstream, perhaps again at its address."""
        address = self.upstream.address
        if not address:
            address = f'{sidecars.LOOPBACK}:{sidecars.free_port()}'
        await self.upstream.start(address)
        self._born += 1
        self.upstream.sequence = 0
        self.left_at = None

    async def leave(self):
        """Have the upstream drain; it starts again later."""
        found = await self._say('heartbeat', 'draining')
        if found:
            self.left_at = asyncio.get_running_loop().time()
            await asyncio.sleep(DRAIN_S + 1.0)
        await self.crash(0.0)

    async def crash(self, seconds):
        """Have the upstream crash, and start again after a while."""
        async with self.upstream_down:
            await self.upstream.stop()
            await asyncio.sleep(seconds)
            await self.start_upstream()

    async def _beat(self):
        while True:
            if self.left_at is None:
                await self._say('heartbeat', 'ready')
            await asyncio.sleep(BEAT_S)

    async def _say(self, call, state):
        """Announce the upstream; return whether it was acknowledged."""
        self.upstream.sequence += 1
        body = {
            'address': self.upstream.address,
            'born': self._born,
            'info': {'service': 'pickups', 'slots': self.upstream.slots},
            'status': {'state': state, 'sequence': self.upstream.sequence},
        }
        target = f'/api/rpc?call=instances.{call}&of={self.upstream.name}'
        address = self._listen['announcements']
        try:
            async with asyncio.timeout(1.0):
                found = await sidecars.request(
                    address,
                    'POST',
                    target,
                    {'Host': 'x'},
                    msgspec.json.encode(body),
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return found.status == 200

    # The daemon

    def start_daemon(self):
        """Start the daemon's process, unless it runs.

        Two faults that overlap on a VM both bring its daemon back; a second
        process would take the place of the first, which nobody would end.
        """
        if self._popen is not None and self._popen.poll() is None:
            return
        log = (self._folder / f'{self.name}.log').open('ab')
        environment = {
            **os.environ,
            'JUJUBEFOLD_SETTINGS': str(self._folder / f'{self.name}.toml'),
        }
        self._popen = subprocess.Popen(
            [sys.executable, '-m', 'jujubefold.platform'],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number):
        """Send a signal to the daemon, if it runs."""
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    async def ended(self, seconds):
        """Wait until the daemon's process has ended; kill it if it lasts."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        while self._popen.poll() is None and loop.time() < ends:
            await asyncio.sleep(0.02)
        lasted = self._popen.poll() is None
        self.signal(signal.SIGKILL)
        self._popen.wait()
        return not lasted

    async def close(self):
        """End everything on this VM."""
        self._beats.cancel()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._popen.wait()
        self.peers.close()
        self.store.close()
        await self.upstream.stop()


class World:
    """All VMs and the store.

    Args:
        seed: Of all random choices.
        size: How many VMs.
        folder: Where logs go.
    """

    def __init__(self, seed, size, folder):
        self.rng = random.Random(seed)
        self.store = rowstore.RowStore()
        self.version = 0
        self.vms = []
        self._size = size
        self._folder = pathlib.Path(folder)

    async def start(self):
        """Start everything."""
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
        """Write a new version, with a route that only it has."""
        self.version += 1
        new = sidecars.route('new', f'/new-{self.version}/')
        document = sidecars.document(self.version, [*sidecars.ROUTES, new])
        self.store.put('op', 'config', document)

    async def close(self):
        """End everything."""
        for vm in self.vms:
            await vm.close()
        await self.store.close()
