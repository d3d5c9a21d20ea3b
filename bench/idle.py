"""Benchmark of the CPU time of idle daemons."""

import statistics
import time

from bench import fleets
from bench import processes
from bench import report

SIZES = (6, 24, 48)
QUICK_SIZES = (3, 6)
# Time between the start of the daemons and the measurement.
SETTLE_S = 8.0
MEASURE_S = 20.0


def measure(quick, seed):
    """Measure the CPU time of idle fleets.

    Args:
        quick: Whether to use only small fleets.
        seed: Unused; daemons seed themselves.

    Returns:
        A `report.Report`.
    """
    sizes = QUICK_SIZES if quick else SIZES
    return report.Report(
        name='idle',
        command='python -m bench idle',
        columns=('daemons', 'mean core %', 'most core %'),
        rows=tuple(_row(size) for size in sizes),
        notes=(
            f'Share of one core over {MEASURE_S:g} s, default settings, '
            'all threads; metrics are not scraped meanwhile.',
        ),
        x='daemons',
        ys=('mean core %', 'most core %'),
    )


def _row(size):
    with fleets.Fleet() as fleet:
        fleet.add_daemons(size)
        time.sleep(SETTLE_S)
        pids = [daemon.popen.pid for daemon in fleet.daemons]
        cpu_before = [processes.cpu_seconds(pid) for pid in pids]
        time.sleep(MEASURE_S)
        core_percents = [
            (processes.cpu_seconds(pid) - start) * 100 / MEASURE_S
            for pid, start in zip(pids, cpu_before, strict=True)
        ]
        return (size, statistics.mean(core_percents), max(core_percents))
