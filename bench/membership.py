"""Benchmark of membership by fleet size: detection, drain, bytes and CPU."""

import statistics
import time

from bench import report
from jujubefold import dispatch
from jujubefold import membership
from jujubefold import messages
from tests import fakes

SIZES = (50, 200, 400, 820, 1000)
QUICK_SIZES = (20, 60)
IDLE_S = 5
CHURN_S = 15
DEATH_LIMIT_S = 12
DRAIN_LIMIT_S = 2
# Seconds between two successive deaths or drains.
STAGGER_S = 0.37
# Share of the fleet that churn replaces in a minute.
CHURN_SHARE = 0.01
DEATHS = 5
DRAINS = 5
DOMAINS = 6
REGIONS = 2

COLUMNS = (
    'daemons',
    'death known p50 s',
    'death known p99 s',
    'death known max s',
    'drain known p50 s',
    'drain known p99 s',
    'drain known max s',
    'idle sent B/s',
    'idle exchanges/s',
    'idle core %',
    'churn sent B/s',
    'churn core %',
    'records KB',
)


class _TimedDaemon(fakes.Daemon):
    """A daemon that adds up the CPU time of its core in a class attribute."""

    seconds = 0.0

    def tick(self, *inputs):
        began = time.process_time()
        produced = super().tick(*inputs)
        _TimedDaemon.seconds += time.process_time() - began
        return produced


def measure(quick, seed):
    """Measure fleets of every size.

    Args:
        quick: Whether to use only small sizes.
        seed: Seed of losses, delays and choices.

    Returns:
        A `report.Report`.
    """
    sizes = QUICK_SIZES if quick else SIZES
    rows = tuple(_row(size, seed) for size in sizes)
    found = report.Report(
        name='membership',
        command=f'python -m bench membership --seed {seed}',
        columns=COLUMNS,
        rows=rows,
        notes=(
            'Cores in one process, paused clock, 3 ms one way at most, no '
            'loss; bytes are encoded envelopes without gRPC framing; core % '
            'leaves out gRPC: see the measurement `peers`.',
            f'Churn replaces {CHURN_SHARE:.0%} of the daemons a minute and '
            'puts one new version in force everywhere.',
        ),
        x='daemons',
        ys=('death known p99 s', 'drain known p99 s', 'idle sent B/s'),
    )
    return _with_fit_notes(found)


def _with_fit_notes(found):
    columns = ('idle sent B/s', 'churn sent B/s', 'idle core %', 'records KB')
    lines = tuple(
        _fit_note(found.fit('daemons', column)) for column in columns
    )
    return report.Report(
        found.name,
        found.command,
        found.columns,
        found.rows,
        found.notes + lines,
        found.x,
        found.ys,
    )


def _fit_note(fit):
    return (
        f'{fit.y} = {fit.intercept:.4g} + {fit.slope:.4g} x daemons '
        f'(r2 {fit.r_squared:.2f})'
    )


def _row(size, seed):
    fleet = seated(size, seed)
    fleet.run(5)
    idle = _cost(fleet, IDLE_S, lambda: fleet.run(IDLE_S))
    deaths = _measure_deaths(fleet)
    drains = _measure_drains(fleet)
    churn = _cost(fleet, CHURN_S, lambda: _churn(fleet))
    return (
        size,
        *_quantiles(deaths),
        *_quantiles(drains),
        idle[0],
        idle[1],
        idle[2],
        churn[0],
        churn[2],
        _record_bytes(fleet) / 1024,
    )


def seated(size, seed):
    """Return a fleet whose daemons all know each other.

    Args:
        size: Number of daemons.
        seed: Seed of the fleet.
    """
    fleet = fakes.Fleet(seed)
    fleet.daemon_class = _TimedDaemon
    fleet.add_daemons(size, DOMAINS, REGIONS)
    context = dispatch.Context(
        fleet.clock.monotonic(), fleet.clock.wall(), None
    )
    records = [daemon.table.local for daemon in fleet.daemons.values()]
    for daemon in fleet.daemons.values():
        for record in records:
            for _ in membership.apply(daemon.table, record, context):
                pass
            daemon.table.updates.discard(record.vm)
        daemon.tables.joining.joined = True
    return fleet


def _cost(fleet, seconds, action):
    """Return bytes sent, exchanges and core % per daemon and second."""
    fleet.sent.clear()
    _TimedDaemon.seconds = 0.0
    action()
    daemon_seconds = seconds * len(fleet.daemons)
    sent = sum(len(messages.encode(item)) for *_, item in fleet.sent)
    return (
        sent / daemon_seconds,
        len(fleet.sent) / 2 / daemon_seconds,
        100 * _TimedDaemon.seconds / daemon_seconds,
    )


def _measure_deaths(fleet):
    began = {}
    for vm in _choose_vms(fleet, DEATHS):
        began[vm] = fleet.clock.monotonic()
        fleet.kill(vm)
        fleet.run(STAGGER_S)
    fleet.run(DEATH_LIMIT_S)
    return _delays(fleet, 'member.dead', began)


def _measure_drains(fleet):
    chosen = [fleet.daemons[vm] for vm in _choose_vms(fleet, DRAINS)]
    serving = dispatch.UpstreamChanged(
        'routes', messages.UpstreamState.SERVING, 6
    )
    for daemon in chosen:
        fleet.apply_effects(daemon, daemon.tick(serving))
    fleet.run(1)
    began = {}
    for daemon in chosen:
        began[daemon.vm] = fleet.clock.monotonic()
        fleet.apply_effects(daemon, daemon.tick(dispatch.StopRequested()))
        fleet.run(STAGGER_S)
    fleet.run(DRAIN_LIMIT_S)
    return _delays(fleet, 'member.draining', began)


def _delays(fleet, name, began):
    """Return the seconds until each daemon logged the event of each VM.

    Args:
        fleet: The fleet.
        name: Event name.
        began: Start times by VM.

    Returns:
        A list of delays, infinite for each event that is missing.
    """
    found = [
        at - began[event.detail]
        for at, _, event in fleet.events(name)
        if at >= began.get(event.detail, float('inf'))
    ]
    expected = sum(len(fleet.daemons) - (vm in fleet.daemons) for vm in began)
    return found + [float('inf')] * (expected - len(found))


def _choose_vms(fleet, count):
    names = sorted(fleet.daemons)
    return [names[len(names) * (k + 1) // (count + 2)] for k in range(count)]


def _churn(fleet):
    count = max(1, round(len(fleet.daemons) * CHURN_SHARE * CHURN_S / 60))
    for daemon in fleet.daemons.values():
        membership.set_in_force(daemon.table, 7)
    for vm in sorted(fleet.daemons)[5 : 5 + count]:
        identity = fleet.daemons[vm].tables.identity
        fleet.kill(vm)
        fleet.add(
            f'{vm}-new',
            identity.failure_domain,
            identity.region,
            ('10.0.0.1:1', '10.0.0.2:1'),
            f'10.200.{len(vm)}.{int(vm[-4:]) % 250}:1',
        )
        fleet.run(CHURN_S / count)


def _quantiles(times):
    ordered = sorted(times)
    last = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    return statistics.median(ordered), last, ordered[-1]


def _record_bytes(fleet):
    daemon = next(iter(fleet.daemons.values()))
    records = tuple(daemon.table.members.values())
    return len(messages.encode(_envelope(records)))


def _envelope(records):
    return messages.Envelope('', 0, '', 0, 0, (messages.Gossip(records),))
