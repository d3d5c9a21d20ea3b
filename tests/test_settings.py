"""Tests of settings: invalid input, the reference page and exit codes."""

import pathlib
import socket
import subprocess
import sys
import tempfile

import testtools

from jujubefold import settings
from jujubefold import settingsref
from tests import certificates

FILES = ('certificate', 'key', 'authority')
PAGE = pathlib.Path(__file__).parents[1] / 'docs/operations/settings.md'
BASE = """
[daemon]
vm = "vm-1"
region = "wa"
failure_domain = "perth"
{daemon}
[platform]
table_url = "http://127.0.0.1:8000"
objects_url = "http://127.0.0.1:8000/b"
{rest}
"""
# Name, lines of [daemon], lines after it, expected key, expected reason.
CASES = (
    ('unknown key', 'colour = 3', '', 'daemon.colour', 'allowed: vm, region'),
    ('unknown section', '', '[x]', 'x', 'allowed: daemon, platform'),
    ('wrong type', '', '[upstream]\nslots = "6"', 'upstream.slots', '"6"'),
    ('boolean', '', '[upstream]\nslots = true', 'upstream.slots', 'true'),
    ('not a table', '', '[logs.level]', 'logs.level', "'DEBUG', 'INFO'"),
    ('too small', '', '[upstream]\nslots = 0', 'upstream.slots', 'equal to 1'),
    ('too large', '', 'timeout = 61', 'platform.timeout', 'equal to 60'),
    ('not finite', '', 'timeout = nan', 'platform.timeout', 'finite'),
    ('endless', '', 'calls_per_second = inf', 'platform.calls', 'finite'),
    (
        'choice',
        '',
        '[dissemination]\npreset = "fast"',
        'dissemination.preset',
        "'convergence' or 'bytes'; given \"fast\"",
    ),
    ('no port', 'peer_address = "10.0.0.1"', '', 'daemon.peer', 'ip:port'),
    ('a name', 'call_address = "host:1"', '', 'daemon.call_a', 'ip:port'),
    ('port', 'contacts = ["1.2.3.4:65536"]', '', 'contacts.0', '0 to 65535'),
    ('octet', 'contacts = ["1.2.3.256:1"]', '', 'contacts.0', '0 to 255'),
    ('long', f'seed = "{"x" * 999}"', '', 'daemon.seed', 'xxx...'),
    ('name', 'vm = "two"', '', '', 'line 6'),
    ('syntax', 'contacts = [', '', '', 'TOML: '),
    ('key files', '', '[tls]', 'tls.certificate', 'required'),
)


class TestLoad(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.path = self.folder / 'daemon.toml'

    def load(self, daemon='', rest=''):
        self.path.write_text(BASE.format(daemon=daemon, rest=rest))
        return settings.load(self.path)

    def test_errors_name_file_key_value_and_allowed_values(self):
        self.assertTrue(self.load().is_ok())
        for name, daemon, rest, key, expected in CASES:
            first = self.load(daemon, rest).error[0]
            self.assertIn(str(self.path), first.where, name)
            self.assertIn(key, first.where, name)
            self.assertIn(expected, first.reason, name)
            self.assertLess(len(first.reason), 300, name)

    def test_all_invalid_keys_are_reported_at_once(self):
        self.path.write_text('[daemon]\nvm = 3\n')
        where = [item.where for item in settings.load(self.path).error]
        self.assertEqual(4, len(where), where)
        self.assertIn(f'{self.path}: platform', where)

    def test_files_that_cannot_be_read(self):
        other = self.folder / 'other'
        other.write_bytes(b'[daemon]\nvm = "\xff"\n')
        huge = self.folder / 'huge'
        huge.write_bytes(b'#' * (settings.MAX_FILE_BYTES + 1))
        cases = (
            (self.folder / 'none', 'No such file'),
            (self.folder, 'Is a directory'),
            (other, 'not UTF-8 at byte 15 (line 2)'),
            (huge, 'larger than 1048576 bytes'),
        )
        for path, expected in cases:
            (failure,) = settings.load(path).error
            self.assertEqual(str(path), failure.where)
            self.assertIn(expected, failure.reason)

    def test_key_files_are_checked(self):
        tls = certificates.Authority(self.folder).issue('vm-1')
        foreign = certificates.Authority(self.folder, 'b').issue('vm-2')
        good = {name: str(getattr(tls, name)) for name in FILES}
        cases = (
            ({}, '', ''),
            ({'key': '/nowhere'}, 'tls.key', 'No such file'),
            ({'certificate': '/'}, 'tls.certificate', 'Is a directory'),
            ({'key': str(foreign.key)}, 'tls.certificate', 'its key'),
            ({'authority': good['key']}, 'tls.authority', 'no PEM'),
        )
        for changed, key, expected in cases:
            chosen = {**good, **changed}
            lines = [f'{name} = "{path}"' for name, path in chosen.items()]
            loaded = self.load(rest='\n'.join(['[tls]', *lines]))
            self.assertEqual(key == '', loaded.is_ok(), changed)
            if key:
                self.assertEqual(
                    f'{self.path}: {key}', loaded.error[0].where, changed
                )
                self.assertIn(expected, loaded.error[0].reason, changed)

    def test_daemon_refuses_to_start_with_exit_status_3(self):
        self.path.write_text('[daemon]\n')
        before = sorted(self.folder.iterdir())
        completed = self.run_daemon()
        self.assertEqual(3, completed.returncode)
        self.assertEqual('', completed.stdout)
        self.assertIn(f'{self.path}: daemon.vm: required', completed.stderr)
        self.assertNotIn('Traceback', completed.stderr)
        self.assertEqual(before, sorted(self.folder.iterdir()))

    def test_daemon_exits_when_it_cannot_listen(self):
        taken = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(taken.close)
        address = f'127.0.0.1:{taken.getsockname()[1]}'
        for key in ('admin', 'peer', 'caller', 'call'):
            self.load(f'{key}_address = "{address}"')
            completed = self.run_daemon()
            self.assertEqual(9, completed.returncode, key)
            self.assertIn('cannot listen: ', completed.stderr)
            self.assertIn(address.split(':')[1], completed.stderr, key)
            self.assertNotIn('Traceback', completed.stderr, key)

    def run_daemon(self):
        return subprocess.run(
            [sys.executable, '-m', 'jujubefold.daemon', str(self.path)],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def test_preset_gives_values_for_omitted_keys(self):
        chosen = self.load(
            rest='[dissemination]\npreset = "bytes"\npulls = 7'
        ).ok.dissemination
        self.assertEqual((1, 7), (chosen.push_edges, chosen.pulls))


class TestReference(testtools.TestCase):
    def test_reference_page_is_up_to_date(self):
        self.assertEqual(settingsref.page(), PAGE.read_text())

    def test_every_key_is_described(self):
        for name in settings.Settings.model_fields:
            model = settings.section_model(settings.Settings, name)
            for key, field in model.model_fields.items():
                self.assertTrue(field.description, f'{name}.{key}')

    def test_only_key_files_are_applied_by_sighup(self):
        lines = PAGE.read_text().splitlines()
        rows = [line for line in lines if '| SIGHUP |' in line]
        names = [row.split('`')[1] for row in rows]
        self.assertEqual(FILES, tuple(names))
