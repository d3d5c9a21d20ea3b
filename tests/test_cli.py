"""Tests of the command line, on the real operators' API."""

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
from tests import operated

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
# A port that nobody listens on.
NOBODY = '127.0.0.1:9'


class CliCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.daemon = self.served()
        self.mesh = self.file('mesh.toml', MESH.format(path='/pickups'))

    def served(self, *given, **named):
        daemon = operated.Operated(*given, **named)
        daemon.__enter__()
        self.addCleanup(daemon.__exit__)
        return daemon

    def file(self, name, content):
        path = self.folder / name
        data = content if isinstance(content, bytes) else content.encode()
        path.write_bytes(data)
        return str(path)

    def run_cli(self, *arguments, daemon=None, **options):
        """Run a verb and return the result, without a traceback."""
        address = daemon or self.daemon.address
        result = testing.CliRunner().invoke(
            cli.app, ['--daemon', address, *map(str, arguments)], **options
        )
        if not isinstance(result.exception, (SystemExit, type(None))):
            raise result.exception
        return result

    def json(self, status, *arguments, **options):
        """Run a verb; check its status and its one JSON document."""
        result = self.run_cli('--output', 'json', *arguments, **options)
        self.assertEqual(status, result.exit_code, result.output)
        return json.loads(result.stdout)

    def text(self, status, *arguments, **options):
        """Run a verb; return all that it printed."""
        result = self.run_cli(*arguments, **options)
        self.assertEqual(status, result.exit_code, result.output)
        return result.output

    def apply(self, base=0, patch_id='first', path='/pickups'):
        mesh = self.file('new.toml', MESH.format(path=path))
        named = ('--base', base, '--patch-id', patch_id)
        return self.json(0, 'apply', mesh, *named)

    def accepted(self):
        return len(self.json(0, 'versions'))


class TestVerbs(CliCase):
    def test_every_verb_prints_text_and_one_document(self):
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
        for arguments, told, key in cases:
            self.assertIn(told, self.text(0, *arguments), arguments)
            found = self.json(0, *arguments)
            if isinstance(key, int):
                self.assertGreater(len(found), key, arguments)
            else:
                self.assertIn(key, found, arguments)
        self.assertTrue(self.daemon.stop_requested.is_set())
        self.assertEqual(3, self.accepted())

    def test_members_are_objects_with_names(self):
        (member,) = self.json(0, 'members')['members']
        self.assertEqual('vm-1', member['vm'])
        self.assertEqual('alive', member['state'])

    def test_tables_are_never_cut(self):
        self.daemon.meet('vm-' + 'x' * 60, '10.100.100.100:65535')
        told = self.text(0, 'members')
        self.assertIn('vm-' + 'x' * 60, told)
        self.assertIn('10.100.100.100:65535', told)
        self.assertNotIn('\u2026', told)
        self.assertLess(max(map(len, told.splitlines())), 200)

    def test_help_teaches(self):
        command = typer.main.get_command(cli.app)
        verbs = dict(walk(command, ()))
        self.assertEqual(16, len(verbs), sorted(verbs))
        for path in verbs:
            told = self.text(0, *path, '--help')
            self.assertIn('jujubefold ', told.split('Example:')[1], path)
            self.assertIn(' '.join(path), told.split('Example:')[1], path)
        told = self.text(0, '--help')
        for word in ('--install-completion', 'Exit status', '--version'):
            self.assertIn(word, told)
        for code in clioutput.ExitCode:
            self.assertIn(f'{code.value} ', told.split('Exit status')[1])
        self.assertRegex(self.text(0, '--version'), r'^jujubefold \d+\.\d+')

    def test_wrong_usage_is_2(self):
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


class TestBadInput(CliCase):
    def test_input_is_named_and_nothing_changes(self):
        bad = self.file('bytes', b'a = "\xff"')
        toml = self.file('bad.toml', 'schema = 1\nroutes = ]')
        text = self.file('bad.json', '{')
        huge = self.file('huge', b' ' * (9 * 1024 * 1024))
        dangling = MESH.format(path='/x').replace('[services.pickups]', '')
        loose = self.file('loose.toml', dangling)
        named = ('--base', 0, '--patch-id')
        cases = (
            (('validate', bad), bad, 'not UTF-8 at byte 5 (line 1)'),
            (('validate', toml), toml, 'line 2'),
            (('plan', loose), '/groups/pickups', 'pickups'),
            (('apply', self.folder, *named, 'a'), self.folder, 'directory'),
            (('apply', '/none.toml', *named, 'a'), '/none.toml', 'No such'),
            (('apply', huge, *named, 'a'), huge, 'larger than 8388608'),
            (('apply', loose, *named, 'a'), '/groups/pickups', 'pickups'),
            (('apply', self.mesh, *named, 'a b'), "'a b'", 'needs 1 to 128'),
            (('apply', self.mesh, *named, ''), "''", 'needs 1 to 128'),
            (('submit', bad, *named, 'a'), bad, 'not UTF-8'),
            (('submit', text, *named, 'a'), text, 'not a JSON patch'),
            (('submit', huge, *named, 'a'), huge, 'larger than'),
            (('submit', self.folder, *named, 'a'), self.folder, 'directory'),
            (('submit', '/none', *named, 'a'), '/none', 'No such'),
            (('patch', 'status', 'a/../b'), 'a/../b', 'needs 1 to 128'),
            (('patch', 'abandon', '-', '--'), '-', 'needs 1 to 128'),
            (('settings', 'check', bad), bad, 'not UTF-8'),
            (('settings', 'check', toml), toml, 'TOML: '),
            (('settings', 'check', '/none'), '/none', 'No such'),
        )
        for arguments, where, why in cases:
            found = self.json(3, *arguments)
            self.assertEqual('invalid', found['outcome'], arguments)
            first = found['errors'][0]
            self.assertIn(str(where), first['where'], arguments)
            self.assertIn(why, first['reason'], arguments)
            told = self.text(3, *arguments)
            self.assertIn(str(where), told, arguments)
        self.assertEqual(0, self.accepted())

    def test_settings_of_a_sidecar(self):
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
        for old, new, where, why in (
            ('window = 10', 'window = 0', '$.retries.window', '> 0'),
            ('drain = 2\n', 'drain = 2\nfoo = 1\n', 'upstream', 'foo'),
            ('grace = 6', '', 'stop', 'grace'),
        ):
            bad = self.folder / 'bad.toml'
            bad.write_text(path.read_text().replace(old, new))
            told = self.text(3, 'settings', 'check', '--sidecar', bad)
            self.assertIn(str(bad), told)
            self.assertIn(where.removeprefix('$.'), told)
            self.assertIn(why, told)

    def test_patch_from_standard_input(self):
        named = ('--base', '0', '--patch-id', 'p')
        deep = '[' * 100_000
        cases = (('', 3), ('[1]', 3), ('{}', 3), (deep, 3), (ADD % 1, 0))
        for given, status in cases:
            self.json(status, 'submit', '-', *named, input=given)
        self.assertEqual(1, self.accepted())


class TestRefusals(CliCase):
    def test_base_that_moved(self):
        self.apply()
        for patch_id in ('late', 'later'):
            found = self.json(
                4, 'apply', self.other(), '--base', 0, '--patch-id', patch_id
            )
            (problem,) = found['errors']
            self.assertEqual('refused', found['outcome'])
            self.assertEqual('did-not-run', problem['ran'])
            self.assertEqual(1, problem['head'])
            self.assertIn('/routes/pickups', problem['clashes'])
        told = self.text(4, 'apply', self.other(), '--base', 0)
        self.assertIn('head is version 1', told)
        self.assertIn('clashes at /', told)
        self.assertEqual(1, self.accepted())

    def other(self):
        return self.file('other.toml', MESH.format(path='/other'))

    def test_resubmission_is_accepted_once(self):
        first = self.apply()
        self.assertEqual(first, self.apply())
        reused = self.json(
            4, 'apply', self.other(), '--base', 0, '--patch-id', 'first'
        )
        self.assertIn('reused', reused['errors'][0]['type'])
        self.assertEqual(1, self.accepted())

    def test_abandoned_patch_never_runs(self):
        self.json(0, 'patch', 'abandon', 'first')
        self.text(4, 'apply', self.mesh, '--base', 0, '--patch-id', 'first')
        state = self.json(0, 'patch', 'status', 'first')
        self.assertEqual('abandoned', state['outcome'])
        self.assertEqual(0, self.accepted())

    def test_versions_that_are_not_there(self):
        for arguments in (('show', 7), ('diff', 0, 7), ('show', 0)):
            found = self.json(4, *arguments)
            self.assertIn('missing', found['errors'][0]['type'])
        named = ('--base', 7, '--patch-id', 'a')
        self.text(4, 'apply', self.mesh, *named)

    def test_unknown_outcome_tells_how_to_resolve_it(self):
        lost = errors.StoreOutcomeUnknown('no answer from the store')
        self.daemon.failure = expression.Error(lost)
        named = ('--base', 0, '--patch-id', 'p')
        found = self.json(5, 'apply', self.mesh, *named, '--wait')
        self.assertEqual('unknown', found['outcome'])
        self.assertIn('jujubefold patch status p', found['hint'])
        self.assertIn('patch abandon p', found['hint'])
        self.daemon.failure = None
        state = self.json(0, 'patch', 'status', 'p')
        self.assertEqual('accepted', state['outcome'])
        self.assertEqual(1, self.apply(0, 'p')['number'])
        self.assertEqual(1, self.accepted())


class TestDaemonGone(CliCase):
    def test_unreachable(self):
        for arguments in (
            ('status',),
            ('members',),
            ('plan', self.mesh),
            ('apply', self.mesh, '--base', 0),
            ('drain',),
        ):
            found = self.json(6, *arguments, daemon=NOBODY)
            self.assertEqual('unreachable', found['outcome'])
            self.assertIn(NOBODY, found['errors'][0]['reason'])

    def test_key_files_that_are_none(self):
        ca = self.file('ca.pem', 'nothing')
        for options in (('--ca', ca), ('--ca', ca, '--cert', ca)):
            found = self.json(6, *options, 'status')
            self.assertEqual('unreachable', found['outcome'])

    def test_what_was_sent_without_an_answer_is_unknown(self):
        cases = (
            ('closed', b'', 5, 6),
            ('cut', b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{', 5, 6),
            ('other', b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{', 5, 6),
            ('500', b'HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n', 5, 6),
            ('404', b'HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n', 6, 6),
        )
        for what, answer, sent, read in cases:
            address = self.answering(answer)
            patch = self.file('patch.json', ADD % 7)
            found = self.json(
                sent, 'submit', patch, '--base', 0, daemon=address
            )
            self.assertEqual(sent == 5, bool(found['hint']), what)
            self.json(read, 'status', daemon=address)

    def answering(self, answer):
        """Return the address of a server that gives one fixed answer."""
        server = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(server.close)

        def serve():
            for _ in range(2):
                connection, _ = server.accept()
                with connection:
                    connection.recv(65536)
                    connection.sendall(answer)

        threading.Thread(target=serve, daemon=True).start()
        return f'127.0.0.1:{server.getsockname()[1]}'

    def test_whole_wait_is_for_the_answer(self):
        asked = []

        def request(pool, method, url, timeout, **options):
            asked.append(timeout)
            raise urllib3.exceptions.LocationValueError('enough')

        self.patch(urllib3.PoolManager, 'request', request)
        porcelain.status(adminclient.AdminClient(NOBODY, timeout=9.0))
        (timeout,) = asked
        self.assertIsNone(timeout.total)
        self.assertEqual(9.0, timeout.read_timeout)

    def test_silent_daemon_times_out(self):
        server = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(server.close)
        address = f'127.0.0.1:{server.getsockname()[1]}'
        client = adminclient.AdminClient(address, timeout=0.1)
        read = porcelain.status(client).error
        self.assertIsInstance(read, errors.PeerUnreachable)
        sent = porcelain.submit(client, 0, b'[]').error
        self.assertIsInstance(sent, adminmodels.Problem)
        self.assertEqual('unknown', sent.ran)


class TestConvergence(CliCase):
    def test_not_everywhere_in_time(self):
        self.daemon.meet('vm-2', NOBODY)
        self.daemon.spreads = False
        named = ('--base', 0, '--patch-id', 'p', '--wait', '--timeout', 0.3)
        found = self.json(7, 'apply', self.mesh, *named)
        self.assertEqual(1, found['accepted']['number'])
        self.assertEqual(['vm-2'], found['convergence']['behind'])
        self.assertFalse(found['convergence']['done'])
        watched = ('status', '--watch', '--timeout', 0.1)
        self.assertEqual(1, self.json(7, *watched)['convergence']['version'])
        told = self.text(7, *watched)
        self.assertIn('version 1 in force on 1 of 2', told)
        self.assertIn('not everywhere within 0.1 s: vm-2', told)
        self.json(0, 'status', '--watch', '--version', 0)

    def test_daemon_lost_while_waiting(self):
        looks = iter(
            (
                expression.Error(errors.PeerUnreachable('gone')),
                expression.Error(errors.PeerUnreachable('gone')),
            )
        )
        self.patch(porcelain, 'watch', lambda *given: looks)
        named = ('--base', 0, '--patch-id', 'p', '--wait')
        found = self.json(6, 'apply', self.mesh, *named)
        self.assertEqual(1, found['accepted']['number'])
        self.assertEqual('unreachable', found['outcome'])


class TestTimeline(CliCase):
    def setUp(self):
        super().setUp()
        ahead = operated.Operated('vm-2', wall=1_700_000_300.0)
        ahead.__enter__()
        self.addCleanup(ahead.__exit__)
        self.daemon.meet('vm-2', ahead.address)
        self.daemon.record('daemon.started')
        sent = ahead.record('version.held_back', version=4, patch='p')
        self.daemon.hybrid.observe(sent.at)
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
        told = self.text(0, 'timeline', '--request', 'r')
        self.assertRegex(
            told, r'^2023-11-14T22:18:20\.000000Z vm-1 call.unknown request=r'
        )

    def test_silent_daemon_is_named(self):
        self.daemon.meet('vm-3', NOBODY)
        found = self.json(0, 'timeline')
        self.assertEqual(['vm-3'], found['silent'])
        self.assertEqual(4, len(found['events']))
        told = self.text(0, 'timeline')
        self.assertIn('no answer from vm-3; its events are missing', told)


def walk(command, path):
    """Yield the path of each verb below a command, and the verb."""
    for name, verb in command.commands.items():
        if re.search('Group', type(verb).__name__):
            yield from walk(verb, (*path, name))
        else:
            yield (*path, name), verb
