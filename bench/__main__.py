"""Command line of the measurements: `python -m bench NAME [--quick]`."""

import importlib
import pkgutil
import typing

import typer

import bench
from bench import report


def _names():
    return sorted(
        item.name
        for item in pkgutil.iter_modules(bench.__path__)
        if item.name != '__main__' and hasattr(_module(item.name), 'measure')
    )


def _module(name):
    return importlib.import_module(f'bench.{name}')


def main(
    name: typing.Annotated[str, typer.Argument(help='Measurement to run.')],
    quick: typing.Annotated[
        bool, typer.Option(help='Fewer and smaller points.')
    ] = False,
    seed: typing.Annotated[int, typer.Option(help='Seed of all chance.')] = 1,
    keep: typing.Annotated[
        bool, typer.Option(help='Write under bench/results.')
    ] = True,
):
    """Run one measurement, print it and keep its result."""
    if name not in _names():
        raise typer.BadParameter(f'one of: {", ".join(_names())}')
    found = _module(name).measure(quick=quick, seed=seed)
    report.show(found)
    if keep:
        print(report.save(found))


if __name__ == '__main__':
    typer.run(main)
