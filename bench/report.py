"""Reports of benchmarks as a table, JSON, a plot and fitted lines."""

import dataclasses
import datetime
import json
import pathlib
import statistics

import matplotlib
import matplotlib.figure
import rich.console
import rich.table

import jujubefold

RESULTS = pathlib.Path(__file__).parent / 'results'


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A straight line fitted through measured points.

    Args:
        x: Column name of the independent variable.
        y: Column name of the dependent variable.
        slope: Change of `y` per unit of `x`.
        intercept: Value of `y` at `x` of 0.
        r_squared: Coefficient of determination, 1.0 for points that lie
            exactly on the line.
    """

    x: str
    y: str
    slope: float
    intercept: float
    r_squared: float

    def at(self, value):
        """Return the value of `y` that the line gives for `x`."""
        return self.intercept + self.slope * value


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Results of one benchmark.

    Args:
        name: Benchmark name, which also begins the file names.
        command: Command line that repeats the benchmark.
        columns: Column names with units.
        rows: One tuple of values for each row.
        notes: Sentences on what was and was not measured.
        x: Column of the plot's horizontal axis.
        ys: Columns plotted over `x`, one chart each; no plot if empty.
        group: Column whose values separate the lines of a chart, '' for
            one line.
    """

    name: str
    command: str
    columns: tuple[str, ...]
    rows: tuple[tuple, ...]
    notes: tuple[str, ...] = ()
    x: str = ''
    ys: tuple[str, ...] = ()
    group: str = ''

    def column(self, name, group=None):
        """Return the values of a column.

        Args:
            name: Column name.
            group: Value of the group column to select, None for all rows.
        """
        index = self.columns.index(name)
        return [row[index] for row in self._rows_of(group)]

    def fit(self, x, y, group=None):
        """Return the least-squares `Fit` of column `y` over column `x`."""
        xs = self.column(x, group)
        ys = self.column(y, group)
        line = statistics.linear_regression(xs, ys)
        spread = statistics.pvariance(ys)
        r_squared = statistics.correlation(xs, ys) ** 2 if spread else 1.0
        return Fit(x, y, line.slope, line.intercept, r_squared)

    def groups(self):
        """Return the distinct values of the group column, in order."""
        if not self.group:
            return [None]
        return list(dict.fromkeys(self.column(self.group)))

    def _rows_of(self, group):
        if group is None:
            return self.rows
        index = self.columns.index(self.group)
        return [row for row in self.rows if row[index] == group]


def show(report):
    """Print a report as a table."""
    table = rich.table.Table(title=report.name)
    for column in report.columns:
        table.add_column(column, justify='right')
    for row in report.rows:
        table.add_row(*(_cell(value) for value in row))
    console = rich.console.Console()
    console.print(table)
    for note in report.notes:
        console.print(note)


def save(report, folder=RESULTS):
    """Write JSON, named by version and date, and replace the plot.

    Returns:
        Path of the JSON file.
    """
    folder.mkdir(parents=True, exist_ok=True)
    today = datetime.datetime.now(datetime.UTC).date().isoformat()
    path = folder / f'{report.name}-{jujubefold.__version__}-{today}.json'
    path.write_text(json.dumps(dataclasses.asdict(report), indent=1) + '\n')
    if report.ys:
        _plot(report, folder / f'{report.name}.svg')
    return path


def load(path):
    """Return the `Report` written to a JSON file."""
    raw = json.loads(path.read_text())
    raw['rows'] = tuple(tuple(row) for row in raw['rows'])
    return Report(**raw)


def _cell(value):
    return f'{value:.3f}' if isinstance(value, float) else str(value)


def _plot(report, path):
    matplotlib.rcParams['svg.hashsalt'] = 'jujubefold'
    figure = matplotlib.figure.Figure(figsize=(8, 3 * len(report.ys)))
    for index, y in enumerate(report.ys, start=1):
        axes = figure.add_subplot(len(report.ys), 1, index)
        for group in report.groups():
            xs = report.column(report.x, group)
            ys = report.column(y, group)
            axes.plot(xs, ys, marker='o', label=group)
        axes.set_xlabel(report.x)
        axes.set_ylabel(y)
        if report.group:
            axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
