"""Tests of a sidecar's settings file."""

import pathlib
import tempfile

import testtools

from jujubefold.sidecar import options

VALID = """
[daemon]
vm = "side-a-1"
region = "r"
failure_domain = "a"
[listen]
callers = "10.0.0.1:1"
peers = "10.0.0.1:2"
readiness = "10.0.0.1:3"
announcements = "10.0.0.1:4"
metrics = "10.0.0.1:5"
[upstream]
service = "pickups"
address = "10.0.0.1:6"
drain = 2
[store]
address = "10.0.0.9:7"
[retries]
ratio = 0.2
window = 10
slack = 56.0
[stop]
grace = 6
"""


class TestOptions(testtools.TestCase):
    def load(self, text):
        """Load a settings file with the given text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.toml'
            path.write_text(text)
            return options.load(path)

    def test_a_valid_file_is_loaded(self):
        found = self.load(VALID).ok
        self.assertEqual(2.0, found.upstream.drain)
        self.assertEqual('INFO', found.logs.level)
        self.assertFalse(found.capacity.learn)
        found = self.load(VALID + '[capacity]\nlearn = true').ok
        self.assertTrue(found.capacity.learn)

    def test_invalid_settings_name_their_key(self):
        for old, new, where in (
            ('vm = "side-a-1"', 'vm = 7', 'daemon.vm'),
            ('vm = "side-a-1"', '', 'daemon'),
            ('drain = 2', 'drain = -1', 'upstream.drain'),
            ('10.0.0.1:6', 'nowhere', 'upstream.address'),
            ('ratio = 0.2', 'ratio = 0.2\nextra = 1', 'retries'),
            ('grace = 6', 'grace = "6"', 'stop.grace'),
            ('[stop]', '[stop', 'settings.toml'),
        ):
            found = self.load(VALID.replace(old, new))
            self.assertTrue(found.is_error(), new)
            self.assertIn(where, found.error.where, new)

    def test_quotas_are_off_without_their_section(self):
        self.assertIsNone(self.load(VALID).ok.quotas)
        section = (
            '[quotas]\nwindow = 5\noverage = 0.1\nslack = 20\n'
            'domains = ["a", "b"]\n'
        )
        found = self.load(VALID + section).ok.quotas
        self.assertEqual((5.0, ('a', 'b')), (found.window, found.domains))
        found = self.load(VALID + section.replace('"a", "b"', ''))
        self.assertIn('quotas.domains', found.error.where)

    def test_an_error_names_a_missing_file(self):
        found = options.load('/nowhere/settings.toml')
        self.assertIn('/nowhere/settings.toml', found.error.where)

    def test_rollouts_are_off_without_their_section(self):
        # Deployments whose platform names no bounds must behave as before.
        self.assertIsNone(self.load(VALID).ok.rollouts)
        section = """
[rollouts]
exposure_share = 0.1
exposure_slack = 50
rollback = 5
"""
        found = self.load(VALID + section).ok.rollouts
        self.assertEqual(options.Rollouts(0.1, 50.0, 5.0), found)
        wrong = section.replace('0.1', '-0.1')
        self.assertIn('rollouts', self.load(VALID + wrong).error.where)
