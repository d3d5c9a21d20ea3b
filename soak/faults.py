"""Random faults injected into a testbed, drawn from its seed."""

import asyncio
import contextlib
import random
import signal

from soak import proxy
from soak import testbed as testbeds

KINDS = (
    'delay',
    'one_way',
    'silence',
    'reset',
    'kill',
    'pause',
    'term',
    'hup',
    'crash',
    'drain',
    'configure',
    'store_mode',
    'store_compact',
    'store_cut',
    'herd',
)
# Drawn apart from the faults above, so that a seed still draws the same of
# those.
LATER_KINDS = ('limit', 'leave', 'store_return')
# Faults of a VM's process or links, and those of the store or of many VMs.
VM_FAULTS = frozenset(
    ('delay', 'one_way', 'silence', 'reset', 'kill', 'pause', 'term')
)
COMMON_FAULTS = frozenset(
    ('store_mode', 'store_compact', 'store_return', 'herd')
)
STORE_MODES = ('busy', 'many', 'reset', 'silent', 'lost')
# Range of the duration of a fault, in seconds.
DURATION_S = (0.3, 3.0)
# Range of seconds between the starts of two faults. It lies below most
# durations, so that faults overlap.
INTERVAL_S = (0.1, 0.9)
LATER_INTERVAL_S = (0.5, 3.0)
STORE_AWAY_S = 0.3
LIMITS_PER_S = (2.0, 4.0)
LIMIT_DURATION_S = (4.0, 8.0)


async def run(testbed, seconds, kinds, log):
    """Inject faults for some time, then wait until all are undone.

    Args:
        testbed: A `testbed.Testbed`.
        seconds: For how long new faults are started.
        kinds: Names of the kinds of faults to draw from.
        log: Called with one line of text for each fault.
    """
    end = asyncio.get_running_loop().time() + seconds
    later = random.Random(testbed.seed)
    await asyncio.gather(
        *(
            _inject(testbed, drawn, interval, rng, end, log)
            for drawn, interval, rng in (
                (_among(KINDS, kinds), INTERVAL_S, testbed.rng),
                (_among(LATER_KINDS, kinds), LATER_INTERVAL_S, later),
            )
            if drawn
        )
    )


def _among(names, kinds):
    return tuple(name for name in names if name in kinds)


async def _inject(testbed, kinds, interval, rng, end, log):
    """Start faults of some kinds until a time, and wait until they end."""
    loop = asyncio.get_running_loop()
    tasks = []
    while loop.time() < end:
        kind = rng.choice(kinds)
        vm = rng.choice(testbed.vms)
        duration = rng.uniform(*DURATION_S)
        log(f'{kind} {vm.name} {duration:.2f}')
        tasks.append(asyncio.ensure_future(_play(testbed, kind, vm, duration)))
        await asyncio.sleep(rng.uniform(*interval))
    await asyncio.gather(*tasks)


async def _play(testbed, kind, vm, duration):
    """Play a fault, and note what is disturbed by it meanwhile."""
    with contextlib.ExitStack() as disturbed:
        if kind in VM_FAULTS:
            disturbed.enter_context(vm.calm.broken())
        elif kind in COMMON_FAULTS:
            disturbed.enter_context(testbed.calm.broken())
        elif kind == 'store_cut':
            disturbed.enter_context(vm.store_calm.broken())
        await _FAULTS[kind](testbed, vm, duration)


async def _delay(testbed, vm, duration):
    vm.peers.link.delay = testbed.rng.choice((0.005, 0.05, 0.4))
    await asyncio.sleep(duration)
    vm.peers.link = proxy.LinkState()


async def _one_way(testbed, vm, duration):
    direction = testbed.rng.choice(('to_target', 'to_client'))
    setattr(vm.peers.link, direction, False)
    await asyncio.sleep(duration)
    vm.peers.link = proxy.LinkState()


async def _silence(testbed, vm, duration):
    testbed.rng.choice((vm.peers, vm.store)).silence()


async def _reset(testbed, vm, duration):
    testbed.rng.choice((vm.peers, vm.store)).reset()


async def _kill(testbed, vm, duration):
    _mark_disrupted(vm)
    vm.signal(signal.SIGKILL)
    await vm.wait_ended(2.0)
    await asyncio.sleep(duration / 4)
    vm.start_daemon()
    _mark_disrupted(vm)


async def _herd(testbed, vm, duration):
    await asyncio.gather(
        *(_kill(testbed, item, duration) for item in testbed.vms[::2])
    )


async def _pause(testbed, vm, duration):
    _mark_disrupted(vm, duration)
    vm.signal(signal.SIGSTOP)
    await asyncio.sleep(duration)
    vm.signal(signal.SIGCONT)
    _mark_disrupted(vm)


async def _term(testbed, vm, duration):
    vm.signal(signal.SIGTERM)
    if not await vm.wait_ended(testbeds.GRACE_S):
        _mark_disrupted(vm)
    vm.start_daemon()


async def _hup(testbed, vm, duration):
    vm.signal(signal.SIGHUP)


async def _crash(testbed, vm, duration):
    await vm.crash_upstream(duration / 2)


async def _drain(testbed, vm, duration):
    if vm.draining_since is None:
        await vm.drain_upstream()


async def _limit(testbed, vm, duration):
    share = duration / DURATION_S[1]
    await vm.name_limit(
        LIMITS_PER_S[0] + share * (LIMITS_PER_S[1] - LIMITS_PER_S[0]),
        LIMIT_DURATION_S[0]
        + share * (LIMIT_DURATION_S[1] - LIMIT_DURATION_S[0]),
    )


async def _leave(testbed, vm, duration):
    if vm.draining_since is None:
        await vm.leave_by_answers()


async def _configure(testbed, vm, duration):
    testbed.configure()


async def _store_mode(testbed, vm, duration):
    testbed.store.mode = testbed.rng.choice(STORE_MODES)
    await asyncio.sleep(duration)
    testbed.store.mode = 'serve'


async def _store_compact(testbed, vm, duration):
    testbed.store.compact()


async def _store_return(testbed, vm, duration):
    """Let the store return from a copy; the operator writes again later."""
    copied = testbed.store.copy()
    await asyncio.sleep(duration)
    testbed.store.mode = 'reset'
    await asyncio.sleep(STORE_AWAY_S)
    testbed.store.restore(copied)
    testbed.note_keys()
    testbed.store.mode = 'serve'
    await asyncio.sleep(duration / 2)
    testbed.publish_lost()


async def _store_cut(testbed, vm, duration):
    vm.store.link.to_target = False
    await asyncio.sleep(duration)
    vm.store.link.to_target = True


def _mark_disrupted(vm, seconds=0.0):
    vm.disrupted_at = asyncio.get_running_loop().time() + seconds


_FAULTS = {kind: globals()[f'_{kind}'] for kind in KINDS + LATER_KINDS}
