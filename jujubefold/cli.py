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
from jujubefold import timeline as event_line

NANOSECONDS = 1_000_000_000
# Columns; wide enough that nothing is cut, also where there is no terminal.
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

    A change is made against a version number that you name. If somebody
    else was first, it is refused and the clash is shown.

    \b
    jujubefold plan mesh.toml
    jujubefold apply mesh.toml --base 41 --wait
    jujubefold status --watch
    jujubefold timeline --version 42

    With --output json, standard output is exactly one JSON document, also
    when a verb fails; it then has "outcome" and "errors".
    """


def _typer(help, **options):
    return typer.Typer(
        help=help,
        no_args_is_help=True,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
        **options,
    )


app = _typer(_HELP, epilog=_EXIT_STATUS)
patch_app = _typer('Ask about a patch by its id, or end its uncertainty.')
settings_app = _typer("Look at a daemon's settings file.")
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
PatchName = typing.Annotated[
    str, typer.Argument(help='Id that the patch was submitted with.')
]
Number = typing.Annotated[int, typer.Argument(min=0, help='A version number.')]
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
        return rich.console.Console(
            width=TABLE_WIDTH, soft_wrap=True, highlight=False
        )

    def show(self, value, text):
        """Print a result: the value as JSON, or its text."""
        if self.output is Output.JSON:
            print(clioutput.to_json(value))
        elif text:
            print(text)

    def value(self, result, hint=''):
        """Return what a result holds, or show its failures and exit.

        Args:
            result: `Ok`, or `Error` of one failure or a tuple of them.
            hint: What to do when the outcome is unknown.
        """
        if result.is_ok():
            return result.ok
        failures = result.error
        if not isinstance(failures, tuple):
            failures = (failures,)
        code = clioutput.exit_code(failures[0])
        advice = hint if code is clioutput.ExitCode.UNKNOWN else ''
        for failure in failures:
            _complain(clioutput.failure_text(failure))
        if advice:
            _complain(advice)
        self.show(clioutput.command_failure(failures, advice), '')
        raise typer.Exit(code)


def _version(wanted):
    if wanted:
        print(f'jujubefold {jujubefold.__version__}')
        raise typer.Exit


def _address(text):
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
            callback=_address,
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
            callback=_version,
            is_eager=True,
            help='Print the version of this program and end.',
        ),
    ] = False,
):
    context.obj = Session(
        daemon, output, adminclient.tls_options(ca, cert, key)
    )


@app.command()
def validate(context: typer.Context, path: Declarations):
    """Check declarations without talking to a daemon.

    \b
    Example:
      jujubefold validate mesh.toml
    """
    document = context.obj.value(porcelain.validate(path))
    routes = document.get('routes', {})
    context.obj.show(document, f'valid: {len(routes)} routes')


@app.command()
def plan(
    context: typer.Context,
    path: Declarations,
    base: typing.Annotated[
        int | None, typer.Option(min=0, help='The head by default.')
    ] = None,
):
    """Show what `apply` would change, and against which version.

    \b
    Example:
      jujubefold plan mesh.toml
      jujubefold plan mesh.toml --base 41
    """
    session = context.obj
    planned = session.value(porcelain.plan(session.client, path, base))
    text = [f'base version {planned.base}']
    text += [_operation(item) for item in planned.operations]
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
    """Make the configuration equal declarations, against a named version.

    Name the base that `plan` showed. Repeat the same command with the same
    --patch-id after an unknown outcome: it is accepted at most once.

    \b
    Example:
      jujubefold apply mesh.toml --base 41
      jujubefold apply mesh.toml --base 41 --patch-id release-7 --wait
    """
    session = context.obj
    name = _patch_name(patch_id)
    result = porcelain.apply(session.client, path, base, name)
    _accepted(session, result, name, wait, timeout)


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
    """Submit a JSON patch against a named version.

    \b
    Example:
      jujubefold submit change.json --base 41 --patch-id hotfix-3
      jujubefold submit - --base 41 < change.json
    """
    session = context.obj
    name = _patch_name(patch_id)
    result = porcelain.submit_file(session.client, base, path, name)
    _accepted(session, result, name, wait, timeout)


@patch_app.command('status')
def patch_status(context: typer.Context, patch_id: PatchName):
    """Say what became of a patch.

    `unused` may still become `accepted` while a submission is on its way;
    `patch abandon` excludes that.

    \b
    Example:
      jujubefold patch status hotfix-3
    """
    session = context.obj
    state = session.value(porcelain.patch_status(session.client, patch_id))
    session.show(state, _patch_text(state))


@patch_app.command('abandon')
def patch_abandon(context: typer.Context, patch_id: PatchName):
    """Make an undecided patch definite: accepted, or never to run.

    An abandoned id stays so: submit again under a new one.

    \b
    Example:
      jujubefold patch abandon hotfix-3
    """
    session = context.obj
    result = porcelain.patch_abandon(session.client, patch_id)
    state = session.value(result)
    session.show(state, _patch_text(state))


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
    """List accepted versions.

    \b
    Example:
      jujubefold versions --after 40
    """
    session = context.obj
    result = porcelain.versions(session.client, after, limit)
    found = session.value(result)
    rows = [(item.number, item.digest[:12], item.patch_id) for item in found]
    _table(session, found, ('version', 'digest', 'patch'), rows)


@app.command()
def show(context: typer.Context, number: Number):
    """Print a version's whole document as JSON.

    \b
    Example:
      jujubefold show 41
    """
    session = context.obj
    detail = session.value(porcelain.version(session.client, number))
    session.show(detail, bytes(detail.document).decode())


@app.command()
def diff(context: typer.Context, old: Number, new: Number):
    """Show what leads from one version to another.

    \b
    Example:
      jujubefold diff 40 41
    """
    session = context.obj
    found = session.value(porcelain.diff(session.client, old, new))
    session.show(found, '\n'.join(_operation(item) for item in found))


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
    """Show the daemon asked, and how far a version has come.

    With --watch the exit status is 7 when it is not everywhere in time.

    \b
    Example:
      jujubefold status
      jujubefold status --version 42 --watch --timeout 60
    """
    session = context.obj
    mine = session.value(porcelain.status(session.client))
    look = session.value(porcelain.convergence(session.client, version))
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
    session.show({'daemon': mine, 'convergence': _look(look)}, '\n'.join(text))


@app.command()
def members(context: typer.Context):
    """List the daemons as the one asked sees them.

    \b
    Example:
      jujubefold members
      jujubefold --daemon 10.0.0.2:7403 members
    """
    session = context.obj
    fleet = session.value(porcelain.members(session.client))
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
    """Merge the events of all daemons in causal order.

    A daemon that does not answer is named, and its events are missing.

    \b
    Example:
      jujubefold timeline --patch hotfix-3
      jujubefold timeline --name member. --vm vm-7
      jujubefold timeline --since 2026-01-31T09:00:00
    """
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
    merged = session.value(result)
    for vm_name in merged.silent:
        _complain(f'no answer from {vm_name}; its events are missing')
    models = [adminmodels.event_model(item) for item in merged.events]
    session.show(
        {'events': models, 'silent': merged.silent},
        '\n'.join(_event_text(item) for item in models),
    )


@app.command('explain')
def explain_request(
    context: typer.Context,
    request: typing.Annotated[str, typer.Argument(help='Request id.')],
    logs: typing.Annotated[
        list[typer.FileText], typer.Argument(help='Logs of the VMs.')
    ],
):
    """Tell the story of one request from collected logs.

    Lines that can't be read are counted. Asks no daemon.

    \b
    Example:
      jujubefold explain 9c41d07be2a35f68 vm-*.log
    """
    story = explain.explain(request, logs)
    value = {**dataclasses.asdict(story), 'cause': story.cause}
    context.obj.show(value, '\n'.join(explain.format_lines(story)))


@app.command()
def drain(context: typer.Context):
    """Ask the daemon to take no new work, finish and leave.

    This ends the process of the daemon that is asked.

    \b
    Example:
      jujubefold --daemon 10.0.0.2:7403 drain
    """
    session = context.obj
    state = session.value(porcelain.drain(session.client))
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
    values = context.obj.value(porcelain.check_settings(path, sidecar))
    context.obj.show(values, f'{path}: valid')


@settings_app.command('show')
def settings_show(
    context: typer.Context, path: _SettingsFile, sidecar: _Sidecar = False
):
    """Show what a daemon's settings file comes to, with defaults.

    \b
    Example:
      jujubefold settings show --sidecar settings.toml
    """
    values = context.obj.value(porcelain.check_settings(path, sidecar))
    context.obj.show(values, '\n'.join(porcelain.settings_lines(values)))


def _patch_name(given):
    return porcelain.new_patch_id() if given is None else given


def _accepted(session, result, patch_id, wait, timeout):
    hint = (
        f'resolve it with: jujubefold patch status {patch_id}; or repeat '
        f'the command with --patch-id {patch_id}, which is accepted at most '
        f'once; or make sure that it never runs: jujubefold patch abandon '
        f'{patch_id}'
    )
    version = session.value(result, hint)
    text = f'accepted as version {version.number} (patch {version.patch_id})'
    if not wait:
        session.show(version, text)
        return
    if session.output is Output.TEXT:
        print(text)
    _wait(session, version.number, timeout, {'accepted': version})


def _wait(session, number, timeout, known=None):
    """Watch a version, then show one document with what was known."""
    look = None
    for result in porcelain.watch(session.client, number, timeout):
        look = result
        if result.is_ok() and session.output is Output.TEXT:
            print(_progress(result.ok), file=sys.stderr)
    document = known or {}
    if look.is_error():
        _complain(clioutput.failure_text(look.error))
        code = clioutput.exit_code(look.error)
        failed = {'outcome': code.label, 'errors': (look.error,)}
        session.show({**document, **failed}, '')
        raise typer.Exit(code)
    final = look.ok
    session.show({**document, 'convergence': _look(final)}, '')
    if not final.done:
        behind = ', '.join(final.behind) or 'no daemon is live'
        _complain(f'not everywhere within {timeout:g} s: {behind}')
        raise typer.Exit(clioutput.ExitCode.NOT_CONVERGED)


def _look(look):
    return {**dataclasses.asdict(look), 'done': look.done}


def _table(session, value, columns, rows):
    if session.output is Output.JSON:
        session.show(value, '')
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
    subject = [
        f'{label}={value}'
        for label, value in (
            ('version', event.version),
            ('patch', event.patch),
            ('request', event.request),
        )
        if value is not None
    ]
    clock = f'{at:%Y-%m-%dT%H:%M:%S.%fZ}'
    words = [clock, event.vm, event.name, *subject, event.detail]
    return ' '.join(word for word in words if word)


def _yes(flag):
    return 'yes' if flag else 'no'


def main():
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
