"""Benchmark of the stand-in store, the store limit and an outage.

The store clients of one daemon call a stand-in in a separate process.
"""

import asyncio
import json
import random
import statistics
import time

import urllib3

from bench import report
from bench import standin
from jujubefold import clock
from jujubefold import objectservice
from jujubefold import storelimit
from jujubefold import table
from jujubefold import tableservice

UNLIMITED_PER_S = 100_000.0
SETTINGS_PER_S = 20.0
TIMEOUT_S = 2.0
OFFERED_PER_S = 200.0
BLOB_BYTES = 64 * 1024
COLUMNS = (
    'case',
    'clients',
    'asked/s',
    'done/s',
    'store requests/s',
    'p50 ms',
    'p99 ms',
)


class StoreClients:
    """Store clients of one daemon for a timed run against a stand-in.

    Args:
        bound: Addresses and URLs that the stand-in printed.
        rate: Calls a second that the store limit of the daemon allows.
        seed: Seed of the limiters' random choices.
    """

    def __init__(self, bound, rate, seed):
        self._base = f'http://{bound["address"]}'
        now = clock.SystemClock()
        rng = random.Random(seed)
        self.rows = tableservice.TableService(
            bound['table_url'],
            now,
            TIMEOUT_S,
            storelimit.StoreLimiter(now, rng, rate),
        )
        self.blobs = objectservice.ObjectService(
            bound['objects_url'],
            now,
            TIMEOUT_S,
            storelimit.StoreLimiter(now, rng, rate),
        )
        self.asked = 0
        self.latencies_s = []

    def requests(self):
        """Return the number of requests that reached the stand-in."""
        counts = urllib3.request('GET', f'{self._base}/_counts').json()
        return sum(seen['arrived'] for seen in counts.values())

    def set_fault(self, mode):
        """Set a fault mode of the stand-in's table service."""
        body = json.dumps({'service': 'table', 'mode': mode})
        urllib3.request('PUT', f'{self._base}/_faults', body=body)

    async def _call_until(self, call, until, pause=0.0):
        """Make sequential calls until a time of the monotonic clock.

        Args:
            call: Coroutine function that makes one store call.
            until: Time to stop at, in seconds.
            pause: Seconds between two calls.
        """
        while time.monotonic() < until:
            start = time.monotonic()
            self.asked += 1
            result = await call()
            if result.is_ok():
                self.latencies_s.append(time.monotonic() - start)
            await asyncio.sleep(pause)

    async def run_clients(self, call, clients, seconds, pause=0.0):
        """Run several concurrent callers for some seconds."""
        until = time.monotonic() + seconds
        await asyncio.gather(
            *(self._call_until(call, until, pause) for _ in range(clients))
        )

    def close(self):
        """Close the table and blob clients."""
        self.rows.close()
        self.blobs.close()


def _writer(run, rows):
    numbers = iter(range(10**9))

    async def write():
        number = next(numbers)
        return await run.rows.transact(
            [
                table.Put(table.Key('bench', f'{number}-{row}'), {'n': 1})
                for row in range(rows)
            ],
            str(number),
        )

    return write


def _reader(run):
    keys = [table.Key('bench', '0-0')]
    return lambda: run.rows.read(keys)


def _blob_writer(run):
    numbers = iter(range(10**9))
    padding = bytes(BLOB_BYTES)
    return lambda: run.blobs.put(b'%d' % next(numbers) + padding)


def _measure(
    case, make_call, clients, seconds, seed, rate, pause=0.0, mode=''
):
    with standin.run() as bound:
        run = StoreClients(bound, rate, seed)
        if mode:
            run.set_fault(mode)
        asyncio.run(run.run_clients(make_call(run), clients, seconds, pause))
        latencies_s = sorted(run.latencies_s) or [0.0]
        last = min(len(latencies_s) - 1, int(len(latencies_s) * 0.99))
        row = (
            case,
            clients,
            run.asked / seconds,
            len(run.latencies_s) / seconds,
            run.requests() / seconds,
            statistics.median(latencies_s) * 1000,
            latencies_s[last] * 1000,
        )
        run.close()
        return row


def _rows(quick, seed):
    seconds = 1.0 if quick else 5.0
    unlimited_cases = (
        ('transaction of 1 row', lambda run: _writer(run, 1)),
        ('transaction of 50 rows', lambda run: _writer(run, 50)),
        ('read of 1 row', _reader),
        ('put of 64 KB', _blob_writer),
    )
    for case, make_call in unlimited_cases:
        for clients in (1, 4):
            yield _measure(
                case, make_call, clients, seconds, seed, UNLIMITED_PER_S
            )
    clients = 10
    pause = clients / OFFERED_PER_S
    outage = 2.0 if quick else 20.0
    for case, mode in (
        ('limited to 20/s', ''),
        ('limited, store down', 'down'),
        ('limited, connections cut', 'closed'),
    ):
        yield _measure(
            case,
            lambda run: _writer(run, 1),
            clients,
            outage,
            seed,
            SETTINGS_PER_S,
            pause,
            mode,
        )


def measure(quick=False, seed=1):
    """Measure the stand-in, the store limit and an outage.

    Args:
        quick: Whether to use short runs.
        seed: Seed of the limiters' random choices.

    Returns:
        A `report.Report`.
    """
    flag = ' --quick' if quick else ''
    return report.Report(
        name='store',
        command=f'python -m bench store{flag} --seed {seed}',
        columns=COLUMNS,
        rows=tuple(_rows(quick, seed)),
        notes=(
            'Clients are callers in one daemon process, which has '
            'four threads for each service.',
            f'The limited cases ask up to {OFFERED_PER_S:g} times a second.',
        ),
    )
