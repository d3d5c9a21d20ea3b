"""What each role costs at the size aimed at, from slopes measured before.

It runs nothing itself: it reads the newest result of each measurement,
fits lines, and works the rows of docs/CAPACITY.md out from them.
"""

import dataclasses

from bench import report

COMMAND = 'python -m bench capacity'
# The size aimed at.
DAEMONS = 820
SERVICES = 110
CALLS_PER_S = 68_000
CHANGES_PER_DAY = 1_000
DAY_S = 86_400
RESTARTS_PER_DAY = 112
# The bounds asked for.
CORE_PERCENT = 1.3
MEMORY_MB = 256
CONTROL_BYTES_PER_S = 2048
IN_FORCE_S = 18.0
ADDED_MS = 0.33
STORE_READS_PER_S = 2000
STORE_WRITES_PER_S = 300
COLUMNS = ('role', 'what', 'at size', 'bound', 'verdict', 'from')


@dataclasses.dataclass(frozen=True, slots=True)
class Worked:
    """One figure at the size aimed at.

    Args:
        bound: What was asked for; None where nothing was.
        source: Measurement, and the fit or points used.
    """

    role: str
    what: str
    value: float
    bound: float | None
    source: str

    def row(self):
        """Return the report's row."""
        verdict = ''
        if self.bound is not None:
            verdict = 'met' if self.value <= self.bound else 'RED'
        bound = '' if self.bound is None else f'{self.bound:g}'
        value = f'{self.value:.4g}'
        return (self.role, self.what, value, bound, verdict, self.source)


def measure(quick, seed):
    """Return the `report.Report`; takes no time and no chance."""
    works = [
        *_control('convergence'),
        *_control('bytes'),
        _line(
            _newest('idle'),
            'mean core %',
            'daemon, convergence',
            'idle core %',
            CORE_PERCENT,
        ),
        *_membership(),
        *_wire(),
        *_calls(),
        *_claims(),
        *_platform(),
        *_operators(),
    ]
    return report.Report(
        name='capacity',
        command=COMMAND,
        columns=COLUMNS,
        rows=tuple(work.row() for work in works),
        notes=(
            f'{DAEMONS} daemons, {SERVICES} services, {CALLS_PER_S} calls/s,'
            f' {CHANGES_PER_DAY} changes a day.',
        ),
    )


def _newest(name):
    paths = sorted(report.RESULTS.glob(f'{name}-[0-9]*.json'))
    if not paths:
        raise SystemExit(f'run first: python -m bench {name}')
    return report.load(paths[-1])


def _line(found, y, role, what, bound=None, group=None, x='daemons'):
    """Return a figure from a line, or the worst point where none rises."""
    fit = found.fit(x, y, group)
    points = found.column(y, group)
    if fit.slope <= 0:
        source = f'{found.name}: no growth seen, worst of {len(points)} points'
        return Worked(role, what, max(points), bound, source)
    source = (
        f'{found.name}: {fit.intercept:.4g} + {fit.slope:.4g} x {x}, '
        f'r2 {fit.r_squared:.2f}'
    )
    return Worked(role, what, fit.at(DAEMONS), bound, source)


def _control(preset):
    found = _newest('convergence')
    role = f'daemon, {preset}'
    yield _line(
        found,
        'idle core %',
        role,
        'core % with metrics read, busy machine',
        CORE_PERCENT,
        preset,
    )
    yield _line(found, 'MB', role, 'resident MB', MEMORY_MB, preset)
    yield _line(
        found,
        'idle B/s',
        role,
        'envelope B/s, both ways',
        CONTROL_BYTES_PER_S,
        preset,
    )
    yield _versions(found, role, preset)
    yield _line(
        found, 'max s', role, 'in force everywhere, s', IN_FORCE_S, preset
    )
    cores = _newest('convergence_cores')
    yield _line(
        cores,
        'in force max s',
        role,
        'in force everywhere, cores, s',
        IN_FORCE_S,
        preset,
        'cores',
    )


def _versions(found, role, preset):
    one = _line(found, 'B/version', role, '', None, preset)
    rate = one.value * CHANGES_PER_DAY / DAY_S
    return Worked(role, 'bytes of versions, B/s', rate, None, one.source)


def _membership():
    found = _newest('membership')
    role = 'daemon, membership'
    yield _line(found, 'churn sent B/s', role, 'sent B/s under churn')
    yield _line(found, 'churn core %', role, 'core % under churn, no gRPC')
    yield _line(found, 'records KB', role, 'member records, KB')
    yield _line(found, 'drain known max s', role, 'drain known everywhere, s')
    yield _line(found, 'death known max s', role, 'death known everywhere, s')


def _wire():
    found = _newest('peers')
    for mode in ('plain', 'tls'):
        rows = [row for row in found.rows if row[0] == mode]
        cost = {row[1]: row for row in rows}
        channel = (
            0.95 * cost['open channel'][5] + 0.05 * cost['new channel'][5]
        )
        yield Worked(
            'daemon, membership',
            f'probe B/s on the wire, {mode}, both ways',
            2 * channel,
            CONTROL_BYTES_PER_S,
            'peers: 1 probe/s each way, 5% over new channels',
        )


def _calls():
    found = _newest('calls')
    share = CALLS_PER_S / DAEMONS
    paced = {row[1]: row for row in found.rows if row[0] == 'paced 100/s'}
    for path, role in (('local hop', 'entry and gate'), ('two hops', 'both')):
        each = paced[path][11]
        yield Worked(
            f'daemon, {role}',
            f'core % for calls, {path}',
            share * each / 10,
            None,
            f'calls: {each:.3f} ms a call at 100/s x {share:.0f} calls/s',
        )
    paired = {row[1]: row for row in found.rows if row[0] == 'paired'}
    yield Worked(
        'daemon, entry and gate',
        'added ms, p99, local hop',
        paired['local hop'][8],
        ADDED_MS,
        'calls: paired, one caller',
    )
    yield Worked(
        'daemon, entry and gate',
        'added ms, p50, local hop',
        paired['local hop'][7],
        None,
        'calls: paired, one caller',
    )


def _claims():
    found = _newest('claims')
    rows = {(row[0], row[1]): row for row in found.rows}
    for case, role in (
        ('daemon 3400/s', 'claims by each daemon'),
        ('owner 3400/s', 'claim owner, 8 of them'),
    ):
        row = rows[case, DAEMONS]
        yield Worked(
            role, 'claim p99 ms', row[7], None, f'claims: {case}, modelled'
        )
        yield Worked(
            role,
            'keyed calls refused %',
            row[8],
            0.0,
            f'claims: {case}, modelled',
        )
        yield Worked(
            role,
            'transactions/s, fleet',
            row[4],
            STORE_WRITES_PER_S,
            f'claims: {case}, modelled',
        )


def _platform():
    found = _newest('convergence')
    for preset in ('convergence', 'bytes'):
        # All points are at or above the count of readers from 20 on.
        rates = [
            row[found.columns.index('reads/s')]
            for row in found.rows
            if row[0] == preset and row[1] >= 20
        ]
        yield Worked(
            'platform',
            f'reads/s, {preset}',
            max(rates),
            STORE_READS_PER_S,
            f'convergence: bounded readers, {min(rates):.3g} to '
            f'{max(rates):.3g} from 20 daemons on',
        )
    writes = [row[found.columns.index('writes/version')] for row in found.rows]
    yield Worked(
        'platform',
        'writes/s for versions',
        max(writes) * CHANGES_PER_DAY / DAY_S,
        STORE_WRITES_PER_S,
        f'convergence: at most {max(writes):.3g} a version',
    )
    yield Worked(
        'platform',
        'writes/s for restarts',
        RESTARTS_PER_DAY / DAY_S,
        STORE_WRITES_PER_S,
        'one contact row a restart at most',
    )


def _operators():
    found = _newest('operators')
    for column, what in (
        ('members ms', 'members, ms'),
        ('time line ms', 'time line, ms'),
    ):
        yield _line(found, column, 'command line', what)
