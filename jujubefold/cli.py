"""Command line of operators: `jujubefold`."""

import dataclasses
import datetime
import enum
import functools
import pathlib
import sys
import typing

import msgspec
import rich.console
import rich.table
import typer

from jujubefold import adminclient
from jujubefold import adminmodels
from jujubefold import errors
from jujubefold import messages
from jujubefold import porcelain
from jujubefold import timeline as event_line

NANOSECONDS = 1_000_000_000
DEFAULT_DAEMON = '127.0.0.1:7403'


class ExitCode(enum.IntEnum):
    """What the exit status says; 2 is wrong usage, as typer gives it."""

    DONE = 0
    INVALID = 3
    REFUSED = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_CONVERGED = 7


class Output(enum.StrEnum):
    """How results are printed."""

    TEXT = 'text'
    JSON = 'json'


app = typer.Typer(
    help='Operate a jujubefold fleet through any of its daemons.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    epilog=(
        'Exit status: 0 done, 2 wrong usage, 3 invalid input, 4 refused and '
        'did not run, 5 outcome unknown, 6 daemon unreachable, 7 not in '
        'force everywhere in time.'
    ),
)
patch_app = typer.Typer(help='Ask about a patch by its id.')
settings_app = typer.Typer(help="Look at a daemon's settings file.")
app.add_typer(patch_app, name='patch')
app.add_typer(settings_app, name='settings')

Declarations = typing.Annotated[
    pathlib.Path, typer.Argument(help='Declarations, a TOML file.')
]
Base = typing.Annotated[
    int, typer.Option(min=0, help='Version the change is made against.')
]
PatchId = typing.Annotated[
    str | None,
    typer.Option(help='Name of the patch; a resubmission repeats it.'),
]
Wait = typing.Annotated[
    bool, typer.Option(help='Wait until it is in force on every daemon.')
]
Timeout = typing.Annotated[
    float, typer.Option(min=0.1, help='Seconds to wait at most.')
]


@dataclasses.dataclass(slots=True)
class Session:
    """What the global options chose."""

    daemon: str
    output: Output
    tls: dict[str, str]

    @property
    def client(self):
        """Client of the chosen daemon."""
        return self.open(self.daemon)

    def open(self, address):
        """Return a client of the daemon at an address."""
        return adminclient.AdminClient(address, **self.tls)

    @property
    def console(self):
        """Console for people."""
        return rich.console.Console(soft_wrap=True, highlight=False)


@app.callback()
def _options(
    context: typer.Context,
    daemon: typing.Annotated[
        str,
        typer.Option(
            envvar='JUJUBEFOLD_DAEMON', help="A daemon's operators' ip:port."
        ),
    ] = DEFAULT_DAEMON,
    output: typing.Annotated[
        Output, typer.Option(help='Text for people or JSON for programs.')
    ] = Output.TEXT,
    ca: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='CA file; turns TLS on.', exists=True),
    ] = None,
    cert: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Operator's certificate.", exists=True),
    ] = None,
    key: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Operator's private key.", exists=True),
    ] = None,
):
    context.obj = Session(
        daemon, output, adminclient.tls_options(ca, cert, key)
    )


@app.command()
def validate(context: typer.Context, path: Declarations):
    """Check declarations without talking to a daemon."""
    document = _value(context.obj, porcelain.validate(path))
    routes = document.get('routes', {})
    _show(context.obj, document, f'valid: {len(routes)} routes')


@app.command()
def plan(
    context: typer.Context,
    path: Declarations,
    base: typing.Annotated[
        int | None, typer.Option(min=0, help='The head by default.')
    ] = None,
):
    """Show what `apply` would change, and against which version."""
    session = context.obj
    planned = _value(session, porcelain.plan(session.client, path, base))
    text = [f'base version {planned.base}']
    text += [_operation(item) for item in planned.operations]
    text += [] if planned.operations else ['nothing to change']
    _show(session, planned, '\n'.join(text))


@app.command()
def apply(
    context: typer.Context,
    path: Declarations,
    base: Base,
    patch_id: PatchId = None,
    wait: Wait = False,
    timeout: Timeout = 18.0,
):
    """Make the configuration equal declarations, against a named version."""
    session = context.obj
    name = patch_id or porcelain.new_patch_id()
    result = porcelain.apply(session.client, path, base, name)
    _accepted(session, result, name, wait, timeout)


@app.command()
def submit(
    context: typer.Context,
    patch: typing.Annotated[
        typer.FileBinaryRead,
        typer.Argument(help='RFC 6902 JSON patch; - for standard input.'),
    ],
    base: Base,
    patch_id: PatchId = None,
    wait: Wait = False,
    timeout: Timeout = 18.0,
):
    """Submit a JSON patch against a named version."""
    session = context.obj
    name = patch_id or porcelain.new_patch_id()
    result = porcelain.submit(session.client, base, patch.read(), name)
    _accepted(session, result, name, wait, timeout)


@patch_app.command('status')
def patch_status(context: typer.Context, patch_id: str):
    """Say what became of a patch."""
    session = context.obj
    state = _value(session, porcelain.patch_status(session.client, patch_id))
    _show(session, state, _patch_text(state))


@patch_app.command('abandon')
def patch_abandon(context: typer.Context, patch_id: str):
    """Make an undecided patch definite: accepted, or never to run."""
    session = context.obj
    result = porcelain.patch_abandon(session.client, patch_id)
    state = _value(session, result)
    _show(session, state, _patch_text(state))


@app.command()
def versions(
    context: typer.Context,
    after: typing.Annotated[
        int, typer.Option(min=0, help='Start behind this number.')
    ] = 0,
    limit: typing.Annotated[
        int, typer.Option(min=1, max=1000, help='Most versions shown.')
    ] = 100,
):
    """List accepted versions."""
    session = context.obj
    result = porcelain.versions(session.client, after, limit)
    found = _value(session, result)
    rows = [(item.number, item.digest[:12], item.patch_id) for item in found]
    _table(session, found, ('version', 'digest', 'patch'), rows)


@app.command()
def show(context: typer.Context, number: int):
    """Print a version's whole document as JSON."""
    session = context.obj
    detail = _value(session, porcelain.version(session.client, number))
    _show(session, detail, bytes(detail.document).decode())


@app.command()
def diff(context: typer.Context, old: int, new: int):
    """Show what leads from one version to another."""
    session = context.obj
    found = _value(session, porcelain.diff(session.client, old, new))
    _show(session, found, '\n'.join(_operation(item) for item in found))


@app.command()
def status(
    context: typer.Context,
    version: typing.Annotated[
        int | None, typer.Option(min=0, help='The newest by default.')
    ] = None,
    watch: typing.Annotated[
        bool, typer.Option(help='Look again until all daemons hold it.')
    ] = False,
    timeout: Timeout = 18.0,
):
    """Show the daemon asked, and how far a version has come."""
    session = context.obj
    mine = _value(session, porcelain.status(session.client))
    look = _value(session, porcelain.convergence(session.client, version))
    if watch:
        _wait(session, look.version, timeout)
        return
    held = [f'  held back {h.number}: {h.reason}' for h in mine.held_back]
    text = [
        f'{mine.vm}: version {mine.in_force} in force, '
        f'serving {_yes(mine.serving)}, '
        f'upstream {mine.upstream_service or "none"} '
        f'{mine.upstream_state} {mine.running}/{mine.slots} slots',
        *held,
        _progress(look),
    ]
    _show(session, {'daemon': mine, 'convergence': look}, '\n'.join(text))


@app.command()
def members(context: typer.Context):
    """List the daemons as the one asked sees them."""
    session = context.obj
    fleet = _value(session, porcelain.members(session.client))
    rows = [_member_row(member) for member in fleet.members]
    columns = (
        'vm',
        'region',
        'domain',
        'state',
        'version',
        'service',
        'upstream',
        'slots',
        'admin',
    )
    _table(session, fleet, columns, rows)


@app.command()
def timeline(
    context: typer.Context,
    request: typing.Annotated[
        str | None, typer.Option(help='Only this request id.')
    ] = None,
    patch: typing.Annotated[
        str | None, typer.Option(help='Only this patch id.')
    ] = None,
    version: typing.Annotated[
        int | None, typer.Option(help='Only this version number.')
    ] = None,
    vm: typing.Annotated[
        str | None, typer.Option(help='Only this VM.')
    ] = None,
    name: typing.Annotated[
        str | None, typer.Option(help='Only event names that begin so.')
    ] = None,
    since: typing.Annotated[
        datetime.datetime | None, typer.Option(help='UTC, earliest event.')
    ] = None,
    until: typing.Annotated[
        datetime.datetime | None, typer.Option(help='UTC, latest event.')
    ] = None,
):
    """Merge the events of all daemons in causal order."""
    session = context.obj
    wanted = event_line.Filter(
        request=request,
        patch=patch,
        version=version,
        vm=vm,
        name=name,
        since_ns=_nanoseconds(since),
        until_ns=_nanoseconds(until),
    )
    result = porcelain.timeline(session.client, wanted, session.open)
    merged = _value(session, result)
    for vm_name in merged.silent:
        _complain(f'no answer from {vm_name}; its events are missing')
    models = [adminmodels.event_model(item) for item in merged.events]
    _show(session, models, '\n'.join(_event_text(item) for item in models))


@app.command()
def drain(context: typer.Context):
    """Ask the daemon to take no new work, finish and leave."""
    session = context.obj
    state = _value(session, porcelain.drain(session.client))
    _show(session, state, f'{state.vm}: draining')


@settings_app.command('check')
def settings_check(
    context: typer.Context,
    path: typing.Annotated[
        pathlib.Path, typer.Argument(help='Settings, a TOML file.')
    ],
):
    """Check a daemon's settings file."""
    found = _value(context.obj, porcelain.check_settings(path))
    _show(context.obj, found.model_dump(mode='json'), f'{path}: valid')


def _accepted(session, result, patch_id, wait, timeout):
    if result.is_error() and _code(result.error) is ExitCode.UNKNOWN:
        _complain(f'ask again with: jujubefold patch status {patch_id}')
    version = _value(session, result)
    _show(
        session,
        version,
        f'accepted as version {version.number} (patch {version.patch_id})',
    )
    if wait:
        _wait(session, version.number, timeout)


def _wait(session, number, timeout):
    look = None
    for result in porcelain.watch(session.client, number, timeout):
        look = result
        if result.is_ok() and session.output is Output.TEXT:
            print(_progress(result.ok), file=sys.stderr)
    final = _value(session, look)
    if session.output is Output.JSON:
        _show(session, final, '')
    if not final.done:
        _complain(f'not everywhere within {timeout:g} s: {final.behind}')
        raise typer.Exit(ExitCode.NOT_CONVERGED)


def _value(session, result):
    if result.is_ok():
        return result.ok
    failures = result.error
    if not isinstance(failures, tuple):
        failures = (failures,)
    for failure in failures:
        _complain(_failure_text(failure))
    if session.output is Output.JSON:
        _show(session, {'errors': list(failures)}, '')
    raise typer.Exit(_code(failures[0]))


@functools.singledispatch
def _code(failure):
    raise errors.BrokenInvariant(f'no exit code for {failure!r}')


@_code.register
def _(failure: errors.Invalid):
    return ExitCode.INVALID


@_code.register
def _(failure: errors.PeerUnreachable):
    return ExitCode.UNREACHABLE


@_code.register
def _(failure: adminmodels.Problem):
    if failure.ran is errors.Ran.UNKNOWN:
        return ExitCode.UNKNOWN
    invalid = failure.type == 'urn:jujubefold:invalid'
    return ExitCode.INVALID if invalid else ExitCode.REFUSED


@functools.singledispatch
def _failure_text(failure):
    return failure.reason


@_failure_text.register
def _(failure: errors.Invalid):
    return f'{failure.where}: {failure.reason}'


@_failure_text.register
def _(failure: adminmodels.Problem):
    text = [f'{failure.title}: {failure.detail} ({failure.ran})']
    if failure.head is not None:
        text.append(f'  head is version {failure.head}')
    text += [f'  clashes at {pointer}' for pointer in failure.clashes]
    text += [f'  {item}' for item in failure.errors]
    return '\n'.join(text)


def _show(session, value, text):
    if session.output is Output.JSON:
        print(msgspec.json.encode(value, enc_hook=str).decode())
    else:
        print(text)


def _table(session, value, columns, rows):
    if session.output is Output.JSON:
        _show(session, value, '')
        return
    table = rich.table.Table(box=None)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*map(str, row))
    session.console.print(table)


def _complain(text):
    print(text, file=sys.stderr)


def _operation(item):
    value = item.get('value')
    shown = '' if value is None else msgspec.json.encode(value).decode()
    return f'  {item["op"]:8}{item["path"]} {shown}'.rstrip()


def _patch_text(state):
    if state.version is None:
        return f'{state.patch_id}: {state.outcome}'
    return f'{state.patch_id}: {state.outcome}, {state.version.number}'


def _progress(look):
    there = look.total - len(look.behind)
    return f'version {look.version} in force on {there} of {look.total}'


def _member_row(member: messages.Member):
    return (
        member.vm,
        member.region,
        member.failure_domain,
        member.state,
        member.in_force,
        member.service or '-',
        member.upstream_state,
        member.slots,
        member.admin_address,
    )


def _nanoseconds(moment):
    if moment is None:
        return None
    utc = moment.replace(tzinfo=datetime.UTC)
    return int(utc.timestamp() * NANOSECONDS)


def _event_text(event):
    at = datetime.datetime.fromtimestamp(
        event.wall_ns / NANOSECONDS, datetime.UTC
    )
    subject = [
        f'{label}={value}'
        for label, value in (
            ('version', event.version),
            ('patch', event.patch),
            ('request', event.request),
        )
        if value is not None
    ]
    clock = at.time().isoformat('microseconds')
    words = [clock, event.vm, event.name, *subject, event.detail]
    return ' '.join(word for word in words if word)


def _yes(flag):
    return 'yes' if flag else 'no'


def main():
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
