"""Convergence and control cost of real daemon processes on loopback."""

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
BETWEEN_S = 0.7
NANOSECONDS = 1_000_000_000

PRESETS = {
    'convergence': '[dissemination]\npreset = "convergence"',
    'bytes': '[dissemination]\npreset = "bytes"',
    # The baseline: every daemon polls the source, nobody tells anybody.
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
    """Return the `report.Report`; daemons seed themselves from the system."""
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
            'idle core %: processor of one daemon as a share of one core.',
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
        fleets.wait_for(lambda: _joined(fleet, size), 'members', 120.0)
        _submit(client, 1)
        _await(client, 1, size)
        idle = _idle(fleet, QUICK_IDLE_S if quick else IDLE_S)
        row = (mode, size, *_versions(fleet, client, idle, quick, size))
        print(row, file=sys.stderr, flush=True)
        return row


def _joined(fleet, size):
    for daemon in fleet.daemons:
        client = adminclient.AdminClient(daemon.addresses['admin_address'])
        look = porcelain.convergence(client)
        if look.is_error() or look.ok.total != size:
            return False
    return True


def _idle(fleet, seconds):
    time.sleep(2.0)
    before = [processes.usage(daemon) for daemon in fleet.daemons]
    counts = _counts(fleet)
    time.sleep(seconds)
    after = [processes.usage(daemon) for daemon in fleet.daemons]
    reads = _counts(fleet)['reads'] - counts['reads']
    pairs = list(zip(before, after, strict=True))
    return {
        'bytes': statistics.mean(_control(a, b) for a, b in pairs) / seconds,
        'core': statistics.mean(
            b.cpu_seconds - a.cpu_seconds for a, b in pairs
        )
        / seconds,
        'resident': statistics.mean(b.resident for b in after),
        'reads': reads / seconds,
    }


def _versions(fleet, client, idle, quick, size):
    count = QUICK_VERSIONS if quick else VERSIONS
    writes = _counts(fleet)['writes']
    before = [processes.usage(daemon) for daemon in fleet.daemons]
    began = time.monotonic()
    for number in range(2, count + 2):
        _submit(client, number)
        time.sleep(BETWEEN_S)
    _await(client, count + 1, size)
    lasted = time.monotonic() - began
    after = [processes.usage(daemon) for daemon in fleet.daemons]
    pairs = zip(before, after, strict=True)
    spent = statistics.mean(_control(a, b) for a, b in pairs)
    writes = _counts(fleet)['writes'] - writes
    delays = sorted(_delays(fleet, range(2, count + 2)))
    return (
        statistics.median(delays),
        delays[int(len(delays) * 0.99)],
        delays[-1],
        idle['bytes'],
        max(0.0, spent - idle['bytes'] * lasted) / count,
        idle['core'] * 100,
        idle['resident'] / 1e6,
        idle['reads'],
        writes / count,
    )


def _delays(fleet, numbers):
    """Yield seconds from acceptance to this or a later version in force."""
    lines = [_line(daemon) for daemon in fleet.daemons]
    accepted = {
        stamped.event.version: stamped.at.wall_ns
        for line in lines
        for stamped in line
        if stamped.event.name == 'patch.accepted'
    }
    for line in lines:
        arrived = [
            (stamped.event.version, stamped.at.wall_ns)
            for stamped in line
            if stamped.event.name == 'version.in_force'
        ]
        for number in numbers:
            at = min(at for version, at in arrived if version >= number)
            yield max(0, at - accepted[number]) / NANOSECONDS


def _line(daemon):
    client = adminclient.AdminClient(daemon.addresses['admin_address'])
    everything = porcelain.event_line.Filter()
    return porcelain.own_timeline(client, everything).ok


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


def _await(client, number, size):
    def everywhere():
        look = porcelain.convergence(client, number)
        return look.is_ok() and look.ok.done and look.ok.total == size

    fleets.wait_for(everywhere, f'version {number}', 120.0)


def _counts(fleet):
    address = fleet.platform.addresses['address']
    answer = urllib3.request('GET', f'http://{address}/_counts')
    services = answer.json().values()
    return {
        kind: sum(service[kind] for service in services)
        for kind in ('reads', 'writes')
    }


def _control(before, after):
    return after.sent + after.received - before.sent - before.received
