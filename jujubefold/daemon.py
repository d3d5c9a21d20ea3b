"""Console program `jujubefoldd`: runs one daemon beside an upstream."""

import asyncio
import gc
import json
import pathlib
import signal
import sys
import typing

import expression
import typer

from jujubefold import adminapi
from jujubefold import adminserver
from jujubefold import clock
from jujubefold import errors
from jujubefold import logs
from jujubefold import runtime
from jujubefold import settings

EXIT_INVALID_SETTINGS = 3
EXIT_REQUESTS_CUT = 8
EXIT_CANNOT_LISTEN = 9


async def serve(options):
    """Run a daemon until a shutdown is requested.

    Args:
        options: A `settings.Settings`.

    Returns:
        `Ok(runtime.Stopped)`, or `Error(errors.Invalid)` when an address
        cannot be bound.
    """
    loop = asyncio.get_running_loop()
    daemon = runtime.Runtime(options, clock.SystemClock())
    logs.configure(
        options.logs.level, daemon.identity.vm, daemon.identity.incarnation
    )
    api = adminapi.AdminApi(daemon, loop)
    server = adminserver.AdminServer(
        options.daemon.admin_address, api.endpoints(), _tls_adapter(daemon)
    )
    try:
        await daemon.start(server.bind())
    except (OSError, RuntimeError) as error:
        # The threads of the admin server would keep the process alive.
        server.stop()
        return expression.Error(errors.Invalid(str(error), 'cannot listen'))
    server.start()
    _handle_signals(loop, daemon)
    _freeze_startup_objects()
    _print_addresses(daemon)
    await daemon.stop_requested.wait()
    stopped = await _stop_daemon(loop, daemon)
    await asyncio.to_thread(server.stop)
    return expression.Ok(stopped)


def _freeze_startup_objects():
    """Exclude the objects made at the start from garbage collection.

    A full collection that includes them stops the call path for tens of
    milliseconds.
    """
    gc.collect()
    gc.freeze()


def _tls_adapter(daemon):
    if daemon.server_tls is None:
        return None
    return adminserver.TlsAdapter(daemon.options.tls, daemon.server_tls)


def _handle_signals(loop, daemon):
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.drain)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload_keys)


async def _stop_daemon(loop, daemon):
    stopping = asyncio.ensure_future(daemon.stop())
    second_signal = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, second_signal.set)
    signalled = asyncio.ensure_future(second_signal.wait())
    await asyncio.wait(
        (stopping, signalled), return_when=asyncio.FIRST_COMPLETED
    )
    signalled.cancel()
    if stopping.done():
        return stopping.result()
    stopping.cancel()
    return await daemon.stop(grace=0.0)


def _print_addresses(daemon):
    addresses = {
        'vm': daemon.identity.vm,
        'caller_address': daemon.caller_address,
        'call_address': daemon.identity.call_address,
        'peer_address': daemon.identity.peer_address,
        'admin_address': daemon.identity.admin_address,
    }
    print(json.dumps(addresses), flush=True)


def _main(
    path: typing.Annotated[
        pathlib.Path, typer.Argument(help='Settings file (TOML).')
    ],
):
    """Run one jujubefold daemon until SIGTERM."""
    loaded = settings.load(path)
    if loaded.is_error():
        for failure in loaded.error:
            print(f'{failure.where}: {failure.reason}', file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS)
    ended = asyncio.run(serve(loaded.ok))
    if ended.is_error():
        print(f'{ended.error.where}: {ended.error.reason}', file=sys.stderr)
        raise typer.Exit(EXIT_CANNOT_LISTEN)
    for request in ended.ok.cut:
        print(
            f'request cut at the end of the grace period: {request}',
            file=sys.stderr,
        )
    raise typer.Exit(EXIT_REQUESTS_CUT if ended.ok.cut else 0)


def main():
    """Run the console program."""
    app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)
    app.command()(_main)
    app()


if __name__ == '__main__':
    main()
