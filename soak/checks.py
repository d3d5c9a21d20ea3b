"""Checks: what callers and upstreams saw, held against the promises."""

import asyncio
import collections
import dataclasses
import itertools

from soak import world as worlds
from tests import sidecars

DEADLINE_MS = 2000
# Seconds after its deadline within which a caller has its answer.
LATE_S = 1.0
# Seconds after a kill or a pause in which a connection may be lost.
HURT_S = 3.0
# Seconds in which versions are in force and requests served again.
SETTLE_S = 8.0
PROMISES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a caller was told.

    Args:
        request: Its id.
        target: What it asked for.
        write: Whether it must not run twice.
        status: HTTP status, or 0 when the connection was lost.
        body: Body of the answer.
        seconds: How long it took.
        excused: Whether the daemon was killed or paused meanwhile.
    """

    request: str
    target: str
    write: bool
    status: int
    body: bytes
    seconds: float
    excused: bool


class Callers:
    """Sends requests to all VMs, and remembers what they were told.

    Args:
        world: A `world.World`.
    """

    def __init__(self, world):
        self.told = []
        self._world = world
        self._ids = itertools.count(1)

    async def run(self, until):
        """Send requests until an event is set."""
        while not until.is_set():
            await self.call(self._world.rng.choice(self._world.vms))
            await asyncio.sleep(self._world.rng.expovariate(20))

    async def call(self, vm):
        """Send one request; return what came."""
        write = self._world.rng.random() < 0.5
        name = f'{vm.name}-{next(self._ids)}'
        target = f'/{"write" if write else "read"}/{name}'
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, body = 0, b''
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + LATE_S + 2):
                found = await sidecars.request(
                    vm.callers,
                    'POST' if write else 'GET',
                    target,
                    {
                        'Host': sidecars.HOST,
                        'X-Request-Id': name,
                        'X-Deadline-Ms': DEADLINE_MS,
                    },
                    b'b' if write else b'',
                )
                status, body = found.status, found.body
        except (OSError, asyncio.IncompleteReadError):
            pass
        except TimeoutError:
            status = -1
        told = Told(
            name,
            target,
            write,
            status,
            body,
            loop.time() - began,
            vm.hurt_at + HURT_S > began,
        )
        self.told.append(told)
        return told


def broken(world, callers):
    """Yield one line for each promise that was not kept.

    Args:
        world: The `world.World` after the faults.
        callers: The `Callers`.
    """
    ran = collections.Counter(
        run.id for vm in world.vms for run in vm.upstream.requests
    )
    for told in callers.told:
        count = ran[told.request]
        if told.write and count > 1:
            yield f'twice: {told} ran {count} times'
        if told.write and told.status in PROMISES and count:
            yield f'refused: {told} ran'
        if told.status == 200:
            body = f'{told.request} {told.target}'.encode()
            if told.body != body or not count:
                yield f'mixed: {told}'
        if told.status not in (0, -1, 200, 502, 503, 504):
            yield f'denied: {told}'
        if told.status == -1 and not told.excused:
            yield f'silent: {told}'
        late = DEADLINE_MS / 1000 + LATE_S
        if told.seconds > late and not told.excused:
            yield f'late: {told}'
        if told.status == 0 and count and not told.excused:
            yield f'lost: {told}'


async def settled(world, callers):
    """Yield one line for each thing that is not whole after the faults."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + SETTLE_S
    target = f'/new-{world.version}/x'
    for vm in world.vms:
        status = None
        while loop.time() < ends and status != 200:
            try:
                async with asyncio.timeout(2.0):
                    found = await sidecars.request(
                        vm.callers,
                        'GET',
                        target,
                        {
                            'Host': sidecars.HOST,
                            'X-Request-Id': f'settle-{vm.name}',
                            'X-Deadline-Ms': 1000,
                        },
                    )
                    status = found.status
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status = 0
            await asyncio.sleep(0.05)
        if status != 200:
            yield f'not settled: {vm.name} answers {status} to {target}'


def drained_late(world):
    """Yield a line for each upstream that was sent work after its drain."""
    for vm in world.vms:
        for run, at in vm.late_runs:
            yield (
                f'drained: {vm.name} was sent {run.id} {at:.2f} s after it '
                f'said that it leaves, {worlds.DRAIN_S} s are allowed'
            )
