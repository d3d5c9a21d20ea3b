"""Tests of the command line against the operators' HTTP API."""

import json
import pathlib
import re
import socket
import tempfile
import threading

import expression
import testtools
import typer
from typer import testing
import urllib3

from jujubefold import adminclient
from jujubefold import adminmodels
from jujubefold import cli
from jujubefold import clioutput
from jujubefold import errors
from jujubefold import porcelain
from tests import fakedaemon

MESH = """
schema = 1

[services.pickups]

[groups.pickups]
service = "pickups"

[routes.pickups]
path = "{path}"
targets = [{{ group = "pickups" }}]
"""
ADD = '[{"op":"add","path":"/timeouts/t","value":{"request":%d}}]'
# A port without a listener.
UNREACHABLE = '127.0.0.1:9'


class CliCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.daemon = self.start_daemon()
        self.mesh = self.file('mesh.toml', MESH.format(path='/pickups'))

    def start_daemon(self, *arguments, **options):
        daemon = fakedaemon.FakeDaemon(*arguments, **options)
        daemon.__enter__()
        self.addCleanup(daemon.__exit__)
        return daemon

    def file(self, name, content):
        path = self.folder / name
        data = content if isinstance(content, bytes) else content.encode()
        path.write_bytes(data)
        return str(path)

    def run_cli(self, *arguments, daemon=None, **options):
        """Run a command and return its result; raise unexpected errors."""
        address = daemon or self.daemon.address
        result = testing.CliRunner().invoke(
            cli.app, ['--daemon', address, *map(str, arguments)], **options
        )
        if not isinstance(result.exception, (SystemExit, type(None))):
            raise result.exception
        return result

    def json(self, status, *arguments, **options):
        """Run a command, check its exit status, return its JSON document."""
        result = self.run_cli('--output', 'json', *arguments, **options)
        self.assertEqual(status, result.exit_code, result.output)
        return json.loads(result.stdout)

    def text(self, status, *arguments, **options):
        """Run a command, check its exit status, return all its output."""
        result = self.run_cli(*arguments, **options)
        self.assertEqual(status, result.exit_code, result.output)
        return result.output

    def apply(self, base=0, patch_id='first', path='/pickups'):
        mesh = self.file('new.toml', MESH.format(path=path))
        flags = ('--base', base, '--patch-id', patch_id)
        return self.json(0, 'apply', mesh, *flags)

    def count_versions(self):
        return len(self.json(0, 'versions'))


class TestCommands(CliCase):
    def test_every_command_prints_text_or_one_json_document(self):
        self.apply()
        self.apply(1, 'second', '/drums')
        patch = self.file('patch.json', ADD % 7)
        cases = (
            (('validate', self.mesh), 'valid: 1 routes', 'routes'),
            (('plan', self.mesh), 'base version 2', 'operations'),
            (('plan', self.mesh, '--base', 1), 'nothing to change', 'base'),
            (('versions', '--after', 1), 'second', 0),
            (('show', 1), '"path":"/pickups"', 'document'),
            (('diff', 1, 2), '/routes/pickups/path "/drums"', 0),
            (('status',), 'version 2 in force on 1 of 1', 'convergence'),
            (('status', '--watch'), 'in force on 1 of 1', 'convergence'),
            (('members',), 'perth', 'members'),
            (('timeline',), 'patch.accepted version=2', 'events'),
            (('patch', 'status', 'first'), 'first: accepted, 1', 'version'),
            (('patch', 'status', 'no'), 'no: unused', 'outcome'),
            (('patch', 'abandon', 'gone'), 'gone: abandoned', 'outcome'),
            (('patch', 'abandon', 'first'), 'first: accepted, 1', 'version'),
            (
                ('submit', patch, '--base', 2, '--patch-id', 'p', '--wait'),
                'accepted as version 3 (patch p)',
                'accepted',
            ),
            (('drain',), 'vm-1: draining', 'draining'),
        )
        for arguments, text, key in cases:
            self.assertIn(text, self.text(0, *arguments), arguments)
            found = self.json(0, *arguments)
            if isinstance(key, int):
                self.assertGreater(len(found), key, arguments)
            else:
                self.assertIn(key, found, arguments)
        self.assertTrue(self.daemon.stop_requested.is_set())
        self.assertEqual(3, self.count_versions())

    def test_members_are_json_objects(self):
        (member,) = self.json(0, 'members')['members']
        self.assertEqual('vm-1', member['vm'])
        self.assertEqual('alive', member['state'])

    def test_table_cells_are_never_truncated(self):
        self.daemon.add_member('vm-' + 'x' * 60, '10.100.100.100:65535')
        output = self.text(0, 'members')
        self.assertIn('vm-' + 'x' * 60, output)
        self.assertIn('10.100.100.100:65535', output)
        self.assertNotIn('\u2026', output)
        self.assertLess(max(map(len, output.splitlines())), 200)

    def test_help_has_examples_and_exit_statuses(self):
        command = typer.main.get_command(cli.app)
        commands = dict(walk(command, ()))
        self.assertEqual(16, len(commands), sorted(commands))
        for path in commands:
            output = self.text(0, *path, '--help')
            self.assertIn('jujubefold ', output.split('Example:')[1], path)
            self.assertIn(' '.join(path), output.split('Example:')[1], path)
        output = self.text(0, '--help')
        for word in ('--install-completion', 'Exit status', '--version'):
            self.assertIn(word, output)
        for code in clioutput.ExitCode:
            self.assertIn(f'{code.value} ', output.split('Exit status')[1])
        self.assertRegex(self.text(0, '--version'), r'^jujubefold \d+\.\d+')

    def test_wrong_usage_exits_with_2(self):
        cases = (
            ('nothing',),
            ('apply', self.mesh),
            ('apply', self.mesh, '--base', '-1'),
            ('show', 'x'),
            ('timeline', '--since', 'yesterday'),
            ('--output', 'xml', 'status'),
            ('--daemon', 'host:1', 'status'),
            ('--daemon', '1.2.3.4:70000', 'status'),
            ('--ca', '/nowhere', 'status'),
        )
        for arguments in cases:
            self.text(2, *arguments)


class TestInvalidInput(CliCase):
    def test_error_names_the_input_and_nothing_changes(self):
        bad = self.file('bytes', b'a = "\xff"')
        toml = self.file('bad.toml', 'schema = 1\nroutes = ]')
        text = self.file('bad.json', '{')
        huge = self.file('huge', b' ' * (9 * 1024 * 1024))
        dangling = MESH.format(path='/x').replace('[services.pickups]', '')
        unresolved = self.file('unresolved.toml', dangling)
        flags = ('--base', 0, '--patch-id')
        cases = (
            (('validate', bad), bad, 'not UTF-8 at byte 5 (line 1)'),
            (('validate', toml), toml, 'line 2'),
            (('plan', unresolved), '/groups/pickups', 'pickups'),
            (('apply', self.folder, *flags, 'a'), self.folder, 'directory'),
            (('apply', '/none.toml', *flags, 'a'), '/none.toml', 'No such'),
            (('apply', huge, *flags, 'a'), huge, 'larger than 8388608'),
            (('apply', unresolved, *flags, 'a'), '/groups/pickups', 'pickups'),
            (('apply', self.mesh, *flags, 'a b'), "'a b'", 'must be 1 to 128'),
            (('apply', self.mesh, *flags, ''), "''", 'must be 1 to 128'),
            (('submit', bad, *flags, 'a'), bad, 'not UTF-8'),
            (('submit', text, *flags, 'a'), text, 'not a JSON patch'),
            (('submit', huge, *flags, 'a'), huge, 'larger than'),
            (('submit', self.folder, *flags, 'a'), self.folder, 'directory'),
            (('submit', '/none', *flags, 'a'), '/none', 'No such'),
            (('patch', 'status', 'a/../b'), 'a/../b', 'must be 1 to 128'),
            (('patch', 'abandon', '-', '--'), '-', 'must be 1 to 128'),
            (('settings', 'check', bad), bad, 'not UTF-8'),
            (('settings', 'check', toml), toml, 'TOML: '),
            (('settings', 'check', '/none'), '/none', 'No such'),
        )
        for arguments, where, reason in cases:
            found = self.json(3, *arguments)
            self.assertEqual('invalid', found['outcome'], arguments)
            first = found['errors'][0]
            self.assertIn(str(where), first['where'], arguments)
            self.assertIn(reason, first['reason'], arguments)
            output = self.text(3, *arguments)
            self.assertIn(str(where), output, arguments)
        self.assertEqual(0, self.count_versions())

    def test_sidecar_settings(self):
        path = self.folder / 'sidecar.toml'
        path.write_text(
            '[daemon]\nvm = "v"\nregion = "r"\nfailure_domain = "a"\n'
            '[listen]\ncallers = "10.0.0.1:1"\npeers = "10.0.0.1:2"\n'
            'readiness = "10.0.0.1:3"\nannouncements = "10.0.0.1:4"\n'
            'metrics = "10.0.0.1:5"\n'
            '[upstream]\nservice = "s"\naddress = "10.0.0.1:6"\ndrain = 2\n'
            '[store]\naddress = "10.0.0.9:1"\n'
            '[retries]\nratio = 0.2\nwindow = 10\nslack = 56\n'
            '[stop]\ngrace = 6\n'
        )
        shown = self.text(0, 'settings', 'show', '--sidecar', path)
        self.assertIn('store.timeout = 1.0', shown)
        self.assertIn('upstream.service = "s"', shown)
        found = self.json(0, 'settings', 'check', '--sidecar', path)
        self.assertEqual(6.0, found['stop']['grace'])
        for old, new, where, reason in (
            ('window = 10', 'window = 0', '$.retries.window', '> 0'),
            ('drain = 2\n', 'drain = 2\nfoo = 1\n', 'upstream', 'foo'),
            ('grace = 6', '', 'stop', 'grace'),
        ):
            bad = self.folder / 'bad.toml'
            bad.write_text(path.read_text().replace(old, new))
            output = self.text(3, 'settings', 'check', '--sidecar', bad)
            self.assertIn(str(bad), output)
            self.assertIn(where.removeprefix('$.'), output)
            self.assertIn(reason, output)

    def test_patch_from_standard_input(self):
        flags = ('--base', '0', '--patch-id', 'p')
        deep = '[' * 100_000
        cases = (('', 3), ('[1]', 3), ('{}', 3), (deep, 3), (ADD % 1, 0))
        for patch, status in cases:
            self.json(status, 'submit', '-', *flags, input=patch)
        self.assertEqual(1, self.count_versions())


class TestRefusals(CliCase):
    def test_base_is_not_the_head(self):
        self.apply()
        for patch_id in ('late', 'later'):
            found = self.json(
                4,
                'apply',
                self.changed_mesh(),
                '--base',
                0,
                '--patch-id',
                patch_id,
            )
            (problem,) = found['errors']
            self.assertEqual('refused', found['outcome'])
            self.assertEqual('did-not-run', problem['ran'])
            self.assertEqual(1, problem['head'])
            self.assertIn('/routes/pickups', problem['clashes'])
        output = self.text(4, 'apply', self.changed_mesh(), '--base', 0)
        self.assertIn('head is version 1', output)
        self.assertIn('clashes at /', output)
        self.assertEqual(1, self.count_versions())

    def changed_mesh(self):
        return self.file('other.toml', MESH.format(path='/other'))

    def test_resubmission_is_accepted_once(self):
        first = self.apply()
        self.assertEqual(first, self.apply())
        reused = self.json(
            4, 'apply', self.changed_mesh(), '--base', 0, '--patch-id', 'first'
        )
        self.assertIn('reused', reused['errors'][0]['type'])
        self.assertEqual(1, self.count_versions())

    def test_abandoned_patch_never_runs(self):
        self.json(0, 'patch', 'abandon', 'first')
        self.text(4, 'apply', self.mesh, '--base', 0, '--patch-id', 'first')
        state = self.json(0, 'patch', 'status', 'first')
        self.assertEqual('abandoned', state['outcome'])
        self.assertEqual(0, self.count_versions())

    def test_missing_versions(self):
        for arguments in (('show', 7), ('diff', 0, 7), ('show', 0)):
            found = self.json(4, *arguments)
            self.assertIn('missing', found['errors'][0]['type'])
        flags = ('--base', 7, '--patch-id', 'a')
        self.text(4, 'apply', self.mesh, *flags)

    def test_unknown_outcome_prints_how_to_resolve_it(self):
        lost = errors.StoreOutcomeUnknown('no answer from the store')
        self.daemon.failure = expression.Error(lost)
        flags = ('--base', 0, '--patch-id', 'p')
        found = self.json(5, 'apply', self.mesh, *flags, '--wait')
        self.assertEqual('unknown', found['outcome'])
        self.assertIn('jujubefold patch status p', found['hint'])
        self.assertIn('patch abandon p', found['hint'])
        self.daemon.failure = None
        state = self.json(0, 'patch', 'status', 'p')
        self.assertEqual('accepted', state['outcome'])
        self.assertEqual(1, self.apply(0, 'p')['number'])
        self.assertEqual(1, self.count_versions())


class TestDaemonUnavailable(CliCase):
    def test_unreachable(self):
        for arguments in (
            ('status',),
            ('members',),
            ('plan', self.mesh),
            ('apply', self.mesh, '--base', 0),
            ('drain',),
        ):
            found = self.json(6, *arguments, daemon=UNREACHABLE)
            self.assertEqual('unreachable', found['outcome'])
            self.assertIn(UNREACHABLE, found['errors'][0]['reason'])

    def test_invalid_key_files(self):
        ca = self.file('ca.pem', 'nothing')
        for options in (('--ca', ca), ('--ca', ca, '--cert', ca)):
            found = self.json(6, *options, 'status')
            self.assertEqual('unreachable', found['outcome'])

    def test_request_sent_without_response_has_unknown_outcome(self):
        cases = (
            ('closed', b'', 5, 6),
            ('cut', b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{', 5, 6),
            ('other', b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{', 5, 6),
            ('500', b'HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n', 5, 6),
            ('404', b'HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n', 6, 6),
        )
        for name, response, sent, read in cases:
            address = self.start_server(response)
            patch = self.file('patch.json', ADD % 7)
            found = self.json(
                sent, 'submit', patch, '--base', 0, daemon=address
            )
            self.assertEqual(sent == 5, bool(found['hint']), name)
            self.json(read, 'status', daemon=address)

    def start_server(self, response):
        """Start a server that sends a fixed response; return its address."""
        server = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(server.close)

        def serve():
            for _ in range(2):
                connection, _ = server.accept()
                with connection:
                    connection.recv(65536)
                    connection.sendall(response)

        threading.Thread(target=serve, daemon=True).start()
        return f'127.0.0.1:{server.getsockname()[1]}'

    def test_timeout_is_for_reading_the_response(self):
        timeouts = []

        def request(pool, method, url, timeout, **options):
            timeouts.append(timeout)
            raise urllib3.exceptions.LocationValueError('not sent')

        self.patch(urllib3.PoolManager, 'request', request)
        porcelain.status(adminclient.AdminClient(UNREACHABLE, timeout=9.0))
        (timeout,) = timeouts
        self.assertIsNone(timeout.total)
        self.assertEqual(9.0, timeout.read_timeout)

    def test_silent_daemon_times_out(self):
        server = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(server.close)
        address = f'127.0.0.1:{server.getsockname()[1]}'
        client = adminclient.AdminClient(address, timeout=0.1)
        failure = porcelain.status(client).error
        self.assertIsInstance(failure, errors.PeerUnreachable)
        problem = porcelain.submit(client, 0, b'[]').error
        self.assertIsInstance(problem, adminmodels.Problem)
        self.assertEqual('unknown', problem.ran)


class TestConvergence(CliCase):
    def test_version_not_in_force_everywhere_in_time(self):
        self.daemon.add_member('vm-2', UNREACHABLE)
        self.daemon.distributes = False
        flags = ('--base', 0, '--patch-id', 'p', '--wait', '--timeout', 0.3)
        found = self.json(7, 'apply', self.mesh, *flags)
        self.assertEqual(1, found['accepted']['number'])
        self.assertEqual(['vm-2'], found['convergence']['behind'])
        self.assertFalse(found['convergence']['done'])
        watched = ('status', '--watch', '--timeout', 0.1)
        self.assertEqual(1, self.json(7, *watched)['convergence']['version'])
        output = self.text(7, *watched)
        self.assertIn('version 1 in force on 1 of 2', output)
        self.assertIn('not in force everywhere within 0.1 s: vm-2', output)
        self.json(0, 'status', '--watch', '--version', 0)

    def test_daemon_lost_while_waiting(self):
        polls = iter(
            (
                expression.Error(errors.PeerUnreachable('gone')),
                expression.Error(errors.PeerUnreachable('gone')),
            )
        )
        self.patch(porcelain, 'watch', lambda *arguments: polls)
        flags = ('--base', 0, '--patch-id', 'p', '--wait')
        found = self.json(6, 'apply', self.mesh, *flags)
        self.assertEqual(1, found['accepted']['number'])
        self.assertEqual('unreachable', found['outcome'])


class TestTimeline(CliCase):
    def setUp(self):
        super().setUp()
        ahead = fakedaemon.FakeDaemon('vm-2', wall=1_700_000_300.0)
        ahead.__enter__()
        self.addCleanup(ahead.__exit__)
        self.daemon.add_member('vm-2', ahead.address)
        self.daemon.record('daemon.started')
        sent = ahead.record('version.held_back', version=4, patch='p')
        self.daemon.hybrid_clock.observe(sent.at)
        self.daemon.record('version.in_force', version=4, patch='p')
        self.daemon.record('call.unknown', request='r', detail='lost')

    def names(self, *arguments):
        found = self.json(0, 'timeline', *arguments)
        self.assertEqual([], found['silent'])
        return [event['name'].split('.')[1] for event in found['events']]

    def test_filters(self):
        cases = (
            ((), ['started', 'held_back', 'in_force', 'unknown']),
            (('--request', 'r'), ['unknown']),
            (('--patch', 'p'), ['held_back', 'in_force']),
            (('--version', 4), ['held_back', 'in_force']),
            (('--version', 5), []),
            (('--vm', 'vm-2'), ['held_back']),
            (('--name', 'version.'), ['held_back', 'in_force']),
            (('--name', 'version.', '--vm', 'vm-1'), ['in_force']),
            (('--until', '2023-11-14T22:13:20'), ['started']),
            (
                ('--since', '2023-11-14T22:18:20'),
                ['held_back', 'in_force', 'unknown'],
            ),
        )
        for arguments, expected in cases:
            self.assertEqual(expected, self.names(*arguments), arguments)
        output = self.text(0, 'timeline', '--request', 'r')
        self.assertRegex(
            output,
            r'^2023-11-14T22:18:20\.000000Z vm-1 call.unknown request=r',
        )

    def test_unreachable_daemon_is_listed(self):
        self.daemon.add_member('vm-3', UNREACHABLE)
        found = self.json(0, 'timeline')
        self.assertEqual(['vm-3'], found['silent'])
        self.assertEqual(4, len(found['events']))
        output = self.text(0, 'timeline')
        self.assertIn('no response from vm-3; its events are missing', output)


def walk(command, path):
    """Yield the path of each subcommand of a group, and the subcommand."""
    for name, subcommand in command.commands.items():
        if re.search('Group', type(subcommand).__name__):
            yield from walk(subcommand, (*path, name))
        else:
            yield (*path, name), subcommand
