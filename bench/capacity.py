"""Estimates of each role's cost at the target size, from earlier benchmarks.

Reads the newest report of each benchmark, fits lines and extrapolates them to
the rows of docs/CAPACITY.md. It measures nothing itself.
"""

import dataclasses

from bench import report

COMMAND = 'python -m bench capacity'
# Target size.
DAEMONS = 820
SERVICES = 110
CALLS_PER_S = 68_000
CHANGES_PER_DAY = 1_000
DAY_S = 86_400
RESTARTS_PER_DAY = 112
# Required upper bounds.
CORE_PERCENT = 1.3
MEMORY_MB = 256
CONTROL_BYTES_PER_S = 2048
IN_FORCE_S = 18.0
ADDED_MS = 0.33
STORE_READS_PER_S = 2000
STORE_WRITES_PER_S = 300
COLUMNS = ('role', 'what', 'at size', 'bound', 'verdict', 'from')


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """One estimate at the target size.

    Args:
        role: Role of the process that bears the cost.
        what: Name of the quantity, with its unit.
        value: Estimated value.
        bound: Required upper bound, None without one.
        source: Benchmark, and the fit or points used.
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
    """Extrapolate the newest reports to the target size.

    Args:
        quick: Unused.
        seed: Unused; nothing is random.

    Returns:
        A `report.Report`.
    """
    estimates = [
        *_control_estimates('convergence'),
        *_control_estimates('bytes'),
        _extrapolate(
            _newest_report('idle'),
            'mean core %',
            'daemon, convergence',
            'idle core %',
            CORE_PERCENT,
        ),
        *_membership_estimates(),
        *_probe_estimates(),
        *_call_estimates(),
        *_claim_estimates(),
        *_platform_estimates(),
        *_operator_estimates(),
    ]
    return report.Report(
        name='capacity',
        command=COMMAND,
        columns=COLUMNS,
        rows=tuple(estimate.row() for estimate in estimates),
        notes=(
            f'{DAEMONS} daemons, {SERVICES} services, {CALLS_PER_S} calls/s,'
            f' {CHANGES_PER_DAY} changes a day.',
        ),
    )


def _newest_report(name):
    paths = sorted(report.RESULTS.glob(f'{name}-[0-9]*.json'))
    if not paths:
        raise SystemExit(f'no report found; run first: python -m bench {name}')
    return report.load(paths[-1])


def _extrapolate(found, y, role, what, bound=None, group=None, x='daemons'):
    """Extrapolate a fitted line, or use the highest point if it does not rise.

    Args:
        found: The `report.Report` to use.
        y: Column to extrapolate.
        role: Role of the estimate.
        what: Name of the estimated quantity.
        bound: Required upper bound, None without one.
        group: Value of the report's group column, None for all rows.
        x: Column of the fleet size.

    Returns:
        An `Estimate`.
    """
    fit = found.fit(x, y, group)
    points = found.column(y, group)
    if fit.slope <= 0:
        source = f'{found.name}: no growth seen, worst of {len(points)} points'
        return Estimate(role, what, max(points), bound, source)
    source = (
        f'{found.name}: {fit.intercept:.4g} + {fit.slope:.4g} x {x}, '
        f'r2 {fit.r_squared:.2f}'
    )
    return Estimate(role, what, fit.at(DAEMONS), bound, source)


def _control_estimates(preset):
    found = _newest_report('convergence')
    role = f'daemon, {preset}'
    yield _extrapolate(
        found,
        'idle core %',
        role,
        'core % with metrics read, busy machine',
        CORE_PERCENT,
        preset,
    )
    yield _extrapolate(found, 'MB', role, 'resident MB', MEMORY_MB, preset)
    yield _extrapolate(
        found,
        'idle B/s',
        role,
        'envelope B/s, both ways',
        CONTROL_BYTES_PER_S,
        preset,
    )
    yield _version_bytes(found, role, preset)
    yield _extrapolate(
        found, 'max s', role, 'in force everywhere, s', IN_FORCE_S, preset
    )
    cores = _newest_report('convergence_cores')
    yield _extrapolate(
        cores,
        'in force max s',
        role,
        'in force everywhere, cores, s',
        IN_FORCE_S,
        preset,
        'cores',
    )


def _version_bytes(found, role, preset):
    one = _extrapolate(found, 'B/version', role, '', None, preset)
    rate = one.value * CHANGES_PER_DAY / DAY_S
    return Estimate(role, 'bytes of versions, B/s', rate, None, one.source)


def _membership_estimates():
    found = _newest_report('membership')
    role = 'daemon, membership'
    yield _extrapolate(found, 'churn sent B/s', role, 'sent B/s under churn')
    yield _extrapolate(
        found, 'churn core %', role, 'core % under churn, no gRPC'
    )
    yield _extrapolate(found, 'records KB', role, 'member records, KB')
    yield _extrapolate(
        found, 'drain known max s', role, 'drain known everywhere, s'
    )
    yield _extrapolate(
        found, 'death known max s', role, 'death known everywhere, s'
    )


def _probe_estimates():
    found = _newest_report('peers')
    for mode in ('plain', 'tls'):
        rows = [row for row in found.rows if row[0] == mode]
        cost = {row[1]: row for row in rows}
        channel = (
            0.95 * cost['open channel'][5] + 0.05 * cost['new channel'][5]
        )
        yield Estimate(
            'daemon, membership',
            f'probe B/s on the wire, {mode}, both ways',
            2 * channel,
            CONTROL_BYTES_PER_S,
            'peers: 1 probe/s each way, 5% over new channels',
        )


def _call_estimates():
    found = _newest_report('calls')
    share = CALLS_PER_S / DAEMONS
    paced = {row[1]: row for row in found.rows if row[0] == 'paced 100/s'}
    for path, role in (('local hop', 'entry and gate'), ('two hops', 'both')):
        each = paced[path][11]
        yield Estimate(
            f'daemon, {role}',
            f'core % for calls, {path}',
            share * each / 10,
            None,
            f'calls: {each:.3f} ms a call at 100/s x {share:.0f} calls/s',
        )
    paired = {row[1]: row for row in found.rows if row[0] == 'paired'}
    yield Estimate(
        'daemon, entry and gate',
        'added ms, p99, local hop',
        paired['local hop'][8],
        ADDED_MS,
        'calls: paired, one caller',
    )
    yield Estimate(
        'daemon, entry and gate',
        'added ms, p50, local hop',
        paired['local hop'][7],
        None,
        'calls: paired, one caller',
    )


def _claim_estimates():
    found = _newest_report('claims')
    rows = {(row[0], row[1]): row for row in found.rows}
    for case, role in (
        ('daemon 3400/s', 'claims by each daemon'),
        ('owner 3400/s', 'claim owner, 8 of them'),
    ):
        row = rows[case, DAEMONS]
        yield Estimate(
            role, 'claim p99 ms', row[7], None, f'claims: {case}, modelled'
        )
        yield Estimate(
            role,
            'keyed calls refused %',
            row[8],
            0.0,
            f'claims: {case}, modelled',
        )
        yield Estimate(
            role,
            'transactions/s, fleet',
            row[4],
            STORE_WRITES_PER_S,
            f'claims: {case}, modelled',
        )


def _platform_estimates():
    found = _newest_report('convergence')
    for preset in ('convergence', 'bytes'):
        # From 20 daemons on, fleets have at least as many daemons as readers.
        rates = [
            row[found.columns.index('reads/s')]
            for row in found.rows
            if row[0] == preset and row[1] >= 20
        ]
        yield Estimate(
            'platform',
            f'reads/s, {preset}',
            max(rates),
            STORE_READS_PER_S,
            f'convergence: bounded readers, {min(rates):.3g} to '
            f'{max(rates):.3g} from 20 daemons on',
        )
    writes = [row[found.columns.index('writes/version')] for row in found.rows]
    yield Estimate(
        'platform',
        'writes/s for versions',
        max(writes) * CHANGES_PER_DAY / DAY_S,
        STORE_WRITES_PER_S,
        f'convergence: at most {max(writes):.3g} a version',
    )
    yield Estimate(
        'platform',
        'writes/s for restarts',
        RESTARTS_PER_DAY / DAY_S,
        STORE_WRITES_PER_S,
        'one contact row a restart at most',
    )


def _operator_estimates():
    found = _newest_report('operators')
    for column, what in (
        ('members ms', 'members, ms'),
        ('time line ms', 'time line, ms'),
    ):
        yield _extrapolate(found, column, 'command line', what)
