"""Benchmark of convergence and control traffic of daemon processes."""

import json
import statistics
import sys
import time

import urllib3

from bench import fleets
from bench import processes
from bench import report
from jujubefold import adminclient
from jujubefold import porcelain

COMMAND = 'python -m bench convergence'
DOMAINS = ('a', 'b', 'c', 'd', 'e', 'f')
SIZES = (5, 10, 20, 40, 80)
QUICK_SIZES = (3, 6)
VERSIONS = 12
QUICK_VERSIONS = 4
IDLE_S = 10.0
QUICK_IDLE_S = 4.0
SUBMIT_INTERVAL_S = 0.7
NANOSECONDS_PER_S = 1_000_000_000

PRESETS = {
    'convergence': '[dissemination]\npreset = "convergence"',
    'bytes': '[dissemination]\npreset = "bytes"',
    # The baseline: every daemon polls the source, and none notifies others.
    'polling': '\n'.join(
        (
            '[dissemination]',
            'readers = 16',
            'head_interval = 1.0',
            'push_edges = 0',
            'announce_delay = 60.0',
            'repair_interval = 3600.0',
        )
    ),
}
COLUMNS = (
    'mode',
    'daemons',
    'p50 s',
    'p99 s',
    'max s',
    'idle B/s',
    'B/version',
    'idle core %',
    'MB',
    'reads/s',
    'writes/version',
)


def measure(quick, seed):
    """Measure each dissemination mode by fleet size.

    Args:
        quick: Whether to use only small fleets and few versions.
        seed: Unused; daemons seed themselves from the system.

    Returns:
        A `report.Report`.
    """
    sizes = QUICK_SIZES if quick else SIZES
    rows = [_measure(mode, size, quick) for mode in PRESETS for size in sizes]
    return report.Report(
        name='convergence',
        command=COMMAND,
        columns=COLUMNS,
        rows=tuple(rows),
        notes=(
            'Convergence: from patch.accepted to version.in_force on each '
            'daemon, over all daemons and versions; clocks are one machine.',
            'B/s and B/version: envelope bytes sent and received by one '
            'daemon, mean over daemons; TLS and HTTP/2 framing not counted.',
            'idle core %: CPU time of one daemon as a share of one core.',
        ),
        x='daemons',
        ys=('p99 s', 'idle B/s', 'B/version', 'idle core %', 'reads/s'),
        group='mode',
    )


def _measure(mode, size, quick):
    with fleets.Fleet(domains=DOMAINS, settings=PRESETS[mode]) as fleet:
        fleet.add_daemons(size)
        client = adminclient.AdminClient(
            fleet.daemons[0].addresses['admin_address']
        )
        fleets.wait_for(lambda: _all_joined(fleet, size), 'members', 120.0)
        _submit(client, 1)
        _wait_until_in_force(client, 1, size)
        idle = _measure_idle(fleet, QUICK_IDLE_S if quick else IDLE_S)
        row = (
            mode,
            size,
            *_measure_versions(fleet, client, idle, quick, size),
        )
        print(row, file=sys.stderr, flush=True)
        return row


def _all_joined(fleet, size):
    for daemon in fleet.daemons:
        client = adminclient.AdminClient(daemon.addresses['admin_address'])
        result = porcelain.convergence(client)
        if result.is_error() or result.ok.total != size:
            return False
    return True


def _measure_idle(fleet, seconds):
    time.sleep(2.0)
    before = [processes.usage(daemon) for daemon in fleet.daemons]
    counts = _counts(fleet)
    time.sleep(seconds)
    after = [processes.usage(daemon) for daemon in fleet.daemons]
    reads = _counts(fleet)['reads'] - counts['reads']
    pairs = list(zip(before, after, strict=True))
    return {
        'bytes': statistics.mean(_control_bytes(a, b) for a, b in pairs)
        / seconds,
        'core': statistics.mean(
            b.cpu_seconds - a.cpu_seconds for a, b in pairs
        )
        / seconds,
        'resident': statistics.mean(b.resident for b in after),
        'reads': reads / seconds,
    }


def _measure_versions(fleet, client, idle, quick, size):
    count = QUICK_VERSIONS if quick else VERSIONS
    writes = _counts(fleet)['writes']
    before = [processes.usage(daemon) for daemon in fleet.daemons]
    began = time.monotonic()
    for number in range(2, count + 2):
        _submit(client, number)
        time.sleep(SUBMIT_INTERVAL_S)
    _wait_until_in_force(client, count + 1, size)
    elapsed = time.monotonic() - began
    after = [processes.usage(daemon) for daemon in fleet.daemons]
    pairs = zip(before, after, strict=True)
    spent = statistics.mean(_control_bytes(a, b) for a, b in pairs)
    writes = _counts(fleet)['writes'] - writes
    delays = sorted(_delays(fleet, range(2, count + 2)))
    return (
        statistics.median(delays),
        delays[int(len(delays) * 0.99)],
        delays[-1],
        idle['bytes'],
        max(0.0, spent - idle['bytes'] * elapsed) / count,
        idle['core'] * 100,
        idle['resident'] / 1e6,
        idle['reads'],
        writes / count,
    )


def _delays(fleet, numbers):
    """Yield the convergence time of each daemon and version, in seconds.

    It lasts from the acceptance of a version until that or a later one is in
    force.
    """
    timelines = [_own_timeline(daemon) for daemon in fleet.daemons]
    accepted = {
        stamped.event.version: stamped.at.wall_ns
        for timeline in timelines
        for stamped in timeline
        if stamped.event.name == 'patch.accepted'
    }
    for timeline in timelines:
        in_force = [
            (stamped.event.version, stamped.at.wall_ns)
            for stamped in timeline
            if stamped.event.name == 'version.in_force'
        ]
        for number in numbers:
            at = min(at for version, at in in_force if version >= number)
            yield max(0, at - accepted[number]) / NANOSECONDS_PER_S


def _own_timeline(daemon):
    client = adminclient.AdminClient(daemon.addresses['admin_address'])
    all_events = porcelain.timelines.Filter()
    return porcelain.daemon_timeline(client, all_events).ok


def _submit(client, number):
    value = {
        'path': f'/p{number}',
        'targets': [{'group': 'orders'}],
        'methods': ['GET', 'POST'],
    }
    operations = [{'op': 'add', 'path': f'/routes/r{number}', 'value': value}]
    if number == 1:
        operations[:0] = [
            {'op': 'add', 'path': '/services/orders', 'value': {}},
            {
                'op': 'add',
                'path': '/groups/orders',
                'value': {'service': 'orders'},
            },
        ]
    patch = json.dumps(operations).encode()
    result = porcelain.submit(client, number - 1, patch)
    if result.is_error():
        raise AssertionError(f'version {number}: {result.error}')


def _wait_until_in_force(client, number, size):
    def is_in_force_everywhere():
        result = porcelain.convergence(client, number)
        return result.is_ok() and result.ok.done and result.ok.total == size

    fleets.wait_for(is_in_force_everywhere, f'version {number}', 120.0)


def _counts(fleet):
    address = fleet.platform.addresses['address']
    answer = urllib3.request('GET', f'http://{address}/_counts')
    services = answer.json().values()
    return {
        kind: sum(service[kind] for service in services)
        for kind in ('reads', 'writes')
    }


def _control_bytes(before, after):
    return after.sent + after.received - before.sent - before.received
