"""Machines of a small deployment: daemon, instance and proxies of each."""

import asyncio
import json
import os
import pathlib
import shlex
import signal
import subprocess
import time
import tomllib

import standin_network as network
import standin_web as web

ROOT = pathlib.Path(__file__).resolve().parents[1]
HEARTBEAT_S = 0.87
# The settings that `deploy/settings.toml.in` gives, with the address at which
# other daemons reach this one: that of the proxy before it.
SETTINGS = """
[daemon]
vm = "{name}"
region = "cairo"
failure_domain = "{zone}"
capacity = 1000.0
bootstrap = {bootstrap}

[listen]
callers = "{callers}"
peers = "{peers}"
advertised = "{advertised}"
readiness = "{readiness}"
announcements = "{announcements}"
metrics = "{metrics}"

[upstream]
service = "{service}"
address = "{upstream}"
drain = 2.0

[store]
address = "{store}"

[retries]
ratio = 0.2
window = 10.0
slack = 60.0

[stop]
grace = 6.0
"""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self):
        self._start = time.monotonic()
        self.lines = []

    @property
    def now(self):
        return time.monotonic() - self._start

    def add(self, what, *values):
        words = ' '.join(str(value) for value in values)
        self.lines.append(f'{self.now:9.3f} {what} {words}')

    def write(self, path):
        pathlib.Path(path).write_text('\n'.join(self.lines) + '\n')


class Instance:
    """An instance: runs requests in slots, and says so in heartbeats.

    Args:
        name: Its id.
        service: Its service.
        record: A `Record`.
        slots: Requests that it runs at once.
        work: Called with a request; returns for how many seconds it runs.
    """

    def __init__(self, name, service, record, slots=6, work=lambda m: 0.33):
        self.id = name
        self.service = service
        self.address = web.free_address()
        self.born = int(time.time() * 1000)
        self.runs = []
        self.on_run = lambda request_id: None
        self.sequence = 0
        self._writers = set()
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self.slots = slots
        self._work = work
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, *web.split(self.address)
        )

    def end(self):
        """End: listen no more and reset all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            web.reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await web.read(reader)
                await self._run(message, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, message, writer):
        request_id = message.fields.get('x-request-id', '')
        if message.fields.get('x-expect-instance', self.id) != self.id:
            writer.write(
                web.answer(
                    '421 Misdirected Request',
                    b'',
                    [('X-Request-Id', request_id), ('X-Not-Executed', '1')],
                )
            )
            return
        async with self._slots:
            self.runs.append(request_id)
            self.on_run(request_id)
            self._record.add('run', request_id, self.id, message.first[1])
            await asyncio.sleep(self._work(message))
            self._record.add('ran', request_id, self.id)
        writer.write(self.answer(request_id))

    def answer(self, request_id):
        """Return the bytes of the answer to a request that ran."""
        return web.answer(
            '200 OK',
            f'{request_id} at {self.id}'.encode(),
            [('X-Request-Id', request_id), ('X-Server-Seal', self.id)],
        )

    def deregistration(self):
        """Return the bytes of the deregistration."""
        return web.request(
            'POST',
            f'/api/rpc?call=instances.deregister&of={self.id}',
            [('Host', 'control'), ('Content-Type', 'application/json')],
            json.dumps({'born': self.born}).encode(),
        )

    def heartbeat(self, zone, state='ready'):
        """Return the bytes of the next heartbeat."""
        self.sequence += 1
        body = {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': zone,
                'slots': self.slots,
            },
            'status': {
                'state': state,
                'sequence': self.sequence,
                'cold_remaining_s': 0,
            },
        }
        return web.request(
            'POST',
            f'/api/rpc?call=instances.heartbeat&of={self.id}',
            [('Host', 'control'), ('Content-Type', 'application/json')],
            json.dumps(body).encode(),
        )


class Machine:
    """A machine with a daemon, an instance, and proxies before the daemon.

    Args:
        fleet: The `Fleet`.
        name: Its name; all have the same length.
        zone: Its zone.
        instance: Its `Instance`.
    """

    def __init__(self, fleet, name, zone, instance):
        self.name = name
        self.zone = zone
        self.instance = instance
        self.cut = fleet.cuts[name] = network.Cut()
        self._fleet = fleet
        self._addresses = {
            key: web.free_address()
            for key in (
                'callers',
                'peers',
                'readiness',
                'announcements',
                'metrics',
            )
        }
        self.callers = self._addresses['callers']
        self.proxy = network.Proxy(
            self._addresses['peers'], fleet.cuts, machine=name
        )
        self.store_proxy = network.Proxy(
            fleet.store.address, fleet.cuts, sender=name
        )
        self._process = None
        self._heartbeats = None

    async def start(self):
        """Start the proxies, the instance, the daemon and the heartbeats."""
        await self.proxy.start()
        await self.store_proxy.start()
        await self.instance.start()
        self.start_daemon(bootstrap=True)
        self._heartbeats = asyncio.ensure_future(self._beat())

    def start_daemon(self, bootstrap=False):
        """Start the daemon with the command of the deploy file."""
        folder = self._fleet.folder
        settings = folder / f'{self.name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                bootstrap=str(bootstrap).lower(),
                advertised=self.proxy.address,
                service=self.instance.service,
                upstream=self.instance.address,
                store=self.store_proxy.address,
                **self._addresses,
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['JUJUBEFOLD_SETTINGS'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (folder / f'{self.name}.log').open('ab')
        self._process = subprocess.Popen(
            shlex.split(deploy['roles']['sidecar']['run']),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    @property
    def ended(self):
        """Whether the daemon's process has ended."""
        return self._process.poll() is not None

    def signal(self, number):
        """Send the daemon a signal."""
        if not self.ended:
            self._process.send_signal(number)

    async def restart(self, down=0.0, grace=6.0):
        """Stop the daemon with SIGTERM and start it again."""
        loop = asyncio.get_running_loop()
        self.signal(signal.SIGTERM)
        deadline = loop.time() + grace
        while not self.ended and loop.time() < deadline:
            await asyncio.sleep(0.02)
        self.signal(signal.SIGKILL)
        self._process.wait()
        await asyncio.sleep(down)
        self.start_daemon()

    async def cut_off(self, seconds):
        """Cut the machine off from all others and from the store."""
        self.cut.begin()
        await self.proxy.block()
        await asyncio.sleep(seconds)
        self.cut.end()
        self.proxy.unblock()

    async def kill(self, down):
        """Kill the daemon and start it again after some seconds."""
        self.signal(signal.SIGKILL)
        self._process.wait()
        await asyncio.sleep(down)
        self.start_daemon()

    async def announce(self, data):
        """Send what the instance says; return whether it was acknowledged."""
        answer = await exchange(self._addresses['announcements'], data, 1.0)
        return answer is not None and answer.first[1].startswith('2')

    def stop_heartbeats(self):
        """Send no more heartbeats of the instance."""
        self._heartbeats.cancel()

    async def is_ready(self):
        """Return whether the daemon answers its readiness check with 200."""
        head = web.request('GET', '/api/readiness', [('Host', 'ready')])
        answer = await exchange(self._addresses['readiness'], head, 1.0)
        return answer is not None and answer.first[1] == '200'

    async def _beat(self):
        while True:
            await self.announce(self.instance.heartbeat(self.zone))
            await asyncio.sleep(HEARTBEAT_S)

    def close(self):
        """End the daemon and the proxies."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self._process.wait()
        self.proxy.close()
        self.store_proxy.close()


class Fleet:
    """All machines, and the store.

    Args:
        store: A `platform.Store` that was started.
        folder: Path of a temporary folder.
    """

    def __init__(self, store, folder):
        self.store = store
        self.folder = pathlib.Path(folder)
        self.cuts = {}
        self.machines = {}

    def add(self, name, zone, instance):
        """Add a machine; `start` starts it."""
        machine = self.machines[name] = Machine(self, name, zone, instance)
        return machine

    async def start(self, seconds=30.0):
        """Start all machines; return whether they became ready in time."""
        for machine in self.machines.values():
            await machine.start()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            ready = [await m.is_ready() for m in self.machines.values()]
            if all(ready):
                return True
            await asyncio.sleep(0.2)
        return False

    def reset_connections(self, name, share, rng):
        """Reset a share of the connections of a machine."""
        for machine in self.machines.values():
            machine.proxy.reset(share, rng, name)
            machine.store_proxy.reset(share, rng, name)

    async def close(self):
        """End all processes, and what was started for them."""
        for machine in self.machines.values():
            machine.close()
        own = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not own]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def exchange(address, data, timeout):
    """Send a request on a new connection; return the answer or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*web.split(address))
            writer.write(data)
            return await web.read(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call(
    record, machine, request_id, method, target, deadline, body=b''
):
    """Send a client's request at a machine; return its status, 0 for none."""
    record.add('sent', request_id, machine.name, method, target)
    data = web.request(
        method,
        target,
        [
            ('Host', 'shop.example'),
            ('X-Request-Id', request_id),
            ('X-Deadline-Ms', str(round(deadline * 1000))),
        ],
        body,
    )
    answer = await exchange(machine.callers, data, deadline)
    status = 0 if answer is None else int(answer.first[1])
    text = b'' if answer is None else answer.body[:60]
    record.add('answered', request_id, status, text.decode('latin-1'))
    return status, answer
