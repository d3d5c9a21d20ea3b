"""Command line of operators: `jujubefold`."""

import dataclasses
import datetime
import enum
import pathlib
import sys
import typing

import msgspec
import rich.console
import rich.table
import typer

import jujubefold
from jujubefold import adminclient
from jujubefold import adminmodels
from jujubefold import clioutput
from jujubefold import porcelain
from jujubefold import settings
from jujubefold.sidecar import explain
from jujubefold import timeline as timelines

NANOSECONDS = 1_000_000_000
# In characters; wide enough that no cell is ever truncated.
TABLE_WIDTH = 1000
DEFAULT_DAEMON = '127.0.0.1:7403'


class Output(enum.StrEnum):
    """How results are printed."""

    TEXT = 'text'
    JSON = 'json'


_EXIT_STATUS = (
    'Exit status: 0 done, 2 wrong usage, 3 invalid input, 4 refused and '
    'did not run, 5 outcome unknown, 6 daemon unreachable, 7 not in '
    'force everywhere in time.'
)
_HELP = """Operate a jujubefold fleet through any of its daemons.

    A change names the version number that it is based on. If that is no
    longer the head, the change is refused and any conflicts are listed.

    \b
    jujubefold plan mesh.toml
    jujubefold apply mesh.toml --base 41 --wait
    jujubefold status --watch
    jujubefold timeline --version 42

    With --output json, standard output is exactly one JSON document, also
    when a command fails; it then has "outcome" and "errors".
    """


def _new_typer(help, **options):
    return typer.Typer(
        help=help,
        no_args_is_help=True,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
        **options,
    )


app = _new_typer(_HELP, epilog=_EXIT_STATUS)
patch_app = _new_typer('Show the outcome of a patch, or abandon it.')
settings_app = _new_typer("Check or show a daemon's settings file.")
app.add_typer(patch_app, name='patch')
app.add_typer(settings_app, name='settings')

Declarations = typing.Annotated[
    pathlib.Path, typer.Argument(help='Declarations, a TOML file.')
]
Base = typing.Annotated[
    int, typer.Option(min=0, help='Version that the change is based on.')
]
PatchId = typing.Annotated[
    str | None,
    typer.Option(help='Id of the patch; repeat it to resubmit.'),
]
PatchIdArgument = typing.Annotated[
    str, typer.Argument(help='Id of the patch.')
]
Number = typing.Annotated[int, typer.Argument(min=0, help='A version number.')]
Wait = typing.Annotated[
    bool, typer.Option(help='Wait until it is in force on all daemons.')
]
Timeout = typing.Annotated[
    float, typer.Option(min=0.1, help='Seconds to wait at most.')
]


@dataclasses.dataclass(slots=True)
class Session:
    """Values of the global options."""

    daemon: str
    output: Output
    tls: dict[str, str]

    @property
    def client(self):
        """Client of the daemon given by --daemon."""
        return self.open(self.daemon)

    def open(self, address):
        """Return a client of the daemon at an address."""
        return adminclient.AdminClient(address, **self.tls)

    @property
    def console(self):
        """Console for text output."""
        return rich.console.Console(
            width=TABLE_WIDTH, soft_wrap=True, highlight=False
        )

    def show(self, value, text):
        """Print a result: the value as JSON, or its text."""
        if self.output is Output.JSON:
            print(clioutput.to_json(value))
        elif text:
            print(text)

    def unwrap(self, result, hint=''):
        """Return the value of a result, or print its failures and exit.

        Args:
            result: `Ok`, or `Error` of one failure or a tuple of them.
            hint: What the operator should do if the outcome is unknown.
        """
        if result.is_ok():
            return result.ok
        failures = result.error
        if not isinstance(failures, tuple):
            failures = (failures,)
        code = clioutput.exit_code(failures[0])
        shown_hint = hint if code is clioutput.ExitCode.UNKNOWN else ''
        for failure in failures:
            _print_error(clioutput.failure_text(failure))
        if shown_hint:
            _print_error(shown_hint)
        self.show(clioutput.command_failure(failures, shown_hint), '')
        raise typer.Exit(code)


def _print_version(requested):
    if requested:
        print(f'jujubefold {jujubefold.__version__}')
        raise typer.Exit


def _check_address(text):
    try:
        return settings.validate_address(text)
    except ValueError as error:
        raise typer.BadParameter(f'{error}; given {text!r}')


@app.callback()
def _options(
    context: typer.Context,
    daemon: typing.Annotated[
        str,
        typer.Option(
            envvar='JUJUBEFOLD_DAEMON',
            callback=_check_address,
            help="A daemon's admin_address, ip:port.",
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
    version: typing.Annotated[
        bool,
        typer.Option(
            '--version',
            callback=_print_version,
            is_eager=True,
            help='Print the version of this program and exit.',
        ),
    ] = False,
):
    context.obj = Session(
        daemon, output, adminclient.tls_options(ca, cert, key)
    )


@app.command()
def validate(context: typer.Context, path: Declarations):
    """Check declarations without connecting to a daemon.

    \b
    Example:
      jujubefold validate mesh.toml
    """
    document = context.obj.unwrap(porcelain.validate(path))
    routes = document.get('routes', {})
    context.obj.show(document, f'valid: {len(routes)} routes')


@app.command()
def plan(
    context: typer.Context,
    path: Declarations,
    base: typing.Annotated[
        int | None, typer.Option(min=0, help='Default: the head version.')
    ] = None,
):
    """Show what `apply` would change, and the version it is based on.

    \b
    Example:
      jujubefold plan mesh.toml
      jujubefold plan mesh.toml --base 41
    """
    session = context.obj
    planned = session.unwrap(porcelain.plan(session.client, path, base))
    text = [f'base version {planned.base}']
    text += [_operation_text(item) for item in planned.operations]
    text += [] if planned.operations else ['nothing to change']
    session.show(planned, '\n'.join(text))


@app.command()
def apply(
    context: typer.Context,
    path: Declarations,
    base: Base,
    patch_id: PatchId = None,
    wait: Wait = False,
    timeout: Timeout = 18.0,
):
    """Make the configuration match declarations.

    Pass the base that `plan` showed. After an unknown outcome, repeat the
    command with the same --patch-id: it is accepted at most once.

    \b
    Example:
      jujubefold apply mesh.toml --base 41
      jujubefold apply mesh.toml --base 41 --patch-id release-7 --wait
    """
    session = context.obj
    sent_id = _patch_id_or_new(patch_id)
    result = porcelain.apply(session.client, path, base, sent_id)
    _show_accepted(session, result, sent_id, wait, timeout)


@app.command()
def submit(
    context: typer.Context,
    path: typing.Annotated[
        pathlib.Path,
        typer.Argument(help='RFC 6902 JSON patch; - for standard input.'),
    ],
    base: Base,
    patch_id: PatchId = None,
    wait: Wait = False,
    timeout: Timeout = 18.0,
):
    """Submit a JSON patch that is based on a version.

    \b
    Example:
      jujubefold submit change.json --base 41 --patch-id hotfix-3
      jujubefold submit - --base 41 < change.json
    """
    session = context.obj
    sent_id = _patch_id_or_new(patch_id)
    result = porcelain.submit_file(session.client, base, path, sent_id)
    _show_accepted(session, result, sent_id, wait, timeout)


@patch_app.command('status')
def patch_status(context: typer.Context, patch_id: PatchIdArgument):
    """Show the outcome of a patch.

    `unused` may still become `accepted` while a submission is in flight;
    `patch abandon` prevents that.

    \b
    Example:
      jujubefold patch status hotfix-3
    """
    session = context.obj
    state = session.unwrap(porcelain.patch_status(session.client, patch_id))
    session.show(state, _patch_text(state))


@patch_app.command('abandon')
def patch_abandon(context: typer.Context, patch_id: PatchIdArgument):
    """Abandon a patch unless it was accepted already.

    An abandoned id is never accepted; submit the patch under a new id.

    \b
    Example:
      jujubefold patch abandon hotfix-3
    """
    session = context.obj
    result = porcelain.patch_abandon(session.client, patch_id)
    state = session.unwrap(result)
    session.show(state, _patch_text(state))


@app.command()
def versions(
    context: typer.Context,
    after: typing.Annotated[
        int, typer.Option(min=0, help='List only versions above this number.')
    ] = 0,
    limit: typing.Annotated[
        int, typer.Option(min=1, max=1000, help='Maximum number of versions.')
    ] = 100,
):
    """List accepted versions.

    \b
    Example:
      jujubefold versions --after 40
    """
    session = context.obj
    result = porcelain.versions(session.client, after, limit)
    found = session.unwrap(result)
    rows = [(item.number, item.digest[:12], item.patch_id) for item in found]
    _show_table(session, found, ('version', 'digest', 'patch'), rows)


@app.command()
def show(context: typer.Context, number: Number):
    """Print the whole document of a version as JSON.

    \b
    Example:
      jujubefold show 41
    """
    session = context.obj
    detail = session.unwrap(porcelain.version(session.client, number))
    session.show(detail, bytes(detail.document).decode())


@app.command()
def diff(context: typer.Context, old: Number, new: Number):
    """Show the operations that turn one version into another.

    \b
    Example:
      jujubefold diff 40 41
    """
    session = context.obj
    found = session.unwrap(porcelain.diff(session.client, old, new))
    session.show(found, '\n'.join(_operation_text(item) for item in found))


@app.command()
def status(
    context: typer.Context,
    version: typing.Annotated[
        int | None, typer.Option(min=0, help='Default: newest in force.')
    ] = None,
    watch: typing.Annotated[
        bool, typer.Option(help='Poll until it is in force on all daemons.')
    ] = False,
    timeout: Timeout = 18.0,
):
    """Show the daemon's state, and on how many daemons a version is in force.

    With --watch, the exit status is 7 if it is not in force in time.

    \b
    Example:
      jujubefold status
      jujubefold status --version 42 --watch --timeout 60
    """
    session = context.obj
    state = session.unwrap(porcelain.status(session.client))
    convergence = session.unwrap(
        porcelain.convergence(session.client, version)
    )
    if watch:
        _watch(session, convergence.version, timeout)
        return
    held = [f'  held back {h.number}: {h.reason}' for h in state.held_back]
    text = [
        f'{state.vm}: version {state.in_force} in force, '
        f'serving {_yes_or_no(state.serving)}, '
        f'upstream {state.upstream_service or "none"} '
        f'{state.upstream_state} {state.running}/{state.slots} slots',
        *held,
        _convergence_text(convergence),
    ]
    session.show(
        {'daemon': state, 'convergence': _convergence_document(convergence)},
        '\n'.join(text),
    )


@app.command()
def members(context: typer.Context):
    """List the daemons of the fleet, in the view of one daemon.

    \b
    Example:
      jujubefold members
      jujubefold --daemon 10.0.0.2:7403 members
    """
    session = context.obj
    fleet = session.unwrap(porcelain.members(session.client))
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
    _show_table(session, fleet, columns, rows)


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
        str | None, typer.Option(help='Only event names with this prefix.')
    ] = None,
    since: typing.Annotated[
        datetime.datetime | None, typer.Option(help='Earliest time, UTC.')
    ] = None,
    until: typing.Annotated[
        datetime.datetime | None, typer.Option(help='Latest time, UTC.')
    ] = None,
):
    """Merge the events of all daemons in causal order.

    Daemons that do not respond are listed; their events are missing.

    \b
    Example:
      jujubefold timeline --patch hotfix-3
      jujubefold timeline --name member. --vm vm-7
      jujubefold timeline --since 2026-01-31T09:00:00
    """
    session = context.obj
    event_filter = timelines.Filter(
        request=request,
        patch=patch,
        version=version,
        vm=vm,
        name=name,
        since_ns=_nanoseconds(since),
        until_ns=_nanoseconds(until),
    )
    result = porcelain.timeline(session.client, event_filter, session.open)
    merged = session.unwrap(result)
    for vm_name in merged.unreachable:
        _print_error(f'no response from {vm_name}; its events are missing')
    models = [adminmodels.event_model(item) for item in merged.events]
    session.show(
        {'events': models, 'silent': merged.unreachable},
        '\n'.join(_event_text(item) for item in models),
    )


@app.command('explain')
def explain_request(
    context: typer.Context,
    request: typing.Annotated[str, typer.Argument(help='Request id.')],
    logs: typing.Annotated[
        list[typer.FileText], typer.Argument(help='Log files of the VMs.')
    ],
):
    """Reconstruct the course of one request from collected logs.

    Lines that can't be parsed are counted. Needs no running daemon.

    \b
    Example:
      jujubefold explain 9c41d07be2a35f68 vm-*.log
    """
    explanation = explain.explain(request, logs)
    value = {**dataclasses.asdict(explanation), 'cause': explanation.cause}
    context.obj.show(value, '\n'.join(explain.format_lines(explanation)))


@app.command()
def drain(context: typer.Context):
    """Make the daemon drain its upstream, leave the fleet and stop.

    The process of the daemon exits.

    \b
    Example:
      jujubefold --daemon 10.0.0.2:7403 drain
    """
    session = context.obj
    state = session.unwrap(porcelain.drain(session.client))
    session.show(state, f'{state.vm}: draining')


_SettingsFile = typing.Annotated[
    pathlib.Path, typer.Argument(help='Settings, a TOML file.')
]
_Sidecar = typing.Annotated[
    bool, typer.Option('--sidecar', help='Settings of a sidecar.')
]


@settings_app.command('check')
def settings_check(
    context: typer.Context, path: _SettingsFile, sidecar: _Sidecar = False
):
    """Check a daemon's settings file.

    Also reads the key files that it names. Changes nothing.

    \b
    Example:
      jujubefold settings check /etc/jujubefold/jujubefoldd.toml
    """
    values = context.obj.unwrap(porcelain.check_settings(path, sidecar))
    context.obj.show(values, f'{path}: valid')


@settings_app.command('show')
def settings_show(
    context: typer.Context, path: _SettingsFile, sidecar: _Sidecar = False
):
    """Show the settings in a daemon's settings file, with defaults.

    \b
    Example:
      jujubefold settings show --sidecar settings.toml
    """
    values = context.obj.unwrap(porcelain.check_settings(path, sidecar))
    context.obj.show(values, '\n'.join(porcelain.settings_lines(values)))


def _patch_id_or_new(patch_id):
    return porcelain.new_patch_id() if patch_id is None else patch_id


def _show_accepted(session, result, patch_id, wait, timeout):
    hint = (
        f'resolve it with: jujubefold patch status {patch_id}; or repeat '
        f'the command with --patch-id {patch_id}, which is accepted at most '
        f'once; or prevent it from ever running: jujubefold patch abandon '
        f'{patch_id}'
    )
    version = session.unwrap(result, hint)
    text = f'accepted as version {version.number} (patch {version.patch_id})'
    if not wait:
        session.show(version, text)
        return
    if session.output is Output.TEXT:
        print(text)
    _watch(session, version.number, timeout, {'accepted': version})


def _watch(session, number, timeout, document=None):
    """Wait for convergence, then show it after a document's other keys."""
    last = None
    for result in porcelain.watch(session.client, number, timeout):
        last = result
        if result.is_ok() and session.output is Output.TEXT:
            print(_convergence_text(result.ok), file=sys.stderr)
    document = document or {}
    if last.is_error():
        _print_error(clioutput.failure_text(last.error))
        code = clioutput.exit_code(last.error)
        failed = {'outcome': code.label, 'errors': (last.error,)}
        session.show({**document, **failed}, '')
        raise typer.Exit(code)
    final = last.ok
    session.show({**document, 'convergence': _convergence_document(final)}, '')
    if not final.done:
        behind = ', '.join(final.behind) or 'no daemon is live'
        _print_error(f'not in force everywhere within {timeout:g} s: {behind}')
        raise typer.Exit(clioutput.ExitCode.NOT_CONVERGED)


def _convergence_document(convergence):
    return {**dataclasses.asdict(convergence), 'done': convergence.done}


def _show_table(session, value, columns, rows):
    if session.output is Output.JSON:
        session.show(value, '')
        return
    table = rich.table.Table(box=None)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*map(str, row))
    session.console.print(table)


def _print_error(text):
    print(text, file=sys.stderr)


def _operation_text(item):
    value = item.get('value')
    shown = '' if value is None else msgspec.json.encode(value).decode()
    return f'  {item["op"]:8}{item["path"]} {shown}'.rstrip()


def _patch_text(state):
    if state.version is None:
        return f'{state.patch_id}: {state.outcome}'
    return f'{state.patch_id}: {state.outcome}, {state.version.number}'


def _convergence_text(state):
    in_force = state.total - len(state.behind)
    return f'version {state.version} in force on {in_force} of {state.total}'


def _member_row(member):
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
    ids = [
        f'{label}={value}'
        for label, value in (
            ('version', event.version),
            ('patch', event.patch),
            ('request', event.request),
        )
        if value is not None
    ]
    time_text = f'{at:%Y-%m-%dT%H:%M:%S.%fZ}'
    parts = [time_text, event.vm, event.name, *ids, event.detail]
    return ' '.join(part for part in parts if part)


def _yes_or_no(flag):
    return 'yes' if flag else 'no'


def main():
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
