"""What the operators' verbs cost as the fleet grows."""

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
    """Return the `report.Report`; nothing is left to chance."""
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
        rows=tuple(_measure(size) for size in sizes),
        notes=(
            f'Means of {ROUNDS}; the time line asks one daemon after another.',
            'client core ms: processor time of the client for one of each.',
        ),
        x='daemons',
        ys=('members ms', 'time line ms'),
    )


def _measure(size):
    with fleets.Fleet() as fleet:
        fleet.add_daemons(size)
        client = adminclient.AdminClient(
            fleet.daemons[0].addresses['admin_address']
        )
        fleets.wait_for(lambda: _all_seen(client, size), 'members')
        core = _processor()
        members = _mean_ms(lambda: porcelain.members(client))
        everything = porcelain.timelines.Filter()
        line = _mean_ms(lambda: porcelain.timeline(client, everything))
        core = (_processor() - core) * 1000 / ROUNDS
        events = len(porcelain.timeline(client, everything).ok.events)
        return (size, members, line, events, core)


def _all_seen(client, size):
    look = porcelain.convergence(client)
    return look.is_ok() and look.ok.total == size


def _mean_ms(act):
    began = time.monotonic()
    for _ in range(ROUNDS):
        if act().is_error():
            raise AssertionError('a verb failed')
    return (time.monotonic() - began) * 1000 / ROUNDS


def _processor():
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
