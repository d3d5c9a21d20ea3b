"""Benchmark of operator commands by fleet size."""

import resource
import time

from bench import fleets
from bench import report
from jujubefold import adminclient
from jujubefold import porcelain

SIZES = (3, 6, 12, 24)
QUICK_SIZES = (3, 6)
ROUNDS = 5


def measure(quick, seed):
    """Measure the listing of members and the timeline.

    Args:
        quick: Whether to use only small fleets.
        seed: Unused; nothing is random.

    Returns:
        A `report.Report`.
    """
    sizes = QUICK_SIZES if quick else SIZES
    return report.Report(
        name='operators',
        command='python -m bench operators',
        columns=(
            'daemons',
            'members ms',
            'time line ms',
            'time line events',
            'client core ms',
        ),
        rows=tuple(_row(size) for size in sizes),
        notes=(
            f'Means of {ROUNDS}; the timeline asks one daemon after another.',
            'client core ms: CPU time of the client for one run of each.',
        ),
        x='daemons',
        ys=('members ms', 'time line ms'),
    )


def _row(size):
    with fleets.Fleet() as fleet:
        fleet.add_daemons(size)
        client = adminclient.AdminClient(
            fleet.daemons[0].addresses['admin_address']
        )
        fleets.wait_for(lambda: _all_members_known(client, size), 'members')
        cpu_before = _cpu_seconds()
        members_ms = _mean_ms(lambda: porcelain.members(client))
        all_events = porcelain.timelines.Filter()
        timeline_ms = _mean_ms(lambda: porcelain.timeline(client, all_events))
        cpu_ms = (_cpu_seconds() - cpu_before) * 1000 / ROUNDS
        events = len(porcelain.timeline(client, all_events).ok.events)
        return (size, members_ms, timeline_ms, events, cpu_ms)


def _all_members_known(client, size):
    result = porcelain.convergence(client)
    return result.is_ok() and result.ok.total == size


def _mean_ms(command):
    began = time.monotonic()
    for _ in range(ROUNDS):
        if command().is_error():
            raise AssertionError('an operator command failed')
    return (time.monotonic() - began) * 1000 / ROUNDS


def _cpu_seconds():
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
