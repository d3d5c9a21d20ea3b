"""Benchmark of mass restarts: convergence time and load on the store."""

import collections

from bench import membership
from bench import report
from jujubefold import messages

SIZES = (50, 200, 400)
# The planned fleet size; only the hardest case is run, to limit
# the run time.
LARGEST = 820
QUICK_SIZES = (30,)
LIMIT_S = 300
CONTACTS = ('10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1')
STORE_RETURNS_S = 60


def measure(quick, seed):
    """Kill a third or all of the daemons and restart them together.

    Args:
        quick: Whether to use only the small size.
        seed: Seed of delays and jitter.

    Returns:
        A `report.Report`.
    """
    sizes = QUICK_SIZES if quick else SIZES
    rows = []
    for size in sizes:
        rows.append(_row(size, 'third', CONTACTS, True, seed))
        rows.append(_row(size, 'all', CONTACTS, True, seed))
        rows.append(_row(size, 'all, no contacts', (), True, seed))
        rows.append(_row(size, 'all, store down', (), False, seed))
    if not quick:
        rows.append(_row(LARGEST, 'all', CONTACTS, True, seed))
    return report.Report(
        name='herd',
        command=f'python -m bench herd --seed {seed}',
        columns=(
            'daemons',
            'what returns',
            'whole after s',
            'sent KB each',
            'joins a contact s',
            'store reads s',
            'store writes s',
            'store reads each',
        ),
        rows=tuple(rows),
        notes=(
            'Whole: all views are equal and list all daemons. Per-second '
            'figures are the highest of any second. Without contacts, the '
            f'contact table is read; it is down for {STORE_RETURNS_S} s in '
            'the last case, and time counts from the start.',
        ),
        x='daemons',
        ys=('whole after s', 'store reads s'),
        group='what returns',
    )


def _row(size, case, contacts, store_up, seed):
    fleet = membership.seated(size, seed)
    fleet.run(3)
    if not contacts:
        fleet.contact_rows.update(_stale_contacts())
    killed = list(fleet.daemons.values())
    if case == 'third':
        killed = killed[::3]
    fleet.kill(*(daemon.vm for daemon in killed))
    fleet.run(2)
    fleet.sent.clear()
    fleet.store_up = store_up
    began = fleet.clock.monotonic()
    for daemon in killed:
        _restart(fleet, daemon, contacts)
    if not store_up:
        fleet.run(STORE_RETURNS_S)
        fleet.store_up = True
    converged = fleet.run_until(
        lambda: _is_converged(fleet, size), LIMIT_S, 1.0
    )
    whole = None if converged is None else fleet.clock.monotonic() - began
    return (
        size,
        case,
        float('inf') if whole is None else whole,
        _sent_bytes(fleet) / size / 1024,
        _most_joins_per_second(fleet),
        _most_per_second(fleet.contact_reads),
        _most_per_second(fleet.contact_writes),
        len(fleet.contact_reads) / size,
    )


def _stale_contacts():
    return {slot: f'10.99.0.{slot}:1' for slot in range(16)}


def _restart(fleet, daemon, contacts):
    identity = daemon.tables.identity
    fleet.add(
        identity.vm,
        identity.failure_domain,
        identity.region,
        contacts,
        identity.peer_address,
    )


def _is_converged(fleet, size):
    tables = [daemon.table for daemon in fleet.daemons.values()]
    views = {table.digests.view for table in tables}
    return len(views) == 1 and len(tables[0].by_address) == size - 1


def _sent_bytes(fleet):
    return sum(len(messages.encode(item)) for *_, item in fleet.sent)


def _most_per_second(times):
    counts = collections.Counter(int(at) for at in times)
    return max(counts.values(), default=0)


def _most_joins_per_second(fleet):
    counts = collections.Counter(
        (item.address, int(at))
        for at, _, item in fleet.sent
        for message in item.messages
        if isinstance(message, messages.Welcome) and message.members
    )
    return max(counts.values(), default=0)
