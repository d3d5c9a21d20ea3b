"""Processor time of daemons that have nothing to do."""

import statistics
import time

from bench import fleets
from bench import processes
from bench import report

SIZES = (6, 24, 48)
QUICK_SIZES = (3, 6)
SETTLE_S = 8.0
SECONDS = 20.0


def measure(quick, seed):
    """Return the `report.Report`; daemons seed themselves."""
    sizes = QUICK_SIZES if quick else SIZES
    return report.Report(
        name='idle',
        command='python -m bench idle',
        columns=('daemons', 'mean core %', 'most core %'),
        rows=tuple(_measure(size) for size in sizes),
        notes=(
            f'Share of one core over {SECONDS:g} s, default settings, '
            'all threads; nothing reads the metrics meanwhile.',
        ),
        x='daemons',
        ys=('mean core %', 'most core %'),
    )


def _measure(size):
    with fleets.Fleet() as fleet:
        fleet.add_daemons(size)
        time.sleep(SETTLE_S)
        pids = [daemon.popen.pid for daemon in fleet.daemons]
        before = [processes.processor(pid) for pid in pids]
        time.sleep(SECONDS)
        used = [
            (processes.processor(pid) - start) * 100 / SECONDS
            for pid, start in zip(pids, before, strict=True)
        ]
        return (size, statistics.mean(used), max(used))
