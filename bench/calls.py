"""Benchmark of latency, rate and CPU time of direct, one- and two-hop calls.

In paired measurements, each round calls every path once, in random order, so
that noise of the machine affects all paths alike.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import time

import hdrh.histogram
import msgspec

from bench import report
from jujubefold import bodymemory
from jujubefold import callclient
from jujubefold import clock
from jujubefold import example

TARGET_ADDED_MS = 0.33
SLOTS = 12
BUSY_SLOTS = 6
BUSY_WORK_MS = 5
BUSY_CALLERS = 18
BODY_BYTES = 200
MAX_US = 60_000_000
DIRECT, LOCAL, REMOTE, PLAIN = 'direct', 'local hop', 'two hops', 'plain hop'

_TICKS = os.sysconf('SC_CLK_TCK')
_COLUMNS = (
    'measure',
    'path',
    'connections',
    'calls',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'added p50 ms',
    'added p99 ms',
    'added p99.9 ms',
    'calls/s',
    'daemon cpu ms/call',
    'slots in use %',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """A network path to the upstream.

    Args:
        name: Label in the report.
        address: Address that callers send to, `ip:port`.
        pids: Process ids of the daemons on the path.
    """

    name: str
    address: str
    pids: tuple[int, ...]


def _histogram():
    return hdrh.histogram.HdrHistogram(1, MAX_US, 3)


def _quantiles(histogram):
    return tuple(
        histogram.get_value_at_percentile(percent) / 1000
        for percent in (50, 99, 99.9)
    )


def _cpu_seconds(pids):
    """Return the CPU time that processes have used, in seconds."""
    used = 0
    for pid in pids:
        with open(f'/proc/{pid}/stat') as stat:
            fields = stat.read().rpartition(')')[2].split()
        used += int(fields[11]) + int(fields[12])
    return used / _TICKS


@contextlib.contextmanager
def _process(*arguments):
    """Run a module; yield its pid and its first line, decoded as JSON."""
    process = subprocess.Popen(
        [sys.executable, *arguments], stdout=subprocess.PIPE
    )
    try:
        yield process.pid, json.loads(process.stdout.readline())
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(10)


@contextlib.contextmanager
def _paths(slots, work_ms, plain):
    """Start an upstream, and yield the paths to it, the direct one first."""
    with contextlib.ExitStack() as stack:

        def start(*arguments):
            return stack.enter_context(_process('-m', *arguments))

        _, upstream = start(
            'jujubefold.example',
            '--service=example',
            f'--slots={slots}',
            f'--work-ms={work_ms}',
        )
        address = upstream['address']
        local_pid, local = start(
            'bench.callnode',
            f'--upstream={address}',
            f'--slots={slots}',
            '--vm=other',
        )
        remote_pid, remote = start(
            'bench.callnode',
            f'--peer={local["peers"]}',
            f'--peer-slots={slots}',
        )
        paths = [
            Path(DIRECT, address, ()),
            Path(LOCAL, local['callers'], (local_pid,)),
            Path(REMOTE, remote['callers'], (local_pid, remote_pid)),
        ]
        if plain:
            pid, hop = start('bench.plainhop', address)
            paths.append(Path(PLAIN, hop['callers'], (pid,)))
        yield paths


class _Caller:
    def __init__(self, path):
        self.path = path
        self._pool = callclient.Pool(
            path.address,
            1024,
            clock.SystemClock(),
            bodymemory.Budget(1 << 30),
            1 << 24,
        )
        self._message = callclient.ClientRequest(
            'POST',
            b'/orders',
            [(b'host', b'example'), (b'accept', b'*/*')],
            [bytes(BODY_BYTES)],
            BODY_BYTES,
        )
        self._head = callclient.encode_head(self._message)
        self._bounds = callclient.ExchangeLimits(float('inf'), float('inf'))

    async def call(self):
        """Send one call and return its duration in microseconds."""
        connection = self._pool.take_idle() or await self._pool.acquire(10)
        began = time.perf_counter()
        answer = await connection.start(
            self._message, self._head, self._bounds
        )
        elapsed_s = time.perf_counter() - began
        if answer.status != 200:
            raise AssertionError(f'{self.path.name}: {answer}')
        self._pool.answer_memory.release(answer.memory)
        return elapsed_s * 1e6

    async def stats(self):
        """Return the upstream's statistics; works on the direct path only."""
        connection = self._pool.take_idle() or await self._pool.acquire(10)
        message = callclient.ClientRequest(
            'GET', example.STATS_PATH.encode(), [(b'host', b'a')], [], 0
        )
        answer = await connection.start(
            message, callclient.encode_head(message), self._bounds
        )
        return msgspec.json.decode(b''.join(answer.chunks), type=example.Stats)

    def close(self):
        self._pool.close()


async def _paired(paths, rounds, rng):
    """Yield a row for each path, from sequential calls in rounds."""
    callers = [_Caller(path) for path in paths]
    durations = {path.name: _histogram() for path in paths}
    added = {path.name: _histogram() for path in paths}
    for caller in itertools.chain.from_iterable([callers] * 200):
        await caller.call()
    before = {path.name: _cpu_seconds(path.pids) for path in paths}
    for _ in range(rounds):
        duration_us = {}
        for caller in rng.sample(callers, len(callers)):
            duration_us[caller.path.name] = await caller.call()
        for name, value in duration_us.items():
            durations[name].record_value(max(1, int(value)))
            difference = max(1, int(value - duration_us[DIRECT]))
            added[name].record_value(difference)
    for path, caller in zip(paths, callers, strict=True):
        caller.close()
        yield (
            'paired',
            path.name,
            1,
            rounds,
            *_quantiles(durations[path.name]),
            *_added(path, added),
            0.0,
            _cpu_ms_per_call(path, before, rounds, len(paths)),
            0.0,
        )


def _added(path, added):
    if path.name == DIRECT:
        return 0.0, 0.0, 0.0
    return _quantiles(added[path.name])


def _cpu_ms_per_call(path, before, rounds, count):
    """Return the milliseconds of CPU time per call, 0 where unknown."""
    used = _cpu_seconds(path.pids) - before[path.name]
    # The daemon of the local hop is also the second of the two hops.
    calls = 2 * rounds if path.name == LOCAL else rounds
    return used * 1000 / calls if path.name != REMOTE else 0.0


async def _paced(paths, seconds, rate, rng):
    """Yield a row for each path, from calls that start at a mean rate."""
    for path in paths:
        caller = _Caller(path)
        histogram = _histogram()
        await asyncio.gather(*(caller.call() for _ in range(SLOTS)))
        running = set()
        before = _cpu_seconds(path.pids)

        async def one(caller=caller, histogram=histogram):
            histogram.record_value(max(1, int(await caller.call())))

        began = time.perf_counter()
        due = began
        while due < began + seconds:
            due += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            if len(running) < SLOTS:
                task = asyncio.ensure_future(one())
                running.add(task)
                task.add_done_callback(running.discard)
        await asyncio.gather(*running)
        calls = histogram.get_total_count()
        used = _cpu_seconds(path.pids) - before
        caller.close()
        yield (
            f'paced {rate}/s',
            path.name,
            SLOTS,
            calls,
            *_quantiles(histogram),
            0.0,
            0.0,
            0.0,
            calls / seconds,
            used * 1000 / calls,
            0.0,
        )


async def _saturated(paths, seconds, callers, measure, slots):
    """Yield a row for each path, from callers that never pause."""
    for path in paths:
        caller = _Caller(path)
        stats = _Caller(paths[0])
        histogram = _histogram()
        await asyncio.gather(*(caller.call() for _ in range(callers)))
        counted = await stats.stats()
        before = _cpu_seconds(path.pids)
        began = time.perf_counter()
        until = began + seconds

        async def one(caller=caller, histogram=histogram, until=until):
            while time.perf_counter() < until:
                histogram.record_value(max(1, int(await caller.call())))

        await asyncio.gather(*(one() for _ in range(callers)))
        elapsed_s = time.perf_counter() - began
        used = _cpu_seconds(path.pids) - before
        busy = (await stats.stats()).busy - counted.busy
        calls = histogram.get_total_count()
        caller.close()
        stats.close()
        yield (
            measure,
            path.name,
            callers,
            calls,
            *_quantiles(histogram),
            0.0,
            0.0,
            0.0,
            calls / elapsed_s,
            used * 1000 / calls,
            100 * busy / elapsed_s / slots,
        )


async def _measure(quick, seed):
    rng = random.Random(seed)
    rounds = 500 if quick else 4_000
    seconds = 1.0 if quick else 4.0
    rows = []
    with _paths(SLOTS, 0, plain=True) as paths:
        rows += [row async for row in _paired(paths, rounds, rng)]
        rows += [row async for row in _paced(paths, seconds, 100, rng)]
        rows += [row async for row in _paced(paths, seconds, 500, rng)]
        rows += [
            row
            async for row in _saturated(
                paths, seconds, SLOTS, 'saturated, no work', SLOTS
            )
        ]
    with _paths(BUSY_SLOTS, BUSY_WORK_MS, plain=False) as paths:
        rows += [
            row
            async for row in _saturated(
                paths[1:],
                seconds,
                BUSY_CALLERS,
                f'saturated, {BUSY_WORK_MS} ms of work',
                BUSY_SLOTS,
            )
        ]
    return tuple(rows)


def _verdict(rows):
    added = next(
        row[_COLUMNS.index('added p99 ms')]
        for row in rows
        if row[:2] == ('paired', LOCAL)
    )
    word = 'met' if added <= TARGET_ADDED_MS else 'missed'
    return (
        f'Target {TARGET_ADDED_MS} ms added for 99 in 100 on the local hop: '
        f'{word} ({added:.3f} ms).'
    )


def measure(quick, seed):
    """Measure all paths.

    Args:
        quick: Whether to use fewer rounds and seconds.
        seed: Seed of the order of paths and the times of paced calls.

    Returns:
        A `report.Report`.
    """
    rows = asyncio.run(_measure(quick, seed))
    return report.Report(
        name='calls',
        command=f'python -m bench calls{" --quick" if quick else ""}',
        columns=_COLUMNS,
        rows=rows,
        notes=(
            _verdict(rows),
            'Added: difference to the direct call of the same round; its '
            'high quantiles hold the noise of both calls.',
            'The bare two-library hop makes no decisions and drops headers.',
            'All processes and the callers share one machine.',
        ),
    )
