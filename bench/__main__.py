"""Command line of the benchmarks: `python -m bench NAME [--quick]`."""

import importlib
import pkgutil
import typing

import typer

import bench
from bench import report


def _benchmark_names():
    return sorted(
        item.name
        for item in pkgutil.iter_modules(bench.__path__)
        if item.name != '__main__'
        and hasattr(_import_benchmark(item.name), 'measure')
    )


def _import_benchmark(name):
    return importlib.import_module(f'bench.{name}')


def main(
    name: typing.Annotated[str, typer.Argument(help='Benchmark to run.')],
    quick: typing.Annotated[
        bool, typer.Option(help='Run fewer and smaller cases.')
    ] = False,
    seed: typing.Annotated[
        int, typer.Option(help='Seed of all random choices.')
    ] = 1,
    keep: typing.Annotated[
        bool, typer.Option(help='Write the report to bench/results.')
    ] = True,
):
    """Run one benchmark, print its report and save it."""
    if name not in _benchmark_names():
        raise typer.BadParameter(
            f'unknown benchmark; use one of: {", ".join(_benchmark_names())}'
        )
    result = _import_benchmark(name).measure(quick=quick, seed=seed)
    report.show(result)
    if keep:
        print(report.save(result))


if __name__ == '__main__':
    typer.run(main)
