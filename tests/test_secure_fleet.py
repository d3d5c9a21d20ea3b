"""Tests of daemon processes under mutual TLS, with operators and others."""

import pathlib
import signal
import tempfile

import testtools
import urllib3

from bench import fleets
from jujubefold import adminclient
from jujubefold import errors
from jujubefold import porcelain
from tests import certificates
from tests import ledger
from tests import test_fleet


def tls_settings(tls):
    """Return the `[tls]` section of the settings for a `settings.Tls`."""
    return '\n'.join(
        (
            '[tls]',
            f'certificate = "{tls.certificate}"',
            f'key = "{tls.key}"',
            f'authority = "{tls.authority}"',
            'operators = ["alice"]',
        )
    )


class TestSecureFleet(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.authority = certificates.Authority(self.folder)
        self.keys = self.authority.issue('daemons')
        self.alice = self.authority.issue('alice', daemon=False)
        self.mallory = self.authority.issue('mallory', daemon=False)
        self.fleet = fleets.Fleet(settings=tls_settings(self.keys))
        self.addCleanup(self.fleet.close)
        self.daemons = [self.fleet.add_daemon() for _ in range(2)]
        self.declarations = self.folder / 'mesh.toml'
        self.declarations.write_text(test_fleet.DECLARATIONS)

    def client(self, tls, daemon=None):
        chosen = daemon or self.daemons[0]
        return adminclient.AdminClient(
            chosen.addresses['admin_address'],
            ca_certs=str(tls.authority),
            cert_file=str(tls.certificate),
            key_file=str(tls.key),
        )

    def sees_all_members(self, client):
        found = porcelain.members(client)
        return found.is_ok() and len(found.ok.members) == 2

    def test_only_listed_operators_change_the_mesh(self):
        alice = self.client(self.alice)
        fleets.wait_for(
            lambda: self.sees_all_members(alice), 'members under TLS'
        )
        mallory = self.client(self.mallory)
        self.assertTrue(porcelain.status(mallory).is_ok())
        refused = porcelain.apply(mallory, self.declarations, 0)
        self.assertEqual(403, refused.error.status)
        self.assertIn('mallory', refused.error.detail)
        self.assertEqual(403, porcelain.drain(mallory).error.status)
        accepted = porcelain.apply(alice, self.declarations, 0)
        self.assertEqual(1, accepted.ok.number)
        progress = list(porcelain.watch(alice, 1, fleets.WAIT_S))
        self.assertTrue(progress[-1].ok.done)
        line = porcelain.daemon_timeline(alice, porcelain.timelines.Filter())
        names = [stamped.event.name for stamped in line.ok]
        self.assertIn('operator.refused', names)

    def test_clients_without_a_valid_certificate_are_disconnected(self):
        plain = adminclient.AdminClient(
            self.daemons[0].addresses['admin_address']
        )
        failure = porcelain.status(plain).error
        self.assertIsInstance(failure, errors.PeerUnreachable)
        other = certificates.Authority(self.folder, 'other')
        forged = other.issue('alice', 'forged', daemon=False)
        stranger = self.client(forged)
        failure = porcelain.status(stranger).error
        self.assertIsInstance(failure, errors.PeerUnreachable)

    def test_operators_cannot_act_as_daemons_on_the_call_port(self):
        pool = urllib3.PoolManager(
            retries=False,
            ca_certs=str(self.alice.authority),
            cert_file=str(self.alice.certificate),
            key_file=str(self.alice.key),
            server_hostname='daemon.jujubefold',
        )
        address = self.daemons[0].addresses['call_address']
        self.assertRaises(
            urllib3.exceptions.HTTPError,
            pool.request,
            'GET',
            f'https://{address}/lookup/1',
        )

    def test_calls_cross_daemons_and_keys_are_replaced_under_load(self):
        alice = self.client(self.alice)
        fleets.wait_for(
            lambda: self.sees_all_members(alice), 'members under TLS'
        )
        accepted = porcelain.apply(alice, self.declarations, 0)
        self.assertEqual(1, accepted.ok.number)
        upstream = self.fleet.add_upstream(
            self.daemons[0],
            'pickups',
            tls=self.authority.issue('upstream', daemon=False),
        )
        entry = self.daemons[1].addresses['caller_address']
        load = ledger.LoadGenerator(lambda: [entry], '/confirm', True)
        with load:
            fleets.wait_for(lambda: load.served > 50, 'calls before')
            self.authority.issue('daemons')
            for daemon in self.daemons:
                daemon.send(signal.SIGHUP)
            before = load.served
            fleets.wait_for(lambda: load.served > before + 100, 'calls after')
        ran = ledger.executions([upstream])
        self.assertEqual([], ledger.wrong_outcomes(load.results, ran))
        self.assertTrue(self.sees_all_members(alice))
